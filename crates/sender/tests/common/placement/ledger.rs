//! The ledger: observations of all stand-ins, in the format of a recorded history of the rehearsal kit.

use embershore_rehearsal::history::{Event, Record};
use embershore_rehearsal::span::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Instant;

/// The records of one scenario, and the destinations of its messages by message id.
pub struct Ledger {
    started: Instant,
    records: RefCell<Vec<Record>>,
    calls: Cell<u64>,
    destinations: RefCell<HashMap<String, i64>>,
}

impl Ledger {
    pub fn new() -> Self {
        Ledger {
            started: Instant::now(),
            records: RefCell::default(),
            calls: Cell::new(0),
            destinations: RefCell::default(),
        }
    }

    /// Returns the microseconds since the scenario started.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Records an event in the ledger with the current time.
    pub fn record(&self, event: Event) {
        if let Event::Offer { id, receiver, .. } = &event {
            self.destinations.borrow_mut().insert(id.clone(), *receiver);
        }
        self.records.borrow_mut().push(Record { t: self.now(), event });
    }

    /// Returns a new number for a call to a receiver; calls are numbered consecutively.
    pub fn next_call(&self) -> u64 {
        self.calls.set(self.calls.get() + 1);
        self.calls.get()
    }

    /// Returns the destination of the message with this id, or `None` if no client has put the message.
    pub fn destination(&self, id: &str) -> Option<i64> {
        self.destinations.borrow().get(id).copied()
    }

    /// Returns all records that the ledger contains so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }

    /// Counts the recorded events for which `holds` returns true.
    pub fn count(&self, holds: impl Fn(&Event) -> bool) -> usize {
        self.records.borrow().iter().filter(|r| holds(&r.event)).count()
    }
}
