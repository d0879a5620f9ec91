//! The mapping from destinations to shards.
//! The number of shards is fixed: it does not depend on the number of destinations or members.

use crate::hash::{FIBONACCI_MULTIPLIER, mix_pair};

/// Binary logarithm of [`SHARDS`].
pub const SHARD_BITS: u32 = 18;

/// Number of shards. With 15,000 members and two replicas each member owns about 35 shards.
/// With 35 shards each, members' loads are within 3% of the mean. A table of all shards takes a few megabytes.
pub const SHARDS: u32 = 1 << SHARD_BITS;

/// Number of a shard, below [`SHARDS`]. A shard is a set of destinations that always have the same owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Returns the shard's position in the interleaved order: its number with the bits reversed.
    /// Each region owns a range of positions, which is therefore an even sample of the shards.
    pub(crate) const fn position(self) -> u32 {
        reverse_bits(self.0)
    }

    /// Returns the shard at a position of the interleaved order, which is the inverse of [`Self::position`].
    pub(crate) const fn at_position(position: u32) -> Self {
        Self(reverse_bits(position))
    }
}

const fn reverse_bits(number: u32) -> u32 {
    number.reverse_bits() >> (u32::BITS - SHARD_BITS)
}

/// Returns the shard of a destination, by multiplicative hashing.
/// Densely numbered destinations are spread almost perfectly evenly.
pub const fn shard(dest: i64) -> ShardId {
    ShardId(((dest as u64).wrapping_mul(FIBONACCI_MULTIPLIER) >> (u64::BITS - SHARD_BITS)) as u32)
}

/// Returns one of the shards of a wide destination, by its index. Index 0 is the shard of the destination itself.
pub const fn sub_shard(dest: i64, part: u16) -> ShardId {
    match part {
        0 => shard(dest),
        _ => shard(mix_pair(dest as u64, part as u64) as i64),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn at_position_is_the_inverse_of_position() {
        for number in [0, 1, 2, 77, 131_072, SHARDS - 1] {
            assert_eq!(ShardId::at_position(ShardId(number).position()), ShardId(number));
        }
        assert_eq!(ShardId(1).position(), SHARDS / 2);
    }
}
