//! The cost of a table row whose seats share failure domains, and the rows whose cost could be lower.

use crate::domains::{RackId, ZoneId};
use crate::list::MAX_REPLICAS;
/// Number of spare seats of a shard's row, which replace lost owners.
/// With two spare seats, the owners of a shard are still in distinct zones after one owner is lost.
/// The shards of a lost zone go to seats in proportion to the seats' quotas.
pub(crate) const SPARES: usize = 2;

/// Maximum number of seats in a table row. Shorter rows are filled up with [`EMPTY`].
/// A fixed row length lets the compiler unroll the hottest loops.
pub(crate) const ROW_LENGTH: usize = MAX_REPLICAS + SPARES;

/// Marks a position that no seat holds: the region has fewer seats than a row has positions, or the row is shorter.
pub(crate) const EMPTY: u16 = u16::MAX;

/// Cost that two seats of a row add to the row's cost if they share a rack.
const SHARED_RACK_COST: u32 = 1;
/// Cost that two seats of a row add to the row's cost if they share a zone. The cost of a shared rack is added.
const SHARED_ZONE_COST: u32 = 1 << 3;

/// Weight of a pair of owners in a row's cost. One pair of owners outweighs all pairs with a spare.
/// A row has at most 15 pairs of seats, of which at most six are pairs of owners.
const OWNER_PAIR_WEIGHT: u32 = 1 << 8;
/// Weight in a row's cost of a pair of seats of which at least one is a spare.
const OTHER_PAIR_WEIGHT: u32 = 1;

/// Which seats of a row count as a conflict when they share a zone or rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConflictScope {
    /// Two owners of the row that share a zone.
    Owners,
    /// Any two seats of the row that share a zone or a rack.
    Any,
}

impl ConflictScope {
    /// Returns the minimum amount by which a row's cost decreases when a conflict of this scope is resolved.
    pub(crate) const fn min_gain(self) -> i32 {
        match self {
            // The minimum gain is half of the conflict's cost, because smaller conflicts may replace the resolved one.
            Self::Owners => (OWNER_PAIR_WEIGHT * SHARED_ZONE_COST / 2) as i32,
            Self::Any => 1,
        }
    }
}

/// Zone and rack of a seat, packed into one number for fast comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Domain(u32);

impl Domain {
    /// The domain of an empty position. No zone has this zone number, as there are fewer zones than seats.
    pub(crate) const NONE: Self = Self(u32::MAX);

    pub(crate) fn new(zone: ZoneId, rack: RackId) -> Self {
        Self(u32::from(zone.0) << u16::BITS | u32::from(rack.0))
    }

    pub(crate) const fn zone(self) -> u16 {
        (self.0 >> u16::BITS) as u16
    }
}

/// The positions of a row, owners first and spares after them, and the weights of their pairs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    pub(crate) owners: usize,
    pub(crate) positions: usize,
    pair_weights: [[u32; ROW_LENGTH]; ROW_LENGTH],
}

impl Layout {
    pub(crate) fn new(owners: usize) -> Self {
        let mut pair_weights = [[0; ROW_LENGTH]; ROW_LENGTH];
        for (first, pair_weights) in pair_weights.iter_mut().enumerate() {
            for (second, weight) in pair_weights.iter_mut().enumerate().filter(|&(second, _)| second != first)
            {
                *weight = pair_weight(owners, first, second);
            }
        }
        Self { owners, positions: owners + SPARES, pair_weights }
    }

    /// Returns the weights of the pairs that a position forms with each position of its row; 0 for the position itself.
    pub(crate) fn pair_weights(&self, position: usize) -> &[u32; ROW_LENGTH] {
        &self.pair_weights[position]
    }

    /// Returns the cost of a row, the sum of [`pair_cost`] over all pairs.
    pub(crate) fn cost(&self, domains: &[Domain; ROW_LENGTH]) -> u32 {
        let mut cost = 0;
        for (first, &domain) in domains.iter().enumerate().filter(|&(_, &domain)| domain != Domain::NONE) {
            for (second, &other) in domains.iter().enumerate().skip(first + 1) {
                cost += pair_cost(domain, other, self.pair_weights[first][second]);
            }
        }
        cost
    }

