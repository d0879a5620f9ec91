//! What is found wrong in a scenario, each with its place.

use embershore_finding::Finding;
use std::ops::Range;

pub(super) struct Checks<'a> {
    pub(super) text: &'a str,
    pub(super) findings: Vec<Finding>,
}

impl Checks<'_> {
    pub(super) fn at(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.findings.push(Finding::at(self.text, span.start, what));
    }

    pub(super) fn whether(&mut self, good: bool, span: Range<usize>, what: impl Into<String>) {
        if !good {
            self.at(span, what);
        }
    }
}

pub(super) fn positive(x: f64) -> bool {
    x.is_finite() && x > 0.0
}

pub(super) fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}
