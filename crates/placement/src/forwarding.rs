//! One request on its way to an owner: whom it goes to, how long each has, and what the client is told.
//!
//! The machine knows nothing of connections. It says [`Step::Send`], is told the [`ForwardOutcome`], and ends in
//! [`Step::Reply`]. Its one rule: a request that may have been taken on goes to a second owner only where a repeat does no
//! harm. What the caller must tell apart is therefore whether the first byte of the request was written:
//!
//! | what happened | outcome | next |
//! | --- | --- | --- |
//! | `+OK` | [`ForwardOutcome::Accepted`] | the client is told so |
//! | `-BUSY ms` | [`ForwardOutcome::Busy`] | next candidate; after the last, busy with the least wait told |
//! | `-ERR` | [`ForwardOutcome::Invalid`] | the client is told so |
//! | refused, not connected in time, closed before the first byte, the seat is vacant by now | [`ForwardOutcome::NotSent`] | next candidate |
//! | after the first byte: timeout, reset, close, an unreadable answer | [`ForwardOutcome::Unknown`] | [`Effect::Safe`]: next candidate; otherwise failed at once |
//!
//! An owner that is down is never sent the request, one that is full or on another epoch answers busy, one that is stopped or
//! slow ends as unknown when its answer_timeout is over.

use crate::SeatId;
use heronroute::{Effect, Micros};

/// A candidate that would have less time than this is not tried: on a loaded machine its answer would come too late, and
/// the outcome would be unknown for nothing.
pub const MIN_ANSWER_TIMEOUT_US: Micros = 20_000;

/// What a client is told to wait, in milliseconds, where no owner said how long.
pub const DEFAULT_WAIT_MS: u64 = 250;

/// What became of a request that was sent to one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The owner answered `+OK`: it owes the message its end.
    Accepted,
    /// The owner answered `-BUSY`: it surely has not taken it on.
    Busy {
        /// When to come again, in milliseconds; 0 says nothing of it.
        retry_after_ms: u64,
    },
    /// The owner answered `-ERR`, with this reason: no sender can take it on.
    Invalid(String),
    /// Not one byte of the request was written: it surely was not taken on.
    NotSent,
    /// At least one byte was written and no answer came: it may have been taken on.
    Unknown,
}

/// What the client is told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// An owner has taken it on.
    Accepted,
    /// Nobody has taken it on, or a repeat does no harm: the client may hand it in again.
    Busy {
        /// When to come again, in milliseconds.
        retry_after_ms: u64,
    },
    /// An owner may have taken it on, and a repeat might have its effect twice.
    Failed,
    /// No sender can take it on, for this reason.
    Invalid(String),
}

/// What is to be done next for the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to an owner.
    Send {
        /// The owner's seat.
        to: SeatId,
        /// The first byte must be written within this time from now; otherwise give up without writing any, and the outcome
        /// is [`ForwardOutcome::NotSent`].
        write_timeout: Micros,
        /// The answer must have come within this time from now; otherwise the outcome is [`ForwardOutcome::Unknown`].
        answer_timeout: Micros,
    },
    /// Tell the client, and forget the request.
    Reply(ClientReply),
}

/// One request on its way, from the candidates that [`crate::Ownership::route`] gave to the client's answer.
#[derive(Clone, Debug)]
pub struct Forwarding {
    effect: Effect,
    candidates: std::vec::IntoIter<SeatId>,
    deadline: Micros,
    min_wait_ms: Option<u64>,
    verdict: Option<ClientReply>,
}

impl Forwarding {
    /// A request with this effect that was read at `read_at` and must be answered within `budget` from then. `candidates` are
    /// tried in their order, each at most once.
    pub fn new(effect: Effect, candidates: Vec<SeatId>, read_at: Micros, budget: Micros) -> Self {
        Forwarding {
            effect,
            candidates: candidates.into_iter(),
            deadline: read_at + budget,
            min_wait_ms: None,
            verdict: None,
        }
    }

    /// The first step, at `now`.
    pub fn start(&mut self, now: Micros) -> Step {
        self.try_next(now)
    }

    /// The step after the outcome of the last [`Step::Send`]. Once there is an answer it never changes.
    pub fn record_outcome(&mut self, now: Micros, outcome: ForwardOutcome) -> Step {
        if let Some(verdict) = &self.verdict {
            return Step::Reply(verdict.clone());
        }
        match outcome {
            ForwardOutcome::Accepted => self.answer(ClientReply::Accepted),
            ForwardOutcome::Invalid(reason) => self.answer(ClientReply::Invalid(reason)),
            ForwardOutcome::Busy { retry_after_ms } => {
                self.note_wait(retry_after_ms);
                self.try_next(now)
            }
            ForwardOutcome::NotSent => self.try_next(now),
            ForwardOutcome::Unknown => self.after_unknown(now),
        }
    }

    /// When the client must have its answer.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// The owner may have the request: a second owner only where a repeat does no harm.
    fn after_unknown(&mut self, now: Micros) -> Step {
        match self.effect {
            Effect::Safe => self.try_next(now),
            Effect::Keyed | Effect::Unsafe => self.answer(ClientReply::Failed),
        }
    }

    fn try_next(&mut self, now: Micros) -> Step {
        let left = self.deadline - now;
        if left < MIN_ANSWER_TIMEOUT_US {
            return self.answer_busy();
        }
        let untried = self.candidates.len() as Micros;
        let Some(to) = self.candidates.next() else { return self.answer_busy() };
        let fair_part = (left / untried).max(MIN_ANSWER_TIMEOUT_US);
        let answer_timeout = match self.effect {
            Effect::Safe => fair_part,
            // Without an answer nobody else is asked, so that nobody else needs the time.
            Effect::Keyed | Effect::Unsafe => left,
        };
        Step::Send { to, write_timeout: fair_part, answer_timeout }
    }

    fn note_wait(&mut self, retry_after_ms: u64) {
        if retry_after_ms > 0 {
            self.min_wait_ms =
                Some(self.min_wait_ms.map_or(retry_after_ms, |least| least.min(retry_after_ms)));
        }
    }

    fn answer_busy(&mut self) -> Step {
        let retry_after_ms = self.min_wait_ms.unwrap_or(DEFAULT_WAIT_MS);
        self.answer(ClientReply::Busy { retry_after_ms })
    }

    fn answer(&mut self, verdict: ClientReply) -> Step {
        self.verdict = Some(verdict.clone());
        Step::Reply(verdict)
    }
}
