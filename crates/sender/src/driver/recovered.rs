//! Counts the messages that a restart recovers from the journal unattempted.
//! A message counts as unattempted if it had no attempt, or only attempts that certainly had no effect.
//! Each unattempted message must get a call before its deadline.
//! The counts are logged once the last unattempted message has had a call or has ended.

use heronroute::{Micros, MsgId};
use std::collections::BTreeMap;
use std::fmt;

/// The recovered messages that wait for their first call, and counts of the other recovered messages.
/// The journal's size bounds the number of recovered messages.
#[derive(Debug, Default, PartialEq)]
pub(super) struct RecoveredMessages {
    /// The deadline of each waiting message, and the number of its calls begun before this process started.
    waiting: BTreeMap<MsgId, (Micros, u32)>,
    /// Number of recovered messages whose deadline had passed when this process started.
    late: usize,
    /// Number of recovered messages that have had a call since this process started.
    called: usize,
    /// Number of recovered messages that ended at their deadline without a call.
    expired: usize,
    /// Number of recovered messages that ended before their deadline without a call.
    given_up: usize,
}

impl RecoveredMessages {
    /// Adds a message that the journal contains at the start, with the number of the message's calls that had begun.
    pub(super) fn add(&mut self, id: MsgId, deadline: Micros, begun: u32, now: Micros) {
        if deadline > now {
            self.waiting.insert(id, (deadline, begun));
        } else {
            self.late += 1;
        }
    }

    /// Records the total number of calls with a message that have begun.
    /// Returns whether the message was the last one to wait for its first call.
    pub(super) fn record_calls(&mut self, id: MsgId, begun: u32) -> bool {
        let waited = self.waiting.get(&id).is_some_and(|(_, before)| begun > *before);
        if waited {
            self.waiting.remove(&id);
        }
        self.called += usize::from(waited);
        waited && self.waiting.is_empty()
    }

    /// Records that a message has ended. A message that ends within `slack` before its deadline counts as expired.
    /// Returns whether the message was the last one to wait for its first call.
    pub(super) fn record_end(&mut self, id: MsgId, now: Micros, slack: Micros) -> bool {
        let Some((deadline, _)) = self.waiting.remove(&id) else { return false };
        if deadline - now <= slack {
            self.expired += 1
        } else {
            self.given_up += 1
        }
        self.waiting.is_empty()
    }

    /// Whether the restart recovered any message from the journal.
    pub(super) fn any(&self) -> bool {
        *self != RecoveredMessages::default()
    }
}

impl fmt::Display for RecoveredMessages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecoveredMessages { waiting, late, called, expired, given_up } = self;
        let found = waiting.len() + late + called + expired + given_up;
        write!(
            f,
            "recovered unattempted messages: {found} found, {late} past their deadline; {called} attempted, "
        )?;
        write!(f, "{expired} expired, {given_up} ended before their deadline, {} waiting", waiting.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_message_is_counted_once_and_the_last_is_reported() {
        let mut recovered = RecoveredMessages::default();
        assert!(!recovered.any());
        for (id, deadline) in [(1, 5), (2, 100), (3, 100), (4, 100)] {
            recovered.add(MsgId(id), deadline, 2, 10);
        }
        assert!(
            !recovered.record_calls(MsgId(2), 2)
                && recovered.waiting.len() == 3
                && !recovered.record_calls(MsgId(2), 3)
                && !recovered.record_calls(MsgId(2), 4)
                && !recovered.record_end(MsgId(2), 20, 0)
                && !recovered.record_end(MsgId(9), 20, 0)
        );
        assert!(!recovered.record_end(MsgId(3), 95, 5));
        assert!(recovered.record_end(MsgId(4), 94, 5));
        let expected = "recovered unattempted messages: 4 found, 1 past their deadline; 1 attempted, \
                        1 expired, 1 ended before their deadline, 0 waiting";
        assert!(recovered.any() && recovered.to_string() == expected, "{recovered}");
    }
}
