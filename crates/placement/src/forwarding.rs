//! One request on its way to an owner: whom it goes to, how long each has, and what the client is told.
//!
//! The machine knows nothing of connections. It says [`Step::Send`], is told the [`Outcome`], and ends in
//! [`Step::Answer`]. Its one rule: a request that may have been taken on goes to a second owner only where a repeat does no
//! harm. What the caller must tell apart is therefore whether the first byte of the request was written:
//!
//! | what happened | outcome | next |
//! | --- | --- | --- |
//! | `+OK` | [`Outcome::Taken`] | the client is told so |
//! | `-BUSY ms` | [`Outcome::Busy`] | next candidate; after the last, busy with the least wait told |
//! | `-ERR` | [`Outcome::Wrong`] | the client is told so |
//! | refused, not connected in time, closed before the first byte, the seat is vacant by now | [`Outcome::NeverSent`] | next candidate |
//! | after the first byte: timeout, reset, close, an unreadable answer | [`Outcome::Unknown`] | [`Effect::Safe`]: next candidate; otherwise failed at once |
//!
//! An owner that is down is never sent the request, one that is full or on another epoch answers busy, one that is stopped or
//! slow ends as unknown when its patience is over.

use crate::SeatId;
use heronroute::{Effect, Micros};

/// A candidate that would have less time than this is not tried: on a loaded machine its answer would come too late, and
/// the outcome would be unknown for nothing.
pub const LEAST_PATIENCE: Micros = 20_000;

/// What a client is told to wait, in milliseconds, where no owner said how long.
pub const DEFAULT_WAIT_MS: u64 = 250;

/// What became of a request that was sent to one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The owner answered `+OK`: it owes the message its end.
    Taken,
    /// The owner answered `-BUSY`: it surely has not taken it on.
    Busy {
        /// When to come again, in milliseconds; 0 says nothing of it.
        after_ms: u64,
    },
    /// The owner answered `-ERR`, with this reason: no sender can take it on.
    Wrong(String),
    /// Not one byte of the request was written: it surely was not taken on.
    NeverSent,
    /// At least one byte was written and no answer came: it may have been taken on.
    Unknown,
}

/// What the client is told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An owner has taken it on.
    Taken,
    /// Nobody has taken it on, or a repeat does no harm: the client may hand it in again.
    Busy {
        /// When to come again, in milliseconds.
        after_ms: u64,
    },
    /// An owner may have taken it on, and a repeat might have its effect twice.
    Failed,
    /// No sender can take it on, for this reason.
    Wrong(String),
}

/// What is to be done next for the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to an owner.
    Send {
        /// The owner's seat.
        to: SeatId,
        /// The first byte must be written within this time from now; otherwise give up without writing any, and the outcome
        /// is [`Outcome::NeverSent`].
        begin_within: Micros,
        /// The answer must have come within this time from now; otherwise the outcome is [`Outcome::Unknown`].
        patience: Micros,
    },
    /// Tell the client, and forget the request.
    Answer(Verdict),
}

/// One request on its way, from the candidates that [`crate::Ownership::route`] gave to the client's answer.
#[derive(Clone, Debug)]
pub struct Forwarding {
    effect: Effect,
    candidates: std::vec::IntoIter<SeatId>,
    deadline: Micros,
    least_wait_ms: Option<u64>,
    verdict: Option<Verdict>,
}

impl Forwarding {
    /// A request with this effect that was read at `read_at` and must be answered within `budget` from then. `candidates` are
    /// tried in their order, each at most once.
    pub fn new(effect: Effect, candidates: Vec<SeatId>, read_at: Micros, budget: Micros) -> Self {
        Forwarding {
            effect,
            candidates: candidates.into_iter(),
            deadline: read_at + budget,
            least_wait_ms: None,
            verdict: None,
        }
    }

    /// The first step, at `now`.
    pub fn start(&mut self, now: Micros) -> Step {
        self.try_next(now)
    }

    /// The step after the outcome of the last [`Step::Send`]. Once there is an answer it never changes.
    pub fn outcome(&mut self, now: Micros, outcome: Outcome) -> Step {
        if let Some(verdict) = &self.verdict {
            return Step::Answer(verdict.clone());
        }
        match outcome {
            Outcome::Taken => self.answer(Verdict::Taken),
            Outcome::Wrong(reason) => self.answer(Verdict::Wrong(reason)),
            Outcome::Busy { after_ms } => {
                self.note_wait(after_ms);
                self.try_next(now)
            }
            Outcome::NeverSent => self.try_next(now),
            Outcome::Unknown => self.after_unknown(now),
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
            Effect::Keyed | Effect::Unsafe => self.answer(Verdict::Failed),
        }
    }

    fn try_next(&mut self, now: Micros) -> Step {
        let left = self.deadline - now;
        if left < LEAST_PATIENCE {
            return self.answer_busy();
        }
        let untried = self.candidates.len() as Micros;
        let Some(to) = self.candidates.next() else { return self.answer_busy() };
        let fair_part = (left / untried).max(LEAST_PATIENCE);
        let patience = match self.effect {
            Effect::Safe => fair_part,
            // Without an answer nobody else is asked, so that nobody else needs the time.
            Effect::Keyed | Effect::Unsafe => left,
        };
        Step::Send { to, begin_within: fair_part, patience }
    }

    fn note_wait(&mut self, after_ms: u64) {
        if after_ms > 0 {
            self.least_wait_ms = Some(self.least_wait_ms.map_or(after_ms, |least| least.min(after_ms)));
        }
    }

    fn answer_busy(&mut self) -> Step {
        let after_ms = self.least_wait_ms.unwrap_or(DEFAULT_WAIT_MS);
        self.answer(Verdict::Busy { after_ms })
    }

    fn answer(&mut self, verdict: Verdict) -> Step {
        self.verdict = Some(verdict.clone());
        Step::Answer(verdict)
    }
}
