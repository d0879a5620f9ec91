//! The `[[sender]]` tables: the senders to start.

use super::checks::{Checks, positive};
use super::defaults;
use super::file::Raw;
use crate::parameters;
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Senders at most: each is a process of 5 MB on this machine, and shares its cores with the rig.
pub const MAX_SENDERS: usize = 320;

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

/// Calls that a sender may have out at once, over those that its part of the traffic has out on average.
const SLOTS_PER_MEAN_CALL: f64 = 1.75;
/// Slots of a sender at least, where it names none.
const MIN_SLOTS: u32 = 4;
/// A sender that names no room holds its part of the traffic for this long, in seconds.
const ROOM_S: f64 = 9.0;
/// Its room at least.
const MIN_ROOM: u32 = 8;

/// Checks the senders. `rate` is the messages a second of all of them, and `busy` how long a call takes on average,
/// in seconds: from both come the slots and the room of a sender that names none.
pub(super) fn senders(
    raw: &Raw,
    c: &mut Checks<'_>,
    rate: f64,
    busy: f64,
) -> (Vec<Sender>, Vec<parameters::Sender>) {
    let list = raw.sender.get_ref();
    let many: usize = list.iter().map(|s| s.count.unwrap_or(1).min(MAX_SENDERS + 1)).sum();
    let fits = (1..=MAX_SENDERS).contains(&many);
    c.require(
        fits,
        raw.sender.span(),
        format!("there are 1 to {MAX_SENDERS} senders in the [[sender]] tables"),
    );
    let total: f64 = list.iter().map(|s| s.share).sum();
    let zones = &raw.network.value.zones;
    let mut seen = BTreeSet::new();
    let (mut senders, mut figures) = (Vec::new(), Vec::new());
    for s in list {
        let (name, at) = (s.name.get_ref(), s.name.span());
        c.require(s.count != Some(0), at.clone(), "'count' is 1 or more");
        c.require(
            seen.insert(name.clone()),
            at.clone(),
            format!("a second sender '{name}'; name it otherwise"),
        );
        s.check(c);
        let named_zone = s.checked_zone(c, zones);
        let count = s.count.unwrap_or(1).clamp(1, MAX_SENDERS);
        let share = s.share / count as f64;
        let part = rate * share / total.max(f64::MIN_POSITIVE);
        let slots = s.slots.unwrap_or(((SLOTS_PER_MEAN_CALL * part * busy).ceil() as u32).max(MIN_SLOTS));
        let max_open = s.max_open.unwrap_or(((ROOM_S * part).ceil() as u32).max(MIN_ROOM));
        for n in 0..count {
            // Where no building is named, many alike stand in all of them in turn.
            let zone = named_zone.unwrap_or(n % zones.len().max(1));
            let zone_name = zones.get(zone).cloned().unwrap_or_default();
            let name = if s.count.is_some() { format!("{name}{n}") } else { name.clone() };
            if s.count.is_some() {
                let free = seen.insert(name.clone());
                c.require(free, at.clone(), format!("a second sender '{name}'; name it otherwise"));
            }
            let (memory_mb, sockets, disk_mb) = (s.memory_mb, s.sockets, s.disk_mb);
            senders.push(Sender { share, zone, memory_mb, sockets, disk_mb });
            figures.push(parameters::Sender { name, zone: zone_name, slots, max_open });
        }
    }
    (senders, figures)
}

impl RawSender {
    fn check(&self, c: &mut Checks<'_>) {
        let (name, at) = (self.name.get_ref(), self.name.span());
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        c.require(plain, at.clone(), "a sender's name has letters, digits and hyphens only");
        c.require(positive(self.share), at.clone(), "'share' is above 0");
        c.require(
            self.slots != Some(0) && self.max_open != Some(0),
            at.clone(),
            "'slots' and 'max_open' are 1 or more",
        );
        let limits = positive(self.memory_mb) && positive(self.disk_mb) && self.sockets > 0;
        c.require(limits, at, "limits are above 0");
    }

    fn checked_zone(&self, c: &mut Checks<'_>, zones: &[String]) -> Option<usize> {
        let zone = self.zone.as_ref()?;
        let index = zones.iter().position(|name| name == zone.get_ref());
        if index.is_none() {
            let there = zones.join(", ");
            c.at(zone.span(), format!("there is no building '{}'; there are {there}", zone.get_ref()));
        }
        index
    }
}
