//! Tracks the shards and keys that this sender has newly gained.
//! Records until when this sender must wait for the former owners to finish.
//!
//! When an epoch changes ownership, what this sender gains is on hold, because another sender may still be using it.
//! The hold lasts for [`LeaseTimes::hold`](crate::LeaseTimes::hold) after this sender received the epoch.
//! On hold are gained shards, and order keys that preferred another owner.
//! Additional shards of wide destinations and larger shares of destinations' limits are on hold too.
//! Only current holds are stored, so this state is empty while ownership does not change.

use std::collections::BTreeMap;

use crate::list::{MemberList, SeatId};
use crate::placement::Placement;
use crate::preference::{part, preferred};
use crate::shard::ShardId;
use heronroute::Micros;

/// Maximum number of superseded owner lists stored for a shard; with more, the whole shard is put on hold instead.
/// Each epoch that changes the shard's owners during a hold adds one owner list.
const MAX_SUPERSEDED_OWNER_LISTS: usize = 16;

/// A value that an epoch has replaced, and the time until which other senders may still use it.
#[derive(Clone, Debug)]
struct Superseded<T> {
    value: T,
    until: Micros,
}

/// The holds on one owned shard and on its keys.
#[derive(Clone, Debug, Default)]
struct ShardHold {
    /// Time until which another sender may still act as an owner of the shard.
    ready_at: Option<Micros>,
    /// Earlier owner lists that include this sender. Under them, keys may have preferred another owner.
    superseded: Vec<Superseded<Vec<SeatId>>>,
}

impl ShardHold {
    fn record(&mut self, owners: &[SeatId], until: Micros) {
        if self.superseded.len() < MAX_SUPERSEDED_OWNER_LISTS {
            self.superseded.push(Superseded { value: owners.to_vec(), until });
        } else {
            self.superseded.clear();
            self.ready_at = Some(until);
        }
    }

    fn last_end(&self) -> Option<Micros> {
        self.superseded.iter().map(|superseded| superseded.until).max().max(self.ready_at)
    }
}

/// A placement and the seat that this sender fills in it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeatedPlacement<'a> {
    pub(crate) placement: &'a Placement,
    pub(crate) seat: Option<SeatId>,
}

impl SeatedPlacement<'_> {
    pub(crate) fn owns(&self, shard: ShardId) -> bool {
        self.seat.is_some_and(|seat| self.placement.owners(shard).contains(&seat))
    }

    fn shards(&self) -> Vec<ShardId> {
        self.seat.map_or_else(Vec::new, |seat| self.placement.shards_of(seat))
    }
}

/// The shards that this sender gained and lost by an epoch, each in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnershipDiff {
    pub(crate) gained: Vec<ShardId>,
    pub(crate) lost: Vec<ShardId>,
}

impl OwnershipDiff {
    /// Compares the shards that this sender owns under two placements.
    /// Without `before`, all owned shards count as gained.
    pub(crate) fn between(before: Option<SeatedPlacement<'_>>, after: SeatedPlacement<'_>) -> Self {
        let owned_before = |shard: ShardId| before.is_some_and(|before| before.owns(shard));
        let mut gained = after.shards();
        gained.retain(|&shard| !owned_before(shard));
        let mut lost = before.map_or_else(Vec::new, |before| before.shards());
        lost.retain(|&shard| !after.owns(shard));
        gained.sort_unstable();
        lost.sort_unstable();
        OwnershipDiff { gained, lost }
    }
}

/// The holds on this sender's shards, and the lost shards whose messages it may still be delivering.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holds {
    all_until: Option<Micros>,
    shards: BTreeMap<ShardId, ShardHold>,
    /// Lost shards, each with the time until which this sender may still deliver the shard's messages.
    lost: BTreeMap<ShardId, Micros>,
}

impl Holds {
    /// Returns the end of an owned shard's hold if it is on hold at `now`.
    pub(crate) fn shard_hold(&self, shard: ShardId, now: Micros) -> Option<Micros> {
        let ready_at = self.shards.get(&shard).and_then(|hold| hold.ready_at);
        ready_at.max(self.all_until).filter(|&until| now < until)
    }

    /// Returns the end of the hold of a key whose preferred owner is `own_seat`.
    /// Until the hold ends, another sender may have messages of the key.
    pub(crate) fn key_hold(
        &self,
        shard: ShardId,
        own_seat: SeatId,
        spread_hash: u64,
        now: Micros,
    ) -> Option<Micros> {
        let superseded = self.shards.get(&shard).into_iter().flat_map(|hold| &hold.superseded);
        let preferred_another =
            superseded.filter(|owners| preferred(&owners.value, spread_hash) != Some(own_seat));
        let until = preferred_another.map(|owners| owners.until).filter(|&until| now < until).max();
        until.max(self.shard_hold(shard, now))
    }

    /// Returns whether this sender has lost the shard but may still be delivering the shard's messages.
    pub(crate) fn recently_lost(&self, shard: ShardId) -> bool {
        self.lost.contains_key(&shard)
    }

    /// Puts all shards and keys on hold until the given time.
    pub(crate) fn hold_all(&mut self, until: Micros) {
        self.all_until = self.all_until.max(Some(until));
    }

