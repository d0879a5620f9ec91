//! Decides how long messages wait for other messages that can share their call.
//! The functions of this module work on one lane at a time, without I/O.
//!
//! When each of many senders has little traffic, every call carries a single message.
//! All senders' calls together then exceed the receiver's limit, above all if that limit is cut without notice.
//! Reacting only to refusals is too late, and always waiting for messages costs time in normal operation.
//! So calls are spaced only when there are signs that the limit is nearly used up (`docs/design/even.md`).

/// Pace of spaced calls, as a fraction of one sender's equal share of the receiver's limit.
/// Spaced calls carry more messages, and the fleet stays within the limit even if the limit is halved.
const SPACING_SHARE: f64 = 0.45;
/// Calls are not spaced up to this ratio of the sender's traffic to its equal share of the receiver's limit.
/// If all senders have equal traffic, a limit that is cut by almost half still accepts the fleet's calls.
/// Calls of a sender with less traffic than the other senders add too little load to matter.
const NO_SPACING_RATIO: f64 = 0.6;
/// From this ratio of own traffic to an equal share of the limit on, calls are spaced as after a refusal.
const FULL_SPACING_RATIO: f64 = 0.9;
/// Maximum time between calls after a refusal, in multiples of the shortest target delivery time (`aim`).
/// On average a message waits for half of the time between calls.
const MAX_SPACING_AIMS: f64 = 2.0;
/// Maximum time between calls at `NO_SPACING_RATIO` without a refusal, in multiples of the shortest `aim`.
const MAX_SPACING_AIMS_CALM: f64 = 0.7;
/// Share of a call's maximum number of messages that a sender with much traffic fills.
const FILL_SHARE: f64 = 0.7;

/// Returns the calls a second that carry `messages_per_s` if every call is filled up to `FILL_SHARE`.
pub(crate) fn filled_calls(messages_per_s: f64, max_batch: f64) -> f64 {
    messages_per_s / (max_batch * FILL_SHARE)
}

/// A sender's view of the demand on a lane whose calls carry several messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneDemand {
    /// Equal share of the lane's limit for each sender, in calls a second.
    pub(crate) equal_share: f64,
    /// The sender's current traffic, in messages a second.
    pub(crate) own_rate: f64,
    /// Lower bound of the sender's traffic over a longer time, in messages a second.
    pub(crate) long_term_rate: f64,
    /// Maximum number of messages in one call.
    pub(crate) max_batch: f64,
    /// The shortest target delivery time (`aim`) of all classes, in microseconds.
    pub(crate) shortest_aim_us: f64,
    /// Whether the receiver refused a call on the lane recently.
    pub(crate) recently_refused: bool,
}

impl LaneDemand {
    /// Returns the pace of spaced calls on the lane, in calls a second.
    /// Returns `None` if there is no sign that the fleet's calls could exceed the limit.
    pub(crate) fn spacing(&self) -> Option<f64> {
        let ratio = self.long_term_rate / self.equal_share;
        if !self.recently_refused && ratio <= NO_SPACING_RATIO {
            return None;
        }
        let scarcity = ((ratio - NO_SPACING_RATIO) / (FULL_SPACING_RATIO - NO_SPACING_RATIO)).clamp(0.0, 1.0);
        let scarcity = if self.recently_refused { 1.0 } else { scarcity };
        let max_spacing_s = (MAX_SPACING_AIMS_CALM + (MAX_SPACING_AIMS - MAX_SPACING_AIMS_CALM) * scarcity)
            * self.shortest_aim_us
            / 1e6;
        Some(
            (self.equal_share * SPACING_SHARE)
                .max(filled_calls(self.own_rate, self.max_batch))
                .max(1.0 / max_spacing_s),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOW_DEMAND: LaneDemand = LaneDemand {
        equal_share: 1.0,
        own_rate: 0.4,
        long_term_rate: 0.4,
        max_batch: 10.0,
        shortest_aim_us: 2e6,
        recently_refused: false,
    };

    #[test]
    fn calls_are_not_spaced_below_the_limit_and_are_after_a_refusal() {
        assert_eq!(LOW_DEMAND.spacing(), None);
        assert_eq!(LaneDemand { recently_refused: true, ..LOW_DEMAND }.spacing(), Some(0.45));
        // If the sender's share of the limit is small, calls are at most two target delivery times (`aim`) apart.
        assert_eq!(
            LaneDemand { recently_refused: true, equal_share: 0.1, ..LOW_DEMAND }.spacing(),
            Some(0.25)
        );
    }

    #[test]
    fn the_closer_to_the_limit_the_wider_the_spacing() {
        let at = |ratio| {
            LaneDemand { equal_share: 0.2, own_rate: 0.2, long_term_rate: ratio * 0.2, ..LOW_DEMAND }
                .spacing()
                .unwrap()
        };
        assert!((at(0.61) - 1.0 / 1.4).abs() < 0.05 && at(0.8) < at(0.7) && (at(0.9) - 0.25).abs() < 1e-9);
        assert_eq!(at(3.0), at(0.9));
    }

    #[test]
    fn with_much_traffic_the_spacing_is_that_of_filled_calls() {
        let busy = LaneDemand { own_rate: 30.0, long_term_rate: 30.0, ..LOW_DEMAND };
        assert!((busy.spacing().unwrap() - 30.0 / 7.0).abs() < 1e-9);
    }
}
