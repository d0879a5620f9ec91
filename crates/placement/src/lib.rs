//! Decides which senders own which destinations, by means of shards, replicas, epochs and leases.
//! The crate does no I/O; time and randomness are parameters.
//!
//! A destination belongs to a shard ([`shard`]), and a shard to the seats that own it ([`Table::owners`]).
//! A seat belongs to the member that fills it ([`MemberList::member`]).
//! The table of owners is a function of the member list alone.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod base;
mod changes;
mod conflicts;
mod domains;
mod error;
mod fallback;
mod forwarding;
pub mod hash;
mod holds;
mod lease;
mod list;
pub mod options;
mod ownership;
mod placement;
mod preference;
mod region;
mod shard;
mod table;
mod target;
mod weight;
pub mod wire;

pub use changes::{Change, Changes};
pub use domains::{RackId, ZoneId};
pub use error::ListError;
pub use forwarding::{ClientReply, DEFAULT_WAIT_MS, ForwardOutcome, Forwarding, MIN_ANSWER_TIMEOUT_US, Step};
pub use lease::{CLOCK_DRIFT_DIVISOR, Lease, LeaseTimes};
pub use list::{
    MAX_REGIONS, MAX_REPLICAS, MAX_SEATS, MAX_WIDE_DESTINATIONS, MAX_WIDTH, Member, MemberList, Region,
    RegionId, SeatId,
};
pub use ownership::{Admission, EpochUpdate, MAX_REPLAYED_CHANGES, Ownership, PersistedPlacement, Route};
pub use placement::{Placement, PlacementSource, UnsharedPlacements};
pub use preference::Request;
pub use shard::{SHARDS, ShardId, shard, sub_shard};
pub use table::Table;
pub use weight::{MAX_WEIGHT, Weight};
pub use wire::AgentAnswer;

/// The placement scheme that this version supports.
/// Senders with the same scheme and the same member list compute the same owners.
/// Golden digests in the tests pin the scheme's results.
pub const SCHEME: u16 = 1;
