//! Measures the placement table of `embershore-placement`: times, size, evenness, and owners that a change moves.

use super::Setup;
use crate::budget::{
    BUSIEST_OWNER, Budget, MOVED_BETWEEN_OTHERS, MOVEMENT, SENDER_MEMORY, SHARDS_WITHOUT_OWNER, TABLE_BUILD,
    TABLE_BYTES, TABLE_CHANGE, TABLE_LOOKUP, ZONE_LOST,
};
use crate::process::resident_bytes;
use crate::report::{Report, Unit};
use crate::simulated_fleet::{filled, first_rack, first_zone, following, list, list_form, seat, vacated};
use crate::spread::{Spread, Times, thread_cpu_time};
use crate::target::{DESTINATIONS, SENDERS};
use anyhow::Result;
use embershore_placement::wire::ListForm;
use embershore_placement::{Change, Changes, MemberList, SHARDS, SeatId, ShardId, Table, shard};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

/// Number of table lookups that are timed together: a single lookup is too short for the clock.
const LOOKUPS_PER_BATCH: usize = 1_000;
/// Number of member lists that are in memory simultaneously when the memory of one list is measured.
const LIST_COPIES: usize = 8;

/// Numbers of shards and destinations that each seat owns.
struct OwnedCounts {
    shards: Vec<u32>,
    destinations: Vec<u32>,
}

fn count_owned(table: &Table, seats: usize, destinations: u64) -> OwnedCounts {
    let mut owned = OwnedCounts { shards: vec![0; seats], destinations: vec![0; seats] };
    for number in 0..SHARDS {
        table.owners(ShardId(number)).iter().for_each(|seat| owned.shards[seat.index()] += 1);
    }
    for destination in 0..destinations {
        let owners = table.owners(shard(destination as i64));
        owners.iter().for_each(|seat| owned.destinations[seat.index()] += 1);
    }
    owned
}

/// Returns the load of the busiest filled seat divided by the mean of its region's filled seats.
/// Of the quotients of all regions, the highest is the result.
fn busiest_by_region(list: &MemberList, counts: &[u32]) -> f64 {
    let mut regions: HashMap<u16, (f64, f64, f64)> = HashMap::new();
    for seat in list.seat_ids().filter(|seat| list.member(*seat).is_some()) {
        let count = f64::from(counts[seat.index()]);
        let (sum, seats, largest) = regions.entry(list.region(seat).0).or_default();
        (*sum, *seats, *largest) = (*sum + count, *seats + 1.0, largest.max(count));
    }
    regions.values().map(|(sum, seats, largest)| largest / (sum / seats)).fold(0.0, f64::max)
}

fn busiest(counts: &[u32]) -> f64 {
    let largest = counts.iter().copied().max().unwrap_or(0);
    f64::from(largest) * counts.len() as f64 / counts.iter().map(|c| f64::from(*c)).sum::<f64>()
}

/// Returns the load of the busiest seat while new owners must wait (the hold), divided by the mean before the change.
/// During the hold, the load of a shard is shared by those of its owners that also owned the shard before.
fn busiest_during_hold(before: &Table, after: &Table, seats: usize) -> f64 {
    let mut load = vec![0.0; seats];
    for number in 0..SHARDS {
        let old = before.owners(ShardId(number));
        let staying: Vec<_> =
            after.owners(ShardId(number)).iter().filter(|seat| old.contains(seat)).collect();
        staying.iter().for_each(|seat| load[seat.index()] += 1.0 / staying.len() as f64);
    }
    load.into_iter().fold(0.0, f64::max) * seats as f64 / f64::from(SHARDS)
}

/// Returns the load of the busiest seat where destinations have random instead of consecutive numbers.
fn busiest_sparse(placement: &Placement, destinations: u64, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = vec![0; placement.list.seat_count()];
    for _ in 0..destinations {
        let owners = placement.table.owners(shard(random.random()));
        owners.iter().for_each(|seat| counts[seat.index()] += 1);
    }
    busiest_by_region(&placement.list, &counts)
}

/// Numbers of owner positions in shards whose seat differs between two placement tables.
#[derive(Default)]
struct Movement {
    /// Number of positions in the table that any seat gained.
    gained: usize,
    /// Number of gained positions that moved neither from nor to the seats that were added or removed.
    between_others: usize,
}

fn find_movement(before: &Table, after: &Table, changed: &[SeatId]) -> Movement {
    let mut movement = Movement::default();
    for number in 0..SHARDS {
        let (old, new) = (before.owners(ShardId(number)), after.owners(ShardId(number)));
        let gained: Vec<&SeatId> = new.iter().filter(|seat| !old.contains(seat)).collect();
        let is_changed = |seat: &&SeatId| changed.contains(seat);
        let to_changed = gained.iter().filter(|seat| is_changed(seat)).count();
        let from_changed = old.iter().filter(|seat| !new.contains(seat)).filter(is_changed).count();
        movement.gained += gained.len();
        movement.between_others += gained.len().saturating_sub(to_changed + from_changed);
    }
    movement
}

