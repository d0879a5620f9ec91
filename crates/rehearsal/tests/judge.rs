//! Tests of the judge with hand-written histories of rehearsals.
//! For each rule, several histories break the rule in different ways, one of them just past the rule's limit.
//! Other histories are just within the rule's limit.

mod common;
use common::*;
use embershore_rehearsal::history::{
    ClosedBy, EndpointStatus, Event, NoticeState, PutOutcome, Record, Signal,
};
use embershore_rehearsal::judge::{Rule, Verdict, judge};

// Tests of rule 1, no message lost: the deadline is 10 s, plus 300 ms for the notice and 50 ms of socket allowance.

#[test]
fn a_message_that_is_never_ended_is_lost() {
    History::new().accepted(0, 0, "m1", SAFE).over(20_000).breaks(Rule::NoMessageLost);
}

#[test]
fn a_notice_at_the_limit_is_in_time_and_a_later_one_is_not() {
    let ended = |ms| {
        History::new().accepted(0, 0, "m1", SAFE).notice(ms, "m1", NoticeState::Failed).over(20_000).clone()
    };
    ended(10_350).keeps(Rule::NoMessageLost);
    ended(10_351).breaks(Rule::NoMessageLost);
}

#[test]
fn an_error_answer_does_not_end_a_message() {
    History::new()
        .accepted(0, 0, "m1", SAFE)
        .sent(10, 0, "e1", "m1", 500)
        .over(20_000)
        .breaks(Rule::NoMessageLost);
}

#[test]
fn a_notice_after_the_grace_of_a_restart_is_late() {
    // The deadline of 10 s passes while the sender is down.
    // The sender is ready at 12 s and then has 1.5 s for the notice.
    let restarted = |ms| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", SAFE).signal(9_000, 0, Signal::Kill).ready(12_000, 0);
        h.notice(ms, "m1", NoticeState::Failed).over(20_000).clone()
    };
    restarted(13_550).keeps(Rule::NoMessageLost);
    restarted(13_551).breaks(Rule::NoMessageLost);
}

#[test]
fn a_restart_of_another_sender_does_not_extend_the_limit() {
    let mut h = History::new();
    h.accepted(0, 0, "m1", SAFE).signal(9_000, 1, Signal::Kill).ready(12_000, 1);
    h.notice(13_000, "m1", NoticeState::Failed).over(20_000).breaks(Rule::NoMessageLost);
}

#[test]
fn a_connection_ended_with_no_answer_loses_the_message_unless_the_sender_restarts() {
    let closed = |signal: bool| {
        let mut h = History::new();
        if signal {
            h.signal(0, 0, Signal::Term).ready(5_000, 0);
        }
        h.accepted(0, 0, "m0", SAFE).sent(10, 0, "e1", "m0", 200);
        h.offer(100, 0, "m1", "m1", SAFE, None).reply(200, "m1", PutOutcome::Closed).over(20_000).clone()
    };
    closed(false).breaks(Rule::NoMessageLost);
    closed(true).keeps(Rule::NoMessageLost);
}

#[test]
fn a_sender_that_ends_by_itself_breaks_the_rule() {
    let exited = |planned| {
        let mut h = History::new();
        h.accepted(0, 0, "m0", SAFE).sent(10, 0, "e1", "m0", 200);
        h.at(500, Event::Exited { sender: 0, planned, how: "exit status: 1".into() }).over(20_000).clone()
    };
    exited(false).breaks(Rule::NoMessageLost);
    exited(true).keeps(Rule::NoMessageLost);
}

#[test]
fn a_refused_message_is_not_tested() {
    let mut h = History::new();
    h.offer(0, 0, "m1", "m1", SAFE, None).reply(5, "m1", PutOutcome::Busy).over(20_000);
    assert_eq!(h.judge().ruling(Rule::NoMessageLost).unwrap().verdict, Verdict::Untested);
}

// Tests of rule 2: no message takes effect twice at its receiver.

#[test]
fn an_unsafe_message_is_sent_again_only_if_it_never_ran() {
    for (status, breaks) in [(500, true), (200, true), (502, true), (503, false), (429, false), (504, false)]
    {
        let mut h = History::new();
        h.accepted(0, 0, "m1", UNSAFE).sent(10, 0, "e1", "m1", status).sent(200, 0, "e2", "m1", 500);
        h.notice(400, "m1", NoticeState::Failed).over(20_000);
        if breaks { h.breaks(Rule::NoEffectTwice) } else { h.keeps(Rule::NoEffectTwice) }
    }
}

