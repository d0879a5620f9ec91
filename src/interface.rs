//! The types through which a sender and a [`Dispatcher`](crate::Dispatcher) talk: settings, events, actions.

use crate::handover::{DispatcherState, InFlightCall};
use std::fmt;

/// Time in microseconds on the sender's own clock, or a span of it.
pub type Micros = i64;

/// A message, by the sender's number for it. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MsgId(pub u64);

/// An endpoint, by the sender's number for it; the same number whenever it is named again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointId(pub u32);

/// A destination: the receiver that a message is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DestId(pub i64);

/// What a second delivery of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat is dropped by the destination within the class's window.
    Keyed,
    /// A repeat takes effect again.
    #[default]
    Unsafe,
}

/// Which endpoints of a destination share the memory that drops repeats of a guarded message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints of the destination.
    #[default]
    All,
    /// Those in the same zone.
    Zone,
    /// That endpoint alone.
    Endpoint,
}

/// How a message's worth falls after its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LateDecay {
    /// Evenly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, down to the late share.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Delivered within this span, a message earns its full worth.
    pub aim: Micros,
    /// The whole span in which a message may be delivered.
    pub deadline: Micros,
    /// What a repeat would do.
    pub effect: Effect,
    /// For guarded classes: which endpoints drop repeats.
    pub dedup_scope: DedupScope,
    /// For guarded classes: how long repeats are dropped, from the first send that may have run.
    pub window: Micros,
    /// Messages with the same key go one at a time, in order.
    pub ordered: bool,
    /// Worth of a message delivered in time.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    /// Attempts for one message of it at most, if not those of [`Settings::max_attempts`].
    pub max_attempts: Option<u32>,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            aim: 1_000_000,
            deadline: 10_000_000,
            effect: Effect::Unsafe,
            dedup_scope: DedupScope::All,
            window: 0,
            ordered: false,
            worth: 1.0,
            late_share: 0.0,
            max_attempts: None,
        }
    }
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSettings {
    /// Messages in one call at most.
    pub max_batch: u32,
    /// The endpoints are separate routes, each with its own limit, pace and outages.
    pub separate_routes: bool,
}

/// A tenant, whose traffic beyond its quota is worth little.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Messages a second over all senders within its share.
    pub quota: f64,
}

/// What a listed weight says of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// Nothing.
    #[default]
    Ignored,
    /// The calls a second that the destination (or route) takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Approximate,
}

/// Everything a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of senders, this one included.
    pub senders: u32,
    /// This sender's zone.
    pub zone: usize,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held, sent or not.
    pub max_open: u32,
    /// Attempts for one message at most.
    pub max_attempts: u32,
    /// A message may have two attempts out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Notes may be sent to the other senders.
    pub peers: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: Micros,
    /// Idle connections close after this.
    pub idle_close: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_conn: u32,
    /// Least time between two rounds.
    pub quantum: Micros,
    /// Grace in which sends to a draining or gone endpoint must end.
    pub drain_grace: Micros,
    /// Multiple of its present capacity at which a cold destination falls over.
    pub fall_multiple: f64,
    /// Span over which that is counted.
    pub fall_window: Micros,
    /// Share of its capacity with which a destination returns from an outage.
    pub cold_from: f64,
    /// Time until a returned destination has all of its capacity.
    pub warm_up: Micros,
    /// For ordered classes: how long a key rests after an attempt that may still run.
    pub order_settle: Micros,
    /// How worth falls after the aim.
    pub late_decay: LateDecay,
    /// Worth of a message beyond its tenant's quota, as a share.
    pub over_share_worth: f64,
    /// What listed weights say.
    pub weights: WeightMeaning,
    /// Price of attempts that cross zones.
    pub cross_zone_price: f64,
    /// Price of new connections.
    pub handshake_price: f64,
    /// For each zone: fee for each message that a route apart there takes on.
    pub zone_fees: Vec<f64>,
    /// Classes of message, by index.
    pub classes: Vec<ClassSettings>,
    /// Kinds of destination, by index.
    pub kinds: Vec<KindSettings>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<TenantSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            senders: 1,
            zone: 0,
            slots: 1,
            max_open: 1,
            max_attempts: 1,
            second_copies: false,
            cancel: false,
            probes: false,
            peers: false,
            max_retry_after: 0,
            idle_close: 5_000_000,
            streams_per_conn: 1,
            quantum: 0,
            drain_grace: 0,
            fall_multiple: 2.0,
            fall_window: 2_000_000,
            cold_from: 0.2,
            warm_up: 10_000_000,
            order_settle: 0,
            late_decay: LateDecay::Linear,
            over_share_worth: 1.0,
            weights: WeightMeaning::Ignored,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            zone_fees: Vec::new(),
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
        }
    }
}

