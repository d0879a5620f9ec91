//! The state machine of one forwarded request.
//! The machine decides which owner the request is sent to next, each owner's timeouts, and the reply to the client.
//!
//! The machine does no I/O. It returns [`Step::Send`], is given the [`ForwardOutcome`], and ends with [`Step::Reply`].
//! Main rule: a request that one owner may have accepted is sent to another owner only if a repeat does no harm.
//! The caller must therefore report whether the first byte of the request was written:
//!
//! | event | outcome | next step |
//! | --- | --- | --- |
//! | `+OK` | [`ForwardOutcome::Accepted`] | the client is answered `+OK` |
//! | `-BUSY ms` | [`ForwardOutcome::Busy`] | next candidate; after the last, busy with the shortest wait reported |
//! | `-ERR` | [`ForwardOutcome::Invalid`] | the client is answered `-ERR` |
//! | connection refused, not connected in time, closed before the first byte, or the seat has become vacant | [`ForwardOutcome::NotSent`] | next candidate |
//! | after the first byte: timeout, reset, close, or an unreadable answer | [`ForwardOutcome::Unknown`] | [`Effect::Safe`]: next candidate; otherwise failed without another try |
//!
//! An owner that is down never receives the request. An owner that is full or on another epoch answers busy.
//! An owner that is stopped or slow leads to an unknown outcome when its answer timeout expires.

use crate::SeatId;
use heronroute::{Effect, Micros};

/// The shortest time in which an owner may be expected to answer. With less time left, no further owner is tried.
/// On a loaded machine the owner's answer would arrive too late, and the outcome would be unknown unnecessarily.
pub const MIN_ANSWER_TIMEOUT_US: Micros = 20_000;

/// The wait that is reported to a client, in milliseconds, if no owner reported one.
pub const DEFAULT_WAIT_MS: u64 = 250;

/// The outcome of sending a request to one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The owner answered `+OK`, and is responsible for the message from now on.
    Accepted,
    /// The owner answered `-BUSY`, so it has certainly not accepted the request.
    Busy {
        /// The wait that the owner reported, in milliseconds; 0 if it reported none.
        retry_after_ms: u64,
    },
    /// The owner answered `-ERR` with this reason: no sender can accept the request.
    Invalid(String),
    /// No byte of the request was written, so no owner has accepted it.
    NotSent,
    /// At least one byte was written and no valid answer was received: the owner may have accepted the request.
    Unknown,
}

/// The reply to the client whose request was forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// An owner has accepted the request.
    Accepted,
    /// No owner has accepted the request, or a repeat does no harm: the client may submit it again.
    Busy {
        /// How long the client is to wait before it submits the request again, in milliseconds.
        retry_after_ms: u64,
    },
    /// An owner may have accepted the request, and a repeat could take effect twice.
    Failed,
    /// No sender can accept the request, for the given reason.
    Invalid(String),
}

/// What the caller of [`Forwarding`] has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to an owner.
    Send {
        /// The seat of the owner to which the request is sent.
        to: SeatId,
        /// The time from now within which the first byte must be written.
        /// If that time passes, the caller must not write any byte, and the outcome is [`ForwardOutcome::NotSent`].
        write_timeout: Micros,
        /// The time from now within which the owner's answer must arrive.
        /// If the owner has not answered by then, the outcome is [`ForwardOutcome::Unknown`].
        answer_timeout: Micros,
    },
    /// Send the reply to the client. The forwarded request is finished.
    Reply(ClientReply),
}

/// One forwarded request, from the candidates that [`crate::Ownership::route`] returned to the client's reply.
#[derive(Clone, Debug)]
pub struct Forwarding {
    effect: Effect,
    candidates: std::vec::IntoIter<SeatId>,
    deadline: Micros,
    /// The shortest wait that an owner has reported, in milliseconds.
    min_wait_ms: Option<u64>,
    reply: Option<ClientReply>,
}

impl Forwarding {
    /// Creates the state of a request that was read at `read_at`. The client must have its reply `budget` later.
    /// The owners in `candidates` are tried in order, each at most once.
    pub fn new(effect: Effect, candidates: Vec<SeatId>, read_at: Micros, budget: Micros) -> Self {
        Forwarding {
            effect,
            candidates: candidates.into_iter(),
            deadline: read_at + budget,
            min_wait_ms: None,
            reply: None,
        }
    }

    /// Returns the first step that the caller has to take for the request.
    pub fn start(&mut self, now: Micros) -> Step {
        self.try_next(now)
    }

    /// Records the outcome of the last [`Step::Send`] and returns the next step.
    /// Once the reply is decided, later outcomes do not change the reply.
    pub fn record_outcome(&mut self, now: Micros, outcome: ForwardOutcome) -> Step {
        if let Some(reply) = &self.reply {
            return Step::Reply(reply.clone());
        }
        match outcome {
            ForwardOutcome::Accepted => self.finish(ClientReply::Accepted),
            ForwardOutcome::Invalid(reason) => self.finish(ClientReply::Invalid(reason)),
            ForwardOutcome::Busy { retry_after_ms } => {
                self.record_wait(retry_after_ms);
                self.try_next(now)
            }
            ForwardOutcome::NotSent => self.try_next(now),
            ForwardOutcome::Unknown => self.after_unknown(now),
        }
    }

    /// Returns the time by which the client must have its reply.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Handles an unknown outcome. Another owner is tried only if a repeat of the request does no harm.
    fn after_unknown(&mut self, now: Micros) -> Step {
        match self.effect {
            Effect::Safe => self.try_next(now),
            Effect::Keyed | Effect::Unsafe => self.finish(ClientReply::Failed),
        }
    }

    fn try_next(&mut self, now: Micros) -> Step {
        let time_left = self.deadline - now;
        if time_left < MIN_ANSWER_TIMEOUT_US {
            return self.finish_busy();
        }
        let untried = self.candidates.len() as Micros;
        let Some(to) = self.candidates.next() else { return self.finish_busy() };
        let equal_share = (time_left / untried).max(MIN_ANSWER_TIMEOUT_US);
        let answer_timeout = match self.effect {
            Effect::Safe => equal_share,
            // If this owner does not answer, no other owner is tried, so it may use all the remaining time.
            Effect::Keyed | Effect::Unsafe => time_left,
        };
        Step::Send { to, write_timeout: equal_share, answer_timeout }
    }

    fn record_wait(&mut self, wait_ms: u64) {
        if wait_ms > 0 {
            self.min_wait_ms = Some(self.min_wait_ms.map_or(wait_ms, |shortest| shortest.min(wait_ms)));
        }
    }

    fn finish_busy(&mut self) -> Step {
        let retry_after_ms = self.min_wait_ms.unwrap_or(DEFAULT_WAIT_MS);
        self.finish(ClientReply::Busy { retry_after_ms })
    }

    fn finish(&mut self, reply: ClientReply) -> Step {
        self.reply = Some(reply.clone());
        Step::Reply(reply)
    }
}
