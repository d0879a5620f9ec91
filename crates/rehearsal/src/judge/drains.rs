//! Rule 3: nothing new goes to an endpoint later than the grace after the sender was told that it drains or is gone.

use super::{ALLOWANCE, Findings, Margin, Table};
use crate::history::Standing;
use crate::span::Micros;
use std::collections::BTreeMap;

pub(super) fn check(table: &Table) -> Findings {
    let mut found = Findings::new();
    let grace = table.parameters.rules.drain_grace + ALLOWANCE;
    // Per sender and endpoint: from when to when nothing new may go there.
    let mut shut: BTreeMap<(usize, &str), Vec<(Micros, Micros)>> = BTreeMap::new();
    for ((sender, endpoint), told) in &table.told {
        let spans = shut.entry((*sender, endpoint)).or_default();
        let mut since: Option<Micros> = None;
        for (t, standing) in told {
            match standing {
                Standing::Ready => {
                    if let Some(from) = since.take() {
                        spans.push((from, *t));
                    }
                }
                // Gone after draining is nothing new: the grace runs from the first word.
                Standing::Terminating | Standing::Gone => _ = since.get_or_insert(*t),
            }
        }
        spans.extend(since.map(|from| (from, Micros::MAX)));
        found.tested += spans.len();
    }
    let limit = grace as f64 / 1000.0;
    let mut margin =
        Margin::most("latest call after the word that an endpoint drains or is gone", "ms", limit);
    for call in table.calls.values() {
        let Some(spans) = shut.get(&(call.sender, call.endpoint.as_str())) else { continue };
        let after = spans.iter().find(|(from, until)| call.first > *from && call.first < *until);
        if let Some((from, _)) = after {
            margin.meet((call.first - from) as f64 / 1000.0, call.first);
        }
        let late = spans.iter().find(|(from, until)| call.first > from + grace && call.first < *until);
        if let Some((from, _)) = late {
            let after = (call.first - from) / 1000;
            let what = format!(
                "a call began {after} ms after the sender was told that the endpoint drains or is gone"
            );
            found.offence(call.first, call.ids.first().map(String::as_str), Some(&call.endpoint), what);
        }
    }
    found.margin = margin.met();
    found
}
