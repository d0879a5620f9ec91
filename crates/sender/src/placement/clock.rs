//! The clock by which leases and holds are reckoned.

use heronroute::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since the machine started. It never goes back, and goes on while the process is stopped or the machine
/// sleeps: a lease that ran out meanwhile is seen to have.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}
