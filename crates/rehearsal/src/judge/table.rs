//! A history, put together by message, call and sender.

use crate::history::{Answered, By, Ended, Event, Record, Signal, Standing};
use crate::parameters::{Class, Effect, Parameters, Receiver};
use crate::span::Micros;
use embershore_protocol::call::outcome_of_state;
use heronroute::Outcome;
use std::collections::{BTreeMap, HashMap};

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// It was answered.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The wait that it told; 0 if none.
        wait: Micros,
        /// In a call of several: each message's state.
        states: Option<Vec<String>>,
    },
    /// Its connection ended.
    Broke(By),
}

/// A call as it was seen.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte came.
    pub t: Micros,
    /// When its first came.
    pub first: Micros,
    /// From which sender.
    pub sender: usize,
    /// To which endpoint.
    pub endpoint: String,
    /// To which receiver, by number; nothing for an endpoint that is not known.
    pub receiver: Option<i64>,
    /// The first on its connection.
    pub fresh: bool,
    /// A call of several.
    pub batch: bool,
    /// Its messages' ids.
    pub ids: Vec<String>,
    /// How and when it ended.
    pub end: Option<(Micros, CallEnd)>,
}

/// What became of one message in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It was delivered.
    Delivered,
    /// It never ran.
    NeverRan,
    /// It may have run, or may yet.
    MayHaveRun,
}

impl Call {
    /// What became of the message that stands at this place in the call, and when that was known.
    pub fn attempt(&self, place: usize) -> (Option<Micros>, Attempt) {
        let Some((t, end)) = &self.end else { return (None, Attempt::MayHaveRun) };
        let fate = match end {
            CallEnd::Broke(_) => Attempt::MayHaveRun,
            CallEnd::Answer { status: 200, states: Some(states), .. } => {
                match outcome_of_state(states.get(place).map(String::as_str)) {
                    (Outcome::Done, _) => Attempt::Delivered,
                    (Outcome::Busy | Outcome::Skipped, _) => Attempt::NeverRan,
                    _ => Attempt::MayHaveRun,
                }
            }
            CallEnd::Answer { status: 200, .. } if self.batch => Attempt::MayHaveRun,
            CallEnd::Answer { status: 200, .. } => Attempt::Delivered,
            CallEnd::Answer { status: 400 | 410 | 413 | 429 | 503 | 504, .. } => Attempt::NeverRan,
            CallEnd::Answer { .. } => Attempt::MayHaveRun,
        };
        (Some(*t), fate)
    }
}

/// A message as it was handed in once.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id.
    pub id: String,
    /// The id under which it was handed in first.
    pub origin: String,
    /// How often before.
    pub again: u32,
    /// When.
    pub offered: Micros,
    /// When the plan had it.
    pub due: Micros,
    /// To which sender.
    pub sender: usize,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: usize,
    /// Its receiver's number.
    pub receiver: i64,
    /// What it is about.
    pub order: Option<String>,
    /// When its time is up.
    pub deadline: Micros,
    /// What its client heard, and when.
    pub reply: Option<(Micros, Answered)>,
    /// What the platform heard.
    pub notices: Vec<(Micros, Ended)>,
    /// Its calls, in order of time: which, and its place in it.
    pub calls: Vec<(u64, usize)>,
    /// When it ran, with whether its key was remembered.
    pub runs: Vec<(Micros, bool)>,
}

impl Message {
    /// When its client heard that it is taken on.
    pub fn taken(&self) -> Option<Micros> {
        self.reply.filter(|(_, a)| *a == Answered::Taken).map(|(t, _)| t)
    }

    /// It was refused: at once, or after it had been taken on.
    pub fn refused(&self) -> bool {
        matches!(self.reply, Some((_, Answered::Busy))) || self.notices.iter().any(|n| n.1 == Ended::Returned)
    }

    /// Its client heard nothing of it, so that what becomes of it under this id counts for nothing.
    pub fn disowned(&self) -> bool {
        matches!(
            self.reply,
            None | Some((_, Answered::Silence | Answered::Closed | Answered::Unreachable | Answered::Left))
        )
    }
}

/// What has one limit, one wait and one outage: a receiver, and its endpoint where routes are apart.
pub type Lane = (i64, Option<String>);
/// From when, and until when if it has ended.
pub type Outage = (Micros, Option<Micros>);

/// What a sender was told of an endpoint, and when.
pub type Tellings = Vec<(Micros, Standing)>;

