//! The decision module in simulated time, without a process, sockets or a journal.

use crate::spread::thread_cpu_time;
use anyhow::Result;
use heronroute::{
    Action, ClassSettings, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, KindSettings,
    Micros, MsgId, Outcome, Settings, Status,
};
use std::time::Duration;

/// Simulated time between two rounds, in microseconds, equal to the quantum in the daemon's settings.
pub const QUANTUM_US: Micros = 5_000;
/// Simulated duration of a call, in microseconds.
const CALL_DURATION_US: Micros = 1_000;
/// Time until a message's deadline, in microseconds; all messages are delivered long before.
const TIME_LEFT_US: Micros = 20_000_000;

/// A decision module whose endpoint list has one endpoint for each destination.
pub struct Module {
    dispatcher: Dispatcher,
    now: Micros,
    next_message: u64,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Module {
    /// Creates a decision module whose endpoint list has `destinations` destinations.
    ///
    /// # Errors
    /// Fails if the decision module rejects its settings.
    pub fn new(destinations: usize, seed: u64) -> Result<Self> {
        let mut dispatcher = Dispatcher::new(0, seed, settings())?;
        let entries = (0..destinations).map(entry).collect();
        dispatcher.round(0, &[Event::Listing { complete: true, entries }], &mut Vec::new());
        Ok(Module { dispatcher, now: 0, next_message: 0, events: Vec::new(), actions: Vec::new() })
    }

    /// Runs `count` rounds without events and returns the processor time of these rounds.
    ///
    /// # Errors
    /// Fails if the system does not provide a thread's processor time.
    pub fn idle_rounds(&mut self, count: u32) -> Result<Duration> {
        let started = thread_cpu_time()?;
        for _ in 0..count {
            self.now += QUANTUM_US;
            self.run_round();
        }
        Ok(thread_cpu_time()? - started)
    }

    /// Runs one round with a message for each of `destinations` and the outcomes of the previous round's calls.
    /// Returns the processor time that the round used.
    ///
    /// # Errors
    /// Fails if the system does not provide a thread's processor time.
    pub fn round(&mut self, destinations: &[i64]) -> Result<Duration> {
        self.now += QUANTUM_US;
        for destination in destinations {
            self.next_message += 1;
            self.events.push(message(self.next_message, *destination));
        }
        let started = thread_cpu_time()?;
        self.run_round();
        let used = thread_cpu_time()? - started;
        self.events.clear();
        self.events.extend(self.actions.drain(..).filter_map(delivery));
        Ok(used)
    }

    fn run_round(&mut self) {
        self.dispatcher.round(self.now, &self.events, &mut self.actions);
        // The daemon, too, reads every endpoint's health after each round.
        std::hint::black_box(self.dispatcher.endpoint_health().count());
    }
}

fn settings() -> Settings {
    Settings {
        slots: 100,
        max_open: 10_000,
        max_attempts: 6,
        cancel: true,
        probes: true,
        max_retry_after: 2_000_000,
        quantum: QUANTUM_US,
        drain_grace: 1_000_000,
        classes: vec![ClassSettings {
            aim: 2_500_000,
            deadline: TIME_LEFT_US,
            effect: Effect::Safe,
            late_share: 0.5,
            ..ClassSettings::default()
        }],
        kinds: vec![KindSettings { max_batch: 1, separate_routes: false }],
        weights: heronroute::WeightMeaning::Nominal,
        ..Settings::default()
    }
}

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(number as u32 + 1),
        dest: DestId(number as i64),
        status: Status::Up,
        kind: 0,
        zone: 0,
        weight: Some(100.0),
    }
}

fn message(id: u64, destination: i64) -> Event {
    let (id, dest) = (MsgId(id), DestId(destination));
    Event::Message {
        id,
        class: 0,
        tenant: 0,
        key: None,
        dest,
        time_left: TIME_LEFT_US,
        resubmitted: false,
        may_have_run_since: None,
    }
}

/// Returns the outcome of a started call; every call is a first attempt and delivers its message.
fn delivery(action: Action) -> Option<Event> {
    let Action::Send { id, endpoint, .. } = action else { return None };
    let (attempt, outcome) = (0, Outcome::Done);
    Some(Event::Outcome {
        id,
        attempt,
        endpoint,
        outcome,
        closes_message: true,
        elapsed: CALL_DURATION_US,
        wait: 0,
        report: None,
    })
}