/// Settings with which no dispatcher can work: which figure is wrong, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Its name in [`Settings`], or in [`ClassSettings`] where a class is named.
    pub field: &'static str,
    /// The class that it belongs to, by index.
    pub class: Option<usize>,
    /// What it must be.
    pub requirement: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.class {
            Some(class) => {
                write!(f, "settings: {} of class {class} must be {}", self.field, self.requirement)
            }
            None => write!(f, "settings: {} must be {}", self.field, self.requirement),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Messages that a call of a kind takes; one where the kind is not known.
    pub(crate) fn batch(&self, kind: usize) -> u32 {
        self.kinds.get(kind).map_or(1, |k| k.max_batch.max(1))
    }

    /// Checks the figures that the dispatcher relies on.
    ///
    /// # Errors
    /// Names the first figure that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |good: bool, field, class, requirement| {
            if good { Ok(()) } else { Err(SettingsError { field, class, requirement }) }
        };
        let counts = [
            ("slots", self.slots),
            ("max_open", self.max_open),
            ("max_attempts", self.max_attempts),
            ("senders", self.senders),
        ];
        for (field, count) in counts {
            check(count > 0, field, None, "at least 1")?;
        }
        let a_span = "a span of time from 0 to a year";
        let span = |s: Micros| (0..=MAX_SPAN).contains(&s);
        let spans = [
            ("drain_grace", self.drain_grace),
            ("fall_window", self.fall_window),
            ("warm_up", self.warm_up),
            ("order_settle", self.order_settle),
        ];
        for (field, s) in spans {
            check(span(s), field, None, a_span)?;
        }
        check(
            (0..=QUANTUM_MOST).contains(&self.quantum),
            "quantum",
            None,
            "a span of time from 0 to a second",
        )?;
        let figures = [
            ("fall_multiple", self.fall_multiple),
            ("cold_from", self.cold_from),
            ("over_share_worth", self.over_share_worth),
        ];
        for (field, figure) in figures {
            check(figure.is_finite() && figure >= 0.0, field, None, "a number that is not negative")?;
        }
        for (n, c) in self.classes.iter().enumerate() {
            let class = Some(n);
            for (field, s) in [("aim", c.aim), ("deadline", c.deadline), ("window", c.window)] {
                check(span(s), field, class, a_span)?;
            }
            for (field, worth) in [("worth", c.worth), ("late_share", c.late_share)] {
                check(worth.is_finite(), field, class, "a number")?;
            }
        }
        Ok(())
    }
}

/// With rounds further apart nothing would be in time.
const QUANTUM_MOST: Micros = 1_000_000;
/// Spans beyond this are taken for mistakes; it also keeps sums of times from overflowing.
pub(crate) const MAX_SPAN: Micros = 366 * 24 * 3600 * 1_000_000;

/// An endpoint's standing in the directory, which says nothing of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Listed.
    Up,
    /// To be sent nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub dest: DestId,
    /// Its standing.
    pub status: Status,
    /// Kind of its destination, by index.
    pub kind: usize,
    /// Its zone, by index.
    pub zone: usize,
    /// Its weight, where one is given; see [`WeightMeaning`].
    pub weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// Delivered.
    Done,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen: above the limit, queue full, shut or draining.
    Busy,
    /// No answer in time; it may have run or still do so.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The destination answered with what can't be read; it may have run. Only real senders are told so.
    #[cfg_attr(feature = "serde", serde(rename = "Spoilt"))]
    MalformedAnswer,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent: no slot was free, the message was over, or its attempts were used up.
    Skipped,
    /// No connection came up, so that no byte was written: no endpoint knows of it, and it does not count as an attempt.
    /// Only real senders are told so.
    Unreached,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Busy | Outcome::ConnectFailed | Outcome::Skipped | Outcome::Unreached)
    }

    /// Whether no byte of it was written.
    pub fn never_sent(self) -> bool {
        matches!(self, Outcome::Skipped | Outcome::Unreached)
    }

    /// Whether no connection came up, or one broke before all was written.
    pub(crate) fn is_unconnected(self) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::Unreached)
    }
}

/// What an endpoint tells of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Share of the allowance that is left.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub remaining: Option<f64>,
    /// Calls a second that the limit allows; 0 where there is none.
    pub limit: Option<f64>,
}

/// What a dispatcher remembers of an endpoint's outage, for a sender that keeps it over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    /// When its present troubles began, if it has any.
    pub failing_since: Option<Micros>,
    /// It is in trouble: asked by single trials only.
    pub unhealthy: bool,
    /// When it came back from an outage, if it is still being loaded bit by bit.
    pub warming_since: Option<Micros>,
}

