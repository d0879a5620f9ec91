//! The `[[kind]]` tables: kinds of receiver.

use super::checks::Checks;
use super::defaults;
use super::file::Raw;
use serde::Deserialize;
use std::collections::BTreeSet;

/// Messages in a call at most, of any kind.
const MAX_BATCH: u32 = 100;

/// A kind of receiver.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Messages in a call at most.
    #[serde(default = "defaults::one_message")]
    pub batch: u32,
    /// Its endpoints are separate routes.
    #[serde(default, rename = "apart")]
    pub separate_routes: bool,
}

/// Checks the kinds, and gives their names.
pub(super) fn kinds(raw: &Raw, c: &mut Checks<'_>) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for spanned in &raw.kind {
        let Kind { name, batch, .. } = spanned.get_ref();
        c.require(seen.insert(name), spanned.span(), format!("a second kind '{name}'; name it otherwise"));
        c.require((1..=MAX_BATCH).contains(batch), spanned.span(), "'batch' is from 1 to 100");
        names.push(name.clone());
    }
    names
}
