//! Tests of the state machines of owner and successor, with the lock.
//! At most one side owns the journal, whichever frames are lost, late or out of order.
//! Once the faults have ended, one side owns the journal.

use embershore_handover::*;
use heronroute::{MsgId, Outcome};
use proptest::prelude::*;

const HELLO: Frame = Frame::Hello { version: VERSION };

#[test]
fn each_step_of_a_successful_handover() {
    let (mut owner, mut successor) = (Owner::default(), Successor::default());
    assert_eq!(successor.on(SuccessorEvent::LockTried(false)), SuccessorAction::Connect);
    assert_eq!(owner.on(OwnerEvent::Received(&HELLO)), OwnerAction::SendHello);
    assert_eq!(successor.on(SuccessorEvent::Received(&HELLO)), SuccessorAction::RequestJournal);
    assert_eq!(owner.on(OwnerEvent::Received(&Frame::Take)), OwnerAction::Release);
    assert!(owner.owns());
    assert_eq!(owner.on(OwnerEvent::Released), OwnerAction::Wait);
    assert!(!owner.owns());
    let state = Frame::State(Box::default());
    assert_eq!(successor.on(SuccessorEvent::Received(&state)), SuccessorAction::TryLock);
    assert_eq!(successor.on(SuccessorEvent::LockTried(true)), SuccessorAction::Resume);
    assert_eq!(owner.on(OwnerEvent::Received(&Frame::Taken)), OwnerAction::Retire);
    assert_eq!(owner.on(OwnerEvent::Received(&Frame::Cancel { call: 1 })), OwnerAction::Forward);
    assert!(!owner.owns());
}

#[test]
fn a_successor_of_another_version_is_refused() {
    let mut owner = Owner::default();
    let other = Frame::Hello { version: VERSION + 1 };
    assert_eq!(owner.on(OwnerEvent::Received(&other)), OwnerAction::KeepServing);
    assert_eq!(owner.on(OwnerEvent::Received(&Frame::Take)), OwnerAction::KeepServing);
    assert!(owner.owns());
    let mut successor = Successor::default();
    successor.on(SuccessorEvent::LockTried(false));
    assert_eq!(successor.on(SuccessorEvent::Received(&other)), SuccessorAction::RetryLater);
    // After the owner has exited, the successor starts without the owner's state.
    assert_eq!(successor.on(SuccessorEvent::LockTried(true)), SuccessorAction::Start);
}

#[test]
fn the_owner_keeps_serving_if_the_successor_is_lost_at_any_step() {
    for steps in 0..=3 {
        let mut owner = Owner::default();
        let events = [OwnerEvent::Received(&HELLO), OwnerEvent::Received(&Frame::Take), OwnerEvent::Released];
        events[..steps].iter().for_each(|e| _ = owner.on(*e));
        let action = owner.on(OwnerEvent::TimedOut);
        if steps < 3 {
            assert_eq!(action, OwnerAction::KeepServing, "lost after {steps} steps");
        } else {
            assert_eq!(action, OwnerAction::Reclaim);
            assert!(!owner.owns());
            // The successor holds the lock, so the owner must not write until the lock is free.
            assert_eq!(owner.on(OwnerEvent::Reclaimed(false)), OwnerAction::Wait);
            assert!(!owner.owns());
            assert_eq!(owner.on(OwnerEvent::TimedOut), OwnerAction::Reclaim);
            assert_eq!(owner.on(OwnerEvent::Reclaimed(true)), OwnerAction::KeepServing);
        }
        assert!(owner.owns());
    }
}

#[test]
fn an_owner_whose_successor_disconnects_either_serves_or_retires() {
    for free in [true, false] {
        let mut owner = Owner::Released;
        assert_eq!(owner.on(OwnerEvent::Disconnected), OwnerAction::Reclaim);
        assert!(!owner.owns());
        let action = owner.on(OwnerEvent::Reclaimed(free));
        assert_eq!(action, if free { OwnerAction::KeepServing } else { OwnerAction::Retire });
        assert_eq!(owner.owns(), free);
    }
}

#[test]
fn a_successor_that_is_too_slow_to_take_the_lock_starts_over() {
    let mut successor = Successor::StateReceived;
    assert_eq!(successor.on(SuccessorEvent::LockTried(false)), SuccessorAction::RetryLater);
    assert_eq!(successor, Successor::Searching);
    // The lock is free if the owner dies after it has sent its state.
    let mut successor = Successor::StateReceived;
    assert_eq!(successor.on(SuccessorEvent::OwnerLost), SuccessorAction::TryLock);
    assert_eq!(successor.on(SuccessorEvent::LockTried(true)), SuccessorAction::Resume);
}

