//! What follows for one debt at one time, from its history, its class and the rules. One table for all.
//!
//! | effect of the class | no attempt may have run | one may have run |
//! | --- | --- | --- |
//! | safe to repeat | the rule's times | the rule's times |
//! | keyed | the rule's times | the rule's times, while the receiver remembers the key; then in doubt |
//! | unsafe | the rule's times | in doubt |
//!
//! Doubt is left by a word alone, [`Debt::resolve`].

use crate::debt::{Debt, Settled, State};
use crate::rules::{Rule, Rules, Then};
use heronroute::{Effect, Micros};

/// Of the time for which a receiver remembers a key, the part in which a repeat may still begin: what is sent later
/// may arrive after it. The decision module has the same bound for its own repeats.
const WINDOW_PART: f64 = 0.45;

/// What the daemon's settings say of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// What a second delivery would do.
    pub effect: Effect,
    /// For a keyed class: how long a receiver remembers a key.
    pub window: Micros,
    /// The time that a message of it has: a resend is given as much.
    pub deadline: Micros,
}

/// Why a debt is not sent again, for as long as nothing changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No rule speaks of it any more.
    NoRule,
    /// Its rule sends nothing again.
    NotResent,
    /// It was sent again as often as its rule says.
    TimesUsedUp,
    /// Its class is in the settings no more: nothing is known of what a repeat would do.
    ClassGone,
    /// It is settled.
    Settled(Settled),
}

/// What comes next for a debt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is with the decision module.
    Out,
    /// It may have run and must not be sent again: a word is waited for.
    Doubt,
    /// It is sent again, not before this time, and once its receiver has been well for so long.
    Resend {
        /// Not before this time.
        at: Micros,
        /// How long the receiver must have been well.
        well_for: Micros,
    },
    /// It stays as it is.
    Rest(Why),
    /// It is owed no longer.
    Expired(Then),
}

/// What comes next for a debt. With a clock that was set back, times that are known go on from the latest of them.
pub fn next(debt: &Debt, rules: &Rules, classes: &[ClassFacts], now: Micros) -> Step {
    match debt.state {
        State::Out => return Step::Out,
        State::Settled(how) => return Step::Rest(Why::Settled(how)),
        State::Owed => {}
    }
    let rule = rules.of(debt);
    if let Some(rule) = rule
        && rule.owed_for.is_some_and(|span| now >= debt.since.saturating_add(span))
    {
        // A doubt does not end by itself: whoever looks for it later must find it.
        let then = if in_doubt(debt, classes, now) { Then::Keep } else { rule.then };
        return Step::Expired(then);
    }
    if in_doubt(debt, classes, now) {
        return Step::Doubt;
    }
    if !classes.iter().any(|c| c.name == debt.message.class) {
        return Step::Rest(Why::ClassGone);
    }
    let Some(rule) = rule else { return Step::Rest(Why::NoRule) };
    let Some(resend) = &rule.resend else { return Step::Rest(Why::NotResent) };
    if debt.resends >= resend.times {
        return Step::Rest(Why::TimesUsedUp);
    }
    Step::Resend { at: at(debt, rule, now), well_for: resend.well_for }
}

/// When a rule sends a debt again. A clock that was set back would keep it waiting for as long: its gap counts from now.
fn at(debt: &Debt, rule: &Rule, now: Micros) -> Micros {
    let Some(resend) = &rule.resend else { return Micros::MAX };
    let back = now < debt.last;
    let first = if back { now } else { debt.since.saturating_add(resend.not_before) };
    let gap = (if back { now } else { debt.last }).saturating_add(resend.gap_after(debt.resends));
    resend.in_window(first.max(gap))
}

/// Whether it may have run, and sending it again might have a second effect.
pub fn in_doubt(debt: &Debt, classes: &[ClassFacts], now: Micros) -> bool {
    let Some(first) = debt.may_have_run else { return false };
    match classes.iter().find(|c| c.name == debt.message.class) {
        Some(c) if c.effect == Effect::Safe => false,
        // A clock that shows less than is known has been set back, and says nothing of how long a key is remembered.
        Some(c) if c.effect == Effect::Keyed => {
            let part = (c.window as f64 * WINDOW_PART) as Micros;
            now < debt.known() || now >= first.saturating_add(part)
        }
        // Of a class that is gone the worst is assumed.
        _ => true,
    }
}

/// Whether a message that was accepted, or delivered, takes the place of a debt: same receiver, class and key, and
/// accepted later by this sender, whatever a clock said.
pub fn superseded(debt: &Debt, rules: &Rules, dest: i64, class: &str, key: &str, order: u64) -> bool {
    let m = &debt.message;
    debt.state == State::Owed
        && m.dest == dest
        && m.class == class
        && m.key == key
        && m.order < order
        && rules.of(debt).is_some_and(|rule| rule.supersede)
}

/// One line on where a debt stands, for an operator.
pub fn explain(debt: &Debt, rules: &Rules, classes: &[ClassFacts], now: Micros) -> String {
    let rule = rules.of(debt).map_or("no rule".into(), |r| format!("'{}'", r.name));
    match next(debt, rules, classes, now) {
        Step::Out => "it is being sent".into(),
        Step::Doubt => "an attempt may have run: it waits for a word (resolve)".into(),
        Step::Resend { at, well_for } => {
            let wait = (at - now).max(0) / 1_000_000;
            format!(
                "by {rule}: sent again in {wait} s at the soonest, once its receiver has been well for {} s",
                well_for / 1_000_000
            )
        }
        Step::Rest(why) => match why {
            Why::NoRule => "no rule speaks of it: it stays until it is sent or dropped by hand".into(),
            Why::NotResent => format!("by {rule}: kept, and not sent again"),
            Why::TimesUsedUp => {
                format!("by {rule}: sent again {} times, which is all that it says", debt.resends)
            }
            Why::ClassGone => format!("class '{}' is in the settings no more", debt.message.class),
            Why::Settled(how) => format!("settled: {how:?}").to_lowercase(),
        },
        Step::Expired(then) => match then {
            Then::Keep => format!("by {rule}: owed no longer, kept for inspection"),
            Then::Drop => format!("by {rule}: owed no longer, taken out"),
        },
    }
}
