//! The state that a dispatcher hands over to the dispatcher of another process.
//! The state contains measurements and calls in flight. The decisions that use the state are in `src/logic.rs`.

use crate::interface::*;
use crate::logic::Dispatcher;
use crate::state::*;

/// A dispatcher's state of destinations and endpoints.
/// The state contains rates, latencies, budgets, permit pools, waits, outages and warm-ups.
/// Endpoints have the numbers of the exporting sender until [`DispatcherState::renumber`] replaces them.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DispatcherState {
    /// Each destination's arrival rate and its traffic over a longer time.
    dests: Vec<(DestId, Rate, Rate)>,
    lanes: Vec<(LaneKey, Lane)>,
    endpoints: Vec<(EndpointId, Endpoint)>,
    /// Order keys of messages, each with the time before which the key's next message must not be sent.
    keys: Vec<(String, Micros)>,
}

/// A call in flight that is handed over to the next process.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlightCall {
    call: Call,
    /// The messages in the call, each with the number of its attempt.
    messages: Vec<(MsgId, u32, CallMessage)>,
}

/// Data of one message in a call in flight.
/// The next dispatcher needs this data for a message that already has its final outcome.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct CallMessage {
    class: usize,
    dest: DestId,
    deadline: Micros,
    sent: Micros,
}

impl DispatcherState {
    /// Returns the numbers of the endpoints in this state.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints.iter().map(|(id, _)| *id)
    }

    /// Replaces endpoint numbers with the numbers that the next dispatcher's sender uses.
    /// Drops endpoints for which `number` returns `None`.
    pub fn renumber(&mut self, number: impl Fn(EndpointId) -> Option<EndpointId>) {
        let lane_key = |key: LaneKey| match key {
            LaneKey::Route(id) => number(id).map(LaneKey::Route),
            key => Some(key),
        };
        let lanes = std::mem::take(&mut self.lanes).into_iter();
        self.lanes = lanes.filter_map(|(key, lane)| Some((lane_key(key)?, lane))).collect();
        let endpoints = std::mem::take(&mut self.endpoints).into_iter();
        let renumbered = endpoints.filter_map(|(id, endpoint)| {
            Some((number(id)?, Endpoint { lane: lane_key(endpoint.lane)?, ..endpoint }))
        });
        self.endpoints = renumbered.collect();
    }
}

impl InFlightCall {
    /// Returns the messages in the call, each with the number of its attempt.
    pub fn messages(&self) -> impl Iterator<Item = (MsgId, u32)> {
        self.messages.iter().map(|(id, attempt, _)| (*id, *attempt))
    }

    /// Returns the number of the endpoint that was called.
    pub fn endpoint(&self) -> EndpointId {
        self.call.endpoint
    }

    /// Replaces the number of the endpoint that was called.
    pub fn renumber(&mut self, number: EndpointId) {
        self.call.endpoint = number;
    }
}

impl Dispatcher {
    /// Returns the state and calls in flight of this dispatcher.
    /// State and calls reach the next dispatcher as [`Event::StateInherited`] and [`Event::CallsInherited`].
    pub fn handover_state(&self) -> (DispatcherState, Vec<InFlightCall>) {
        let state = DispatcherState {
            dests: self.destinations.iter().map(|(id, d)| (*id, d.arrival_rate, d.traffic)).collect(),
            lanes: self.lanes.iter().map(|(key, lane)| (*key, lane.clone())).collect(),
            endpoints: self.endpoints.iter().map(|(id, endpoint)| (*id, endpoint.clone())).collect(),
            keys: self.order_keys.iter().map(|(name, key)| (name.clone(), self.settled_at(key))).collect(),
        };
        let calls = self.calls.iter().map(|(number, call)| {
            let in_call = |(id, message): (&MsgId, &Message)| {
                let attempt = message.in_flight.iter().find(|a| a.call == *number)?;
                let Message { class, dest, deadline, .. } = *message;
                Some((*id, attempt.number, CallMessage { class, dest, deadline, sent: attempt.sent }))
            };
            InFlightCall { call: call.clone(), messages: self.messages.iter().filter_map(in_call).collect() }
        });
        (state, calls.collect())
    }

    /// Returns the time before which the next dispatcher must not send the key's next message.
    /// The next dispatcher does not know the keys of ended messages whose calls are in flight.
    /// Such a call lasts until the latest deadline of its messages at most, and the key settles after it.
    fn settled_at(&self, key: &OrderKey) -> Micros {
        let messages = key.queue.iter().filter_map(|(_, id)| self.messages.get(id));
        let calls = messages.filter(|message| message.closed).flat_map(|message| &message.in_flight);
        let call_ends = calls.filter_map(|attempt| self.latest_end(attempt.call));
        let settled = call_ends.map(|at| at + self.settings.order_settle);
        settled.fold(key.settle_until, Micros::max)
    }

