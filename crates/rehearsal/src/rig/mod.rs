//! The rig runs real senders against stand-in receivers, a directory and clients on loopback, all on one thread.
//!
//! The rig only acts and records what its stand-ins see. The judge works from the records alone.

mod clients;
mod control;
mod crowd;
mod directory;
mod management;
mod receivers;
mod repeated_answer;
mod senders;

use crate::event::{EventKind, RawEvent};
use crate::history::{Event, FORMAT, Recorder};
use crate::plan::{Planned, plan};
use crate::scenario::Scenario;
use crate::span::{Micros, duration};
use clients::Clients;
use directory::Directory;
use receivers::Receivers;
use senders::Senders;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

pub use control::send_command;

/// Period of the timer that measures the lateness of the rig itself.
const LAG_CHECK_INTERVAL_US: Micros = 5_000;
/// Capacity of the queue of refused messages that are on their way back to their clients.
/// While the queue is full, senders wait for the answers to their notices.
const MAX_PENDING_REFUSALS: usize = 1024;
/// Time-out for a sender to become ready after its start.
const READY_TIMEOUT_US: Micros = 30_000_000;
/// Time after the last deadline within which a sender's notice may still arrive.
const NOTICE_TAIL_US: Micros = 2_500_000;

/// The senders under rehearsal.
#[derive(Clone, Debug)]
pub enum Subject {
    /// Sender processes of the given executable, which the rig starts and restarts.
    Spawn(PathBuf),
    /// Senders that the rig did not start: their addresses for clients, in the scenario's order.
    /// The rig writes the configurations of these senders but cannot send them signals.
    External(Vec<SocketAddr>),
}

/// Options of a rehearsal that its scenario does not define.
#[derive(Clone, Debug)]
pub struct Options {
    /// The senders to rehearse, and who starts them.
    pub subject: Subject,
    /// Folder for the history and the senders' configurations, states and logs.
    pub folder: PathBuf,
    /// Address of the control port; `None` to run without a control port.
    pub control: Option<SocketAddr>,
    /// If true, the rig's clients send no messages, for example because clients run elsewhere.
    pub serve_only: bool,
    /// Time, counted from when all senders are ready, at which the rig's thread blocks, and for how long.
    /// Tests block the rig's thread to make a run void.
    pub stall: Option<(Micros, Micros)>,
}

/// Reason why a rehearsal could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// The load plan is invalid.
    #[error("{0}")]
    Plan(#[from] crate::plan::PlanError),
    /// An operation of the operating system failed.
    #[error("{what}: {error}")]
    Io {
        /// The failed operation, or the path or address that it used.
        what: String,
        /// The I/O error of the failed operation.
        error: io::Error,
    },
    /// A sender did not become ready within the time-out.
    #[error("sender {sender} did not answer PING within {seconds} s; see its log {}", log.display())]
    NotReady {
        /// Name of the sender that is not ready.
        sender: String,
        /// The time-out for readiness in seconds.
        seconds: i64,
        /// Path of the unready sender's log.
        log: PathBuf,
    },
}

impl RigError {
    fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> RigError {
        let what = what.into();
        move |error| RigError::Io { what, error }
    }
}

/// Progress of a rehearsal, for display.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time since the run began.
    pub t: Micros,
    /// Time at which the planned traffic ends.
    pub length: Micros,
    /// Number of messages that clients have sent so far, without retries.
    pub offered: u64,
    /// Number of messages that were delivered so far.
    pub delivered: u64,
    /// Number of refusals so far, including refusals of retries.
    pub refused: u64,
    /// Number of messages given up by senders so far.
    pub failed: u64,
}

