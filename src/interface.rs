//! The inputs and outputs of a [`Dispatcher`](crate::Dispatcher): settings, events and actions.

use crate::handover::{DispatcherState, InFlightCall};
use std::fmt;

/// A time on the sender's own clock or a span of time, in microseconds.
pub type Micros = i64;

/// The sender's number for a message. A sender never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MsgId(pub u64);

/// The sender's number for an endpoint. The number is unchanged if the endpoint returns to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Stands for an endpoint that is in no endpoint list of this sender.
    pub const UNKNOWN: EndpointId = EndpointId(u32::MAX);
}

/// The number of a destination: the receiver that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DestId(pub i64);

/// The effect of delivering a message to its receiver a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// A second delivery of a message does no harm.
    Safe,
    /// The message has an idempotency key.
    /// The destination uses the key to drop repeated deliveries within the class's idempotency window (`window`).
    Keyed,
    /// A second delivery of a message takes effect again.
    #[default]
    Unsafe,
}

/// Which endpoints of a destination share the memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints of a destination share the memory of idempotency keys.
    #[default]
    All,
    /// A destination's endpoints in one zone share the memory of idempotency keys.
    Zone,
    /// No endpoints share the memory of keys: each endpoint remembers only the keys that it received itself.
    Endpoint,
}

/// How a message's delivery value (`worth`) decays after its target delivery time (`aim`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LateDecay {
    /// The message's delivery value (`worth`) falls linearly, down to the late share at the deadline.
    #[default]
    Linear,
    /// The message's delivery value halves with each further period as long as `aim`, down to the late share.
    Halving,
}

/// The settings of a class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Target delivery time: age up to which a delivered message has its full value (`worth`).
    pub aim: Micros,
    /// Age up to which a message may be delivered.
    pub deadline: Micros,
    /// The effect of delivering a message of this class a second time.
    pub effect: Effect,
    /// For keyed classes: which endpoints share the memory of idempotency keys.
    pub dedup_scope: DedupScope,
    /// For keyed classes: how long the destination drops repeats, from the first attempt that may have taken effect.
    pub window: Micros,
    /// Whether messages with the same order key are delivered one at a time, in order.
    pub ordered: bool,
    /// Value of a message that is delivered within its target delivery time (`aim`).
    pub worth: f64,
    /// Late share: the share of a message's delivery value (`worth`) that is left at the deadline.
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
    /// Whether each endpoint is a separate route with its own limit, pace and outages.
    pub separate_routes: bool,
}

/// The settings of a tenant. The delivery of messages beyond the tenant's quota has less value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's quota: messages a second, through all senders together, that have their full delivery value.
    pub quota: f64,
}

/// The meaning of the weights in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// Weights have no meaning and are ignored.
    #[default]
    Ignored,
    /// A weight is the calls a second that the destination or route accepts from all senders together.
    Nominal,
    /// A weight is a rate of calls as with `Nominal`, but may be wrong by up to one half in either direction.
    Approximate,
}

