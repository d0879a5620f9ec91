//! What other parts of the sender may rely on.

use crate::Micros;
use crate::member::Member;
use std::net::SocketAddr;

/// What failure detection reports of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answered, or another member reports that it did.
    Alive,
    /// It did not answer a probe, and has not refuted the suspicion yet.
    Suspected,
    /// It has been suspected for long enough, or has left.
    Down,
    /// Nothing has been received about it since this process started.
    Unknown,
}

/// The view of one member of the agreed list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The name on the list.
    pub name: String,
    /// What failure detection reports.
    pub liveness: Liveness,
    /// The last record of the member, received from itself or through another member.
    pub record: Option<Member>,
    /// The time since the last datagram from the member itself, in microseconds.
    pub silent_for: Option<Micros>,
    /// The addresses of two processes that use this name at the same time.
    pub duplicate: Option<(SocketAddr, SocketAddr)>,
}

/// What a process knows of its fleet at one moment. It is a hint that may be out of date, and reports its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The other members of the agreed list, by name.
    pub others: Vec<PeerView>,
    /// More than half of the agreed list is reachable, and recent datagrams from others confirm it. This may become
    /// true late, but becomes false early.
    pub majority: bool,
    /// This process was suspended, and what it knows must not be acted on yet.
    pub stale: bool,
    /// Another process uses this one's name, and the fleet accepts the other one. This process sends nothing more and
    /// must not act under the name until it is restarted.
    pub displaced: bool,
    /// The number of datagrams dropped so far: too long, malformed, or with invalid records.
    pub dropped: u64,
}
