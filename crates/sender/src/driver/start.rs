//! The driver's start: obtaining the endpoint listing, and restoring the state of the journal or the predecessor.

use super::{Driver, PendingMessage, SET_IN_ROUND};
use crate::endpoint_table::EndpointTable;
use crate::input::{Input, Notice};
use crate::journal::{Entry, Journal, Receiver};
use crate::metrics::MessageEnd;
use crate::status::Change;
use embershore_handover::State;
use embershore_protocol::listing::Listing;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, InFlightCall, MsgId, ReceiverHealth};
use std::collections::{BTreeSet, HashMap};
use tokio::sync::mpsc;

/// The endpoint listing given with the configuration.
pub enum InitialList {
    /// The configuration has no endpoint listing.
    Missing,
    /// The configuration's endpoint listing, not applied to the endpoint table yet.
    Configured(Listing),
    /// The version and the entries of the configuration's listing, already applied to the endpoint table.
    /// The listing must not be applied again: discovery's listing may have been applied since.
    Applied(u64, Vec<EndpointEntry>),
}

impl InitialList {
    /// Creates the initial endpoint list from the configuration; a configured list without endpoints counts as missing.
    pub fn from_config(list: Option<Listing>) -> Self {
        list.filter(|l| !l.endpoints.is_empty()).map_or(InitialList::Missing, InitialList::Configured)
    }
}

impl Driver {
    /// Waits for an endpoint listing for at most `list_wait`.
    /// The configuration's listing may be old: it is used only if discovery sends no listing in that time.
    /// Without any listing the process starts all the same: the messages of an earlier process must end in time.
    /// Returns the inputs that arrived during the wait, which are to be handled after the restored messages.
    /// Returns None if the stop signal was received during the wait.
    pub(super) async fn wait_for_list(
        &mut self,
        inbox: &mut mpsc::Receiver<Input>,
        known: InitialList,
    ) -> Option<Vec<Input>> {
        let deadline = tokio::time::Instant::now() + self.list_wait;
        self.list_known = !matches!(known, InitialList::Missing);
        if let InitialList::Applied(index, entries) = known {
            self.highest_version = index;
            self.events.push(Event::Listing { complete: true, entries });
        } else if let InitialList::Configured(mut list) = known {
            self.highest_version = list.index;
            apply_recorded_drains(&mut list, &self.journal.borrow());
            let entries = self.endpoints.borrow_mut().apply(&Listing { snapshot: true, ..list });
            self.events.push(Event::Listing { complete: true, entries });
        }
        let mut early = Vec::new();
        while let Ok(input) = tokio::time::timeout_at(deadline, inbox.recv()).await {
            match input? {
                Input::Stop => return None,
                Input::EndpointsListed { index, full, entries } => {
                    self.list_known = true;
                    self.record_listing(index, full, entries);
                    break;
                }
                input => early.push(input),
            }
        }
        Some(early)
    }

    /// Passes to the dispatcher the state that an earlier process left in the journal or the predecessor handed over.
    pub(super) fn restore(&mut self) {
        let handed_over = self.handover.as_mut().and_then(|handover| handover.predecessor.take());
        let calls = handed_over.map_or_else(PredecessorCalls::default, |(state, link)| {
            let calls = self.take_over_state(*state);
            self.predecessor = Some(self.follow_predecessor(link, &calls.in_flight, &calls.call_of_message));
            calls
        });
        if self.list_known {
            self.restore_health();
        }
        let messages = self.restore_messages(&calls);
        self.metrics.register_classes(self.class_table.names());
        self.events.push(Event::ClassesChanged(self.class_table.classes()));
        self.events.extend(messages);
        if !calls.in_flight.is_empty() {
            self.events.push(Event::CallsInherited(calls.in_flight));
        }
        self.settle_interrupted_attempts();
    }

