//! One request on its way: each outcome's next step, for each effect.

use embershore_placement::{DEFAULT_WAIT_MS, Forwarding, LEAST_PATIENCE, Outcome, SeatId, Step, Verdict};
use heronroute::{Effect, Micros};
use proptest::prelude::*;

const BUDGET: Micros = 300_000;
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

fn forwarding(effect: Effect, candidates: u16) -> Forwarding {
    Forwarding::new(effect, (0..candidates).map(SeatId).collect(), 0, BUDGET)
}

/// The seat that a step sends to.
fn sent_to(step: &Step) -> SeatId {
    match step {
        Step::Send { to, .. } => *to,
        Step::Answer(verdict) => panic!("answered {verdict:?}, not sent"),
    }
}

#[test]
fn an_owners_ok_and_error_are_final() {
    for effect in EFFECTS {
        let mut taken = forwarding(effect, 2);
        assert_eq!(sent_to(&taken.start(0)), SeatId(0));
        assert_eq!(taken.outcome(1_000, Outcome::Taken), Step::Answer(Verdict::Taken));
        let mut wrong = forwarding(effect, 2);
        wrong.start(0);
        let reason = "unknown class".to_string();
        let step = wrong.outcome(1_000, Outcome::Wrong(reason.clone()));
        assert_eq!(step, Step::Answer(Verdict::Wrong(reason)));
    }
}

#[test]
fn what_surely_was_not_taken_goes_to_the_next_owner() {
    for effect in EFFECTS {
        for refusal in [Outcome::Busy { after_ms: 40 }, Outcome::NeverSent] {
            let mut request = forwarding(effect, 2);
            assert_eq!(sent_to(&request.start(0)), SeatId(0));
            assert_eq!(sent_to(&request.outcome(1_000, refusal)), SeatId(1));
            assert_eq!(request.outcome(2_000, Outcome::Taken), Step::Answer(Verdict::Taken));
        }
    }
}

#[test]
fn busy_tells_the_least_wait_of_all_owners() {
    let mut request = forwarding(Effect::Unsafe, 3);
    request.start(0);
    request.outcome(1_000, Outcome::Busy { after_ms: 90 });
    request.outcome(2_000, Outcome::Busy { after_ms: 40 });
    let step = request.outcome(3_000, Outcome::Busy { after_ms: 0 });
    assert_eq!(step, Step::Answer(Verdict::Busy { after_ms: 40 }));
    let mut unsaid = forwarding(Effect::Unsafe, 1);
    unsaid.start(0);
    let step = unsaid.outcome(1_000, Outcome::NeverSent);
    assert_eq!(step, Step::Answer(Verdict::Busy { after_ms: DEFAULT_WAIT_MS }));
}

#[test]
fn an_unknown_outcome_goes_to_a_second_owner_only_where_a_repeat_does_no_harm() {
    let mut free = forwarding(Effect::Safe, 2);
    free.start(0);
    assert_eq!(sent_to(&free.outcome(1_000, Outcome::Unknown)), SeatId(1));
    for effect in [Effect::Keyed, Effect::Unsafe] {
        let mut request = forwarding(effect, 2);
        request.start(0);
        assert_eq!(request.outcome(1_000, Outcome::Unknown), Step::Answer(Verdict::Failed));
    }
}

#[test]
fn a_free_request_that_nobody_answered_is_busy() {
    let mut request = forwarding(Effect::Safe, 2);
    request.start(0);
    request.outcome(150_000, Outcome::Unknown);
    let step = request.outcome(BUDGET, Outcome::Unknown);
    assert_eq!(step, Step::Answer(Verdict::Busy { after_ms: DEFAULT_WAIT_MS }));
}

#[test]
fn without_a_candidate_or_time_the_answer_is_busy() {
    let busy = Step::Answer(Verdict::Busy { after_ms: DEFAULT_WAIT_MS });
    assert_eq!(forwarding(Effect::Safe, 0).start(0), busy);
    assert_eq!(forwarding(Effect::Safe, 2).start(BUDGET - LEAST_PATIENCE + 1), busy);
}

#[test]
fn a_free_request_leaves_time_for_the_next_owner_and_another_waits_for_the_one_it_has() {
    let step = forwarding(Effect::Safe, 2).start(0);
    assert_eq!(step, Step::Send { to: SeatId(0), begin_within: BUDGET / 2, patience: BUDGET / 2 });
    let step = forwarding(Effect::Unsafe, 2).start(0);
    assert_eq!(step, Step::Send { to: SeatId(0), begin_within: BUDGET / 2, patience: BUDGET });
}

#[test]
fn an_answer_never_changes() {
    let mut request = forwarding(Effect::Unsafe, 2);
    request.start(0);
    let failed = request.outcome(1_000, Outcome::Unknown);
    assert_eq!(request.outcome(2_000, Outcome::Taken), failed);
    assert_eq!(request.outcome(2_000, Outcome::NeverSent), failed);
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Taken),
        (0u64..500).prop_map(|after_ms| Outcome::Busy { after_ms }),
        Just(Outcome::Wrong("no".to_string())),
        Just(Outcome::NeverSent),
        Just(Outcome::Unknown),
    ]
}

proptest! {
    /// Whatever the owners do: no owner twice, nobody after a possible taking that must not be repeated, an answer within the
    /// budget, and "taken" only where an owner said so.
    #[test]
    fn every_course_ends_in_time_and_repeats_nothing(
        effect in prop::sample::select(&EFFECTS[..]),
        candidates in 0u16..5,
        outcomes in prop::collection::vec((any_outcome(), 0.0..=1.0f64), 5),
    ) {
        let mut request = forwarding(effect, candidates);
        let mut now = 0;
        let mut step = request.start(now);
        let mut sent = Vec::new();
        let mut possibly_taken = false;
        for (outcome, part) in outcomes {
            let Step::Send { to, begin_within, patience } = step else { break };
            prop_assert!(!sent.contains(&to));
            prop_assert!(!possibly_taken || effect == Effect::Safe);
            prop_assert!(begin_within <= patience && patience >= LEAST_PATIENCE);
            sent.push(to);
            now += (part * patience as f64) as Micros;
            prop_assert!(now <= BUDGET);
            possibly_taken |= outcome == Outcome::Unknown;
            let taken = outcome == Outcome::Taken;
            step = request.outcome(now, outcome);
            prop_assert_eq!(taken, step == Step::Answer(Verdict::Taken));
        }
        prop_assert!(matches!(step, Step::Answer(_)));
    }
}
