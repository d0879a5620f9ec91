//! Rule 3: a sender starts no call to an endpoint that the directory reported as draining or gone.
//! Calls are still allowed until the drain grace after the directory's report has passed.

use super::{Findings, Margin, SOCKET_ALLOWANCE_US, Table};
use crate::history::EndpointStatus;
use crate::span::Micros;
use std::collections::BTreeMap;

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    let grace = table.parameters.rules.drain_grace + SOCKET_ALLOWANCE_US;
    // For each sender and endpoint, the periods (start, end) in which the sender may start no call to the endpoint.
    let mut forbidden: BTreeMap<(usize, &str), Vec<(Micros, Micros)>> = BTreeMap::new();
    for ((sender, endpoint), updates) in &table.status_updates {
        let spans = forbidden.entry((*sender, endpoint)).or_default();
        let mut since: Option<Micros> = None;
        for (t, status) in updates {
            match status {
                EndpointStatus::Ready => {
                    if let Some(from) = since.take() {
                        spans.push((from, *t));
                    }
                }
                // `Gone` after `Terminating` starts no new grace period: the drain grace began with `Terminating`.
                EndpointStatus::Terminating | EndpointStatus::Gone => _ = since.get_or_insert(*t),
            }
        }
        spans.extend(since.map(|from| (from, Micros::MAX)));
        found.tested += spans.len();
    }
    let limit = grace as f64 / 1000.0;
    let mut margin =
        Margin::highest("latest call after the word that an endpoint drains or is gone", "ms", limit);
    for call in table.calls.values() {
        let Some(spans) = forbidden.get(&(call.sender, call.endpoint.as_str())) else { continue };
        let after = spans.iter().find(|(from, until)| call.first_byte > *from && call.first_byte < *until);
        if let Some((from, _)) = after {
            margin.observe((call.first_byte - from) as f64 / 1000.0, call.first_byte);
        }
        let late =
            spans.iter().find(|(from, until)| call.first_byte > from + grace && call.first_byte < *until);
        if let Some((from, _)) = late {
            let after = (call.first_byte - from) / 1000;
            let what = format!(
                "a call began {after} ms after the sender was told that the endpoint drains or is gone"
            );
            found.violation(
                call.first_byte,
                call.ids.first().map(String::as_str),
                Some(&call.endpoint),
                what,
            );
        }
    }
    found.margin = margin.observed();
    found
}
