//! Spreads of repeated measurements, and the straight line through some of them.

use hdrhistogram::Histogram;
use nix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::time::Duration;

/// The spread of repeated measurements of one figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// How many there were.
    pub samples: u64,
    /// The least.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Of one exact value.
    pub fn exact(value: f64) -> Self {
        Spread { samples: 1, min: value, median: value, p99: value, max: value }
    }

    /// Of a few values; of none it is all zero.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
            sorted.get(rank).copied().unwrap_or(0.0)
        };
        Spread { samples: sorted.len() as u64, min: at(0.0), median: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    /// The same in another unit.
    pub fn scaled(self, factor: f64) -> Self {
        let Spread { samples, min, median, p99, max } = self;
        Spread { samples, min: min * factor, median: median * factor, p99: p99 * factor, max: max * factor }
    }
}

/// Processor time that this thread has used. Unlike the clock's time it is not stretched by whatever else the machine is
/// doing.
///
/// # Errors
/// Where the system has no such clock.
pub fn thread_cpu_time() -> anyhow::Result<Duration> {
    Ok(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)?.into())
}

/// Many short times, kept as a histogram of nanoseconds.
pub struct Times(Histogram<u64>);

/// Three significant digits: finer than any two runs agree.
const DIGITS: u8 = 3;
/// Longest time that is told apart, in nanoseconds; longer ones count as this.
const LONGEST: u64 = 60_000_000_000;

impl Times {
    /// Without a sample yet.
    ///
    /// # Errors
    /// None in practice: the histogram's precision is a constant.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Times(Histogram::new_with_max(LONGEST, DIGITS)?))
    }

    /// Takes one time.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_nanos()).unwrap_or(u64::MAX));
    }

    /// In seconds.
    pub fn seconds(&self) -> Spread {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e9;
        let (min, max) = (self.0.min() as f64 / 1e9, self.0.max() as f64 / 1e9);
        Spread { samples: self.0.len(), min, median: at(0.5), p99: at(0.99), max }
    }
}

/// A straight line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth for each unit of `x`.
    pub slope: f64,
    /// Value at 0.
    pub intercept: f64,
}

impl Line {
    /// The least-squares line through the points; flat where they have a single `x`.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if spread_x > 0.0 { joint / spread_x } else { 0.0 };
        Line { slope, intercept: mean_y - slope * mean_x }
    }

    /// Its value there.
    pub fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
