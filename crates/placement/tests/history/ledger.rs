//! A ledger that records the acceptances and calls of each message.
//! The ledger checks the rules independently of the code under test.

use heronroute::{Effect, Micros};

/// A message as a client submits it, identified by its index in the ledger.
#[derive(Clone, Debug)]
pub struct Message {
    pub dest: i64,
    /// The number of the message's order key; `None` for an unordered message.
    pub key: Option<usize>,
    pub effect: Effect,
}

/// One acceptance of a message by a member.
#[derive(Clone, Debug)]
pub struct Job {
    pub message: usize,
    pub member: usize,
    /// Deadline of the accepted message: the time from which on no call for the message may begin.
    pub deadline: Micros,
    /// The time until which the receiver may still process the message's last call.
    pub call_until: Micros,
    pub effects: u32,
    pub promised: bool,
    pub ended: bool,
}

impl Job {
    /// Returns whether a call for the accepted message may still begin or is in flight.
    pub fn is_open(&self, now: Micros) -> bool {
        now < self.call_until || (!self.ended && now < self.deadline)
    }
}

/// Counts of events, by which the tests check that the random fault sequences reached the cases under test.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub accepted: u64,
    pub forwarded: u64,
    pub promised: u64,
    pub calls: u64,
    pub unknown: u64,
    pub not_sent: u64,
    pub rejected_by_hold: u64,
    pub rejected_by_lease: u64,
    pub rejected_as_not_owner: u64,
    pub answers_rejected: u64,
    pub epochs_skipped: u64,
    pub failed: u64,
    pub busy: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.messages += other.messages;
        self.accepted += other.accepted;
        self.forwarded += other.forwarded;
        self.promised += other.promised;
        self.calls += other.calls;
        self.unknown += other.unknown;
        self.not_sent += other.not_sent;
        self.rejected_by_hold += other.rejected_by_hold;
        self.rejected_by_lease += other.rejected_by_lease;
        self.rejected_as_not_owner += other.rejected_as_not_owner;
        self.answers_rejected += other.answers_rejected;
        self.epochs_skipped += other.epochs_skipped;
        self.failed += other.failed;
        self.busy += other.busy;
    }
}

/// Rounding error allowed in a sum of limit shares. Each share is one divided by a small integer.
const ROUNDING_TOLERANCE: f64 = 1e-9;

#[derive(Default)]
pub struct Ledger {
    pub messages: Vec<Message>,
    pub jobs: Vec<Job>,
    pub counts: Counts,
    pub violations: Vec<String>,
}

impl Ledger {
    pub fn message(&mut self, message: Message) -> usize {
        self.counts.messages += 1;
        self.messages.push(message);
        self.messages.len() - 1
    }

    /// Records that a member accepts a message.
    /// `lease_until` is computed from the control agent's answers that reached the member.
    pub fn accepted(
        &mut self,
        now: Micros,
        member: usize,
        message: usize,
        deadline: Micros,
        lease_until: Option<Micros>,
    ) -> usize {
        self.counts.accepted += 1;
        if lease_until.is_none_or(|until| now >= until) {
            self.violation(
                now,
                format!("member {member} accepts message {message}, but its lease ended at {lease_until:?}"),
            );
        }
        if self.messages[message].effect != Effect::Safe && self.jobs.iter().any(|job| job.message == message)
        {
            self.violation(now, format!("message {message} is accepted twice: {:?}", self.messages[message]));
        }
        self.jobs.push(Job {
            message,
            member,
            deadline,
            call_until: 0,
            effects: 0,
            promised: false,
            ended: false,
        });
        self.jobs.len() - 1
    }

    /// Records that the client receives `+OK` for an accepted message.
    pub fn promised(&mut self, job: usize) {
        self.counts.promised += 1;
        self.jobs[job].promised = true;
    }

    /// Records that the client receives `-BUSY`, so that the client may submit the message again.
    pub fn answered_busy(&mut self, now: Micros, message: usize) {
        self.counts.busy += 1;
        let accepted = self.jobs.iter().any(|job| job.message == message);
        if accepted && self.messages[message].effect != Effect::Safe {
            self.violation(now, format!("message {message} was accepted, but its client is answered busy"));
        }
    }

    /// Records the start of a call for an accepted message.
    /// `shares` are the limit shares of all members that may now begin a call to the same destination.
    pub fn begin_call(&mut self, now: Micros, job: usize, until: Micros, takes_effect: bool, shares: &[f64]) {
        self.counts.calls += 1;
        let sum: f64 = shares.iter().sum();
        if sum > 1.0 + ROUNDING_TOLERANCE {
            let dest = self.messages[self.jobs[job].message].dest;
            self.violation(
                now,
                format!("the shares of destination {dest} add up to {sum}, expected at most 1: {shares:?}"),
            );
        }
        self.check_order(now, job);
        let called = &mut self.jobs[job];
        called.call_until = until;
        called.effects += u32::from(takes_effect);
        let message = called.message;
        let effects: u32 = self.jobs.iter().filter(|job| job.message == message).map(|job| job.effects).sum();
        if effects > 1 && self.messages[message].effect == Effect::Unsafe {
            self.violation(now, format!("message {message} has its effect twice"));
        }
    }

    pub fn ended(&mut self, job: usize) {
        self.jobs[job].ended = true;
    }

    /// Checks that each accepted message has a final outcome.
    pub fn finish(&mut self, now: Micros) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            if !job.ended {
                let failure = if job.promised {
                    "confirmed to its client and lost"
                } else {
                    "accepted and never ended"
                };
                self.violation(now, format!("message {} is {failure}: {:?}", job.message, job));
            }
        }
    }

    /// Checks that no call for a message of the same key that was accepted earlier may still begin or be in flight.
    fn check_order(&mut self, now: Micros, job: usize) {
        let message = self.jobs[job].message;
        let Message { dest, key: Some(key), .. } = self.messages[message] else { return };
        let same_key = |other: &Job| {
            let other_message = &self.messages[other.message];
            other_message.dest == dest && other_message.key == Some(key)
        };
        let earlier = self.jobs[..job].iter().position(|other| same_key(other) && other.is_open(now));
        if let Some(earlier) = earlier {
            let (first, second) = (&self.jobs[earlier], &self.jobs[job]);
            let members = (second.member, first.member);
            let description = format!(
                "key {key} of destination {dest} is out of order at members {members:?}: {second:?} while {first:?}"
            );
            self.violation(now, description);
        }
    }

    fn violation(&mut self, now: Micros, description: String) {
        self.violations.push(format!("{:.6} s: {description}", now as f64 / 1e6));
    }
}
