//! Processes of the senders under rehearsal, with the environment and configuration that the platform gives them.

use super::crowd;
use super::directory::Directory;
use super::management;
use super::{Options, RigError, Subject, World, sender_folder};
use crate::event::{EventKind, RawEvent};
use crate::history::{Event, Signal};
use crate::parameters::Effect;
use crate::span::{Micros, duration};
use nix::sys::signal as unix;
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::process::Command;
use tokio::sync::Notify;

/// Time from SIGTERM until a sender's process gets SIGKILL.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);
/// Default time from the end of a sender's process to its next start.
const DEFAULT_DOWN_US: Micros = 600_000;
/// Time-out for a new process to become ready when it replaces the sender's old process.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from the start of a sender's lame duck mode until the front end routes its clients to other senders.
const FRONT_LAG_US: Micros = 300_000;
/// Time-out for processes to end after SIGKILL.
const EXIT_TIMEOUT: Duration = Duration::from_millis(4500);

struct Process {
    index: usize,
    name: String,
    addr: SocketAddr,
    folder: PathBuf,
    /// Reserves the sender's port over restarts: a socket that is bound but does not listen.
    _port: Option<TcpSocket>,
    /// Listening socket for clients, if the rig owns one socket for all processes of the sender.
    listener: Option<std::net::TcpListener>,
    /// Management address of the sender's latest process, and the socket that reserves the address's port.
    management: RefCell<Option<(SocketAddr, TcpSocket)>>,
    /// When the sender's lame duck mode started; `None` outside that mode.
    lame_duck_since: Cell<Option<Micros>>,
    pid: Cell<Option<i32>>,
    /// Whether the rehearsal itself is ending the sender's process.
    planned: Cell<bool>,
    ended: Notify,
}

impl Process {
    fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Returns the address of the process's management interface, if it has one.
    fn management(&self) -> Option<SocketAddr> {
        self.management.borrow().as_ref().map(|(addr, _)| *addr)
    }
}

/// The processes of all senders.
pub struct Senders {
    world: Rc<World>,
    executable: Option<PathBuf>,
    /// Whether the senders' processes have a management interface.
    with_management: bool,
    all: Vec<Rc<Process>>,
}

impl Senders {
    /// Creates a folder, a port and a configuration for each sender. Starts no process.
    pub fn prepare(
        world: Rc<World>,
        directory: &Directory,
        options: &Options,
    ) -> Result<Rc<Senders>, RigError> {
        let executable = match &options.subject {
            Subject::Spawn(path) => Some(path.clone()),
            Subject::External(_) => None,
        };
        let has = |kind: EventKind| world.scenario.events.iter().any(|(_, e)| e.kind == kind);
        let shares_listener = has(EventKind::Upgrade);
        let with_management = shares_listener || has(EventKind::LameDuck);
        let mut all = Vec::new();
        for (index, sender) in world.scenario.parameters.senders.iter().enumerate() {
            let folder = sender_folder(options, &sender.name);
            let io = |e| RigError::io(folder.display().to_string())(e);
            std::fs::create_dir_all(folder.join("state")).map_err(io)?;
            let mut shared_listener = None;
            let (addr, port) = match &options.subject {
                Subject::Spawn(_) if shares_listener => {
                    let listener = std::net::TcpListener::bind("127.0.0.1:0");
                    let listener = listener.map_err(RigError::io("reserving a port for a sender"))?;
                    let addr =
                        listener.local_addr().map_err(RigError::io("reserving a port for a sender"))?;
                    shared_listener = Some(listener);
                    (addr, None)
                }
                Subject::Spawn(_) => {
                    let (addr, port) =
                        reserve_port().map_err(RigError::io("reserving a port for a sender"))?;
                    (addr, Some(port))
                }
                Subject::External(addrs) => match addrs.get(index) {
                    Some(addr) => (*addr, None),
                    None => {
                        return Err(io(std::io::Error::other(
                            "no --sender address was given for this sender",
                        )));
                    }
                },
            };
            let config = config(&world, directory, index, addr);
            std::fs::write(folder.join("config.json"), format!("{config:#}\n")).map_err(io)?;
            let (name, pid, planned) = (sender.name.clone(), Cell::new(None), Cell::new(false));
            let ended = Notify::new();
            let (management, lame_duck_since) = (RefCell::default(), Cell::new(None));
            all.push(Rc::new(Process {
                index,
                name,
                addr,
                folder,
                _port: port,
                listener: shared_listener,
                management,
                lame_duck_since,
                pid,
                planned,
                ended,
            }));
        }
        Ok(Rc::new(Senders { world, executable, with_management, all }))
    }

