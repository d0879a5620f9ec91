//! Compares the placement scheme in use with well-known schemes, at 15,000 members with two replicas.
//! Compares the evenness of loads, the shards that the loss of one member moves, and the time and memory used.
//! The well-known schemes ignore failure domains here; respecting them would only make their loads less even.
//!
//! Usage: `cargo run --release -p embershore-placement --example schemes`

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::{Duration, Instant};

use embershore_placement::hash::{mix_pair, scale};
use embershore_placement::{SHARDS, SeatId, ShardId, Table, shard};
use support::{Evenness, FULL_SEATS, applied, full_size, vacate};

const MEMBERS: u32 = FULL_SEATS as u32;
const LOST: u32 = 7_000;
const REPLICAS: usize = 2;
const RING_POINTS: u32 = 100;
/// Size of the Maglev table: a prime about a hundred times the number of members, as the authors of Maglev advise.
const MAGLEV_SLOTS: u32 = 1_500_007;
const LOOKUPS: u32 = 1_000_000;

type Owners = [u32; REPLICAS];

/// The measurements of one placement scheme.
struct Measurements {
    name: String,
    build: Duration,
    bytes: usize,
    lookup: Duration,
    owners: Vec<Owners>,
    after: Vec<Owners>,
}

impl Measurements {
    fn print(&self) {
        let mut loads = vec![0; FULL_SEATS];
        for &owner in self.owners.iter().flatten() {
            loads[owner as usize] += 1;
        }
        let evenness = Evenness::of(loads.iter().map(|&load| f64::from(load)));
        let (mut own, mut between) = (0, 0);
        for (before, after) in self.owners.iter().zip(&self.after) {
            let moved = after.iter().filter(|owner| !before.contains(owner)).count();
            if before.contains(&LOST) {
                own += moved.min(1);
                between += moved.saturating_sub(1);
            } else {
                between += moved;
            }
        }
        println!(
            "{}: busiest {:.3}, idlest {:.3} of the mean {:.1}; one lost moves {own} of its own, {between} between others; build {:?}; {} bytes; lookup {:?}",
            self.name,
            evenness.busiest(),
            evenness.min / evenness.mean,
            evenness.mean,
            self.build,
            self.bytes,
            self.lookup
        );
    }
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = black_box(work());
    (result, start.elapsed())
}

fn per_lookup(count: u32, lookup: impl Fn(u32) -> u32) -> Duration {
    timed(|| (0..count).map(lookup).fold(0, u32::wrapping_add)).1 / count
}

fn in_use() -> Measurements {
    let list = full_size();
    let (table, build) = timed(|| Table::build(&list));
    let (next, changes) = applied(&list, vacate(&[SeatId(LOST as u16)]));
    let mut lost = table.clone();
    lost.apply(&next, &changes);
    let owners = |table: &Table| {
        let shards = (0..SHARDS).map(|shard| table.owners(ShardId(shard)));
        shards.map(|owners| [u32::from(owners[0].0), u32::from(owners[1].0)]).collect()
    };
    Measurements {
        name: "bounded loads, seat by seat (in use)".into(),
        build,
        bytes: table.memory_bytes(),
        lookup: per_lookup(LOOKUPS, |dest| u32::from(table.owners(shard(i64::from(dest)))[0].0)),
        owners: owners(&table),
        after: owners(&lost),
    }
}

/// Returns a shard's owners by rendezvous hashing: the members with the greatest hashes of the pair (shard, member).
fn rendezvous_owners(shard: u32, lost: Option<u32>) -> Owners {
    let mut best = [(0, u32::MAX); REPLICAS];
    for member in (0..MEMBERS).filter(|&member| Some(member) != lost) {
        let score = mix_pair(u64::from(shard), u64::from(member));
        if score > best[0].0 {
            best = [(score, member), best[0]];
        } else if score > best[1].0 {
            best[1] = (score, member);
        }
    }
    best.map(|(_, member)| member)
}

fn rendezvous() -> Measurements {
    let table = |lost| (0..SHARDS).map(|shard| rendezvous_owners(shard, lost)).collect::<Vec<_>>();
    let (owners, build) = timed(|| table(None));
    Measurements {
        name: "rendezvous hashing".into(),
        build,
        bytes: SHARDS as usize * REPLICAS * size_of::<u16>(),
        lookup: per_lookup(1_000, |shard| rendezvous_owners(shard, None)[0]),
        owners,
        after: table(Some(LOST)),
    }
}