/// The settings that a dispatcher is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of senders, including this one.
    pub senders: u32,
    /// This sender's zone.
    pub zone: usize,
    /// Maximum number of this sender's calls in flight.
    pub slots: u32,
    /// Maximum number of open messages, both sent and not yet sent.
    pub max_open: u32,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Whether a message may have two attempts in flight.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether notes may be broadcast to the other senders.
    pub peers: bool,
    /// The longest retry-after time that clients observe.
    pub max_retry_after: Micros,
    /// Idle time after which a connection is closed. Calls prefer endpoints that were used within this time.
    pub idle_close: Micros,
    /// Whether a connection carries further calls after its first one.
    pub reuses_connections: bool,
    /// Maximum number of concurrent calls on one connection.
    pub streams_per_conn: u32,
    /// Minimum time between two rounds of the dispatcher.
    pub quantum: Micros,
    /// Grace period within which calls to a draining or removed endpoint must end.
    pub drain_grace: Micros,
    /// Load at which a cold destination is overloaded and fails, as a multiple of its present capacity.
    pub fall_multiple: f64,
    /// Time window over which a destination's load is counted for comparison with `fall_multiple`.
    pub fall_window: Micros,
    /// Share of its full capacity that a destination has when it returns from an outage.
    pub cold_from: f64,
    /// Time from a destination's return until the destination has its full capacity.
    pub warm_up: Micros,
    /// For ordered classes: how long a key's next message waits after an attempt that the receiver may still process.
    pub order_settle: Micros,
    /// How a message's delivery value (`worth`) decays after its target delivery time (`aim`).
    pub late_decay: LateDecay,
    /// Delivery value of a message beyond its tenant's quota, as a share of its value within the quota.
    pub over_share_worth: f64,
    /// The meaning of the weights in endpoint lists.
    pub weights: WeightMeaning,
    /// Price of an attempt at an endpoint in another zone than the sender's.
    pub cross_zone_price: f64,
    /// Price of a new connection to an endpoint.
    pub handshake_price: f64,
    /// For each zone: the fee for each message to a separate route in the zone.
    pub zone_fees: Vec<f64>,
    /// Settings of the message classes, by class index.
    pub classes: Vec<ClassSettings>,
    /// Settings of the kinds of destination, by kind index.
    pub kinds: Vec<KindSettings>,
    /// Settings of the tenants, by tenant index; may be empty.
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
            reuses_connections: true,
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

/// A value in the settings that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field's name in [`Settings`], or in [`ClassSettings`] if `class` is given.
    pub field: &'static str,
    /// Index of the class that the field belongs to.
    pub class: Option<usize>,
    /// The condition that the value must meet, such as "at least 1".
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
    /// Returns the maximum number of messages in one call to a kind; 1 for an unknown kind.
    pub(crate) fn max_batch(&self, kind: usize) -> u32 {
        self.kinds.get(kind).map_or(1, |k| k.max_batch.max(1))
    }

    /// Checks the values that the dispatcher relies on.
    ///
    /// # Errors
    /// Returns an error for the first value that is out of range.
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

/// Maximum time between rounds: with a longer time no message would be delivered in time.
const MAX_QUANTUM_US: Micros = 1_000_000;
/// Maximum time span in the settings. Longer spans are rejected as mistakes.
/// The maximum also keeps sums of times from overflowing.
pub(crate) const MAX_SPAN_US: Micros = 366 * 24 * 3600 * 1_000_000;

/// An endpoint's status in the list from discovery, which is independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The endpoint accepts messages.
    Up,
    /// No new messages must be sent to the endpoint.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The sender's number for the endpoint.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub dest: DestId,
    /// Whether the endpoint accepts messages, is draining or no longer exists.
    pub status: Status,
    /// Index of the destination's kind in [`Settings::kinds`].
    pub kind: usize,
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// The endpoint's weight, if the endpoint list contains one; see [`WeightMeaning`].
    pub weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The message was delivered.
    Done,
    /// The endpoint answered with an error; the message may have taken effect at the receiver.
    Error,
    /// The receiver refused the message without processing it.
    /// Reasons for a refusal are a rate limit, a full queue, a shutdown or draining.
    Busy,
    /// No answer came in time; the receiver may have processed the message or may still be processing it.
    TimedOut,
    /// The connection could not be established; the receiver did not process the message.
    ConnectFailed,
    /// The connection was lost before the answer; the message may have taken effect at the receiver.
    Reset,
    /// The answer could not be parsed; the message may have taken effect. The simulator does not report this outcome.
    #[cfg_attr(feature = "serde", serde(rename = "Spoilt"))]
    MalformedAnswer,
    /// The attempt was cancelled; the message may have taken effect at the receiver.
    Cancelled,
    /// The message was not sent: no slot was free, the message was closed, or its attempts were used up.
    Skipped,
    /// No connection was established and no byte written.
    /// No endpoint received the attempt, so the attempt does not count against the maximum.
    /// The simulator does not report this outcome.
    Unreached,
}

