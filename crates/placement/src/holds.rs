//! What of this sender's ownership is new, and until when it has to wait for others to finish.
//!
//! Everything that an epoch gives to this sender, and another may have had before, is on hold for
//! [`LeaseTimes::hold`](crate::LeaseTimes::hold) from when it was heard of: a shard; an order key whose preferred owner was
//! another; a part of a wide destination; a larger share of a destination's limit. Only what is on hold is remembered, so that
//! a sender at rest holds nothing here.

use std::collections::BTreeMap;

use crate::list::{MemberList, SeatId};
use crate::placement::Placement;
use crate::preference::{part, preferred};
use crate::shard::ShardId;
use heronroute::Micros;

/// So many former owner lists of a shard are remembered; it has one more with each epoch that changes its owners within a
/// hold. With more, the whole shard is put on hold instead.
const MAX_SUPERSEDED_OWNER_LISTS: usize = 16;

/// Something that was true and may still be acted upon by others until a time.
#[derive(Clone, Debug)]
struct Superseded<T> {
    value: T,
    until: Micros,
}

/// What of one owned shard is on hold.
#[derive(Clone, Debug, Default)]
struct ShardHold {
    /// Until then another may have been the owner in place of this sender.
    ready_at: Option<Micros>,
    /// Earlier owners, this sender among them, under which keys may have had another preferred owner.
    former: Vec<Superseded<Vec<SeatId>>>,
}

impl ShardHold {
    fn remember(&mut self, owners: &[SeatId], until: Micros) {
        if self.former.len() < MAX_SUPERSEDED_OWNER_LISTS {
            self.former.push(Superseded { value: owners.to_vec(), until });
        } else {
            self.former.clear();
            self.ready_at = Some(until);
        }
    }

    fn end(&self) -> Option<Micros> {
        self.former.iter().map(|former| former.until).max().max(self.ready_at)
    }
}

/// A placement as one sender sees it: with the seat that it fills there.
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

/// The shards that an epoch gave to this sender and took from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnershipDiff {
    pub(crate) gained: Vec<ShardId>,
    pub(crate) lost: Vec<ShardId>,
}

impl OwnershipDiff {
    /// What is owned after and was not before, and the other way round.
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

/// What is on hold of the shards that this sender owns, and what it lost and may still be delivering for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holds {
    all_until: Option<Micros>,
    shards: BTreeMap<ShardId, ShardHold>,
    /// Shards that were lost, and until when messages of theirs may be delivered.
    lost: BTreeMap<ShardId, Micros>,
}

impl Holds {
    /// Until when an owned shard is on hold, if it is at `now`.
    pub(crate) fn shard(&self, shard: ShardId, now: Micros) -> Option<Micros> {
        let ready_at = self.shards.get(&shard).and_then(|hold| hold.ready_at);
        ready_at.max(self.all_until).filter(|&until| now < until)
    }

    /// Until when a key that `own` is the preferred owner of is on hold: while another may have messages of it.
    pub(crate) fn key(&self, shard: ShardId, own: SeatId, spread: u64, now: Micros) -> Option<Micros> {
        let former = self.shards.get(&shard).into_iter().flat_map(|hold| &hold.former);
        let moved = former.filter(|former| preferred(&former.value, spread) != Some(own));
        let until = moved.map(|former| former.until).filter(|&until| now < until).max();
        until.max(self.shard(shard, now))
    }

    /// Whether messages of a shard that was lost may still be delivered.
    pub(crate) fn is_lost(&self, shard: ShardId) -> bool {
        self.lost.contains_key(&shard)
    }

    /// Puts everything on hold until then.
    pub(crate) fn hold_all(&mut self, until: Micros) {
        self.all_until = self.all_until.max(Some(until));
    }

    /// Takes over the next placement: what was not owned before is on hold, and so is a key whose preference moves here.
    pub(crate) fn step(&mut self, before: SeatedPlacement<'_>, after: SeatedPlacement<'_>, until: Micros) {
        let difference = OwnershipDiff::between(Some(before), after);
        for shard in difference.gained {
            self.lost.remove(&shard);
            self.shards.insert(shard, ShardHold { ready_at: Some(until), former: Vec::new() });
        }
        for shard in difference.lost {
            self.shards.remove(&shard);
            self.lost.insert(shard, until);
        }
        for shard in after.shards() {
            let owners_before = before.placement.owners(shard);
            if before.owns(shard) && owners_before != after.placement.owners(shard) {
                self.shards.entry(shard).or_default().remember(owners_before, until);
            }
        }
        if before.seat != after.seat {
            // Preferences of keys are by seat: a sender in another seat starts anew.
            self.hold_all(until);
        }
    }

