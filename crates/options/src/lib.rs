//! The operator's options file, in TOML. Each section enables one subsystem; a subsystem without a section is off.
//!
//! The complete options file is checked before any part of the file takes effect.
//! Unknown keys are errors, and each error found in the file is reported with its line and column.
#![warn(missing_docs)]

use embershore_finding::{Finding, SpanFinding};
use embershore_owed::rules::Section;
use embershore_owed::{ClassFacts, Rules};
use embershore_peer::options::{FleetOptions, Section as FleetSection};
use embershore_placement::options::{PlacementOptions, Section as PlacementSection};
use serde::Deserialize;
use std::path::Path;

/// The maximum size of the options file in bytes: several times the size of 256 rules of a few hundred bytes each.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Root {
    owed: Option<Section>,
    fleet: Option<FleetSection>,
    placement: Option<PlacementSection>,
}

/// The subsystems that the operator has enabled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// The rules for undeliverable messages. Without this section no undeliverable message is retained.
    pub owed: Option<Rules>,
    /// The fleet of senders. Without this section no other sender is known.
    pub fleet: Option<FleetOptions>,
    /// The placement of destinations on senders. Without this section, this sender owns all destinations.
    pub placement: Option<PlacementOptions>,
}

/// Why an options file is rejected. No part of the file has taken effect.
pub use embershore_finding::FileError as OptionsError;

impl Options {
    /// Reads an options file and checks it against the message classes of the daemon's settings.
    ///
    /// # Errors
    /// Returns an error when the options file can't be read, or contains any error.
    pub fn read(path: &Path, classes: &[ClassFacts]) -> Result<Options, OptionsError> {
        let io = |error| OptionsError::Io { path: path.into(), error };
        let text = embershore_finding::read(path, MAX_FILE_BYTES, "an options file").map_err(io)?;
        Options::parse(&text, classes)
            .map_err(|findings| OptionsError::Invalid { name: path.display().to_string(), findings })
    }

    /// Parses and checks the text of an options file.
    ///
    /// # Errors
    /// Returns all errors found, in the order of the options file.
    pub fn parse(text: &str, classes: &[ClassFacts]) -> Result<Options, Vec<Finding>> {
        let root: Root = toml::from_str(text).map_err(|e| vec![Finding::from_toml_error(text, &e)])?;
        let mut findings: Vec<SpanFinding> = Vec::new();
        let owed = root.owed.map(|section| section.check(classes).map_err(|f| findings.extend(f)));
        let fleet = root.fleet.map(|section| section.check().map_err(|f| findings.extend(f)));
        let placement = root.placement.map(|section| section.check().map_err(|f| findings.extend(f)));
        if !findings.is_empty() {
            return Err(SpanFinding::resolve(text, findings));
        }
        Ok(Options {
            owed: owed.and_then(Result::ok),
            fleet: fleet.and_then(Result::ok),
            placement: placement.and_then(Result::ok),
        })
    }
}
