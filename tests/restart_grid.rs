//! Tests restarts of all senders around the return of a small receiver from an outage.
//! The cases form a grid of outages, numbers of senders, capacities and restart times.
//!
//! Guards against restarted senders that lose the receiver's health.
//! All such senders send their queued messages simultaneously and overload a receiver that has just returned.
//! Most tests check a part of the grid. `the_whole_grid` prints how many runs of the whole grid overload the receiver.

mod common;
#[path = "common/herd.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod model;

use common::*;
use heronroute::*;
use model::{MAX_AWARE_SHARE, OUTAGES, Outage, Overload, Persisted, Results, ReturnCase, small_receiver};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const SENDERS: [u32; 4] = [12, 20, 30, 60];
/// Capacities of the warm receiver, in calls per second.
const CAPACITIES: [f64; 4] = [2.0, 4.0, 10.0, 30.0];
/// Times at which all senders are restarted; the receiver returns at 18 s.
const RESTARTS: [Option<Micros>; 8] = [
    None,
    Some(14 * S),
    Some(17_900 * MS),
    Some(18_100 * MS),
    Some(18_500 * MS),
    Some(19 * S),
    Some(21 * S),
    Some(24 * S),
];
/// Seeds of the simulated runs of the whole grid.
const SEEDS: std::ops::RangeInclusive<u64> = 101..=116;
/// Seeds of the simulated runs in the tests that check a part of the grid.
const TEST_SEEDS: std::ops::RangeInclusive<u64> = 101..=102;

/// A simulated case of the grid, and the results of the simulation.
struct Run {
    case: ReturnCase,
    results: Results,
}

impl Run {
    fn is_overloaded(&self) -> bool {
        breaks_rule(self.results.overload)
    }
    fn is_overloaded_by_wide_bound(&self) -> bool {
        breaks_rule(self.results.overload_by_wide_bound)
    }
}

fn breaks_rule(overload: Option<Overload>) -> bool {
    overload.is_some_and(|overload| overload.aware_share > MAX_AWARE_SHARE)
}

/// Simulates the cases on all cores and returns the results in the order of the cases.
fn run_all(cases: Vec<ReturnCase>) -> Vec<Run> {
    let next = AtomicUsize::new(0);
    let runs: Mutex<Vec<(usize, Results)>> = Mutex::default();
    let work = || {
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(at) else { return };
            let results = case.run();
            runs.lock().unwrap().push((at, results));
        }
    };
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(2, usize::from) {
            scope.spawn(work);
        }
    });
    let mut runs = runs.into_inner().unwrap();
    runs.sort_by_key(|(at, _)| *at);
    cases.into_iter().zip(runs).map(|(case, (_, results))| Run { case, results }).collect()
}

/// Returns a simulation case for every combination of the given outages, senders, capacities, restarts and seeds.
fn grid(
    outages: &[Outage],
    senders: &[u32],
    capacities: &[f64],
    restarts: &[Option<Micros>],
    seeds: impl Iterator<Item = u64> + Clone,
) -> Vec<ReturnCase> {
    let mut cases = Vec::new();
    for outage in outages {
        for n in senders {
            for capacity in capacities {
                for restart_at in restarts {
                    let case = |seed| ReturnCase {
                        seed,
                        restart_at: *restart_at,
                        ..small_receiver(*n, *capacity, *outage)
                    };
                    cases.extend(seeds.clone().map(case));
                }
            }
        }
    }
    cases
}

/// Asserts that no simulated run overloads the receiver by the strict or the wide bound.
fn assert_none_overloaded(cases: Vec<ReturnCase>) {
    let runs = run_all(cases);
    let overloaded: Vec<_> =
        runs.iter().filter(|run| run.is_overloaded() || run.is_overloaded_by_wide_bound()).collect();
    let descriptions: Vec<String> = overloaded.iter().map(|run| describe(run)).collect();
    assert!(
        overloaded.is_empty(),
        "{} of {} runs overload the receiver:\n{}",
        overloaded.len(),
        runs.len(),
        descriptions.join("\n")
    );
}

fn describe(run: &Run) -> String {
    let Run { case, results } = run;
    let overload = results.overload.map(|f| {
        format!("{:.1} calls where {:.1} are allowed, {} us after the return", f.load, f.allowed, f.after)
    });
    format!(
        "{:?}, {} senders, {} calls/s, restart at {:?} us, seed {}: {}",
        case.outage,
        case.senders,
        case.capacity,
        case.restart_at,
        case.seed,
        overload.unwrap_or_default()
    )
}

