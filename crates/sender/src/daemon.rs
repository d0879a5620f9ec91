//! The daemon: reads the configuration and the environment, then builds and runs the daemon's components.

use crate::call_log::CallLog;
use crate::clients::Origin;
use crate::clock::Clock;
use crate::driver::{Driver, HandoverContext, InitialList, Parts};
use crate::input::Input;
use crate::list_limit::{self, ListLimit};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::placement::forward::Forwarder;
use crate::placement::member_list::MemberListFollower;
use crate::poll_schedule::PollSchedule;
use crate::status::{Change, SharedStatus};
use crate::{
    calls, clients, discovery, endpoint_table, handover, inherited_socket, journal, mgmt, notices,
    reload_check,
};
use embershore_options::{Options, OptionsError};
use embershore_owed::ClassFacts;
use embershore_placement::MAX_REPLICAS;
use embershore_protocol::listing::Listing;
use embershore_protocol::settings::{ProfileData, setting_path};
use heronroute::{ClassSettings, MsgId, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::cell::RefCell;
use std::error::Error;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

const DEFAULT_CONNECT_TIMEOUT_US: i64 = 1_500_000;
/// Time for writing the last replies to clients after the driver has ended.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(20);
/// Time that a starting sender waits for discovery's endpoint list before it uses the configuration's list.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a starting process checks whether discovery's endpoint list has arrived.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Capacity of the driver's input queue. A task that sends to the full queue waits.
const MAX_QUEUED_INPUTS: usize = 1024;
/// The largest number of bytes that a semaphore can count; more than any machine's memory.
const MAX_COUNTED_BYTES: usize = tokio::sync::Semaphore::MAX_PERMITS;

/// Time that a starting sender waits for the member list from a control agent.
const MEMBER_LIST_WAIT: Duration = Duration::from_secs(2);
/// Time that a starting sender waits for the placement table to be built from the member list.
/// Building the table takes up to a second at full size, and more on a busy machine.
const TABLE_WAIT: Duration = Duration::from_secs(8);
/// Interval of the attempts to bind the forward address, which the predecessor may still use.
const FORWARD_BIND_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
pub(crate) struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    /// Address of the management interface, unless `LB_MGMT` gives another.
    mgmt: Option<SocketAddr>,
    known: Option<Listing>,
    pub(crate) settings: ProfileData,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128.0, sockets: 1024, disk_mb: 3.0 }
    }
}

impl Limits {
    /// Checks that no limit in the configuration is zero: a sender without memory, sockets or disk can do nothing.
    fn check(&self) -> Result<(), String> {
        let (disk, memory) = (self.disk_mb, self.memory_mb);
        let all = [("disk_mb", disk > 0.0), ("memory_mb", memory > 0.0), ("sockets", self.sockets > 0)];
        match all.iter().find(|(_, good)| !good) {
            Some((field, _)) => Err(format!("limits.{field}: must be greater than 0")),
            None => Ok(()),
        }
    }

    /// Returns the limits on clients' connections and on the memory for their commands and messages.
    /// Clients' connections get a third of the descriptors.
    /// Incomplete commands and messages without a reply get an eighth of the memory each.
    /// The rest of the memory is for the journal's messages, for the journal's copy during a compaction, and for calls.
    /// The disk limit bounds the journal's messages, and the slots bound the calls.
    fn clients(&self) -> clients::ClientLimits {
        let eighth_of_memory = ((self.memory_mb * 1e6 / 8.0) as usize).min(MAX_COUNTED_BYTES);
        clients::ClientLimits {
            connections: (self.sockets / 3).max(1),
            buffers: eighth_of_memory,
            bodies: eighth_of_memory,
        }
    }
}

impl Config {
    /// Reads and checks a configuration file.
    pub(crate) fn read(path: &Path) -> Result<Self, String> {
        Ok(Self::read_with_value(path)?.0)
    }

