//! Tables of owners that all senders of a test share. A table depends only on its member list, so it is built once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use embershore_placement::{Changes, ListError, MemberList, Placement, PlacementSource, ShardId, Table};

/// Tables of owners, by the digests of the member lists that they belong to.
#[derive(Default)]
pub struct SharedTables {
    tables: Mutex<HashMap<u64, Arc<Table>>>,
    /// The only shards that the placements report as owned; `None` for all shards.
    visible_shards: Option<Arc<[ShardId]>>,
}

impl SharedTables {
    /// Creates shared tables whose placements report only the given shards as owned; `None` for all shards.
    pub fn new(visible_shards: Option<Arc<[ShardId]>>) -> Self {
        SharedTables { visible_shards, ..Self::default() }
    }

    /// Returns the table of owners of a member list.
    pub fn table(&self, list: &MemberList) -> Arc<Table> {
        self.get_or_build(list, || Table::build(list))
    }

    fn get_or_build(&self, list: &MemberList, build: impl FnOnce() -> Table) -> Arc<Table> {
        let digest = list.digest();
        let known =
            self.tables.lock().expect("no thread panicked while it held the lock").get(&digest).cloned();
        known.unwrap_or_else(|| {
            let table = Arc::new(build());
            let mut tables = self.tables.lock().expect("no thread panicked while it held the lock");
            tables.entry(digest).or_insert(table).clone()
        })
    }

    fn placement(&self, list: MemberList, table: Arc<Table>) -> Arc<Placement> {
        let placement = Placement::from_parts(list, table);
        Arc::new(match &self.visible_shards {
            Some(visible) => placement.restricted_to(visible.clone()),
            None => placement,
        })
    }
}

impl PlacementSource for &SharedTables {
    fn build(&mut self, list: MemberList) -> Arc<Placement> {
        let table = self.table(&list);
        self.placement(list, table)
    }

    fn apply(&mut self, before: &Arc<Placement>, changes: &Changes) -> Result<Arc<Placement>, ListError> {
        let list = before.list().apply(changes)?;
        let table = self.get_or_build(&list, || {
            let mut table = before.table().clone();
            table.apply(&list, changes);
            table
        });
        Ok(self.placement(list, table))
    }
}
