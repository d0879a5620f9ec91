//! Tests of the next step of a debt. A message of an unsafe class never takes effect twice, in any order of events.

mod common;
use common::*;
use embershore_owed::plan::{explain, in_doubt, is_superseded, next_step};
use embershore_owed::rules::ExpiryAction;
use embershore_owed::*;
use heronroute::{Effect, Micros};
use proptest::prelude::*;

fn rules(text: &str) -> Rules {
    Rules::parse(&format!("max_mb = 9\n{text}"), &classes()).expect("valid rules")
}

const ALL: &str = "[[rule]]\nresend = { times = 3, gap = \"10s\", well_for = \"5s\", not_before = \"30s\" }";

#[test]
fn messages_that_never_ran_are_resent_and_others_as_their_class_allows() {
    use AttemptOutcome::*;
    let (rules, classes) = (rules(ALL), classes());
    let resend = Step::Resend { at: 50 * S, healthy_for: 5 * S };
    for class in ["quota", "response", "payout"] {
        for outcomes in [&[][..], &[Rejected], &[NoConnection, Rejected]] {
            assert_eq!(
                next_step(&debt(class, outcomes), &rules, &classes, 20 * S),
                resend,
                "{class} {outcomes:?}"
            );
        }
    }
    for outcome in [Error, Reset, TimedOut, Unknown] {
        let outcomes = [NoConnection, outcome];
        assert_eq!(next_step(&debt("quota", &outcomes), &rules, &classes, 20 * S), resend, "{outcome:?}");
        assert_eq!(
            next_step(&debt("payout", &outcomes), &rules, &classes, 20 * S),
            Step::InDoubt,
            "{outcome:?}"
        );
        // The receiver remembers the key for 10 s from the first attempt that may have taken effect, which was at 2 s.
        assert_eq!(
            next_step(&debt("response", &outcomes), &rules, &classes, 20 * S),
            Step::InDoubt,
            "{outcome:?}"
        );
    }
    let fresh = |now| {
        let mut owed = debt("response", &[NoConnection, Reset]);
        (owed.given_up_at, owed.changed_at) = (3 * S, 3 * S);
        in_doubt(&owed, &classes, now)
    };
    assert!(!fresh(3 * S) && !fresh(6 * S + S / 2 - 1) && fresh(6 * S + S / 2));
    assert!(fresh(2 * S), "a clock that was set back does not tell how long a key is remembered");
    let unknown_class = debt("quota", &[Reset]);
    assert_eq!(
        next_step(&unknown_class, &rules, &classes[1..], 20 * S),
        Step::InDoubt,
        "a class that is no longer in the settings counts as unsafe"
    );
    let unsent = debt("quota", &[]);
    assert_eq!(next_step(&unsent, &rules, &classes[1..], 20 * S), Step::Idle(IdleReason::UnknownClass));
}

#[test]
fn a_verdict_ends_the_doubt_and_is_retained_with_its_author_and_justification() {
    let (rules, classes) = (rules(ALL), classes());
    let mut owed = debt("payout", &[AttemptOutcome::TimedOut]);
    assert_eq!(owed.resolve(Verdict::NeverRan, " ", "checked", 30 * S), Err(debt::ResolveError::Unsigned));
    assert_eq!(owed.resolve(Verdict::NeverRan, "ops", "their ledger has none", 30 * S), Ok(()));
    assert!(matches!(next_step(&owed, &rules, &classes, 30 * S), Step::Resend { .. }));
    assert_eq!(
        owed.resolve(Verdict::NeverRan, "ops", "said twice", 31 * S),
        Ok(()),
        "repeating the same verdict changes nothing"
    );
    assert_eq!(owed.resolutions.len(), 1);
    assert_eq!(
        (owed.resolutions[0].author.as_str(), owed.resolutions[0].justification.as_str()),
        ("ops", "their ledger has none")
    );
    owed.start_resend(60 * S);
    assert_eq!(
        owed.resolve(Verdict::NeverRan, "ops", "meanwhile", 61 * S),
        Err(debt::ResolveError::InFlight)
    );
    owed.resend_failed([attempt(60 * S, AttemptOutcome::Reset)], 62 * S);
    assert_eq!(
        next_step(&owed, &rules, &classes, 99 * S),
        Step::InDoubt,
        "a resend that may have run puts the message in doubt again"
    );
    assert_eq!(owed.resolve(Verdict::Ran, "ops", "their ledger has it", 99 * S), Ok(()));
    assert_eq!(next_step(&owed, &rules, &classes, 999 * S), Step::Idle(IdleReason::Settled(Settled::Ran)));
    assert_eq!(owed.resolve(Verdict::Ran, "ops", "again", 99 * S), Ok(()));
    let late = owed.resolve(Verdict::NeverRan, "ops", "no, it has not", 99 * S);
    assert_eq!(
        late,
        Err(debt::ResolveError::Settled(Settled::Ran)),
        "a message settled as run is never sent again"
    );
    assert_eq!(debt("payout", &[]).resolve(Verdict::Ran, "ops", "x", S), Err(debt::ResolveError::NotInDoubt));
}