    /// Reads a configuration file. Returns the configuration also as JSON, without the content of the field `known`.
    fn read_with_value(path: &Path) -> Result<(Self, Value), String> {
        let at = |e: &dyn Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| at(&e))?;
        let mut value: Value = serde_json::from_str(&text).map_err(|e| at(&e))?;
        let config = Self::of(value.clone()).map_err(|e| at(&e))?;
        if let Some(Value::Object(known)) = value.get_mut("known") {
            // The content of the field `known` may be long, and a reload checks only whether the field is present.
            known.clear();
        }
        Ok((config, value))
    }

    /// Converts and checks the content of a configuration file. An error names the field's path.
    fn of(value: Value) -> Result<Self, String> {
        let config: Config =
            serde_path_to_error::deserialize(without_nulls(value)).map_err(|e| e.to_string())?;
        config.limits.check()?;
        Ok(config)
    }
}

/// Returns the properties of the classes against which the operator's options are checked.
pub(crate) fn class_facts(names: Vec<String>, settings: &[ClassSettings]) -> Vec<ClassFacts> {
    let facts = |(name, class): (String, &ClassSettings)| {
        let (effect, window, deadline) = (class.effect, class.window, class.deadline);
        ClassFacts { name, effect, window, deadline }
    };
    names.into_iter().zip(settings).map(facts).collect()
}

/// Removes the configuration's fields that are null, so that their defaults apply.
fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields = fields.into_iter().filter(|(_, field)| !field.is_null());
            Value::Object(fields.map(|(name, field)| (name, without_nulls(field))).collect())
        }
        Value::Array(entries) => Value::Array(entries.into_iter().map(without_nulls).collect()),
        other => other,
    }
}

/// Formats an error of the dispatcher's settings with the field's path in the configuration file.
fn settings_error(e: &SettingsError) -> String {
    format!("settings.{}: must be {}", setting_path(e), e.requirement)
}

/// The settings of a reloaded configuration that a running sender applies.
struct ReloadedConfig {
    discovery: SocketAddr,
    classes: Vec<(String, ClassSettings)>,
    /// The content of the configuration file.
    value: Value,
}

impl ReloadedConfig {
    /// Reads a configuration file and checks the configuration against the running one.
    fn read(path: &Path, running: &Value) -> Result<Self, String> {
        let (config, value) = Config::read_with_value(path)?;
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        reload_check::check(running, &value).map_err(|e| at(&e))?;
        let (names, settings) = (config.settings.names().classes, config.settings.settings());
        settings.validate().map_err(|e| at(&settings_error(&e)))?;
        let classes = names.into_iter().zip(settings.classes).collect();
        Ok(ReloadedConfig { discovery: config.discovery, classes, value })
    }
}

/// The file to reload, the configuration in force, and the channels for the reloaded settings.
struct Reload {
    path: PathBuf,
    /// The configuration that the sender runs with, as JSON.
    running: Value,
    discovery: watch::Sender<SocketAddr>,
    metrics: Rc<Metrics>,
    inputs: mpsc::Sender<Input>,
}

/// Reloads the configuration at each SIGHUP. Applies discovery's address, the classes and the number of attempts.
/// Other settings take effect when the sender restarts. An unreadable or invalid configuration changes nothing.
async fn reload(mut to: Reload, mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        match ReloadedConfig::read(&to.path, &to.running) {
            Ok(ReloadedConfig { discovery, classes, value }) => {
                to.running = value;
                // The classes are sent before discovery's address is changed.
                // A busy driver must not get listings from the new address without the new classes.
                _ = to.inputs.send(Input::ClassesReloaded(classes)).await;
                let moved = to.discovery.send_if_modified(|addr| {
                    let before = std::mem::replace(addr, discovery);
                    before != *addr
                });
                to.metrics.applied.set(to.metrics.applied.get() + 1);
                let change = if moved { "changed to" } else { "still at" };
                eprintln!("configuration {} reloaded: discovery {change} {discovery}", to.path.display());
            }
            Err(e) => {
                to.metrics.rejected.set(to.metrics.rejected.get() + 1);
                eprintln!("configuration: reload failed, the running one stays in force: {e}");
            }
        }
    }
}

/// Returns the management interface's address: the value of `LB_MGMT`, or else the address in the configuration.
/// Each process of a sender may be started with another value of `LB_MGMT`.
fn mgmt_address(configured: Option<SocketAddr>) -> Result<Option<SocketAddr>, String> {
    match std::env::var("LB_MGMT") {
        Ok(addr) if !addr.is_empty() => {
            addr.parse().map(Some).map_err(|_| format!("LB_MGMT: '{addr}' is not of the form ADDRESS:PORT"))
        }
        _ => Ok(configured),
    }
}

