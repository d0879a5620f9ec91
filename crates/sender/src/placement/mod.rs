//! Placement in the daemon: this sender owns some destinations, and passes on what is for others'. Off without the
//! section `[placement]` of the operator's options; then nothing of this module exists.
//!
//! [`Placement`] is what the daemon's parts share: whose a message is, what is kept of the list of endpoints, and the
//! figures. `follow` keeps it up to date, `forward` passes messages on. The decisions are `embershore_placement`'s.

pub mod clock;
mod endpoint_list;
pub mod forward;
pub mod member_list;
pub mod metrics;
mod pending;
mod pool;
pub mod reader;
mod saved_state;

use embershore_placement::options::PlacementOptions;
use embershore_placement::{
    DEFAULT_WAIT_MS, Heard, MAX_REPLICAS, Ownership, Request, Route, SeatId, ShardId, Takes, sub_shard,
};
use embershore_protocol::listing::Listing;
use embershore_protocol::resp::Put;
use endpoint_list::EndpointList;
use heronroute::{ClassSettings, Effect, Micros, MsgId, Settings};
use metrics::{Counters, PlacementMetrics};
use pending::PendingMessages;
use saved_state::SavedState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// A message's time is told in whole milliseconds, and may be over its class's by one.
const DEADLINE_ROUNDING: Micros = 1_000;
/// A client is told to come again after this at most, however long a destination is on hold: other owners may have it.
const MAX_HOLD_WAIT_MS: u64 = 1_000;

/// What the routing of a message depends on in its class.
#[derive(Clone, Copy, Debug)]
struct ClassRule {
    effect: Effect,
    ordered: bool,
}

/// Where a client's message goes.
#[derive(Debug)]
pub enum Routing {
    /// To this sender's own driver, which may refuse it.
    Local,
    /// To one of these owners, the preferred one first.
    Forward(Forwarded),
    /// Nobody is known to own it.
    Unowned,
}

/// A message that others own.
#[derive(Debug)]
pub struct Forwarded {
    /// The owners, the preferred one first.
    pub candidates: Vec<SeatId>,
    /// Its class's effect.
    pub effect: Effect,
}

/// What the daemon's parts share while placement is on.
pub struct Placement {
    pub options: PlacementOptions,
    ownership: RefCell<Ownership>,
    /// Classes by name. One that a new configuration drops keeps its rule: clients hear of it later.
    classes: RefCell<HashMap<String, ClassRule>>,
    pending: RefCell<PendingMessages>,
    pub endpoint_list: EndpointList,
    pub counters: Counters,
    saved: SavedState,
    owned_shards: Cell<usize>,
    /// An answer of a control agent has come and is being read.
    reading: Cell<bool>,
    /// Owners among which the module shares a destination's limit.
    sharers: Cell<u32>,
}

impl Placement {
    /// A sender that has heard nothing yet.
    pub fn new(options: PlacementOptions, class_names: &[String], settings: &Settings, state: &Path) -> Self {
        let saved = SavedState::open(state);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let delivered_within = longest_deadline + DEADLINE_ROUNDING + settings.order_settle;
        let ownership = Ownership::new(&*options.name, options.lease, delivered_within)
            .with_agent_lag(options.agent_lag)
            .with_memory(saved.get());
        let placement = Placement {
            options,
            ownership: RefCell::new(ownership),
            classes: RefCell::default(),
            pending: RefCell::default(),
            endpoint_list: EndpointList::default(),
            counters: Counters::default(),
            saved,
            owned_shards: Cell::new(0),
            reading: Cell::new(false),
            sharers: Cell::new(MAX_REPLICAS as u32),
        };
        placement.update_classes(class_names.iter().zip(&settings.classes));
        placement
    }

