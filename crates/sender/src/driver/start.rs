//! The driver's start: obtaining the endpoint listing, and restoring the state of the journal or the predecessor.

use super::{Driver, PendingMessage, SET_IN_ROUND};
use crate::endpoint_table::EndpointTable;
use crate::input::{Input, Notice};
use crate::journal::{Journal, Receiver};
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
    /// The entries of the configuration's listing, already applied to the endpoint table.
    /// The listing must not be applied again: discovery's listing may have been applied since.
    Applied(Vec<EndpointEntry>),
}

impl InitialList {
    /// Creates the initial endpoint list from the configuration; a configured list without endpoints counts as missing.
    pub fn from_config(list: Option<Listing>) -> Self {
        list.filter(|l| !l.endpoints.is_empty()).map_or(InitialList::Missing, InitialList::Configured)
    }
}

impl Driver {
    /// Waits for an endpoint listing, without which nothing can be sent.
    /// The configuration's listing may be old: it is used only if discovery sends no listing within `list_wait`.
    /// Returns the inputs that arrived during the wait, which are to be handled after the restored messages.
    /// Returns None if the stop signal was received during the wait for a listing.
    pub(super) async fn wait_for_list(
        &mut self,
        inbox: &mut mpsc::Receiver<Input>,
        known: InitialList,
    ) -> Option<Vec<Input>> {
        let deadline = tokio::time::Instant::now() + self.list_wait;
        let listed = !matches!(known, InitialList::Missing);
        if let InitialList::Applied(entries) = known {
            self.events.push(Event::Listing { complete: true, entries });
        } else if let InitialList::Configured(mut list) = known {
            let (journal, index) = (self.journal.borrow(), list.index);
            for line in list.endpoints.iter_mut().filter(|l| journal.not_ready_since(&l.name, index)) {
                line.status = "Terminating".into();
            }
            drop(journal);
            let entries = self.endpoints.borrow_mut().apply(&Listing { snapshot: true, ..list });
            self.events.push(Event::Listing { complete: true, entries });
        }
        let mut early = Vec::new();
        loop {
            let input = tokio::select! {
                input = inbox.recv() => input,
                _ = tokio::time::sleep_until(deadline), if listed => return Some(early),
            };
            match input? {
                Input::Stop => return None,
                Input::EndpointsListed { index, full, entries } => {
                    self.handle_listing(index, full, entries);
                    return Some(early);
                }
                input => early.push(input),
            }
        }
    }

    /// Passes to the dispatcher the state that an earlier process left in the journal or the predecessor handed over.
    pub(super) fn restore(&mut self) {
        let handed_over = self.handover.as_mut().and_then(|handover| handover.predecessor.take());
        let mut restored = Vec::new();
        let mut inherited_calls = Vec::new();
        let (mut attempts, mut call_of_message) = (HashMap::new(), HashMap::new());
        if let Some((state, link)) = handed_over {
            let State {
                next_message,
                next_call,
                lame_duck,
                names,
                inherited: mut dispatcher_state,
                in_flight: calls,
                ..
            } = *state;
            self.journal.borrow_mut().reserve_numbers_below(next_message);
            self.next_call = next_call;
            if lame_duck {
                _ = self.status.change(Change::LameDuck(true));
            }
            let names: HashMap<EndpointId, String> = names.into_iter().collect();
            let endpoints = self.endpoints.borrow();
            // An endpoint with calls in flight that has left the endpoint list gets a number that no other will have.
            let unlisted: BTreeSet<EndpointId> = calls.iter().map(InFlightCall::endpoint).collect();
            let number = |id: EndpointId| {
                let known = names.get(&id).and_then(|name| endpoints.number(name));
                known.or_else(|| {
                    let at = unlisted.iter().position(|other| *other == id)?;
                    Some(EndpointId(u32::MAX - 1 - u32::try_from(at).ok()?))
                })
            };
            dispatcher_state.renumber(number);
            inherited_calls = calls;
            inherited_calls
                .iter_mut()
                .for_each(|call| call.renumber(number(call.endpoint()).unwrap_or_default()));
            drop(endpoints);
            self.events.push(Event::StateInherited(Box::new(dispatcher_state)));
            attempts.extend(state.attempts);
            call_of_message.extend(state.calls);
            self.predecessor = Some(self.follow_predecessor(link, &inherited_calls, &call_of_message));
        }
        let (journal, endpoints, now) = (self.journal.borrow(), self.endpoints.borrow(), self.clock.now());
        for (name, health) in journal.health().filter(|_| self.predecessor.is_none()) {
            if let Some(endpoint) = endpoints.number(name) {
                self.events.push(Event::EndpointHealthRestored { endpoint, health });
            }
        }
        if self.predecessor.is_none() {
            self.events.extend(restored_receivers(&journal, &endpoints));
        }
        for (id, entry) in journal.entries() {
            let (message, progress) = (&entry.accepted, &entry.progress);
            let request_id = message.request_id.clone();
            if let Some(end) = progress.end {
                self.unconfirmed_notices += 1;
                // This process sends the notice and so counts the message's final outcome: its counters began at zero.
                self.metrics.count(&message.class, MessageEnd::of(end));
                _ = self.notices.send(Notice { id, request_id, end });
                continue;
            }
            // An endpoint that has left the endpoint list has no number; an unused number stands for that endpoint.
            let number = |name: &str| endpoints.number(name).unwrap_or(EndpointId(u32::MAX));
            // The rules under which the message was accepted still apply, even if the configuration has changed.
            let rules = journal.rules(entry);
            let row =
                self.class_table.row_for_restored(&message.class, rules.as_ref(), now).unwrap_or(usize::MAX);
            let attempts = attempts.get(&MsgId(id)).copied().unwrap_or(progress.attempts);
            let call = call_of_message.get(&MsgId(id)).copied();
            restored.push(Event::MessageRestored {
                id: MsgId(id),
                class: row,
                key: Some(message.order_key.clone()),
                dest: DestId(message.dest),
                time_left: SET_IN_ROUND,
                attempts,
                // The journal records only attempts that have begun.
                // If an attempt in flight has not begun, its outcome is still to be received from the predecessor.
                unreached: attempts
                    .saturating_sub(progress.attempts)
                    .saturating_sub(u32::from(call.is_some() && progress.in_flight.is_none())),
                // The predecessor's attempt that is still in flight may be answered with success.
                may_have_run: match call {
                    Some(_) => progress.may_have_run.as_ref(),
                    None => progress.first_possible_run(),
                }
                .map(|(name, at)| (number(name), *at)),
            });
            if progress.first_possible_run().is_none() {
                self.recovered.add(MsgId(id), message.deadline, progress.attempts, now);
            }
            if self.predecessor.is_some() {
                self.calls.log().inherited(&request_id, attempts, call);
            }
            self.by_request.insert(request_id, MsgId(id));
            self.class_table.add_message(row);
            self.pending.insert(MsgId(id), PendingMessage { attempts, call, row });
            self.retain_destination(MsgId(id), message.dest);
        }
        drop(journal);
        self.metrics.register_classes(self.class_table.names());
        self.events.push(Event::ClassesChanged(self.class_table.classes()));
        self.events.append(&mut restored);
        if !inherited_calls.is_empty() {
            self.events.push(Event::CallsInherited(inherited_calls));
        }
        let (mut journal, pending) = (self.journal.borrow_mut(), self.pending.iter());
        for (id, _) in pending.filter(|(_, pending)| pending.call.is_none()) {
            if let Err(e) = journal.record_attempt_settled(id.0, true) {
                eprintln!("journal: recording the end of an earlier run's attempt failed: {e}");
            }
        }
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
