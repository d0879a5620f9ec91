//! What is true of each message, by what happened, and the rules that must hold. It knows nothing of the code under test.

use heronroute::{Effect, Micros};

/// A message as a client hands it in; the client's name for it is its index.
#[derive(Clone, Debug)]
pub struct Message {
    pub dest: i64,
    /// In an ordered class: the number of its key.
    pub key: Option<usize>,
    pub effect: Effect,
}

/// A message that one member took on once.
#[derive(Clone, Debug)]
pub struct Job {
    pub message: usize,
    pub member: usize,
    /// No call begins from then on.
    pub deadline: Micros,
    /// The receiver has been working on a call until then.
    pub call_until: Micros,
    pub effects: u32,
    pub promised: bool,
    pub ended: bool,
}

impl Job {
    /// Whether a call for it may begin or is under way.
    pub fn is_open(&self, now: Micros) -> bool {
        now < self.call_until || (!self.ended && now < self.deadline)
    }
}

/// How often things happened, so that a run of histories shows that it reached them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub taken: u64,
    pub forwarded: u64,
    pub promised: u64,
    pub calls: u64,
    pub unknown: u64,
    pub never_sent: u64,
    pub refused_by_hold: u64,
    pub refused_by_lease: u64,
    pub refused_as_not_owner: u64,
    pub lists_refused: u64,
    pub epochs_skipped: u64,
    pub failed: u64,
    pub busy: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.messages += other.messages;
        self.taken += other.taken;
        self.forwarded += other.forwarded;
        self.promised += other.promised;
        self.calls += other.calls;
        self.unknown += other.unknown;
        self.never_sent += other.never_sent;
        self.refused_by_hold += other.refused_by_hold;
        self.refused_by_lease += other.refused_by_lease;
        self.refused_as_not_owner += other.refused_as_not_owner;
        self.lists_refused += other.lists_refused;
        self.epochs_skipped += other.epochs_skipped;
        self.failed += other.failed;
        self.busy += other.busy;
    }
}

/// Shares are sums of a few fractions.
const ROUNDING: f64 = 1e-9;

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

    /// A member takes a message on. `lease_until` follows from the answers of control that reached it.
    pub fn taken(
        &mut self,
        now: Micros,
        member: usize,
        message: usize,
        deadline: Micros,
        lease_until: Option<Micros>,
    ) -> usize {
        self.counts.taken += 1;
        if lease_until.is_none_or(|until| now >= until) {
            self.violation(
                now,
                format!("member {member} takes {message} on, its lease ended {lease_until:?}"),
            );
        }
        if self.messages[message].effect != Effect::Safe && self.jobs.iter().any(|job| job.message == message)
        {
            self.violation(now, format!("{message} is taken on twice: {:?}", self.messages[message]));
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

    /// The client reads `+OK`.
    pub fn promised(&mut self, job: usize) {
        self.counts.promised += 1;
        self.jobs[job].promised = true;
    }

    /// The client reads `-BUSY`: it will hand the message in again.
    pub fn told_busy(&mut self, now: Micros, message: usize) {
        self.counts.busy += 1;
        let taken = self.jobs.iter().any(|job| job.message == message);
        if taken && self.messages[message].effect != Effect::Safe {
            self.violation(now, format!("{message} was taken on, and its client is told busy"));
        }
    }

    /// A call begins. `shares` are those of all members that may begin one to this destination now.
    pub fn call_begins(&mut self, now: Micros, job: usize, until: Micros, works: bool, shares: &[f64]) {
        self.counts.calls += 1;
        let sum: f64 = shares.iter().sum();
        if sum > 1.0 + ROUNDING {
            let dest = self.messages[self.jobs[job].message].dest;
            self.violation(now, format!("the shares of destination {dest} add up to {sum}: {shares:?}"));
        }
        self.check_order(now, job);
        let called = &mut self.jobs[job];
        called.call_until = until;
        called.effects += u32::from(works);
        let message = called.message;
        let effects: u32 = self.jobs.iter().filter(|job| job.message == message).map(|job| job.effects).sum();
        if effects > 1 && self.messages[message].effect == Effect::Unsafe {
            self.violation(now, format!("{message} has its effect twice"));
        }
    }

    pub fn ended(&mut self, job: usize) {
        self.jobs[job].ended = true;
    }

    /// Each message that anybody took on has ended.
    pub fn finish(&mut self, now: Micros) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            if !job.ended {
                let what = if job.promised { "promised and lost" } else { "taken on and never ended" };
                self.violation(now, format!("{} is {what}: {:?}", job.message, job));
            }
        }
    }

    /// No message of the key that was taken on earlier may still be called.
    fn check_order(&mut self, now: Micros, job: usize) {
        let message = self.jobs[job].message;
        let Message { dest, key: Some(key), .. } = self.messages[message] else { return };
        let same_key = |other: &Job| {
            let of = &self.messages[other.message];
            of.dest == dest && of.key == Some(key)
        };
        let earlier = self.jobs[..job].iter().position(|other| same_key(other) && other.is_open(now));
        if let Some(earlier) = earlier {
            let (first, second) = (&self.jobs[earlier], &self.jobs[job]);
            let members = (second.member, first.member);
            let what = format!(
                "key {key} of {dest} out of order at members {members:?}: {second:?} while {first:?}"
            );
            self.violation(now, what);
        }
    }

    fn violation(&mut self, now: Micros, what: String) {
        self.violations.push(format!("{:.6} s: {what}", now as f64 / 1e6));
    }
}
