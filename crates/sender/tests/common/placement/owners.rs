//! Who owns what by a member list, as the deciding crate says.

use embershore_placement::{MemberList, Table, shard};
use serde_json::Value;
use std::collections::BTreeSet;

/// The owners of all destinations under one list.
pub struct Owners {
    list: MemberList,
    table: Table,
}

impl Owners {
    /// # Panics
    /// If the list is wrong.
    pub fn of(list: &Value) -> Self {
        let list = MemberList::parse_json(list.to_string().as_bytes()).unwrap();
        let table = Table::build(&list);
        Owners { list, table }
    }

    /// Indices of a destination's owners, in the order in which they are preferred.
    pub fn owners(&self, destination: i64) -> Vec<usize> {
        let seats = self.table.owners(shard(destination)).iter();
        let names = seats.filter_map(|seat| self.list.member(*seat)).map(|member| member.name());
        names.map(|name| name.trim_start_matches('n').parse().unwrap()).collect()
    }

    /// The destinations, of those from 1 on, that a sender owns.
    pub fn destinations_of(&self, sender: usize, count: i64) -> BTreeSet<i64> {
        (1..=count).filter(|destination| self.owners(*destination).contains(&sender)).collect()
    }
}
