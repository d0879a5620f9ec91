//! A receiver's load: its limit on calls, and its overload while the receiver is cold.

use super::fault::Fault;
use super::{Endpoint, Receiver};
use crate::event::EventKind;
use crate::history::Event;
use crate::rig::World;
use crate::span::Micros;
use std::collections::VecDeque;

/// Recent load of a lane, and the lane's state after an outage.
#[derive(Default)]
pub(super) struct Lane {
    /// When the lane returned from an outage; `None` if the lane is warm.
    pub(super) cold_since: Option<Micros>,
    /// Whether the lane was overloaded while cold; an overloaded lane stays down.
    pub(super) overloaded: bool,
    /// Loads of the calls and probes within the last overload window (`fall_window`), each with its time of arrival.
    pub(super) load: VecDeque<(Micros, f64)>,
    /// State of a limit on calls per time window: number of the current window, and calls accepted in it.
    pub(super) window: (i64, f64),
    /// State of a rate limit: the tokens of the bucket, and the time at which they were last updated.
    pub(super) bucket: (f64, Micros),
}

impl Receiver {
    pub(super) fn lane(&self, endpoint: &Endpoint) -> Option<String> {
        self.separate_routes.then(|| endpoint.name.clone())
    }

    pub(super) fn is_overloaded(&self, endpoint: &Endpoint) -> bool {
        self.lanes.borrow().get(&self.lane(endpoint)).is_some_and(|l| l.overloaded)
    }

    /// Returns whether the endpoint resets its connections because it is in an outage or was overloaded.
    pub(super) fn resets_connections(&self, endpoint: &Endpoint) -> bool {
        endpoint.fault(EventKind::Down).is_some() || self.is_overloaded(endpoint)
    }

    /// Returns whether all endpoints of the receiver, except those that drain, are in an outage.
    pub(super) fn all_unavailable(&self) -> bool {
        let endpoints = self.endpoints.borrow();
        let mut up = endpoints.iter().filter(|e| !e.draining.get()).peekable();
        up.peek().is_some() && up.all(|e| e.faults.borrow().iter().any(Fault::is_outage))
    }

    /// Adds load to a cold lane, and records an overload if the lane's load exceeds the limit.
    pub(super) fn record_load(&self, world: &World, endpoint: &Endpoint, t: Micros, weight: f64) {
        let key = self.lane(endpoint);
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(key.clone()).or_default();
        let Some(back) = lane.cold_since.filter(|_| !lane.overloaded) else { return };
        let parameters = &world.scenario.parameters;
        let receiver_parameters = &parameters.receivers[self.index];
        if t - back > receiver_parameters.warm_up {
            lane.cold_since = None;
            lane.load.clear();
            return;
        }
        lane.load.push_back((t, weight));
        while lane.load.front().is_some_and(|(at, _)| *at <= t - parameters.rules.fall_window) {
            lane.load.pop_front();
        }
        let sent: f64 = lane.load.iter().map(|l| l.1).sum();
        let part = if key.is_some() { 1.0 / self.endpoints.borrow().len().max(1) as f64 } else { 1.0 };
        if sent > parameters.rules.overload_limit(receiver_parameters.capacity_after(t - back) * part) {
            lane.overloaded = true;
            world.record(Event::Overloaded { receiver: self.spec.number, endpoint: key });
        }
    }

    /// Returns the factor by which the endpoint's lane is slower while cold; 1 if the lane is warm.
    pub(super) fn cold_slowdown(&self, world: &World, endpoint: &Endpoint, t: Micros) -> f64 {
        let lanes = self.lanes.borrow();
        let Some(back) = lanes.get(&self.lane(endpoint)).and_then(|l| l.cold_since) else { return 1.0 };
        let receiver_parameters = &world.scenario.parameters.receivers[self.index];
        receiver_parameters.capacity
            / receiver_parameters.capacity_after(t - back).max(receiver_parameters.capacity / 1000.0)
    }

    /// Accepts a call if the receiver's limit allows it; otherwise returns the time until a call is allowed again.
    pub(super) fn check_limit(&self, endpoint: &Endpoint, t: Micros) -> Result<(), Micros> {
        let Some(limit) = self.spec.limit else { return Ok(()) };
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(self.lane(endpoint)).or_default();
        let routes = if self.separate_routes { self.endpoints.borrow().len().max(1) as f64 } else { 1.0 };
        let max_calls = limit.calls / routes;
        if let Some(window) = limit.window {
            let number = t / window.0;
            if lane.window.0 != number {
                lane.window = (number, 0.0);
            }
            if lane.window.1 + 1.0 > max_calls.max(1.0) {
                return Err((number + 1) * window.0 - t);
            }
            lane.window.1 += 1.0;
            return Ok(());
        }
        // The rate limit's token bucket holds the calls of one second.
        // Refused calls use tokens too, down to a deficit of the calls of one second.
        let (left, since) = lane.bucket;
        let refilled = if since == 0 { max_calls } else { left + max_calls * (t - since) as f64 / 1e6 };
        let tokens = refilled.min(max_calls.max(1.0)) - 1.0;
        lane.bucket = (tokens.max(-max_calls), t);
        if tokens < 0.0 { Err((-tokens / max_calls * 1e6) as Micros) } else { Ok(()) }
    }
}
