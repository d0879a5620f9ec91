//! The plain data that the decisions in `src/logic.rs` are kept in. Nothing is decided here.

use crate::interface::*;
use crate::rotation::Turn;
use std::collections::BTreeSet;

/// What has one limit and one pool: a destination, or a route of it where routes are apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) enum LaneKey {
    #[default]
    Nowhere,
    Whole(DestId),
    Route(EndpointId),
}

/// Events a second, fading with its memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Rate {
    pub(crate) born: Micros,
    pub(crate) at: Micros,
    pub(crate) value: f64,
    pub(crate) memory: f64,
}

/// Latency as a log-normal, which gives a p99 from few samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Latency {
    pub(crate) n: f64,
    pub(crate) mu: f64,
    pub(crate) var: f64,
    pub(crate) recent: f64,
}

/// A lane's pool, pace and wait.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Lane {
    pub(crate) dest: DestId,
    pub(crate) limit: Option<f64>,
    pub(crate) latency: Latency,
    pub(crate) permits: u32,
    pub(crate) resized: Micros,
    /// It has been sized by enough answers.
    pub(crate) sized: bool,
    pub(crate) out: u32,
    pub(crate) wait_until: Micros,
    pub(crate) budget: f64,
    pub(crate) tokens: f64,
    pub(crate) filled: Micros,
    pub(crate) pace: f64,
    pub(crate) cut: Micros,
    pub(crate) accepted: Rate,
    /// The first failure since a success, at whichever of its endpoints; and that success.
    pub(crate) bad: Option<Micros>,
    pub(crate) last_ok: Micros,
    /// All of it is taken to be out.
    pub(crate) down: bool,
    /// All of it was out, and is loaded bit by bit.
    pub(crate) back: Option<Warm>,
}

impl Lane {
    /// One that no refusal has taught anything.
    pub(crate) fn unhindered(dest: DestId, now: Micros) -> Self {
        Lane { dest, filled: now, budget: f64::INFINITY, ..Lane::default() }
    }
}

/// A destination's demand and its hold, oldest first.
#[derive(Default)]
pub(crate) struct Dest {
    pub(crate) rate: Rate,
    /// The same over a longer time: this sender's part of the traffic.
    pub(crate) share: Rate,
    pub(crate) hold: BTreeSet<(u64, MsgId)>,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// When it is next on the agenda.
    pub(crate) look: Micros,
}

/// An endpoint under suspicion, and the trials by which it is asked.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Trouble {
    pub(crate) next: Micros,
    pub(crate) backoff: Micros,
    pub(crate) trial: Option<Micros>,
    /// Only symptoms that prove nothing ran: an unsafe message may be the trial.
    pub(crate) harmless: bool,
    pub(crate) probing: bool,
    pub(crate) probed: bool,
    /// Known from its lane alone: no call here has failed.
    pub(crate) hearsay: bool,
}

/// What came back, an endpoint or a lane, and is loaded bit by bit.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Warm {
    pub(crate) since: Micros,
    pub(crate) tokens: f64,
    pub(crate) pace: f64,
    pub(crate) filled: Micros,
}

impl Warm {
    pub(crate) fn new(since: Micros, now: Micros) -> Self {
        Warm { since, tokens: 0.0, pace: 0.0, filled: now }
    }
}

/// An endpoint's use and health.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Endpoint {
    pub(crate) lane: LaneKey,
    pub(crate) dest: DestId,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    pub(crate) listed: bool,
    pub(crate) out: u32,
    pub(crate) used: Micros,
    pub(crate) conns: u32,
    /// When a connection was last refused beside a success.
    pub(crate) crowded: Option<Micros>,
    pub(crate) last_ok: Micros,
    /// The first failure or refusal since a success.
    pub(crate) first_bad: Option<Micros>,
    pub(crate) fails: f64,
    /// Share of its calls that failed and may have run, and as of when.
    pub(crate) burnt: f64,
    pub(crate) burnt_at: Micros,
    pub(crate) trouble: Option<Trouble>,
    pub(crate) warm: Option<Warm>,
    pub(crate) turn: Turn,
}

/// An attempt that is out.
pub(crate) struct Attempt {
    pub(crate) no: u32,
    pub(crate) call: u64,
    pub(crate) sent: Micros,
}

/// A message and what has been tried with it.
#[derive(Default)]
pub(crate) struct Msg {
    pub(crate) seq: u64,
    pub(crate) class: usize,
    pub(crate) key: Option<String>,
    pub(crate) dest: DestId,
    pub(crate) deadline: Micros,
    pub(crate) attempts: u32,
    /// Attempts that reached no endpoint.
    pub(crate) unreached: u32,
    pub(crate) out: Vec<Attempt>,
    pub(crate) may_run: Option<(Micros, EndpointId)>,
    pub(crate) avoid: Option<EndpointId>,
    pub(crate) closed: bool,
    /// An earlier run took it on and it has surely not run, and no call of it has begun since: it is still to get one.
    pub(crate) owed: bool,
}

impl Msg {
    /// Attempts that count.
    pub(crate) fn tried(&self) -> u32 {
        self.attempts.saturating_sub(self.unreached)
    }
}

/// A call that is out, with the messages that share its fate.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Micros,
    pub(crate) left: u32,
    pub(crate) judged: bool,
    pub(crate) trial: bool,
    pub(crate) cancelled: bool,
    /// All its messages may go again if it is given up.
    pub(crate) repeatable: bool,
    /// How long the connection had rested.
    pub(crate) rested: Micros,
}

/// The order of a key's messages.
#[derive(Default)]
pub(crate) struct Key {
    pub(crate) queue: BTreeSet<(u64, MsgId)>,
    pub(crate) rest_until: Micros,
}

/// How an attempt ended, and what was told with it.
#[derive(Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) outcome: Outcome,
    pub(crate) took: Micros,
    pub(crate) wait: Micros,
    pub(crate) report: Option<LoadReport>,
}

/// What can fall due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A message's final answer.
    Msg(MsgId),
    /// A call's silence.
    Call(u64),
    /// A destination that can send again.
    Dest(DestId),
}

/// When a destination that can send nothing is looked at again.
pub(crate) struct Look {
    pub(crate) at: Micros,
    /// A slot that becomes free may change it.
    pub(crate) slot: bool,
}

/// What a destination would send next.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub(crate) rank: f64,
    pub(crate) id: MsgId,
    pub(crate) endpoint: EndpointId,
    /// Unsafe messages keep off that endpoint for now.
    pub(crate) careful: bool,
}
