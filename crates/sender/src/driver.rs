//! The driver passes events to the decision module (the dispatcher) in rounds, and executes the actions returned.
//! The submodule `start` restores the state from a journal or a predecessor.
//! The submodule `handover` replaces one process by another.
//! The submodule `unrecorded_ends` keeps notices back until their ends are in the journal.
//! The submodule `recovered` counts the messages that a restart recovered unattempted.

pub(crate) mod handover;
mod recovered;
pub(crate) mod start;
mod unrecorded_ends;

pub use handover::HandoverContext;
pub use start::InitialList;

use crate::call_log::EndedMessage;
use crate::calls::{CallItem, CallSpec, Calls, Lane};
use crate::class_table::ClassTable;
use crate::clients::Shared;
use crate::clock::Clock;
use crate::endpoint_table::{Endpoint, EndpointTable};
use crate::input::{CallEnd, Input, Notice};
use crate::journal::{Accepted, Journal, Receiver};
use crate::metrics::{MessageEnd, Metrics};
use crate::placement::Placement;
use crate::status::{Change, SharedStatus};
use embershore_handover::Frame;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use embershore_protocol::settings::Names;
use handover::{Predecessor, next_takeover_request};
use heronroute::{
    Action, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, KindSettings, Micros, MsgId,
    Outcome, Settings, Status,
};
use recovered::RecoveredMessages;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use unrecorded_ends::UnrecordedEnd;

/// Minimum time from SIGTERM until the process exits, even if the process has nothing to do.
const MIN_STAY_US: Micros = 900_000;
/// Time from SIGTERM until all calls must have ended.
const CALL_DEADLINE_US: Micros = 3_300_000;
/// Time from SIGTERM until the process exits even with open messages: the platform kills the process soon after.
const EXIT_DEADLINE_US: Micros = 3_500_000;
/// Longest time between two rounds, for conditions that depend on the clock alone.
const MAX_ROUND_INTERVAL_US: Micros = 500_000;
/// Placeholder for a message's remaining time, which [`Driver::set_time_left`] fills in when the round begins.
const SET_IN_ROUND: Micros = 0;
/// Version of a drain that is in force whatever version the configuration's endpoint list has.
const LATER_THAN_ANY_LIST: u64 = u64::MAX;
/// Error reply for a destination that occurs in no endpoint list.
const UNKNOWN_DESTINATION: &str = "unknown destination";

/// State of a message that has not ended, in addition to the message's journal entry.
#[derive(Default)]
struct PendingMessage {
    attempts: u32,
    call: Option<u64>,
    /// Row of the class table with the rules under which the message was accepted.
    row: usize,
}

/// A submitted message whose client has no reply yet.
struct UnansweredPut {
    put: Put,
    deadline: Micros,
    /// The earliest time at which an attempt of another sender may have taken effect.
    may_have_run_since: Option<Micros>,
    reply: oneshot::Sender<Reply>,
}

/// The settings and the daemon's components from which [`Driver::new`] builds the driver.
pub struct Parts {
    pub clock: Clock,
    pub seed: u64,
    /// How long to wait for discovery's listing before the configuration's listing is used.
    pub list_wait: Duration,
    pub settings: Settings,
    pub names: Names,
    pub journal: Journal,
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub calls: Calls,
    pub notices: mpsc::UnboundedSender<Notice>,
    pub inputs: mpsc::Sender<Input>,
    pub status: SharedStatus,
    pub metrics: Rc<Metrics>,
    pub shared: Shared,
    pub handover: Option<HandoverContext>,
    /// Present if placement is on, so that other senders own some of the destinations.
    pub placement: Option<Rc<Placement>>,
}

