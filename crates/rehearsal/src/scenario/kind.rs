//! The `[[kind]]` tables: the kinds of receiver.

use super::checks::Checks;
use super::defaults;
use super::file::Raw;
use serde::Deserialize;
use std::collections::BTreeSet;

/// Maximum value of the setting `batch` (messages per call) in a `[[kind]]` table.
const MAX_BATCH: u32 = 100;

/// A kind of receiver, as a `[[kind]]` table defines it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name by which `[[receiver]]` and `[[class]]` tables refer to the kind.
    pub name: String,
    /// Maximum number of messages in a call to a receiver of the kind.
    #[serde(default = "defaults::one_message")]
    pub batch: u32,
    /// Whether the endpoints of the kind's receivers are separate routes.
    #[serde(default, rename = "apart")]
    pub separate_routes: bool,
}

/// Checks the `[[kind]]` tables; returns the names of the kinds.
pub(super) fn kinds(raw: &Raw, checks: &mut Checks<'_>) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for spanned in &raw.kind {
        let Kind { name, batch, .. } = spanned.get_ref();
        checks.require(
            seen.insert(name),
            spanned.span(),
            format!("duplicate kind '{name}'; choose another name"),
        );
        checks.require((1..=MAX_BATCH).contains(batch), spanned.span(), "'batch' must be from 1 to 100");
        names.push(name.clone());
    }
    names
}
