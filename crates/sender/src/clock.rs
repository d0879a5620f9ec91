//! The sender's clock: wall-clock time that never goes back.

use heronroute::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts at the wall clock's time and advances by the monotonic clock, so that it never goes back.
/// The journal and the dispatcher share the sender's clock.
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

    /// Converts a time of the sender's clock to an instant for a timer.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = Duration::from_micros((at - self.wall).max(0) as u64);
        (self.start + after).into()
    }
}