    /// Returns the address at which clients reach a sender.
    pub fn addr(&self, sender: usize) -> SocketAddr {
        self.all[sender].addr
    }

    /// Returns the sender to which the front end routes a client of `sender`: another sender during lame duck mode.
    pub fn route_client(&self, sender: usize) -> usize {
        let now = self.world.now();
        let is_open =
            |n: &usize| self.all[*n].lame_duck_since.get().is_none_or(|since| now < since + FRONT_LAG_US);
        let mut others = (0..self.all.len()).map(|n| (sender + n) % self.all.len());
        others.find(is_open).unwrap_or(sender)
    }

    pub fn start_all(self: &Rc<Self>) -> Result<(), RigError> {
        self.all.iter().try_for_each(|p| self.start(p))
    }

    fn start(self: &Rc<Self>, process: &Rc<Process>) -> Result<(), RigError> {
        let Some(executable) = &self.executable else { return Ok(()) };
        let path = process.folder.join("log");
        let log = File::options().create(true).append(true).open(&path);
        let log = log.map_err(RigError::io(path.display().to_string()))?;
        let mut command = Command::new(executable);
        // The sender's process gets no arguments and no LB_ settings of the rehearsal, as when the platform starts it.
        let is_own_setting = |name: &str| name.starts_with("LB_");
        for (name, _) in std::env::vars().filter(|(n, _)| is_own_setting(n)) {
            command.env_remove(name);
        }
        let io = RigError::io(format!("starting {}", executable.display()));
        if self.with_management {
            let (addr, port) =
                reserve_port().map_err(RigError::io("reserving a port for the management interface"))?;
            command.env("LB_MGMT", addr.to_string());
            *process.management.borrow_mut() = Some((addr, port));
        }
        // A copy of the listening socket survives exec; the rehearsal drops it once the sender's process is started.
        let inherited = process.listener.as_ref().map(nix::unistd::dup).transpose();
        let inherited =
            inherited.map_err(|e| RigError::io("duplicating the clients' listening socket")(e.into()))?;
        if let Some(fd) = &inherited {
            command.env("LB_SOCKET_FD", fd.as_raw_fd().to_string());
        }
        let mut child = command
            .env("LB_NAME", &process.name)
            .env("LB_LISTEN", process.addr.to_string())
            .env("LB_STATE", process.folder.join("state"))
            .env("LB_CONFIG", process.config())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(io)?;
        drop(inherited);
        let pid = child.id().and_then(|id| i32::try_from(id).ok());
        process.pid.set(pid);
        process.planned.set(false);
        let (world, process) = (self.world.clone(), process.clone());
        tokio::task::spawn_local(async move {
            let how = match child.wait().await {
                Ok(status) => status.to_string(),
                Err(e) => e.to_string(),
            };
            if process.pid.get() == pid {
                process.pid.set(None);
                world.record(Event::Exited { sender: process.index, planned: process.planned.get(), how });
            } else {
                world.record(Event::Mark {
                    text: format!("{}: the process that was replaced has ended", process.name),
                });
            }
            process.ended.notify_waiters();
        });
        Ok(())
    }

    pub async fn wait_ready(self: &Rc<Self>, timeout: Micros) -> Result<(), RigError> {
        for process in &self.all {
            if !self.ready(process, timeout).await {
                let (sender, log) = (process.name.clone(), process.folder.join("log"));
                return Err(RigError::NotReady { sender, seconds: timeout / 1_000_000, log });
            }
        }
        Ok(())
    }

