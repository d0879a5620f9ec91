//! Stand-in receivers: loopback endpoints that process and answer calls in simulated time, and fail as events define.
//! Each endpoint listens on a separate address for each sender, so that every connection identifies its sender.

mod endpoint;
mod fault;
mod first_byte;
mod keys;
mod load;
mod replacement;
mod request;

use super::World;
use super::directory::{Change, Directory};
use crate::scenario::Receiver as Spec;
use crate::span::Micros;
use embershore_protocol::listing::ListedEndpoint;
use endpoint::Endpoint;
use load::Lane;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::rc::Rc;

/// A stand-in receiver with its endpoints and state.
struct Receiver {
    spec: Spec,
    index: usize,
    separate_routes: bool,
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    lanes: RefCell<HashMap<Option<String>, Lane>>,
    keys: RefCell<HashSet<String>>,
    key_order: RefCell<VecDeque<(Micros, String)>>,
    opened_endpoints: Cell<u32>,
}

/// All stand-in receivers of a rehearsal.
pub struct Receivers {
    world: Rc<World>,
    directory: Rc<Directory>,
    all: Vec<Rc<Receiver>>,
    /// Number that the next applied fault gets.
    next_fault: Cell<u64>,
}

impl Receivers {
    pub fn start(world: Rc<World>, directory: Rc<Directory>) -> Rc<Receivers> {
        let make = |(index, spec): (usize, &Spec)| {
            Rc::new(Receiver {
                spec: spec.clone(),
                index,
                separate_routes: world.scenario.parameters.receivers[index].separate_routes,
                endpoints: RefCell::default(),
                lanes: RefCell::default(),
                keys: RefCell::default(),
                key_order: RefCell::default(),
                opened_endpoints: Cell::new(0),
            })
        };
        let all = world.scenario.receivers.iter().enumerate().map(make).collect();
        Rc::new(Receivers { world, directory, all, next_fault: Cell::new(0) })
    }

    /// Opens all endpoints of the receivers and publishes them in the directory.
    pub async fn open_all(self: &Rc<Self>) -> io::Result<()> {
        for receiver in &self.all {
            let mut changes = Vec::new();
            for _ in 0..receiver.spec.endpoints {
                let endpoint = self.open(receiver).await?;
                changes.push(self.change(receiver, &endpoint, "Ready"));
            }
            self.directory.publish(&changes);
        }
        Ok(())
    }

    /// Returns the change that lists the endpoint in the directory with the given status.
    fn change(&self, receiver: &Receiver, endpoint: &Endpoint, status: &str) -> Change {
        let scenario = &self.world.scenario;
        let listed = ListedEndpoint {
            name: endpoint.name.clone(),
            address: String::new(),
            zone: scenario.network.zones[endpoint.zone].clone(),
            kind: scenario.kinds[receiver.spec.kind].name.clone(),
            group: receiver.spec.number,
            status: status.into(),
            weight: Some(scenario.parameters.receivers[receiver.index].rate),
        };
        Change { endpoint: listed, addresses: endpoint.addresses.clone() }
    }
}