    /// Returns the lowest cost that a row can have in a region with this number of zones.
    /// The cost is the minimum over all assignments of the row's seats to zones, in distinct racks.
    pub(crate) fn min_cost(&self, zones: usize) -> u32 {
        let zones = zones.clamp(1, self.positions) as u32;
        let assignments = zones.pow(self.positions as u32);
        let costs = (0..assignments).map(|assignment| {
            let mut domains = [Domain::NONE; ROW_LENGTH];
            for (position, domain) in domains.iter_mut().enumerate().take(self.positions) {
                let zone = assignment / zones.pow(position as u32) % zones;
                *domain = Domain::new(ZoneId(zone as u16), RackId(position as u16));
            }
            self.cost(&domains)
        });
        costs.min().unwrap_or(0)
    }
}

/// Returns the weight in a row's cost of a pair of the row's positions.
fn pair_weight(owners: usize, first: usize, second: usize) -> u32 {
    if first.max(second) < owners { OWNER_PAIR_WEIGHT } else { OTHER_PAIR_WEIGHT }
}

/// Returns the cost that a pair of seats adds to its row: the cost of shared zone and rack, multiplied by `weight`.
pub(crate) fn pair_cost(first: Domain, second: Domain, weight: u32) -> u32 {
    let difference = first.0 ^ second.0;
    let shared_zone = if difference >> u16::BITS == 0 { SHARED_ZONE_COST } else { 0 };
    let shared_rack = if difference == 0 { SHARED_RACK_COST } else { 0 };
    (shared_zone + shared_rack) * weight
}

/// The rows whose cost is above a threshold.
/// A row whose cost has fallen remains in this set until a search visits the row.
#[derive(Clone, Debug)]
pub(crate) struct ConflictRows {
    rows: Vec<u32>,
    /// One bit for each row of the region, set if the list `rows` of conflict rows contains the row.
    listed: Vec<u64>,
    threshold: u32,
}

impl ConflictRows {
    pub(crate) fn new(rows: u32) -> Self {
        Self { rows: Vec::new(), listed: vec![0; (rows as usize).div_ceil(u64::BITS as usize)], threshold: 0 }
    }

    /// Removes all conflict rows and sets the cost threshold.
    /// `min_cost` is the cost of a row without avoidable conflicts.
    /// One conflict of this scope raises a row's cost above the threshold.
    pub(crate) fn reset(&mut self, min_cost: u32, scope: ConflictScope) {
        self.rows = Vec::new();
        self.listed.fill(0);
        self.threshold = match scope {
            ConflictScope::Owners => min_cost + OWNER_PAIR_WEIGHT * SHARED_ZONE_COST - 1,
            ConflictScope::Any => min_cost,
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

    /// Adds a row to the conflict rows if its cost is above the threshold and the row has not been added yet.
    pub(crate) fn add(&mut self, row: u32, cost: u32) {
        let (word, bit) = word_and_bit(row);
        if cost > self.threshold && self.listed[word] & bit == 0 {
            self.listed[word] |= bit;
            self.rows.push(row);
        }
    }

    /// Removes the row at `index` from the conflict rows if its cost is no longer above the threshold.
    /// Returns whether the row was removed.
    pub(crate) fn remove_if_resolved(&mut self, index: u32, cost: u32) -> bool {
        if cost > self.threshold {
            return false;
        }
        let (word, bit) = word_and_bit(self.rows.swap_remove(index as usize));
        self.listed[word] &= !bit;
        true
    }
}

/// Returns the index of a row's word in the bit set `listed`, and the row's bit in the word.
fn word_and_bit(row: u32) -> (usize, u64) {
    ((row / u64::BITS) as usize, 1 << (row % u64::BITS))
}
