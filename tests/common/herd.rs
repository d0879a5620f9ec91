//! Simulates many senders and one receiver that has an outage and returns cold.
//! The simulation compares the senders' load with the load that overloads the receiver.
//! The rule limits the calls within any overload window of 2 s (setting `fall_window`).
//! The limit is `fall_multiple` times the receiver's capacity at the end of the overload window.
//! One standard deviation of as many random arrivals is added to the limit.

use crate::common::{MS, Rng, S, entry, settings};
use heronroute::*;
use std::collections::{BTreeMap, VecDeque};

/// How the receiver fails during its outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// The receiver rejects calls and reports the wait until the outage ends.
    Shut,
    /// The receiver rejects calls and reports random waits that end before or after the end of the outage.
    ShutUnlike,
    /// The receiver rejects calls and reports no wait.
    ShutUntold,
    /// The receiver refuses connections.
    Down,
    /// The receiver accepts calls and never answers.
    Silent,
    /// The receiver fails nine calls in ten.
    Failing,
}

/// The state that a restarted sender restores from its previous process: all, a part or nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Persisted {
    /// Restores the messages and the health of endpoints and receivers.
    All,
    /// Restores only the messages, as from a journal of a version that did not record health.
    Messages,
    /// Restores no state, as on a new machine.
    Nothing,
}

/// The parameters of one simulated return of a receiver from an outage.
#[derive(Clone, Debug)]
pub struct ReturnCase {
    pub seed: u64,
    pub senders: u32,
    /// Number of senders in each sender's settings, which may differ from `senders`.
    pub assumed_senders: u32,
    pub slots: u32,
    pub endpoints: u32,
    pub kind: usize,
    pub outage: Outage,
    /// Messages per second from all clients together.
    pub demand: f64,
    /// Traffic of the first sender as a multiple of each other sender's traffic.
    pub skew: f64,
    /// Messages per second that the warm receiver handles.
    pub capacity: f64,
    /// Calls per second that the receiver advertises.
    pub limit: f64,
    pub cold_from: f64,
    /// Start of the receiver's outage.
    pub outage_start: Micros,
    /// End of the receiver's outage.
    pub outage_end: Micros,
    /// How long before the end of the outage the first endpoint returns.
    pub first_endpoint_early_by: Micros,
    /// Start and end of a second outage of the receiver.
    pub second_outage: Option<(Micros, Micros)>,
    /// Number of senders, counted from sender 0, whose clients start only after the receiver has returned.
    pub unaware_senders: u32,
    /// Time at which all senders are restarted.
    pub restart_at: Option<Micros>,
    /// Time at which all senders are restarted a second time.
    pub second_restart_at: Option<Micros>,
    /// Time over which the restarts are spread; each tenth of the senders restarts together.
    pub restart_spread: Micros,
    pub persisted: Persisted,
    /// Time at which the endpoint list replaces all endpoints by new ones.
    pub replaced_at: Option<Micros>,
    pub end: Micros,
}

impl Default for ReturnCase {
    fn default() -> Self {
        ReturnCase {
            seed: 1,
            senders: 12,
            assumed_senders: 12,
            slots: 20,
            endpoints: 3,
            kind: 0,
            outage: Outage::Shut,
            demand: 60.0,
            skew: 1.0,
            capacity: 70.0,
            limit: 70.0,
            cold_from: 0.1,
            outage_start: 8 * S,
            outage_end: 18 * S,
            first_endpoint_early_by: 0,
            second_outage: None,
            unaware_senders: 0,
            restart_at: None,
            second_restart_at: None,
            restart_spread: 0,
            persisted: Persisted::All,
            replaced_at: None,
            end: 34 * S,
        }
    }
}

