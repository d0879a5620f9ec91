//! Rule 5: within a class that keeps order, messages sharing a key go singly and in the order in which the sender
//! accepted them; after an attempt that may still run, the key rests a while.

use super::{Attempt, CallEnd, Findings, Margin, Message, SOCKET_ALLOWANCE_US, Table};
use crate::span::Micros;
use std::collections::BTreeMap;

/// When a message was over for its sender: delivered, or ended. A notice is seen some time after the sender decided
/// on it, which [`SOCKET_ALLOWANCE_US`] covers.
fn over(table: &Table, m: &Message) -> Option<Micros> {
    let told = m.notices.iter().map(|n| n.0 - SOCKET_ALLOWANCE_US);
    told.chain(table.delivered(m)).min()
}

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    let mut keys: BTreeMap<(usize, usize, &str), Vec<&Message>> = BTreeMap::new();
    for m in &table.messages {
        let ordered = table.class(m).is_some_and(|c| c.ordered);
        if let Some(order) = m.order.as_deref().filter(|_| ordered && m.accepted().is_some()) {
            keys.entry((m.sender, m.class, order)).or_default().push(m);
        }
    }
    let what = "shortest time from a message's end to the next of its key";
    let mut margin = Margin::lowest(what, "ms", 0.0);
    for list in keys.values() {
        for later in list {
            let Some((first, ..)) = table.attempts(later).next() else { continue };
            // Only those come before it which had been accepted when it was handed in: of two that cross, either may
            // have been accepted first.
            let earlier = list.iter().filter(|m| m.accepted().is_some_and(|t| t < later.offered));
            let mut tested = false;
            for before in earlier {
                tested = true;
                if let Some(t) = over(table, before) {
                    margin.observe((first.t - t) as f64 / 1000.0, first.t);
                }
                let unfinished = over(table, before).is_none_or(|t| t > first.t);
                if unfinished {
                    let what = format!(
                        "it was sent while {} of the same key, accepted before it, was unfinished",
                        before.id
                    );
                    found.violation(first.t, Some(&later.id), Some(&first.endpoint), what);
                    continue;
                }
                rest(table, before, later, &mut found);
            }
            found.tested += usize::from(tested);
        }
    }
    found.margin = margin.observed();
    found
}

/// After a time-out, reset or cancel the key rests.
fn rest(table: &Table, before: &Message, later: &Message, found: &mut Findings) {
    let settle = table.class(before).map_or(0, |c| c.order_settle);
    let Some((first, ..)) = table.attempts(later).next() else { return };
    for (call, known, outcome) in table.attempts(before) {
        let Some(t) = known else { continue };
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
