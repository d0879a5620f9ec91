//! The state machine of the owner, the process that owns the journal and hands it over.

use crate::frame::{Frame, VERSION};

/// The progress of a handover to one successor. An owner deals with one successor at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    /// The successor has connected but has not sent Hello.
    #[default]
    AwaitingHello,
    /// The successor has sent Hello with the protocol version of this process.
    VersionAgreed,
    /// The successor has requested the journal; the owner is finishing pending work.
    Finishing,
    /// The lock is released and the state has been sent.
    Released,
    /// The lock is released, and the successor has disconnected without reporting whether it has acquired the lock.
    SuccessorLost,
    /// The successor owns the journal. This state is final.
    Retired,
    /// The handover has failed; the owner keeps serving.
    Aborted,
}

/// An event that the state machine [`Owner`] handles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnerEvent<'a> {
    /// A frame from the successor.
    Received(&'a Frame),
    /// Pending work is finished, the lock is released and the state has been sent.
    Released,
    /// The successor has not answered in time.
    TimedOut,
    /// The connection to the successor was closed.
    Disconnected,
    /// The result of an attempt to reclaim the lock, see [`OwnerAction::Reclaim`]; true if the lock was acquired.
    Reclaimed(bool),
}

/// What the owner of the journal does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Waits for the successor's next frame.
    Wait,
    /// Sends the frame Hello to the successor.
    SendHello,
    /// Finishes pending work, releases the lock and sends the state.
    Release,
    /// Tries to acquire the lock again. A failure means that another process holds the lock.
    Reclaim,
    /// Keeps serving as if no successor had connected.
    KeepServing,
    /// Stops owning the journal: the process forwards messages that it still receives, and exits after its last call.
    Retire,
    /// Processes the received frame: sends a reply to a client, or cancels a call.
    Forward,
}

impl Owner {
    /// Handles an event and returns the owner's next action.
    pub fn on(&mut self, event: OwnerEvent<'_>) -> OwnerAction {
        use OwnerEvent::{Disconnected, Received, Reclaimed, Released, TimedOut};
        let (next, action) = match (*self, event) {
            (Owner::AwaitingHello, Received(Frame::Hello { version: VERSION })) => {
                (Owner::VersionAgreed, OwnerAction::SendHello)
            }
            (Owner::VersionAgreed, Received(Frame::Take)) => (Owner::Finishing, OwnerAction::Release),
            (Owner::Finishing, Released) => (Owner::Released, OwnerAction::Wait),
            // Only the lock decides which process owns the journal: the Taken frame may be late or never arrive.
            (Owner::Released, Received(Frame::Taken)) => (Owner::Retired, OwnerAction::Retire),
            (Owner::Released, Received(_) | TimedOut) => (Owner::Released, OwnerAction::Reclaim),
            (Owner::Released | Owner::SuccessorLost, Disconnected) => {
                (Owner::SuccessorLost, OwnerAction::Reclaim)
            }
            (Owner::Released | Owner::SuccessorLost, Reclaimed(true)) => {
                (Owner::Aborted, OwnerAction::KeepServing)
            }
            // Another process holds the lock and so owns the journal, but can't report this without a connection.
            // The owner retires, because waiting any longer for the lock would serve no client.
            (Owner::SuccessorLost, Reclaimed(false)) => (Owner::Retired, OwnerAction::Retire),
            (Owner::Released, Released | Reclaimed(false)) => (Owner::Released, OwnerAction::Wait),
            (Owner::Retired, Received(Frame::Reply { .. } | Frame::Cancel { .. })) => {
                (Owner::Retired, OwnerAction::Forward)
            }
            (Owner::SuccessorLost, _) => (Owner::SuccessorLost, OwnerAction::Reclaim),
            (Owner::Retired, _) => (Owner::Retired, OwnerAction::Wait),
            (Owner::Aborted, _) => (Owner::Aborted, OwnerAction::KeepServing),
            (Owner::AwaitingHello | Owner::VersionAgreed | Owner::Finishing, _) => {
                (Owner::Aborted, OwnerAction::KeepServing)
            }
        };
        *self = next;
        action
    }

    /// Returns whether this process may write to the journal.
    pub fn owns(self) -> bool {
        !matches!(self, Owner::Released | Owner::SuccessorLost | Owner::Retired)
    }
}
