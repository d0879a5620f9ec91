//! A seeded random number generator that spreads the senders' decisions. It is not suitable for cryptography.

/// An xorshift64 generator.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Random(u64);

impl Random {
    /// Returns a generator for a seed. The seed is mixed by the finalizer of SplitMix64.
    /// With the mixed seed, the first random numbers differ even between neighbouring seeds.
    pub(crate) fn new(seed: u64) -> Self {
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        // An xorshift generator with state 0 would return 0 for ever.
        Random((mixed ^ (mixed >> 31)) | 1)
    }

    /// Returns the next random number, from 0 (included) to 1 (excluded).
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_numbers_of_neighbouring_seeds_are_spread_evenly() {
        let first: Vec<f64> = (0..1_000).map(|seed| Random::new(seed).next_unit()).collect();
        assert!(first.iter().all(|x| (0.0..1.0).contains(x)));
        let mean = first.iter().sum::<f64>() / 1_000.0;
        let step = first.windows(2).map(|pair| (pair[0] - pair[1]).abs()).sum::<f64>() / 999.0;
        // Independent uniform numbers have a mean of 1/2 and a mean step of 1/3.
        assert!((0.45..0.55).contains(&mean) && (0.28..0.38).contains(&step), "{mean} {step}");
    }
}
