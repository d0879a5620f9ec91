//! The simulated faults of one random fault sequence.
//! The sequence decides when control agents send each epoch, and which members are cut off, killed or stopped.

use heronroute::Micros;
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::world::World;
use super::{AGENT_LAG, MILLISECOND, SECOND};

/// The simulated time by which all faults have ended.
pub const FAULTS_END_AT: Micros = 75 * SECOND;

/// A fault of one member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and later restarted on the same state folder.
    Killed,
    /// The process is stopped (suspended), and continued later.
    Stopped,
}

/// A network partition: members that are cut off reach neither the other members nor their control agents.
struct Partition {
    from: Micros,
    until: Micros,
    cut_off: Vec<bool>,
}

/// The faults of one random fault sequence.
pub struct FaultPlan {
    /// The time at which each epoch is first sent to any member.
    pub epochs_sent_at: Vec<Micros>,
    /// The affected member, kind, start time and end time of each process fault.
    pub faults: Vec<(usize, Fault, Micros, Micros)>,
    partitions: Vec<Partition>,
    /// For each member, whether its control agent may still answer with an earlier epoch.
    lagging: Vec<bool>,
}

impl FaultPlan {
    pub fn generate(rng: &mut ChaCha8Rng, world: &World) -> Self {
        let epochs = rng.random_range(1..=world.lists.len());
        let mut epochs_sent_at: Vec<Micros> =
            (1..epochs).map(|_| rng.random_range(SECOND..60 * SECOND)).collect();
        epochs_sent_at.sort_unstable();
        if rng.random_bool(0.3) {
            make_two_epochs_close(rng, &mut epochs_sent_at);
        }
        epochs_sent_at.insert(0, -AGENT_LAG);
        let mut plan = FaultPlan {
            epochs_sent_at,
            faults: Vec::new(),
            partitions: (0..rng.random_range(0..=2)).map(|_| random_partition(rng, world)).collect(),
            lagging: (0..world.members).map(|_| rng.random_bool(1.0 / 3.0)).collect(),
        };
        plan.add_faults(rng, world);
        plan
    }

    /// Returns the epoch that a member's control agent answers with at `now`; `None` if the agent can't be reached.
    pub fn agent_epoch(&self, rng: &mut ChaCha8Rng, member: usize, now: Micros) -> Option<u64> {
        if self.partitions.iter().any(|partition| partition.is_active(now) && partition.cut_off[member]) {
            return None;
        }
        let behind = if self.lagging[member] { AGENT_LAG } else { 100 * MILLISECOND };
        let known_until = now - rng.random_range(0..behind);
        Some(self.epochs_sent_at.partition_point(|&sent_at| sent_at <= known_until) as u64)
    }

    pub fn reach_each_other(&self, first: usize, second: usize, now: Micros) -> bool {
        !self.partitions.iter().any(|partition| {
            partition.is_active(now) && partition.cut_off[first] != partition.cut_off[second]
        })
    }

    fn add_faults(&mut self, rng: &mut ChaCha8Rng, world: &World) {
        for _ in 0..rng.random_range(0..=4) {
            let member = rng.random_range(0..world.members);
            self.add_fault(rng, member, None);
        }
        // A member that a list removes has usually failed, so most removed members get a fault at about that time.
        for epoch in 2..=self.epochs_sent_at.len() {
            let (before, after) = (&world.lists[epoch - 2], &world.lists[epoch - 1]);
            let removed = before.seat_ids().filter(|&seat| after.member(seat).is_none());
            let removed: Vec<usize> = removed
                .filter_map(|seat| Some(super::world::member_number(before.member(seat)?.name())))
                .collect();
            for member in removed {
                if rng.random_bool(0.6) {
                    let sent_at = self.epochs_sent_at[epoch - 1];
                    self.add_fault(rng, member, Some(sent_at));
                }
            }
        }
    }

    fn add_fault(&mut self, rng: &mut ChaCha8Rng, member: usize, sent_at: Option<Micros>) {
        let from = match sent_at {
            Some(sent_at) => (sent_at + rng.random_range(-3 * SECOND..SECOND)).max(SECOND),
            None => rng.random_range(SECOND..60 * SECOND),
        };
        let (fault, max_seconds) =
            if rng.random_bool(0.5) { (Fault::Killed, 30) } else { (Fault::Stopped, 60) };
        let until = (from + rng.random_range(200 * MILLISECOND..max_seconds * SECOND)).min(FAULTS_END_AT);
        let no_overlap = |&(other, _, start, end): &(usize, Fault, Micros, Micros)| {
            other != member || end < from || until < start
        };
        if from < until && self.faults.iter().all(no_overlap) {
            self.faults.push((member, fault, from, until));
        }
    }
}

impl Partition {
    fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.until
    }
}

/// Changes the times at which two epochs are first sent, so that they are at most a second apart.
fn make_two_epochs_close(rng: &mut ChaCha8Rng, epochs_sent_at: &mut [Micros]) {
    if epochs_sent_at.len() >= 2 {
        let index = rng.random_range(1..epochs_sent_at.len());
        epochs_sent_at[index] = epochs_sent_at[index - 1] + rng.random_range(1..SECOND);
        epochs_sent_at.sort_unstable();
    }
}

/// Returns a partition that cuts off a region, or a random set of members, for up to 40 s.
fn random_partition(rng: &mut ChaCha8Rng, world: &World) -> Partition {
    let from = rng.random_range(SECOND..50 * SECOND);
    let until = (from + rng.random_range(SECOND..40 * SECOND)).min(FAULTS_END_AT);
    let by_region = world.regions > 1 && rng.random_bool(0.7);
    let cut_off = (0..world.members)
        .map(|member| if by_region { member % world.regions == 0 } else { rng.random_bool(0.4) })
        .collect();
    Partition { from, until, cut_off }
}
