//! What other parts may build on.

use crate::Micros;
use crate::member::Member;
use std::net::SocketAddr;

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// It answered, or another says so.
    Living,
    /// It did not answer somebody, and has not refuted that yet.
    Suspected,
    /// It was suspected for long enough, or has left.
    Gone,
    /// Nothing was heard of it since this process started.
    Unheard,
}

/// One member of the agreed list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Its name on the list.
    pub name: String,
    /// What is held of it.
    pub sight: Sight,
    /// What it, or another for it, told last.
    pub told: Option<Member>,
    /// How long ago a datagram of its own came, in microseconds.
    pub heard: Option<Micros>,
    /// Two processes bear its name; both addresses, as far as they have been told of.
    pub doubled: Option<(SocketAddr, SocketAddr)>,
}

/// All that a process knows of its fleet at one moment. A hint: it may be old, and says how old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The others on the agreed list, by name.
    pub others: Vec<Known>,
    /// More than half of the agreed list is in sight, and this process knows that it is not alone with what it
    /// remembers. It may come late; it goes early.
    pub majority: bool,
    /// This process was away, as one that was stopped, and what it knows is not to be acted on yet.
    pub away: bool,
    /// Another process has this one's name: the fleet does not believe this one. It says nothing any more and must not act
    /// for the name, until it is started anew.
    pub displaced: bool,
    /// Datagrams dropped so far: too long, not understood, or with records that can't be.
    pub dropped: u64,
}
