//! The sender's clock: it measures spans of real time, also across the restarts of the process.

use heronroute::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// File in which Linux gives the id of the machine's current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Smallest difference between the wall clock and the sender's clock that is logged, in microseconds.
const MIN_LOGGED_STEP_US: Micros = 1_000_000;

/// The time of the sender's clock at one moment of one boot of the machine.
/// The journal keeps it, so that the next process continues the clock without the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The id of the boot; empty if the system gives none.
    boot_id: String,
    /// Time since the boot, in microseconds.
    since_boot: Micros,
    /// The sender's clock at that time, in microseconds.
    time: Micros,
}

impl ClockAnchor {
    /// Returns the sender's clock at `now`, if both moments belong to the same boot.
    fn continued_at(&self, now: &ClockAnchor) -> Option<Micros> {
        let same_boot = !self.boot_id.is_empty() && self.boot_id == now.boot_id;
        (same_boot && now.since_boot >= self.since_boot).then(|| self.time + now.since_boot - self.since_boot)
    }
}

/// A clock that advances with real time, whatever becomes of the wall clock.
/// The first process of a sender starts it at the wall clock's time. The journal and the dispatcher share it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock of a process. Returns also the anchor to be recorded, unless `earlier` still holds.
    ///
    /// Within one boot of the machine the clock continues where the earlier process, whose anchor `earlier` is, had it.
    /// After another boot nothing but the wall clock tells the time that has passed, and the clock does not go back.
    /// A wall clock that was stepped meanwhile is logged.
    pub fn start(earlier: Option<&ClockAnchor>) -> (Self, Option<ClockAnchor>) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        let boot_id = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default().trim().to_string();
        let start = Instant::now();
        let mut anchor = ClockAnchor { boot_id, since_boot: since_boot(), time: wall };
        anchor.time = start_time(earlier, &anchor);
        let stepped = wall - anchor.time;
        if stepped.abs() >= MIN_LOGGED_STEP_US {
            eprintln!(
                "clock: the wall clock is {} s off the sender's clock, which goes on",
                stepped / 1_000_000
            );
        }
        let continued = earlier.is_some_and(|earlier| earlier.continued_at(&anchor).is_some());
        (Clock { at_start: anchor.time, start }, (!continued).then_some(anchor))
    }

    /// Returns the time in microseconds.
    pub fn now(&self) -> Micros {
        self.at_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of the sender's clock to an instant for a timer.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = Duration::from_micros((at - self.at_start).max(0) as u64);
        (self.start + after).into()
    }
}

/// Returns the microseconds since the machine started, by the clock that [`Instant`] reads too.
fn since_boot() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

/// Returns the time at which a process starts its clock; `now` has the wall clock's time.
fn start_time(earlier: Option<&ClockAnchor>, now: &ClockAnchor) -> Micros {
    match earlier {
        None => now.time,
        Some(earlier) => earlier.continued_at(now).unwrap_or(now.time.max(earlier.time)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn anchor(boot_id: &str, since_boot: Micros, time: Micros) -> ClockAnchor {
        ClockAnchor { boot_id: boot_id.into(), since_boot, time }
    }

    #[test]
    fn a_clock_continues_within_a_boot_whatever_the_wall_clock_says() {
        let earlier = anchor("b1", 1_000, 50_000);
        for wall in [0, 51_000, 9_000_000_000] {
            assert_eq!(start_time(Some(&earlier), &anchor("b1", 3_500, wall)), 52_500);
        }
    }

    #[test]
    fn after_another_boot_the_wall_clock_counts_and_time_does_not_go_back() {
        let earlier = anchor("b1", 1_000, 50_000);
        for other in [anchor("b2", 3_500, 70_000), anchor("", 3_500, 70_000), anchor("b1", 900, 70_000)] {
            assert_eq!(start_time(Some(&earlier), &other), 70_000);
        }
        assert_eq!(start_time(Some(&earlier), &anchor("b2", 10, 20_000)), 50_000);
        assert_eq!(start_time(Some(&anchor("", 1, 50_000)), &anchor("", 10, 70_000)), 70_000);
        assert_eq!(start_time(None, &anchor("b2", 10, 20_000)), 20_000);
    }
}
