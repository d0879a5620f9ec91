//! A debt: an undeliverable message that is retained for the operator, with its attempts and verdicts.

use bytes::Bytes;
use heronroute::Micros;
use serde::{Deserialize, Serialize};

/// How many attempts of a debt are retained in full. A message has a few attempts, and each resend adds some.
/// Of older attempts, only the time of the earliest that may have taken effect is retained.
/// The time of that attempt decides whether a resend could have a second effect.
pub const MAX_RETAINED_ATTEMPTS: usize = 32;
/// The maximum number of resolutions of one debt. A higher number indicates a faulty client program.
pub const MAX_RESOLUTIONS: usize = 16;

/// The number of a debt in the store. Numbers are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DebtId(pub u64);

/// How an attempt to deliver a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The receiver rejected the message without processing it.
    #[serde(rename = "turned-away")]
    Rejected,
    /// No connection was established, so the receiver did not process the message.
    NoConnection,
    /// The receiver answered with an error or a malformed answer. The message may have taken effect.
    Error,
    /// The connection broke. The message may have taken effect.
    Reset,
    /// There was no answer in time. The message may have taken effect, or may still take effect.
    TimedOut,
    /// The sender died while the attempt was in flight. The message may have taken effect.
    Unknown,
}

impl AttemptOutcome {
    /// Returns whether an attempt with this outcome may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptOutcome::Rejected | AttemptOutcome::NoConnection)
    }
}

/// An attempt to deliver a message. Times are wall-clock microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The name in the directory of the endpoint that was called.
    pub endpoint: String,
    /// When the attempt's call to the endpoint began.
    pub at: Micros,
    /// How the attempt to deliver the message ended.
    #[serde(rename = "ending")]
    pub outcome: AttemptOutcome,
}

/// Why delivery of a message was given up. Rules and counts refer to these reasons, so the set of reasons is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The deadline of the message passed before the first attempt.
    Unsent,
    /// The receiver rejected the message until its deadline passed.
    #[serde(rename = "turned-away")]
    Rejected,
    /// The receiver was unreachable until the message's deadline passed.
    Down,
    /// An attempt may have taken effect, and the class allows no further attempt.
    MayHaveRun,
    /// The message's maximum number of attempts was reached.
    AttemptsUsedUp,
    /// The receiver no longer had any endpoint.
    Gone,
}

impl Reason {
    /// All reasons for giving up delivery, in the order in which they are shown to operators.
    pub const ALL: [Reason; 6] = [
        Reason::Unsent,
        Reason::Rejected,
        Reason::Down,
        Reason::MayHaveRun,
        Reason::AttemptsUsedUp,
        Reason::Gone,
    ];

    /// Returns the name of the reason in rules, in filters and in lists of debts.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Unsent => "unsent",
            Reason::Rejected => "turned-away",
            Reason::Down => "down",
            Reason::MayHaveRun => "may-have-run",
            Reason::AttemptsUsedUp => "attempts-used-up",
            Reason::Gone => "gone",
        }
    }

    /// Derives the reason for giving up delivery from the attempts made.
    ///
    /// `listed` is true if the receiver still had an endpoint when delivery was given up.
    pub fn of(attempts: &[Attempt], listed: bool, max_attempts: u32) -> Reason {
        if attempts.iter().any(|a| a.outcome.may_have_run()) {
            Reason::MayHaveRun
        } else if !listed {
            Reason::Gone
        } else if attempts.len() as u64 >= u64::from(max_attempts) {
            Reason::AttemptsUsedUp
        } else {
            match attempts.last().map(|a| a.outcome) {
                None => Reason::Unsent,
                Some(AttemptOutcome::NoConnection) => Reason::Down,
                Some(_) => Reason::Rejected,
            }
        }
    }
}

/// The message as its client handed it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The id that the client assigned to the message.
    pub request_id: String,
    /// The key by which the receiver recognizes a repeat, in a keyed class.
    pub idempotency_key: Option<String>,
    /// The name of the message's class in the settings.
    pub class: String,
    /// The name of the message's tenant in the settings.
    pub tenant: String,
    /// The number of the message's receiver.
    pub dest: i64,
    /// The subject of the message. A newer message with the same key supersedes this message if its rule allows it.
    pub key: String,
    /// The position of the message in the order in which this sender accepted messages.
    /// This position decides which of two messages is newer, because the clock may have been set back.
    pub order: u64,
    /// The body of the message, as the client sent it.
    pub body: Bytes,
}

/// The verdict of an operator, or of the receiver itself, on a message that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The verdict is that the message took effect.
    Ran,
    /// The verdict is that the message did not take effect, and that none of its attempts will still take effect.
    NeverRan,
}

/// A verdict with its author, justification and time. The resolution is retained as long as the debt itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// Whether the message took effect, according to the verdict's author.
    #[serde(rename = "word")]
    pub verdict: Verdict,
    /// The author of the verdict: who gave it.
    #[serde(rename = "by")]
    pub author: String,
    /// The author's reason for the verdict.
    #[serde(rename = "why")]
    pub justification: String,
    /// When the verdict was given, in microseconds since the Unix epoch.
    pub at: Micros,
}

/// How a debt was settled. The message of a settled debt is never sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// A resend delivered the message.
    Delivered,
    /// A verdict reported that the message had taken effect.
    Ran,
    /// A newer message with the same receiver, class and key replaced the message.
    Superseded,
    /// The matching rule's time limit for the debt passed.
    Expired,
    /// An operator dropped the message.
    Dropped,
}

