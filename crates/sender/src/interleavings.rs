//! A property test of random interleavings of events, against the dispatcher and the real journal.
//! A kill of the process may come after any step with a lasting effect, and may truncate the journal at any byte.
//! After a kill the sender restarts from what is left of the journal.
//! Another process may replace the sender while its calls are in flight; the replaced process reports their outcomes.
//!
//! The model, [`World`], simulates the environment and records which calls took effect, which no sender can know.
//! The model executes the dispatcher's actions in the driver's order; a kill may come between any two steps.

use crate::driver::handover::MAX_FINAL_ROUNDS;
use crate::driver::start::restored_message;
use crate::journal::{Accepted, Journal, Receiver};
use embershore_protocol::notice::End;
use heronroute::{
    Action, ClassSettings, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, KindSettings,
    Micros, MsgId, Outcome, Settings, Status,
};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io::Write;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const QUANTUM: Micros = 5 * MS;
const WINDOW: Micros = 3 * S;
const ATTEMPTS: u32 = 4;
const ENDPOINTS: u32 = 5;
const DISK: u64 = 200_000;

/// The effects of the message classes 0 to 2.
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

fn settings(max_attempts: u32) -> Settings {
    let class = |effect| ClassSettings {
        aim: S,
        deadline: 12 * S,
        effect,
        window: WINDOW,
        late_share: 0.4,
        ..ClassSettings::default()
    };
    let kind = |batch| KindSettings { max_batch: batch, separate_routes: false };
    Settings {
        senders: 2,
        slots: 6,
        max_open: 10,
        max_attempts,
        cancel: true,
        max_retry_after: 2 * S,
        quantum: QUANTUM,
        drain_grace: 300 * MS,
        classes: EFFECTS.map(class).to_vec(),
        kinds: vec![kind(1), kind(4)],
        ..Settings::default()
    }
}

/// Returns the destination of an endpoint.
/// Destination 0 has endpoints 1, 3 and 5 and accepts single messages.
/// Destination 1 has endpoints 2 and 4 and accepts four messages per call.
fn destination_of(endpoint: u32) -> i64 {
    i64::from((endpoint + 1) % 2)
}

fn endpoint_name(endpoint: u32) -> String {
    format!("s-{endpoint}")
}

fn endpoint_number(name: &str) -> EndpointId {
    EndpointId(name[2..].parse().unwrap())
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Put {
        class: usize,
        dest: i64,
        time_left: Micros,
    },
    Pass(Micros),
    /// The connection of a call opens, or fails to open.
    Connect {
        which: usize,
        up: bool,
    },
    /// A call in flight ends with an outcome.
    End {
        which: usize,
        outcome: Outcome,
        runs: bool,
        wait: Micros,
    },
    /// The platform confirms the notices.
    Confirm,
    List {
        endpoint: u32,
        status: Status,
    },
    /// The process receives SIGTERM and continues to run.
    Stop,
    /// SIGKILL after `after` steps, with `torn` bytes of an incomplete record left, and a restart after `away`.
    Kill {
        after: usize,
        torn: usize,
        away: Micros,
    },
    /// Another process takes over the journal, the state and the outcomes of the calls in flight.
    Replace,
}

fn operation() -> impl Strategy<Value = Operation> {
    use Outcome::*;
    let outcome = prop::sample::select(vec![
        (Done, true),
        (Done, true),
        (Done, true),
        (Error, false),
        (Error, true),
        (Busy, false),
        (TimedOut, true),
        (TimedOut, false),
        (Reset, true),
        (Reset, false),
        (MalformedAnswer, true),
        (Cancelled, false),
    ]);
    let status = prop::sample::select(vec![Status::Up, Status::Up, Status::Draining, Status::Removed]);
    prop_oneof![
        6 => (0..3usize, 0..2i64, 200 * MS..12 * S)
            .prop_map(|(class, dest, time_left)| Operation::Put { class, dest, time_left }),
        6 => prop_oneof![Just(QUANTUM), QUANTUM..800 * MS, S..3 * S].prop_map(Operation::Pass),
        6 => (any::<usize>(), prop::bool::weighted(0.7)).prop_map(|(which, up)| Operation::Connect { which, up }),
        6 => (any::<usize>(), outcome, prop_oneof![3 => Just(0), 1 => Just(400 * MS)])
            .prop_map(|(which, (outcome, runs), wait)| Operation::End { which, outcome, runs, wait }),
        1 => Just(Operation::Confirm),
        1 => (1..=ENDPOINTS, status).prop_map(|(endpoint, status)| Operation::List { endpoint, status }),
        1 => Just(Operation::Stop),
        2 => (0..12usize, 0..40usize, prop_oneof![Just(0), 0..4 * S])
            .prop_map(|(after, torn, away)| Operation::Kill { after, torn, away }),
    ]
}

