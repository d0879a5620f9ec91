//! The table of one member list, which gives each shard's owners in order.

use std::ops::Range;

use crate::base::BaseSeat;
use crate::changes::{Change, Changes};
use crate::conflicts::Domain;
use crate::hash::Digest;
use crate::list::{MemberList, Region, RegionId, SeatId};
use crate::region::RegionTable;
use crate::shard::{SHARDS, ShardId};

/// The owners of all shards under one member list. The table takes about 4 MB at two replicas, however many members.
#[derive(Clone, Debug)]
pub struct Table {
    regions: Vec<RegionTable>,
    /// For each seat, its region and its ordinal among the region's seats.
    seats: Vec<(RegionId, u16)>,
}

/// The rows of one region whose owners must be resolved again, and the seats that were filled or vacated.
#[derive(Clone, Debug, Default)]
struct Pending {
    rows: Vec<u32>,
    toggled: Vec<u16>,
}

impl Table {
    /// Builds the table of a member list. The table depends on nothing but the list.
    /// The table of owners is identical on each machine and in each version that supports the scheme.
    pub fn build(list: &MemberList) -> Self {
        let mut regions = empty_regions(list);
        // Builds one region after another, because the rows of a single region fit into a processor's cache.
        for (region, number) in regions.iter_mut().zip(0..) {
            for seat in list.seat_ids().filter(|&seat| list.region(seat) == RegionId(number)) {
                append(region, list, seat);
            }
            region.resolve_all();
        }
        Self { seats: seat_locations(list, regions.len()), regions }
    }

    /// Applies `changes`, which lead from this table's member list to `next`.
    /// The updated table is the same as a table built from the member list `next`.
    pub fn apply(&mut self, next: &MemberList, changes: &Changes) {
        let mut pending = vec![Pending::default(); self.regions.len()];
        for change in &changes.changes {
            match change {
                Change::Append(_) => self.apply_append(next, &mut pending),
                Change::Fill { seat, .. } | Change::Vacate { seat } => {
                    self.apply_member_change(next, *seat, &mut pending)
                }
                Change::SetWidth(_) => {}
            }
        }
        for (region, pending) in self.regions.iter_mut().zip(&pending) {
            region.update(&pending.rows, &pending.toggled);
        }
    }

    /// Returns a shard's owners in order; empty if its region has no filled seat.
    pub fn owners(&self, shard: ShardId) -> &[SeatId] {
        let position = shard.position();
        let next_region = self.regions.partition_point(|region| region.first_position() <= position);
        let Some(region) = next_region.checked_sub(1).and_then(|index| self.regions.get(index)) else {
            return &[];
        };
        region.owners(position - region.first_position())
    }

    /// Returns the shards that a seat owns, in no particular order.
    pub fn shards_of(&self, seat: SeatId) -> impl Iterator<Item = ShardId> + '_ {
        let location = self.seats.get(seat.index());
        let region = location.and_then(|(region, _)| self.regions.get(region.index()));
        region.into_iter().flat_map(move |region| region.shards_of(seat))
    }

    /// Returns a digest of all owners, for comparing tables between machines and versions.
    pub fn digest(&self) -> u64 {
        const TABLE: u64 = 0x7461_626c;
        self.regions.iter().fold(Digest::new(TABLE), |digest, region| region.digest(digest)).value()
    }

    /// Returns the size of the table in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let seats = self.seats.capacity() * size_of::<(RegionId, u16)>();
        self.regions.iter().map(RegionTable::bytes).sum::<usize>() + seats
    }

    fn apply_append(&mut self, next: &MemberList, pending: &mut [Pending]) {
        let seat = SeatId(self.seats.len() as u16);
        let region = next.region(seat);
        let (table, pending) = (&mut self.regions[region.index()], &mut pending[region.index()]);
        let ordinal = append(table, next, seat);
        self.seats.push((region, ordinal));
        pending.rows.extend(table.changed_rows());
        pending.toggled.push(ordinal);
    }

    fn apply_member_change(&mut self, next: &MemberList, seat: SeatId, pending: &mut [Pending]) {
        let (region, ordinal) = self.seats[seat.index()];
        if self.regions[region.index()].set_filled(ordinal, next.member(seat).is_some()) {
            pending[region.index()].toggled.push(ordinal);
        }
    }
}

/// Appends a seat of a member list to its region. Returns the seat's ordinal within the region.
fn append(region: &mut RegionTable, list: &MemberList, seat: SeatId) -> u16 {
    let ordinal = region.seat_count() as u16;
    let domain = Domain::new(list.zone(seat), list.rack(seat));
    region.append(BaseSeat { id: seat, domain, weight: list.weight(seat).units() });
    region.set_filled(ordinal, list.member(seat).is_some());
    ordinal
}

/// Returns for each seat its region and its ordinal among the region's seats.
fn seat_locations(list: &MemberList, regions: usize) -> Vec<(RegionId, u16)> {
    let mut counts = vec![0; regions];
    let location = |seat| {
        let region = list.region(seat);
        let ordinal = counts[region.index()];
        counts[region.index()] += 1;
        (region, ordinal)
    };
    list.seat_ids().map(location).collect()
}

fn empty_regions(list: &MemberList) -> Vec<RegionTable> {
    let ranges = position_ranges(list.regions());
    ranges.map(|range| RegionTable::new(range.start, range.end - range.start, list.replicas())).collect()
}

/// Returns the ranges of the interleaved order of shards that the regions own, in proportion to their shares.
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
