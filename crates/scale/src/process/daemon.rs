//! One real `embershore` process.

use super::client::ask;
use super::usage;
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};

/// How often readiness is asked for while waiting for it.
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// A message's time in the class `kept`, in milliseconds: ten hours, so that none ends during a measurement.
pub const KEPT_MS: u64 = 36_000_000;

/// What of the configuration differs between measurements.
#[derive(Clone, Debug)]
pub struct Options {
    /// Messages held at most.
    pub max_open: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Journal, in MB.
    pub disk_mb: u64,
    /// Its place among other senders, if it has one.
    pub member: Option<Membership>,
}

/// A sender's place among others: the section `[placement]` of its options.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Its name in the member list.
    pub name: String,
    /// Where it takes forwarded requests.
    pub listen: SocketAddr,
    /// Who tells the member list.
    pub control: SocketAddr,
}

impl Membership {
    fn to_toml(&self) -> String {
        let Membership { name, listen, control } = self;
        format!("[placement]\nname = \"{name}\"\nlisten = \"{listen}\"\ncontrol = [\"{control}\"]\n")
    }
}

impl Default for Options {
    fn default() -> Self {
        Options { max_open: 10_000, memory_mb: 192, disk_mb: 64, member: None }
    }
}

fn settings(options: &Options) -> Value {
    let class = |name: &str, limit_ms: u64| {
        json!({"Name": name, "Effect": "free", "Group": "all", "HardLimitUs": limit_ms * 1000,
               "ObjectiveUs": 2_500_000, "WindowUs": 3_000_000, "Worth": 1.0, "LateShare": 0.5})
    };
    json!({
        "Azs": ["a"], "Balancers": 1, "Zone": 0, "QuantumUs": 5000,
        "Customers": [{"Name": "acme", "QuotaRps": 100_000.0}],
        "FamilyInfo": {"BatchByKind": [1], "KindApart": [false], "Late": "line", "Workers": 100},
        "Limits": {"Cancel": true, "ConnectTimeoutUs": 1_500_000, "IdleCloseUs": 5_000_000, "MaxAttempts": 6,
                   "MaxOpen": options.max_open, "MaxRetryAfterUs": 2_000_000, "Probes": true,
                   "SecondCopies": false, "StreamsPerConn": 1},
        "Profiles": [class("free", 20_000), class("kept", KEPT_MS)],
        "Rules": {"DrainGraceUs": 1_000_000, "FallMultiple": 2.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
                  "WarmUpUs": 10_000_000},
        "Shapes": ["one"], "Weights": "nominal"
    })
}

/// A process and its folder. It is killed when this is dropped.
pub struct Daemon {
    /// Where clients connect.
    pub address: SocketAddr,
    binary: PathBuf,
    door: SocketAddr,
    folder: tempfile::TempDir,
    child: Child,
}

/// Addresses that were handed out.
static ADDRESSES: AtomicU16 = AtomicU16::new(1);

/// An address that nobody else is given: no other process listens on, or connects from, its IP address.
///
/// # Errors
/// When the system has no port there.
pub fn free_address() -> Result<SocketAddr> {
    let [.., low] = std::process::id().to_be_bytes();
    let [third, fourth] = ADDRESSES.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(([127, low | 0x80, third, fourth], 0).into())?;
    Ok(socket.local_addr()?)
}

impl Daemon {
    /// Starts one that follows discovery there.
    ///
    /// # Errors
    /// When its folder can't be written or the binary can't be started.
    pub fn start(binary: &Path, discovery: SocketAddr, options: &Options) -> Result<Self> {
        let (address, door) = (free_address()?, free_address()?);
        let folder = tempfile::tempdir()?;
        std::fs::create_dir(folder.path().join("state"))?;
        let config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(),
            "mgmt": door.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": 1024, "disk_mb": options.disk_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings(options),
        });
        std::fs::write(folder.path().join("config.json"), config.to_string())?;
        let section = options.member.as_ref().map(Membership::to_toml).unwrap_or_default();
        std::fs::write(folder.path().join("options.toml"), section)?;
        let child = spawn(binary, folder.path())?;
        Ok(Daemon { address, binary: binary.into(), door, folder, child })
    }

    fn pid(&self) -> Result<u32> {
        self.child.id().context("the daemon has ended")
    }

    /// Waits until it serves and has so many endpoints; how long that took.
    ///
    /// # Errors
    /// When it ends, or is not ready by then.
    pub async fn ready(&mut self, endpoints: usize, patience: Duration) -> Result<Duration> {
        let begun = Instant::now();
        loop {
            if let Some((200, _)) = ask(self.door, "/_ready").await
                && self.variable("discovered").await == Some(endpoints as u64)
            {
                return Ok(begun.elapsed());
            }
            if let Some(status) = self.child.try_wait()? {
                bail!("the daemon ended with {status}: {}", self.log());
            }
            if begun.elapsed() > patience {
                bail!("the daemon was not ready after {patience:?}: {}", self.log());
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Waits until it has read the endpoints of all that it owns; how many these are.
    ///
    /// # Errors
    /// When it has not by then.
    pub async fn placed(&self, patience: Duration) -> Result<u64> {
        let begun = Instant::now();
        loop {
            let variables = self.variables().await.unwrap_or_default();
            let placement = &variables["placement"];
            let has_shards = placement["owned_shards"].as_u64().is_some_and(|count| count > 0);
            if has_shards && placement["unread_shards"] == 0 {
                return variables["discovered"].as_u64().context("the door tells no 'discovered'");
            }
            if begun.elapsed() > patience {
                bail!("the daemon had not read what it owns after {patience:?}: {}", self.log());
            }
            tokio::time::sleep(LOOK_EVERY * 10).await;
        }
    }

    async fn variables(&self) -> Option<Value> {
        let (_, text) = ask(self.door, "/_vars").await?;
        serde_json::from_str(&text).ok()
    }

    /// A number that the operators' door tells.
    pub async fn variable(&self, name: &str) -> Option<u64> {
        self.variables().await?.get(name)?.as_u64()
    }

    /// Resident memory, in bytes.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn resident_bytes(&self) -> Result<f64> {
        usage::resident_bytes(self.pid()?)
    }

    /// Processor time since its start, in seconds.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn cpu_seconds(&self) -> Result<f64> {
        usage::cpu_seconds(self.pid()?)
    }

    /// Bytes of its journal.
    ///
    /// # Errors
    /// When it has none.
    pub fn journal_bytes(&self) -> Result<f64> {
        Ok(std::fs::metadata(self.folder.path().join("state/journal"))?.len() as f64)
    }

    /// What it has logged last.
    pub fn log(&self) -> String {
        let text = std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        text.lines().last().unwrap_or("nothing in its log").to_string()
    }

    /// Kills it and starts it anew on the same folder.
    ///
    /// # Errors
    /// When it can't be killed or started.
    pub async fn restart(&mut self) -> Result<()> {
        self.child.kill().await?;
        self.child = spawn(&self.binary, self.folder.path())?;
        Ok(())
    }
}

fn spawn(binary: &Path, folder: &Path) -> Result<Child> {
    let log = std::fs::File::create(folder.join("log"))?;
    Command::new(binary)
        .env("LB_CONFIG", folder.join("config.json"))
        .env("LB_STATE", folder.join("state"))
        .env("LB_OPTIONS", folder.join("options.toml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .with_context(|| format!("{} can't be started; give a built daemon by --binary", binary.display()))
}