#[test]
fn an_unsafe_message_whose_call_broke_off_is_not_sent_again() {
    for by in [ClosedBy::Sender, ClosedBy::Receiver] {
        let mut h = History::new();
        h.accepted(0, 0, "m1", UNSAFE);
        let call = h.call(10, 0, "e1", &["m1"]);
        h.broke(3_000, call, by).sent(4_000, 0, "e2", "m1", 200).over(20_000).breaks(Rule::NoEffectTwice);
    }
}

#[test]
fn a_keyed_message_is_sent_again_within_its_window_only() {
    // The key's window is 3 s from the first attempt that may have taken effect, plus 50 ms of socket allowance.
    let again = |ms| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", KEYED).sent(10, 0, "e1", "m1", 503).sent(1_000, 0, "e1", "m1", 500);
        h.sent(ms, 0, "e2", "m1", 500).notice(ms + 500, "m1", NoticeState::Failed).over(20_000).clone()
    };
    again(4_050).keeps(Rule::NoEffectTwice);
    again(4_051).breaks(Rule::NoEffectTwice);
}

#[test]
fn two_attempts_are_never_in_flight_at_once() {
    // The first attempt ends at 1 s. A second attempt may begin up to 50 ms (the socket allowance) before 1 s.
    let second = |ms| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", SAFE);
        let call = h.call(10, 0, "e1", &["m1"]);
        h.sent(ms, 0, "e2", "m1", 200).broke(1_000, call, ClosedBy::Sender).over(20_000).clone()
    };
    second(949).breaks(Rule::NoEffectTwice);
    second(950).keeps_or_untested();
}

#[test]
fn a_refusal_promises_that_nothing_ran() {
    for (first, ended, breaks) in [
        (500, NoticeState::Returned, true),
        (500, NoticeState::Failed, false),
        (503, NoticeState::Returned, false),
    ] {
        let mut h = History::new();
        h.accepted(0, 0, "m1", UNSAFE).sent(10, 0, "e1", "m1", first).notice(500, "m1", ended).over(20_000);
        if breaks { h.breaks(Rule::NoEffectTwice) } else { h.keeps(Rule::NoEffectTwice) }
    }
}

#[test]
fn effects_under_two_ids_of_one_message_count_twice() {
    let mut h = History::new();
    h.accepted(0, 0, "m1", UNSAFE).notice(100, "m1", NoticeState::Failed);
    let late = h.call(10, 0, "e1", &["m1"]);
    h.offer(1_000, 0, "m1-1", "m1", UNSAFE, None).reply(1_005, "m1-1", PutOutcome::Accepted);
    h.sent(1_010, 0, "e2", "m1-1", 200);
    h.ran(2_000, late, "m1").broke(2_100, late, ClosedBy::Sender).over(20_000).breaks(Rule::NoEffectTwice);
}

#[test]
fn a_run_under_an_id_without_a_reply_does_not_count() {
    let mut h = History::new();
    h.offer(0, 0, "m1", "m1", UNSAFE, None).reply(400, "m1", PutOutcome::TimedOut);
    h.sent(10, 0, "e1", "m1", 200);
    h.offer(1_000, 0, "m1-1", "m1", UNSAFE, None).reply(1_005, "m1-1", PutOutcome::Accepted);
    h.sent(1_010, 0, "e2", "m1-1", 200).over(20_000);
    assert!(!h.judge().broken());
}

#[test]
fn a_seventh_attempt_is_one_too_many() {
    let attempts = |n: i64| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", KEYED);
        (0..n).for_each(|i| _ = h.sent(10 + i * 200, 0, "e1", "m1", 503));
        h.notice(3_000, "m1", NoticeState::Failed).over(20_000).clone()
    };
    attempts(6).keeps(Rule::NoEffectTwice);
    attempts(7).breaks(Rule::NoEffectTwice);
}

#[test]
fn each_message_of_a_batch_call_has_its_own_outcome() {
    let ends = |state: &str| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", UNSAFE).accepted(0, 0, "m2", UNSAFE);
        let call = h.call(10, 0, "e1", &["m1", "m2"]);
        let states = Some(vec!["ok".to_string(), state.to_string()]);
        h.at(100, Event::Answer { call, status: 200, wait_ms: 0, states });
        h.sent(300, 0, "e1", "m2", 200).over(20_000).clone()
    };
    ends("later").keeps(Rule::NoEffectTwice);
    ends("error").breaks(Rule::NoEffectTwice);
    ends("what?").breaks(Rule::NoEffectTwice);
}

