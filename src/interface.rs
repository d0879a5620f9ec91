//! The inputs and outputs of a [`Dispatcher`](crate::Dispatcher): settings, events and actions.

use crate::handover::{DispatcherState, InFlightCall};
use std::fmt;

/// A time on the sender's own clock or a span of time, in microseconds.
pub type Micros = i64;

/// The sender's number for a message. No number is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MsgId(pub u64);

/// The sender's number for an endpoint, which stays the same when the endpoint is listed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointId(pub u32);

/// The number of a destination: the receiver that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DestId(pub i64);

/// The effect of delivering a message a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// The message has an idempotency key, by which the destination drops repeats within the class's window.
    Keyed,
    /// A repeat takes effect again.
    #[default]
    Unsafe,
}

/// Which endpoints of a destination share the memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints of the destination.
    #[default]
    All,
    /// The endpoints in one zone.
    Zone,
    /// None: each endpoint remembers its own.
    Endpoint,
}

/// How the worth of a message decays after its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LateDecay {
    /// Linearly, to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further span of the aim, to the late share at least.
    Halving,
}

/// The settings of a class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// A message delivered up to this age earns its full worth.
    pub aim: Micros,
    /// The age up to which a message may be delivered.
    pub deadline: Micros,
    /// The effect of a repeated delivery.
    pub effect: Effect,
    /// For keyed classes: which endpoints share the memory of idempotency keys.
    pub dedup_scope: DedupScope,
    /// For keyed classes: how long the destination drops repeats, from the first attempt that may have run.
    pub window: Micros,
    /// Messages with the same order key are delivered one at a time, in order.
    pub ordered: bool,
    /// The worth of a message delivered up to its aim.
    pub worth: f64,
    /// The share of the worth that is left at the deadline.
    pub late_share: f64,
    /// Maximum attempts for a message of this class, in place of [`Settings::max_attempts`].
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

/// The settings of a kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSettings {
    /// Maximum messages in one call.
    pub max_batch: u32,
    /// Each endpoint is a separate route with its own limit, pace and outages.
    pub separate_routes: bool,
}

/// A tenant; its messages beyond the quota are worth less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's messages a second through all senders together that are worth the full amount.
    pub quota: f64,
}

/// The meaning of the weights in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// None: weights are ignored.
    #[default]
    Ignored,
    /// The calls a second that the destination or route takes from all senders together.
    Nominal,
    /// The same, with an error of up to one half in either direction.
    Approximate,
}

/// The settings that a dispatcher is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of senders, including this one.
    pub senders: u32,
    /// This sender's zone.
    pub zone: usize,
    /// Maximum calls in flight.
    pub slots: u32,
    /// Maximum open messages, sent or not.
    pub max_open: u32,
    /// Maximum attempts for one message.
    pub max_attempts: u32,
    /// A message may have two attempts in flight.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Notes may be broadcast to the other senders.
    pub peers: bool,
    /// The longest retry-after that clients observe.
    pub max_retry_after: Micros,
    /// Idle connections are closed after this span.
    pub idle_close: Micros,
    /// Concurrent calls on one connection.
    pub streams_per_conn: u32,
    /// Minimum time between two rounds.
    pub quantum: Micros,
    /// Grace period in which calls to a draining or removed endpoint must end.
    pub drain_grace: Micros,
    /// Multiple of its present capacity at which a cold destination is overloaded and fails.
    pub fall_multiple: f64,
    /// Span over which that load is counted.
    pub fall_window: Micros,
    /// Share of its capacity with which a destination returns from an outage.
    pub cold_from: f64,
    /// Time from its return until a destination has its full capacity.
    pub warm_up: Micros,
    /// For ordered classes: how long the next message of a key waits after an attempt that may still be
    /// running.
    pub order_settle: Micros,
    /// How worth decays after the aim.
    pub late_decay: LateDecay,
    /// Worth of a message beyond its tenant's quota, as a share of its worth within it.
    pub over_share_worth: f64,
    /// The meaning of listed weights.
    pub weights: WeightMeaning,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Price of a new connection.
    pub handshake_price: f64,
    /// For each zone: the fee for each message to a separate route in it.
    pub zone_fees: Vec<f64>,
    /// Message classes, by index.
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

