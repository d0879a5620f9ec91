//! One sender's view of the placement: what it has heard, where a request goes, and what it may take on itself.
//!
//! # What a sender may do
//!
//! | state | takes on as owner | delivers what it took on | forwards |
//! | --- | --- | --- | --- |
//! | nothing heard yet | nothing | what its journal holds | nothing |
//! | lease valid | what it owns by its own epoch and is not on hold | yes | by its own table |
//! | lease expired | nothing | yes | by its last table |
//!
//! Another sender's epoch does not matter: the owner decides by its own, and refuses as busy what it does not own.
//!
//! # Why holds are long enough
//!
//! Epoch `g` is first told to anybody at time `t`. An agent answers with an earlier epoch until `t + agent_lag` at most, so a
//! lease under an earlier epoch ends by `t + agent_lag + lease`, and what was taken on under it by `longest_deadline`
//! after that. A sender that `g` makes an owner hears of it at `t` or later and waits for the sum of the three. Therefore at
//! no instant do members of two epochs' owner sets act for one shard beyond those who are in both. This needs a sender
//! to be an owner *in each epoch* between the two that it compares:
//!
//! - from one epoch to the next it compares the two;
//! - changes over several epochs are played one change at a time (they tell each change that was made, in order), and what this
//!   sender did not own after any of them is new to it;
//! - a whole list over several epochs, or more changes than [`MAX_REPLAYED_CHANGES`], says nothing of those between: all is new.
//!
//! # Order
//!
//! All messages of an order key go to one owner, the preferred one of its shard ([`crate::Request`]). There is no fallback: if
//! that owner refuses or can't be reached, the client is told busy. Another owner takes messages of the key only when an
//! epoch makes it the preferred one and the hold is over; by then each message of the key that the former one took on has
//! ended. The owner checks the preference itself, by its own epoch, and refuses what prefers another; so a forwarder on an older
//! epoch can't spread a key. The price: while its preferred owner is down, a key waits until an epoch without that
//! owner has been told and the hold is over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::changes::{Change, Changes};
use crate::error::ListError;
use crate::holds::{Holds, OwnershipDiff, RecentSharing, SeatedPlacement};
use crate::lease::{Lease, LeaseTimes};
use crate::list::{MAX_REPLICAS, MemberList, SeatId};
use crate::placement::{Placement, PlacementSource, UnsharedPlacements};
use crate::preference::{Request, by_preference, part, preferred};
use crate::shard::{ShardId, sub_shard};
use crate::wire::AgentAnswer;
use heronroute::Micros;

/// So many changes over several epochs are played one by one, as each takes up to 5 ms at full size.
pub const MAX_REPLAYED_CHANGES: usize = 32;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This sender decides: it takes the request on if [`Ownership::admission`] says so, and refuses it as busy otherwise.
    Local,
    /// To these owners, the preferred one first, by [`crate::Forwarding`]. An ordered request has exactly one.
    Forward(Vec<SeatId>),
    /// No list was heard yet, or nobody owns the destination.
    Unknown,
}

/// Whether this sender takes on requests as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It does.
    Accepted,
    /// Another sender is the owner, or an ordered request prefers another.
    NotOwner,
    /// A former owner may still be delivering until then.
    OnHold(Micros),
    /// Control was not heard of in time, or never.
    LeaseExpired,
}

/// What an answer of the control agent changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochUpdate {
    /// The epoch in force.
    pub epoch: u64,
    /// Whether it is another than before.
    pub changed: bool,
    /// Shards that this sender owns now and did not own before, in order.
    pub gained: Vec<ShardId>,
    /// Shards that it owned before and does not own now, in order.
    pub lost: Vec<ShardId>,
}

/// What the state folder remembers of a process's last run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedPlacement {
    /// The epoch in force.
    pub epoch: u64,
    /// [`MemberList::digest`] of its list.
    pub digest: u64,
    /// Whether nothing was on hold any more.
    pub settled: bool,
    /// The greatest number of replicas among which limits were shared.
    pub replicas: usize,
    /// Destinations that were wide, with their greatest width.
    pub wide: BTreeMap<i64, u16>,
}

/// The placement in force, and this sender's seat in it.
#[derive(Clone, Debug)]
struct View {
    placement: Arc<Placement>,
    seat: Option<SeatId>,
}

/// One sender's view of the placement.
#[derive(Clone, Debug)]
pub struct Ownership {
    name: String,
    address: Option<SocketAddr>,
    times: LeaseTimes,
    lease: Lease,
    persisted: Option<PersistedPlacement>,
    view: Option<View>,
    holds: Holds,
    recent_sharing: RecentSharing,
}

