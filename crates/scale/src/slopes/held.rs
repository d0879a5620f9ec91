//! Measures memory, journal size and restart time of a real daemon, by the number of queued messages.
//! The messages are queued for receivers that are down.

use super::Setup;
use crate::budget::{HELD_BYTES, HELD_JOURNAL, READY_TIME};
use crate::process::{
    Client, Daemon, Directory, Endpoints, KEPT_CLASS_TTL_MS, MAX_UNANSWERED, Options, PutCounts,
    RefusingAddress, on_this_thread,
};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::SENDER_BACKLOG;
use anyhow::{Result, ensure};
use std::time::Duration;

/// Number of destinations in the measurement, all of which are down.
const DESTINATIONS: usize = 100;
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Number of refused batches that is tolerated: the daemon refuses a message if its destination's queue is full.
const MAX_REFUSED_BATCHES: u64 = 10;

/// Memory, journal size and restart time of a single daemon.
struct Sample {
    queued: f64,
    resident: f64,
    journal: f64,
    restart: f64,
}

/// Sends messages to the daemon until it has accepted `count` messages.
async fn fill(daemon: &Daemon, count: usize) -> Result<PutCounts> {
    let mut client = Client::connect(daemon.address, "held").await?;
    let mut counts = PutCounts::default();
    while (counts.accepted as usize) < count {
        let first = counts.accepted as usize;
        let batch: Vec<usize> =
            (first..count.min(first + MAX_UNANSWERED)).map(|n| n % DESTINATIONS).collect();
        let part = client.put("kept", KEPT_CLASS_TTL_MS, &batch).await?;
        counts =
            PutCounts { accepted: counts.accepted + part.accepted, refused: counts.refused + part.refused };
        ensure!(
            counts.refused <= counts.accepted + MAX_REFUSED_BATCHES * MAX_UNANSWERED as u64,
            "the daemon refused {} messages and accepted {}",
            counts.refused,
            counts.accepted
        );
    }
    Ok(counts)
}

async fn sample(setup: &Setup, count: usize) -> Result<Sample> {
    let down = RefusingAddress::new()?;
    let endpoints = Endpoints { count: DESTINATIONS, address: down.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let options = Options { max_open: 4_000_000, memory_mb: 4_000, disk_mb: 2_000, placement: None };
    let mut daemon = Daemon::start(&setup.binary, directory.address, &options)?;
    daemon.wait_ready(DESTINATIONS, READY_TIMEOUT).await?;
    let (resident, journal) = (daemon.resident_bytes()?, daemon.journal_bytes()?);
    fill(&daemon, count).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let queued = daemon.variable("outstanding").await.unwrap_or(0) as f64;
    let (resident, journal) = (daemon.resident_bytes()? - resident, daemon.journal_bytes()? - journal);
    daemon.restart().await?;
    let restart = daemon.wait_ready(DESTINATIONS, READY_TIMEOUT).await?.as_secs_f64();
    Ok(Sample { queued, resident, journal, restart })
}

/// Measures memory, journal size and restart time of daemons with growing numbers of queued messages.
///
/// # Errors
/// Fails if the daemon can't be started or accepts too few messages.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[500, 2_000] } else { &[10_000, 40_000, 100_000] };
    let repeats = if setup.small { 1 } else { 3 };
    let mut report = Report::new("held", setup);
    report.input(
        "held",
        format!("{sizes:?} messages of 200 bytes for {DESTINATIONS} destinations that refuse"),
    );
    report.input("repeats", repeats);
    report.input("binary", setup.binary.display());
    let mut samples = Vec::new();
    for &count in sizes {
        let mut size_samples = Vec::new();
        for _ in 0..repeats {
            size_samples.push(on_this_thread(sample(setup, count))?);
        }
        let restarts: Vec<f64> = size_samples.iter().map(|s| s.restart).collect();
        report.bounded_metric(
            format!("ready after a restart with {count}"),
            Unit::Seconds,
            Spread::of(&restarts),
            READY_TIME,
        );
        samples.append(&mut size_samples);
    }
    let line = |of: fn(&Sample) -> f64| {
        Line::through(&samples.iter().map(|s| (s.queued, of(s))).collect::<Vec<_>>())
    };
    let (resident, journal, restart) = (line(|s| s.resident), line(|s| s.journal), line(|s| s.restart));
    report.bounded_metric("resident for each held", Unit::Bytes, Spread::exact(resident.slope), HELD_BYTES);
    report.bounded_metric("journal for each held", Unit::Bytes, Spread::exact(journal.slope), HELD_JOURNAL);
    report.metric("restart for each held", Unit::Seconds, Spread::exact(restart.slope));
    let of_all = |line: Line| Spread::exact(line.at(SENDER_BACKLOG));
    report.metric("extrapolated: resident with a sender's backlog", Unit::Bytes, of_all(resident));
    report.metric("extrapolated: journal with a sender's backlog", Unit::Bytes, of_all(journal));
    report.metric("extrapolated: restart with a sender's backlog", Unit::Seconds, of_all(restart));
    Ok(report)
}