/// The results of one simulated return.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Highest load as a share of the load that overloads the receiver.
    pub peak: f64,
    /// Time from the receiver's return to the highest load.
    pub peak_at: Micros,
    /// The first load that exceeded the strict bound, whose margin allows for random variation.
    /// If N calls are allowed in the overload window, the strict bound is N + 2 sqrt(N) + 2 calls.
    pub overload: Option<Overload>,
    /// The first load that exceeded the wide bound, whose margin is larger where few calls are allowed.
    /// If N calls are allowed in the overload window and N is below 30, the wide bound is N + 3 sqrt(N) + 3 calls.
    /// If N is 30 or more, the wide bound is the strict bound.
    pub overload_by_wide_bound: Option<Overload>,
    /// Highest load as a multiple of the strict bound.
    pub worst_load_ratio: f64,
    /// Number of calls in the second after the first restart.
    pub after_restart: usize,
    /// Trace lines. Each restarted sender has one line with the state that it restored.
    /// Each call or probe after the receiver's return also has one trace line.
    pub trace: Vec<String>,
    /// Time from the receiver's return until the receiver is sent 50% of the demand within a second.
    pub half_traffic_after: Option<Micros>,
    /// Time from the receiver's return until the receiver is sent 90% of the demand within a second.
    pub full_traffic_after: Option<Micros>,
    pub delivered: usize,
    pub refused: usize,
    pub failed: usize,
    pub offered: usize,
    /// Number of calls and probes that reached the receiver during its outage.
    pub contacts_during_outage: usize,
}

/// A load that overloaded the receiver.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Time from the receiver's return to the overload.
    pub after: Micros,
    pub load: f64,
    pub allowed: f64,
    /// Share of the overload that came from senders with a failed call or probe in the outage.
    pub aware_share: f64,
}

/// A call or a probe that reached the receiver after its return.
struct Arrival {
    at: Micros,
    weight: f64,
    /// Whether the sender of the call or probe had a failed call or probe in the outage.
    aware: bool,
}

const FALL_MULTIPLE: f64 = 2.0;
const WARM_UP: Micros = 10 * S;
const SERVICE_TIME: Micros = 120 * MS;
const PROBE_TIME: Micros = 10 * MS;

/// A call that reaches the receiver.
struct IncomingCall {
    msgs: Vec<(MsgId, u32)>,
    endpoint: EndpointId,
    /// Time at which the sender's time-out for the call expires.
    sender_gives_up_at: Micros,
}

impl ReturnCase {
    fn settings(&self) -> Settings {
        let senders = self.assumed_senders;
        let cold_from = self.cold_from;
        let weights = WeightMeaning::Nominal;
        Settings { senders, slots: self.slots, max_open: 200, cold_from, weights, ..settings() }
    }

    fn listing(&self, now: Micros) -> Event {
        let base = if self.replaced_at.is_some_and(|t| now >= t) { 100 } else { 1 };
        // Each separate route advertises its own limit.
        let limit = if self.kind == 2 { self.limit / self.endpoints as f64 } else { self.limit };
        let endpoint = |n| EndpointEntry { weight: Some(limit), ..entry(base + n, 1, self.kind) };
        Event::Listing { complete: true, entries: (0..self.endpoints).map(endpoint).collect() }
    }

    /// Returns whether the sender is restarted in the simulation step that ends now.
    fn is_restarted(&self, sender: usize, now: Micros) -> bool {
        let tenth = (10 * sender / self.senders as usize) as Micros;
        let mut times = self.restart_at.into_iter().chain(self.second_restart_at);
        times.any(|t| (now - 5 * MS..now).contains(&(t + self.restart_spread * tenth / 10)))
    }

    fn is_unavailable(&self, now: Micros, endpoint: EndpointId) -> bool {
        let first = endpoint == EndpointId(1);
        let until = if first { self.outage_end - self.first_endpoint_early_by } else { self.outage_end };
        (self.outage_start..until).contains(&now)
            || self.second_outage.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Returns the time of the receiver's latest return from an outage, if there was one.
    fn last_return(&self, now: Micros) -> Option<Micros> {
        let returns = [Some(self.outage_end - self.first_endpoint_early_by), self.second_outage.map(|a| a.1)];
        returns.into_iter().flatten().filter(|t| *t <= now).max()
    }

    fn capacity_at(&self, now: Micros) -> f64 {
        let warm = self.last_return(now).map_or(1.0, |back| ((now - back) as f64 / WARM_UP as f64).min(1.0));
        self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)
    }

