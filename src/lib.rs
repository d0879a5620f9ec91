//! # heronroute: decision module of the message sender
//!
//! This crate makes the decisions of a sender, a process that delivers messages to outside receivers.
//! The crate decides which pending message goes to which endpoint and when, and how long to wait for the answer.
//! The crate also decides when to retry, refuse or fail a message.
//! The crate does no I/O: a sender passes [`Event`]s and the time to a [`Dispatcher`].
//! The sender carries out the [`Action`]s that the dispatcher returns.
//!
//! The mechanism is the bulkhead: every destination owns a bounded permit pool, sized from its own traffic.
//! With separate pools, one slow destination cannot occupy all slots.
//! `README.md` ("Decisions") lists the additions to the bulkhead, and when each addition takes effect.
//!
//! ```
//! use heronroute::{Action, ClassSettings, Dispatcher, DestId, Effect, EndpointEntry, EndpointId, Event};
//! use heronroute::{KindSettings, MsgId, Outcome, Settings, Status};
//!
//! let mut settings = Settings { slots: 8, max_open: 100, max_attempts: 4, ..Settings::default() };
//! settings.classes.push(ClassSettings { effect: Effect::Safe, ..ClassSettings::default() });
//! settings.kinds.push(KindSettings { max_batch: 1, separate_routes: false });
//! let mut dispatcher = Dispatcher::new(0, 42, settings)?;
//!
//! let endpoint = EndpointEntry {
//!     endpoint: EndpointId(1), dest: DestId(7), status: Status::Up, kind: 0, zone: 0, weight: None,
//! };
//! let message = Event::Message {
//!     id: MsgId(1), class: 0, tenant: 0, key: None, dest: DestId(7), time_left: 5_000_000,
//!     resubmitted: false, may_have_run_since: None,
//! };
//! let mut actions = Vec::new();
//! let listing = Event::Listing { complete: true, entries: vec![endpoint] };
//! dispatcher.round(0, &[listing, message], &mut actions);
//! let is_send = |a: &Action| matches!(a, Action::Send { id: MsgId(1), endpoint: EndpointId(1), .. });
//! assert!(actions.iter().any(is_send));
//!
//! // Later the sender reports how the attempt ended; a delivered message needs no further answer.
//! actions.clear();
//! let outcome = Event::Outcome {
//!     id: MsgId(1), attempt: 0, endpoint: EndpointId(1), outcome: Outcome::Done, closes_message: true,
//!     elapsed: 80_000, wait: 0, report: None,
//! };
//! dispatcher.round(80_000, &[outcome], &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Fail { .. })));
//! # Ok::<(), heronroute::SettingsError>(())
//! ```

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod batching;
mod handover;
mod health;
mod interface;
mod logic;
mod measure;
mod random;
mod repeats;
mod rotation;
mod state;

pub use handover::{DispatcherState, InFlightCall};
pub use interface::*;
pub use logic::Dispatcher;

impl Dispatcher {
    /// Returns the total number of destinations, lanes, endpoints, messages, calls and order keys in memory.
    /// A sender's memory use can be monitored by this number of objects.
    pub fn tracked_items(&self) -> usize {
        let listed = self.destinations.len() + self.lanes.len() + self.endpoints.len();
        listed + self.messages.len() + self.calls.len() + self.order_keys.len()
    }
}
