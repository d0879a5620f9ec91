//! A fleet of senders and a few receivers with limits, in simulated time: what all of them together send, and what
//! comes of it. A receiver's limit is a bucket that fills at its rate and holds the rate for `depth`; a call that it
//! turns away uses the limit up like any other, down to as much below nothing. A fleet that offers more than the
//! limit is so served nothing at all, however long it goes on.

use crate::common::{MS, Rng, S, entry, settings};
use heronroute::*;
use std::collections::BTreeMap;

/// A receiver.
#[derive(Clone, Copy, Debug)]
pub struct Receiver {
    /// Calls a second that it takes, and that the list states.
    pub limit: f64,
    /// Its kind, by index: kind 1 takes several messages in a call.
    pub kind: usize,
    /// Messages a second for it, from all senders together.
    pub demand: f64,
}

/// One day of a fleet.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub senders: u32,
    /// What the senders take their number for.
    pub believed: u32,
    pub receivers: Vec<Receiver>,
    /// From when to when every limit is cut to which part; the list goes on stating the old one.
    pub cut: Option<(Micros, Micros, f64)>,
    /// Share of refusals that tell a wait.
    pub tells: f64,
    /// How many times the others' traffic the first sender has.
    pub skew: f64,
    pub end: Micros,
}

impl Default for Day {
    fn default() -> Self {
        let receivers = vec![Receiver { limit: 30.0, kind: 0, demand: 20.0 }];
        let (senders, believed) = (100, 100);
        Day { seed: 1, senders, believed, receivers, cut: None, tells: 0.4, skew: 1.0, end: 40 * S }
    }
}

/// What was seen of it, over all receivers.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub offered: usize,
    pub delivered: usize,
    /// Delivered within the class's aim.
    pub in_time: usize,
    /// Calls that were turned away.
    pub vain: usize,
    pub calls: usize,
    /// From the end of the cut until nine tenths of the demand are delivered within two seconds.
    pub back: Option<Micros>,
}

impl Seen {
    pub fn served(&self) -> f64 {
        self.delivered as f64 / self.offered.max(1) as f64
    }
    pub fn timely(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
    pub fn vain(&self) -> f64 {
        self.vain as f64 / self.offered.max(1) as f64
    }
}

const SERVICE: Micros = 60 * MS;
/// The span for which a receiver saves its limit up.
const DEPTH: f64 = 0.5;
/// The shortest wait that a refusal tells.
const WAIT_LEAST: f64 = 0.3;
const LIVES: Micros = 10 * S;

struct Bucket {
    tokens: f64,
    filled: Micros,
}

impl Day {
    fn limit(&self, r: &Receiver, now: Micros) -> f64 {
        let part = self.cut.filter(|(from, until, _)| (*from..*until).contains(&now)).map_or(1.0, |c| c.2);
        r.limit * part
    }

    /// A call comes: nothing if it is taken, else the wait, which may not be told.
    fn take(&self, r: &Receiver, bucket: &mut Bucket, now: Micros) -> Option<Micros> {
        let limit = self.limit(r, now);
        let filled = bucket.tokens + limit * (now - bucket.filled) as f64 / 1e6;
        (bucket.tokens, bucket.filled) = (filled.min((limit * DEPTH).max(1.0)), now);
        let taken = bucket.tokens >= 1.0;
        bucket.tokens = (bucket.tokens - 1.0).max(-limit * DEPTH);
        (!taken).then(|| (((1.0 - bucket.tokens) / limit).max(WAIT_LEAST) * 1e6) as Micros)
    }

