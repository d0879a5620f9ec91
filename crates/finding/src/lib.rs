//! Findings: errors found in files that operators write, each with its position in the file.
//! Errors in scenario files and in options files are reported in one format.
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
    /// Returns an error whose line and column are those of a byte offset in a text.
    pub fn at(text: &str, byte: usize, message: impl Into<String>) -> Finding {
        let before = &text.as_bytes()[..byte.min(text.len())];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
        let column = String::from_utf8_lossy(&before[start..]).chars().count() + 1;
        Finding { line, column, message: message.into() }
    }

    /// Returns the error for a text that is not valid TOML or does not have the expected structure.
    /// Line ends in the error message are replaced, since every error is displayed on one line.
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
    /// Converts the byte ranges of errors to lines and columns and sorts the errors by position.
    pub fn resolve(text: &str, mut found: Vec<SpanFinding>) -> Vec<Finding> {
        found.sort_by_key(|finding| finding.span.start);
        let at_start = |finding: SpanFinding| Finding::at(text, finding.span.start, finding.message);
        found.into_iter().map(at_start).collect()
    }
}

/// Displays errors in a file as lines `name:line:column: message`, without a line end after the last line.
pub struct Findings<'a> {
    /// The name of the file that contains the errors.
    pub name: &'a str,
    /// The errors found in the file, in the order of their position.
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

/// The error for a file that cannot be used. No setting in such a file has taken effect.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The path of the file that cannot be read.
        path: PathBuf,
        /// The error from reading the file.
        error: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}", Findings { name, findings })]
    Invalid {
        /// The name of the file that contains the errors.
        name: String,
        /// The errors found in the file, in the order of their position.
        findings: Vec<Finding>,
    },
}

/// Reads a text file of at most `max_bytes` bytes; a longer file is not read.
/// `kind` describes the type of file in the error message about a file that is too long.
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
