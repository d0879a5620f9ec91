//! Random sequences of events from fixed seeds, with the rules checked on every action.

mod common;
use common::*;
use heronroute::*;
use std::collections::{BTreeMap, BTreeSet};

struct Rng(u64);

impl Rng {
    fn next(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
struct Truth {
    class: usize,
    dest: i64,
    key: Option<String>,
    taken: u64,
    deadline: Micros,
    closed: bool,
    answers: u32,
    attempts: u32,
    out: BTreeMap<u32, (u32, Micros)>,
    may_run: Option<Micros>,
}

fn run(seed: u64) -> Vec<Action> {
    let set = settings();
    let (slots, most, quantum) = (set.slots as usize, set.max_attempts, set.quantum);
    let classes = set.classes.clone();
    let mut d = Dispatcher::new(0, seed, set).expect("settings are good");
    let mut rng = Rng(seed);
    let mut now = 0;
    let mut truth: BTreeMap<u64, Truth> = BTreeMap::new();
    let mut gone: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut waits: BTreeMap<(i64, u32), Micros> = BTreeMap::new();
    let mut rests: BTreeMap<String, Micros> = BTreeMap::new();
    let mut probing: Vec<u32> = Vec::new();
    let mut all = Vec::new();
    let dest_of = |e: u32| i64::from(e % 4);
    // Destination 3 is one of routes apart, destination 1 batches.
    let kind_of = |dest: i64| [0usize, 1, 0, 2][dest as usize];
    let wait_key = |e: u32| (dest_of(e), if kind_of(dest_of(e)) == 2 { e } else { 0 });
    let list: Vec<EndpointEntry> = (0..8).map(|e| entry(e, dest_of(e), kind_of(dest_of(e)))).collect();
    let mut events = vec![Event::Listing { complete: true, entries: list }];
    let mut id = 0;
    for step in 0..1500 {
        for _ in 0..rng.next(3) {
            id += 1;
            let (class, dest) = (rng.next(4) as usize, rng.next(4) as i64);
            let key = (class == ORDERED).then(|| format!("k{}", rng.next(3)));
            let time_left = (1 + rng.next(20) as Micros) * S;
            let t = Truth {
                class,
                dest,
                key: key.clone(),
                taken: id,
                deadline: now + time_left,
                ..Truth::default()
            };
            truth.insert(id, t);
            let (id, dest) = (MsgId(id), DestId(dest));
            events.push(Event::Message { id, class, tenant: 0, key, dest, time_left, resubmitted: false });
        }
        let outs: Vec<(u64, u32)> =
            truth.iter().flat_map(|(id, t)| t.out.keys().map(|a| (*id, *a)).collect::<Vec<_>>()).collect();
        for (id, attempt) in outs {
            if rng.next(8) != 0 {
                continue;
            }
            use Outcome::*;
            let kinds = [Done, Done, Done, Done, Error, Busy, TimedOut, ConnectFailed, Reset, Skipped];
            let outcome = kinds[rng.next(10) as usize];
            let t = truth.get_mut(&id).expect("known");
            let (endpoint, sent) = t.out.remove(&attempt).expect("out");
            let wait = if outcome == Busy && rng.next(2) == 0 { 300 * MS } else { 0 };
            if wait > 0 {
                let until = waits.entry(wait_key(endpoint)).or_insert(0);
                *until = (*until).max(now + wait);
            }
            if !outcome.never_ran() && outcome != Done {
                t.may_run = Some(t.may_run.map_or(sent, |m| m.min(sent)));
                if let (Some(k), true) = (&t.key, outcome != Error) {
                    rests.insert(k.clone(), now + S);
                }
            }
            let last = t.closed || outcome == Done;
            t.closed |= last;
            let (id, endpoint, elapsed) = (MsgId(id), EndpointId(endpoint), now - sent);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message: last,
                elapsed,
                wait,
                report: None,
            });
        }
        if rng.next(40) == 0 {
            let e = rng.next(8) as u32;
            let mut line = entry(e, dest_of(e), kind_of(dest_of(e)));
            if gone.remove(&e).is_none() {
                gone.insert(e, now);
                line.status = if rng.next(2) == 0 { Status::Draining } else { Status::Removed };
            }
            events.push(Event::Listing { complete: false, entries: vec![line] });
        }
        for e in std::mem::take(&mut probing) {
            let outcome = if rng.next(2) == 0 { Outcome::Done } else { Outcome::TimedOut };
            events.push(Event::Probed { endpoint: EndpointId(e), outcome, report: None });
        }
        // Things that make no sense must do no harm.
        if rng.next(20) == 0 {
            let (id, endpoint, outcome) = (MsgId(1 << 40), EndpointId(99), Outcome::Busy);
            let (attempt, last, elapsed, wait) = (7, false, -5, Micros::MAX);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message: last,
                elapsed,
                wait,
                report: None,
            });
            events.push(Event::MessageAbandoned { id });
            events.push(Event::Timer { token: u64::MAX });
            events.push(Event::PeerNote { from: 9, text: "?".into() });
            let report = Some(LoadReport { remaining: Some(f64::NAN), limit: Some(f64::NAN) });
            events.push(Event::Probed { endpoint, outcome, report });
        }
        let mut actions = Vec::new();
        d.round(now, &events, &mut actions);
        events.clear();
        let mut calls = BTreeSet::new();
        for a in &actions {
            match a {
                Action::Send { id, endpoint, timeout, .. } => {
                    let turn = {
                        let t = &truth[&id.0];
                        let before = |o: &&Truth| {
                            o.key == t.key && o.taken < t.taken && (!o.closed || !o.out.is_empty())
                        };
                        t.key.is_none() || truth.values().find(before).is_none()
                    };
                    let t = truth.get_mut(&id.0).expect("only messages that were handed in");
                    assert!(turn, "seed {seed} step {step}: an earlier message of the key is open");
                    if let (Some(k), 0) = (&t.key, t.attempts) {
                        assert!(rests.get(k).is_none_or(|r| now >= *r), "seed {seed}: the key rests");
                    }
                    assert!(!t.closed && t.out.is_empty(), "seed {seed}: closed, or a second copy");
                    assert_eq!(dest_of(endpoint.0), t.dest);
                    assert!(!gone.contains_key(&endpoint.0), "seed {seed}: sent to what is gone");
                    assert!(waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w), "seed {seed}: wait");
                    match (classes[t.class].effect, t.may_run) {
                        (Effect::Unsafe, m) => assert!(m.is_none(), "seed {seed}: unsafe repeat"),
                        (Effect::Keyed, Some(m)) => assert!(now <= m + classes[t.class].window),
                        _ => {}
                    }
                    assert!(t.attempts < most && *timeout > 0);
                    t.out.insert(t.attempts, (endpoint.0, now));
                    t.attempts += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    let t = truth.get_mut(&id.0).expect("known");
                    assert!(!t.closed, "seed {seed}: a second answer");
                    t.closed = true;
                    t.answers += 1;
                    let refused = matches!(a, Action::Refuse { .. });
                    if refused && classes[t.class].effect == Effect::Unsafe {
                        assert!(t.may_run.is_none() && t.out.is_empty(), "seed {seed}: unsafe refusal");
                    }
                }
                Action::Probe { endpoint } => {
                    assert!(waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w));
                    assert!(!gone.contains_key(&endpoint.0));
                    probing.push(endpoint.0);
                }
                Action::Cancel { id, attempt } => assert!(truth[&id.0].attempts > *attempt),
                _ => {}
            }
        }
        for t in truth.values() {
            calls.extend(t.out.values().map(|(e, sent)| (*e, *sent)));
            assert!(t.closed || now < t.deadline, "seed {seed} step {step}: unanswered at its deadline");
        }
        assert!(calls.len() <= slots, "seed {seed}: {} calls", calls.len());
        all.extend(actions);
        now += quantum * (1 + rng.next(2) as Micros);
    }
    all
}

#[test]
fn the_rules_hold_on_random_days() {
    for seed in 1..=12 {
        run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(99), run(99));
}
