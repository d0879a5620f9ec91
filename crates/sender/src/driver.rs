//! The core: feeds the dispatcher with what happens, in rounds, and carries out what it decides.

use crate::calls::{Calls, Item, Lane, Order};
use crate::clients::Shared;
use crate::clock::Clock;
use crate::figures::{Ending, Figures};
use crate::fleet::Fleet;
use crate::handover::{Carried, Link, Lock};
use crate::input::{Ended, Fate, Input, Notice};
use crate::journal::{Accepted, Journal};
use crate::rows::Rows;
use crate::standing::{Change, Phase, Standings};
use embershore_handover::{Frame, Owner, OwnerDo, OwnerEvent, State};
use embershore_protocol::listing::Listing;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use embershore_protocol::settings::Names;
use heronroute::{
    Action, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, KindSettings, Micros, MsgId,
    OutCall, Outcome, Settings, Status,
};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
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
/// Rounds in which a sender that hands over finishes what it has in hand: each may leave some events to the next.
const LAST_ROUNDS: usize = 8;
/// The next process is told of the last outcomes within this.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// A sender that was replaced looks this often whether it has anything left.
const LOOK_EVERY: Duration = Duration::from_millis(20);

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
    reply: oneshot::Sender<Reply>,
}

/// The list that was given with the configuration.
pub enum Known {
    /// There is none.
    Nothing,
    /// As it was given.
    Listed(Listing),
    /// The fleet has taken it over, and discovery's word after it: it must not be taken over again.
    Taken(Vec<EndpointEntry>),
}

impl Known {
    /// What the configuration gave.
    pub fn given(list: Option<Listing>) -> Self {
        list.filter(|l| !l.endpoints.is_empty()).map_or(Known::Nothing, Known::Listed)
    }
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
}

/// Where processes of a sender replace each other.
pub struct Handing {
    pub lock: Lock,
    /// The process before this one: what it has handed over, and the link to it.
    pub former: Option<(Box<State>, Link)>,
    /// Processes that ask for the journal.
    pub newcomers: mpsc::Receiver<(Owner, Link)>,
}