    /// Takes over the predecessor's state, and returns what the predecessor knows of its calls.
    fn take_over_state(&mut self, state: State) -> PredecessorCalls {
        let State { next_message, next_call, lame_duck, names, attempts, calls, .. } = state;
        let (mut inherited, mut in_flight) = (state.inherited, state.in_flight);
        self.journal.borrow_mut().reserve_numbers_below(next_message);
        self.next_call = next_call;
        if lame_duck {
            _ = self.status.change(Change::LameDuck(true));
        }
        let names: HashMap<EndpointId, String> = names.into_iter().collect();
        let endpoints = self.endpoints.borrow();
        // An endpoint with calls in flight that has left the endpoint list gets a number that no other will have.
        let unlisted: BTreeSet<EndpointId> = in_flight.iter().map(InFlightCall::endpoint).collect();
        let number = |id: EndpointId| {
            let known = names.get(&id).and_then(|name| endpoints.number(name));
            known.or_else(|| {
                let at = unlisted.iter().position(|other| *other == id)?;
                Some(EndpointId(EndpointId::UNKNOWN.0 - 1 - u32::try_from(at).ok()?))
            })
        };
        inherited.renumber(number);
        for call in &mut in_flight {
            call.renumber(number(call.endpoint()).unwrap_or_default());
        }
        drop(endpoints);
        self.events.push(Event::StateInherited(Box::new(inherited)));
        let (attempts, call_of_message) = (attempts.into_iter().collect(), calls.into_iter().collect());
        PredecessorCalls { in_flight, attempts, call_of_message }
    }

    /// Restores the health of endpoints and receivers from the journal, unless the predecessor's state contains it.
    /// The dispatcher must know the endpoint list, or be told of it before.
    pub(super) fn restore_health(&mut self) {
        if self.predecessor.is_some() {
            return;
        }
        let (journal, endpoints) = (self.journal.borrow(), self.endpoints.borrow());
        for (name, health) in journal.health() {
            if let Some(endpoint) = endpoints.number(name) {
                self.events.push(Event::EndpointHealthRestored { endpoint, health });
            }
        }
        self.events.extend(restored_receivers(&journal, &endpoints));
    }

    /// Restores the journal's messages: queues the notices of those that have ended, and returns the events of the others.
    fn restore_messages(&mut self, calls: &PredecessorCalls) -> Vec<Event> {
        let (journal, now) = (self.journal.clone(), self.clock.now());
        let (endpoints, list_known) = (self.endpoints.clone(), self.list_known);
        // An endpoint that has left the endpoint list has no number; an unused number stands for that endpoint.
        // Without a list, the endpoint gets the number that it will have if a list contains it.
        let mut number = |name: &str| {
            let listed = endpoints.borrow().number(name);
            match listed {
                None if list_known => EndpointId::UNKNOWN,
                _ => listed.unwrap_or_else(|| endpoints.borrow_mut().reserve_number(name)),
            }
        };
        let mut restored = Vec::new();
        for (id, entry) in journal.borrow().entries() {
            let (message, progress) = (&entry.accepted, &entry.progress);
            let request_id = message.request_id.clone();
            if let Some(end) = progress.end {
                self.unconfirmed_notices += 1;
                // This process sends the notice and so counts the message's final outcome: its counters began at zero.
                self.metrics.count(&message.class, MessageEnd::of(end));
                _ = self.notices.send(Notice { id, request_id, end });
                continue;
            }
            // The rules under which the message was accepted still apply, even if the configuration has changed.
            let rules = journal.borrow().rules(entry);
            let row =
                self.class_table.row_for_restored(&message.class, rules.as_ref(), now).unwrap_or(usize::MAX);
            let id = MsgId(id);
            let attempts = calls.attempts.get(&id).copied().unwrap_or(progress.attempts);
            let call = calls.call_of_message.get(&id).copied();
            restored.push(restored_message(id, entry, row, attempts, call.is_some(), &mut number));
            if progress.first_possible_run().is_none() {
                self.recovered.add(id, message.deadline, progress.attempts, now);
            }
            if self.predecessor.is_some() {
                self.calls.log().inherited(&request_id, attempts, call);
            }
            self.by_request.insert(request_id, id);
            self.class_table.add_message(row);
            self.pending.insert(id, PendingMessage { attempts, call, row });
            self.retain_destination(id, message.dest);
        }
        restored
    }

