//! A history indexed by message, call and sender.

use crate::history::{ClosedBy, EndpointStatus, Event, NoticeState, PutOutcome, Record, Signal};
use crate::parameters::{Class, Effect, Parameters, Receiver};
use crate::span::Micros;
use embershore_protocol::call::outcome_of_state;
use heronroute::Outcome;
use std::collections::{BTreeMap, HashMap};

/// How a call ended, as the receiver's records show it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The receiver answered the call.
    Answer {
        /// HTTP status of the call's answer.
        status: u16,
        /// Wait that the call's answer advertised; 0 if none.
        wait: Micros,
        /// State of each message in the answer to a batch call.
        states: Option<Vec<String>>,
    },
    /// The connection ended without an answer to the call.
    Disconnected(ClosedBy),
}

/// A call as a stand-in receiver recorded it.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the last byte of the call arrived at the receiver.
    pub t: Micros,
    /// When the first byte of the call arrived at the receiver.
    pub first_byte: Micros,
    /// Index of the sender that made the call.
    pub sender: usize,
    /// Name of the endpoint that received the call.
    pub endpoint: String,
    /// Number of the receiver that got the call; `None` if the endpoint is unknown.
    pub receiver: Option<i64>,
    /// Whether this was the first call on its connection.
    pub new_connection: bool,
    /// Whether this was a batch call, which may carry several messages.
    pub batch: bool,
    /// Ids of the messages that the call carried, in order.
    pub ids: Vec<String>,
    /// When and how the call ended; `None` if the recorded history does not contain the call's result.
    pub end: Option<(Micros, CallEnd)>,
}

/// Outcome of one message in a call, as the receiver's answer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The attempt delivered the message.
    Delivered,
    /// The receiver did not process the message in the attempt.
    NeverRan,
    /// The receiver may have processed the message in the attempt, or may still be processing it.
    MayHaveRun,
}

