//! Memory and journal of a real daemon by the messages that it holds for receivers that are down, and the time of a
//! restart with them.

use super::Setup;
use crate::budget::{HELD_BYTES, HELD_JOURNAL, READY_TIME};
use crate::process::{
    Client, Daemon, Directory, Endpoints, Handed, KEPT_MS, Options, PIPELINE, Refusing, on_this_thread,
};
use crate::report::{Report, Unit};
use crate::spread::{Line, Spread};
use crate::target::SENDER_BACKLOG;
use anyhow::{Result, ensure};
use std::time::Duration;

/// Destinations that are down.
const DESTINATIONS: usize = 100;
const PATIENCE: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_millis(500);
/// Attempts to hand in one batch: the daemon refuses a message for which its destination has no room.
const REFUSED_MOST: u64 = 10;

/// What one daemon showed.
struct Sample {
    held: f64,
    resident: f64,
    journal: f64,
    restart: f64,
}

/// Hands in messages until so many are held.
async fn fill(daemon: &Daemon, count: usize) -> Result<Handed> {
    let mut client = Client::connect(daemon.address, "held").await?;
    let mut handed = Handed::default();
    while (handed.taken as usize) < count {
        let first = handed.taken as usize;
        let batch: Vec<usize> = (first..count.min(first + PIPELINE)).map(|n| n % DESTINATIONS).collect();
        let part = client.put("kept", KEPT_MS, &batch).await?;
        handed = Handed { taken: handed.taken + part.taken, refused: handed.refused + part.refused };
        ensure!(
            handed.refused <= handed.taken + REFUSED_MOST * PIPELINE as u64,
            "{} refused, {} taken",
            handed.refused,
            handed.taken
        );
    }
    Ok(handed)
}

async fn sample(setup: &Setup, count: usize) -> Result<Sample> {
    let down = Refusing::new()?;
    let endpoints = Endpoints { count: DESTINATIONS, address: down.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let options = Options { max_open: 4_000_000, memory_mb: 4_000, disk_mb: 2_000, member: None };
    let mut daemon = Daemon::start(&setup.binary, directory.address, &options)?;
    daemon.ready(DESTINATIONS, PATIENCE).await?;
    let (resident, journal) = (daemon.resident_bytes()?, daemon.journal_bytes()?);
    fill(&daemon, count).await?;
    tokio::time::sleep(SETTLE).await;
    let held = daemon.variable("outstanding").await.unwrap_or(0) as f64;
    let (resident, journal) = (daemon.resident_bytes()? - resident, daemon.journal_bytes()? - journal);
    daemon.restart().await?;
    let restart = daemon.ready(DESTINATIONS, PATIENCE).await?.as_secs_f64();
    Ok(Sample { held, resident, journal, restart })
}

/// Measures it.
///
/// # Errors
/// When the daemon can't be started, or takes too few messages.
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
        let mut here = Vec::new();
        for _ in 0..repeats {
            here.push(on_this_thread(sample(setup, count))?);
        }
        let restarts: Vec<f64> = here.iter().map(|s| s.restart).collect();
        report.bounded(
            format!("ready after a restart with {count}"),
            Unit::Seconds,
            Spread::of(&restarts),
            READY_TIME,
        );
        samples.append(&mut here);
    }
    let line =
        |of: fn(&Sample) -> f64| Line::through(&samples.iter().map(|s| (s.held, of(s))).collect::<Vec<_>>());
    let (resident, journal, restart) = (line(|s| s.resident), line(|s| s.journal), line(|s| s.restart));
    report.bounded("resident for each held", Unit::Bytes, Spread::exact(resident.slope), HELD_BYTES);
    report.bounded("journal for each held", Unit::Bytes, Spread::exact(journal.slope), HELD_JOURNAL);
    report.figure("restart for each held", Unit::Seconds, Spread::exact(restart.slope));
    let of_all = |line: Line| Spread::exact(line.at(SENDER_BACKLOG));
    report.figure("extrapolated: resident with a sender's backlog", Unit::Bytes, of_all(resident));
    report.figure("extrapolated: journal with a sender's backlog", Unit::Bytes, of_all(journal));
    report.figure("extrapolated: restart with a sender's backlog", Unit::Seconds, of_all(restart));
    Ok(report)
}
