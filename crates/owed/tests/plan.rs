//! What comes next for a debt: never a second effect of an unsafe message, whatever happens in whatever order.

mod common;
use common::*;
use embershore_owed::plan::{explain, in_doubt, next, superseded};
use embershore_owed::rules::Then;
use embershore_owed::*;
use heronroute::{Effect, Micros};
use proptest::prelude::*;

fn rules(text: &str) -> Rules {
    Rules::read(&format!("max_mb = 9\n{text}"), &classes()).expect("good rules")
}

const ALL: &str = "[[rule]]\nresend = { times = 3, gap = \"10s\", well_for = \"5s\", not_before = \"30s\" }";

#[test]
fn what_never_ran_is_sent_again_and_what_may_have_run_by_its_class() {
    use Ending::*;
    let (rules, classes) = (rules(ALL), classes());
    let resend = Step::Resend { at: 50 * S, well_for: 5 * S };
    for class in ["quota", "response", "payout"] {
        for endings in [&[][..], &[TurnedAway], &[NoConnection, TurnedAway]] {
            assert_eq!(next(&debt(class, endings), &rules, &classes, 20 * S), resend, "{class} {endings:?}");
        }
    }
    for ending in [Error, Reset, TimedOut, Unknown] {
        let endings = [NoConnection, ending];
        assert_eq!(next(&debt("quota", &endings), &rules, &classes, 20 * S), resend, "{ending:?}");
        assert_eq!(next(&debt("payout", &endings), &rules, &classes, 20 * S), Step::Doubt, "{ending:?}");
        // Its key is remembered for 10 s from the first that may have run, at 2 s.
        assert_eq!(next(&debt("response", &endings), &rules, &classes, 20 * S), Step::Doubt, "{ending:?}");
    }
    let fresh = |now| {
        let mut d = debt("response", &[NoConnection, Reset]);
        (d.since, d.last) = (3 * S, 3 * S);
        in_doubt(&d, &classes, now)
    };
    assert!(!fresh(3 * S) && !fresh(6 * S + S / 2 - 1) && fresh(6 * S + S / 2));
    assert!(fresh(2 * S), "a clock that was set back says nothing of how long a key is remembered");
    let gone = debt("quota", &[Reset]);
    assert_eq!(
        next(&gone, &rules, &classes[1..], 20 * S),
        Step::Doubt,
        "of a class that is gone the worst is assumed"
    );
    let unsent = debt("quota", &[]);
    assert_eq!(next(&unsent, &rules, &classes[1..], 20 * S), Step::Rest(Why::ClassGone));
}

#[test]
fn a_word_leaves_doubt_and_is_kept_with_who_and_why() {
    let (rules, classes) = (rules(ALL), classes());
    let mut d = debt("payout", &[Ending::TimedOut]);
    assert_eq!(d.resolve(Word::NeverRan, " ", "checked", 30 * S), Err(debt::WordError::Unsigned));
    assert_eq!(d.resolve(Word::NeverRan, "ops", "their ledger has none", 30 * S), Ok(()));
    assert!(matches!(next(&d, &rules, &classes, 30 * S), Step::Resend { .. }));
    assert_eq!(
        d.resolve(Word::NeverRan, "ops", "said twice", 31 * S),
        Ok(()),
        "the same word again changes nothing"
    );
    assert_eq!(d.words.len(), 1);
    assert_eq!((d.words[0].by.as_str(), d.words[0].why.as_str()), ("ops", "their ledger has none"));
    d.sent(60 * S);
    assert_eq!(d.resolve(Word::NeverRan, "ops", "meanwhile", 61 * S), Err(debt::WordError::Out));
    d.came_back([attempt(60 * S, Ending::Reset)], 62 * S);
    assert_eq!(next(&d, &rules, &classes, 99 * S), Step::Doubt, "a resend that may have run is doubt anew");
    assert_eq!(d.resolve(Word::Ran, "ops", "their ledger has it", 99 * S), Ok(()));
    assert_eq!(next(&d, &rules, &classes, 999 * S), Step::Rest(Why::Settled(Settled::Ran)));
    assert_eq!(d.resolve(Word::Ran, "ops", "again", 99 * S), Ok(()));
    let late = d.resolve(Word::NeverRan, "ops", "no, it has not", 99 * S);
    assert_eq!(
        late,
        Err(debt::WordError::Settled(Settled::Ran)),
        "what is settled as run is never sent again"
    );
    assert_eq!(debt("payout", &[]).resolve(Word::Ran, "ops", "x", S), Err(debt::WordError::NoDoubt));
}

