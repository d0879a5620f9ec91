//! The sender's metrics: counters since the process's start, and gauges. `GET /_vars` returns them.

use crate::list_limit::TooLong;
use crate::placement::metrics::PlacementMetrics;
use embershore_protocol::notice::End;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Maximum number of classes with counters of their own. One configuration has far fewer, but each reload may add some.
const MAX_CLASSES: usize = 1000;

/// The final outcome of a message, as the metrics distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// An endpoint has accepted the message (status 200, or state `ok` in a batch response).
    Delivered,
    /// The message was not accepted: the client got the reply `-BUSY` in place of `+OK`.
    Refused,
    /// The message was accepted, and the client gets a notice that it may submit the message again.
    Returned,
    /// The message was not accepted: the client got the reply `-ERR` in place of `+OK`.
    Wrong,
    /// The message was accepted, and the client gets a notice that it failed.
    Failed,
}

#[derive(Clone, Copy, Debug)]
enum Column {
    Succeeded,
    Declined,
    Aborted,
}

impl MessageEnd {
    /// Converts the final outcome that a notice reports to the final outcome that the metrics distinguish.
    pub fn of(end: End) -> Self {
        match end {
            End::Returned { .. } => MessageEnd::Returned,
            End::Failed | End::Closed => MessageEnd::Failed,
        }
    }

    /// Returns the counter that a message with this final outcome increments.
    fn column(self) -> Column {
        match self {
            MessageEnd::Delivered => Column::Succeeded,
            MessageEnd::Refused | MessageEnd::Returned => Column::Declined,
            MessageEnd::Wrong | MessageEnd::Failed => Column::Aborted,
        }
    }
}

/// The metrics in the form that `GET /_vars` returns as JSON.
#[derive(Debug, Serialize)]
pub struct MetricsSnapshot {
    succeeded: BTreeMap<String, u64>,
    declined: BTreeMap<String, u64>,
    aborted: BTreeMap<String, u64>,
    stray_answers: u64,
    stray_answers_by_endpoint: BTreeMap<String, u64>,
    forwards: u64,
    outstanding: usize,
    discovered: usize,
    ejected: usize,
    sighup_applied: u64,
    sighup_rejected: u64,
    list_rejected: u64,
    list_bound_bytes: usize,
    list_bytes: usize,
    list_endpoints: usize,
    /// The metrics of placement; present only while placement is on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementMetrics>,
}

/// Metrics of endpoint lists that are too long.
#[derive(Debug, Default)]
pub struct ListMetrics {
    /// The size limit of an endpoint list, in bytes.
    pub limit: Cell<usize>,
    rejected: Cell<u64>,
    last: Cell<Option<TooLong>>,
    /// Whether no endpoint list has been accepted since the last list that was too long.
    is_rejected: Cell<bool>,
}

impl ListMetrics {
    /// Counts a rejected endpoint list. Returns true for the first rejected list after an accepted list.
    pub fn reject(&self, too_long: TooLong) -> bool {
        self.rejected.set(self.rejected.get() + 1);
        self.last.set(Some(too_long));
        !self.is_rejected.replace(true)
    }

    /// Records an accepted endpoint list. Returns true for the first accepted list after a rejected list.
    pub fn accept(&self) -> bool {
        self.is_rejected.replace(false)
    }

    /// Returns the size-limit error of the last endpoint list, if that list was too long.
    pub fn rejection(&self) -> Option<TooLong> {
        self.last.get().filter(|_| self.is_rejected.get())
    }
}

/// Maximum number of endpoints with a counter of stray answers. Those beyond are counted in the total alone.
const MAX_STRAY_PEERS: usize = 1000;

/// Counts of answers that were followed by something which belongs to no request.
#[derive(Debug, Default)]
pub struct StrayAnswers {
    total: Cell<u64>,
    by_endpoint: RefCell<BTreeMap<String, u64>>,
}

impl StrayAnswers {
    /// Counts a stray answer of an endpoint. The endpoint's first one is logged.
    pub fn count(&self, endpoint: &str) {
        self.total.set(self.total.get() + 1);
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        if let Some(count) = by_endpoint.get_mut(endpoint) {
            *count += 1;
        } else if by_endpoint.len() < MAX_STRAY_PEERS {
            by_endpoint.insert(endpoint.to_string(), 1);
            eprintln!("calls: {endpoint} wrote more than one answer to a request, the first one counts");
        }
    }
}