/// The member list of one epoch, and the placement table that belongs to the list.
struct Placement {
    list: MemberList,
    table: Table,
}

impl Placement {
    fn changed(&self, changes: &Changes) -> Result<Placement> {
        let list = self.list.apply(changes)?;
        let mut table = self.table.clone();
        table.apply(&list, changes);
        Ok(Placement { list, table })
    }
}

fn build_times(list: &MemberList, repeats: usize) -> Result<Vec<f64>> {
    let time = |_| {
        let started = thread_cpu_time()?;
        black_box(Table::build(list));
        Ok((thread_cpu_time()? - started).as_secs_f64())
    };
    (0..repeats).map(time).collect()
}

/// Measures the processor time to apply a member list change that is given as JSON.
/// Returns the time for the placement table alone, and the total time with decoding the JSON and changing the list.
fn change_times(placement: &Placement, text: &[u8]) -> Result<(f64, f64)> {
    let mut table = placement.table.clone();
    let started = thread_cpu_time()?;
    let changes = Changes::parse_json(text)?;
    let list = placement.list.apply(&changes)?;
    let listed = thread_cpu_time()?;
    table.apply(&list, &changes);
    let ended = thread_cpu_time()?;
    black_box((list, table));
    Ok(((ended - listed).as_secs_f64(), (ended - started).as_secs_f64()))
}

fn lookup_times(table: &Table, seed: u64, batches: usize) -> Result<Spread> {
    let (mut random, mut times) = (ChaCha8Rng::seed_from_u64(seed), Times::new()?);
    for _ in 0..batches {
        let destinations: Vec<i64> =
            (0..LOOKUPS_PER_BATCH).map(|_| random.random_range(0..DESTINATIONS as i64)).collect();
        let started = Instant::now();
        for destination in &destinations {
            black_box(table.owners(shard(*destination)));
        }
        times.record(started.elapsed());
    }
    Ok(times.seconds().scaled(1.0 / LOOKUPS_PER_BATCH as f64))
}

/// Measures the resident bytes that one parsed member list needs.
fn list_memory(text: &[u8]) -> Result<f64> {
    let before = resident_bytes(std::process::id())?;
    let lists = (0..LIST_COPIES).map(|_| MemberList::parse_json(text)).collect::<Result<Vec<_>, _>>()?;
    let growth = resident_bytes(std::process::id())? - before;
    drop(black_box(lists));
    Ok(growth / LIST_COPIES as f64)
}

fn parse_times(text: &[u8], repeats: usize) -> Result<Vec<f64>> {
    let time = |_| {
        let started = Instant::now();
        black_box(MemberList::parse_json(text)?);
        Ok(started.elapsed().as_secs_f64())
    };
    (0..repeats).map(time).collect()
}

fn report_times(report: &mut Report, setup: &Setup, placement: &Placement, form: &ListForm) -> Result<()> {
    let repeats = if setup.small { 3 } else { 15 };
    let text = serde_json::to_vec(form)?;
    let memory = list_memory(&text)?;
    let table_bytes = placement.table.memory_bytes() as f64;
    report.metric("list as JSON", Unit::Bytes, Spread::exact(text.len() as f64));
    report.metric("list in memory", Unit::Bytes, Spread::exact(memory));
    report.bounded_metric("table in memory", Unit::Bytes, Spread::exact(table_bytes), TABLE_BYTES);
    let both = Spread::exact(2.0 * (memory + table_bytes));
    report.bounded_metric("two epochs' lists and tables", Unit::Bytes, both, SENDER_MEMORY);
    report.metric("list read from JSON", Unit::Seconds, Spread::of(&parse_times(&text, repeats)?));
    let builds = build_times(&placement.list, repeats)?;
    report.bounded_metric("table built", Unit::Seconds, Spread::of(&builds), TABLE_BUILD);
    let senders = placement.list.seat_count();
    let events: [(&str, Changes); 3] = [
        ("one member lost", vacated(&placement.list, [senders / 2])),
        ("one seat appended", following(&placement.list, vec![Change::Append(seat(senders))])),
        ("a zone lost", vacated(&placement.list, first_zone(senders))),
    ];
    for (name, changes) in events {
        let text = changes.to_json();
        let (mut table, mut total) = (Vec::new(), Vec::new());
        for _ in 0..repeats {
            let (table_part, all) = change_times(placement, &text)?;
            table.push(table_part);
            total.push(all);
        }
        // The loss of a zone is 1,364 simultaneous changes.
        // The budget of a single change does not apply to the loss of a zone.
        if changes.changes.len() == 1 {
            report.bounded_metric(format!("{name}: table"), Unit::Seconds, Spread::of(&table), TABLE_CHANGE);
        } else {
            report.metric(format!("{name}: table"), Unit::Seconds, Spread::of(&table));
        }
        report.metric(format!("{name}: decoding, list and table"), Unit::Seconds, Spread::of(&total));
    }
    let lookups = lookup_times(&placement.table, setup.seed, if setup.small { 20 } else { 1_000 })?;
    report.bounded_metric("one lookup", Unit::Seconds, lookups, TABLE_LOOKUP);
    Ok(())
}