// Tests of rule 3, no calls to draining endpoints: 1 s of drain grace and 50 ms of socket allowance.

fn drained(notify: impl Fn(&mut History), ms: i64) -> History {
    let mut h = History::new();
    h.listed(0, 0, &["e1", "e2"]);
    notify(&mut h);
    h.accepted(ms - 10, 0, "m1", SAFE).sent(ms, 0, "e1", "m1", 200).over(20_000);
    h
}

#[test]
fn a_draining_endpoint_gets_no_call_after_the_grace() {
    let notify = |h: &mut History| _ = h.notified(1_000, 0, "e1", EndpointStatus::Terminating);
    drained(notify, 2_050).keeps(Rule::DrainsKept);
    drained(notify, 2_051).breaks(Rule::DrainsKept);
}

#[test]
fn a_removed_endpoint_gets_no_call() {
    drained(|h| _ = h.notified(1_000, 0, "e1", EndpointStatus::Gone), 3_000).breaks(Rule::DrainsKept);
}

#[test]
fn an_endpoint_missing_from_a_complete_list_is_removed() {
    drained(|h| _ = h.listed(1_000, 0, &["e2"]), 3_000).breaks(Rule::DrainsKept);
}

#[test]
fn the_grace_runs_from_the_first_notification_of_the_drain() {
    let notify = |h: &mut History| {
        _ = h.notified(1_000, 0, "e1", EndpointStatus::Terminating).notified(
            2_500,
            0,
            "e1",
            EndpointStatus::Gone,
        );
    };
    drained(notify, 3_000).breaks(Rule::DrainsKept);
}

#[test]
fn an_endpoint_listed_again_may_be_used_again() {
    let notify = |h: &mut History| {
        _ = h.notified(1_000, 0, "e1", EndpointStatus::Terminating).notified(
            2_500,
            0,
            "e1",
            EndpointStatus::Ready,
        );
    };
    drained(notify, 3_000).keeps(Rule::DrainsKept);
}

#[test]
fn each_sender_is_judged_by_its_own_notifications() {
    drained(|h| _ = h.notified(1_000, 1, "e1", EndpointStatus::Terminating), 3_000).keeps(Rule::DrainsKept);
}

#[test]
fn a_call_counts_from_its_first_byte() {
    let mut h = History::new();
    h.notified(1_000, 0, "e1", EndpointStatus::Gone).accepted(1_900, 0, "m1", SAFE);
    let call = h.call(3_000, 0, "e1", &["m1"]);
    if let Some(Event::Call { first_byte, .. }) = h.records.last_mut().map(|r| &mut r.event) {
        *first_byte = 2_000_000;
    }
    h.answer(3_100, call, 200).over(20_000).keeps(Rule::DrainsKept);
}

// Tests of rule 4, no overload of returning receivers. Receiver 1 handles 10 messages per second when warm.
// Right after its return the receiver handles a fifth of its warm capacity; it is warm after 10 s.
// The overload limit is twice the capacity over 2 s plus one standard deviation for chance, and at least 6.

/// Returns a history with an outage of receiver 1 from 1 s to 5 s, which the senders `aware` see.
/// `loads` gives each sender and its number of messages; the messages are sent 10 ms apart, starting at `from`.
fn returned(aware: &[usize], loads: &[(usize, usize)], from: i64) -> History {
    let mut h = History::new();
    h.at(1_000, Event::Down { receiver: 1, endpoint: None });
    for sender in aware {
        let id = format!("k{sender}");
        h.accepted(1_500, *sender, &id, SAFE).sent(2_000, *sender, "e1", &id, 503).notice(
            3_000,
            &id,
            NoticeState::Failed,
        );
    }
    h.at(5_000, Event::Back { receiver: 1, endpoint: None });
    let mut ms = from;
    for (sender, count) in loads {
        for n in 0..*count {
            let id = format!("m{sender}-{n}");
            h.accepted(ms - 10, *sender, &id, SAFE).sent(ms, *sender, "e2", &id, 200);
            ms += 10;
        }
    }
    h.over(30_000);
    h
}

