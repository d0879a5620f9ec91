//! The table of one member list: each shard's owners in order.

use std::ops::Range;

use crate::base::{BaseSeat, Domain};
use crate::changes::{Change, Changes};
use crate::hash::Digest;
use crate::list::{MemberList, Region, RegionId, SeatId};
use crate::region::RegionTable;
use crate::shard::{SHARDS, ShardId};

/// The owners of all shards under one member list.
///
/// Some 4 MB at two replicas, whatever the number of members.
#[derive(Clone, Debug)]
pub struct Table {
    regions: Vec<RegionTable>,
    /// Each seat's region and its ordinal there.
    seats: Vec<(RegionId, u16)>,
}

/// What a table has to work out anew in one region.
#[derive(Clone, Debug, Default)]
struct Pending {
    rows: Vec<u32>,
    toggled: Vec<u16>,
}

impl Table {
    /// Builds the table of a list. Depends on nothing but the list: the same on each machine and in each version that
    /// knows the scheme.
    pub fn build(list: &MemberList) -> Self {
        let mut table = Self { regions: empty_regions(list), seats: Vec::with_capacity(list.seat_count()) };
        for seat in list.seat_ids() {
            let (region, ordinal) = table.append(list, seat);
            table.regions[region.index()].set_filled(ordinal, list.member(seat).is_some());
        }
        for region in &mut table.regions {
            region.resolve_all();
        }
        table
    }

    /// Takes over `changes`, which led from this table's list to `next`. Afterwards the table is the same as one built
    /// from `next`.
    pub fn apply(&mut self, next: &MemberList, changes: &Changes) {
        let mut pending = vec![Pending::default(); self.regions.len()];
        for change in &changes.changes {
            match change {
                Change::Append(_) => self.take_appended(next, &mut pending),
                Change::Fill { seat, .. } | Change::Vacate { seat } => {
                    self.take_member(next, *seat, &mut pending)
                }
                Change::Widen(_) => {}
            }
        }
        for (region, pending) in self.regions.iter_mut().zip(&pending) {
            region.update(&pending.rows, &pending.toggled);
        }
    }

    /// A shard's owners in order; empty if its region has no filled seat.
    pub fn owners(&self, shard: ShardId) -> &[SeatId] {
        let position = shard.position();
        let behind = self.regions.partition_point(|region| region.first_position() <= position);
        let Some(region) = behind.checked_sub(1).and_then(|index| self.regions.get(index)) else {
            return &[];
        };
        region.owners(position - region.first_position())
    }

    /// The shards that a seat owns, in no particular order.
    pub fn shards_of(&self, seat: SeatId) -> impl Iterator<Item = ShardId> + '_ {
        let place = self.seats.get(seat.index());
        let region = place.and_then(|(region, _)| self.regions.get(region.index()));
        region.into_iter().flat_map(move |region| region.shards_of(seat))
    }

    /// A digest of all owners, for comparing tables between machines and versions.
    pub fn digest(&self) -> u64 {
        const TABLE: u64 = 0x7461_626c;
        self.regions.iter().fold(Digest::new(TABLE), |digest, region| region.digest(digest)).value()
    }

    /// Memory that the table holds, in bytes.
    pub fn bytes(&self) -> usize {
        let seats = self.seats.capacity() * size_of::<(RegionId, u16)>();
        self.regions.iter().map(RegionTable::bytes).sum::<usize>() + seats
    }

    fn append(&mut self, list: &MemberList, seat: SeatId) -> (RegionId, u16) {
        let region = list.region(seat);
        let table = &mut self.regions[region.index()];
        let ordinal = table.seat_count() as u16;
        let domain = Domain { zone: list.zone(seat).0, rack: list.rack(seat).0 };
        table.append(BaseSeat { id: seat, domain, weight: list.weight(seat).units() });
        self.seats.push((region, ordinal));
        (region, ordinal)
    }

    fn take_appended(&mut self, next: &MemberList, pending: &mut [Pending]) {
        let seat = SeatId(self.seats.len() as u16);
        let (region, _) = self.append(next, seat);
        pending[region.index()].rows.extend(self.regions[region.index()].touched());
        self.take_member(next, seat, pending);
    }

    fn take_member(&mut self, next: &MemberList, seat: SeatId, pending: &mut [Pending]) {
        let (region, ordinal) = self.seats[seat.index()];
        if self.regions[region.index()].set_filled(ordinal, next.member(seat).is_some()) {
            pending[region.index()].toggled.push(ordinal);
        }
    }
}

fn empty_regions(list: &MemberList) -> Vec<RegionTable> {
    let ranges = position_ranges(list.regions());
    ranges.map(|range| RegionTable::new(range.start, range.end - range.start, list.replicas())).collect()
}

/// The ranges of the interleaved order of shards that regions own, by their shares.
fn position_ranges(regions: &[Region]) -> impl Iterator<Item = Range<u32>> + '_ {
    let total: u64 = regions.iter().map(|region| u64::from(region.share())).sum();
    let mut shares = 0;
    let mut start = 0;
    regions.iter().map(move |region| {
        shares += u64::from(region.share());
        let end = (u64::from(SHARDS) * shares / total) as u32;
        let range = start..end;
        start = end;
        range
    })
}
