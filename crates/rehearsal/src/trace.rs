//! Captured traffic as JSON lines: one message per line, in order of time.
//!
//! ```json
//! {"at_ms":0,"class":"status-sync","tenant":"askwell","receiver":3,"size":212}
//! ```
//!
//! `at_ms` counts from the start of the capture. Bodies, ids and keys of messages are not captured.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Maximum number of lines of a trace: each line takes about 80 bytes of memory during a rehearsal.
pub const MAX_LINES: usize = 2_000_000;

/// One captured message, as a line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When the client sent the message, in milliseconds since the start of the capture.
    pub at_ms: u64,
    /// Name of the message's class.
    pub class: String,
    /// Name of the message's tenant.
    pub tenant: String,
    /// Number of the message's receiver.
    pub receiver: i64,
    /// Size of the message's body in bytes.
    pub size: u32,
}

/// Reason why a trace cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The trace file cannot be read.
    #[error("cannot read trace {}: {error}", path.display())]
    Io {
        /// Path of the trace file.
        path: PathBuf,
        /// The I/O error from reading the trace file.
        error: io::Error,
    },
    /// A line of the trace is invalid.
    #[error("{}: line {line}: {why}", path.display())]
    Line {
        /// Path of the trace file with the invalid line.
        path: PathBuf,
        /// Number of the invalid line, counted from 1.
        line: usize,
        /// Description of the line's fault, and how to correct it.
        why: String,
    },
}

/// Reads a trace from a file.
///
/// # Errors
/// Fails if the file cannot be read or a line is invalid; the error names the file and the line.
pub fn read(path: &Path) -> Result<Vec<Line>, TraceError> {
    let io = |error| TraceError::Io { path: path.into(), error };
    let mut lines: Vec<Line> = Vec::new();
    for (n, text) in BufReader::new(File::open(path).map_err(io)?).lines().enumerate() {
        let wrong = |why: String| TraceError::Line { path: path.into(), line: n + 1, why };
        let text = text.map_err(io)?;
        if text.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
        if lines.last().is_some_and(|before| before.at_ms > line.at_ms) {
            return Err(wrong("'at_ms' is less than on the line before; sort the lines by 'at_ms'".into()));
        }
        if line.size as usize > embershore_protocol::resp::MAX_BODY_BYTES {
            return Err(wrong("'size' is over 65536 bytes, the maximum that a sender accepts".into()));
        }
        if lines.len() == MAX_LINES {
            return Err(wrong(format!("more than {MAX_LINES} lines; split the trace")));
        }
        lines.push(line);
    }
    Ok(lines)
}
