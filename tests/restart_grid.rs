//! Restarts of all senders round the return of a small receiver, over a grid of outages, numbers of senders, rates and
//! moments.
//!
//! A sender that is restarted has to know what it knew before. Where it does not, all senders send what they hold at
//! once, and a receiver that has just come back is pushed over. `the_whole_grid` prints how many plays of each outage
//! fall; a part of the grid is checked in each run of the tests.

mod common;
#[path = "common/herd.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod world;

use common::*;
use heronroute::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use world::{Fall, Kept, OUTAGES, Out, Return, Seen, TOLD_MOST, small};

const SENDERS: [u32; 4] = [12, 20, 30, 60];
/// Calls a second that the receiver handles warm.
const CAPACITIES: [f64; 4] = [2.0, 4.0, 10.0, 30.0];
/// The receiver returns at 18 s.
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
/// The seeds of the whole grid, and of the part that runs with the tests.
const SEEDS: std::ops::RangeInclusive<u64> = 101..=116;
const SEEDS_OF_A_PART: std::ops::RangeInclusive<u64> = 101..=102;

/// One play and what was seen of it.
struct Played {
    case: Return,
    seen: Seen,
}

impl Played {
    fn falls(&self) -> bool {
        breaks(self.seen.fall)
    }
    fn falls_beyond_the_wide_bound(&self) -> bool {
        breaks(self.seen.wide_fall)
    }
}

fn breaks(fall: Option<Fall>) -> bool {
    fall.is_some_and(|fall| fall.told > TOLD_MOST)
}

/// Plays all cases on all cores; the order of the results follows from the cases alone.
fn play(cases: Vec<Return>) -> Vec<Played> {
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<(usize, Seen)>> = Mutex::default();
    let work = || {
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(at) else { return };
            let seen = case.play();
            played.lock().unwrap().push((at, seen));
        }
    };
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(2, usize::from) {
            scope.spawn(work);
        }
    });
    let mut played = played.into_inner().unwrap();
    played.sort_by_key(|(at, _)| *at);
    cases.into_iter().zip(played).map(|(case, (_, seen))| Played { case, seen }).collect()
}

/// The grid over these figures, with each seed.
fn grid(
    outages: &[Out],
    senders: &[u32],
    capacities: &[f64],
    restarts: &[Option<Micros>],
    seeds: impl Iterator<Item = u64> + Clone,
) -> Vec<Return> {
    let mut cases = Vec::new();
    for out in outages {
        for n in senders {
            for capacity in capacities {
                for restart in restarts {
                    let of = |seed| Return { seed, restart: *restart, ..small(*n, *capacity, *out) };
                    cases.extend(seeds.clone().map(of));
                }
            }
        }
    }
    cases
}

/// No play falls by the stricter bound, and none beyond the wide one.
fn none_falls(cases: Vec<Return>) {
    let played = play(cases);
    let fallen: Vec<_> = played.iter().filter(|p| p.falls() || p.falls_beyond_the_wide_bound()).collect();
    let lines: Vec<String> = fallen.iter().map(|p| line(p)).collect();
    assert!(fallen.is_empty(), "{} of {} plays fall:\n{}", fallen.len(), played.len(), lines.join("\n"));
}

fn line(played: &Played) -> String {
    let Played { case, seen } = played;
    let fall =
        seen.fall.map(|f| format!("{:.1} calls where {:.1} are taken, {} us after", f.load, f.most, f.after));
    format!(
        "{:?}, {} senders, {} a second, restart {:?}, seed {}: {}",
        case.out,
        case.senders,
        case.capacity,
        case.restart,
        case.seed,
        fall.unwrap_or_default()
    )
}

#[test]
fn without_a_restart() {
    none_falls(grid(&OUTAGES, &[20, 60], &[10.0, 30.0], &[None], SEEDS_OF_A_PART));
}

#[test]
fn restarted_round_the_return_of_what_told_its_senders() {
    let outages = [Out::Shut, Out::ShutUnlike, Out::Down, Out::Failing];
    none_falls(grid(&outages, &[12, 60], &[10.0, 30.0], &RESTARTS, SEEDS_OF_A_PART));
}

#[test]
fn restarted_round_the_return_of_what_told_no_wait() {
    none_falls(grid(&[Out::ShutUntold], &SENDERS, &[10.0, 30.0], &RESTARTS, SEEDS_OF_A_PART));
}

#[test]
fn restarted_round_the_return_of_what_was_silent() {
    none_falls(grid(&[Out::Silent], &SENDERS, &[10.0, 30.0], &RESTARTS, SEEDS_OF_A_PART));
}

/// A kill within the outage and another after it, two within one warm-up, and a tenth of the senders at a time.
#[test]
fn restarted_twice_and_a_tenth_at_a_time() {
    let mut cases = Vec::new();
    for case in grid(&OUTAGES, &[30], &[10.0], &[None], SEEDS_OF_A_PART) {
        for (first, second) in [(14 * S, 19 * S), (19 * S, 21 * S), (18_100 * MS, 18_600 * MS)] {
            cases.push(Return { restart: Some(first), restart_again: Some(second), ..case.clone() });
        }
        for rolling in [2 * S, 6 * S] {
            cases.push(Return { restart: Some(17 * S), rolling, ..case.clone() });
        }
    }
    none_falls(cases);
}

/// A journal of an earlier version holds messages and does not tell how their receiver was.
#[test]
fn restarted_with_nothing_known_of_the_receiver() {
    let cases = grid(&OUTAGES, &[12, 30], &[10.0], &RESTARTS[1..], SEEDS_OF_A_PART);
    none_falls(cases.into_iter().map(|case| Return { kept: Kept::Messages, ..case }).collect());
}

