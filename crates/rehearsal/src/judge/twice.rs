//! Rule 2: no message takes effect twice. The check uses the senders' attempts and the effects at the receivers.

use super::{Attempt, Findings, Margin, Message, SOCKET_ALLOWANCE_US, Table};
use crate::history::{NoticeState, PutOutcome};
use crate::parameters::Effect;
use crate::span::Micros;
use std::collections::BTreeMap;

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    let mut margin = Margin::lowest("shortest part of a window left at a resend", "ms", 0.0);
    for message in &table.messages {
        check_attempts(table, message, &mut found, &mut margin);
        check_refusals(table, message, &mut found);
    }
    check_effects(table, &mut found);
    found.margin = margin.observed();
    found
}

/// Checks repeated attempts of a message against the limits of its class.
fn check_attempts(table: &Table, message: &Message, found: &mut Findings, margin: &mut Margin) {
    let Some(class) = table.class(message) else { return };
    // Start of the first attempt in which the message may have taken effect at the receiver.
    let mut may_have_run: Option<Micros> = None;
    let mut ends: Vec<Option<Micros>> = Vec::new();
    for (n, (call, known_at, outcome)) in table.attempts(message).enumerate() {
        let endpoint = Some(call.endpoint.as_str());
        // A sender may send a message again as soon as it has given up the call that carried the message.
        // The receiver may see the new call before the end of the given-up call, hence the allowance.
        let in_flight = ends.iter().any(|ended| ended.is_none_or(|t| t > call.t + SOCKET_ALLOWANCE_US));
        if in_flight && !table.parameters.rules.second_copies {
            let what = "it was sent while an earlier attempt was still out".to_string();
            found.violation(call.t, Some(&message.id), endpoint, what);
        }
        if let (Effect::Keyed, Some(first)) = (class.effect, may_have_run) {
            margin.observe((first + class.window + SOCKET_ALLOWANCE_US - call.t) as f64 / 1000.0, call.t);
        }
        if n > 0 {
            found.count(match (class.effect, may_have_run) {
                (Effect::Unsafe, None) => "unsafe, sent again since nothing had run",
                (Effect::Unsafe, Some(_)) => "unsafe, sent again though it may have run",
                (Effect::Keyed, None) => "keyed, sent again since nothing had run",
                (Effect::Keyed, Some(_)) => "keyed, sent again within its window or past it",
                (Effect::Safe, _) => "safe to repeat, sent again",
            });
        }
        match (class.effect, may_have_run) {
            (Effect::Unsafe, Some(first)) if !in_flight => {
                let ago = (call.t - first) / 1000;
                let what = format!(
                    "it was sent again {ago} ms after an attempt that may have run, and is unsafe to repeat"
                );
                found.violation(call.t, Some(&message.id), endpoint, what);
            }
            (Effect::Keyed, Some(first)) if call.t > first + class.window + SOCKET_ALLOWANCE_US => {
                let (ago, window) = ((call.t - first) / 1000, class.window / 1000);
                let what = format!(
                    "it was sent again {ago} ms after an attempt that may have run; its key is remembered for {window} ms"
                );
                found.violation(call.t, Some(&message.id), endpoint, what);
            }
            _ => {}
        }
        if n as u32 == table.parameters.rules.max_attempts {
            let what = format!("attempt {} of {} at most", n + 1, table.parameters.rules.max_attempts);
            found.violation(call.t, Some(&message.id), endpoint, what);
        }
        if outcome != Attempt::NeverRan {
            may_have_run.get_or_insert(call.t);
        }
        if outcome != Attempt::Delivered && class.effect != Effect::Safe {
            found.tested += 1;
        }
        ends.push(known_at);
    }
}

/// Checks that no refused unsafe message may have taken effect: a refusal tells the client that a retry is safe.
fn check_refusals(table: &Table, message: &Message, found: &mut Findings) {
    if !table.is_unsafe(message) {
        return;
    }
    let refused = message.notices.iter().filter(|(_, e)| *e == NoticeState::Returned).map(|(t, _)| *t);
    let busy = message.reply.filter(|(_, a)| *a == PutOutcome::Busy).map(|(t, _)| t);
    let Some(t) = refused.chain(busy).min() else { return };
    let ran = table.attempts(message).find(|(call, _, outcome)| call.t < t && *outcome != Attempt::NeverRan);
    if let Some((call, ..)) = ran {
        let what = "it was refused, which says that trying again is safe, after an attempt that may have run";
        found.violation(t, Some(&message.id), Some(&call.endpoint), what.into());
    }
}

/// Checks how often each message took effect, over all ids with which the client sent the message.
fn check_effects(table: &Table, found: &mut Findings) {
    let mut effects: BTreeMap<&str, Vec<(Micros, &Message)>> = BTreeMap::new();
    for message in &table.messages {
        // A client without a reply sends the message again with a new id, and the old id's outcome does not count.
        if message.unacknowledged() || table.class(message).is_none_or(|c| c.effect == Effect::Safe) {
            continue;
        }
        let runs = message.runs.iter().filter(|(_, dropped)| !dropped).map(|(t, _)| (*t, message));
        effects.entry(&message.origin).or_default().extend(runs);
    }
    for list in effects.values_mut().filter(|l| l.len() > 1) {
        list.sort_by_key(|(t, _)| *t);
        let (t, message) = list[1];
        let first = list[0].0;
        // Repeated deliveries within the key's window don't count: the receiver remembered the key and dropped them.
        let what = format!("it took effect {} times, {} ms apart", list.len(), (t - first) / 1000);
        found.violation(t, Some(&message.id), None, what);
    }
}
