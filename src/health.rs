//! The health of endpoints and receivers that a sender persists over a restart.
//! Health is restored with [`Event::EndpointHealthRestored`] and [`Event::ReceiverHealthRestored`].
//! The decisions that use the restored health are in `src/logic.rs`.

use crate::interface::*;
use crate::logic::{Dispatcher, REFUSAL_MEMORY_US};
use crate::state::{Lane, LaneKey};

/// Unit to whose multiples persisted waits are rounded up.
/// With rounded waits, many refusals by a receiver cause few writes.
const WAIT_STEP_US: Micros = 100_000;

impl Dispatcher {
    /// Returns the health of the endpoints whose health must be persisted.
    /// Health is persisted for endpoints that are failing, unhealthy or warming up.
    pub fn endpoint_health(&self) -> impl Iterator<Item = (EndpointId, EndpointHealth)> {
        self.endpoints.iter().filter_map(|(id, endpoint)| {
            let lane_warm_up = self.lanes.get(&endpoint.lane).and_then(|l| l.warm_up.as_ref());
            let warming_since = endpoint.warm_up.iter().chain(lane_warm_up).map(|w| w.since).max();
            let (failing_since, unhealthy) = (endpoint.failing_since, endpoint.unhealthy.is_some());
            let health = EndpointHealth { failing_since, unhealthy, warming_since };
            let must_persist = failing_since.is_some() || unhealthy || warming_since.is_some();
            must_persist.then_some((*id, health))
        })
    }

    /// Returns the health of the receivers whose health must be persisted.
    /// These are the receivers that are failing, have refused calls, have asked for a wait or are warming up.
    /// An item holds the receiver's destination, the endpoint if the receiver is a separate route, and the health.
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
            let destination = self.destinations.get(&lane.dest);
            let traffic_milli_per_s =
                destination.map(|d| round_down((d.traffic.per_second(self.now) * 1e3) as u32));
            Some((lane.dest, route, ReceiverHealth { traffic_milli_per_s, ..health }))
        })
    }

    /// Returns the lanes of a destination, or only the lane of `route` if a route is given.
    pub(crate) fn lanes_of(&self, dest: DestId, route: Option<EndpointId>) -> Vec<LaneKey> {
        let matches = |key: &LaneKey| route.is_none_or(|id| *key == LaneKey::Route(id));
        let lanes = self.lanes.iter().filter(|(key, lane)| lane.dest == dest && matches(key));
        lanes.map(|(key, _)| *key).collect()
    }

    fn lane_health(&self, lane: &Lane) -> ReceiverHealth {
        let recently_refused = lane.budget_cut_at > 0
            && self.now - lane.budget_cut_at < REFUSAL_MEMORY_US
            && lane.budget.is_finite();
        let wait_until = Some(lane.wait_until).filter(|until| *until > self.now);
        ReceiverHealth {
            failing_since: lane.failing_since,
            down: lane.down,
            warming_since: lane.warm_up.as_ref().map(|w| w.since),
            wait_until: wait_until.map(round_up),
            budget_milli_per_s: recently_refused.then(|| round_down((lane.budget * 1e3) as u32)),
            traffic_milli_per_s: None,
        }
    }
}

fn round_up(time: Micros) -> Micros {
    (time + WAIT_STEP_US - 1) / WAIT_STEP_US * WAIT_STEP_US
}

/// Rounds a number down to its two highest bits. A slowly changing value is thus rarely persisted again.
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
    fn numbers_are_rounded_down_to_their_two_highest_bits() {
        let rounded = [0, 1, 2, 3, 4, 5, 6, 7, 100, 1_023, u32::MAX].map(round_down);
        assert_eq!(rounded, [0, 1, 2, 3, 4, 4, 6, 6, 96, 768, 3 << 30]);
    }
}
