//! Rule 4: a receiver that comes back cold is not pushed over by senders that had seen it fail.
//!
//! It falls over when the messages sent to it within one span of the fall window are more than the multiple of what
//! it can handle at that moment. The rule is broken if two thirds of them came from senders that had seen a call or
//! probe there fail, or be refused, during the outage; else it fell by those who could not know.

use super::{Attempt, Findings, Table};
use crate::span::Micros;
use std::collections::{BTreeSet, VecDeque};

/// The part of the load, by senders that had seen the outage, from which on it is theirs.
const KNOWING_SHARE: f64 = 2.0 / 3.0;

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    for ((number, route), outages) in &table.outages {
        let Some(receiver) = table.receiver(*number) else { continue };
        let lane = (*number, route.clone());
        let here = |endpoint: &str| table.lane(endpoint).is_some_and(|l| l == lane);
        let routes = table.endpoints.values().filter(|e| e.0 == *number).count().max(1);
        // A route has its part of the receiver's capacity.
        let part = if route.is_some() { 1.0 / routes as f64 } else { 1.0 };
        for (n, (from, until)) in outages.iter().enumerate() {
            let Some(back) = *until else { continue };
            let next = outages.get(n + 1).map_or(Micros::MAX, |(t, _)| *t);
            let knowing = knowing(table, &here, *from, back);
            if knowing.is_empty() {
                continue;
            }
            found.tested += 1;
            let window = table.facts.rules.fall_window;
            let mut load: VecDeque<(Micros, usize, usize)> = VecDeque::new();
            let mut calls: Vec<_> =
                table.calls.values().filter(|c| c.t > back && c.t < next && here(&c.endpoint)).collect();
            calls.sort_by_key(|c| c.t);
            for call in calls {
                if call.t > back + receiver.warm_up {
                    break;
                }
                load.push_back((call.t, call.sender, call.ids.len()));
                while load.front().is_some_and(|(t, ..)| *t <= call.t - window) {
                    load.pop_front();
                }
                let sent: usize = load.iter().map(|(.., n)| n).sum();
                let beyond = table.facts.rules.fall_beyond(receiver.capacity_after(call.t - back) * part);
                if sent as f64 <= beyond {
                    continue;
                }
                let by: usize = load.iter().filter(|(_, s, _)| knowing.contains(s)).map(|(.., n)| n).sum();
                let (share, after) = (by as f64 / sent as f64, (call.t - back) / 1000);
                let what = format!(
                    "receiver {number} was sent {sent} messages within {} ms, {after} ms after its return, where \
                     {beyond:.1} push it over; {by} of them by senders that had seen it fail",
                    window / 1000
                );
                if share >= KNOWING_SHARE {
                    found.offence(call.t, call.ids.first().map(String::as_str), Some(&call.endpoint), what);
                } else {
                    found.remarks.push(format!("not counted, since too few of the senders knew: {what}"));
                }
                // It lies there; what comes after pushes nothing over.
                break;
            }
        }
    }
    found
}

/// Senders that had seen a call or probe fail, or be refused, during the outage.
fn knowing(table: &Table, here: &impl Fn(&str) -> bool, from: Micros, back: Micros) -> BTreeSet<usize> {
    let within = |t: Micros| t >= from && t <= back;
    let mut senders = BTreeSet::new();
    for call in table.calls.values().filter(|c| c.t <= back && here(&c.endpoint)) {
        let failed = (0..call.ids.len()).any(|place| match call.attempt(place) {
            (Some(known), fate) => within(known) && fate != Attempt::Delivered,
            (None, _) => false,
        });
        if failed {
            senders.insert(call.sender);
        }
    }
    let refused = table.refused.iter().filter(|(t, endpoint, _)| within(*t) && here(endpoint));
    senders.extend(refused.map(|(.., sender)| *sender));
    let probes = table.probes.iter().filter(|(t, endpoint, ..)| within(*t) && here(endpoint));
    senders.extend(probes.filter(|(.., status)| *status != 200).map(|(_, _, sender, _)| *sender));
    senders
}
