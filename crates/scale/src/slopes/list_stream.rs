//! Reading a list of all destinations as a stream, keeping only those that one sender owns.

use super::Setup;
use crate::budget::{CHANGE_TIME, SENDER_MEMORY};
use crate::report::{Report, Unit};
use crate::spread::Spread;
use crate::target::{DESTINATIONS, SENDERS};
use anyhow::{Result, ensure};
use embershore_protocol::listing::Line;
use std::io::{BufRead, BufReader, Write};
use std::time::Instant;

/// One line in so many is the sender's own: each destination has two owners.
const OWNED_OF: u64 = SENDERS as u64 / 2;
/// A list's file is buffered by this many bytes.
const BUFFER: usize = 64 * 1024;

/// Writes the list, one endpoint a line, as discovery's lines are.
fn write_list(file: &mut impl Write, count: u64) -> Result<()> {
    for number in 0..count {
        writeln!(
            file,
            "{{\"name\":\"endpoint-{number:07}\",\"address\":\"127.0.0.1:7000\",\"zone\":\"a\",\"type\":\"one\",\
             \"group\":{number},\"status\":\"Ready\",\"weight\":100.0,\"since_ms\":0}}"
        )?;
    }
    Ok(())
}

/// What the reader kept.
struct Kept {
    lines: Vec<Line>,
    seconds: f64,
}

fn read_owned(source: impl std::io::Read) -> Result<Kept> {
    let begun = Instant::now();
    let mut reader = BufReader::with_capacity(BUFFER, source);
    let (mut text, mut lines) = (Vec::new(), Vec::new());
    while reader.read_until(b'\n', &mut text)? > 0 {
        let line: Line = serde_json::from_slice(&text)?;
        if line.group.unsigned_abs().is_multiple_of(OWNED_OF) {
            lines.push(line);
        }
        text.clear();
    }
    Ok(Kept { lines, seconds: begun.elapsed().as_secs_f64() })
}

/// Resident growth of this process, in bytes, at its peak.
fn peak_bytes() -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
    Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
}

/// Measures it.
///
/// # Errors
/// When the list can't be written to a file or read back.
pub fn run(setup: &Setup) -> Result<Report> {
    let count = if setup.small { 50_000 } else { DESTINATIONS };
    let repeats = if setup.small { 1 } else { 3 };
    let mut report = Report::new("list-stream", setup);
    report.input("destinations", format!("{count}, one endpoint each"));
    report.input("repeats", repeats);
    let mut file = tempfile::tempfile()?;
    write_list(&mut std::io::BufWriter::new(&mut file), count)?;
    let list_bytes = file.metadata()?.len() as f64;
    let before = peak_bytes()?;
    let (mut times, mut kept) = (Vec::new(), 0);
    for _ in 0..repeats {
        std::io::Seek::rewind(&mut file)?;
        let part = read_owned(&file)?;
        times.push(part.seconds);
        kept = part.lines.len();
    }
    ensure!(kept as u64 == count.div_ceil(OWNED_OF), "{kept} of {count} kept");
    report.figure("list's text", Unit::Bytes, Spread::exact(list_bytes));
    report.figure("kept", Unit::Count, Spread::exact(kept as f64));
    report.bounded("time to read it", Unit::Seconds, Spread::of(&times), CHANGE_TIME);
    let grown = Spread::exact(peak_bytes()? - before);
    report.bounded("memory to read it, peak", Unit::Bytes, grown, SENDER_MEMORY);
    report.remark("the reader is this package's own: one object a line, no framing by chunks");
    Ok(report)
}
