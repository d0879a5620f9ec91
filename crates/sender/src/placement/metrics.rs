//! The metrics of placement: the lease, the owned shards and the messages forwarded between members.

use serde::Serialize;
use std::cell::Cell;

/// Counters of forwarded messages and of control agents' rejected responses, from the process's start.
#[derive(Debug, Default)]
pub struct Counters {
    pub forwarded: ForwardedCounters,
    /// Number of messages accepted from other members.
    pub taken_for_others: Cell<u64>,
    /// Number of control agents' responses that were rejected.
    pub lists_refused: Cell<u64>,
}

/// Numbers of forwarded messages, by the reply to the message's client.
#[derive(Debug, Default)]
pub struct ForwardedCounters {
    pub taken: Cell<u64>,
    pub busy: Cell<u64>,
    /// Number of messages that an owner may have accepted without confirming, or that no sender can accept.
    pub failed: Cell<u64>,
    /// Number of attempts to forward a message whose outcome is unknown, with any reply to the client.
    pub unknown: Cell<u64>,
}

/// Adds one to a counter of placement.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The object `placement` in the JSON of `GET /_vars`.
#[derive(Debug, Serialize)]
pub struct PlacementMetrics {
    /// The epoch of the member list in force; null before the first member list.
    pub epoch: Option<u64>,
    /// The remaining time of this sender's lease in milliseconds; 0 if the lease has expired.
    pub lease_left_ms: u64,
    /// Number of shards that this sender owns.
    pub owned_shards: usize,
    /// Number of owned shards whose endpoints have not been read yet.
    pub unread_shards: usize,
    /// Time in milliseconds until no destination is on hold any more.
    pub on_hold_ms: u64,
    /// Number of control agents' responses that were rejected.
    pub lists_refused: u64,
    /// Numbers of forwarded messages, by the reply to the message's client.
    pub forwarded: ForwardedMetrics,
    /// Number of messages accepted from other members.
    pub taken_for_others: u64,
}

/// Numbers of forwarded messages, as in [`ForwardedCounters`].
#[derive(Debug, Serialize)]
pub struct ForwardedMetrics {
    pub taken: u64,
    pub busy: u64,
    pub failed: u64,
    pub unknown: u64,
}

impl ForwardedCounters {
    /// Returns the current values of the forwarding counters.
    pub fn snapshot(&self) -> ForwardedMetrics {
        ForwardedMetrics {
            taken: self.taken.get(),
            busy: self.busy.get(),
            failed: self.failed.get(),
            unknown: self.unknown.get(),
        }
    }
}
