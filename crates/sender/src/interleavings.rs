//! Random orders of what can cross, played against the parts without I/O of their own: the decision module and the journal,
//! with a kill after any step, a tail torn at any byte, and a start from what is left.
//!
//! The world knows what no sender can: which calls have run. It carries out what the module decides in the order in which
//! the driver does, a step at a time, and a kill comes between any two of them.

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

/// Free, guarded, single-shot.
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

fn settings() -> Settings {
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
        max_attempts: ATTEMPTS,
        cancel: true,
        max_retry_after: 2 * S,
        quantum: QUANTUM,
        drain_grace: 300 * MS,
        classes: EFFECTS.map(class).to_vec(),
        kinds: vec![kind(1), kind(4)],
        ..Settings::default()
    }
}

/// Destination 0 has endpoints 1, 3 and 5 and takes single messages, destination 1 has 2 and 4 and takes four in a call.
fn dest_of(endpoint: u32) -> i64 {
    i64::from((endpoint + 1) % 2)
}

fn name_of(endpoint: u32) -> String {
    format!("s-{endpoint}")
}

#[derive(Clone, Copy, Debug)]
enum Deed {
    Put {
        class: usize,
        dest: i64,
        time_left: Micros,
    },
    Pass(Micros),
    /// The connection of one of the calls comes up, or fails.
    Connect {
        which: usize,
        up: bool,
    },
    /// One of the calls ends.
    End {
        which: usize,
        outcome: Outcome,
        runs: bool,
        wait: Micros,
    },
    /// The platform confirms what it has been told.
    Confirm,
    List {
        endpoint: u32,
        status: Status,
    },
    /// SIGTERM, without its end.
    Stop,
    /// SIGKILL after so many steps, with so many bytes of a further record, and so long until the next start.
    Kill {
        after: usize,
        torn: usize,
        away: Micros,
    },
}

fn deed() -> impl Strategy<Value = Deed> {
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
            .prop_map(|(class, dest, time_left)| Deed::Put { class, dest, time_left }),
        6 => prop_oneof![Just(QUANTUM), QUANTUM..800 * MS, S..3 * S].prop_map(Deed::Pass),
        6 => (any::<usize>(), prop::bool::weighted(0.7)).prop_map(|(which, up)| Deed::Connect { which, up }),
        6 => (any::<usize>(), outcome, prop_oneof![3 => Just(0), 1 => Just(400 * MS)])
            .prop_map(|(which, (outcome, runs), wait)| Deed::End { which, outcome, runs, wait }),
        1 => Just(Deed::Confirm),
        1 => (1..=ENDPOINTS, status).prop_map(|(endpoint, status)| Deed::List { endpoint, status }),
        1 => Just(Deed::Stop),
        2 => (0..12usize, 0..40usize, prop_oneof![Just(0), 0..4 * S])
            .prop_map(|(after, torn, away)| Deed::Kill { after, torn, away }),
    ]
}

/// What really is with a message.
#[derive(Debug, Default)]
struct Truth {
    class: usize,
    deadline: Micros,
    /// Its client has read `+OK`.
    promised: bool,
    /// First bytes of calls whose effect is not known to be none, each with whether it has run.
    tries: Vec<Micros>,
    runs: usize,
    /// Calls that have begun in this process.
    calls: usize,
    delivered: bool,
    /// This process has heard so. One that is killed as it writes it down may not know it any more.
    over: bool,
    told: Option<End>,
    /// Since when it has been owed a call by what a restart found, if that came.
    found: Option<Micros>,
}

/// A call that the sender has out.
struct Out {
    endpoint: u32,
    /// With each message, the number of its attempt.
    items: Vec<(u64, u32)>,
    begun: Option<Micros>,
    made: Micros,
}

/// The process is gone.
struct Killed;