#[test]
fn frames_are_decoded_from_pieces_of_any_size() {
    let outcome = MessageOutcome { id: MsgId(7), attempt: 2, outcome: Outcome::Reset, closes_message: false };
    let ended = Frame::Ended { call: 9, outcomes: vec![outcome], elapsed: 5, wait: 250_000, report: None };
    let frames = [HELLO, Frame::Take, ended, Frame::State(Box::default())];
    let bytes: Vec<u8> = frames.iter().flat_map(|f| encode(f).unwrap()).collect();
    for piece in 1..bytes.len() {
        let (mut decoder, mut read) = (Decoder::default(), Vec::new());
        for part in bytes.chunks(piece) {
            decoder.buf.extend_from_slice(part);
            while let Some(frame) = decoder.decode().unwrap() {
                read.push(frame);
            }
        }
        assert_eq!(read, frames, "in pieces of {piece}");
        assert!(decoder.buf.is_empty());
    }
}

#[test]
fn overlong_and_malformed_frames_are_errors() {
    let mut long = Decoder::default();
    long.buf.extend_from_slice(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(long.decode(), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    for payload in [&[200][..], &[0], &[1, 1], &[]] {
        let mut decoder = Decoder::default();
        decoder.buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        decoder.buf.extend_from_slice(payload);
        assert_eq!(decoder.decode(), Err(FrameError::Malformed), "{payload:?}");
    }
}

/// Simulates an owner, a successor, the lock and the frames in transit.
#[derive(Default)]
struct World {
    owner: Owner,
    successor: Successor,
    locked_by_owner: bool,
    locked_by_successor: bool,
    to_owner: Vec<Frame>,
    to_successor: Vec<Frame>,
    successor_dead: bool,
}

impl World {
    fn owner(&mut self, event: OwnerEvent<'_>) {
        match self.owner.on(event) {
            OwnerAction::SendHello => self.to_successor.push(HELLO),
            OwnerAction::Release => {
                self.locked_by_owner = false;
                self.to_successor.push(Frame::State(Box::default()));
                self.owner(OwnerEvent::Released);
            }
            OwnerAction::Reclaim => {
                let free = !self.locked_by_successor;
                self.locked_by_owner |= free;
                self.owner(OwnerEvent::Reclaimed(free));
            }
            _ => {}
        }
    }

    fn successor(&mut self, event: SuccessorEvent<'_>) {
        match self.successor.on(event) {
            // A new connection has no frames in transit except the successor's Hello.
            SuccessorAction::Connect => (self.to_owner, self.to_successor) = (vec![HELLO], Vec::new()),
            SuccessorAction::RequestJournal => self.to_owner.push(Frame::Take),
            SuccessorAction::TryLock => {
                let free = !self.locked_by_owner;
                self.locked_by_successor |= free;
                self.successor(SuccessorEvent::LockTried(free));
            }
            SuccessorAction::Resume => self.to_owner.push(Frame::Taken),
            _ => {}
        }
    }

    /// Performs the numbered step of the simulation, if the step is possible in the current state.
    fn step(&mut self, number: u8) {
        match number {
            0 if !self.to_owner.is_empty() => {
                let frame = self.to_owner.remove(0);
                self.owner(OwnerEvent::Received(&frame));
            }
            1 if !self.successor_dead && !self.to_successor.is_empty() => {
                let frame = self.to_successor.remove(0);
                self.successor(SuccessorEvent::Received(&frame));
            }
            2 if !self.successor_dead && self.successor == Successor::Searching => {
                let free = !self.locked_by_owner;
                self.locked_by_successor |= free;
                self.successor(SuccessorEvent::LockTried(free));
            }
            3 => self.owner(OwnerEvent::TimedOut),
            4 if !self.successor_dead => self.successor(SuccessorEvent::OwnerLost),
            5 => {
                (self.successor_dead, self.locked_by_successor) = (true, false);
                self.to_owner.clear();
                self.owner(OwnerEvent::Disconnected);
            }
            // The owner accepts the next connection.
            6 if self.owner == Owner::Aborted => {
                self.owner = Owner::default();
                (self.to_owner, self.to_successor) = (Vec::new(), Vec::new());
            }
            _ => {}
        }
    }
}

proptest! {
    #[test]
    fn the_journal_never_has_two_owners(steps in proptest::collection::vec(0u8..7, 0..60)) {
        let mut world = World { locked_by_owner: true, ..World::default() };
        for step in steps {
            world.step(step);
            prop_assert!(!(world.locked_by_owner && world.locked_by_successor));
            if world.owner.owns() {
                prop_assert!(world.locked_by_owner, "the owner may write without holding the lock: {:?}", world.owner);
            }
            if world.successor == Successor::Owning && !world.successor_dead {
                prop_assert!(world.locked_by_successor);
            }
        }
        // After the successor has died, the owner either owns the journal again or has retired.
        // The owner has retired if the successor had acquired the lock.
        for step in [5, 3, 6].into_iter().cycle().take(9) {
            world.step(step);
        }
        prop_assert!(world.owner.owns() || world.owner == Owner::Retired);
    }
}
