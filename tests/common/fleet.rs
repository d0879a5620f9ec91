//! Simulates a fleet of senders and a few rate-limited receivers.
//! A receiver's limit is a token bucket that fills at the limit's rate and holds [`BUCKET_DEPTH_S`] seconds of tokens.
//! A rejected call takes a token like an accepted call, until the bucket is as far below zero as it holds when full.
//! A fleet that persistently offers more than the limit is therefore served nothing at all.

use crate::common::{MS, Rng, S, entry, settings};
use heronroute::*;
use std::collections::BTreeMap;

/// A receiver with one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Receiver {
    /// Calls that the receiver accepts per second, which is also its weight in the endpoint list.
    pub limit: f64,
    /// Index of the receiver's kind. Kind 1 accepts several messages in a call.
    pub kind: usize,
    /// Messages offered per second by all senders together.
    pub demand: f64,
}

/// The parameters of one simulated run of a fleet.
#[derive(Clone, Debug)]
pub struct Simulation {
    pub seed: u64,
    pub senders: u32,
    /// Number of senders in each sender's settings, which may differ from `senders`.
    pub assumed_senders: u32,
    pub receivers: Vec<Receiver>,
    /// Start and end of a cut of every limit, and the share of the limit that remains.
    /// The endpoint list keeps advertising the old limit during the cut.
    pub limit_cut: Option<(Micros, Micros, f64)>,
    /// Share of the receivers' rejections that report a wait.
    pub wait_share: f64,
    /// Traffic of the first sender as a multiple of each other sender's traffic.
    pub skew: f64,
    pub end: Micros,
}

impl Default for Simulation {
    fn default() -> Self {
        let receivers = vec![Receiver { limit: 30.0, kind: 0, demand: 20.0 }];
        let (senders, assumed_senders) = (100, 100);
        Simulation {
            seed: 1,
            senders,
            assumed_senders,
            receivers,
            limit_cut: None,
            wait_share: 0.4,
            skew: 1.0,
            end: 40 * S,
        }
    }
}

/// The results of one simulated run, summed over all receivers.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub offered: usize,
    pub delivered: usize,
    /// Number of messages delivered within their class's target delivery time (`aim`).
    pub in_time: usize,
    /// Number of calls that receivers rejected.
    pub rejected: usize,
    pub calls: usize,
    /// Time from the end of the cut until 90% of two seconds' demand is delivered within two seconds.
    pub recovered_after: Option<Micros>,
}

impl Results {
    pub fn delivered_share(&self) -> f64 {
        self.delivered as f64 / self.offered.max(1) as f64
    }
    pub fn on_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
    pub fn rejected(&self) -> f64 {
        self.rejected as f64 / self.offered.max(1) as f64
    }
}

const SERVICE_TIME: Micros = 60 * MS;
/// Depth of a receiver's token bucket, in seconds of tokens at the receiver's limit.
const BUCKET_DEPTH_S: f64 = 0.5;
/// Shortest wait that a rejection reports, in seconds.
const MIN_WAIT_S: f64 = 0.3;
const MESSAGE_TTL: Micros = 10 * S;

struct Bucket {
    tokens: f64,
    filled: Micros,
}

impl Simulation {
    fn limit(&self, receiver: &Receiver, now: Micros) -> f64 {
        let part =
            self.limit_cut.filter(|(from, until, _)| (*from..*until).contains(&now)).map_or(1.0, |c| c.2);
        receiver.limit * part
    }

    /// Admits a call and returns `None`, or returns the wait after which the receiver would accept a call.
    /// The caller decides whether the rejection reports the wait.
    fn admit(&self, receiver: &Receiver, bucket: &mut Bucket, now: Micros) -> Option<Micros> {
        let limit = self.limit(receiver, now);
        let filled = bucket.tokens + limit * (now - bucket.filled) as f64 / 1e6;
        (bucket.tokens, bucket.filled) = (filled.min((limit * BUCKET_DEPTH_S).max(1.0)), now);
        let taken = bucket.tokens >= 1.0;
        bucket.tokens = (bucket.tokens - 1.0).max(-limit * BUCKET_DEPTH_S);
        (!taken).then(|| (((1.0 - bucket.tokens) / limit).max(MIN_WAIT_S) * 1e6) as Micros)
    }