/// Owns the dispatcher, the pending messages and the journal, and runs the rounds.
pub struct Driver {
    clock: Clock,
    dispatcher: Dispatcher,
    names: Names,
    kinds: Vec<KindSettings>,
    /// The rules of the message classes. A row's number is the class index that the dispatcher uses.
    class_table: ClassTable,
    quantum: Micros,
    list_wait: Duration,
    max_open: usize,
    /// Retry time in milliseconds in the reply to a client whose message the driver refuses for now.
    /// The dispatcher refuses messages with an equal retry time.
    retry_after_ms: u64,
    journal: Rc<RefCell<Journal>>,
    endpoints: Rc<RefCell<EndpointTable>>,
    calls: Rc<Calls>,
    notices: mpsc::UnboundedSender<Notice>,
    inputs: mpsc::Sender<Input>,
    status: SharedStatus,
    metrics: Rc<Metrics>,
    shared: Shared,
    handover: Option<HandoverContext>,
    placement: Option<Rc<Placement>>,
    predecessor: Option<Predecessor>,
    events: Vec<Event>,
    unanswered_puts: BTreeMap<MsgId, UnansweredPut>,
    pending: HashMap<MsgId, PendingMessage>,
    recovered: RecoveredMessages,
    /// Whether an endpoint list has been applied, without which nothing can be sent and no new message is accepted.
    list_known: bool,
    /// The highest version of the endpoint lists that this process has had, including the configuration's.
    highest_version: u64,
    /// The pending messages by request id.
    by_request: HashMap<String, MsgId>,
    /// The calls in flight, each with the channel that cancels it.
    calls_in_flight: HashMap<u64, Option<oneshot::Sender<()>>>,
    next_call: u64,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    unconfirmed_notices: usize,
    /// Ends that could not be written to the journal yet, bounded by the number of messages held.
    unrecorded_ends: Vec<UnrecordedEnd>,
    /// When this process received SIGTERM; None before that.
    stopping: Option<Micros>,
}

impl Driver {
    /// Builds the driver from the daemon's other components.
    ///
    /// # Errors
    /// The dispatcher rejects the settings.
    pub fn new(parts: Parts) -> Result<Self, heronroute::SettingsError> {
        let Parts {
            clock, seed, list_wait, settings, names, journal, endpoints, calls, notices, inputs, ..
        } = parts;
        let Parts { status, metrics, shared, handover, placement, .. } = parts;
        metrics.register_classes(&names.classes);
        let (kinds, quantum, max_open) =
            (settings.kinds.clone(), settings.quantum, settings.max_open as usize);
        let class_table =
            ClassTable::new(names.classes.iter().cloned().zip(settings.classes.iter().cloned()));
        let retry_after_ms = (settings.max_retry_after / 2000).max(0) as u64;
        Ok(Driver {
            clock,
            class_table,
            dispatcher: Dispatcher::new(clock.now(), seed, settings)?,
            names,
            kinds,
            quantum,
            list_wait,
            max_open,
            retry_after_ms,
            journal: Rc::new(RefCell::new(journal)),
            endpoints,
            calls: Rc::new(calls),
            notices,
            inputs,
            status,
            metrics,
            shared,
            handover,
            placement,
            predecessor: None,
            events: Vec::new(),
            unanswered_puts: BTreeMap::new(),
            pending: HashMap::new(),
            recovered: RecoveredMessages::default(),
            list_known: false,
            highest_version: 0,
            by_request: HashMap::new(),
            calls_in_flight: HashMap::new(),
            next_call: 0,
            timers: BinaryHeap::new(),
            unconfirmed_notices: 0,
            unrecorded_ends: Vec::new(),
            stopping: None,
        })
    }

