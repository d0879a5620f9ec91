//! Measures rates and latencies, and detects from refusals that connection tables are full.
//! The decisions that use these measurements are in `src/logic.rs`.

use crate::interface::Micros;
use crate::state::{Latency, Rate};

/// Observation time after which a rate's lower bound needs no correction.
/// For a rate observed for a shorter time, the lower bound counts the missing time as free of events.
const FULL_CONFIDENCE_AFTER_US: f64 = 8e6;
/// Number of standard deviations by which the lower bound of a rate lies below the rate.
const LOWER_BOUND_DEVIATIONS: f64 = 1.0;
/// Minimum weight of a new latency sample; the first samples weigh more.
const LATENCY_GAIN: f64 = 0.04;
/// Assumed p99 of the latency before the first sample.
const DEFAULT_P99_US: f64 = 2e6;
/// Time constant, in calls, with which the counts of refused calls decay.
const TABLE_MEMORY_CALLS: f64 = 16.0;
/// Minimum decayed count of calls on new connections as evidence of a full connection table.
const MIN_TABLE_CALLS: f64 = 6.0;
/// Assumed share of refused calls on reused connections before the first call on a reused connection.
const REUSED_REFUSAL_PRIOR: f64 = 0.2;
/// Minimum share of refused calls on new connections at which a connection table counts as full.
/// The share must also be at least `MIN_REFUSAL_RATIO` times the refused share on reused connections.
/// A rate limit refuses calls on new and reused connections alike, a full connection table only on new ones.
const MIN_REFUSED_SHARE: f64 = 0.6;
const MIN_REFUSAL_RATIO: f64 = 3.0;

impl Rate {
    pub(crate) fn new(now: Micros, memory_us: f64) -> Self {
        Rate { created_at: now, updated_at: now, value: 0.0, memory_us }
    }
    /// Returns a rate as if `per_second` events a second had been observed for the time `memory_us`.
    pub(crate) fn with_history(now: Micros, memory_us: f64, per_second: f64) -> Self {
        Rate {
            created_at: now - memory_us as Micros,
            updated_at: now,
            value: per_second * (1.0 - (-1.0_f64).exp()),
            memory_us,
        }
    }
    /// Records one event.
    pub(crate) fn record(&mut self, now: Micros) {
        self.value =
            self.value * (-((now - self.updated_at) as f64) / self.memory_us).exp() + 1e6 / self.memory_us;
        self.updated_at = now;
    }
    /// Returns the events a second, corrected for an observation time shorter than `memory_us`.
    pub(crate) fn per_second(&self, now: Micros) -> f64 {
        let age = (now - self.created_at).max(1_000_000) as f64;
        self.value * (-((now - self.updated_at) as f64) / self.memory_us).exp()
            / (1.0 - (-age / self.memory_us).exp())
    }
    /// Returns a rate that the true rate most likely exceeds.
    /// The returned lower bound is low while few events have been recorded.
    pub(crate) fn lower_bound(&self, now: Micros) -> f64 {
        let rate =
            self.per_second(now) * ((now - self.created_at) as f64 / FULL_CONFIDENCE_AFTER_US).min(1.0);
        rate - LOWER_BOUND_DEVIATIONS * (rate * 1e6 / self.memory_us).sqrt()
    }
}

impl Latency {
    /// Records the latency of one answered call.
    pub(crate) fn record(&mut self, elapsed: Micros) {
        let sample_us = elapsed.max(1_000) as f64;
        self.recent_us =
            if self.samples == 0.0 { sample_us } else { self.recent_us + 0.3 * (sample_us - self.recent_us) };
        // Samples far above the p99 are capped, since permit pools are sized for healthy latency.
        // With capped samples, a period of slow answers widens the distribution only gradually.
        let log_sample =
            if self.samples < 8.0 { sample_us.ln() } else { sample_us.ln().min(self.p99_us().ln() + 0.7) };
        let gain = (1.0 / (self.samples + 1.0)).max(LATENCY_GAIN);
        let deviation = log_sample - self.log_mean;
        self.log_mean += gain * deviation;
        self.log_variance = (1.0 - gain) * (self.log_variance + gain * deviation * deviation);
        self.samples += 1.0;
    }
    /// Returns the estimated p99, with a margin that shrinks as samples accumulate.
    pub(crate) fn p99_us(&self) -> f64 {
        let estimate =
            (self.log_mean + 2.33 * self.log_variance.sqrt()).exp() * (1.0 + 3.0 / (self.samples + 1.0));
        if self.samples == 0.0 { DEFAULT_P99_US } else { estimate }
    }
    pub(crate) fn mean_us(&self) -> f64 {
        if self.samples == 0.0 {
            DEFAULT_P99_US / 4.0
        } else {
            (self.log_mean + self.log_variance / 2.0).exp()
        }
    }
    /// Returns whether the moving average of the latest answers' latencies exceeds the estimated p99.
    pub(crate) fn is_slow(&self) -> bool {
        self.samples > 0.0 && self.recent_us > self.p99_us()
    }
}

