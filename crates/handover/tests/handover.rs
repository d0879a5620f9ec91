//! Both sides and the lock between them: whatever is lost, late or out of turn, at most one of them owns the journal,
//! and once all is well again one of them does.

use embershore_handover::*;
use heronroute::{MsgId, Outcome};
use proptest::prelude::*;

const HELLO: Frame = Frame::Hello { version: VERSION };

#[test]
fn each_step_of_a_replacement_that_goes_well() {
    let (mut owner, mut newcomer) = (Owner::default(), Newcomer::default());
    assert_eq!(newcomer.on(NewcomerEvent::Lock(false)), NewcomerDo::Greet);
    assert_eq!(owner.on(OwnerEvent::Heard(&HELLO)), OwnerDo::Greet);
    assert_eq!(newcomer.on(NewcomerEvent::Heard(&HELLO)), NewcomerDo::Ask);
    assert_eq!(owner.on(OwnerEvent::Heard(&Frame::Take)), OwnerDo::Give);
    assert!(owner.owns());
    assert_eq!(owner.on(OwnerEvent::Gave), OwnerDo::Wait);
    assert!(!owner.owns());
    let state = Frame::State(Box::default());
    assert_eq!(newcomer.on(NewcomerEvent::Heard(&state)), NewcomerDo::TryLock);
    assert_eq!(newcomer.on(NewcomerEvent::Lock(true)), NewcomerDo::GoOn);
    assert_eq!(owner.on(OwnerEvent::Heard(&Frame::Taken)), OwnerDo::Retire);
    assert_eq!(owner.on(OwnerEvent::Heard(&Frame::Cancel { call: 1 })), OwnerDo::Carry);
    assert!(!owner.owns());
}

#[test]
fn a_newcomer_of_another_version_gets_nothing() {
    let mut owner = Owner::default();
    let other = Frame::Hello { version: VERSION + 1 };
    assert_eq!(owner.on(OwnerEvent::Heard(&other)), OwnerDo::ServeOn);
    assert_eq!(owner.on(OwnerEvent::Heard(&Frame::Take)), OwnerDo::ServeOn);
    assert!(owner.owns());
    let mut newcomer = Newcomer::default();
    newcomer.on(NewcomerEvent::Lock(false));
    assert_eq!(newcomer.on(NewcomerEvent::Heard(&other)), NewcomerDo::Pause);
    // Once that owner has ended, it starts by itself.
    assert_eq!(newcomer.on(NewcomerEvent::Lock(true)), NewcomerDo::Start);
}

#[test]
fn a_newcomer_lost_at_any_step_leaves_the_owner_serving() {
    for steps in 0..=3 {
        let mut owner = Owner::default();
        let events = [OwnerEvent::Heard(&HELLO), OwnerEvent::Heard(&Frame::Take), OwnerEvent::Gave];
        events[..steps].iter().for_each(|e| _ = owner.on(*e));
        let then = owner.on(OwnerEvent::Late);
        if steps < 3 {
            assert_eq!(then, OwnerDo::ServeOn, "lost after {steps} steps");
        } else {
            assert_eq!(then, OwnerDo::Reclaim);
            assert!(!owner.owns());
            // It has the lock after all: the owner must not write until it is free.
            assert_eq!(owner.on(OwnerEvent::Reclaimed(false)), OwnerDo::Wait);
            assert!(!owner.owns());
            assert_eq!(owner.on(OwnerEvent::Late), OwnerDo::Reclaim);
            assert_eq!(owner.on(OwnerEvent::Reclaimed(true)), OwnerDo::ServeOn);
        }
        assert!(owner.owns());
    }
}

#[test]
fn an_owner_whose_newcomer_has_gone_serves_on_or_leaves_but_never_stays_between() {
    for free in [true, false] {
        let mut owner = Owner::Given;
        assert_eq!(owner.on(OwnerEvent::Gone), OwnerDo::Reclaim);
        assert!(!owner.owns());
        let then = owner.on(OwnerEvent::Reclaimed(free));
        assert_eq!(then, if free { OwnerDo::ServeOn } else { OwnerDo::Retire });
        assert_eq!(owner.owns(), free);
    }
}

#[test]
fn a_newcomer_that_was_slow_to_take_the_lock_asks_again() {
    let mut newcomer = Newcomer::Holding;
    assert_eq!(newcomer.on(NewcomerEvent::Lock(false)), NewcomerDo::Pause);
    assert_eq!(newcomer, Newcomer::Looking);
    // An owner that dies after it has told the state leaves the lock free.
    let mut newcomer = Newcomer::Holding;
    assert_eq!(newcomer.on(NewcomerEvent::Lost), NewcomerDo::TryLock);
    assert_eq!(newcomer.on(NewcomerEvent::Lock(true)), NewcomerDo::GoOn);
}

