//! Findings: errors with their position in files that people write.
//! Scenario files and options files share the format of findings.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use serde::Serialize;
use std::fmt;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// An error at a position in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line of the error in the file, counted from 1.
    pub line: usize,
    /// Column of the error in its line, in characters, counted from 1.
    pub column: usize,
    /// Description of the error, and how to fix it.
    #[serde(rename = "what")]
    pub message: String,
}

impl Finding {
    /// Returns a finding at the line and column of a byte offset of a text.
    pub fn at(text: &str, byte: usize, message: impl Into<String>) -> Finding {
        let before = &text.as_bytes()[..byte.min(text.len())];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
        let column = String::from_utf8_lossy(&before[start..]).chars().count() + 1;
        Finding { line, column, message: message.into() }
    }

    /// Returns the finding for a text that is not valid TOML or does not have the expected structure.
    /// Line ends in the error message are replaced, since every finding is on one line.
    pub fn from_toml_error(text: &str, error: &toml::de::Error) -> Finding {
        Finding::at(text, error.span().map_or(0, |s| s.start), error.message().replace('\n', "; "))
    }
}

/// An error at a byte range of a file, from a check that does not know line numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanFinding {
    /// Byte range of the error in the file's text.
    pub span: Range<usize>,
    /// Description of the error, and how to fix it.
    pub message: String,
}

impl SpanFinding {
    /// Converts byte ranges to lines and columns and sorts the findings by position.
    pub fn resolve(text: &str, mut found: Vec<SpanFinding>) -> Vec<Finding> {
        found.sort_by_key(|finding| finding.span.start);
        let at_start = |finding: SpanFinding| Finding::at(text, finding.span.start, finding.message);
        found.into_iter().map(at_start).collect()
    }
}

/// Displays findings as lines `name:line:column: message`, without a line end after the last.
pub struct Findings<'a> {
    /// The name of the file that the findings refer to.
    pub name: &'a str,
    /// The findings, in the order of their position in the file.
    pub findings: &'a [Finding],
}

impl fmt::Display for Findings<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let end = if index + 1 < self.findings.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", self.name, finding.line, finding.column, finding.message)?;
        }
        Ok(())
    }
}

/// A file that cannot be used. Nothing in such a file has taken effect.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error from reading the file.
        error: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}", Findings { name, findings })]
    Invalid {
        /// The name of the file with the findings.
        name: String,
        /// The findings, in the order of their position in the file.
        findings: Vec<Finding>,
    },
}

/// Reads a text file of at most `max_bytes` bytes; a longer file is not read.
/// `kind` names the sort of file in the error message.
///
/// # Errors
/// Returns an error if the file cannot be read, is too long or is not UTF-8.
pub fn read(path: &Path, max_bytes: u64, kind: &str) -> io::Result<String> {
    let length = std::fs::metadata(path)?.len();
    if length > max_bytes {
        return Err(io::Error::other(format!(
            "the file has {length} bytes; {kind} may have at most {max_bytes}"
        )));
    }
    std::fs::read_to_string(path)
}
