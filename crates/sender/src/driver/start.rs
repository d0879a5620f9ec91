//! How a driver comes to its list, and to what an earlier run or the process before this one has left.

use super::{AS_OF_THE_ROUND, Driver, Live};
use crate::figures::Ending;
use crate::fleet::Fleet;
use crate::input::{Input, Notice};
use crate::journal::{Journal, Receiver};
use crate::standing::Change;
use embershore_handover::State;
use embershore_protocol::listing::Listing;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, InFlightCall, MsgId, ReceiverHealth};
use std::collections::{BTreeSet, HashMap};
use tokio::sync::mpsc;

/// The list that was given with the configuration.
pub enum Known {
    /// There is none.
    Nothing,
    /// As it was given.
    Listed(Listing),
    /// The fleet has taken it over, and discovery's word after it: it must not be taken over again.
    Taken(Vec<EndpointEntry>),
}

impl Known {
    /// What the configuration gave.
    pub fn given(list: Option<Listing>) -> Self {
        list.filter(|l| !l.endpoints.is_empty()).map_or(Known::Nothing, Known::Listed)
    }
}

impl Driver {
    /// The list must be known before anything is sent. Discovery's own word is waited for, since the list
    /// given at the start may be old; without it, that list must do. What comes in meanwhile is given back:
    /// what an earlier run left goes first.
    pub(super) async fn wait_for_list(
        &mut self,
        inbox: &mut mpsc::Receiver<Input>,
        known: Known,
    ) -> Option<Vec<Input>> {
        let deadline = tokio::time::Instant::now() + self.list_wait;
        let listed = !matches!(known, Known::Nothing);
        if let Known::Taken(entries) = known {
            self.events.push(Event::Listing { complete: true, entries });
        } else if let Known::Listed(mut list) = known {
            let (journal, index) = (self.journal.borrow(), list.index);
            for line in list.endpoints.iter_mut().filter(|l| journal.barred_since(&l.name, index)) {
                line.status = "Terminating".into();
            }
            drop(journal);
            let entries = self.fleet.borrow_mut().apply(&Listing { snapshot: true, ..list });
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
                Input::Members { index, whole, entries } => {
                    self.members(index, whole, entries);
                    return Some(early);
                }
                input => early.push(input),
            }
        }
    }

    /// Hands the dispatcher what an earlier run left in the journal, or what a process has that this one replaces.
    pub(super) fn restore(&mut self) {
        let handed = self.handing.as_mut().and_then(|handing| handing.former.take());
        let mut restored = Vec::new();
        let mut out = Vec::new();
        let (mut attempts, mut in_call) = (HashMap::new(), HashMap::new());
        if let Some((state, link)) = handed {
            let State { next_message, next_call, lame_duck, names, mut learnt, out: calls, .. } = *state;
            self.journal.borrow_mut().number_from(next_message);
            self.next_call = next_call;
            if lame_duck {
                _ = self.standings.change(Change::LameDuck(true));
            }
            let names: HashMap<EndpointId, String> = names.into_iter().collect();
            let fleet = self.fleet.borrow();
            // One that is listed no more, but has calls out, bears a number that no listed one will.
            let abroad: BTreeSet<EndpointId> = calls.iter().map(InFlightCall::endpoint).collect();
            let number = |id: EndpointId| {
                let known = names.get(&id).and_then(|name| fleet.number(name));
                known.or_else(|| {
                    let at = abroad.iter().position(|other| *other == id)?;
                    Some(EndpointId(u32::MAX - 1 - u32::try_from(at).ok()?))
                })
            };
            learnt.renumber(number);
            out = calls;
            out.iter_mut().for_each(|call| call.renumber(number(call.endpoint()).unwrap_or_default()));
            drop(fleet);
            self.events.push(Event::StateInherited(Box::new(learnt)));
            attempts.extend(state.attempts);
            in_call.extend(state.calls);
            self.former = Some(self.listen_to(link, &out, &in_call));
        }
        let (journal, fleet, now) = (self.journal.borrow(), self.fleet.borrow(), self.clock.now());
        for (name, health) in journal.health().filter(|_| self.former.is_none()) {
            if let Some(endpoint) = fleet.number(name) {
                self.events.push(Event::EndpointHealthRestored { endpoint, health });
            }
        }
        if self.former.is_none() {
            self.events.extend(recalled_receivers(&journal, &fleet));
        }
        for (id, entry) in journal.entries() {
            let (message, progress) = (&entry.accepted, &entry.progress);
            let request_id = message.request_id.clone();
            if let Some(end) = progress.end {
                self.unconfirmed += 1;
                // The platform hears of it from this process, which counts from nought.
                self.figures.count(&message.class, Ending::of(end));
                _ = self.notices.send(Notice { id, request_id, end });
                continue;
            }
            // An endpoint that is listed no more has no number; any that no one has will do.
            let number = |name: &str| fleet.number(name).unwrap_or(EndpointId(u32::MAX));
            // Under the rules by which it was taken on, whatever the configuration says by now.
            let rules = journal.rules(entry);
            let row = self.rows.of(&message.class, rules.as_ref(), now).unwrap_or(usize::MAX);
            let attempts = attempts.get(&MsgId(id)).copied().unwrap_or(progress.attempts);
            let call = in_call.get(&MsgId(id)).copied();
            restored.push(Event::MessageRestored {
                id: MsgId(id),
                class: row,
                key: Some(message.order_key.clone()),
                dest: DestId(message.dest),
                time_left: AS_OF_THE_ROUND,
                attempts,
                // The journal knows of those that began. One that is out and has not will be told of yet.
                unreached: attempts
                    .saturating_sub(progress.attempts)
                    .saturating_sub(u32::from(call.is_some() && progress.out.is_none())),
                // What the process before this one has out may still end well.
                may_have_run: match call {
                    Some(_) => progress.may_have_run.as_ref(),
                    None => progress.unknown(),
                }
                .map(|(name, at)| (number(name), *at)),
            });
            if progress.unknown().is_none() {
                self.recovered.found(MsgId(id), message.deadline, progress.attempts, now);
            }
            self.by_request.insert(request_id, MsgId(id));
            self.rows.enter(row);
            self.live.insert(MsgId(id), Live { attempts, call, row });
            self.hold_destination(MsgId(id), message.dest);
        }
        drop(journal);
        self.figures.name_classes(self.rows.names());
        self.events.push(Event::ClassesChanged(self.rows.classes()));
        self.events.append(&mut restored);
        if !out.is_empty() {
            self.events.push(Event::CallsInherited(out));
        }
        let (mut journal, live) = (self.journal.borrow_mut(), self.live.iter());
        for (id, _) in live.filter(|(_, live)| live.call.is_none()) {
            if let Err(e) = journal.settled(id.0, true) {
                eprintln!("journal: {e}");
            }
        }
    }
}

/// What an earlier run knew of receivers as a whole. A journal of an earlier version does not tell: those to which it
/// holds messages, or whose endpoints were failing, may be out or just be coming back.
fn recalled_receivers(journal: &Journal, fleet: &Fleet) -> Vec<Event> {
    let mut unknown = BTreeSet::new();
    if !journal.keeps_receivers() {
        let failing = journal.health().filter_map(|(name, _)| fleet.get(fleet.number(name)?));
        unknown.extend(failing.map(|endpoint| endpoint.dest));
        unknown.extend(journal.entries().map(|(_, entry)| DestId(entry.accepted.dest)));
    }
    let unknown = unknown.into_iter().map(|dest| (dest, None, ReceiverHealth::UNKNOWN));
    let known = journal.receivers().filter_map(|(receiver, health)| match receiver {
        Receiver::Destination(dest) => Some((DestId(*dest), None, health)),
        Receiver::Route(dest, name) => Some((DestId(*dest), Some(fleet.number(name)?), health)),
    });
    let recalled = unknown.chain(known);
    recalled.map(|(dest, route, health)| Event::ReceiverHealthRestored { dest, route, health }).collect()
}
