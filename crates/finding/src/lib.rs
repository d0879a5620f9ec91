//! What is wrong in a file that a person wrote, and where. Scenarios and options files tell it alike.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use serde::Serialize;
use std::fmt;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What is wrong, and the mend.
    #[serde(rename = "what")]
    pub message: String,
}

impl Finding {
    /// A finding at a byte of a text.
    pub fn at(text: &str, byte: usize, what: impl Into<String>) -> Finding {
        let before = &text.as_bytes()[..byte.min(text.len())];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
        let column = String::from_utf8_lossy(&before[start..]).chars().count() + 1;
        Finding { line, column, message: what.into() }
    }

    /// What keeps a text from being read as TOML, or as what it should hold. On one line, as all findings are.
    pub fn from_toml_error(text: &str, error: &toml::de::Error) -> Finding {
        Finding::at(text, error.span().map_or(0, |s| s.start), error.message().replace('\n', "; "))
    }
}

/// Something wrong in a section that a subsystem checks, and where: it knows bytes of the text, not lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanFinding {
    /// Where, in bytes.
    pub span: Range<usize>,
    /// What is wrong, and the mend.
    pub message: String,
}

impl SpanFinding {
    /// All that was found, with lines and columns, in the order of the text.
    pub fn resolve(text: &str, mut found: Vec<SpanFinding>) -> Vec<Finding> {
        found.sort_by_key(|f| f.span.start);
        found.into_iter().map(|f| Finding::at(text, f.span.start, f.message)).collect()
    }
}

/// Findings as lines `name:line:column: what`, with no line end after the last.
pub struct Findings<'a> {
    /// The file's name.
    pub name: &'a str,
    /// All that was found, in the order of the file.
    pub findings: &'a [Finding],
}

impl fmt::Display for Findings<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.findings.iter().enumerate() {
            let end = if n + 1 < self.findings.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", self.name, finding.line, finding.column, finding.message)?;
        }
        Ok(())
    }
}

/// A file that can't be used. Nothing of it has taken effect.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// What stands in it is wrong.
    #[error("{}", Findings { name, findings })]
    Invalid {
        /// The file's name.
        name: String,
        /// All that was found.
        findings: Vec<Finding>,
    },
}

/// Reads a file of at most so many bytes; a longer one is no such file, and is not read. `what` names its sort.
///
/// # Errors
/// When it can't be read, is too long, or is no text.
pub fn read(path: &Path, most: u64, what: &str) -> io::Result<String> {
    let length = std::fs::metadata(path)?.len();
    if length > most {
        return Err(io::Error::other(format!("{length} bytes; {what} has {most} at most")));
    }
    std::fs::read_to_string(path)
}