    /// Takes over the classes of a configuration.
    pub fn update_classes<'a>(&self, classes: impl Iterator<Item = (&'a String, &'a ClassSettings)>) {
        let rule = |class: &ClassSettings| ClassRule { effect: class.effect, ordered: class.ordered };
        self.classes.borrow_mut().extend(classes.map(|(name, class)| (name.clone(), rule(class))));
    }

    /// Settles among how many owners the module shares a destination's limit: the most replicas that may still be acted upon,
    /// by the list in force or else by the last run, or that a list can name. It holds until the process ends.
    pub fn fix_sharers(&self) -> u32 {
        let known = self.ownership.borrow().remembered(clock::now()).or_else(|| self.saved.get());
        let replicas = known.map_or(MAX_REPLICAS, |remembered| remembered.replicas);
        let sharers = u32::try_from(replicas).unwrap_or(u32::MAX).max(1);
        self.sharers.set(sharers);
        sharers
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Option<u64> {
        self.ownership.borrow().epoch()
    }

    /// Whether an answer of a control agent has come and is being read.
    pub fn is_reading(&self) -> bool {
        self.reading.get()
    }

    /// Puts a view in force that was made of the one in force.
    fn put_in_force(&self, ownership: Ownership, heard: &Heard) {
        // Before anything is done under the new list.
        self.save(&ownership);
        let before = self.ownership.replace(ownership);
        self.owned_shards.set(self.owned_shards.get() + heard.gained.len() - heard.lost.len());
        self.endpoint_list.drop_shards(&heard.lost);
        if !heard.gained.is_empty() || wide_of(&before) != wide_of(&self.ownership.borrow()) {
            self.endpoint_list.request(heard.gained.iter().copied());
        }
    }

    /// Writes down what the next start has to know.
    fn remember(&self) {
        self.save(&self.ownership.borrow());
    }

    fn save(&self, ownership: &Ownership) {
        let Some(remembered) = ownership.remembered(clock::now()) else { return };
        if let Err(e) = self.saved.save(remembered) {
            eprintln!(
                "placement: the state folder can't be written: {e}; after a restart this sender waits as a new owner"
            );
        }
    }

    /// Where a client's message goes. One of an unknown class stays here: this sender says so itself.
    pub fn route(&self, put: &Put) -> Routing {
        let Some(rule) = self.rule_of(put) else { return Routing::Local };
        let route = self.ownership.borrow().route(clock::now(), &request_of(put, rule));
        match route {
            Route::Here => Routing::Local,
            Route::Forward(candidates) => Routing::Forward(Forwarded { candidates, effect: rule.effect }),
            Route::Unknown => Routing::Unowned,
        }
    }

    /// Why this sender's driver must not take a message on now: after how many milliseconds to come again.
    pub fn retry_after_ms(&self, put: &Put) -> Option<u64> {
        let rule = self.rule_of(put)?;
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        match ownership.admits(now, &request_of(put, rule)) {
            Takes::Yes
                if self.limit_shares_suffice(&ownership) && self.endpoints_known(&ownership, put.dest) =>
            {
                None
            }
            Takes::OnHold(until) => {
                let left_ms = u64::try_from((until - now) / 1000).unwrap_or(0);
                Some(left_ms.clamp(DEFAULT_WAIT_MS, MAX_HOLD_WAIT_MS))
            }
            Takes::Yes | Takes::NotOwner | Takes::LeaseExpired => Some(DEFAULT_WAIT_MS),
        }
    }

    /// Whether a destination that is not in the list of endpoints may only not have been read yet.
    pub fn awaits_endpoints(&self) -> bool {
        self.endpoint_list.is_requested()
    }

    /// Whether this sender keeps the destination from the list of endpoints.
    pub fn retains(&self, dest: i64) -> bool {
        self.ownership.borrow().keeps(dest) || self.pending.borrow().contains(dest)
    }

    /// Told limits of wide destinations are shared by more owners than the module reckons with: it is told this sender's part
    /// of them.
    pub fn scale_limits(&self, listing: &mut Listing) {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        for line in &mut listing.endpoints {
            let Some(limit) = &mut line.weight else { continue };
            let part = f64::from(self.sharers.get()) / ownership.sharers(now, line.group) as f64;
            *limit *= part.min(1.0);
        }
    }

    /// A message is held from now on; its destination is kept.
    pub fn add_pending(&self, id: MsgId, dest: i64) {
        self.pending.borrow_mut().insert(id, dest);
    }

    /// It is held no more.
    pub fn remove_pending(&self, id: MsgId) {
        self.pending.borrow_mut().remove(id);
    }

    /// Asks for the list of endpoints where messages are held whose destinations it was not kept for.
    pub fn request_pending_destinations(&self) {
        let ownership = self.ownership.borrow();
        if self.pending.borrow().destinations().any(|dest| !ownership.keeps(dest)) {
            self.endpoint_list.request([]);
        }
    }

    /// Where a member takes forwarded messages.
    fn address_of(&self, seat: SeatId) -> Option<SocketAddr> {
        let ownership = self.ownership.borrow();
        Some(ownership.list()?.member(seat)?.address())
    }

    /// What is told at the operators' door.
    pub fn metrics(&self) -> PlacementMetrics {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        let left_ms =
            |until: Option<Micros>| until.map_or(0, |until| u64::try_from((until - now) / 1000).unwrap_or(0));
        PlacementMetrics {
            epoch: ownership.epoch(),
            lease_left_ms: left_ms(ownership.lease().until()),
            owned_shards: self.owned_shards.get(),
            unread_shards: self.endpoint_list.unread(),
            on_hold_ms: left_ms(ownership.on_hold(now)),
            lists_refused: self.counters.lists_refused.get(),
            forwarded: self.counters.forwarded.snapshot(),
            taken_for_others: self.counters.taken_for_others.get(),
        }
    }

    fn rule_of(&self, put: &Put) -> Option<ClassRule> {
        self.classes.borrow().get(&put.class).copied()
    }

    /// Whether the module shares limits among as many owners as there are: a list with more replicas than at this process's
    /// start needs a restart.
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
    ownership.list().into_iter().flat_map(|list| list.wide()).collect()
}

fn request_of(put: &Put, rule: ClassRule) -> Request<'_> {
    let order_key = rule.ordered.then_some(&*put.order_key);
    Request { dest: put.dest, order_key, request_id: &put.request_id }
}
