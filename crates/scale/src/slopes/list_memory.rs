//! Measures resident memory and time to readiness of a real daemon, by the length of its endpoint list.

use super::Setup;
use crate::budget::{LIST_BYTES, READY_TIME, SENDER_MEMORY};
use crate::process::{Daemon, Directory, Endpoints, Options, RefusingAddress, on_this_thread};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::{DESTINATIONS, SENDER_DESTINATIONS};
use anyhow::Result;
use std::time::Duration;

/// Maximum length of an endpoint list that the daemon accepts, in bytes: the limit in the sender's `discovery.rs`.
const MAX_LIST_BYTES: f64 = (4 << 20) as f64;
/// Time-out for the daemon's readiness, with a margin for a machine with other load.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that the daemon runs without load before its memory is measured.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Memory and time to readiness of a single daemon.
struct Sample {
    resident: f64,
    ready: f64,
}

async fn sample(setup: &Setup, count: usize) -> Result<(Sample, usize)> {
    let down = RefusingAddress::new()?;
    let directory = Directory::start(Endpoints { count, address: down.address }.to_json()?).await?;
    let mut daemon = Daemon::start(&setup.binary, directory.address, &Options::default())?;
    let ready = daemon.wait_ready(count, READY_TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok((Sample { resident: daemon.resident_bytes()?, ready: ready.as_secs_f64() }, directory.list_bytes))
}

/// Measures memory and time to readiness of daemons with growing endpoint lists.
///
/// # Errors
/// Fails if the daemon can't be started or is not ready in time.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[100, 500, 1_000] } else { &[1_000, 4_000, 10_000, 25_000] };
    let repeats = if setup.small { 1 } else { 5 };
    let mut report = Report::new("list-memory", setup);
    report.input("destinations", format!("{sizes:?}, one endpoint each"));
    report.input("repeats", repeats);
    report.input("binary", setup.binary.display());
    let (mut points, mut bytes_per_entry) = (Vec::new(), 0.0);
    for &count in sizes {
        let mut samples = Vec::new();
        for _ in 0..repeats {
            let (sample, list_bytes) = on_this_thread(sample(setup, count))?;
            bytes_per_entry = list_bytes as f64 / count as f64;
            points.push((count as f64, sample.resident));
            samples.push(sample);
        }
        let resident: Vec<f64> = samples.iter().map(|s| s.resident).collect();
        let ready: Vec<f64> = samples.iter().map(|s| s.ready).collect();
        report.metric(format!("resident at {count}"), Unit::Bytes, Spread::of(&resident));
        report.bounded_metric(format!("ready at {count}"), Unit::Seconds, Spread::of(&ready), READY_TIME);
    }
    let line = Line::through(&points);
    report.bounded_metric(
        "resident for each destination",
        Unit::Bytes,
        Spread::exact(line.slope),
        LIST_BYTES,
    );
    report.metric("resident without a list", Unit::Bytes, Spread::exact(line.intercept));
    let full_list = line.at(DESTINATIONS as f64);
    report.metric("extrapolated: whole list at each sender", Unit::Bytes, Spread::exact(full_list));
    let owned = line.at(SENDER_DESTINATIONS * 1.15);
    report.bounded_metric(
        "extrapolated: a busiest owner's part of the list",
        Unit::Bytes,
        Spread::exact(owned),
        SENDER_MEMORY,
    );
    report.metric("list's bytes for each destination", Unit::Bytes, Spread::exact(bytes_per_entry));
    report.metric(
        "longest list, in destinations",
        Unit::Count,
        Spread::exact(MAX_LIST_BYTES / bytes_per_entry),
    );
    report.remark("the daemon rejects a list longer than 4 MiB");
    Ok(report)
}