#[test]
fn one_message_over_the_limit_overloads_a_cold_receiver() {
    // The receiver's capacity at 5.31 s is 2.25 per second: twice that over 2 s is 8.99, and 3.00 is added for chance.
    returned(&[0], &[(0, 11)], 5_200).keeps(Rule::ReturnNotPushedOver);
    returned(&[0], &[(0, 12)], 5_200).breaks(Rule::ReturnNotPushedOver);
}

#[test]
fn a_warmer_receiver_has_a_higher_limit() {
    // The receiver's capacity at 10.3 s is 6.2 per second: twice that over 2 s is 24.9, and 5 is added for chance.
    returned(&[0], &[(0, 29)], 10_000).keeps(Rule::ReturnNotPushedOver);
    returned(&[0], &[(0, 30)], 10_000).breaks(Rule::ReturnNotPushedOver);
}

#[test]
fn the_rule_is_broken_if_two_thirds_of_the_load_came_from_aware_senders() {
    // The twelfth message exceeds the overload limit.
    // Eight messages from the aware sender are two thirds of the load and break the rule; seven do not.
    returned(&[0], &[(0, 8), (1, 4)], 5_200).breaks(Rule::ReturnNotPushedOver);
    returned(&[0], &[(0, 7), (1, 5)], 5_200).keeps(Rule::ReturnNotPushedOver);
}

#[test]
fn a_refused_connection_or_failed_probe_makes_a_sender_aware() {
    let seen = |event: Event| {
        let mut h = returned(&[], &[(0, 12)], 5_200);
        let before = h.records.len();
        h.at(2_000, event);
        assert_eq!(h.records.len(), before + 1);
        h
    };
    seen(Event::Refused { sender: 0, endpoint: "e1".into() }).breaks(Rule::ReturnNotPushedOver);
    seen(Event::Probe { sender: 0, endpoint: "e1".into(), status: 503 }).breaks(Rule::ReturnNotPushedOver);
    // A successful probe does not show the outage to the sender, nor does a refusal by another receiver.
    for event in [
        Event::Probe { sender: 0, endpoint: "e1".into(), status: 200 },
        Event::Refused { sender: 0, endpoint: "e3".into() },
    ] {
        assert!(!seen(event).judge().broken());
    }
}

#[test]
fn further_messages_of_a_call_weigh_a_quarter() {
    // A call of five messages weighs 2: five such calls stay below the limit of 11.8 at 5.25 s, six exceed the limit.
    let batches = |count: usize| {
        let mut h = returned(&[0], &[], 0);
        for n in 0..count {
            let ids: Vec<String> = (0..5).map(|m| format!("b{n}-{m}")).collect();
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            ids.iter().for_each(|id| _ = h.accepted(5_190, 0, id, SAFE));
            let call = h.call(5_200 + n as i64 * 10, 0, "e1", &ids);
            let states = Some(vec!["ok".to_string(); 5]);
            h.at(5_400, Event::Answer { call, status: 200, wait_ms: 0, states });
        }
        h
    };
    batches(5).keeps(Rule::ReturnNotPushedOver);
    batches(6).breaks(Rule::ReturnNotPushedOver);
}

#[test]
fn messages_sent_slowly_overload_nothing() {
    let mut h = returned(&[0], &[], 0);
    for n in 0..20 {
        let id = format!("s{n}");
        h.accepted(5_100 + n * 260, 0, &id, SAFE).sent(5_200 + n * 260, 0, "e1", &id, 200);
    }
    h.keeps(Rule::ReturnNotPushedOver);
}

#[test]
fn separate_routes_have_returns_of_their_own() {
    // Each separate route has half the receiver's capacity: 1.08 messages per second at 5.2 s.
    // The route's overload limit is twice its capacity over 2 s, which is 4.3, and 2.1 for chance.
    let routed = |count: usize, endpoint: &str| {
        let mut h = History::new();
        h.at(1_000, Event::Down { receiver: 3, endpoint: Some("f1".into()) });
        h.at(2_000, Event::Refused { sender: 0, endpoint: "f1".into() });
        h.at(5_000, Event::Back { receiver: 3, endpoint: Some("f1".into()) });
        for n in 0..count {
            let id = format!("m{n}");
            h.accepted(5_100, 0, &id, SAFE).sent(5_200 + n as i64, 0, endpoint, &id, 200);
        }
        h.over(30_000).clone()
    };
    routed(6, "f1").keeps(Rule::ReturnNotPushedOver);
    routed(7, "f1").breaks(Rule::ReturnNotPushedOver);
    routed(7, "f2").keeps(Rule::ReturnNotPushedOver);
}

