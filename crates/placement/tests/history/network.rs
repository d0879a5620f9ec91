//! What happens to a fleet in one history, decided beforehand: when epochs are told, who is cut off, killed or stopped.

use heronroute::Micros;
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::world::World;
use super::{AGENT_LAG, MILLISECOND, SECOND};

/// Everything is whole again from then on.
pub const HEALED_AT: Micros = 75 * SECOND;

/// A fault of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Killed, and started again on the same state folder.
    Killed,
    /// Stopped, and continued.
    Stopped,
}

/// A cut: those on the one side reach neither those on the other nor control.
struct Split {
    from: Micros,
    until: Micros,
    cut_off: Vec<bool>,
}

/// One history's course.
pub struct Course {
    /// When each epoch is first told to anybody.
    pub told_at: Vec<Micros>,
    /// Member, fault, when, until when.
    pub faults: Vec<(usize, Fault, Micros, Micros)>,
    splits: Vec<Split>,
    /// Members whose agents are behind.
    late: Vec<bool>,
}

impl Course {
    pub fn generate(rng: &mut ChaCha8Rng, world: &World) -> Self {
        let epochs = rng.random_range(1..=world.lists.len());
        let mut told_at: Vec<Micros> = (1..epochs).map(|_| rng.random_range(SECOND..60 * SECOND)).collect();
        told_at.sort_unstable();
        if rng.random_bool(0.3) {
            bring_together(rng, &mut told_at);
        }
        told_at.insert(0, -AGENT_LAG);
        let mut course = Course {
            told_at,
            faults: Vec::new(),
            splits: (0..rng.random_range(0..=2)).map(|_| random_split(rng, world)).collect(),
            late: (0..world.members).map(|_| rng.random_bool(1.0 / 3.0)).collect(),
        };
        course.add_faults(rng, world);
        course
    }

    /// The epoch that a member's agent answers with at `now`; none if it can't be reached.
    pub fn agent_epoch(&self, rng: &mut ChaCha8Rng, member: usize, now: Micros) -> Option<u64> {
        if self.splits.iter().any(|split| split.holds(now) && split.cut_off[member]) {
            return None;
        }
        let behind = if self.late[member] { AGENT_LAG } else { 100 * MILLISECOND };
        let known_until = now - rng.random_range(0..behind);
        Some(self.told_at.partition_point(|&told| told <= known_until) as u64)
    }

    pub fn reach_each_other(&self, first: usize, second: usize, now: Micros) -> bool {
        !self.splits.iter().any(|split| split.holds(now) && split.cut_off[first] != split.cut_off[second])
    }

    fn add_faults(&mut self, rng: &mut ChaCha8Rng, world: &World) {
        for _ in 0..rng.random_range(0..=4) {
            let member = rng.random_range(0..world.members);
            self.add_fault(rng, member, None);
        }
        // Members that a list takes out are mostly those that are gone.
        for epoch in 2..=self.told_at.len() {
            let (before, after) = (&world.lists[epoch - 2], &world.lists[epoch - 1]);
            let out = before.seat_ids().filter(|&seat| after.member(seat).is_none());
            let out: Vec<usize> = out
                .filter_map(|seat| Some(super::world::member_number(before.member(seat)?.name())))
                .collect();
            for member in out {
                if rng.random_bool(0.6) {
                    let told = self.told_at[epoch - 1];
                    self.add_fault(rng, member, Some(told));
                }
            }
        }
    }

    fn add_fault(&mut self, rng: &mut ChaCha8Rng, member: usize, told: Option<Micros>) {
        let from = match told {
            Some(told) => (told + rng.random_range(-3 * SECOND..SECOND)).max(SECOND),
            None => rng.random_range(SECOND..60 * SECOND),
        };
        let (fault, longest) = if rng.random_bool(0.5) { (Fault::Killed, 30) } else { (Fault::Stopped, 60) };
        let until = (from + rng.random_range(200 * MILLISECOND..longest * SECOND)).min(HEALED_AT);
        let free = |&(other, _, start, end): &(usize, Fault, Micros, Micros)| {
            other != member || end < from || until < start
        };
        if from < until && self.faults.iter().all(free) {
            self.faults.push((member, fault, from, until));
        }
    }
}

impl Split {
    fn holds(&self, now: Micros) -> bool {
        self.from <= now && now < self.until
    }
}

/// Two epochs within less than a second.
fn bring_together(rng: &mut ChaCha8Rng, told_at: &mut [Micros]) {
    if told_at.len() >= 2 {
        let index = rng.random_range(1..told_at.len());
        told_at[index] = told_at[index - 1] + rng.random_range(1..SECOND);
        told_at.sort_unstable();
    }
}

/// A region, or any set of members, is cut off for up to 40 s.
fn random_split(rng: &mut ChaCha8Rng, world: &World) -> Split {
    let from = rng.random_range(SECOND..50 * SECOND);
    let until = (from + rng.random_range(SECOND..40 * SECOND)).min(HEALED_AT);
    let by_region = world.regions > 1 && rng.random_bool(0.7);
    let cut_off = (0..world.members)
        .map(|member| if by_region { member % world.regions == 0 } else { rng.random_bool(0.4) })
        .collect();
    Split { from, until, cut_off }
}
