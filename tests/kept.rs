//! Tests of the receiver health that a sender restores at its start.

mod common;

use common::*;
use heronroute::*;

const SENT_AT: Micros = S;
const WAIT: Micros = 1500 * MS;

fn listed() -> Event {
    Event::Listing { complete: true, entries: vec![entry(1, 1, 0), entry(2, 1, 0)] }
}

fn message(id: u64) -> Event {
    let (id, class, tenant, key, dest) = (MsgId(id), 0, 0, None, DestId(1));
    Event::Message {
        id,
        class,
        tenant,
        key,
        dest,
        time_left: 10 * S,
        resubmitted: false,
        may_have_run_since: None,
    }
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
}

/// Returns a sender, at the time `SENT_AT`, whose only call was rejected with the given wait.
fn sender_after_rejection(wait: Micros) -> Dispatcher {
    let mut sender = Dispatcher::new(0, 1, settings()).unwrap();
    let mut actions = Vec::new();
    sender.round(0, &[listed(), message(1)], &mut actions);
    let Some(Action::Send { id, endpoint, .. }) =
        actions.iter().find(|action| matches!(action, Action::Send { .. }))
    else {
        panic!("the sender made no call: {actions:?}");
    };
    let answer = Event::Outcome {
        id: *id,
        attempt: 0,
        endpoint: *endpoint,
        outcome: Outcome::Busy,
        closes_message: false,
        elapsed: 10 * MS,
        wait,
        report: None,
    };
    sender.round(SENT_AT, &[answer], &mut Vec::new());
    sender
}

/// Starts the next process of a sender at `SENT_AT` with the previous process's health records and new messages.
/// Asserts that the new process sends none of the messages in its first round.
fn next_process(previous: &Dispatcher, messages: u64) -> Dispatcher {
    let mut sender = Dispatcher::new(SENT_AT, 2, settings()).unwrap();
    let mut events = vec![listed()];
    events.extend(
        previous
            .endpoint_health()
            .map(|(endpoint, health)| Event::EndpointHealthRestored { endpoint, health }),
    );
    let receivers = previous.receiver_health();
    events.extend(receivers.map(|(dest, route, health)| Event::ReceiverHealthRestored {
        dest,
        route,
        health,
    }));
    events.extend((2..2 + messages).map(message));
    let mut actions = Vec::new();
    sender.round(SENT_AT, &events, &mut actions);
    assert_eq!(sends(&actions), 0, "{actions:?}");
    sender
}

/// Returns when the sender makes its first call from `SENT_AT` on.
fn first_call(sender: &mut Dispatcher) -> Option<Micros> {
    (SENT_AT / MS..10_000).map(|at| at * MS).find(|at| {
        let mut actions = Vec::new();
        sender.round(*at, &[], &mut actions);
        sends(&actions) > 0
    })
}

#[test]
fn a_wait_holds_over_a_restart() {
    let previous = sender_after_rejection(WAIT);
    let called = first_call(&mut next_process(&previous, 1));
    assert!(called.is_some_and(|at| at >= SENT_AT + WAIT), "{called:?}");
}

#[test]
fn a_budget_after_a_refusal_holds_over_a_restart() {
    let previous = sender_after_rejection(0);
    let (_, _, health) = previous.receiver_health().next().unwrap();
    assert!(
        health.budget_milli_per_s.is_some() && !health.down && health.failing_since.is_none(),
        "{health:?}"
    );
    // `next_process` asserts that the restored budget keeps the twenty messages from being sent without delay.
    next_process(&previous, 20);
}

#[test]
fn a_healthy_receiver_has_nothing_to_persist() {
    let mut sender = Dispatcher::new(0, 1, settings()).unwrap();
    let mut actions = Vec::new();
    sender.round(0, &[listed(), message(1)], &mut actions);
    assert_eq!((sender.endpoint_health().count(), sender.receiver_health().count()), (0, 0));
}

/// Counts the calls that a sender with twenty messages makes within 3 s of its start at `SENT_AT`.
/// In these 3 s every probe succeeds and no call is answered.
fn calls_before_an_answer(health: ReceiverHealth) -> usize {
    let mut sender = Dispatcher::new(SENT_AT, 3, settings()).unwrap();
    let restored = Event::ReceiverHealthRestored { dest: DestId(1), route: None, health };
    let events: Vec<Event> = [listed(), restored].into_iter().chain((1..=20).map(message)).collect();
    let mut calls = 0;
    for at in (0..3_000).map(|after| SENT_AT + after * MS) {
        let mut actions = Vec::new();
        sender.round(at, if at == SENT_AT { &events } else { &[] }, &mut actions);
        let probes = actions.iter().filter_map(|action| match action {
            Action::Probe { endpoint } => Some(*endpoint),
            _ => None,
        });
        let success = |endpoint| Event::Probed { endpoint, outcome: Outcome::Done, report: None };
        calls += sends(&actions);
        let answers: Vec<Event> = probes.map(success).collect();
        actions.clear();
        sender.round(at, &answers, &mut actions);
        calls += sends(&actions);
    }
    calls
}

#[test]
fn a_receiver_of_unknown_health_is_tried_with_single_calls() {
    let calls = calls_before_an_answer(ReceiverHealth::UNKNOWN);
    assert!((1..=2).contains(&calls), "{calls} calls to two endpoints before any answer");
}

#[test]
fn a_receiver_whose_last_answers_failed_is_tried_with_single_calls() {
    let failing_since = Some(SENT_AT - 2 * S);
    let calls = calls_before_an_answer(ReceiverHealth { failing_since, ..ReceiverHealth::default() });
    assert!((1..=2).contains(&calls), "{calls} calls to two endpoints before any answer");
}

/// One of two endpoints is unhealthy and its trial is overdue when a message arrives that the other endpoint may get.
#[test]
fn a_call_to_a_failing_receiver_has_no_concurrent_probe() {
    let mut sender = Dispatcher::new(SENT_AT, 4, settings()).unwrap();
    let failing_since = Some(SENT_AT - 100 * MS);
    let events = [
        listed(),
        Event::EndpointHealthRestored {
            endpoint: EndpointId(1),
            health: EndpointHealth { failing_since, unhealthy: true, warming_since: None },
        },
        Event::ReceiverHealthRestored {
            dest: DestId(1),
            route: None,
            health: ReceiverHealth { failing_since, ..ReceiverHealth::default() },
        },
    ];
    sender.round(SENT_AT, &events, &mut Vec::new());
    let mut actions = Vec::new();
    sender.round(600 * S, &[message(1)], &mut actions);
    let probes = actions.iter().filter(|action| matches!(action, Action::Probe { .. })).count();
    assert_eq!((sends(&actions), probes), (1, 0), "{actions:?}");
}