    /// Runs until the sender has received the stop signal and has stopped, or until a successor has taken over.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Input>, known: InitialList) {
        let Some(early) = self.wait_for_list(&mut inbox, known).await else { return };
        self.restore();
        early.into_iter().for_each(|input| self.handle_input(input));
        self.round();
        if self.list_known {
            _ = self.status.change(Change::Started);
        }
        let mut last_round = self.clock.now();
        loop {
            let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
            let pending_events = if self.events.is_empty() { Micros::MAX } else { last_round };
            // The dispatcher runs at most one round per quantum.
            // Rounds also run without events, for conditions that depend on the clock alone.
            let wake = timer.min(pending_events).max(last_round + self.quantum);
            let wake = wake.min(self.next_retry_of_ends(last_round));
            let wake = wake.min(last_round + MAX_ROUND_INTERVAL_US).min(self.next_exit_check(last_round));
            tokio::select! {
                biased;
                input = inbox.recv() => {
                    let Some(input) = input else { return };
                    self.handle_input(input);
                    while let Ok(input) = inbox.try_recv() {
                        self.handle_input(input);
                    }
                    if self.clock.now() < last_round + self.quantum {
                        continue;
                    }
                }
                Some((owner, link)) = next_takeover_request(&mut self.handover) => {
                    if let Some(link) = self.hand_over(owner, link).await {
                        return self.forward_until_idle(inbox, link).await;
                    }
                    continue;
                }
                _ = tokio::time::sleep_until(self.clock.instant(wake)) => {}
            }
            last_round = self.clock.now();
            self.round();
            if self.can_exit(last_round) {
                if self.recovered.any() {
                    eprintln!("{}", self.recovered);
                }
                return;
            }
        }
    }

    /// Queues an input as an event for the next round, and updates the state that does not depend on a round.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Put(put, reply) => self.handle_put(put, reply),
            Input::EndpointsListed { index, full, entries } => self.handle_listing(index, full, entries),
            Input::CallEnded(call, call_end) => self.handle_call_end(call, call_end),
            Input::Probed(endpoint, outcome, report) => {
                self.events.push(Event::Probed { endpoint, outcome, report });
            }
            Input::NoticesConfirmed(ids) => {
                self.unconfirmed_notices = self.unconfirmed_notices.saturating_sub(ids.len());
                self.write_journal(|j| j.record_notices_confirmed(ids));
            }
            Input::ClassesReloaded(classes) => {
                self.metrics.register_classes(classes.iter().map(|(name, _)| name));
                if let Some(placement) = &self.placement {
                    placement.update_classes(classes.iter().map(|(name, class)| (name, class)));
                }
                self.class_table.reload(classes, self.clock.now());
                self.events.push(Event::ClassesChanged(self.class_table.classes()));
            }
            Input::PredecessorFrame(frame) => self.handle_predecessor_frame(frame),
            Input::PredecessorGone => self.handle_predecessor_gone(),
            Input::Stop => {
                let now = self.clock.now();
                self.stopping.get_or_insert(now);
                self.events.push(Event::Stopping { at: now + CALL_DEADLINE_US });
            }
        }
    }

    /// Passes a listing on to the dispatcher. With the first one, the start is complete.
    fn handle_listing(&mut self, index: u64, full: bool, entries: Vec<EndpointEntry>) {
        self.record_listing(index, full, entries);
        if !self.list_known {
            self.list_known = true;
            self.restore_health();
            _ = self.status.change(Change::Started);
        }
    }

    fn record_listing(&mut self, index: u64, full: bool, entries: Vec<EndpointEntry>) {
        let endpoints = self.endpoints.borrow();
        let line =
            |e: &EndpointEntry| Some((endpoints.get(e.endpoint)?.name.clone(), e.status == Status::Up));
        let lines: Vec<_> = entries.iter().filter_map(line).collect();
        drop(endpoints);
        // A discovery process that has been started anew may count its versions from the beginning.
        let version = if index > self.highest_version { index } else { LATER_THAN_ANY_LIST };
        self.highest_version = self.highest_version.max(index);
        self.write_journal(|j| j.record_endpoints_listed(version, &lines));
        self.events.push(Event::Listing { complete: full, entries });
    }

    /// Writes to the journal. A failed write is logged and nothing is undone.
    /// After a failed write, a restart may repeat the attempt or the notice.
    fn write_journal(&mut self, write: impl FnOnce(&mut Journal) -> std::io::Result<()>) {
        if let Err(e) = write(&mut self.journal.borrow_mut()) {
            eprintln!("journal: write failed, a restart may repeat an attempt or a notice: {e}");
        }
    }

    /// Queues a new message as an event, or rejects the message without queueing it.
    fn handle_put(&mut self, put: Put, reply: oneshot::Sender<Reply>) {
        if let Some(id) = self.by_request.get(&put.request_id) {
            // The client has sent an open message again, on a second connection.
            // Acceptance must not be reported before the message is in the journal: the message may still be rejected.
            // After a report of acceptance, the client would not send a rejected message again.
            let written = self.journal.borrow().get(id.0).is_some();
            _ = reply.send(if written { Reply::Accepted } else { Reply::Busy { retry_after_ms: 0 } });
            return;
        }
        if let Some(end) = self.journal.borrow().end_of_request(&put.request_id) {
            // The client has sent the request of an ended message again. Another call could take effect twice.
            _ = reply.send(if end == End::Closed { Reply::Accepted } else { Reply::Failed });
            return;
        }
        if self.pending.len() >= self.max_open
            || self.status.get().refuses_messages(std::time::Instant::now())
        {
            self.metrics.count(&put.class, MessageEnd::Refused);
            _ = reply.send(Reply::Busy { retry_after_ms: self.retry_after_ms });
            return;
        }
        let retry_after_ms = self.placement.as_ref().and_then(|placement| placement.retry_after_ms(&put));
        if let Some(retry_after_ms) = retry_after_ms {
            self.metrics.count(&put.class, MessageEnd::Refused);
            _ = reply.send(Reply::Busy { retry_after_ms });
            return;
        }
        let class = match self.rules_for(&put) {
            Ok(row) => row,
            Err(reason) if reason == UNKNOWN_DESTINATION && self.awaits_endpoints() => {
                self.metrics.count(&put.class, MessageEnd::Refused);
                _ = reply.send(Reply::Busy { retry_after_ms: self.retry_after_ms });
                return;
            }
            Err(reason) => {
                self.metrics.count(&put.class, MessageEnd::Wrong);
                _ = reply.send(Reply::Invalid(reason.into()));
                return;
            }
        };
        let id = MsgId(self.journal.borrow_mut().allocate_number());
        let now = self.clock.now();
        let rules = self.class_table.settings(class).filter(|_| put.sender_lost);
        let may_have_run_since =
            rules.and_then(|rules| rules.possible_run_at_lost_sender(now, put.time_left));
        self.events.push(Event::Message {
            id,
            class,
            tenant: index(&self.names.tenants, &put.tenant),
            key: Some(put.order_key.clone()),
            dest: DestId(put.dest),
            time_left: SET_IN_ROUND,
            resubmitted: put.resubmitted,
            may_have_run_since,
        });
        self.by_request.insert(put.request_id.clone(), id);
        self.class_table.add_message(class);
        self.pending.insert(id, PendingMessage { row: class, ..PendingMessage::default() });
        self.retain_destination(id, put.dest);
        let deadline = now + put.time_left;
        self.unanswered_puts.insert(id, UnansweredPut { put, deadline, may_have_run_since, reply });
    }

    /// Whether an unknown destination may have endpoints in the endpoint list that have not been read yet.
    fn awaits_endpoints(&self) -> bool {
        !self.list_known || self.placement.as_ref().is_some_and(|placement| placement.awaits_endpoints())
    }

    /// Keeps the destination's endpoints in the table until the message ends, whichever sender owns the destination.
    fn retain_destination(&self, id: MsgId, dest: i64) {
        if let Some(placement) = &self.placement {
            placement.add_pending(id, dest);
        }
    }

    /// Returns the class table's row for a new message, or why no sender can accept the message.
    fn rules_for(&self, put: &Put) -> Result<usize, &'static str> {
        let row = self.class_table.current_row(&put.class, self.clock.now()).ok_or("unknown class")?;
        let class = self.class_table.settings(row).ok_or("unknown class")?;
        let tenants = &self.names.tenants;
        if !tenants.is_empty() && !tenants.contains(&put.tenant) {
            Err("unknown tenant")
        } else if put.time_left > class.deadline + 1000 {
            // Clients send the remaining time in whole milliseconds, so the sent time may exceed the class's by 1 ms.
            Err("field 'd' is more than the class's time")
        } else if !self.endpoints.borrow().knows(DestId(put.dest)) {
            Err(UNKNOWN_DESTINATION)
        } else if class.effect == Effect::Keyed && put.idempotency_key.is_none() {
            Err("field 'k' is missing in a keyed class")
        } else {
            Ok(row)
        }
    }

    /// Handles the end of a call: closes the call's messages that have ended.
    /// Records the outcomes of the call's other attempts, and queues all outcomes as events for the dispatcher.
    fn handle_call_end(&mut self, call: u64, call_end: CallEnd) {
        self.calls_in_flight.remove(&call);
        let CallEnd { endpoint, outcomes, elapsed, wait, report } = call_end;
        for attempt_outcome in outcomes {
            let (id, outcome, closes_message) =
                (attempt_outcome.id, attempt_outcome.outcome, attempt_outcome.closes_message);
            self.record_first_call(id);
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.call = None;
                let deadline = self.deadline(id);
                if closes_message
                    && outcome == Outcome::Done
                    && deadline.is_some_and(|at| at < self.clock.now())
                {
                    // A delivery after the deadline may not count as delivered, so the client gets a notice of failure.
                    self.end_undelivered(id, End::Failed);
                } else if closes_message {
                    if outcome == Outcome::Done
                        && let Some(entry) = self.journal.borrow().get(id.0)
                    {
                        self.metrics.count(&entry.accepted.class, MessageEnd::Delivered);
                    }
                    if outcome.never_ran() {
                        self.write_journal(|j| j.record_attempt_settled(id.0, false));
                    }
                    self.close_message(id);
                } else {
                    self.write_journal(|j| j.record_attempt_settled(id.0, !outcome.never_ran()));
                }
            }
            let attempt = attempt_outcome.attempt;
            self.events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message,
                elapsed,
                wait,
                report,
            });
        }
    }

    /// Removes a message from the pending messages. Returns false if the message was not pending.
    fn remove_pending(&mut self, id: MsgId) -> bool {
        let pending = self.pending.remove(&id);
        if let Some(placement) = &self.placement {
            placement.remove_pending(id);
        }
        if let Some(pending) = &pending {
            self.class_table.remove_message(pending.row);
        }
        self.record_first_call(id);
        // The dispatcher ends a message up to two quanta before its deadline.
        if self.recovered.record_end(id, self.clock.now(), 2 * self.quantum) {
            eprintln!("{}", self.recovered);
        }
        pending.is_some()
    }

    /// Counts a recovered message as attempted if a call with it has begun since this process started.
    fn record_first_call(&mut self, id: MsgId) {
        let begun = self.journal.borrow().get(id.0).map_or(0, |entry| entry.progress.attempts);
        if self.recovered.record_calls(id, begun) {
            eprintln!("{}", self.recovered);
        }
    }

    /// Closes a message whose final outcome needs no notice to the platform.
    fn close_message(&mut self, id: MsgId) {
        self.remove_pending(id);
        if let Some(entry) = self.journal.borrow().get(id.0) {
            self.by_request.remove(&entry.accepted.request_id);
        }
        self.write_journal(|j| j.record_message_ended(id.0, End::Closed));
    }

    /// Runs one round of the dispatcher with the queued events and executes the dispatcher's actions.
    fn round(&mut self) {
        let now = self.clock.now();
        self.journal.borrow_mut().forget_expired_requests(now);
        self.retry_unrecorded_ends(now);
        // The failure of the first attempt has been logged.
        _ = self.journal.borrow_mut().record_unrecorded_listed();
        while let Some(Reverse((_, token))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        let mut events = std::mem::take(&mut self.events);
        self.set_time_left(now, &mut events);
        let mut actions = Vec::new();
        self.dispatcher.round(now, &events, &mut actions);
        self.answer_puts(&events, &actions);
        self.execute_actions(actions);
        self.persist_health();
        self.metrics.outstanding.set(self.pending.len() - self.unanswered_puts.len());
    }

    /// Sets each new message's remaining time as of the round that begins now.
    /// The round may begin a quantum after the message was read, or later if the process starts with a long journal.
    /// With the remaining time as of reading, the dispatcher would end the message too late for its deadline.
    /// A response after the message's deadline would not count as a delivery.
    fn set_time_left(&self, now: Micros, events: &mut [Event]) {
        let journal = self.journal.borrow();
        for event in events {
            let (Event::Message { id, time_left, .. } | Event::MessageRestored { id, time_left, .. }) = event
            else {
                continue;
            };
            let new = self.unanswered_puts.get(id).map(|n| n.deadline);
            if let Some(deadline) = new.or_else(|| Some(journal.get(id.0)?.accepted.deadline)) {
                *time_left = deadline - now;
            }
        }
    }

    /// Replies to the clients whose messages the current round has processed.
    /// A refusal is sent without delay; an acceptance is sent after the message has been written to the journal.
    fn answer_puts(&mut self, events: &[Event], actions: &[Action]) {
        let mut answers: BTreeMap<MsgId, Reply> = BTreeMap::new();
        if self.unanswered_puts.is_empty() {
            return;
        }
        for action in actions {
            match action {
                Action::Refuse { id, retry_after } => {
                    answers.insert(*id, Reply::Busy { retry_after_ms: (*retry_after / 1000).max(0) as u64 });
                }
                Action::Fail { id } => _ = answers.insert(*id, Reply::Failed),
                _ => {}
            }
        }
        for event in events {
            let Event::Message { id, .. } = event else { continue };
            let Some(unanswered) = self.unanswered_puts.remove(id) else { continue };
            let UnansweredPut { put, deadline, may_have_run_since, reply } = unanswered;
            if let Some(answer) = answers.get(id) {
                let busy = matches!(answer, Reply::Busy { .. });
                self.metrics.count(&put.class, if busy { MessageEnd::Refused } else { MessageEnd::Wrong });
                self.by_request.remove(&put.request_id);
                self.remove_pending(*id);
                _ = reply.send(answer.clone());
                continue;
            }
            let (request_id, class) = (put.request_id.clone(), put.class.clone());
            let accepted = Accepted {
                request_id: put.request_id,
                class: put.class,
                order_key: put.order_key,
                idempotency_key: put.idempotency_key,
                dest: put.dest,
                deadline,
                body: put.body,
            };
            let row = self.pending.get(id).and_then(|pending| self.class_table.settings(pending.row));
            let Some(rules) = row else { continue };
            let recorded = self.journal.borrow_mut().accept(id.0, accepted, may_have_run_since, rules);
            let answer = match recorded {
                Ok(()) => Reply::Accepted,
                Err(e) => {
                    eprintln!(
                        "journal: recording message '{request_id}' failed, client told to retry in 1 s: {e}"
                    );
                    Reply::Busy { retry_after_ms: 1000 }
                }
            };
            let accepted = answer == Reply::Accepted;
            if reply.send(answer).is_err() || !accepted {
                // The message is closed: its client has gone before the reply, or the reply refuses the message.
                self.metrics.count(&class, MessageEnd::Refused);
                self.write_journal(|j| j.record_message_ended(id.0, End::Closed));
                self.by_request.remove(&request_id);
                self.remove_pending(*id);
                self.events.push(Event::MessageAbandoned { id: *id });
            }
        }
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        let mut sends: BTreeMap<u64, (EndpointId, Vec<(MsgId, Micros)>)> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { call, id, endpoint, timeout } => {
                    sends.entry(call).or_insert((endpoint, Vec::new())).1.push((id, timeout));
                }
                Action::Cancel { id, .. } => {
                    let call = self.pending.get(&id).and_then(|l| l.call);
                    if let Some(cancel) =
                        call.and_then(|c| self.calls_in_flight.get_mut(&c)).and_then(Option::take)
                    {
                        _ = cancel.send(());
                    } else if let (Some(predecessor), Some(call)) = (&self.predecessor, call)
                        && predecessor.attempts_in_flight.values().any(|(c, _)| *c == call)
                    {
                        _ = predecessor.send.send(Frame::Cancel { call });
                    }
                }
                Action::Refuse { id, retry_after } => {
                    self.end_undelivered(
                        id,
                        End::Returned { retry_after_ms: (retry_after / 1000).max(0) as u64 },
                    );
                }
                Action::Fail { id } => self.end_undelivered(id, End::Failed),
                Action::Timer { at, token } => self.timers.push(Reverse((at, token))),
                Action::Probe { endpoint } => self.probe(endpoint),
                // The dispatcher can close idle connections and broadcast data to peers.
                // This daemon keeps no idle connections, and its senders exchange no data.
                Action::CloseIdle { .. } | Action::Broadcast { .. } => {}
            }
        }
        for (endpoint, items) in sends.into_values() {
            self.send(endpoint, items);
        }
    }

    /// Ends an undelivered message and queues its notice.
    /// Does nothing if the message was already answered with a refusal.
    fn end_undelivered(&mut self, id: MsgId, end: End) {
        let (attempts, call) = self.pending.get(&id).map_or((0, None), |p| (p.attempts, p.call));
        if !self.remove_pending(id) {
            return;
        }
        let journal = self.journal.borrow();
        let Some(request_id) = journal.get(id.0).map(|e| {
            self.metrics.count(&e.accepted.class, MessageEnd::of(end));
            e.accepted.request_id.clone()
        }) else {
            return;
        };
        drop(journal);
        self.by_request.remove(&request_id);
        let deadline = self.deadline(id).unwrap_or(Micros::MIN);
        let time_left = deadline.saturating_sub(self.clock.now());
        let request = request_id.as_str();
        self.calls.log().message_ended(&EndedMessage { request_id: request, end, attempts, call, time_left });
        self.record_end_and_notify(Notice { id: id.0, request_id, end }, deadline);
    }

    /// Reports to the dispatcher that an attempt was not sent.
    fn report_skipped(&mut self, id: MsgId, attempt: u32, endpoint: EndpointId, closes_message: bool) {
        let (outcome, elapsed, wait, report) = (Outcome::Skipped, 0, 0, None);
        self.events.push(Event::Outcome {
            id,
            attempt,
            endpoint,
            outcome,
            closes_message,
            elapsed,
            wait,
            report,
        });
    }

    /// Starts a call to an endpoint with the messages in `sends`, as a task of its own.
    fn send(&mut self, endpoint: EndpointId, sends: Vec<(MsgId, Micros)>) {
        let target = self.endpoints.borrow().get(endpoint).cloned();
        let target = target.and_then(|t| t.addr.map(|addr| (t, addr)));
        let call = self.next_call;
        self.next_call += 1;
        let (mut items, mut longest, mut key_window_end) = (Vec::new(), 0, Micros::MAX);
        for (id, timeout) in sends {
            let Some(pending) = self.pending.get_mut(&id) else {
                // The message was withdrawn in this round: its client left before the reply.
                self.report_skipped(id, 0, endpoint, true);
                continue;
            };
            let attempt = pending.attempts;
            pending.attempts += 1;
            let journal = self.journal.clone();
            let journal = journal.borrow();
            let Some(entry) = journal.get(id.0).filter(|_| target.is_some()) else {
                self.report_skipped(id, attempt, endpoint, false);
                continue;
            };
            pending.call = Some(call);
            let class = self.class_table.settings(pending.row).filter(|c| c.effect == Effect::Keyed);
            if let (Some(class), Some((_, first))) = (class, entry.progress.first_possible_run()) {
                key_window_end = key_window_end.min(first + class.window);
            }
            longest = longest.max(timeout);
            items.push(CallItem {
                id,
                attempt,
                request_id: entry.accepted.request_id.clone(),
                idempotency_key: entry.accepted.idempotency_key.clone(),
                body: entry.accepted.body.clone(),
            });
        }
        let Some((target, addr)) = target.filter(|_| !items.is_empty()) else { return };
        let lane = self.lane(endpoint, &target);
        let batch = items.len() > 1;
        let timeout = Duration::from_micros(longest.max(1) as u64);
        let endpoint_name = target.name.clone();
        let spec = CallSpec { number: call, endpoint, endpoint_name, addr, lane, items, batch, timeout };
        let (cancel, cancelled) = oneshot::channel();
        self.calls_in_flight.insert(call, Some(cancel));
        let (calls, journal, inputs, clock) =
            (self.calls.clone(), self.journal.clone(), self.inputs.clone(), self.clock);
        tokio::task::spawn_local(async move {
            let begin = || {
                // A repeat must not be sent after the key window, in which the destination recognises the key.
                // The check comes after the connection has opened, which may have taken long.
                if clock.now() >= key_window_end {
                    return Vec::new();
                }
                // A message that ended while the connection was opening must not be sent.
                // The client may already have been notified of the message's final outcome.
                let open =
                    |id: &MsgId| journal.borrow().get(id.0).is_some_and(|entry| entry.progress.end.is_none());
                let wanted: Vec<MsgId> = spec.items.iter().map(|i| i.id).filter(open).collect();
                if wanted.is_empty() {
                    return wanted;
                }
                let ids = wanted.iter().map(|id| id.0).collect();
                match journal.borrow_mut().record_attempts_started(ids, &target.name, clock.now()) {
                    Ok(()) => wanted,
                    Err(e) => {
                        eprintln!("journal: recording a call to '{}' failed, not sent: {e}", target.name);
                        Vec::new()
                    }
                }
            };
            let call_end = calls.call(&spec, begin, cancelled).await;
            _ = inputs.send(Input::CallEnded(call, call_end)).await;
        });
    }

    /// Returns the lane to which a wait advertised by this endpoint applies.
    fn lane(&self, id: EndpointId, endpoint: &Endpoint) -> Lane {
        let separate_routes = self.kinds.get(endpoint.kind).is_some_and(|kind| kind.separate_routes);
        if separate_routes { Lane::Route(id) } else { Lane::Whole(endpoint.dest) }
    }

    /// Starts a probe of an endpoint, as a task of its own.
    fn probe(&mut self, endpoint: EndpointId) {
        let addr = self.endpoints.borrow().get(endpoint).and_then(|e| e.addr.filter(|_| e.ready));
        let Some(addr) = addr else {
            self.events.push(Event::Probed { endpoint, outcome: Outcome::Skipped, report: None });
            return;
        };
        let (calls, inputs) = (self.calls.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (outcome, report) = calls.probe(addr).await;
            _ = inputs.send(Input::Probed(endpoint, outcome, report)).await;
        });
    }

    /// Records the changes in the health of endpoints and receivers in the journal.
    /// Without an endpoint list the dispatcher knows no health yet, and the journal's must be kept.
    fn persist_health(&mut self) {
        if !self.list_known {
            return;
        }
        let endpoints = self.endpoints.borrow();
        let (mut health, mut avoided) = (BTreeMap::new(), 0);
        for (id, h) in self.dispatcher.endpoint_health() {
            let Some(endpoint) = endpoints.get(id) else { continue };
            avoided += usize::from(h.unhealthy && endpoint.listed());
            health.insert(endpoint.name.clone(), h);
        }
        self.metrics.ejected.set(avoided);
        let receivers = self.dispatcher.receiver_health().filter_map(|(dest, route, health)| {
            let receiver = match route {
                Some(id) => Receiver::Route(dest.0, endpoints.get(id)?.name.clone()),
                None => Receiver::Destination(dest.0),
            };
            Some((receiver, health))
        });
        let mut journal = self.journal.borrow_mut();
        let recorded = journal
            .record_endpoint_health(&health)
            .and_then(|()| journal.record_receiver_health(&receivers.collect()));
        if let Err(e) = recorded {
            eprintln!("journal: recording the health of endpoints and receivers failed: {e}");
        }
    }

    /// Returns the next time at which the result of [`Driver::can_exit`] may change by the clock alone.
    /// Without a wake-up at the exit time, the process might exit only at a later round, and be killed before.
    fn next_exit_check(&self, last_round: Micros) -> Micros {
        let phases = self.stopping.into_iter().flat_map(|t| [t + MIN_STAY_US, t + EXIT_DEADLINE_US]);
        phases.filter(|at| *at > last_round).min().unwrap_or(Micros::MAX)
    }

    /// Whether the process may exit after SIGTERM: once no message or notice is open, or at the exit deadline.
    fn can_exit(&self, now: Micros) -> bool {
        let Some(since) = self.stopping.map(|t| now - t) else { return false };
        let done = self.pending.is_empty() && self.unconfirmed_notices == 0 && since > MIN_STAY_US;
        done || since >= EXIT_DEADLINE_US
    }
}

fn index(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(usize::MAX)
}
