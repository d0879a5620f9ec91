//! Resends have a rate limit of their own, are sent only to healthy receivers, and wait for pending fresh messages.

mod common;
use common::*;
use embershore_owed::Pacer;
use embershore_owed::pace::MAX_RECEIVERS;

/// Returns the number of resends to each receiver within `seconds`, with an attempt to send every 10 ms.
fn resends(pacer: &mut Pacer, dests: &[i64], from: i64, seconds: i64) -> Vec<usize> {
    let mut sent = vec![0; dests.len()];
    for step in 0..seconds * 100 {
        for (n, dest) in dests.iter().enumerate() {
            sent[n] +=
                usize::from(pacer.try_take(*dest, false, dests.len() > 1, (from + step * 10_000).max(0)));
        }
    }
    sent
}

#[test]
fn the_backlog_is_resent_at_its_own_rate_and_no_receiver_takes_it_all() {
    let mut pacer = Pacer::new(10.0, 0);
    (1..=3).for_each(|d| pacer.record_call(d, true, 0));
    let one = resends(&mut pacer, &[1], 0, 20)[0];
    assert!((195..=211).contains(&one), "10 a second for 20 s, and one second of burst: {one}");
    let three = resends(&mut pacer, &[1, 2, 3], 20 * S, 20);
    let all: usize = three.iter().sum();
    assert!((195..=211).contains(&all), "{three:?}");
    assert!(three.iter().all(|n| *n <= 106), "one receiver took more than half of the rate: {three:?}");
    // An hour without resends accumulates only one second of burst.
    assert!(resends(&mut pacer, &[1], 3600 * S, 1)[0] <= 21);
    // A clock that is set back does not make the limiter grant tokens twice for the same time.
    assert!(resends(&mut pacer, &[1], 1800 * S, 10)[0] <= 1);
}

#[test]
fn fresh_messages_go_first_and_unhealthy_receivers_get_no_resends() {
    let mut pacer = Pacer::new(10.0, 0);
    pacer.record_call(1, true, 0);
    assert!(!pacer.try_take(1, true, false, S), "fresh messages are pending");
    assert!(pacer.try_take(1, false, false, S));
    assert!(pacer.is_healthy(1, 5 * S, 5 * S) && !pacer.is_healthy(1, 5 * S, 4 * S));
    pacer.record_call(1, false, 6 * S);
    assert!(!pacer.is_healthy(1, 0, 15 * S), "the last call failed");
    pacer.record_call(1, true, 60 * S);
    assert!(
        !pacer.is_healthy(1, 5 * S, 64 * S) && pacer.is_healthy(1, 5 * S, 65 * S),
        "the time counts from the first success after the failure"
    );
}

#[test]
fn a_receiver_without_fresh_messages_is_tried_with_one_debt_at_a_time() {
    let mut pacer = Pacer::new(10.0, 0);
    assert!(
        pacer.is_healthy(2, 0, 0) && !pacer.is_healthy(2, 20 * S, 19 * S),
        "no call yet: tried after the same time without calls"
    );
    let mut tried = Vec::new();
    for step in 0..6000 {
        let now = step * 10_000;
        if pacer.is_healthy(2, 20 * S, now) && pacer.try_take(2, false, false, now) {
            tried.push(now / S);
        }
        // Each attempted resend fails three seconds after it was sent.
        if tried.last().is_some_and(|at| now == (at + 3) * S) {
            pacer.record_call(2, false, now);
        }
    }
    assert_eq!(tried, [20, 43], "one try, and the next after 20 s without calls");
    pacer.record_call(2, true, 60 * S);
    assert!(pacer.is_healthy(2, 20 * S, 80 * S));
}

#[test]
fn the_number_of_tracked_receivers_is_bounded() {
    let mut pacer = Pacer::new(10.0, 0);
    for dest in 0..MAX_RECEIVERS as i64 + 10 {
        pacer.record_call(dest, false, dest);
    }
    assert!(pacer.is_healthy(0, 0, 5 * S), "the receiver with the oldest call is evicted");
    assert!(!pacer.is_healthy(MAX_RECEIVERS as i64 + 9, 0, 5 * S));
}
