//! One hollow result against real processes: how the processor time of a message grows with the list, in the
//! decision module alone and in the daemon.

use super::{Setup, message_cpu};
use crate::budget::HOLLOW_AGAINST_REAL;
use crate::hollow_module::Module;
use crate::process::on_this_thread;
use crate::report::{Report, Unit};
use crate::spread::Spread;
use anyhow::Result;
use std::time::Duration;

/// Rounds in a second: one a quantum.
const ROUNDS_PER_SECOND: usize = 200;

/// Seconds of processor time for each message, in the module alone, at the load of the real measurement.
fn hollow(listed: usize, seconds: usize, seed: u64) -> Result<f64> {
    let mut module = Module::new(listed, seed)?;
    let active = message_cpu::ACTIVE.min(listed) as i64;
    let by_round = message_cpu::RATE / ROUNDS_PER_SECOND as f64;
    let (mut used, mut handed) = (Duration::ZERO, 0u64);
    for round in 1..=seconds * ROUNDS_PER_SECOND {
        let due = (round as f64 * by_round) as u64;
        let destinations: Vec<i64> = (handed..due).map(|n| n as i64 % active).collect();
        used += module.round(&destinations)?;
        handed = due;
    }
    Ok(used.as_secs_f64() / handed as f64)
}

/// Measures it.
///
/// # Errors
/// When the daemon can't be started, or refuses messages.
pub fn run(setup: &Setup) -> Result<Report> {
    let (short, long) = (100, if setup.small { 1_000 } else { 10_000 });
    let (repeats, seconds) = if setup.small { (1, 1) } else { (5, 8) };
    let mut report = Report::new("hollow-check", setup);
    report.input("destinations", format!("{short} and {long}, {} active", message_cpu::ACTIVE));
    report.input("load", format!("{} messages a second for {seconds} s, {repeats} times", message_cpu::RATE));
    let span = Duration::from_secs(seconds as u64);
    let (mut real, mut alone) = (Vec::new(), Vec::new());
    for _ in 0..repeats {
        let at = |listed| on_this_thread(message_cpu::sample(setup, listed, message_cpu::ACTIVE, span));
        real.push(at(long)? - at(short)?);
        alone.push(hollow(long, seconds, setup.seed)? - hollow(short, seconds, setup.seed)?);
    }
    let (real, alone) = (Spread::of(&real), Spread::of(&alone));
    report.figure(format!("real: a message costs more at {long} than at {short}"), Unit::Seconds, real);
    report.figure(format!("hollow: a message costs more at {long} than at {short}"), Unit::Seconds, alone);
    let apart = Spread::exact((alone.median / real.median - 1.0).abs());
    if setup.small {
        report.figure("hollow against real, apart by", Unit::Ratio, apart);
        report.remark("at this size the growth is within the clock's 10 ms ticks: no verdict");
    } else {
        report.bounded("hollow against real, apart by", Unit::Ratio, apart, HOLLOW_AGAINST_REAL);
    }
    Ok(report)
}
