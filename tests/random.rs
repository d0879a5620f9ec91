//! Tests the decision module with random sequences of events from fixed seeds and checks the rules on every action.

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

/// The expected state of one message, against which actions are checked.
#[derive(Default)]
struct MessageState {
    class: usize,
    dest: i64,
    key: Option<String>,
    sequence: u64,
    deadline: Micros,
    closed: bool,
    answers: u32,
    attempts: u32,
    /// The endpoint and start of each attempt in flight, by the attempt's number.
    in_flight: BTreeMap<u32, (u32, Micros)>,
    may_have_run_since: Option<Micros>,
}

/// Passes random events to a dispatcher, checks the rules on every action and returns all actions.
fn run_checked(seed: u64) -> Vec<Action> {
    let set = settings();
    let (slots, max_attempts, quantum) = (set.slots as usize, set.max_attempts, set.quantum);
    let classes = set.classes.clone();
    let mut dispatcher = Dispatcher::new(0, seed, set).expect("valid settings");
    let mut rng = Rng(seed);
    let mut now = 0;
    let mut messages: BTreeMap<u64, MessageState> = BTreeMap::new();
    let mut unavailable: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut waits: BTreeMap<(i64, u32), Micros> = BTreeMap::new();
    let mut key_settle_until: BTreeMap<String, Micros> = BTreeMap::new();
    let mut open_probes: Vec<u32> = Vec::new();
    let mut all_actions = Vec::new();
    let dest_of = |e: u32| i64::from(e % 4);
    // The endpoints of destination 3 are separate routes. Destination 1 accepts batches of messages.
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
            let state = MessageState {
                class,
                dest,
                key: key.clone(),
                sequence: id,
                deadline: now + time_left,
                ..MessageState::default()
            };
            messages.insert(id, state);
            let (id, dest) = (MsgId(id), DestId(dest));
            events.push(Event::Message {
                id,
                class,
                tenant: 0,
                key,
                dest,
                time_left,
                resubmitted: false,
                may_have_run_since: None,
            });
        }
        let open_attempts: Vec<(u64, u32)> = messages
            .iter()
            .flat_map(|(id, state)| state.in_flight.keys().map(|a| (*id, *a)).collect::<Vec<_>>())
            .collect();
        for (id, attempt) in open_attempts {
            if rng.next(8) != 0 {
                continue;
            }
            use Outcome::*;
            let kinds = [Done, Done, Done, Done, Error, Busy, TimedOut, ConnectFailed, Reset, Skipped];
            let outcome = kinds[rng.next(10) as usize];
            let state = messages.get_mut(&id).expect("the message is known");
            let (endpoint, sent) = state.in_flight.remove(&attempt).expect("the attempt is in flight");
            let wait = if outcome == Busy && rng.next(2) == 0 { 300 * MS } else { 0 };
            if wait > 0 {
                let until = waits.entry(wait_key(endpoint)).or_insert(0);
                *until = (*until).max(now + wait);
            }
            if !outcome.never_ran() && outcome != Done {
                state.may_have_run_since = Some(state.may_have_run_since.map_or(sent, |m| m.min(sent)));
                if let (Some(k), true) = (&state.key, outcome != Error) {
                    key_settle_until.insert(k.clone(), now + S);
                }
            }
            let closes_message = state.closed || outcome == Done;
            state.closed |= closes_message;
            let (id, endpoint, elapsed) = (MsgId(id), EndpointId(endpoint), now - sent);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message,
                elapsed,
                wait,
                report: None,
            });
        }
        if rng.next(40) == 0 {
            let e = rng.next(8) as u32;
            let mut changed = entry(e, dest_of(e), kind_of(dest_of(e)));
            if unavailable.remove(&e).is_none() {
                unavailable.insert(e, now);
                changed.status = if rng.next(2) == 0 { Status::Draining } else { Status::Removed };
            }
            events.push(Event::Listing { complete: false, entries: vec![changed] });
        }
        for e in std::mem::take(&mut open_probes) {
            let outcome = if rng.next(2) == 0 { Outcome::Done } else { Outcome::TimedOut };
            events.push(Event::Probed { endpoint: EndpointId(e), outcome, report: None });
        }
        // Events that name an unknown message or endpoint must be ignored.
        if rng.next(20) == 0 {
            let (id, endpoint, outcome) = (MsgId(1 << 40), EndpointId(99), Outcome::Busy);
            let (attempt, closes_message, elapsed, wait) = (7, false, -5, Micros::MAX);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message,
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
        dispatcher.round(now, &events, &mut actions);
        events.clear();
        let mut calls = BTreeSet::new();
        for action in &actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let is_next_of_key = {
                        let state = &messages[&id.0];
                        let before = |other: &&MessageState| {
                            other.key == state.key
                                && other.sequence < state.sequence
                                && (!other.closed || !other.in_flight.is_empty())
                        };
                        state.key.is_none() || messages.values().find(before).is_none()
                    };
                    let state = messages.get_mut(&id.0).expect("only accepted messages are sent");
                    assert!(
                        is_next_of_key,
                        "seed {seed} step {step}: sent while an earlier message of its key is open"
                    );
                    if let (Some(k), 0) = (&state.key, state.attempts) {
                        assert!(
                            key_settle_until.get(k).is_none_or(|r| now >= *r),
                            "seed {seed}: sent before its key has settled"
                        );
                    }
                    assert!(
                        !state.closed && state.in_flight.is_empty(),
                        "seed {seed}: sent after its end or as a second copy"
                    );
                    assert_eq!(dest_of(endpoint.0), state.dest);
                    assert!(
                        !unavailable.contains_key(&endpoint.0),
                        "seed {seed}: sent to a draining or removed endpoint"
                    );
                    assert!(
                        waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w),
                        "seed {seed}: sent within a reported wait"
                    );
                    match (classes[state.class].effect, state.may_have_run_since) {
                        (Effect::Unsafe, m) => assert!(
                            m.is_none(),
                            "seed {seed}: an unsafe message that may have run was repeated"
                        ),
                        (Effect::Keyed, Some(m)) => assert!(now <= m + classes[state.class].window),
                        _ => {}
                    }
                    assert!(state.attempts < max_attempts && *timeout > 0);
                    state.in_flight.insert(state.attempts, (endpoint.0, now));
                    state.attempts += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    let state = messages.get_mut(&id.0).expect("the message is known");
                    assert!(!state.closed, "seed {seed}: answered twice");
                    state.closed = true;
                    state.answers += 1;
                    let refused = matches!(action, Action::Refuse { .. });
                    if refused && classes[state.class].effect != Effect::Safe {
                        assert!(
                            state.may_have_run_since.is_none() && state.in_flight.is_empty(),
                            "seed {seed}: an unsafe or keyed message that may have run was refused"
                        );
                    }
                }
                Action::Probe { endpoint } => {
                    assert!(waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w));
                    assert!(!unavailable.contains_key(&endpoint.0));
                    open_probes.push(endpoint.0);
                }
                Action::Cancel { id, attempt } => assert!(messages[&id.0].attempts > *attempt),
                _ => {}
            }
        }
        for state in messages.values() {
            calls.extend(state.in_flight.values().map(|(e, sent)| (*e, *sent)));
            assert!(
                state.closed || now < state.deadline,
                "seed {seed} step {step}: a message is open at its deadline"
            );
        }
        assert!(calls.len() <= slots, "seed {seed}: {} calls in flight with {slots} slots", calls.len());
        all_actions.extend(actions);
        now += quantum * (1 + rng.next(2) as Micros);
    }
    all_actions
}

#[test]
fn the_rules_hold_on_random_days() {
    for seed in 1..=12 {
        run_checked(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_checked(99), run_checked(99));
}