#[test]
fn frames_are_read_however_they_are_cut() {
    let fate = Fate { id: MsgId(7), attempt: 2, outcome: Outcome::Reset, over: false };
    let ended = Frame::Ended { call: 9, fates: vec![fate], elapsed: 5, wait: 250_000, report: None };
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
fn what_is_no_frame_is_an_error() {
    let mut long = Decoder::default();
    long.buf.extend_from_slice(&(FRAME_MOST as u32 + 1).to_le_bytes());
    assert_eq!(long.decode(), Err(FrameError::TooLong(FRAME_MOST + 1)));
    for payload in [&[200][..], &[0], &[1, 1], &[]] {
        let mut decoder = Decoder::default();
        decoder.buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        decoder.buf.extend_from_slice(payload);
        assert_eq!(decoder.decode(), Err(FrameError::Unreadable), "{payload:?}");
    }
}

/// A world of an owner, a newcomer, the lock, and frames under way.
#[derive(Default)]
struct World {
    owner: Owner,
    newcomer: Newcomer,
    locked_by_owner: bool,
    locked_by_newcomer: bool,
    to_owner: Vec<Frame>,
    to_newcomer: Vec<Frame>,
    newcomer_dead: bool,
}

impl World {
    fn owner(&mut self, event: OwnerEvent<'_>) {
        match self.owner.on(event) {
            OwnerDo::Greet => self.to_newcomer.push(HELLO),
            OwnerDo::Give => {
                self.locked_by_owner = false;
                self.to_newcomer.push(Frame::State(Box::default()));
                self.owner(OwnerEvent::Gave);
            }
            OwnerDo::Reclaim => {
                let free = !self.locked_by_newcomer;
                self.locked_by_owner |= free;
                self.owner(OwnerEvent::Reclaimed(free));
            }
            _ => {}
        }
    }

    fn newcomer(&mut self, event: NewcomerEvent<'_>) {
        match self.newcomer.on(event) {
            // On a link of its own.
            NewcomerDo::Greet => (self.to_owner, self.to_newcomer) = (vec![HELLO], Vec::new()),
            NewcomerDo::Ask => self.to_owner.push(Frame::Take),
            NewcomerDo::TryLock => {
                let free = !self.locked_by_owner;
                self.locked_by_newcomer |= free;
                self.newcomer(NewcomerEvent::Lock(free));
            }
            NewcomerDo::GoOn => self.to_owner.push(Frame::Taken),
            _ => {}
        }
    }

    /// Does what the number says, if it can happen now.
    fn step(&mut self, what: u8) {
        match what {
            0 if !self.to_owner.is_empty() => {
                let frame = self.to_owner.remove(0);
                self.owner(OwnerEvent::Heard(&frame));
            }
            1 if !self.newcomer_dead && !self.to_newcomer.is_empty() => {
                let frame = self.to_newcomer.remove(0);
                self.newcomer(NewcomerEvent::Heard(&frame));
            }
            2 if !self.newcomer_dead && self.newcomer == Newcomer::Looking => {
                let free = !self.locked_by_owner;
                self.locked_by_newcomer |= free;
                self.newcomer(NewcomerEvent::Lock(free));
            }
            3 => self.owner(OwnerEvent::Late),
            4 if !self.newcomer_dead => self.newcomer(NewcomerEvent::Lost),
            5 => {
                (self.newcomer_dead, self.locked_by_newcomer) = (true, false);
                self.to_owner.clear();
                self.owner(OwnerEvent::Gone);
            }
            // The owner lets the next link in.
            6 if self.owner == Owner::Over => {
                self.owner = Owner::default();
                (self.to_owner, self.to_newcomer) = (Vec::new(), Vec::new());
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
            prop_assert!(!(world.locked_by_owner && world.locked_by_newcomer));
            if world.owner.owns() {
                prop_assert!(world.locked_by_owner, "the owner writes without the lock: {:?}", world.owner);
            }
            if world.newcomer == Newcomer::Owning && !world.newcomer_dead {
                prop_assert!(world.locked_by_newcomer);
            }
        }
        // A newcomer that lives and is heard gets the journal, and an owner whose newcomer died has it back.
        for step in [5, 3, 6].into_iter().cycle().take(9) {
            world.step(step);
        }
        prop_assert!(world.owner.owns() || world.owner == Owner::Former);
    }
}
