//! The lease under which a sender accepts requests as an owner, and the times derived from it.
//!
//! A sender polls its control agent (which serves the member list) periodically.
//! An answer to a poll that was sent at `polled_at` renews the lease until `polled_at + lease`.
//! The lease counts from the poll, so a delayed answer shortens the remaining lease by its delay.
//!
//! All times are from one monotonic clock of this process, which also advances while the process is stopped.
//! If the system has the clock `CLOCK_BOOTTIME`, the time also advances while the machine sleeps.
//! Clock readings of different machines are never compared.
//! Clocks may advance at different rates, so the hold is longer by the fraction 1 / [`CLOCK_DRIFT_DIVISOR`].

use heronroute::Micros;

/// The hold on gained shards is longer by 1 / `CLOCK_DRIFT_DIVISOR`, because clocks advance at different rates.
/// Two clocks that are each off by up to 500 parts per million differ by at most one thousandth.
pub const CLOCK_DRIFT_DIVISOR: Micros = 1_000;

/// The times that all members of a fleet must agree on, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long an answer of the control agent, counted from the poll, allows a sender to accept requests.
    pub lease: Micros,
    /// How long a control agent may still answer with an earlier epoch.
    /// The time counts from when a later epoch was first sent to any sender.
    /// A control agent that is later than `agent_lag` must not answer until it has the latest epoch.
    /// `agent_lag` is 0 if the control agent confirms the epoch with the control service after each poll.
    pub agent_lag: Micros,
    /// The longest deadline of any class, plus how long a call may be in flight after the deadline (`order_settle`).
    pub longest_deadline: Micros,
}

impl LeaseTimes {
    /// Returns how long a former owner may still accept requests after any sender first received the later epoch.
    /// The former owner's control agent may renew the owner's lease under the earlier epoch for up to `agent_lag`.
    pub fn stale_accept_window(&self) -> Micros {
        self.agent_lag + self.lease
    }

    /// Returns how long a new owner waits after it has received the epoch that made it an owner.
    /// When the hold ends, no former owner can still accept or deliver requests.
    pub fn hold(&self) -> Micros {
        let span = self.stale_accept_window() + self.longest_deadline;
        span + span / CLOCK_DRIFT_DIVISOR
    }
}

/// The time until which this sender may accept requests as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    length: Micros,
    expires_at: Option<Micros>,
}

impl Lease {
    /// Creates a lease of this length that no control agent's answer has renewed yet.
    pub fn new(length: Micros) -> Self {
        Lease { length, expires_at: None }
    }

    /// Renews the lease by a control agent's answer to the poll sent at `polled_at`.
    /// An answer to an earlier poll never shortens the lease.
    pub fn renew(&mut self, polled_at: Micros) {
        let expires_at = polled_at + self.length;
        self.expires_at = Some(self.expires_at.map_or(expires_at, |earlier| earlier.max(expires_at)));
    }

    /// Returns whether the lease allows this sender to accept requests at `now`.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns when the lease expires or expired; `None` before the first answer of a control agent.
    pub fn expires_at(&self) -> Option<Micros> {
        self.expires_at
    }
}