/// How this process obtains its journal and the clients' listening socket.
enum Startup {
    /// The process opens the journal and the listening socket at its start, without waiting.
    Standalone(Box<journal::Journal>, TcpListener),
    /// The process inherits the listening socket from the platform; the journal may still belong to another process.
    InheritedSocket(std::net::TcpListener),
}

/// Reads the operator's options file, which the command line or else `LB_OPTIONS` names.
/// Without an options file, all the operator's options are off.
fn operator_options(file: Option<PathBuf>, classes: &[ClassFacts]) -> Result<Options, OptionsError> {
    let named = || std::env::var_os("LB_OPTIONS").filter(|name| !name.is_empty()).map(PathBuf::from);
    match file.or_else(named) {
        Some(path) => Options::read(&path, classes),
        None => Ok(Options::default()),
    }
}

/// Retains the destinations of all messages from an earlier process, whichever sender owns these destinations now.
fn retain_destinations(placement: &Placement, journal: &journal::Journal) {
    for (id, entry) in journal.entries() {
        if entry.progress.end.is_none() {
            placement.add_pending(MsgId(id), entry.accepted.dest);
        }
    }
}

/// Waits for the member list for a limited time: messages of an earlier process are delivered without a member list.
async fn wait_for_members(placement: &Placement) {
    let begun = tokio::time::Instant::now();
    let waits = || begun.elapsed() < if placement.is_reading() { TABLE_WAIT } else { MEMBER_LIST_WAIT };
    while placement.epoch().is_none() && waits() {
        tokio::time::sleep(LIST_POLL_INTERVAL).await;
    }
    if placement.epoch().is_none() {
        eprintln!(
            "placement: no member list after {:?}; starting without it: new messages are refused, and until the next \
             start limits are shared as in the last run, or else among {MAX_REPLICAS} owners",
            begun.elapsed()
        );
    }
}

/// Returns the endpoints of a list that this sender retains; without placement all endpoints.
fn owned_part(mut list: Listing, placement: Option<&Placement>) -> Listing {
    if let Some(placement) = placement {
        list.endpoints.retain(|line| placement.retains(line.group));
        placement.scale_limits(&mut list);
    }
    list
}

/// Continues the clock of the times in the journal, and records it for the next process.
/// If the folder can't be written, the next process starts at the wall clock's time.
fn start_clock(journal: &mut journal::Journal) -> Clock {
    let (clock, anchor) = Clock::start(journal.clock());
    if let Some(Err(e)) = anchor.map(|anchor| journal.record_clock_started(anchor)) {
        eprintln!("journal: recording the clock failed: {e}");
    }
    clock
}

/// Binds an address as soon as the predecessor has released it.
async fn bind_when_free(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(FORWARD_BIND_INTERVAL).await,
        }
    }
}

