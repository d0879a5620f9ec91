//! Tests that the lease counts from the poll, is never shortened, and is invalid from its expiry on.
//! Also tests that the hold on gained shards covers the control agent's delay, the lease and the longest deadline.

use embershore_placement::{Lease, LeaseTimes};

const SECOND: i64 = 1_000_000;

#[test]
fn an_answer_renews_the_lease_from_the_poll() {
    let mut lease = Lease::new(10 * SECOND);
    assert!(!lease.is_valid(0));
    lease.renew(SECOND);
    assert!(lease.is_valid(11 * SECOND - 1));
    assert!(!lease.is_valid(11 * SECOND));
}

#[test]
fn an_answer_to_an_earlier_poll_does_not_shorten_the_lease() {
    let mut lease = Lease::new(10 * SECOND);
    lease.renew(5 * SECOND);
    lease.renew(SECOND);
    assert_eq!(lease.expires_at(), Some(15 * SECOND));
}

#[test]
fn the_hold_covers_agent_lag_lease_longest_deadline_and_clock_drift() {
    let times = LeaseTimes { lease: 10 * SECOND, agent_lag: 3 * SECOND, longest_deadline: 20 * SECOND };
    let hold = times.hold();
    let hold_by_a_fast_clock = 33 * SECOND + 33 * SECOND / 1_000;
    assert_eq!(times.stale_accept_window(), 13 * SECOND);
    assert!(hold >= hold_by_a_fast_clock && hold < 34 * SECOND);
}
