//! Rule 5: in an ordered class, messages of one key are sent one at a time.
//! Messages of one key are sent in the order in which the sender accepted them.
//! If a receiver may still be processing an attempt, the class's settle time must pass before the key's next message.

use super::{Attempt, CallEnd, Findings, Margin, Message, SOCKET_ALLOWANCE_US, Table};
use crate::span::Micros;
use std::collections::BTreeMap;

/// Returns when a message ended for its sender: when it was delivered or given up.
/// The sender decides on a notice some time before the notice is recorded, which [`SOCKET_ALLOWANCE_US`] covers.
fn ended_at(table: &Table, message: &Message) -> Option<Micros> {
    let notified = message.notices.iter().map(|n| n.0 - SOCKET_ALLOWANCE_US);
    notified.chain(table.delivered(message)).min()
}

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    let mut keys: BTreeMap<(usize, usize, &str), Vec<&Message>> = BTreeMap::new();
    for message in &table.messages {
        let ordered = table.class(message).is_some_and(|c| c.ordered);
        if let Some(order) = message.order.as_deref().filter(|_| ordered && message.accepted().is_some()) {
            keys.entry((message.sender, message.class, order)).or_default().push(message);
        }
    }
    let what = "shortest time from a message's end to the next of its key";
    let mut margin = Margin::lowest(what, "ms", 0.0);
    for list in keys.values() {
        for later in list {
            let Some((first, ..)) = table.attempts(later).next() else { continue };
            // A message counts as earlier only if it was accepted before the client sent the later message.
            // Of two messages that awaited replies simultaneously, the sender may have accepted either one first.
            let earlier = list.iter().filter(|message| message.accepted().is_some_and(|t| t < later.offered));
            let mut tested = false;
            for before in earlier {
                tested = true;
                if let Some(t) = ended_at(table, before) {
                    margin.observe((first.t - t) as f64 / 1000.0, first.t);
                }
                let unfinished = ended_at(table, before).is_none_or(|t| t > first.t);
                if unfinished {
                    let what = format!(
                        "it was sent while {} of the same key, accepted before it, was unfinished",
                        before.id
                    );
                    found.violation(first.t, Some(&later.id), Some(&first.endpoint), what);
                    continue;
                }
                check_settle_time(table, before, later, &mut found);
            }
            found.tested += usize::from(tested);
        }
    }
    found.margin = margin.observed();
    found
}

/// Checks that the settle time passed before the next message of an order key was sent.
/// The check applies if an attempt of the previous message ended by a time-out, reset or cancellation.
fn check_settle_time(table: &Table, before: &Message, later: &Message, found: &mut Findings) {
    let settle = table.class(before).map_or(0, |c| c.order_settle);
    let Some((first, ..)) = table.attempts(later).next() else { return };
    for (call, known_at, outcome) in table.attempts(before) {
        let Some(t) = known_at else { continue };
        let unknown =
            outcome == Attempt::MayHaveRun && matches!(call.end, Some((_, CallEnd::Disconnected(_))));
        if unknown && first.t > t && first.t < t + settle - SOCKET_ALLOWANCE_US {
            let after = (first.t - t) / 1000;
            let what = format!(
                "it was sent {after} ms after an attempt of {} of the same key that may still run; the key rests {} ms",
                before.id,
                settle / 1000
            );
            found.violation(first.t, Some(&later.id), Some(&first.endpoint), what);
        }
    }
}
