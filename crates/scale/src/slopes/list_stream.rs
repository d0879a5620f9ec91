//! Measures how a sender reads the list of all destinations as a stream and retains only the entries that it owns.

use super::Setup;
use crate::budget::{CHANGE_TIME, SENDER_MEMORY};
use crate::report::{Report, Unit};
use crate::spread::{Spread, thread_cpu_time};
use crate::target::{DESTINATIONS, SENDERS};
use anyhow::{Result, ensure};
use embershore_protocol::listing_stream::FilteredListingReader;
use std::io::{Read, Write};

/// Number of endpoint list entries for each entry that the sender owns: each destination has two owners.
const DESTINATIONS_PER_OWNED: u64 = SENDERS as u64 / 2;
/// Number of bytes of the endpoint list that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Writes the full endpoint list in the JSON form in which discovery sends it.
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

/// Result of reading the endpoint list once.
struct ReadResult {
    count: usize,
    /// Largest number of bytes of the endpoint list that the reader buffered, as reported by the reader.
    max_buffered: usize,
    seconds: f64,
}

/// Reads the endpoint list with the daemon's reader, piece by piece as from a socket.
fn read_owned(mut source: impl Read) -> Result<ReadResult> {
    let owns = |destination: i64| destination.unsigned_abs().is_multiple_of(DESTINATIONS_PER_OWNED);
    let started = thread_cpu_time()?;
    let (mut reader, mut buffer, mut max_buffered) =
        (FilteredListingReader::default(), vec![0; READ_BYTES], 0);
    loop {
        let length = source.read(&mut buffer)?;
        ensure!(length > 0, "the list is truncated: the file ended before the listing was complete");
        reader.extend(&buffer[..length]);
        let listing = reader.next_listing(&owns)?;
        max_buffered = max_buffered.max(reader.buffered_bytes());
        if let Some(listing) = listing {
            let seconds = (thread_cpu_time()? - started).as_secs_f64();
            return Ok(ReadResult { count: listing.endpoints.len(), max_buffered, seconds });
        }
    }
}

/// Returns the peak resident memory of the current process in bytes.
fn peak_bytes() -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
    Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
}

/// Measures time and memory to read the full endpoint list as a stream.
///
/// # Errors
/// Fails if the endpoint list can't be written to a file or read back.
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
    let (mut times, mut owned, mut max_buffered) = (Vec::new(), 0, 0);
    for _ in 0..repeats {
        std::io::Seek::rewind(&mut file)?;
        let result = read_owned(&file)?;
        times.push(result.seconds);
        (owned, max_buffered) = (result.count, max_buffered.max(result.max_buffered));
    }
    ensure!(
        owned as u64 == count.div_ceil(DESTINATIONS_PER_OWNED),
        "the reader kept {owned} of {count} entries, expected {}",
        count.div_ceil(DESTINATIONS_PER_OWNED)
    );
    report.metric("list's text", Unit::Bytes, Spread::exact(list_bytes));
    report.metric("kept", Unit::Count, Spread::exact(owned as f64));
    report.bounded_metric("processor time to read it", Unit::Seconds, Spread::of(&times), CHANGE_TIME);
    let growth = Spread::exact(peak_bytes()? - before);
    report.bounded_metric("memory to read it, peak", Unit::Bytes, growth, SENDER_MEMORY);
    report.metric("held by the reader, most", Unit::Bytes, Spread::exact(max_buffered as f64));
    report.remark("one sender in 7,500 keeps a destination: two owners each");
    Ok(report)
}
