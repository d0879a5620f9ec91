//! Owners of destinations under a member list, as the placement crate computes them.

use embershore_placement::{MemberList, Table, shard};
use serde_json::Value;
use std::collections::BTreeSet;

/// The owners of all destinations under one member list.
pub struct Owners {
    list: MemberList,
    table: Table,
}

impl Owners {
    /// Builds the table of owners under a member list.
    ///
    /// # Panics
    /// If the member list is invalid.
    pub fn of(list: &Value) -> Self {
        let list = MemberList::parse_json(list.to_string().as_bytes()).unwrap();
        let table = Table::build(&list);
        Owners { list, table }
    }

    /// Returns the indices of a destination's owners, in order of preference.
    pub fn owners(&self, destination: i64) -> Vec<usize> {
        let seats = self.table.owners(shard(destination)).iter();
        let names = seats.filter_map(|seat| self.list.member(*seat)).map(|member| member.name());
        names.map(|name| name.trim_start_matches('n').parse().unwrap()).collect()
    }

    /// Returns the destinations among `1..=count` that a sender owns.
    pub fn destinations_of(&self, sender: usize, count: i64) -> BTreeSet<i64> {
        (1..=count).filter(|destination| self.owners(*destination).contains(&sender)).collect()
    }
}
