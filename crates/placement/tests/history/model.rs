//! The simulated fleet, in simulated time. Its members execute the real placement code.
//! The model also simulates the members' clients, and the messages between members and clients.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use embershore_placement::{
    Admission, AgentAnswer, ClientReply, ForwardOutcome, Forwarding, Ownership, PersistedPlacement, Request,
    Route, SeatId, Step,
};
use heronroute::{Effect, Micros};
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::ledger::{Ledger, Message};
use super::network::{FAULTS_END_AT, Fault, FaultPlan};
use super::world::{World, member_name, member_number};
use super::{AGENT_LAG, DEADLINE, LEASE, MAX_CALL_TIME, MILLISECOND, SECOND};

const CLIENTS_STOP_AT: Micros = 70 * SECOND;
const ENDS_AT: Micros = 100 * SECOND;
/// The time after which a client stops waiting for a reply.
const CLIENT_TIMEOUT: Micros = 400 * MILLISECOND;
const FORWARD_BUDGET: Micros = 300 * MILLISECOND;
const POLL_INTERVAL: Micros = 2_500 * MILLISECOND;
/// Number of order keys that messages to each destination use.
const KEYS: usize = 2;
/// Maximum number of times that a client submits a message.
const MAX_SUBMISSIONS: u32 = 12;
/// Probability that a forwarding member has an open connection to the owner.
const POOLED_CONNECTION_PROBABILITY: f64 = 0.7;
const MILLION: Micros = 1_000_000;
/// Maximum error of a clock's rate, in parts per million.
const MAX_CLOCK_ERROR_PPM: Micros = 400;

enum Event {
    /// A member polls its control agent.
    Poll {
        member: usize,
    },
    /// An answer of a control agent reaches a member.
    /// An answer that is not `regular` contains an invalid member list that the member must reject.
    AnswerReceived {
        member: usize,
        incarnation: u32,
        polled_at: Micros,
        answer: AgentAnswer,
        regular: bool,
    },
    Fault {
        member: usize,
        fault: Fault,
        until: Micros,
    },
    Restart {
        member: usize,
    },
    /// A client submits a message.
    Submit {
        message: usize,
    },
    /// A client creates the next message of an ordered stream.
    NextOfStream {
        stream: usize,
    },
    /// A client's request reaches a member.
    Request {
        member: usize,
        incarnation: u32,
        message: usize,
        submission: u32,
    },
    /// A forwarded request reaches an owner.
    Forwarded {
        member: usize,
        incarnation: u32,
        forward_index: usize,
        send: u32,
    },
    /// The forwarding member learns the outcome of a forwarded request.
    ForwardOutcome {
        member: usize,
        incarnation: u32,
        forward_index: usize,
        send: u32,
        outcome: ForwardOutcome,
        job: Option<usize>,
    },
    /// A reply reaches a client; `None` if the client gives up waiting.
    Reply {
        message: usize,
        submission: u32,
        reply: Option<ClientReply>,
        job: Option<usize>,
    },
    /// A member may begin a call for a message that it has accepted.
    Call {
        member: usize,
        incarnation: u32,
        job: usize,
    },
    CallEnded {
        member: usize,
        incarnation: u32,
        job: usize,
        takes_effect: bool,
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
    /// Number of this member's processes that have been killed.
    incarnation: u32,
    clock_error_ppm: Micros,
    ownership: Ownership,
    persisted: Option<PersistedPlacement>,
    /// The highest epoch that the member received. The field `lease_until` is the lease's end by the member's clock.
    /// Both fields are tracked for the ledger, independently of the code under test.
    received_epoch: u64,
    lease_until: Option<Micros>,
    /// Accepted messages without a final outcome, by their job numbers in the ledger, in the order of acceptance.
    /// The flag tells whether a call for the accepted message is in flight.
    jobs: Vec<(usize, bool)>,
}

impl Member {
    /// Converts the simulated time to the member's own clock.
    fn local(&self, now: Micros) -> Micros {
        now + now * self.clock_error_ppm / MILLION
    }

