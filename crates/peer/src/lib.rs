//! # embershore-peer
//!
//! What a sender knows of the others of its fleet: who is living, suspected or gone, and whether a majority of the agreed
//! list is in sight. No I/O: datagrams and time go in, datagrams and the next time come out ([`Peers`]).
//!
//! Who is there is found out by SWIM (Das, Gupta and Motivala, 2002), from the library `foca`. What it says is a hint with
//! an age; a [`View`] says how old. `docs/design/peer.md` tells why it is built so.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod fleet;
mod member;
pub mod options;
mod peers;
mod view;

pub use fleet::{Fleet, FleetError, MEMBERS_MOST};
pub use member::{Member, NAME_MOST, Standing};
pub use peers::{DATAGRAM_MOST, Peers, Times};
pub use view::{Known, Sight, View};

/// Microseconds; of any clock that never goes back.
pub type Micros = i64;
