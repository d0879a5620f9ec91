//! The `[rules]` table: limits that the judge uses for the six delivery rules.

use super::checks::{Checks, positive, share};
use super::file::Section;
use crate::parameters;
use crate::span::Span;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RawRules {
    drain_grace: Span,
    fall_multiple: f64,
    fall_window: Span,
    max_attempts: u32,
    second_copies: bool,
    batch_weight: f64,
}

impl Default for RawRules {
    fn default() -> Self {
        let (drain_grace, fall_window) = (Span::ms(1000), Span::ms(2000));
        RawRules {
            drain_grace,
            fall_multiple: 2.0,
            fall_window,
            max_attempts: 6,
            second_copies: false,
            batch_weight: 0.25,
        }
    }
}

/// Checks the `[rules]` table, the limits of the six rules.
pub(super) fn rules(raw: &Section<RawRules>, checks: &mut Checks<'_>) -> parameters::Rules {
    let (values, at) = (&raw.value, &raw.span);
    checks.require(positive(values.fall_multiple), at.clone(), "'fall_multiple' must be above 0");
    checks.require(values.fall_window.0 > 0, at.clone(), "'fall_window' must be above 0s");
    checks.require(share(values.batch_weight), at.clone(), "'batch_weight' must be from 0 to 1");
    checks.require(values.max_attempts > 0, at.clone(), "'max_attempts' must be 1 or more");
    parameters::Rules {
        drain_grace: values.drain_grace.0,
        fall_multiple: values.fall_multiple,
        fall_window: values.fall_window.0,
        max_attempts: values.max_attempts,
        second_copies: values.second_copies,
        batch_weight: values.batch_weight,
    }
}
