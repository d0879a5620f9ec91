//! How distinct the failure domains of a row are, and which rows could do better.

use crate::domains::{RackId, ZoneId};
use crate::list::MAX_REPLICAS;
/// Spare seats of a row, which take a lost owner's place. With two, a lost owner's shards stay in distinct zones, and
/// the shards of a lost zone go to seats that share them out by their quota.
pub(crate) const SPARES: usize = 2;

/// The longest row. Shorter ones end in [`NOBODY`]: a fixed length lets the compiler unroll what is done most often.
pub(crate) const ROW: usize = MAX_REPLICAS + SPARES;

/// A position that no seat holds: the region has fewer seats than a row has positions, or the row is shorter.
pub(crate) const NOBODY: u16 = u16::MAX;

/// Two seats of a row that share a rack, and what sharing a zone adds to it.
const SHARED_RACK: u32 = 1;
const SHARED_ZONE: u32 = 1 << 3;

/// How much it counts that two owners share a domain, and two seats of which one is a spare: six pairs of owners at most,
/// 15 pairs in all.
const OWNERS: u32 = 1 << 8;
const OTHERS: u32 = 1;

/// Which conflicts are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grade {
    /// Owners share a zone.
    Owners,
    /// Any two seats of the row share a domain.
    Any,
}

impl Grade {
    /// What a row's cost falls by, at least, if such a conflict is resolved.
    pub(crate) const fn least_gain(self) -> i32 {
        match self {
            // Half, as lesser conflicts may arise in its place.
            Self::Owners => (OWNERS * SHARED_ZONE / 2) as i32,
            Self::Any => 1,
        }
    }
}

/// Zone and rack of a seat, in one number for quick comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Domain(u32);

impl Domain {
    /// The domain of a position that nobody holds: no zone has this number, as there are fewer zones than seats.
    pub(crate) const NONE: Self = Self(u32::MAX);

    pub(crate) fn new(zone: ZoneId, rack: RackId) -> Self {
        Self(u32::from(zone.0) << u16::BITS | u32::from(rack.0))
    }

    pub(crate) const fn zone(self) -> u16 {
        (self.0 >> u16::BITS) as u16
    }
}

/// Positions of a row: owners first, spares behind them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    pub(crate) owners: usize,
    pub(crate) positions: usize,
    grades: [[u32; ROW]; ROW],
}

impl Layout {
    pub(crate) fn new(owners: usize) -> Self {
        let mut grades = [[0; ROW]; ROW];
        for (first, grades) in grades.iter_mut().enumerate() {
            for (second, grade) in grades.iter_mut().enumerate().filter(|&(second, _)| second != first) {
                *grade = grade_of(owners, first, second);
            }
        }
        Self { owners, positions: owners + SPARES, grades }
    }

    /// How much it counts that the seats of two positions share a domain; nothing for a position and itself.
    pub(crate) fn grade(&self, first: usize, second: usize) -> u32 {
        self.grades[first][second]
    }

    /// The cost of a row; see [`pair_cost`].
    pub(crate) fn cost(&self, domains: &[Domain; ROW]) -> u32 {
        let mut cost = 0;
        for (first, &domain) in domains.iter().enumerate().filter(|&(_, &domain)| domain != Domain::NONE) {
            for (second, &other) in domains.iter().enumerate().skip(first + 1) {
                cost += pair_cost(domain, other, self.grade(first, second));
            }
        }
        cost
    }

    /// The least cost that a row can have in a region of so many zones: the best of all ways to spread its seats over
    /// them, in distinct racks.
    pub(crate) fn least_cost(&self, zones: usize) -> u32 {
        let zones = zones.clamp(1, self.positions) as u32;
        let ways = zones.pow(self.positions as u32);
        let costs = (0..ways).map(|way| {
            let mut domains = [Domain::NONE; ROW];
            for (position, domain) in domains.iter_mut().enumerate().take(self.positions) {
                let zone = way / zones.pow(position as u32) % zones;
                *domain = Domain::new(ZoneId(zone as u16), RackId(position as u16));
            }
            self.cost(&domains)
        });
        costs.min().unwrap_or(0)
    }
}

/// The grade of two positions.
fn grade_of(owners: usize, first: usize, second: usize) -> u32 {
    if first.max(second) < owners { OWNERS } else { OTHERS }
}

/// What two seats of a row add to its cost.
pub(crate) fn pair_cost(first: Domain, second: Domain, grade: u32) -> u32 {
    let difference = first.0 ^ second.0;
    let shared_zone = if difference >> u16::BITS == 0 { SHARED_ZONE } else { 0 };
    let shared_rack = if difference == 0 { SHARED_RACK } else { 0 };
    (shared_zone + shared_rack) * grade
}

/// The rows whose cost is above the least possible. A row that has become better stays listed until it is looked at.
#[derive(Clone, Debug)]
pub(crate) struct ConflictRows {
    rows: Vec<u32>,
    listed: Vec<u64>,
    least_cost: u32,
}

impl ConflictRows {
    pub(crate) fn new(rows: u32) -> Self {
        Self {
            rows: Vec::new(),
            listed: vec![0; (rows as usize).div_ceil(u64::BITS as usize)],
            least_cost: 0,
        }
    }

    /// Forgets all rows; from now on rows are listed that have conflicts of a grade beyond `least_cost`.
    pub(crate) fn clear(&mut self, least_cost: u32, grade: Grade) {
        self.rows = Vec::new();
        self.listed.fill(0);
        self.least_cost = match grade {
            Grade::Owners => least_cost + OWNERS * SHARED_ZONE - 1,
            Grade::Any => least_cost,
        };
    }

    pub(crate) fn shrink(&mut self) {
        self.rows.shrink_to_fit();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub(crate) fn len(&self) -> u32 {
        self.rows.len() as u32
    }

    pub(crate) fn row(&self, index: u32) -> u32 {
        self.rows[index as usize]
    }

    pub(crate) fn bytes(&self) -> usize {
        self.rows.capacity() * size_of::<u32>() + self.listed.capacity() * size_of::<u64>()
    }

    /// Lists a row if its cost is above the least and it isn't listed yet.
    pub(crate) fn note(&mut self, row: u32, cost: u32) {
        let (word, bit) = place(row);
        if cost > self.least_cost && self.listed[word] & bit == 0 {
            self.listed[word] |= bit;
            self.rows.push(row);
        }
    }

    /// Takes the row at `index` off the list if its cost is the least by now. Says whether it did.
    pub(crate) fn settle(&mut self, index: u32, cost: u32) -> bool {
        if cost > self.least_cost {
            return false;
        }
        let (word, bit) = place(self.rows.swap_remove(index as usize));
        self.listed[word] &= !bit;
        true
    }
}

fn place(row: u32) -> (usize, u64) {
    ((row / u64::BITS) as usize, 1 << (row % u64::BITS))
}