/// State that all parts of the rig share: scenario, recorder and counters.
struct World {
    scenario: Scenario,
    recorder: Recorder,
    calls: Cell<u64>,
    progress: Cell<Progress>,
    /// Messages without a final outcome so far, by id. Clients retry these messages after a refusal.
    open_messages: RefCell<HashMap<String, clients::ClientMessage>>,
    /// Queue of messages refused after their acceptance, each with the retry-after in milliseconds (0 if none).
    returned_messages: tokio::sync::mpsc::Sender<(clients::ClientMessage, u64)>,
    /// Number of clients' messages that wait for a reply or for a retry.
    pending_puts: Cell<usize>,
}

impl World {
    fn record(&self, event: Event) -> Micros {
        self.recorder.record(event)
    }

    fn now(&self) -> Micros {
        self.recorder.now()
    }

    fn count(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }

    fn next_call(&self) -> u64 {
        self.calls.set(self.calls.get() + 1);
        self.calls.get()
    }

    /// Counts the message as delivered. Only the first invocation for a message has an effect.
    fn delivered(&self, id: &str) {
        if self.open_messages.borrow_mut().remove(id).is_some() {
            self.count(|p| p.delivered += 1);
        }
    }
}

/// The parts of the rig that timeline events act on.
struct Rig {
    world: Rc<World>,
    receivers: Rc<Receivers>,
    directory: Rc<Directory>,
    senders: Rc<Senders>,
}

/// Runs a rehearsal and records `history.jsonl` in the options' folder; returns the path of the history.
/// `watch` is called with the rehearsal's progress a few times per second.
///
/// # Errors
/// Fails if something could not be started or the history could not be written; there is then nothing to judge.
pub fn run(
    scenario: Scenario,
    options: &Options,
    watch: impl FnMut(Progress) + 'static,
) -> Result<PathBuf, RigError> {
    let planned = if options.serve_only { Vec::new() } else { plan(&scenario)? };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RigError::io("starting the asynchronous runtime"))?;
    LocalSet::new().block_on(&runtime, run_rehearsal(scenario, planned, options, watch))
}

async fn run_rehearsal(
    scenario: Scenario,
    planned: Vec<Planned>,
    options: &Options,
    watch: impl FnMut(Progress) + 'static,
) -> Result<PathBuf, RigError> {
    std::fs::create_dir_all(&options.folder).map_err(RigError::io(options.folder.display().to_string()))?;
    let path = options.folder.join("history.jsonl");
    let recorder = Recorder::create(&path).map_err(RigError::io(path.display().to_string()))?;
    let (returned_messages, returned_queue) = tokio::sync::mpsc::channel(MAX_PENDING_REFUSALS);
    let world = Rc::new(World {
        scenario,
        recorder,
        calls: Cell::new(0),
        progress: Cell::default(),
        open_messages: RefCell::default(),
        returned_messages,
        pending_puts: Cell::new(0),
    });
    let parameters = Box::new(world.scenario.parameters.clone());
    world.record(Event::Run { format: FORMAT, parameters });
    let directory = Directory::start(world.clone()).await.map_err(RigError::io("starting the directory"))?;
    let receivers = Receivers::start(world.clone(), directory.clone());
    receivers.open_all().await.map_err(RigError::io("starting the receivers"))?;
    directory.deliver_all();
    let senders = Senders::prepare(world.clone(), &directory, options)?;
    let rig = Rc::new(Rig { world: world.clone(), receivers, directory, senders: senders.clone() });
    if let Some(addr) = options.control {
        control::listen(rig.clone(), addr).await.map_err(RigError::io(format!("control port {addr}")))?;
    }
    senders.start_all()?;
    senders.wait_ready(READY_TIMEOUT_US).await?;

    // Times of the traffic and the timeline count from the moment at which all senders are ready.
    let traffic_start = world.now();
    world.count(|p| p.length = traffic_start + world.scenario.parameters.length);
    tokio::task::spawn_local(measure_lag(world.clone()));
    tokio::task::spawn_local(report_progress(world.clone(), watch));
    if let Some((after, span)) = options.stall {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(duration(after)).await;
            std::thread::sleep(duration(span));
        });
    }
    tokio::task::spawn_local(timeline(rig.clone(), traffic_start));
    let clients = Clients::new(world.clone(), senders.clone());
    tokio::task::spawn_local(clients.clone().retry_returned(returned_queue));
    if options.serve_only {
        tokio::select! {
            _ = tokio::time::sleep(duration(world.scenario.parameters.length)) => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    } else {
        clients.play(planned, traffic_start).await;
        settle(&world, traffic_start).await;
    }
    world.record(Event::End);
    senders.end().await;
    world.recorder.close().map_err(RigError::io(path.display().to_string()))?;
    Ok(path)
}

