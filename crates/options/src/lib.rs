//! The operator's own file, in TOML: one section for each subsystem that it switches on. What has no section is off.
//!
//! A file is checked whole before any of it counts: unknown keys are errors, and each finding has its line and column.
#![warn(missing_docs)]

use embershore_finding::{Finding, SpanFinding};
use embershore_owed::rules::Section;
use embershore_owed::{ClassFacts, Rules};
use embershore_peer::options::{FleetOptions, Section as FleetSection};
use embershore_placement::options::{PlacementOptions, Section as PlacementSection};
use serde::Deserialize;
use std::path::Path;

/// A file is no longer than this: 256 rules of a few hundred bytes, several times over.
pub const FILE_MOST: u64 = 1 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Root {
    owed: Option<Section>,
    fleet: Option<FleetSection>,
    placement: Option<PlacementSection>,
}

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// What becomes of messages that could not be delivered; nothing of them is kept where there is none.
    pub owed: Option<Rules>,
    /// The other senders; none is known where there is none.
    pub fleet: Option<FleetOptions>,
    /// Which destinations this sender owns; it owns all where there is none.
    pub placement: Option<PlacementOptions>,
}

/// An options file that can't be used. Nothing of it has taken effect.
pub use embershore_finding::FileError as OptionsError;

impl Options {
    /// Reads and checks a file against the classes that the daemon's settings know.
    ///
    /// # Errors
    /// When it can't be read, or anything in it is wrong.
    pub fn read(path: &Path, classes: &[ClassFacts]) -> Result<Options, OptionsError> {
        let io = |error| OptionsError::Io { path: path.into(), error };
        let text = embershore_finding::read(path, FILE_MOST, "an options file").map_err(io)?;
        Options::parse(&text, classes)
            .map_err(|findings| OptionsError::Invalid { name: path.display().to_string(), findings })
    }

    /// Checks a file's text.
    ///
    /// # Errors
    /// All that is wrong in it, in the order of the file.
    pub fn parse(text: &str, classes: &[ClassFacts]) -> Result<Options, Vec<Finding>> {
        let root: Root = toml::from_str(text).map_err(|e| vec![Finding::from_toml_error(text, &e)])?;
        let mut found: Vec<SpanFinding> = Vec::new();
        let owed = root.owed.map(|section| section.check(classes).map_err(|f| found.extend(f)));
        let fleet = root.fleet.map(|section| section.check().map_err(|f| found.extend(f)));
        let placement = root.placement.map(|section| section.check().map_err(|f| found.extend(f)));
        if !found.is_empty() {
            return Err(SpanFinding::resolve(text, found));
        }
        Ok(Options {
            owed: owed.and_then(Result::ok),
            fleet: fleet.and_then(Result::ok),
            placement: placement.and_then(Result::ok),
        })
    }
}
