//! Returns from outages: the load that arrived at a returning receiver, compared with its reduced capacity.
//! The rule on returns, the report and the charts all use the values computed here.

use super::{Attempt, Call, Table};
use crate::parameters::Receiver;
use crate::span::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Time before an outage over which the usual rate of deliveries is measured.
const BASELINE_SPAN_US: Micros = 5_000_000;
/// Window in which deliveries are counted to decide whether the load after an outage is back to its usual level.
const RECOVERY_WINDOW_US: Micros = 1_000_000;

/// Result of a call or probe that arrived at a returning receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalEnd {
    /// The call delivered at least one message, or the health probe succeeded.
    Delivered,
    /// The receiver rejected the call or probe without processing it.
    Rejected,
    /// The call or probe failed, or the history does not record how it ended.
    Failed,
}

/// A call or probe that arrived at a returning receiver, whether or not it was rejected.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the call or probe arrived at the receiver.
    pub t: Micros,
    /// Index of the sender that made the call or probe.
    pub sender: usize,
    /// Load of the arrival, in units of a call with one message.
    pub weight: f64,
    /// Number of the arrived call; `None` for a probe.
    pub call: Option<u64>,
    /// Result of the arrived call or probe.
    pub end: ArrivalEnd,
}

/// The load within one overload window (`fall_window`), and the receiver's overload limit when the window ended.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// When the overload window ended.
    pub t: Micros,
    /// Load that arrived within the overload window, in units of a call with one message.
    pub sent: f64,
    /// Overload limit: maximum load within an overload window, as of the time when the window ended.
    pub limit: f64,
    /// Part of the load that came from senders that saw the outage.
    pub aware: f64,
    /// Index in [`Return::arrivals`] of the last arrival within the overload window.
    pub arrival: usize,
}

impl Load {
    /// Returns the load as a share of the overload limit.
    pub fn share(&self) -> f64 {
        self.sent / self.limit
    }
}

/// One return of a receiver, or of one of its routes, from an outage.
#[derive(Clone, Debug)]
pub struct Return {
    /// Number of the receiver that returned.
    pub receiver: i64,
    /// Name of the route that returned, if the receiver has separate routes.
    pub route: Option<String>,
    /// Share of the receiver's capacity that returned: 1, or the share of the one route that returned.
    pub part: f64,
    /// When the outage began.
    pub down_at: Micros,
    /// When the outage ended.
    pub back_at: Micros,
    /// End of the judged time: when the receiver is warm or the next outage begins, whichever is first.
    pub until: Micros,
    /// Indices of the senders that saw a call or probe fail, or a connection refused, during the outage.
    pub aware: BTreeSet<usize>,
    /// Calls and probes that arrived after the return, in order of time.
    pub arrivals: Vec<Arrival>,
    /// The load at each arrival, until the receiver is warm again.
    pub loads: Vec<Load>,
    /// Time from the return until the deliveries of one second reached half of the usual number.
    pub half_load_after: Option<Micros>,
    /// Time from the return until the deliveries of one second reached nine tenths of the usual number.
    pub full_load_after: Option<Micros>,
}

impl Return {
    /// Returns the load that was highest in relation to the overload limit.
    pub fn peak(&self) -> Option<Load> {
        self.loads.iter().copied().max_by(|a, b| a.share().total_cmp(&b.share()))
    }

    /// Returns the maximum load per overload window (`fall_window`), at the time `since` after the receiver's return.
    pub fn overload_limit(&self, table: &Table, since: Micros) -> f64 {
        let capacity = table.receiver(self.receiver).map_or(0.0, |r| r.capacity_after(since));
        table.parameters.rules.overload_limit(capacity * self.part)
    }
}

/// Lists all returns from outages of a run, in order of receiver and time.
pub fn returns(table: &Table) -> Vec<Return> {
    let mut all = Vec::new();
    for ((number, route), outages) in &table.outages {
        let Some(receiver) = table.receiver(*number) else { continue };
        let lane = (*number, route.clone());
        let in_lane = |endpoint: &str| table.lane(endpoint).is_some_and(|l| l == lane);
        let routes = table.endpoints.values().filter(|e| e.0 == *number).count().max(1);
        let part = if route.is_some() { 1.0 / routes as f64 } else { 1.0 };
        let calls: Vec<(u64, &Call)> =
            table.calls.iter().filter(|(_, c)| in_lane(&c.endpoint)).map(|(n, c)| (*n, c)).collect();
        for (n, (down_at, until)) in outages.iter().enumerate() {
            let Some(back_at) = *until else { continue };
            let next_down_at = outages.get(n + 1).map_or(Micros::MAX, |(t, _)| *t);
            let mut this_return = Return {
                receiver: *number,
                route: route.clone(),
                part,
                down_at: *down_at,
                back_at,
                until: next_down_at.min(back_at + receiver.warm_up),
                aware: aware(table, &calls, &in_lane, *down_at, back_at),
                arrivals: arrivals(table, &calls, &in_lane, back_at, next_down_at),
                loads: Vec::new(),
                half_load_after: None,
                full_load_after: None,
            };
            this_return.loads = loads(table, receiver, &this_return);
            (this_return.half_load_after, this_return.full_load_after) =
                recovery_times(&calls, *down_at, back_at, next_down_at);
            all.push(this_return);
        }
    }
    all
}

