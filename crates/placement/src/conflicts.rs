//! How distinct the failure domains of a row are, and which rows could do better.

use crate::domains::{RackId, ZoneId};
/// Two seats of a row that share a rack, and two that share a zone; one of them a spare. Each grade outweighs all pairs
/// of the lesser ones together: a row of six has 15 pairs, six of them of owners.
const SHARED_RACK: u32 = 1;
const SHARED_ZONE: u32 = 1 << 4;
/// The same where both are owners.
const OWNERS: u32 = 1 << 8;

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
}

impl Layout {
    /// The cost of a row whose seats are spread over `zones` zones as evenly as can be, in distinct racks.
    pub(crate) fn least_cost(self, zones: usize) -> u32 {
        let owners = pairs_sharing(self.owners, zones);
        let others = pairs_sharing(self.positions, zones) - owners;
        (owners * OWNERS + others) * SHARED_ZONE
    }
}

/// Pairs in one zone if `seats` are spread evenly over `zones`.
fn pairs_sharing(seats: usize, zones: usize) -> u32 {
    let zones = zones.max(1);
    let (each, more) = (seats / zones, seats % zones);
    let pairs = (zones - more) * each * each.saturating_sub(1) / 2 + more * (each + 1) * each / 2;
    pairs as u32
}

/// What two seats of a row add to its cost.
pub(crate) fn pair_cost(first: Domain, second: Domain, both_own: bool) -> u32 {
    let difference = first.0 ^ second.0;
    let shared_zone = if difference >> u16::BITS == 0 { SHARED_ZONE } else { 0 };
    let shared_rack = if difference == 0 { SHARED_RACK } else { 0 };
    let grade = if both_own { OWNERS } else { 1 };
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

    /// Forgets all rows; from now on rows above `least_cost` are listed.
    pub(crate) fn clear(&mut self, least_cost: u32) {
        self.rows = Vec::new();
        self.listed.fill(0);
        self.least_cost = least_cost;
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
