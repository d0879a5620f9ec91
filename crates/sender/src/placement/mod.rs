//! Placement in the daemon: this sender owns some destinations, and passes on what is for others'. Off without the
//! section `[placement]` of the operator's options; then nothing of this module exists.
//!
//! [`Placement`] is what the daemon's parts share: whose a message is, what is kept of the list of endpoints, and the
//! figures. `follow` keeps it up to date, `forward` passes messages on. The decisions are `embershore_placement`'s.

pub mod clock;
mod endpoint_list;
pub mod figures;
pub mod follow;
pub mod forward;
mod held;
mod memory;
mod pool;
pub mod reader;

use embershore_placement::options::PlacementOptions;
use embershore_placement::{
    Admission, DEFAULT_WAIT_MS, EpochUpdate, MAX_REPLICAS, Ownership, Request, Route, SeatId, ShardId,
    sub_shard,
};
use embershore_protocol::listing::Listing;
use embershore_protocol::resp::Put;
use endpoint_list::EndpointList;
use figures::{Counters, PlacementFigures};
use held::HeldMessages;
use heronroute::{ClassSettings, Effect, Micros, MsgId, Settings};
use memory::Memory;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// A message's time is told in whole milliseconds, and may be over its class's by one.
const DEADLINE_ROUNDING: Micros = 1_000;
/// A client is told to come again after this at most, however long a destination is on hold: other owners may have it.
const HOLD_WAIT_MOST_MS: u64 = 1_000;

/// What the routing of a message depends on in its class.
#[derive(Clone, Copy, Debug)]
struct ClassRule {
    effect: Effect,
    ordered: bool,
}

/// Where a client's message goes.
#[derive(Debug)]
pub enum Destination {
    /// To this sender's own driver, which may refuse it.
    Here,
    /// To one of these owners, the preferred one first.
    Forward(Forwarded),
    /// Nobody is known to own it.
    Nowhere,
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
    held: RefCell<HeldMessages>,
    pub endpoint_list: EndpointList,
    pub counters: Counters,
    memory: Memory,
    owned_shards: Cell<usize>,
    /// An answer of a control agent has come and is being read.
    reading: Cell<bool>,
    /// Owners among which the module shares a destination's limit.
    sharers: Cell<u32>,
}

impl Placement {
    /// A sender that has heard nothing yet.
    pub fn new(options: PlacementOptions, class_names: &[String], settings: &Settings, state: &Path) -> Self {
        let memory = Memory::open(state);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let delivered_within = longest_deadline + DEADLINE_ROUNDING + settings.order_settle;
        let ownership = Ownership::new(&*options.name, options.lease, delivered_within)
            .with_agent_lag(options.agent_lag)
            .with_persisted(memory.get());
        let placement = Placement {
            options,
            ownership: RefCell::new(ownership),
            classes: RefCell::default(),
            held: RefCell::default(),
            endpoint_list: EndpointList::default(),
            counters: Counters::default(),
            memory,
            owned_shards: Cell::new(0),
            reading: Cell::new(false),
            sharers: Cell::new(MAX_REPLICAS as u32),
        };
        placement.take_classes(class_names.iter().zip(&settings.classes));
        placement
    }

