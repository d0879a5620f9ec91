//! Resident memory and time to ready of a real daemon, by the length of its list.

use super::Setup;
use crate::budget::{LIST_BYTES, READY_TIME, SENDER_MEMORY};
use crate::process::{Daemon, Directory, Endpoints, Options, Refusing, on_this_thread};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::{DESTINATIONS, SENDER_DESTINATIONS};
use anyhow::Result;
use std::time::Duration;

/// Longest list that a daemon reads, in bytes (`LINE_MOST` in the sender's `discovery.rs`).
const LIST_MOST: f64 = (4 << 20) as f64;
/// A daemon on a shared machine is ready by then.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long the daemon is left alone before its memory is read.
const SETTLE: Duration = Duration::from_millis(500);

/// What one daemon showed.
struct Sample {
    resident: f64,
    ready: f64,
}

async fn sample(setup: &Setup, count: usize) -> Result<(Sample, usize)> {
    let down = Refusing::new()?;
    let directory = Directory::start(Endpoints { count, address: down.address }.to_json()?).await?;
    let mut daemon = Daemon::start(&setup.binary, directory.address, &Options::default())?;
    let ready = daemon.ready(count, PATIENCE).await?;
    tokio::time::sleep(SETTLE).await;
    Ok((Sample { resident: daemon.resident_bytes()?, ready: ready.as_secs_f64() }, directory.list_bytes))
}

/// Measures it.
///
/// # Errors
/// When the daemon can't be started or is not ready in time.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[100, 500, 1_000] } else { &[1_000, 4_000, 10_000, 25_000] };
    let repeats = if setup.small { 1 } else { 5 };
    let mut report = Report::new("list-memory", setup);
    report.input("destinations", format!("{sizes:?}, one endpoint each"));
    report.input("repeats", repeats);
    report.input("binary", setup.binary.display());
    let (mut points, mut bytes_by_line) = (Vec::new(), 0.0);
    for &count in sizes {
        let mut samples = Vec::new();
        for _ in 0..repeats {
            let (sample, list_bytes) = on_this_thread(sample(setup, count))?;
            bytes_by_line = list_bytes as f64 / count as f64;
            points.push((count as f64, sample.resident));
            samples.push(sample);
        }
        let resident: Vec<f64> = samples.iter().map(|s| s.resident).collect();
        let ready: Vec<f64> = samples.iter().map(|s| s.ready).collect();
        report.figure(format!("resident at {count}"), Unit::Bytes, Spread::of(&resident));
        report.bounded(format!("ready at {count}"), Unit::Seconds, Spread::of(&ready), READY_TIME);
    }
    let line = Line::through(&points);
    report.bounded("resident for each destination", Unit::Bytes, Spread::exact(line.slope), LIST_BYTES);
    report.figure("resident without a list", Unit::Bytes, Spread::exact(line.intercept));
    let whole = line.at(DESTINATIONS as f64);
    report.figure("extrapolated: whole list at each sender", Unit::Bytes, Spread::exact(whole));
    let owned = line.at(SENDER_DESTINATIONS * 1.15);
    report.bounded(
        "extrapolated: a busiest owner's part of the list",
        Unit::Bytes,
        Spread::exact(owned),
        SENDER_MEMORY,
    );
    report.figure("list's bytes for each destination", Unit::Bytes, Spread::exact(bytes_by_line));
    report.figure("longest list, in destinations", Unit::Count, Spread::exact(LIST_MOST / bytes_by_line));
    report.remark("a list over 4 MiB of text is refused (`a list is too long`)");
    Ok(report)
}
