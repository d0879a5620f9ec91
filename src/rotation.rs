//! The rotation over endpoints of equal cost, which decides which endpoint gets the next call.
//! The functions of the rotation work on one endpoint at a time, without I/O.
//!
//! Each sender rotates over its endpoints from a random start (`docs/design/even.md`).
//! The load of many senders thus adds up evenly although each sender has little of the traffic.
//! Measurements of an endpoint's latency lose weight as they become older.

use crate::interface::Micros;

/// Maximum age of the random last turn that endpoints of a destination's first endpoint list are assigned.
const FIRST_LIST_SPAN_US: f64 = 1e7;
/// Time constant of the decay of an endpoint's measured slowness.
const SLOWNESS_MEMORY_US: f64 = 3e7;
/// Logarithm of an endpoint's slowness below which the slowness is ignored.
/// Latencies of single answers differ from each other by as much as this value.
const SLOWNESS_TOLERANCE: f64 = 0.4;

/// An endpoint's position in the rotation: the time of its last turn and how slowly it answers.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct RotationPlace {
    /// When the endpoint last had its turn in the rotation; initially a random time.
    last_turn: Micros,
    /// Time until which an endpoint that joined other endpoints counts as new.
    /// A new endpoint is used only while the other endpoints are busy.
    new_until: Micros,
    /// Whether a first connection to the endpoint is worth its price once the endpoint is no longer new.
    wants_connection: bool,
    /// Decaying sum of the logarithms of the endpoint's latencies relative to its lane's mean latency.
    /// The sum includes one logarithm for each answer, and is decayed as of `slowness_at`.
    log_slowness_sum: f64,
    /// Number of answers in `log_slowness_sum`, decayed like the logarithms in that sum.
    answers: f64,
    slowness_at: Micros,
}

impl RotationPlace {
    /// Returns a random rotation position for an endpoint of a destination's first endpoint list.
    /// `place` is a random number from 0 to 1.
    /// With random positions, senders with the same endpoint list do not all begin with the same endpoint.
    pub(crate) fn in_first_list(now: Micros, place: f64) -> RotationPlace {
        RotationPlace {
            last_turn: now - (place * FIRST_LIST_SPAN_US) as Micros,
            new_until: Micros::MIN,
            ..RotationPlace::default()
        }
    }

    /// Returns the rotation position of an endpoint that joins others, given the last turns of the other endpoints.
    /// All senders see the new endpoint idle at the same moment.
    /// So each sender places the new endpoint at random between the other endpoints.
    /// Each sender begins to use the new endpoint at a random time within a warm-up.
    /// Some senders open a connection to the new endpoint although they have connections to other endpoints.
    /// `chances` are two random numbers from 0 to 1.
    pub(crate) fn among(
        now: Micros,
        mut others: Vec<Micros>,
        chances: (f64, f64),
        warm_up: Micros,
    ) -> RotationPlace {
        let (place, delay) = chances;
        others.sort_unstable();
        let at = place * (others.len() + 1) as f64;
        // Since the other endpoints have turns during the delay, the delay is added to the last turn.
        // Otherwise the new endpoint would get all missed turns in a row.
        let delay = (delay * warm_up as f64) as Micros;
        let last_turn = others.get(at as usize).map_or(now, |turn| turn - 1) + delay;
        RotationPlace {
            last_turn,
            wants_connection: at < 1.0,
            new_until: now + delay,
            ..RotationPlace::default()
        }
    }

    /// Returns when the endpoint last had its turn in the rotation.
    pub(crate) fn last_turn(&self) -> Micros {
        self.last_turn
    }

