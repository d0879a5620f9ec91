//! Fleets and load statistics for the tests and examples of placement.
#![allow(dead_code, reason = "each program uses only a part")]

use std::collections::BTreeMap;

use embershore_placement::wire::{ListForm, MemberForm, RegionForm, SeatForm};
use embershore_placement::{Change, Changes, MemberList, SHARDS, SeatId, ShardId, Table, shard};

/// Number of seats in each rack of a test fleet.
pub const SEATS_PER_RACK: usize = 40;

/// Number of zones of each region at full size.
pub const FULL_ZONES: [usize; 4] = [3, 3, 3, 2];

/// Number of seats at full size.
pub const FULL_SEATS: usize = 15_000;

/// Number of destinations at full size.
pub const FULL_DESTINATIONS: i64 = 4_100_000;

/// Returns a fleet of `seats` seats. `zones` is the number of zones of each region.
/// Seats are assigned to the zones in turn, and within a zone to one rack after another.
pub fn fleet(zones: &[usize], seats: usize, rack: usize) -> ListForm {
    let all_zones: Vec<(usize, usize)> = zones_in_turn(zones);
    let mut counts = vec![0; all_zones.len()];
    let seat_forms = (0..seats).map(|index| {
        let zone = index % all_zones.len();
        counts[zone] += 1;
        let (region, zone_number) = all_zones[zone];
        seat_form(region, zone_number, (counts[zone] - 1) / rack, Some(index))
    });
    ListForm {
        epoch: 1,
        scheme: 1,
        replicas: 2,
        first: false,
        regions: (0..zones.len()).map(|region| region_form(region, zones[region] as u32)).collect(),
        seats: seat_forms.collect(),
        wide: Vec::new(),
    }
}

/// Returns the member list of a fleet of full size, [`FULL_SEATS`] seats.
pub fn full_size() -> MemberList {
    list(fleet(&FULL_ZONES, FULL_SEATS, SEATS_PER_RACK))
}

/// Validates a member list; panics if the list is invalid.
pub fn list(form: ListForm) -> MemberList {
    MemberList::from_form(form).expect("the list is valid")
}

fn zones_in_turn(zones: &[usize]) -> Vec<(usize, usize)> {
    let max_zones = zones.iter().copied().max().unwrap_or(0);
    let rounds = (0..max_zones).flat_map(|zone| (0..zones.len()).map(move |region| (region, zone)));
    rounds.filter(|&(region, zone)| zone < zones[region]).collect()
}

fn region_form(region: usize, share: u32) -> RegionForm {
    RegionForm { name: format!("r{region}"), share }
}

/// Returns a seat of a member list. `member` is the number of the member that fills the seat.
pub fn seat_form(region: usize, zone: usize, rack: usize, member: Option<usize>) -> SeatForm {
    SeatForm {
        region: format!("r{region}"),
        zone: format!("z{zone}"),
        rack: format!("k{rack}"),
        weight: 1.0,
        member: member.map(member_form),
    }
}

/// Returns the member with a number. The number determines the member's name and address.
pub fn member_form(number: usize) -> MemberForm {
    let address = format!("127.{}.{}.{}:7001", number >> 16, (number >> 8) & 255, number & 255);
    MemberForm { name: format!("sender-{number:05}"), address }
}

/// Returns the seats for which `chosen` returns true.
pub fn seats_where(list: &MemberList, chosen: impl Fn(SeatId) -> bool) -> Vec<SeatId> {
    list.seat_ids().filter(|&seat| chosen(seat)).collect()
}

/// Returns changes from a member list to the next epoch.
pub fn changes(list: &MemberList, changes: Vec<Change>) -> Changes {
    Changes { epoch: list.epoch() + 1, since: list.epoch(), changes }
}

/// Applies changes to a member list. Returns the resulting list and the changes.
pub fn applied(list: &MemberList, entries: Vec<Change>) -> (MemberList, Changes) {
    let changes = changes(list, entries);
    (list.apply(&changes).expect("the changes apply to the list"), changes)
}

/// Returns changes that vacate seats.
pub fn vacate(seats: &[SeatId]) -> Vec<Change> {
    seats.iter().map(|&seat| Change::Vacate { seat }).collect()
}

/// Returns changes that fill seats with the same members as in `list`.
pub fn refill(list: &MemberList, seats: &[SeatId]) -> Vec<Change> {
    let member = |seat| list.member(seat).expect("the seat is filled in the list");
    seats.iter().map(|&seat| Change::Fill { seat, member: member(seat).into() }).collect()
}

/// Returns all shards.
pub fn shards() -> impl Iterator<Item = ShardId> {
    (0..SHARDS).map(ShardId)
}

/// The shards that one change moved.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Moves {
    /// Number of shards that each seat gained by the change.
    pub gained: BTreeMap<SeatId, u32>,
    /// Number of shards that each seat lost by the change.
    pub lost: BTreeMap<SeatId, u32>,
}

impl Moves {
    pub fn between(before: &Table, after: &Table) -> Self {
        let mut moves = Self::default();
        for shard in shards() {
            let (old, new) = (before.owners(shard), after.owners(shard));
            for seat in new.iter().filter(|seat| !old.contains(seat)) {
                *moves.gained.entry(*seat).or_default() += 1;
            }
            for seat in old.iter().filter(|seat| !new.contains(seat)) {
                *moves.lost.entry(*seat).or_default() += 1;
            }
        }
        moves
    }

    pub fn count(&self) -> u32 {
        self.gained.values().sum()
    }
}

/// Returns the number of shards that each seat owns.
pub fn shard_loads(table: &Table, list: &MemberList) -> Vec<u32> {
    let mut loads = vec![0; list.seat_count()];
    for owner in shards().flat_map(|shard| table.owners(shard)) {
        loads[owner.index()] += 1;
    }
    loads
}

/// Returns the number of destinations that each seat owns.
pub fn destination_loads(
    table: &Table,
    list: &MemberList,
    destinations: impl Iterator<Item = i64>,
) -> Vec<u32> {
    let mut loads = vec![0; list.seat_count()];
    for owner in destinations.flat_map(|dest| table.owners(shard(dest))) {
        loads[owner.index()] += 1;
    }
    loads
}

/// Mean, minimum and maximum of the loads of a set of seats.
#[derive(Clone, Copy, Debug)]
pub struct Evenness {
    pub mean: f64,
    pub min: f64,
    pub max: f64,
}

impl Evenness {
    pub fn of(loads: impl IntoIterator<Item = f64>) -> Self {
        let loads: Vec<f64> = loads.into_iter().collect();
        Self {
            mean: loads.iter().sum::<f64>() / loads.len() as f64,
            min: loads.iter().copied().fold(f64::INFINITY, f64::min),
            max: loads.iter().copied().fold(0.0, f64::max),
        }
    }

    /// Returns the load statistics over the filled seats of a region, or of all regions.
    pub fn of_members(loads: &[u32], list: &MemberList, region: Option<&str>) -> Self {
        let members = list.seat_ids().filter(|&seat| list.member(seat).is_some());
        let chosen = members.filter(|&seat| region.is_none_or(|region| list.region_name(seat) == region));
        Self::of(chosen.map(|seat| f64::from(loads[seat.index()])))
    }

    /// Returns the maximum load of a seat relative to the mean load.
    pub fn busiest(&self) -> f64 {
        self.max / self.mean
    }
}

impl std::fmt::Display for Evenness {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mean, min, max) = (self.mean, self.min, self.max);
        write!(formatter, "mean {mean:.2}, min {min}, max {max}, max/mean {:.3}", self.busiest())
    }
}
