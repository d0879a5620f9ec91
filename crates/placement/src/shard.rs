//! Destinations to shards: a fixed number of shards, whatever the number of destinations or members.

use crate::hash::{FIBONACCI_MULTIPLIER, mix_pair};

/// Binary logarithm of [`SHARDS`].
pub const SHARD_BITS: u32 = 18;

/// Number of shards. With 15,000 members and two replicas a member has 35 of them, enough for evenness within 3%, and a
/// table of all of them stays in a few megabytes.
pub const SHARDS: u32 = 1 << SHARD_BITS;

/// One shard: destinations that are always placed together. Below [`SHARDS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// The shard's place in the interleaved order, in which regions own ranges: its number with the bits reversed, so
    /// that each range holds an even sample of the shards. Its own inverse.
    pub(crate) const fn position(self) -> u32 {
        reverse_bits(self.0)
    }

    /// The shard at a place of the interleaved order.
    pub(crate) const fn at_position(position: u32) -> Self {
        Self(reverse_bits(position))
    }
}

const fn reverse_bits(number: u32) -> u32 {
    number.reverse_bits() >> (u32::BITS - SHARD_BITS)
}

/// The shard of a destination, by multiplicative hashing: destinations that are numbered densely come out almost
/// perfectly even.
pub const fn shard(dest: i64) -> ShardId {
    ShardId(((dest as u64).wrapping_mul(FIBONACCI_MULTIPLIER) >> (u64::BITS - SHARD_BITS)) as u32)
}

/// The shard of one part of a wide destination; part 0 is the destination's plain shard.
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
    fn a_position_is_the_inverse_of_itself() {
        for number in [0, 1, 2, 77, 131_072, SHARDS - 1] {
            assert_eq!(ShardId::at_position(ShardId(number).position()), ShardId(number));
        }
        assert_eq!(ShardId(1).position(), SHARDS / 2);
    }
}
