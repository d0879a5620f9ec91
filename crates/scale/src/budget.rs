//! Budgets: named upper bounds of metrics. A metric over its budget makes the command fail with the budget's name.

use serde::Serialize;

/// An upper bound for the median of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Budget {
    /// Name of the budget on the command line, in the report and in `docs/CAPACITY.md`.
    pub name: &'static str,
    /// Largest permitted median of the metric, in the metric's unit.
    pub limit: f64,
    /// Reason for the budget's limit, as the report shows it.
    pub reason: &'static str,
}

/// Budget of the memory that a sender may use for control.
pub const SENDER_MEMORY: Budget =
    Budget { name: "sender-memory", limit: 32e6, reason: "target: 32 MB per sender for control" };
/// Budget of the processor time that a sender may use for the decision module's idle rounds.
pub const SENDER_CPU: Budget =
    Budget { name: "sender-cpu", limit: 0.036, reason: "target: 3.6% of a core per sender for control" };
/// Budget of the control traffic to or from a single sender.
pub const SENDER_TRAFFIC: Budget =
    Budget { name: "sender-traffic", limit: 5_000.0, reason: "target: 5 KB/s per sender for control" };
/// Budget of the time from a change until the change is in force at every sender.
pub const CHANGE_TIME: Budget = Budget {
    name: "change-time",
    limit: 18.0,
    reason: "target: a change is in force everywhere within 18 s",
};
/// Budget of the time from a restart of a sender until the sender is ready.
pub const READY_TIME: Budget = Budget {
    name: "ready-time",
    limit: 10.0,
    reason: "target: nine in ten restarted senders are ready within 10 s",
};
/// Budget of the processor time that messages may take, as a share of the sender's single thread.
pub const MESSAGE_CPU: Budget = Budget {
    name: "message-cpu",
    limit: 0.5,
    reason: "the sender has one thread; above half a core its queue grows at every burst",
};
/// Budget of the resident bytes for each destination in the endpoint list.
pub const LIST_BYTES: Budget = Budget {
    name: "list-bytes",
    limit: 5_000.0,
    reason: "twice the value measured before this budget was set; detects a fault, is not a target",
};
/// Budget of the resident bytes for each queued message.
pub const HELD_BYTES: Budget = Budget {
    name: "held-bytes",
    limit: 3_000.0,
    reason: "twice the value measured before this budget was set (200-byte body)",
};
/// Budget of the journal bytes for each queued message.
pub const HELD_JOURNAL: Budget = Budget {
    name: "held-journal",
    limit: 600.0,
    reason: "twice the value measured before this budget was set (200-byte body)",
};
/// Budget of the time to build the placement table.
pub const TABLE_BUILD: Budget =
    Budget { name: "table-build", limit: 1.0, reason: "1 s of one core for 15,000 members" };
/// Budget of the size of the placement table.
pub const TABLE_BYTES: Budget =
    Budget { name: "table-bytes", limit: 8e6, reason: "8 MB of the 32 MB per sender" };
/// Budget of the time to apply one change to the placement table.
pub const TABLE_CHANGE: Budget =
    Budget { name: "table-change", limit: 0.005, reason: "5 ms, the daemon's quantum" };
/// Budget of the time of one lookup in the placement table.
pub const TABLE_LOOKUP: Budget =
    Budget { name: "table-lookup", limit: 1e-6, reason: "1 us, a hundredth of the cost of a message" };
/// Budget of the load of the busiest owner, divided by the mean load of the owner's region.
pub const BUSIEST_OWNER: Budget =
    Budget { name: "busiest-owner", limit: 1.15, reason: "evenness of the placement" };
/// Budget of the number of owner positions that move when a member is removed or added.
/// The number is divided by the number of the member's own positions.
pub const MOVEMENT: Budget =
    Budget { name: "movement", limit: 1.3, reason: "a change moves little more than it must" };
/// Budget of the number of owner positions that move between members that were neither added nor removed.
/// An owner position is the place of one owner in one shard.
pub const MOVED_BETWEEN_OTHERS: Budget =
    Budget { name: "moved-between-others", limit: 0.0, reason: "no handover without need" };
/// Budget of the busiest owner's load after the loss of a zone, divided by the new mean of the owner's region.
pub const ZONE_LOST: Budget =
    Budget { name: "zone-lost", limit: 1.35, reason: "evenness with a zone of a region lost" };
/// Budget of the number of shards without an owner.
pub const SHARDS_WITHOUT_OWNER: Budget =
    Budget { name: "shards-without-owner", limit: 0.0, reason: "every destination has an owner" };
/// Budget of the relative deviation of a simulated result from the result of real processes.
pub const SIMULATED_AGAINST_REAL: Budget = Budget {
    name: "hollow-against-real",
    limit: 0.2,
    reason: "a fifth; docs/CAPACITY.md explains any larger deviation",
};

/// All budgets whose limit the command line can override.
pub const ALL: [Budget; 19] = [
    SENDER_MEMORY,
    SENDER_CPU,
    SENDER_TRAFFIC,
    CHANGE_TIME,
    READY_TIME,
    MESSAGE_CPU,
    LIST_BYTES,
    HELD_BYTES,
    HELD_JOURNAL,
    TABLE_BUILD,
    TABLE_BYTES,
    TABLE_CHANGE,
    TABLE_LOOKUP,
    BUSIEST_OWNER,
    MOVEMENT,
    MOVED_BETWEEN_OTHERS,
    ZONE_LOST,
    SHARDS_WITHOUT_OWNER,
    SIMULATED_AGAINST_REAL,
];

/// Limits from `--budget` arguments, which replace the limits of the named budgets.
#[derive(Clone, Debug, Default)]
pub struct Overrides(Vec<(&'static str, f64)>);

/// A `--budget` argument that is not valid.
#[derive(Debug, thiserror::Error)]
pub enum OverrideError {
    /// The `--budget` argument is not a name and a number.
    #[error("'{0}' is not NAME=LIMIT, as in table-bytes=8e6")]
    Form(String),
    /// There is no budget with the name in the `--budget` argument.
    #[error("there is no budget '{name}'; the budgets are: {}", ALL.map(|budget| budget.name).join(", "))]
    Name {
        /// The unknown name of a budget.
        name: String,
    },
}

impl Overrides {
    /// Parses the `NAME=LIMIT` pairs of `--budget` arguments.
    ///
    /// # Errors
    /// Fails for a `NAME=LIMIT` pair that can't be parsed, or a name that no budget has.
    pub fn parse(pairs: &[String]) -> Result<Self, OverrideError> {
        let read = |pair: &String| {
            let (name, limit) = pair.split_once('=').ok_or_else(|| OverrideError::Form(pair.clone()))?;
            let limit: f64 = limit.parse().map_err(|_| OverrideError::Form(pair.clone()))?;
            let known = ALL.iter().find(|budget| budget.name == name);
            Ok((known.ok_or_else(|| OverrideError::Name { name: name.into() })?.name, limit))
        };
        Ok(Overrides(pairs.iter().map(read).collect::<Result<_, OverrideError>>()?))
    }

    /// Returns the budget with the limit of the last `--budget` argument for its name, if there is one.
    pub fn applied(&self, budget: Budget) -> Budget {
        let limit = self.0.iter().rev().find(|(name, _)| *name == budget.name);
        Budget { limit: limit.map_or(budget.limit, |(_, limit)| *limit), ..budget }
    }
}
