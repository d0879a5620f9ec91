//! The table of endpoints by the latest endpoint list, and the numbers by which the dispatcher knows endpoints.

use embershore_protocol::listing::{ListedEndpoint, Listing};
use embershore_protocol::settings::Names;
use heronroute::{DestId, EndpointEntry, EndpointId, Status};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a gone endpoint keeps its number, in case a later endpoint list contains the endpoint again.
/// The time is short because gone endpoints make up most of the table where endpoints are replaced all the time.
const GONE_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a destination stays known after its last endpoint has gone.
const DESTINATION_RETENTION: Duration = Duration::from_secs(3600);
/// Number of destinations in the table above which destinations without an endpoint are dropped.
const MAX_DESTINATIONS: usize = 10_000;

/// An endpoint, as described in the latest endpoint list that contained it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub dest: DestId,
    pub kind: usize,
    zone: usize,
    /// Whether the endpoint's status in the endpoint list is ready: neither draining nor gone.
    pub ready: bool,
    gone_since: Option<Instant>,
}

impl Endpoint {
    /// Whether the endpoint is in the endpoint list, with whatever status.
    pub fn listed(&self) -> bool {
        self.gone_since.is_none()
    }
}

/// The endpoints by number. An endpoint that a later endpoint list contains under the same name keeps its number.
#[derive(Debug, Default)]
pub struct EndpointTable {
    names: Names,
    numbers: HashMap<String, EndpointId>,
    endpoints: HashMap<EndpointId, Endpoint>,
    /// The known destinations, each with the time at which the destination last had an endpoint.
    destinations: HashMap<DestId, Instant>,
    last_number: u32,
}

impl EndpointTable {
    /// Creates an empty table. `names` are the configuration's kinds and zones.
    pub fn new(names: Names) -> Self {
        EndpointTable { names, ..EndpointTable::default() }
    }

    /// Returns the endpoint with the number `id`, if the table has it.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the number of the endpoint named `name`, if the table has it.
    pub fn number(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied()
    }

    /// Returns a new number, which the endpoint named `name` has if the next listing contains it.
    pub fn reserve_number(&mut self, name: &str) -> EndpointId {
        self.last_number += 1;
        let number = EndpointId(self.last_number);
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Returns the number of endpoints in the endpoint list, with whatever status.
    pub fn listed(&self) -> usize {
        self.endpoints.values().filter(|e| e.listed()).count()
    }

    /// Whether the destination has an endpoint, or had one within [`DESTINATION_RETENTION`].
    pub fn knows(&self, dest: DestId) -> bool {
        self.destinations.contains_key(&dest)
    }

    /// Applies a listing and returns the changes for the dispatcher.
    /// Endpoints missing from a complete listing are returned as removed.
    pub fn apply(&mut self, listing: &Listing) -> Vec<EndpointEntry> {
        let now = Instant::now();
        let mut entries: Vec<EndpointEntry> =
            listing.endpoints.iter().map(|line| self.apply_line(line, now)).collect();
        if listing.snapshot {
            let named: HashSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            entries.extend(self.remove(now, |id, _| !named.contains(&id)));
        }
        let retained = |e: &Endpoint| e.gone_since.is_none_or(|t| now - t < GONE_RETENTION);
        self.numbers.retain(|_, id| self.endpoints.get(id).is_some_and(retained));
        self.endpoints.retain(|_, e| retained(e));
        for e in self.endpoints.values() {
            self.destinations.insert(e.dest, now);
        }
        if self.destinations.len() > MAX_DESTINATIONS {
            self.destinations.retain(|_, last_present| *last_present == now);
        }
        self.destinations.retain(|_, last_present| now - *last_present < DESTINATION_RETENTION);
        entries
    }

    /// Removes the endpoints of destinations for which `retain` returns false.
    pub fn retain_destinations(&mut self, retain: impl Fn(i64) -> bool) -> Vec<EndpointEntry> {
        self.remove(Instant::now(), |_, endpoint| !retain(endpoint.dest.0)).collect()
    }

    /// Sets the status of those endpoints to gone for which `unwanted` returns true.
    fn remove(
        &mut self,
        now: Instant,
        unwanted: impl Fn(EndpointId, &Endpoint) -> bool,
    ) -> impl Iterator<Item = EndpointEntry> {
        let present = self.endpoints.iter_mut().filter(|(_, e)| e.listed());
        present.filter(move |(id, e)| unwanted(**id, e)).map(move |(id, e)| {
            (e.ready, e.gone_since) = (false, Some(now));
            let (endpoint, dest, kind, zone) = (*id, e.dest, e.kind, e.zone);
            EndpointEntry { endpoint, dest, status: Status::Removed, kind, zone, weight: None }
        })
    }

    fn apply_line(&mut self, line: &ListedEndpoint, now: Instant) -> EndpointEntry {
        let status = match line.status.as_str() {
            "Ready" => Status::Up,
            "Gone" => Status::Removed,
            "Terminating" => Status::Draining,
            // No new message is sent to an endpoint of unknown status; the rest of the listing is used.
            other => {
                eprintln!(
                    "discovery: endpoint '{}' has the unknown status '{other}' (expected Ready, Terminating or Gone); \
                     treated as Terminating",
                    line.name
                );
                Status::Draining
            }
        };
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let (kind, zone) = (index(&self.names.kinds, &line.kind), index(&self.names.zones, &line.zone));
        let id = self.number(&line.name).unwrap_or_else(|| self.reserve_number(&line.name));
        let dest = DestId(line.group);
        let gone_since = (status == Status::Removed).then_some(now);
        let (name, addr, ready) = (line.name.clone(), line.address.parse().ok(), status == Status::Up);
        self.endpoints.insert(id, Endpoint { name, addr, dest, kind, zone, ready, gone_since });
        EndpointEntry { endpoint: id, dest, status, kind, zone, weight: line.weight }
    }
}