fn arrivals(
    table: &Table,
    calls: &[(u64, &Call)],
    in_lane: &impl Fn(&str) -> bool,
    back_at: Micros,
    next_down_at: Micros,
) -> Vec<Arrival> {
    let of_call = |(number, c): &(u64, &Call)| {
        let outcomes: Vec<Attempt> = (0..c.ids.len()).map(|place| c.attempt(place).1).collect();
        let end = if outcomes.contains(&Attempt::Delivered) {
            ArrivalEnd::Delivered
        } else if outcomes.contains(&Attempt::MayHaveRun) {
            ArrivalEnd::Failed
        } else {
            ArrivalEnd::Rejected
        };
        let weight = table.parameters.rules.weight(c.ids.len());
        Arrival { t: c.t, sender: c.sender, weight, call: Some(*number), end }
    };
    let probes = table.probes.iter().filter(|(_, endpoint, ..)| in_lane(endpoint));
    let of_probe = |(t, _, sender, status): &(Micros, String, usize, u16)| Arrival {
        t: *t,
        sender: *sender,
        weight: 1.0,
        call: None,
        end: if *status == 200 { ArrivalEnd::Delivered } else { ArrivalEnd::Rejected },
    };
    let all = calls.iter().map(of_call).chain(probes.map(of_probe));
    let mut arrivals: Vec<Arrival> = all.filter(|p| p.t > back_at && p.t < next_down_at).collect();
    arrivals.sort_by_key(|p| p.t);
    arrivals
}

fn loads(table: &Table, receiver: &Receiver, this_return: &Return) -> Vec<Load> {
    let window = table.parameters.rules.fall_window;
    let mut within: VecDeque<&Arrival> = VecDeque::new();
    let mut loads = Vec::new();
    for (place, push) in this_return.arrivals.iter().enumerate() {
        let t = push.t;
        if t > this_return.back_at + receiver.warm_up {
            break;
        }
        within.push_back(push);
        while within.front().is_some_and(|p| p.t <= t - window) {
            within.pop_front();
        }
        let sent: f64 = within.iter().map(|p| p.weight).sum();
        let from_aware = within.iter().filter(|p| this_return.aware.contains(&p.sender));
        let aware: f64 = from_aware.map(|p| p.weight).sum();
        loads.push(Load {
            t,
            sent,
            limit: this_return.overload_limit(table, t - this_return.back_at),
            aware,
            arrival: place,
        });
    }
    loads
}

/// Returns the indices of the senders that saw a call or probe fail, or a connection refused, during the outage.
fn aware(
    table: &Table,
    calls: &[(u64, &Call)],
    in_lane: &impl Fn(&str) -> bool,
    down_at: Micros,
    back_at: Micros,
) -> BTreeSet<usize> {
    let within = |t: Micros| t >= down_at && t <= back_at;
    let mut senders = BTreeSet::new();
    for (_, call) in calls.iter().filter(|(_, c)| c.t <= back_at) {
        let failed = (0..call.ids.len()).any(|place| match call.attempt(place) {
            (Some(known_at), outcome) => within(known_at) && outcome != Attempt::Delivered,
            (None, _) => false,
        });
        if failed {
            senders.insert(call.sender);
        }
    }
    let refused = table.refused_connections.iter().filter(|(t, endpoint, _)| within(*t) && in_lane(endpoint));
    senders.extend(refused.map(|(.., sender)| *sender));
    let probes = table.probes.iter().filter(|(t, endpoint, ..)| within(*t) && in_lane(endpoint));
    senders.extend(probes.filter(|(.., status)| *status != 200).map(|(_, _, sender, _)| *sender));
    senders
}

/// Returns the times from the return until the deliveries of one second reached half and nine tenths of the usual.
fn recovery_times(
    calls: &[(u64, &Call)],
    down_at: Micros,
    back_at: Micros,
    next_down_at: Micros,
) -> (Option<Micros>, Option<Micros>) {
    let mut delivered: Vec<Micros> = Vec::new();
    for (_, call) in calls {
        let ends = (0..call.ids.len()).map(|place| call.attempt(place));
        delivered.extend(ends.filter(|(_, outcome)| *outcome == Attempt::Delivered).filter_map(|(t, _)| t));
    }
    delivered.sort_unstable();
    let between = |from: Micros, to: Micros| {
        delivered.partition_point(|t| *t < to) - delivered.partition_point(|t| *t < from)
    };
    let since = down_at - BASELINE_SPAN_US.min(down_at);
    let usual = between(since, down_at) as f64 * RECOVERY_WINDOW_US as f64 / (down_at - since).max(1) as f64;
    let when = |share: f64| {
        let need = ((usual * share).ceil() as usize).max(1);
        let after = &delivered[delivered.partition_point(|t| *t <= back_at)..];
        let after = after.iter().take_while(|t| **t < next_down_at);
        let reached =
            after.copied().find(|t| between((t - RECOVERY_WINDOW_US).max(back_at) + 1, t + 1) >= need);
        reached.map(|t| t - back_at)
    };
    if usual > 0.0 { (when(0.5), when(0.9)) } else { (None, None) }
}
