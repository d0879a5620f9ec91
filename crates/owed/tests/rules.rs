//! The operator's rules: invalid rules are rejected with the reason and the position, and valid rules apply as written.

mod common;
use common::*;
use embershore_owed::rules::{ExpiryAction, Finding};
use embershore_owed::*;

fn rejected(text: &str) -> Vec<Finding> {
    match Rules::parse(text, &classes()) {
        Err(RulesError::Invalid(found)) => found,
        other => panic!("{text} was not rejected with findings: {other:?}"),
    }
}

#[test]
fn an_invalid_file_is_rejected_with_the_reason_and_the_position() {
    let cases = [
        ("max_mb = 0", "room on disk", "0"),
        ("max_mb = 9\nresends_per_s = -1", "resends_per_s", "-1"),
        ("max_mb = 9\n[[rule]]\nclass = [\"pay\"]", "no class is named 'pay'", "\"pay\""),
        ("max_mb = 9\n[[rule]]\nreceiver = []", "matches nothing", "[[rule]]"),
        (
            "max_mb = 9\n[[rule]]\nkeep = false\nsupersede = true",
            "can't be combined with other settings",
            "[[rule]]",
        ),
        ("max_mb = 9\n[[rule]]\nthen = \"drop\"", "set 'owed_for' too", "[[rule]]"),
        ("max_mb = 9\n[[rule]]\nsupersede = true", "does not overwrite", "[[rule]]"),
        (
            "max_mb = 9\n[[rule]]\n[[rule]]\nreceiver = [3]",
            "matches every message that this rule matches",
            "[[rule]]",
        ),
        (
            "max_mb = 9\n[[rule]]\nname = \"a\"\nreceiver = [3]\n[[rule]]\nname = \"a\"",
            "two rules are named",
            "[[",
        ),
        ("max_mb = 9\n[[rule]]\nresend = { times = 0, gap = \"5s\" }", "'times' is 0", "0"),
        ("max_mb = 9\n[[rule]]\nresend = { times = 1, gap = \"5ms\" }", "a second at least", "{"),
        (
            "max_mb = 9\n[[rule]]\nresend = { times = 1, gap = \"5s\", growth = 0.5 }",
            "between 1 and 100",
            "0.5",
        ),
        (
            "max_mb = 9\n[[rule]]\nresend = { times = 1, gap = \"9s\", gap_most = \"5s\" }",
            "shorter than 'gap'",
            "{",
        ),
        (
            "max_mb = 9\n[[rule]]\nresend = { times = 1, gap = \"9s\", window = \"8-9\" }",
            "times of the day",
            "\"8-9\"",
        ),
        (
            "max_mb = 9\n[[rule]]\nowed_for = \"1h\"\nresend = { times = 1, gap = \"9s\", not_before = \"2h\" }",
            "never be sent again",
            "[[rule]]",
        ),
        (
            "max_mb = 9\n[[rule]]\nclass = [\"payout\"]\nreason = [\"may-have-run\"]\nresend = { times = 1, gap = \"9s\" }",
            "must never take effect twice",
            "{",
        ),
        (
            "max_mb = 9\n[[rule]]\nclass = [\"response\"]\nreason = [\"may-have-run\"]\n\
             resend = { times = 1, gap = \"9s\", not_before = \"10s\" }",
            "forget a key",
            "{",
        ),
    ];
    for (text, what, place) in cases {
        let found = rejected(text);
        let hit = found.iter().find(|f| f.message.contains(what));
        let hit = hit.unwrap_or_else(|| panic!("{text}\nwas rejected for other reasons: {found:?}"));
        assert!(text[hit.span.clone()].starts_with(place), "{text}\npoints at {:?}", &text[hit.span.clone()]);
    }
    for text in
        ["max_mb = 9\nrules = 3", "max_mb = 9\n[[rule]]\nreason = [\"lost\"]", "max_mb = \"9\"", "[[rule]]"]
    {
        assert!(matches!(Rules::parse(text, &classes()), Err(RulesError::Unreadable(_))), "{text}");
    }
    let many = format!(
        "max_mb = 9\n{}",
        (0..300).map(|n| format!("[[rule]]\nreceiver = [{n}]\n")).collect::<String>()
    );
    assert!(rejected(&many)[0].message.contains("more than 256 rules"));
    // All errors in the rules are reported together, not only the first.
    assert_eq!(rejected("max_mb = 0\nresends_per_s = 0\n[[rule]]\nclass = [\"x\", \"y\"]").len(), 4);
}

#[test]
fn the_first_rule_that_matches_applies() {
    let rules = Rules::parse(
        "max_mb = 9\n\
         [[rule]]\nname = \"none of 4\"\nreceiver = [4]\nkeep = false\n\
         [[rule]]\nname = \"payouts\"\nclass = [\"payout\"]\nreason = [\"down\", \"unsent\"]\nowed_for = \"2days\"\nthen = \"drop\"\n\
         [[rule]]\nname = \"rest\"",
        &classes(),
    )
    .expect("a valid file");
    let name = |dest, class, reason| rules.rule_for(dest, class, reason).map(|r| r.name.as_str());
    assert_eq!(name(4, "payout", Reason::Down), Some("none of 4"));
    assert_eq!(name(3, "payout", Reason::Down), Some("payouts"));
    assert_eq!(name(3, "payout", Reason::MayHaveRun), Some("rest"));
    assert!(!rules.keeps(4, "quota", Reason::Gone) && rules.keeps(3, "quota", Reason::Gone));
    assert_eq!(
        (rules.rules[1].owed_for, rules.rules[1].on_expiry),
        (Some(2 * 86_400 * S), ExpiryAction::Drop)
    );
    assert_eq!(rules.max_bytes, 9_000_000);
    let none = Rules::parse("max_mb = 9\n[[rule]]\nreceiver = [1]", &classes()).expect("a valid file");
    assert!(!none.keeps(2, "quota", Reason::Down), "a message without a matching rule is not retained");
}

#[test]
fn gaps_grow_and_daily_windows_apply() {
    let text = "max_mb = 9\n[[rule]]\nresend = { times = 9, gap = \"10s\", growth = 2.0, gap_most = \"35s\", \
                window = \"22:00-02:30\", not_before = \"1min\" }";
    let rules = Rules::parse(text, &classes()).expect("a valid file");
    let resend = rules.rules[0].resend.as_ref().expect("the rule resends");
    let gaps: Vec<_> = (0..5).map(|n| resend.gap_after(n) / S).collect();
    assert_eq!(gaps, [0, 10, 20, 35, 35]);
    let (day, hour) = (86_400 * S, 3600 * S);
    for (at, then) in [(23, 23), (1, 1), (3, 22), (12, 22), (22, 22)] {
        assert_eq!(resend.in_window(5 * day + at * hour), 5 * day + then * hour, "at {at}");
    }
    assert_eq!(
        resend.in_window(5 * day + 2 * hour + 30 * 60 * S),
        5 * day + 22 * hour,
        "the end of the window is exclusive"
    );
    let (at, after) = ("\"08:00-09:00\"", "\"22:00-02:30\"");
    let rules = Rules::parse(&text.replace(after, at), &classes()).expect("a valid file");
    let resend = rules.rules[0].resend.as_ref().expect("the rule resends");
    assert_eq!(resend.in_window(5 * day + 10 * hour), 6 * day + 8 * hour, "the next day");
}
