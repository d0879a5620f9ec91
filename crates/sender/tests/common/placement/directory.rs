//! A stand-in for the directory.
//! The directory serves each sender the endpoints of all destinations, at addresses for that sender only.
//! The directory also receives the senders' notices.

use super::http::{self, Body};
use super::ledger::Ledger;
use bytes::Bytes;
use embershore_rehearsal::history::{EndpointStatus, Event, NoticeState};
use http_body_util::{BodyExt, channel::Channel};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Index of the directory's first endpoint list.
const FIRST_INDEX: u64 = 7;
/// How often a watch without changes sends an empty line as a heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Maximum number of chunks that are queued for writing on one watch.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Number of generations of endpoints: the endpoints of the first endpoint list, and their replacements.
pub const GENERATIONS: usize = 2;

/// The directory's entry for one endpoint.
#[derive(Clone, Debug)]
struct Entry {
    destination: i64,
    generation: usize,
    status: EndpointStatus,
    index: u64,
}

/// Addresses at which one sender reaches the endpoints, by generation of the endpoint.
pub type Addresses = [SocketAddr; GENERATIONS];

/// A notice that returns a message to its client.
#[derive(Clone, Debug)]
pub struct Returned {
    pub id: String,
    pub after_ms: Option<u64>,
}

/// The directory that serves all senders.
pub struct Directory {
    ledger: Rc<Ledger>,
    entries: RefCell<Vec<Entry>>,
    index: watch::Sender<u64>,
    returned: mpsc::UnboundedSender<Returned>,
}

#[derive(Deserialize)]
struct Notice {
    id: String,
    state: NoticeState,
    after_ms: Option<u64>,
}

/// Returns the name of a destination's endpoint of the given generation.
pub fn endpoint_name(destination: i64, generation: usize) -> String {
    format!("d{destination}-{generation}")
}

impl Directory {
    /// Creates a directory that lists one endpoint for each destination.
    /// Also returns the queue on which clients receive returned messages.
    /// The number of messages that the clients put is the maximum length of the queue of returned messages.
    pub fn new(ledger: Rc<Ledger>, destinations: i64) -> (Rc<Self>, mpsc::UnboundedReceiver<Returned>) {
        let entry = |destination| Entry {
            destination,
            generation: 0,
            status: EndpointStatus::Ready,
            index: FIRST_INDEX,
        };
        let entries: Vec<Entry> = (1..=destinations).map(entry).collect();
        for e in &entries {
            let endpoint = endpoint_name(e.destination, e.generation);
            ledger.record(Event::Endpoint { endpoint, receiver: e.destination, zone: "a".into() });
        }
        let (returned, queue) = mpsc::unbounded_channel();
        let (index, entries) = (watch::Sender::new(FIRST_INDEX), RefCell::new(entries));
        (Rc::new(Directory { ledger, entries, index, returned }), queue)
    }

    /// Starts the server with which the directory serves one sender, and returns the server's address.
    pub async fn listen(self: &Rc<Self>, sender: usize, addresses: Addresses) -> SocketAddr {
        let directory = self.clone();
        http::serve(move |request| directory.clone().answer(sender, addresses, request)).await
    }

    /// Lists a new endpoint for a destination and drains the destination's present endpoint.
    pub fn replace(&self, destination: i64) {
        let index = self.index.borrow().to_owned() + 1;
        let mut entries = self.entries.borrow_mut();
        let old = entries.iter_mut().find(|e| e.destination == destination).unwrap();
        (old.status, old.index) = (EndpointStatus::Terminating, index);
        let generation = old.generation + 1;
        assert!(
            generation < GENERATIONS,
            "the endpoint of destination {destination} was already replaced once"
        );
        entries.push(Entry { destination, generation, status: EndpointStatus::Ready, index });
        drop(entries);
        let endpoint = endpoint_name(destination, generation);
        self.ledger.record(Event::Endpoint { endpoint, receiver: destination, zone: "a".into() });
        self.index.send_replace(index);
    }

    async fn answer(
        self: Rc<Self>,
        sender: usize,
        addresses: Addresses,
        request: Request<Incoming>,
    ) -> Response<Body> {
        if request.method() == Method::POST {
            return self.take_notices(sender, request).await;
        }
        if request.uri().path() != "/v1/servers" {
            return http::empty(404);
        }
        if !request.uri().query().unwrap_or_default().contains("follow") {
            return http::with_body(200, self.listing(sender, addresses, None).to_string());
        }
        let since = http::query_number(&request, "since").filter(|s| *s >= FIRST_INDEX);
        let (chunks, body) = Channel::new(MAX_QUEUED_CHUNKS);
        tokio::task::spawn_local(self.follow(sender, addresses, since, chunks));
        Response::new(body.boxed())
    }

    async fn follow(
        self: Rc<Self>,
        sender: usize,
        addresses: Addresses,
        mut known: Option<u64>,
        mut out: http_body_util::channel::Sender<Bytes, Infallible>,
    ) {
        let mut changed = self.index.subscribe();
        let mut first = true;
        loop {
            let index = *changed.borrow_and_update();
            let text = if first || known != Some(index) {
                format!("{}\n", self.listing(sender, addresses, known))
            } else {
                "\n".to_string()
            };
            (known, first) = (Some(index), false);
            if out.send_data(text.into()).await.is_err() {
                return;
            }
            _ = tokio::time::timeout(HEARTBEAT, changed.changed()).await;
        }
    }

    /// Returns the endpoint listing for one sender: the full list, or the changes since an index.
    fn listing(&self, sender: usize, addresses: Addresses, since: Option<u64>) -> Value {
        let (entries, index) = (self.entries.borrow(), *self.index.borrow());
        let changed_entries: Vec<&Entry> =
            entries.iter().filter(|e| since.is_none_or(|s| e.index > s)).collect();
        let reported =
            changed_entries.iter().map(|e| (endpoint_name(e.destination, e.generation), e.status)).collect();
        self.ledger.record(Event::Listing { sender, index, complete: since.is_none(), endpoints: reported });
        let line = |e: &&Entry| {
            let addr = addresses[e.generation];
            let name = endpoint_name(e.destination, e.generation);
            crate::common::listed_endpoint(&name, addr, "one", e.destination, status_name(e.status))
        };
        let endpoints: Vec<Value> = changed_entries.iter().map(line).collect();
        json!({"index": index, "snapshot": since.is_none(), "endpoints": endpoints})
    }

    async fn take_notices(&self, sender: usize, request: Request<Incoming>) -> Response<Body> {
        let Some(body) = http::read_body(request).await else { return http::empty(400) };
        let lines = body.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let notices: Result<Vec<Notice>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(notices) = notices else { return http::empty(400) };
        for Notice { id, state, after_ms } in notices {
            self.ledger.record(Event::Notice { sender, id: id.clone(), state, after_ms });
            if state == NoticeState::Returned {
                _ = self.returned.send(Returned { id, after_ms });
            }
        }
        http::empty(204)
    }
}

fn status_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => "Ready",
        EndpointStatus::Terminating => "Terminating",
        EndpointStatus::Gone => "Gone",
    }
}
