//! # embershore-peer: membership and failure detection among senders
//!
//! Tracks which senders of the fleet are alive, suspected or down.
//! Also tracks whether a majority of the agreed member list is reachable. The crate does no I/O.
//! [`Peers`] takes received datagrams and the current time.
//! [`Peers`] returns datagrams to send, and the time by which it must be called next.
//!
//! Failure detection is SWIM (Das, Gupta and Motivala, 2002), from the library `foca`.
//! Its results are hints that may be out of date; a [`View`] reports their age.
//! `docs/design/peer.md` explains the design.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod fleet;
mod member;
pub mod options;
mod peers;
mod view;

pub use fleet::{Fleet, FleetError, MAX_MEMBERS};
pub use member::{MAX_NAME_BYTES, Member, Status};
pub use peers::{MAX_DATAGRAM_BYTES, Peers, Times};
pub use view::{Liveness, PeerView, View};

/// A time or duration in microseconds of a monotonic clock.
pub type Micros = i64;
