//! The measurements of how a cost grows with the size of the fleet or of a list ("slopes"), in one module each.
//! Each module's function `run` measures one cost and returns a [`Report`](crate::report::Report).

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

/// Command-line options that all measurements share.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Whether to use small sizes, which take seconds in all, with wide margins on time budgets.
    pub small: bool,
    /// Path of the daemon's binary.
    pub binary: PathBuf,
    /// Limits from the command line, which replace the limits of the named budgets.
    pub overrides: Overrides,
    /// Seed of all random numbers.
    pub seed: u64,
}
