//! The `[network]`, `[settings]`, `[directory]` and `[clients]` tables.

use super::checks::{Checks, share};
use super::file::Section;
use crate::span::Span;
use serde::Deserialize;

/// Zones and the network delays between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Names of the zones in which senders and endpoints run.
    pub zones: Vec<String>,
    /// One-way network delay within a zone.
    pub same: Span,
    /// One-way network delay between two zones.
    pub cross: Span,
}

impl Default for Network {
    fn default() -> Self {
        Network { zones: vec!["a".into(), "b".into()], same: Span::ms(2), cross: Span::ms(22) }
    }
}

/// Settings that all senders share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SenderSettings {
    /// Minimum time between two rounds of the decision module.
    pub quantum: Span,
    /// Whether senders may cancel attempts.
    pub cancel: bool,
    /// Whether senders may probe endpoints.
    pub probes: bool,
    /// Longest retry-after that clients observe, as the senders' configurations state it.
    pub max_retry_after: Span,
    /// Time after which endpoints close idle connections.
    pub idle_close: Span,
    /// Time-out for a sender to open a connection to an endpoint.
    pub connect_timeout: Span,
    /// Value of a delivered message beyond its tenant's quota, as a share of the message's normal value.
    pub over_share_worth: f64,
    /// Number of senders that the senders' configurations state; the actual number if absent.
    pub senders: Option<usize>,
}

impl SenderSettings {
    /// Returns the number of senders that the senders' configurations state.
    pub fn advertised_senders(&self, senders: usize) -> usize {
        self.senders.unwrap_or(senders)
    }
}

impl Default for SenderSettings {
    fn default() -> Self {
        SenderSettings {
            quantum: Span::ms(5),
            cancel: true,
            probes: true,
            max_retry_after: Span::ms(2000),
            idle_close: Span::ms(5000),
            connect_timeout: Span::ms(1500),
            over_share_worth: 0.05,
            senders: None,
        }
    }
}

/// Behaviour of the stand-in directory.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Directory {
    /// Time from a change of endpoints until the senders are notified of the change.
    pub lag: Span,
}

impl Default for Directory {
    fn default() -> Self {
        Directory { lag: Span::ms(2000) }
    }
}

/// Behaviour of the clients that hand messages to the senders.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of times that a client sends a refused message again.
    pub retries: u32,
    /// Client's wait before a retry if no wait is advertised or the client ignores it; doubles with each retry.
    pub wait: Span,
    /// Share of the clients that observe an advertised wait.
    pub honour: f64,
    /// Share of the messages that are pipelined: sent before the previous message on the connection is answered.
    pub pipeline: f64,
    /// Share of the messages whose client disconnects without waiting for the reply.
    pub leave: f64,
    /// How long a client waits for a sender's reply to a message.
    pub patience: Span,
}

impl Default for Clients {
    fn default() -> Self {
        let (wait, patience) = (Span::ms(800), Span::ms(400));
        Clients { retries: 3, wait, honour: 0.8, pipeline: 0.0, leave: 0.0, patience }
    }
}

/// Maximum value of the setting `retries` in the `[clients]` table.
const MAX_RETRIES: u32 = 10;

/// Checks the `[clients]` table, the behaviour of the clients.
pub(super) fn clients(raw: &Section<Clients>, checks: &mut Checks<'_>) -> Clients {
    let (clients, at) = (raw.value, &raw.span);
    for (what, value) in
        [("honour", clients.honour), ("pipeline", clients.pipeline), ("leave", clients.leave)]
    {
        checks.require(share(value), at.clone(), format!("'{what}' must be from 0 to 1"));
    }
    checks.require(clients.retries <= MAX_RETRIES, at.clone(), "'retries' must be 10 at most");
    clients
}
