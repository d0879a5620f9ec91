//! Tests of the state machine of a forwarded request: the step after each outcome, for each effect.

use embershore_placement::{
    ClientReply, DEFAULT_WAIT_MS, ForwardOutcome, Forwarding, MIN_ANSWER_TIMEOUT_US, SeatId, Step,
};
use heronroute::{Effect, Micros};
use proptest::prelude::*;

const BUDGET: Micros = 300_000;
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

fn forwarding(effect: Effect, candidates: u16) -> Forwarding {
    Forwarding::new(effect, (0..candidates).map(SeatId).collect(), 0, BUDGET)
}

/// Returns the seat to which a step of the state machine sends the request.
fn target_seat(step: &Step) -> SeatId {
    match step {
        Step::Send { to, .. } => *to,
        Step::Reply(reply) => panic!("expected a step that sends, got the reply {reply:?}"),
    }
}

#[test]
fn ok_and_error_answers_of_an_owner_are_final() {
    for effect in EFFECTS {
        let mut accepted = forwarding(effect, 2);
        assert_eq!(target_seat(&accepted.start(0)), SeatId(0));
        assert_eq!(
            accepted.record_outcome(1_000, ForwardOutcome::Accepted),
            Step::Reply(ClientReply::Accepted)
        );
        let mut invalid = forwarding(effect, 2);
        invalid.start(0);
        let reason = "unknown class".to_string();
        let step = invalid.record_outcome(1_000, ForwardOutcome::Invalid(reason.clone()));
        assert_eq!(step, Step::Reply(ClientReply::Invalid(reason)));
    }
}

#[test]
fn a_request_that_was_certainly_not_accepted_goes_to_the_next_owner() {
    for effect in EFFECTS {
        for outcome in [ForwardOutcome::Busy { retry_after_ms: 40 }, ForwardOutcome::NotSent] {
            let mut request = forwarding(effect, 2);
            assert_eq!(target_seat(&request.start(0)), SeatId(0));
            assert_eq!(target_seat(&request.record_outcome(1_000, outcome)), SeatId(1));
            assert_eq!(
                request.record_outcome(2_000, ForwardOutcome::Accepted),
                Step::Reply(ClientReply::Accepted)
            );
        }
    }
}

#[test]
fn busy_reports_the_shortest_wait_of_all_owners() {
    let mut request = forwarding(Effect::Unsafe, 3);
    request.start(0);
    request.record_outcome(1_000, ForwardOutcome::Busy { retry_after_ms: 90 });
    request.record_outcome(2_000, ForwardOutcome::Busy { retry_after_ms: 40 });
    let step = request.record_outcome(3_000, ForwardOutcome::Busy { retry_after_ms: 0 });
    assert_eq!(step, Step::Reply(ClientReply::Busy { retry_after_ms: 40 }));
    let mut unreported = forwarding(Effect::Unsafe, 1);
    unreported.start(0);
    let step = unreported.record_outcome(1_000, ForwardOutcome::NotSent);
    assert_eq!(step, Step::Reply(ClientReply::Busy { retry_after_ms: DEFAULT_WAIT_MS }));
}

#[test]
fn an_unknown_outcome_goes_to_a_second_owner_only_where_a_repeat_does_no_harm() {
    let mut safe = forwarding(Effect::Safe, 2);
    safe.start(0);
    assert_eq!(target_seat(&safe.record_outcome(1_000, ForwardOutcome::Unknown)), SeatId(1));
    for effect in [Effect::Keyed, Effect::Unsafe] {
        let mut request = forwarding(effect, 2);
        request.start(0);
        assert_eq!(request.record_outcome(1_000, ForwardOutcome::Unknown), Step::Reply(ClientReply::Failed));
    }
}

#[test]
fn a_safe_request_that_no_owner_answered_is_busy() {
    let mut request = forwarding(Effect::Safe, 2);
    request.start(0);
    request.record_outcome(150_000, ForwardOutcome::Unknown);
    let step = request.record_outcome(BUDGET, ForwardOutcome::Unknown);
    assert_eq!(step, Step::Reply(ClientReply::Busy { retry_after_ms: DEFAULT_WAIT_MS }));
}

#[test]
fn without_a_candidate_or_time_the_reply_is_busy() {
    let busy = Step::Reply(ClientReply::Busy { retry_after_ms: DEFAULT_WAIT_MS });
    assert_eq!(forwarding(Effect::Safe, 0).start(0), busy);
    assert_eq!(forwarding(Effect::Safe, 2).start(BUDGET - MIN_ANSWER_TIMEOUT_US + 1), busy);
}

#[test]
fn only_a_safe_request_leaves_time_to_wait_for_the_next_owner() {
    let step = forwarding(Effect::Safe, 2).start(0);
    assert_eq!(step, Step::Send { to: SeatId(0), write_timeout: BUDGET / 2, answer_timeout: BUDGET / 2 });
    let step = forwarding(Effect::Unsafe, 2).start(0);
    assert_eq!(step, Step::Send { to: SeatId(0), write_timeout: BUDGET / 2, answer_timeout: BUDGET });
}

#[test]
fn a_reply_never_changes() {
    let mut request = forwarding(Effect::Unsafe, 2);
    request.start(0);
    let failed = request.record_outcome(1_000, ForwardOutcome::Unknown);
    assert_eq!(request.record_outcome(2_000, ForwardOutcome::Accepted), failed);
    assert_eq!(request.record_outcome(2_000, ForwardOutcome::NotSent), failed);
}

fn any_outcome() -> impl Strategy<Value = ForwardOutcome> {
    prop_oneof![
        Just(ForwardOutcome::Accepted),
        (0u64..500).prop_map(|retry_after_ms| ForwardOutcome::Busy { retry_after_ms }),
        Just(ForwardOutcome::Invalid("no".to_string())),
        Just(ForwardOutcome::NotSent),
        Just(ForwardOutcome::Unknown),
    ]
}

proptest! {
    /// Whatever the outcomes are, no owner is tried twice.
    /// After an owner may have accepted the request, no further owner is tried unless a repeat does no harm.
    /// The reply is sent within the budget, and is "accepted" only if an owner answered `+OK`.
    #[test]
    fn every_sequence_of_outcomes_ends_in_time_without_a_harmful_repeat(
        effect in prop::sample::select(&EFFECTS[..]),
        candidates in 0u16..5,
        outcomes in prop::collection::vec((any_outcome(), 0.0..=1.0f64), 5),
    ) {
        let mut request = forwarding(effect, candidates);
        let mut now = 0;
        let mut step = request.start(now);
        let mut sent = Vec::new();
        let mut possibly_accepted = false;
        for (outcome, fraction) in outcomes {
            let Step::Send { to, write_timeout, answer_timeout } = step else { break };
            prop_assert!(!sent.contains(&to));
            prop_assert!(!possibly_accepted || effect == Effect::Safe);
            prop_assert!(write_timeout <= answer_timeout && answer_timeout >= MIN_ANSWER_TIMEOUT_US);
            sent.push(to);
            now += (fraction * answer_timeout as f64) as Micros;
            prop_assert!(now <= BUDGET);
            possibly_accepted |= outcome == ForwardOutcome::Unknown;
            let accepted = outcome == ForwardOutcome::Accepted;
            step = request.record_outcome(now, outcome);
            prop_assert_eq!(accepted, step == Step::Reply(ClientReply::Accepted));
        }
        prop_assert!(matches!(step, Step::Reply(_)));
    }
}
