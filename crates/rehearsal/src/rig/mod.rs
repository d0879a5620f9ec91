//! The rig: stand-in receivers, directory and clients on loopback around real senders, on one thread.
//!
//! Everything here only acts and takes down what it sees; nothing is judged.

mod clients;
mod control;
mod crowd;
mod directory;
mod management;
mod receivers;
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

/// How often the rig looks whether it stands still.
const LAG_CHECK_INTERVAL_US: Micros = 5_000;
/// Refusals of messages that wait for their clients to hear of them; senders wait for room with the answer.
const MAX_PENDING_REFUSALS: usize = 1024;
/// How long senders may take to be ready.
const READY_TIMEOUT_US: Micros = 30_000_000;
/// After the last message's time is up, its notice may still be on its way for this long.
const NOTICE_TAIL_US: Micros = 2_500_000;

/// Which senders are rehearsed.
#[derive(Clone, Debug)]
pub enum Subject {
    /// Processes of this executable, which the rig starts, and starts again.
    Spawn(PathBuf),
    /// Senders that someone else starts: where each listens, in the scenario's order. The rig writes their
    /// configurations and can send them no signal.
    External(Vec<SocketAddr>),
}

/// What a rehearsal needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// Which senders.
    pub subject: Subject,
    /// The folder for the history, the senders' configurations, states and logs.
    pub folder: PathBuf,
    /// Where to listen for what is to be done while it runs; nowhere if not given.
    pub control: Option<SocketAddr>,
    /// Hands nothing in: clients come from elsewhere, or not at all.
    pub serve_only: bool,
    /// For tests of the rig's own honesty: stand still for so long, so long after the start.
    pub stall: Option<(Micros, Micros)>,
}

/// A rehearsal that could not be held.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// The plan can't be made.
    #[error("{0}")]
    Plan(#[from] crate::plan::PlanError),
    /// Something of the machine's.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        error: io::Error,
    },
    /// A sender did not come up.
    #[error("sender {sender} was not ready within {seconds} s; its log is {}", log.display())]
    NotReady {
        /// Which.
        sender: String,
        /// How long was waited.
        seconds: i64,
        /// Its log.
        log: PathBuf,
    },
}

impl RigError {
    fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> RigError {
        let what = what.into();
        move |error| RigError::Io { what, error }
    }
}

/// How far a rehearsal is, for whoever watches it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time of the run.
    pub t: Micros,
    /// Until when traffic is planned.
    pub length: Micros,
    /// Messages handed in so far.
    pub offered: u64,
    /// Delivered so far.
    pub delivered: u64,
    /// Refused so far, hand-ins counted singly.
    pub refused: u64,
    /// Given up so far.
    pub failed: u64,
}

/// What all parts of the rig share.
struct World {
    scenario: Scenario,
    recorder: Recorder,
    calls: Cell<u64>,
    progress: Cell<Progress>,
    /// Messages that were taken on and are not over, for the clients that come again after a refusal.
    open_messages: RefCell<HashMap<String, clients::ClientMessage>>,
    /// Refusals of such messages, for the clients.
    returned_messages: tokio::sync::mpsc::Sender<(clients::ClientMessage, u64)>,
    /// Hand-ins under way.
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

    /// The message is over: it was delivered.
    fn delivered(&self, id: &str) {
        if self.open_messages.borrow_mut().remove(id).is_some() {
            self.count(|p| p.delivered += 1);
        }
    }
}

/// The parts of the rig, for what is done to them.
struct Rig {
    world: Rc<World>,
    receivers: Rc<Receivers>,
    directory: Rc<Directory>,
    senders: Rc<Senders>,
}

/// Holds a rehearsal and takes it down at `history.jsonl` in the options' folder; where that is. `watch` hears now
/// and then how far it is.
///
/// # Errors
/// What could not be started; nothing is judged then.
pub fn run(
    scenario: Scenario,
    options: &Options,
    watch: impl FnMut(Progress) + 'static,
) -> Result<PathBuf, RigError> {
    let planned = if options.serve_only { Vec::new() } else { plan(&scenario)? };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RigError::io("starting"))?;
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
    let directory = Directory::start(world.clone()).await.map_err(RigError::io("the directory"))?;
    let receivers = Receivers::start(world.clone(), directory.clone());
    receivers.open_all().await.map_err(RigError::io("the receivers"))?;
    directory.deliver_all();
    let senders = Senders::prepare(world.clone(), &directory, options)?;
    let rig = Rc::new(Rig { world: world.clone(), receivers, directory, senders: senders.clone() });
    if let Some(addr) = options.control {
        control::listen(rig.clone(), addr).await.map_err(RigError::io(format!("control port {addr}")))?;
    }
    senders.start_all()?;
    senders.wait_ready(READY_TIMEOUT_US).await?;

    // Traffic and timeline count from here.
    let zero = world.now();
    world.count(|p| p.length = zero + world.scenario.parameters.length);
    tokio::task::spawn_local(measure_lag(world.clone()));
    tokio::task::spawn_local(report_progress(world.clone(), watch));
    if let Some((after, span)) = options.stall {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(duration(after)).await;
            std::thread::sleep(duration(span));
        });
    }
    tokio::task::spawn_local(timeline(rig.clone(), zero));
    let clients = Clients::new(world.clone(), senders.clone());
    tokio::task::spawn_local(clients.clone().retry_returned(returned_queue));
    if options.serve_only {
        tokio::select! {
            _ = tokio::time::sleep(duration(world.scenario.parameters.length)) => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    } else {
        clients.play(planned, zero).await;
        settle(&world, zero).await;
    }
    world.record(Event::End);
    senders.end().await;
    world.recorder.close().map_err(RigError::io(path.display().to_string()))?;
    Ok(path)
}

/// Waits until nothing is owed any more, or all that may be has run out of time.
async fn settle(world: &World, zero: Micros) {
    let longest = world.scenario.parameters.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    // Clients that come again do so for a while yet.
    let latest = zero + world.scenario.parameters.length + 2 * longest + NOTICE_TAIL_US;
    loop {
        let idle = world.pending_puts.get() == 0 && world.open_messages.borrow().is_empty();
        if idle || world.now() > latest {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // What a sender still does with messages that are over shows in a while.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Takes down how late the rig's own timers are, once a second.
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

async fn timeline(rig: Rc<Rig>, zero: Micros) {
    for (at, event) in rig.world.scenario.events.clone() {
        tokio::time::sleep_until(rig.world.recorder.instant(zero + at)).await;
        tokio::task::spawn_local(rig.clone().apply(event));
    }
}

impl Rig {
    /// Does what an event says, to its end.
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
            | EventKind::Cold => self.receivers.inject(&event).await,
            EventKind::Drain | EventKind::Replace => self.receivers.replace(&event).await,
            EventKind::Join => self.receivers.join(&event).await,
            EventKind::DirectoryLag => self.directory.lag(&event, span).await,
            EventKind::DirectorySilent => self.directory.silent(&event, span).await,
            EventKind::DirectorySnapshots => self.directory.snapshots(&event, span).await,
            EventKind::DirectoryDeaf => self.directory.reject_notices(&event, span).await,
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

/// Where a sender's files lie.
fn folder_of(options: &Options, name: &str) -> PathBuf {
    Path::new(&options.folder).join(name)
}
