//! Member lists of simulated fleets: real lists and placement tables for senders that do not run.

use crate::target::{REPLICAS, SENDERS_PER_RACK, ZONES_BY_REGION};
use anyhow::Result;
use embershore_placement::wire::{ListForm, MemberForm, RegionForm, SeatForm};
use embershore_placement::{Change, Changes, MemberList, SCHEME, SeatId, Table, shard};

/// Port in the address of every simulated member.
const MEMBER_PORT: u16 = 7001;

/// Returns the region of each zone, and the zone's number in its region.
fn zones() -> Vec<(usize, u32)> {
    let zones = ZONES_BY_REGION.iter().enumerate();
    zones.flat_map(|(region, &count)| (0..count).map(move |zone| (region, zone))).collect()
}

/// Returns the member that fills a seat; `incarnation` is the number of members that the seat had before.
pub fn member(seat: usize, incarnation: usize) -> MemberForm {
    let [_, high, middle, low] = (seat as u32 + 1).to_be_bytes();
    let address = format!("127.{}.{middle}.{low}:{MEMBER_PORT}", usize::from(high) + incarnation);
    MemberForm { name: format!("sender-{seat:05}-{incarnation}"), address }
}

/// Returns the seat with the given number in the simulated fleet.
/// Consecutive seats are in different zones; within a zone, one rack after another is filled.
pub fn seat(number: usize) -> SeatForm {
    let zones = zones();
    let (region, zone) = zones[number % zones.len()];
    let rack = number / zones.len() / SENDERS_PER_RACK as usize;
    SeatForm {
        region: format!("region-{region}"),
        zone: format!("zone-{region}-{zone}"),
        rack: format!("rack-{region}-{zone}-{rack:02}"),
        weight: 1.0,
        member: Some(member(number, 0)),
    }
}

/// Returns the wire form of the member list of a fleet in which every seat is filled.
pub fn list_form(senders: usize) -> ListForm {
    let region =
        |(number, zones): (usize, &u32)| RegionForm { name: format!("region-{number}"), share: *zones };
    ListForm {
        epoch: 1,
        scheme: SCHEME,
        replicas: u64::from(REPLICAS),
        first: true,
        regions: ZONES_BY_REGION.iter().enumerate().map(region).collect(),
        seats: (0..senders).map(seat).collect(),
        wide: Vec::new(),
    }
}

/// Returns the validated member list of a fleet in which every seat is filled.
///
/// # Errors
/// Fails if there are too few senders for all replicas in each region.
pub fn list(senders: usize) -> Result<MemberList> {
    Ok(MemberList::from_form(list_form(senders))?)
}

/// Returns the changes of the member list that vacate `seats`.
pub fn vacated(list: &MemberList, seats: impl IntoIterator<Item = usize>) -> Changes {
    let change = |seat: usize| Change::Vacate { seat: SeatId(seat as u16) };
    following(list, seats.into_iter().map(change).collect())
}

/// Returns the changes of the member list that fill `seats` with members of the given incarnation.
pub fn filled(list: &MemberList, seats: impl IntoIterator<Item = usize>, incarnation: usize) -> Changes {
    let change = |seat: usize| Change::Fill { seat: SeatId(seat as u16), member: member(seat, incarnation) };
    following(list, seats.into_iter().map(change).collect())
}

/// Returns `changes` as an update from the member list's epoch to the next epoch.
pub fn following(list: &MemberList, changes: Vec<Change>) -> Changes {
    Changes { epoch: list.epoch() + 1, since: list.epoch(), changes }
}

/// Returns the seats in the first rack of a fleet of `senders` senders.
pub fn first_rack(senders: usize) -> Vec<usize> {
    let zones = zones().len();
    (0..senders).filter(|seat| seat % zones == 0 && seat / zones < SENDERS_PER_RACK as usize).collect()
}

/// Returns the seats in the first zone of a fleet of `senders` senders.
pub fn first_zone(senders: usize) -> Vec<usize> {
    let zones = zones().len();
    (0..senders).filter(|seat| seat % zones == 0).collect()
}

/// Returns for each seat which of the destinations `0..destinations` its simulated sender owns.
pub fn owned_destinations(table: &Table, seats: usize, destinations: u64) -> Vec<Vec<u32>> {
    let mut owned = vec![Vec::new(); seats];
    for destination in 0..destinations {
        let owners = table.owners(shard(destination as i64));
        owners.iter().for_each(|seat| owned[seat.index()].push(destination as u32));
    }
    owned
}