/// An operation of a sender whose process may also be replaced.
fn operation_or_replacement() -> impl Strategy<Value = Operation> {
    prop_oneof![24 => operation(), 2 => Just(Operation::Replace)]
}

/// The true state of a message, of which the sender process may know only a part.
#[derive(Debug, Default)]
struct Truth {
    class: usize,
    deadline: Micros,
    /// Whether the client has received the reply `+OK` for the message.
    acknowledged: bool,
    /// The start times of the message's calls that may have taken effect.
    possible_runs: Vec<Micros>,
    /// Number of times that the message took effect at an endpoint.
    runs: usize,
    /// Number of calls with the message that this process has begun.
    calls: usize,
    delivered: bool,
    /// Whether the running sender process knows of the message's delivery.
    /// After a kill while the delivery is being recorded, the next process may not know of the delivery.
    known_delivered: bool,
    /// The message's final outcome as reported in its notice.
    notice: Option<End>,
    /// When a restart found the message unattempted. An unattempted message must get a call before its deadline.
    recovered: Option<Micros>,
}

/// A call in flight from the sender to an endpoint.
struct InFlightCall {
    endpoint: u32,
    /// The call's messages, each with the number of its attempt.
    items: Vec<(u64, u32)>,
    begun_at: Option<Micros>,
    decided_at: Micros,
    /// Whether a process that has been replaced makes the call. That process begins no call any more.
    inherited: bool,
}

/// The error of an action that was not executed because the simulated process has been killed.
struct Killed;

/// The sender process: the dispatcher, the journal and the driver's state.
struct Process {
    dispatcher: Dispatcher,
    journal: Journal,
    attempts: BTreeMap<u64, u32>,
    in_flight: Vec<InFlightCall>,
    events: Vec<Event>,
    /// Submitted messages that no round of the dispatcher has processed yet.
    submitted: BTreeMap<u64, Accepted>,
    /// Number of steps with a lasting effect until the process is killed; None if it is not to be killed.
    steps_left: Option<usize>,
}

/// The model: simulated clients, endpoints and platform, and the sender process.
struct World {
    folder: tempfile::TempDir,
    now: Micros,
    truth: BTreeMap<u64, Truth>,
    listed: BTreeMap<u32, Status>,
    process: Process,
    next: u64,
    kill: (usize, Micros),
    /// Whether the simulated endpoints refuse every connection immediately.
    refused: bool,
    max_attempts: u32,
    /// Whether each message that a restart recovers unattempted has to get a call before it ends early.
    /// An attempt that the sender skips before its first byte counts as one of the message's attempts.
    calls_recovered: bool,
}

