//! What a dispatcher hands to the one that goes on in its place, in another process: what it has learnt, and the
//! calls that are out. Nothing is decided here; the decisions that go by it are in `src/logic.rs`.

use crate::interface::*;
use crate::logic::Dispatcher;
use crate::state::*;

/// What a dispatcher knows of destinations and endpoints: their rates, latencies, budgets and pools, waits, outages
/// and how far a return has come. Endpoints bear the numbers of the sender that learnt it until
/// [`DispatcherState::renumber`] gives them others.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DispatcherState {
    dests: Vec<(DestId, Rate, Rate)>,
    lanes: Vec<(LaneKey, Lane)>,
    endpoints: Vec<(EndpointId, Endpoint)>,
    /// Until when each key rests.
    keys: Vec<(String, Micros)>,
}

/// A call that is out.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlightCall {
    call: Call,
    /// The messages in it, and for each the attempt that this call is to it.
    messages: Vec<(MsgId, u32, Adopted)>,
}

/// What must be known of a message that is over and has a call out.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Adopted {
    class: usize,
    dest: DestId,
    deadline: Micros,
    sent: Micros,
}

impl DispatcherState {
    /// The endpoints of which it tells.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints.iter().map(|(id, _)| *id)
    }

    /// Gives endpoints the numbers by which the next dispatcher's sender calls them; what has none is left out.
    pub fn renumber(&mut self, number: impl Fn(EndpointId) -> Option<EndpointId>) {
        let lane = |key: LaneKey| match key {
            LaneKey::Route(id) => number(id).map(LaneKey::Route),
            key => Some(key),
        };
        let lanes = std::mem::take(&mut self.lanes).into_iter();
        self.lanes = lanes.filter_map(|(key, l)| Some((lane(key)?, l))).collect();
        let endpoints = std::mem::take(&mut self.endpoints).into_iter();
        let renumbered =
            endpoints.filter_map(|(id, e)| Some((number(id)?, Endpoint { lane: lane(e.lane)?, ..e })));
        self.endpoints = renumbered.collect();
    }
}

impl InFlightCall {
    /// The messages in it, and for each the attempt that this call is to it.
    pub fn messages(&self) -> impl Iterator<Item = (MsgId, u32)> {
        self.messages.iter().map(|(id, attempt, _)| (*id, *attempt))
    }

    /// Where it went.
    pub fn endpoint(&self) -> EndpointId {
        self.call.endpoint
    }

    /// Gives its endpoint another number.
    pub fn renumber(&mut self, number: EndpointId) {
        self.call.endpoint = number;
    }
}

impl Dispatcher {
    /// What the next dispatcher is to know, by [`Event::StateInherited`] and [`Event::CallsInherited`].
    pub fn handover_state(&self) -> (DispatcherState, Vec<InFlightCall>) {
        let learnt = DispatcherState {
            dests: self.dests.iter().map(|(id, d)| (*id, d.rate, d.share)).collect(),
            lanes: self.lanes.iter().map(|(key, l)| (*key, l.clone())).collect(),
            endpoints: self.endpoints.iter().map(|(id, e)| (*id, e.clone())).collect(),
            keys: self.keys.iter().map(|(name, k)| (name.clone(), k.rest_until)).collect(),
        };
        let out = self.calls.iter().map(|(number, call)| {
            let of = |(id, msg): (&MsgId, &Msg)| {
                let a = msg.out.iter().find(|a| a.call == *number)?;
                let Msg { class, dest, deadline, .. } = *msg;
                Some((*id, a.no, Adopted { class, dest, deadline, sent: a.sent }))
            };
            InFlightCall { call: call.clone(), messages: self.msgs.iter().filter_map(of).collect() }
        });
        (learnt, out.collect())
    }

    /// Takes over what was learnt, for what the list names. What is out comes later, by [`Dispatcher::adopt`].
    pub(crate) fn learn(&mut self, learnt: &DispatcherState) {
        for (id, rate, share) in &learnt.dests {
            if let Some(d) = self.dests.get_mut(id) {
                (d.rate, d.share) = (*rate, *share);
            }
        }
        for (key, was) in &learnt.lanes {
            if let Some(l) = self.lanes.get_mut(key) {
                let (dest, limit) = (l.dest, l.limit.or(was.limit));
                *l = Lane { dest, limit, out: 0, ..was.clone() };
            }
        }
        for (id, was) in &learnt.endpoints {
            if let Some(e) = self.endpoints.get_mut(id) {
                let Endpoint { lane, dest, kind, zone, listed, .. } = *e;
                *e = Endpoint { lane, dest, kind, zone, listed, out: 0, conns: 0, ..was.clone() };
                // Whether its trial is out is told by the call itself.
                e.trouble.iter_mut().for_each(|t| (t.trial, t.probing) = (None, false));
            } else if was.out > 0 {
                let e = Endpoint { listed: false, out: 0, conns: 0, ..was.clone() };
                self.dests.entry(e.dest).or_default().endpoints.insert(*id);
                self.lanes.entry(e.lane).or_insert_with(|| Lane { dest: e.dest, ..Lane::default() });
                self.endpoints.insert(*id, e);
            }
        }
        for (name, rest_until) in &learnt.keys {
            self.keys.entry(name.clone()).or_default().rest_until = *rest_until;
        }
        self.ready.extend(self.dests.keys());
    }

    /// Counts calls that another process has out: their slots, permits and trials, and the messages that wait for
    /// their ends. Messages that are still owed an end have been restored before.
    pub(crate) fn adopt(&mut self, calls: &[InFlightCall]) {
        for InFlightCall { call, messages } in calls {
            let Some(e) = self.endpoints.get_mut(&call.endpoint).filter(|_| !messages.is_empty()) else {
                continue;
            };
            let Some(lane) = self.lanes.get_mut(&e.lane) else { continue };
            self.seq += 1;
            (e.out, lane.out, self.used) = (e.out + 1, lane.out + 1, self.used + 1);
            e.conns = e.conns.max(e.out.div_ceil(self.set.streams_per_conn.max(1)));
            if let Some(t) = e.trouble.as_mut().filter(|_| call.trial) {
                t.trial = Some(call.sent);
            }
            let (number, left) = (self.seq, messages.len() as u32);
            self.calls.insert(number, Call { left, ..call.clone() });
            self.agenda.insert((call.sent + lane.latency.silence() as Micros + 1, Due::Call(number)));
            for (id, attempt, was) in messages {
                let msg = self.msgs.entry(*id).or_insert_with(|| {
                    let Adopted { class, dest, deadline, .. } = *was;
                    Msg { class, dest, deadline, closed: true, ..Msg::default() }
                });
                msg.attempts = msg.attempts.max(attempt + 1);
                msg.out.push(Attempt { no: *attempt, call: number, sent: was.sent });
                if let Some(d) = self.dests.get_mut(&msg.dest) {
                    d.hold.remove(&(msg.seq, *id));
                }
            }
        }
    }
}