/// The process before this one, while it lives.
struct Former {
    say: mpsc::UnboundedSender<Frame>,
    /// Attempts that it has out, and in which of its calls.
    out: BTreeMap<(MsgId, u32), u64>,
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
    former: Option<Former>,
    events: Vec<Event>,
    newcomers: BTreeMap<MsgId, Newcomer>,
    live: HashMap<MsgId, Live>,
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
        let Parts { standings, figures, shared, handing, .. } = parts;
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
            former: None,
            events: Vec::new(),
            newcomers: BTreeMap::new(),
            live: HashMap::new(),
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
                return;
            }
        }
    }

    /// The list must be known before anything is sent. Discovery's own word is waited for, since the list
    /// given at the start may be old; without it, that list must do. What comes in meanwhile is given back:
    /// what an earlier run left goes first.
    async fn wait_for_list(&mut self, inbox: &mut mpsc::Receiver<Input>, known: Known) -> Option<Vec<Input>> {
        let deadline = tokio::time::Instant::now() + self.list_wait;
        let listed = !matches!(known, Known::Nothing);
        if let Known::Taken(entries) = known {
            self.events.push(Event::Members { whole: true, entries });
        } else if let Known::Listed(mut list) = known {
            let (journal, index) = (self.journal.borrow(), list.index);
            for line in list.endpoints.iter_mut().filter(|l| journal.barred_since(&l.name, index)) {
                line.status = "Terminating".into();
            }
            drop(journal);
            let entries = self.fleet.borrow_mut().apply(&Listing { snapshot: true, ..list });
            self.events.push(Event::Members { whole: true, entries });
        }
        let mut early = Vec::new();
        loop {
            let input = tokio::select! {
                input = inbox.recv() => input,
                _ = tokio::time::sleep_until(deadline), if listed => return Some(early),
            };
            match input? {
                Input::Stop => return None,
                Input::Members { index, whole, entries } => {
                    self.members(index, whole, entries);
                    return Some(early);
                }
                input => early.push(input),
            }
        }
    }

    /// Hands the dispatcher what an earlier run left in the journal, or what a process has that this one replaces.
    fn restore(&mut self) {
        let handed = self.handing.as_mut().and_then(|handing| handing.former.take());
        let mut restored = Vec::new();
        let mut out = Vec::new();
        let (mut attempts, mut in_call) = (HashMap::new(), HashMap::new());
        if let Some((state, link)) = handed {
            let State { next_message, next_call, lame_duck, names, mut learnt, out: calls, .. } = *state;
            self.journal.borrow_mut().number_from(next_message);
            self.next_call = next_call;
            if lame_duck {
                _ = self.standings.change(Change::LameDuck(true));
            }
            let names: HashMap<EndpointId, String> = names.into_iter().collect();
            let fleet = self.fleet.borrow();
            // One that is listed no more, but has calls out, bears a number that no listed one will.
            let abroad: BTreeSet<EndpointId> = calls.iter().map(OutCall::endpoint).collect();
            let number = |id: EndpointId| {
                let known = names.get(&id).and_then(|name| fleet.number(name));
                known.or_else(|| {
                    let at = abroad.iter().position(|other| *other == id)?;
                    Some(EndpointId(u32::MAX - 1 - u32::try_from(at).ok()?))
                })
            };
            learnt.renumber(number);
            out = calls;
            out.iter_mut().for_each(|call| call.renumber(number(call.endpoint()).unwrap_or_default()));
            drop(fleet);
            self.events.push(Event::Learnt(Box::new(learnt)));
            attempts.extend(state.attempts);
            in_call.extend(state.calls);
            self.former = Some(self.listen_to(link, &out, &in_call));
        }
        let (journal, fleet, now) = (self.journal.borrow(), self.fleet.borrow(), self.clock.now());
        for (name, health) in journal.health().filter(|_| self.former.is_none()) {
            if let Some(endpoint) = fleet.number(name) {
                self.events.push(Event::Recalled { endpoint, health });
            }
        }
        for (id, entry) in journal.entries() {
            let (message, progress) = (&entry.accepted, &entry.progress);
            let request_id = message.request_id.clone();
            if let Some(end) = progress.end {
                self.unconfirmed += 1;
                // The platform hears of it from this process, which counts from nought.
                self.figures.count(&message.class, Ending::of(end));
                _ = self.notices.send(Notice { id, request_id, end });
                continue;
            }
            // An endpoint that is listed no more has no number; any that no one has will do.
            let number = |name: &str| fleet.number(name).unwrap_or(EndpointId(u32::MAX));
            // Under the rules by which it was taken on, whatever the configuration says by now.
            let rules = journal.rules(entry);
            let row = self.rows.of(&message.class, rules.as_ref(), now).unwrap_or(usize::MAX);
            let attempts = attempts.get(&MsgId(id)).copied().unwrap_or(progress.attempts);
            let call = in_call.get(&MsgId(id)).copied();
            restored.push(Event::Restored {
                id: MsgId(id),
                class: row,
                key: Some(message.order_key.clone()),
                dest: DestId(message.dest),
                time_left: message.deadline - now,
                attempts,
                // What the process before this one has out may still end well.
                may_have_run: match call {
                    Some(_) => progress.may_have_run.as_ref(),
                    None => progress.unknown(),
                }
                .map(|(name, at)| (number(name), *at)),
            });
            self.by_request.insert(request_id, MsgId(id));
            self.rows.enter(row);
            self.live.insert(MsgId(id), Live { attempts, call, row });
        }
        drop(journal);
        self.figures.name_classes(self.rows.names());
        self.events.push(Event::Classes(self.rows.classes()));
        self.events.append(&mut restored);
        if !out.is_empty() {
            self.events.push(Event::Out(out));
        }
        let (mut journal, live) = (self.journal.borrow_mut(), self.live.iter());
        for (id, _) in live.filter(|(_, live)| live.call.is_none()) {
            if let Err(e) = journal.settled(id.0, true) {
                eprintln!("journal: {e}");
            }
        }
    }

    /// Follows what the process before this one says, until it ends.
    fn listen_to(&self, link: Link, out: &[OutCall], in_call: &HashMap<MsgId, u64>) -> Former {
        let Carried { say, mut frames, .. } = link.carry();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            while let Some(frame) = frames.recv().await {
                _ = inputs.send(Input::Former(frame)).await;
            }
            _ = inputs.send(Input::FormerGone).await;
        });
        self.shared.by_two.set(true);
        let attempts = out.iter().flat_map(OutCall::messages);
        let out =
            attempts.map(|(id, attempt)| ((id, attempt), in_call.get(&id).copied().unwrap_or(u64::MAX)));
        Former { say, out: out.collect() }
    }

    /// What the process before this one says.
    fn hear(&mut self, frame: Frame) {
        let Some(former) = &mut self.former else { return };
        match frame {
            Frame::Put { number, put } => {
                let (reply, answer) = oneshot::channel();
                let say = former.say.clone();
                tokio::task::spawn_local(async move {
                    let reply = answer.await.unwrap_or(Reply::Busy { after_ms: 0 });
                    _ = say.send(Frame::Reply { number, reply });
                });
                self.put(put, reply);
            }
            Frame::Ended { call, fates, elapsed, wait, report } => {
                fates.iter().for_each(|f| _ = former.out.remove(&(f.id, f.attempt)));
                self.ended(call, Ended { endpoint: EndpointId(u32::MAX), fates, elapsed, wait, report });
            }
            _ => {}
        }
    }

    /// The process before this one has ended. What it had out may have run.
    fn former_gone(&mut self) {
        self.shared.by_two.set(false);
        let Some(former) = self.former.take() else { return };
        let lost = former.out.into_keys();
        let fates = lost.map(|(id, attempt)| Fate { id, attempt, outcome: Outcome::Cancelled, over: false });
        let fates: Vec<Fate> = fates.collect();
        if !fates.is_empty() {
            eprintln!("handover: the process before this one has ended with {} attempts out", fates.len());
            let endpoint = EndpointId(u32::MAX);
            self.ended(u64::MAX, Ended { endpoint, fates, elapsed: 0, wait: 0, report: None });
        }
    }

    /// Gives the journal to a process that asks for it; the link to it once it has it. Otherwise this one serves on.
    async fn hand_over(&mut self, mut owner: Owner, mut link: Link) -> Option<Link> {
        for _ in 0..LAST_ROUNDS {
            self.round();
            if self.events.is_empty() {
                break;
            }
        }
        let state = Frame::State(Box::new(self.state()));
        let lock = &self.handing.as_ref()?.lock;
        // Calls whose connections are still coming up can't begin from here on: none goes out unwritten.
        self.journal.borrow_mut().close(true);
        let freed = lock.free();
        let mut then = owner.on(OwnerEvent::Gave);
        if freed.is_err() || link.say(&state).await.is_err() {
            then = owner.on(OwnerEvent::Gone);
        }
        loop {
            match then {
                OwnerDo::Retire => return Some(link),
                OwnerDo::ServeOn => {
                    eprintln!("handover: the newcomer has not taken over; serving on");
                    self.journal.borrow_mut().close(false);
                    return None;
                }
                OwnerDo::Reclaim => {
                    let mine = lock.take().unwrap_or(false);
                    then = owner.on(OwnerEvent::Reclaimed(mine));
                    if !mine {
                        // Whoever has the lock writes the journal; once told to end there is nothing left to do.
                        if self.standings.get().phase() == Phase::Stopping {
                            return Some(link);
                        }
                        tokio::time::sleep(LOOK_EVERY).await;
                    }
                }
                _ => {
                    then = owner.on(link.hear_soon().await.event());
                }
            }
        }
    }

    /// What the next process has to know beside the journal.
    fn state(&self) -> State {
        let (learnt, out) = self.dispatcher.hand_over();
        let fleet = self.fleet.borrow();
        let numbers = learnt.endpoints().chain(out.iter().map(OutCall::endpoint));
        State {
            next_message: self.journal.borrow().next_number(),
            next_call: self.next_call,
            lame_duck: self.standings.get().phase() == Phase::LameDuck,
            attempts: self.live.iter().map(|(id, live)| (*id, live.attempts)).collect(),
            names: numbers.filter_map(|id| Some((id, fleet.get(id)?.name.clone()))).collect(),
            calls: self.live.iter().filter_map(|(id, live)| Some((*id, live.call?))).collect(),
            learnt,
            out,
        }
    }

    /// After another process has taken over: passes on what still comes to this one, and ends with its last call and
    /// its last client.
    async fn retire(mut self, mut inbox: mpsc::Receiver<Input>, link: Link) {
        _ = self.standings.change(Change::HandedOver);
        self.calls.close_all();
        self.figures.outstanding.set(0);
        let Carried { say, mut frames, carrying } = link.carry();
        let (mut asked, mut number, mut linked) = (HashMap::<u64, oneshot::Sender<Reply>>::new(), 0, true);
        loop {
            tokio::select! {
                biased;
                frame = frames.recv(), if linked => match frame {
                    Some(Frame::Reply { number, reply }) => {
                        _ = asked.remove(&number).map(|answer| answer.send(reply));
                    }
                    Some(Frame::Cancel { call }) => {
                        _ = self.out.get_mut(&call).and_then(Option::take).map(|cancel| cancel.send(()));
                    }
                    Some(_) => {}
                    // Dropping what waits tells its clients to come again.
                    None => (linked, asked) = (false, HashMap::new()),
                },
                Some(input) = inbox.recv() => match input {
                    Input::Put(put, answer) => {
                        number += 1;
                        if linked && say.send(Frame::Put { number, put }).is_ok() {
                            asked.insert(number, answer);
                        }
                    }
                    Input::Ended(call, Ended { fates, elapsed, wait, report, .. }) => {
                        self.out.remove(&call);
                        _ = say.send(Frame::Ended { call, fates, elapsed, wait, report });
                    }
                    Input::Stop => _ = self.stopping.get_or_insert(self.clock.now()),
                    _ => {}
                },
                _ = tokio::time::sleep(LOOK_EVERY) => {}
            }
            let idle = self.out.is_empty() && self.shared.connections.get() == 0;
            let late = self.stopping.is_some_and(|at| self.clock.now() - at >= EXIT_AFTER);
            if idle || late {
                break;
            }
        }
        drop(say);
        _ = tokio::time::timeout(LAST_WORDS, carrying).await;
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
                self.rows.retune(classes, self.clock.now());
                self.events.push(Event::Classes(self.rows.classes()));
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
        self.events.push(Event::Members { whole, entries });
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
            _ = reply.send(if written { Reply::Taken } else { Reply::Busy { after_ms: 0 } });
            return;
        }
        if self.live.len() >= self.max_open || self.standings.get().refuses(std::time::Instant::now()) {
            self.figures.count(&put.class, Ending::Refused);
            _ = reply.send(Reply::Busy { after_ms: self.come_again_ms });
            return;
        }
        let class = match self.row_for(&put) {
            Ok(row) => row,
            Err(why) => {
                self.figures.count(&put.class, Ending::Wrong);
                _ = reply.send(Reply::Wrong(why.into()));
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
            time_left: put.time_left,
            again: put.again,
        });
        self.by_request.insert(put.request_id.clone(), id);
        self.rows.enter(class);
        self.live.insert(id, Live { row: class, ..Live::default() });
        self.newcomers.insert(id, Newcomer { put, reply });
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
            Err("unknown destination")
        } else if class.effect == Effect::Guarded && put.idempotency_key.is_none() {
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
            if let Some(live) = self.live.get_mut(&id) {
                live.call = None;
                if last {
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
            self.events.push(Event::Outcome { id, attempt, endpoint, outcome, last, elapsed, wait, report });
        }
    }

    /// The message is held no more. False if it was not.
    fn drop_live(&mut self, id: MsgId) -> bool {
        let live = self.live.remove(&id);
        if let Some(live) = &live {
            self.rows.leave(live.row);
        }
        live.is_some()
    }

    /// Nothing more is owed for the message.
    fn forget(&mut self, id: MsgId) {
        self.drop_live(id);
        if let Some(entry) = self.journal.borrow().get(id.0) {
            self.by_request.remove(&entry.accepted.request_id);
        }
        self.note(|j| j.ended(id.0, End::Over));
    }

    fn round(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((_, token))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.dispatcher.round(now, &events, &mut actions);
        self.welcome(now, &events, &actions);
        self.carry_out(actions);
        self.keep_health();
        self.figures.outstanding.set(self.live.len() - self.newcomers.len());
    }

    /// Answers the clients whose messages this round has seen: those refused at once hear it, the others'
    /// messages are written down first.
    fn welcome(&mut self, now: Micros, events: &[Event], actions: &[Action]) {
        let mut answers: BTreeMap<MsgId, Reply> = BTreeMap::new();
        if self.newcomers.is_empty() {
            return;
        }
        for action in actions {
            match action {
                Action::Refuse { id, retry_after } => {
                    answers.insert(*id, Reply::Busy { after_ms: (*retry_after / 1000).max(0) as u64 });
                }
                Action::Fail { id } => _ = answers.insert(*id, Reply::Failed),
                _ => {}
            }
        }
        for event in events {
            let Event::Message { id, .. } = event else { continue };
            let Some(Newcomer { put, reply }) = self.newcomers.remove(id) else { continue };
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
                deadline: now + put.time_left,
                body: put.body,
            };
            let row = self.live.get(id).and_then(|live| self.rows.get(live.row));
            let Some(rules) = row else { continue };
            let taken = self.journal.borrow_mut().accept(id.0, accepted, rules);
            let answer = match taken {
                Ok(()) => Reply::Taken,
                Err(e) => {
                    eprintln!("journal: {e}");
                    Reply::Busy { after_ms: 1000 }
                }
            };
            let taken = answer == Reply::Taken;
            if reply.send(answer).is_err() || !taken {
                // Its client has gone without an answer, or is told to come again.
                self.figures.count(&class, Ending::Refused);
                self.note(|j| j.ended(id.0, End::Over));
                self.by_request.remove(&request_id);
                self.drop_live(*id);
                self.events.push(Event::Left { id: *id });
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
                        && former.out.values().any(|c| *c == call)
                    {
                        _ = former.say.send(Frame::Cancel { call });
                    }
                }
                Action::Refuse { id, retry_after } => {
                    self.end(id, End::Returned { after_ms: (retry_after / 1000).max(0) as u64 });
                }
                Action::Fail { id } => self.end(id, End::Failed),
                Action::Timer { at, token } => self.timers.push(Reverse((at, token))),
                Action::Probe { endpoint } => self.probe(endpoint),
                Action::Close { endpoint } => self.calls.close(endpoint),
                // Senders share nothing here.
                Action::Tell { .. } => {}
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
        self.events.push(Event::Outcome { id, attempt, endpoint, outcome, last, elapsed, wait, report });
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
            let class = self.rows.get(live.row).filter(|c| c.effect == Effect::Guarded);
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
        let kind = self.kinds.get(target.kind);
        let lane =
            if kind.is_some_and(|k| k.apart) { Lane::Route(endpoint) } else { Lane::Whole(target.dest) };
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
        for (id, h) in self.dispatcher.health() {
            let Some(endpoint) = fleet.get(id) else { continue };
            avoided += usize::from(h.trouble && endpoint.listed());
            health.insert(endpoint.name.clone(), h);
        }
        self.figures.ejected.set(avoided);
        if let Err(e) = self.journal.borrow_mut().keep_health(&health) {
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

/// The next process that asks for the journal, where one can.
async fn next_of(handing: &mut Option<Handing>) -> Option<(Owner, Link)> {
    match handing {
        Some(handing) => handing.newcomers.recv().await,
        None => std::future::pending().await,
    }
}

fn index(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(usize::MAX)
}
