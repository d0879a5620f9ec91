//! Rule 4: senders that saw a receiver fail do not overload it when it returns from the outage with reduced capacity.
//!
//! The receiver is overloaded when its load within the overload window (`fall_window`) exceeds the overload limit.
//! The limit is the configured multiple of the receiver's capacity at that moment, plus an allowance for chance.
//! Every call and probe that reaches the receiver counts as load, including rejected ones.
//! Overload breaks the rule if at least two thirds of the load came from senders that saw the outage.
//! A sender saw the outage if a call or probe of it failed there, or a connection was refused, during the outage.
//! With less than two thirds, the overload was caused by senders that could not know of the outage.

use super::returns::Return;
use super::{Findings, Margin, Table};

/// Minimum share of the load from senders that saw the outage for an overload to break the rule.
const MIN_AWARE_SHARE: f64 = 2.0 / 3.0;

pub(super) fn check(table: &Table, returns: &[Return]) -> Findings {
    let mut found = Findings::new();
    let mut margin =
        Margin::highest("highest share reached of the load that pushes a receiver over", "", 1.0);
    for this_return in returns.iter().filter(|r| !r.aware.is_empty()) {
        found.tested += 1;
        if let Some(peak) = this_return.peak() {
            margin.observe(peak.share(), peak.t);
        }
        // The receiver stays down after its first overload, so later arrivals cannot overload it again.
        let Some(load) = this_return.loads.iter().find(|l| l.sent > l.limit) else { continue };
        let (number, window) = (this_return.receiver, table.parameters.rules.fall_window / 1000);
        let what = format!(
            "receiver {number} was sent a load of {:.1} within {window} ms, {} ms after its return, where {:.1} pushes it \
             over; {:.1} of it by senders that had seen it fail",
            load.sent,
            (load.t - this_return.back_at) / 1000,
            load.limit,
            load.aware
        );
        if load.aware >= MIN_AWARE_SHARE * load.sent {
            let call = this_return.arrivals[load.arrival].call.and_then(|n| table.calls.get(&n));
            let message = call.and_then(|c| c.ids.first()).map(String::as_str);
            found.violation(load.t, message, call.map(|c| c.endpoint.as_str()), what);
        } else {
            found.remarks.push(format!("not counted, since too few of the senders knew: {what}"));
        }
    }
    found.margin = margin.observed();
    found
}