    /// Returns the simulated time at which the duration `span` has passed by the member's own clock.
    fn after(&self, now: Micros, span: Micros) -> Micros {
        now + span - span * self.clock_error_ppm / MILLION
    }
}

/// A client's state for one of its messages.
struct ClientMessage {
    id: String,
    key: Option<String>,
    /// Number of the client's current submission of the message. Replies to earlier submissions are ignored.
    submission: u32,
    done: bool,
    stream: Option<usize>,
}

/// A request that a member forwards.
struct ForwardedRequest {
    member: usize,
    message: usize,
    submission: u32,
    forwarding: Forwarding,
    /// Number of the request's current send to an owner. Outcomes of earlier sends are ignored.
    sends: u32,
}

pub struct Model<'a> {
    world: &'a World,
    plan: FaultPlan,
    rng: ChaCha8Rng,
    now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    members: Vec<Member>,
    client_messages: Vec<ClientMessage>,
    forwards: Vec<ForwardedRequest>,
    pub ledger: Ledger,
}

/// Simulates a seed's random fault sequence in an environment, and returns the ledger of all acceptances and calls.
pub fn simulate(world: &World, seed: u64) -> Ledger {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = FaultPlan::generate(&mut rng, world);
    let mut model = Model::new(world, plan, rng);
    model.run();
    model.ledger.finish(model.now);
    model.ledger
}

impl<'a> Model<'a> {
    fn new(world: &'a World, plan: FaultPlan, mut rng: ChaCha8Rng) -> Self {
        let members = (0..world.members).map(|number| Member {
            state: State::Running,
            incarnation: 0,
            clock_error_ppm: rng.random_range(-MAX_CLOCK_ERROR_PPM..=MAX_CLOCK_ERROR_PPM),
            ownership: ownership(number, None),
            persisted: None,
            received_epoch: 0,
            lease_until: None,
            jobs: Vec::new(),
        });
        let mut model = Model {
            members: members.collect(),
            world,
            plan,
            rng,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            client_messages: Vec::new(),
            forwards: Vec::new(),
            ledger: Ledger::default(),
        };
        model.schedule_all();
        model
    }

