//! Resends have a rate of their own, go to the well, and after fresh messages.

mod common;
use common::*;
use embershore_owed::Pacer;
use embershore_owed::pace::RECEIVERS_MOST;

/// Resends to a receiver in so many seconds, asked for every 10 ms.
fn resends(p: &mut Pacer, dest: &[i64], from: i64, seconds: i64) -> Vec<usize> {
    let mut sent = vec![0; dest.len()];
    for step in 0..seconds * 100 {
        for (n, d) in dest.iter().enumerate() {
            sent[n] += usize::from(p.take(*d, false, dest.len() > 1, (from + step * 10_000).max(0)));
        }
    }
    sent
}

#[test]
fn the_whole_backlog_goes_at_its_own_rate_and_no_receiver_takes_it_all() {
    let mut p = Pacer::new(10.0, 0);
    (1..=3).for_each(|d| p.heard(d, true, 0));
    let one = resends(&mut p, &[1], 0, 20)[0];
    assert!((195..=211).contains(&one), "10 a second for 20 s, and a second's worth saved up: {one}");
    let three = resends(&mut p, &[1, 2, 3], 20 * S, 20);
    let all: usize = three.iter().sum();
    assert!((195..=211).contains(&all), "{three:?}");
    assert!(three.iter().all(|n| *n <= 106), "one of them took more than half of it: {three:?}");
    // An hour of quiet saves up a second's worth.
    assert!(resends(&mut p, &[1], 3600 * S, 1)[0] <= 21);
    // A clock that is set back fills nothing twice over.
    assert!(resends(&mut p, &[1], 1800 * S, 10)[0] <= 1);
}

#[test]
fn fresh_messages_go_first_and_the_unwell_get_none() {
    let mut p = Pacer::new(10.0, 0);
    p.heard(1, true, 0);
    assert!(!p.take(1, true, false, S), "fresh ones wait for it");
    assert!(p.take(1, false, false, S));
    assert!(p.well(1, 5 * S, 5 * S) && !p.well(1, 5 * S, 4 * S));
    p.heard(1, false, 6 * S);
    assert!(!p.well(1, 0, 15 * S), "the last that was heard was a failure");
    p.heard(1, true, 60 * S);
    assert!(!p.well(1, 5 * S, 64 * S) && p.well(1, 5 * S, 65 * S), "counted anew");
}

#[test]
fn a_receiver_to_which_nothing_fresh_goes_is_tried_one_at_a_time() {
    let mut p = Pacer::new(10.0, 0);
    assert!(p.well(2, 0, 0) && !p.well(2, 20 * S, 19 * S), "never heard of: as long a silence");
    let mut tried = Vec::new();
    for step in 0..6000 {
        let now = step * 10_000;
        if p.well(2, 20 * S, now) && p.take(2, false, false, now) {
            tried.push(now / S);
        }
        // Each fails, a while after it went.
        if tried.last().is_some_and(|at| now == (at + 3) * S) {
            p.heard(2, false, now);
        }
    }
    assert_eq!(tried, [20, 43], "one, and the next after 20 s of silence");
    p.heard(2, true, 60 * S);
    assert!(p.well(2, 20 * S, 80 * S));
}

#[test]
fn what_is_remembered_of_receivers_is_bounded() {
    let mut p = Pacer::new(10.0, 0);
    for dest in 0..RECEIVERS_MOST as i64 + 10 {
        p.heard(dest, false, dest);
    }
    assert!(p.well(0, 0, 5 * S), "the one heard of longest ago is forgotten");
    assert!(!p.well(RECEIVERS_MOST as i64 + 9, 0, 5 * S));
}
