//! A message that could not be delivered, and what has become of it since.

use bytes::Bytes;
use heronroute::Micros;
use serde::{Deserialize, Serialize};

/// Attempts that are kept by name; of older ones only what matters for a second effect is. A message has a handful,
/// and each resend few more.
pub const ATTEMPTS_KEPT: usize = 32;
/// Words on one debt that are kept: an operator who has said so much about one message is a program gone wrong.
pub const WORDS_KEPT: usize = 16;

/// A debt, by the store's number for it. Numbers are never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DebtId(pub u64);

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The receiver turned it away unseen.
    TurnedAway,
    /// No connection came up; it never ran.
    NoConnection,
    /// The receiver answered with an error, or with what can't be read; it may have run.
    Error,
    /// The connection broke; it may have run.
    Reset,
    /// No answer in time; it may have run, or may yet.
    TimedOut,
    /// The sender died with the attempt out; it may have run.
    Unknown,
}

impl Ending {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Ending::TurnedAway | Ending::NoConnection)
    }
}

/// One attempt. Times are wall-clock microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The endpoint's name in the directory.
    pub endpoint: String,
    /// When its call began.
    pub at: Micros,
    /// How it ended.
    pub ending: Ending,
}

/// Why a message was given up. The categories are closed: rules and counts go by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Its time was up before any attempt.
    Unsent,
    /// The receiver turned it away until its time was up.
    TurnedAway,
    /// The receiver could not be reached until its time was up.
    Down,
    /// An attempt may have run, and the class allows no other.
    MayHaveRun,
    /// It had as many attempts as a message may have.
    AttemptsUsedUp,
    /// Its receiver had no endpoint any more.
    Gone,
}

impl Reason {
    /// All reasons, in the order in which they are listed.
    pub const ALL: [Reason; 6] = [
        Reason::Unsent,
        Reason::TurnedAway,
        Reason::Down,
        Reason::MayHaveRun,
        Reason::AttemptsUsedUp,
        Reason::Gone,
    ];

    /// Its name in rules, filters and lists.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Unsent => "unsent",
            Reason::TurnedAway => "turned-away",
            Reason::Down => "down",
            Reason::MayHaveRun => "may-have-run",
            Reason::AttemptsUsedUp => "attempts-used-up",
            Reason::Gone => "gone",
        }
    }

    /// The reason of an end, from what was tried until then.
    ///
    /// `listed` tells whether the receiver still had an endpoint, `most` how many attempts a message may have.
    pub fn of(attempts: &[Attempt], listed: bool, most: u32) -> Reason {
        if attempts.iter().any(|a| a.ending.may_have_run()) {
            Reason::MayHaveRun
        } else if !listed {
            Reason::Gone
        } else if attempts.len() as u64 >= u64::from(most) {
            Reason::AttemptsUsedUp
        } else {
            match attempts.last().map(|a| a.ending) {
                None => Reason::Unsent,
                Some(Ending::NoConnection) => Reason::Down,
                Some(_) => Reason::TurnedAway,
            }
        }
    }
}

/// The message as its client handed it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The id under which its client knows it.
    pub request_id: String,
    /// In a keyed class: by what the receiver knows a repeat.
    pub idempotency_key: Option<String>,
    /// The class's name in the settings.
    pub class: String,
    /// The tenant's name in the settings.
    pub tenant: String,
    /// The receiver's number.
    pub dest: i64,
    /// What it is about: a newer one with the same overwrites it, where its class does so.
    pub key: String,
    /// Its place in the order in which this sender accepted messages: a later one is newer, whatever a clock said.
    pub order: u64,
    /// The body.
    pub body: Bytes,
}

/// What an operator, or the receiver itself, said of a message in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    /// It took effect.
    Ran,
    /// It never took effect, and none of its attempts still will.
    NeverRan,
}

/// A word, by whom, why and when. Kept for as long as the debt is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// What was said.
    pub word: Word,
    /// By whom.
    pub by: String,
    /// Why.
    pub why: String,
    /// When.
    pub at: Micros,
}

/// How a debt was settled. What is settled is never sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// Delivered by a resend.
    Delivered,
    /// It had run after all, as somebody said.
    Ran,
    /// A newer message with the same receiver, class and key took its place.
    Superseded,
    /// It was owed for as long as its rule says.
    Expired,
    /// Dropped by hand.
    Dropped,
}