/// The state of a debt: owed, in flight or settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The message is not being sent. The operator's rules decide whether and when it is resent.
    Owed,
    /// The message has been handed to the decision module, and may be sent at any moment.
    #[serde(rename = "out")]
    InFlight,
    /// The debt is closed, and retained for inspection only.
    Settled(Settled),
}

/// A message that is owed, or was owed until its debt was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debt {
    /// The undeliverable message.
    pub message: Message,
    /// The latest attempts, oldest first, at most [`MAX_RETAINED_ATTEMPTS`].
    pub attempts: Vec<Attempt>,
    /// The time of the first attempt that may have taken effect.
    /// `None` if there is no such attempt, or if a verdict rules out that the message took effect.
    pub may_have_run: Option<Micros>,
    /// Why delivery was given up for the first time.
    pub reason: Reason,
    /// When delivery was given up for the first time.
    #[serde(rename = "since")]
    pub given_up_at: Micros,
    /// When the state of the debt last changed.
    #[serde(rename = "last")]
    pub changed_at: Micros,
    /// The number of resends of the debt so far.
    pub resends: u32,
    /// Whether the message is owed, in flight or settled.
    pub state: State,
    /// The verdicts on the message given so far.
    #[serde(rename = "words")]
    pub resolutions: Vec<Resolution>,
}

/// Why a verdict on a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// No attempt may have taken effect, so there is no doubt to resolve.
    #[error("no attempt of the message may have run: there is nothing to resolve")]
    NotInDoubt,
    /// The message is being resent, so no verdict on it is accepted.
    #[error("the message is being sent now: try again when this resend has ended")]
    InFlight,
    /// The debt has been settled, so no verdict on it is accepted.
    #[error("the debt is already settled as {0:?}")]
    Settled(Settled),
    /// The verdict lacks its author or its justification.
    #[error("author or justification is empty: give both, as they are stored with the verdict")]
    Unsigned,
    /// The debt already has [`MAX_RESOLUTIONS`] resolutions.
    #[error(
        "the debt already has the maximum of {MAX_RESOLUTIONS} resolutions: drop it, or deliver it by hand"
    )]
    TooMany,
}

impl Debt {
    /// Creates the debt of a message that has just been given up, with all of its attempts.
    pub fn new(message: Message, mut attempts: Vec<Attempt>, reason: Reason, now: Micros) -> Debt {
        let may_have_run = attempts.iter().filter(|a| a.outcome.may_have_run()).map(|a| a.at).min();
        attempts.drain(..attempts.len().saturating_sub(MAX_RETAINED_ATTEMPTS));
        Debt {
            message,
            attempts,
            may_have_run,
            reason,
            given_up_at: now,
            changed_at: now,
            resends: 0,
            state: State::Owed,
            resolutions: Vec::new(),
        }
    }

    /// Returns the latest time recorded in the debt. If the clock shows an earlier time, the clock has been set back.
    pub fn latest_time(&self) -> Micros {
        let attempts = self.attempts.iter().map(|a| a.at);
        let times = attempts.chain([self.given_up_at, self.changed_at]).chain(self.may_have_run);
        times.max().unwrap_or(self.changed_at)
    }

    /// Records the start of a resend. The debt must be stored before the message is handed to the decision module.
    pub fn start_resend(&mut self, now: Micros) {
        (self.state, self.changed_at) = (State::InFlight, now);
        self.resends = self.resends.saturating_add(1);
    }

    /// Records that a resend ended without delivery, and adds its attempts.
    pub fn resend_failed(&mut self, attempts: impl IntoIterator<Item = Attempt>, now: Micros) {
        for attempt in attempts {
            if attempt.outcome.may_have_run() {
                self.may_have_run = Some(self.may_have_run.map_or(attempt.at, |at| at.min(attempt.at)));
            }
            self.attempts.push(attempt);
        }
        self.attempts.drain(..self.attempts.len().saturating_sub(MAX_RETAINED_ATTEMPTS));
        (self.state, self.changed_at) = (State::Owed, now);
    }

    /// Settles the debt, so that its message is never sent again.
    pub fn settle(&mut self, how: Settled, now: Micros) {
        (self.state, self.changed_at) = (State::Settled(how), now);
    }

    /// Applies a verdict on whether the message took effect. Repeating the same verdict changes nothing.
    ///
    /// # Errors
    /// Returns an error when no attempt may have taken effect, or when the message is in flight or settled.
    /// Returns an error when the debt has too many resolutions, or when the verdict's author or justification is empty.
    pub fn resolve(
        &mut self,
        verdict: Verdict,
        author: &str,
        justification: &str,
        now: Micros,
    ) -> Result<(), ResolveError> {
        if author.trim().is_empty() || justification.trim().is_empty() {
            return Err(ResolveError::Unsigned);
        }
        match self.state {
            State::InFlight => return Err(ResolveError::InFlight),
            State::Settled(Settled::Ran) if verdict == Verdict::Ran => return Ok(()),
            State::Settled(how) => return Err(ResolveError::Settled(how)),
            State::Owed => {}
        }
        if self.may_have_run.is_none() {
            let repeated = self.resolutions.last().is_some_and(|r| r.verdict == Verdict::NeverRan);
            return if repeated && verdict == Verdict::NeverRan {
                Ok(())
            } else {
                Err(ResolveError::NotInDoubt)
            };
        }
        if self.resolutions.len() >= MAX_RESOLUTIONS {
            return Err(ResolveError::TooMany);
        }
        let (author, justification) = (author.into(), justification.into());
        self.resolutions.push(Resolution { verdict, author, justification, at: now });
        match verdict {
            Verdict::Ran => self.settle(Settled::Ran, now),
            Verdict::NeverRan => (self.may_have_run, self.changed_at) = (None, now),
        }
        Ok(())
    }
}
