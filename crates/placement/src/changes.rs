//! Changes from one epoch's member list to a later one's.

use crate::error::ListError;
use crate::list::{MAX_WIDTH, MemberList, SeatId};
use crate::wire::{MemberForm, SeatForm, WideForm};

/// Changes from one epoch to a later one, not yet validated against a member list.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Epoch that the changes lead to.
    pub epoch: u64,
    /// Epoch of the member list that the changes apply to.
    pub since: u64,
    /// Changes to the member list, in the order in which they are applied.
    pub changes: Vec<Change>,
}

/// One change to a member list, of a seat or of a wide destination.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member leaves its seat, which becomes vacant.
    Vacate {
        /// The seat that the member leaves. The seat itself stays in the member list.
        seat: SeatId,
    },
    /// A member takes a vacant seat.
    Fill {
        /// The vacant seat that the member takes.
        seat: SeatId,
        /// The member that takes the vacant seat.
        member: MemberForm,
    },
    /// A seat is appended to the member list.
    Append(SeatForm),
    /// A destination's width changes. With width 1 the destination is no longer wide.
    SetWidth(WideForm),
}

impl MemberList {
    /// Applies `changes` to a copy of this member list and returns the copy.
    ///
    /// # Errors
    /// Fails if the changes do not begin at this member list's epoch, or do not lead to a later epoch.
    /// Fails if one of the changes can't be applied after the changes before it.
    /// Fails if the changes leave a region with fewer members than each shard has replicas.
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
