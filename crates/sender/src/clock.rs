//! The sender's clock.

use heronroute::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock microseconds that never go back: journal and dispatcher share them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall: wall.as_micros() as Micros, start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.wall + self.start.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = Duration::from_micros((at - self.wall).max(0) as u64);
        (self.start + after).into()
    }
}
