//! The view of the fleet that other parts of the sender may rely on.

use crate::Micros;
use crate::member::Member;
use std::net::SocketAddr;

/// The state of a member according to failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The member answered a probe, or another member reports that the member answered.
    Alive,
    /// The member did not answer a probe, and has not refuted the suspicion yet.
    Suspected,
    /// The member has not refuted a suspicion in time, or has left.
    Down,
    /// Nothing has been received about the member since this process started.
    Unknown,
}

/// What this process knows of one other member of the agreed member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The member's name on the agreed member list.
    pub name: String,
    /// The member's state according to failure detection.
    pub liveness: Liveness,
    /// The last record of the member, received from that member or through another.
    pub record: Option<Member>,
    /// The time since the last datagram from the member itself, in microseconds.
    pub silent_for: Option<Micros>,
    /// The addresses of two processes that use this name at the same time.
    pub duplicate: Option<(SocketAddr, SocketAddr)>,
}

/// A process's view of its fleet at one moment. The view is a hint that may be out of date, and reports its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The other members of the agreed member list, by name.
    pub others: Vec<PeerView>,
    /// Whether more than half of the agreed member list is reachable, as confirmed by recent datagrams from members.
    /// This flag may become true late, but becomes false early.
    pub majority: bool,
    /// Whether this process was suspended recently, so that the view is out of date and must not be acted on yet.
    pub stale: bool,
    /// Whether the fleet has accepted another process with this process's name.
    /// If so, this displaced process sends nothing more and must not act under the name until it is restarted.
    pub displaced: bool,
    /// The number of datagrams dropped so far because they were too long, malformed, or had invalid records.
    pub dropped: u64,
}
