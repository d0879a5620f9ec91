//! Changes from one epoch's member list to a later one's.

use crate::error::ListError;
use crate::list::{MAX_WIDTH, MemberList, SeatId};
use crate::wire::{MemberForm, SeatForm, WideForm};

/// Changes from one epoch to a later one, not yet checked against a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Epoch that the changes lead to.
    pub epoch: u64,
    /// Epoch that they begin at.
    pub since: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member is gone.
    Vacate {
        /// Its seat, which stays.
        seat: SeatId,
    },
    /// A member takes a vacant seat.
    Fill {
        /// The seat.
        seat: SeatId,
        /// Who takes it.
        member: MemberForm,
    },
    /// A seat is added behind the last one.
    Append(SeatForm),
    /// A destination's width changes; 1 makes it plain.
    SetWidth(WideForm),
}

impl MemberList {
    /// The list that `changes` lead to. This one stays as it is.
    ///
    /// # Errors
    /// Changes that begin at another epoch or don't raise it, and each change that doesn't fit the list as the changes
    /// before it left it; fewer members than replicas in a region at the end.
    pub fn apply(&self, changes: &Changes) -> Result<Self, ListError> {
        self.check_epochs(changes)?;
        let mut next = self.successor(changes.epoch);
        for change in &changes.changes {
            next.apply_one(change)?;
        }
        next.check_members()?;
        Ok(next)
    }

    fn check_epochs(&self, changes: &Changes) -> Result<(), ListError> {
        let (epoch, since) = (changes.epoch, changes.since);
        if since != self.epoch() {
            return Err(ListError::SinceMismatch { current: self.epoch(), since });
        }
        if epoch <= since {
            return Err(ListError::EpochNotRaised { since, epoch });
        }
        Ok(())
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), ListError> {
        match change {
            Change::Vacate { seat } => self.vacate(*seat),
            Change::Fill { seat, member } => self.fill(*seat, member),
            Change::Append(seat) => self.append(seat),
            Change::SetWidth(wide) => self.set_checked_width(*wide),
        }
    }

    fn set_checked_width(&mut self, wide: WideForm) -> Result<(), ListError> {
        match u16::try_from(wide.width) {
            Ok(width @ 1..=MAX_WIDTH) => self.set_width(wide.dest, width),
            _ => Err(ListError::Width { dest: wide.dest, width: wide.width, max: MAX_WIDTH }),
        }
    }
}
