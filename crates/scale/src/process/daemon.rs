//! One real `embershore` process.

use super::client::ask;
use super::usage;
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
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
}

impl Default for Options {
    fn default() -> Self {
        Options { max_open: 10_000, memory_mb: 192, disk_mb: 64 }
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

/// An address that stays the process's own over restarts: bound and not listened on until it listens there.
fn free_address() -> Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(([127, 0, 0, 1], 0).into())?;
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

    /// A number that the operators' door tells.
    pub async fn variable(&self, name: &str) -> Option<u64> {
        let (_, text) = ask(self.door, "/_vars").await?;
        serde_json::from_str::<Value>(&text).ok()?.get(name)?.as_u64()
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
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .with_context(|| format!("{} can't be started; give a built daemon by --binary", binary.display()))
}