/// Waits until all messages have a final outcome, or until it is too late for any notice.
async fn settle(world: &World, traffic_start: Micros) {
    let longest = world.scenario.parameters.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    // Clients may retry until the longest deadline after the traffic's end, so the deadline counts twice.
    let latest = traffic_start + world.scenario.parameters.length + 2 * longest + NOTICE_TAIL_US;
    loop {
        let idle = world.pending_puts.get() == 0 && world.open_messages.borrow().is_empty();
        if idle || world.now() > latest {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Leaves time to record what senders still send after all messages have a final outcome.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Records once a second how late the rig's own timers are.
async fn measure_lag(world: Rc<World>) {
    let mut next = world.now();
    let (mut max_lag, mut recorded) = (0, next);
    loop {
        next += LAG_CHECK_INTERVAL_US;
        tokio::time::sleep_until(world.recorder.instant(next)).await;
        let now = world.now();
        max_lag = max_lag.max(now - next);
        next = next.max(now - LAG_CHECK_INTERVAL_US);
        if now - recorded >= 1_000_000 {
            world.record(Event::Lag { max_us: max_lag });
            (max_lag, recorded) = (0, now);
        }
    }
}

async fn report_progress(world: Rc<World>, mut watch: impl FnMut(Progress)) {
    loop {
        world.count(|p| p.t = world.now());
        watch(world.progress.get());
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

async fn timeline(rig: Rc<Rig>, traffic_start: Micros) {
    for (at, event) in rig.world.scenario.events.clone() {
        tokio::time::sleep_until(rig.world.recorder.instant(traffic_start + at)).await;
        tokio::task::spawn_local(rig.clone().apply(event));
    }
}

impl Rig {
    /// Applies an event to its targets, and returns when the event is over.
    async fn apply(self: Rc<Self>, event: RawEvent) {
        self.world.record(Event::Mark { text: event.to_string() });
        let span = duration(event.span());
        match event.kind {
            EventKind::Silent
            | EventKind::Hang
            | EventKind::Shut
            | EventKind::Down
            | EventKind::Slow
            | EventKind::Reset
            | EventKind::Fail
            | EventKind::Late
            | EventKind::Wait
            | EventKind::RepeatedAnswers
            | EventKind::Cold => self.receivers.inject(&event).await,
            EventKind::Drain | EventKind::Replace => self.receivers.replace(&event).await,
            EventKind::Join => self.receivers.join(&event).await,
            EventKind::DirectoryLag => self.directory.lag(&event, span).await,
            EventKind::DirectorySilent => self.directory.silent(&event, span).await,
            EventKind::DirectorySnapshots => self.directory.snapshots(&event, span).await,
            EventKind::DirectoryDeaf => self.directory.reject_notices(&event, span).await,
            EventKind::RepeatedConfirmations => self.directory.repeat_confirmations(&event, span).await,
            EventKind::DirectoryBack => self.directory.roll_back(&event),
            EventKind::Sigterm
            | EventKind::Sigkill
            | EventKind::Sighup
            | EventKind::Sigstop
            | EventKind::Upgrade
            | EventKind::LameDuck
            | EventKind::Retune
            | EventKind::RetuneWrong
            | EventKind::Crowd => self.senders.signal(&event).await,
        }
    }
}

/// Returns the folder for a sender's configuration, state and log.
fn sender_folder(options: &Options, name: &str) -> PathBuf {
    Path::new(&options.folder).join(name)
}