/// A value in the settings with which a dispatcher cannot work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field's name in [`Settings`], or in [`ClassSettings`] if `class` is given.
    pub field: &'static str,
    /// The class that the field belongs to, by index.
    pub class: Option<usize>,
    /// What the value must be.
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
    /// Returns the messages that one call to a kind takes; 1 for an unknown kind.
    pub(crate) fn max_batch(&self, kind: usize) -> u32 {
        self.kinds.get(kind).map_or(1, |k| k.max_batch.max(1))
    }

    /// Checks the values that the dispatcher relies on.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |valid: bool, field, class, requirement| {
            if valid { Ok(()) } else { Err(SettingsError { field, class, requirement }) }
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
        let span_requirement = "a span of time from 0 to a year";
        let is_valid_span = |span: Micros| (0..=MAX_SPAN_US).contains(&span);
        let spans = [
            ("drain_grace", self.drain_grace),
            ("fall_window", self.fall_window),
            ("warm_up", self.warm_up),
            ("order_settle", self.order_settle),
        ];
        for (field, span) in spans {
            check(is_valid_span(span), field, None, span_requirement)?;
        }
        check(
            (0..=MAX_QUANTUM_US).contains(&self.quantum),
            "quantum",
            None,
            "a span of time from 0 to a second",
        )?;
        let numbers = [
            ("fall_multiple", self.fall_multiple),
            ("cold_from", self.cold_from),
            ("over_share_worth", self.over_share_worth),
        ];
        for (field, number) in numbers {
            check(number.is_finite() && number >= 0.0, field, None, "a number that is not negative")?;
        }
        for (index, settings) in self.classes.iter().enumerate() {
            let class = Some(index);
            let spans = [("aim", settings.aim), ("deadline", settings.deadline), ("window", settings.window)];
            for (field, span) in spans {
                check(is_valid_span(span), field, class, span_requirement)?;
            }
            for (field, worth) in [("worth", settings.worth), ("late_share", settings.late_share)] {
                check(worth.is_finite(), field, class, "a number")?;
            }
        }
        Ok(())
    }
}

/// With longer intervals between rounds no message would be in time.
const MAX_QUANTUM_US: Micros = 1_000_000;
/// Longer spans are rejected as mistakes; this also keeps sums of times from overflowing.
pub(crate) const MAX_SPAN_US: Micros = 366 * 24 * 3600 * 1_000_000;

/// An endpoint's status in the list from discovery, which is independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes messages.
    Up,
    /// It must not be sent new messages.
    Draining,
    /// It no longer exists.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub dest: DestId,
    /// Its status.
    pub status: Status,
    /// The kind of its destination, by index.
    pub kind: usize,
    /// Its zone, by index.
    pub zone: usize,
    /// Its weight, if one is listed; see [`WeightMeaning`].
    pub weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// Delivered.
    Done,
    /// Answered with an error; the message may have run.
    Error,
    /// Refused without being processed: over a limit, a full queue, shut down or draining.
    Busy,
    /// No answer in time; the message may have run or may still be running.
    TimedOut,
    /// The connection failed; the message did not run.
    ConnectFailed,
    /// The connection broke; the message may have run.
    Reset,
    /// The answer could not be parsed; the message may have run. The simulator does not report this.
    #[cfg_attr(feature = "serde", serde(rename = "Spoilt"))]
    MalformedAnswer,
    /// Cancelled; the message may have run.
    Cancelled,
    /// Not sent: no slot was free, the message was closed, or its attempts were used up.
    Skipped,
    /// No connection was established and no byte written: no endpoint knows of the attempt, and it does not
    /// count. The simulator does not report this.
    Unreached,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Busy | Outcome::ConnectFailed | Outcome::Skipped | Outcome::Unreached)
    }

    /// Returns whether no byte of the attempt was written.
    pub fn never_sent(self) -> bool {
        matches!(self, Outcome::Skipped | Outcome::Unreached)
    }

    /// Returns whether no connection was established, or it broke before the request was written.
    pub(crate) fn is_unconnected(self) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::Unreached)
    }
}

/// An endpoint's report on its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// The share of the allowance that remains.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub remaining: Option<f64>,
    /// The calls a second that the limit allows; 0 if there is no limit.
    pub limit: Option<f64>,
}

/// The health of an endpoint, which a sender persists over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    /// The first failure since the last success, if there is one.
    pub failing_since: Option<Micros>,
    /// It receives only single trials.
    pub unhealthy: bool,
    /// When it returned from an outage, if its warm-up has not ended.
    pub warming_since: Option<Micros>,
}

/// The health of a receiver as a whole, which a sender persists over a restart. The receiver is a
/// destination, or one route of it where routes are separate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiverHealth {
    /// The first failure since the last success, if there is one.
    pub failing_since: Option<Micros>,
    /// It is considered down as a whole.
    pub down: bool,
    /// When it returned from an outage, if its warm-up has not ended.
    pub warming_since: Option<Micros>,
    /// The end of the wait that it asked for.
    pub wait_until: Option<Micros>,
    /// The sender's call budget after refusals, in thousandths of a call a second.
    pub budget_milli_per_s: Option<u32>,
    /// The sender's own traffic to it, in thousandths of a message a second.
    pub traffic_milli_per_s: Option<u32>,
}