    /// Updates the holds for the next placement: puts gained shards on hold, and keys that now prefer this sender.
    pub(crate) fn advance(&mut self, before: SeatedPlacement<'_>, after: SeatedPlacement<'_>, until: Micros) {
        let diff = OwnershipDiff::between(Some(before), after);
        for shard in diff.gained {
            self.lost.remove(&shard);
            self.shards.insert(shard, ShardHold { ready_at: Some(until), superseded: Vec::new() });
        }
        for shard in diff.lost {
            self.shards.remove(&shard);
            self.lost.insert(shard, until);
        }
        for shard in after.shards() {
            let owners_before = before.placement.owners(shard);
            if before.owns(shard) && owners_before != after.placement.owners(shard) {
                self.shards.entry(shard).or_default().record(owners_before, until);
            }
        }
        if before.seat != after.seat {
            // Keys prefer seats, not members: a sender that changes its seat gains other keys in each shard.
            self.hold_all(until);
        }
    }

    /// Removes holds on shards and keys that have ended.
    pub(crate) fn prune(&mut self, now: Micros) {
        self.all_until = self.all_until.filter(|&until| now < until);
        self.lost.retain(|_, until| now < *until);
        self.shards.retain(|_, hold| {
            hold.superseded.retain(|owners| now < owners.until);
            hold.last_end().is_some_and(|end| now < end)
        });
    }

    /// Returns the end of the last hold on a shard or key; `None` if no hold ends after `now`.
    pub(crate) fn last_end(&self, now: Micros) -> Option<Micros> {
        let shards = self.shards.values().filter_map(ShardHold::last_end).max();
        shards.max(self.all_until).filter(|&end| now < end)
    }
}

/// Superseded replica counts and widths of destinations.
/// While senders may still use such old values, the values affect how many owners share a destination's limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSharing {
    replicas: Vec<Superseded<usize>>,
    widths: BTreeMap<i64, Vec<Superseded<u16>>>,
}

impl RecentSharing {
    /// Records the replica count and the widths that the next member list replaces.
    pub(crate) fn advance(&mut self, before: &MemberList, after: &MemberList, until: Micros) {
        if before.replicas() != after.replicas() {
            self.replicas.push(Superseded { value: before.replicas(), until });
        }
        let listed = before.wide_destinations().chain(after.wide_destinations()).map(|(dest, _)| dest);
        for dest in listed.filter(|&dest| before.width(dest) != after.width(dest)) {
            let widths = self.widths.entry(dest).or_default();
            widths.push(Superseded { value: before.width(dest), until });
        }
    }

    /// Restores the replica count and the widths that the previous process persisted.
    pub(crate) fn restore(&mut self, replicas: usize, wide: &BTreeMap<i64, u16>, until: Micros) {
        self.replicas.push(Superseded { value: replicas, until });
        for (&dest, &width) in wide {
            self.widths.entry(dest).or_default().push(Superseded { value: width, until });
        }
    }

    /// Returns the maximum number of owners that may share the destination's limit at `now`, with `list` in force.
    pub(crate) fn max_sharers(&self, list: &MemberList, dest: i64, now: Micros) -> usize {
        let width = self.max_width(dest, list.width(dest), now);
        self.max_replicas(list.replicas(), now) * usize::from(width)
    }

    /// Returns the maximum number of replicas that senders may use at `now`, with `current` in force.
    pub(crate) fn max_replicas(&self, current: usize, now: Micros) -> usize {
        let superseded = self.replicas.iter().filter(|superseded| now < superseded.until);
        superseded.map(|superseded| superseded.value).fold(current, usize::max)
    }

    /// Returns the destinations that are or were wide, with their maximum width.
    pub(crate) fn max_widths(&self, list: &MemberList, now: Micros) -> BTreeMap<i64, u16> {
        let dests = self.widths.keys().copied().chain(list.wide_destinations().map(|(dest, _)| dest));
        let widths = dests.map(|dest| (dest, self.max_width(dest, list.width(dest), now)));
        widths.filter(|&(_, width)| width > 1).collect()
    }

    fn max_width(&self, dest: i64, current: u16, now: Micros) -> u16 {
        self.superseded_widths(dest, now).map(|superseded| superseded.value).fold(current, u16::max)
    }

    /// Returns the end of the hold of a shard that the destination did not have under a superseded width.
    pub(crate) fn part_hold(&self, dest: i64, part: u16, now: Micros) -> Option<Micros> {
        let narrower = self.superseded_widths(dest, now).filter(|superseded| part >= superseded.value);
        narrower.map(|superseded| superseded.until).max()
    }

    /// Returns the end of the hold of a key that belonged to another of the shards under a superseded width.
    pub(crate) fn key_hold(&self, dest: i64, width: u16, spread_hash: u64, now: Micros) -> Option<Micros> {
        let moved =
            |superseded: &&Superseded<u16>| part(spread_hash, superseded.value) != part(spread_hash, width);
        self.superseded_widths(dest, now).filter(moved).map(|superseded| superseded.until).max()
    }

    /// Removes superseded replica counts and widths that no sender uses any more.
    pub(crate) fn prune(&mut self, now: Micros) {
        self.replicas.retain(|superseded| now < superseded.until);
        self.widths.retain(|_, widths| {
            widths.retain(|superseded| now < superseded.until);
            !widths.is_empty()
        });
    }

    /// Returns the latest time after `now` until which a sender may use a superseded replica count or width.
    pub(crate) fn last_end(&self, now: Micros) -> Option<Micros> {
        let widths = self.widths.values().flatten().map(|superseded| superseded.until);
        let replicas = self.replicas.iter().map(|superseded| superseded.until);
        widths.chain(replicas).max().filter(|&end| now < end)
    }

    fn superseded_widths(&self, dest: i64, now: Micros) -> impl Iterator<Item = &Superseded<u16>> {
        self.widths.get(&dest).into_iter().flatten().filter(move |superseded| now < superseded.until)
    }
}