struct Process {
    module: Dispatcher,
    journal: Journal,
    attempts: BTreeMap<u64, u32>,
    out: Vec<Out>,
    events: Vec<Event>,
    /// Newcomers that no round has seen.
    new: BTreeMap<u64, Accepted>,
    /// Steps until it is killed.
    fuel: Option<usize>,
}

struct World {
    folder: tempfile::TempDir,
    now: Micros,
    truth: BTreeMap<u64, Truth>,
    listed: BTreeMap<u32, Status>,
    process: Process,
    next: u64,
    kill: (usize, Micros),
    /// Every connection is refused at once.
    refused: bool,
}

impl World {
    fn new(refused: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let listed: BTreeMap<u32, Status> = (1..=ENDPOINTS).map(|e| (e, Status::Up)).collect();
        let journal = Journal::open(folder.path(), DISK).unwrap();
        let now = S;
        let process = Process::start(journal, now, &listed);
        World { folder, now, truth: BTreeMap::new(), listed, process, next: 0, kill: (0, 0), refused }
    }

    fn play(&mut self, deeds: &[Deed]) {
        for deed in deeds {
            if self.perform(*deed).is_err() {
                self.restart();
            }
        }
        // No more kills, all that is asked for well answered: each message has its end by its time.
        (self.process.fuel, self.refused) = (None, false);
        let mut rounds = 0;
        while rounds < 4_000 {
            for at in (0..self.process.out.len()).rev() {
                _ = self.connect(at, true);
            }
            for at in (0..self.process.out.len()).rev() {
                if self.process.out[at].begun.is_some_and(|t| self.now - t >= 50 * MS) {
                    _ = self.end(at, Outcome::Done, true, 0);
                }
            }
            self.now += QUANTUM;
            _ = self.round();
            _ = self.confirm();
            rounds += 1;
        }
        for (id, t) in &self.truth {
            assert!(!t.promised || t.delivered || t.told.is_some(), "{id} has no end: {t:?}");
        }
        assert_eq!(self.process.journal.entries().count(), 0);
    }

    fn perform(&mut self, deed: Deed) -> Result<(), Killed> {
        match deed {
            Deed::Put { class, dest, time_left } => {
                self.put(class, dest, time_left);
                Ok(())
            }
            Deed::Pass(span) => {
                let until = self.now + span;
                while self.now < until {
                    self.now += QUANTUM;
                    self.give_up()?;
                    self.round()?;
                }
                Ok(())
            }
            Deed::Connect { which, up } => match self.pick(which, false) {
                Some(at) => self.connect(at, up),
                None => Ok(()),
            },
            Deed::End { which, outcome, runs, wait } => match self.pick(which, true) {
                Some(at) => self.end(at, outcome, runs, wait),
                None => Ok(()),
            },
            Deed::Confirm => self.confirm(),
            Deed::List { endpoint, status } => {
                self.listed.insert(endpoint, status);
                let entries = vec![entry(endpoint, status)];
                self.process.events.push(Event::Listing { complete: false, entries });
                Ok(())
            }
            Deed::Stop => {
                self.process.events.push(Event::Stopping { at: self.now + 3 * S });
                Ok(())
            }
            Deed::Kill { after, torn, away } => {
                self.kill = (torn, away);
                self.process.fuel.get_or_insert(after);
                Ok(())
            }
        }
    }

    /// One of the calls that are out, begun or not.
    fn pick(&self, which: usize, begun: bool) -> Option<usize> {
        let fit: Vec<usize> =
            (0..self.process.out.len()).filter(|at| self.process.out[*at].begun.is_some() == begun).collect();
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
        // Numbers start anew where the process before had none written: such a message was never promised.
        self.truth.insert(id, Truth { class, deadline, ..Truth::default() });
        self.process.new.insert(id, accepted);
        self.process.attempts.insert(id, 0);
        let (id, dest) = (MsgId(id), DestId(dest));
        let event = Event::Message { id, class, tenant: 0, key: None, dest, time_left, resubmitted: false };
        self.process.events.push(event);
    }

