//! Budgets by name. A measured figure that crosses one makes the command fail with the budget's name.

use serde::Serialize;

/// An upper bound of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Budget {
    /// How it is called on the command line, in the report and in `docs/CAPACITY.md`.
    pub name: &'static str,
    /// The figure may be this at the most, in the figure's own unit.
    pub limit: f64,
    /// Why it is this.
    pub reason: &'static str,
}

/// Memory that control may take at a sender.
pub const SENDER_MEMORY: Budget =
    Budget { name: "sender-memory", limit: 32e6, reason: "32 MB a sender for control, given" };
/// The decision module's idle rounds at a sender.
pub const SENDER_CPU: Budget =
    Budget { name: "sender-cpu", limit: 0.036, reason: "3.6% of a core a sender for control, given" };
/// What control sends to, or receives from, one sender.
pub const SENDER_TRAFFIC: Budget =
    Budget { name: "sender-traffic", limit: 5_000.0, reason: "5 KB a second a sender for control, given" };
/// From a change to its being in force everywhere.
pub const CHANGE_TIME: Budget =
    Budget { name: "change-time", limit: 18.0, reason: "18 s for a change everywhere, given" };
/// From a restart to readiness.
pub const READY_TIME: Budget =
    Budget { name: "ready-time", limit: 10.0, reason: "nine in ten restarted senders ready in 10 s, given" };
/// What messages take of a sender's one thread.
pub const MESSAGE_CPU: Budget = Budget {
    name: "message-cpu",
    limit: 0.5,
    reason: "the sender is one thread; above half of a core its queue grows at each burst",
};
/// Resident bytes for each listed destination.
pub const LIST_BYTES: Budget = Budget {
    name: "list-bytes",
    limit: 5_000.0,
    reason: "twice what was measured before this budget was set: guards against a fault, not against the target",
};
/// Resident bytes for each held message.
pub const HELD_BYTES: Budget = Budget {
    name: "held-bytes",
    limit: 3_000.0,
    reason: "twice what was measured before this budget was set (200-byte body)",
};
/// Journal bytes for each held message.
pub const HELD_JOURNAL: Budget = Budget {
    name: "held-journal",
    limit: 600.0,
    reason: "twice what was measured before this budget was set (200-byte body)",
};
/// The placement table's build.
pub const TABLE_BUILD: Budget =
    Budget { name: "table-build", limit: 1.0, reason: "1 s of one core for 15,000 members" };
/// The placement table's size.
pub const TABLE_BYTES: Budget = Budget { name: "table-bytes", limit: 8e6, reason: "8 MB of the sender's 32" };
/// One change of the placement table.
pub const TABLE_CHANGE: Budget =
    Budget { name: "table-change", limit: 0.005, reason: "5 ms, the daemon's quantum" };
/// One lookup in the placement table.
pub const TABLE_LOOKUP: Budget =
    Budget { name: "table-lookup", limit: 1e-6, reason: "1 us, a hundredth of a message's cost" };
/// The busiest owner by the mean of its region.
pub const BUSIEST_OWNER: Budget =
    Budget { name: "busiest-owner", limit: 1.15, reason: "evenness of the placement" };
/// What one lost or added member moves, by its own share.
pub const MOVEMENT: Budget =
    Budget { name: "movement", limit: 1.3, reason: "a change moves hardly more than what it must" };
/// Positions that moved between members that neither came nor went.
pub const MOVED_BETWEEN_OTHERS: Budget =
    Budget { name: "moved-between-others", limit: 0.0, reason: "no handover without need" };
/// The busiest owner after a zone was lost, by the new mean of its region.
pub const ZONE_LOST: Budget =
    Budget { name: "zone-lost", limit: 1.35, reason: "evenness with a zone of a region lost" };
/// Shards without an owner.
pub const SHARDS_WITHOUT_OWNER: Budget =
    Budget { name: "shards-without-owner", limit: 0.0, reason: "every destination has an owner" };
/// How far a hollow result may lie from that of real processes.
pub const HOLLOW_AGAINST_REAL: Budget =
    Budget { name: "hollow-against-real", limit: 0.2, reason: "a fifth, or the page says why not" };

/// Every budget.
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
    HOLLOW_AGAINST_REAL,
];

/// Limits that the command line sets in place of the usual ones.
#[derive(Clone, Debug, Default)]
pub struct Overrides(Vec<(&'static str, f64)>);

/// An override that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OverrideError {
    /// It is no pair.
    #[error("'{0}': write NAME=LIMIT, as in table-bytes=8e6")]
    Form(String),
    /// There is no such budget.
    #[error("there is no budget '{name}'; those there are: {}", ALL.map(|budget| budget.name).join(", "))]
    Name {
        /// The name that was given.
        name: String,
    },
}

impl Overrides {
    /// Reads `NAME=LIMIT` pairs.
    ///
    /// # Errors
    /// Names the pair that can't be read, or the budget that does not exist.
    pub fn parse(pairs: &[String]) -> Result<Self, OverrideError> {
        let read = |pair: &String| {
            let (name, limit) = pair.split_once('=').ok_or_else(|| OverrideError::Form(pair.clone()))?;
            let limit: f64 = limit.parse().map_err(|_| OverrideError::Form(pair.clone()))?;
            let known = ALL.iter().find(|budget| budget.name == name);
            Ok((known.ok_or_else(|| OverrideError::Name { name: name.into() })?.name, limit))
        };
        Ok(Overrides(pairs.iter().map(read).collect::<Result<_, OverrideError>>()?))
    }

    /// The budget as it holds in this run.
    pub fn applied(&self, budget: Budget) -> Budget {
        let limit = self.0.iter().rev().find(|(name, _)| *name == budget.name);
        Budget { limit: limit.map_or(budget.limit, |(_, limit)| *limit), ..budget }
    }
}