/// Where a debt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Not sent at present. What comes next follows from the rules.
    Owed,
    /// Handed to the decision module: it may be on its way at any moment.
    Out,
    /// Done with, and kept for inspection only.
    Settled(Settled),
}

/// A message that is still owed, or was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debt {
    /// The message.
    pub message: Message,
    /// Its latest attempts, oldest first: [`ATTEMPTS_KEPT`] at most.
    pub attempts: Vec<Attempt>,
    /// The first attempt that may have run and of which nobody has said that it did not.
    pub may_have_run: Option<Micros>,
    /// Why it was given up first.
    pub reason: Reason,
    /// When it was given up first.
    pub since: Micros,
    /// When it last became what it is: given up, or come back from a resend.
    pub last: Micros,
    /// How often it was sent again.
    pub resends: u32,
    /// Where it stands.
    pub state: State,
    /// What was said of it.
    pub words: Vec<Resolution>,
}

/// A word that can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WordError {
    /// Nobody doubts it.
    #[error("no attempt of it may have run: there is nothing to resolve")]
    NoDoubt,
    /// It is on its way.
    #[error("it is being sent at this moment: come again once that has ended")]
    Out,
    /// It is settled.
    #[error("it is settled already, as {0:?}")]
    Settled(Settled),
    /// Who and why are asked for.
    #[error("say by whom and why: the word is kept with both")]
    Unsigned,
    /// So much has been said of it that no more can be kept.
    #[error("more than {WORDS_KEPT} words on one message: drop it, or deliver it by hand")]
    TooMany,
}

impl Debt {
    /// A message that has just been given up, with all that was tried.
    pub fn new(message: Message, mut attempts: Vec<Attempt>, reason: Reason, now: Micros) -> Debt {
        let may_have_run = attempts.iter().filter(|a| a.ending.may_have_run()).map(|a| a.at).min();
        attempts.drain(..attempts.len().saturating_sub(ATTEMPTS_KEPT));
        let (state, words) = (State::Owed, Vec::new());
        Debt { message, attempts, may_have_run, reason, since: now, last: now, resends: 0, state, words }
    }

    /// The latest time that it knows of. A clock that shows less has been set back.
    pub fn known(&self) -> Micros {
        let tried = self.attempts.iter().map(|a| a.at);
        tried.chain([self.since, self.last]).chain(self.may_have_run).max().unwrap_or(self.last)
    }

    /// It is handed to the decision module. To be written down before that.
    pub fn sent(&mut self, now: Micros) {
        (self.state, self.last) = (State::Out, now);
        self.resends = self.resends.saturating_add(1);
    }

    /// A resend has ended without delivering, after these attempts.
    pub fn came_back(&mut self, tried: impl IntoIterator<Item = Attempt>, now: Micros) {
        for attempt in tried {
            if attempt.ending.may_have_run() {
                self.may_have_run = Some(self.may_have_run.map_or(attempt.at, |at| at.min(attempt.at)));
            }
            self.attempts.push(attempt);
        }
        self.attempts.drain(..self.attempts.len().saturating_sub(ATTEMPTS_KEPT));
        (self.state, self.last) = (State::Owed, now);
    }

    /// It is over: never sent again.
    pub fn settle(&mut self, how: Settled, now: Micros) {
        (self.state, self.last) = (State::Settled(how), now);
    }

    /// Takes a word on whether it ran. The same word said again changes nothing.
    ///
    /// # Errors
    /// When there is no doubt, the message is on its way or settled, or the word is not signed.
    pub fn resolve(&mut self, word: Word, by: &str, why: &str, now: Micros) -> Result<(), WordError> {
        if by.trim().is_empty() || why.trim().is_empty() {
            return Err(WordError::Unsigned);
        }
        match self.state {
            State::Out => return Err(WordError::Out),
            State::Settled(Settled::Ran) if word == Word::Ran => return Ok(()),
            State::Settled(how) => return Err(WordError::Settled(how)),
            State::Owed => {}
        }
        if self.may_have_run.is_none() {
            let said = self.words.last().is_some_and(|w| w.word == Word::NeverRan);
            return if said && word == Word::NeverRan { Ok(()) } else { Err(WordError::NoDoubt) };
        }
        if self.words.len() >= WORDS_KEPT {
            return Err(WordError::TooMany);
        }
        self.words.push(Resolution { word, by: by.into(), why: why.into(), at: now });
        match word {
            Word::Ran => self.settle(Settled::Ran, now),
            Word::NeverRan => (self.may_have_run, self.last) = (None, now),
        }
        Ok(())
    }
}
