//! Collects the errors found in a scenario file ("findings"), with their positions in the file.

use embershore_finding::Finding;
use std::ops::Range;
use toml::Spanned;

/// The errors ("findings") found so far in a scenario file.
pub(super) struct Checks<'a> {
    /// Text of the scenario file, from which the line and column of each error are derived.
    pub(super) text: &'a str,
    pub(super) findings: Vec<Finding>,
}

impl Checks<'_> {
    /// Records an error at a position in the scenario file.
    pub(super) fn at(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.findings.push(Finding::at(self.text, span.start, what));
    }

    /// Records an error at a position in the scenario file unless the condition holds.
    pub(super) fn require(&mut self, condition: bool, span: Range<usize>, what: impl Into<String>) {
        if !condition {
            self.at(span, what);
        }
    }

    /// Returns the index of a name among `known`, which has the names of the tables `[[what]]`.
    /// Records an error in the scenario file if the name is unknown.
    pub(super) fn index<'k>(
        &mut self,
        name: &Spanned<String>,
        mut known: impl Iterator<Item = &'k String>,
        what: &str,
    ) -> Option<usize> {
        let index = known.position(|k| k == name.get_ref());
        if index.is_none() {
            self.at(
                name.span(),
                format!("there is no {what} '{}'; correct the name or add a [[{what}]]", name.get_ref()),
            );
        }
        index
    }
}

/// Returns whether a number is finite and above 0.
pub(super) fn positive(x: f64) -> bool {
    x.is_finite() && x > 0.0
}

/// Returns whether a number is finite and not negative.
pub(super) fn not_negative(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// Returns whether a number is a share, from 0 to 1.
pub(super) fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}