    /// Forgets what is over.
    pub(crate) fn prune(&mut self, now: Micros) {
        self.all_until = self.all_until.filter(|&until| now < until);
        self.lost.retain(|_, until| now < *until);
        self.shards.retain(|_, hold| {
            hold.former.retain(|former| now < former.until);
            hold.end().is_some_and(|end| now < end)
        });
    }

    /// The latest end of any hold after `now`.
    pub(crate) fn end(&self, now: Micros) -> Option<Micros> {
        let shards = self.shards.values().filter_map(ShardHold::end).max();
        shards.max(self.all_until).filter(|&end| now < end)
    }
}

/// The numbers of owners that share a destination's limit, formerly.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSharing {
    replicas: Vec<Superseded<usize>>,
    widths: BTreeMap<i64, Vec<Superseded<u16>>>,
}

impl RecentSharing {
    /// Remembers what changes from one list to the next.
    pub(crate) fn step(&mut self, before: &MemberList, after: &MemberList, until: Micros) {
        if before.replicas() != after.replicas() {
            self.replicas.push(Superseded { value: before.replicas(), until });
        }
        let listed = before.wide_destinations().chain(after.wide_destinations()).map(|(dest, _)| dest);
        for dest in listed.filter(|&dest| before.width(dest) != after.width(dest)) {
            let widths = self.widths.entry(dest).or_default();
            widths.push(Superseded { value: before.width(dest), until });
        }
    }

    /// Takes over what the last run remembered.
    pub(crate) fn restore(&mut self, replicas: usize, wide: &BTreeMap<i64, u16>, until: Micros) {
        self.replicas.push(Superseded { value: replicas, until });
        for (&dest, &width) in wide {
            self.widths.entry(dest).or_default().push(Superseded { value: width, until });
        }
    }

    /// The greatest number of owners among which the limit may be shared at `now`, with `list` in force.
    pub(crate) fn greatest(&self, list: &MemberList, dest: i64, now: Micros) -> usize {
        let width = self.greatest_width(dest, list.width(dest), now);
        self.replicas(list.replicas(), now) * usize::from(width)
    }

    /// The greatest number of replicas, `present` included.
    pub(crate) fn replicas(&self, present: usize, now: Micros) -> usize {
        let former = self.replicas.iter().filter(|former| now < former.until);
        former.map(|former| former.value).fold(present, usize::max)
    }

    /// Destinations that are or were wide, with their greatest width.
    pub(crate) fn wide(&self, list: &MemberList, now: Micros) -> BTreeMap<i64, u16> {
        let dests = self.widths.keys().copied().chain(list.wide_destinations().map(|(dest, _)| dest));
        let widths = dests.map(|dest| (dest, self.greatest_width(dest, list.width(dest), now)));
        widths.filter(|&(_, width)| width > 1).collect()
    }

    fn greatest_width(&self, dest: i64, present: u16, now: Micros) -> u16 {
        self.widths_of(dest, now).map(|former| former.value).fold(present, u16::max)
    }

    /// Until when a part of a destination is on hold, as the destination did not have it.
    pub(crate) fn part(&self, dest: i64, part: u16, now: Micros) -> Option<Micros> {
        self.widths_of(dest, now).filter(|former| part >= former.value).map(|former| former.until).max()
    }

    /// Until when a key is on hold, as it belonged to another part of the destination.
    pub(crate) fn key(&self, dest: i64, width: u16, spread: u64, now: Micros) -> Option<Micros> {
        let moved = |former: &&Superseded<u16>| part(spread, former.value) != part(spread, width);
        self.widths_of(dest, now).filter(moved).map(|former| former.until).max()
    }

    /// Forgets what is over.
    pub(crate) fn prune(&mut self, now: Micros) {
        self.replicas.retain(|former| now < former.until);
        self.widths.retain(|_, widths| {
            widths.retain(|former| now < former.until);
            !widths.is_empty()
        });
    }

    /// The latest end of any hold after `now`.
    pub(crate) fn end(&self, now: Micros) -> Option<Micros> {
        let widths = self.widths.values().flatten().map(|former| former.until);
        widths.chain(self.replicas.iter().map(|former| former.until)).max().filter(|&end| now < end)
    }

    fn widths_of(&self, dest: i64, now: Micros) -> impl Iterator<Item = &Superseded<u16>> {
        self.widths.get(&dest).into_iter().flatten().filter(move |former| now < former.until)
    }
}
