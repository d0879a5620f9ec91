//! The core: feeds the dispatcher with what happens, in rounds, and carries out what it decides. How it starts is in
//! `start`, how one process replaces another in `replace`.

mod recovered;
mod replace;
mod start;

pub use replace::Handing;
pub use start::Known;

use crate::calls::{Calls, Item, Lane, Order};
use crate::clients::Shared;
use crate::clock::Clock;
use crate::figures::{Ending, Figures};
use crate::fleet::{Endpoint, Fleet};
use crate::input::{Ended, Input, Notice};
use crate::journal::{Accepted, Journal, Receiver};
use crate::placement::Placement;
use crate::rows::Rows;
use crate::standing::{Change, Standings};
use embershore_handover::Frame;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use embershore_protocol::settings::Names;
use heronroute::{
    Action, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, KindSettings, Micros, MsgId,
    Outcome, Settings, Status,
};
use recovered::RecoveredMessages;
use replace::{Former, next_of};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// After SIGTERM: the process stays for this long at the least, also with nothing to do, ...
const STAY_LEAST: Micros = 900_000;
/// ... calls have this long to end ...
const CALLS_END_AFTER: Micros = 3_300_000;
/// ... and the process this long, before it is killed.
const EXIT_AFTER: Micros = 3_500_000;
const RETIRE_EVERY: Micros = 500_000;
/// What time a message has left is known only in the round that it comes into: see [`Driver::bring_up_to_date`].
const AS_OF_THE_ROUND: Micros = 0;
/// What a client is told of a destination that is in no list.
const UNKNOWN_DESTINATION: &str = "unknown destination";

/// What a message needs while it is held, beside its journal entry.
#[derive(Default)]
struct Live {
    attempts: u32,
    call: Option<u64>,
    /// The rules under which it was taken on.
    row: usize,
}

/// A client that waits to hear whether its message is taken on.
struct Newcomer {
    put: Put,
    /// When its time is up.
    deadline: Micros,
    reply: oneshot::Sender<Reply>,
}

/// The parts that a driver is made of.
pub struct Parts {
    pub clock: Clock,
    pub seed: u64,
    /// How long to wait for discovery's word where a list was given with the configuration.
    pub list_wait: Duration,
    pub settings: Settings,
    pub names: Names,
    pub journal: Journal,
    pub fleet: Rc<RefCell<Fleet>>,
    pub calls: Calls,
    pub notices: mpsc::UnboundedSender<Notice>,
    pub inputs: mpsc::Sender<Input>,
    pub standings: Standings,
    pub figures: Rc<Figures>,
    pub shared: Shared,
    pub handing: Option<Handing>,
    /// Where other senders own some of the destinations.
    pub placement: Option<Rc<Placement>>,
}

pub struct Driver {
    clock: Clock,
    dispatcher: Dispatcher,
    names: Names,
    kinds: Vec<KindSettings>,
    /// The classes' rules; a row is a class's index in the module.
    rows: Rows,
    quantum: Micros,
    list_wait: Duration,
    max_open: usize,
    /// When a client is to come again that finds no room: as the module tells those that it refuses.
    come_again_ms: u64,
    journal: Rc<RefCell<Journal>>,
    fleet: Rc<RefCell<Fleet>>,
    calls: Rc<Calls>,
    notices: mpsc::UnboundedSender<Notice>,
    inputs: mpsc::Sender<Input>,
    standings: Standings,
    figures: Rc<Figures>,
    shared: Shared,
    handing: Option<Handing>,
    placement: Option<Rc<Placement>>,
    former: Option<Former>,
    events: Vec<Event>,
    newcomers: BTreeMap<MsgId, Newcomer>,
    live: HashMap<MsgId, Live>,
    recovered: RecoveredMessages,
    by_request: HashMap<String, MsgId>,
    out: HashMap<u64, Option<oneshot::Sender<()>>>,
    next_call: u64,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    unconfirmed: usize,
    stopping: Option<Micros>,
}

