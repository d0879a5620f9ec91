//! Evenness: how the calls of all senders spread over a receiver's endpoints.
//!
//! Told against what independent random choices of the same number of calls would do: the index of dispersion, which
//! is the chi-squared statistic over its degrees of freedom (Fisher, "Statistical Methods for Research Workers", 1925,
//! section 16). It is 1 on average for independent even choices, 0 for a perfect round, and grows with herds.

use super::Table;
use crate::history::EndpointStatus;
use crate::span::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The spans over which calls are counted.
pub const WINDOWS: [Micros; 3] = [100_000, 1_000_000, 10_000_000];
/// Calls an endpoint on average that a window must hold for its busiest and idlest to say anything.
const MIN_MEAN_CALLS: f64 = 1.0;
/// An endpoint queues with so many calls out at once.
const QUEUEING_CALLS: usize = 2;

/// Evenness over windows of one length, each figure a mean over the windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// How long a window is.
    pub window: Micros,
    /// Windows that count.
    pub windows: usize,
    /// Calls of the busiest endpoint over the mean; nothing where windows hold too few calls to say.
    pub busiest: Option<f64>,
    /// The same of the idlest.
    pub idlest: Option<f64>,
    /// Variance over that of independent random choices.
    pub variance: f64,
}

/// How even the load of one receiver was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evenness {
    /// Its number.
    pub receiver: i64,
    /// Its endpoints that were listed at some time.
    pub endpoints: usize,
    /// By length of window, as [`WINDOWS`] has them.
    pub spreads: Vec<Spread>,
    /// The most time that an endpoint went without a call while another had two and more out at once.
    pub longest_idle: Micros,
}

/// From when until when an endpoint was listed: first told to some sender, first taken back from some sender.
type Listed = (Micros, Micros);

/// Evenness of each receiver with two endpoints and more, in order of their numbers.
pub(super) fn evenness(table: &Table) -> Vec<Evenness> {
    let mut listed: BTreeMap<&str, Listed> = BTreeMap::new();
    for ((_, endpoint), tellings) in &table.status_updates {
        for (t, standing) in tellings {
            let span = listed.entry(endpoint).or_insert((Micros::MAX, Micros::MAX));
            match standing {
                EndpointStatus::Ready => span.0 = span.0.min(*t),
                EndpointStatus::Terminating | EndpointStatus::Gone => span.1 = span.1.min(*t),
            }
        }
    }
    let mut by_receiver: BTreeMap<i64, Vec<(&str, Listed)>> = BTreeMap::new();
    for (name, (receiver, _)) in &table.endpoints {
        // One that was there before anything was told was listed from the start.
        let (from, until) = listed.get(name.as_str()).copied().unwrap_or((0, Micros::MAX));
        by_receiver.entry(*receiver).or_default().push((name, (from, until)));
    }
    // Traffic, not the wait for its last answers.
    let first = table.messages.iter().map(|m| m.offered).min().unwrap_or(0);
    let last = table.messages.iter().map(|m| m.offered).max().unwrap_or(0);
    let mut all = Vec::new();
    for (receiver, mut endpoints) in by_receiver.into_iter().filter(|(_, e)| e.len() > 1) {
        endpoints.sort();
        let place: BTreeMap<&str, usize> = endpoints.iter().enumerate().map(|(n, e)| (e.0, n)).collect();
        let mut calls: Vec<(Micros, Micros, usize)> = table
            .calls
            .values()
            .filter_map(|c| {
                let place = *place.get(c.endpoint.as_str())?;
                let end = c.end.as_ref().map_or(table.end, |(t, _)| *t);
                (first..=last).contains(&c.t).then_some((c.t, end, place))
            })
            .collect();
        calls.sort_unstable();
        let spans: Vec<Listed> = endpoints.iter().map(|e| e.1).collect();
        let spreads = WINDOWS.iter().map(|w| spread(&calls, &spans, *w, first, last)).collect();
        let longest_idle = longest_idle(&calls, spans.len());
        all.push(Evenness { receiver, endpoints: spans.len(), spreads, longest_idle });
    }
    all
}

/// `calls` by time; only windows that lie whole within the traffic count, and endpoints that were listed throughout.
fn spread(
    calls: &[(Micros, Micros, usize)],
    listed: &[Listed],
    window: Micros,
    first: Micros,
    last: Micros,
) -> Spread {
    let mut s = Spread { window, ..Spread::default() };
    let (mut busiest, mut idlest, mut variance, mut told) = (0.0, 0.0, 0.0, 0usize);
    let mut at = first;
    let mut from = 0;
    while at + window <= last {
        let until = at + window;
        let mut counts = vec![0usize; listed.len()];
        while let Some((t, _, place)) = calls.get(from).filter(|c| c.0 < until) {
            counts[*place] += usize::from(*t >= at);
            from += 1;
        }
        let there = |n: &usize| listed[*n].0 <= at && listed[*n].1 >= until;
        let counts: Vec<f64> = (0..listed.len()).filter(there).map(|n| counts[n] as f64).collect();
        at = until;
        let (k, sum) = (counts.len() as f64, counts.iter().sum::<f64>());
        if counts.len() < 2 || sum < 1.0 {
            continue;
        }
        let mean = sum / k;
        s.windows += 1;
        variance += counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (mean * (k - 1.0));
        if mean >= MIN_MEAN_CALLS {
            told += 1;
            busiest += counts.iter().copied().fold(0.0, f64::max) / mean;
            idlest += counts.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        }
    }
    s.variance = variance / s.windows.max(1) as f64;
    if told > 0 {
        (s.busiest, s.idlest) = (Some(busiest / told as f64), Some(idlest / told as f64));
    }
    s
}

/// Adds up, for each endpoint without a call since its last one, the time in which another queues; the most of it.
fn longest_idle(calls: &[(Micros, Micros, usize)], endpoints: usize) -> Micros {
    // Ends before begins at one instant: what is over no longer queues.
    let ends = calls.iter().map(|(_, end, place)| (*end, 0, *place));
    let begins = calls.iter().map(|(t, _, place)| (*t, 1, *place));
    let mut events: Vec<(Micros, u8, usize)> = ends.chain(begins).collect();
    events.sort_unstable();
    let (mut out, mut idle) = (vec![0usize; endpoints], vec![0; endpoints]);
    let (mut queuing, mut most, mut before) = (0usize, 0, 0);
    for (t, what, place) in events {
        if queuing > 0 {
            for n in 0..endpoints {
                if out[n] == 0 {
                    idle[n] += t - before;
                    most = most.max(idle[n]);
                }
            }
        }
        before = t;
        if what == 1 {
            out[place] += 1;
            idle[place] = 0;
            queuing += usize::from(out[place] == QUEUEING_CALLS);
        } else {
            queuing -= usize::from(out[place] == QUEUEING_CALLS);
            out[place] = out[place].saturating_sub(1);
        }
    }
    most
}