    /// Records that the attempts which no running process makes any more have ended, and may have taken effect.
    fn settle_interrupted_attempts(&self) {
        let mut journal = self.journal.borrow_mut();
        for (id, _) in self.pending.iter().filter(|(_, pending)| pending.call.is_none()) {
            if let Err(e) = journal.record_attempt_settled(id.0, true) {
                eprintln!("journal: recording the end of an earlier run's attempt failed: {e}");
            }
        }
    }
}

/// What the predecessor knows of its messages' attempts and its calls in flight; empty without a predecessor.
#[derive(Default)]
struct PredecessorCalls {
    in_flight: Vec<InFlightCall>,
    /// The number of attempts of each message, including those that failed before their first byte was sent.
    attempts: HashMap<MsgId, u32>,
    /// The call in flight that carries each message.
    call_of_message: HashMap<MsgId, u64>,
}

/// Marks the endpoints of the configuration's list that were told to drain after the list was made.
/// If the journal has dropped such drains, any endpoint may be one of them: none is used until discovery lists it.
fn apply_recorded_drains(list: &mut Listing, journal: &Journal) {
    let index = list.index;
    let all = journal.has_forgotten_drains_since(index);
    if all {
        eprintln!(
            "journal: drains later than the configuration's list of version {index} have been dropped for lack of \
             room; its endpoints are used once discovery lists them"
        );
    }
    for line in list.endpoints.iter_mut().filter(|l| all || journal.not_ready_since(&l.name, index)) {
        line.status = "Terminating".into();
    }
}

/// Returns the event that restores a message of the journal.
/// `attempts` counts the attempts that the earlier process made, of which the journal records those that have begun.
/// `has_call` is whether a running predecessor has a call in flight that carries the message.
pub(crate) fn restored_message(
    id: MsgId,
    entry: &Entry,
    class: usize,
    attempts: u32,
    has_call: bool,
    mut number: impl FnMut(&str) -> EndpointId,
) -> Event {
    let (message, progress) = (&entry.accepted, &entry.progress);
    // If an attempt in flight has not begun, its outcome is still to be received from the predecessor.
    let not_begun = u32::from(has_call && progress.in_flight.is_none());
    // The predecessor's attempt that is still in flight may be answered with success.
    let possible_run = if has_call { progress.may_have_run.as_ref() } else { progress.first_possible_run() };
    Event::MessageRestored {
        id,
        class,
        key: Some(message.order_key.clone()),
        dest: DestId(message.dest),
        time_left: SET_IN_ROUND,
        attempts,
        unreached: attempts.saturating_sub(progress.attempts).saturating_sub(not_begun),
        may_have_run: possible_run.map(|(name, at)| (number(name), *at)),
    }
}

/// Returns the receivers' health as the earlier process recorded it in the journal.
/// A journal of an earlier version does not record receivers' health.
/// Receivers that have messages in a journal without health records may be down or warming up, as may
/// receivers whose endpoints were failing.
/// The health of such receivers is restored as unknown.
fn restored_receivers(journal: &Journal, endpoints: &EndpointTable) -> Vec<Event> {
    let mut unknown = BTreeSet::new();
    if !journal.has_receiver_records() {
        let failing = journal.health().filter_map(|(name, _)| endpoints.get(endpoints.number(name)?));
        unknown.extend(failing.map(|endpoint| endpoint.dest));
        unknown.extend(journal.entries().map(|(_, entry)| DestId(entry.accepted.dest)));
    }
    let unknown = unknown.into_iter().map(|dest| (dest, None, ReceiverHealth::UNKNOWN));
    let known = journal.receivers().filter_map(|(receiver, health)| match receiver {
        Receiver::Destination(dest) => Some((DestId(*dest), None, health)),
        Receiver::Route(dest, name) => Some((DestId(*dest), Some(endpoints.number(name)?), health)),
    });
    unknown
        .chain(known)
        .map(|(dest, route, health)| Event::ReceiverHealthRestored { dest, route, health })
        .collect()
}
