//! What the sender reports of itself: counters from the process's start, and how things stand.

use crate::list_limit::TooLong;
use crate::placement::metrics::PlacementMetrics;
use embershore_protocol::notice::End;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Classes that are counted apart. Those of one configuration are far fewer; each new one may bring more.
const MAX_CLASSES: usize = 1000;

/// How a message ended, as far as the figures tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// An endpoint has taken it (200, or `ok` in the answer to several).
    Delivered,
    /// Its client was told `-BUSY` in place of `+OK`.
    Refused,
    /// It was taken on and its client is told by a notice that it may come again.
    Returned,
    /// Its client was told `-ERR` in place of `+OK`.
    Wrong,
    /// It was taken on and its client is told by a notice that it failed.
    Failed,
}

#[derive(Clone, Copy, Debug)]
enum Column {
    Succeeded,
    Declined,
    Aborted,
}

impl MessageEnd {
    /// What a notice tells.
    pub fn of(end: End) -> Self {
        match end {
            End::Returned { .. } => MessageEnd::Returned,
            End::Failed | End::Closed => MessageEnd::Failed,
        }
    }

    /// Where each ending counts.
    fn column(self) -> Column {
        match self {
            MessageEnd::Delivered => Column::Succeeded,
            MessageEnd::Refused | MessageEnd::Returned => Column::Declined,
            MessageEnd::Wrong | MessageEnd::Failed => Column::Aborted,
        }
    }
}

/// The figures as they are told.
#[derive(Debug, Serialize)]
pub struct MetricsSnapshot {
    succeeded: BTreeMap<String, u64>,
    declined: BTreeMap<String, u64>,
    aborted: BTreeMap<String, u64>,
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
    /// Only while placement is on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementMetrics>,
}

/// What is counted of lists that are too long.
#[derive(Debug, Default)]
pub struct ListMetrics {
    /// The bytes that a list may have.
    pub limit: Cell<usize>,
    rejected: Cell<u64>,
    last: Cell<Option<TooLong>>,
    /// No list has been taken since the last one that was too long.
    is_rejected: Cell<bool>,
}

impl ListMetrics {
    /// Counts a list that was not taken. True for the first one since one was taken.
    pub fn reject(&self, too_long: TooLong) -> bool {
        self.rejected.set(self.rejected.get() + 1);
        self.last.set(Some(too_long));
        !self.is_rejected.replace(true)
    }

    /// A list has been taken. True for the first one since one was not.
    pub fn accept(&self) -> bool {
        self.is_rejected.replace(false)
    }

    /// The list told last, if it was too long.
    pub fn rejection(&self) -> Option<TooLong> {
        self.last.get().filter(|_| self.is_rejected.get())
    }
}

/// The figures as they are kept: the driver counts the ends that it decides, a connection what it has written.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By class: delivered, declined, aborted.
    ends_by_class: RefCell<BTreeMap<String, [u64; 3]>>,
    /// Messages written whole to endpoints.
    pub forwards: Cell<u64>,
    /// Messages taken and not ended.
    pub outstanding: Cell<usize>,
    /// Listed endpoints that are avoided now.
    pub ejected: Cell<usize>,
    /// Files taken over at SIGHUP.
    pub applied: Cell<u64>,
    /// Files turned down at SIGHUP.
    pub rejected: Cell<u64>,
    /// Lists of endpoints that were too long.
    pub lists: ListMetrics,
}

impl Metrics {
    /// Lets these classes stand in the figures from now on. One that is dropped later keeps its count.
    pub fn register_classes<'a>(&self, classes: impl IntoIterator<Item = &'a String>) {
        let mut ends_by_class = self.ends_by_class.borrow_mut();
        for class in classes {
            if ends_by_class.len() < MAX_CLASSES {
                ends_by_class.entry(class.clone()).or_default();
            }
        }
    }

    /// Counts a message's end. A class that is in no configuration is not counted: its name is the client's own.
    pub fn count(&self, class: &str, ending: MessageEnd) {
        if let Some(row) = self.ends_by_class.borrow_mut().get_mut(class) {
            row[ending.column() as usize] += 1;
        }
    }

    /// All of it, where so many endpoints are listed.
    pub fn snapshot(&self, discovered: usize) -> MetricsSnapshot {
        let ends_by_class = self.ends_by_class.borrow();
        let last_list = self.lists.last.get();
        let column =
            |c: Column| ends_by_class.iter().map(|(name, row)| (name.clone(), row[c as usize])).collect();
        MetricsSnapshot {
            succeeded: column(Column::Succeeded),
            declined: column(Column::Declined),
            aborted: column(Column::Aborted),
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
    fn each_ending_counts_in_its_column() {
        let metrics = Metrics::default();
        metrics.register_classes(&["push".to_string(), "pay".to_string()]);
        for ending in [
            MessageEnd::Delivered,
            MessageEnd::Refused,
            MessageEnd::Returned,
            MessageEnd::Wrong,
            MessageEnd::Failed,
            MessageEnd::Failed,
        ] {
            metrics.count("push", ending);
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