#[test]
fn gaps_limits_and_expiry_hold_also_with_a_clock_set_back() {
    let (rules, classes) = (rules(&format!("{ALL}\nowed_for = \"1h\"\nthen = \"drop\"")), classes());
    let mut owed = debt("quota", &[AttemptOutcome::NoConnection]);
    for n in 0..3 {
        let Step::Resend { at, .. } = next_step(&owed, &rules, &classes, owed.changed_at) else {
            panic!("resend {n}")
        };
        assert_eq!(at, if n == 0 { 50 * S } else { owed.changed_at + 10 * S });
        owed.start_resend(at);
        assert_eq!(next_step(&owed, &rules, &classes, at), Step::InFlight);
        owed.resend_failed([attempt(at, AttemptOutcome::NoConnection)], at + S);
    }
    assert_eq!(next_step(&owed, &rules, &classes, 3600 * S), Step::Idle(IdleReason::ResendsUsedUp));
    assert_eq!(next_step(&owed, &rules, &classes, 3620 * S), Step::Expired(ExpiryAction::Drop));
    let doubt = debt("payout", &[AttemptOutcome::Reset]);
    assert_eq!(
        next_step(&doubt, &rules, &classes, 3620 * S),
        Step::Expired(ExpiryAction::Keep),
        "a rule never drops a message in doubt"
    );
    // The clock is set back by an hour: the gap before the resend counts from now, not from an hour ahead.
    let mut owed = debt("quota", &[AttemptOutcome::NoConnection]);
    (owed.given_up_at, owed.changed_at, owed.resends) = (7200 * S, 7200 * S, 1);
    assert_eq!(
        next_step(&owed, &rules, &classes, 3600 * S),
        Step::Resend { at: 3610 * S, healthy_for: 5 * S }
    );
    assert!(explain(&owed, &rules, &classes, 3600 * S).contains("in 10 s at the earliest"));
}

#[test]
fn a_newer_message_of_an_overwriting_class_supersedes_a_debt() {
    let rules = rules("[[rule]]\nclass = [\"quota\"]\nsupersede = true\n[[rule]]");
    let owed = debt("quota", &[]);
    let by = |dest, class: &str, key: &str, order| is_superseded(&owed, &rules, dest, class, key, order);
    assert!(by(3, "quota", "survey-7", 2));
    assert!(
        !by(4, "quota", "survey-7", 2) && !by(3, "payout", "survey-7", 2) && !by(3, "quota", "survey-8", 2)
    );
    // The order of acceptance decides, because the clock may have been set back between the two messages.
    assert!(!by(3, "quota", "survey-7", 1), "the message itself, or an older one that was delivered late");
    let mut in_flight = owed.clone();
    in_flight.start_resend(30 * S);
    assert!(
        !is_superseded(&in_flight, &rules, 3, "quota", "survey-7", 2),
        "a message in flight can't be recalled"
    );
    let payout = debt("payout", &[]);
    assert!(
        !is_superseded(&payout, &rules, 3, "payout", "survey-7", 2),
        "superseded only if the rule says so"
    );
}

