//! Simulates one receiver with many endpoints and a fleet of senders, each of which has little of the traffic.
//! Measures how evenly the calls spread over the endpoints, and the connections and time that an even spread costs.

use crate::common::{MS, Rng, S, entry, settings};
use heronroute::*;
use std::collections::BTreeMap;

/// A temporary fault of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The endpoint answers slower by the given factor.
    Slow(f64),
    /// The endpoint accepts calls and never answers, like a stopped process.
    Stopped,
    /// The endpoint refuses connections immediately.
    RefusesConnections,
    /// The endpoint answers every call immediately with an error.
    Errors,
}

/// The parameters of one simulated run of a fleet.
#[derive(Clone, Debug)]
pub struct Simulation {
    pub seed: u64,
    pub senders: usize,
    /// Number of senders in each sender's settings, which may differ from `senders`.
    pub assumed_senders: u32,
    pub endpoints: usize,
    /// Number of endpoints in the first zone; all further endpoints are in the second zone.
    /// If the number is not set, endpoints alternate between the zones. Senders always alternate between the zones.
    pub first_zone: Option<usize>,
    /// Index of the receiver's kind.
    pub kind: usize,
    /// The receiver's limit in calls per second.
    pub limit: f64,
    /// Messages offered per second by all senders together.
    pub demand: f64,
    /// Traffic of the first sender as a multiple of each other sender's traffic.
    pub skew: f64,
    /// Faults of endpoints, each with its endpoint, start and end.
    pub faults: Vec<(usize, Fault, Micros, Micros)>,
    /// Number of endpoints, counted from endpoint 0, that limit their connections, and the maximum for each endpoint.
    pub connection_cap: Option<(usize, usize)>,
    /// Number of joining endpoints, when they enter the endpoint list, and how much later some senders get the list.
    /// A third of the senders receive the endpoint list with the joining endpoints only after the delay.
    pub joining: Option<(usize, Micros, Micros)>,
    /// `(n, time)`: every n-th sender is restarted at `time` without any state.
    pub restart: Option<(usize, Micros)>,
    /// Whether each sender gets the endpoint list in a different order.
    pub shuffled: bool,
    /// Endpoint number of the first list entry, and the step from each entry's number to the next.
    pub numbers: (u32, u32),
    pub end: Micros,
}

impl Default for Simulation {
    fn default() -> Self {
        Simulation {
            seed: 1,
            senders: 100,
            assumed_senders: 100,
            endpoints: 8,
            first_zone: None,
            kind: 0,
            limit: 60.0,
            demand: 24.0,
            skew: 1.0,
            faults: Vec::new(),
            connection_cap: None,
            joining: None,
            restart: None,
            shuffled: false,
            numbers: (0, 1),
            end: 60 * S,
        }
    }
}

/// The results of one simulated run of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The time and endpoint of each call.
    pub calls: Vec<(Micros, usize)>,
    pub offered: usize,
    pub in_time: usize,
    pub delivered: usize,
    pub new_connections: usize,
    pub endpoints: usize,
}

impl Results {
    /// Counts the calls to each endpoint in `from..until`.
    pub fn counts(&self, from: Micros, until: Micros) -> Vec<f64> {
        let mut counts = vec![0.0; self.endpoints];
        for (t, e) in &self.calls {
            counts[*e] += f64::from(u8::from((from..until).contains(t)));
        }
        counts
    }
    /// Returns [`dispersion`] of the calls to endpoints, averaged over windows of 10 s.
    pub fn spread(&self, from: Micros, until: Micros) -> (f64, f64, f64) {
        let (mut sums, mut at, mut n) = ((0.0, 0.0, 0.0), from, 0.0);
        while at + 10 * S <= until {
            let counts = self.counts(at, at + 10 * S);
            let (var, busy, idle) = dispersion(&counts);
            sums = (sums.0 + var, sums.1 + busy, sums.2 + idle);
            (at, n) = (at + 10 * S, n + 1.0);
        }
        (sums.0 / n, sums.1 / n, sums.2 / n)
    }
    /// Returns an endpoint's calls in `from..until` as a multiple of an even share.
    pub fn load_share(&self, endpoint: usize, from: Micros, until: Micros) -> f64 {
        let counts = self.counts(from, until);
        counts[endpoint] * counts.len() as f64 / counts.iter().sum::<f64>().max(1.0)
    }
    pub fn on_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
    /// Returns the number of connections opened per message.
    pub fn connections_per_message(&self) -> f64 {
        self.new_connections as f64 / self.offered.max(1) as f64
    }
}

