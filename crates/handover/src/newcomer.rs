//! The side that asks for the journal.

use crate::frame::{Frame, VERSION};

/// How far this process has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Newcomer {
    /// It does not know who has the journal.
    #[default]
    Looking,
    /// Someone has; it has said hello.
    Greeting,
    /// It has asked for the journal.
    Asking,
    /// It has been told the state, and that the lock is free.
    Holding,
    /// It has the journal.
    Owning,
}

/// What happens to a newcomer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NewcomerEvent<'a> {
    /// Whether the lock could be had.
    Lock(bool),
    /// The owner says something.
    Heard(&'a Frame),
    /// The owner can't be reached, has gone, or has been silent for as long as it is waited for.
    Lost,
}

/// What the newcomer does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewcomerDo {
    /// It waits for the owner's word.
    Wait,
    /// It tries the lock at once.
    TryLock,
    /// It leaves the owner alone for a moment, and then tries the lock.
    Pause,
    /// It looks for the owner and greets it.
    Greet,
    /// It asks for the journal.
    Ask,
    /// It owns the journal, as the first process of this sender or the next after one that has died.
    Start,
    /// It owns the journal, tells the owner that was, and goes on with its state.
    GoOn,
}

impl Newcomer {
    /// What follows from an event.
    pub fn on(&mut self, event: NewcomerEvent<'_>) -> NewcomerDo {
        use NewcomerEvent::{Heard, Lock, Lost};
        let (next, then) = match (*self, event) {
            (Newcomer::Looking, Lock(true)) => (Newcomer::Owning, NewcomerDo::Start),
            (Newcomer::Looking, Lock(false)) => (Newcomer::Greeting, NewcomerDo::Greet),
            (Newcomer::Greeting, Heard(Frame::Hello { version: VERSION })) => {
                (Newcomer::Asking, NewcomerDo::Ask)
            }
            (Newcomer::Asking, Heard(Frame::State(_))) => (Newcomer::Holding, NewcomerDo::TryLock),
            (Newcomer::Holding, Lock(true)) => (Newcomer::Owning, NewcomerDo::GoOn),
            // The owner that told the state may have died since: the lock is free all the same.
            (Newcomer::Holding, Lost | Heard(_)) => (Newcomer::Holding, NewcomerDo::TryLock),
            (Newcomer::Owning, _) => (Newcomer::Owning, NewcomerDo::Wait),
            // Whatever else: the state that was told, if any, is out of date by the next time.
            _ => (Newcomer::Looking, NewcomerDo::Pause),
        };
        *self = next;
        then
    }
}
