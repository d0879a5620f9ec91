//! Rule 4: a receiver that comes back cold is not pushed over by senders that had seen it fail.
//!
//! It falls over when the load sent to it within one span of the fall window is more than the multiple of what it can
//! handle at that moment. All calls and probes that reach it push, those that it turns away too. The rule is broken if
//! two thirds of the load came from senders that had seen a call or probe there fail, or be refused, during the outage;
//! else it fell by those who could not know.

use super::{Attempt, Call, Findings, Table};
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
            let rules = &table.facts.rules;
            let mut load: VecDeque<Push> = VecDeque::new();
            let calls = table.calls.values().filter(|c| here(&c.endpoint));
            let calls = calls.map(|c| Push {
                t: c.t,
                sender: c.sender,
                weight: rules.weight(c.ids.len()),
                call: Some(c),
            });
            let probes = table.probes.iter().filter(|(_, endpoint, ..)| here(endpoint));
            let probes =
                probes.map(|(t, _, sender, _)| Push { t: *t, sender: *sender, weight: 1.0, call: None });
            let mut pushes: Vec<Push> = calls.chain(probes).filter(|p| p.t > back && p.t < next).collect();
            pushes.sort_by_key(|p| p.t);
            for push in pushes {
                let t = push.t;
                if t > back + receiver.warm_up {
                    break;
                }
                let call = push.call;
                load.push_back(push);
                while load.front().is_some_and(|p| p.t <= t - window) {
                    load.pop_front();
                }
                let sent: f64 = load.iter().map(|p| p.weight).sum();
                let beyond = rules.fall_beyond(receiver.capacity_after(t - back) * part);
                if sent <= beyond {
                    continue;
                }
                let by: f64 = load.iter().filter(|p| knowing.contains(&p.sender)).map(|p| p.weight).sum();
                let what = format!(
                    "receiver {number} was sent a load of {sent:.1} within {} ms, {} ms after its return, where {beyond:.1} \
                     pushes it over; {by:.1} of it by senders that had seen it fail",
                    window / 1000,
                    (t - back) / 1000
                );
                if by >= KNOWING_SHARE * sent {
                    let message = call.and_then(|c| c.ids.first()).map(String::as_str);
                    found.offence(t, message, call.map(|c| c.endpoint.as_str()), what);
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

/// What came to a cold receiver: a call or a probe, also one that it turned away.
struct Push<'a> {
    t: Micros,
    sender: usize,
    weight: f64,
    call: Option<&'a Call>,
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
