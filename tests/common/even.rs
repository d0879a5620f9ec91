//! One receiver with many endpoints and a fleet of senders of which none sees much, in simulated time: how the calls of
//! all spread over the endpoints, and what that costs in connections and in time.

use crate::common::{MS, Rng, S, entry, settings};
use heronroute::*;
use std::collections::BTreeMap;

/// What ails an endpoint from one time until another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ill {
    /// It answers so many times slower.
    Slow(f64),
    /// It takes calls and answers none, as a process that was stopped does.
    Stopped,
    /// It refuses connections at once.
    Refuses,
    /// It answers each call at once with an error.
    Errs,
}

/// One day of a fleet.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub senders: usize,
    /// What the senders take their number for.
    pub believed: u32,
    pub endpoints: usize,
    /// Of the endpoints, so many in the first zone; the others in the second. Senders stand in both in turn.
    pub first_zone: Option<usize>,
    /// The receiver's kind, by index, and its limit in calls a second.
    pub kind: usize,
    pub limit: f64,
    /// Messages a second from all senders together.
    pub demand: f64,
    /// How many times the others' traffic the first sender has.
    pub skew: f64,
    pub ill: Vec<(usize, Ill, Micros, Micros)>,
    /// Connections that an endpoint holds at most, and at how many of the senders' first endpoints.
    pub cap: Option<(usize, usize)>,
    /// So many endpoints are listed only from then on; a third of the senders hear of it later by as much again.
    pub join: Option<(usize, Micros, Micros)>,
    /// Every so-manieth sender starts anew, knowing nothing.
    pub restart: Option<(usize, Micros)>,
    /// Each sender has the list in an order, and with numbers, of its own.
    pub shuffled: bool,
    /// The number of the list's first line, and how far it is from each to the next.
    pub numbers: (u32, u32),
    pub end: Micros,
}

impl Default for Day {
    fn default() -> Self {
        Day {
            seed: 1,
            senders: 100,
            believed: 100,
            endpoints: 8,
            first_zone: None,
            kind: 0,
            limit: 60.0,
            demand: 24.0,
            skew: 1.0,
            ill: Vec::new(),
            cap: None,
            join: None,
            restart: None,
            shuffled: false,
            numbers: (0, 1),
            end: 60 * S,
        }
    }
}

/// What was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Calls by time and endpoint.
    pub calls: Vec<(Micros, usize)>,
    pub offered: usize,
    pub in_time: usize,
    pub delivered: usize,
    pub fresh: usize,
    pub endpoints: usize,
}

impl Seen {
    /// Calls to each endpoint between two times.
    pub fn counts(&self, from: Micros, until: Micros) -> Vec<f64> {
        let mut counts = vec![0.0; self.endpoints];
        for (t, e) in &self.calls {
            counts[*e] += f64::from(u8::from((from..until).contains(t)));
        }
        counts
    }
    /// Variance over a random choice's, busiest and idlest over the mean; means over windows of 10 s.
    pub fn spread(&self, from: Micros, until: Micros) -> (f64, f64, f64) {
        let (mut all, mut at, mut n) = ((0.0, 0.0, 0.0), from, 0.0);
        while at + 10 * S <= until {
            let counts = self.counts(at, at + 10 * S);
            let (var, busy, idle) = dispersion(&counts);
            all = (all.0 + var, all.1 + busy, all.2 + idle);
            (at, n) = (at + 10 * S, n + 1.0);
        }
        (all.0 / n, all.1 / n, all.2 / n)
    }
    /// Calls to one endpoint as a share of an even part, between two times.
    pub fn part(&self, endpoint: usize, from: Micros, until: Micros) -> f64 {
        let counts = self.counts(from, until);
        counts[endpoint] * counts.len() as f64 / counts.iter().sum::<f64>().max(1.0)
    }
    pub fn timely(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
    /// New connections a message.
    pub fn conns(&self) -> f64 {
        self.fresh as f64 / self.offered.max(1) as f64
    }
}

/// The index of dispersion, and busiest and idlest over the mean.
pub fn dispersion(counts: &[f64]) -> (f64, f64, f64) {
    let mean = (counts.iter().sum::<f64>() / counts.len() as f64).max(1e-9);
    let var = counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (mean * (counts.len() - 1) as f64);
    let busiest = counts.iter().copied().fold(0.0, f64::max) / mean;
    (var, busiest, counts.iter().copied().fold(f64::INFINITY, f64::min) / mean)
}

const IDLE: Micros = 5 * S;
const LIVES: Micros = 12 * S;
const HANDSHAKE: Micros = 6 * MS;

struct Sender {
    d: Dispatcher,
    inbox: Vec<Event>,
    timer: Micros,
    /// Which endpoint each line of its list stands for.
    known: Vec<usize>,
    /// Idle connections by endpoint: since when.
    idle: Vec<Vec<Micros>>,
    attempts: BTreeMap<MsgId, u32>,
    open: BTreeMap<MsgId, Micros>,
    next: Micros,
    /// Calls begun by an earlier life don't come back to this one.
    life: u32,
}

impl Day {
    fn zone(&self, endpoint: usize) -> usize {
        match self.first_zone {
            Some(n) => usize::from(endpoint >= n),
            None => endpoint % 2,
        }
    }