/// The current metrics. The driver counts messages by final outcome; the calls count the messages written to endpoints.
#[derive(Debug, Default)]
pub struct Metrics {
    /// For each message class, the counters of messages that succeeded, were declined or were aborted.
    ends_by_class: RefCell<BTreeMap<String, [u64; 3]>>,
    /// Answers that were followed by something which belongs to no request, by endpoint.
    pub stray_answers: StrayAnswers,
    /// Number of messages written completely to endpoints.
    pub forwards: Cell<u64>,
    /// Number of messages that were accepted and have not ended.
    pub outstanding: Cell<usize>,
    /// Number of endpoints in the endpoint list that the dispatcher avoids now.
    pub ejected: Cell<usize>,
    /// Number of reloaded configurations that were applied at SIGHUP.
    pub applied: Cell<u64>,
    /// Number of reloaded configurations that were rejected at SIGHUP.
    pub rejected: Cell<u64>,
    /// Metrics of endpoint lists that were too long.
    pub lists: ListMetrics,
}

impl Metrics {
    /// Adds counters for the named message classes. A class that is dropped later keeps its counters.
    pub fn register_classes<'a>(&self, classes: impl IntoIterator<Item = &'a String>) {
        let mut ends_by_class = self.ends_by_class.borrow_mut();
        for class in classes {
            if ends_by_class.len() < MAX_CLASSES {
                ends_by_class.entry(class.clone()).or_default();
            }
        }
    }

    /// Counts an ended message. A class that is in no configuration is not counted: the client chose its name freely.
    pub fn count(&self, class: &str, end: MessageEnd) {
        if let Some(row) = self.ends_by_class.borrow_mut().get_mut(class) {
            row[end.column() as usize] += 1;
        }
    }

    /// Returns all metrics; `discovered` is the number of endpoints in the endpoint list.
    pub fn snapshot(&self, discovered: usize) -> MetricsSnapshot {
        let ends_by_class = self.ends_by_class.borrow();
        let last_list = self.lists.last.get();
        let column =
            |c: Column| ends_by_class.iter().map(|(name, row)| (name.clone(), row[c as usize])).collect();
        MetricsSnapshot {
            succeeded: column(Column::Succeeded),
            declined: column(Column::Declined),
            aborted: column(Column::Aborted),
            stray_answers: self.stray_answers.total.get(),
            stray_answers_by_endpoint: self.stray_answers.by_endpoint.borrow().clone(),
            forwards: self.forwards.get(),
            outstanding: self.outstanding.get(),
            discovered,
            ejected: self.ejected.get(),
            sighup_applied: self.applied.get(),
            sighup_rejected: self.rejected.get(),
            list_rejected: self.lists.rejected.get(),
            list_bound_bytes: self.lists.limit.get(),
            list_bytes: last_list.map_or(0, |list| list.bytes),
            list_endpoints: last_list.map_or(0, |list| list.endpoints),
            placement: None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    #[test]
    fn each_end_adds_to_its_counter() {
        let metrics = Metrics::default();
        metrics.register_classes(&["push".to_string(), "pay".to_string()]);
        for end in [
            MessageEnd::Delivered,
            MessageEnd::Refused,
            MessageEnd::Returned,
            MessageEnd::Wrong,
            MessageEnd::Failed,
            MessageEnd::Failed,
        ] {
            metrics.count("push", end);
        }
        metrics.count("nobody's", MessageEnd::Delivered);
        let snapshot: Value = serde_json::to_value(metrics.snapshot(7)).unwrap();
        assert_eq!(snapshot["succeeded"], json!({"pay": 0, "push": 1}));
        assert_eq!(snapshot["declined"], json!({"pay": 0, "push": 2}));
        assert_eq!(snapshot["aborted"], json!({"pay": 0, "push": 3}));
        assert_eq!(snapshot["discovered"], 7);
        metrics.register_classes(&["push".to_string(), "new".to_string()]);
        let snapshot: Value = serde_json::to_value(metrics.snapshot(7)).unwrap();
        assert_eq!(snapshot["succeeded"], json!({"pay": 0, "push": 1, "new": 0}));
    }
}
