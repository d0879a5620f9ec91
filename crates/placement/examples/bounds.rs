//! Compares the times of placement operations at 15,000 seats with their budgets. Exits with 1 if a budget is exceeded.
//!
//! Usage: `cargo run --release -p embershore-placement --example bounds`, on an otherwise idle machine.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use embershore_placement::{Change, SeatId, Table, shard};
use support::{FULL_DESTINATIONS, FULL_SEATS, applied, full_size, seat_form, seats_where, vacate};

const ROUNDS: u32 = 5;

/// The measured times of an operation and their budget. Times without a budget are printed for information only.
struct Measurement {
    name: &'static str,
    best: Duration,
    worst: Duration,
    budget: Option<Duration>,
}

/// Runs `work` [`ROUNDS`] times and returns the best and the worst of the times that `work` returned.
fn measured(name: &'static str, budget: Option<Duration>, mut work: impl FnMut() -> Duration) -> Measurement {
    let times: Vec<Duration> = (0..ROUNDS).map(|_| work()).collect();
    let best = times.iter().copied().min().unwrap_or_default();
    Measurement { name, best, worst: times.into_iter().max().unwrap_or_default(), budget }
}

/// Runs `work` and returns how long it took.
fn timed<T>(work: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    black_box(work());
    start.elapsed()
}

fn main() -> ExitCode {
    let list = full_size();
    let table = Table::build(&list);
    let change = |entries: &[Change]| {
        let (next, changes) = applied(&list, entries.to_vec());
        let mut table = table.clone();
        let list_time = timed(|| list.apply(&changes));
        list_time + timed(|| table.apply(&next, &changes))
    };
    let milliseconds = |count| Some(Duration::from_millis(count));
    let lost = vacate(&[SeatId(7_000)]);
    let added = [Change::Append(seat_form(1, 1, 999, Some(FULL_SEATS)))];
    let zone =
        vacate(&seats_where(&list, |seat| list.region_name(seat) == "r0" && list.zone_name(seat) == "z0"));
    let json = list.to_json();
    let measurements = [
        measured("full table built", milliseconds(1_000), || timed(|| Table::build(&list))),
        measured("one member lost, list and table", milliseconds(5), || change(&lost)),
        measured("one member added, list and table", milliseconds(5), || change(&added)),
        measured("a zone of 1,364 lost in one change", None, || change(&zone)),
        measured("lookup of a destination's owners", Some(Duration::from_micros(1)), || lookup(&table)),
        measured("full list from JSON", None, || {
            timed(|| embershore_placement::MemberList::parse_json(&json))
        }),
    ];
    for measurement in &measurements {
        let budget = measurement.budget.map_or("none".to_owned(), |budget| format!("{budget:?}"));
        println!(
            "{}: best {:?}, worst {:?} of {ROUNDS}; budget {budget}",
            measurement.name, measurement.best, measurement.worst
        );
    }
    println!("table: {} bytes; budget 8000000", table.memory_bytes());
    let exceeded = measurements
        .iter()
        .find(|measurement| measurement.budget.is_some_and(|budget| measurement.best > budget));
    match exceeded {
        Some(measurement) => {
            println!("BROKEN: budget of {}", measurement.name);
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}

/// Returns the mean time of one lookup over all destinations.
fn lookup(table: &Table) -> Duration {
    let all = timed(|| (0..FULL_DESTINATIONS).map(|dest| table.owners(shard(dest)).len()).sum::<usize>());
    all / FULL_DESTINATIONS as u32
}