    /// Waits until a sender answers `PING`; returns false after the time-out.
    async fn ready(&self, process: &Process, timeout: Micros) -> bool {
        let until = self.world.now() + timeout;
        while self.world.now() < until {
            if ping(process.addr).await.is_ok() {
                self.world.record(Event::Ready { sender: process.index });
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Applies an event to the senders that it selects, and restarts senders whose process the event ends.
    pub async fn signal(self: &Rc<Self>, event: &RawEvent) {
        let named = self.all.iter().filter(|p| event.applies_to(p.index, &p.name));
        let mut tasks = tokio::task::JoinSet::new();
        for process in named {
            let (senders, process, event) = (self.clone(), process.clone(), event.clone());
            tasks.spawn_local(async move { senders.signal_one(&process, &event).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn signal_one(self: &Rc<Self>, process: &Rc<Process>, event: &RawEvent) {
        if self.executable.is_none() {
            let text = format!("{} is not this rehearsal's to signal", process.name);
            self.world.record(Event::Mark { text });
            return;
        }
        match event.kind {
            EventKind::Sighup => self.send(process, Signal::Hup),
            EventKind::Sigstop => {
                self.send(process, Signal::Stop);
                tokio::time::sleep(duration(event.span())).await;
                self.send(process, Signal::Cont);
            }
            EventKind::Upgrade => self.upgrade(process).await,
            EventKind::LameDuck => {
                let Some(addr) = process.management() else { return };
                self.call(process, addr, "POST /_lameduck/on").await;
                process.lame_duck_since.set(Some(self.world.now()));
                tokio::time::sleep(duration(event.span())).await;
                self.call(process, addr, "POST /_lameduck/off").await;
                process.lame_duck_since.set(None);
            }
            EventKind::Retune => {
                let Some(before) = self.configure(process, extra_class_and_half_attempts) else { return };
                tokio::time::sleep(duration(event.span())).await;
                self.write_config(process, &before);
                self.send(process, Signal::Hup);
            }
            EventKind::RetuneWrong => {
                let Some(before) = self.configure(process, invalid_config) else { return };
                // The valid configuration is restored soon, so that a restarted sender finds a valid file.
                tokio::time::sleep(Duration::from_millis(200)).await;
                self.write_config(process, &before);
            }
            EventKind::Crowd => {
                let connections = event.connections.unwrap_or(1);
                crowd::run(process.addr, connections, duration(event.span())).await;
            }
            EventKind::Sigterm => {
                let ended = process.ended.notified();
                self.send(process, Signal::Term);
                if tokio::time::timeout(TERM_TIMEOUT, ended).await.is_err() {
                    self.kill(process).await;
                }
                self.start_again(process, event).await;
            }
            _ => {
                self.kill(process).await;
                self.start_again(process, event).await;
            }
        }
    }

    /// Starts a second process while the sender's old process runs.
    /// Ends the sender's old process when the second process is ready, or its time-out for readiness has passed.
    async fn upgrade(self: &Rc<Self>, process: &Rc<Process>) {
        let Some(old) = process.pid.get() else { return };
        let started = self.world.now();
        if let Err(e) = self.start(process) {
            self.world.record(Event::Mark { text: e.to_string() });
            return;
        }
        let Some(addr) = process.management() else { return };
        let ready = async {
            while management::call(addr, "GET /_ready").await.ok() != Some(200) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let ready = tokio::time::timeout(UPGRADE_TIMEOUT, ready).await.is_ok();
        let took = (self.world.now() - started) / 1000;
        let text = match ready {
            true => format!("{}: the process in its place was ready after {took} ms", process.name),
            false => format!("{}: the process in its place was not ready within {took} ms", process.name),
        };
        self.world.record(Event::Mark { text });
        // The old process may have ended by itself, so errors of SIGTERM and SIGKILL are ignored.
        _ = unix::kill(Pid::from_raw(old), unix::Signal::SIGTERM);
        let gone = async {
            while unix::kill(Pid::from_raw(old), None).is_ok() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(TERM_TIMEOUT, gone).await.is_err() {
            _ = unix::kill(Pid::from_raw(old), unix::Signal::SIGKILL);
        }
    }

    async fn call(&self, process: &Process, addr: SocketAddr, call: &str) {
        let text = match management::call(addr, call).await {
            Ok(200..300) => return,
            Ok(status) => format!("{}: {call} was answered {status}", process.name),
            Err(e) => format!("{}: {call}: {e}", process.name),
        };
        self.world.record(Event::Mark { text });
    }

    /// Changes the sender's configuration with `change` and sends SIGHUP; returns the configuration's previous text.
    fn configure(&self, process: &Process, change: impl FnOnce(&mut Value)) -> Option<Vec<u8>> {
        let before = std::fs::read(process.config()).ok()?;
        let mut config = serde_json::from_slice(&before).ok()?;
        change(&mut config);
        self.write_config(process, format!("{config:#}\n").as_bytes());
        self.send(process, Signal::Hup);
        Some(before)
    }

    fn write_config(&self, process: &Process, text: &[u8]) {
        let path = process.config();
        if let Err(e) = std::fs::write(&path, text) {
            self.world.record(Event::Mark { text: format!("{}: {e}", path.display()) });
        }
    }

    async fn kill(&self, process: &Process) {
        let ended = process.ended.notified();
        if process.pid.get().is_some() {
            self.send(process, Signal::Kill);
            _ = tokio::time::timeout(EXIT_TIMEOUT, ended).await;
        }
    }

    async fn start_again(self: &Rc<Self>, process: &Rc<Process>, event: &RawEvent) {
        tokio::time::sleep(duration(event.down.map_or(DEFAULT_DOWN_US, |s| s.0))).await;
        if let Err(e) = self.start(process) {
            self.world.record(Event::Mark { text: e.to_string() });
            return;
        }
        self.ready(process, super::READY_TIMEOUT_US).await;
    }

    fn send(&self, process: &Process, signal: Signal) {
        let Some(pid) = process.pid.get() else { return };
        let which = match signal {
            Signal::Term => unix::Signal::SIGTERM,
            Signal::Kill => unix::Signal::SIGKILL,
            Signal::Hup => unix::Signal::SIGHUP,
            Signal::Stop => unix::Signal::SIGSTOP,
            Signal::Cont => unix::Signal::SIGCONT,
        };
        if matches!(signal, Signal::Term | Signal::Kill) {
            process.planned.set(true);
        }
        self.world.record(Event::Signal { sender: process.index, signal });
        if let Err(e) = unix::kill(Pid::from_raw(pid), which) {
            self.world.record(Event::Mark { text: format!("{}: {e}", process.name) });
        }
    }

    /// Kills all senders' processes.
    /// Must be called after the history's last record, so that the judge ignores the ends of the processes.
    pub async fn end(&self) {
        for process in &self.all {
            process.planned.set(true);
            if let Some(pid) = process.pid.get() {
                _ = unix::kill(Pid::from_raw(pid), unix::Signal::SIGKILL);
            }
        }
        let ended = async {
            while self.all.iter().any(|p| p.pid.get().is_some()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        _ = tokio::time::timeout(EXIT_TIMEOUT, ended).await;
    }
}

/// Adds a class to a sender's configuration and halves the maximum number of attempts.
fn extra_class_and_half_attempts(config: &mut Value) {
    let attempts = &mut config["settings"]["Limits"]["MaxAttempts"];
    *attempts = json!((attempts.as_i64().unwrap_or(2) / 2).max(1));
    if let Some(classes) = config["settings"]["Profiles"].as_array_mut()
        && let Some(mut more) = classes.first().cloned()
    {
        more["Name"] = json!("one-more");
        classes.push(more);
    }
}

/// Makes a sender's configuration invalid with a negative deadline, and changes the directory and the class names.
/// A sender that wrongly applied a part of the invalid configuration could not continue.
fn invalid_config(config: &mut Value) {
    config["discovery"] = json!("127.0.0.1:9");
    for class in config["settings"]["Profiles"].as_array_mut().into_iter().flatten() {
        class["Name"] = json!(format!("{}-x", class["Name"].as_str().unwrap_or_default()));
        class["HardLimitUs"] = json!(-5);
    }
}

/// Reserves a port on loopback with a socket that is bound but does not listen.
/// Each process of the sender can then listen on the reserved port.
fn reserve_port() -> std::io::Result<(SocketAddr, TcpSocket)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    Ok((socket.local_addr()?, socket))
}

async fn ping(addr: SocketAddr) -> std::io::Result<()> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer).await?;
        if &answer == b"+PONG\r\n" { Ok(()) } else { Err(std::io::Error::other("no PONG")) }
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await.map_err(std::io::Error::other)?
}

/// Returns the configuration that the platform would write for the sender with the given index.
fn config(world: &World, directory: &Directory, index: usize, addr: SocketAddr) -> Value {
    let scenario = &world.scenario;
    let sender = &scenario.senders[index];
    json!({
        "name": scenario.parameters.senders[index].name,
        "listen": addr.to_string(),
        "discovery": directory.addr(index).to_string(),
        "seed": format!("{:016x}", scenario.parameters.seed ^ (index as u64 + 1)),
        "limits": {"cores": 1.0, "memory_mb": sender.memory_mb, "sockets": sender.sockets, "disk_mb": sender.disk_mb},
        "known": directory.listing(index),
        "settings": settings(world, index),
    })
}

fn settings(world: &World, index: usize) -> Value {
    let scenario = &world.scenario;
    let parameters = &scenario.parameters;
    let profiles = parameters.classes.iter().map(|c| {
        let effect = match c.effect {
            Effect::Safe => "free",
            Effect::Keyed => "guarded",
            Effect::Unsafe => "single_shot",
        };
        json!({
            "Name": c.name, "Effect": effect, "Group": "all", "HardLimitUs": c.deadline, "ObjectiveUs": c.aim,
            "WindowUs": c.window, "LateShare": c.late_share, "Worth": c.worth, "SerialByKey": c.ordered,
        })
    });
    let quota = |q: f64| if q < 1e12 { q } else { 1e12 };
    let customers = parameters.tenants.iter().map(|t| json!({"Name": t.name, "QuotaRps": quota(t.quota)}));
    let settle = parameters.classes.iter().map(|c| c.order_settle).max().unwrap_or(0);
    let shared = &scenario.settings;
    json!({
        "Azs": scenario.network.zones,
        "Balancers": scenario.settings.advertised_senders(parameters.senders.len()),
        "Zone": scenario.senders[index].zone,
        "QuantumUs": shared.quantum.0,
        "Customers": customers.collect::<Vec<_>>(),
        "OverShareWorth": parameters.over_share_worth,
        "Shapes": scenario.kinds.iter().map(|k| &k.name).collect::<Vec<_>>(),
        "Weights": "nominal",
        "FamilyInfo": {
            "BatchByKind": scenario.kinds.iter().map(|k| k.batch).collect::<Vec<_>>(),
            "KindApart": scenario.kinds.iter().map(|k| k.separate_routes).collect::<Vec<_>>(),
            "Late": "line", "Workers": parameters.senders[index].slots,
        },
        "Limits": {
            "Cancel": shared.cancel, "ConnectTimeoutUs": shared.connect_timeout.0, "IdleCloseUs": shared.idle_close.0,
            "MaxAttempts": parameters.rules.max_attempts, "MaxOpen": parameters.senders[index].max_open,
            "MaxRetryAfterUs": shared.max_retry_after.0, "Peers": false, "Probes": shared.probes,
            "SecondCopies": parameters.rules.second_copies, "StreamsPerConn": 1,
        },
        "Prices": {"CrossZone": 0.01, "Handshake": 0.04},
        "Profiles": profiles.collect::<Vec<_>>(),
        "Rules": {
            "DrainGraceUs": parameters.rules.drain_grace, "FallMultiple": parameters.rules.fall_multiple,
            "FallUs": parameters.rules.fall_window, "OrderSettleUs": settle,
            "ColdFrom": parameters.receivers.iter().map(|r| r.cold_from).fold(1.0, f64::min),
            "WarmUpUs": parameters.receivers.iter().map(|r| r.warm_up).max().unwrap_or(0),
        },
    })
}
