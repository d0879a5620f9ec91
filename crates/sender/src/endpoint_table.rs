//! The endpoints as they were last listed, and how their names are numbered.

use embershore_protocol::listing::{ListedEndpoint, Listing};
use embershore_protocol::settings::Names;
use heronroute::{DestId, EndpointEntry, EndpointId, Status};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A gone endpoint keeps its number for this long, in case it is named again. Where endpoints are ever new, what
/// is kept of the gone ones is most of what is kept at all.
const GONE_RETENTION: Duration = Duration::from_secs(60);
/// A destination is known for this long after its last endpoint has gone.
const DESTINATION_RETENTION: Duration = Duration::from_secs(3600);
/// Destinations that are remembered beside those with an endpoint.
const MAX_DESTINATIONS: usize = 10_000;

/// An endpoint as last listed.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub dest: DestId,
    pub kind: usize,
    zone: usize,
    /// Listed, neither draining nor gone.
    pub ready: bool,
    gone: Option<Instant>,
}

impl Endpoint {
    /// It is in the list, whatever that says of it.
    pub fn listed(&self) -> bool {
        self.gone.is_none()
    }
}

/// All endpoints by number. A name keeps its number when it is listed again.
#[derive(Debug, Default)]
pub struct EndpointTable {
    names: Names,
    numbers: HashMap<String, EndpointId>,
    endpoints: HashMap<EndpointId, Endpoint>,
    /// The destinations, and when an endpoint of each was last named.
    destinations: HashMap<DestId, Instant>,
    last_number: u32,
}

impl EndpointTable {
    pub fn new(names: Names) -> Self {
        EndpointTable { names, ..EndpointTable::default() }
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub fn number(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied()
    }

    /// Endpoints in the list, whatever it says of them.
    pub fn listed(&self) -> usize {
        self.endpoints.values().filter(|e| e.listed()).count()
    }

    /// Whether the destination has an endpoint or had one not long ago.
    pub fn knows(&self, dest: DestId) -> bool {
        self.destinations.contains_key(&dest)
    }

    /// Takes a listing over and puts it into the module's words. What a whole list lacks is named as removed.
    pub fn apply(&mut self, listing: &Listing) -> Vec<EndpointEntry> {
        let now = Instant::now();
        let mut entries: Vec<EndpointEntry> =
            listing.endpoints.iter().map(|line| self.apply_line(line, now)).collect();
        if listing.snapshot {
            let named: HashSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            entries.extend(self.remove(now, |id, _| !named.contains(&id)));
        }
        let retained = |e: &Endpoint| e.gone.is_none_or(|t| now - t < GONE_RETENTION);
        self.numbers.retain(|_, id| self.endpoints.get(id).is_some_and(retained));
        self.endpoints.retain(|_, e| retained(e));
        for e in self.endpoints.values() {
            self.destinations.insert(e.dest, now);
        }
        if self.destinations.len() > MAX_DESTINATIONS {
            self.destinations.retain(|_, named| *named == now);
        }
        self.destinations.retain(|_, named| now - *named < DESTINATION_RETENTION);
        entries
    }

    /// Takes out the endpoints of all destinations that are not kept.
    pub fn remove_unless(&mut self, keeps: impl Fn(i64) -> bool) -> Vec<EndpointEntry> {
        self.remove(Instant::now(), |_, endpoint| !keeps(endpoint.dest.0)).collect()
    }

    /// Counts the listed endpoints that `unwanted` names as gone.
    fn remove(
        &mut self,
        now: Instant,
        unwanted: impl Fn(EndpointId, &Endpoint) -> bool,
    ) -> impl Iterator<Item = EndpointEntry> {
        let present = self.endpoints.iter_mut().filter(|(_, e)| e.listed());
        present.filter(move |(id, e)| unwanted(**id, e)).map(move |(id, e)| {
            (e.ready, e.gone) = (false, Some(now));
            let (endpoint, dest, kind, zone) = (*id, e.dest, e.kind, e.zone);
            EndpointEntry { endpoint, dest, status: Status::Removed, kind, zone, weight: None }
        })
    }

    fn apply_line(&mut self, line: &ListedEndpoint, now: Instant) -> EndpointEntry {
        let status = match line.status.as_str() {
            "Ready" => Status::Up,
            "Gone" => Status::Removed,
            "Terminating" => Status::Draining,
            // Nothing new goes where it is not known to be welcome; the rest of the list is good.
            other => {
                eprintln!("discovery: '{}' has the status '{other}', taken for Terminating", line.name);
                Status::Draining
            }
        };
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let (kind, zone) = (index(&self.names.kinds, &line.kind), index(&self.names.zones, &line.zone));
        let id = *self.numbers.entry(line.name.clone()).or_insert_with(|| {
            self.last_number += 1;
            EndpointId(self.last_number)
        });
        let dest = DestId(line.group);
        let gone = (status == Status::Removed).then_some(now);
        let (name, addr, ready) = (line.name.clone(), line.address.parse().ok(), status == Status::Up);
        self.endpoints.insert(id, Endpoint { name, addr, dest, kind, zone, ready, gone });
        EndpointEntry { endpoint: id, dest, status, kind, zone, weight: line.weight }
    }
}