/// Counts of all calls and of refused calls, which decay as further calls are counted.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    calls: f64,
    refused: f64,
}

impl Refusals {
    fn record(&mut self, refused: bool) {
        let decay = 1.0 - 1.0 / TABLE_MEMORY_CALLS;
        self.calls = self.calls * decay + 1.0;
        self.refused = self.refused * decay + f64::from(u8::from(refused));
    }
}

/// Estimates from refusals whether the connection tables of an endpoint kind are full.
/// Calls on new connections and calls on reused connections are counted separately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionTables {
    new: Refusals,
    reused: Refusals,
}

impl ConnectionTables {
    /// Records an answered call on a new or a reused connection.
    pub(crate) fn record(&mut self, new: bool, refused: bool) {
        if new { &mut self.new } else { &mut self.reused }.record(refused);
    }

    /// Returns whether calls on new connections are refused while reused connections still work.
    pub(crate) fn are_full(&self) -> bool {
        let ConnectionTables { new, reused } = self;
        let refused = new.refused / new.calls.max(1.0);
        let refused_reused = (reused.refused + REUSED_REFUSAL_PRIOR) / (reused.calls + 1.0);
        new.calls >= MIN_TABLE_CALLS
            && refused >= MIN_REFUSED_SHARE
            && refused >= MIN_REFUSAL_RATIO * refused_reused
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_limit_that_refuses_all_alike_is_no_full_table() {
        for refused_reused in [0, 1, 3, 4] {
            let mut tables = ConnectionTables::default();
            for i in 0..40 {
                tables.record(true, i % 4 != 0);
                tables.record(false, i % 8 < refused_reused);
            }
            assert_eq!(
                tables.are_full(),
                refused_reused <= 1,
                "{refused_reused} of 8 calls on reused connections refused"
            );
        }
    }

    #[test]
    fn few_calls_are_no_evidence_and_later_calls_outweigh_earlier_ones() {
        let mut tables = ConnectionTables::default();
        (0..6).for_each(|_| tables.record(true, true));
        assert!(!tables.are_full());
        (0..4).for_each(|_| tables.record(true, true));
        assert!(tables.are_full());
        (0..2).for_each(|_| tables.record(false, true));
        assert!(!tables.are_full(), "calls on reused connections are refused as well");
        (0..16).for_each(|_| tables.record(false, false));
        assert!(tables.are_full());
        (0..16).for_each(|_| tables.record(true, false));
        assert!(!tables.are_full());
    }

    #[test]
    fn a_rate_decays_and_a_p99_lies_above_the_mean() {
        let mut rate = Rate::new(0, 8e6);
        (1..=80).for_each(|i| rate.record(i * 100_000));
        assert!(
            (9.0..11.0).contains(&rate.per_second(8_000_000))
                && rate.lower_bound(8_000_000) < rate.per_second(8_000_000)
        );
        assert!(rate.per_second(24_000_000) < 2.0);
        let mut latency = Latency::default();
        assert!(!latency.is_slow());
        (0..50).for_each(|i| latency.record(90_000 + 1_000 * (i % 20)));
        assert!(latency.p99_us() > latency.mean_us() && (90_000.0..120_000.0).contains(&latency.mean_us()));
        (0..3).for_each(|_| latency.record(900_000));
        assert!(latency.is_slow());
    }
}
