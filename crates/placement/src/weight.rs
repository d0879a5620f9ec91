//! A seat's capacity as an integer: a table computed with floating-point numbers could differ between machines.

/// Maximum weight of a seat.
pub const MAX_WEIGHT: u32 = 100;

const UNITS_PER_ONE: u32 = 1024;

/// A seat's capacity relative to a usual machine, which has weight 1; in units of 1/1024.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weight(u32);

impl Weight {
    /// Converts a decimal number to a weight, rounded to the nearest 1/1024.
    /// Returns `None` if the number is not finite, rounds to 0, or exceeds [`MAX_WEIGHT`].
    pub fn new(decimal: f64) -> Option<Self> {
        let in_range = decimal > 0.0 && decimal <= f64::from(MAX_WEIGHT);
        let units = if in_range { (decimal * f64::from(UNITS_PER_ONE)).round() as u32 } else { 0 };
        (units > 0).then_some(Self(units))
    }

    /// Returns the weight in units of 1/1024.
    pub const fn units(self) -> u32 {
        self.0
    }

    /// Returns the weight as a decimal number.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(UNITS_PER_ONE)
    }
}
