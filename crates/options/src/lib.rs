//! The operator's own file, in TOML: one section for each subsystem that it switches on. What has no section is off.
//!
//! A file is checked whole before any of it counts: unknown keys are errors, and each finding has its line and column.
#![warn(missing_docs)]

use embershore_owed::rules::{Finding, Section};
use embershore_owed::{ClassFacts, Rules};
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// A file is no longer than this: 256 rules of a few hundred bytes, several times over.
pub const FILE_MOST: u64 = 1 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Root {
    owed: Option<Section>,
}

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// What becomes of messages that could not be delivered; nothing of them is kept where there is none.
    pub owed: Option<Rules>,
}

/// Something wrong in a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What is wrong, and the mend.
    pub what: String,
}

/// A file that can't be used. Nothing of it has taken effect.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// It can't be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// What stands in it is wrong.
    #[error("{}", Places { name, places })]
    Wrong {
        /// The file's name.
        name: String,
        /// All that was found, in the order of the file.
        places: Vec<Place>,
    },
}

struct Places<'a> {
    name: &'a str,
    places: &'a [Place],
}

impl fmt::Display for Places<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, p) in self.places.iter().enumerate() {
            let end = if n + 1 < self.places.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: {}{end}", self.name, p.line, p.column, p.what)?;
        }
        Ok(())
    }
}

impl Options {
    /// Reads and checks a file against the classes that the daemon's settings know.
    ///
    /// # Errors
    /// When it can't be read, or anything in it is wrong.
    pub fn read(path: &Path, classes: &[ClassFacts]) -> Result<Options, OptionsError> {
        let io = |error| OptionsError::Io { path: path.into(), error };
        let length = std::fs::metadata(path).map_err(io)?.len();
        if length > FILE_MOST {
            let what = format!("{length} bytes: an options file has {FILE_MOST} at most");
            return Err(io(std::io::Error::new(std::io::ErrorKind::InvalidData, what)));
        }
        let text = std::fs::read_to_string(path).map_err(io)?;
        Options::parse(&text, classes)
            .map_err(|places| OptionsError::Wrong { name: path.display().to_string(), places })
    }

    /// Checks a file's text.
    ///
    /// # Errors
    /// All that is wrong in it, in the order of the file.
    pub fn parse(text: &str, classes: &[ClassFacts]) -> Result<Options, Vec<Place>> {
        let root: Root = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            vec![place(text, at, e.message().to_string())]
        })?;
        let owed = root.owed.map(|section| section.check(classes)).transpose().map_err(|mut found| {
            found.sort_by_key(|f| f.place.start);
            found
                .into_iter()
                .map(|Finding { place: at, what }| place(text, at.start, what))
                .collect::<Vec<_>>()
        })?;
        Ok(Options { owed })
    }
}

fn place(text: &str, at: usize, what: String) -> Place {
    // A place that a parser gives may lie past the end, or within a character.
    let at = (0..=at.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    Place { line, column, what }
}
