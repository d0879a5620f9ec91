//! Checks the bounds of docs/design/placement.md at 15,000 seats and 4.1 million destinations.
//! With `--nocapture` the tests print the measured values.
//! The bounds on durations need a release build and an idle machine; `examples/bounds.rs` checks these bounds.

mod support;

use std::sync::LazyLock;

use embershore_placement::{Change, MemberList, SeatId, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    Evenness, FULL_DESTINATIONS, FULL_SEATS, FULL_ZONES, Moves, SEATS_PER_RACK, applied, destination_loads,
    fleet, full_size, list, refill, seat_form, seats_where, shard_loads, shards, vacate,
};

const MAX_LOAD_TO_MEAN: f64 = 1.15;
const MAX_LOAD_TO_MEAN_AFTER_ZONE_LOSS: f64 = 1.35;
const MAX_MOVES_PER_SHARE: f64 = 1.3;
const MAX_TABLE_BYTES: usize = 8_000_000;
const MAX_BYTES_PER_SECOND: usize = 5_000;

struct Fleet {
    list: MemberList,
    table: Table,
}

static FULL: LazyLock<Fleet> = LazyLock::new(|| {
    let list = full_size();
    Fleet { table: Table::build(&list), list }
});

impl Fleet {
    /// Returns the fleet after changes, and the shards that the changes moved.
    fn changed(&self, entries: Vec<Change>) -> (Self, Moves) {
        let (next, changes) = applied(&self.list, entries);
        let mut table = self.table.clone();
        table.apply(&next, &changes);
        let moves = Moves::between(&self.table, &table);
        (Self { list: next, table }, moves)
    }

    fn evenness(&self, region: Option<&str>) -> Evenness {
        Evenness::of_members(&shard_loads(&self.table, &self.list), &self.list, region)
    }

    /// Returns the mean number of shards that a member owns.
    fn share(&self) -> f64 {
        self.evenness(None).mean
    }

    fn zone(&self, region: &str, zone: &str) -> Vec<SeatId> {
        seats_where(&self.list, |seat| {
            self.list.region_name(seat) == region && self.list.zone_name(seat) == zone
        })
    }

    /// Checks that each shard has all its replicas, on filled seats.
    fn assert_owned(&self) {
        let replicas = self.list.replicas();
        for shard in shards() {
            let owners = self.table.owners(shard);
            assert_eq!(owners.len(), replicas, "{shard:?}");
            assert!(
                owners.iter().all(|&owner| self.list.member(owner).is_some()),
                "{shard:?} has an owner on a vacant seat"
            );
        }
    }
}

#[test]
fn the_load_of_the_busiest_owner_is_within_its_bound() {
    let fleet = &*FULL;
    fleet.assert_owned();
    let by_shards = fleet.evenness(None);
    println!("shards per member: {by_shards}");
    assert!(by_shards.busiest() <= MAX_LOAD_TO_MEAN, "{by_shards}");

    let by = |destinations: &mut dyn Iterator<Item = i64>| {
        let loads = destination_loads(&fleet.table, &fleet.list, destinations);
        Evenness::of_members(&loads, &fleet.list, None)
    };
    let dense = by(&mut (0..FULL_DESTINATIONS));
    println!("destinations per member, numbered densely: {dense}");
    assert!(dense.busiest() <= MAX_LOAD_TO_MEAN, "{dense}");
    println!(
        "destinations per member, every thousandth number: {}",
        by(&mut (0..FULL_DESTINATIONS).map(|n| n * 1000))
    );
    let mut random = ChaCha8Rng::seed_from_u64(1);
    println!(
        "destinations per member, random numbers: {}",
        by(&mut (0..FULL_DESTINATIONS).map(|_| random.random()))
    );
}

#[test]
fn owners_are_in_distinct_zones() {
    let fleet = &*FULL;
    let shared = |shard: &embershore_placement::ShardId| {
        let owners = fleet.table.owners(*shard);
        fleet.list.zone(owners[0]) == fleet.list.zone(owners[1])
    };
    assert_eq!(shards().filter(shared).count(), 0);
}

#[test]
fn one_member_lost_moves_its_share_and_nothing_between_others() {
    let fleet = &*FULL;
    let share = fleet.share();
    let mut max_moves = 0;
    for seat in [0, 1, 4_999, 7_500, 14_999].map(SeatId) {
        let (lost, moves) = fleet.changed(vacate(&[seat]));
        assert!(moves.lost.keys().all(|&loser| loser == seat), "{moves:?}");
        assert!(f64::from(moves.count()) <= MAX_MOVES_PER_SHARE * share, "{}", moves.count());
        max_moves = max_moves.max(moves.count());
        let (_, back) = lost.changed(refill(&fleet.list, &[seat]));
        assert!(back.gained.keys().all(|&gainer| gainer == seat), "{back:?}");
        assert_eq!(back.count(), moves.count());
    }
    println!(
        "one member lost moves at most {max_moves} shards, {:.3} of its share {share:.2}",
        f64::from(max_moves) / share
    );
}

