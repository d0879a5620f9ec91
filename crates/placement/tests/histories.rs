//! Simulates a fleet under thousands of random sequences of faults of members, network and control agents.
//! In no simulation may a message be lost or take effect twice, or messages of a key be delivered out of order.
//! The shares of a destination's limit must not exceed the limit in any simulation.

mod history;
#[path = "support/tables.rs"]
mod tables;

use std::ops::Range;

use history::ledger::Counts;
use history::model::simulate;
use history::world::World;

const WORLDS: Range<u64> = 0..12;
const SEEDS_PER_WORLD: u64 = 200;
/// Number of threads that simulate random fault sequences.
const THREADS: usize = 4;
/// Maximum number of rule violations printed for one seed.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Simulates one random fault sequence in an environment for each seed. Panics at the first seed that breaks a rule.
fn simulate_seeds(world: &World, number: u64, seeds: impl Iterator<Item = u64>) -> Counts {
    let mut counts = Counts::default();
    for seed in seeds {
        let ledger = simulate(world, seed);
        let violations = ledger.violations.iter().take(MAX_PRINTED_VIOLATIONS).cloned().collect::<Vec<_>>();
        assert!(violations.is_empty(), "world {number}, seed {seed}:\n{}", violations.join("\n"));
        counts.add(&ledger.counts);
    }
    counts
}

fn simulate_world(number: u64) -> Counts {
    let world = World::generate(number);
    simulate_seeds(&world, number, 0..SEEDS_PER_WORLD)
}

#[test]
fn no_history_breaks_a_rule() {
    let mut counts = Counts::default();
    std::thread::scope(|scope| {
        let workers = (0..THREADS as u64).map(|worker| {
            scope.spawn(move || {
                let mut counts = Counts::default();
                for number in WORLDS.filter(|number| number % THREADS as u64 == worker) {
                    counts.add(&simulate_world(number));
                }
                counts
            })
        });
        for worker in workers.collect::<Vec<_>>() {
            counts.add(&worker.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)));
        }
    });
    println!("{} histories: {counts:?}", WORLDS.end * SEEDS_PER_WORLD);
    assert_reached(&counts);
}

/// Checks that the simulations reached the cases under test. Simulations that never reach these cases prove nothing.
fn assert_reached(counts: &Counts) {
    let histories = WORLDS.end * SEEDS_PER_WORLD;
    assert!(counts.promised * 2 > counts.messages, "{counts:?}");
    for (event, count) in [
        ("forwarded", counts.forwarded),
        ("unknown", counts.unknown),
        ("not sent", counts.not_sent),
        ("rejected by hold", counts.rejected_by_hold),
        ("rejected by lease", counts.rejected_by_lease),
        ("rejected as not owner", counts.rejected_as_not_owner),
        ("answers rejected", counts.answers_rejected),
        ("failed", counts.failed),
    ] {
        assert!(count > histories, "{event}: {count} in {histories} histories, expected more than one each");
    }
    assert!(counts.epochs_skipped > 0, "{counts:?}");
}
