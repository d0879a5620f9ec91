//! Random numbers that follow from a seed. They serve to spread senders apart, not to keep secrets.

/// A generator (xorshift64).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Random(u64);

impl Random {
    /// Neighbouring seeds give unlike numbers from the first on (the finalizer of SplitMix64).
    pub(crate) fn new(seed: u64) -> Self {
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        // The generator stays at 0 for ever.
        Random((mixed ^ (mixed >> 31)) | 1)
    }

    /// The next number, from 0 to 1.
    pub(crate) fn chance(&mut self) -> f64 {
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
    fn numbers_of_neighbouring_seeds_lie_apart_and_evenly() {
        let first: Vec<f64> = (0..1_000).map(|seed| Random::new(seed).chance()).collect();
        assert!(first.iter().all(|x| (0.0..1.0).contains(x)));
        let mean = first.iter().sum::<f64>() / 1_000.0;
        let step = first.windows(2).map(|pair| (pair[0] - pair[1]).abs()).sum::<f64>() / 999.0;
        // Of numbers without order the mean is a half and the mean step a third.
        assert!((0.45..0.55).contains(&mean) && (0.28..0.38).contains(&step), "{mean} {step}");
    }
}
