//! Messages that a restart recovers from the journal and that were not attempted yet (or by attempts only that surely
//! never ran), and what becomes of them: each is still to get a call while its time lasts. The log tells of them once
//! the last has got one or is over.

use heronroute::{Micros, MsgId};
use std::collections::BTreeMap;
use std::fmt;

/// The messages that wait for their first call since the start, with the end of each one's time and the calls that had
/// begun before; and how many of the others fared how. Bounded by what the journal held.
#[derive(Debug, Default, PartialEq)]
pub(super) struct RecoveredMessages {
    waiting: BTreeMap<MsgId, (Micros, u32)>,
    /// Over before this process began.
    late: usize,
    called: usize,
    /// Over with no call when their time was.
    expired: usize,
    /// Over with no call and with time left.
    given_up: usize,
}

impl RecoveredMessages {
    /// One was found at the start.
    pub(super) fn found(&mut self, id: MsgId, deadline: Micros, begun: u32, now: Micros) {
        if deadline > now {
            self.waiting.insert(id, (deadline, begun));
        } else {
            self.late += 1;
        }
    }

    /// So many calls of a message have begun in all. Whether it was the last that waited for one.
    pub(super) fn call(&mut self, id: MsgId, begun: u32) -> bool {
        let waited = self.waiting.get(&id).is_some_and(|(_, before)| begun > *before);
        if waited {
            self.waiting.remove(&id);
        }
        self.called += usize::from(waited);
        waited && self.waiting.is_empty()
    }

    /// A message is over; `slack` is how long before its time that may be. Whether it was the last that waited.
    pub(super) fn over(&mut self, id: MsgId, now: Micros, slack: Micros) -> bool {
        let Some((deadline, _)) = self.waiting.remove(&id) else { return false };
        if deadline - now <= slack {
            self.expired += 1
        } else {
            self.given_up += 1
        }
        self.waiting.is_empty()
    }

    /// Whether any was found.
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
            "untried since an earlier run: {found} found, {late} of them out of time; {called} called, "
        )?;
        write!(f, "{expired} ended in time with no call, {given_up} given up, {} waiting", waiting.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_one_is_counted_once_and_the_last_is_told() {
        let mut u = RecoveredMessages::default();
        assert!(!u.any());
        for (id, deadline) in [(1, 5), (2, 100), (3, 100), (4, 100)] {
            u.found(MsgId(id), deadline, 2, 10);
        }
        assert!(
            !u.call(MsgId(2), 2)
                && u.waiting.len() == 3
                && !u.call(MsgId(2), 3)
                && !u.call(MsgId(2), 4)
                && !u.over(MsgId(2), 20, 0)
                && !u.over(MsgId(9), 20, 0)
        );
        assert!(!u.over(MsgId(3), 95, 5));
        assert!(u.over(MsgId(4), 94, 5));
        let told = "untried since an earlier run: 4 found, 1 of them out of time; 1 called, \
                    1 ended in time with no call, 1 given up, 0 waiting";
        assert!(u.any() && u.to_string() == told, "{u}");
    }
}
