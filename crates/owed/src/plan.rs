//! The next step of a debt at a given time, from its attempts and verdicts, its class and the operator's rules.
//!
//! | effect of the class | no attempt may have taken effect | an attempt may have taken effect |
//! | --- | --- | --- |
//! | safe to repeat | resend by the rule | resend by the rule |
//! | keyed | resend by the rule | resend by the rule while the receiver remembers the key; afterwards in doubt |
//! | unsafe | resend by the rule | in doubt |
//!
//! A message in doubt is not resent until an operator gives a verdict, see [`Debt::resolve`].

use crate::debt::{Debt, Settled, State};
use crate::rules::{ExpiryAction, Rule, Rules};
use heronroute::{Effect, Micros};

/// A keyed message may be repeated only within this fraction of the time for which a receiver remembers the key.
/// A later repeat may arrive after the receiver has forgotten the key.
/// The decision module limits its own repeats of keyed messages to the same fraction of the receiver's time.
const REPEAT_WINDOW_SHARE: f64 = 0.45;

/// The settings of a message class that matter for resends.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFacts {
    /// The name of the message class.
    pub name: String,
    /// The effect that a second delivery of a message of the class would have.
    pub effect: Effect,
    /// How long a receiver remembers a key, in a keyed class.
    pub window: Micros,
    /// The time from the acceptance of a message to its deadline. A resend gets a deadline after the same time.
    pub deadline: Micros,
}

/// Why a debt is not resent unless the debt, the rules or the settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleReason {
    /// No rule matches the debt any longer.
    NoRule,
    /// The rule that matches the debt has no resends.
    NotResent,
    /// The debt has been resent as often as the matching rule allows.
    ResendsUsedUp,
    /// The class of the debt is no longer in the settings, so the effect of a repeat is unknown.
    UnknownClass,
    /// The debt is settled, so its message is never sent again.
    Settled(Settled),
}

/// The next step of a debt, as determined by its attempts and verdicts and by the operator's rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No step: the decision module is delivering the message.
    InFlight,
    /// Wait for a verdict: the message may have taken effect and must not be sent again.
    InDoubt,
    /// Resend the message, at a time when the receiver has been healthy for long enough.
    Resend {
        /// The earliest time at which the message may be resent.
        at: Micros,
        /// How long the receiver must have been healthy before the resend, in microseconds.
        healthy_for: Micros,
    },
    /// No step: the debt is retained unchanged.
    Idle(IdleReason),
    /// Settle the debt, because the rule's time limit has passed.
    Expired(ExpiryAction),
}

/// Returns the next step of a debt at `now`, by the first rule that matches it.
/// If the clock was set back, the wait for a resend is not extended.
/// In this case, a keyed message that may have taken effect is in doubt.
pub fn next_step(debt: &Debt, rules: &Rules, classes: &[ClassFacts], now: Micros) -> Step {
    match debt.state {
        State::InFlight => return Step::InFlight,
        State::Settled(how) => return Step::Idle(IdleReason::Settled(how)),
        State::Owed => {}
    }
    let rule = rules.rule_for_debt(debt);
    if let Some(rule) = rule
        && rule.owed_for.is_some_and(|span| now >= debt.given_up_at.saturating_add(span))
    {
        // An expired debt in doubt is retained, so that an operator can still find out whether the message took effect.
        let on_expiry = if in_doubt(debt, classes, now) { ExpiryAction::Keep } else { rule.on_expiry };
        return Step::Expired(on_expiry);
    }
    if in_doubt(debt, classes, now) {
        return Step::InDoubt;
    }
    if !classes.iter().any(|c| c.name == debt.message.class) {
        return Step::Idle(IdleReason::UnknownClass);
    }
    let Some(rule) = rule else { return Step::Idle(IdleReason::NoRule) };
    let Some(resend) = &rule.resend else { return Step::Idle(IdleReason::NotResent) };
    if debt.resends >= resend.times {
        return Step::Idle(IdleReason::ResendsUsedUp);
    }
    Step::Resend { at: resend_time(debt, rule, now), healthy_for: resend.healthy_for }
}

/// Returns when a rule resends a debt. If the clock was set back, the gap before the resend counts from `now`.
/// Counting from the debt's times would lengthen the wait by the amount that the clock was set back.
fn resend_time(debt: &Debt, rule: &Rule, now: Micros) -> Micros {
    let Some(resend) = &rule.resend else { return Micros::MAX };
    let set_back = now < debt.changed_at;
    let earliest = if set_back { now } else { debt.given_up_at.saturating_add(resend.not_before) };
    let gap_end =
        (if set_back { now } else { debt.changed_at }).saturating_add(resend.gap_after(debt.resends));
    resend.in_window(earliest.max(gap_end))
}

/// Returns whether a debt is in doubt: its message may have taken effect, and a resend might have a second effect.
pub fn in_doubt(debt: &Debt, classes: &[ClassFacts], now: Micros) -> bool {
    let Some(first) = debt.may_have_run else { return false };
    match classes.iter().find(|c| c.name == debt.message.class) {
        Some(class) if class.effect == Effect::Safe => false,
        // If the clock was set back, it is unknown how long the receiver still remembers the key: the debt is in doubt.
        Some(class) if class.effect == Effect::Keyed => {
            let repeat_window = (class.window as f64 * REPEAT_WINDOW_SHARE) as Micros;
            now < debt.latest_time() || now >= first.saturating_add(repeat_window)
        }
        // A class that is no longer in the settings counts as unsafe.
        _ => true,
    }
}

/// Returns whether a newly accepted or delivered message supersedes a debt.
/// The message must have the same receiver, class and key, and a higher `order`; the clock does not matter.
pub fn is_superseded(debt: &Debt, rules: &Rules, dest: i64, class: &str, key: &str, order: u64) -> bool {
    let message = &debt.message;
    debt.state == State::Owed
        && message.dest == dest
        && message.class == class
        && message.key == key
        && message.order < order
        && rules.rule_for_debt(debt).is_some_and(|rule| rule.supersede)
}

/// Describes the next step of a debt in one line, for operators.
pub fn explain(debt: &Debt, rules: &Rules, classes: &[ClassFacts], now: Micros) -> String {
    let rule = rules.rule_for_debt(debt).map_or("no rule".into(), |r| format!("rule '{}'", r.name));
    match next_step(debt, rules, classes, now) {
        Step::InFlight => "being sent now".into(),
        Step::InDoubt => "an attempt may have run: waiting for a verdict (resolve)".into(),
        Step::Resend { at, healthy_for } => {
            let wait = (at - now).max(0) / 1_000_000;
            format!(
                "by {rule}: resent in {wait} s at the earliest, once its receiver has been healthy for {} s",
                healthy_for / 1_000_000
            )
        }
        Step::Idle(reason) => match reason {
            IdleReason::NoRule => {
                "no rule matches: retained until it is resent or dropped by an operator".into()
            }
            IdleReason::NotResent => format!("by {rule}: retained, not resent"),
            IdleReason::ResendsUsedUp => {
                format!("by {rule}: already resent {} times, the rule's maximum", debt.resends)
            }
            IdleReason::UnknownClass => {
                format!("class '{}' is no longer in the settings: not resent", debt.message.class)
            }
            IdleReason::Settled(how) => format!("settled: {how:?}").to_lowercase(),
        },
        Step::Expired(on_expiry) => match on_expiry {
            ExpiryAction::Keep => format!("by {rule}: expired, retained for inspection"),
            ExpiryAction::Drop => format!("by {rule}: expired, removed"),
        },
    }
}
