//! The hash functions of placement scheme 1. A change to any of these functions needs a new scheme number.

/// The multiplier of Fibonacci hashing (Knuth, TAOCP volume 3, section 6.4): 2^64 divided by the golden ratio, odd.
pub const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Mixes a number by the finaliser of SplitMix64 (Steele, Lea, Flood 2014): each input bit affects each output bit.
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

/// Hashes a pair of numbers. Swapping the numbers gives another hash.
pub const fn mix_pair(first: u64, second: u64) -> u64 {
    mix(mix(first.wrapping_add(FIBONACCI_MULTIPLIER)).wrapping_add(second))
}

/// Scales a 32-bit hash to `0..bound` without division (Lemire 2019); the bias is below `bound / 2^32`.
pub const fn scale(hash: u32, bound: u32) -> u32 {
    ((hash as u64 * bound as u64) >> 32) as u32
}

/// An incremental digest of typed values, for comparing lists and tables. It is not cryptographic.
#[derive(Clone, Copy, Debug)]
pub struct Digest(u64);

impl Digest {
    /// Creates a digest. `start` is a tag that separates digests of different types of data.
    pub const fn new(start: u64) -> Self {
        Self(mix(start.wrapping_add(FIBONACCI_MULTIPLIER)))
    }

    /// Returns the digest extended by a number.
    pub const fn number(self, value: u64) -> Self {
        Self(mix_pair(self.0, value))
    }

    /// Returns the digest extended by a text and the text's length.
    /// The length distinguishes consecutive texts from a different split of the same bytes.
    pub fn text(self, text: &str) -> Self {
        let mut digest = self.number(text.len() as u64);
        for chunk in text.as_bytes().chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            digest = digest.number(u64::from_le_bytes(word));
        }
        digest
    }

    /// Returns the digest of all numbers and texts added so far.
    pub const fn value(self) -> u64 {
        self.0
    }
}