/// Times at which a sender's process was not to be relied on: from a signal until it is ready again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// From when.
    pub from: Micros,
    /// Its process ended in it.
    pub restarted: bool,
    /// When it was seen to have ended.
    pub ended: Option<Micros>,
    /// Until it answered again; nothing if it never did.
    pub ready: Option<Micros>,
}

/// A history, put together.
#[derive(Clone, Debug)]
pub struct Table {
    /// What the run was.
    pub parameters: Parameters,
    /// Endpoints: their receiver and building.
    pub endpoints: HashMap<String, (i64, String)>,
    /// Messages in the order in which they were handed in.
    pub messages: Vec<Message>,
    /// Where an id stands among them.
    pub by_id: HashMap<String, usize>,
    /// Calls by number.
    pub calls: BTreeMap<u64, Call>,
    /// For each sender and endpoint, what it was told.
    pub told: BTreeMap<(usize, String), Tellings>,
    /// For each sender, when it was away.
    pub absences: Vec<Vec<Absence>>,
    /// Processes that ended by themselves.
    pub crashes: Vec<(Micros, usize, String)>,
    /// Connections that were turned away: when, by which endpoint, whose.
    pub refused: Vec<(Micros, String, usize)>,
    /// Probes: when, at which endpoint, whose, and the status.
    pub probes: Vec<(Micros, String, usize, u16)>,
    /// Outages of receivers or routes: from when, and until when.
    pub outages: BTreeMap<Lane, Vec<Outage>>,
    /// Receivers that fell over.
    pub fell: Vec<(Micros, i64)>,
    /// What happened, for the pictures.
    pub marks: Vec<(Micros, String)>,
    /// The longest that the rig stood still.
    pub stall: Micros,
    /// The history has its end.
    pub over: bool,
    /// Its last record's time.
    pub end: Micros,
}

/// The order of records of one instant: what a sender or a client could know comes before what it did.
fn rank(event: &Event) -> u8 {
    match event {
        Event::Run { .. } => 0,
        Event::Endpoint { .. } => 1,
        Event::Signal { .. } | Event::Exited { .. } => 2,
        Event::Ready { .. } => 3,
        Event::Down { .. } | Event::Back { .. } => 4,
        Event::Offer { .. } => 5,
        Event::Answer { .. } | Event::Broke { .. } => 7,
        Event::Call { .. } | Event::Partial { .. } | Event::Refused { .. } | Event::Probe { .. } => 6,
        Event::Ran { .. } => 8,
        Event::Reply { .. } => 9,
        Event::Notice { .. } => 10,
        Event::Told { .. } => 11,
        Event::Fell { .. } | Event::Mark { .. } | Event::Lag { .. } => 12,
        Event::Over => 13,
    }
}

impl Table {
    /// Puts a history together; nothing if it does not say what the run was.
    pub fn new(records: &[Record]) -> Option<Table> {
        let mut order: Vec<(Micros, u8, String, &Event)> = Vec::with_capacity(records.len());
        for r in records {
            // Content decides only between records of one instant and kind, which are few.
            order.push((r.t, rank(&r.event), String::new(), &r.event));
        }
        order.sort_by_key(|o| (o.0, o.1));
        let mut at = 0;
        while at < order.len() {
            let same = order[at..].iter().take_while(|o| (o.0, o.1) == (order[at].0, order[at].1)).count();
            if same > 1 {
                for o in &mut order[at..at + same] {
                    o.2 = serde_json::to_string(o.3).unwrap_or_default();
                }
                order[at..at + same].sort_by(|a, b| a.2.cmp(&b.2));
            }
            at += same;
        }
        let parameters = order.iter().find_map(|o| match o.3 {
            Event::Run { parameters, .. } => Some((**parameters).clone()),
            _ => None,
        })?;
        let mut table = Table {
            absences: vec![Vec::new(); parameters.senders.len()],
            parameters,
            endpoints: HashMap::new(),
            messages: Vec::new(),
            by_id: HashMap::new(),
            calls: BTreeMap::new(),
            told: BTreeMap::new(),
            crashes: Vec::new(),
            refused: Vec::new(),
            probes: Vec::new(),
            outages: BTreeMap::new(),
            fell: Vec::new(),
            marks: Vec::new(),
            stall: 0,
            over: false,
            end: order.last().map_or(0, |o| o.0),
        };
        let mut listed: Vec<BTreeMap<String, Standing>> = vec![BTreeMap::new(); table.absences.len()];
        for (t, _, _, event) in &order {
            table.take(*t, event, &mut listed);
        }
        Some(table)
    }