    /// Time-outs, as calls have them.
    fn give_up(&mut self) -> Result<(), Killed> {
        for at in (0..self.process.out.len()).rev() {
            if self.refused {
                self.connect(at, false)?;
                continue;
            }
            let out = &self.process.out[at];
            if self.now - out.made >= 6 * S {
                let outcome = if out.begun.is_some() { Outcome::TimedOut } else { Outcome::Unreached };
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
        self.process.module.round(now, &events, &mut actions);
        self.welcome(&events, &actions)?;
        let mut calls: BTreeMap<u64, Out> = BTreeMap::new();
        for action in &actions {
            match action {
                Action::Send { call, id, endpoint, .. } => {
                    let attempt = self.process.attempts.entry(id.0).or_default();
                    let out = calls.entry(*call).or_insert_with(|| Out {
                        endpoint: endpoint.0,
                        items: Vec::new(),
                        begun: None,
                        made: now,
                    });
                    out.items.push((id.0, *attempt));
                    *attempt += 1;
                }
                Action::Cancel { id, attempt } => {
                    let at = self.process.out.iter().position(|o| o.items.contains(&(id.0, *attempt)));
                    if let Some(at) = at {
                        let begun = self.process.out[at].begun.is_some();
                        let outcome = if begun { Outcome::Cancelled } else { Outcome::Unreached };
                        self.end(at, outcome, begun, 0)?;
                    }
                }
                Action::Refuse { id, .. } => {
                    self.finish(id.0, End::Returned { retry_after_ms: 0 })?;
                }
                Action::Fail { id } => {
                    self.finish(id.0, End::Failed)?;
                }
                _ => {}
            }
        }
        self.process.out.extend(calls.into_values());
        let health = self.process.module.endpoint_health().map(|(id, h)| (name_of(id.0), h)).collect();
        self.process.step()?;
        self.process.journal.record_endpoint_health(&health).unwrap();
        let receivers = self.process.module.receiver_health();
        let receivers = receivers.map(|(dest, _, health)| (Receiver::Destination(dest.0), health)).collect();
        self.process.step()?;
        self.process.journal.record_receiver_health(&receivers).unwrap();
        Ok(())
    }

    /// Newcomers are written down, then promised.
    fn welcome(&mut self, events: &[Event], actions: &[Action]) -> Result<(), Killed> {
        for event in events {
            let Event::Message { id, class, .. } = event else { continue };
            let Some(accepted) = self.process.new.remove(&id.0) else { continue };
            let over =
                |a: &Action| matches!(a, Action::Refuse { id: o, .. } | Action::Fail { id: o } if o == id);
            if actions.iter().any(over) {
                continue;
            }
            self.process.step()?;
            let rules = &settings().classes[*class];
            if self.process.journal.accept(id.0, accepted, rules).is_err() {
                self.process.events.push(Event::MessageAbandoned { id: *id });
                continue;
            }
            self.process.step()?;
            self.truth.get_mut(&id.0).unwrap().promised = true;
        }
        Ok(())
    }

    /// An attempt is written down before its first byte; which of its messages go is asked then.
    fn connect(&mut self, at: usize, up: bool) -> Result<(), Killed> {
        let now = self.now;
        if self.process.out[at].begun.is_some() {
            return Ok(());
        }
        if !up {
            let out = self.process.out.remove(at);
            for (id, attempt) in out.items {
                self.process.outcome(id, attempt, out.endpoint, Outcome::Unreached, false);
            }
            return Ok(());
        }
        let (truth, process) = (&self.truth, &mut self.process);
        let ready = self.listed[&process.out[at].endpoint] == Status::Up;
        let open = |id: u64| {
            let entry = process.journal.get(id).filter(|e| e.progress.end.is_none())?;
            let guarded = EFFECTS[truth[&id].class] == Effect::Keyed;
            let first = entry.progress.first_possible_run().map(|(_, at)| *at).filter(|_| guarded);
            first.is_none_or(|first| now < first + WINDOW).then_some(id)
        };
        let wanted: Vec<u64> =
            process.out[at].items.iter().filter_map(|(id, _)| open(*id)).filter(|_| ready).collect();
        let endpoint = process.out[at].endpoint;
        let (go, stay): (Vec<_>, Vec<_>) =
            process.out[at].items.iter().partition(|(id, _)| wanted.contains(id));
        for (id, attempt) in stay {
            let last = process.journal.get(id).is_none();
            process.outcome(id, attempt, endpoint, Outcome::Skipped, last);
        }
        if go.is_empty() {
            process.out.remove(at);
            return Ok(());
        }
        process.step()?;
        process.journal.record_attempts_started(wanted.clone(), &name_of(endpoint), now).unwrap();
        process.out[at].items = go;
        process.out[at].begun = Some(now);
        process.step()?;
        for id in wanted {
            let t = self.truth.get_mut(&id).unwrap();
            let first = t.tries.iter().min().copied();
            match EFFECTS[t.class] {
                Effect::Unsafe => assert!(first.is_none(), "{id} goes again, and may have run: {t:?}"),
                Effect::Keyed => {
                    assert!(first.is_none_or(|f| now <= f + WINDOW), "{id} goes too late: {t:?}")
                }
                Effect::Safe => {}
            }
            assert!(!t.over && t.told.is_none(), "{id} is over, and goes again: {t:?}");
            t.tries.push(now);
            t.calls += 1;
        }
        Ok(())
    }

    /// A call ends; `runs` if it took effect.
    fn end(&mut self, at: usize, outcome: Outcome, runs: bool, wait: Micros) -> Result<(), Killed> {
        let out = self.process.out.remove(at);
        for (id, attempt) in out.items {
            let truth = self.truth.get_mut(&id).unwrap();
            if let Some(begun) = out.begun {
                if runs {
                    truth.runs += 1;
                    assert!(truth.runs == 1 || EFFECTS[truth.class] != Effect::Unsafe, "{id} ran twice");
                } else if outcome.never_ran() {
                    truth.tries.retain(|t| *t != begun);
                }
            }
            truth.delivered |= outcome == Outcome::Done;
            truth.over |= outcome == Outcome::Done;
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
            process.outcome(id, attempt, out.endpoint, outcome, last);
            if let Some(Event::Outcome { wait: told, .. }) = process.events.last_mut() {
                *told = if outcome == Outcome::Busy { wait } else { 0 };
            }
        }
        Ok(())
    }

    /// The sender gives a message up.
    fn finish(&mut self, id: u64, end: End) -> Result<(), Killed> {
        let t = &self.truth[&id];
        let due = t.deadline - 2 * QUANTUM;
        assert!(
            t.found.is_none() || t.calls > 0 || self.now >= due,
            "{id} was found untried, and is given up {} ms early with no call: {t:?}",
            (t.deadline - self.now) / MS
        );
        if matches!(end, End::Returned { .. }) && EFFECTS[t.class] == Effect::Unsafe {
            assert!(t.tries.is_empty(), "{id} is handed back, and may have run: {t:?}");
        }
        if self.process.journal.get(id).is_none() {
            return Ok(());
        }
        self.process.step()?;
        self.process.journal.record_message_ended(id, end).unwrap();
        self.process.step()?;
        self.tell(id, end);
        Ok(())
    }

    fn tell(&mut self, id: u64, end: End) {
        let t = self.truth.get_mut(&id).unwrap();
        assert!(t.told.is_none_or(|told| told == end), "{id} has two ends: {t:?}, now {end:?}");
        t.told = Some(end);
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

    /// The process is gone; another begins with what it has left.
    fn restart(&mut self) {
        let (torn, away) = self.kill;
        if torn > 0 {
            // The head of a record whose rest was never written.
            let path = self.folder.path().join("journal");
            let mut file = std::fs::OpenOptions::new().append(true).open(path).unwrap();
            let record: Vec<u8> = [200u8, 0, 0, 0].into_iter().chain(std::iter::repeat_n(9, torn)).collect();
            file.write_all(&record[..torn]).unwrap();
        }
        self.now += away;
        let journal = Journal::open(self.folder.path(), DISK).unwrap();
        for t in self.truth.values_mut() {
            (t.found, t.over, t.calls) = (None, false, 0);
        }
        let now = self.now;
        let mut process = Process::start(journal, now, &self.listed);
        let (mut live, mut ends) = (Vec::new(), Vec::new());
        for (id, entry) in process.journal.entries() {
            let progress = &entry.progress;
            let t = self.truth.get_mut(&id).expect("what is in the journal was handed in");
            assert_eq!(entry.accepted.deadline, t.deadline);
            if let Some(end) = progress.end {
                ends.push((id, end));
                continue;
            }
            assert!(
                progress.first_possible_run().is_some() || t.tries.is_empty(),
                "{} may have run, and the journal does not know: {:?}",
                id,
                t
            );
            // What was written and not promised is the sender's own all the same: its client got no answer.
            if progress.first_possible_run().is_none() && progress.attempts < ATTEMPTS {
                t.found = Some(now);
            }
            let number = |name: &str| EndpointId(name[2..].parse().unwrap());
            process.events.push(Event::MessageRestored {
                id: MsgId(id),
                class: t.class,
                key: None,
                dest: DestId(entry.accepted.dest),
                time_left: 0,
                attempts: progress.attempts,
                unreached: 0,
                may_have_run: progress.first_possible_run().map(|(name, at)| (number(name), *at)),
            });
            live.push((id, progress.attempts));
        }
        for (id, attempts) in live {
            process.attempts.insert(id, attempts);
            process.journal.record_attempt_settled(id, true).unwrap();
        }
        for (id, t) in &self.truth {
            let kept = t.delivered || t.told.is_some() || process.journal.get(*id).is_some();
            assert!(!t.promised || kept, "{id} was taken on, and is gone: {t:?}");
        }
        self.process = process;
        for (id, end) in ends {
            self.tell(id, end);
        }
        _ = self.round();
    }
}

fn entry(endpoint: u32, status: Status) -> EndpointEntry {
    let (dest, kind) = (DestId(dest_of(endpoint)), dest_of(endpoint) as usize);
    EndpointEntry { endpoint: EndpointId(endpoint), dest, status, kind, zone: 0, weight: None }
}

impl Process {
    fn start(journal: Journal, now: Micros, listed: &BTreeMap<u32, Status>) -> Self {
        let module = Dispatcher::new(now, 7, settings()).unwrap();
        let entries = listed.iter().map(|(e, status)| entry(*e, *status)).collect();
        let mut events = vec![Event::Listing { complete: true, entries }];
        for (name, health) in journal.health() {
            let endpoint = EndpointId(name[2..].parse().unwrap());
            events.push(Event::EndpointHealthRestored { endpoint, health });
        }
        for (receiver, health) in journal.receivers() {
            if let Receiver::Destination(dest) = receiver {
                events.push(Event::ReceiverHealthRestored { dest: DestId(*dest), route: None, health });
            }
        }
        let (attempts, out, new) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Process { module, journal, attempts, out, events, new, fuel: None }
    }

    /// Something is about to be done that outlasts the process, if it lives to do it.
    fn step(&mut self) -> Result<(), Killed> {
        match &mut self.fuel {
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
    fn each_message_has_one_end_and_no_effect_comes_twice_whatever_crosses(
        deeds in vec(deed(), 1..120),
        refused in prop::bool::weighted(0.3),
    ) {
        World::new(refused).play(&deeds);
    }
}
