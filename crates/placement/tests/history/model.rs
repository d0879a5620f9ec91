//! The fleet: members with the real deciding code, their clients, and the messages between them, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use embershore_placement::{
    Answer, Forwarding, Outcome, Ownership, Remembered, Request, Route, SeatId, Step, Takes, Verdict,
};
use heronroute::{Effect, Micros};
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::ledger::{Ledger, Message};
use super::network::{Course, Fault, HEALED_AT};
use super::world::{World, member_name, member_number};
use super::{AGENT_LAG, DEADLINE, LEASE, LONGEST_CALL, MILLISECOND, SECOND};

const CLIENTS_STOP_AT: Micros = 70 * SECOND;
const ENDS_AT: Micros = 100 * SECOND;
/// Within this time a client has its answer, or goes away.
const CLIENT_TIMEOUT: Micros = 400 * MILLISECOND;
const FORWARD_BUDGET: Micros = 300 * MILLISECOND;
const ASK_EVERY: Micros = 2_500 * MILLISECOND;
const KEYS: usize = 2;
/// A client hands a message in so often at most.
const MOST_TRIES: u32 = 12;
const KEPT_CONNECTION: f64 = 0.7;
const MILLION: Micros = 1_000_000;
/// Clocks run too fast or too slow by so many parts in a million at most.
const CLOCK_ERROR: Micros = 400;

enum Event {
    /// A member asks its agent.
    Ask {
        member: usize,
    },
    /// An answer reaches a member.
    Heard {
        member: usize,
        life: u32,
        asked_at: Micros,
        answer: Answer,
        genuine: bool,
    },
    Fault {
        member: usize,
        fault: Fault,
        until: Micros,
    },
    Restart {
        member: usize,
    },
    /// A client hands in a message.
    Send {
        message: usize,
    },
    /// The next message of an ordered stream is made.
    Next {
        stream: usize,
    },
    /// A client's request reaches a member.
    Request {
        member: usize,
        life: u32,
        message: usize,
        attempt: u32,
    },
    /// A forwarded request reaches an owner.
    Forwarded {
        member: usize,
        life: u32,
        transit: usize,
        send: u32,
    },
    /// What became of a forwarded request, at the forwarding member.
    Outcome {
        member: usize,
        life: u32,
        transit: usize,
        send: u32,
        outcome: Outcome,
        job: Option<usize>,
    },
    /// An answer reaches a client; none if it gives up waiting.
    Reply {
        message: usize,
        attempt: u32,
        verdict: Option<Verdict>,
        job: Option<usize>,
    },
    /// A member turns to a message that it holds.
    Call {
        member: usize,
        life: u32,
        job: usize,
    },
    CallEnded {
        member: usize,
        life: u32,
        job: usize,
        works: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Stopped { until: Micros },
    Dead,
}

struct Member {
    state: State,
    /// Counts its processes.
    life: u32,
    clock_error: Micros,
    ownership: Ownership,
    memory: Option<Remembered>,
    /// By what reached it, for the ledger: the highest epoch and the end of the lease by its own clock.
    heard_epoch: u64,
    lease_until: Option<Micros>,
    /// Jobs that have not ended, in the order in which they were taken on, and whether a call for it is under way.
    jobs: Vec<(usize, bool)>,
}

impl Member {
    fn local(&self, now: Micros) -> Micros {
        now + now * self.clock_error / MILLION
    }

    fn after(&self, now: Micros, span: Micros) -> Micros {
        now + span - span * self.clock_error / MILLION
    }
}

/// A client's side of a message.
struct Handing {
    id: String,
    key: Option<String>,
    attempt: u32,
    done: bool,
    stream: Option<usize>,
}

/// A request on its way through a forwarding member.
struct Transit {
    member: usize,
    message: usize,
    attempt: u32,
    machine: Forwarding,
    sends: u32,
}

pub struct Model<'a> {
    world: &'a World,
    course: Course,
    rng: ChaCha8Rng,
    now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    members: Vec<Member>,
    handings: Vec<Handing>,
    transits: Vec<Transit>,
    pub ledger: Ledger,
}

