//! The deployment that all placement scenarios share: message classes, settings, and the judge's parameters.

use embershore_rehearsal::parameters::{Class, Effect, Parameters, Receiver, Rules, Sender, Tenant};
use embershore_rehearsal::span::Micros;
use serde_json::{Value, json};
use std::time::Duration;

/// The tenant of all messages in the placement tests.
pub const TENANT: &str = "acme";
/// How long a receiver remembers an idempotency key, in microseconds.
pub const KEY_WINDOW: Micros = 2_000_000;
/// Time from a client's `MSG.PUT` command to the message's deadline, in microseconds.
pub const DEADLINE: Micros = 2_500_000;
/// How long an ordering key's messages wait after an attempt that may still take effect, in microseconds.
const ORDER_SETTLE: Micros = 300_000;
/// How long after the start of a drain calls to the endpoint may still start, in microseconds.
const DRAIN_GRACE: Micros = 1_000_000;
const MAX_ATTEMPTS: u32 = 6;
const SLOTS: u32 = 40;

/// The values of a deployment that differ between scenarios.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of members in the first member list.
    pub members: usize,
    /// Number of sender processes that run but are not in the first member list.
    pub spares: usize,
    /// Number of destinations, which are numbered from 1.
    pub destinations: i64,
    /// Number of owners of a destination.
    pub replicas: usize,
    /// The lease: how long a sender may accept messages as an owner after an answer of its control agent.
    pub lease: Duration,
    /// How often a sender polls its control agent.
    pub poll_interval: Duration,
    /// Maximum delay with which a control agent serves an epoch.
    pub agent_lag: Duration,
    /// Maximum number of open messages of a sender.
    pub max_open: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            members: 12,
            spares: 0,
            destinations: 300,
            replicas: 2,
            lease: Duration::from_secs(2),
            poll_interval: Duration::from_millis(250),
            agent_lag: Duration::ZERO,
            max_open: 400,
        }
    }
}

impl Deployment {
    /// Returns the number of sender processes, spares included.
    pub fn processes(&self) -> usize {
        self.members + self.spares
    }

    /// Returns the hold: how long a sender accepts no message for a destination that it has newly gained.
    pub fn hold(&self) -> Duration {
        self.lease + self.agent_lag + Duration::from_micros(DEADLINE as u64)
    }

    /// Returns the section `settings` of a sender's configuration.
    pub fn settings(&self) -> Value {
        let profile = |class: &Class| {
            let effect = match class.effect {
                Effect::Safe => "free",
                Effect::Keyed => "guarded",
                Effect::Unsafe => "single_shot",
            };
            json!({"Name": class.name, "Effect": effect, "Group": "all", "HardLimitUs": class.deadline,
                   "ObjectiveUs": class.aim, "WindowUs": class.window, "Worth": class.worth,
                   "LateShare": class.late_share, "SerialByKey": class.ordered})
        };
        json!({
            "Azs": ["a", "b", "c"], "Balancers": 1, "Zone": 0, "QuantumUs": 5000,
            "Customers": [{"Name": TENANT, "QuotaRps": 100_000.0}],
            "FamilyInfo": {"BatchByKind": [1], "KindApart": [false], "Late": "line", "Workers": SLOTS},
            "Limits": {"Cancel": true, "ConnectTimeoutUs": 1_000_000, "IdleCloseUs": 5_000_000,
                       "MaxAttempts": MAX_ATTEMPTS, "MaxOpen": self.max_open, "MaxRetryAfterUs": 2_000_000,
                       "Probes": false, "SecondCopies": false, "StreamsPerConn": 1},
            "Profiles": classes().iter().map(profile).collect::<Vec<_>>(),
            "Rules": {"DrainGraceUs": DRAIN_GRACE, "FallMultiple": 2.0, "FallUs": 2_000_000,
                      "OrderSettleUs": ORDER_SETTLE, "ColdFrom": 0.5, "WarmUpUs": 1_000_000},
            "Shapes": ["one"], "Weights": "nominal",
        })
    }

    /// Returns the parameters of the scenario with which the judge works.
    pub fn parameters(&self, scenario: &str) -> Parameters {
        let receiver = |number| Receiver {
            number,
            kind: "one".into(),
            separate_routes: false,
            capacity: 1_000.0,
            rate: 1_000.0,
            cold_from: 0.5,
            warm_up: 1_000_000,
        };
        let sender = |index: usize| Sender {
            name: name(index),
            zone: zone(index).into(),
            slots: SLOTS,
            max_open: self.max_open,
        };
        Parameters {
            scenario: scenario.into(),
            seed: 0,
            length: 0,
            rules: Rules {
                drain_grace: DRAIN_GRACE,
                fall_multiple: 2.0,
                fall_window: 2_000_000,
                max_attempts: MAX_ATTEMPTS,
                second_copies: false,
                batch_weight: 1.0,
            },
            over_share_worth: 0.5,
            classes: classes(),
            tenants: vec![Tenant { name: TENANT.into(), quota: 100_000.0 }],
            receivers: (1..=self.destinations).map(receiver).collect(),
            senders: (0..self.processes()).map(sender).collect(),
        }
    }

    /// Returns the first member list, which is that of a new fleet without an earlier epoch.
    pub fn first_list(&self, addresses: &[String]) -> Value {
        let seats = (0..self.members).map(|index| seat(index, &addresses[index]));
        json!({
            "epoch": 1, "scheme": 1, "replicas": self.replicas, "first": true,
            "regions": [{"name": "r1", "share": 1}],
            "seats": seats.collect::<Vec<_>>(), "wide": [],
        })
    }
}

/// Returns the entry of a sender's seat in a member list, with the sender as its member.
pub fn seat(index: usize, address: &str) -> Value {
    let zone = zone(index);
    json!({"region": "r1", "zone": zone, "rack": format!("{zone}{}", index / 3), "weight": 1.0,
           "member": {"name": name(index), "address": address}})
}

/// Returns the name that a sender has in the member list.
pub fn name(index: usize) -> String {
    format!("n{index}")
}

fn zone(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

/// Returns the message classes by index: one for each effect, and an ordered class.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, effect: Effect, ordered: bool| Class {
        name: name.into(),
        effect,
        window: KEY_WINDOW,
        aim: 1_000_000,
        deadline: DEADLINE,
        worth: 1.0,
        late_share: 0.5,
        ordered,
        order_settle: if ordered { ORDER_SETTLE } else { 0 },
    };
    vec![
        class("push", Effect::Keyed, false),
        class("sync", Effect::Safe, false),
        class("pay", Effect::Unsafe, false),
        class("flow", Effect::Keyed, true),
    ]
}

/// Indices of the message classes in [`classes`].
pub const PUSH: usize = 0;
pub const SYNC: usize = 1;
pub const PAY: usize = 2;
pub const FLOW: usize = 3;
