//! What is counted and told of placement.

use serde::Serialize;
use std::cell::Cell;

/// Counters from the process's start.
#[derive(Debug, Default)]
pub struct Counters {
    pub forwarded: ForwardedCounters,
    /// Requests of other members that were taken on.
    pub taken_for_others: Cell<u64>,
    /// Answers of control agents that were refused.
    pub lists_refused: Cell<u64>,
}

/// Requests that were passed on, by what their client was told.
#[derive(Debug, Default)]
pub struct ForwardedCounters {
    pub taken: Cell<u64>,
    pub busy: Cell<u64>,
    /// Given up: an owner may have taken it on, or no sender can.
    pub failed: Cell<u64>,
    /// Attempts whose outcome is not known, whatever the client was told.
    pub unknown: Cell<u64>,
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The object `placement` at the operators' door.
#[derive(Debug, Serialize)]
pub struct PlacementMetrics {
    /// Epoch in force; null before the first list.
    pub epoch: Option<u64>,
    /// What is left of the lease, in milliseconds; 0 once it has expired.
    pub lease_left_ms: u64,
    /// Shards that this sender owns.
    pub owned_shards: usize,
    /// Owned shards whose endpoints have not been read yet.
    pub unread_shards: usize,
    /// Until nothing is on hold any more, in milliseconds.
    pub on_hold_ms: u64,
    /// Answers of control agents that were refused.
    pub lists_refused: u64,
    /// Requests that were passed on.
    pub forwarded: ForwardedMetrics,
    /// Requests of other members that were taken on.
    pub taken_for_others: u64,
}

/// Requests that were passed on, see [`ForwardedCounters`].
#[derive(Debug, Serialize)]
pub struct ForwardedMetrics {
    pub taken: u64,
    pub busy: u64,
    pub failed: u64,
    pub unknown: u64,
}

impl ForwardedCounters {
    /// As they are told.
    pub fn snapshot(&self) -> ForwardedMetrics {
        ForwardedMetrics {
            taken: self.taken.get(),
            busy: self.busy.get(),
            failed: self.failed.get(),
            unknown: self.unknown.get(),
        }
    }
}