impl World {
    fn new(refused: bool, max_attempts: u32) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let listed: BTreeMap<u32, Status> = (1..=ENDPOINTS).map(|e| (e, Status::Up)).collect();
        let journal = Journal::open(folder.path(), DISK).unwrap();
        let now = S;
        let process = Process::start(journal, now, &listed, max_attempts);
        let (truth, next, kill) = (BTreeMap::new(), 0, (0, 0));
        World {
            folder,
            now,
            truth,
            listed,
            process,
            next,
            kill,
            refused,
            max_attempts,
            calls_recovered: true,
        }
    }

    fn play(&mut self, operations: &[Operation]) {
        for operation in operations {
            if self.perform(*operation).is_err() {
                self.restart();
            }
        }
        // Without further kills, and with all calls answered, each message must end by its deadline.
        (self.process.steps_left, self.refused) = (None, false);
        let mut rounds = 0;
        while rounds < 4_000 {
            for at in (0..self.process.in_flight.len()).rev() {
                _ = self.connect(at, true);
            }
            for at in (0..self.process.in_flight.len()).rev() {
                if self.process.in_flight[at].begun_at.is_some_and(|t| self.now - t >= 50 * MS) {
                    _ = self.end(at, Outcome::Done, true, 0);
                }
            }
            self.now += QUANTUM;
            _ = self.round();
            _ = self.confirm();
            rounds += 1;
        }
        for (id, truth) in &self.truth {
            assert!(
                !truth.acknowledged || truth.delivered || truth.notice.is_some(),
                "message {id} has no end: {truth:?}"
            );
        }
        assert_eq!(self.process.journal.entries().count(), 0);
    }

    fn perform(&mut self, operation: Operation) -> Result<(), Killed> {
        match operation {
            Operation::Put { class, dest, time_left } => {
                self.put(class, dest, time_left);
                Ok(())
            }
            Operation::Pass(span) => {
                let until = self.now + span;
                while self.now < until {
                    self.now += QUANTUM;
                    self.time_out_calls()?;
                    self.round()?;
                }
                Ok(())
            }
            Operation::Connect { which, up } => match self.pick(which, false) {
                Some(at) => self.connect(at, up),
                None => Ok(()),
            },
            Operation::End { which, outcome, runs, wait } => match self.pick(which, true) {
                Some(at) => self.end(at, outcome, runs, wait),
                None => Ok(()),
            },
            Operation::Confirm => self.confirm(),
            Operation::List { endpoint, status } => {
                self.listed.insert(endpoint, status);
                let entries = vec![entry(endpoint, status)];
                self.process.events.push(Event::Listing { complete: false, entries });
                Ok(())
            }
            Operation::Stop => {
                self.process.events.push(Event::Stopping { at: self.now + 3 * S });
                Ok(())
            }
            Operation::Replace => self.replace(),
            Operation::Kill { after, torn, away } => {
                self.kill = (torn, away);
                self.process.steps_left.get_or_insert(after);
                Ok(())
            }
        }
    }

    /// Picks a call in flight: one that has begun if `begun` is true, otherwise one that has not begun.
    fn pick(&self, which: usize, begun: bool) -> Option<usize> {
        let fit: Vec<usize> = (0..self.process.in_flight.len())
            .filter(|at| self.process.in_flight[*at].begun_at.is_some() == begun)
            .collect();
        fit.get(which % fit.len().max(1)).copied()
    }

    fn put(&mut self, class: usize, dest: i64, time_left: Micros) {
        self.next += 1;
        let id = self.process.journal.allocate_number();
        let deadline = self.now + time_left;
        let accepted = Accepted {
            request_id: format!("r{}", self.next),
            class: ["free", "guarded", "single"][class].into(),
            order_key: String::new(),
            idempotency_key: None,
            dest,
            deadline,
            body: vec![7; 300].into(),
        };
        // A message number may be reused if the previous process was killed before it recorded the message.
        // A message that was not recorded was never accepted.
        self.truth.insert(id, Truth { class, deadline, ..Truth::default() });
        self.process.submitted.insert(id, accepted);
        self.process.attempts.insert(id, 0);
        let (id, dest) = (MsgId(id), DestId(dest));
        let event = Event::Message {
            id,
            class,
            tenant: 0,
            key: None,
            dest,
            time_left,
            resubmitted: false,
            may_have_run_since: None,
        };
        self.process.events.push(event);
    }

    /// Fails the calls whose connections are refused, and ends the calls whose timeout has passed.
    fn time_out_calls(&mut self) -> Result<(), Killed> {
        for at in (0..self.process.in_flight.len()).rev() {
            if self.refused {
                self.connect(at, false)?;
                continue;
            }
            let call = &self.process.in_flight[at];
            if self.now - call.decided_at >= 6 * S {
                let outcome = if call.begun_at.is_some() { Outcome::TimedOut } else { Outcome::Unreached };
                self.end(at, outcome, false, 0)?;
            }
        }
        Ok(())
    }

    fn round(&mut self) -> Result<(), Killed> {
        let now = self.now;
        let mut events = std::mem::take(&mut self.process.events);
        for event in &mut events {
            let (Event::Message { id, time_left, .. } | Event::MessageRestored { id, time_left, .. }) = event
            else {
                continue;
            };
            *time_left = self.truth[&id.0].deadline - now;
        }
        let mut actions = Vec::new();
        self.process.dispatcher.round(now, &events, &mut actions);
        self.accept_submitted(&events, &actions)?;
        let mut calls: BTreeMap<u64, InFlightCall> = BTreeMap::new();
        for action in &actions {
            match action {
                Action::Send { call, id, endpoint, .. } => {
                    let attempt = self.process.attempts.entry(id.0).or_default();
                    let call = calls.entry(*call).or_insert_with(|| InFlightCall {
                        endpoint: endpoint.0,
                        items: Vec::new(),
                        begun_at: None,
                        decided_at: now,
                        inherited: false,
                    });
                    call.items.push((id.0, *attempt));
                    *attempt += 1;
                }
                Action::Cancel { id, attempt } => {
                    let at = self.process.in_flight.iter().position(|o| o.items.contains(&(id.0, *attempt)));
                    if let Some(at) = at {
                        let begun = self.process.in_flight[at].begun_at.is_some();
                        let outcome = if begun { Outcome::Cancelled } else { Outcome::Unreached };
                        self.end(at, outcome, begun, 0)?;
                    }
                }
                Action::Refuse { id, .. } => {
                    self.end_undelivered(id.0, End::Returned { retry_after_ms: 0 })?;
                }
                Action::Fail { id } => {
                    self.end_undelivered(id.0, End::Failed)?;
                }
                _ => {}
            }
        }
        self.process.in_flight.extend(calls.into_values());
        let health =
            self.process.dispatcher.endpoint_health().map(|(id, h)| (endpoint_name(id.0), h)).collect();
        self.process.step()?;
        self.process.journal.record_endpoint_health(&health).unwrap();
        let receivers = self.process.dispatcher.receiver_health();
        let receivers = receivers.map(|(dest, _, health)| (Receiver::Destination(dest.0), health)).collect();
        self.process.step()?;
        self.process.journal.record_receiver_health(&receivers).unwrap();
        Ok(())
    }

    /// Records submitted messages and then accepts them.
    fn accept_submitted(&mut self, events: &[Event], actions: &[Action]) -> Result<(), Killed> {
        for event in events {
            let Event::Message { id, class, .. } = event else { continue };
            let Some(accepted) = self.process.submitted.remove(&id.0) else { continue };
            let over =
                |a: &Action| matches!(a, Action::Refuse { id: o, .. } | Action::Fail { id: o } if o == id);
            if actions.iter().any(over) {
                continue;
            }
            self.process.step()?;
            let rules = &settings(self.max_attempts).classes[*class];
            if self.process.journal.accept(id.0, accepted, None, rules).is_err() {
                self.process.events.push(Event::MessageAbandoned { id: *id });
                continue;
            }
            self.process.step()?;
            self.truth.get_mut(&id.0).unwrap().acknowledged = true;
        }
        Ok(())
    }

    /// Opens a call's connection.
    /// Before the first byte, the attempts of the messages that may still be sent are recorded.
    fn connect(&mut self, at: usize, up: bool) -> Result<(), Killed> {
        let now = self.now;
        if self.process.in_flight[at].begun_at.is_some() {
            return Ok(());
        }
        if !up {
            let call = self.process.in_flight.remove(at);
            for (id, attempt) in call.items {
                self.process.outcome(id, attempt, call.endpoint, Outcome::Unreached, false);
            }
            return Ok(());
        }
        let (truth, process) = (&self.truth, &mut self.process);
        let ready =
            self.listed[&process.in_flight[at].endpoint] == Status::Up && !process.in_flight[at].inherited;
        let open = |id: u64| {
            let entry = process.journal.get(id).filter(|e| e.progress.end.is_none())?;
            let guarded = EFFECTS[truth[&id].class] == Effect::Keyed;
            let first = entry.progress.first_possible_run().map(|(_, at)| *at).filter(|_| guarded);
            first.is_none_or(|first| now < first + WINDOW).then_some(id)
        };
        let wanted: Vec<u64> =
            process.in_flight[at].items.iter().filter_map(|(id, _)| open(*id)).filter(|_| ready).collect();
        let endpoint = process.in_flight[at].endpoint;
        let (sent, skipped): (Vec<_>, Vec<_>) =
            process.in_flight[at].items.iter().partition(|(id, _)| wanted.contains(id));
        for (id, attempt) in skipped {
            let last = process.journal.get(id).is_none();
            process.outcome(id, attempt, endpoint, Outcome::Skipped, last);
        }
        if sent.is_empty() {
            process.in_flight.remove(at);
            return Ok(());
        }
        process.step()?;
        process.journal.record_attempts_started(wanted.clone(), &endpoint_name(endpoint), now).unwrap();
        process.in_flight[at].items = sent;
        process.in_flight[at].begun_at = Some(now);
        process.step()?;
        for id in wanted {
            let truth = self.truth.get_mut(&id).unwrap();
            let first = truth.possible_runs.iter().min().copied();
            match EFFECTS[truth.class] {
                Effect::Unsafe => {
                    assert!(first.is_none(), "message {id} is sent again and may have run: {truth:?}")
                }
                Effect::Keyed => {
                    assert!(
                        first.is_none_or(|f| now <= f + WINDOW),
                        "message {id} is sent after its key window: {truth:?}"
                    )
                }
                Effect::Safe => {}
            }
            assert!(
                !truth.known_delivered && truth.notice.is_none(),
                "message {id} has ended and is sent again: {truth:?}"
            );
            truth.possible_runs.push(now);
            truth.calls += 1;
        }
        Ok(())
    }

    /// Ends a call with the given outcome; `runs` is whether the call took effect at the receiver.
    fn end(&mut self, at: usize, outcome: Outcome, runs: bool, wait: Micros) -> Result<(), Killed> {
        let call = self.process.in_flight.remove(at);
        for (id, attempt) in call.items {
            let truth = self.truth.get_mut(&id).unwrap();
            if let Some(begun_at) = call.begun_at {
                if runs {
                    truth.runs += 1;
                    assert!(
                        truth.runs == 1 || EFFECTS[truth.class] != Effect::Unsafe,
                        "message {id} ran twice"
                    );
                } else if outcome.never_ran() {
                    truth.possible_runs.retain(|t| *t != begun_at);
                }
            }
            truth.delivered |= outcome == Outcome::Done;
            truth.known_delivered |= outcome == Outcome::Done;
            let open = self.process.journal.get(id).is_some_and(|e| e.progress.end.is_none());
            if open {
                self.process.step()?;
                let journal = &mut self.process.journal;
                match outcome {
                    Outcome::Done => journal.record_message_ended(id, End::Closed).unwrap(),
                    _ => journal.record_attempt_settled(id, !outcome.never_ran()).unwrap(),
                }
            }
            let (process, last) = (&mut self.process, outcome == Outcome::Done);
            process.outcome(id, attempt, call.endpoint, outcome, last);
            if let Some(Event::Outcome { wait: reported, .. }) = process.events.last_mut() {
                *reported = if outcome == Outcome::Busy { wait } else { 0 };
            }
        }
        Ok(())
    }

    /// Ends an undelivered message, after checking that the message's final outcome is allowed.
    fn end_undelivered(&mut self, id: u64, end: End) -> Result<(), Killed> {
        let truth = &self.truth[&id];
        let due = truth.deadline - 2 * QUANTUM;
        assert!(
            !self.calls_recovered || truth.recovered.is_none() || truth.calls > 0 || self.now >= due,
            "message {id} was recovered unattempted and ends {} ms early without a call: {truth:?}",
            (truth.deadline - self.now) / MS
        );
        assert!(
            self.now >= due || !self.process.has_call(id),
            "message {id} ends {} ms early with a call in flight: {truth:?}",
            (truth.deadline - self.now) / MS
        );
        if matches!(end, End::Returned { .. }) && EFFECTS[truth.class] != Effect::Safe {
            assert!(truth.possible_runs.is_empty(), "message {id} is returned and may have run: {truth:?}");
        }
        if self.process.journal.get(id).is_none() {
            return Ok(());
        }
        self.process.step()?;
        self.process.journal.record_message_ended(id, end).unwrap();
        self.process.step()?;
        self.send_notice(id, end);
        Ok(())
    }

    fn send_notice(&mut self, id: u64, end: End) {
        let truth = self.truth.get_mut(&id).unwrap();
        assert!(
            truth.notice.is_none_or(|notice| notice == end),
            "message {id} has two ends: {truth:?}, now {end:?}"
        );
        truth.notice = Some(end);
    }

    fn confirm(&mut self) -> Result<(), Killed> {
        let ended = self.process.journal.entries().filter(|(_, e)| e.progress.end.is_some());
        let ended: Vec<u64> = ended.map(|(id, _)| id).collect();
        if !ended.is_empty() {
            self.process.step()?;
            self.process.journal.record_notices_confirmed(ended).unwrap();
        }
        Ok(())
    }

    /// Replaces the process by another one, in the driver's order. The calls in flight continue.
    fn replace(&mut self) -> Result<(), Killed> {
        for _ in 0..MAX_FINAL_ROUNDS {
            self.round()?;
            if self.process.events.is_empty() {
                break;
            }
        }
        let (state, calls) = self.process.dispatcher.handover_state();
        let journal = Journal::open(self.folder.path(), DISK).unwrap();
        let mut process = Process::start(journal, self.now, &self.listed, self.max_attempts);
        process.attempts = std::mem::take(&mut self.process.attempts);
        process.in_flight = std::mem::take(&mut self.process.in_flight);
        process.in_flight.iter_mut().for_each(|call| call.inherited = true);
        process.steps_left = self.process.steps_left;
        process.events.push(Event::StateInherited(Box::new(state)));
        let mut without_call = Vec::new();
        for (id, entry) in process.journal.entries() {
            if entry.progress.end.is_some() {
                continue;
            }
            let (attempts, has_call) = (process.attempts[&id], process.has_call(id));
            let class = self.truth[&id].class;
            let event = restored_message(MsgId(id), entry, class, attempts, has_call, endpoint_number);
            process.events.push(event);
            if !has_call {
                without_call.push(id);
            }
        }
        process.events.push(Event::CallsInherited(calls));
        for id in without_call {
            process.journal.record_attempt_settled(id, true).unwrap();
        }
        self.process = process;
        self.round()
    }

    /// Starts a new process from the journal of the killed one.
    fn restart(&mut self) {
        let (torn, away) = self.kill;
        if torn > 0 {
            // Appends the first bytes of a record that was not written completely.
            let path = self.folder.path().join("journal");
            let mut file = std::fs::OpenOptions::new().append(true).open(path).unwrap();
            let record: Vec<u8> = [200u8, 0, 0, 0].into_iter().chain(std::iter::repeat_n(9, torn)).collect();
            file.write_all(&record[..torn]).unwrap();
        }
        self.now += away;
        let journal = Journal::open(self.folder.path(), DISK).unwrap();
        for truth in self.truth.values_mut() {
            (truth.recovered, truth.known_delivered, truth.calls) = (None, false, 0);
        }
        let now = self.now;
        let mut process = Process::start(journal, now, &self.listed, self.max_attempts);
        process.restore_health();
        let (mut open, mut ends) = (Vec::new(), Vec::new());
        for (id, entry) in process.journal.entries() {
            let progress = &entry.progress;
            let truth = self.truth.get_mut(&id).expect("a message in the journal was submitted");
            assert_eq!(entry.accepted.deadline, truth.deadline);
            if let Some(end) = progress.end {
                ends.push((id, end));
                continue;
            }
            assert!(
                progress.first_possible_run().is_some() || truth.possible_runs.is_empty(),
                "message {} may have run, and the journal does not know: {:?}",
                id,
                truth
            );
            // A message that was recorded but not accepted counts as recovered too: its client got no reply.
            if progress.first_possible_run().is_none() && progress.attempts < self.max_attempts {
                truth.recovered = Some(now);
            }
            let event =
                restored_message(MsgId(id), entry, truth.class, progress.attempts, false, endpoint_number);
            process.events.push(event);
            open.push((id, progress.attempts));
        }
        for (id, attempts) in open {
            process.attempts.insert(id, attempts);
            process.journal.record_attempt_settled(id, true).unwrap();
        }
        for (id, truth) in &self.truth {
            let accounted_for =
                truth.delivered || truth.notice.is_some() || process.journal.get(*id).is_some();
            assert!(!truth.acknowledged || accounted_for, "message {id} was accepted and is lost: {truth:?}");
        }
        self.process = process;
        for (id, end) in ends {
            self.send_notice(id, end);
        }
        _ = self.round();
    }
}

