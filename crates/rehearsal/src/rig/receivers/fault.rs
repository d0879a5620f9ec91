//! Faults of endpoints, and the outages of receivers that follow from these faults.

use super::{Endpoint, Receiver, Receivers};
use crate::event::{EventKind, RawEvent};
use crate::history::Event;
use crate::rig::repeated_answer::{Repeat, RepeatSource, draw_repeat};
use crate::span::Micros;
use std::rc::Rc;

/// A temporary fault of an endpoint, caused by an event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    pub(super) number: u64,
    pub(super) kind: EventKind,
    pub(super) factor: f64,
    pub(super) share: f64,
    pub(super) delay: Micros,
    pub(super) until: Micros,
}

impl Fault {
    /// Returns whether the fault counts as an outage, after which the endpoint is cold.
    pub(super) fn is_outage(&self) -> bool {
        matches!(self.kind, EventKind::Silent | EventKind::Hang | EventKind::Shut | EventKind::Down)
            || matches!(self.kind, EventKind::Reset | EventKind::Fail) && self.share > 0.5
    }
}

impl RepeatSource for Endpoint {
    fn draw(&self, _answer: &[u8]) -> Option<Repeat> {
        let fault = self.fault(EventKind::RepeatedAnswers)?;
        draw_repeat(&mut *self.rng.borrow_mut(), fault.share, fault.delay)
    }
}

impl Receivers {
    /// Returns the receivers that an event selects, each with its selected endpoints.
    pub(super) fn targets(&self, event: &RawEvent) -> Vec<(Rc<Receiver>, Vec<Rc<Endpoint>>)> {
        let named = self.all.iter().filter(|r| event.receiver.is_none_or(|n| n == r.spec.number));
        let selected = |r: &Rc<Receiver>| {
            let endpoints = r.endpoints.borrow();
            let up = endpoints.iter().filter(|e| !e.draining.get()).cloned();
            up.take(event.endpoints.unwrap_or(usize::MAX)).collect()
        };
        named.map(|r| (r.clone(), selected(r))).collect()
    }

    /// Applies a fault to the event's receivers for the event's duration.
    /// A receiver is in an outage while all its endpoints are in an outage, and is cold when it returns.
    pub async fn inject(&self, event: &RawEvent) {
        let targets = self.targets(event);
        let now = self.world.now();
        if event.kind == EventKind::Cold {
            for (receiver, endpoints) in &targets {
                if receiver.separate_routes {
                    endpoints.iter().for_each(|e| self.back(receiver, Some(e.name.clone())));
                } else {
                    self.back(receiver, None);
                }
            }
            return;
        }
        let number = self.next_fault.get();
        self.next_fault.set(number + 1);
        let fault = Fault {
            number,
            kind: event.kind,
            factor: event.factor.unwrap_or(1.0),
            share: event.share.unwrap_or(0.0),
            delay: event.by.map_or(0, |s| s.0),
            until: now + event.span(),
        };
        for (receiver, endpoints) in &targets {
            for endpoint in endpoints {
                endpoint.faults.borrow_mut().push(fault);
                if receiver.separate_routes && fault.is_outage() {
                    self.down(receiver, Some(endpoint.name.clone()));
                }
            }
            if !receiver.separate_routes && fault.is_outage() && receiver.all_unavailable() {
                self.down(receiver, None);
            }
        }
        tokio::time::sleep_until(self.world.recorder.instant(fault.until)).await;
        for (receiver, endpoints) in targets {
            let were_out = receiver.all_unavailable();
            for endpoint in endpoints {
                endpoint.faults.borrow_mut().retain(|f| f.number != number);
                if receiver.separate_routes && fault.is_outage() {
                    self.back(&receiver, Some(endpoint.name.clone()));
                }
            }
            if !receiver.separate_routes && were_out && !receiver.all_unavailable() {
                self.back(&receiver, None);
            }
        }
    }

    fn down(&self, receiver: &Receiver, endpoint: Option<String>) {
        self.world.record(Event::Down { receiver: receiver.spec.number, endpoint });
    }

    fn back(&self, receiver: &Receiver, endpoint: Option<String>) {
        let t = self.world.record(Event::Back { receiver: receiver.spec.number, endpoint: endpoint.clone() });
        let mut lanes = receiver.lanes.borrow_mut();
        let lane = lanes.entry(endpoint).or_default();
        lane.cold_since = Some(t);
        lane.load.clear();
    }
}