/// New machines in place of all senders, with empty folders. They hold nothing, and cannot know of the outage: in their
/// first second they send what their clients bring, and chance of three deviations over all plays.
#[test]
fn replaced_by_new_machines() {
    let cases = grid(&OUTAGES, &[12, 30], &[10.0], &RESTARTS[3..], SEEDS_OF_A_PART);
    let played = play(cases.into_iter().map(|case| Return { kept: Kept::Nothing, ..case }).collect());
    let calls: usize = played.iter().map(|p| p.seen.after_restart).sum();
    let brought: f64 = played.iter().map(|p| p.case.demand).sum();
    assert!(calls as f64 <= brought + 3.0 * brought.sqrt(), "{calls} calls for {brought:.0} messages");
    for p in played {
        assert!(!p.falls(), "{}", line(&p));
    }
}

/// All seeds, where a receiver takes enough for chance to matter little.
#[test]
fn no_play_of_the_whole_grid_falls_at_ten_calls_a_second_and_more() {
    none_falls(grid(&OUTAGES, &SENDERS, &CAPACITIES[2..], &RESTARTS, SEEDS));
}

/// All seeds and sizes, by what a receiver of few calls takes.
#[test]
fn no_play_of_the_whole_grid_falls_by_the_wide_bound() {
    let played = play(grid(&OUTAGES, &SENDERS, &CAPACITIES, &RESTARTS, SEEDS));
    let fallen: Vec<_> = played.iter().filter(|p| p.falls_beyond_the_wide_bound()).map(line).collect();
    assert!(fallen.is_empty(), "{} of {} plays fall:\n{}", fallen.len(), played.len(), fallen.join("\n"));
}

/// One play by `GRID_CASE="Out senders capacity restart-in-ms seed"`, line by line up to its fall.
#[test]
#[ignore = "prints one play; run it by name with --ignored --nocapture"]
fn one_play_line_by_line() {
    let case = std::env::var("GRID_CASE").unwrap_or("ShutUntold 30 10 19000 101".into());
    let words: Vec<&str> = case.split(' ').collect();
    let out = OUTAGES.into_iter().find(|out| format!("{out:?}") == words[0]).unwrap();
    let restart = words[3].parse::<Micros>().ok().map(|t| t * MS);
    let seed = words[4].parse().unwrap();
    let case = Return { seed, restart, ..small(words[1].parse().unwrap(), words[2].parse().unwrap(), out) };
    let seen = case.play();
    println!("{}\n{}", seen.trace.join("\n"), line(&Played { case, seen: seen.clone() }));
}

#[test]
#[ignore = "plays 12,288 returns and prints the table; run it by name with --ignored --nocapture"]
fn the_whole_grid() {
    let played = play(grid(&OUTAGES, &SENDERS, &CAPACITIES, &RESTARTS, SEEDS));
    println!(
        "| out | plays | fall | beyond the wide bound | worst, of what is taken | half s | full s | delivered |"
    );
    for out in OUTAGES {
        let mine: Vec<_> = played.iter().filter(|p| p.case.out == out).collect();
        row(&format!("{out:?}"), &mine);
    }
    println!(
        "| senders | plays | fall | beyond the wide bound | worst, of what is taken | half s | full s | delivered |"
    );
    for n in SENDERS {
        row(&format!("{n}"), &played.iter().filter(|p| p.case.senders == n).collect::<Vec<_>>());
    }
    println!(
        "| capacity | plays | fall | beyond the wide bound | worst, of what is taken | half s | full s | delivered |"
    );
    for capacity in CAPACITIES {
        row(
            &format!("{capacity}"),
            &played.iter().filter(|p| p.case.capacity == capacity).collect::<Vec<_>>(),
        );
    }
    println!(
        "| restart | plays | fall | beyond the wide bound | worst, of what is taken | half s | full s | delivered |"
    );
    for restart in RESTARTS {
        let name = restart.map_or("none".to_string(), |t| format!("{} ms", t / MS));
        row(&name, &played.iter().filter(|p| p.case.restart == restart).collect::<Vec<_>>());
    }
    for p in played
        .iter()
        .filter(|p| p.falls_beyond_the_wide_bound() || (p.falls() && p.case.capacity >= 10.0))
        .take(60)
    {
        println!("{}", line(p));
    }
}

/// Half and full: mean time from the return until the receiver is sent half, and nine tenths, of its traffic in a
/// second; a play that does not see it counts with all that is left of it.
fn row(name: &str, played: &[&Played]) {
    let falls = played.iter().filter(|p| p.falls()).count();
    let wide = played.iter().filter(|p| p.falls_beyond_the_wide_bound()).count();
    let worst = played.iter().filter(|p| p.falls()).map(|p| p.seen.worst).fold(0.0, f64::max);
    let mean = |f: &dyn Fn(&Played) -> f64| played.iter().map(|p| f(p)).sum::<f64>() / played.len() as f64;
    let seconds = |t: Option<Micros>, case: &Return| t.unwrap_or(case.end - case.until) as f64 / 1e6;
    println!(
        "| {name} | {} | {falls} | {wide} | {worst:.1} | {:.2} | {:.2} | {:.3} |",
        played.len(),
        mean(&|p| seconds(p.seen.half, &p.case)),
        mean(&|p| seconds(p.seen.full, &p.case)),
        mean(&|p| p.seen.delivered as f64 / p.seen.offered as f64),
    );
}
