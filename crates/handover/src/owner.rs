//! The side that owns the journal, and gives it away.

use crate::frame::{Frame, VERSION};

/// How far a newcomer has come with this owner. One at a time is let in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    /// Nothing is known of it.
    #[default]
    Greeting,
    /// It speaks the same version.
    Agreed,
    /// It has asked; the owner is finishing what it has in hand.
    Asked,
    /// It has been told the state, and the lock is free.
    Given,
    /// The same, and it has gone without a word.
    Forsaken,
    /// It has the journal. There is no way back.
    Former,
    /// It is of no account any more; the owner serves on.
    Over,
}

/// What happens to an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnerEvent<'a> {
    /// The newcomer says something.
    Heard(&'a Frame),
    /// All in hand is finished, the state is told and the lock is free.
    Gave,
    /// The newcomer has been silent for as long as it is waited for.
    Late,
    /// The link to the newcomer has ended.
    Gone,
    /// Whether the lock could be had again, once the owner had been told to try.
    Reclaimed(bool),
}

/// What the owner does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerDo {
    /// It waits.
    Wait,
    /// It greets.
    Greet,
    /// It finishes what it has in hand, gives the lock free and tells the state.
    Give,
    /// It tries to have the lock again. If it can't, another process has it.
    Reclaim,
    /// It serves on, as if nobody had come.
    ServeOn,
    /// It owns nothing any more: it passes on what comes to it and ends with its last call.
    Retire,
    /// It passes this on: a reply, or a call to give up.
    Carry,
}

impl Owner {
    /// What follows from an event.
    pub fn on(&mut self, event: OwnerEvent<'_>) -> OwnerDo {
        use OwnerEvent::{Gave, Gone, Heard, Late, Reclaimed};
        let (next, then) = match (*self, event) {
            (Owner::Greeting, Heard(Frame::Hello { version: VERSION })) => (Owner::Agreed, OwnerDo::Greet),
            (Owner::Agreed, Heard(Frame::Take)) => (Owner::Asked, OwnerDo::Give),
            (Owner::Asked, Gave) => (Owner::Given, OwnerDo::Wait),
            // Only the lock tells whether it has the journal: a word that comes late, or never, does not.
            (Owner::Given, Heard(Frame::Taken)) => (Owner::Former, OwnerDo::Retire),
            (Owner::Given, Heard(_) | Late) => (Owner::Given, OwnerDo::Reclaim),
            (Owner::Given | Owner::Forsaken, Gone) => (Owner::Forsaken, OwnerDo::Reclaim),
            (Owner::Given | Owner::Forsaken, Reclaimed(true)) => (Owner::Over, OwnerDo::ServeOn),
            // No one is left who would say so, and the journal is another's: to wait on would be to serve no one.
            (Owner::Forsaken, Reclaimed(false)) => (Owner::Former, OwnerDo::Retire),
            (Owner::Given, Gave | Reclaimed(false)) => (Owner::Given, OwnerDo::Wait),
            (Owner::Former, Heard(Frame::Reply { .. } | Frame::Cancel { .. })) => {
                (Owner::Former, OwnerDo::Carry)
            }
            (Owner::Forsaken, _) => (Owner::Forsaken, OwnerDo::Reclaim),
            (Owner::Former, _) => (Owner::Former, OwnerDo::Wait),
            (Owner::Over, _) => (Owner::Over, OwnerDo::ServeOn),
            (Owner::Greeting | Owner::Agreed | Owner::Asked, _) => (Owner::Over, OwnerDo::ServeOn),
        };
        *self = next;
        then
    }

    /// Whether this process may write to the journal.
    pub fn owns(self) -> bool {
        !matches!(self, Owner::Given | Owner::Forsaken | Owner::Former)
    }
}