// Tests of rule 5, order kept: no message of a key is sent for 1 s after an attempt that may still be processed.

#[test]
fn a_message_waits_until_the_one_before_it_is_delivered() {
    let second = |ms| {
        let mut h = History::new();
        h.accepted_ordered(0, "m1", "k").accepted_ordered(20, "m2", "k").sent(100, 0, "e1", "m1", 200);
        h.sent(ms, 0, "e1", "m2", 200).over(20_000).clone()
    };
    second(199).breaks(Rule::OrderKept);
    second(200).keeps(Rule::OrderKept);
}

#[test]
fn a_message_does_not_overtake_one_that_was_never_sent() {
    let mut h = History::new();
    h.accepted_ordered(0, "m1", "k").accepted_ordered(20, "m2", "k").sent(100, 0, "e1", "m2", 200);
    h.notice(5_000, "m1", NoticeState::Failed).over(20_000).breaks(Rule::OrderKept);
}

#[test]
fn a_message_is_not_sent_while_the_one_before_it_may_be_sent_again() {
    let mut h = History::new();
    h.accepted_ordered(0, "m1", "k").accepted_ordered(20, "m2", "k").sent(100, 0, "e1", "m1", 503);
    h.sent(300, 0, "e1", "m2", 200).sent(500, 0, "e1", "m1", 200).over(20_000).breaks(Rule::OrderKept);
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let rested = |ms| {
        let mut h = History::new();
        h.accepted_ordered(0, "m1", "k").accepted_ordered(20, "m2", "k");
        let call = h.call(100, 0, "e1", &["m1"]);
        h.broke(1_000, call, ClosedBy::Sender).notice(1_010, "m1", NoticeState::Failed);
        h.sent(ms, 0, "e1", "m2", 200).over(20_000).clone()
    };
    rested(1_949).breaks(Rule::OrderKept);
    rested(1_950).keeps(Rule::OrderKept);
}

#[test]
fn other_keys_and_messages_that_crossed_are_not_ordered() {
    let mut h = History::new();
    h.accepted_ordered(0, "m1", "k")
        .accepted_ordered(20, "m2", "other")
        .sent(100, 0, "e1", "m2", 200)
        .sent(300, 0, "e1", "m1", 200);
    assert!(!h.over(20_000).judge().broken());
    // The client sent the second message before the first was accepted, so the sender may have accepted either first.
    let mut h = History::new();
    h.accepted_ordered(0, "m1", "k")
        .accepted_ordered(3, "m2", "k")
        .sent(100, 0, "e1", "m2", 200)
        .sent(300, 0, "e1", "m1", 200);
    assert!(!h.over(20_000).judge().broken());
}

// Tests of rule 6: senders observe the waits that receivers advertise.
// A call within 100 ms after the answer may have been sent before the sender received the answer.

fn waited(ms: i64, sender: usize, endpoint: &str) -> History {
    let mut h = History::new();
    h.accepted(0, 0, "m1", SAFE);
    let call = h.call(10, 0, "e1", &["m1"]);
    h.wait(1_000, call, 500).notice(2_000, "m1", NoticeState::Failed);
    h.accepted(900, sender, "m2", SAFE).sent(ms, sender, endpoint, "m2", 200).over(20_000);
    h
}

#[test]
fn nothing_is_sent_until_the_wait_ends_except_calls_that_crossed() {
    waited(1_100, 0, "e1").keeps(Rule::WaitsHeeded);
    waited(1_101, 0, "e1").breaks(Rule::WaitsHeeded);
    waited(1_499, 0, "e1").breaks(Rule::WaitsHeeded);
    waited(1_500, 0, "e1").keeps(Rule::WaitsHeeded);
}

#[test]
fn a_wait_applies_to_all_endpoints_of_the_receiver_and_no_other() {
    waited(1_200, 0, "e2").breaks(Rule::WaitsHeeded);
    waited(1_200, 0, "e3").keeps(Rule::WaitsHeeded);
}

#[test]
fn a_wait_applies_to_the_sender_that_received_it() {
    waited(1_200, 1, "e1").keeps(Rule::WaitsHeeded);
}