    /// Returns the latest deadline of the messages in a call.
    fn latest_end(&self, call: u64) -> Option<Micros> {
        let in_call = |message: &&Message| message.in_flight.iter().any(|attempt| attempt.call == call);
        self.messages.values().filter(in_call).map(|message| message.deadline).max()
    }

    /// Applies another dispatcher's state to the destinations, lanes and endpoints in the endpoint list.
    /// Also adds endpoints that are missing from the endpoint list and still have calls in flight.
    /// The calls in flight themselves are added afterwards by [`Dispatcher::inherit_calls`].
    pub(crate) fn inherit_state(&mut self, state: &DispatcherState) {
        for (id, arrival_rate, traffic) in &state.dests {
            if let Some(destination) = self.destinations.get_mut(id) {
                (destination.arrival_rate, destination.traffic) = (*arrival_rate, *traffic);
            }
        }
        for (key, inherited) in &state.lanes {
            if let Some(lane) = self.lanes.get_mut(key) {
                let (dest, limit) = (lane.dest, lane.limit.or(inherited.limit));
                *lane = Lane { dest, limit, in_flight: 0, ..inherited.clone() };
            }
        }
        for (id, inherited) in &state.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                let Endpoint { lane, dest, kind, zone, listed, .. } = *endpoint;
                let inherited = inherited.clone();
                *endpoint =
                    Endpoint { lane, dest, kind, zone, listed, in_flight: 0, connections: 0, ..inherited };
                // `inherit_calls` sets `trial_sent` again if a trial is in flight.
                endpoint.unhealthy.iter_mut().for_each(|u| (u.trial_sent, u.probing) = (None, false));
            } else if inherited.in_flight > 0 {
                let endpoint = Endpoint { listed: false, in_flight: 0, connections: 0, ..inherited.clone() };
                self.destinations.entry(endpoint.dest).or_default().endpoints.insert(*id);
                let new_lane = || Lane { dest: endpoint.dest, ..Lane::default() };
                self.lanes.entry(endpoint.lane).or_insert_with(new_lane);
                self.endpoints.insert(*id, endpoint);
            }
        }
        for (name, settle_until) in &state.keys {
            self.order_keys.entry(name.clone()).or_default().settle_until = *settle_until;
        }
        self.ready.extend(self.destinations.keys());
    }

    /// Adds another process's calls in flight, with the slots, permits and trials that the calls use.
    /// Also adds the messages that wait for the outcomes of the calls.
    /// Messages that still need a final answer must have been restored before this function is called.
    pub(crate) fn inherit_calls(&mut self, calls: &[InFlightCall]) {
        for InFlightCall { call, messages } in calls {
            let endpoint = self.endpoints.get_mut(&call.endpoint).filter(|_| !messages.is_empty());
            let Some(endpoint) = endpoint else { continue };
            let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { continue };
            self.sequence += 1;
            endpoint.in_flight += 1;
            lane.in_flight += 1;
            self.slots_used += 1;
            let needed_connections = endpoint.in_flight.div_ceil(self.settings.streams_per_conn.max(1));
            endpoint.connections = endpoint.connections.max(needed_connections);
            if let Some(unhealthy) = endpoint.unhealthy.as_mut().filter(|_| call.is_trial) {
                unhealthy.trial_sent = Some(call.sent);
            }
            let (number, open_attempts) = (self.sequence, messages.len() as u32);
            self.calls.insert(number, Call { open_attempts, ..call.clone() });
            let stalls_at = call.sent + lane.latency.stall_threshold_us() as Micros + 1;
            self.schedule.insert((stalls_at, Check::Call(number)));
            for (id, attempt, inherited) in messages {
                let message = self.messages.entry(*id).or_insert_with(|| {
                    let CallMessage { class, dest, deadline, .. } = *inherited;
                    Message { class, dest, deadline, closed: true, ..Message::default() }
                });
                message.attempts = message.attempts.max(attempt + 1);
                message.in_flight.push(Attempt { number: *attempt, call: number, sent: inherited.sent });
                if let Some(destination) = self.destinations.get_mut(&message.dest) {
                    destination.pending.remove(&(message.sequence, *id));
                }
            }
        }
    }
}
