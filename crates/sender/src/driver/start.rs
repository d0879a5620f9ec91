//! How a driver comes to its list, and to what an earlier run or the process before this one has left.

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

/// The list that was given with the configuration.
pub enum InitialList {
    /// There is none.
    Missing,
    /// As it was given.
    Configured(Listing),
    /// The fleet has taken it over, and discovery's word after it: it must not be taken over again.
    Applied(Vec<EndpointEntry>),
}

impl InitialList {
    /// What the configuration gave.
    pub fn from_config(list: Option<Listing>) -> Self {
        list.filter(|l| !l.endpoints.is_empty()).map_or(InitialList::Missing, InitialList::Configured)
    }
}

impl Driver {
    /// The list must be known before anything is sent. Discovery's own word is waited for, since the list
    /// given at the start may be old; without it, that list must do. What comes in meanwhile is given back:
    /// what an earlier run left goes first.
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

    /// Hands the dispatcher what an earlier run left in the journal, or what a process has that this one replaces.
    pub(super) fn restore(&mut self) {
        let handed = self.handover.as_mut().and_then(|handover| handover.predecessor.take());
        let mut restored = Vec::new();
        let mut out = Vec::new();
        let (mut attempts, mut in_call) = (HashMap::new(), HashMap::new());
        if let Some((state, link)) = handed {
            let State { next_message, next_call, lame_duck, names, mut learnt, out: calls, .. } = *state;
            self.journal.borrow_mut().reserve_numbers_below(next_message);
            self.next_call = next_call;
            if lame_duck {
                _ = self.status.change(Change::LameDuck(true));
            }
            let names: HashMap<EndpointId, String> = names.into_iter().collect();
            let endpoints = self.endpoints.borrow();
            // One that is listed no more, but has calls out, bears a number that no listed one will.
            let abroad: BTreeSet<EndpointId> = calls.iter().map(InFlightCall::endpoint).collect();
            let number = |id: EndpointId| {
                let known = names.get(&id).and_then(|name| endpoints.number(name));
                known.or_else(|| {
                    let at = abroad.iter().position(|other| *other == id)?;
                    Some(EndpointId(u32::MAX - 1 - u32::try_from(at).ok()?))
                })
            };
            learnt.renumber(number);
            out = calls;
            out.iter_mut().for_each(|call| call.renumber(number(call.endpoint()).unwrap_or_default()));
            drop(endpoints);
            self.events.push(Event::StateInherited(Box::new(learnt)));
            attempts.extend(state.attempts);
            in_call.extend(state.calls);
            self.predecessor = Some(self.follow_predecessor(link, &out, &in_call));
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
                // The platform hears of it from this process, which counts from nought.
                self.metrics.count(&message.class, MessageEnd::of(end));
                _ = self.notices.send(Notice { id, request_id, end });
                continue;
            }
            // An endpoint that is listed no more has no number; any that no one has will do.
            let number = |name: &str| endpoints.number(name).unwrap_or(EndpointId(u32::MAX));
            // Under the rules by which it was taken on, whatever the configuration says by now.
            let rules = journal.rules(entry);
            let row =
                self.class_table.row_for_restored(&message.class, rules.as_ref(), now).unwrap_or(usize::MAX);
            let attempts = attempts.get(&MsgId(id)).copied().unwrap_or(progress.attempts);
            let call = in_call.get(&MsgId(id)).copied();
            restored.push(Event::MessageRestored {
                id: MsgId(id),
                class: row,
                key: Some(message.order_key.clone()),
                dest: DestId(message.dest),
                time_left: SET_IN_ROUND,
                attempts,
                // The journal knows of those that began. One that is out and has not will be told of yet.
                unreached: attempts
                    .saturating_sub(progress.attempts)
                    .saturating_sub(u32::from(call.is_some() && progress.in_flight.is_none())),
                // What the process before this one has out may still end well.
                may_have_run: match call {
                    Some(_) => progress.may_have_run.as_ref(),
                    None => progress.first_possible_run(),
                }
                .map(|(name, at)| (number(name), *at)),
            });
            if progress.first_possible_run().is_none() {
                self.recovered.found(MsgId(id), message.deadline, progress.attempts, now);
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
        if !out.is_empty() {
            self.events.push(Event::CallsInherited(out));
        }
        let (mut journal, pending) = (self.journal.borrow_mut(), self.pending.iter());
        for (id, _) in pending.filter(|(_, pending)| pending.call.is_none()) {
            if let Err(e) = journal.record_attempt_settled(id.0, true) {
                eprintln!("journal: {e}");
            }
        }
    }
}

/// What an earlier run knew of receivers as a whole. A journal of an earlier version does not tell: those to which it
/// holds messages, or whose endpoints were failing, may be out or just be coming back.
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
    let recalled = unknown.chain(known);
    recalled.map(|(dest, route, health)| Event::ReceiverHealthRestored { dest, route, health }).collect()
}
