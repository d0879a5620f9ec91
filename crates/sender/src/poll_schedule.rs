//! The schedule of polls to discovery: computes the pauses between polls, without I/O.
//!
//! One sender that polls at its start and again after 100 ms does no harm.
//! A hundred senders that are started together overload discovery if each poll costs discovery work.
//! Discovery then takes seconds to answer one poll of each sender and answers polls that waited longer with an error.
//! Without random pauses, all senders would retry their failed polls simultaneously.
//! So each sender waits before its first poll for a random fraction of the polling interval in the settings.
//! After a failed poll, a sender retries after a random fraction of a growing interval.

use std::time::Duration;

/// The first and the longest pause after a failure, where a poll costs discovery nothing.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time within which a stalled watch is reopened, even where a poll costs discovery work.
/// The changes that a stalled watch misses must be applied soon.
const STALL_REOPEN_WITHIN: Duration = Duration::from_secs(1);
/// Maximum total time of a failed poll and the pause after it, even if the settings allow more.
/// Changes must be applied within 6 s after discovery can be reached again.
/// The next poll and its response take some of the 6 s in which changes must be applied.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(4500);
/// Pause after an endpoint list that was too long: such a list costs traffic each time although it is rejected.
/// The pause is short enough for a shorter endpoint list to be read within the 6 s in which changes must be applied.
const REJECTED_LIST_PAUSE: Duration = Duration::from_secs(2);
/// Fraction of the polling interval over which the first polls of many senders are spread.
/// The rest of the polling interval is for senders that must poll twice.
const FIRST_POLL_SPREAD: f64 = 0.8;
/// Fraction of the polling interval after which a failed poll is first repeated.
const FIRST_RETRY_SHARE: f64 = 0.4;
/// Minimum of a pause as a fraction of its maximum, so that a failed poll is never repeated without a pause.
const MIN_JITTER: f64 = 0.5;

/// The pauses between one sender's polls to discovery.
#[derive(Debug)]
pub struct PollSchedule {
    /// The polling interval, where a poll costs discovery work.
    interval: Option<Duration>,
    random_state: u64,
    pause: Duration,
}

impl PollSchedule {
    /// `interval` is the polling interval in the settings; None where discovery sends changes unasked.
    /// `seed` is the seed of the random pauses, so that pauses differ between senders.
    pub fn new(interval: Option<Duration>, seed: u64) -> Self {
        let interval = interval.filter(|e| !e.is_zero());
        // Mixes the seed's bits: without mixing, neighbouring seeds would give similar first random numbers.
        let random_state = seed.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1;
        let mut schedule = PollSchedule { interval, random_state, pause: Duration::ZERO };
        schedule.reset();
        schedule
    }

    /// Whether a poll costs discovery work.
    pub fn is_costly(&self) -> bool {
        self.interval.is_some()
    }

    /// Returns the pause before a poll that many senders may want to send simultaneously.
    /// Many senders poll after starting with a known endpoint list, and after a useful watch has ended.
    pub fn spread_delay(&mut self) -> Duration {
        let random_fraction = self.random_fraction();
        self.interval.map_or(Duration::ZERO, |e| e.mul_f64(FIRST_POLL_SPREAD * random_fraction))
    }

    /// Returns the pause after a failed poll; `took` is the time from the start of the poll to the failure.
    pub fn after_failure(&mut self, took: Duration) -> Duration {
        let max_wait = self.pause.min(MAX_RETRY_INTERVAL.saturating_sub(took));
        let wait = max_wait.mul_f64(MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction());
        self.pause = (self.pause * 2).min(self.interval.unwrap_or(MAX_RETRY_PAUSE));
        wait
    }

    /// Returns the pause after discovery has ended a useful watch.
    /// Discovery may have ended the watches of all senders simultaneously.
    pub fn after_end(&mut self) -> Duration {
        self.reset();
        if self.is_costly() { self.spread_delay() } else { self.after_failure(Duration::ZERO) }
    }

    /// Returns the pause after a useful watch's connection broke.
    /// The watch connections of all senders may have broken simultaneously.
    pub fn after_break(&mut self) -> Duration {
        self.reset();
        if self.is_costly() {
            self.spread_delay().min(MAX_RETRY_INTERVAL.mul_f64(self.random_fraction()))
        } else {
            self.after_failure(Duration::ZERO)
        }
    }