/// Builds the daemon's components and runs the components until the driver ends.
async fn serve(options_file: Option<PathBuf>) -> Result<(), Box<dyn Error>> {
    let inherited = inherited_socket::listener()?;
    // The signal handlers are installed before anything is awaited: by default SIGTERM or SIGHUP ends the process.
    let (mut terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let required_variable = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
    let path = PathBuf::from(required_variable("LB_CONFIG")?);
    let (mut config, running) = Config::read_with_value(&path)?;
    // All settings are checked before a client can connect.
    // A client whose connection ends without a reply has lost its message.
    let names = config.settings.names();
    let connect_timeout =
        config.settings.connect_timeout().filter(|t| *t > 0).unwrap_or(DEFAULT_CONNECT_TIMEOUT_US);
    let ask_every = config.settings.poll_interval().map(|every| Duration::from_micros(every.max(0) as u64));
    let mut settings = config.settings.settings();
    settings.validate().map_err(|e| format!("{}: {}", path.display(), settings_error(&e)))?;
    let options = operator_options(options_file, &class_facts(names.classes.clone(), &settings.classes))?;
    let state = PathBuf::from(required_variable("LB_STATE")?);
    let placement =
        options.placement.map(|section| Rc::new(Placement::new(section, &names.classes, &settings, &state)));
    let open_journal = || {
        journal::Journal::open(&state, (config.limits.disk_mb * 1e6) as u64)
            .map_err(|e| format!("opening the journal in {}: {e}", state.display()))
    };
    let startup = match inherited {
        None => {
            let journal = Box::new(open_journal()?);
            let listener = TcpListener::bind(config.listen).await;
            Startup::Standalone(journal, listener.map_err(|e| format!("listen on {}: {e}", config.listen))?)
        }
        Some(socket) => Startup::InheritedSocket(socket),
    };
    let forward_listener = match (&placement, &startup) {
        (Some(placement), Startup::Standalone(journal, _)) => {
            retain_destinations(placement, journal);
            let address = placement.options.listen;
            let bound = TcpListener::bind(address).await;
            Some(bound.map_err(|e| format!("placement: listen on {address}: {e}"))?)
        }
        _ => None,
    };

    // Each call has a connection of its own.
    settings.reuses_connections = false;
    let endpoints = Rc::new(RefCell::new(endpoint_table::EndpointTable::new(names.clone())));
    let metrics = Rc::new(Metrics::default());
    let shared = clients::Shared::default();
    let mgmt = mgmt_address(config.mgmt)?;
    let calls = calls::Calls::new(
        endpoints.clone(),
        metrics.clone(),
        CallLog::from_environment(),
        Duration::from_micros(connect_timeout as u64),
    );
    let (inputs, inbox) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (notices, queue) = mpsc::unbounded_channel();
    let status = SharedStatus::new();
    let list_limit = ListLimit::from_memory_mb(config.limits.memory_mb);
    metrics.lists.limit.set(list_limit.bytes());
    if let Some(too_long) = config.known.as_ref().and_then(|list| list_limit.check_configured(list).err()) {
        list_limit::reject(&metrics, too_long, false);
        config.known = None;
    }
    let (discovery, follow_discovery) = watch::channel(config.discovery);
    // An endpoint list of version 0 in the configuration counts as no list.
    // But a list of version 0 counts if it contains endpoints and polls are costly for discovery.
    let index =
        config.known.as_ref().filter(|l| l.index > 0 || (ask_every.is_some() && !l.endpoints.is_empty()));
    let index = index.map(|l| l.index);
    let seed = u64::from_str_radix(&config.seed, 16).unwrap_or(0);
    let schedule = PollSchedule::new(ask_every, seed);
    // Where polls of many senders are spread over time, the configuration's endpoint list is used at first.
    let list_wait = if schedule.is_costly() { Duration::ZERO } else { FIRST_LIST_WAIT };
    if let Some(addr) = mgmt {
        let management = mgmt::Management {
            status: status.clone(),
            metrics: metrics.clone(),
            endpoints: endpoints.clone(),
            placement: placement.clone(),
        };
        let listener = TcpListener::bind(addr)
            .await
            .map_err(|e| format!("management interface: listen on {addr}: {e}"))?;
        tokio::task::spawn_local(mgmt::serve(listener, management));
    }
    if let Some(placement) = &placement {
        let (placement, endpoints, inputs) = (placement.clone(), endpoints.clone(), inputs.clone());
        tokio::task::spawn_local(MemberListFollower { placement, endpoints, inputs }.run());
    }
    if let Some(placement) = &placement {
        wait_for_members(placement).await;
        // The dispatcher shares a destination's limit among `senders` senders.
        settings.senders = placement.fix_sharers();
    }
    // A process that waits for the journal may get discovery's endpoint list long before the journal.
    // The configuration's older endpoint list is applied now, so that it can't overwrite discovery's list later.
    let known = InitialList::from_config(config.known.map(|list| owned_part(list, placement.as_deref())));
    let taken = match &known {
        InitialList::Configured(list) if matches!(startup, Startup::InheritedSocket(_)) => {
            Some((list.index, endpoints.borrow_mut().apply(&Listing { snapshot: true, ..list.clone() })))
        }
        _ => None,
    };
    let follow = follow_discovery.clone();
    let sink = discovery::ListingSink {
        endpoints: endpoints.clone(),
        driver: inputs.clone(),
        metrics: metrics.clone(),
        limit: list_limit,
        placement: placement.clone(),
    };
    tokio::task::spawn_local(discovery::follow(follow, index, schedule, sink));
    tokio::task::spawn_local(notices::send(follow_discovery, queue, inputs.clone()));
    let to = Reload { path, running, discovery, metrics: metrics.clone(), inputs: inputs.clone() };
    tokio::task::spawn_local(reload(to, hang_up));
    let (stop_status, stop) = (status.clone(), inputs.clone());
    tokio::task::spawn_local(async move {
        terminate.recv().await;
        _ = stop_status.change(Change::Stop);
        _ = stop.send(Input::Stop).await;
    });
    let (mut journal, handover, listener) = match startup {
        Startup::Standalone(journal, listener) => (*journal, None, listener),
        Startup::InheritedSocket(socket) => {
            // Start-up steps that need no journal come first, to shorten the time in which no process serves.
            let begun = tokio::time::Instant::now();
            let needs_list = matches!(known, InitialList::Missing);
            let list_known = async {
                while inbox.is_empty() && (needs_list || begun.elapsed() < list_wait) {
                    tokio::time::sleep(LIST_POLL_INTERVAL).await;
                }
            };
            let taken = handover::take_over(&state, &status, list_known).await;
            let taken = taken.map_err(|e| format!("acquiring the lock in {}: {e}", state.display()))?;
            let Some(handover::Acquired { lock, predecessor }) = taken else { return Ok(()) };
            let journal = open_journal()?;
            if let Some(placement) = &placement {
                retain_destinations(placement, &journal);
                placement.request_pending_destinations();
            }
            let (takeover_sender, takeover_requests) = mpsc::channel(1);
            let handover_socket = lock
                .listen()
                .map_err(|e| format!("creating the handover socket in {}: {e}", state.display()))?;
            tokio::task::spawn_local(handover::accept_takeovers(handover_socket, takeover_sender));
            (
                journal,
                Some(HandoverContext { lock, predecessor, takeover_requests }),
                TcpListener::from_std(socket)?,
            )
        }
    };
    let clock = start_clock(&mut journal);
    let driver = Driver::new(Parts {
        clock,
        seed,
        list_wait,
        settings,
        names,
        journal,
        endpoints,
        calls,
        notices,
        inputs: inputs.clone(),
        status: status.clone(),
        metrics,
        shared: shared.clone(),
        handover,
        placement: placement.clone(),
    })?;
    let clients = config.limits.clients();
    match placement {
        None => {
            let origin = Origin::Clients;
            let serving = clients::serve(listener, clients, inputs, status.subscribe(), shared, origin);
            tokio::task::spawn_local(serving);
        }
        Some(placement) => {
            let limits = clients.halved();
            let origin = Origin::Routed(placement.clone(), Forwarder::new(placement.clone()));
            let (driver, client_status) = (inputs.clone(), status.subscribe());
            tokio::task::spawn_local(clients::serve(
                listener,
                limits,
                driver,
                client_status,
                shared.clone(),
                origin,
            ));
            tokio::task::spawn_local(async move {
                let listener = match forward_listener {
                    Some(listener) => listener,
                    None => bind_when_free(placement.options.listen).await,
                };
                let origin = Origin::Members(placement);
                clients::serve(listener, limits, inputs, status.subscribe(), shared, origin).await;
            });
        }
    }
    // If discovery has sent nothing yet, the configured endpoint list is applied once more.
    // Endpoints that the journal records as draining are left out of the configured endpoint list.
    let known = match taken {
        Some((index, entries)) if !inbox.is_empty() => InitialList::Applied(index, entries),
        _ => known,
    };
    driver.run(inbox, known).await;
    // The replies of the last round are still to be written: a client that gets none has lost its message.
    tokio::time::sleep(FINAL_WRITE_TIME).await;
    Ok(())
}

/// Runs the sender with the configuration in `LB_CONFIG` and the state folder in `LB_STATE`.
/// Returns once the sender has received the stop signal and has stopped.
/// The operator's options are read from `options`, or else from the file that `LB_OPTIONS` names.
///
/// # Errors
/// The sender can't start; the error names the variable, configuration, options, journal or listen address.
pub fn run(options: Option<PathBuf>) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(options))
}