#[test]
fn a_wait_in_an_answer_that_delivers_applies_too() {
    let mut h = History::new();
    h.accepted(0, 0, "m1", SAFE).accepted(0, 0, "m2", SAFE);
    let call = h.call(10, 0, "e1", &["m1"]);
    h.at(1_000, Event::Answer { call, status: 200, wait_ms: 500, states: None });
    h.sent(1_200, 0, "e1", "m2", 200).over(20_000).breaks(Rule::WaitsHeeded);
}

#[test]
fn a_restart_ends_a_wait_and_a_stop_does_not() {
    for (signal, until, breaks) in [(Signal::Kill, None, false), (Signal::Stop, Some(Signal::Cont), true)] {
        let mut h = waited(1_400, 0, "e1");
        h.signal(1_050, 0, signal);
        match until {
            Some(signal) => _ = h.signal(1_150, 0, signal),
            None => _ = h.ready(1_150, 0),
        }
        if breaks { h.breaks(Rule::WaitsHeeded) } else { h.keeps(Rule::WaitsHeeded) }
    }
}

#[test]
fn separate_routes_have_waits_of_their_own() {
    for (endpoint, breaks) in [("f1", true), ("f2", false)] {
        let mut h = History::new();
        h.accepted(0, 0, "m1", SAFE).accepted(0, 0, "m2", SAFE);
        let call = h.call(10, 0, "f1", &["m1"]);
        h.wait(1_000, call, 500).notice(2_000, "m1", NoticeState::Failed);
        h.sent(1_200, 0, endpoint, "m2", 200).over(20_000);
        if breaks { h.breaks(Rule::WaitsHeeded) } else { h.keeps(Rule::WaitsHeeded) }
    }
}

// Tests of void runs and of the service score.

#[test]
fn a_history_without_an_end_is_void() {
    let h = History::new().accepted(0, 0, "m1", SAFE).sent(10, 0, "e1", "m1", 200).clone();
    assert!(h.judge().void.is_some());
    assert!(h.clone().over(100).judge().void.is_none());
    assert!(judge(&h.records[1..]).is_err());
}

#[test]
fn a_run_whose_rig_was_late_or_stalled_is_void() {
    let late = |ms: i64| {
        let mut h = History::new();
        h.accepted(ms, 0, "m1", SAFE).sent(ms + 10, 0, "e1", "m1", 200);
        for r in &mut h.records {
            if let Event::Offer { due, .. } = &mut r.event {
                *due = 0;
            }
        }
        h.over(20_000).judge().void
    };
    assert_eq!((late(50), late(51).is_some()), (None, true));
    let stalled = |max_us| History::new().at(10, Event::Lag { max_us }).over(20_000).judge().void;
    assert_eq!((stalled(250_000), stalled(250_001).is_some()), (None, true));
}

#[test]
fn service_is_the_weighted_worth_less_the_penalties() {
    // Of four messages of a class, one is in time, one half-way between target and deadline, one refused, one fails.
    let mut h = History::new();
    h.accepted(0, 0, "m1", SAFE).sent(10, 0, "e1", "m1", 200);
    h.accepted(0, 0, "m2", SAFE).sent(6_150, 0, "e1", "m2", 200);
    h.offer(0, 0, "m3", "m3", SAFE, None).reply(5, "m3", PutOutcome::Busy);
    h.accepted(0, 0, "m4", SAFE).notice(1_000, "m4", NoticeState::Failed).over(20_000);
    let s = h.judge().service;
    // A delivery half-way between 2.5 s and 10 s counts three quarters of its value, since half is left at 10 s.
    assert!((s.whole.worth - 1.75).abs() < 1e-9, "{s:?}");
    assert!((s.whole.share - 0.4375).abs() < 1e-9);
    assert_eq!((s.whole.in_time, s.whole.late, s.whole.refused, s.whole.failed), (1, 1, 1, 1));
    assert!((s.worst_class - 0.4375).abs() < 1e-9 && (s.worst_tenant - 0.4375).abs() < 1e-9);
    let off: f64 = s.penalties.iter().map(|p| p.off).sum();
    assert!((s.score - (0.4375 - off)).abs() < 1e-9);
}