/// A consistent hashing ring: the points of all members, sorted by hash.
struct Ring(Vec<(u64, u32)>);

impl Ring {
    fn new(lost: Option<u32>) -> Self {
        let members = (0..MEMBERS).filter(|&member| Some(member) != lost);
        let point = |member: u32, point: u32| (mix_pair(u64::from(member) << 32, u64::from(point)), member);
        let mut points: Vec<_> =
            members.flat_map(|member| (0..RING_POINTS).map(move |index| point(member, index))).collect();
        points.sort_unstable();
        Self(points)
    }

    fn owners(&self, shard: u32) -> Owners {
        let hash = mix_pair(u64::MAX, u64::from(shard));
        let first = self.0.partition_point(|&(point, _)| point < hash);
        let mut members_from_hash = (first..first + self.0.len()).map(|index| self.0[index % self.0.len()].1);
        let owner = members_from_hash.next().unwrap_or(0);
        [owner, members_from_hash.find(|&other| other != owner).unwrap_or(owner)]
    }
}

fn ring() -> Measurements {
    let (ring, build) = timed(|| Ring::new(None));
    let lost = Ring::new(Some(LOST));
    Measurements {
        name: format!("consistent hashing ring, {RING_POINTS} points a member"),
        build,
        bytes: ring.0.len() * size_of::<(u64, u32)>(),
        lookup: per_lookup(LOOKUPS, |shard| ring.owners(shard)[0]),
        owners: (0..SHARDS).map(|shard| ring.owners(shard)).collect(),
        after: (0..SHARDS).map(|shard| lost.owners(shard)).collect(),
    }
}

/// The Maglev table: in turn, each member takes the next free slot of its own permutation of the slots.
struct Maglev(Vec<u32>);

impl Maglev {
    fn new(lost: Option<u32>) -> Self {
        const FREE: u32 = u32::MAX;
        let members: Vec<u32> = (0..MEMBERS).filter(|&member| Some(member) != lost).collect();
        let hash = |member: u32, purpose: u64| mix_pair(purpose, u64::from(member)) as u32;
        let mut next: Vec<u32> = members.iter().map(|&member| scale(hash(member, 1), MAGLEV_SLOTS)).collect();
        let skips: Vec<u32> =
            members.iter().map(|&member| scale(hash(member, 2), MAGLEV_SLOTS - 1) + 1).collect();
        let mut slots = vec![FREE; MAGLEV_SLOTS as usize];
        let mut filled = 0;
        'turns: loop {
            for (index, &member) in members.iter().enumerate() {
                while slots[next[index] as usize] != FREE {
                    next[index] = (next[index] + skips[index]) % MAGLEV_SLOTS;
                }
                slots[next[index] as usize] = member;
                filled += 1;
                if filled == MAGLEV_SLOTS {
                    break 'turns;
                }
            }
        }
        Self(slots)
    }

    /// Returns a shard's owners. The first is the member in the slot that the shard's hash selects.
    /// The second is selected by the shard's next hash that leads to another member.
    fn owners(&self, shard: u32) -> Owners {
        let slot =
            |attempt: u64| self.0[scale(mix_pair(attempt, u64::from(shard)) as u32, MAGLEV_SLOTS) as usize];
        let owner = slot(0);
        [owner, (1..).map(slot).find(|&other| other != owner).unwrap_or(owner)]
    }
}

fn maglev() -> Measurements {
    let (maglev, build) = timed(|| Maglev::new(None));
    let lost = Maglev::new(Some(LOST));
    Measurements {
        name: format!("Maglev, {MAGLEV_SLOTS} slots"),
        build,
        bytes: maglev.0.len() * size_of::<u32>(),
        lookup: per_lookup(LOOKUPS, |shard| maglev.owners(shard)[0]),
        owners: (0..SHARDS).map(|shard| maglev.owners(shard)).collect(),
        after: (0..SHARDS).map(|shard| lost.owners(shard)).collect(),
    }
}

fn main() {
    println!("{SHARDS} shards, {MEMBERS} members, {REPLICAS} replicas; member {LOST} is lost");
    for scheme in [in_use, rendezvous, ring, maglev] {
        scheme().print();
    }
}