    /// Takes over the classes of a configuration.
    pub fn take_classes<'a>(&self, classes: impl Iterator<Item = (&'a String, &'a ClassSettings)>) {
        let rule = |class: &ClassSettings| ClassRule { effect: class.effect, ordered: class.ordered };
        self.classes.borrow_mut().extend(classes.map(|(name, class)| (name.clone(), rule(class))));
    }

    /// Settles among how many owners the module shares a destination's limit: the most replicas that may still be acted upon,
    /// by the list in force or else by the last run, or that a list can name. It holds until the process ends.
    pub fn settle_sharers(&self) -> u32 {
        let known = self.ownership.borrow().persisted_state(clock::now()).or_else(|| self.memory.get());
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
    fn put_in_force(&self, ownership: Ownership, heard: &EpochUpdate) {
        // Before anything is done under the new list.
        self.write_down(&ownership);
        let before = self.ownership.replace(ownership);
        self.owned_shards.set(self.owned_shards.get() + heard.gained.len() - heard.lost.len());
        self.endpoint_list.forget(&heard.lost);
        if !heard.gained.is_empty() || wide_of(&before) != wide_of(&self.ownership.borrow()) {
            self.endpoint_list.want(heard.gained.iter().copied());
        }
    }

    /// Writes down what the next start has to know.
    fn remember(&self) {
        self.write_down(&self.ownership.borrow());
    }

    fn write_down(&self, ownership: &Ownership) {
        let Some(remembered) = ownership.persisted_state(clock::now()) else { return };
        if let Err(e) = self.memory.keep(remembered) {
            eprintln!(
                "placement: the state folder can't be written: {e}; after a restart this sender waits as a new owner"
            );
        }
    }

    /// Where a client's message goes. One of an unknown class stays here: this sender says so itself.
    pub fn route(&self, put: &Put) -> Destination {
        let Some(rule) = self.rule_of(put) else { return Destination::Here };
        let route = self.ownership.borrow().route(clock::now(), &request_of(put, rule));
        match route {
            Route::Local => Destination::Here,
            Route::Forward(candidates) => Destination::Forward(Forwarded { candidates, effect: rule.effect }),
            Route::Unknown => Destination::Nowhere,
        }
    }

    /// Why this sender's driver must not take a message on now: after how many milliseconds to come again.
    pub fn refuses(&self, put: &Put) -> Option<u64> {
        let rule = self.rule_of(put)?;
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        match ownership.admission(now, &request_of(put, rule)) {
            Admission::Accepted
                if self.shares_enough(&ownership) && self.endpoints_known(&ownership, put.dest) =>
            {
                None
            }
            Admission::OnHold(until) => {
                let left_ms = u64::try_from((until - now) / 1000).unwrap_or(0);
                Some(left_ms.clamp(DEFAULT_WAIT_MS, HOLD_WAIT_MOST_MS))
            }
            Admission::Accepted | Admission::NotOwner | Admission::LeaseExpired => Some(DEFAULT_WAIT_MS),
        }
    }

    /// Whether a destination that is not in the list of endpoints may only not have been read yet.
    pub fn awaits_endpoints(&self) -> bool {
        self.endpoint_list.is_wanted()
    }

    /// Whether this sender keeps the destination from the list of endpoints.
    pub fn keeps(&self, dest: i64) -> bool {
        self.ownership.borrow().needs_destination(dest) || self.held.borrow().contains(dest)
    }

    /// Told limits of wide destinations are shared by more owners than the module reckons with: it is told this sender's part
    /// of them.
    pub fn scale_limits(&self, listing: &mut Listing) {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        for line in &mut listing.endpoints {
            let Some(limit) = &mut line.weight else { continue };
            let part = f64::from(self.sharers.get()) / ownership.limit_sharers(now, line.group) as f64;
            *limit *= part.min(1.0);
        }
    }

    /// A message is held from now on; its destination is kept.
    pub fn hold(&self, id: MsgId, dest: i64) {
        self.held.borrow_mut().insert(id, dest);
    }

    /// It is held no more.
    pub fn release(&self, id: MsgId) {
        self.held.borrow_mut().remove(id);
    }

    /// Asks for the list of endpoints where messages are held whose destinations it was not kept for.
    pub fn want_held_destinations(&self) {
        let ownership = self.ownership.borrow();
        if self.held.borrow().destinations().any(|dest| !ownership.needs_destination(dest)) {
            self.endpoint_list.want([]);
        }
    }

    /// Where a member takes forwarded messages.
    fn address_of(&self, seat: SeatId) -> Option<SocketAddr> {
        let ownership = self.ownership.borrow();
        Some(ownership.list()?.member(seat)?.address())
    }

    /// What is told at the operators' door.
    pub fn figures(&self) -> PlacementFigures {
        let (ownership, now) = (self.ownership.borrow(), clock::now());
        let left_ms =
            |until: Option<Micros>| until.map_or(0, |until| u64::try_from((until - now) / 1000).unwrap_or(0));
        PlacementFigures {
            epoch: ownership.epoch(),
            lease_left_ms: left_ms(ownership.lease().expires_at()),
            owned_shards: self.owned_shards.get(),
            unread_shards: self.endpoint_list.unread(),
            on_hold_ms: left_ms(ownership.holds_end(now)),
            lists_refused: self.counters.lists_refused.get(),
            forwarded: self.counters.forwarded.tell(),
            taken_for_others: self.counters.taken_for_others.get(),
        }
    }

    fn rule_of(&self, put: &Put) -> Option<ClassRule> {
        self.classes.borrow().get(&put.class).copied()
    }

    /// Whether the module shares limits among as many owners as there are: a list with more replicas than at this process's
    /// start needs a restart.
    fn shares_enough(&self, ownership: &Ownership) -> bool {
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
