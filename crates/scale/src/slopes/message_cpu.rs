//! Processor time of a real daemon for each message, by the length of its list.

use super::Setup;
use crate::budget::{BUSIEST_OWNER, MESSAGE_CPU};
use crate::process::{Daemon, Directory, Endpoints, Options, Receiver, offer, on_this_thread};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::{SENDER_DESTINATIONS, SENDER_MESSAGES_PER_SECOND};
use anyhow::{Result, ensure};
use std::time::Duration;

/// Messages offered in a second.
pub const RATE: f64 = 300.0;
/// Destinations that messages go to, where more are listed: what a listed but idle destination costs is told apart
/// from what a connection costs.
pub const ACTIVE: usize = 100;
const PATIENCE: Duration = Duration::from_secs(30);
/// The load before the measured one, in which connections come up, is a part of it.
const WARM_UP_PART: u32 = 4;

/// Seconds of processor time for each message taken.
pub async fn sample(setup: &Setup, listed: usize, active: usize, span: Duration) -> Result<f64> {
    let receiver = Receiver::start().await?;
    let endpoints = Endpoints { count: listed, address: receiver.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let mut daemon = Daemon::start(&setup.binary, directory.address, &Options::default())?;
    daemon.ready(listed, PATIENCE).await?;
    offer(daemon.address, "warm", RATE, span / WARM_UP_PART, active).await?;
    let before = daemon.cpu_seconds()?;
    let handed = offer(daemon.address, "load", RATE, span, active).await?;
    let used = daemon.cpu_seconds()? - before;
    ensure!(handed.taken > 0, "the daemon took no message: {}", daemon.log());
    ensure!(handed.refused * 20 < handed.taken, "{} of {} refused", handed.refused, handed.taken);
    Ok(used / handed.taken as f64)
}

/// Measures it.
///
/// # Errors
/// When the daemon can't be started, or refuses more than one message in twenty.
pub fn run(setup: &Setup) -> Result<Report> {
    let owned = (SENDER_DESTINATIONS * BUSIEST_OWNER.limit) as usize;
    let sizes: &[usize] = if setup.small { &[100, owned] } else { &[100, owned, 1_000, 10_000] };
    let (repeats, span) = if setup.small { (1, Duration::from_secs(1)) } else { (5, Duration::from_secs(8)) };
    let mut report = Report::new("message-cpu", setup);
    report.input("destinations", format!("{sizes:?}"));
    report.input("load", format!("{RATE} messages a second of 200 bytes for {span:?}, {repeats} times"));
    report.input("binary", setup.binary.display());
    let mut points = Vec::new();
    for &listed in sizes {
        let mut samples = Vec::new();
        for _ in 0..repeats {
            samples.push(on_this_thread(sample(setup, listed, ACTIVE.min(listed), span))?);
        }
        let spread = Spread::of(&samples);
        points.push((listed as f64, spread.median));
        report.figure(format!("a message, {listed} listed, {ACTIVE} active"), Unit::Seconds, spread);
        let cores = spread.scaled(SENDER_MESSAGES_PER_SECOND);
        let name = format!("a sender's messages at the target, {listed} listed");
        if listed == owned {
            report.bounded(name, Unit::Cores, cores, MESSAGE_CPU);
        } else {
            report.figure(name, Unit::Cores, cores);
        }
    }
    if !setup.small {
        for listed in [owned, 10_000] {
            let samples: Result<Vec<f64>> =
                (0..repeats).map(|_| on_this_thread(sample(setup, listed, listed, span))).collect();
            report.figure(
                format!("a message, {listed} listed, all active"),
                Unit::Seconds,
                Spread::of(&samples?),
            );
        }
    }
    let line = Line::through(&points);
    report.figure("a message for each listed destination", Unit::Seconds, Spread::exact(line.slope));
    report.figure("a message without a list", Unit::Seconds, Spread::exact(line.intercept));
    Ok(report)
}
