//! Starts a real `embershore` process, waits until it is ready, and reads its memory, times and counters.

use super::client::get;
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

/// Interval at which a measurement polls whether the daemon is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit of messages of the class `kept`: ten hours, so that none expires during a measurement.
pub const KEPT_CLASS_TTL_MS: u64 = 36_000_000;

/// The part of the daemon's configuration that differs between measurements.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of open messages of the daemon.
    pub max_open: u64,
    /// Memory limit of the daemon, in MB.
    pub memory_mb: u64,
    /// Limit on the size of the daemon's journal, in MB.
    pub disk_mb: u64,
    /// Section `[placement]` of the daemon's options file, for a sender in a fleet.
    pub placement: Option<PlacementOptions>,
}

/// Values of the section `[placement]` of a sender's options.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// Name of the sender in the member list.
    pub name: String,
    /// Address on which the sender accepts forwarded requests.
    pub listen: SocketAddr,
    /// Address of the sender's control agent.
    pub control: SocketAddr,
}

impl PlacementOptions {
    fn to_toml(&self) -> String {
        let PlacementOptions { name, listen, control } = self;
        format!("[placement]\nname = \"{name}\"\nlisten = \"{listen}\"\ncontrol = [\"{control}\"]\n")
    }
}

impl Default for Options {
    fn default() -> Self {
        Options { max_open: 10_000, memory_mb: 192, disk_mb: 64, placement: None }
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
        "Profiles": [class("free", 20_000), class("kept", KEPT_CLASS_TTL_MS)],
        "Rules": {"DrainGraceUs": 1_000_000, "FallMultiple": 2.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
                  "WarmUpUs": 10_000_000},
        "Shapes": ["one"], "Weights": "nominal"
    })
}

/// A daemon process with its state directory. Dropping it kills the process.
pub struct Daemon {
    /// Address on which the daemon accepts clients.
    pub address: SocketAddr,
    binary: PathBuf,
    management_address: SocketAddr,
    folder: tempfile::TempDir,
    child: Child,
}

/// Number of the loopback address that [`free_address`] returns next.
static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(1);

/// Returns a loopback address whose IP address no other process listens on or connects from.
///
/// # Errors
/// Fails if no port of the IP address is free.
pub fn free_address() -> Result<SocketAddr> {
    let [.., low] = std::process::id().to_be_bytes();
    let [third, fourth] = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(([127, low | 0x80, third, fourth], 0).into())?;
    Ok(socket.local_addr()?)
}

impl Daemon {
    /// Starts a daemon that polls the discovery service at `discovery`.
    ///
    /// # Errors
    /// Fails if the daemon's directory can't be written or the binary can't be started.
    pub fn start(binary: &Path, discovery: SocketAddr, options: &Options) -> Result<Self> {
        let (address, management_address) = (free_address()?, free_address()?);
        let folder = tempfile::tempdir()?;
        std::fs::create_dir(folder.path().join("state"))?;
        let config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.to_string(),
            "mgmt": management_address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": 1024, "disk_mb": options.disk_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": settings(options),
        });
        std::fs::write(folder.path().join("config.json"), config.to_string())?;
        let section = options.placement.as_ref().map(PlacementOptions::to_toml).unwrap_or_default();
        std::fs::write(folder.path().join("options.toml"), section)?;
        let child = spawn(binary, folder.path())?;
        Ok(Daemon { address, binary: binary.into(), management_address, folder, child })
    }

    fn pid(&self) -> Result<u32> {
        self.child.id().context("the daemon has exited")
    }

    /// Waits until the daemon is ready and has read `endpoints` endpoints. Returns the waiting time.
    ///
    /// # Errors
    /// Fails if the daemon exits or is not ready within the time limit.
    pub async fn wait_ready(&mut self, endpoints: usize, time_limit: Duration) -> Result<Duration> {
        let started = Instant::now();
        loop {
            if let Some((200, _)) = get(self.management_address, "/_ready").await
                && self.variable("discovered").await == Some(endpoints as u64)
            {
                return Ok(started.elapsed());
            }
            if let Some(status) = self.child.try_wait()? {
                bail!(
                    "the daemon exited with {status} before it was ready; last log line: {}",
                    self.last_log_line()
                );
            }
            if started.elapsed() > time_limit {
                bail!(
                    "the daemon was not ready with {endpoints} endpoints after {time_limit:?}; last log line: {}",
                    self.last_log_line()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the daemon has read the endpoints of all shards that it owns. Returns the number of these endpoints.
    ///
    /// # Errors
    /// Fails if the daemon has not read the endpoints of its shards within the time limit.
    pub async fn wait_until_owned_read(&self, time_limit: Duration) -> Result<u64> {
        let started = Instant::now();
        loop {
            let variables = self.variables().await.unwrap_or_default();
            let placement = &variables["placement"];
            let has_shards = placement["owned_shards"].as_u64().is_some_and(|count| count > 0);
            if has_shards && placement["unread_shards"] == 0 {
                return variables["discovered"]
                    .as_u64()
                    .context("the management interface does not report 'discovered'");
            }
            if started.elapsed() > time_limit {
                bail!(
                    "the daemon had not read the endpoints of its shards after {time_limit:?}; last log line: {}",
                    self.last_log_line()
                );
            }
            tokio::time::sleep(POLL_INTERVAL * 10).await;
        }
    }

    async fn variables(&self) -> Option<Value> {
        let (_, text) = get(self.management_address, "/_vars").await?;
        serde_json::from_str(&text).ok()
    }

    /// Returns the number that the daemon's metrics page `/_vars` reports under `name`.
    pub async fn variable(&self, name: &str) -> Option<u64> {
        self.variables().await?.get(name)?.as_u64()
    }

    /// Returns the resident memory of the daemon process in bytes.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub fn resident_bytes(&self) -> Result<f64> {
        usage::resident_bytes(self.pid()?)
    }

    /// Returns the processor time that the daemon process has used since its start, in seconds.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub fn cpu_seconds(&self) -> Result<f64> {
        usage::cpu_seconds(self.pid()?)
    }

    /// Returns the size of the daemon's journal in bytes.
    ///
    /// # Errors
    /// Fails if the daemon has no journal.
    pub fn journal_bytes(&self) -> Result<f64> {
        Ok(std::fs::metadata(self.folder.path().join("state/journal"))?.len() as f64)
    }

    /// Returns the last line of the daemon's log.
    pub fn last_log_line(&self) -> String {
        let text = std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        text.lines().last().unwrap_or("(the log is empty)").to_string()
    }

    /// Kills the daemon process and starts a new process with the same state directory.
    ///
    /// # Errors
    /// Fails if the daemon process can't be killed or started.
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
        .with_context(|| {
            format!("{} can't be started; build the daemon or give its path by --binary", binary.display())
        })
}
