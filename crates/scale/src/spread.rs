//! Spreads of repeated measurements, processor time, and lines fitted to measurements.

use hdrhistogram::Histogram;
use nix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::time::Duration;

/// Spread of repeated measurements of one metric.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Number of repeated measurements.
    pub samples: u64,
    /// Smallest measured value.
    pub min: f64,
    /// Median of the measured values.
    pub median: f64,
    /// 99th percentile of the measured values.
    pub p99: f64,
    /// Largest measured value.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of a single exact value, which is its minimum, median and maximum.
    pub fn exact(value: f64) -> Self {
        Spread { samples: 1, min: value, median: value, p99: value, max: value }
    }

    /// Returns the spread of a few values; all fields of the spread are zero if there are no values.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
            sorted.get(rank).copied().unwrap_or(0.0)
        };
        Spread { samples: sorted.len() as u64, min: at(0.0), median: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    /// Multiplies all values of the spread by a factor, for example to change the unit.
    pub fn scaled(self, factor: f64) -> Self {
        let Spread { samples, min, median, p99, max } = self;
        Spread { samples, min: min * factor, median: median * factor, p99: p99 * factor, max: max * factor }
    }
}

/// Returns the processor time that the current thread has used.
/// Processor time, unlike wall-clock time, does not depend on the machine's other load.
///
/// # Errors
/// Fails if the operating system has no clock for a thread's processor time.
pub fn thread_cpu_time() -> anyhow::Result<Duration> {
    Ok(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)?.into())
}

/// Histogram of many short times, in nanoseconds.
pub struct Times(Histogram<u64>);

/// Significant digits of the histogram: the resolution is finer than the differences between any two runs.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histogram can represent, in nanoseconds; a longer time counts as the longest.
const MAX_NANOSECONDS: u64 = 60_000_000_000;

impl Times {
    /// Creates an empty histogram of times.
    ///
    /// # Errors
    /// Never fails in practice: the histogram's precision is a constant.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Times(Histogram::new_with_max(MAX_NANOSECONDS, SIGNIFICANT_DIGITS)?))
    }

    /// Records a time in the histogram; times above the maximum count as the maximum.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_nanos()).unwrap_or(u64::MAX));
    }

    /// Returns the spread of the recorded times in seconds.
    pub fn seconds(&self) -> Spread {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e9;
        let (min, max) = (self.0.min() as f64 / 1e9, self.0.max() as f64 / 1e9);
        Spread { samples: self.0.len(), min, median: at(0.5), p99: at(0.99), max }
    }
}

/// The straight line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of the line per unit of `x`.
    pub slope: f64,
    /// Value of the line at `x = 0`.
    pub intercept: f64,
}

impl Line {
    /// Fits a least-squares line to the points; the line is flat if all points have the same `x`.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if spread_x > 0.0 { joint / spread_x } else { 0.0 };
        Line { slope, intercept: mean_y - slope * mean_x }
    }

    /// Returns the value of the line at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
