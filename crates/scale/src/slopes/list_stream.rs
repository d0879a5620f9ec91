//! Reading a list of all destinations as a stream, keeping only those that one sender owns.

use super::Setup;
use crate::budget::{CHANGE_TIME, SENDER_MEMORY};
use crate::report::{Report, Unit};
use crate::spread::{Spread, thread_cpu_time};
use crate::target::{DESTINATIONS, SENDERS};
use anyhow::{Result, ensure};
use embershore_protocol::listing_stream::FilteredListingReader;
use std::io::{Read, Write};

/// One line in so many is the sender's own: each destination has two owners.
const OWNED_OF: u64 = SENDERS as u64 / 2;
/// Bytes that are read at a time.
const PIECE: usize = 16 * 1024;

/// Writes the whole list as discovery tells it.
fn write_list(file: &mut impl Write, count: u64) -> Result<()> {
    write!(file, "{{\"index\":1,\"snapshot\":true,\"endpoints\":[")?;
    for number in 0..count {
        let comma = if number == 0 { "" } else { "," };
        write!(
            file,
            "{comma}{{\"name\":\"endpoint-{number:07}\",\"address\":\"127.0.0.1:7000\",\"zone\":\"a\",\"type\":\"one\",\
             \"group\":{number},\"status\":\"Ready\",\"weight\":100.0,\"since_ms\":0}}"
        )?;
    }
    Ok(writeln!(file, "]}}")?)
}

/// What the reader kept.
struct Kept {
    count: usize,
    /// The most that the reader held at a time, by its own account.
    held_most: usize,
    seconds: f64,
}

/// Reads it in pieces as they come from a socket, with the daemon's own reader.
fn read_owned(mut source: impl Read) -> Result<Kept> {
    let keeps = |destination: i64| destination.unsigned_abs().is_multiple_of(OWNED_OF);
    let begun = thread_cpu_time()?;
    let (mut reader, mut piece, mut held_most) = (FilteredListingReader::default(), vec![0; PIECE], 0);
    loop {
        let length = source.read(&mut piece)?;
        ensure!(length > 0, "the list ended before its end");
        reader.extend(&piece[..length]);
        let whole = reader.next_listing(&keeps)?;
        held_most = held_most.max(reader.buffered_bytes());
        if let Some(listing) = whole {
            let seconds = (thread_cpu_time()? - begun).as_secs_f64();
            return Ok(Kept { count: listing.endpoints.len(), held_most, seconds });
        }
    }
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
    let (mut times, mut kept, mut held_most) = (Vec::new(), 0, 0);
    for _ in 0..repeats {
        std::io::Seek::rewind(&mut file)?;
        let part = read_owned(&file)?;
        times.push(part.seconds);
        (kept, held_most) = (part.count, held_most.max(part.held_most));
    }
    ensure!(kept as u64 == count.div_ceil(OWNED_OF), "{kept} of {count} kept");
    report.figure("list's text", Unit::Bytes, Spread::exact(list_bytes));
    report.figure("kept", Unit::Count, Spread::exact(kept as f64));
    report.bounded("processor time to read it", Unit::Seconds, Spread::of(&times), CHANGE_TIME);
    let grown = Spread::exact(peak_bytes()? - before);
    report.bounded("memory to read it, peak", Unit::Bytes, grown, SENDER_MEMORY);
    report.figure("held by the reader, most", Unit::Bytes, Spread::exact(held_most as f64));
    report.remark("one sender in 7,500 keeps a destination: two owners each");
    Ok(report)
}