/// What a dispatcher remembers of a receiver as a whole, a destination or a route of it where routes are apart, for a
/// sender that keeps it over a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiverHealth {
    /// Since when it has answered nothing well, if its last answers were bad.
    pub failing_since: Option<Micros>,
    /// It is taken to be out as a whole.
    pub down: bool,
    /// When it came back from an outage, if it is still being loaded bit by bit.
    pub warming_since: Option<Micros>,
    /// Until when it told its callers to wait.
    pub wait_until: Option<Micros>,
    /// What this sender holds itself to after refusals, in thousandths of a call a second.
    pub budget_milli_per_s: Option<u32>,
    /// This sender's own traffic for it, in thousandths of a message a second.
    pub traffic_milli_per_s: Option<u32>,
}

impl ReceiverHealth {
    /// What is assumed of a receiver of which an earlier run has kept nothing, not even that it was well.
    pub const UNKNOWN: ReceiverHealth = ReceiverHealth {
        failing_since: None,
        down: true,
        warming_since: None,
        wait_until: None,
        budget_milli_per_s: None,
        traffic_milli_per_s: None,
    };
}

/// What a sender tells its dispatcher. Events that name something unknown are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The directory: the whole list, or changes to it.
    Listing {
        /// Endpoints missing from `entries` are gone.
        complete: bool,
        /// The lines.
        entries: Vec<EndpointEntry>,
    },
    /// A message to deliver, which is owed one final answer.
    Message {
        /// The message.
        id: MsgId,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: usize,
        /// What it is about, in classes that keep order.
        key: Option<String>,
        /// Its destination.
        dest: DestId,
        /// Time until it is given up.
        time_left: Micros,
        /// It is known to have been handed in before.
        resubmitted: bool,
    },
    /// A message taken on before this sender restarted, which is still owed its final answer.
    MessageRestored {
        /// The message.
        id: MsgId,
        /// Its class, by index; one that no longer exists counts as one whose repeats take effect again.
        class: usize,
        /// What it is about, in classes that keep order.
        key: Option<String>,
        /// Its destination.
        dest: DestId,
        /// Time until it is given up.
        time_left: Micros,
        /// Attempts made before the restart.
        attempts: u32,
        /// Those of them that reached no endpoint.
        unreached: u32,
        /// Where and when the first attempt went that may have run; one with no known outcome may.
        may_have_run: Option<(EndpointId, Micros)>,
    },
    /// What an earlier run of this sender knew of an endpoint, once it has been listed.
    EndpointHealthRestored {
        /// The endpoint.
        endpoint: EndpointId,
        /// As [`Dispatcher::health`](crate::Dispatcher::health) told it.
        health: EndpointHealth,
    },
    /// What an earlier run of this sender knew of a receiver as a whole, after all that it knew of its endpoints.
    ReceiverHealthRestored {
        /// The destination.
        dest: DestId,
        /// The endpoint, where it is a route of its own.
        route: Option<EndpointId>,
        /// As [`Dispatcher::receivers`](crate::Dispatcher::receivers) told it.
        health: ReceiverHealth,
    },
    /// What another process's dispatcher knew that this one goes on for, once its endpoints have been listed.
    StateInherited(Box<DispatcherState>),
    /// The calls which that process still has out, once its messages have been restored. Their outcomes come like any
    /// other's.
    CallsInherited(Vec<InFlightCall>),
    /// The sender ends at this time: nothing is to begin that would not end before.
    Stopping {
        /// When.
        at: Micros,
    },
    /// Other classes hold from now on. A message keeps its class's index, and with it whatever stands there.
    ClassesChanged(Vec<ClassSettings>),
    /// An attempt ended.
    Outcome {
        /// The message.
        id: MsgId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The message is closed; no answer is owed any more.
        closes_message: bool,
        /// Time since it was sent.
        elapsed: Micros,
        /// For [`Outcome::Busy`]: the wait asked for, 0 if none.
        wait: Micros,
        /// What was told of the limit.
        report: Option<LoadReport>,
    },
    /// Nobody wants this message any more.
    MessageAbandoned {
        /// The message.
        id: MsgId,
    },
    /// A timer asked for with [`Action::Timer`] fell due.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What was told of the limit.
        report: Option<LoadReport>,
    },
    /// A note from another sender.
    PeerNote {
        /// Number of the sender it came from.
        from: u32,
        /// Its text.
        text: String,
    },
}

/// What a dispatcher asks its sender to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message.
    Send {
        /// Sends of one round with the same number share a call, which ends at the longest of their timeouts.
        call: u64,
        /// The message.
        id: MsgId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Wait for the answer this long.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MsgId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: handed back unsent, trying again does no harm.
    Refuse {
        /// The message.
        id: MsgId,
        /// Time the client should stay away.
        retry_after: Micros,
    },
    /// Final answer: given up.
    Fail {
        /// The message.
        id: MsgId,
    },
    /// Ask for [`Event::Timer`] at this time.
    Timer {
        /// When.
        at: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note to all other senders.
    Broadcast {
        /// Its text, 256 bytes at most.
        text: String,
    },
}
