//! Fleets for tests and measurements of placement.
#![allow(dead_code, reason = "each program uses a part")]

use embershore_placement::wire::{ListForm, MemberForm, RegionForm, SeatForm};
use embershore_placement::{MemberList, SeatId};

/// Seats of a rack.
pub const RACK: usize = 40;

/// Zones of each region at full size.
pub const FULL_ZONES: [usize; 4] = [3, 3, 3, 2];

/// Seats at full size.
pub const FULL_SEATS: usize = 15_000;

/// Destinations at full size.
pub const FULL_DESTINATIONS: i64 = 4_100_000;

/// A fleet of `seats` seats over regions with so many zones each, zone after zone in turn, racks filled one after another.
pub fn fleet(zones: &[usize], seats: usize, rack: usize) -> ListForm {
    let all: Vec<(usize, usize)> = zones_in_turn(zones);
    let mut counts = vec![0; all.len()];
    let seat_forms = (0..seats).map(|index| {
        let zone = index % all.len();
        counts[zone] += 1;
        let (region, zone_number) = all[zone];
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

/// The fleet of full size, checked.
pub fn full_size() -> MemberList {
    list(fleet(&FULL_ZONES, FULL_SEATS, RACK))
}

/// A checked list.
pub fn list(form: ListForm) -> MemberList {
    MemberList::from_form(form).expect("a list that holds")
}

fn zones_in_turn(zones: &[usize]) -> Vec<(usize, usize)> {
    let most = zones.iter().copied().max().unwrap_or(0);
    let rounds = (0..most).flat_map(|zone| (0..zones.len()).map(move |region| (region, zone)));
    rounds.filter(|&(region, zone)| zone < zones[region]).collect()
}

fn region_form(region: usize, share: u32) -> RegionForm {
    RegionForm { name: format!("r{region}"), share }
}

/// A seat; `member` is the number of the member that fills it.
pub fn seat_form(region: usize, zone: usize, rack: usize, member: Option<usize>) -> SeatForm {
    SeatForm {
        region: format!("r{region}"),
        zone: format!("z{zone}"),
        rack: format!("k{rack}"),
        weight: 1.0,
        member: member.map(member_form),
    }
}

/// The member of a number, with a name and address of its own.
pub fn member_form(number: usize) -> MemberForm {
    let address = format!("127.{}.{}.{}:7001", number >> 16, (number >> 8) & 255, number & 255);
    MemberForm { name: format!("sender-{number:05}"), address }
}

/// The seats for which `chosen` holds.
pub fn seats_where(list: &MemberList, chosen: impl Fn(SeatId) -> bool) -> Vec<SeatId> {
    list.seat_ids().filter(|&seat| chosen(seat)).collect()
}
