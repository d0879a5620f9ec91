//! Compares a simulated result with real processes: the processor time of a message by the endpoint list's length.
//! The simulated result is that of the decision module alone, the real result that of the daemon.

use super::{Setup, message_cpu};
use crate::budget::SIMULATED_AGAINST_REAL;
use crate::process::on_this_thread;
use crate::report::{Report, Unit};
use crate::simulated_module::Module;
use crate::spread::Spread;
use anyhow::Result;
use std::time::Duration;

/// Rounds of the decision module per second: one round per quantum of 5 ms.
const ROUNDS_PER_SECOND: usize = 200;

/// Measures the decision module's processor time per message, in seconds, at the load of the real measurement.
fn simulated_cost(listed: usize, seconds: usize, seed: u64) -> Result<f64> {
    let mut module = Module::new(listed, seed)?;
    let active = message_cpu::ACTIVE_DESTINATIONS.min(listed) as i64;
    let per_round = message_cpu::MESSAGE_RATE / ROUNDS_PER_SECOND as f64;
    let (mut used, mut offered) = (Duration::ZERO, 0u64);
    for round in 1..=seconds * ROUNDS_PER_SECOND {
        let due = (round as f64 * per_round) as u64;
        let destinations: Vec<i64> = (offered..due).map(|n| n as i64 % active).collect();
        used += module.round(&destinations)?;
        offered = due;
    }
    Ok(used.as_secs_f64() / offered as f64)
}

/// Measures how far the simulated growth of a message's processor time deviates from the real growth.
///
/// # Errors
/// Fails if the daemon can't be started or refuses messages.
pub fn run(setup: &Setup) -> Result<Report> {
    let (short, long) = (100, if setup.small { 1_000 } else { 10_000 });
    let (repeats, seconds) = if setup.small { (1, 1) } else { (5, 8) };
    let mut report = Report::new("hollow-check", setup);
    report.input("destinations", format!("{short} and {long}, {} active", message_cpu::ACTIVE_DESTINATIONS));
    report.input(
        "load",
        format!("{} messages a second for {seconds} s, {repeats} times", message_cpu::MESSAGE_RATE),
    );
    let span = Duration::from_secs(seconds as u64);
    let (mut real, mut simulated) = (Vec::new(), Vec::new());
    for _ in 0..repeats {
        let at = |listed| {
            on_this_thread(message_cpu::sample(setup, listed, message_cpu::ACTIVE_DESTINATIONS, span))
        };
        real.push(at(long)? - at(short)?);
        simulated
            .push(simulated_cost(long, seconds, setup.seed)? - simulated_cost(short, seconds, setup.seed)?);
    }
    let (real, simulated) = (Spread::of(&real), Spread::of(&simulated));
    report.metric(format!("real: a message costs more at {long} than at {short}"), Unit::Seconds, real);
    report.metric(
        format!("hollow: a message costs more at {long} than at {short}"),
        Unit::Seconds,
        simulated,
    );
    let deviation = Spread::exact((simulated.median / real.median - 1.0).abs());
    if setup.small {
        report.metric("hollow against real, apart by", Unit::Ratio, deviation);
        report.remark(
            "no verdict: at the small size the growth is below the resolution of the processor time (10 ms)",
        );
    } else {
        report.bounded_metric(
            "hollow against real, apart by",
            Unit::Ratio,
            deviation,
            SIMULATED_AGAINST_REAL,
        );
    }
    Ok(report)
}
