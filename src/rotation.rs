//! The rotation over endpoints that cost a sender the same: which of them is next. It does no I/O, and it knows one endpoint at a time.
//!
//! Each sender goes round its endpoints and begins at a place of its own, so that many senders add up to an even load
//! though none sees much of it (`docs/design/even.md`). What is known of an endpoint's pace fades to "not known".

use crate::interface::Micros;

/// Endpoints of a first list come into the rotation within this span before.
const FIRST_LIST_SPAN: f64 = 1e7;
/// Memory of how much slower than its lane an endpoint answers.
const LAG_MEMORY: f64 = 3e7;
/// How much slower, in logarithms, is no sign: single answers differ by as much.
const LAG_SLACK: f64 = 0.4;

/// An endpoint's place in the rotation: when it was used last, and how fast it answers.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Turn {
    /// When it last had its turn; at first a random time before.
    last: Micros,
    /// Listed beside others, it takes its turns in full from then on.
    new_until: Micros,
    /// Then a first connection to it is worth its price.
    eager: bool,
    /// How much slower than its lane it answered, in logarithms: the sum and its weight, both fading, as of when.
    lag: f64,
    weight: f64,
    at: Micros,
}

impl Turn {
    /// One of a first list comes in anywhere, so that senders that all get the same list do not all begin with the same
    /// line of it. `place` is from 0 to 1, by the sender's own seed.
    pub(crate) fn first(now: Micros, place: f64) -> Turn {
        Turn { last: now - (place * FIRST_LIST_SPAN) as Micros, new_until: Micros::MIN, ..Turn::default() }
    }

    /// One that is listed beside others, which had their turns at those times. It looks idle to all senders in the same
    /// moment: each puts it anywhere between the others and begins with it at a random time within a warm-up, and some
    /// of them go there though their kept connections lead elsewhere. The two chances are from 0 to 1.
    pub(crate) fn beside(now: Micros, mut others: Vec<Micros>, chances: (f64, f64), warm_up: Micros) -> Turn {
        let (place, wait) = chances;
        others.sort_unstable();
        let at = place * (others.len() + 1) as f64;
        // The others have their turns meanwhile: its place goes with them, or it would get all that it missed at once.
        let wait = (wait * warm_up as f64) as Micros;
        let last = others.get(at as usize).map_or(now, |turn| turn - 1) + wait;
        Turn { last, eager: at < 1.0, new_until: now + wait, ..Turn::default() }
    }

    /// When it last had its turn.
    pub(crate) fn last(&self) -> Micros {
        self.last
    }

    /// Whether it is still to be used only where the others are busy.
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        now < self.new_until
    }

    /// Whether it is new, its time has come, and a first connection to it is worth its price.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.eager && !self.is_new(now)
    }

    /// It has its turn.
    pub(crate) fn take(&mut self, now: Micros) {
        (self.last, self.eager) = (now, false);
    }

    /// A call took so many times as long as its lane's mean.
    pub(crate) fn learn(&mut self, now: Micros, times: f64) {
        let kept = self.kept(now);
        self.lag = self.lag * kept + times.max(1e-3).ln();
        (self.weight, self.at) = (self.weight * kept + 1.0, now);
    }

    /// For how long it has waited for its turn. One that answers slowly has fewer of them, never none.
    pub(crate) fn waited(&self, now: Micros) -> f64 {
        (now - self.last) as f64 / self.slowness(now).powi(3)
    }

    fn kept(&self, now: Micros) -> f64 {
        (-((now - self.at) as f64) / LAG_MEMORY).exp()
    }

    /// How many times slower than its lane it is taken to be: little is made of few answers, and of old ones nothing.
    /// What is faster counts as even, so that none draws all.
    fn slowness(&self, now: Micros) -> f64 {
        let kept = self.kept(now);
        (self.lag * kept / (self.weight * kept + 1.0) - LAG_SLACK).max(0.0).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn slow_ones_wait_longer_until_that_is_forgotten() {
        let (mut slow, mut well) = (Turn::first(0, 0.5), Turn::first(0, 0.5));
        for n in 1..=8 {
            slow.learn(n * S, 3.0);
            well.learn(n * S, 1.0);
        }
        assert!(slow.waited(10 * S) < 0.5 * well.waited(10 * S));
        assert!(slow.waited(10 * S) > 0.1 * well.waited(10 * S), "never none");
        assert_eq!(slow.waited(200 * S), well.waited(200 * S));
    }

    #[test]
    fn one_slow_answer_and_fast_ones_are_no_sign() {
        let (mut once, mut fast) = (Turn::first(0, 0.5), Turn::first(0, 0.5));
        once.learn(S, 2.0);
        (1..=8).for_each(|n| fast.learn(n * S, 0.01));
        assert_eq!(once.waited(2 * S), Turn::first(0, 0.5).waited(2 * S));
        assert_eq!(fast.waited(9 * S), Turn::first(0, 0.5).waited(9 * S));
    }

    #[test]
    fn newcomers_come_in_between_the_others_and_at_a_time_of_their_own() {
        let at = |place, wait| Turn::beside(100 * S, vec![80 * S, 60 * S, 90 * S], (place, wait), 10 * S);
        let places = [0.1, 0.3, 0.6, 0.9].map(|place| at(place, 0.0).last());
        assert_eq!(places, [60 * S - 1, 80 * S - 1, 90 * S - 1, 100 * S]);
        assert_eq!(at(0.1, 0.5).last(), 65 * S - 1);
        assert!(
            !at(0.5, 0.0).is_new(100 * S) && at(0.5, 0.9).is_new(108 * S) && !at(0.5, 0.9).is_new(109 * S)
        );
        // One in four goes there at once when its time has come.
        assert!(
            at(0.1, 0.9).is_due(109 * S) && !at(0.1, 0.9).is_due(108 * S) && !at(0.3, 0.0).is_due(109 * S)
        );
        assert!(!Turn::first(0, 0.1).is_due(S));
    }
}