impl Ownership {
    /// A sender that has heard nothing yet. `lease` and `longest_deadline` as in [`LeaseTimes`]; agents are never behind
    /// unless [`Self::with_agent_lag`] says so.
    pub fn new(own_name: impl Into<String>, lease: Micros, longest_deadline: Micros) -> Self {
        Ownership {
            name: own_name.into(),
            address: None,
            times: LeaseTimes { lease, agent_lag: 0, longest_deadline },
            lease: Lease::new(lease),
            persisted: None,
            view: None,
            holds: Holds::default(),
            recent_sharing: RecentSharing::default(),
        }
    }

    /// Agents may be behind by so much, see [`LeaseTimes::agent_lag`].
    #[must_use]
    pub fn with_agent_lag(mut self, agent_lag: Micros) -> Self {
        self.times.agent_lag = agent_lag;
        self
    }

    /// This process's forward address: a member of the same name with another address is another process, which has
    /// taken this one's place.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.address = Some(address);
        self
    }

    /// What the state folder remembers of the last run.
    #[must_use]
    pub fn with_persisted(mut self, remembered: Option<PersistedPlacement>) -> Self {
        self.persisted = remembered;
        self
    }

    /// Takes over what the agent answered at `now` to what was asked at `polled_at`. Any answer that confirms the epoch in force
    /// or leads to a later one renews the lease.
    ///
    /// # Errors
    /// An older epoch, another list under the epoch in force, changes that don't fit. The list in force stays, and the lease
    /// is not renewed.
    pub fn apply_answer(
        &mut self,
        polled_at: Micros,
        now: Micros,
        answer: AgentAnswer,
    ) -> Result<EpochUpdate, ListError> {
        self.apply_answer_with(&mut UnsharedPlacements, polled_at, now, answer)
    }

    /// The same, with placements that other senders in this process may share.
    ///
    /// # Errors
    /// As [`Self::apply_answer`].
    pub fn apply_answer_with(
        &mut self,
        placements: &mut impl PlacementSource,
        polled_at: Micros,
        now: Micros,
        answer: AgentAnswer,
    ) -> Result<EpochUpdate, ListError> {
        let heard = match answer {
            AgentAnswer::Unchanged { epoch } => self.confirm_epoch(epoch)?,
            AgentAnswer::Full(list) => self.apply_full_list(placements, now, *list)?,
            AgentAnswer::Changes(changes) => self.apply_changes(placements, now, &changes)?,
        };
        self.lease.renew(polled_at.min(now));
        self.holds.prune(now);
        self.recent_sharing.prune(now);
        Ok(heard)
    }

    /// The epoch in force; none before the first list.
    pub fn epoch(&self) -> Option<u64> {
        self.list().map(MemberList::epoch)
    }

    /// The list in force.
    pub fn list(&self) -> Option<&MemberList> {
        self.placement().map(Placement::list)
    }

    /// The placement in force.
    pub fn placement(&self) -> Option<&Placement> {
        self.view.as_ref().map(|view| &*view.placement)
    }

    /// The seat that this sender fills.
    pub fn seat(&self) -> Option<SeatId> {
        self.view.as_ref()?.seat
    }

    /// Whether control was heard of in time.
    pub fn lease_valid(&self, now: Micros) -> bool {
        self.lease.is_valid(now)
    }

    /// The lease, for the figures.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Until when anything is on hold; none if nothing is.
    pub fn holds_end(&self, now: Micros) -> Option<Micros> {
        self.holds.end(now).max(self.recent_sharing.end(now))
    }

    /// What the state folder is to remember. It is written whenever it is another than before; where replicas or widths
    /// change, before anything is done under the new list.
    pub fn persisted_state(&self, now: Micros) -> Option<PersistedPlacement> {
        let list = self.list()?;
        Some(PersistedPlacement {
            epoch: list.epoch(),
            digest: list.digest(),
            settled: self.holds_end(now).is_none(),
            replicas: self.recent_sharing.replicas(list.replicas(), now),
            wide: self.recent_sharing.wide(list, now),
        })
    }

    /// Where a client's request goes. What comes from another sender is never routed: [`Self::admission`] serves or refuses it.
    pub fn route(&self, now: Micros, request: &Request<'_>) -> Route {
        let Some(view) = &self.view else { return Route::Unknown };
        let spread = request.spread();
        let owners = view.owners(request.dest, spread);
        if request.is_ordered() {
            return match preferred(owners, spread) {
                None => Route::Unknown,
                Some(owner) if Some(owner) == view.seat => Route::Local,
                Some(owner) => Route::Forward(vec![owner]),
            };
        }
        if owners.is_empty() {
            return Route::Unknown;
        }
        if self.admission(now, request) == Admission::Accepted {
            return Route::Local;
        }
        let mut candidates = by_preference(owners, spread);
        candidates.retain(|&owner| Some(owner) != view.seat);
        if candidates.is_empty() { Route::Local } else { Route::Forward(candidates) }
    }

    /// Whether this sender takes this request on, be it from a client or from another sender.
    pub fn admission(&self, now: Micros, request: &Request<'_>) -> Admission {
        if !request.is_ordered() {
            return self.unordered_admission(now, request.dest);
        }
        let Some(view) = &self.view else { return Admission::LeaseExpired };
        let Some(seat) = view.seat else { return Admission::NotOwner };
        let spread = request.spread();
        let width = view.placement.list().width(request.dest);
        let shard = sub_shard(request.dest, part(spread, width));
        if preferred(view.placement.owners(shard), spread) != Some(seat) {
            return Admission::NotOwner;
        }
        let by_owners = self.holds.key(shard, seat, spread, now);
        let by_width = self.recent_sharing.key(request.dest, width, spread, now);
        self.admission_under_lease(now, by_owners.max(by_width))
    }

    /// Whether this sender takes on requests for the destination that need not keep order.
    pub fn unordered_admission(&self, now: Micros, dest: i64) -> Admission {
        let Some(view) = &self.view else { return Admission::LeaseExpired };
        let owned = view.parts(dest).filter(|&part| view.seated().owns(sub_shard(dest, part)));
        let holds = owned.map(|part| {
            let by_shard = self.holds.shard(sub_shard(dest, part), now);
            by_shard.max(self.recent_sharing.part(dest, part, now))
        });
        // `None` is less than any hold: one part that is not on hold is enough.
        holds.min().map_or(Admission::NotOwner, |held| self.admission_under_lease(now, held))
    }

    /// Whether this sender keeps the destination from the list of destinations: it owns a part of it, or did and may still be
    /// delivering. Destinations of restored messages are the caller's to keep.
    pub fn needs_destination(&self, dest: i64) -> bool {
        let Some(view) = &self.view else { return false };
        let keeps = |shard: ShardId| view.seated().owns(shard) || self.holds.is_lost(shard);
        view.parts(dest).any(|part| keeps(sub_shard(dest, part)))
    }

    /// Among how many owners a destination's limit is shared: this sender's share is one part in so many. While an epoch with
    /// more owners may still be acted upon, it is that number; before the first list, the last run's.
    pub fn limit_sharers(&self, now: Micros, dest: i64) -> usize {
        match (self.list(), &self.persisted) {
            (Some(list), _) => self.recent_sharing.greatest(list, dest, now),
            (None, Some(last)) => last.replicas * usize::from(last.wide.get(&dest).copied().unwrap_or(1)),
            (None, None) => MAX_REPLICAS,
        }
    }

    fn admission_under_lease(&self, now: Micros, held: Option<Micros>) -> Admission {
        match held {
            _ if !self.lease.is_valid(now) => Admission::LeaseExpired,
            Some(until) => Admission::OnHold(until),
            None => Admission::Accepted,
        }
    }

    /// The agent says that the epoch in force is the latest.
    fn confirm_epoch(&self, epoch: u64) -> Result<EpochUpdate, ListError> {
        let current = self.epoch().unwrap_or(0);
        if epoch < current {
            return Err(ListError::StaleEpoch { current, offered: epoch });
        }
        if epoch > current || self.view.is_none() {
            return Err(ListError::SinceMismatch { current, since: epoch });
        }
        Ok(EpochUpdate { epoch, ..EpochUpdate::default() })
    }

    fn apply_full_list(
        &mut self,
        placements: &mut impl PlacementSource,
        now: Micros,
        list: MemberList,
    ) -> Result<EpochUpdate, ListError> {
        let Some(view) = &self.view else {
            self.hold_for_first_list(now, &list)?;
            return Ok(self.activate(placements.build(list)));
        };
        let epoch = view.placement.list().epoch();
        view.placement.list().check_successor(&list)?;
        if list.epoch() == epoch {
            return self.confirm_epoch(epoch);
        }
        let consecutive = list.epoch() == epoch + 1;
        let before = view.placement.clone();
        let after = placements.build(list);
        self.step(now, &before, &after);
        if !consecutive {
            self.holds.hold_all(self.hold_end(now));
        }
        Ok(self.activate(after))
    }

    /// The first list of this process: what it says is new, unless the last run had settled in it or nobody came before.
    fn hold_for_first_list(&mut self, now: Micros, list: &MemberList) -> Result<(), ListError> {
        let until = self.hold_end(now);
        if let Some(last) = &self.persisted {
            if list.epoch() < last.epoch {
                return Err(ListError::StaleEpoch { current: last.epoch, offered: list.epoch() });
            }
            self.recent_sharing.restore(last.replicas, &last.wide, until);
        }
        let settled = |last: &PersistedPlacement| {
            last.settled && last.epoch == list.epoch() && last.digest == list.digest()
        };
        if !list.is_first() && !self.persisted.as_ref().is_some_and(settled) {
            self.holds.hold_all(until);
        }
        Ok(())
    }

    fn apply_changes(
        &mut self,
        placements: &mut impl PlacementSource,
        now: Micros,
        changes: &Changes,
    ) -> Result<EpochUpdate, ListError> {
        let Some(view) = &self.view else {
            return Err(ListError::SinceMismatch { current: 0, since: changes.since });
        };
        let epoch = view.placement.list().epoch();
        if changes.epoch <= epoch {
            return self.confirm_epoch(changes.epoch);
        }
        let before = view.placement.clone();
        let after = placements.apply(&before, changes)?;
        if changes.epoch == epoch + 1 {
            self.step(now, &before, &after);
        } else if !self.replay(placements, now, &before, &changes.changes) {
            self.step(now, &before, &after);
            self.holds.hold_all(self.hold_end(now));
        }
        Ok(self.activate(after))
    }

    /// Accounts for changes over several epochs one by one. False if they are too many, or can't stand alone.
    fn replay(
        &mut self,
        placements: &mut impl PlacementSource,
        now: Micros,
        before: &Placement,
        changes: &[Change],
    ) -> bool {
        if changes.len() > MAX_REPLAYED_CHANGES {
            return false;
        }
        // Numbered from 0 on: the epochs between are not told, and may be fewer than the changes.
        let mut before = Arc::new(before.renumbered(0));
        for (since, change) in changes.iter().enumerate() {
            let since = since as u64;
            let single = Changes { epoch: since + 1, since, changes: vec![change.clone()] };
            let Ok(after) = placements.apply(&before, &single) else { return false };
            self.step(now, &before, &after);
            before = after;
        }
        true
    }

    /// Puts on hold what a step from one epoch to the next gives to this sender.
    fn step(&mut self, now: Micros, before: &Placement, after: &Placement) {
        let until = self.hold_end(now);
        let [seated_before, seated_after] = [before, after].map(|placement| self.seated(placement));
        self.holds.step(seated_before, seated_after, until);
        self.recent_sharing.step(before.list(), after.list(), until);
    }

    fn activate(&mut self, placement: Arc<Placement>) -> EpochUpdate {
        let before = self.view.as_ref().map(View::seated);
        let after = self.seated(&placement);
        let seat = after.seat;
        let OwnershipDiff { gained, lost } = OwnershipDiff::between(before, after);
        let heard = EpochUpdate { epoch: placement.list().epoch(), changed: true, gained, lost };
        self.view = Some(View { placement, seat });
        heard
    }

    fn seated<'a>(&self, placement: &'a Placement) -> SeatedPlacement<'a> {
        SeatedPlacement { placement, seat: self.seat_in(placement.list()) }
    }

    fn seat_in(&self, list: &MemberList) -> Option<SeatId> {
        let seat = list.seat_of(&self.name)?;
        let listed = list.member(seat)?.address();
        self.address.is_none_or(|own| own == listed).then_some(seat)
    }

    fn hold_end(&self, now: Micros) -> Micros {
        now + self.times.hold()
    }
}

impl View {
    fn seated(&self) -> SeatedPlacement<'_> {
        SeatedPlacement { placement: &self.placement, seat: self.seat }
    }

    fn parts(&self, dest: i64) -> std::ops::Range<u16> {
        0..self.placement.list().width(dest)
    }

    /// Owners of the part of the destination that a request with this spread belongs to.
    fn owners(&self, dest: i64, spread: u64) -> &[SeatId] {
        let part = part(spread, self.placement.list().width(dest));
        self.placement.owners(sub_shard(dest, part))
    }
}