    fn take(&mut self, t: Micros, event: &Event, listed: &mut [BTreeMap<String, Standing>]) {
        // What is seen while the senders are ended says nothing of them.
        if self.over {
            return;
        }
        match event {
            Event::Run { .. } | Event::Partial { .. } => {}
            Event::Lag { max_us } => self.stall = self.stall.max(*max_us),
            Event::Endpoint { endpoint, receiver, zone } => {
                self.endpoints.insert(endpoint.clone(), (*receiver, zone.clone()));
            }
            Event::Ready { sender } => {
                if let Some(a) = self.absences.get_mut(*sender).and_then(|a| a.last_mut())
                    && a.ready.is_none()
                {
                    a.ready = Some(t);
                }
            }
            Event::Signal { sender, signal } => self.signal(t, *sender, *signal),
            Event::Exited { sender, planned, how } => {
                if !planned {
                    self.crashes.push((t, *sender, how.clone()));
                }
                self.away(t, *sender, true);
                if let Some(a) = self.absences.get_mut(*sender).and_then(|a| a.last_mut()) {
                    a.ended.get_or_insert(t);
                }
            }
            Event::Offer { sender, id, origin, again, class, tenant, receiver, order, left, due, .. } => {
                self.by_id.insert(id.clone(), self.messages.len());
                self.messages.push(Message {
                    id: id.clone(),
                    origin: origin.clone(),
                    again: *again,
                    offered: t,
                    due: *due,
                    sender: *sender,
                    class: *class,
                    tenant: *tenant,
                    receiver: *receiver,
                    order: order.clone(),
                    deadline: t + left,
                    reply: None,
                    notices: Vec::new(),
                    calls: Vec::new(),
                    runs: Vec::new(),
                });
            }
            Event::Reply { id, answered, .. } => {
                if let Some(m) = self.message_mut(id) {
                    m.reply.get_or_insert((t, *answered));
                }
            }
            Event::Notice { id, state, .. } => {
                if let Some(m) = self.message_mut(id) {
                    m.notices.push((t, *state));
                }
            }
            Event::Told { sender, whole, lines, .. } => {
                let Some(known) = listed.get_mut(*sender) else { return };
                let mut news: Vec<(String, Standing)> = Vec::new();
                if *whole {
                    let gone = known.keys().filter(|n| !lines.iter().any(|(name, _)| name == *n));
                    news.extend(gone.map(|n| (n.clone(), Standing::Gone)));
                }
                news.extend(lines.iter().cloned());
                for (name, standing) in news {
                    // What it knows already is no news: a grace runs from the first telling.
                    if known.insert(name.clone(), standing) != Some(standing) {
                        self.told.entry((*sender, name)).or_default().push((t, standing));
                    }
                }
            }
            Event::Call { call, sender, endpoint, first, fresh, batch, items } => {
                let receiver = self.endpoints.get(endpoint).map(|e| e.0);
                for (place, item) in items.iter().enumerate() {
                    if let Some(m) = self.message_mut(&item.id) {
                        m.calls.push((*call, place));
                    }
                }
                let ids = items.iter().map(|i| i.id.clone()).collect();
                let (endpoint, sender) = (endpoint.clone(), *sender);
                let (first, fresh, batch) = (*first, *fresh, *batch);
                self.calls.insert(
                    *call,
                    Call { t, first, sender, endpoint, receiver, fresh, batch, ids, end: None },
                );
            }
            Event::Ran { id, dropped, .. } => {
                if let Some(m) = self.message_mut(id) {
                    m.runs.push((t, *dropped));
                }
            }
            Event::Answer { call, status, wait_ms, states } => {
                let wait = Micros::from(*wait_ms) * 1000;
                let end = CallEnd::Answer { status: *status, wait, states: states.clone() };
                if let Some(c) = self.calls.get_mut(call) {
                    c.end.get_or_insert((t, end));
                }
            }
            Event::Broke { call, by } => {
                if let Some(c) = self.calls.get_mut(call) {
                    c.end.get_or_insert((t, CallEnd::Broke(*by)));
                }
            }
            Event::Refused { sender, endpoint } => self.refused.push((t, endpoint.clone(), *sender)),
            Event::Probe { sender, endpoint, status } => {
                self.probes.push((t, endpoint.clone(), *sender, *status));
            }
            Event::Down { receiver, endpoint } => {
                let list = self.outages.entry((*receiver, endpoint.clone())).or_default();
                // One outage may begin within another: it is one.
                if list.last().is_none_or(|(_, until)| until.is_some()) {
                    list.push((t, None));
                }
            }
            Event::Back { receiver, endpoint } => {
                let list = self.outages.entry((*receiver, endpoint.clone())).or_default();
                match list.last_mut() {
                    Some((_, until @ None)) => *until = Some(t),
                    // It became cold with no outage before.
                    _ => list.push((t, Some(t))),
                }
            }
            Event::Fell { receiver, .. } => self.fell.push((t, *receiver)),
            Event::Mark { text } => self.marks.push((t, text.clone())),
            Event::Over => self.over = true,
        }
    }

