//! What a receiver is sent and what it takes: its limit, and how it falls over while it is cold.

use super::fault::Fault;
use super::{Endpoint, Receiver};
use crate::event::EventKind;
use crate::history::Event;
use crate::rig::World;
use crate::span::Micros;
use std::collections::VecDeque;

/// What a lane (a receiver, or a route of it) was sent lately, and since when it is cold.
#[derive(Default)]
pub(super) struct Lane {
    pub(super) back: Option<Micros>,
    pub(super) overloaded: bool,
    pub(super) load: VecDeque<(Micros, f64)>,
    /// The limit: the span's number and what was taken in it, or a bucket and when it was filled last.
    pub(super) span: (i64, f64),
    pub(super) bucket: (f64, Micros),
}

impl Receiver {
    pub(super) fn lane(&self, endpoint: &Endpoint) -> Option<String> {
        self.separate_routes.then(|| endpoint.name.clone())
    }

    pub(super) fn is_overloaded(&self, endpoint: &Endpoint) -> bool {
        self.lanes.borrow().get(&self.lane(endpoint)).is_some_and(|l| l.overloaded)
    }

    /// It takes nothing: it is down, or was pushed over.
    pub(super) fn resets_connections(&self, endpoint: &Endpoint) -> bool {
        endpoint.fault(EventKind::Down).is_some() || self.is_overloaded(endpoint)
    }

    /// Every endpoint that does not drain is out.
    pub(super) fn all_unavailable(&self) -> bool {
        let endpoints = self.endpoints.borrow();
        let mut up = endpoints.iter().filter(|e| !e.draining.get()).peekable();
        up.peek().is_some() && up.all(|e| e.faults.borrow().iter().any(Fault::is_outage))
    }

    /// Counts the load on a cold lane, and whether that pushes it over.
    pub(super) fn record_load(&self, world: &World, endpoint: &Endpoint, t: Micros, weight: f64) {
        let key = self.lane(endpoint);
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(key.clone()).or_default();
        let Some(back) = lane.back.filter(|_| !lane.overloaded) else { return };
        let parameters = &world.scenario.parameters;
        let figures = &parameters.receivers[self.index];
        if t - back > figures.warm_up {
            lane.back = None;
            lane.load.clear();
            return;
        }
        lane.load.push_back((t, weight));
        while lane.load.front().is_some_and(|(at, _)| *at <= t - parameters.rules.fall_window) {
            lane.load.pop_front();
        }
        let sent: f64 = lane.load.iter().map(|l| l.1).sum();
        let part = if key.is_some() { 1.0 / self.endpoints.borrow().len().max(1) as f64 } else { 1.0 };
        if sent > parameters.rules.overload_limit(figures.capacity_after(t - back) * part) {
            lane.overloaded = true;
            world.record(Event::Overloaded { receiver: self.spec.number, endpoint: key });
        }
    }

    /// How many times slower it is for being cold.
    pub(super) fn cold_slowdown(&self, world: &World, endpoint: &Endpoint, t: Micros) -> f64 {
        let lanes = self.lanes.borrow();
        let Some(back) = lanes.get(&self.lane(endpoint)).and_then(|l| l.back) else { return 1.0 };
        let figures = &world.scenario.parameters.receivers[self.index];
        figures.capacity / figures.capacity_after(t - back).max(figures.capacity / 1000.0)
    }

    /// Whether the limit has room for one call more, and else how long until it has.
    pub(super) fn limit(&self, endpoint: &Endpoint, t: Micros) -> Result<(), Micros> {
        let Some(limit) = self.spec.limit else { return Ok(()) };
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(self.lane(endpoint)).or_default();
        let routes = if self.separate_routes { self.endpoints.borrow().len().max(1) as f64 } else { 1.0 };
        let most = limit.calls / routes;
        if let Some(window) = limit.window {
            let span = t / window.0;
            if lane.span.0 != span {
                lane.span = (span, 0.0);
            }
            if lane.span.1 + 1.0 > most.max(1.0) {
                return Err((span + 1) * window.0 - t);
            }
            lane.span.1 += 1.0;
            return Ok(());
        }
        // A second's worth may be saved up. Refused calls take their part, but never more than a second's.
        let (left, since) = lane.bucket;
        let fresh = if since == 0 { most } else { left + most * (t - since) as f64 / 1e6 };
        let left = fresh.min(most.max(1.0)) - 1.0;
        lane.bucket = (left.max(-most), t);
        if left < 0.0 { Err((-left / most * 1e6) as Micros) } else { Ok(()) }
    }
}
