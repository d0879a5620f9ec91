//! Time spans as an operator writes them in a scenario.

use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// Microseconds since the run began, or a time span in microseconds.
pub type Micros = i64;

/// Longest span in a scenario, one day: a rehearsal lasts minutes, and sums of spans must not overflow.
pub const MAX_SPAN_US: Micros = 24 * 3600 * 1_000_000;

/// A time span, written with units: `400ms`, `2s`, `1m 30s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl Span {
    /// Returns a span with the given number of milliseconds.
    pub const fn ms(ms: i64) -> Span {
        Span(ms * 1000)
    }

    /// Returns the length of the span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Converts microseconds to a [`Duration`]; negative values become zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let wrong =
            || D::Error::invalid_value(Unexpected::Str(&text), &"a span with its unit, such as \"2s\"");
        let span = humantime::parse_duration(&text).map_err(|_| wrong())?;
        let micros = i64::try_from(span.as_micros()).ok().filter(|m| *m <= MAX_SPAN_US);
        micros.map(Span).ok_or_else(|| D::Error::custom("a span may be at most one day"))
    }
}
