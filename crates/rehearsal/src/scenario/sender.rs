//! The `[[sender]]` tables: the senders that a rehearsal starts.

use super::checks::{Checks, positive};
use super::defaults;
use super::file::Raw;
use crate::parameters;
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Maximum number of senders: each sender is a process of about 5 MB, and all share the machine's cores with the rig.
pub const MAX_SENDERS: usize = 320;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSender {
    pub(super) name: Spanned<String>,
    /// Number of identical senders, which divide the traffic equally. Their names get a number from 0 as suffix.
    #[serde(default)]
    pub(super) count: Option<usize>,
    #[serde(default = "defaults::one")]
    pub(super) share: f64,
    #[serde(default)]
    pub(super) zone: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) slots: Option<u32>,
    #[serde(default)]
    pub(super) max_open: Option<u32>,
    #[serde(default = "defaults::memory")]
    pub(super) memory_mb: f64,
    #[serde(default = "defaults::sockets")]
    pub(super) sockets: usize,
    #[serde(default = "defaults::disk")]
    pub(super) disk_mb: f64,
}

/// Properties of a sender to start.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Share of the traffic that clients hand to the sender.
    pub share: f64,
    /// Index of the zone in which the sender runs.
    pub zone: usize,
    /// Memory limit in the sender's configuration, in MB.
    pub memory_mb: f64,
    /// Descriptor limit in the sender's configuration.
    pub sockets: usize,
    /// Disk limit in the sender's configuration, in MB.
    pub disk_mb: f64,
}

/// Default slots of a sender, as a multiple of the mean number of calls in flight that the sender's traffic causes.
const SLOTS_PER_MEAN_CALL: f64 = 1.75;
/// Minimum number of slots that a sender gets by default.
const MIN_DEFAULT_SLOTS: u32 = 4;
/// Default limit on a sender's open messages, in seconds of the sender's share of the traffic.
const DEFAULT_OPEN_SPAN_S: f64 = 9.0;
/// Minimum limit on open messages that a sender gets by default.
const MIN_DEFAULT_MAX_OPEN: u32 = 8;

/// Checks the `[[sender]]` tables, and derives default limits on a sender's slots and open messages.
/// The defaults depend on `rate`, the total rate of the traffic in messages per second.
/// The defaults also depend on `mean_latency`, the mean latency of a call in seconds.
pub(super) fn senders(
    raw: &Raw,
    checks: &mut Checks<'_>,
    rate: f64,
    mean_latency: f64,
) -> (Vec<Sender>, Vec<parameters::Sender>) {
    let list = raw.sender.get_ref();
    let total_count: usize = list.iter().map(|s| s.count.unwrap_or(1).min(MAX_SENDERS + 1)).sum();
    let fits = (1..=MAX_SENDERS).contains(&total_count);
    checks.require(
        fits,
        raw.sender.span(),
        format!("the [[sender]] tables must give 1 to {MAX_SENDERS} senders in all"),
    );
    let total: f64 = list.iter().map(|s| s.share).sum();
    let zones = &raw.network.value.zones;
    let mut seen = BTreeSet::new();
    let (mut senders, mut all_parameters) = (Vec::new(), Vec::new());
    for raw_sender in list {
        let (name, at) = (raw_sender.name.get_ref(), raw_sender.name.span());
        checks.require(raw_sender.count != Some(0), at.clone(), "'count' must be 1 or more");
        checks.require(
            seen.insert(name.clone()),
            at.clone(),
            format!("duplicate sender '{name}'; choose another name"),
        );
        raw_sender.check(checks);
        let named_zone = raw_sender.checked_zone(checks, zones);
        let count = raw_sender.count.unwrap_or(1).clamp(1, MAX_SENDERS);
        let share = raw_sender.share / count as f64;
        let part = rate * share / total.max(f64::MIN_POSITIVE);
        let slots = raw_sender
            .slots
            .unwrap_or(((SLOTS_PER_MEAN_CALL * part * mean_latency).ceil() as u32).max(MIN_DEFAULT_SLOTS));
        let max_open = raw_sender
            .max_open
            .unwrap_or(((DEFAULT_OPEN_SPAN_S * part).ceil() as u32).max(MIN_DEFAULT_MAX_OPEN));
        for n in 0..count {
            // Identical senders without a named zone are spread over all zones in turn.
            let zone = named_zone.unwrap_or(n % zones.len().max(1));
            let zone_name = zones.get(zone).cloned().unwrap_or_default();
            let name = if raw_sender.count.is_some() { format!("{name}{n}") } else { name.clone() };
            if raw_sender.count.is_some() {
                let free = seen.insert(name.clone());
                checks.require(free, at.clone(), format!("duplicate sender '{name}'; choose another name"));
            }
            let (memory_mb, sockets, disk_mb) =
                (raw_sender.memory_mb, raw_sender.sockets, raw_sender.disk_mb);
            senders.push(Sender { share, zone, memory_mb, sockets, disk_mb });
            all_parameters.push(parameters::Sender { name, zone: zone_name, slots, max_open });
        }
    }
    (senders, all_parameters)
}

impl RawSender {
    fn check(&self, checks: &mut Checks<'_>) {
        let (name, at) = (self.name.get_ref(), self.name.span());
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        checks.require(plain, at.clone(), "a sender's name may have letters, digits and hyphens only");
        checks.require(positive(self.share), at.clone(), "'share' must be above 0");
        checks.require(
            self.slots != Some(0) && self.max_open != Some(0),
            at.clone(),
            "'slots' and 'max_open' must be 1 or more",
        );
        let limits = positive(self.memory_mb) && positive(self.disk_mb) && self.sockets > 0;
        checks.require(limits, at, "'memory_mb', 'sockets' and 'disk_mb' must be above 0");
    }

    fn checked_zone(&self, checks: &mut Checks<'_>, zones: &[String]) -> Option<usize> {
        let zone = self.zone.as_ref()?;
        let index = zones.iter().position(|name| name == zone.get_ref());
        if index.is_none() {
            let known = zones.join(", ");
            checks.at(zone.span(), format!("there is no zone '{}'; known zones: {known}", zone.get_ref()));
        }
        index
    }
}