    /// Returns the pause after an open watch stalled.
    /// The watches of all senders may have stalled simultaneously.
    pub fn after_stall(&mut self) -> Duration {
        self.reset();
        if self.is_costly() {
            STALL_REOPEN_WITHIN.mul_f64(self.random_fraction())
        } else {
            self.after_failure(Duration::ZERO)
        }
    }

    /// Returns the pause after an endpoint list that is too long; `took` is the time from poll to rejection.
    pub fn after_rejection(&mut self, took: Duration) -> Duration {
        self.after_failure(took)
            .max(REJECTED_LIST_PAUSE.mul_f64(MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction()))
    }

    /// Resets the growing pause, after discovery has answered or its address has changed.
    pub fn reset(&mut self) {
        self.pause = self.interval.map_or(FIRST_RETRY_PAUSE, |e| e.mul_f64(FIRST_RETRY_SHARE));
    }

    /// Returns the next random number from 0 to 1 of the schedule's sequence.
    fn random_fraction(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const INTERVAL: Duration = Duration::from_secs(10);
    const NO_TIME: Duration = Duration::ZERO;

    fn hundred_schedules() -> impl Iterator<Item = PollSchedule> {
        (0..100).map(|seed| PollSchedule::new(Some(INTERVAL), seed))
    }

    #[test]
    fn the_first_polls_of_a_hundred_senders_spread_over_the_interval() {
        let mut waits: Vec<_> = hundred_schedules().map(|mut a| a.spread_delay()).collect();
        waits.sort();
        assert!(waits[99] <= INTERVAL.mul_f64(FIRST_POLL_SPREAD), "{waits:?}");
        // Of 100 polls, each of the eight seconds has 4 to 25; an even spread would be 12.5 in each.
        for from in 0..8 {
            let within = |w: &&Duration| (from..from + 1).contains(&w.as_secs());
            let count = waits.iter().filter(within).count();
            assert!((4..=25).contains(&count), "second {from}: {count} of 100");
        }
    }

    #[test]
    fn failures_grow_the_pause_up_to_the_interval_and_senders_differ() {
        for (n, mut schedule) in hundred_schedules().enumerate() {
            let waits: Vec<_> = (0..5).map(|_| schedule.after_failure(NO_TIME)).collect();
            // The longest pause doubles up to the polling interval, within the time allowed between two polls.
            let max_wait = [4, 8, 10, 10, 10].map(|s| Duration::from_secs(s).min(MAX_RETRY_INTERVAL));
            for (wait, max_wait) in waits.iter().zip(max_wait) {
                assert!(*wait >= max_wait / 2 && *wait <= max_wait, "sender {n}: {waits:?}");
            }
            schedule.reset();
            assert!(schedule.after_failure(NO_TIME) <= INTERVAL.mul_f64(FIRST_RETRY_SHARE));
        }
        let mut firsts: Vec<_> = hundred_schedules().map(|mut a| a.after_failure(NO_TIME)).collect();
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), 100);
    }

    #[test]
    fn the_longer_a_failed_poll_took_the_shorter_the_pause() {
        for took in [0, 600, 3000, 4000, 4600].map(Duration::from_millis) {
            for mut schedule in hundred_schedules() {
                for _ in 0..5 {
                    let wait = schedule.after_failure(took);
                    assert!(took + wait <= MAX_RETRY_INTERVAL.max(took), "{took:?} and {wait:?}");
                }
            }
        }
    }

    #[test]
    fn where_polls_cost_nothing_the_first_is_sent_at_once() {
        let mut schedule = PollSchedule::new(None, 7);
        assert_eq!(schedule.spread_delay(), Duration::ZERO);
        let waits: Vec<_> = (0..8).map(|_| schedule.after_failure(NO_TIME)).collect();
        assert!(
            waits[0] <= FIRST_RETRY_PAUSE && waits[7] >= MAX_RETRY_PAUSE / 2 && waits[7] <= MAX_RETRY_PAUSE,
            "{waits:?}"
        );
    }
}
