//! When discovery is asked, and when again: decided without I/O, with spans as parameters.
//!
//! One sender that asks at its start and again after 100 ms does no harm. A hundred that are released together do:
//! where a question costs discovery work, it takes seconds to answer one of each, answers those that had to wait for
//! longer with an error, and all of them come again at once. So each waits for a random part of the span in which
//! the settings want to be asked, and comes again after a random part of a growing one.

use std::time::Duration;

/// The first and the longest pause after a failure, where asking costs discovery nothing.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Within this a watch that fell silent is opened anew, also where asking costs discovery work: what it misses counts
/// as told soon.
const STALL_REOPEN_WITHIN: Duration = Duration::from_secs(1);
/// A question that failed and the pause after it last no longer than this together, whatever the settings allow: what
/// discovery has learnt since the question began counts as told 6 s after it could be reached, and the next question
/// and its answer take their time as well.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(4500);
/// A list that was too long is asked for again after this, since each time a good part of it is sent in vain: yet soon
/// enough for a shorter one to be heard within the 6 s after which what it tells counts as told.
const REJECTED_LIST_PAUSE: Duration = Duration::from_secs(2);
/// Part of the span between two questions over which the first ones of many senders are spread: what is left is for
/// those that must ask twice.
const FIRST_POLL_SPREAD: f64 = 0.8;
/// Part of that span after which a question that came to nothing is first asked again.
const FIRST_RETRY_SHARE: f64 = 0.4;
/// A pause is at least this part of its longest, so that one failure is never followed at once by the next.
const MIN_JITTER: f64 = 0.5;

/// The pauses of one sender between its questions to discovery.
#[derive(Debug)]
pub struct PollSchedule {
    /// How often discovery is to be asked at most, where asking costs it work.
    every: Option<Duration>,
    random: u64,
    pause: Duration,
}

impl PollSchedule {
    /// `every` as the settings tell it; none where discovery tells changes unasked. The seed is what sets one sender
    /// apart from the next.
    pub fn new(every: Option<Duration>, seed: u64) -> Self {
        let every = every.filter(|e| !e.is_zero());
        // Neighbouring seeds give unlike numbers only after a step that mixes all of their bits.
        let random = seed.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1;
        let mut schedule = PollSchedule { every, random, pause: Duration::ZERO };
        schedule.reset();
        schedule
    }

    /// Whether a question costs discovery work.
    pub fn is_costly(&self) -> bool {
        self.every.is_some()
    }

    /// How long to wait with a question that many senders may have at the same moment: at a start with a list in
    /// hand, and when a watch that was well has ended.
    pub fn spread_delay(&mut self) -> Duration {
        let random_fraction = self.random_fraction();
        self.every.map_or(Duration::ZERO, |e| e.mul_f64(FIRST_POLL_SPREAD * random_fraction))
    }

    /// A question came to nothing, this long after it was begun: how long to wait before the next.
    pub fn after_failure(&mut self, took: Duration) -> Duration {
        let max_wait = self.pause.min(MAX_RETRY_INTERVAL.saturating_sub(took));
        let wait = max_wait.mul_f64(MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction());
        self.pause = (self.pause * 2).min(self.every.unwrap_or(MAX_RETRY_PAUSE));
        wait
    }

    /// A watch that was well has ended: what ended it may have ended those of all senders.
    pub fn after_end(&mut self) -> Duration {
        self.reset();
        if self.is_costly() { self.spread_delay() } else { self.after_failure(Duration::ZERO) }
    }

    /// The connection of a watch that was well broke, as those of all senders may have.
    pub fn after_break(&mut self) -> Duration {
        self.reset();
        if self.is_costly() {
            self.spread_delay().min(MAX_RETRY_INTERVAL.mul_f64(self.random_fraction()))
        } else {
            self.after_failure(Duration::ZERO)
        }
    }

    /// An open watch fell silent, as those of all senders may have.
    pub fn after_stall(&mut self) -> Duration {
        self.reset();
        if self.is_costly() {
            STALL_REOPEN_WITHIN.mul_f64(self.random_fraction())
        } else {
            self.after_failure(Duration::ZERO)
        }
    }

    /// The list that was told is too long: how long to wait before the next question.
    pub fn after_rejection(&mut self, took: Duration) -> Duration {
        self.after_failure(took)
            .max(REJECTED_LIST_PAUSE.mul_f64(MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction()))
    }

    /// Discovery has told something, or is another one.
    pub fn reset(&mut self) {
        self.pause = self.every.map_or(FIRST_RETRY_PAUSE, |e| e.mul_f64(FIRST_RETRY_SHARE));
    }

    /// A random figure from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EVERY: Duration = Duration::from_secs(10);
    const NO_TIME: Duration = Duration::ZERO;

    fn endpoints() -> impl Iterator<Item = PollSchedule> {
        (0..100).map(|seed| PollSchedule::new(Some(EVERY), seed))
    }

    #[test]
    fn a_hundred_first_questions_spread_over_the_span() {
        let mut waits: Vec<_> = endpoints().map(|mut a| a.spread_delay()).collect();
        waits.sort();
        assert!(waits[99] <= EVERY.mul_f64(FIRST_POLL_SPREAD), "{waits:?}");
        // No second of the eight takes more than twice its part.
        for from in 0..8 {
            let within = |w: &&Duration| (from..from + 1).contains(&w.as_secs());
            let count = waits.iter().filter(within).count();
            assert!((4..=25).contains(&count), "second {from}: {count} of 100");
        }
    }

    #[test]
    fn failures_grow_the_pause_up_to_the_span_and_never_in_step() {
        for (n, mut schedule) in endpoints().enumerate() {
            let waits: Vec<_> = (0..5).map(|_| schedule.after_failure(NO_TIME)).collect();
            // Up to the span, and no longer than it may take until the next question.
            let max_wait = [4, 8, 10, 10, 10].map(|s| Duration::from_secs(s).min(MAX_RETRY_INTERVAL));
            for (wait, max_wait) in waits.iter().zip(max_wait) {
                assert!(*wait >= max_wait / 2 && *wait <= max_wait, "sender {n}: {waits:?}");
            }
            schedule.reset();
            assert!(schedule.after_failure(NO_TIME) <= EVERY.mul_f64(FIRST_RETRY_SHARE));
        }
        let mut firsts: Vec<_> = endpoints().map(|mut a| a.after_failure(NO_TIME)).collect();
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), 100);
    }

    #[test]
    fn the_longer_a_question_hung_the_sooner_comes_the_next() {
        for took in [0, 600, 3000, 4000, 4600].map(Duration::from_millis) {
            for mut schedule in endpoints() {
                for _ in 0..5 {
                    let wait = schedule.after_failure(took);
                    assert!(took + wait <= MAX_RETRY_INTERVAL.max(took), "{took:?} and {wait:?}");
                }
            }
        }
    }

    #[test]
    fn where_asking_costs_nothing_the_first_question_goes_at_once() {
        let mut schedule = PollSchedule::new(None, 7);
        assert_eq!(schedule.spread_delay(), Duration::ZERO);
        let waits: Vec<_> = (0..8).map(|_| schedule.after_failure(NO_TIME)).collect();
        assert!(
            waits[0] <= FIRST_RETRY_PAUSE && waits[7] >= MAX_RETRY_PAUSE / 2 && waits[7] <= MAX_RETRY_PAUSE,
            "{waits:?}"
        );
    }
}
