//! The order in which a shard falls back to seats that are not in its base row.
//! Each shard has its own pseudo-random permutation, so that the shards of lost seats are spread over all other seats.
//! Adding or removing a seat changes no other seat's rank.

use crate::hash::{mix_pair, scale};
use crate::shard::ShardId;

/// Exclusive upper bound of seats' ranks in a fallback order, and of their ordinals.
pub(crate) const RANKS: u32 = 1 << 16;

const ROUNDS: usize = 4;

/// A shard's permutation of the numbers below [`RANKS`], a Feistel network of four rounds on two bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FallbackOrder {
    keys: [u16; ROUNDS],
}

impl FallbackOrder {
    pub(crate) fn of(shard: ShardId) -> Self {
        // Makes this hash differ from other hashes of shard numbers. The value is part of the placement scheme.
        const DOMAIN_TAG: u64 = 0x7761_6c6b;
        let hash = mix_pair(DOMAIN_TAG, u64::from(shard.0));
        Self { keys: [hash as u16, (hash >> 16) as u16, (hash >> 32) as u16, (hash >> 48) as u16] }
    }

    /// Returns the ordinal of the seat at a rank of the fallback order.
    pub(crate) fn ordinal(&self, rank: u16) -> u16 {
        let (mut left, mut right) = ((rank >> 8) as u8, rank as u8);
        for key in self.keys {
            (left, right) = (right, left ^ round(right, key));
        }
        join(left, right)
    }

    /// Returns the rank in the fallback order of the seat with this ordinal, which is the inverse of [`Self::ordinal`].
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

/// The round function of the Feistel network: the top bits of a product with an odd multiplier.
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
    fn ranks_and_ordinals_are_inverse_permutations() {
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
