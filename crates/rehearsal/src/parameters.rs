//! The parameters of a run: what the judge must know besides what happened. They stand in the history's first record.

use crate::span::Micros;
use serde::{Deserialize, Serialize};

/// What a second delivery of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat is dropped by the receiver while it remembers the key.
    Keyed,
    /// A repeat takes effect again.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat would do.
    pub effect: Effect,
    /// In a keyed class: how long a receiver remembers a key, from the first send that may have run.
    pub window: Micros,
    /// Delivered within this span, a message earns its full worth.
    pub aim: Micros,
    /// The whole span in which it may be delivered.
    pub deadline: Micros,
    /// Worth of a message delivered in time.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    /// Messages with the same key go one at a time, in the order in which the sender accepted them.
    pub ordered: bool,
    /// In an ordered class: how long a key rests after an attempt that may still run.
    pub order_settle: Micros,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second within its share, over all senders; beyond it they are worth little.
    pub quota: f64,
}

/// A receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Receiver {
    /// Its number.
    pub number: i64,
    /// Its kind's name.
    pub kind: String,
    /// Its endpoints are separate routes, each with limits, waits and outages of its own.
    #[serde(rename = "apart")]
    pub separate_routes: bool,
    /// Messages a second that it can handle when warm.
    pub capacity: f64,
    /// Calls a second that it takes from all senders together.
    pub rate: f64,
    /// Share of its capacity with which it returns from an outage.
    pub cold_from: f64,
    /// Time until it has all of it again.
    pub warm_up: Micros,
}

impl Receiver {
    /// Messages a second that it can handle so long after it came back.
    pub fn capacity_after(&self, since: Micros) -> f64 {
        let warm = if self.warm_up <= 0 { 1.0 } else { (since.max(0) as f64 / self.warm_up as f64).min(1.0) };
        self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)
    }
}

/// Figures of the six rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Grace in which sends to a draining or gone endpoint must end.
    pub drain_grace: Micros,
    /// Multiple of its present capacity at which a cold receiver falls over.
    pub fall_multiple: f64,
    /// Time for which that must last.
    pub fall_window: Micros,
    /// Attempts of a message at most.
    pub max_attempts: u32,
    /// A message may have two attempts out at once.
    pub second_copies: bool,
    /// What each further message of a call adds to the load, as a part of what the first does.
    pub batch_weight: f64,
}

impl Rules {
    /// A small receiver may be sent this much in one span whatever its capacity: below that, one call of
    /// each sender would do to push it over.
    pub const MIN_OVERLOAD_LIMIT: f64 = 6.0;

    /// The load in one span of [`Rules::fall_window`] beyond which a receiver falls over that can handle `capacity`
    /// messages a second at the moment. There is a little slack for chance: one deviation of as many arrivals.
    pub fn overload_limit(&self, capacity: f64) -> f64 {
        let budget = self.fall_multiple * capacity * self.fall_window as f64 / 1e6;
        (budget + budget.sqrt()).max(Self::MIN_OVERLOAD_LIMIT)
    }

    /// What a call of so many messages adds to the load.
    pub fn weight(&self, messages: usize) -> f64 {
        1.0 + self.batch_weight * messages.saturating_sub(1) as f64
    }
}

/// A sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Its building.
    pub zone: String,
    /// Calls that it may have out at once.
    pub slots: u32,
    /// Messages that it may hold.
    pub max_open: u32,
}

/// Everything of a scenario that a verdict depends on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the run.
    pub seed: u64,
    /// How long traffic was planned for.
    pub length: Micros,
    /// Figures of the rules.
    pub rules: Rules,
    /// Worth of a message beyond its tenant's quota, as a share.
    pub over_share_worth: f64,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Receivers.
    pub receivers: Vec<Receiver>,
    /// Senders, by index.
    pub senders: Vec<Sender>,
}
