//! The clock for leases and holds.

use heronroute::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Returns the microseconds since the machine started. The clock never goes back, and continues while the process is
/// stopped or the machine sleeps, so that a lease that expired meanwhile is noticed.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}