    fn schedule_all(&mut self) {
        for member in 0..self.world.members {
            let first_poll = self.rng.random_range(0..SECOND);
            self.at(first_poll, Event::Poll { member });
        }
        for (member, fault, from, until) in self.plan.faults.clone() {
            self.at(from, Event::Fault { member, fault, until });
        }
        for stream in 0..self.world.dests.len() * KEYS {
            let at = self.rng.random_range(0..2 * SECOND);
            self.at(at, Event::NextOfStream { stream });
        }
        for _ in 0..150 {
            let dest = *self.world.dests.choose(&mut self.rng).expect("a world has destinations");
            let effect = self.random_effect();
            let at = self.rng.random_range(0..CLIENTS_STOP_AT);
            let message = self.submit(Message { dest, key: None, effect }, None);
            self.at(at, Event::Submit { message });
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
        let Some(event) = self.deliverable(event) else { return };
        match event {
            Event::Poll { member } => self.poll(member),
            Event::AnswerReceived { member, polled_at, answer, regular, .. } => {
                self.receive_answer(member, polled_at, answer, regular)
            }
            Event::Fault { member, fault, until } => self.fault(member, fault, until),
            Event::Restart { member } => self.restart(member),
            Event::Submit { message } => self.send_submission(message),
            Event::NextOfStream { stream } => self.next_of_stream(stream),
            Event::Request { member, message, submission, .. } => self.request(member, message, submission),
            Event::Forwarded { member, forward_index, send, .. } => {
                self.forwarded(member, forward_index, send)
            }
            Event::ForwardOutcome { forward_index, send, outcome, job, .. } => {
                self.outcome(forward_index, send, outcome, job)
            }
            Event::Reply { message, submission, reply, job } => self.reply(message, submission, reply, job),
            Event::Call { member, job, .. } => self.call(member, job),
            Event::CallEnded { member, job, takes_effect, .. } => self.call_ended(member, job, takes_effect),
        }
    }

    /// Returns the event if it can be handled now. Drops an event for a dead process.
    /// Postpones an event at a stopped member until the member continues.
    fn deliverable(&mut self, event: Event) -> Option<Event> {
        let (member, incarnation) = match &event {
            Event::AnswerReceived { member, incarnation, .. }
            | Event::Request { member, incarnation, .. }
            | Event::Forwarded { member, incarnation, .. }
            | Event::ForwardOutcome { member, incarnation, .. }
            | Event::Call { member, incarnation, .. }
            | Event::CallEnded { member, incarnation, .. } => (*member, *incarnation),
            Event::Poll { member } => (*member, self.members[*member].incarnation),
            _ => return Some(event),
        };
        match self.members[member].state {
            _ if incarnation != self.members[member].incarnation => None,
            State::Running => Some(event),
            State::Stopped { until } => {
                self.at(until, event);
                None
            }
            State::Dead if matches!(event, Event::Poll { .. }) => Some(event),
            State::Dead => None,
        }
    }

    // Handlers of the simulated events of control agents.

    fn poll(&mut self, member: usize) {
        if self.now < ENDS_AT {
            let next = self.rng.random_range(POLL_INTERVAL / 2..POLL_INTERVAL * 3 / 2);
            self.after(next, Event::Poll { member });
        }
        if self.members[member].state == State::Dead {
            return;
        }
        let Some(epoch) = self.plan.agent_epoch(&mut self.rng, member, self.now) else { return };
        let polled_at = self.members[member].local(self.now);
        let answer = self.answer(member, epoch);
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..25 * SECOND),
            1..4 => self.rng.random_range(0..2 * SECOND),
            _ => self.rng.random_range(MILLISECOND..50 * MILLISECOND),
        };
        let incarnation = self.members[member].incarnation;
        if self.rng.random_bool(0.05) {
            let later = self.rng.random_range(0..20 * SECOND);
            let answer = answer.clone();
            self.after(
                later,
                Event::AnswerReceived { member, incarnation, polled_at, answer, regular: true },
            );
        }
        self.after(delay, Event::AnswerReceived { member, incarnation, polled_at, answer, regular: true });
        self.maybe_send_invalid_list(member, polled_at);
    }

    /// Returns the answer to a member of a control agent whose latest epoch is `epoch`.
    fn answer(&mut self, member: usize, epoch: u64) -> AgentAnswer {
        let since = self.members[member].ownership.epoch();
        let full = |world: &World| AgentAnswer::Full(Box::new(world.list(epoch).clone()));
        match since {
            Some(since) if since == epoch && self.rng.random_bool(0.95) => AgentAnswer::Unchanged { epoch },
            Some(since) if since < epoch && self.rng.random_bool(0.9) => {
                let changes = self.world.changes_between(since, epoch);
                changes.map_or_else(|| full(self.world), AgentAnswer::Changes)
            }
            _ => full(self.world),
        }
    }

    /// Sometimes sends a member an additional list that it must reject: an older member list, or another for its epoch.
    fn maybe_send_invalid_list(&mut self, member: usize, polled_at: Micros) {
        let Some(epoch) = self.members[member].ownership.epoch() else { return };
        let list = if epoch > 1 && self.rng.random_bool(0.1) {
            self.world.list(self.rng.random_range(1..epoch)).clone()
        } else if self.rng.random_bool(0.02) {
            self.world.conflicting_list(epoch)
        } else {
            return;
        };
        let answer = AgentAnswer::Full(Box::new(list));
        let incarnation = self.members[member].incarnation;
        self.after(
            5 * MILLISECOND,
            Event::AnswerReceived { member, incarnation, polled_at, answer, regular: false },
        );
    }

    fn receive_answer(&mut self, number: usize, polled_at: Micros, answer: AgentAnswer, regular: bool) {
        let world = self.world;
        let member = &mut self.members[number];
        let local = member.local(self.now);
        let before = member.ownership.epoch();
        let epoch = match &answer {
            AgentAnswer::Full(list) => list.epoch(),
            AgentAnswer::Changes(changes) => changes.epoch,
            AgentAnswer::Unchanged { epoch } => *epoch,
        };
        if regular && epoch >= member.received_epoch {
            member.lease_until = member.lease_until.max(Some(polled_at + LEASE));
            member.received_epoch = epoch;
        }
        match member.ownership.apply_answer_with(&mut &world.tables, polled_at, local, answer) {
            Ok(_) => {
                let skipped = before.is_some_and(|before| epoch > before + 1);
                self.ledger.counts.epochs_skipped += u64::from(skipped);
            }
            Err(_) => self.ledger.counts.answers_rejected += 1,
        }
        member.persisted = member.ownership.persisted_state(local).or(member.persisted.take());
    }

    // Handlers of the simulated process faults.

    fn fault(&mut self, number: usize, fault: Fault, until: Micros) {
        match fault {
            Fault::Stopped => self.members[number].state = State::Stopped { until },
            Fault::Killed => {
                let member = &mut self.members[number];
                member.state = State::Dead;
                member.incarnation += 1;
            }
        }
        self.at(until, Event::Restart { member: number });
    }

    /// Continues a stopped process, or restarts a killed process on its state folder with the messages of its journal.
    fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        let previous = std::mem::replace(&mut member.state, State::Running);
        if previous != State::Dead {
            return;
        }
        member.ownership = ownership(number, member.persisted.clone());
        member.received_epoch = 0;
        member.lease_until = None;
        for (job, called) in std::mem::take(&mut member.jobs) {
            let effect = self.ledger.messages[self.ledger.jobs[job].message].effect;
            if called && effect == Effect::Unsafe {
                self.ledger.ended(job);
            } else {
                self.add_job(number, job);
            }
        }
    }

    // Handlers of the clients' simulated events.

    fn random_effect(&mut self) -> Effect {
        *[Effect::Safe, Effect::Keyed, Effect::Unsafe].choose(&mut self.rng).expect("the list is not empty")
    }

    fn submit(&mut self, message: Message, stream: Option<usize>) -> usize {
        let key = message.key.map(|key| format!("key-{key}"));
        let index = self.ledger.message(message);
        self.client_messages.push(ClientMessage {
            id: format!("r{index}"),
            key,
            submission: 0,
            done: false,
            stream,
        });
        index
    }

    fn next_of_stream(&mut self, stream: usize) {
        if self.now < CLIENTS_STOP_AT {
            let dest = self.world.dests[stream / KEYS];
            let effect = self.random_effect();
            let message = Message { dest, key: Some(stream % KEYS), effect };
            let message = self.submit(message, Some(stream));
            self.send_submission(message);
        }
    }

    fn send_submission(&mut self, message: usize) {
        self.client_messages[message].submission += 1;
        let submission = self.client_messages[message].submission;
        let alive = (0..self.members.len()).filter(|&member| self.members[member].state != State::Dead);
        if let Some(member) = alive.choose(&mut self.rng) {
            let incarnation = self.members[member].incarnation;
            let delay = self.rng.random_range(0..3 * MILLISECOND);
            self.after(delay, Event::Request { member, incarnation, message, submission });
        }
        self.after(CLIENT_TIMEOUT, Event::Reply { message, submission, reply: None, job: None });
    }

    fn reply(&mut self, message: usize, submission: u32, reply: Option<ClientReply>, job: Option<usize>) {
        if self.client_messages[message].done || self.client_messages[message].submission != submission {
            return;
        }
        let safe = self.ledger.messages[message].effect == Effect::Safe;
        let resubmit_after = match reply {
            Some(ClientReply::Accepted) => {
                self.ledger.promised(job.expect("an accepted message has a job"));
                None
            }
            Some(ClientReply::Busy { retry_after_ms }) => {
                self.ledger.answered_busy(self.now, message);
                Some(retry_after_ms as Micros * MILLISECOND)
            }
            Some(ClientReply::Failed) => {
                self.ledger.counts.failed += 1;
                None
            }
            Some(ClientReply::Invalid(_)) => None,
            None => safe.then_some(CLIENT_TIMEOUT),
        };
        match resubmit_after.filter(|_| submission < MAX_SUBMISSIONS && self.now < CLIENTS_STOP_AT) {
            Some(wait) => {
                let wait = wait.min(SECOND) + self.rng.random_range(0..SECOND);
                // Makes the client ignore further replies until it submits the message again.
                self.client_messages[message].submission += 1;
                self.after(wait, Event::Submit { message });
            }
            None => self.done(message),
        }
    }

    fn done(&mut self, message: usize) {
        self.client_messages[message].done = true;
        if let Some(stream) = self.client_messages[message].stream {
            let pause = self.rng.random_range(0..2 * SECOND);
            self.after(pause, Event::NextOfStream { stream });
        }
    }

    fn reply_from(&mut self, message: usize, submission: u32, reply: ClientReply, job: Option<usize>) {
        let delay = self.rng.random_range(MILLISECOND..5 * MILLISECOND);
        self.after(delay, Event::Reply { message, submission, reply: Some(reply), job });
    }

    // Handlers of the simulated events in which requests reach members.

    fn request(&mut self, number: usize, message: usize, submission: u32) {
        let local = self.members[number].local(self.now);
        let route =
            self.with_request(message, |request| self.members[number].ownership.route(local, request));
        match route {
            Route::Unknown => {
                self.reply_from(message, submission, ClientReply::Busy { retry_after_ms: 0 }, None)
            }
            Route::Local => match self.admit(number, message) {
                Some(job) => self.reply_from(message, submission, ClientReply::Accepted, Some(job)),
                None => self.reply_from(message, submission, ClientReply::Busy { retry_after_ms: 300 }, None),
            },
            Route::Forward(candidates) => {
                self.ledger.counts.forwarded += 1;
                let effect = self.ledger.messages[message].effect;
                let mut forwarding = Forwarding::new(effect, candidates, local, FORWARD_BUDGET);
                let step = forwarding.start(local);
                self.forwards.push(ForwardedRequest {
                    member: number,
                    message,
                    submission,
                    forwarding,
                    sends: 0,
                });
                self.take_step(self.forwards.len() - 1, step, None);
            }
        }
    }

    fn with_request<T>(&self, message: usize, act: impl FnOnce(&Request<'_>) -> T) -> T {
        let client_message = &self.client_messages[message];
        let dest = self.ledger.messages[message].dest;
        act(&Request { dest, order_key: client_message.key.as_deref(), request_id: &client_message.id })
    }

    /// Lets a member accept a message if the member's ownership allows it. Returns the job; `None` if rejected.
    fn admit(&mut self, number: usize, message: usize) -> Option<usize> {
        let member = &self.members[number];
        let local = member.local(self.now);
        let admission = self.with_request(message, |request| member.ownership.admission(local, request));
        let counts = &mut self.ledger.counts;
        let rejected = match admission {
            Admission::Accepted => None,
            Admission::NotOwner => Some(&mut counts.rejected_as_not_owner),
            Admission::OnHold(_) => Some(&mut counts.rejected_by_hold),
            Admission::LeaseExpired => Some(&mut counts.rejected_by_lease),
        };
        if let Some(count) = rejected {
            *count += 1;
            return None;
        }
        let deadline = member.after(self.now, DEADLINE);
        let lease_until = member.lease_until.map(|until| self.now + (until - local));
        let job = self.ledger.accepted(self.now, number, message, deadline, lease_until);
        self.add_job(number, job);
        Some(job)
    }

    fn take_step(&mut self, index: usize, step: Step, job: Option<usize>) {
        match step {
            Step::Send { to, write_timeout, answer_timeout } => {
                self.forward(index, to, write_timeout, answer_timeout)
            }
            Step::Reply(reply) => {
                let ForwardedRequest { message, submission, .. } = self.forwards[index];
                self.reply_from(message, submission, reply, job);
            }
        }
    }

    /// Sends a request to an owner on a pooled or a new connection, and simulates the faults of the connection.
    fn forward(&mut self, index: usize, to: SeatId, write_timeout: Micros, answer_timeout: Micros) {
        self.forwards[index].sends += 1;
        let (from, send) = (self.forwards[index].member, self.forwards[index].sends);
        let list = self.members[from].ownership.list().expect("the route was computed from this list");
        let Some(owner) = list.member(to).map(|member| member_number(member.name())) else {
            // The member list has changed since the route was computed, and the owner's seat is now vacant.
            self.outcome_after(0, index, ForwardOutcome::NotSent, None);
            return;
        };
        let pooled = self.rng.random_bool(POOLED_CONNECTION_PROBABILITY);
        let reachable = self.plan.reach_each_other(from, owner, self.now);
        let fault_draw = self.rng.random_range(0..40);
        if self.members[owner].state == State::Dead || (reachable && fault_draw == 0) {
            self.outcome_after(MILLISECOND, index, ForwardOutcome::NotSent, None);
            return;
        }
        if !reachable && !pooled {
            self.outcome_after(write_timeout, index, ForwardOutcome::NotSent, None);
            return;
        }
        if reachable {
            let max_delay = if fault_draw == 1 { 600 * MILLISECOND } else { 10 * MILLISECOND };
            let delay = self.rng.random_range(MILLISECOND..max_delay);
            let incarnation = self.members[owner].incarnation;
            self.after(delay, Event::Forwarded { member: owner, incarnation, forward_index: index, send });
            if fault_draw == 2 {
                // The connection breaks after the last byte: the request arrives, but its answer does not.
                self.outcome_after(MILLISECOND, index, ForwardOutcome::Unknown, None);
                return;
            }
        }
        self.outcome_after(answer_timeout, index, ForwardOutcome::Unknown, None);
    }

    fn outcome_after(&mut self, span: Micros, index: usize, outcome: ForwardOutcome, job: Option<usize>) {
        let ForwardedRequest { member, sends, .. } = self.forwards[index];
        let incarnation = self.members[member].incarnation;
        self.after(
            span,
            Event::ForwardOutcome { member, incarnation, forward_index: index, send: sends, outcome, job },
        );
    }

    /// Handles a forwarded request at an owner, which accepts or rejects it but never forwards it again.
    fn forwarded(&mut self, owner: usize, index: usize, send: u32) {
        let ForwardedRequest { member, message, sends, .. } = self.forwards[index];
        let outcome = if self.rng.random_bool(0.01) {
            (ForwardOutcome::Invalid("no such class".to_string()), None)
        } else {
            match self.admit(owner, message) {
                Some(job) => (ForwardOutcome::Accepted, Some(job)),
                None => (ForwardOutcome::Busy { retry_after_ms: 300 }, None),
            }
        };
        if send == sends && self.plan.reach_each_other(member, owner, self.now) {
            let delay = self.rng.random_range(MILLISECOND..10 * MILLISECOND);
            self.outcome_after(delay, index, outcome.0, outcome.1);
        }
    }

    fn outcome(&mut self, index: usize, send: u32, outcome: ForwardOutcome, job: Option<usize>) {
        if self.forwards[index].sends != send {
            return;
        }
        // Ignores later outcomes of this send to an owner: the forwarding member no longer reads the connection.
        self.forwards[index].sends += 1;
        self.ledger.counts.unknown += u64::from(outcome == ForwardOutcome::Unknown);
        self.ledger.counts.not_sent += u64::from(outcome == ForwardOutcome::NotSent);
        let local = self.members[self.forwards[index].member].local(self.now);
        let step = self.forwards[index].forwarding.record_outcome(local, outcome);
        self.take_step(index, step, job);
    }

    // Handlers of the simulated events of calls to receivers.

    fn add_job(&mut self, number: usize, job: usize) {
        self.members[number].jobs.push((job, false));
        let slow = self.rng.random_bool(0.1);
        let delay = self.rng.random_range(0..if slow { 6 * SECOND } else { 200 * MILLISECOND });
        let incarnation = self.members[number].incarnation;
        self.after(delay, Event::Call { member: number, incarnation, job });
    }

    fn call(&mut self, number: usize, job: usize) {
        let incarnation = self.members[number].incarnation;
        if self.now >= self.ledger.jobs[job].deadline {
            self.end(number, job);
            return;
        }
        if self.has_earlier_of_key(number, job) {
            self.after(50 * MILLISECOND, Event::Call { member: number, incarnation, job });
            return;
        }
        let duration = self.rng.random_range(10 * MILLISECOND..MAX_CALL_TIME);
        let takes_effect = self.rng.random_bool(0.85);
        let dest = self.ledger.messages[self.ledger.jobs[job].message].dest;
        let shares = self.shares(dest);
        self.ledger.begin_call(self.now, job, self.now + duration, takes_effect, &shares);
        for entry in self.members[number].jobs.iter_mut().filter(|entry| entry.0 == job) {
            entry.1 = true;
        }
        self.after(duration, Event::CallEnded { member: number, incarnation, job, takes_effect });
    }

    /// Returns whether the member has an earlier message of the same key that has no final outcome yet.
    fn has_earlier_of_key(&self, number: usize, job: usize) -> bool {
        let message_of = |job: usize| &self.ledger.messages[self.ledger.jobs[job].message];
        let Message { dest, key: Some(key), .. } = *message_of(job) else { return false };
        let earlier = self.members[number].jobs.iter().take_while(|entry| entry.0 != job);
        earlier
            .map(|entry| message_of(entry.0))
            .any(|message| message.dest == dest && message.key == Some(key))
    }

    /// Returns the limit shares of all members that may now begin a call to a destination.
    /// Such members accept requests for the destination, or have accepted messages for it.
    fn shares(&self, dest: i64) -> Vec<f64> {
        let running = self.members.iter().filter(|member| member.state == State::Running);
        let may_call = running.filter(|member| {
            let is_open = |&(job, _): &(usize, bool)| {
                let job = &self.ledger.jobs[job];
                self.ledger.messages[job.message].dest == dest && self.now < job.deadline
            };
            member.jobs.iter().any(is_open)
                || member.ownership.unordered_admission(member.local(self.now), dest) == Admission::Accepted
        });
        may_call
            .map(|member| 1.0 / member.ownership.limit_sharers(member.local(self.now), dest) as f64)
            .collect()
    }

    fn call_ended(&mut self, number: usize, job: usize, takes_effect: bool) {
        if takes_effect {
            self.end(number, job);
            return;
        }
        for entry in self.members[number].jobs.iter_mut().filter(|entry| entry.0 == job) {
            entry.1 = false;
        }
        let incarnation = self.members[number].incarnation;
        let pause = self.rng.random_range(100 * MILLISECOND..2 * SECOND);
        self.after(pause, Event::Call { member: number, incarnation, job });
    }

    fn end(&mut self, number: usize, job: usize) {
        self.members[number].jobs.retain(|entry| entry.0 != job);
        self.ledger.ended(job);
    }
}

fn ownership(number: usize, persisted: Option<PersistedPlacement>) -> Ownership {
    let longest_deadline = DEADLINE + MAX_CALL_TIME;
    let ownership = Ownership::new(member_name(number), LEASE, longest_deadline);
    ownership.with_agent_lag(AGENT_LAG).with_persisted(persisted)
}

const _: () = assert!(FAULTS_END_AT < ENDS_AT && CLIENTS_STOP_AT < FAULTS_END_AT);
