//! A hand-driven sender: settings, events and a look at the answers.
#![allow(dead_code)]

use heronroute::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const FREE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const ORDERED: usize = 3;

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

pub fn entry(endpoint: u32, dest: i64, kind: usize) -> EndpointEntry {
    let (endpoint, dest) = (EndpointId(endpoint), DestId(dest));
    EndpointEntry { endpoint, dest, status: Status::Up, kind, zone: 0, weight: None }
}

pub fn message(id: u64, class: usize, dest: i64) -> Event {
    let (id, dest) = (MsgId(id), DestId(dest));
    Event::Message { id, class, tenant: 0, key: None, dest, time_left: 20 * S, resubmitted: false }
}

pub fn keyed(id: u64, dest: i64, key: &str) -> Event {
    let (id, dest, key) = (MsgId(id), DestId(dest), Some(key.to_string()));
    Event::Message { id, class: ORDERED, tenant: 0, key, dest, time_left: 20 * S, resubmitted: false }
}

/// The models' random numbers; every figure follows from the seed.
pub struct Rng(pub u64);

impl Rng {
    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A call that is out.
#[derive(Clone, Debug, PartialEq)]
pub struct Out {
    pub id: u64,
    pub attempt: u32,
    pub endpoint: u32,
    pub sent: Micros,
    pub timeout: Micros,
}

pub struct World {
    pub d: Dispatcher,
    pub now: Micros,
    pub out: Vec<Out>,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub refused: Vec<u64>,
    pub failed: Vec<u64>,
    pub probes: Vec<u32>,
    pub closes: Vec<u32>,
    pub cancels: Vec<(u64, u32)>,
    pub sent_at: Vec<Micros>,
    pub timers: usize,
    pub due: std::collections::BTreeSet<Micros>,
}

impl World {
    pub fn new(set: Settings, entries: Vec<EndpointEntry>) -> World {
        let d = Dispatcher::new(0, 7, set).expect("settings are good");
        let mut w = World {
            d,
            now: 0,
            out: vec![],
            attempts: Default::default(),
            refused: vec![],
            failed: vec![],
            probes: vec![],
            closes: vec![],
            cancels: vec![],
            sent_at: vec![],
            timers: 0,
            due: Default::default(),
        };
        w.round(&[Event::Listing { complete: true, entries }]);
        w
    }

    /// One round at the present time; gives the calls that it started.
    pub fn round(&mut self, events: &[Event]) -> Vec<Out> {
        let mut actions = Vec::new();
        self.d.round(self.now, events, &mut actions);
        let mut fresh = Vec::new();
        for a in &actions {
            match a {
                Action::Send { id, endpoint, timeout, .. } => {
                    let n = self.attempts.entry(id.0).or_insert(0);
                    let (id, endpoint, timeout) = (id.0, endpoint.0, *timeout);
                    fresh.push(Out { id, attempt: *n, endpoint, sent: self.now, timeout });
                    *n += 1;
                }
                Action::Refuse { id, .. } => self.refused.push(id.0),
                Action::Fail { id } => self.failed.push(id.0),
                Action::Probe { endpoint } => self.probes.push(endpoint.0),
                Action::Cancel { id, attempt } => self.cancels.push((id.0, *attempt)),
                Action::CloseIdle { endpoint } => self.closes.push(endpoint.0),
                Action::Timer { at, .. } => {
                    self.timers += 1;
                    self.due.insert(*at);
                }
                _ => {}
            }
        }
        self.sent_at.extend(fresh.iter().map(|o| o.sent));
        self.out.extend(fresh.clone());
        fresh
    }

    /// Lets time pass in steps of 10 ms, time-outs included; gives the calls started meanwhile.
    pub fn pass(&mut self, span: Micros) -> Vec<Out> {
        let end = self.now + span;
        let mut fresh = Vec::new();
        while self.now < end {
            self.now += 10 * MS;
            let late: Vec<Out> =
                self.out.iter().filter(|o| self.now - o.sent >= o.timeout).cloned().collect();
            let mut events = vec![Event::Timer { token: 0 }];
            events.extend(late.iter().map(|o| self.end(o, Outcome::TimedOut, 0)));
            fresh.extend(self.round(&events));
        }
        fresh
    }

    /// The event that ends a call.
    pub fn end(&mut self, o: &Out, outcome: Outcome, wait: Micros) -> Event {
        self.out.retain(|x| x != o);
        let (id, endpoint) = (MsgId(o.id), EndpointId(o.endpoint));
        let (attempt, last, elapsed) = (o.attempt, outcome == Outcome::Done, self.now - o.sent);
        Event::Outcome { id, attempt, endpoint, outcome, closes_message: last, elapsed, wait, report: None }
    }

    pub fn finish(&mut self, o: &Out, outcome: Outcome) -> Vec<Out> {
        let e = self.end(o, outcome, 0);
        self.round(&[e])
    }

    /// Serves everything that goes out, 100 ms a call, one new message each `gap`, for `n` messages.
    pub fn healthy(&mut self, first: u64, n: u64, class: usize, dest: i64, gap: Micros) {
        for i in 0..n {
            self.round(&[message(first + i, class, dest)]);
            let mut left = gap;
            while left > 0 {
                self.pass(10 * MS);
                left -= 10 * MS;
                let due: Vec<Out> =
                    self.out.iter().filter(|o| self.now - o.sent >= 100 * MS).cloned().collect();
                for o in due {
                    self.finish(&o, Outcome::Done);
                }
            }
        }
        for o in self.out.clone() {
            self.finish(&o, Outcome::Done);
        }
    }

    /// Ends the attempts that were called off.
    pub fn cancel_answered(&mut self) {
        for (id, attempt) in std::mem::take(&mut self.cancels) {
            if let Some(o) = self.out.iter().find(|o| (o.id, o.attempt) == (id, attempt)).cloned() {
                self.finish(&o, Outcome::Cancelled);
            }
        }
    }

    /// Calls started from one time until before another.
    pub fn calls(&self, from: Micros, to: Micros) -> usize {
        self.sent_at.iter().filter(|t| (from..to).contains(t)).count()
    }

    pub fn open(&self, dest_of: impl Fn(u32) -> bool) -> usize {
        self.out.iter().filter(|o| dest_of(o.endpoint)).count()
    }
}