fn entry(endpoint: u32, status: Status) -> EndpointEntry {
    let (dest, kind) = (DestId(destination_of(endpoint)), destination_of(endpoint) as usize);
    EndpointEntry { endpoint: EndpointId(endpoint), dest, status, kind, zone: 0, weight: None }
}

impl Process {
    fn start(journal: Journal, now: Micros, listed: &BTreeMap<u32, Status>, max_attempts: u32) -> Self {
        let dispatcher = Dispatcher::new(now, 7, settings(max_attempts)).unwrap();
        let entries = listed.iter().map(|(e, status)| entry(*e, *status)).collect();
        let events = vec![Event::Listing { complete: true, entries }];
        let (attempts, in_flight, submitted) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Process { dispatcher, journal, attempts, in_flight, events, submitted, steps_left: None }
    }

    /// Queues the health of endpoints and receivers that the journal records.
    fn restore_health(&mut self) {
        for (name, health) in self.journal.health() {
            let endpoint = endpoint_number(name);
            self.events.push(Event::EndpointHealthRestored { endpoint, health });
        }
        for (receiver, health) in self.journal.receivers() {
            if let Receiver::Destination(dest) = receiver {
                self.events.push(Event::ReceiverHealthRestored { dest: DestId(*dest), route: None, health });
            }
        }
    }

