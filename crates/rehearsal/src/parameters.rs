//! Parameters of a run: everything besides the recorded events that the judge needs.
//! The first record of the history contains the parameters.

use crate::span::Micros;
use serde::{Deserialize, Serialize};

/// Effect of delivering a message a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A repeated delivery is harmless.
    Safe,
    /// The receiver drops a repeated delivery as long as it remembers the message's key.
    Keyed,
    /// A repeated delivery takes effect again.
    Unsafe,
}

/// A class of messages, with its limits and the value of a delivered message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Effect of delivering a message of the class a second time.
    pub effect: Effect,
    /// How long a receiver remembers a key, from the first attempt that may have taken effect; only in a keyed class.
    pub window: Micros,
    /// Target delivery time (`aim`): a message of the class that is delivered within it counts with its full value.
    pub aim: Micros,
    /// Time within which a message of the class must be delivered.
    pub deadline: Micros,
    /// Value of a message of the class that is delivered within its target delivery time (`aim`).
    pub worth: f64,
    /// Share of a message's value that counts if the message is delivered at its deadline.
    pub late_share: f64,
    /// Whether messages of one key are sent one at a time, in the order in which the sender accepted them.
    pub ordered: bool,
    /// Time without messages of a key after an attempt that may still be processed; only in an ordered class.
    pub order_settle: Micros,
}

/// A tenant, on whose behalf clients send messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota in messages per second over all senders. [`Parameters::over_share_worth`] applies beyond the quota.
    pub quota: f64,
}

/// A receiver, as the scenario defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Receiver {
    /// Number by which records refer to the receiver.
    pub number: i64,
    /// Name of the receiver's kind.
    pub kind: String,
    /// Whether the receiver's endpoints are separate routes, each with its own limits, waits and outages.
    #[serde(rename = "apart")]
    pub separate_routes: bool,
    /// Messages per second that the receiver can handle when warm.
    pub capacity: f64,
    /// Calls per second that the receiver accepts from all senders together.
    pub rate: f64,
    /// Share of its capacity that the receiver has right after an outage.
    pub cold_from: f64,
    /// Time from the receiver's return until its capacity is fully back.
    pub warm_up: Micros,
}

impl Receiver {
    /// Returns the messages per second that the receiver can handle when `since` has passed after its return.
    pub fn capacity_after(&self, since: Micros) -> f64 {
        let warm = if self.warm_up <= 0 { 1.0 } else { (since.max(0) as f64 / self.warm_up as f64).min(1.0) };
        self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)
    }
}

/// Limits that the six rules use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time after the notification of a drain or removal within which calls to the endpoint must stop.
    pub drain_grace: Micros,
    /// Multiple of a cold receiver's current capacity above which the receiver is overloaded.
    pub fall_multiple: f64,
    /// Length of the overload window, over which the load is summed and compared with the overload limit.
    pub fall_window: Micros,
    /// Maximum number of attempts that a message may have.
    pub max_attempts: u32,
    /// Whether a message may have two attempts in flight simultaneously.
    pub second_copies: bool,
    /// Load of each message of a call except the call's first message, as a share of the first message's load.
    pub batch_weight: f64,
}

impl Rules {
    /// Lower bound of the overload limit. With a lower limit, one call of each sender would overload a small receiver.
    pub const MIN_OVERLOAD_LIMIT: f64 = 6.0;

    /// Returns the load in one [`Rules::fall_window`] above which a receiver is overloaded.
    /// `capacity` is the receiver's current capacity in messages per second.
    /// The allowance for random variation is the square root of the load allowed by the capacity and its multiple.
    pub fn overload_limit(&self, capacity: f64) -> f64 {
        let budget = self.fall_multiple * capacity * self.fall_window as f64 / 1e6;
        (budget + budget.sqrt()).max(Self::MIN_OVERLOAD_LIMIT)
    }

    /// Returns the load of a call with the given number of messages.
    pub fn weight(&self, messages: usize) -> f64 {
        1.0 + self.batch_weight * messages.saturating_sub(1) as f64
    }
}

/// A sender, with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the sender.
    pub name: String,
    /// Zone in which the sender runs.
    pub zone: String,
    /// Maximum number of the sender's calls in flight.
    pub slots: u32,
    /// Maximum number of the sender's open messages.
    pub max_open: u32,
}

/// Everything of a scenario that a verdict depends on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Length of the planned traffic, in microseconds.
    pub length: Micros,
    /// Limits that the six rules use.
    pub rules: Rules,
    /// Value of a delivered message beyond its tenant's quota, as a share of the message's normal value.
    pub over_share_worth: f64,
    /// Classes of messages. Other records refer to a class by its index.
    pub classes: Vec<Class>,
    /// Tenants of the run. Other records refer to a tenant by its index.
    pub tenants: Vec<Tenant>,
    /// Receivers of the run. Other records refer to a receiver by its number.
    pub receivers: Vec<Receiver>,
    /// Senders of the run. Other records refer to a sender by its index.
    pub senders: Vec<Sender>,
}
