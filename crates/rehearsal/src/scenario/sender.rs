//! The `[[sender]]` tables: the senders to start.

use super::checks::{Checks, positive};
use super::defaults;
use super::file::Raw;
use crate::facts;
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Senders at most: each is a process of 5 MB on this machine, and shares its cores with the rig.
pub const SENDERS_MOST: usize = 320;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSender {
    pub(super) name: Spanned<String>,
    /// So many alike, numbered on from 0 behind the name, each with its part of the share.
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

/// A sender to start.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Its part of the traffic.
    pub share: f64,
    /// Its building, by index.
    pub zone: usize,
    /// Its limit on memory, as it is told.
    pub memory_mb: f64,
    /// Its limit on descriptors.
    pub sockets: usize,
    /// Its limit on disk.
    pub disk_mb: f64,
}

/// Checks the senders. `rate` is the messages a second of all of them, and `busy` how long a call takes on average,
/// in seconds: from both come the slots and the room of a sender that names none.
pub(super) fn senders(
    raw: &Raw,
    c: &mut Checks<'_>,
    rate: f64,
    busy: f64,
) -> (Vec<Sender>, Vec<facts::Sender>) {
    let list = raw.sender.get_ref();
    let many: usize = list.iter().map(|s| s.count.unwrap_or(1).min(SENDERS_MOST + 1)).sum();
    let fits = (1..=SENDERS_MOST).contains(&many);
    c.whether(
        fits,
        raw.sender.span(),
        format!("there are 1 to {SENDERS_MOST} senders in the [[sender]] tables"),
    );
    let total: f64 = list.iter().map(|s| s.share).sum();
    let mut seen = BTreeSet::new();
    let (mut senders, mut figures) = (Vec::new(), Vec::new());
    for s in list {
        let (name, at) = (s.name.get_ref(), s.name.span());
        c.whether(s.count != Some(0), at.clone(), "'count' is 1 or more");
        c.whether(
            seen.insert(name.clone()),
            at.clone(),
            format!("a second sender '{name}'; name it otherwise"),
        );
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        c.whether(plain, at.clone(), "a sender's name has letters, digits and hyphens only");
        c.whether(positive(s.share), at.clone(), "'share' is above 0");
        c.whether(
            s.slots != Some(0) && s.max_open != Some(0),
            at.clone(),
            "'slots' and 'max_open' are 1 or more",
        );
        c.whether(positive(s.memory_mb) && positive(s.disk_mb) && s.sockets > 0, at, "limits are above 0");
        let zones = &raw.network.value.zones;
        let zone = s.zone.as_ref().and_then(|z| zones.iter().position(|n| n == z.get_ref()));
        if let Some(z) = s.zone.as_ref().filter(|_| zone.is_none()) {
            c.at(z.span(), format!("there is no building '{}'; there are {}", z.get_ref(), zones.join(", ")));
        }
        let count = s.count.unwrap_or(1).clamp(1, SENDERS_MOST);
        let share = s.share / count as f64;
        let part = rate * share / total.max(f64::MIN_POSITIVE);
        let slots = s.slots.unwrap_or(((1.75 * part * busy).ceil() as u32).max(4));
        let max_open = s.max_open.unwrap_or(((9.0 * part).ceil() as u32).max(8));
        for n in 0..count {
            // Where no building is named, many alike stand in all of them in turn.
            let zone = zone.unwrap_or(n % zones.len().max(1));
            let zone_name = zones.get(zone).cloned().unwrap_or_default();
            let name = if s.count.is_some() { format!("{name}{n}") } else { name.clone() };
            if s.count.is_some() {
                let free = seen.insert(name.clone());
                c.whether(free, s.name.span(), format!("a second sender '{name}'; name it otherwise"));
            }
            let (memory_mb, sockets, disk_mb) = (s.memory_mb, s.sockets, s.disk_mb);
            senders.push(Sender { share, zone, memory_mb, sockets, disk_mb });
            figures.push(facts::Sender { name, zone: zone_name, slots, max_open });
        }
    }
    (senders, figures)
}
