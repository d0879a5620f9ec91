//! One sender's view of the placement: its member list, and the routing of client requests to owners.
//! The view also decides which requests this sender may accept.
//!
//! # What a sender may do
//!
//! | state | accepts as owner | delivers accepted messages | forwards |
//! | --- | --- | --- | --- |
//! | no member list received yet | nothing | those in its journal | nothing |
//! | lease valid | what it owns by its own epoch and is not on hold | yes | by its own table |
//! | lease expired | nothing | yes | by its last table |
//!
//! The epochs of other senders do not matter.
//! An owner decides by its own epoch, and answers busy to requests for shards that it does not own.
//!
//! # Why holds are long enough
//!
//! Let epoch `g` first be sent to any sender at time `t`.
//! A control agent answers with an earlier epoch until `t + agent_lag` at most.
//! A lease under an earlier epoch therefore ends by `t + agent_lag + lease`.
//! Messages accepted under that lease have their final outcome by `t + agent_lag + lease + longest_deadline`.
//! A sender that becomes an owner in epoch `g` receives `g` at `t` or later.
//! The sender puts the gained shards on hold for `agent_lag + lease + longest_deadline`.
//! Therefore owners of a shard under two different epochs never act for the shard at the same time.
//! A sender that owns a shard under both its previous and its next epoch may need no hold on the shard.
//! A sender may keep a shard without a hold only if it owned the shard *in each epoch* between the compared epochs:
//!
//! - A change to the next epoch: the sender compares the owners under both epochs.
//! - Changes over several epochs: the sender replays the changes one by one, in the order in which they were made.
//!   A shard that this sender did not own after one of the changes is new to this sender.
//! - A full member list that skips epochs, or more changes than [`MAX_REPLAYED_CHANGES`]:
//!   the owners in the skipped epochs are unknown, so all shards are treated as new.
//!
//! # Order
//!
//! All messages of an order key are sent to one owner, the key's preferred owner of the shard ([`crate::Request`]).
//! There is no fallback: if the preferred owner rejects the message or can't be reached, the client is answered busy.
//! Another owner accepts messages of the key only after an epoch makes it the preferred owner and the hold has ended.
//! When the hold ends, each message of the key that the former owner accepted has its final outcome.
//! The owner checks the preference itself, by its own epoch, and rejects messages that prefer another owner.
//! Otherwise a forwarder on an older epoch could spread a key over two owners.
//! The cost of having no fallback: if the preferred owner is down, messages of the key are rejected.
//! The rejections end once an epoch without that owner has been received and the hold has ended.

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

/// Maximum number of changes that are replayed one by one. Each replay takes up to 5 ms with 15,000 seats.
pub const MAX_REPLAYED_CHANGES: usize = 32;

/// Which sender processes a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This sender processes the request: accepts it if [`Ownership::admission`] allows it, and otherwise answers busy.
    Local,
    /// One of these owners processes the request. [`crate::Forwarding`] sends the request, preferred owner first.
    /// An ordered request has only one owner.
    Forward(Vec<SeatId>),
    /// No member list has been received yet, or the destination has no owner.
    Unknown,
}

/// Whether this sender accepts a request as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// This sender accepts the request.
    Accepted,
    /// Another sender is the owner, or an ordered request prefers another owner.
    NotOwner,
    /// The request's shard or key is on hold: a former owner may still be delivering until this time.
    OnHold(Micros),
    /// The lease has expired, or no answer of a control agent has been received yet.
    LeaseExpired,
}

/// How a control agent's answer changed this sender's epoch and shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochUpdate {
    /// Epoch of the member list in force.
    pub epoch: u64,
    /// Whether the control agent's answer changed the epoch.
    pub changed: bool,
    /// The shards that this sender owns now and did not own before, in order.
    pub gained: Vec<ShardId>,
    /// The shards that this sender owned before and does not own now, in order.
    pub lost: Vec<ShardId>,
}

/// The state that is persisted in the state folder for the next process of this sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedPlacement {
    /// Epoch of the member list in force.
    pub epoch: u64,
    /// Digest of the member list in force, see [`MemberList::digest`].
    pub digest: u64,
    /// Whether all of this sender's holds on gained shards and keys had ended when the state was written.
    pub settled: bool,
    /// Greatest number of replicas among which a destination's rate limit may still be shared.
    pub replicas: usize,
    /// Destinations that are or were wide, each with the greatest width that senders may still use.
    pub wide: BTreeMap<i64, u16>,
}