/// Plays one history.
pub fn play(world: &World, seed: u64) -> Ledger {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let course = Course::generate(&mut rng, world);
    let mut model = Model::new(world, course, rng);
    model.run();
    model.ledger.finish(model.now);
    model.ledger
}

impl<'a> Model<'a> {
    fn new(world: &'a World, course: Course, mut rng: ChaCha8Rng) -> Self {
        let members = (0..world.members).map(|number| Member {
            state: State::Running,
            life: 0,
            clock_error: rng.random_range(-CLOCK_ERROR..=CLOCK_ERROR),
            ownership: ownership(number, None),
            memory: None,
            heard_epoch: 0,
            lease_until: None,
            jobs: Vec::new(),
        });
        let mut model = Model {
            members: members.collect(),
            world,
            course,
            rng,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            handings: Vec::new(),
            transits: Vec::new(),
            ledger: Ledger::default(),
        };
        model.schedule_all();
        model
    }

    fn schedule_all(&mut self) {
        for member in 0..self.world.members {
            let first_ask = self.rng.random_range(0..SECOND);
            self.at(first_ask, Event::Ask { member });
        }
        for (member, fault, from, until) in self.course.faults.clone() {
            self.at(from, Event::Fault { member, fault, until });
        }
        for stream in 0..self.world.dests.len() * KEYS {
            let at = self.rng.random_range(0..2 * SECOND);
            self.at(at, Event::Next { stream });
        }
        for _ in 0..150 {
            let dest = *self.world.dests.choose(&mut self.rng).expect("there are some");
            let effect = self.random_effect();
            let at = self.rng.random_range(0..CLIENTS_STOP_AT);
            let message = self.hand_in(Message { dest, key: None, effect }, None);
            self.at(at, Event::Send { message });
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            self.now = at;
            let Some(event) = self.events[index].take() else { continue };
            self.handle(event);
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((at, self.sequence, self.events.len() - 1)));
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn handle(&mut self, event: Event) {
        let Some(event) = self.unless_away(event) else { return };
        match event {
            Event::Ask { member } => self.ask(member),
            Event::Heard { member, asked_at, answer, genuine, .. } => {
                self.heard(member, asked_at, answer, genuine)
            }
            Event::Fault { member, fault, until } => self.fault(member, fault, until),
            Event::Restart { member } => self.restart(member),
            Event::Send { message } => self.send(message),
            Event::Next { stream } => self.next_of_stream(stream),
            Event::Request { member, message, attempt, .. } => self.request(member, message, attempt),
            Event::Forwarded { member, transit, send, .. } => self.forwarded(member, transit, send),
            Event::Outcome { transit, send, outcome, job, .. } => self.outcome(transit, send, outcome, job),
            Event::Reply { message, attempt, verdict, job } => self.reply(message, attempt, verdict, job),
            Event::Call { member, job, .. } => self.call(member, job),
            Event::CallEnded { member, job, works, .. } => self.call_ended(member, job, works),
        }
    }

    /// What happens at a stopped member waits until it is continued; what was meant for a dead process is gone.
    fn unless_away(&mut self, event: Event) -> Option<Event> {
        let (member, life) = match &event {
            Event::Heard { member, life, .. }
            | Event::Request { member, life, .. }
            | Event::Forwarded { member, life, .. }
            | Event::Outcome { member, life, .. }
            | Event::Call { member, life, .. }
            | Event::CallEnded { member, life, .. } => (*member, *life),
            Event::Ask { member } => (*member, self.members[*member].life),
            _ => return Some(event),
        };
        match self.members[member].state {
            _ if life != self.members[member].life => None,
            State::Running => Some(event),
            State::Stopped { until } => {
                self.at(until, event);
                None
            }
            State::Dead if matches!(event, Event::Ask { .. }) => Some(event),
            State::Dead => None,
        }
    }

    // Control.

    fn ask(&mut self, member: usize) {
        if self.now < ENDS_AT {
            let next = self.rng.random_range(ASK_EVERY / 2..ASK_EVERY * 3 / 2);
            self.after(next, Event::Ask { member });
        }
        if self.members[member].state == State::Dead {
            return;
        }
        let Some(epoch) = self.course.agent_epoch(&mut self.rng, member, self.now) else { return };
        let asked_at = self.members[member].local(self.now);
        let answer = self.answer(member, epoch);
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..25 * SECOND),
            1..4 => self.rng.random_range(0..2 * SECOND),
            _ => self.rng.random_range(MILLISECOND..50 * MILLISECOND),
        };
        let life = self.members[member].life;
        if self.rng.random_bool(0.05) {
            let later = self.rng.random_range(0..20 * SECOND);
            let answer = answer.clone();
            self.after(later, Event::Heard { member, life, asked_at, answer, genuine: true });
        }
        self.after(delay, Event::Heard { member, life, asked_at, answer, genuine: true });
        self.disturb(member, asked_at);
    }

    /// What an agent answers that knows this epoch.
    fn answer(&mut self, member: usize, epoch: u64) -> Answer {
        let since = self.members[member].ownership.epoch();
        let whole = |world: &World| Answer::Whole(Box::new(world.list(epoch).clone()));
        match since {
            Some(since) if since == epoch && self.rng.random_bool(0.95) => Answer::Unchanged { epoch },
            Some(since) if since < epoch && self.rng.random_bool(0.9) => {
                let changes = self.world.changes_between(since, epoch);
                changes.map_or_else(|| whole(self.world), Answer::Changes)
            }
            _ => whole(self.world),
        }
    }

    /// Now and then an older list, or another one under the same epoch, comes as well.
    fn disturb(&mut self, member: usize, asked_at: Micros) {
        let Some(epoch) = self.members[member].ownership.epoch() else { return };
        let list = if epoch > 1 && self.rng.random_bool(0.1) {
            self.world.list(self.rng.random_range(1..epoch)).clone()
        } else if self.rng.random_bool(0.02) {
            self.world.forged(epoch)
        } else {
            return;
        };
        let answer = Answer::Whole(Box::new(list));
        let life = self.members[member].life;
        self.after(5 * MILLISECOND, Event::Heard { member, life, asked_at, answer, genuine: false });
    }

    fn heard(&mut self, number: usize, asked_at: Micros, answer: Answer, genuine: bool) {
        let world = self.world;
        let member = &mut self.members[number];
        let local = member.local(self.now);
        let before = member.ownership.epoch();
        let epoch = match &answer {
            Answer::Whole(list) => list.epoch(),
            Answer::Changes(changes) => changes.epoch,
            Answer::Unchanged { epoch } => *epoch,
        };
        if genuine && epoch >= member.heard_epoch {
            member.lease_until = member.lease_until.max(Some(asked_at + LEASE));
            member.heard_epoch = epoch;
        }
        match member.ownership.heard_with(&mut &world.tables, asked_at, local, answer) {
            Ok(_) => {
                let skipped = before.is_some_and(|before| epoch > before + 1);
                self.ledger.counts.epochs_skipped += u64::from(skipped);
            }
            Err(_) => self.ledger.counts.lists_refused += 1,
        }
        member.memory = member.ownership.remembered(local).or(member.memory.take());
    }

    // Faults.

    fn fault(&mut self, number: usize, fault: Fault, until: Micros) {
        match fault {
            Fault::Stopped => self.members[number].state = State::Stopped { until },
            Fault::Killed => {
                let member = &mut self.members[number];
                member.state = State::Dead;
                member.life += 1;
            }
        }
        self.at(until, Event::Restart { member: number });
    }

    /// A stopped process goes on; a killed one starts on its state folder, and has its journal back.
    fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        let was = std::mem::replace(&mut member.state, State::Running);
        if was != State::Dead {
            return;
        }
        member.ownership = ownership(number, member.memory.clone());
        member.heard_epoch = 0;
        member.lease_until = None;
        for (job, called) in std::mem::take(&mut member.jobs) {
            let effect = self.ledger.messages[self.ledger.jobs[job].message].effect;
            if called && effect == Effect::Unsafe {
                self.ledger.ended(job);
            } else {
                self.hold(number, job);
            }
        }
    }

    // Clients.

    fn random_effect(&mut self) -> Effect {
        *[Effect::Safe, Effect::Keyed, Effect::Unsafe].choose(&mut self.rng).expect("there are three")
    }

    fn hand_in(&mut self, message: Message, stream: Option<usize>) -> usize {
        let key = message.key.map(|key| format!("key-{key}"));
        let index = self.ledger.message(message);
        self.handings.push(Handing { id: format!("r{index}"), key, attempt: 0, done: false, stream });
        index
    }

    fn next_of_stream(&mut self, stream: usize) {
        if self.now < CLIENTS_STOP_AT {
            let dest = self.world.dests[stream / KEYS];
            let effect = self.random_effect();
            let message = Message { dest, key: Some(stream % KEYS), effect };
            let message = self.hand_in(message, Some(stream));
            self.send(message);
        }
    }

    fn send(&mut self, message: usize) {
        self.handings[message].attempt += 1;
        let attempt = self.handings[message].attempt;
        let there = (0..self.members.len()).filter(|&member| self.members[member].state != State::Dead);
        if let Some(member) = there.choose(&mut self.rng) {
            let life = self.members[member].life;
            let delay = self.rng.random_range(0..3 * MILLISECOND);
            self.after(delay, Event::Request { member, life, message, attempt });
        }
        self.after(CLIENT_TIMEOUT, Event::Reply { message, attempt, verdict: None, job: None });
    }

    fn reply(&mut self, message: usize, attempt: u32, verdict: Option<Verdict>, job: Option<usize>) {
        if self.handings[message].done || self.handings[message].attempt != attempt {
            return;
        }
        let free = self.ledger.messages[message].effect == Effect::Safe;
        let again_after = match verdict {
            Some(Verdict::Taken) => {
                self.ledger.promised(job.expect("who answers that it has taken it on has a job"));
                None
            }
            Some(Verdict::Busy { after_ms }) => {
                self.ledger.told_busy(self.now, message);
                Some(after_ms as Micros * MILLISECOND)
            }
            Some(Verdict::Failed) => {
                self.ledger.counts.failed += 1;
                None
            }
            Some(Verdict::Wrong(_)) => None,
            None => free.then_some(CLIENT_TIMEOUT),
        };
        match again_after.filter(|_| attempt < MOST_TRIES && self.now < CLIENTS_STOP_AT) {
            Some(wait) => {
                let wait = wait.min(SECOND) + self.rng.random_range(0..SECOND);
                // Until it is handed in again, nothing is awaited.
                self.handings[message].attempt += 1;
                self.after(wait, Event::Send { message });
            }
            None => self.done(message),
        }
    }

    fn done(&mut self, message: usize) {
        self.handings[message].done = true;
        if let Some(stream) = self.handings[message].stream {
            let pause = self.rng.random_range(0..2 * SECOND);
            self.after(pause, Event::Next { stream });
        }
    }

    fn reply_from(&mut self, message: usize, attempt: u32, verdict: Verdict, job: Option<usize>) {
        let delay = self.rng.random_range(MILLISECOND..5 * MILLISECOND);
        self.after(delay, Event::Reply { message, attempt, verdict: Some(verdict), job });
    }

    // Requests.

    fn request(&mut self, number: usize, message: usize, attempt: u32) {
        let local = self.members[number].local(self.now);
        let route =
            self.with_request(message, |request| self.members[number].ownership.route(local, request));
        match route {
            Route::Unknown => self.reply_from(message, attempt, Verdict::Busy { after_ms: 0 }, None),
            Route::Here => match self.admit(number, message) {
                Some(job) => self.reply_from(message, attempt, Verdict::Taken, Some(job)),
                None => self.reply_from(message, attempt, Verdict::Busy { after_ms: 300 }, None),
            },
            Route::Forward(candidates) => {
                self.ledger.counts.forwarded += 1;
                let effect = self.ledger.messages[message].effect;
                let mut machine = Forwarding::new(effect, candidates, local, FORWARD_BUDGET);
                let step = machine.start(local);
                self.transits.push(Transit { member: number, message, attempt, machine, sends: 0 });
                self.follow(self.transits.len() - 1, step, None);
            }
        }
    }

    fn with_request<T>(&self, message: usize, act: impl FnOnce(&Request<'_>) -> T) -> T {
        let handing = &self.handings[message];
        let dest = self.ledger.messages[message].dest;
        act(&Request { dest, order_key: handing.key.as_deref(), request_id: &handing.id })
    }

    /// A member takes a message on, if its ownership says so.
    fn admit(&mut self, number: usize, message: usize) -> Option<usize> {
        let member = &self.members[number];
        let local = member.local(self.now);
        let takes = self.with_request(message, |request| member.ownership.admits(local, request));
        let counts = &mut self.ledger.counts;
        let refused = match takes {
            Takes::Yes => None,
            Takes::NotOwner => Some(&mut counts.refused_as_not_owner),
            Takes::OnHold(_) => Some(&mut counts.refused_by_hold),
            Takes::LeaseExpired => Some(&mut counts.refused_by_lease),
        };
        if let Some(count) = refused {
            *count += 1;
            return None;
        }
        let deadline = member.after(self.now, DEADLINE);
        let lease_until = member.lease_until.map(|until| self.now + (until - local));
        let job = self.ledger.taken(self.now, number, message, deadline, lease_until);
        self.hold(number, job);
        Some(job)
    }

    fn follow(&mut self, index: usize, step: Step, job: Option<usize>) {
        match step {
            Step::Send { to, begin_within, patience } => self.forward(index, to, begin_within, patience),
            Step::Answer(verdict) => {
                let Transit { message, attempt, .. } = self.transits[index];
                self.reply_from(message, attempt, verdict, job);
            }
        }
    }

    /// A forwarded request, on a kept connection or a new one, with the faults of both.
    fn forward(&mut self, index: usize, to: SeatId, begin_within: Micros, patience: Micros) {
        self.transits[index].sends += 1;
        let (from, send) = (self.transits[index].member, self.transits[index].sends);
        let list = self.members[from].ownership.list().expect("a route came from it");
        let Some(owner) = list.member(to).map(|member| member_number(member.name())) else {
            // The list changed meanwhile.
            self.outcome_after(0, index, Outcome::NeverSent, None);
            return;
        };
        let kept = self.rng.random_bool(KEPT_CONNECTION);
        let reachable = self.course.reach_each_other(from, owner, self.now);
        let cut = self.rng.random_range(0..40);
        if self.members[owner].state == State::Dead || (reachable && cut == 0) {
            self.outcome_after(MILLISECOND, index, Outcome::NeverSent, None);
            return;
        }
        if !reachable && !kept {
            self.outcome_after(begin_within, index, Outcome::NeverSent, None);
            return;
        }
        if reachable {
            let slowest = if cut == 1 { 600 * MILLISECOND } else { 10 * MILLISECOND };
            let delay = self.rng.random_range(MILLISECOND..slowest);
            let life = self.members[owner].life;
            self.after(delay, Event::Forwarded { member: owner, life, transit: index, send });
            if cut == 2 {
                // Cut after the last byte: it arrives, its answer does not.
                self.outcome_after(MILLISECOND, index, Outcome::Unknown, None);
                return;
            }
        }
        self.outcome_after(patience, index, Outcome::Unknown, None);
    }

    fn outcome_after(&mut self, span: Micros, index: usize, outcome: Outcome, job: Option<usize>) {
        let Transit { member, sends, .. } = self.transits[index];
        let life = self.members[member].life;
        self.after(span, Event::Outcome { member, life, transit: index, send: sends, outcome, job });
    }

    /// A forwarded request is served or refused, never routed.
    fn forwarded(&mut self, owner: usize, index: usize, send: u32) {
        let Transit { member, message, sends, .. } = self.transits[index];
        let outcome = if self.rng.random_bool(0.01) {
            (Outcome::Wrong("no such class".to_string()), None)
        } else {
            match self.admit(owner, message) {
                Some(job) => (Outcome::Taken, Some(job)),
                None => (Outcome::Busy { after_ms: 300 }, None),
            }
        };
        if send == sends && self.course.reach_each_other(member, owner, self.now) {
            let delay = self.rng.random_range(MILLISECOND..10 * MILLISECOND);
            self.outcome_after(delay, index, outcome.0, outcome.1);
        }
    }

    fn outcome(&mut self, index: usize, send: u32, outcome: Outcome, job: Option<usize>) {
        if self.transits[index].sends != send {
            return;
        }
        // Later outcomes of the same sending are those of a connection that is no longer looked at.
        self.transits[index].sends += 1;
        self.ledger.counts.unknown += u64::from(outcome == Outcome::Unknown);
        self.ledger.counts.never_sent += u64::from(outcome == Outcome::NeverSent);
        let local = self.members[self.transits[index].member].local(self.now);
        let step = self.transits[index].machine.outcome(local, outcome);
        self.follow(index, step, job);
    }

    // Calls.

    fn hold(&mut self, number: usize, job: usize) {
        self.members[number].jobs.push((job, false));
        let slow = self.rng.random_bool(0.1);
        let delay = self.rng.random_range(0..if slow { 6 * SECOND } else { 200 * MILLISECOND });
        let life = self.members[number].life;
        self.after(delay, Event::Call { member: number, life, job });
    }

    fn call(&mut self, number: usize, job: usize) {
        let life = self.members[number].life;
        if self.now >= self.ledger.jobs[job].deadline {
            self.end(number, job);
            return;
        }
        if self.earlier_of_key(number, job) {
            self.after(50 * MILLISECOND, Event::Call { member: number, life, job });
            return;
        }
        let duration = self.rng.random_range(10 * MILLISECOND..LONGEST_CALL);
        let works = self.rng.random_bool(0.85);
        let dest = self.ledger.messages[self.ledger.jobs[job].message].dest;
        let shares = self.shares(dest);
        self.ledger.call_begins(self.now, job, self.now + duration, works, &shares);
        for held in self.members[number].jobs.iter_mut().filter(|held| held.0 == job) {
            held.1 = true;
        }
        self.after(duration, Event::CallEnded { member: number, life, job, works });
    }

    /// Whether the member holds an earlier message of the same key.
    fn earlier_of_key(&self, number: usize, job: usize) -> bool {
        let of = |job: usize| &self.ledger.messages[self.ledger.jobs[job].message];
        let Message { dest, key: Some(key), .. } = *of(job) else { return false };
        let held = self.members[number].jobs.iter().take_while(|held| held.0 != job);
        held.map(|held| of(held.0)).any(|message| message.dest == dest && message.key == Some(key))
    }

    /// The shares of all members that may begin a call to a destination now: they take requests on, or hold some.
    fn shares(&self, dest: i64) -> Vec<f64> {
        let running = self.members.iter().filter(|member| member.state == State::Running);
        let may_call = running.filter(|member| {
            let holds = |&(job, _): &(usize, bool)| {
                let job = &self.ledger.jobs[job];
                self.ledger.messages[job.message].dest == dest && self.now < job.deadline
            };
            member.jobs.iter().any(holds)
                || member.ownership.takes(member.local(self.now), dest) == Takes::Yes
        });
        may_call.map(|member| 1.0 / member.ownership.sharers(member.local(self.now), dest) as f64).collect()
    }

    fn call_ended(&mut self, number: usize, job: usize, works: bool) {
        if works {
            self.end(number, job);
            return;
        }
        for held in self.members[number].jobs.iter_mut().filter(|held| held.0 == job) {
            held.1 = false;
        }
        let life = self.members[number].life;
        let pause = self.rng.random_range(100 * MILLISECOND..2 * SECOND);
        self.after(pause, Event::Call { member: number, life, job });
    }

    fn end(&mut self, number: usize, job: usize) {
        self.members[number].jobs.retain(|held| held.0 != job);
        self.ledger.ended(job);
    }
}

fn ownership(number: usize, memory: Option<Remembered>) -> Ownership {
    let longest = DEADLINE + LONGEST_CALL;
    let ownership = Ownership::new(member_name(number), LEASE, longest);
    ownership.with_agent_lag(AGENT_LAG).with_memory(memory)
}

const _: () = assert!(HEALED_AT < ENDS_AT && CLIENTS_STOP_AT < HEALED_AT);