/// Returns three values. The first value is the counts' index of dispersion: variance over mean, 1 if random.
/// The other two values are the largest count over the mean and the smallest count over the mean.
pub fn dispersion(counts: &[f64]) -> (f64, f64, f64) {
    let mean = (counts.iter().sum::<f64>() / counts.len() as f64).max(1e-9);
    let var = counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (mean * (counts.len() - 1) as f64);
    let busiest = counts.iter().copied().fold(0.0, f64::max) / mean;
    (var, busiest, counts.iter().copied().fold(f64::INFINITY, f64::min) / mean)
}

const IDLE_CLOSE: Micros = 5 * S;
const MESSAGE_TTL: Micros = 12 * S;
const HANDSHAKE: Micros = 6 * MS;

struct Sender {
    dispatcher: Dispatcher,
    inbox: Vec<Event>,
    timer: Micros,
    /// The endpoint of each entry in the sender's endpoint list.
    endpoints_by_entry: Vec<usize>,
    /// For each endpoint, the times at which its idle connections became idle.
    idle: Vec<Vec<Micros>>,
    attempts: BTreeMap<MsgId, u32>,
    open: BTreeMap<MsgId, Micros>,
    next: Micros,
    /// Number of the sender's restarts so far. Outcomes of calls of an earlier incarnation are dropped.
    incarnation: u32,
}

impl Simulation {
    fn zone(&self, endpoint: usize) -> usize {
        match self.first_zone {
            Some(n) => usize::from(endpoint >= n),
            None => endpoint % 2,
        }
    }

    fn entry_number(&self, index: usize) -> u32 {
        self.numbers.0 + self.numbers.1 * index as u32
    }

    fn entry_index(&self, number: EndpointId) -> usize {
        ((number.0 - self.numbers.0) / self.numbers.1) as usize
    }

    fn fault(&self, endpoint: usize, now: Micros) -> Option<Fault> {
        let active = |fault: &&(usize, Fault, Micros, Micros)| {
            fault.0 == endpoint && (fault.2..fault.3).contains(&now)
        };
        self.faults.iter().find(active).map(|fault| fault.1)
    }

    fn listing(&self, endpoints_by_entry: &[usize], joined: bool) -> Event {
        let new = self.joining.filter(|_| !joined).map_or(0, |j| j.0);
        let listed =
            endpoints_by_entry.iter().enumerate().filter(|(_, endpoint)| **endpoint < self.endpoints - new);
        let listed_entry = |(index, endpoint): (usize, &usize)| EndpointEntry {
            zone: self.zone(*endpoint),
            weight: Some(self.limit),
            ..entry(self.entry_number(index), 1, self.kind)
        };
        Event::Listing { complete: !joined, entries: listed.map(listed_entry).collect() }
    }

    fn dispatcher(&self, i: usize, now: Micros, seed: u64) -> Dispatcher {
        let aims = [2500 * MS, 1500 * MS, 2500 * MS];
        let mut set = settings();
        for (class, aim) in set.classes.iter_mut().zip(aims) {
            (class.aim, class.deadline) = (aim, MESSAGE_TTL);
        }
        let set = Settings {
            senders: self.assumed_senders,
            zone: i % 2,
            slots: (1200 / self.senders as u32).max(6),
            max_open: (8000 / self.senders as u32).max(40),
            weights: WeightMeaning::Nominal,
            cross_zone_price: 0.01,
            handshake_price: 0.04,
            idle_close: IDLE_CLOSE,
            zone_fees: vec![0.0; 2],
            ..set
        };
        Dispatcher::new(now, seed, set).expect("valid settings")
    }

