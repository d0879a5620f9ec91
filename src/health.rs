//! What a sender keeps of its dispatcher over a restart, to be given back by [`Event::EndpointHealthRestored`] and
//! [`Event::ReceiverHealthRestored`]. Nothing is decided here; the decisions that go by it are in `src/logic.rs`.

use crate::interface::*;
use crate::logic::{ALERT, Dispatcher};
use crate::state::{Lane, LaneKey};

/// Waits are kept rounded up to this, so that a receiver that refuses many calls does not have each of them written.
const WAIT_STEP: Micros = 100_000;

impl Dispatcher {
    /// What is to be kept of endpoints that have failed, or come back, for [`Event::EndpointHealthRestored`].
    pub fn endpoint_health(&self) -> impl Iterator<Item = (EndpointId, EndpointHealth)> {
        self.endpoints.iter().filter_map(|(id, e)| {
            let lane = self.lanes.get(&e.lane).and_then(|l| l.back.as_ref());
            let warm_since = e.warm.iter().chain(lane).map(|w| w.since).max();
            let health = EndpointHealth {
                failing_since: e.first_bad,
                unhealthy: e.trouble.is_some(),
                warming_since: warm_since,
            };
            (health.failing_since.is_some() || health.unhealthy || warm_since.is_some())
                .then_some((*id, health))
        })
    }

    /// What is to be kept of receivers that have failed, refused calls or come back, for
    /// [`Event::ReceiverHealthRestored`]: the destination, the endpoint where it is a route of its own, and what is known.
    pub fn receiver_health(&self) -> impl Iterator<Item = (DestId, Option<EndpointId>, ReceiverHealth)> {
        self.lanes.iter().filter_map(|(key, lane)| {
            let health = self.lane_health(lane);
            let route = match key {
                LaneKey::Route(id) => Some(*id),
                _ => None,
            };
            if health == ReceiverHealth::default() {
                return None;
            }
            let share = self.dests.get(&lane.dest).map(|d| round_down((d.share.get(self.now) * 1e3) as u32));
            Some((lane.dest, route, ReceiverHealth { traffic_milli_per_s: share, ..health }))
        })
    }

    /// The lanes of a destination, or the one that this endpoint is.
    pub(crate) fn lanes_of(&self, dest: DestId, route: Option<EndpointId>) -> Vec<LaneKey> {
        let named = |key: &LaneKey| route.is_none_or(|id| *key == LaneKey::Route(id));
        let lanes = self.lanes.iter().filter(|(key, lane)| lane.dest == dest && named(key));
        lanes.map(|(key, _)| *key).collect()
    }

    fn lane_health(&self, lane: &Lane) -> ReceiverHealth {
        let refused = lane.cut > 0 && self.now - lane.cut < ALERT && lane.budget.is_finite();
        let wait = Some(lane.wait_until).filter(|until| *until > self.now);
        ReceiverHealth {
            failing_since: lane.bad,
            down: lane.down,
            warming_since: lane.back.as_ref().map(|w| w.since),
            wait_until: wait.map(round_up),
            budget_milli_per_s: refused.then(|| round_down((lane.budget * 1e3) as u32)),
            traffic_milli_per_s: None,
        }
    }
}

fn round_up(time: Micros) -> Micros {
    (time + WAIT_STEP - 1) / WAIT_STEP * WAIT_STEP
}

/// The number by its two highest bits: what grows and shrinks little by little is kept seldom.
fn round_down(number: u32) -> u32 {
    match number.checked_ilog2() {
        Some(highest) if highest > 0 => number & (3 << (highest - 1)),
        _ => number,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_kept_by_their_two_highest_bits() {
        let kept = [0, 1, 2, 3, 4, 5, 6, 7, 100, 1_023, u32::MAX].map(round_down);
        assert_eq!(kept, [0, 1, 2, 3, 4, 4, 6, 6, 96, 768, 3 << 30]);
    }
}
