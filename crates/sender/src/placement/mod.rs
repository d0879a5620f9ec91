//! Placement in the daemon: this sender owns some destinations and forwards messages for the others to their owners.
//! Without the section `[placement]` of the operator's options, placement is off and no object of this module exists.
//!
//! The daemon's components share a [`Placement`], which decides who owns a message and which endpoints are stored.
//! A [`Placement`] also holds the metrics of placement. The module `member_list` updates the [`Placement`].
//! The module `forward` forwards messages. The rules of placement are in the crate `embershore_placement`.

pub mod clock;
mod connection_limit;
mod endpoint_list;
pub mod forward;
pub mod member_list;
pub mod metrics;
mod pending;
pub mod reader;
mod saved_state;

use embershore_placement::options::PlacementOptions;
use embershore_placement::{
    Admission, DEFAULT_WAIT_MS, EpochUpdate, MAX_REPLICAS, Ownership, Request, Route, SeatId, ShardId,
    sub_shard,
};
use embershore_protocol::listing::Listing;
use embershore_protocol::resp::Put;
use endpoint_list::ListRereads;
use heronroute::{ClassSettings, Effect, Micros, MsgId, Settings};
use metrics::{Counters, PlacementMetrics};
use pending::PendingMessages;
use saved_state::SavedState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Clients send a message's remaining time in whole milliseconds, which may exceed the class's deadline by 1 ms.
const DEADLINE_ROUNDING: Micros = 1_000;
/// Longest retry time sent to a client. A hold may last longer, but another owner may accept the message.
const MAX_HOLD_WAIT_MS: u64 = 1_000;

/// The properties of a class on which the routing of its messages depends.
#[derive(Clone, Copy, Debug)]
struct ClassRule {
    effect: Effect,
    ordered: bool,
}

/// The route of a client's message.
#[derive(Debug)]
pub enum Routing {
    /// The message goes to this sender's own driver, which may refuse the message.
    Local,
    /// The message is forwarded to one of the given candidate owners.
    Forward(Forwarded),
    /// No owner of the message's destination is known; the client is to retry.
    Unowned,
}

/// The owners of a message that this sender does not own.
#[derive(Debug)]
pub struct Forwarded {
    /// The owners of the message's destination, the preferred owner first.
    pub candidates: Vec<SeatId>,
    /// The effect of the message's class: safe, keyed or unsafe.
    pub effect: Effect,
}

/// The state of placement, shared by the daemon's components.
pub struct Placement {
    pub options: PlacementOptions,
    ownership: RefCell<Ownership>,
    /// Rules of the classes by name. A class that a reload drops is retained: clients may be reconfigured later.
    classes: RefCell<HashMap<String, ClassRule>>,
    pending: RefCell<PendingMessages>,
    pub endpoint_list: ListRereads,
    pub counters: Counters,
    saved: SavedState,
    owned_shards: Cell<usize>,
    /// Whether a control agent's response is being processed.
    reading: Cell<bool>,
    /// Number of owners among which the dispatcher shares a destination's limit.
    sharers: Cell<u32>,
}

impl Placement {
    /// Creates the placement state of a sender that has no member list yet.
    pub fn new(options: PlacementOptions, class_names: &[String], settings: &Settings, state: &Path) -> Self {
        let saved = SavedState::open(state);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let delivered_within = longest_deadline + DEADLINE_ROUNDING + settings.order_settle;
        let ownership = Ownership::new(&*options.name, options.lease, delivered_within)
            .with_agent_lag(options.agent_lag)
            .with_persisted(saved.get());
        let placement = Placement {
            options,
            ownership: RefCell::new(ownership),
            classes: RefCell::default(),
            pending: RefCell::default(),
            endpoint_list: ListRereads::default(),
            counters: Counters::default(),
            saved,
            owned_shards: Cell::new(0),
            reading: Cell::new(false),
            sharers: Cell::new(MAX_REPLICAS as u32),
        };
        placement.update_classes(class_names.iter().zip(&settings.classes));
        placement
    }