impl Outcome {
    /// Returns whether this outcome proves that the receiver did not process the message in this attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Busy | Outcome::ConnectFailed | Outcome::Skipped | Outcome::Unreached)
    }

    /// Returns whether no byte of the request was written in this attempt.
    pub fn never_sent(self) -> bool {
        matches!(self, Outcome::Skipped | Outcome::Unreached)
    }

    /// Returns whether no connection was established.
    /// A connection that was lost before the request was written counts as not established.
    pub(crate) fn is_unconnected(self) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::Unreached)
    }
}

/// An endpoint's report on its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Share of the calls allowed by the rate limit that is still unused.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub remaining: Option<f64>,
    /// Rate limit in calls a second; 0 if there is no limit.
    pub limit: Option<f64>,
}

/// The health of an endpoint, which a sender persists over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    /// The time of the first failure since the last success, if there is one.
    pub failing_since: Option<Micros>,
    /// Whether the endpoint is unhealthy and receives only single trials.
    pub unhealthy: bool,
    /// When the endpoint returned from an outage, if its warm-up has not ended.
    pub warming_since: Option<Micros>,
}

/// The health of a receiver as a whole, which a sender persists over a restart.
/// A receiver is a destination, or one route of a destination where routes are separate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiverHealth {
    /// The time of the first failure since the last success, if there is one.
    pub failing_since: Option<Micros>,
    /// Whether the whole receiver is considered down.
    pub down: bool,
    /// When the receiver returned from an outage, if its warm-up has not ended.
    pub warming_since: Option<Micros>,
    /// The end of the wait that the receiver asked for, if it asked for one.
    pub wait_until: Option<Micros>,
    /// The sender's call budget after refusals, in thousandths of a call a second.
    pub budget_milli_per_s: Option<u32>,
    /// The sender's own traffic to the receiver, in thousandths of a message a second.
    pub traffic_milli_per_s: Option<u32>,
}

impl ReceiverHealth {
    /// The health that is assumed for a receiver whose health before the restart is not known.
    pub const UNKNOWN: ReceiverHealth = ReceiverHealth {
        failing_since: None,
        down: true,
        warming_since: None,
        wait_until: None,
        budget_milli_per_s: None,
        traffic_milli_per_s: None,
    };
}

