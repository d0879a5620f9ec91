//! A simulated sender for tests, which pass its events and advance its clock.
//! Tests set the sender's settings, pass events to the decision module and check the resulting actions.
#![allow(dead_code)]

use heronroute::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const ORDERED: usize = 3;

/// Returns settings of two senders with 12 slots each. The constants above name the classes.
/// Kind 0 accepts one message in a call, kind 1 batches of ten, and kind 2 has separate routes.
pub fn settings() -> Settings {
    let class = |effect, ordered| ClassSettings {
        aim: 2 * S,
        deadline: 20 * S,
        effect,
        window: 8 * S,
        ordered,
        late_share: 0.4,
        ..ClassSettings::default()
    };
    Settings {
        senders: 2,
        slots: 12,
        max_open: 100,
        max_attempts: 5,
        cancel: true,
        probes: true,
        max_retry_after: 2 * S,
        quantum: 5 * MS,
        drain_grace: 500 * MS,
        order_settle: S,
        classes: vec![
            class(Effect::Safe, false),
            class(Effect::Keyed, false),
            class(Effect::Unsafe, false),
            class(Effect::Safe, true),
        ],
        kinds: vec![
            KindSettings { max_batch: 1, separate_routes: false },
            KindSettings { max_batch: 10, separate_routes: false },
            KindSettings { max_batch: 1, separate_routes: true },
        ],
        ..Settings::default()
    }
}

/// Returns the list entry of a healthy endpoint in zone 0 without a weight.
pub fn entry(endpoint: u32, dest: i64, kind: usize) -> EndpointEntry {
    let (endpoint, dest) = (EndpointId(endpoint), DestId(dest));
    EndpointEntry { endpoint, dest, status: Status::Up, kind, zone: 0, weight: None }
}

/// Returns a new message without an order key, with 20 s until its deadline.
pub fn message(id: u64, class: usize, dest: i64) -> Event {
    let (id, dest) = (MsgId(id), DestId(dest));
    Event::Message {
        id,
        class,
        tenant: 0,
        key: None,
        dest,
        time_left: 20 * S,
        resubmitted: false,
        may_have_run_since: None,
    }
}

/// Returns a new message of the ordered class with the given order key, with 20 s until its deadline.
pub fn ordered(id: u64, dest: i64, key: &str) -> Event {
    let (id, dest, key) = (MsgId(id), DestId(dest), Some(key.to_string()));
    Event::Message {
        id,
        class: ORDERED,
        tenant: 0,
        key,
        dest,
        time_left: 20 * S,
        resubmitted: false,
        may_have_run_since: None,
    }
}

/// An xorshift random number generator for the fleet simulations. A seed always gives the same numbers.
pub struct Rng(pub u64);

impl Rng {
    /// Returns the next random number, uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One message's attempt, as part of a call that is in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub id: u64,
    /// The number of the message's attempt, counted from 0.
    pub number: u32,
    pub endpoint: u32,
    pub sent: Micros,
    pub timeout: Micros,
}

/// A dispatcher with a simulated clock and a record of its actions.
pub struct TestSender {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub in_flight: Vec<Attempt>,
    /// Number of attempts made so far for each message, by the message's number.
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub refused: Vec<u64>,
    pub failed: Vec<u64>,
    pub probes: Vec<u32>,
    /// Endpoints whose idle connections were closed.
    pub closed_idle: Vec<u32>,
    /// Attempts, by message and number, whose cancellation was requested and that have not ended yet.
    pub cancels: Vec<(u64, u32)>,
    /// The times at which attempts were sent.
    pub send_times: Vec<Micros>,
    pub timer_count: usize,
    pub timer_times: std::collections::BTreeSet<Micros>,
}

impl TestSender {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> TestSender {
        let dispatcher = Dispatcher::new(0, 7, settings).expect("valid settings");
        let mut sender = TestSender {
            dispatcher,
            now: 0,
            in_flight: vec![],
            attempts: Default::default(),
            refused: vec![],
            failed: vec![],
            probes: vec![],
            closed_idle: vec![],
            cancels: vec![],
            send_times: vec![],
            timer_count: 0,
            timer_times: Default::default(),
        };
        sender.round(&[Event::Listing { complete: true, entries }]);
        sender
    }