#[test]
fn retries_count_with_the_first_put() {
    let mut h = History::new();
    h.offer(0, 0, "m1", "m1", SAFE, None).reply(5, "m1", PutOutcome::Busy);
    h.offer(3_000, 0, "m1-1", "m1", SAFE, None).reply(3_005, "m1-1", PutOutcome::Accepted);
    h.sent(3_010, 0, "e1", "m1-1", 200).over(20_000);
    let s = h.judge().service;
    assert_eq!((s.whole.messages, s.whole.late), (1, 1));
}

#[test]
fn messages_beyond_the_quota_are_worth_little() {
    let mut h = History::new();
    if let Event::Run { parameters, .. } = &mut h.records[0].event {
        parameters.tenants[0].quota = 2.0;
    }
    for n in 0..4 {
        h.accepted(n, 0, &format!("m{n}"), SAFE).sent(n + 10, 0, "e1", &format!("m{n}"), 200);
    }
    let s = h.over(20_000).judge().service;
    assert!((s.whole.asked - 2.1).abs() < 1e-9, "{s:?}");
    assert_eq!(s.tenants[0].messages, 2);
}

#[test]
fn records_are_read_back_as_written() {
    let h = returned(&[0], &[(0, 9)], 5_200);
    for record in &h.records {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(&serde_json::from_str::<Record>(&text).unwrap(), record);
    }
}

impl History {
    /// Asserts that no rule is broken; the history need not contain an event that tests the rule.
    fn keeps_or_untested(&self) {
        let judgement = self.judge();
        assert!(!judgement.broken(), "{:?}", judgement.rules);
    }
}

// Tests of safety margins, which show how close a run came to each rule's limit.

fn margin(h: &History, rule: Rule) -> Option<(f64, f64)> {
    let judgement = h.judge();
    judgement.ruling(rule).unwrap().margin.as_ref().map(|m| (m.worst, m.limit))
}

#[test]
fn the_margin_of_a_message_is_the_time_left_at_its_end() {
    // The message's deadline is 10 s, and the notice must arrive within 350 ms after the deadline.
    let h = History::new()
        .accepted(0, 0, "m1", SAFE)
        .notice(10_100, "m1", NoticeState::Failed)
        .over(20_000)
        .clone();
    assert_eq!(margin(&h, Rule::NoMessageLost), Some((250.0, 0.0)));
    let h = History::new()
        .accepted(0, 0, "m1", SAFE)
        .notice(10_400, "m1", NoticeState::Failed)
        .over(20_000)
        .clone();
    assert_eq!(margin(&h, Rule::NoMessageLost), Some((-50.0, 0.0)));
}

#[test]
fn resends_are_counted_by_kind_with_what_is_left_of_the_window() {
    let mut h = History::new();
    h.accepted(0, 0, "k1", KEYED).sent(10, 0, "e1", "k1", 500).sent(1_010, 0, "e1", "k1", 200);
    h.accepted(0, 0, "p1", UNSAFE).sent(10, 0, "e1", "p1", 503).sent(500, 0, "e1", "p1", 200).over(20_000);
    assert_eq!(margin(&h, Rule::NoEffectTwice), Some((2_050.0, 0.0)));
    let judgement = h.judge();
    let counts = &judgement.ruling(Rule::NoEffectTwice).unwrap().counts;
    let counts: Vec<(&str, usize)> = counts.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    let expected = [
        ("keyed, sent again within its window or past it", 1),
        ("unsafe, sent again since nothing had run", 1),
    ];
    assert_eq!(counts, expected);
}

#[test]
fn the_margin_of_a_drain_is_the_latest_call_after_the_notification() {
    let mut h = History::new();
    h.listed(0, 0, &["e1", "e2"]).notified(1_000, 0, "e1", EndpointStatus::Terminating);
    h.accepted(0, 0, "m1", SAFE).accepted(0, 0, "m2", SAFE);
    h.sent(1_300, 0, "e1", "m1", 200).sent(1_900, 0, "e2", "m2", 200).over(20_000);
    assert_eq!(margin(&h, Rule::DrainsKept), Some((300.0, 1_050.0)));
}