impl Driver {
    pub fn new(parts: Parts) -> Result<Self, heronroute::SettingsError> {
        let Parts { clock, seed, list_wait, settings, names, journal, fleet, calls, notices, inputs, .. } =
            parts;
        let Parts { standings, figures, shared, handing, placement, .. } = parts;
        figures.name_classes(&names.classes);
        let (kinds, quantum, max_open) =
            (settings.kinds.clone(), settings.quantum, settings.max_open as usize);
        let rows = Rows::new(names.classes.iter().cloned().zip(settings.classes.iter().cloned()));
        let come_again_ms = (settings.max_retry_after / 2000).max(0) as u64;
        Ok(Driver {
            clock,
            rows,
            dispatcher: Dispatcher::new(clock.now(), seed, settings)?,
            names,
            kinds,
            quantum,
            list_wait,
            max_open,
            come_again_ms,
            journal: Rc::new(RefCell::new(journal)),
            fleet,
            calls: Rc::new(calls),
            notices,
            inputs,
            standings,
            figures,
            shared,
            handing,
            placement,
            former: None,
            events: Vec::new(),
            newcomers: BTreeMap::new(),
            live: HashMap::new(),
            recovered: RecoveredMessages::default(),
            by_request: HashMap::new(),
            out: HashMap::new(),
            next_call: 0,
            timers: BinaryHeap::new(),
            unconfirmed: 0,
            stopping: None,
        })
    }

