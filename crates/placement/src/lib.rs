//! Which senders own which destinations: destination, shard, replicas, epochs and leases. No I/O; time and randomness
//! are parameters.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod options;