fn measure_evenness(
    report: &mut Report,
    when: &str,
    placement: &Placement,
    destinations: u64,
    budget: Budget,
) {
    let owned = count_owned(&placement.table, placement.list.seat_count(), destinations);
    let by_shards = busiest_by_region(&placement.list, &owned.shards);
    let by_destinations = busiest_by_region(&placement.list, &owned.destinations);
    report.bounded_metric(
        format!("{when}: busiest by shards"),
        Unit::Ratio,
        Spread::exact(by_shards),
        budget,
    );
    report.bounded_metric(
        format!("{when}: busiest by destinations"),
        Unit::Ratio,
        Spread::exact(by_destinations),
        budget,
    );
    let global = busiest(&owned.destinations);
    report.metric(
        format!("{when}: busiest by destinations, by the mean of all seats"),
        Unit::Ratio,
        Spread::exact(global),
    );
    let orphans = (0..SHARDS).filter(|number| placement.table.owners(ShardId(*number)).is_empty()).count();
    report.bounded_metric(
        format!("{when}: shards without an owner"),
        Unit::Count,
        Spread::exact(orphans as f64),
        SHARDS_WITHOUT_OWNER,
    );
}

/// Removes members and appends seats one at a time, and measures the positions that each change moves.
fn measure_movement(report: &mut Report, setup: &Setup, placement: &Placement) -> Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
    let (senders, samples) = (placement.list.seat_count(), if setup.small { 3 } else { 20 });
    let (mut lost, mut added, mut between) = (Vec::new(), Vec::new(), 0);
    for _ in 0..samples {
        let gone = SeatId(random.random_range(0..senders) as u16);
        let after = placement.changed(&vacated(&placement.list, [gone.index()]))?;
        let share = placement.table.shards_of(gone).count();
        let gone_moved = find_movement(&placement.table, &after.table, &[gone]);
        lost.push(gone_moved.gained as f64 / share as f64);
        let back = after.changed(&filled(&after.list, [gone.index()], 1))?;
        let back_moved = find_movement(&after.table, &back.table, &[gone]);
        between += gone_moved.between_others + back_moved.between_others;
    }
    for extra in 0..samples {
        let number = senders + extra;
        let append = following(&placement.list, vec![Change::Append(seat(number))]);
        let after = placement.changed(&append)?;
        let new = SeatId(senders as u16);
        let share = after.table.shards_of(new).count();
        let new_moved = find_movement(&placement.table, &after.table, &[new]);
        added.push(new_moved.gained as f64 / share as f64);
        between += new_moved.between_others;
    }
    report.bounded_metric("a member lost moves, by its share", Unit::Ratio, Spread::of(&lost), MOVEMENT);
    report.bounded_metric("a seat added moves, by its share", Unit::Ratio, Spread::of(&added), MOVEMENT);
    let between = Spread::exact(between as f64);
    report.bounded_metric("moved between others", Unit::Count, between, MOVED_BETWEEN_OTHERS);
    Ok(())
}

/// Measures how the placement table's times, size, evenness and movement compare with their budgets.
///
/// # Errors
/// Fails if a member list or a change of the list is invalid.
pub fn run(setup: &Setup) -> Result<Report> {
    let senders = if setup.small { 500 } else { SENDERS as usize };
    let destinations = if setup.small { 100_000 } else { DESTINATIONS };
    let mut report = Report::new("placement", setup);
    report.input("members", senders);
    report.input("destinations", format!("{destinations}, numbered from 0"));
    let list = list(senders)?;
    let placement = Placement { table: Table::build(&list), list };
    report_times(&mut report, setup, &placement, &list_form(senders))?;
    measure_evenness(&mut report, "all there", &placement, destinations, BUSIEST_OWNER);
    let sparse = busiest_sparse(&placement, destinations, setup.seed);
    report.metric(
        "all there, numbers at random: busiest by destinations",
        Unit::Ratio,
        Spread::exact(sparse),
    );
    measure_movement(&mut report, setup, &placement)?;
    let rack = placement.changed(&vacated(&placement.list, first_rack(senders)))?;
    measure_evenness(&mut report, "a rack lost", &rack, destinations, ZONE_LOST);
    let zone = placement.changed(&vacated(&placement.list, first_zone(senders)))?;
    measure_evenness(&mut report, "a zone lost", &zone, destinations, ZONE_LOST);
    let during = busiest_during_hold(&placement.table, &zone.table, senders);
    report.metric(
        "a zone lost, while new owners hold back: busiest, by the mean before",
        Unit::Ratio,
        Spread::exact(during),
    );
    Ok(report)
}
