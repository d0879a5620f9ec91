//! Thousands of histories of a fleet: whatever happens to its members, its network and its control, no message is lost, none
//! has its effect twice, keys keep their order, and shares never add up past a destination's limit.

mod history;
#[path = "support/tables.rs"]
mod tables;

use std::ops::Range;

use history::ledger::Counts;
use history::model::play;
use history::world::World;

const WORLDS: Range<u64> = 0..12;
const SEEDS_PER_WORLD: u64 = 200;
/// Histories are played by so many threads.
const THREADS: usize = 4;
/// Violations that are printed of one history.
const MOST_PRINTED: usize = 5;

/// Plays some seeds of a world. Panics with the first seed that breaks a rule.
fn play_seeds(world: &World, number: u64, seeds: impl Iterator<Item = u64>) -> Counts {
    let mut counts = Counts::default();
    for seed in seeds {
        let ledger = play(world, seed);
        let violations = ledger.violations.iter().take(MOST_PRINTED).cloned().collect::<Vec<_>>();
        assert!(violations.is_empty(), "world {number}, seed {seed}:\n{}", violations.join("\n"));
        counts.add(&ledger.counts);
    }
    counts
}

fn play_world(number: u64) -> Counts {
    let world = World::generate(number);
    play_seeds(&world, number, 0..SEEDS_PER_WORLD)
}

#[test]
fn no_history_breaks_a_rule() {
    let mut counts = Counts::default();
    std::thread::scope(|scope| {
        let workers = (0..THREADS as u64).map(|worker| {
            scope.spawn(move || {
                let mut counts = Counts::default();
                for number in WORLDS.filter(|number| number % THREADS as u64 == worker) {
                    counts.add(&play_world(number));
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

/// Histories in which nothing happens would prove nothing.
fn assert_reached(counts: &Counts) {
    let histories = WORLDS.end * SEEDS_PER_WORLD;
    assert!(counts.promised * 2 > counts.messages, "{counts:?}");
    for (what, count) in [
        ("forwarded", counts.forwarded),
        ("unknown", counts.unknown),
        ("never sent", counts.never_sent),
        ("refused by hold", counts.refused_by_hold),
        ("refused by lease", counts.refused_by_lease),
        ("refused as not owner", counts.refused_as_not_owner),
        ("lists refused", counts.lists_refused),
        ("failed", counts.failed),
    ] {
        assert!(count > histories, "{what}: {count} in {histories} histories");
    }
    assert!(counts.epochs_skipped > 0, "{counts:?}");
}