    /// Runs the simulation; every result follows from the seed.
    pub fn run(&self) -> Results {
        let mut results = Results::default();
        let mut rng = Rng(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let n = self.senders as usize;
        let set = Settings {
            senders: self.assumed_senders,
            slots: (500 / self.senders).max(5),
            max_open: (4000 / self.senders).max(40),
            weights: WeightMeaning::Nominal,
            ..settings()
        };
        let aim = set.classes[0].aim;
        let listed = self.receivers.iter().enumerate().map(|(i, receiver)| {
            let weight = Some(receiver.limit);
            EndpointEntry { weight, ..entry(i as u32, i as i64, receiver.kind) }
        });
        let listed: Vec<_> = listed.collect();
        let mut dispatchers: Vec<Dispatcher> = (0..n)
            .map(|i| Dispatcher::new(0, (self.seed << 8) + i as u64, set.clone()).expect("valid settings"))
            .collect();
        let mut inbox: Vec<Vec<Event>> =
            vec![vec![Event::Listing { complete: true, entries: listed.clone() }]; n];
        let parts = self.skew + (n - 1) as f64;
        let mut buckets: Vec<Bucket> = self
            .receivers
            .iter()
            .map(|receiver| Bucket { tokens: receiver.limit * BUCKET_DEPTH_S, filled: 0 })
            .collect();
        // When each sender gets its next message for each receiver.
        let rate =
            |i: usize, receiver: &Receiver| receiver.demand * if i == 0 { self.skew } else { 1.0 } / parts;
        let gap = |rng: &mut Rng, rate: f64| (-(1.0 - rng.unit()).ln() * 1e6 / rate) as Micros + 1;
        let mut next: Vec<Vec<Micros>> = Vec::new();
        for i in 0..n {
            next.push(self.receivers.iter().map(|receiver| gap(&mut rng, rate(i, receiver))).collect());
        }
        let mut timers = vec![0; n];
        let mut attempts: BTreeMap<(usize, MsgId), u32> = BTreeMap::new();
        let mut open: BTreeMap<(usize, MsgId), Micros> = BTreeMap::new();
        let mut queue: BTreeMap<(Micros, u64), (usize, Event)> = BTreeMap::new();
        let mut delivered: std::collections::VecDeque<Micros> = Default::default();
        let demand: f64 = self.receivers.iter().map(|receiver| receiver.demand).sum();
        let (mut order, mut id, mut now) = (0u64, 0u64, 0);
        while now < self.end {
            now += 5 * MS;
            for (i, next) in next.iter_mut().enumerate() {
                for (dest, (at, receiver)) in next.iter_mut().zip(&self.receivers).enumerate() {
                    while *at <= now {
                        *at += gap(&mut rng, rate(i, receiver));
                        id += 1;
                        results.offered += 1;
                        open.insert((i, MsgId(id)), now);
                        inbox[i].push(Event::Message {
                            id: MsgId(id),
                            class: id as usize % 3,
                            tenant: 0,
                            key: None,
                            dest: DestId(dest as i64),
                            time_left: MESSAGE_TTL,
                            resubmitted: false,
                            may_have_run_since: None,
                        });
                    }
                }
            }
            while let Some(first) = queue.first_entry().filter(|e| e.key().0 <= now) {
                let (sender, event) = first.remove();
                if let Event::Outcome { id, outcome: Outcome::Done, .. } = &event
                    && let Some(accepted_at) = open.remove(&(sender, *id))
                {
                    results.delivered += 1;
                    results.in_time += usize::from(now - accepted_at <= aim);
                    delivered.push_back(now);
                }
                inbox[sender].push(event);
            }
            for i in 0..n {
                if inbox[i].is_empty() && timers[i] > now {
                    continue;
                }
                let mut actions = Vec::new();
                dispatchers[i].round(now, &std::mem::take(&mut inbox[i]), &mut actions);
                let mut calls: BTreeMap<u64, (EndpointId, Vec<(MsgId, u32)>)> = BTreeMap::new();
                for action in actions {
                    match action {
                        Action::Send { call, id, endpoint, .. } => {
                            let number = attempts.entry((i, id)).or_insert(0);
                            calls.entry(call).or_insert((endpoint, vec![])).1.push((id, *number));
                            *number += 1;
                        }
                        Action::Refuse { id, .. } | Action::Fail { id } => _ = open.remove(&(i, id)),
                        Action::Timer { at, .. } => timers[i] = at,
                        Action::Probe { endpoint } => {
                            order += 1;
                            let event = Event::Probed { endpoint, outcome: Outcome::Done, report: None };
                            queue.insert((now + SERVICE_TIME, order), (i, event));
                        }
                        _ => {}
                    }
                }
                for (endpoint, msgs) in calls.into_values() {
                    let at = endpoint.0 as usize;
                    let rejected_wait = self.admit(&self.receivers[at], &mut buckets[at], now);
                    results.calls += 1;
                    results.rejected += usize::from(rejected_wait.is_some());
                    let (outcome, elapsed) = match rejected_wait {
                        None => (Outcome::Done, SERVICE_TIME),
                        Some(_) => (Outcome::Busy, SERVICE_TIME / 2),
                    };
                    let reports_wait = rng.unit() < self.wait_share;
                    let wait = rejected_wait.filter(|_| reports_wait).unwrap_or(0);
                    for (id, attempt) in msgs {
                        order += 1;
                        let (last, report) = (outcome == Outcome::Done, None);
                        let event = Event::Outcome {
                            id,
                            attempt,
                            endpoint,
                            outcome,
                            closes_message: last,
                            elapsed,
                            wait,
                            report,
                        };
                        queue.insert((now + elapsed, order), (i, event));
                    }
                }
            }
            while delivered.front().is_some_and(|t| *t <= now - 2 * S) {
                delivered.pop_front();
            }
            if let Some((_, until, _)) = self.limit_cut.filter(|c| now >= c.1)
                && delivered.len() as f64 >= 0.9 * 2.0 * demand
            {
                results.recovered_after.get_or_insert(now - until);
            }
        }
        results
    }
}