    /// Runs until the sender has been told to stop and has done so.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Input>, known: Known) {
        let Some(early) = self.wait_for_list(&mut inbox, known).await else { return };
        self.restore();
        early.into_iter().for_each(|input| self.take(input));
        self.round();
        _ = self.standings.change(Change::Started);
        let mut last = self.clock.now();
        let mut retire = last;
        loop {
            let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
            let pending = if self.events.is_empty() { Micros::MAX } else { last };
            // A round at most once a quantum; also while nothing happens, for what goes by the clock alone.
            let wake = timer.min(pending).max(last + self.quantum);
            let wake = wake.min(last + RETIRE_EVERY).min(self.next_phase(last));
            tokio::select! {
                biased;
                input = inbox.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    while let Ok(input) = inbox.try_recv() {
                        self.take(input);
                    }
                    if self.clock.now() < last + self.quantum {
                        continue;
                    }
                }
                Some((owner, link)) = next_of(&mut self.handing) => {
                    if let Some(link) = self.hand_over(owner, link).await {
                        return self.retire(inbox, link).await;
                    }
                    continue;
                }
                _ = tokio::time::sleep_until(self.clock.instant(wake)) => {}
            }
            last = self.clock.now();
            self.round();
            if last - retire >= RETIRE_EVERY {
                retire = last;
                self.calls.retire();
            }
            if self.stopped(last) {
                if self.recovered.any() {
                    eprintln!("{}", self.recovered);
                }
                return;
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Put(put, reply) => self.put(put, reply),
            Input::Members { index, whole, entries } => self.members(index, whole, entries),
            Input::Ended(call, ended) => self.ended(call, ended),
            Input::Probed(endpoint, outcome, report) => {
                self.events.push(Event::Probed { endpoint, outcome, report });
            }
            Input::Noticed(ids) => {
                self.unconfirmed = self.unconfirmed.saturating_sub(ids.len());
                self.note(|j| j.noticed(ids));
            }
            Input::Retuned(classes) => {
                self.figures.name_classes(classes.iter().map(|(name, _)| name));
                if let Some(placement) = &self.placement {
                    placement.take_classes(classes.iter().map(|(name, class)| (name, class)));
                }
                self.rows.retune(classes, self.clock.now());
                self.events.push(Event::ClassesChanged(self.rows.classes()));
            }
            Input::Former(frame) => self.hear(frame),
            Input::FormerGone => self.former_gone(),
            Input::Stop => {
                let now = self.clock.now();
                self.stopping.get_or_insert(now);
                self.events.push(Event::Stopping { at: now + CALLS_END_AFTER });
            }
        }
    }

    fn members(&mut self, index: u64, whole: bool, entries: Vec<EndpointEntry>) {
        let fleet = self.fleet.borrow();
        let line = |e: &EndpointEntry| Some((fleet.get(e.endpoint)?.name.clone(), e.status == Status::Up));
        let lines: Vec<_> = entries.iter().filter_map(line).collect();
        drop(fleet);
        self.note(|j| j.keep_listed(index, &lines));
        self.events.push(Event::Listing { complete: whole, entries });
    }

    /// What cannot be written may be done twice after a restart, or told twice; it is not undone.
    fn note(&mut self, write: impl FnOnce(&mut Journal) -> std::io::Result<()>) {
        if let Err(e) = write(&mut self.journal.borrow_mut()) {
            eprintln!("journal: {e}");
        }
    }

    fn put(&mut self, put: Put, reply: oneshot::Sender<Reply>) {
        if let Some(id) = self.by_request.get(&put.request_id) {
            // The same message on a second connection. One that is not written down yet is not taken on yet,
            // and may never be: a client that hears so would not come again.
            let written = self.journal.borrow().get(id.0).is_some();
            _ = reply.send(if written { Reply::Accepted } else { Reply::Busy { retry_after_ms: 0 } });
            return;
        }
        if self.live.len() >= self.max_open || self.standings.get().refuses(std::time::Instant::now()) {
            self.figures.count(&put.class, Ending::Refused);
            _ = reply.send(Reply::Busy { retry_after_ms: self.come_again_ms });
            return;
        }
        if let Some(after_ms) = self.placement.as_ref().and_then(|placement| placement.refuses(&put)) {
            self.figures.count(&put.class, Ending::Refused);
            _ = reply.send(Reply::Busy { retry_after_ms: after_ms });
            return;
        }
        let class = match self.row_for(&put) {
            Ok(row) => row,
            Err(why) if why == UNKNOWN_DESTINATION && self.awaits_endpoints() => {
                self.figures.count(&put.class, Ending::Refused);
                _ = reply.send(Reply::Busy { retry_after_ms: self.come_again_ms });
                return;
            }
            Err(why) => {
                self.figures.count(&put.class, Ending::Wrong);
                _ = reply.send(Reply::Invalid(why.into()));
                return;
            }
        };
        let id = MsgId(self.journal.borrow_mut().number());
        self.events.push(Event::Message {
            id,
            class,
            tenant: index(&self.names.tenants, &put.tenant),
            key: Some(put.order_key.clone()),
            dest: DestId(put.dest),
            time_left: AS_OF_THE_ROUND,
            resubmitted: put.resubmitted,
        });
        self.by_request.insert(put.request_id.clone(), id);
        self.rows.enter(class);
        self.live.insert(id, Live { row: class, ..Live::default() });
        self.hold_destination(id, put.dest);
        let deadline = self.clock.now() + put.time_left;
        self.newcomers.insert(id, Newcomer { put, deadline, reply });
    }

    /// A destination that is not in the list of endpoints may only not have been read yet.
    fn awaits_endpoints(&self) -> bool {
        self.placement.as_ref().is_some_and(|placement| placement.awaits_endpoints())
    }

    /// The destination is kept for as long as the message is held, whoever owns it.
    fn hold_destination(&self, id: MsgId, dest: i64) {
        if let Some(placement) = &self.placement {
            placement.hold(id, dest);
        }
    }

    /// The rules for this message, or why no sender could take it on.
    fn row_for(&self, put: &Put) -> Result<usize, &'static str> {
        let row = self.rows.newest(&put.class, self.clock.now()).ok_or("unknown class")?;
        let class = self.rows.get(row).ok_or("unknown class")?;
        let tenants = &self.names.tenants;
        if !tenants.is_empty() && !tenants.contains(&put.tenant) {
            Err("unknown tenant")
        } else if put.time_left > class.deadline + 1000 {
            // The time is told in whole milliseconds.
            Err("field 'd' is more than the class's time")
        } else if !self.fleet.borrow().knows(DestId(put.dest)) {
            Err(UNKNOWN_DESTINATION)
        } else if class.effect == Effect::Keyed && put.idempotency_key.is_none() {
            Err("field 'k' is missing in a keyed class")
        } else {
            Ok(row)
        }
    }

    fn ended(&mut self, call: u64, ended: Ended) {
        self.out.remove(&call);
        let Ended { endpoint, fates, elapsed, wait, report } = ended;
        for fate in fates {
            let (id, outcome, last) = (fate.id, fate.outcome, fate.over);
            self.tell_called(id);
            if let Some(live) = self.live.get_mut(&id) {
                live.call = None;
                let deadline = self.journal.borrow().get(id.0).map(|e| e.accepted.deadline);
                if last && outcome == Outcome::Done && deadline.is_some_and(|at| at < self.clock.now()) {
                    // Delivered out of its time, which may count for nothing: its client is owed word all the same.
                    self.end(id, End::Failed);
                } else if last {
                    if outcome == Outcome::Done
                        && let Some(entry) = self.journal.borrow().get(id.0)
                    {
                        self.figures.count(&entry.accepted.class, Ending::Delivered);
                    }
                    self.forget(id);
                } else {
                    self.note(|j| j.settled(id.0, !outcome.never_ran()));
                }
            }
            let attempt = fate.attempt;
            self.events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                closes_message: last,
                elapsed,
                wait,
                report,
            });
        }
    }

    /// The message is held no more. False if it was not.
    fn drop_live(&mut self, id: MsgId) -> bool {
        let live = self.live.remove(&id);
        if let Some(placement) = &self.placement {
            placement.release(id);
        }
        if let Some(live) = &live {
            self.rows.leave(live.row);
        }
        self.tell_called(id);
        // The module ends a message up to two quanta early.
        if self.recovered.over(id, self.clock.now(), 2 * self.quantum) {
            eprintln!("{}", self.recovered);
        }
        live.is_some()
    }

    /// A message that a restart recovered is attempted once a call of it has begun.
    fn tell_called(&mut self, id: MsgId) {
        let begun = self.journal.borrow().get(id.0).map_or(0, |entry| entry.progress.attempts);
        if self.recovered.call(id, begun) {
            eprintln!("{}", self.recovered);
        }
    }

    /// Nothing more is owed for the message.
    fn forget(&mut self, id: MsgId) {
        self.drop_live(id);
        if let Some(entry) = self.journal.borrow().get(id.0) {
            self.by_request.remove(&entry.accepted.request_id);
        }
        self.note(|j| j.ended(id.0, End::Closed));
    }

    fn round(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((_, token))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        let mut events = std::mem::take(&mut self.events);
        self.bring_up_to_date(now, &mut events);
        let mut actions = Vec::new();
        self.dispatcher.round(now, &events, &mut actions);
        self.welcome(&events, &actions);
        self.carry_out(actions);
        self.keep_health();
        self.figures.outstanding.set(self.live.len() - self.newcomers.len());
    }

    /// Gives each message what time it has left as of the round, which may come a quantum after it was read, or later at a
    /// start that has much to read. With what it had when it was read the module would end it too late, and an answer
    /// that came then would count for nothing.
    fn bring_up_to_date(&self, now: Micros, events: &mut [Event]) {
        let journal = self.journal.borrow();
        for event in events {
            let (Event::Message { id, time_left, .. } | Event::MessageRestored { id, time_left, .. }) = event
            else {
                continue;
            };
            let new = self.newcomers.get(id).map(|n| n.deadline);
            if let Some(deadline) = new.or_else(|| Some(journal.get(id.0)?.accepted.deadline)) {
                *time_left = deadline - now;
            }
        }
    }

    /// Answers the clients whose messages this round has seen: those refused at once hear it, the others'
    /// messages are written down first.
    fn welcome(&mut self, events: &[Event], actions: &[Action]) {
        let mut answers: BTreeMap<MsgId, Reply> = BTreeMap::new();
        if self.newcomers.is_empty() {
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
            let Some(Newcomer { put, deadline, reply }) = self.newcomers.remove(id) else { continue };
            if let Some(answer) = answers.get(id) {
                let busy = matches!(answer, Reply::Busy { .. });
                self.figures.count(&put.class, if busy { Ending::Refused } else { Ending::Wrong });
                self.by_request.remove(&put.request_id);
                self.drop_live(*id);
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
            let row = self.live.get(id).and_then(|live| self.rows.get(live.row));
            let Some(rules) = row else { continue };
            let taken = self.journal.borrow_mut().accept(id.0, accepted, rules);
            let answer = match taken {
                Ok(()) => Reply::Accepted,
                Err(e) => {
                    eprintln!("journal: {e}");
                    Reply::Busy { retry_after_ms: 1000 }
                }
            };
            let taken = answer == Reply::Accepted;
            if reply.send(answer).is_err() || !taken {
                // Its client has gone without an answer, or is told to come again.
                self.figures.count(&class, Ending::Refused);
                self.note(|j| j.ended(id.0, End::Closed));
                self.by_request.remove(&request_id);
                self.drop_live(*id);
                self.events.push(Event::MessageAbandoned { id: *id });
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut sends: BTreeMap<u64, (EndpointId, Vec<(MsgId, Micros)>)> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { call, id, endpoint, timeout } => {
                    sends.entry(call).or_insert((endpoint, Vec::new())).1.push((id, timeout));
                }
                Action::Cancel { id, .. } => {
                    let call = self.live.get(&id).and_then(|l| l.call);
                    if let Some(cancel) = call.and_then(|c| self.out.get_mut(&c)).and_then(Option::take) {
                        _ = cancel.send(());
                    } else if let (Some(former), Some(call)) = (&self.former, call)
                        && former.out.values().any(|(c, _)| *c == call)
                    {
                        _ = former.say.send(Frame::Cancel { call });
                    }
                }
                Action::Refuse { id, retry_after } => {
                    self.end(id, End::Returned { retry_after_ms: (retry_after / 1000).max(0) as u64 });
                }
                Action::Fail { id } => self.end(id, End::Failed),
                Action::Timer { at, token } => self.timers.push(Reverse((at, token))),
                Action::Probe { endpoint } => self.probe(endpoint),
                Action::CloseIdle { endpoint } => self.calls.close(endpoint),
                // Senders share nothing here.
                Action::Broadcast { .. } => {}
            }
        }
        for (endpoint, items) in sends.into_values() {
            self.send(endpoint, items);
        }
    }

    /// The message is over but for the notice. A newcomer's client has heard it already.
    fn end(&mut self, id: MsgId, end: End) {
        if !self.drop_live(id) {
            return;
        }
        let journal = self.journal.borrow();
        let Some(request_id) = journal.get(id.0).map(|e| {
            self.figures.count(&e.accepted.class, Ending::of(end));
            e.accepted.request_id.clone()
        }) else {
            return;
        };
        drop(journal);
        self.note(|j| j.ended(id.0, end));
        self.by_request.remove(&request_id);
        self.unconfirmed += 1;
        _ = self.notices.send(Notice { id: id.0, request_id, end });
    }

    /// The message was not sent after all.
    fn unsent(&mut self, id: MsgId, attempt: u32, endpoint: EndpointId, last: bool) {
        let (outcome, elapsed, wait, report) = (Outcome::Skipped, 0, 0, None);
        self.events.push(Event::Outcome {
            id,
            attempt,
            endpoint,
            outcome,
            closes_message: last,
            elapsed,
            wait,
            report,
        });
    }

    fn send(&mut self, endpoint: EndpointId, sends: Vec<(MsgId, Micros)>) {
        let target = self.fleet.borrow().get(endpoint).cloned();
        let target = target.and_then(|t| t.addr.map(|addr| (t, addr)));
        let call = self.next_call;
        self.next_call += 1;
        let (mut items, mut longest, mut last_moment) = (Vec::new(), 0, Micros::MAX);
        for (id, timeout) in sends {
            let Some(live) = self.live.get_mut(&id) else {
                // Its client left in this very round.
                self.unsent(id, 0, endpoint, true);
                continue;
            };
            let attempt = live.attempts;
            live.attempts += 1;
            let journal = self.journal.clone();
            let journal = journal.borrow();
            let Some(entry) = journal.get(id.0).filter(|_| target.is_some()) else {
                self.unsent(id, attempt, endpoint, false);
                continue;
            };
            live.call = Some(call);
            let class = self.rows.get(live.row).filter(|c| c.effect == Effect::Keyed);
            if let (Some(class), Some((_, first))) = (class, entry.progress.unknown()) {
                last_moment = last_moment.min(first + class.window);
            }
            longest = longest.max(timeout);
            items.push(Item {
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
        let order = Order { endpoint, addr, lane, items, batch, timeout };
        let (cancel, cancelled) = oneshot::channel();
        self.out.insert(call, Some(cancel));
        let (calls, journal, inputs, clock) =
            (self.calls.clone(), self.journal.clone(), self.inputs.clone(), self.clock);
        tokio::task::spawn_local(async move {
            let begin = || {
                // A connection that is slow to come up must not carry a repeat past the time for which the
                // destination remembers its key.
                if clock.now() >= last_moment {
                    return Vec::new();
                }
                // Nor a message past its end, which its client may have been told while it came up.
                let open =
                    |id: &MsgId| journal.borrow().get(id.0).is_some_and(|entry| entry.progress.end.is_none());
                let wanted: Vec<MsgId> = order.items.iter().map(|i| i.id).filter(open).collect();
                if wanted.is_empty() {
                    return wanted;
                }
                let ids = wanted.iter().map(|id| id.0).collect();
                match journal.borrow_mut().started(ids, &target.name, clock.now()) {
                    Ok(()) => wanted,
                    Err(e) => {
                        eprintln!("journal: {e}");
                        Vec::new()
                    }
                }
            };
            let ended = calls.call(&order, begin, cancelled).await;
            _ = inputs.send(Input::Ended(call, ended)).await;
        });
    }

    /// What a wait binds that an endpoint tells.
    fn lane(&self, id: EndpointId, endpoint: &Endpoint) -> Lane {
        let apart = self.kinds.get(endpoint.kind).is_some_and(|kind| kind.separate_routes);
        if apart { Lane::Route(id) } else { Lane::Whole(endpoint.dest) }
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let addr = self.fleet.borrow().get(endpoint).and_then(|e| e.addr.filter(|_| e.ready));
        let Some(addr) = addr else {
            self.events.push(Event::Probed { endpoint, outcome: Outcome::Skipped, report: None });
            return;
        };
        let (calls, inputs) = (self.calls.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (outcome, report) = calls.probe(endpoint, addr).await;
            _ = inputs.send(Input::Probed(endpoint, outcome, report)).await;
        });
    }

    fn keep_health(&mut self) {
        let fleet = self.fleet.borrow();
        let (mut health, mut avoided) = (BTreeMap::new(), 0);
        for (id, h) in self.dispatcher.endpoint_health() {
            let Some(endpoint) = fleet.get(id) else { continue };
            avoided += usize::from(h.unhealthy && endpoint.listed());
            health.insert(endpoint.name.clone(), h);
        }
        self.figures.ejected.set(avoided);
        let receivers = self.dispatcher.receiver_health().filter_map(|(dest, route, health)| {
            let receiver = match route {
                Some(id) => Receiver::Route(dest.0, fleet.get(id)?.name.clone()),
                None => Receiver::Destination(dest.0),
            };
            Some((receiver, health))
        });
        let mut journal = self.journal.borrow_mut();
        let kept = journal.keep_health(&health).and_then(|()| journal.keep_receivers(&receivers.collect()));
        if let Err(e) = kept {
            eprintln!("journal: {e}");
        }
    }

    /// Guards against a process that is killed because it saw its time to exit only at its next round.
    fn next_phase(&self, last: Micros) -> Micros {
        let phases = self.stopping.into_iter().flat_map(|t| [t + STAY_LEAST, t + EXIT_AFTER]);
        phases.filter(|at| *at > last).min().unwrap_or(Micros::MAX)
    }

    /// After SIGTERM: tells when all is done that can be.
    fn stopped(&self, now: Micros) -> bool {
        let Some(since) = self.stopping.map(|t| now - t) else { return false };
        let done = self.live.is_empty() && self.unconfirmed == 0 && since > STAY_LEAST;
        done || since >= EXIT_AFTER
    }
}

fn index(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(usize::MAX)
}
