//! What is found wrong in a scenario, each with its place.

use embershore_finding::Finding;
use std::ops::Range;
use toml::Spanned;

/// What has been found so far.
pub(super) struct Checks<'a> {
    /// The whole file.
    pub(super) text: &'a str,
    pub(super) findings: Vec<Finding>,
}

impl Checks<'_> {
    /// Takes down what is wrong at a place.
    pub(super) fn at(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.findings.push(Finding::at(self.text, span.start, what));
    }

    /// Takes it down unless all is well there.
    pub(super) fn require(&mut self, good: bool, span: Range<usize>, what: impl Into<String>) {
        if !good {
            self.at(span, what);
        }
    }

    /// The index of what is named among the tables `[[what]]`, whose names are `known`; takes down that there is none.
    pub(super) fn index<'k>(
        &mut self,
        name: &Spanned<String>,
        mut known: impl Iterator<Item = &'k String>,
        what: &str,
    ) -> Option<usize> {
        let index = known.position(|k| k == name.get_ref());
        if index.is_none() {
            self.at(name.span(), format!("there is no {what} '{}'; add a [[{what}]]", name.get_ref()));
        }
        index
    }
}

/// Whether a number is above 0, and finite.
pub(super) fn positive(x: f64) -> bool {
    x.is_finite() && x > 0.0
}

/// Whether a number is 0 or more, and finite.
pub(super) fn not_negative(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// Whether a number is a share, from 0 to 1.
pub(super) fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}
