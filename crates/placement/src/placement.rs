//! A placement: a member list with the table of owners computed from it. Changes to the list give the next placement.

use std::sync::Arc;

use crate::changes::Changes;
use crate::error::ListError;
use crate::list::{MemberList, SeatId};
use crate::shard::ShardId;
use crate::table::Table;

/// The member list of one epoch, and the table of owners computed from it.
#[derive(Clone, Debug)]
pub struct Placement {
    list: MemberList,
    table: Arc<Table>,
    /// The only shards that [`Self::shards_of`] returns, which simulations set; `None` for all shards.
    visible_shards: Option<Arc<[ShardId]>>,
}

impl Placement {
    /// Builds the placement of a member list. Takes as long as [`Table::build`].
    pub fn build(list: MemberList) -> Self {
        let table = Arc::new(Table::build(&list));
        Placement::from_parts(list, table)
    }

    /// Combines a member list with its table. The result is wrong if the table was built from another list.
    pub fn from_parts(list: MemberList, table: Arc<Table>) -> Self {
        Placement { list, table, visible_shards: None }
    }

    /// Restricts [`Self::shards_of`] to the given shards, in this placement and in placements derived from it.
    /// Simulations with many senders use it to examine only a few shards.
    #[must_use]
    pub fn restricted_to(mut self, shards: Arc<[ShardId]>) -> Self {
        self.visible_shards = Some(shards);
        self
    }

    /// Returns the placement that results from applying `changes` to this placement.
    ///
    /// # Errors
    /// Fails if the changes do not apply to the member list, see [`MemberList::apply`].
    pub fn apply(&self, changes: &Changes) -> Result<Self, ListError> {
        let list = self.list.apply(changes)?;
        let mut table = Table::clone(&self.table);
        table.apply(&list, changes);
        Ok(Placement { list, table: Arc::new(table), visible_shards: self.visible_shards.clone() })
    }

    /// Returns the member list of the placement's epoch.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Returns the table of shard owners.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns a shard's owners in the order of the table.
    pub fn owners(&self, shard: ShardId) -> &[SeatId] {
        self.table.owners(shard)
    }

    /// Returns the shards that a seat owns.
    pub fn shards_of(&self, seat: SeatId) -> Vec<ShardId> {
        match &self.visible_shards {
            Some(visible) => {
                visible.iter().copied().filter(|&shard| self.owners(shard).contains(&seat)).collect()
            }
            None => self.table.shards_of(seat).collect(),
        }
    }

    /// Returns a copy of this placement with another epoch, to which changes are then replayed one by one.
    pub(crate) fn with_epoch(&self, epoch: u64) -> Self {
        Placement { list: self.list.successor(epoch), ..self.clone() }
    }
}

/// Provides a sender's placements. Many senders in one process may share placements instead of each computing its own.
pub trait PlacementSource {
    /// Returns the placement of a full member list.
    fn build(&mut self, list: MemberList) -> Arc<Placement>;

    /// Returns the placement that results from applying `changes` to the placement `before`.
    ///
    /// # Errors
    /// Fails if the changes do not apply to the member list of `before`.
    fn apply(&mut self, before: &Arc<Placement>, changes: &Changes) -> Result<Arc<Placement>, ListError>;
}

/// Computes each placement for one sender alone, without sharing.
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