    fn number(&self, line: usize) -> u32 {
        self.numbers.0 + self.numbers.1 * line as u32
    }

    fn line(&self, number: EndpointId) -> usize {
        ((number.0 - self.numbers.0) / self.numbers.1) as usize
    }

    fn ill(&self, endpoint: usize, now: Micros) -> Option<Ill> {
        let here = |i: &&(usize, Ill, Micros, Micros)| i.0 == endpoint && (i.2..i.3).contains(&now);
        self.ill.iter().find(here).map(|i| i.1)
    }

    fn listing(&self, known: &[usize], joined: bool) -> Event {
        let new = self.join.filter(|_| !joined).map_or(0, |j| j.0);
        let there = known.iter().enumerate().filter(|(_, e)| **e < self.endpoints - new);
        let line = |(line, e): (usize, &usize)| EndpointEntry {
            zone: self.zone(*e),
            weight: Some(self.limit),
            ..entry(self.number(line), 1, self.kind)
        };
        Event::Listing { complete: !joined, entries: there.map(line).collect() }
    }

    fn dispatcher(&self, i: usize, now: Micros, seed: u64) -> Dispatcher {
        let aims = [2500 * MS, 1500 * MS, 2500 * MS];
        let mut set = settings();
        for (class, aim) in set.classes.iter_mut().zip(aims) {
            (class.aim, class.deadline) = (aim, LIVES);
        }
        let set = Settings {
            senders: self.believed,
            zone: i % 2,
            slots: (1200 / self.senders as u32).max(6),
            max_open: (8000 / self.senders as u32).max(40),
            weights: WeightMeaning::Nominal,
            cross_zone_price: 0.01,
            handshake_price: 0.04,
            idle_close: IDLE,
            zone_fees: vec![0.0; 2],
            ..set
        };
        Dispatcher::new(now, seed, set).expect("settings are good")
    }