    /// Runs one round at the simulated clock's time and returns the attempts that the round started.
    pub fn round(&mut self, events: &[Event]) -> Vec<Attempt> {
        let mut actions = Vec::new();
        self.dispatcher.round(self.now, events, &mut actions);
        let mut started = Vec::new();
        for action in &actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let count = self.attempts.entry(id.0).or_insert(0);
                    let (id, endpoint, timeout) = (id.0, endpoint.0, *timeout);
                    started.push(Attempt { id, number: *count, endpoint, sent: self.now, timeout });
                    *count += 1;
                }
                Action::Refuse { id, .. } => self.refused.push(id.0),
                Action::Fail { id } => self.failed.push(id.0),
                Action::Probe { endpoint } => self.probes.push(endpoint.0),
                Action::Cancel { id, attempt } => self.cancels.push((id.0, *attempt)),
                Action::CloseIdle { endpoint } => self.closed_idle.push(endpoint.0),
                Action::Timer { at, .. } => {
                    self.timer_count += 1;
                    self.timer_times.insert(*at);
                }
                _ => {}
            }
        }
        self.send_times.extend(started.iter().map(|attempt| attempt.sent));
        self.in_flight.extend(started.clone());
        started
    }

    /// Advances the clock by `span` in steps of 10 ms, ends attempts that time out, and returns the attempts started.
    pub fn advance(&mut self, span: Micros) -> Vec<Attempt> {
        let end = self.now + span;
        let mut started = Vec::new();
        while self.now < end {
            self.now += 10 * MS;
            let timed_out: Vec<Attempt> = self
                .in_flight
                .iter()
                .filter(|attempt| self.now - attempt.sent >= attempt.timeout)
                .cloned()
                .collect();
            let mut events = vec![Event::Timer { token: 0 }];
            events.extend(timed_out.iter().map(|attempt| self.outcome(attempt, Outcome::TimedOut, 0)));
            started.extend(self.round(&events));
        }
        started
    }

    /// Removes an attempt from `in_flight` and returns the event that reports its outcome.
    pub fn outcome(&mut self, attempt: &Attempt, outcome: Outcome, wait: Micros) -> Event {
        self.in_flight.retain(|other| other != attempt);
        let (id, endpoint) = (MsgId(attempt.id), EndpointId(attempt.endpoint));
        let (closes_message, elapsed) = (outcome == Outcome::Done, self.now - attempt.sent);
        let attempt = attempt.number;
        Event::Outcome { id, attempt, endpoint, outcome, closes_message, elapsed, wait, report: None }
    }

    /// Ends an attempt with the given outcome and no reported wait, and returns the attempts started as a result.
    pub fn finish(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Attempt> {
        let event = self.outcome(attempt, outcome, 0);
        self.round(&[event])
    }

    /// Offers `count` messages, one every `gap`, with ids from `first`.
    /// Answers every call with success after 100 ms.
    pub fn serve_steadily(&mut self, first: u64, count: u64, class: usize, dest: i64, gap: Micros) {
        for i in 0..count {
            self.round(&[message(first + i, class, dest)]);
            let mut left = gap;
            while left > 0 {
                self.advance(10 * MS);
                left -= 10 * MS;
                let answered: Vec<Attempt> = self
                    .in_flight
                    .iter()
                    .filter(|attempt| self.now - attempt.sent >= 100 * MS)
                    .cloned()
                    .collect();
                for attempt in answered {
                    self.finish(&attempt, Outcome::Done);
                }
            }
        }
        for attempt in self.in_flight.clone() {
            self.finish(&attempt, Outcome::Done);
        }
    }

    /// Ends all attempts whose cancellation was requested.
    pub fn answer_cancels(&mut self) {
        for key in std::mem::take(&mut self.cancels) {
            let cancelled =
                self.in_flight.iter().find(|attempt| (attempt.id, attempt.number) == key).cloned();
            if let Some(attempt) = cancelled {
                self.finish(&attempt, Outcome::Cancelled);
            }
        }
    }

    /// Counts the attempts started in `from..to`.
    pub fn calls_between(&self, from: Micros, to: Micros) -> usize {
        self.send_times.iter().filter(|time| (from..to).contains(time)).count()
    }

    /// Counts the attempts in flight at the endpoints that the predicate selects.
    pub fn in_flight_at(&self, selects: impl Fn(u32) -> bool) -> usize {
        self.in_flight.iter().filter(|attempt| selects(attempt.endpoint)).count()
    }
}