impl ReceiverHealth {
    /// The health assumed of a receiver for which nothing was persisted, not even that it was healthy.
    pub const UNKNOWN: ReceiverHealth = ReceiverHealth {
        failing_since: None,
        down: true,
        warming_since: None,
        wait_until: None,
        budget_milli_per_s: None,
        traffic_milli_per_s: None,
    };
}

/// An event that a sender reports to its dispatcher. Events that name something unknown are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list from discovery, or changes to it.
    Listing {
        /// The list is complete: endpoints missing from `entries` are gone.
        complete: bool,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A message to deliver. It gets exactly one final answer.
    Message {
        /// The message.
        id: MsgId,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: usize,
        /// Its order key, in classes that keep order.
        key: Option<String>,
        /// Its destination.
        dest: DestId,
        /// Time until its deadline.
        time_left: Micros,
        /// It is known to have been put before.
        resubmitted: bool,
    },
    /// A message accepted before a restart of this sender, which still needs its final answer.
    MessageRestored {
        /// The message.
        id: MsgId,
        /// Its class, by index. A class that no longer exists counts as [`Effect::Unsafe`].
        class: usize,
        /// Its order key, in classes that keep order.
        key: Option<String>,
        /// Its destination.
        dest: DestId,
        /// Time until its deadline.
        time_left: Micros,
        /// Attempts made before the restart.
        attempts: u32,
        /// How many of them reached no endpoint.
        unreached: u32,
        /// The endpoint and time of the first attempt that may have run. An attempt without a known outcome
        /// may have.
        may_have_run: Option<(EndpointId, Micros)>,
    },
    /// The health of an endpoint before a restart. Comes after the endpoint has been listed.
    EndpointHealthRestored {
        /// The endpoint.
        endpoint: EndpointId,
        /// From [`Dispatcher::endpoint_health`](crate::Dispatcher::endpoint_health).
        health: EndpointHealth,
    },
    /// The health of a receiver before a restart. Comes after the health of all its endpoints.
    ReceiverHealthRestored {
        /// The destination.
        dest: DestId,
        /// The endpoint, if it is a separate route.
        route: Option<EndpointId>,
        /// From [`Dispatcher::receiver_health`](crate::Dispatcher::receiver_health).
        health: ReceiverHealth,
    },
    /// The state of the dispatcher in the process that this one replaces. Comes after its endpoints have
    /// been listed.
    StateInherited(Box<DispatcherState>),
    /// The calls that this process's predecessor still has in flight. Comes after its messages have been
    /// restored; the outcomes follow as [`Event::Outcome`].
    CallsInherited(Vec<InFlightCall>),
    /// The sender ends at this time: no call may begin that would not end before it.
    Stopping {
        /// When.
        at: Micros,
    },
    /// The classes have changed. A message keeps the index of its class and follows the class now at that
    /// index.
    ClassesChanged(Vec<ClassSettings>),
    /// An attempt ended.
    Outcome {
        /// The message.
        id: MsgId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The endpoint that was called.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The message needs no further answer.
        closes_message: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// For [`Outcome::Busy`]: the wait that the receiver asked for; 0 if none.
        wait: Micros,
        /// The report on the limit that came with the answer.
        report: Option<LoadReport>,
    },
    /// A message that nobody waits for any more: it needs no final answer.
    MessageAbandoned {
        /// The message.
        id: MsgId,
    },
    /// A timer requested with [`Action::Timer`] has expired.
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
        /// The report on the limit that came with the answer.
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

/// An action that a dispatcher asks its sender to carry out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint.
    Send {
        /// The call. Sends of one round with the same number share a call, which ends at the longest of their
        /// timeouts.
        call: u64,
        /// The message.
        id: MsgId,
        /// The endpoint.
        endpoint: EndpointId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MsgId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused. Putting the message again does no harm.
    Refuse {
        /// The message.
        id: MsgId,
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Final answer: the message has failed.
    Fail {
        /// The message.
        id: MsgId,
    },
    /// Request an [`Event::Timer`].
    Timer {
        /// When.
        at: Micros,
        /// The token that the event returns.
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
    /// Broadcast a note to all other senders.
    Broadcast {
        /// The note's text, at most 256 bytes.
        text: String,
    },
}