    fn message_mut(&mut self, id: &str) -> Option<&mut Message> {
        let at = *self.by_id.get(id)?;
        self.messages.get_mut(at)
    }

    fn signal(&mut self, t: Micros, sender: usize, signal: Signal) {
        match signal {
            Signal::Term | Signal::Kill => self.away(t, sender, true),
            Signal::Stop => self.away(t, sender, false),
            // It goes on from here; nothing tells when it is ready, so the signal must do.
            Signal::Cont => {
                if let Some(a) = self.absences.get_mut(sender).and_then(|a| a.last_mut()) {
                    a.ready.get_or_insert(t);
                }
            }
            Signal::Hup => {}
        }
    }

    fn away(&mut self, t: Micros, sender: usize, restarted: bool) {
        let Some(list) = self.absences.get_mut(sender) else { return };
        match list.last_mut() {
            Some(a) if a.ready.is_none() => a.restarted |= restarted,
            _ => list.push(Absence { from: t, restarted, ended: None, ready: None }),
        }
    }

    /// The message with this id.
    pub fn message(&self, id: &str) -> Option<&Message> {
        self.messages.get(*self.by_id.get(id)?)
    }

    /// When each message was handed in first, by the id that it had then.
    pub fn first_offers(&self) -> BTreeMap<&str, Micros> {
        let mut first = BTreeMap::new();
        for m in &self.messages {
            first.entry(m.origin.as_str()).or_insert(m.offered);
        }
        first
    }

    /// The class of a message; nothing for an index that the run does not have.
    pub fn class(&self, message: &Message) -> Option<&Class> {
        self.parameters.classes.get(message.class)
    }

    /// Whether a repeat of the message takes effect again.
    pub fn is_unsafe(&self, message: &Message) -> bool {
        self.class(message).is_none_or(|c| c.effect == Effect::Unsafe)
    }

    /// The receiver with this number.
    pub fn receiver(&self, number: i64) -> Option<&Receiver> {
        self.parameters.receivers.iter().find(|r| r.number == number)
    }

    /// The attempts of a message: call, when its outcome was known, and what it was.
    pub fn attempts<'a>(
        &'a self,
        message: &'a Message,
    ) -> impl Iterator<Item = (&'a Call, Option<Micros>, Attempt)> + 'a {
        message.calls.iter().filter_map(|(number, place)| {
            let call = self.calls.get(number)?;
            let (known, fate) = call.attempt(*place);
            Some((call, known, fate))
        })
    }

    /// When a message was delivered: the answer that says so was written, and its client has heard that it is taken.
    pub fn delivered(&self, message: &Message) -> Option<Micros> {
        let taken = message.taken()?;
        let done = self.attempts(message).filter(|(_, _, fate)| *fate == Attempt::Delivered);
        done.filter_map(|(_, known, _)| known).min().map(|t| t.max(taken))
    }

    /// Whether a sender was away at a time, or had come back no longer ago than `after`.
    pub fn away_at(&self, sender: usize, t: Micros, after: Micros) -> Option<Absence> {
        let list = self.absences.get(sender)?;
        list.iter().copied().find(|a| a.from <= t && a.ready.is_none_or(|r| t <= r + after))
    }

    /// The lane of a call: its receiver, and its endpoint where routes are apart.
    pub fn lane(&self, endpoint: &str) -> Option<Lane> {
        let number = self.endpoints.get(endpoint)?.0;
        let apart = self.receiver(number).is_some_and(|r| r.apart);
        Some((number, apart.then(|| endpoint.to_string())))
    }
}
