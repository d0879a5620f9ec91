//! Data types for the decisions in `src/logic.rs`. This module makes no decision.
//!
//! Types that derive serde's traits are part of the data that processes exchange at a handover:
//! [`DispatcherState`](crate::DispatcherState) and [`InFlightCall`](crate::InFlightCall).
//! The format of the handover stores fields and variants by position.
//! Changing the order or types of fields and variants changes the format, renaming them does not.

use crate::interface::*;
use crate::rotation::RotationPlace;
use std::collections::BTreeSet;

/// Identifies a lane: the unit with one rate limit and one permit pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) enum LaneKey {
    #[default]
    Unassigned,
    /// The lane of a destination with all its endpoints.
    Destination(DestId),
    /// The lane of a single endpoint, if the destination's endpoints are separate routes.
    Route(EndpointId),
}

/// A rate in events a second, averaged with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Rate {
    pub(crate) created_at: Micros,
    pub(crate) updated_at: Micros,
    /// Decayed events a second, as of `updated_at`.
    pub(crate) value: f64,
    /// Time constant of the decay, in microseconds.
    pub(crate) memory_us: f64,
}

/// Latency of calls as a log-normal distribution, which yields a p99 from few samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Latency {
    pub(crate) samples: f64,
    pub(crate) log_mean: f64,
    pub(crate) log_variance: f64,
    /// Moving average of the latest latency samples, in microseconds.
    pub(crate) recent_us: f64,
}

/// A lane's permit pool, call budget, pace and health.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Lane {
    pub(crate) dest: DestId,
    /// Advertised limit for all senders together, in calls a second.
    pub(crate) limit: Option<f64>,
    pub(crate) latency: Latency,
    /// Number of permits in the lane's permit pool.
    pub(crate) permits: u32,
    pub(crate) resized_at: Micros,
    /// Whether the permit pool has been sized from enough answers.
    pub(crate) is_sized: bool,
    /// Number of calls in flight on the lane.
    pub(crate) in_flight: u32,
    /// End of the wait that the receiver asked for.
    pub(crate) wait_until: Micros,
    /// Call budget: calls a second that this sender allows itself after refusals; infinite before a refusal.
    pub(crate) budget: f64,
    /// Number of calls that the lane's rate limiter allows now without delay.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Micros,
    /// Rate at which `tokens` is refilled, in calls a second.
    pub(crate) pace: f64,
    /// When a refusal last cut the call budget.
    pub(crate) budget_cut_at: Micros,
    pub(crate) accepted_rate: Rate,
    /// Time of the first failure since the last success, at any of the lane's endpoints.
    pub(crate) failing_since: Option<Micros>,
    pub(crate) last_success: Micros,
    /// Whether the whole lane is considered down.
    pub(crate) down: bool,
    /// The gradual increase of load after the whole lane was down.
    pub(crate) warm_up: Option<WarmUp>,
}

impl Lane {
    /// Returns a new lane with an unlimited call budget, which no refusal has cut yet.
    pub(crate) fn unrestricted(dest: DestId, now: Micros) -> Self {
        Lane { dest, refilled_at: now, budget: f64::INFINITY, ..Lane::default() }
    }
}

/// A destination's demand and its pending messages.
#[derive(Default)]
pub(crate) struct Destination {
    /// Messages for the destination that this sender accepts a second, averaged over a short time.
    pub(crate) arrival_rate: Rate,
    /// This sender's part of the traffic: messages accepted a second, averaged over a longer time.
    pub(crate) traffic: Rate,
    /// Messages of the destination that wait to be sent, oldest first.
    pub(crate) pending: BTreeSet<(u64, MsgId)>,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// When the schedule next makes this destination ready.
    pub(crate) next_check: Micros,
}

/// The state of an unhealthy endpoint, which receives only single trial calls and probes.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Unhealthy {
    /// Earliest time of the next trial or probe.
    pub(crate) next_trial: Micros,
    pub(crate) backoff: Micros,
    /// When the trial in flight was sent; `None` without a trial in flight.
    pub(crate) trial_sent: Option<Micros>,
    /// Whether every failure so far proves that the receiver processed no message.
    /// If no failed call was processed, a trial may carry an unsafe message.
    pub(crate) nothing_ran: bool,
    /// Whether a probe of the endpoint is in flight.
    pub(crate) probing: bool,
    /// Whether the last probe of the endpoint succeeded.
    pub(crate) probed: bool,
    /// Whether the unhealthy state was inferred from the lane: no call to this endpoint itself has failed.
    pub(crate) inferred: bool,
}

/// The gradual increase of load on an endpoint or a lane after an outage.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct WarmUp {
    pub(crate) since: Micros,
    /// Number of calls that the warm-up's rate limiter allows now without delay.
    pub(crate) tokens: f64,
    /// Rate at which `tokens` is refilled, in calls a second.
    pub(crate) pace: f64,
    pub(crate) refilled_at: Micros,
}

impl WarmUp {
    pub(crate) fn new(since: Micros, now: Micros) -> Self {
        WarmUp { since, tokens: 0.0, pace: 0.0, refilled_at: now }
    }
}

