//! The target of each seat: how many of a region's positions the seat should hold.
//! The target is in proportion to the seat's weight, but at most one position per shard.

use crate::list::MAX_REPLICAS;

/// A seat's weight in units of 1/1024, or a sum of weights.
pub(crate) type Units = u64;

/// The sum of the weights of a region's seats, and the greatest of these weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct Weights {
    total: Units,
    /// The greatest weights, in descending order.
    /// Only the seats with these greatest weights can have more weight than one seat may use.
    greatest: [Units; MAX_REPLICAS],
}

impl Weights {
    pub(crate) fn add(&mut self, weight: Units) {
        self.total += weight;
        let mut carried = weight;
        for slot in &mut self.greatest {
            if carried > *slot {
                std::mem::swap(slot, &mut carried);
            }
        }
    }

    /// Returns the fraction of all positions that each weight is entitled to.
    /// The `replicas` positions of a shard must be on different seats, so a seat holds at most one of them.
    /// Therefore a seat's weight is limited to `1 / replicas` of the sum of weights.
    pub(crate) fn shares(&self, replicas: usize) -> Shares {
        let mut rest = self.total;
        for capped in 0..replicas {
            let cap = rest / (replicas - capped) as Units;
            if self.greatest[capped] <= cap {
                return Shares { cap: cap.max(1), total: (rest + capped as Units * cap).max(1) };
            }
            rest -= self.greatest[capped];
        }
        Shares { cap: 1, total: replicas as Units }
    }
}

/// The fraction of all positions that each weight is entitled to: the weight, limited to `cap`, divided by `total`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shares {
    cap: Units,
    total: Units,
}

impl Shares {
    /// Returns how many of `positions` a seat of this weight should hold, rounded to the nearest integer.
    pub(crate) fn quota(self, positions: u64, weight: Units) -> u32 {
        let exact = positions * weight.min(self.cap);
        ((exact + self.total / 2) / self.total) as u32
    }

    /// Returns the greatest number of positions with which a seat of this weight is not above its target.
    pub(crate) fn target(self, positions: u64, weight: Units) -> u32 {
        (positions * weight.min(self.cap) / self.total) as u32
    }

    /// Returns whether a seat's load exceeds `sixteenths` / 16 of its target.
    pub(crate) fn exceeds(self, load: u32, positions: u64, weight: Units, sixteenths: u64) -> bool {
        let target = positions * weight.min(self.cap);
        u64::from(load) * self.total * 16 > target * sixteenths
    }
}