#[test]
fn without_a_restart() {
    assert_none_overloaded(grid(&OUTAGES, &[20, 60], &[10.0, 30.0], &[None], TEST_SEEDS));
}

#[test]
fn restarted_around_the_return_after_an_outage_with_failed_calls() {
    let outages = [Outage::Shut, Outage::ShutUnlike, Outage::Down, Outage::Failing];
    assert_none_overloaded(grid(&outages, &[12, 60], &[10.0, 30.0], &RESTARTS, TEST_SEEDS));
}

#[test]
fn restarted_around_the_return_after_rejections_without_a_wait() {
    assert_none_overloaded(grid(&[Outage::ShutUntold], &SENDERS, &[10.0, 30.0], &RESTARTS, TEST_SEEDS));
}

#[test]
fn restarted_around_the_return_after_a_silent_outage() {
    assert_none_overloaded(grid(&[Outage::Silent], &SENDERS, &[10.0, 30.0], &RESTARTS, TEST_SEEDS));
}

/// Tests two restarts of all senders, during and after the outage or within one warm-up.
/// Also tests restarts of a tenth of the senders at a time.
#[test]
fn restarted_twice_and_a_tenth_at_a_time() {
    let mut cases = Vec::new();
    for case in grid(&OUTAGES, &[30], &[10.0], &[None], TEST_SEEDS) {
        for (first, second) in [(14 * S, 19 * S), (19 * S, 21 * S), (18_100 * MS, 18_600 * MS)] {
            cases.push(ReturnCase {
                restart_at: Some(first),
                second_restart_at: Some(second),
                ..case.clone()
            });
        }
        for restart_spread in [2 * S, 6 * S] {
            cases.push(ReturnCase { restart_at: Some(17 * S), restart_spread, ..case.clone() });
        }
    }
    assert_none_overloaded(cases);
}

/// Tests a journal of an earlier version, which contains messages and no receiver health.
#[test]
fn restarted_without_persisted_receiver_health() {
    let cases = grid(&OUTAGES, &[12, 30], &[10.0], &RESTARTS[1..], TEST_SEEDS);
    assert_none_overloaded(
        cases.into_iter().map(|case| ReturnCase { persisted: Persisted::Messages, ..case }).collect(),
    );
}

/// Tests the replacement of all senders by new machines with empty state.
/// The new senders have no messages and cannot know of the outage.
/// In their first second, the new senders may send as many calls as their clients offer messages.
/// The bound on the calls in the first second adds three standard deviations over all simulated runs.
#[test]
fn replaced_by_new_machines() {
    let cases = grid(&OUTAGES, &[12, 30], &[10.0], &RESTARTS[3..], TEST_SEEDS);
    let runs =
        run_all(cases.into_iter().map(|case| ReturnCase { persisted: Persisted::Nothing, ..case }).collect());
    let calls: usize = runs.iter().map(|run| run.results.after_restart).sum();
    let offered: f64 = runs.iter().map(|run| run.case.demand).sum();
    assert!(calls as f64 <= offered + 3.0 * offered.sqrt(), "{calls} calls for {offered:.0} messages");
    for run in runs {
        assert!(!run.is_overloaded(), "{}", describe(&run));
    }
}

/// Tests all seeds at the two largest capacities, where chance has little influence, by the strict and the wide bound.
#[test]
fn no_play_of_the_whole_grid_falls_at_ten_calls_a_second_and_more() {
    assert_none_overloaded(grid(&OUTAGES, &SENDERS, &CAPACITIES[2..], &RESTARTS, SEEDS));
}

/// Tests all seeds and capacities by the wide bound, which allows for chance where calls are few.
#[test]
fn no_play_of_the_whole_grid_falls_by_the_wide_bound() {
    let runs = run_all(grid(&OUTAGES, &SENDERS, &CAPACITIES, &RESTARTS, SEEDS));
    let overloaded: Vec<_> =
        runs.iter().filter(|run| run.is_overloaded_by_wide_bound()).map(describe).collect();
    assert!(
        overloaded.is_empty(),
        "{} of {} runs overload the receiver:\n{}",
        overloaded.len(),
        runs.len(),
        overloaded.join("\n")
    );
}

