//! Rule 4: a receiver that comes back cold is not pushed over by senders that had seen it fail.
//!
//! It falls over when the load sent to it within one span of the fall window is more than the multiple of what it can
//! handle at that moment. All calls and probes that reach it push, those that it turns away too. The rule is broken if
//! two thirds of the load came from senders that had seen a call or probe there fail, or be refused, during the outage;
//! else it fell by those who could not know.

use super::returns::Return;
use super::{Findings, Margin, Table};

/// The part of the load, by senders that had seen the outage, from which on it is theirs.
const MIN_AWARE_SHARE: f64 = 2.0 / 3.0;

pub(super) fn check(table: &Table, returns: &[Return]) -> Findings {
    let mut found = Findings::new();
    let mut margin =
        Margin::highest("highest share reached of the load that pushes a receiver over", "", 1.0);
    for r in returns.iter().filter(|r| !r.aware.is_empty()) {
        found.tested += 1;
        if let Some(peak) = r.peak() {
            margin.observe(peak.share(), peak.t);
        }
        // It lies there from the first time on; what comes after pushes nothing over.
        let Some(load) = r.loads.iter().find(|l| l.sent > l.limit) else { continue };
        let (number, window) = (r.receiver, table.parameters.rules.fall_window / 1000);
        let what = format!(
            "receiver {number} was sent a load of {:.1} within {window} ms, {} ms after its return, where {:.1} pushes it \
             over; {:.1} of it by senders that had seen it fail",
            load.sent,
            (load.t - r.back) / 1000,
            load.limit,
            load.aware
        );
        if load.aware >= MIN_AWARE_SHARE * load.sent {
            let call = r.arrivals[load.push].call.and_then(|n| table.calls.get(&n));
            let message = call.and_then(|c| c.ids.first()).map(String::as_str);
            found.violation(load.t, message, call.map(|c| c.endpoint.as_str()), what);
        } else {
            found.remarks.push(format!("not counted, since too few of the senders knew: {what}"));
        }
    }
    found.margin = margin.observed();
    found
}
