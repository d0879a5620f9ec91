//! Evenness: how evenly the calls of all senders are spread over a receiver's endpoints.
//!
//! The measure is the index of dispersion: the variance of calls per endpoint divided by that of random choices.
//! The index is the chi-squared statistic divided by its degrees of freedom.
//! See Fisher, "Statistical Methods for Research Workers", 1925, section 16.
//! The index of dispersion is 1 on average for independent uniform choices and 0 for a perfect round-robin.
//! The index grows when many senders choose alike.

use super::Table;
use crate::history::EndpointStatus;
use crate::span::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lengths of the windows over which calls are counted, in microseconds.
pub const WINDOWS_US: [Micros; 3] = [100_000, 1_000_000, 10_000_000];
/// Minimum mean of calls per endpoint for the busiest and idlest endpoint of a window to be significant.
const MIN_MEAN_CALLS: f64 = 1.0;
/// Minimum number of calls in flight at an endpoint that counts as queueing.
const QUEUEING_CALLS: usize = 2;

/// Evenness over all windows of one length; the values are means over the windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Length of each window.
    pub window: Micros,
    /// Number of windows with at least one call, and with at least two endpoints that were in the list throughout.
    pub windows: usize,
    /// Calls of a window's busiest endpoint divided by the mean; `None` if all windows have too few calls.
    pub busiest: Option<f64>,
    /// Calls of a window's idlest endpoint divided by the mean; `None` if all windows have too few calls.
    pub idlest: Option<f64>,
    /// Variance of the calls per endpoint, divided by the variance of independent random choices.
    pub variance: f64,
}

/// How evenly the calls to one receiver were spread over its endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evenness {
    /// Number of the receiver whose endpoints are compared.
    pub receiver: i64,
    /// Number of the receiver's endpoints over the whole run.
    pub endpoints: usize,
    /// Evenness over windows of each length in [`WINDOWS_US`].
    pub spreads: Vec<Spread>,
    /// Longest time for which an endpoint was idle between calls while another endpoint queued.
    /// An endpoint queues while it has two or more calls in flight.
    pub longest_idle: Micros,
}

/// Start and end of the time in which the endpoint list had an endpoint as ready.
/// The time starts with the first notification to any sender that the endpoint is ready.
/// The time ends with the first notification to any sender that the endpoint drains or is gone.
type Listed = (Micros, Micros);

/// Returns the evenness of each receiver with at least two endpoints, in order of the receivers' numbers.
pub(super) fn evenness(table: &Table) -> Vec<Evenness> {
    let mut listed: BTreeMap<&str, Listed> = BTreeMap::new();
    for ((_, endpoint), updates) in &table.status_updates {
        for (t, status) in updates {
            let span = listed.entry(endpoint).or_insert((Micros::MAX, Micros::MAX));
            match status {
                EndpointStatus::Ready => span.0 = span.0.min(*t),
                EndpointStatus::Terminating | EndpointStatus::Gone => span.1 = span.1.min(*t),
            }
        }
    }
    let mut by_receiver: BTreeMap<i64, Vec<(&str, Listed)>> = BTreeMap::new();
    for (name, (receiver, _)) in &table.endpoints {
        // An endpoint without any notification counts as in the endpoint list from the start of the run.
        let (from, until) = listed.get(name.as_str()).copied().unwrap_or((0, Micros::MAX));
        by_receiver.entry(*receiver).or_default().push((name, (from, until)));
    }
    // Counts only calls within the time of the traffic, not calls made while the rig awaits the last answers.
    let first = table.messages.iter().map(|m| m.offered).min().unwrap_or(0);
    let last = table.messages.iter().map(|m| m.offered).max().unwrap_or(0);
    let mut all = Vec::new();
    for (receiver, mut endpoints) in by_receiver.into_iter().filter(|(_, e)| e.len() > 1) {
        endpoints.sort();
        let index: BTreeMap<&str, usize> = endpoints.iter().enumerate().map(|(n, e)| (e.0, n)).collect();
        let mut calls: Vec<(Micros, Micros, usize)> = table
            .calls
            .values()
            .filter_map(|c| {
                let index = *index.get(c.endpoint.as_str())?;
                let end = c.end.as_ref().map_or(table.end, |(t, _)| *t);
                (first..=last).contains(&c.t).then_some((c.t, end, index))
            })
            .collect();
        calls.sort_unstable();
        let spans: Vec<Listed> = endpoints.iter().map(|e| e.1).collect();
        let spreads = WINDOWS_US.iter().map(|w| spread(&calls, &spans, *w, first, last)).collect();
        let longest_idle = longest_idle(&calls, spans.len());
        all.push(Evenness { receiver, endpoints: spans.len(), spreads, longest_idle });
    }
    all
}