    /// Returns whether the endpoint is still new and is used only while the other endpoints are busy.
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        now < self.new_until
    }

    /// Returns whether a first connection to the endpoint is worth its price now.
    pub(crate) fn wants_connection(&self, now: Micros) -> bool {
        self.wants_connection && !self.is_new(now)
    }

    /// Records that the endpoint has its turn in the rotation now.
    pub(crate) fn take_turn(&mut self, now: Micros) {
        (self.last_turn, self.wants_connection) = (now, false);
    }

    /// Records an answer that took `ratio` times the mean latency of the endpoint's lane.
    pub(crate) fn record_latency(&mut self, now: Micros, ratio: f64) {
        let decay = self.decay(now);
        self.log_slowness_sum = self.log_slowness_sum * decay + ratio.max(1e-3).ln();
        (self.answers, self.slowness_at) = (self.answers * decay + 1.0, now);
    }

    /// Returns the time since the endpoint's last turn, divided by the cube of the endpoint's slowness.
    /// With this division, a slow endpoint has fewer turns, but always some.
    pub(crate) fn weighted_wait(&self, now: Micros) -> f64 {
        (now - self.last_turn) as f64 / self.slowness(now).powi(3)
    }

    fn decay(&self, now: Micros) -> f64 {
        (-((now - self.slowness_at) as f64) / SLOWNESS_MEMORY_US).exp()
    }

    /// Returns the assumed ratio of the endpoint's latency to the mean latency of its lane.
    /// Few answers have little weight, and old answers none.
    /// An endpoint that is faster than the mean counts as average, so that it does not attract all calls.
    fn slowness(&self, now: Micros) -> f64 {
        let decay = self.decay(now);
        (self.log_slowness_sum * decay / (self.answers * decay + 1.0) - SLOWNESS_TOLERANCE).max(0.0).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn slow_endpoints_wait_longer_until_their_slowness_has_decayed() {
        let (mut slow, mut normal) =
            (RotationPlace::in_first_list(0, 0.5), RotationPlace::in_first_list(0, 0.5));
        for n in 1..=8 {
            slow.record_latency(n * S, 3.0);
            normal.record_latency(n * S, 1.0);
        }
        assert!(slow.weighted_wait(10 * S) < 0.5 * normal.weighted_wait(10 * S));
        assert!(
            slow.weighted_wait(10 * S) > 0.1 * normal.weighted_wait(10 * S),
            "a slow endpoint must still get turns"
        );
        assert_eq!(slow.weighted_wait(200 * S), normal.weighted_wait(200 * S));
    }

    #[test]
    fn one_slow_answer_and_fast_answers_change_nothing() {
        let (mut once, mut fast) =
            (RotationPlace::in_first_list(0, 0.5), RotationPlace::in_first_list(0, 0.5));
        once.record_latency(S, 2.0);
        (1..=8).for_each(|n| fast.record_latency(n * S, 0.01));
        assert_eq!(once.weighted_wait(2 * S), RotationPlace::in_first_list(0, 0.5).weighted_wait(2 * S));
        assert_eq!(fast.weighted_wait(9 * S), RotationPlace::in_first_list(0, 0.5).weighted_wait(9 * S));
    }

    #[test]
    fn new_endpoints_join_between_the_others_at_a_random_time() {
        let at = |place, delay| {
            RotationPlace::among(100 * S, vec![80 * S, 60 * S, 90 * S], (place, delay), 10 * S)
        };
        let places = [0.1, 0.3, 0.6, 0.9].map(|place| at(place, 0.0).last_turn());
        assert_eq!(places, [60 * S - 1, 80 * S - 1, 90 * S - 1, 100 * S]);
        assert_eq!(at(0.1, 0.5).last_turn(), 65 * S - 1);
        assert!(
            !at(0.5, 0.0).is_new(100 * S) && at(0.5, 0.9).is_new(108 * S) && !at(0.5, 0.9).is_new(109 * S)
        );
        // With three other endpoints, one sender in four opens a connection to the new one after the delay.
        assert!(
            at(0.1, 0.9).wants_connection(109 * S)
                && !at(0.1, 0.9).wants_connection(108 * S)
                && !at(0.3, 0.0).wants_connection(109 * S)
        );
        assert!(!RotationPlace::in_first_list(0, 0.1).wants_connection(S));
    }
}
