//! Measures the cost of a debt: its size on disk and in memory, and the time to open the store and to list debts.
//! Usage: `cargo bench -p embershore-owed`, with numbers of debts to store as arguments after `--`.
//! One process fills each store and another measures it, so that the measured memory is only that of an open store.

use bytes::Bytes;
use embershore_owed::store::Filter;
use embershore_owed::{Attempt, AttemptOutcome, Debt, Message, Reason, Store};
use std::path::Path;
use std::process::Command;
use std::time::Instant;

const RECEIVERS: u64 = 200;
const BODY_BYTES: usize = 200;
const DEBTS_PER_TRANSACTION: u64 = 1000;

/// Returns the anonymous resident memory of this process in bytes.
fn anonymous_memory_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let kb = line.and_then(|l| l.trim().split(' ').next()).and_then(|n| n.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

fn debt(n: u64) -> Debt {
    let message = Message {
        request_id: format!("{n:016x}"),
        idempotency_key: Some(format!("{:016x}", !n)),
        class: ["quota", "response", "payout"][n as usize % 3].into(),
        tenant: "acme".into(),
        dest: (n % RECEIVERS) as i64,
        key: format!("survey-{}", n % 1000),
        order: n,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
    };
    let attempt = |at| Attempt { endpoint: "s-5be2a07c".into(), at, outcome: AttemptOutcome::NoConnection };
    let attempts = (1..=3).map(|k| attempt(n as i64 + k)).collect();
    Debt::new(message, attempts, Reason::ALL[n as usize % 6], n as i64)
}

/// Returns a size limit of the store, in bytes, that is large enough for `size` debts.
fn max_bytes(size: u64) -> u64 {
    64_000_000 + size * 8_000
}

fn fill(path: &Path, size: u64) -> Result<(), Box<dyn std::error::Error>> {
    let started = Instant::now();
    let store = Store::open(path, max_bytes(size))?;
    let mut n = 0;
    while n < size {
        let batch: Vec<Debt> = (n..size.min(n + DEBTS_PER_TRANSACTION)).map(debt).collect();
        n += batch.len() as u64;
        for result in store.insert_all(batch.iter().map(|d| (d, Some(d.given_up_at))))? {
            result?;
        }
    }
    eprintln!(
        "{size} debts inserted, {DEBTS_PER_TRANSACTION} per transaction, in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

fn measure(path: &Path, size: u64) -> Result<(), Box<dyn std::error::Error>> {
    let disk = std::fs::metadata(path)?.len();
    let before = anonymous_memory_bytes();
    let started = Instant::now();
    let store = Store::open(path, max_bytes(size))?;
    let opened = started.elapsed();
    let (live, _) = store.usage()?;
    let timed = |filter: Filter, limit: usize| -> Result<_, Box<dyn std::error::Error>> {
        let started = Instant::now();
        let found = store.list(&filter, limit)?.debts.len();
        Ok((found, started.elapsed()))
    };
    let (found, receiver) = timed(Filter { receiver: Some(7), ..Filter::default() }, 1000)?;
    let (_, reason) = timed(Filter { reason: Some(Reason::Gone), ..Filter::default() }, 1000)?;
    let started = Instant::now();
    let combinations = store.counts()?.len();
    let counted = started.elapsed();
    let started = Instant::now();
    let single = store.insert(&debt(size + 1), None);
    let inserted = started.elapsed();
    single?;
    let memory = anonymous_memory_bytes().saturating_sub(before);
    println!(
        "{size:>9} {:>9.0} {:>9.0} {:>8.2} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.2}",
        disk as f64 / size as f64,
        live as f64 / size as f64,
        memory as f64 / 1e6,
        opened.as_secs_f64() * 1e3,
        receiver.as_secs_f64() * 1e3,
        reason.as_secs_f64() * 1e3,
        counted.as_secs_f64() * 1e3,
        inserted.as_secs_f64() * 1e3,
    );
    if found == 0 || combinations == 0 {
        return Err("the store is empty".into());
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    if let (Ok(path), Ok(size)) = (std::env::var("OWED_PATH"), std::env::var("OWED_SIZE")) {
        let (path, size) = (Path::new(&path), size.parse()?);
        return if path.exists() { measure(path, size) } else { fill(path, size) };
    }
    let sizes: Vec<u64> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![1_000, 100_000] } else { sizes };
    println!(
        "{:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "debts", "disk B", "booked B", "MB", "open ms", "by rcv ms", "by rsn ms", "counts ms", "insert ms"
    );
    for size in sizes {
        let folder = tempfile::tempdir()?;
        for _ in ["fill", "measure"] {
            let mut command = Command::new(std::env::current_exe()?);
            command.env("OWED_SIZE", size.to_string()).env("OWED_PATH", folder.path().join("owed"));
            let status = command.status()?;
            if !status.success() {
                return Err(format!("{size} debts: {status}").into());
            }
        }
    }
    Ok(())
}