    /// Whether a call in flight carries the message.
    fn has_call(&self, id: u64) -> bool {
        self.in_flight.iter().any(|call| call.items.iter().any(|(carried, _)| *carried == id))
    }

    /// Counts a step with a lasting effect, before the step is done. Fails if the process is killed before the step.
    fn step(&mut self) -> Result<(), Killed> {
        match &mut self.steps_left {
            Some(0) => Err(Killed),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn outcome(&mut self, id: u64, attempt: u32, endpoint: u32, outcome: Outcome, last: bool) {
        let (id, endpoint) = (MsgId(id), EndpointId(endpoint));
        let (elapsed, wait, report) = (50 * MS, 0, None);
        self.events.push(Event::Outcome {
            id,
            attempt,
            endpoint,
            outcome,
            closes_message: last,
            elapsed,
            wait,
            report,
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_message_ends_once_and_no_effect_repeats_in_any_interleaving(
        operations in vec(operation(), 1..120),
        refused in prop::bool::weighted(0.3),
    ) {
        World::new(refused, ATTEMPTS).play(&operations);
    }

    // Guards against a successor that ends a message early while the replaced process has a call with it in flight.
    #[test]
    fn replacements_and_kills_in_any_interleaving_repeat_no_effect(
        operations in vec(operation_or_replacement(), 1..120),
        refused in prop::bool::weighted(0.3),
        max_attempts in prop::sample::select(vec![1, 2, ATTEMPTS]),
    ) {
        let mut world = World::new(refused, max_attempts);
        world.calls_recovered = false;
        world.play(&operations);
    }
}

// Guards against a recovered message that ends early without a call because its attempts were skipped unbegun.
#[test]
fn an_attempt_that_never_begins_leaves_a_recovered_message_its_attempts() {
    let put = Operation::Put { class: 0, dest: 0, time_left: 3 * S };
    let kill = Operation::Kill { after: 2, torn: 0, away: 0 };
    let operations = [put, kill, Operation::Pass(QUANTUM), Operation::Replace, Operation::Pass(QUANTUM)];
    World::new(false, 1).play(&operations);
}