    /// Plays it; every figure follows from the seed.
    pub fn play(&self) -> Seen {
        let mut seen = Seen { endpoints: self.endpoints, ..Seen::default() };
        let mut rng = Rng(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let parts = self.skew + (self.senders - 1) as f64;
        let gap = |rng: &mut Rng, rate: f64| (-(1.0 - rng.unit()).ln() * 1e6 / rate) as Micros + 1;
        let rate = |i: usize| self.demand * if i == 0 { self.skew } else { 1.0 } / parts;
        let mut all: Vec<Sender> = (0..self.senders)
            .map(|i| {
                let mut known: Vec<usize> = (0..self.endpoints).collect();
                if self.shuffled {
                    (1..known.len())
                        .rev()
                        .for_each(|n| known.swap(n, (rng.unit() * (n + 1) as f64) as usize));
                }
                let seed = (rng.unit() * (1u64 << 60) as f64) as u64;
                Sender {
                    d: self.dispatcher(i, 0, seed),
                    inbox: vec![self.listing(&known, false)],
                    timer: 0,
                    idle: vec![Vec::new(); self.endpoints],
                    attempts: BTreeMap::new(),
                    open: BTreeMap::new(),
                    next: gap(&mut rng, rate(i)),
                    life: 0,
                    known,
                }
            })
            .collect();
        // What ends when: whose call, in which of its lives, at which endpoint, and the events that tell it.
        type End = (usize, u32, usize, Vec<Event>);
        type Call = (usize, Micros, Vec<(MsgId, u32)>);
        let mut queue: BTreeMap<(Micros, u64), End> = BTreeMap::new();
        let mut conns = vec![0usize; self.endpoints];
        let (mut order, mut id, mut now) = (0u64, 0u64, 0);
        while now < self.end {
            now += 5 * MS;
            if let Some((_, at, late)) = self.join {
                for (i, s) in all.iter_mut().enumerate() {
                    let told = if i % 3 == 0 { at + late } else { at };
                    if (now - 5 * MS..now).contains(&told) {
                        s.inbox.push(self.listing(&s.known, true));
                    }
                }
            }
            if let Some((every, _)) = self.restart.filter(|r| (now - 5 * MS..now).contains(&r.1)) {
                for (i, s) in all.iter_mut().enumerate().filter(|(i, _)| i % every == 0) {
                    s.d = self.dispatcher(i, now, (rng.unit() * (1u64 << 60) as f64) as u64);
                    (s.inbox, s.life) = (vec![self.listing(&s.known, false)], s.life + 1);
                    s.open.clear();
                    for (e, idle) in s.idle.iter_mut().enumerate() {
                        conns[e] -= idle.len();
                        idle.clear();
                    }
                }
            }
            for (i, s) in all.iter_mut().enumerate() {
                while s.next <= now {
                    s.next += gap(&mut rng, rate(i));
                    id += 1;
                    seen.offered += 1;
                    s.open.insert(MsgId(id), now);
                    let (id, class, dest) = (MsgId(id), id as usize % 3, DestId(1));
                    let (tenant, key, time_left, again) = (0, None, LIVES, false);
                    s.inbox.push(Event::Message {
                        id,
                        class,
                        tenant,
                        key,
                        dest,
                        time_left,
                        resubmitted: again,
                    });
                }
                for (e, idle) in s.idle.iter_mut().enumerate() {
                    let before = idle.len();
                    idle.retain(|since| now - since < IDLE);
                    conns[e] -= before - idle.len();
                }
            }
            while let Some(first) = queue.first_entry().filter(|e| e.key().0 <= now) {
                let (i, life, endpoint, events) = first.remove();
                let s = &mut all[i];
                let good = events
                    .iter()
                    .all(|e| matches!(e, Event::Outcome { outcome: Outcome::Done | Outcome::Error, .. }));
                if life != s.life || !good {
                    // The connection is gone with the call, but for a probe's.
                    if events.iter().any(
                        |e| matches!(e, Event::Outcome { outcome, .. } if *outcome != Outcome::ConnectFailed),
                    ) {
                        conns[endpoint] = conns[endpoint].saturating_sub(1);
                    }
                } else if events.iter().any(|e| matches!(e, Event::Outcome { .. })) {
                    s.idle[endpoint].push(now);
                }
                if life != s.life {
                    continue;
                }
                for event in events {
                    if let Event::Outcome { id, outcome: Outcome::Done, .. } = &event
                        && let Some(came) = s.open.remove(id)
                    {
                        seen.delivered += 1;
                        seen.in_time += usize::from(now - came <= 1500 * MS);
                    }
                    s.inbox.push(event);
                }
            }
            for (i, s) in all.iter_mut().enumerate() {
                if s.inbox.is_empty() && s.timer > now {
                    continue;
                }
                let mut actions = Vec::new();
                s.d.round(now, &std::mem::take(&mut s.inbox), &mut actions);
                let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
                for action in actions {
                    match action {
                        Action::Send { call, id, endpoint, timeout } => {
                            let no = s.attempts.entry(id).or_insert(0);
                            let entry = calls.entry(call).or_insert((self.line(endpoint), timeout, vec![]));
                            entry.1 = entry.1.max(timeout);
                            entry.2.push((id, *no));
                            *no += 1;
                        }
                        Action::Refuse { id, .. } | Action::Fail { id } => _ = s.open.remove(&id),
                        Action::Timer { at, .. } => s.timer = at,
                        Action::Probe { endpoint } => {
                            order += 1;
                            let e = s.known[self.line(endpoint)];
                            let (outcome, after) = match self.ill(e, now) {
                                Some(Ill::Stopped) => (Outcome::TimedOut, 1500 * MS),
                                Some(Ill::Refuses) => (Outcome::ConnectFailed, 3 * MS),
                                _ => (Outcome::Done, 20 * MS),
                            };
                            let event = Event::Probed { endpoint, outcome, report: None };
                            queue.insert((now + after, order), (i, s.life, e, vec![event]));
                        }
                        Action::CloseIdle { endpoint } => {
                            let e = s.known[self.line(endpoint)];
                            conns[e] -= s.idle[e].len();
                            s.idle[e].clear();
                        }
                        _ => {}
                    }
                }
                for (line, timeout, msgs) in calls.into_values() {
                    let e = s.known[line];
                    seen.calls.push((now, e));
                    let fresh = s.idle[e].pop().is_none();
                    seen.fresh += usize::from(fresh);
                    let full = self.cap.is_some_and(|(n, most)| e < n && fresh && conns[e] >= most);
                    conns[e] += usize::from(fresh);
                    let base = 120.0 * (0.6 * normal(&mut rng)).exp();
                    let took =
                        |factor: f64| (base * factor * 1e3) as Micros + if fresh { HANDSHAKE } else { 0 };
                    let (outcome, elapsed) = match self.ill(e, now) {
                        _ if full => (Outcome::ConnectFailed, 3 * MS),
                        Some(Ill::Refuses) => (Outcome::ConnectFailed, 3 * MS),
                        Some(Ill::Errs) => (Outcome::Error, 3 * MS),
                        Some(Ill::Stopped) => (Outcome::TimedOut, timeout),
                        Some(Ill::Slow(factor)) => (Outcome::Done, took(factor)),
                        None => (Outcome::Done, took(1.0)),
                    };
                    if outcome == Outcome::ConnectFailed {
                        conns[e] -= 1;
                    }
                    order += 1;
                    let (last, endpoint) = (outcome == Outcome::Done, EndpointId(self.number(line)));
                    let (wait, report) = (0, None);
                    let end = |(id, attempt): (MsgId, u32)| Event::Outcome {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        closes_message: last,
                        elapsed,
                        wait,
                        report,
                    };
                    let events = msgs.into_iter().map(end).collect();
                    queue.insert((now + elapsed, order), (i, s.life, e, events));
                }
            }
        }
        seen
    }
}

/// A standard normal, by the sum of twelve.
fn normal(rng: &mut Rng) -> f64 {
    (0..12).map(|_| rng.unit()).sum::<f64>() - 6.0
}