#[test]
fn one_member_added_moves_its_share_and_nothing_between_others() {
    let share = FULL.share();
    for (region, zone) in [(0, 0), (1, 2), (3, 1)] {
        let seat = seat_form(region, zone, 999, Some(FULL_SEATS));
        let added = SeatId(FULL_SEATS as u16);
        let (_, moves) = FULL.changed(vec![Change::Append(seat)]);
        println!(
            "one member added in r{region} moves {} shards, {:.3} of its share",
            moves.count(),
            f64::from(moves.count()) / share
        );
        assert!(moves.gained.keys().all(|&gainer| gainer == added), "{moves:?}");
        assert!(f64::from(moves.count()) <= MAX_MOVES_PER_SHARE * share, "{}", moves.count());
    }
}

#[test]
fn a_rack_lost_moves_its_share_and_its_return_brings_it_back() {
    let fleet = &*FULL;
    let zone = fleet.zone("r1", "z1");
    let rack: Vec<SeatId> = zone.into_iter().filter(|&seat| fleet.list.rack_name(seat) == "k3").collect();
    assert_eq!(rack.len(), SEATS_PER_RACK);
    let (lost, moves) = fleet.changed(vacate(&rack));
    lost.assert_owned();
    let evenness = lost.evenness(None);
    println!(
        "a rack of {SEATS_PER_RACK} lost moves {} shards, {:.3} of its share; then {evenness}",
        moves.count(),
        f64::from(moves.count()) / fleet.share() / SEATS_PER_RACK as f64
    );
    assert!(moves.lost.keys().all(|loser| rack.contains(loser)));
    assert!(f64::from(moves.count()) <= MAX_MOVES_PER_SHARE * fleet.share() * SEATS_PER_RACK as f64);
    let (back, _) = lost.changed(refill(&fleet.list, &rack));
    assert_eq!(back.table.digest(), fleet.table.digest());
}

#[test]
fn a_zone_lost_leaves_each_shard_its_replicas_and_no_member_overloaded() {
    let fleet = &*FULL;
    for (region, zone) in [("r0", "z0"), ("r1", "z2"), ("r3", "z0"), ("r3", "z1")] {
        let seats = fleet.zone(region, zone);
        let entries = vacate(&seats);
        let bytes = support::changes(&fleet.list, entries.clone()).to_json().len();
        let (lost, moves) = fleet.changed(entries);
        lost.assert_owned();
        assert!(moves.lost.keys().all(|loser| seats.contains(loser)));
        assert_eq!(lost.table.digest(), Table::build(&lost.list).digest());
        let of_region = lost.evenness(Some(region));
        let of_all = lost.evenness(None);
        println!(
            "zone {zone} of {region} lost ({} members, {bytes} bytes of changes) moves {} shards; in the region {of_region}; over all members max/mean {:.3}",
            seats.len(),
            moves.count(),
            of_all.busiest()
        );
        assert!(of_region.busiest() <= MAX_LOAD_TO_MEAN_AFTER_ZONE_LOSS, "{of_region}");

        let entries = refill(&fleet.list, &seats);
        let bytes = support::changes(&lost.list, entries.clone()).to_json().len();
        let (back, moves) = lost.changed(entries);
        println!(
            "its return, {bytes} bytes of changes, moves {} shards; {}",
            moves.count(),
            back.evenness(None)
        );
        assert!(moves.gained.keys().all(|gainer| seats.contains(gainer)));
        assert_eq!(back.table.digest(), fleet.table.digest());
    }
}

#[test]
fn shards_are_distributed_by_weight_at_full_size() {
    let mut form = fleet(&FULL_ZONES, FULL_SEATS, SEATS_PER_RACK);
    for (index, seat) in form.seats.iter_mut().enumerate() {
        seat.weight = [0.5, 1.0, 2.0][index / 11 % 3];
    }
    let list = list(form);
    let table = Table::build(&list);
    let loads = shard_loads(&table, &list);
    for weight in [0.5, 1.0, 2.0] {
        let seats = seats_where(&list, |seat| list.weight(seat).as_f64() == weight);
        let evenness = Evenness::of(seats.iter().map(|seat| f64::from(loads[seat.index()])));
        println!("shards per member of weight {weight}: {evenness}");
        assert!(evenness.busiest() <= MAX_LOAD_TO_MEAN, "{evenness}");
    }
}

#[test]
fn table_and_message_sizes_are_within_their_bounds() {
    let list = &FULL.list;
    let lost = support::changes(list, vacate(&[SeatId(14_999)])).to_json().len();
    let (vacant, _) = applied(list, vacate(&[SeatId(14_999)]));
    let filled = support::changes(&vacant, refill(list, &[SeatId(14_999)])).to_json().len();
    let appended =
        support::changes(list, vec![Change::Append(seat_form(3, 1, 99, Some(15_000)))]).to_json().len();
    let full = list.to_json().len();
    println!(
        "bytes sent: one lost {lost}, one filled {filled}, one appended {appended}, the full list {full}"
    );
    println!("table in memory: {} bytes", FULL.table.memory_bytes());
    assert!(FULL.table.memory_bytes() < MAX_TABLE_BYTES);
    // Every change must be in force on all senders within 18 s, even the loss of a zone.
    const SECONDS: usize = 18;
    let zone = support::changes(list, vacate(&FULL.zone("r0", "z0"))).to_json().len();
    println!("a zone lost, sent over {SECONDS} s: {} bytes per second", zone / SECONDS);
    assert!(zone / SECONDS < MAX_BYTES_PER_SECOND);
}