#[test]
fn gaps_times_and_the_end_of_the_debt_hold_also_with_a_clock_set_back() {
    let (rules, classes) = (rules(&format!("{ALL}\nowed_for = \"1h\"\nthen = \"drop\"")), classes());
    let mut d = debt("quota", &[Ending::NoConnection]);
    for n in 0..3 {
        let Step::Resend { at, .. } = next(&d, &rules, &classes, d.last) else { panic!("resend {n}") };
        assert_eq!(at, if n == 0 { 50 * S } else { d.last + 10 * S });
        d.sent(at);
        assert_eq!(next(&d, &rules, &classes, at), Step::Out);
        d.came_back([attempt(at, Ending::NoConnection)], at + S);
    }
    assert_eq!(next(&d, &rules, &classes, 3600 * S), Step::Rest(Why::TimesUsedUp));
    assert_eq!(next(&d, &rules, &classes, 3620 * S), Step::Expired(Then::Drop));
    let doubt = debt("payout", &[Ending::Reset]);
    assert_eq!(
        next(&doubt, &rules, &classes, 3620 * S),
        Step::Expired(Then::Keep),
        "doubt is never dropped by a rule"
    );
    // An hour back: the gap counts from now, and not from an hour ahead.
    let mut d = debt("quota", &[Ending::NoConnection]);
    (d.since, d.last, d.resends) = (7200 * S, 7200 * S, 1);
    assert_eq!(next(&d, &rules, &classes, 3600 * S), Step::Resend { at: 3610 * S, well_for: 5 * S });
    assert!(explain(&d, &rules, &classes, 3600 * S).contains("in 10 s at the soonest"));
}

#[test]
fn a_newer_message_of_an_overwriting_class_takes_its_place() {
    let rules = rules("[[rule]]\nclass = [\"quota\"]\nsupersede = true\n[[rule]]");
    let d = debt("quota", &[]);
    let by = |dest, class: &str, key: &str, order| superseded(&d, &rules, dest, class, key, order);
    assert!(by(3, "quota", "survey-7", 2));
    assert!(
        !by(4, "quota", "survey-7", 2) && !by(3, "payout", "survey-7", 2) && !by(3, "quota", "survey-8", 2)
    );
    // What counts is the order of acceptance: the clock may have been set back between the two.
    assert!(!by(3, "quota", "survey-7", 1), "itself, or an older one that was delivered late");
    let mut out = d.clone();
    out.sent(30 * S);
    assert!(!superseded(&out, &rules, 3, "quota", "survey-7", 2), "what is on its way can't be held back");
    let payout = debt("payout", &[]);
    assert!(!superseded(&payout, &rules, 3, "payout", "survey-7", 2), "only where the rule says so");
}

#[derive(Clone, Debug)]
enum Act {
    Wait(Micros),
    Send,
    /// The resend that is out: how it ends, and whether the receiver carries it out.
    End(Ending, bool),
    /// The process dies; one that is out may have run.
    Crash(bool),
    Rules(usize),
    /// Somebody looks into the receiver's ledger and says what it says.
    Look,
}

fn act() -> impl Strategy<Value = Act> {
    use Ending::*;
    let ending = prop_oneof![Just(TurnedAway), Just(NoConnection), Just(Error), Just(Reset), Just(TimedOut)];
    prop_oneof![
        4 => (-4000i64..9000).prop_map(|s| Act::Wait(s * S / 10)),
        6 => Just(Act::Send),
        6 => (ending, any::<bool>()).prop_map(|(e, ran)| Act::End(e, ran && e.may_have_run())),
        1 => any::<bool>().prop_map(Act::Crash),
        1 => (0usize..3).prop_map(Act::Rules),
        2 => Just(Act::Look),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    /// Any order of resends, ends, crashes, changed rules, clocks and true words: an unsafe message takes effect once
    /// at most, a keyed one is repeated only while its key is remembered, and nothing owed is lost.
    #[test]
    fn never_a_second_effect(class in 0usize..3, acts in prop::collection::vec(act(), 1..60)) {
        let classes = classes();
        let name = classes[class].name.clone();
        let sets = [
            rules(ALL),
            rules("[[rule]]\nresend = { times = 99, gap = \"1s\" }"),
            rules("[[rule]]\nreceiver = [9]"),
        ];
        let (mut set, mut now, mut d) = (0, 20 * S, debt(&name, &[]));
        // By the receiver's own ledger, on a true clock of its own.
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
                    if let Step::Resend { at, .. } = next(&d, &sets[set], &classes, now)
                        && now >= at
                    {
                        d.sent(now);
                    }
                }
                Act::End(ending, ran) if d.state == State::Out => {
                    if ran {
                        match classes[class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => effects += 1,
                            Effect::Keyed => {
                                // The receiver drops a repeat while it remembers the key.
                                let known = first_run.is_some_and(|t| true_now - t < classes[class].window);
                                effects += u32::from(!known);
                                first_run = first_run.or(Some(true_now));
                            }
                        }
                    }
                    d.came_back([attempt(now, ending)], now);
                }
                Act::Crash(ran) if d.state == State::Out => {
                    if ran && classes[class].effect == Effect::Unsafe {
                        effects += 1;
                    }
                    d.came_back([attempt(now, Ending::Unknown)], now);
                }
                Act::Look if in_doubt(&d, &classes, now) && classes[class].effect == Effect::Unsafe => {
                    let word = if effects > 0 { Word::Ran } else { Word::NeverRan };
                    _ = d.resolve(word, "ops", "their ledger", now);
                }
                _ => {}
            }
            // A key's memory is counted by the clock: one that is set back unseen and catches up again deceives it.
            if classes[class].effect == Effect::Unsafe || !set_back {
                prop_assert!(effects <= 1, "it took effect {effects} times: {d:?}");
            }
            // It is somewhere: on its way, owed with a next step, in doubt, or settled by a word.
            let lost = matches!(next(&d, &sets[set], &classes, now), Step::Expired(_));
            prop_assert!(!lost, "no rule says that it is owed no longer");
        }
    }
}
