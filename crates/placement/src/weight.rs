//! A seat's capacity, as an integer: a table made of floating point numbers could differ between machines.

/// The greatest weight that a seat may have.
pub const MAX_WEIGHT: u32 = 100;

const UNIT: u32 = 1024;

/// Capacity relative to a usual machine's 1, in 1/1024.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weight(u32);

impl Weight {
    /// Takes over a decimal number, rounded to the nearest 1/1024. None if it isn't finite, rounds to 0, or exceeds
    /// [`MAX_WEIGHT`].
    pub fn new(decimal: f64) -> Option<Self> {
        let usable = decimal > 0.0 && decimal <= f64::from(MAX_WEIGHT);
        let units = if usable { (decimal * f64::from(UNIT)).round() as u32 } else { 0 };
        (units > 0).then_some(Self(units))
    }

    /// The weight in 1/1024.
    pub const fn units(self) -> u32 {
        self.0
    }

    /// The weight as a decimal number.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(UNIT)
    }
}
