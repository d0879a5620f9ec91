//! The `[network]`, `[settings]`, `[directory]` and `[clients]` tables.

use super::checks::{Checks, share};
use super::file::Section;
use crate::span::Span;
use serde::Deserialize;

/// The buildings and what lies between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The buildings' names.
    pub zones: Vec<String>,
    /// One way within a building.
    pub same: Span,
    /// One way between two.
    pub cross: Span,
}

impl Default for Network {
    fn default() -> Self {
        Network { zones: vec!["a".into(), "b".into()], same: Span::ms(2), cross: Span::ms(22) }
    }
}

/// What all senders are told beside what the other tables say.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SenderSettings {
    /// Least time between two rounds of the decision module.
    pub quantum: Span,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: Span,
    /// Endpoints close idle connections after this.
    pub idle_close: Span,
    /// How long a connection may take to come up.
    pub connect_timeout: Span,
    /// Worth of a message beyond its tenant's quota, as a share.
    pub over_share_worth: f64,
    /// How many senders they are told that there are; as many as there are if not given.
    pub senders: Option<usize>,
}

impl SenderSettings {
    /// How many senders they are told that there are.
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

/// The directory.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Directory {
    /// How long after a change the senders are told of it.
    pub lag: Span,
}

impl Default for Directory {
    fn default() -> Self {
        Directory { lag: Span::ms(2000) }
    }
}

/// How clients behave.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a refused message is handed in again at most.
    pub retries: u32,
    /// After which wait, where none is told or it isn't heeded; it doubles each time.
    pub wait: Span,
    /// Share of the clients that heed the wait which a refusal tells.
    pub honour: f64,
    /// Share of the messages that are written behind another on its connection, before that one is answered.
    pub pipeline: f64,
    /// Share of the messages whose client goes away without waiting for the answer.
    pub leave: f64,
    /// How long a client waits for the answer.
    pub patience: Span,
}

impl Default for Clients {
    fn default() -> Self {
        let (wait, patience) = (Span::ms(800), Span::ms(400));
        Clients { retries: 3, wait, honour: 0.8, pipeline: 0.0, leave: 0.0, patience }
    }
}

/// Times that a refused message is handed in again, at most.
const MAX_RETRIES: u32 = 10;

/// Checks how clients behave.
pub(super) fn clients(raw: &Section<Clients>, c: &mut Checks<'_>) -> Clients {
    let (clients, at) = (raw.value, &raw.span);
    for (what, value) in
        [("honour", clients.honour), ("pipeline", clients.pipeline), ("leave", clients.leave)]
    {
        c.require(share(value), at.clone(), format!("'{what}' is from 0 to 1"));
    }
    c.require(clients.retries <= MAX_RETRIES, at.clone(), "'retries' is 10 at most");
    clients
}