/// An endpoint's lane, calls in flight, connections, health and position in the rotation.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Endpoint {
    pub(crate) lane: LaneKey,
    pub(crate) dest: DestId,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    /// Whether the endpoint list contains the endpoint with status `Up`.
    pub(crate) listed: bool,
    /// Number of calls in flight to the endpoint.
    pub(crate) in_flight: u32,
    /// When a call to the endpoint last began or ended.
    pub(crate) last_used: Micros,
    /// Number of connections to the endpoint that are assumed to be open.
    pub(crate) connections: u32,
    /// When a connection to the endpoint was last refused while other calls succeeded.
    pub(crate) connection_refused_at: Option<Micros>,
    pub(crate) last_success: Micros,
    /// Time of the endpoint's first failure or refusal since its last success.
    pub(crate) failing_since: Option<Micros>,
    /// Decaying share of the endpoint's calls that failed, from 0 to 1.
    pub(crate) failure_share: f64,
    /// Share of the endpoint's calls that failed and may have taken effect, as of `ambiguous_share_at`.
    pub(crate) ambiguous_share: f64,
    pub(crate) ambiguous_share_at: Micros,
    pub(crate) unhealthy: Option<Unhealthy>,
    pub(crate) warm_up: Option<WarmUp>,
    pub(crate) rotation: RotationPlace,
}

/// An attempt in flight: the part of a call that concerns one message.
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) call: u64,
    pub(crate) sent: Micros,
}

/// A message and its attempts.
#[derive(Default)]
pub(crate) struct Message {
    /// The message's number in the order of acceptance.
    pub(crate) sequence: u64,
    pub(crate) class: usize,
    /// The message's order key, which is set only in classes that keep order.
    pub(crate) key: Option<String>,
    pub(crate) dest: DestId,
    pub(crate) deadline: Micros,
    pub(crate) attempts: u32,
    /// Number of the message's attempts that reached no endpoint and do not count against the maximum.
    pub(crate) unreached: u32,
    pub(crate) in_flight: Vec<Attempt>,
    /// Time and endpoint of the message's first attempt that may have taken effect at the receiver.
    pub(crate) may_have_run: Option<(Micros, EndpointId)>,
    /// Endpoint of the message's latest attempt; the next attempt prefers another endpoint.
    pub(crate) avoid: Option<EndpointId>,
    /// Whether the message's client needs no further answer; attempts may still be in flight.
    pub(crate) closed: bool,
    /// Whether the message was accepted before a restart, has certainly not taken effect and has not been sent since.
    /// A restored message that has not taken effect gets an attempt before the sender may refuse it to reduce load.
    pub(crate) restored_untried: bool,
}

impl Message {
    /// Returns the number of the message's attempts that count against the maximum.
    pub(crate) fn counted_attempts(&self) -> u32 {
        self.attempts.saturating_sub(self.unreached)
    }
}

/// A call in flight, with one or more messages.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Micros,
    /// Number of attempts in this call that have no outcome yet.
    pub(crate) open_attempts: u32,
    /// Whether the call's first outcome has updated the endpoint's health; later outcomes do not update it.
    pub(crate) health_updated: bool,
    pub(crate) is_trial: bool,
    pub(crate) cancelled: bool,
    /// Whether all messages in the call may be sent again if the call is cancelled.
    pub(crate) repeatable: bool,
    /// How long the reused connection had been idle when the call began; 0 for a new or busy connection.
    pub(crate) connection_idle: Micros,
}

/// The open messages with one order key, in the order of delivery.
#[derive(Default)]
pub(crate) struct OrderKey {
    pub(crate) queue: BTreeSet<(u64, MsgId)>,
    /// Time before which no message with the key gets its first attempt.
    /// Before `settle_until`, the receiver may still process an earlier message with the key.
    pub(crate) settle_until: Micros,
}

/// The outcome of an attempt, with the wait and load report from its answer.
#[derive(Clone, Copy)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    pub(crate) wait: Micros,
    pub(crate) report: Option<LoadReport>,
}

/// A check in the dispatcher's schedule.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Check {
    /// Checks whether a message's final answer is due.
    Message(MsgId),
    /// Checks whether a call has stalled.
    Call(u64),
    /// Checks whether messages can be sent to a destination again.
    Destination(DestId),
}

/// The time of the next check of a destination to which no message can be sent now.
pub(crate) struct Recheck {
    pub(crate) at: Micros,
    /// Whether a freed slot may allow a message to the destination, so that the destination stays in `ready`.
    pub(crate) on_free_slot: bool,
}

/// An endpoint that can take a call now.
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    /// Whether the endpoint must not receive unsafe messages for now.
    pub(crate) excludes_unsafe: bool,
    /// Expected cost of a call; the cheapest candidate is used.
    pub(crate) cost: f64,
    /// Weighted time since the endpoint's last turn in the rotation. Decides between endpoints of equal cost.
    pub(crate) turn_wait: f64,
}

/// The message that would be sent to a destination next, and the endpoint for the message.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub(crate) rank: f64,
    pub(crate) id: MsgId,
    pub(crate) endpoint: EndpointId,
    /// Whether the endpoint must not receive unsafe messages for now.
    pub(crate) excludes_unsafe: bool,
}
