//! Which senders own which destinations: destination, shard, replicas, epochs and leases. No I/O; time and randomness
//! are parameters.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod forwarding;
mod lease;

pub use forwarding::{DEFAULT_WAIT_MS, Forwarding, LEAST_PATIENCE, Outcome, Step, Verdict};
pub use lease::{CLOCK_RATE_ALLOWANCE, Lease, LeaseTimes};

/// A seat: a numbered place in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeatId(pub u16);