/// An event that a sender reports to its dispatcher.
/// Events that name an unknown message or endpoint are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list from discovery, or changes to the endpoint list.
    Listing {
        /// Whether the endpoint list is complete, so that endpoints missing from `entries` no longer exist.
        complete: bool,
        /// All entries of a complete endpoint list, or the changed entries.
        entries: Vec<EndpointEntry>,
    },
    /// A message to deliver. Every message gets exactly one final answer.
    Message {
        /// The sender's number for the message.
        id: MsgId,
        /// Index of the message's class in [`Settings::classes`].
        class: usize,
        /// Index of the message's tenant in [`Settings::tenants`].
        tenant: usize,
        /// The message's order key, in classes that keep order.
        key: Option<String>,
        /// The destination of the message.
        dest: DestId,
        /// Time until the message's deadline.
        time_left: Micros,
        /// Whether the client is known to have submitted the message before.
        resubmitted: bool,
        /// The earliest time at which an attempt of another sender may have taken effect.
        /// The value comes from [`ClassSettings::possible_run_at_lost_sender`]; `None` if no other sender had the message.
        may_have_run_since: Option<Micros>,
    },
    /// A message accepted before a restart of this sender, which still needs its final answer.
    MessageRestored {
        /// The sender's number for the message.
        id: MsgId,
        /// Index of the message's class. A class that no longer exists counts as [`Effect::Unsafe`].
        class: usize,
        /// The message's order key, in classes that keep order.
        key: Option<String>,
        /// The destination of the message.
        dest: DestId,
        /// Time until the message's deadline.
        time_left: Micros,
        /// Number of attempts made before the restart.
        attempts: u32,
        /// Number of attempts before the restart that reached no endpoint.
        unreached: u32,
        /// The endpoint and time of the first attempt that may have taken effect at the receiver.
        /// Attempts without a known outcome may have taken effect.
        may_have_run: Option<(EndpointId, Micros)>,
    },
    /// The health of an endpoint before a restart.
    /// The event with the health must be sent after the [`Event::Listing`] that contains the endpoint.
    EndpointHealthRestored {
        /// The sender's number for the endpoint.
        endpoint: EndpointId,
        /// The value from [`Dispatcher::endpoint_health`](crate::Dispatcher::endpoint_health).
        health: EndpointHealth,
    },
    /// The health of a receiver before a restart. Must be sent after the health of all its endpoints.
    ReceiverHealthRestored {
        /// The receiver's destination.
        dest: DestId,
        /// The receiver's endpoint, if the receiver is a separate route.
        route: Option<EndpointId>,
        /// The value from [`Dispatcher::receiver_health`](crate::Dispatcher::receiver_health).
        health: ReceiverHealth,
    },
    /// The state of the dispatcher in the process that this process replaces.
    /// The event with the state must be sent after the [`Event::Listing`] that contains the endpoints.
    StateInherited(Box<DispatcherState>),
    /// The calls that the replaced process still has in flight.
    /// The event with the calls must be sent after the replaced process's messages have been restored, in the same round.
    /// Without its call, a restored message whose attempts are used up would end before the call's outcome.
    /// The outcomes of the calls follow as [`Event::Outcome`].
    CallsInherited(Vec<InFlightCall>),
    /// The sender stops at the time `at`. No call is started that is expected to end after that time.
    Stopping {
        /// The time at which the sender stops.
        at: Micros,
    },
    /// The class settings have changed.
    /// A message keeps its class index and follows the new class at that index.
    ClassesChanged(Vec<ClassSettings>),
    /// An attempt to deliver a message ended.
    Outcome {
        /// The sender's number for the message.
        id: MsgId,
        /// Number of the message's attempt, counted from 0.
        attempt: u32,
        /// The endpoint that was called.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the message needs no further answer.
        closes_message: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// With [`Outcome::Busy`], the wait that the receiver asked for; 0 if it asked for none.
        wait: Micros,
        /// The endpoint's report on its limit, if the answer contained one.
        report: Option<LoadReport>,
    },
    /// The client of a message has abandoned the message, which needs no final answer.
    MessageAbandoned {
        /// The sender's number for the message.
        id: MsgId,
    },
    /// A timer requested with [`Action::Timer`] has expired.
    Timer {
        /// The token of the [`Action::Timer`].
        token: u64,
    },
    /// A probe of an endpoint ended.
    Probed {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
        /// The endpoint's report on its limit, if the answer contained one.
        report: Option<LoadReport>,
    },
    /// A note (a short text) that another sender broadcast.
    PeerNote {
        /// Number of the sender that broadcast the note.
        from: u32,
        /// The note's text.
        text: String,
    },
}

/// An action that a dispatcher asks its sender to carry out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint.
    Send {
        /// Number of the call. `Send` actions of one round with the same number share a call.
        /// A call that carries several messages ends at the longest timeout of its `Send` actions.
        call: u64,
        /// The sender's number for the message.
        id: MsgId,
        /// The endpoint to which the message is sent.
        endpoint: EndpointId,
        /// How long the sender waits for the endpoint's answer.
        timeout: Micros,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The sender's number for the message.
        id: MsgId,
        /// Number of the message's attempt, counted from 0.
        attempt: u32,
    },
    /// Refuse the message as its final answer. The client may submit the message again without harm.
    Refuse {
        /// The sender's number for the message.
        id: MsgId,
        /// How long the client should wait before it submits the message again.
        retry_after: Micros,
    },
    /// Fail the message as its final answer.
    Fail {
        /// The sender's number for the message.
        id: MsgId,
    },
    /// Request an [`Event::Timer`] at the time `at`.
    Timer {
        /// The time at which the timer expires.
        at: Micros,
        /// The token that the [`Event::Timer`] returns.
        token: u64,
    },
    /// Probe an endpoint, which sends no message.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint whose idle connections are closed.
        endpoint: EndpointId,
    },
    /// Broadcast a note to all other senders.
    Broadcast {
        /// The note's text, at most 256 bytes.
        text: String,
    },
}
