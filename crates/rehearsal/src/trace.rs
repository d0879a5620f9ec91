//! Captured traffic: JSON lines, one message each, by time.
//!
//! ```json
//! {"at_ms":0,"class":"status-sync","tenant":"askwell","receiver":3,"size":212}
//! ```
//!
//! `at_ms` counts from the capture's beginning. Nothing of a message's body is kept, and no id or key.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Lines of a trace at most: each takes some 80 bytes while a rehearsal runs.
pub const LINES_MOST: usize = 2_000_000;

/// A message that was handed in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When, in milliseconds since the capture began.
    pub at_ms: u64,
    /// Its class's name.
    pub class: String,
    /// Its tenant's name.
    pub tenant: String,
    /// Its receiver's number.
    pub receiver: i64,
    /// Bytes of its body.
    pub size: u32,
}

/// A trace that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A line is wrong.
    #[error("{}: line {line}: {why}", path.display())]
    Line {
        /// Which file.
        path: PathBuf,
        /// The line's number, from 1.
        line: usize,
        /// What is wrong, and the mend.
        why: String,
    },
}

/// Reads a trace.
///
/// # Errors
/// Names the file, and the line that is wrong.
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
            return Err(wrong("'at_ms' is before the line above; sort the lines by it".into()));
        }
        if line.size as usize > embershore_protocol::resp::MAX_BODY_BYTES {
            return Err(wrong("'size' is over 65536 bytes, which no sender takes".into()));
        }
        if lines.len() == LINES_MOST {
            return Err(wrong(format!("more than {LINES_MOST} lines; cut the trace into parts")));
        }
        lines.push(line);
    }
    Ok(lines)
}
