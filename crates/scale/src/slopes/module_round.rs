//! Measures the processor time of the decision module's idle rounds, without a daemon around the module.

use super::Setup;
use crate::budget::{BUSIEST_OWNER, SENDER_CPU};
use crate::report::{Report, Unit};
use crate::simulated_module::Module;
use crate::spread::{Line, Spread, Times};
use crate::target::SENDER_DESTINATIONS;
use anyhow::Result;
use std::time::{Duration, Instant};

/// Maximum number of rounds per second in the daemon: one round per quantum of 5 ms.
const ROUNDS_PER_SECOND: f64 = 200.0;
/// Number of rounds that are timed together: a single round is too short for the clock.
const ROUNDS_PER_BATCH: u32 = 20;
/// Time after which the measurement with one length of the endpoint list ends.
const MAX_MEASURING_TIME: Duration = Duration::from_secs(10);

/// Measures the processor time of idle rounds with growing endpoint lists.
///
/// # Errors
/// Fails if the decision module rejects its settings.
pub fn run(setup: &Setup) -> Result<Report> {
    let owned = (SENDER_DESTINATIONS * BUSIEST_OWNER.limit) as usize;
    let sizes: &[usize] =
        if setup.small { &[100, owned, 1_000] } else { &[100, owned, 1_000, 10_000, 100_000] };
    let batches = if setup.small { 25 } else { 200 };
    let mut report = Report::new("module-round", setup);
    report.input("destinations", format!("{sizes:?}, one endpoint each"));
    report.input(
        "rounds",
        format!("{batches} times {ROUNDS_PER_BATCH}, {MAX_MEASURING_TIME:?} at the most; processor time"),
    );
    let mut points = Vec::new();
    for &count in sizes {
        let mut module = Module::new(count, setup.seed)?;
        let mut times = Times::new()?;
        let started = Instant::now();
        for _ in 0..batches {
            times.record(module.idle_rounds(ROUNDS_PER_BATCH)?);
            if started.elapsed() > MAX_MEASURING_TIME {
                break;
            }
        }
        let spread = times.seconds().scaled(1.0 / f64::from(ROUNDS_PER_BATCH));
        points.push((count as f64, spread.median));
        report.metric(format!("idle round at {count}"), Unit::Seconds, spread);
        if count == owned {
            let cores = spread.scaled(ROUNDS_PER_SECOND);
            report.bounded_metric(
                "idle rounds of a busiest owner, one a quantum",
                Unit::Cores,
                cores,
                SENDER_CPU,
            );
        }
    }
    let line = Line::through(&points);
    report.metric("idle round for each destination", Unit::Seconds, Spread::exact(line.slope));
    Ok(report)
}