impl Call {
    /// Returns the outcome of the message at `index` in the call, and when the outcome was known.
    pub fn attempt(&self, index: usize) -> (Option<Micros>, Attempt) {
        let Some((t, end)) = &self.end else { return (None, Attempt::MayHaveRun) };
        let outcome = match end {
            CallEnd::Disconnected(_) => Attempt::MayHaveRun,
            CallEnd::Answer { status: 200, states: Some(states), .. } => {
                match outcome_of_state(states.get(index).map(String::as_str)) {
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
        (Some(*t), outcome)
    }
}

/// A message as its client sent it once. A retry is another message with the same `origin`.
#[derive(Clone, Debug)]
pub struct Message {
    /// Id with which the client sent the message.
    pub id: String,
    /// Id that the message had when its client sent it for the first time.
    pub origin: String,
    /// Number of times that the client had sent the message before.
    pub retries: u32,
    /// When the client sent the message to the sender.
    pub offered: Micros,
    /// Time at which the load plan has the client send the message for the first time.
    pub due: Micros,
    /// Index of the sender to which the client sent the message.
    pub sender: usize,
    /// Index of the message's class.
    pub class: usize,
    /// Index of the message's tenant.
    pub tenant: usize,
    /// Number of the receiver that the message is for.
    pub receiver: i64,
    /// Order key of the message, in an ordered class.
    pub order: Option<String>,
    /// Time by which the message must be delivered.
    pub deadline: Micros,
    /// When and how the sender answered the message put (MSG.PUT command).
    pub reply: Option<(Micros, PutOutcome)>,
    /// Notices of the message's final outcome that the platform received.
    pub notices: Vec<(Micros, NoticeState)>,
    /// Calls that carried the message, by time: number of the call, and index of the message in the call.
    pub calls: Vec<(u64, usize)>,
    /// When the receiver processed the message, and whether it dropped the message because it remembered the key.
    pub runs: Vec<(Micros, bool)>,
}

impl Message {
    /// Returns when the client received the reply that the message is accepted; `None` if it received none.
    pub fn accepted(&self) -> Option<Micros> {
        self.reply.filter(|(_, a)| *a == PutOutcome::Accepted).map(|(t, _)| t)
    }

    /// Returns whether the sender refused the message, either immediately or after having accepted it.
    pub fn refused(&self) -> bool {
        matches!(self.reply, Some((_, PutOutcome::Busy)))
            || self.notices.iter().any(|n| n.1 == NoticeState::Returned)
    }

    /// Returns whether the client got no reply. The message's outcome under its present id then does not count.
    /// A client without a reply may send the message again under another id.
    pub fn unacknowledged(&self) -> bool {
        matches!(
            self.reply,
            None | Some((
                _,
                PutOutcome::TimedOut | PutOutcome::Closed | PutOutcome::Unreachable | PutOutcome::Abandoned
            ))
        )
    }
}

/// Lane: the unit to which a rate limit, an advertised wait or an outage applies as a whole.
/// A lane is a receiver's number, and an endpoint's name if routes are separate (see [`Receiver::separate_routes`]).
pub type Lane = (i64, Option<String>);
/// Start and end of an outage; the end is `None` while the outage lasts.
pub type Outage = (Micros, Option<Micros>);

/// Changes of an endpoint's status, each with the time at which the directory notified a sender.
pub type StatusUpdates = Vec<(Micros, EndpointStatus)>;

/// A period in which a sender's process was unavailable: from a signal, or its end, until it was ready again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Time of the signal or of the process's end that began the period in which the sender was unavailable.
    pub from: Micros,
    /// Whether the sender's process ended during the absence, and did not only stop and continue.
    pub restarted: bool,
    /// When the rig saw that the sender's process had ended.
    pub ended: Option<Micros>,
    /// When the sender's process was ready again; `None` if never.
    pub ready: Option<Micros>,
}

/// A history indexed by message, call and sender.
#[derive(Clone, Debug)]
pub struct Table {
    /// Parameters of the run that the history records.
    pub parameters: Parameters,
    /// Endpoints by name: number of the receiver, and zone of the endpoint.
    pub endpoints: HashMap<String, (i64, String)>,
    /// Messages in the order in which clients sent them.
    pub messages: Vec<Message>,
    /// Index in `messages` of each message id.
    pub by_id: HashMap<String, usize>,
    /// Calls by their number.
    pub calls: BTreeMap<u64, Call>,
    /// For each sender and endpoint, the changes of status that the directory reported to the sender.
    pub status_updates: BTreeMap<(usize, String), StatusUpdates>,
    /// For each sender, the periods in which its process was unavailable.
    pub absences: Vec<Vec<Absence>>,
    /// Processes that ended without a signal of the rehearsal: when, index of the sender, and exit status in words.
    pub crashes: Vec<(Micros, usize, String)>,
    /// Refused connections: when, name of the endpoint, and index of the sender.
    pub refused_connections: Vec<(Micros, String, usize)>,
    /// Probes: when, name of the endpoint, index of the sender, and HTTP status.
    pub probes: Vec<(Micros, String, usize, u16)>,
    /// Outages of each lane, by time.
    pub outages: BTreeMap<Lane, Vec<Outage>>,
    /// Overloads of cold receivers: when, and number of the receiver.
    pub overloaded: Vec<(Micros, i64)>,
    /// Events of the timeline for the charts: when, and description of the event.
    pub marks: Vec<(Micros, String)>,
    /// Longest stall of the rig's event loop.
    pub stall: Micros,
    /// Number of answers that a receiver or the directory wrote a second time.
    pub repeated_answers: usize,
    /// Whether the history is complete: it has its last record, `end`.
    pub complete: bool,
    /// Time of the history's last record.
    pub end: Micros,
}

/// Returns the sort position of an event's kind among records with equal times.
/// Records of what a sender or client received are sorted before records of what the sender or client did then.
fn rank(event: &Event) -> u8 {
    match event {
        Event::Run { .. } => 0,
        Event::Endpoint { .. } => 1,
        Event::Signal { .. } | Event::Exited { .. } => 2,
        Event::Ready { .. } => 3,
        Event::Down { .. } | Event::Back { .. } => 4,
        Event::Offer { .. } => 5,
        Event::Answer { .. } | Event::Disconnected { .. } => 7,
        Event::Call { .. } | Event::Partial { .. } | Event::Refused { .. } | Event::Probe { .. } => 6,
        Event::Ran { .. } => 8,
        Event::Reply { .. } => 9,
        Event::Notice { .. } => 10,
        Event::Listing { .. } => 11,
        Event::Overloaded { .. } | Event::AnswerRepeated { .. } | Event::Mark { .. } | Event::Lag { .. } => {
            12
        }
        Event::End => 13,
    }
}

impl Table {
    /// Indexes the records of a history; returns `None` if there is no `run` record.
    pub fn new(records: &[Record]) -> Option<Table> {
        let mut order: Vec<(Micros, u8, String, &Event)> = Vec::with_capacity(records.len());
        for record in records {
            // The sort key's content is serialized further down, only for the few records with equal time and kind.
            order.push((record.t, rank(&record.event), String::new(), &record.event));
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
            status_updates: BTreeMap::new(),
            crashes: Vec::new(),
            refused_connections: Vec::new(),
            repeated_answers: 0,
            probes: Vec::new(),
            outages: BTreeMap::new(),
            overloaded: Vec::new(),
            marks: Vec::new(),
            stall: 0,
            complete: false,
            end: order.last().map_or(0, |o| o.0),
        };
        let mut listed: Vec<BTreeMap<String, EndpointStatus>> = vec![BTreeMap::new(); table.absences.len()];
        for (t, _, _, event) in &order {
            table.apply(*t, event, &mut listed);
        }
        Some(table)
    }

    fn apply(&mut self, t: Micros, event: &Event, listed: &mut [BTreeMap<String, EndpointStatus>]) {
        // Records of the shutdown after the `end` record are not evidence, so they are ignored.
        if self.complete {
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
                self.begin_absence(t, *sender, true);
                if let Some(a) = self.absences.get_mut(*sender).and_then(|a| a.last_mut()) {
                    a.ended.get_or_insert(t);
                }
            }
            Event::Offer {
                sender,
                id,
                origin,
                retries,
                class,
                tenant,
                receiver,
                order,
                time_left,
                due,
                ..
            } => {
                self.by_id.insert(id.clone(), self.messages.len());
                self.messages.push(Message {
                    id: id.clone(),
                    origin: origin.clone(),
                    retries: *retries,
                    offered: t,
                    due: *due,
                    sender: *sender,
                    class: *class,
                    tenant: *tenant,
                    receiver: *receiver,
                    order: order.clone(),
                    deadline: t + time_left,
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
            Event::Listing { sender, complete, endpoints, .. } => {
                let Some(known) = listed.get_mut(*sender) else { return };
                let mut changes: Vec<(String, EndpointStatus)> = Vec::new();
                if *complete {
                    let gone = known.keys().filter(|n| !endpoints.iter().any(|(name, _)| name == *n));
                    changes.extend(gone.map(|n| (n.clone(), EndpointStatus::Gone)));
                }
                changes.extend(endpoints.iter().cloned());
                for (name, status) in changes {
                    // A repeated status is no change: the drain grace starts with the first notification.
                    if known.insert(name.clone(), status) != Some(status) {
                        self.status_updates.entry((*sender, name)).or_default().push((t, status));
                    }
                }
            }
            Event::Call { call, sender, endpoint, first_byte, new_connection, batch, items } => {
                let receiver = self.endpoints.get(endpoint).map(|e| e.0);
                for (place, item) in items.iter().enumerate() {
                    if let Some(m) = self.message_mut(&item.id) {
                        m.calls.push((*call, place));
                    }
                }
                let ids = items.iter().map(|i| i.id.clone()).collect();
                let (endpoint, sender) = (endpoint.clone(), *sender);
                let (first_byte, new_connection, batch) = (*first_byte, *new_connection, *batch);
                self.calls.insert(
                    *call,
                    Call { t, first_byte, sender, endpoint, receiver, new_connection, batch, ids, end: None },
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
            Event::Disconnected { call, by } => {
                if let Some(c) = self.calls.get_mut(call) {
                    c.end.get_or_insert((t, CallEnd::Disconnected(*by)));
                }
            }
            Event::AnswerRepeated { .. } => self.repeated_answers += 1,
            Event::Refused { sender, endpoint } => {
                self.refused_connections.push((t, endpoint.clone(), *sender))
            }
            Event::Probe { sender, endpoint, status } => {
                self.probes.push((t, endpoint.clone(), *sender, *status));
            }
            Event::Down { receiver, endpoint } => {
                let list = self.outages.entry((*receiver, endpoint.clone())).or_default();
                // Overlapping outages of a lane count as one outage.
                if list.last().is_none_or(|(_, until)| until.is_some()) {
                    list.push((t, None));
                }
            }
            Event::Back { receiver, endpoint } => {
                let list = self.outages.entry((*receiver, endpoint.clone())).or_default();
                match list.last_mut() {
                    Some((_, until @ None)) => *until = Some(t),
                    // The receiver became cold without an outage, which counts as an outage of zero length.
                    _ => list.push((t, Some(t))),
                }
            }
            Event::Overloaded { receiver, .. } => self.overloaded.push((t, *receiver)),
            Event::Mark { text } => self.marks.push((t, text.clone())),
            Event::End => self.complete = true,
        }
    }

    fn message_mut(&mut self, id: &str) -> Option<&mut Message> {
        let at = *self.by_id.get(id)?;
        self.messages.get_mut(at)
    }

    fn signal(&mut self, t: Micros, sender: usize, signal: Signal) {
        match signal {
            Signal::Term | Signal::Kill => self.begin_absence(t, sender, true),
            Signal::Stop => self.begin_absence(t, sender, false),
            // After SIGCONT the process continues.
            // No record shows when the process is ready again, so the time of SIGCONT counts as the time of readiness.
            Signal::Cont => {
                if let Some(a) = self.absences.get_mut(sender).and_then(|a| a.last_mut()) {
                    a.ready.get_or_insert(t);
                }
            }
            Signal::Hup => {}
        }
    }

    fn begin_absence(&mut self, t: Micros, sender: usize, restarted: bool) {
        let Some(list) = self.absences.get_mut(sender) else { return };
        match list.last_mut() {
            Some(a) if a.ready.is_none() => a.restarted |= restarted,
            _ => list.push(Absence { from: t, restarted, ended: None, ready: None }),
        }
    }

    /// Returns the message with the given id.
    pub fn message(&self, id: &str) -> Option<&Message> {
        self.messages.get(*self.by_id.get(id)?)
    }

    /// Returns when clients sent each message for the first time, by the message's id at that time.
    pub fn first_offers(&self) -> BTreeMap<&str, Micros> {
        let mut first = BTreeMap::new();
        for message in &self.messages {
            first.entry(message.origin.as_str()).or_insert(message.offered);
        }
        first
    }

    /// Returns the class of a message; `None` if the run has no class with the message's index.
    pub fn class(&self, message: &Message) -> Option<&Class> {
        self.parameters.classes.get(message.class)
    }

    /// Returns whether another delivery of the message would take effect again.
    pub fn is_unsafe(&self, message: &Message) -> bool {
        self.class(message).is_none_or(|c| c.effect == Effect::Unsafe)
    }

    /// Returns the receiver with the given number.
    pub fn receiver(&self, number: i64) -> Option<&Receiver> {
        self.parameters.receivers.iter().find(|r| r.number == number)
    }

    /// Returns the attempts of a message: the call, the time at which the attempt's outcome was known, and the outcome.
    pub fn attempts<'a>(
        &'a self,
        message: &'a Message,
    ) -> impl Iterator<Item = (&'a Call, Option<Micros>, Attempt)> + 'a {
        message.calls.iter().filter_map(|(number, place)| {
            let call = self.calls.get(number)?;
            let (known, outcome) = call.attempt(*place);
            Some((call, known, outcome))
        })
    }

    /// Returns when a message was delivered: the receiver's answer was written, and the client had the reply `+OK`.
    pub fn delivered(&self, message: &Message) -> Option<Micros> {
        let taken = message.accepted()?;
        let done = self.attempts(message).filter(|(_, _, outcome)| *outcome == Attempt::Delivered);
        done.filter_map(|(_, known, _)| known).min().map(|t| t.max(taken))
    }

    /// Returns the absence of a sender at time `t`, or an absence that ended at most `after` before `t`.
    pub fn away_at(&self, sender: usize, t: Micros, after: Micros) -> Option<Absence> {
        let list = self.absences.get(sender)?;
        list.iter().copied().find(|a| a.from <= t && a.ready.is_none_or(|r| t <= r + after))
    }

    /// Returns the lane of an endpoint: its receiver, and the endpoint itself where routes are separate.
    pub fn lane(&self, endpoint: &str) -> Option<Lane> {
        let number = self.endpoints.get(endpoint)?.0;
        let separate_routes = self.receiver(number).is_some_and(|r| r.separate_routes);
        Some((number, separate_routes.then(|| endpoint.to_string())))
    }
}