    fn overload_threshold(&self, now: Micros) -> f64 {
        let budget = FALL_MULTIPLE * self.capacity_at(now) * 2.0;
        budget + budget.sqrt()
    }

    /// Runs the simulation; every result follows from the seed.
    pub fn run(&self) -> Results {
        let mut results = Results::default();
        let mut rng = Rng(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let n = self.senders as usize;
        let mut dispatchers: Vec<Dispatcher> = Vec::new();
        let mut inbox: Vec<Vec<Event>> = vec![vec![self.listing(0)]; n];
        for i in 0..n {
            let seed = (self.seed << 8) + i as u64 + 1;
            dispatchers
                .push(Dispatcher::new(0, seed.wrapping_mul(0x2545_f491_4f6c_dd1d), self.settings()).unwrap());
        }
        let parts = self.skew + (n - 1) as f64;
        let rate = |i: usize| self.demand * if i == 0 { self.skew } else { 1.0 } / parts;
        let mut next: Vec<Micros> = (0..n).map(|i| (rng.unit() * 1e6 / rate(i)) as Micros).collect();
        let mut timers: Vec<Micros> = vec![0; n];
        let mut attempts: BTreeMap<(usize, MsgId), u32> = BTreeMap::new();
        // Class and deadline of each open message; a restarted sender restores these messages.
        let mut open: BTreeMap<(usize, MsgId), (usize, Micros)> = BTreeMap::new();
        let mut first_attempts: BTreeMap<(usize, MsgId), (EndpointId, Micros)> = BTreeMap::new();
        let mut queue: BTreeMap<(Micros, u64), (usize, Event)> = BTreeMap::new();
        let mut load: VecDeque<Arrival> = VecDeque::new();
        let mut aware: Vec<bool> = vec![false; n];
        let mut message_arrivals: VecDeque<Micros> = VecDeque::new();
        let mut limit_window = (0i64, 0.0f64);
        let mut open_calls: BTreeMap<EndpointId, u32> = BTreeMap::new();
        let (mut order, mut id) = (0u64, 0u64);
        let mut now = 0;
        while now < self.end {
            now += 5 * MS;
            if self.replaced_at.is_some_and(|t| (now - 5 * MS..now).contains(&t)) {
                inbox.iter_mut().for_each(|inbox| inbox.push(self.listing(now)));
            }
            for i in (0..n).filter(|i| self.is_restarted(*i, now)) {
                let health: Vec<_> = dispatchers[i].endpoint_health().collect();
                let receivers: Vec<_> = dispatchers[i].receiver_health().collect();
                dispatchers[i] = Dispatcher::new(now, rng.0 ^ i as u64, self.settings()).unwrap();
                inbox[i] = vec![self.listing(now)];
                let queued = open.keys().filter(|(sender, _)| *sender == i).count();
                results.trace.push(format!(
                    "{now} sender {i} starts with {queued} messages, health {health:?} {receivers:?}"
                ));
                let health = health.into_iter().filter(|_| self.persisted == Persisted::All);
                inbox[i].extend(
                    health.map(|(endpoint, health)| Event::EndpointHealthRestored { endpoint, health }),
                );
                let receivers = match self.persisted {
                    Persisted::All => receivers,
                    Persisted::Messages => vec![(DestId(1), None, ReceiverHealth::UNKNOWN)],
                    Persisted::Nothing => vec![],
                };
                inbox[i].extend(
                    receivers.into_iter().map(|(dest, route, health)| Event::ReceiverHealthRestored {
                        dest,
                        route,
                        health,
                    }),
                );
                if self.persisted == Persisted::Nothing {
                    open.retain(|(sender, _), _| *sender != i);
                    // A new machine has had no failed call in the outage.
                    aware[i] = false;
                }
                for ((_, id), (class, deadline)) in open.iter().filter(|((s, _), _)| *s == i) {
                    let may_have_run = first_attempts.get(&(i, *id)).copied();
                    let attempts = attempts.get(&(i, *id)).copied().unwrap_or(0);
                    let (id, class, key, dest) = (*id, *class, None, DestId(1));
                    let time_left = deadline - now;
                    let restored = Event::MessageRestored {
                        id,
                        class,
                        key,
                        dest,
                        time_left,
                        attempts,
                        unreached: 0,
                        may_have_run,
                    };
                    inbox[i].push(restored);
                }
                timers[i] = now;
                // The calls in flight end when their process ends.
                queue.retain(|_, (sender, event)| {
                    if *sender == i
                        && let Event::Outcome { endpoint, .. } = event
                    {
                        open_calls.entry(*endpoint).and_modify(|count| *count = count.saturating_sub(1));
                    }
                    *sender != i
                });
            }
            for i in 0..n {
                while next[i] <= now {
                    next[i] += (-(1.0 - rng.unit()).ln() * 1e6 / rate(i)) as Micros + 1;
                    if (i as u32) < self.unaware_senders && now < self.outage_end {
                        continue;
                    }
                    id += 1;
                    let class = id as usize % 3;
                    let left = if class == 0 { 5 * S } else { 12 * S };
                    results.offered += 1;
                    open.insert((i, MsgId(id)), (class, now + left));
                    inbox[i].push(Event::Message {
                        id: MsgId(id),
                        class,
                        tenant: 0,
                        key: None,
                        dest: DestId(1),
                        time_left: left,
                        resubmitted: false,
                        may_have_run_since: None,
                    });
                }
            }
            while let Some(((at, _), _)) = queue.first_key_value()
                && *at <= now
                && let Some((_, (sender, event))) = queue.pop_first()
            {
                let call = match &event {
                    Event::Outcome { endpoint, outcome, elapsed, .. } => {
                        Some((*endpoint, *outcome, *elapsed))
                    }
                    Event::Probed { endpoint, outcome, .. } => Some((*endpoint, *outcome, PROBE_TIME)),
                    _ => None,
                };
                aware[sender] |= call.is_some_and(|(endpoint, outcome, elapsed)| {
                    outcome != Outcome::Done && self.is_unavailable(now - elapsed, endpoint)
                });
                if let Event::Outcome { endpoint, outcome, closes_message, id, .. } = &event {
                    if *outcome == Outcome::Done && *closes_message && open.remove(&(sender, *id)).is_some() {
                        results.delivered += 1;
                    }
                    if outcome.never_ran() {
                        first_attempts.remove(&(sender, *id));
                    }
                    open_calls.entry(*endpoint).and_modify(|count| *count = count.saturating_sub(1));
                }
                inbox[sender].push(event);
            }
            for i in 0..n {
                if inbox[i].is_empty() && timers[i] > now {
                    continue;
                }
                let mut actions = Vec::new();
                dispatchers[i].round(now, &std::mem::take(&mut inbox[i]), &mut actions);
                let mut calls: BTreeMap<u64, IncomingCall> = BTreeMap::new();
                for action in actions {
                    match action {
                        Action::Send { call, id, endpoint, timeout } => {
                            let number = attempts.entry((i, id)).or_insert(0);
                            let sender_gives_up_at = now + timeout;
                            let new_call = IncomingCall { msgs: vec![], endpoint, sender_gives_up_at };
                            let incoming = calls.entry(call).or_insert(new_call);
                            incoming.msgs.push((id, *number));
                            incoming.sender_gives_up_at = incoming.sender_gives_up_at.max(sender_gives_up_at);
                            *number += 1;
                            first_attempts.entry((i, id)).or_insert((endpoint, now));
                        }
                        Action::Refuse { id, .. } => {
                            open.remove(&(i, id));
                            results.refused += 1;
                        }
                        Action::Fail { id } => {
                            open.remove(&(i, id));
                            results.failed += 1;
                        }
                        Action::Timer { at, .. } => timers[i] = at,
                        Action::Probe { endpoint } => {
                            let unavailable = self.is_unavailable(now, endpoint);
                            results.contacts_during_outage += usize::from(unavailable);
                            if !unavailable && self.last_return(now).is_some() {
                                results.trace.push(format!("{now} sender {i} probes {}", endpoint.0));
                                load.push_back(Arrival { at: now, weight: 1.0, aware: aware[i] });
                            }
                            let outcome = match (unavailable, self.outage) {
                                (false, _) => Outcome::Done,
                                (_, Outage::Silent) => Outcome::TimedOut,
                                (_, Outage::Down) => Outcome::ConnectFailed,
                                _ => Outcome::Busy,
                            };
                            order += 1;
                            let event = Event::Probed { endpoint, outcome, report: None };
                            queue.insert((now + PROBE_TIME, order), (i, event));
                        }
                        // Cancels are ignored: a call ends with its answer or its time-out.
                        _ => {}
                    }
                }
                for (_, call) in calls {
                    let weight = 1.0 + 0.25 * (call.msgs.len() - 1) as f64;
                    results.after_restart +=
                        usize::from(self.restart_at.is_some_and(|t| (t..t + S).contains(&now)));
                    let unavailable = self.is_unavailable(now, call.endpoint);
                    results.contacts_during_outage += usize::from(unavailable);
                    if !unavailable && self.last_return(now).is_some() {
                        let what =
                            format!("{} messages, attempt {} of the first", call.msgs.len(), call.msgs[0].1);
                        results.trace.push(format!("{now} sender {i} calls {}: {what}", call.endpoint.0));
                        load.push_back(Arrival { at: now, weight, aware: aware[i] });
                        message_arrivals.extend(call.msgs.iter().map(|_| now));
                    }
                    let outage_end = if now < self.outage_end {
                        self.outage_end
                    } else {
                        self.second_outage.map_or(0, |a| a.1)
                    };
                    let endpoint_calls = open_calls.entry(call.endpoint).or_insert(0);
                    let span = now / (2 * S);
                    if limit_window.0 != span {
                        limit_window = (span, 0.0);
                    }
                    let (outcome, after, wait) = match (unavailable, self.outage) {
                        (true, Outage::Shut) => (Outcome::Busy, 10 * MS, outage_end - now),
                        (true, Outage::ShutUnlike) => {
                            let wait = (outage_end - now) as f64 * (0.5 + rng.unit());
                            (Outcome::Busy, 10 * MS, wait as Micros)
                        }
                        (true, Outage::ShutUntold) => (Outcome::Busy, 10 * MS, 0),
                        (true, Outage::Down) => (Outcome::ConnectFailed, 2 * MS, 0),
                        (true, Outage::Silent) => (Outcome::TimedOut, Micros::MAX, 0),
                        (true, Outage::Failing) if rng.unit() < 0.9 => (Outcome::Error, 50 * MS, 0),
                        _ if limit_window.1 + 1.0 > self.limit * 2.0 => {
                            (Outcome::Busy, 10 * MS, (span + 1) * 2 * S - now)
                        }
                        _ if *endpoint_calls > 8 + (self.capacity * 0.14) as u32 => {
                            (Outcome::Busy, 10 * MS, 400 * MS)
                        }
                        _ => {
                            limit_window.1 += 1.0;
                            let slowdown = self.capacity / self.capacity_at(now).max(1e-3);
                            let took = SERVICE_TIME as f64 * (0.7 + 0.6 * rng.unit()) * slowdown.min(5.0);
                            (Outcome::Done, took as Micros, 0)
                        }
                    };
                    *endpoint_calls += 1;
                    let at = now.saturating_add(after).min(call.sender_gives_up_at);
                    let outcome = if at < now.saturating_add(after) { Outcome::TimedOut } else { outcome };
                    for (id, attempt) in call.msgs {
                        order += 1;
                        let (endpoint, elapsed, closes_message) =
                            (call.endpoint, at - now, outcome == Outcome::Done);
                        let wait = if outcome == Outcome::Busy { wait } else { 0 };
                        let report = None;
                        let event = Event::Outcome {
                            id,
                            attempt,
                            endpoint,
                            outcome,
                            closes_message,
                            elapsed,
                            wait,
                            report,
                        };
                        queue.insert((at, order), (i, event));
                    }
                }
            }
            self.record_load(now, &mut load, &mut message_arrivals, &mut results);
        }
        results
    }

    /// Updates the results with the load of the overload window (setting `fall_window`) that ends now.
    fn record_load(
        &self,
        now: Micros,
        load: &mut VecDeque<Arrival>,
        message_arrivals: &mut VecDeque<Micros>,
        results: &mut Results,
    ) {
        let Some(back) = self.last_return(now) else { return };
        load.retain(|arrival| arrival.at > now - 2 * S && arrival.at >= back);
        message_arrivals.retain(|t| *t > now - S && *t >= back);
        let sum: f64 = load.iter().map(|arrival| arrival.weight).sum();
        let share = sum / self.overload_threshold(now);
        let budget = FALL_MULTIPLE * self.capacity_at(now) * 2.0;
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        let wide = if budget < 30.0 { budget + 3.0 * budget.sqrt() + 3.0 } else { allowed };
        let aware_share =
            load.iter().filter(|arrival| arrival.aware).map(|arrival| arrival.weight).sum::<f64>() / sum;
        for (overload, allowed) in
            [(&mut results.overload, allowed), (&mut results.overload_by_wide_bound, wide)]
        {
            if now - back <= WARM_UP && sum > allowed {
                overload.get_or_insert(Overload { after: now - back, load: sum, allowed, aware_share });
            }
        }
        if now - back <= WARM_UP {
            results.worst_load_ratio = results.worst_load_ratio.max(sum / allowed);
        }
        if now - back <= WARM_UP && share > results.peak {
            (results.peak, results.peak_at) = (share, now - back);
        }
        let reached = |part: f64| message_arrivals.len() as f64 >= part * self.demand;
        if reached(0.5) {
            results.half_traffic_after.get_or_insert(now - back);
        }
        if reached(0.9) {
            results.full_traffic_after.get_or_insert(now - back);
        }
    }
}

/// Returns simulation parameters with the given number of senders, with 240 slots together and at least 2 each.
pub fn with_senders(senders: u32) -> ReturnCase {
    ReturnCase { senders, assumed_senders: senders, slots: (240 / senders).max(2), ..ReturnCase::default() }
}

/// Returns simulation parameters with a receiver that handles `capacity` calls per second.
/// At small capacities, one trial from each of thirty senders overloads the receiver while it is cold.
pub fn small_receiver(sender_count: u32, capacity: f64, outage: Outage) -> ReturnCase {
    let (limit, demand) = (1.2 * capacity, 0.8 * capacity);
    ReturnCase { capacity, limit, demand, endpoints: 2, outage, ..with_senders(sender_count) }
}

/// All kinds of outage that the simulated receiver can have.
pub const OUTAGES: [Outage; 6] =
    [Outage::Shut, Outage::ShutUnlike, Outage::ShutUntold, Outage::Down, Outage::Silent, Outage::Failing];

/// Maximum share of an overload from senders with a failed call or probe in the outage.
/// An overload with a larger share from such senders breaks the rule.
pub const MAX_AWARE_SHARE: f64 = 2.0 / 3.0;