/// Computes the evenness over time windows of one length. `calls` must be sorted by time.
/// Only windows entirely within the traffic count, and in each window only endpoints that were always in the list.
fn spread(
    calls: &[(Micros, Micros, usize)],
    listed: &[Listed],
    window: Micros,
    first: Micros,
    last: Micros,
) -> Spread {
    let mut result = Spread { window, ..Spread::default() };
    let (mut busiest, mut idlest, mut variance, mut significant) = (0.0, 0.0, 0.0, 0usize);
    let mut at = first;
    let mut from = 0;
    while at + window <= last {
        let until = at + window;
        let mut counts = vec![0usize; listed.len()];
        while let Some((t, _, index)) = calls.get(from).filter(|c| c.0 < until) {
            counts[*index] += usize::from(*t >= at);
            from += 1;
        }
        let listed_throughout = |n: &usize| listed[*n].0 <= at && listed[*n].1 >= until;
        let counts: Vec<f64> =
            (0..listed.len()).filter(listed_throughout).map(|n| counts[n] as f64).collect();
        at = until;
        let (endpoints, sum) = (counts.len() as f64, counts.iter().sum::<f64>());
        if counts.len() < 2 || sum < 1.0 {
            continue;
        }
        let mean = sum / endpoints;
        result.windows += 1;
        variance += counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (mean * (endpoints - 1.0));
        if mean >= MIN_MEAN_CALLS {
            significant += 1;
            busiest += counts.iter().copied().fold(0.0, f64::max) / mean;
            idlest += counts.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        }
    }
    result.variance = variance / result.windows.max(1) as f64;
    if significant > 0 {
        (result.busiest, result.idlest) =
            (Some(busiest / significant as f64), Some(idlest / significant as f64));
    }
    result
}

/// Returns the longest time for which an endpoint was idle while another endpoint queued.
/// Since an endpoint's last call, only the periods in which another endpoint queues are added up.
fn longest_idle(calls: &[(Micros, Micros, usize)], endpoints: usize) -> Micros {
    // Ends of calls are sorted before starts with equal times: a call that has ended no longer queues.
    let ends = calls.iter().map(|(_, end, index)| (*end, 0, *index));
    let starts = calls.iter().map(|(t, _, index)| (*t, 1, *index));
    let mut events: Vec<(Micros, u8, usize)> = ends.chain(starts).collect();
    events.sort_unstable();
    let (mut in_flight, mut idle) = (vec![0usize; endpoints], vec![0; endpoints]);
    let (mut queuing, mut longest, mut before) = (0usize, 0, 0);
    for (t, what, index) in events {
        if queuing > 0 {
            for n in 0..endpoints {
                if in_flight[n] == 0 {
                    idle[n] += t - before;
                    longest = longest.max(idle[n]);
                }
            }
        }
        before = t;
        if what == 1 {
            in_flight[index] += 1;
            idle[index] = 0;
            queuing += usize::from(in_flight[index] == QUEUEING_CALLS);
        } else {
            queuing -= usize::from(in_flight[index] == QUEUEING_CALLS);
            in_flight[index] = in_flight[index].saturating_sub(1);
        }
    }
    longest
}
