//! What is measured: rates, latencies, and what refusals say of connection tables. Data with no say in a decision;
//! those that go by it are in `src/logic.rs`.

use crate::interface::Micros;
use crate::state::{Latency, Rate};

const SURE_AFTER: f64 = 8e6; // less than this seen of a rate counts as if it were as much
const SURE: f64 = 1.0; // deviations by which chance may have raised a rate
const LATENCY_GAIN: f64 = 0.04; // weight of a new latency sample once there are many
const P99_UNKNOWN: f64 = 2e6; // assumed p99 before the first sample
/// Calls after which a share of refusals is mostly of what came since.
const TABLE_MEMORY: f64 = 16.0;
/// Calls on new connections that must have been seen: a few refusals say little.
const TABLE_SEEN: f64 = 6.0;
/// Before any kept connection has been used, this share of its calls is taken to be refused.
const TABLE_PRIOR: f64 = 0.2;
/// Share of the calls by new connections that are refused where tables are full, and how many times that of kept
/// ones it is: a limit refuses both alike, a full table only new ones.
const TABLE_SHARE: f64 = 0.6;
const TABLE_RATIO: f64 = 3.0;

impl Rate {
    pub(crate) fn new(now: Micros, memory: f64) -> Self {
        Rate { born: now, at: now, value: 0.0, memory }
    }
    /// As if so many a second had been seen for the span of its memory.
    pub(crate) fn known(now: Micros, memory: f64, rate: f64) -> Self {
        Rate { born: now - memory as Micros, at: now, value: rate * (1.0 - (-1.0_f64).exp()), memory }
    }
    pub(crate) fn add(&mut self, now: Micros) {
        self.value = self.value * (-((now - self.at) as f64) / self.memory).exp() + 1e6 / self.memory;
        self.at = now;
    }
    pub(crate) fn get(&self, now: Micros) -> f64 {
        let age = (now - self.born).max(1_000_000) as f64;
        self.value * (-((now - self.at) as f64) / self.memory).exp() / (1.0 - (-age / self.memory).exp())
    }
    /// What it most likely is at least: few events say little.
    pub(crate) fn sure(&self, now: Micros) -> f64 {
        let rate = self.get(now) * ((now - self.born) as f64 / SURE_AFTER).min(1.0);
        rate - SURE * (rate * 1e6 / self.memory).sqrt()
    }
}

impl Latency {
    pub(crate) fn learn(&mut self, elapsed: Micros) {
        let x = elapsed.max(1_000) as f64;
        self.recent = if self.n == 0.0 { x } else { self.recent + 0.3 * (x - self.recent) };
        // A slow spell widens the picture only little by little: the sized latency is that of health.
        let l = if self.n < 8.0 { x.ln() } else { x.ln().min(self.p99().ln() + 0.7) };
        let gain = (1.0 / (self.n + 1.0)).max(LATENCY_GAIN);
        let d = l - self.mu;
        self.mu += gain * d;
        self.var = (1.0 - gain) * (self.var + gain * d * d);
        self.n += 1.0;
    }
    pub(crate) fn p99(&self) -> f64 {
        let learnt = (self.mu + 2.33 * self.var.sqrt()).exp() * (1.0 + 3.0 / (self.n + 1.0));
        if self.n == 0.0 { P99_UNKNOWN } else { learnt }
    }
    pub(crate) fn mean(&self) -> f64 {
        if self.n == 0.0 { P99_UNKNOWN / 4.0 } else { (self.mu + self.var / 2.0).exp() }
    }
    pub(crate) fn slow(&self) -> bool {
        self.n > 0.0 && self.recent > self.p99()
    }
}

/// Calls of one sort, and how many of them were refused, fading.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    all: f64,
    refused: f64,
}

impl Refusals {
    fn learn(&mut self, refused: bool) {
        let kept = 1.0 - 1.0 / TABLE_MEMORY;
        self.all = self.all * kept + 1.0;
        self.refused = self.refused * kept + f64::from(u8::from(refused));
    }
}

/// Whether an endpoint kind's connection tables are full, as far as refusals tell: by new connections, by kept ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tables {
    new: Refusals,
    kept: Refusals,
}

impl Tables {
    /// A call was answered, on a new connection or a kept one.
    pub(crate) fn learn(&mut self, new: bool, refused: bool) {
        if new { &mut self.new } else { &mut self.kept }.learn(refused);
    }

    /// New connections are refused, and kept ones serve.
    pub(crate) fn full(&self) -> bool {
        let Tables { new, kept } = self;
        let refused = new.refused / new.all.max(1.0);
        let kept = (kept.refused + TABLE_PRIOR) / (kept.all + 1.0);
        new.all >= TABLE_SEEN && refused >= TABLE_SHARE && refused >= TABLE_RATIO * kept
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_limit_that_refuses_all_alike_is_no_full_table() {
        for refused_kept in [0, 1, 3, 4] {
            let mut t = Tables::default();
            for i in 0..40 {
                t.learn(true, i % 4 != 0);
                t.learn(false, i % 8 < refused_kept);
            }
            assert_eq!(t.full(), refused_kept <= 1, "{refused_kept} of eight kept ones refused");
        }
    }

    #[test]
    fn few_calls_say_nothing_and_what_changes_is_learnt() {
        let mut t = Tables::default();
        (0..6).for_each(|_| t.learn(true, true));
        assert!(!t.full());
        (0..4).for_each(|_| t.learn(true, true));
        assert!(t.full());
        (0..2).for_each(|_| t.learn(false, true));
        assert!(!t.full(), "kept ones are refused as well");
        (0..16).for_each(|_| t.learn(false, false));
        assert!(t.full());
        (0..16).for_each(|_| t.learn(true, false));
        assert!(!t.full());
    }

    #[test]
    fn a_rate_fades_and_a_p99_lies_above_the_mean() {
        let mut rate = Rate::new(0, 8e6);
        (1..=80).for_each(|i| rate.add(i * 100_000));
        assert!((9.0..11.0).contains(&rate.get(8_000_000)) && rate.sure(8_000_000) < rate.get(8_000_000));
        assert!(rate.get(24_000_000) < 2.0);
        let mut latency = Latency::default();
        assert!(!latency.slow());
        (0..50).for_each(|i| latency.learn(90_000 + 1_000 * (i % 20)));
        assert!(latency.p99() > latency.mean() && (90_000.0..120_000.0).contains(&latency.mean()));
        (0..3).for_each(|_| latency.learn(900_000));
        assert!(latency.slow());
    }
}
