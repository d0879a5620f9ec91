//! The lease under which a sender takes on requests as an owner, and the times derived from it.
//!
//! A sender asks its control agent again and again. An answer that was asked for at `polled_at` renews the lease until
//! `polled_at + lease`: counted from the ask, an answer that was delayed on its way renews it by that much less.
//!
//! All times are of one monotonic clock of this process that also advances while the process is stopped and, where the
//! system has such a clock, while the machine sleeps (`CLOCK_BOOTTIME`). Clocks of different machines are never compared, but
//! their rates are: the hold is longer by [`CLOCK_DRIFT_DIVISOR`].

use heronroute::Micros;

/// The hold is longer by one part in so many: two clocks that are each off by up to 500 parts in a million differ by
/// one part in a thousand.
pub const CLOCK_DRIFT_DIVISOR: Micros = 1_000;

/// The times on which all members of a fleet agree. All are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long an answer of the control agent, counted from the ask, lets a sender take on requests.
    pub lease: Micros,
    /// How far an agent may be behind: it answers with an epoch for at most this long after a later one was first told to any
    /// sender, and then not at all until it has caught up. 0 where each answer is confirmed with control after the ask.
    pub agent_lag: Micros,
    /// The longest deadline of any class, plus how long a call may still run after it (`order_settle`).
    pub longest_deadline: Micros,
}

impl LeaseTimes {
    /// How long after the first sender heard of an epoch a former owner may still take on requests: until then its agent
    /// may have renewed its lease under the earlier epoch.
    pub fn stale_accept_window(&self) -> Micros {
        self.agent_lag + self.lease
    }

    /// How long a new owner waits from when it heard of the epoch that made it one: until then a former owner may take on
    /// requests and deliver them.
    pub fn hold(&self) -> Micros {
        let span = self.stale_accept_window() + self.longest_deadline;
        span + span / CLOCK_DRIFT_DIVISOR
    }
}

/// Until when this sender may take on requests as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    length: Micros,
    until: Option<Micros>,
}

impl Lease {
    /// A lease of this length that no answer has renewed yet.
    pub fn new(length: Micros) -> Self {
        Lease { length, until: None }
    }

    /// An answer came for what was asked at `polled_at`. An answer to an earlier ask never shortens the lease.
    pub fn renew(&mut self, polled_at: Micros) {
        let until = polled_at + self.length;
        self.until = Some(self.until.map_or(until, |earlier| earlier.max(until)));
    }

    /// Whether requests may be taken on at `now`.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the lease ends or ended; `None` before the first answer.
    pub fn expires_at(&self) -> Option<Micros> {
        self.until
    }
}
