//! The slopes, one module each. Each returns a [`Report`].

pub mod fleet;
pub mod held;
pub mod hollow_check;
pub mod list_memory;
pub mod list_stream;
pub mod membership;
pub mod message_cpu;
pub mod module_round;
pub mod owners_check;
pub mod placement;

use crate::budget::Overrides;
use std::path::PathBuf;

/// What holds for every slope.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Sizes that take seconds in all, without budgets on times.
    pub small: bool,
    /// The daemon's binary.
    pub binary: PathBuf,
    /// Budgets that the command line has changed.
    pub overrides: Overrides,
    /// Seed of everything random.
    pub seed: u64,
}
