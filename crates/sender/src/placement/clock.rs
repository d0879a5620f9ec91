//! The clock for placement's leases and holds (times during which a shard has no owner).

use heronroute::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Returns the microseconds since the machine started, by a clock that never goes back.
/// The clock continues while the process is stopped or the machine sleeps: a lease that expires meanwhile is noticed.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}
