//! The order in which a shard falls back to seats beyond its base row: a pseudo-random permutation of its own, so that
//! the shards of lost seats spread over all others, and a seat that comes or goes changes nobody else's rank.

use crate::hash::{mix_pair, scale};
use crate::shard::ShardId;

/// Ranks and ordinals are below this.
pub(crate) const RANKS: u32 = 1 << 16;

const ROUNDS: usize = 4;

/// A shard's permutation of the numbers below [`RANKS`]: a Feistel network of four rounds on two bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FallbackOrder {
    keys: [u16; ROUNDS],
}

impl FallbackOrder {
    pub(crate) fn of(shard: ShardId) -> Self {
        const PURPOSE: u64 = 0x7761_6c6b;
        let hash = mix_pair(PURPOSE, u64::from(shard.0));
        Self { keys: [hash as u16, (hash >> 16) as u16, (hash >> 32) as u16, (hash >> 48) as u16] }
    }

    /// The ordinal at a rank.
    pub(crate) fn ordinal(&self, rank: u16) -> u16 {
        let (mut left, mut right) = ((rank >> 8) as u8, rank as u8);
        for key in self.keys {
            (left, right) = (right, left ^ round(right, key));
        }
        join(left, right)
    }

    /// The rank of an ordinal.
    pub(crate) fn rank(&self, ordinal: u16) -> u16 {
        let (mut left, mut right) = ((ordinal >> 8) as u8, ordinal as u8);
        for key in self.keys.iter().rev() {
            (left, right) = (right ^ round(left, *key), left);
        }
        join(left, right)
    }
}

const fn join(left: u8, right: u8) -> u16 {
    (left as u16) << 8 | right as u16
}

/// One round's function of half a number: the top bits of a product with an odd multiplier.
const fn round(half: u8, key: u16) -> u8 {
    const MULTIPLIER: u32 = 0x9E37_79B1;
    let product = ((half as u32) << 16 | key as u32).wrapping_mul(MULTIPLIER);
    let product = (product ^ (product >> 15)).wrapping_mul(MULTIPLIER);
    scale(product, 1 << 8) as u8
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_ordinal_has_one_rank_and_the_other_way_round() {
        for shard in [0, 1, 99, 262_143] {
            let order = FallbackOrder::of(ShardId(shard));
            let mut seen = vec![false; RANKS as usize];
            for rank in 0..=u16::MAX {
                let ordinal = order.ordinal(rank);
                assert_eq!(order.rank(ordinal), rank);
                assert!(!std::mem::replace(&mut seen[usize::from(ordinal)], true), "{ordinal} twice");
            }
        }
    }
}