/// Prints the trace of the run that the environment variable `GRID_CASE` names.
/// The variable `GRID_CASE` contains "outage senders capacity restart-in-ms seed".
#[test]
#[ignore = "prints the trace of one run; run it by name with --ignored --nocapture"]
fn print_one_run() {
    let case = std::env::var("GRID_CASE").unwrap_or("ShutUntold 30 10 19000 101".into());
    let words: Vec<&str> = case.split(' ').collect();
    let outage = OUTAGES.into_iter().find(|outage| format!("{outage:?}") == words[0]).unwrap();
    let restart_at = words[3].parse::<Micros>().ok().map(|t| t * MS);
    let seed = words[4].parse().unwrap();
    let case = ReturnCase {
        seed,
        restart_at,
        ..small_receiver(words[1].parse().unwrap(), words[2].parse().unwrap(), outage)
    };
    let results = case.run();
    println!("{}\n{}", results.trace.join("\n"), describe(&Run { case, results: results.clone() }));
}

#[test]
#[ignore = "runs 12,288 cases and prints the table; run it by name with --ignored --nocapture"]
fn the_whole_grid() {
    let runs = run_all(grid(&OUTAGES, &SENDERS, &CAPACITIES, &RESTARTS, SEEDS));
    println!(
        "| outage | runs | overloaded | by the wide bound | worst load / allowed | half s | full s | delivered |"
    );
    for outage in OUTAGES {
        let of_outage: Vec<_> = runs.iter().filter(|run| run.case.outage == outage).collect();
        row(&format!("{outage:?}"), &of_outage);
    }
    println!(
        "| senders | runs | overloaded | by the wide bound | worst load / allowed | half s | full s | delivered |"
    );
    for n in SENDERS {
        row(&format!("{n}"), &runs.iter().filter(|run| run.case.senders == n).collect::<Vec<_>>());
    }
    println!(
        "| capacity | runs | overloaded | by the wide bound | worst load / allowed | half s | full s | delivered |"
    );
    for capacity in CAPACITIES {
        row(
            &format!("{capacity}"),
            &runs.iter().filter(|run| run.case.capacity == capacity).collect::<Vec<_>>(),
        );
    }
    println!(
        "| restart | runs | overloaded | by the wide bound | worst load / allowed | half s | full s | delivered |"
    );
    for restart_at in RESTARTS {
        let name = restart_at.map_or("none".to_string(), |t| format!("{} ms", t / MS));
        row(&name, &runs.iter().filter(|run| run.case.restart_at == restart_at).collect::<Vec<_>>());
    }
    for run in runs
        .iter()
        .filter(|run| run.is_overloaded_by_wide_bound() || (run.is_overloaded() && run.case.capacity >= 10.0))
        .take(60)
    {
        println!("{}", describe(run));
    }
}

/// Prints one row of the results table. The columns `half s` and `full s` are mean times from the receiver's return.
/// `half s` is the time until the receiver is sent 50% of the demand within a second, `full s` until it is sent 90%.
/// A run in which the receiver is never sent 50% or 90% of the demand counts with its whole remaining time.
fn row(name: &str, runs: &[&Run]) {
    let overloaded = runs.iter().filter(|run| run.is_overloaded()).count();
    let wide = runs.iter().filter(|run| run.is_overloaded_by_wide_bound()).count();
    let worst = runs
        .iter()
        .filter(|run| run.is_overloaded())
        .map(|run| run.results.worst_load_ratio)
        .fold(0.0, f64::max);
    let mean = |f: &dyn Fn(&Run) -> f64| runs.iter().map(|run| f(run)).sum::<f64>() / runs.len() as f64;
    let seconds = |t: Option<Micros>, case: &ReturnCase| t.unwrap_or(case.end - case.outage_end) as f64 / 1e6;
    println!(
        "| {name} | {} | {overloaded} | {wide} | {worst:.1} | {:.2} | {:.2} | {:.3} |",
        runs.len(),
        mean(&|run| seconds(run.results.half_traffic_after, &run.case)),
        mean(&|run| seconds(run.results.full_traffic_after, &run.case)),
        mean(&|run| run.results.delivered as f64 / run.results.offered as f64),
    );
}