    /// Runs the simulation; every result follows from the seed.
    pub fn run(&self) -> Results {
        let mut results = Results { endpoints: self.endpoints, ..Results::default() };
        let mut rng = Rng(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let parts = self.skew + (self.senders - 1) as f64;
        let gap = |rng: &mut Rng, rate: f64| (-(1.0 - rng.unit()).ln() * 1e6 / rate) as Micros + 1;
        let rate = |i: usize| self.demand * if i == 0 { self.skew } else { 1.0 } / parts;
        let mut senders: Vec<Sender> = (0..self.senders)
            .map(|i| {
                let mut endpoints_by_entry: Vec<usize> = (0..self.endpoints).collect();
                if self.shuffled {
                    (1..endpoints_by_entry.len())
                        .rev()
                        .for_each(|n| endpoints_by_entry.swap(n, (rng.unit() * (n + 1) as f64) as usize));
                }
                let seed = (rng.unit() * (1u64 << 60) as f64) as u64;
                Sender {
                    dispatcher: self.dispatcher(i, 0, seed),
                    inbox: vec![self.listing(&endpoints_by_entry, false)],
                    timer: 0,
                    idle: vec![Vec::new(); self.endpoints],
                    attempts: BTreeMap::new(),
                    open: BTreeMap::new(),
                    next: gap(&mut rng, rate(i)),
                    incarnation: 0,
                    endpoints_by_entry,
                }
            })
            .collect();
        // The sender, incarnation and endpoint of a call or probe, and the events that end it.
        type End = (usize, u32, usize, Vec<Event>);
        type Call = (usize, Micros, Vec<(MsgId, u32)>);
        let mut queue: BTreeMap<(Micros, u64), End> = BTreeMap::new();
        let mut connections = vec![0usize; self.endpoints];
        let (mut order, mut id, mut now) = (0u64, 0u64, 0);
        while now < self.end {
            now += 5 * MS;
            if let Some((_, at, late)) = self.joining {
                for (i, sender) in senders.iter_mut().enumerate() {
                    let notified_at = if i % 3 == 0 { at + late } else { at };
                    if (now - 5 * MS..now).contains(&notified_at) {
                        sender.inbox.push(self.listing(&sender.endpoints_by_entry, true));
                    }
                }
            }
            if let Some((every, _)) = self.restart.filter(|r| (now - 5 * MS..now).contains(&r.1)) {
                for (i, sender) in senders.iter_mut().enumerate().filter(|(i, _)| i % every == 0) {
                    sender.dispatcher = self.dispatcher(i, now, (rng.unit() * (1u64 << 60) as f64) as u64);
                    (sender.inbox, sender.incarnation) =
                        (vec![self.listing(&sender.endpoints_by_entry, false)], sender.incarnation + 1);
                    sender.open.clear();
                    for (e, idle) in sender.idle.iter_mut().enumerate() {
                        connections[e] -= idle.len();
                        idle.clear();
                    }
                }
            }
            for (i, sender) in senders.iter_mut().enumerate() {
                while sender.next <= now {
                    sender.next += gap(&mut rng, rate(i));
                    id += 1;
                    results.offered += 1;
                    sender.open.insert(MsgId(id), now);
                    let (id, class, dest) = (MsgId(id), id as usize % 3, DestId(1));
                    let (tenant, key, time_left, resubmitted) = (0, None, MESSAGE_TTL, false);
                    sender.inbox.push(Event::Message {
                        id,
                        class,
                        tenant,
                        key,
                        dest,
                        time_left,
                        resubmitted,
                        may_have_run_since: None,
                    });
                }
                for (e, idle) in sender.idle.iter_mut().enumerate() {
                    let before = idle.len();
                    idle.retain(|since| now - since < IDLE_CLOSE);
                    connections[e] -= before - idle.len();
                }
            }
            while let Some(first) = queue.first_entry().filter(|e| e.key().0 <= now) {
                let (i, incarnation, endpoint, events) = first.remove();
                let sender = &mut senders[i];
                let answered = events
                    .iter()
                    .all(|e| matches!(e, Event::Outcome { outcome: Outcome::Done | Outcome::Error, .. }));
                if incarnation != sender.incarnation || !answered {
                    // A call's connection is closed here. A probe uses no simulated connection.
                    if events.iter().any(
                        |e| matches!(e, Event::Outcome { outcome, .. } if *outcome != Outcome::ConnectFailed),
                    ) {
                        connections[endpoint] = connections[endpoint].saturating_sub(1);
                    }
                } else if events.iter().any(|e| matches!(e, Event::Outcome { .. })) {
                    sender.idle[endpoint].push(now);
                }
                if incarnation != sender.incarnation {
                    continue;
                }
                for event in events {
                    if let Event::Outcome { id, outcome: Outcome::Done, .. } = &event
                        && let Some(arrived_at) = sender.open.remove(id)
                    {
                        results.delivered += 1;
                        results.in_time += usize::from(now - arrived_at <= 1500 * MS);
                    }
                    sender.inbox.push(event);
                }
            }
            for (i, sender) in senders.iter_mut().enumerate() {
                if sender.inbox.is_empty() && sender.timer > now {
                    continue;
                }
                let mut actions = Vec::new();
                sender.dispatcher.round(now, &std::mem::take(&mut sender.inbox), &mut actions);
                let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
                for action in actions {
                    match action {
                        Action::Send { call, id, endpoint, timeout } => {
                            let number = sender.attempts.entry(id).or_insert(0);
                            let entry =
                                calls.entry(call).or_insert((self.entry_index(endpoint), timeout, vec![]));
                            entry.1 = entry.1.max(timeout);
                            entry.2.push((id, *number));
                            *number += 1;
                        }
                        Action::Refuse { id, .. } | Action::Fail { id } => _ = sender.open.remove(&id),
                        Action::Timer { at, .. } => sender.timer = at,
                        Action::Probe { endpoint } => {
                            order += 1;
                            let index = sender.endpoints_by_entry[self.entry_index(endpoint)];
                            let (outcome, after) = match self.fault(index, now) {
                                Some(Fault::Stopped) => (Outcome::TimedOut, 1500 * MS),
                                Some(Fault::RefusesConnections) => (Outcome::ConnectFailed, 3 * MS),
                                _ => (Outcome::Done, 20 * MS),
                            };
                            let event = Event::Probed { endpoint, outcome, report: None };
                            queue.insert((now + after, order), (i, sender.incarnation, index, vec![event]));
                        }
                        Action::CloseIdle { endpoint } => {
                            let index = sender.endpoints_by_entry[self.entry_index(endpoint)];
                            connections[index] -= sender.idle[index].len();
                            sender.idle[index].clear();
                        }
                        _ => {}
                    }
                }
                for (entry, timeout, msgs) in calls.into_values() {
                    let index = sender.endpoints_by_entry[entry];
                    results.calls.push((now, index));
                    let is_new = sender.idle[index].pop().is_none();
                    results.new_connections += usize::from(is_new);
                    let full = self
                        .connection_cap
                        .is_some_and(|(count, max)| index < count && is_new && connections[index] >= max);
                    connections[index] += usize::from(is_new);
                    let base = 120.0 * (0.6 * normal(&mut rng)).exp();
                    let took =
                        |factor: f64| (base * factor * 1e3) as Micros + if is_new { HANDSHAKE } else { 0 };
                    let (outcome, elapsed) = match self.fault(index, now) {
                        _ if full => (Outcome::ConnectFailed, 3 * MS),
                        Some(Fault::RefusesConnections) => (Outcome::ConnectFailed, 3 * MS),
                        Some(Fault::Errors) => (Outcome::Error, 3 * MS),
                        Some(Fault::Stopped) => (Outcome::TimedOut, timeout),
                        Some(Fault::Slow(factor)) => (Outcome::Done, took(factor)),
                        None => (Outcome::Done, took(1.0)),
                    };
                    if outcome == Outcome::ConnectFailed {
                        connections[index] -= 1;
                    }
                    order += 1;
                    let (closes_message, endpoint) =
                        (outcome == Outcome::Done, EndpointId(self.entry_number(entry)));
                    let (wait, report) = (0, None);
                    let outcome_event = |(id, attempt): (MsgId, u32)| Event::Outcome {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        closes_message,
                        elapsed,
                        wait,
                        report,
                    };
                    let events = msgs.into_iter().map(outcome_event).collect();
                    queue.insert((now + elapsed, order), (i, sender.incarnation, index, events));
                }
            }
        }
        results
    }
}

/// Draws from a standard normal distribution, approximated by twelve uniform numbers.
fn normal(rng: &mut Rng) -> f64 {
    (0..12).map(|_| rng.unit()).sum::<f64>() - 6.0
}