/// The placement in force, and this sender's seat in that placement.
#[derive(Clone, Debug)]
struct View {
    placement: Arc<Placement>,
    seat: Option<SeatId>,
}

/// One sender's view of the placement: lease, member list in force, holds and routes.
#[derive(Clone, Debug)]
pub struct Ownership {
    name: String,
    /// This process's address for forwarded requests.
    /// With `None`, this sender's address in the member list is not checked.
    address: Option<SocketAddr>,
    times: LeaseTimes,
    lease: Lease,
    /// The placement state that this sender's previous process persisted.
    persisted: Option<PersistedPlacement>,
    view: Option<View>,
    holds: Holds,
    recent_sharing: RecentSharing,
}

impl Ownership {
    /// Creates the view of a sender that has received no member list yet.
    /// For `lease` and `longest_deadline`, see the fields of [`LeaseTimes`].
    /// The maximum delay of control agents (`agent_lag`) is 0 unless set by [`Self::with_agent_lag`].
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

    /// Sets the maximum delay of control agents, see [`LeaseTimes::agent_lag`].
    #[must_use]
    pub fn with_agent_lag(mut self, agent_lag: Micros) -> Self {
        self.times.agent_lag = agent_lag;
        self
    }

    /// Sets this process's address for forwarded requests.
    /// A member of the list with this sender's name but another address is a process that has replaced this process.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.address = Some(address);
        self
    }

    /// Sets the placement state that this sender's previous process persisted.
    #[must_use]
    pub fn with_persisted(mut self, persisted: Option<PersistedPlacement>) -> Self {
        self.persisted = persisted;
        self
    }

    /// Applies the control agent's answer, received at `now`, to the poll sent at `polled_at`.
    /// Any answer that confirms the epoch in force or leads to a later one renews the lease.
    ///
    /// # Errors
    /// Fails for an older epoch, another member list under the epoch in force, and changes that do not apply.
    /// After an error, the member list in force stays, and the lease is not renewed.
    pub fn apply_answer(
        &mut self,
        polled_at: Micros,
        now: Micros,
        answer: AgentAnswer,
    ) -> Result<EpochUpdate, ListError> {
        self.apply_answer_with(&mut UnsharedPlacements, polled_at, now, answer)
    }

    /// Like [`Self::apply_answer`], but takes tables from `placements`, which senders in one process may share.
    ///
    /// # Errors
    /// Fails in the cases in which [`Self::apply_answer`] fails.
    pub fn apply_answer_with(
        &mut self,
        placements: &mut impl PlacementSource,
        polled_at: Micros,
        now: Micros,
        answer: AgentAnswer,
    ) -> Result<EpochUpdate, ListError> {
        let update = match answer {
            AgentAnswer::Unchanged { epoch } => self.confirm_epoch(epoch)?,
            AgentAnswer::Full(list) => self.apply_full_list(placements, now, *list)?,
            AgentAnswer::Changes(changes) => self.apply_changes(placements, now, &changes)?,
        };
        self.lease.renew(polled_at.min(now));
        self.holds.prune(now);
        self.recent_sharing.prune(now);
        Ok(update)
    }

    /// Returns the epoch of the member list in force; `None` before the first list.
    pub fn epoch(&self) -> Option<u64> {
        self.list().map(MemberList::epoch)
    }

    /// Returns the member list in force; `None` before the first list.
    pub fn list(&self) -> Option<&MemberList> {
        self.placement().map(Placement::list)
    }

    /// Returns the member list in force together with its table of owners; `None` before the first list.
    pub fn placement(&self) -> Option<&Placement> {
        self.view.as_ref().map(|view| &*view.placement)
    }

    /// Returns the seat that this sender fills in the member list in force.
    pub fn seat(&self) -> Option<SeatId> {
        self.view.as_ref()?.seat
    }

    /// Returns whether this sender's lease is valid at `now`.
    pub fn lease_valid(&self, now: Micros) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the lease under which this sender accepts requests, for the metrics.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Returns the time at which the last hold ends; `None` if no shard or key is on hold.
    pub fn holds_end(&self, now: Micros) -> Option<Micros> {
        self.holds.last_end(now).max(self.recent_sharing.last_end(now))
    }

    /// Returns the placement state for this sender's next process. The caller persists it whenever it has changed.
    /// If replicas or widths have changed, the state must be on disk before this sender acts under the new member list.
    pub fn persisted_state(&self, now: Micros) -> Option<PersistedPlacement> {
        let list = self.list()?;
        Some(PersistedPlacement {
            epoch: list.epoch(),
            digest: list.digest(),
            settled: self.holds_end(now).is_none(),
            replicas: self.recent_sharing.max_replicas(list.replicas(), now),
            wide: self.recent_sharing.max_widths(list, now),
        })
    }

    /// Returns which sender processes a client's request.
    /// A request that another sender forwarded is never routed again: [`Self::admission`] accepts or rejects it.
    pub fn route(&self, now: Micros, request: &Request<'_>) -> Route {
        let Some(view) = &self.view else { return Route::Unknown };
        let spread_hash = request.spread_hash();
        let owners = view.owners(request.dest, spread_hash);
        if request.is_ordered() {
            return match preferred(owners, spread_hash) {
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
        let mut candidates = by_preference(owners, spread_hash);
        candidates.retain(|&owner| Some(owner) != view.seat);
        if candidates.is_empty() { Route::Local } else { Route::Forward(candidates) }
    }

    /// Returns whether this sender accepts a request, whether it comes from a client or from another sender.
    pub fn admission(&self, now: Micros, request: &Request<'_>) -> Admission {
        if !request.is_ordered() {
            return self.unordered_admission(now, request.dest);
        }
        let Some(view) = &self.view else { return Admission::LeaseExpired };
        let Some(seat) = view.seat else { return Admission::NotOwner };
        let spread_hash = request.spread_hash();
        let width = view.placement.list().width(request.dest);
        let shard = sub_shard(request.dest, part(spread_hash, width));
        if preferred(view.placement.owners(shard), spread_hash) != Some(seat) {
            return Admission::NotOwner;
        }
        let by_owners = self.holds.key_hold(shard, seat, spread_hash, now);
        let by_width = self.recent_sharing.key_hold(request.dest, width, spread_hash, now);
        self.admission_under_lease(now, by_owners.max(by_width))
    }

    /// Returns whether this sender accepts unordered requests for the destination.
    pub fn unordered_admission(&self, now: Micros, dest: i64) -> Admission {
        let Some(view) = &self.view else { return Admission::LeaseExpired };
        let owned = view.parts(dest).filter(|&part| view.seated().owns(sub_shard(dest, part)));
        let hold_ends = owned.map(|part| {
            let by_shard = self.holds.shard_hold(sub_shard(dest, part), now);
            by_shard.max(self.recent_sharing.part_hold(dest, part, now))
        });
        // `None` (no hold) is less than any hold end, so one owned shard that is not on hold is enough to accept.
        hold_ends.min().map_or(Admission::NotOwner, |hold_end| self.admission_under_lease(now, hold_end))
    }

    /// Returns whether this sender needs the endpoints of a destination.
    /// A sender that owns at least one shard of the destination needs the endpoints.
    /// So does a sender that has lost a shard of the destination and may still be delivering the shard's messages.
    /// The caller itself must retain the destinations of messages restored from the journal.
    pub fn needs_destination(&self, dest: i64) -> bool {
        let Some(view) = &self.view else { return false };
        let needs = |shard: ShardId| view.seated().owns(shard) || self.holds.recently_lost(shard);
        view.parts(dest).any(|part| needs(sub_shard(dest, part)))
    }

    /// Returns the number of owners that share a destination's limit equally.
    /// A former epoch with more owners determines the number as long as other senders may still act under that epoch.
    /// Before the first member list, the number of owners is the one that the previous process persisted.
    pub fn limit_sharers(&self, now: Micros, dest: i64) -> usize {
        match (self.list(), &self.persisted) {
            (Some(list), _) => self.recent_sharing.max_sharers(list, dest, now),
            (None, Some(last)) => last.replicas * usize::from(last.wide.get(&dest).copied().unwrap_or(1)),
            (None, None) => MAX_REPLICAS,
        }
    }

    fn admission_under_lease(&self, now: Micros, hold_end: Option<Micros>) -> Admission {
        match hold_end {
            _ if !self.lease.is_valid(now) => Admission::LeaseExpired,
            Some(until) => Admission::OnHold(until),
            None => Admission::Accepted,
        }
    }

    /// Handles a control agent's answer that the epoch in force is the latest.
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
        self.account_for_step(now, &before, &after);
        if !consecutive {
            self.holds.hold_all(self.hold_end(now));
        }
        Ok(self.activate(after))
    }

    /// Sets the holds for this process's first member list. All shards are put on hold, with two exceptions:
    /// the list is the first of a new fleet, or all holds of the previous process had ended under an identical list.
    fn hold_for_first_list(&mut self, now: Micros, list: &MemberList) -> Result<(), ListError> {
        let until = self.hold_end(now);
        if let Some(last) = &self.persisted {
            if list.epoch() < last.epoch {
                return Err(ListError::StaleEpoch { current: last.epoch, offered: list.epoch() });
            }
            self.recent_sharing.restore(last.replicas, &last.wide, until);
        }
        let settled_in_list = |last: &PersistedPlacement| {
            last.settled && last.epoch == list.epoch() && last.digest == list.digest()
        };
        if !list.is_first() && !self.persisted.as_ref().is_some_and(settled_in_list) {
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
            self.account_for_step(now, &before, &after);
        } else if !self.replay(placements, now, &before, &changes.changes) {
            self.account_for_step(now, &before, &after);
            self.holds.hold_all(self.hold_end(now));
        }
        Ok(self.activate(after))
    }

    /// Replays changes over several epochs one by one, and records the holds that each change causes.
    /// Returns false if there are more than [`MAX_REPLAYED_CHANGES`], or if one of the changes can't be applied alone.
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
        // Replayed changes get epochs from 0 on: their real epochs are unknown, as one epoch may have several changes.
        let mut before = Arc::new(before.with_epoch(0));
        for (since, change) in changes.iter().enumerate() {
            let since = since as u64;
            let single = Changes { epoch: since + 1, since, changes: vec![change.clone()] };
            let Ok(after) = placements.apply(&before, &single) else { return false };
            self.account_for_step(now, &before, &after);
            before = after;
        }
        true
    }

    /// Puts on hold the shards, keys and limit shares that this sender gains by the change from one epoch to the next.
    fn account_for_step(&mut self, now: Micros, before: &Placement, after: &Placement) {
        let until = self.hold_end(now);
        let [seated_before, seated_after] = [before, after].map(|placement| self.seated(placement));
        self.holds.advance(seated_before, seated_after, until);
        self.recent_sharing.advance(before.list(), after.list(), until);
    }

    /// Makes a placement the one in force for this sender.
    fn activate(&mut self, placement: Arc<Placement>) -> EpochUpdate {
        let before = self.view.as_ref().map(View::seated);
        let after = self.seated(&placement);
        let seat = after.seat;
        let OwnershipDiff { gained, lost } = OwnershipDiff::between(before, after);
        let update = EpochUpdate { epoch: placement.list().epoch(), changed: true, gained, lost };
        self.view = Some(View { placement, seat });
        update
    }

    fn seated<'a>(&self, placement: &'a Placement) -> SeatedPlacement<'a> {
        SeatedPlacement { placement, seat: self.seat_in(placement.list()) }
    }

    /// Returns the seat that this process fills in a member list.
    fn seat_in(&self, list: &MemberList) -> Option<SeatId> {
        let seat = list.seat_of(&self.name)?;
        let listed = list.member(seat)?.address();
        self.address.is_none_or(|own| own == listed).then_some(seat)
    }

    /// Returns the end of a hold that begins at `now`.
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

    /// Returns the owners of that shard of a destination that a request with this hash belongs to.
    fn owners(&self, dest: i64, spread_hash: u64) -> &[SeatId] {
        let part = part(spread_hash, self.placement.list().width(dest));
        self.placement.owners(sub_shard(dest, part))
    }
}
