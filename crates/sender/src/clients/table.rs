//! The open connections of one server: which of them is evicted at the connection limit, and their byte limits.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, Semaphore};
use tokio::task::AbortHandle;

/// Silence after which a connection is the first to be evicted at the connection limit.
/// Only silence before a connection's first command or within a command counts.
const EVICT_SILENT_AFTER: Duration = Duration::from_millis(300);
/// Time without a request after which a connection that has been served may be evicted at the connection limit.
/// Such idle connections are evicted after those that fell silent before or within a command.
const EVICT_SERVED_AFTER: Duration = Duration::from_millis(1000);

/// The state of a connection on which the order of eviction depends.
pub(super) struct ClientEntry {
    /// Whether a request on the connection has been answered.
    pub(super) served: Cell<bool>,
    /// Whether a request on the connection is being processed.
    pub(super) busy: Cell<bool>,
    /// When the connection's last request was answered, or else when the connection was accepted.
    pub(super) idle_since: Cell<Instant>,
    /// When input was last read from the connection.
    pub(super) last_read: Cell<Instant>,
    /// Whether the last command in the input read so far is incomplete.
    pub(super) partial: Cell<bool>,
    pub(super) task: OnceCell<AbortHandle>,
}

impl ClientEntry {
    /// Returns the connection's rank for eviction: the lowest is evicted first. Busy connections are never evicted.
    fn rank(&self, now: Instant) -> (u8, Instant) {
        let last = self.idle_since.get().max(self.last_read.get());
        let silent_for = now.saturating_duration_since(last);
        let awaits_input = self.partial.get() || !self.served.get();
        let rank = match awaits_input {
            // The client has not sent a complete command, and has sent nothing for a while.
            true if silent_for >= EVICT_SILENT_AFTER => 0,
            false if silent_for >= EVICT_SERVED_AFTER => 1,
            // The rest of the command may be in transit: a message whose connection is closed now is lost.
            true => 2,
            false => 3,
        };
        (rank, last)
    }
}

/// The open connections of one server, and its byte limits.
pub(super) struct ClientTable {
    /// The number of open connections to the server, shared with the driver.
    pub(super) open_count: Rc<Cell<usize>>,
    pub(super) entries: RefCell<BTreeMap<u64, Rc<ClientEntry>>>,
    pub(super) freed: Notify,
    /// Permits for the total bytes of incomplete commands longer than the usual.
    pub(super) buffers: Arc<Semaphore>,
    /// Permits for the total bytes of messages that have been read and have no reply yet.
    pub(super) bodies: Arc<Semaphore>,
}

impl ClientTable {
    /// Makes room for a new connection; returns false if all connections are busy.
    /// At the limit an idle connection is evicted, so that many silent connections can't keep out active ones.
    pub(super) async fn make_room(&self, max_connections: usize) -> bool {
        while self.entries.borrow().len() >= max_connections {
            {
                let entries = self.entries.borrow();
                let idle = entries.values().filter(|entry| !entry.busy.get());
                let now = Instant::now();
                let longest = idle.min_by_key(|entry| entry.rank(now));
                let Some(task) = longest.and_then(|entry| entry.task.get()) else { return false };
                task.abort();
            }
            self.freed.notified().await;
        }
        true
    }
}

/// Removes a client's connection from the table when the guard is dropped.
pub(super) struct ClientGuard {
    pub(super) table: Rc<ClientTable>,
    pub(super) number: u64,
    pub(super) entry: Rc<ClientEntry>,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(&self.number);
        self.table.open_count.set(self.table.entries.borrow().len());
        self.table.freed.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn order_of_eviction() {
        let (start, second) = (Instant::now(), Duration::from_secs(1));
        let now = start + 10 * second;
        // Creates a connection's entry. `served`: a request was answered. `partial`: the last command is incomplete.
        let entry = |served: bool, partial: bool, silent_for: Duration| ClientEntry {
            served: Cell::new(served),
            busy: Cell::new(false),
            idle_since: Cell::new(start),
            last_read: Cell::new(now - silent_for),
            partial: Cell::new(partial),
            task: OnceCell::new(),
        };
        let order = [
            ("never served, silent for 2 s", entry(false, false, 2 * second)),
            ("incomplete command, silent for 1 s", entry(false, true, second)),
            ("served, then an incomplete command, silent for 0.5 s", entry(true, true, second / 2)),
            ("served, silent for 2 s", entry(true, false, 2 * second)),
            ("served, silent for 1 s", entry(true, false, second)),
            ("never served, silent for 0.1 s", entry(false, false, second / 10)),
            ("incomplete command, silent for 0.01 s", entry(false, true, second / 100)),
            ("served, silent for 0.5 s", entry(true, false, second / 2)),
        ];
        for pair in order.windows(2) {
            let ((first, a), (then, b)) = (&pair[0], &pair[1]);
            assert!(a.rank(now) < b.rank(now), "'{first}' is evicted before '{then}'");
        }
    }
}
