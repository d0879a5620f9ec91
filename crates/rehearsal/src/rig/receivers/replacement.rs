//! Drains and removes endpoints, and adds new endpoints or replaces drained ones.

use super::{Endpoint, Receiver, Receivers};
use crate::event::{EventKind, RawEvent};
use crate::history::Event;
use crate::span::{Micros, duration};
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Default time for which a draining endpoint stays in the endpoint list before it is removed.
const DEFAULT_GONE_AFTER_US: Micros = 6_000_000;
/// Number of waves in which a replacement drains endpoints.
const WAVES: usize = 4;

impl Receivers {
    /// Drains the endpoints that the event selects, and removes them when the time `gone_after` has passed.
    /// If the event is a replacement, opens new endpoints in place of the drained ones.
    pub async fn replace(self: &Rc<Self>, event: &RawEvent) {
        let share = event.share.unwrap_or(1.0);
        let mut old: Vec<(Rc<Receiver>, Rc<Endpoint>)> = Vec::new();
        for (receiver, endpoints) in self.targets(event) {
            old.extend(endpoints.into_iter().map(|e| (receiver.clone(), e)));
        }
        // Chooses the event's share of the endpoints, as closely as whole numbers allow, spread over all receivers.
        let count = (old.len() as f64 * share).round() as usize;
        let step = old.len() as f64 / count.max(1) as f64;
        let chosen: Vec<_> =
            (0..count).filter_map(|n| old.get((n as f64 * step) as usize).cloned()).collect();
        let waves = if event.over.is_some() { WAVES } else { 1 };
        let pause = duration(event.over.map_or(0, |s| s.0) / waves as i64);
        let size = chosen.len().div_ceil(waves).max(1);
        for wave in chosen.chunks(size) {
            let mut changes = Vec::new();
            for (receiver, endpoint) in wave {
                if event.kind == EventKind::Replace {
                    match self.open(receiver).await {
                        Ok(new) => changes.push(self.change(receiver, &new, "Ready")),
                        Err(e) => {
                            _ = self.world.record(Event::Mark { text: format!("no new endpoint: {e}") })
                        }
                    }
                }
                endpoint.draining.set(true);
                changes.push(self.change(receiver, endpoint, "Terminating"));
            }
            self.directory.publish(&changes);
            let (receivers, wave, after) = (
                self.clone(),
                wave.to_vec(),
                duration(event.gone_after.map_or(DEFAULT_GONE_AFTER_US, |s| s.0)),
            );
            tokio::task::spawn_local(async move {
                tokio::time::sleep(after).await;
                receivers.remove(&wave);
            });
            tokio::time::sleep(pause).await;
        }
    }

    /// Opens new endpoints and publishes all new endpoints in one step.
    pub async fn join(self: &Rc<Self>, event: &RawEvent) {
        let named = self.all.iter().filter(|r| event.receiver == Some(r.spec.number));
        for receiver in named {
            let mut changes = Vec::new();
            for _ in 0..event.endpoints.unwrap_or(1) {
                match self.open(receiver).await {
                    Ok(new) => changes.push(self.change(receiver, &new, "Ready")),
                    Err(e) => _ = self.world.record(Event::Mark { text: format!("no new endpoint: {e}") }),
                }
            }
            self.directory.publish(&changes);
        }
    }

    /// Removes drained endpoints from the endpoint list; they then accept no more connections.
    fn remove(&self, wave: &[(Rc<Receiver>, Rc<Endpoint>)]) {
        let mut changes = Vec::new();
        for (receiver, endpoint) in wave {
            receiver.endpoints.borrow_mut().retain(|e| !Rc::ptr_eq(e, endpoint));
            endpoint.listening.iter().for_each(AbortHandle::abort);
            changes.push(self.change(receiver, endpoint, "Gone"));
        }
        self.directory.publish(&changes);
    }
}
