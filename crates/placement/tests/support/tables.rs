//! Tables that all senders of a test share, each made once: they follow from the list alone.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use embershore_placement::{Changes, ListError, MemberList, Placement, PlacementSource, ShardId, Table};

/// Tables by the digests of their lists.
#[derive(Default)]
pub struct SharedTables {
    tables: Mutex<HashMap<u64, Arc<Table>>>,
    /// The shards that are looked at, if not all.
    focus: Option<Arc<[ShardId]>>,
}

impl SharedTables {
    /// Tables of which only these shards are looked at; none means all.
    pub fn new(focus: Option<Arc<[ShardId]>>) -> Self {
        SharedTables { focus, ..Self::default() }
    }

    /// The table of a list.
    pub fn table(&self, list: &MemberList) -> Arc<Table> {
        self.made_once(list, || Table::build(list))
    }

    fn made_once(&self, list: &MemberList, make: impl FnOnce() -> Table) -> Arc<Table> {
        let digest = list.digest();
        let known = self.tables.lock().expect("nobody fails while it is locked").get(&digest).cloned();
        known.unwrap_or_else(|| {
            let table = Arc::new(make());
            let mut tables = self.tables.lock().expect("nobody fails while it is locked");
            tables.entry(digest).or_insert(table).clone()
        })
    }

    fn placement(&self, list: MemberList, table: Arc<Table>) -> Arc<Placement> {
        let placement = Placement::from_parts(list, table);
        Arc::new(match &self.focus {
            Some(focus) => placement.restricted_to(focus.clone()),
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
        let table = self.made_once(&list, || {
            let mut table = before.table().clone();
            table.apply(&list, changes);
            table
        });
        Ok(self.placement(list, table))
    }
}
