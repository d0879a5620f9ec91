//! The `[[tenant]]` tables: whose messages there are.

use super::checks::{Checks, not_negative, positive};
use super::file::Raw;
use crate::parameters;
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTenant {
    pub(super) name: Spanned<String>,
    pub(super) share: f64,
    #[serde(default)]
    pub(super) quota: Option<f64>,
}

/// Checks the tenants, and gives the share of the traffic that each has.
pub(super) fn tenants(raw: &Raw, c: &mut Checks<'_>) -> (Vec<f64>, Vec<parameters::Tenant>) {
    let mut seen = BTreeSet::new();
    for tenant in &raw.tenant {
        let (name, at) = (tenant.name.get_ref(), tenant.name.span());
        c.require(seen.insert(name), at.clone(), format!("a second tenant '{name}'; name it otherwise"));
        c.require(not_negative(tenant.share), at.clone(), "'share' is 0 or more");
        c.require(tenant.quota.is_none_or(positive), at, "'quota' is above 0; leave it out for none");
    }
    // With none named there is one, which stands for all.
    if raw.tenant.is_empty() {
        return (vec![1.0], vec![parameters::Tenant { name: "all".into(), quota: f64::MAX }]);
    }
    let figures = raw.tenant.iter().map(|t| {
        let (name, quota) = (t.name.get_ref().clone(), t.quota.unwrap_or(f64::MAX));
        parameters::Tenant { name, quota }
    });
    (raw.tenant.iter().map(|t| t.share).collect(), figures.collect())
}
