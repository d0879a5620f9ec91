//! The stored forms of messages, class rules and health, independent of the dispatcher's types.

use bytes::Bytes;
use embershore_protocol::notice::End;
use heronroute::{ClassSettings, DedupScope, Effect, Micros, ReceiverHealth};
use serde::{Deserialize, Serialize};

/// A message as the client submitted it. Times are microseconds of the sender's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    pub request_id: String,
    pub class: String,
    pub order_key: String,
    pub idempotency_key: Option<String>,
    pub dest: i64,
    pub deadline: Micros,
    pub body: Bytes,
}

/// The class rules under which messages were accepted, in a stored form that is independent of the dispatcher's types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    aim: Micros,
    pub(super) deadline: Micros,
    /// The class's effect: 0 safe, 1 keyed, 2 unsafe.
    effect: u8,
    /// Deduplication scope: 0 all endpoints, 1 one zone, 2 one endpoint.
    group: u8,
    window: Micros,
    ordered: bool,
    worth: f64,
    late_share: f64,
    attempts: Option<u32>,
}

impl From<&ClassSettings> for Rules {
    fn from(class: &ClassSettings) -> Self {
        let effect = match class.effect {
            Effect::Safe => 0,
            Effect::Keyed => 1,
            Effect::Unsafe => 2,
        };
        let group = match class.dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => 1,
            DedupScope::Endpoint => 2,
        };
        let ClassSettings {
            aim, deadline, window, ordered, worth, late_share, max_attempts: attempts, ..
        } = *class;
        Rules { aim, deadline, effect, group, window, ordered, worth, late_share, attempts }
    }
}

impl From<&Rules> for ClassSettings {
    fn from(rules: &Rules) -> Self {
        let Rules { aim, deadline, window, ordered, worth, late_share, attempts, .. } = *rules;
        let effect = match rules.effect {
            0 => Effect::Safe,
            1 => Effect::Keyed,
            // An effect value that a later version may write is read as the most restrictive effect.
            _ => Effect::Unsafe,
        };
        let group = match rules.group {
            0 => DedupScope::All,
            1 => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        };
        ClassSettings {
            aim,
            deadline,
            effect,
            dedup_scope: group,
            window,
            ordered,
            worth,
            late_share,
            max_attempts: attempts,
        }
    }
}

/// An attempt: the endpoint's name and the time at which the attempt began.
pub type Attempt = (String, Micros);

/// The progress of a message: its attempts and its final outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub attempts: u32,
    /// The message's attempt that has no outcome yet, if there is one.
    pub in_flight: Option<Attempt>,
    /// The message's first ended attempt that may have taken effect at the receiver.
    pub may_have_run: Option<Attempt>,
    /// The message's final outcome, until the platform has confirmed the notice.
    pub end: Option<End>,
}

impl Progress {
    /// Returns the first attempt that may have taken effect at the receiver, possibly the attempt in flight.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.may_have_run.as_ref().or(self.in_flight.as_ref())
    }
}

/// The stored form of [`EndpointHealth`], independent of the dispatcher's types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndpointCondition {
    pub(super) bad_since: Option<Micros>,
    pub(super) trouble: bool,
    pub(super) warm_since: Option<Micros>,
}

/// A receiver: a destination by number, or one route of it by endpoint name where routes are separate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Receiver {
    Destination(i64),
    Route(i64, String),
}

/// The stored form of [`ReceiverHealth`], independent of the dispatcher's types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReceiverCondition {
    pub(super) bad_since: Option<Micros>,
    down: bool,
    pub(super) warm_since: Option<Micros>,
    wait_until: Option<Micros>,
    budget: Option<u32>,
    share: Option<u32>,
}

impl From<ReceiverHealth> for ReceiverCondition {
    fn from(health: ReceiverHealth) -> Self {
        let ReceiverHealth {
            failing_since: bad_since,
            down,
            warming_since: warm_since,
            wait_until,
            budget_milli_per_s: budget,
            traffic_milli_per_s: share,
        } = health;
        ReceiverCondition { bad_since, down, warm_since, wait_until, budget, share }
    }
}

impl From<ReceiverCondition> for ReceiverHealth {
    fn from(condition: ReceiverCondition) -> Self {
        let ReceiverCondition { bad_since, down, warm_since, wait_until, budget, share } = condition;
        ReceiverHealth {
            failing_since: bad_since,
            down,
            warming_since: warm_since,
            wait_until,
            budget_milli_per_s: budget,
            traffic_milli_per_s: share,
        }
    }
}
