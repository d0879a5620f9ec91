//! The state machine of the successor, the process that requests the journal.

use crate::frame::{Frame, VERSION};

/// The progress of the successor towards owning the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Successor {
    /// The successor does not know yet whether another process owns the journal.
    #[default]
    Searching,
    /// Another process owns the journal, and the successor has sent Hello to it.
    Connecting,
    /// The successor has requested the journal.
    Requested,
    /// The successor has received the owner's state, and the owner has released the lock.
    StateReceived,
    /// The successor owns the journal.
    Owning,
}

/// An event that the state machine [`Successor`] handles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SuccessorEvent<'a> {
    /// The result of an attempt to acquire the lock; true if the lock was acquired.
    LockTried(bool),
    /// A frame received from the owner.
    Received(&'a Frame),
    /// The owner can't be reached, has closed the connection, or has not answered in time.
    OwnerLost,
}

/// What the successor does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorAction {
    /// Waits for the owner's next frame.
    Wait,
    /// Tries to acquire the lock on the journal without a pause.
    TryLock,
    /// Drops the connection to the owner, pauses, and tries to acquire the lock.
    RetryLater,
    /// Connects to the owner and sends Hello.
    Connect,
    /// Requests the journal from the owner.
    RequestJournal,
    /// Starts as the owner without a predecessor's state.
    /// Either this process is the sender's first one, or the predecessor has exited.
    Start,
    /// Starts as the owner with the predecessor's state, and notifies the predecessor that it has acquired the lock.
    Resume,
}

impl Successor {
    /// Handles an event and returns the successor's next action.
    pub fn on(&mut self, event: SuccessorEvent<'_>) -> SuccessorAction {
        use SuccessorEvent::{LockTried, OwnerLost, Received};
        let (next, action) = match (*self, event) {
            (Successor::Searching, LockTried(true)) => (Successor::Owning, SuccessorAction::Start),
            (Successor::Searching, LockTried(false)) => (Successor::Connecting, SuccessorAction::Connect),
            (Successor::Connecting, Received(Frame::Hello { version: VERSION })) => {
                (Successor::Requested, SuccessorAction::RequestJournal)
            }
            (Successor::Requested, Received(Frame::State(_))) => {
                (Successor::StateReceived, SuccessorAction::TryLock)
            }
            (Successor::StateReceived, LockTried(true)) => (Successor::Owning, SuccessorAction::Resume),
            // The owner may have died after it sent its state. Dead or alive, the owner has released the lock.
            (Successor::StateReceived, OwnerLost | Received(_)) => {
                (Successor::StateReceived, SuccessorAction::TryLock)
            }
            (Successor::Owning, _) => (Successor::Owning, SuccessorAction::Wait),
            // Starts over after all other events, because a state received so far would be out of date at the next try.
            _ => (Successor::Searching, SuccessorAction::RetryLater),
        };
        *self = next;
        action
    }
}