    /// Adds or updates the routing rules for the classes of a configuration.
    pub fn update_classes<'a>(&self, classes: impl Iterator<Item = (&'a String, &'a ClassSettings)>) {
        let rule = |class: &ClassSettings| ClassRule { effect: class.effect, ordered: class.ordered };
        self.classes.borrow_mut().extend(classes.map(|(name, class)| (name.clone(), rule(class))));
    }

    /// Fixes the number of owners among which the dispatcher shares a destination's limit, until the process ends.
    /// With a member list in force, the number is the largest number of replicas that may still be in effect.
    /// Without a member list, the number is taken from the previous process's saved state.
    /// Without a saved state, the number is the largest number of replicas that a member list can have.
    pub fn fix_sharers(&self) -> u32 {
        let known = self.ownership.borrow().persisted_state(clock::now()).or_else(|| self.saved.get());
        let replicas = known.map_or(MAX_REPLICAS, |state| state.replicas);
        let sharers = u32::try_from(replicas).unwrap_or(u32::MAX).max(1);
        self.sharers.set(sharers);
        sharers
    }

    /// Returns the epoch of the member list in force; None before the first member list.
    pub fn epoch(&self) -> Option<u64> {
        self.ownership.borrow().epoch()
    }

    /// Whether a control agent's response is being processed.
    pub fn is_reading(&self) -> bool {
        self.reading.get()
    }

    /// Puts in force a new ownership of shards, which was derived from the current ownership.
    fn put_in_force(&self, ownership: Ownership, update: &EpochUpdate) {
        // The new ownership is saved before anything is done under the new member list.
        self.save(&ownership);
        let before = self.ownership.replace(ownership);
        self.owned_shards.set(self.owned_shards.get() + update.gained.len() - update.lost.len());
        self.endpoint_list.drop_shards(&update.lost);
        if !update.gained.is_empty() || wide_of(&before) != wide_of(&self.ownership.borrow()) {
            self.endpoint_list.request(update.gained.iter().copied());
        }
    }

    /// Saves the placement state for the sender's next start.
    fn save_for_restart(&self) {
        self.save(&self.ownership.borrow());
    }

    fn save(&self, ownership: &Ownership) {
        let Some(state) = ownership.persisted_state(clock::now()) else { return };
        if let Err(e) = self.saved.save(state) {
            eprintln!(
                "placement: writing placement.json to the state folder failed: {e}; after a restart this sender waits \
                 as a new owner"
            );
        }
    }

    /// Returns the route of a client's message. A message of an unknown class is local, and the driver rejects it.
    pub fn route(&self, put: &Put) -> Routing {
        let Some(rule) = self.rule_of(put) else { return Routing::Local };
        let route = self.ownership.borrow().route(clock::now(), &request_of(put, rule));
        match route {
            Route::Local => Routing::Local,
            Route::Forward(candidates) => Routing::Forward(Forwarded { candidates, effect: rule.effect }),
            Route::Unknown => Routing::Unowned,
        }
    }

    /// Returns the retry time in milliseconds if this sender must not accept the message now.
    /// A message is not accepted if this sender does not own the destination or the lease has expired.
    /// A message is also not accepted while its destination is on hold or its destination's endpoints are unknown.
    pub fn retry_after_ms(&self, put: &Put) -> Option<u64> {
        let rule = self.rule_of(put)?;
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        match ownership.admission(now, &request_of(put, rule)) {
            Admission::Accepted
                if self.limit_shares_suffice(&ownership) && self.endpoints_known(&ownership, put.dest) =>
            {
                None
            }
            Admission::OnHold(until) => {
                let left_ms = u64::try_from((until - now) / 1000).unwrap_or(0);
                Some(left_ms.clamp(DEFAULT_WAIT_MS, MAX_HOLD_WAIT_MS))
            }
            Admission::Accepted | Admission::NotOwner | Admission::LeaseExpired => Some(DEFAULT_WAIT_MS),
        }
    }

    /// Whether an unknown destination may have endpoints in the endpoint list that have not been read yet.
    pub fn awaits_endpoints(&self) -> bool {
        self.endpoint_list.is_requested()
    }

    /// Whether this sender stores the destination's endpoints.
    pub fn retains(&self, dest: i64) -> bool {
        self.ownership.borrow().needs_destination(dest) || self.pending.borrow().contains(dest)
    }

    /// Scales the advertised limits of wide destinations, which more owners share than the dispatcher assumes.
    pub fn scale_limits(&self, listing: &mut Listing) {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        for line in &mut listing.endpoints {
            let Some(limit) = &mut line.weight else { continue };
            let part = f64::from(self.sharers.get()) / ownership.limit_sharers(now, line.group) as f64;
            *limit *= part.min(1.0);
        }
    }

    /// Records an open message. Its destination is retained until the message ends.
    pub fn add_pending(&self, id: MsgId, dest: i64) {
        self.pending.borrow_mut().insert(id, dest);
    }

    /// Records that a message has ended, so that its destination need not be retained for this message.
    pub fn remove_pending(&self, id: MsgId) {
        self.pending.borrow_mut().remove(id);
    }

    /// Requests the complete endpoint list if the endpoints for any open message were not stored from the list.
    pub fn request_pending_destinations(&self) {
        let ownership = self.ownership.borrow();
        if self.pending.borrow().destinations().any(|dest| !ownership.needs_destination(dest)) {
            self.endpoint_list.request([]);
        }
    }

    /// Returns the address at which a member accepts forwarded messages.
    fn address_of(&self, seat: SeatId) -> Option<SocketAddr> {
        let ownership = self.ownership.borrow();
        Some(ownership.list()?.member(seat)?.address())
    }

    /// Returns the metrics of placement.
    pub fn metrics(&self) -> PlacementMetrics {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        let left_ms =
            |until: Option<Micros>| until.map_or(0, |until| u64::try_from((until - now) / 1000).unwrap_or(0));
        PlacementMetrics {
            epoch: ownership.epoch(),
            lease_left_ms: left_ms(ownership.lease().expires_at()),
            owned_shards: self.owned_shards.get(),
            unread_shards: self.endpoint_list.unread(),
            on_hold_ms: left_ms(ownership.holds_end(now)),
            lists_refused: self.counters.lists_refused.get(),
            forwarded: self.counters.forwarded.snapshot(),
            taken_for_others: self.counters.taken_for_others.get(),
        }
    }

    fn rule_of(&self, put: &Put) -> Option<ClassRule> {
        self.classes.borrow().get(&put.class).copied()
    }

    /// Whether the dispatcher shares limits among at least as many owners as the member list has replicas.
    /// A member list with more replicas than at this process's start needs a restart.
    fn limit_shares_suffice(&self, ownership: &Ownership) -> bool {
        ownership.list().is_some_and(|list| list.replicas() <= self.sharers.get() as usize)
    }

    fn endpoints_known(&self, ownership: &Ownership, dest: i64) -> bool {
        let width = ownership.list().map_or(1, |list| list.width(dest));
        let mut shards = (0..width).map(|part| -> ShardId { sub_shard(dest, part) });
        shards.all(|shard| self.endpoint_list.is_read(shard))
    }
}

fn wide_of(ownership: &Ownership) -> Vec<(i64, u16)> {
    ownership.list().into_iter().flat_map(|list| list.wide_destinations()).collect()
}

fn request_of(put: &Put, rule: ClassRule) -> Request<'_> {
    let order_key = rule.ordered.then_some(&*put.order_key);
    Request { dest: put.dest, order_key, request_id: &put.request_id }
}
