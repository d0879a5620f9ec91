//! The `[[tenant]]` tables: the tenants and their shares of the traffic.

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

/// Checks the `[[tenant]]` tables; returns the tenants' shares of the traffic, and the parameters for the judge.
pub(super) fn tenants(raw: &Raw, checks: &mut Checks<'_>) -> (Vec<f64>, Vec<parameters::Tenant>) {
    let mut seen = BTreeSet::new();
    for tenant in &raw.tenant {
        let (name, at) = (tenant.name.get_ref(), tenant.name.span());
        checks.require(
            seen.insert(name),
            at.clone(),
            format!("duplicate tenant '{name}'; choose another name"),
        );
        checks.require(not_negative(tenant.share), at.clone(), "'share' must be 0 or more");
        checks.require(tenant.quota.is_none_or(positive), at, "'quota' must be above 0; remove it for none");
    }
    // A scenario without a `[[tenant]]` table has one tenant with all traffic.
    if raw.tenant.is_empty() {
        return (vec![1.0], vec![parameters::Tenant { name: "all".into(), quota: f64::MAX }]);
    }
    let all_parameters = raw.tenant.iter().map(|t| {
        let (name, quota) = (t.name.get_ref().clone(), t.quota.unwrap_or(f64::MAX));
        parameters::Tenant { name, quota }
    });
    (raw.tenant.iter().map(|t| t.share).collect(), all_parameters.collect())
}