#[derive(Clone, Debug)]
enum Act {
    Wait(Micros),
    Send,
    /// The resend in flight has this outcome; the flag tells whether the message takes effect at the receiver.
    End(AttemptOutcome, bool),
    /// The sender's process dies; the flag tells whether the resend in flight takes effect at the receiver.
    Crash(bool),
    Rules(usize),
    /// An operator gives the verdict that the receiver's ledger shows.
    Resolve,
}

fn act() -> impl Strategy<Value = Act> {
    use AttemptOutcome::*;
    let outcome = prop_oneof![Just(Rejected), Just(NoConnection), Just(Error), Just(Reset), Just(TimedOut)];
    prop_oneof![
        4 => (-4000i64..9000).prop_map(|s| Act::Wait(s * S / 10)),
        6 => Just(Act::Send),
        6 => (outcome, any::<bool>()).prop_map(|(o, ran)| Act::End(o, ran && o.may_have_run())),
        1 => any::<bool>().prop_map(Act::Crash),
        1 => (0usize..3).prop_map(Act::Rules),
        2 => Just(Act::Resolve),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    /// Tests any order of resends, outcomes, crashes, rule changes, clock changes and true verdicts.
    /// An unsafe message takes effect at most once, and no debt is lost.
    /// A keyed message is repeated only while the receiver remembers its key.
    #[test]
    fn never_a_second_effect(class in 0usize..3, acts in prop::collection::vec(act(), 1..60)) {
        let classes = classes();
        let name = classes[class].name.clone();
        let sets = [
            rules(ALL),
            rules("[[rule]]\nresend = { times = 99, gap = \"1s\" }"),
            rules("[[rule]]\nreceiver = [9]"),
        ];
        let (mut set, mut now, mut owed) = (0, 20 * S, debt(&name, &[]));
        // The receiver's ledger of executed messages. The receiver has its own clock, which is correct.
        let (mut effects, mut true_now, mut first_run, mut set_back) = (0u32, 0, None::<Micros>, false);
        for act in acts {
            match act {
                Act::Wait(span) => {
                    now += span;
                    true_now += span.abs();
                    set_back |= span < 0;
                }
                Act::Rules(n) => set = n,
                Act::Send => {
                    if let Step::Resend { at, .. } = next_step(&owed, &sets[set], &classes, now)
                        && now >= at
                    {
                        owed.start_resend(now);
                    }
                }
                Act::End(outcome, ran) if owed.state == State::InFlight => {
                    if ran {
                        match classes[class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => effects += 1,
                            Effect::Keyed => {
                                // The receiver ignores a repeat while it remembers the key.
                                let known = first_run.is_some_and(|t| true_now - t < classes[class].window);
                                effects += u32::from(!known);
                                first_run = first_run.or(Some(true_now));
                            }
                        }
                    }
                    owed.resend_failed([attempt(now, outcome)], now);
                }
                Act::Crash(ran) if owed.state == State::InFlight => {
                    if ran && classes[class].effect == Effect::Unsafe {
                        effects += 1;
                    }
                    owed.resend_failed([attempt(now, AttemptOutcome::Unknown)], now);
                }
                Act::Resolve if in_doubt(&owed, &classes, now) && classes[class].effect == Effect::Unsafe => {
                    let verdict = if effects > 0 { Verdict::Ran } else { Verdict::NeverRan };
                    _ = owed.resolve(verdict, "ops", "their ledger", now);
                }
                _ => {}
            }
            // The sender measures by its own clock how long a receiver remembers a key.
            // If the sender's clock is set back unnoticed and catches up again, a keyed message can take effect twice.
            // This test does not check the case of such an unnoticed clock change.
            if classes[class].effect == Effect::Unsafe || !set_back {
                prop_assert!(effects <= 1, "it took effect {effects} times: {owed:?}");
            }
            // The debt is in flight, owed with a next step, in doubt, or settled by a verdict.
            let lost = matches!(next_step(&owed, &sets[set], &classes, now), Step::Expired(_));
            prop_assert!(!lost, "expired, but no rule has a time limit");
        }
    }
}
