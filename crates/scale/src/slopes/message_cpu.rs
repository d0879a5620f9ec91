//! Measures the processor time per message of a real daemon, by the length of the daemon's endpoint list.

use super::Setup;
use crate::budget::{BUSIEST_OWNER, MESSAGE_CPU};
use crate::process::{Daemon, Directory, Endpoints, Options, Receiver, offer, on_this_thread};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::{SENDER_DESTINATIONS, SENDER_MESSAGES_PER_SECOND};
use anyhow::{Result, ensure};
use std::time::Duration;

/// Number of messages that clients send to the daemon per second.
pub const MESSAGE_RATE: f64 = 300.0;
/// Maximum number of destinations that get messages, also with a longer endpoint list.
/// The limit separates the cost of an idle destination in the endpoint list from the cost of a connection.
pub const ACTIVE_DESTINATIONS: usize = 100;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Divisor of the measured span that gives the duration of the load before the measurement.
/// The load before the measurement opens the connections.
const WARM_UP_DIVISOR: u32 = 4;

/// Measures the daemon's processor time per accepted message, in seconds.
pub async fn sample(setup: &Setup, listed: usize, active: usize, span: Duration) -> Result<f64> {
    let receiver = Receiver::start().await?;
    let endpoints = Endpoints { count: listed, address: receiver.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let mut daemon = Daemon::start(&setup.binary, directory.address, &Options::default())?;
    daemon.wait_ready(listed, READY_TIMEOUT).await?;
    offer(daemon.address, "warm", MESSAGE_RATE, span / WARM_UP_DIVISOR, active).await?;
    let before = daemon.cpu_seconds()?;
    let counts = offer(daemon.address, "load", MESSAGE_RATE, span, active).await?;
    let used = daemon.cpu_seconds()? - before;
    ensure!(counts.accepted > 0, "the daemon accepted no message; last log line: {}", daemon.last_log_line());
    ensure!(
        counts.refused * 20 < counts.accepted,
        "the daemon refused {} messages and accepted {}; at most one in twenty may be refused",
        counts.refused,
        counts.accepted
    );
    Ok(used / counts.accepted as f64)
}

/// Measures the processor time per message with growing endpoint lists.
///
/// # Errors
/// Fails if the daemon can't be started or refuses more than one message in twenty.
pub fn run(setup: &Setup) -> Result<Report> {
    let owned = (SENDER_DESTINATIONS * BUSIEST_OWNER.limit) as usize;
    let sizes: &[usize] = if setup.small { &[100, owned] } else { &[100, owned, 1_000, 10_000] };
    let (repeats, span) = if setup.small { (1, Duration::from_secs(1)) } else { (5, Duration::from_secs(8)) };
    let mut report = Report::new("message-cpu", setup);
    report.input("destinations", format!("{sizes:?}"));
    report.input(
        "load",
        format!("{MESSAGE_RATE} messages a second of 200 bytes for {span:?}, {repeats} times"),
    );
    report.input("binary", setup.binary.display());
    let mut points = Vec::new();
    for &listed in sizes {
        let mut samples = Vec::new();
        for _ in 0..repeats {
            samples.push(on_this_thread(sample(setup, listed, ACTIVE_DESTINATIONS.min(listed), span))?);
        }
        let spread = Spread::of(&samples);
        points.push((listed as f64, spread.median));
        report.metric(
            format!("a message, {listed} listed, {ACTIVE_DESTINATIONS} active"),
            Unit::Seconds,
            spread,
        );
        let cores = spread.scaled(SENDER_MESSAGES_PER_SECOND);
        let name = format!("a sender's messages at the target, {listed} listed");
        if listed == owned {
            report.bounded_metric(name, Unit::Cores, cores, MESSAGE_CPU);
        } else {
            report.metric(name, Unit::Cores, cores);
        }
    }
    if !setup.small {
        for listed in [owned, 10_000] {
            let samples: Result<Vec<f64>> =
                (0..repeats).map(|_| on_this_thread(sample(setup, listed, listed, span))).collect();
            report.metric(
                format!("a message, {listed} listed, all active"),
                Unit::Seconds,
                Spread::of(&samples?),
            );
        }
    }
    let line = Line::through(&points);
    report.metric("a message for each listed destination", Unit::Seconds, Spread::exact(line.slope));
    report.metric("a message without a list", Unit::Seconds, Spread::exact(line.intercept));
    Ok(report)
}
