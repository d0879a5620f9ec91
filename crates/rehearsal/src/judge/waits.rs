//! Rule 6: after an answer that advertises a wait, a sender sends nothing to the answering lane until the wait ends.

use super::table::Lane;
use super::{CallEnd, Findings, Margin, Table};
use crate::span::Micros;
use std::collections::BTreeMap;

/// Calls within this time after an answer are not counted: they may have been sent before the answer arrived.
const CROSSING_GRACE_US: Micros = 100_000;

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    // For each sender and lane, the advertised waits, each with its start and end.
    let mut waits: BTreeMap<(usize, Lane), Vec<(Micros, Micros)>> = BTreeMap::new();
    for call in table.calls.values() {
        if let Some((t, CallEnd::Answer { wait, .. })) = &call.end
            && *wait > 0
            && let Some(lane) = table.lane(&call.endpoint)
        {
            found.tested += 1;
            waits.entry((call.sender, lane)).or_default().push((*t, t + wait));
        }
    }
    let mut margin = Margin::lowest("earliest call after a wait's end", "ms", 0.0);
    for call in table.calls.values() {
        let Some(lane) = table.lane(&call.endpoint) else { continue };
        let Some(advertised) = waits.get(&(call.sender, lane)) else { continue };
        // A restart ends a wait when the old process ends, since the new process may send before the rig sees it ready.
        let restarted = |from: Micros| {
            let absences = table.absences.get(call.sender).into_iter().flatten();
            let over = absences.filter(|a| a.restarted).filter_map(|a| a.ended.or(a.ready));
            over.into_iter().any(|t| t > from && t <= call.t)
        };
        let observed = advertised
            .iter()
            .filter(|(from, until)| call.t > from + CROSSING_GRACE_US && !restarted(*from) && until > from);
        if let Some((_, until)) = observed.max_by_key(|(_, until)| *until) {
            margin.observe((call.t - until) as f64 / 1000.0, call.t);
        }
        let violated = advertised
            .iter()
            .find(|(from, until)| call.t > from + CROSSING_GRACE_US && call.t < *until && !restarted(*from));
        if let Some((from, until)) = violated {
            let (after, wait) = ((call.t - from) / 1000, (until - from) / 1000);
            let what = format!("a call came {after} ms after the sender was told to wait {wait} ms");
            found.violation(call.t, call.ids.first().map(String::as_str), Some(&call.endpoint), what);
        }
    }
    found.margin = margin.observed();
    found
}