    /// Plays it; every figure follows from the seed.
    pub fn play(&self) -> Seen {
        let mut seen = Seen::default();
        let mut rng = Rng(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let n = self.senders as usize;
        let set = Settings {
            senders: self.believed,
            slots: (500 / self.senders).max(5),
            max_open: (4000 / self.senders).max(40),
            weights: WeightMeaning::Nominal,
            ..settings()
        };
        let aim = set.classes[0].aim;
        let listed = self.receivers.iter().enumerate().map(|(i, r)| {
            let weight = Some(r.limit);
            EndpointEntry { weight, ..entry(i as u32, i as i64, r.kind) }
        });
        let listed: Vec<_> = listed.collect();
        let mut all: Vec<Dispatcher> = (0..n)
            .map(|i| Dispatcher::new(0, (self.seed << 8) + i as u64, set.clone()).expect("settings are good"))
            .collect();
        let mut inbox: Vec<Vec<Event>> =
            vec![vec![Event::Listing { complete: true, entries: listed.clone() }]; n];
        let parts = self.skew + (n - 1) as f64;
        let mut buckets: Vec<Bucket> =
            self.receivers.iter().map(|r| Bucket { tokens: r.limit * DEPTH, filled: 0 }).collect();
        // The next message of each sender for each receiver.
        let rate = |i: usize, r: &Receiver| r.demand * if i == 0 { self.skew } else { 1.0 } / parts;
        let gap = |rng: &mut Rng, rate: f64| (-(1.0 - rng.unit()).ln() * 1e6 / rate) as Micros + 1;
        let mut next: Vec<Vec<Micros>> = Vec::new();
        for i in 0..n {
            next.push(self.receivers.iter().map(|r| gap(&mut rng, rate(i, r))).collect());
        }
        let mut timers = vec![0; n];
        let mut attempts: BTreeMap<(usize, MsgId), u32> = BTreeMap::new();
        let mut open: BTreeMap<(usize, MsgId), Micros> = BTreeMap::new();
        let mut queue: BTreeMap<(Micros, u64), (usize, Event)> = BTreeMap::new();
        let mut delivered: std::collections::VecDeque<Micros> = Default::default();
        let demand: f64 = self.receivers.iter().map(|r| r.demand).sum();
        let (mut order, mut id, mut now) = (0u64, 0u64, 0);
        while now < self.end {
            now += 5 * MS;
            for (i, next) in next.iter_mut().enumerate() {
                for (dest, (at, r)) in next.iter_mut().zip(&self.receivers).enumerate() {
                    while *at <= now {
                        *at += gap(&mut rng, rate(i, r));
                        id += 1;
                        seen.offered += 1;
                        open.insert((i, MsgId(id)), now);
                        inbox[i].push(Event::Message {
                            id: MsgId(id),
                            class: id as usize % 3,
                            tenant: 0,
                            key: None,
                            dest: DestId(dest as i64),
                            time_left: LIVES,
                            resubmitted: false,
                        });
                    }
                }
            }
            while let Some(first) = queue.first_entry().filter(|e| e.key().0 <= now) {
                let (sender, event) = first.remove();
                if let Event::Outcome { id, outcome: Outcome::Done, .. } = &event
                    && let Some(came) = open.remove(&(sender, *id))
                {
                    seen.delivered += 1;
                    seen.in_time += usize::from(now - came <= aim);
                    delivered.push_back(now);
                }
                inbox[sender].push(event);
            }
            for i in 0..n {
                if inbox[i].is_empty() && timers[i] > now {
                    continue;
                }
                let mut actions = Vec::new();
                all[i].round(now, &std::mem::take(&mut inbox[i]), &mut actions);
                let mut calls: BTreeMap<u64, (EndpointId, Vec<(MsgId, u32)>)> = BTreeMap::new();
                for action in actions {
                    match action {
                        Action::Send { call, id, endpoint, .. } => {
                            let no = attempts.entry((i, id)).or_insert(0);
                            calls.entry(call).or_insert((endpoint, vec![])).1.push((id, *no));
                            *no += 1;
                        }
                        Action::Refuse { id, .. } | Action::Fail { id } => _ = open.remove(&(i, id)),
                        Action::Timer { at, .. } => timers[i] = at,
                        Action::Probe { endpoint } => {
                            order += 1;
                            let event = Event::Probed { endpoint, outcome: Outcome::Done, report: None };
                            queue.insert((now + SERVICE, order), (i, event));
                        }
                        _ => {}
                    }
                }
                for (endpoint, msgs) in calls.into_values() {
                    let at = endpoint.0 as usize;
                    let turned_away = self.take(&self.receivers[at], &mut buckets[at], now);
                    seen.calls += 1;
                    seen.vain += usize::from(turned_away.is_some());
                    let (outcome, elapsed) = match turned_away {
                        None => (Outcome::Done, SERVICE),
                        Some(_) => (Outcome::Busy, SERVICE / 2),
                    };
                    let told = rng.unit() < self.tells;
                    let wait = turned_away.filter(|_| told).unwrap_or(0);
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
            if let Some((_, until, _)) = self.cut.filter(|c| now >= c.1)
                && delivered.len() as f64 >= 0.9 * 2.0 * demand
            {
                seen.back.get_or_insert(now - until);
            }
        }
        seen
    }
}
