//! A member list with the table that follows from it, and how one leads to the next.

use std::sync::Arc;

use crate::changes::Changes;
use crate::error::ListError;
use crate::list::{MemberList, SeatId};
use crate::shard::ShardId;
use crate::table::Table;

/// The member list of one epoch with its table.
#[derive(Clone, Debug)]
pub struct Placement {
    list: MemberList,
    table: Arc<Table>,
    /// In models: the only shards that are looked at.
    focus: Option<Arc<[ShardId]>>,
}

impl Placement {
    /// The placement of a list; takes as long as [`Table::build`].
    pub fn build(list: MemberList) -> Self {
        let table = Arc::new(Table::build(&list));
        Placement::from_parts(list, table)
    }

    /// The placement of a list whose table is at hand; a table of another list makes it wrong.
    pub fn from_parts(list: MemberList, table: Arc<Table>) -> Self {
        Placement { list, table, focus: None }
    }

    /// For models of many senders that look at a few shards only: [`Self::shards_of`] leaves out all others, in this placement
    /// and in those that changes lead to.
    #[must_use]
    pub fn restricted_to(mut self, shards: Arc<[ShardId]>) -> Self {
        self.focus = Some(shards);
        self
    }

    /// The placement that changes lead to.
    ///
    /// # Errors
    /// Changes that don't fit the list, see [`MemberList::apply`].
    pub fn apply(&self, changes: &Changes) -> Result<Self, ListError> {
        let list = self.list.apply(changes)?;
        let mut table = Table::clone(&self.table);
        table.apply(&list, changes);
        Ok(Placement { list, table: Arc::new(table), focus: self.focus.clone() })
    }

    /// The member list.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// A shard's owners in the order of the table.
    pub fn owners(&self, shard: ShardId) -> &[SeatId] {
        self.table.owners(shard)
    }

    /// The shards that a seat owns.
    pub fn shards_of(&self, seat: SeatId) -> Vec<ShardId> {
        match &self.focus {
            Some(focus) => {
                focus.iter().copied().filter(|&shard| self.owners(shard).contains(&seat)).collect()
            }
            None => self.table.shards_of(seat).collect(),
        }
    }

    /// The same placement under another number, as a start for changes that are played one by one.
    pub(crate) fn renumbered(&self, epoch: u64) -> Self {
        Placement { list: self.list.successor(epoch), ..self.clone() }
    }
}

/// Where a sender has its placements from: its own, or, with many senders in one process, ones that they share.
pub trait PlacementSource {
    /// The placement of a whole list.
    fn build(&mut self, list: MemberList) -> Arc<Placement>;

    /// The placement that changes lead to.
    ///
    /// # Errors
    /// Changes that don't fit the list.
    fn apply(&mut self, before: &Arc<Placement>, changes: &Changes) -> Result<Arc<Placement>, ListError>;
}

/// Each sender builds its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnsharedPlacements;

impl PlacementSource for UnsharedPlacements {
    fn build(&mut self, list: MemberList) -> Arc<Placement> {
        Arc::new(Placement::build(list))
    }

    fn apply(&mut self, before: &Arc<Placement>, changes: &Changes) -> Result<Arc<Placement>, ListError> {
        before.apply(changes).map(Arc::new)
    }
}