#[test]
fn the_margin_of_a_return_is_the_highest_share_of_the_overload_limit() {
    // Eleven messages arrive at a receiver with an overload limit of 11.99.
    let (share, limit) = margin(&returned(&[0], &[(0, 11)], 5_200), Rule::ReturnNotPushedOver).unwrap();
    assert!((0.9..1.0).contains(&share) && limit == 1.0, "{share}");
    let (share, _) = margin(&returned(&[0], &[(0, 14)], 5_200), Rule::ReturnNotPushedOver).unwrap();
    assert!((1.1..1.3).contains(&share), "{share}");
    let returns = returned(&[0], &[(0, 11)], 5_200).judge().returns;
    assert_eq!((returns.len(), returns[0].receiver, returns[0].aware, returns[0].arrivals), (1, 1, 1, 11));
    // No sender saw the outage, so the history does not test the rule on returning receivers.
    assert_eq!(margin(&returned(&[], &[(0, 11)], 5_200), Rule::ReturnNotPushedOver), None);
}

#[test]
fn recovery_ends_when_the_usual_load_is_back() {
    // The receiver gets ten messages per second before the outage, and one every 200 ms after its return.
    // From the third second after its return, the receiver gets one message every 100 ms.
    let mut h = History::new();
    let send = |h: &mut History, ms: i64, n: usize| {
        let id = format!("m{n}");
        h.accepted(ms - 10, 0, &id, SAFE).sent(ms, 0, "e1", &id, 200);
    };
    (0..50).for_each(|n| send(&mut h, 100 + 100 * n, n as usize));
    h.at(5_200, Event::Down { receiver: 1, endpoint: None })
        .at(8_000, Event::Back { receiver: 1, endpoint: None });
    (0..10).for_each(|n| send(&mut h, 8_100 + 200 * n, 100 + n as usize));
    (0..20).for_each(|n| send(&mut h, 10_100 + 100 * n, 200 + n as usize));
    h.over(20_000);
    let returned = h.judge().returns[0].clone();
    // The fifth message is answered one second after the return. Nine answers in a second need the faster messages.
    assert_eq!(returned.half_load_after, Some(1_000_000));
    assert!(
        (2_700_000..3_100_000).contains(&returned.full_load_after.unwrap()),
        "{:?}",
        returned.full_load_after
    );
}

#[test]
fn the_margin_of_a_wait_is_the_earliest_call_after_it() {
    let mut h = History::new();
    h.accepted(0, 0, "m1", SAFE).accepted(0, 0, "m2", SAFE);
    let call = h.call(100, 0, "e1", &["m1"]);
    h.wait(200, call, 1_000).sent(1_350, 0, "e2", "m2", 200).over(20_000);
    assert_eq!(margin(&h, Rule::WaitsHeeded), Some((150.0, 0.0)));
    let call = h.call(1_500, 0, "e1", &["m1"]);
    h.records.retain(|r| !matches!(r.event, Event::End));
    h.wait(1_600, call, 1_000).sent(2_200, 0, "e1", "m1", 200).over(20_000);
    assert_eq!(margin(&h, Rule::WaitsHeeded), Some((-400.0, 0.0)));
}

#[test]
fn the_margin_of_an_order_is_the_time_between_two_messages_of_a_key() {
    let mut h = History::new();
    h.accepted_ordered(0, "m1", "a").accepted_ordered(20, "m2", "a");
    h.sent(100, 0, "e1", "m1", 200).sent(260, 0, "e1", "m2", 200).over(20_000);
    assert_eq!(margin(&h, Rule::OrderKept), Some((60.0, 0.0)));
}

#[test]
fn a_wait_ends_with_the_process_that_received_it() {
    // The new process may send before the rig sees it ready. The old process must observe the wait until it has ended.
    let restarted = |sent: i64| {
        let mut h = History::new();
        h.accepted(0, 0, "m1", SAFE).accepted(0, 0, "m2", SAFE);
        let call = h.call(100, 0, "e1", &["m1"]);
        h.wait(200, call, 5_000).signal(1_000, 0, Signal::Term);
        h.at(2_000, Event::Exited { sender: 0, planned: true, how: "signal".into() }).ready(3_000, 0);
        h.sent(sent, 0, "e1", "m2", 200).notice(4_000, "m1", NoticeState::Failed).over(20_000).clone()
    };
    restarted(1_900).breaks(Rule::WaitsHeeded);
    restarted(2_100).keeps(Rule::WaitsHeeded);
    restarted(3_100).keeps(Rule::WaitsHeeded);
}

#[test]
fn the_first_record_has_the_field_names_of_older_histories() {
    let first = serde_json::to_value(&History::new().records[0]).unwrap();
    assert_eq!(first["ev"], "run");
    assert_eq!(first["facts"]["scenario"], "by hand");
}
