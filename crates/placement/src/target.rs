//! How many positions of a region a seat should hold: its part of the weight, and never more than one a shard.

use crate::list::MAX_REPLICAS;

/// A seat's weight in 1/1024 as the table counts it.
pub(crate) type Units = u64;

/// Sum of the weights of a region's seats, and the greatest of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Weights {
    total: Units,
    /// The greatest weights, in falling order; only so many can exceed what one seat may hold.
    greatest: [Units; MAX_REPLICAS],
}

impl Weights {
    pub(crate) fn add(&mut self, weight: Units) {
        self.total += weight;
        let mut carried = weight;
        for place in &mut self.greatest {
            if carried > *place {
                std::mem::swap(place, &mut carried);
            }
        }
    }

    /// The part that each weight makes of all positions, where `replicas` positions of a shard go to different seats: a
    /// seat can't hold more than one position a shard, so that a weight counts up to `1 / replicas` of the sum only.
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

/// What each weight is entitled to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shares {
    cap: Units,
    total: Units,
}

impl Shares {
    /// Positions that a seat of this weight should hold out of `positions`, rounded to the nearest.
    pub(crate) fn quota(self, positions: u64, weight: Units) -> u32 {
        let exact = positions * weight.min(self.cap);
        ((exact + self.total / 2) / self.total) as u32
    }

    /// The greatest load of a seat of this weight that is not above its target.
    pub(crate) fn target(self, positions: u64, weight: Units) -> u32 {
        (positions * weight.min(self.cap) / self.total) as u32
    }

    /// Whether a load exceeds so many sixteenths of the target.
    pub(crate) fn exceeds(self, load: u32, positions: u64, weight: Units, sixteenths: u64) -> bool {
        let target = positions * weight.min(self.cap);
        u64::from(load) * self.total * 16 > target * sixteenths
    }
}
