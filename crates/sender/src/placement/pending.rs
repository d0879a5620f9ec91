//! The destinations for which this sender has open messages, whichever sender owns them now.

use heronroute::MsgId;
use std::collections::HashMap;

/// The open messages and their destinations; bounded by the number of messages that the sender accepts.
#[derive(Debug, Default)]
pub struct PendingMessages {
    destinations: HashMap<MsgId, i64>,
    counts: HashMap<i64, usize>,
}

impl PendingMessages {
    /// Adds an open message and its destination; adding a message twice has no effect.
    pub fn insert(&mut self, id: MsgId, dest: i64) {
        if self.destinations.insert(id, dest).is_none() {
            *self.counts.entry(dest).or_default() += 1;
        }
    }

    /// Removes a message that has ended, if present.
    pub fn remove(&mut self, id: MsgId) {
        let Some(dest) = self.destinations.remove(&id) else { return };
        let Some(count) = self.counts.get_mut(&dest) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&dest);
        }
    }

    /// Whether any open message is for the destination `dest`.
    pub fn contains(&self, dest: i64) -> bool {
        self.counts.contains_key(&dest)
    }

    /// Returns the destinations of all open messages, each destination once.
    pub fn destinations(&self) -> impl Iterator<Item = i64> {
        self.counts.keys().copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_destination_is_retained_until_its_last_message_is_removed() {
        let mut pending = PendingMessages::default();
        pending.insert(MsgId(1), 7);
        pending.insert(MsgId(1), 7);
        pending.insert(MsgId(2), 7);
        pending.remove(MsgId(1));
        pending.remove(MsgId(1));
        assert!(pending.contains(7) && !pending.contains(8));
        pending.remove(MsgId(2));
        assert!(!pending.contains(7));
        assert_eq!(pending.destinations().count(), 0);
    }
}
