//! The sender's clock.

use heronroute::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that counts microseconds from the wall clock's time at the start, by the monotonic clock, so that it never
/// goes back. The journal and the dispatcher share it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the wall clock's current time.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall: wall.as_micros() as Micros, start: Instant::now() }
    }

    /// Returns the time in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.wall + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant for a timer.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = Duration::from_micros((at - self.wall).max(0) as u64);
        (self.start + after).into()
    }
}
