//! Property tests: a verdict must not depend on the order of simultaneous records or on uninvolved receivers.

mod common;
use common::*;
use embershore_rehearsal::history::{ClosedBy, EndpointStatus, Event, NoticeState, PutOutcome, Record};
use embershore_rehearsal::judge::judge;
use embershore_rehearsal::parameters::Receiver;
use proptest::prelude::*;

/// One event in a random history of a message, with the milliseconds since the previous event.
#[derive(Clone, Debug)]
enum Step {
    Accepted(usize, usize),
    Sent(usize, &'static str, u16),
    Disconnected(usize, &'static str, ClosedBy),
    Waited(usize, &'static str, u32),
    Noticed(bool),
    Notified(usize, &'static str, EndpointStatus),
    Outage,
}

fn endpoint() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["e1", "e2", "e3", "f1", "f2"])
}

fn step() -> impl Strategy<Value = (i64, Step)> {
    let status = prop::sample::select(vec![200u16, 500, 503, 429]);
    let listed =
        prop::sample::select(vec![EndpointStatus::Ready, EndpointStatus::Terminating, EndpointStatus::Gone]);
    let by = prop::sample::select(vec![ClosedBy::Sender, ClosedBy::Receiver]);
    let step = prop_oneof![
        4 => (0..2usize, 0..4usize).prop_map(|(s, c)| Step::Accepted(s, c)),
        4 => (0..2usize, endpoint(), status).prop_map(|(s, e, code)| Step::Sent(s, e, code)),
        1 => (0..2usize, endpoint(), by).prop_map(|(s, e, by)| Step::Disconnected(s, e, by)),
        1 => (0..2usize, endpoint(), 100..2000u32).prop_map(|(s, e, w)| Step::Waited(s, e, w)),
        1 => any::<bool>().prop_map(Step::Noticed),
        1 => (0..2usize, endpoint(), listed).prop_map(|(s, e, st)| Step::Notified(s, e, st)),
        1 => Just(Step::Outage),
    ];
    // Many events have equal times, to test that the order of simultaneous records does not matter.
    (prop::sample::select(vec![0i64, 0, 0, 1, 50, 400]), step)
}

fn history(steps: &[(i64, Step)]) -> History {
    let mut h = History::new();
    let (mut ms, mut last) = (10, None::<(String, usize)>);
    for (n, (pause, step)) in steps.iter().enumerate() {
        ms += pause;
        let id = last.as_ref().map_or("none", |(id, _)| id).to_string();
        match step {
            Step::Accepted(sender, class) => {
                let id = format!("m{n}");
                h.offer(ms, *sender, &id, &id, *class, Some("k")).reply(ms, &id, PutOutcome::Accepted);
                last = Some((id, *class));
            }
            Step::Sent(sender, endpoint, status) => {
                let call = h.call(ms, *sender, endpoint, &[&id]);
                h.ran(ms, call, &id).answer(ms, call, *status);
            }
            Step::Disconnected(sender, endpoint, by) => {
                let call = h.call(ms, *sender, endpoint, &[&id]);
                h.broke(ms + 20, call, *by);
            }
            Step::Waited(sender, endpoint, wait) => {
                let call = h.call(ms, *sender, endpoint, &[&id]);
                h.wait(ms, call, *wait);
            }
            Step::Noticed(failed) => {
                _ = h.notice(ms, &id, if *failed { NoticeState::Failed } else { NoticeState::Returned });
            }
            Step::Notified(sender, endpoint, status) => _ = h.notified(ms, *sender, endpoint, *status),
            Step::Outage => {
                h.at(ms, Event::Down { receiver: 1, endpoint: None });
                h.at(ms + 30, Event::Back { receiver: 1, endpoint: None });
            }
        }
    }
    h.over(ms + 20_000);
    h
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_order_of_records_of_one_instant_changes_no_verdict(
        steps in prop::collection::vec(step(), 1..40),
        seed in any::<u64>(),
    ) {
        let h = history(&steps);
        let mut shuffled: Vec<(u64, Record)> = h.records.iter().enumerate().map(|(n, r)| {
            ((n as u64 + 1).wrapping_mul(seed | 1).rotate_left(23), r.clone())
        }).collect();
        // Shuffles only records with equal times; records with different times keep their order.
        shuffled.sort_by_key(|(key, r)| (r.t, *key));
        let shuffled: Vec<Record> = shuffled.into_iter().map(|(_, r)| r).collect();
        prop_assert_eq!(judge(&h.records), judge(&shuffled));
    }

    #[test]
    fn an_uninvolved_receiver_changes_no_verdict(
        steps in prop::collection::vec(step(), 1..40),
        number in 100..200i64,
        capacity in 0.1..100.0f64,
    ) {
        let h = history(&steps);
        let mut other = h.clone();
        if let Event::Run { parameters, .. } = &mut other.records[0].event {
            let (kind, separate_routes) = ("hook".to_string(), number % 2 == 0);
            let (rate, cold_from, warm_up) = (capacity, 0.2, 5_000_000);
            parameters.receivers.insert(0, Receiver { number, kind, separate_routes, capacity, rate, cold_from, warm_up });
        }
        other.at(0, Event::Endpoint { endpoint: "x1".into(), receiver: number, zone: "b".into() });
        other.at(20, Event::Down { receiver: number, endpoint: None });
        other.at(900, Event::Back { receiver: number, endpoint: None });
        let lines = vec![("x1".to_string(), EndpointStatus::Terminating)];
        other.at(30, Event::Listing { sender: 0, index: 9, complete: false, endpoints: lines });
        let (before, after) = (judge(&h.records).unwrap(), judge(&other.records).unwrap());
        for (a, b) in before.rules.iter().zip(&after.rules) {
            prop_assert_eq!((a.rule, a.broken, &a.violations), (b.rule, b.broken, &b.violations));
        }
        prop_assert_eq!(before.service, after.service);
    }
}
