//! The stand-in directory, which has one control agent (serves the endpoint list) per sender.
//! A control agent receives changes of endpoints after a delay, and accepts the notices of messages' final outcomes.

use super::World;
use super::repeated_answer::{Repeat, RepeatSource, RepeatingConnection, draw_repeat};
use crate::event::RawEvent;
use crate::history::{EndpointStatus, Event, NoticeState};
use crate::span::Micros;
use bytes::Bytes;
use embershore_protocol::listing::{ListedEndpoint, Listing};
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// Beginning of the answer that confirms notices.
const CONFIRMATION: &[u8] = b"HTTP/1.1 204 ";
/// Interval of the empty lines that a control agent sends on a watch without changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Maximum size of a request with notices.
const MAX_NOTICES_BYTES: usize = 1 << 20;
/// Maximum number of endpoint changes that a control agent remembers.
/// A watch from an older version gets the complete endpoint list.
const MAX_LOGGED_CHANGES: usize = 4096;

/// A change of an endpoint. The senders' endpoint lists differ only in the endpoint's address.
#[derive(Clone)]
pub struct Change {
    /// The changed endpoint as in the endpoint list, with an empty address.
    pub endpoint: ListedEndpoint,
    /// Address of the endpoint for each sender, by the sender's index.
    pub addresses: Vec<SocketAddr>,
}

struct Agent {
    sender: usize,
    addr: SocketAddr,
    index: Cell<u64>,
    endpoints: RefCell<BTreeMap<String, ListedEndpoint>>,
    log: RefCell<VecDeque<(u64, ListedEndpoint)>>,
    /// Oldest version from which a watch can continue without first getting the complete endpoint list.
    oldest_version: Cell<u64>,
    changed: watch::Sender<u64>,
    /// Endpoint changes that have not reached the sender's control agent yet, each with its time of arrival.
    in_transit: RefCell<VecDeque<(Micros, Vec<ListedEndpoint>)>>,
    arrival: Notify,
    lag: Cell<Micros>,
    silent: Cell<bool>,
    snapshots: Cell<bool>,
    reject_notices: Cell<bool>,
    /// Share of the confirmations of notices that are repeated, and the longest delay of the copies.
    repeats: Cell<Option<(f64, Micros)>>,
    rng: RefCell<ChaCha8Rng>,
}

impl RepeatSource for Agent {
    fn draw(&self, answer: &[u8]) -> Option<Repeat> {
        let (share, longest) = self.repeats.get().filter(|_| answer.starts_with(CONFIRMATION))?;
        draw_repeat(&mut *self.rng.borrow_mut(), share, longest)
    }
}

/// The directory's control agents, one for each sender.
pub struct Directory {
    world: Rc<World>,
    agents: Vec<Rc<Agent>>,
}

type Body = BoxBody<Bytes, Infallible>;

fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed()
}

fn status(code: u16) -> Response<Body> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

impl Directory {
    pub async fn start(world: Rc<World>) -> io::Result<Rc<Directory>> {
        let mut agents = Vec::new();
        for sender in 0..world.scenario.senders.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let agent = Rc::new(Agent {
                sender,
                addr: listener.local_addr()?,
                index: Cell::new(0),
                endpoints: RefCell::default(),
                log: RefCell::default(),
                oldest_version: Cell::new(0),
                changed: watch::Sender::new(0),
                in_transit: RefCell::default(),
                arrival: Notify::new(),
                lag: Cell::new(world.scenario.directory.lag.0),
                silent: Cell::new(false),
                snapshots: Cell::new(false),
                reject_notices: Cell::new(false),
                repeats: Cell::new(None),
                rng: RefCell::new(ChaCha8Rng::seed_from_u64(world.scenario.parameters.seed ^ sender as u64)),
            });
            tokio::task::spawn_local(agent.clone().listen(world.clone(), listener));
            tokio::task::spawn_local(agent.clone().deliver_changes(world.clone()));
            agents.push(agent);
        }
        Ok(Rc::new(Directory { world, agents }))
    }

    /// Returns the address on which a sender's control agent listens.
    pub fn addr(&self, sender: usize) -> SocketAddr {
        self.agents[sender].addr
    }

    /// Returns the list of endpoints as a sender's control agent has it now.
    pub fn listing(&self, sender: usize) -> Listing {
        self.agents[sender].listing()
    }

    /// Publishes changes of endpoints to all control agents; each agent receives the changes after its delay.
    pub fn publish(&self, changes: &[Change]) {
        let now = self.world.now();
        for agent in &self.agents {
            let endpoints = changes.iter().map(|c| {
                let address = c.addresses.get(agent.sender).map(SocketAddr::to_string).unwrap_or_default();
                ListedEndpoint { address, ..c.endpoint.clone() }
            });
            let mut in_transit = agent.in_transit.borrow_mut();
            // A change never arrives at a control agent before an earlier change.
            let arrival = (now + agent.lag.get()).max(in_transit.back().map_or(0, |c| c.0));
            in_transit.push_back((arrival, endpoints.collect()));
            agent.arrival.notify_one();
        }
    }

    /// Delivers all changes in transit to the control agents without delay; used for the initial endpoint list.
    pub fn deliver_all(&self) {
        for agent in &self.agents {
            for (_, endpoints) in agent.in_transit.take() {
                agent.apply(endpoints);
            }
        }
    }

    fn agents_for(&self, event: &RawEvent) -> Vec<Rc<Agent>> {
        let names = &self.world.scenario.parameters.senders;
        let fits = |a: &&Rc<Agent>| event.applies_to(a.sender, &names[a.sender].name);
        self.agents.iter().filter(fits).cloned().collect()
    }

    pub async fn lag(&self, event: &RawEvent, duration: Duration) {
        let agents = self.agents_for(event);
        let by = event.by.map_or(0, |s| s.0);
        agents.iter().for_each(|a| a.lag.set(a.lag.get() + by));
        tokio::time::sleep(duration).await;
        agents.iter().for_each(|a| a.lag.set(a.lag.get() - by));
    }

    pub async fn silent(&self, event: &RawEvent, duration: Duration) {
        let agents = self.agents_for(event);
        agents.iter().for_each(|a| a.silent.set(true));
        tokio::time::sleep(duration).await;
        for a in agents {
            a.silent.set(false);
            a.changed.send_modify(|_| {});
        }
    }

    pub async fn snapshots(&self, event: &RawEvent, duration: Duration) {
        let agents = self.agents_for(event);
        agents.iter().for_each(|a| a.snapshots.set(true));
        tokio::time::sleep(duration).await;
        agents.iter().for_each(|a| a.snapshots.set(false));
    }

    pub async fn reject_notices(&self, event: &RawEvent, duration: Duration) {
        let agents = self.agents_for(event);
        agents.iter().for_each(|a| a.reject_notices.set(true));
        tokio::time::sleep(duration).await;
        agents.iter().for_each(|a| a.reject_notices.set(false));
    }

    /// Repeats a share of the confirmations of notices for the duration of the event.
    pub async fn repeat_confirmations(&self, event: &RawEvent, duration: Duration) {
        let repeats = (event.share.unwrap_or(0.0), event.by.map_or(0, |by| by.0));
        self.agents.iter().for_each(|a| a.repeats.set(Some(repeats)));
        tokio::time::sleep(duration).await;
        self.agents.iter().for_each(|a| a.repeats.set(None));
    }

    /// Halves the version of the endpoint list and forgets all logged changes.
    /// Watches from other versions then get the complete endpoint list.
    pub fn roll_back(&self, event: &RawEvent) {
        for agent in self.agents_for(event) {
            let index = (agent.index.get() / 2).max(1);
            agent.index.set(index);
            agent.oldest_version.set(index);
            agent.log.borrow_mut().clear();
            agent.changed.send_replace(index);
        }
    }
}

#[derive(Deserialize)]
struct Notice {
    id: String,
    state: NoticeState,
    #[serde(default)]
    after_ms: Option<u64>,
}

impl Agent {
    fn listing(&self) -> Listing {
        let endpoints = self.endpoints.borrow().values().cloned().collect();
        Listing { index: self.index.get(), snapshot: true, endpoints }
    }

    fn apply(&self, endpoints: Vec<ListedEndpoint>) {
        let index = self.index.get() + 1;
        self.index.set(index);
        let mut log = self.log.borrow_mut();
        for endpoint in endpoints {
            if endpoint.status == "Gone" {
                self.endpoints.borrow_mut().remove(&endpoint.name);
            } else {
                self.endpoints.borrow_mut().insert(endpoint.name.clone(), endpoint.clone());
            }
            log.push_back((index, endpoint));
        }
        while log.len() > MAX_LOGGED_CHANGES {
            if let Some((index, _)) = log.pop_front() {
                self.oldest_version.set(index);
            }
        }
        drop(log);
        self.changed.send_replace(index);
    }

    async fn deliver_changes(self: Rc<Self>, world: Rc<World>) {
        loop {
            let next = self.in_transit.borrow().front().map(|c| c.0);
            let Some(at) = next else {
                self.arrival.notified().await;
                continue;
            };
            tokio::time::sleep_until(world.recorder.instant(at)).await;
            let endpoints = self.in_transit.borrow_mut().pop_front();
            if let Some((_, endpoints)) = endpoints {
                self.apply(endpoints);
            }
        }
    }

    async fn listen(self: Rc<Self>, world: Rc<World>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            _ = stream.set_nodelay(true);
            let (agent, world) = (self.clone(), world.clone());
            let stream =
                RepeatingConnection::new(stream, world.clone(), self.sender, self.clone(), |stream| stream);
            let Ok(stream) = stream else { continue };
            let service = service_fn(move |request| agent.clone().answer(world.clone(), request));
            tokio::task::spawn_local(async move {
                // A killed sender breaks its connections, so errors of the connection are ignored.
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        self: Rc<Self>,
        world: Rc<World>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        if request.method() == Method::POST && request.uri().path() == "/reports" {
            return Ok(self.receive_notices(&world, request).await);
        }
        if request.method() != Method::GET || request.uri().path() != "/v1/servers" {
            return Ok(status(404));
        }
        while self.silent.get() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let query = request.uri().query().unwrap_or_default();
        if !query.contains("follow=1") {
            let list = self.listing();
            self.record_listing(&world, &list);
            return Ok(Response::new(full_body(serde_json::to_vec(&list).unwrap_or_default())));
        }
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")).and_then(|s| s.parse().ok());
        let (sender, body) = Channel::new(16);
        tokio::task::spawn_local(self.follow(world, since, sender));
        Ok(Response::new(body.boxed()))
    }

    async fn follow(
        self: Rc<Self>,
        world: Rc<World>,
        since: Option<u64>,
        mut out: http_body_util::channel::Sender<Bytes, Infallible>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut sent_version =
            since.filter(|s| *s > 0 && *s >= self.oldest_version.get() && *s <= self.index.get());
        let mut is_first = true;
        loop {
            changed.borrow_and_update();
            if !self.silent.get() {
                let update = match sent_version {
                    Some(sent_version)
                        if sent_version >= self.oldest_version.get() && !self.snapshots.get() =>
                    {
                        let log = self.log.borrow();
                        let endpoints: Vec<ListedEndpoint> =
                            log.iter().filter(|(i, _)| *i > sent_version).map(|(_, l)| l.clone()).collect();
                        Listing { index: self.index.get(), snapshot: false, endpoints }
                    }
                    _ => self.listing(),
                };
                let text = if update.snapshot || !update.endpoints.is_empty() || is_first {
                    self.record_listing(&world, &update);
                    let mut text = serde_json::to_vec(&update).unwrap_or_default();
                    text.push(b'\n');
                    text
                } else {
                    b"\n".to_vec()
                };
                sent_version = Some(update.index);
                is_first = false;
                if out.send_data(text.into()).await.is_err()
                    || self.snapshots.get() && !update.endpoints.is_empty()
                {
                    return;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
        }
    }

    fn record_listing(&self, world: &World, list: &Listing) {
        let endpoints = list.endpoints.iter().map(|l| {
            let status = match l.status.as_str() {
                "Ready" => EndpointStatus::Ready,
                "Gone" => EndpointStatus::Gone,
                _ => EndpointStatus::Terminating,
            };
            (l.name.clone(), status)
        });
        let (index, complete) = (list.index, list.snapshot);
        world.record(Event::Listing { sender: self.sender, index, complete, endpoints: endpoints.collect() });
    }

    async fn receive_notices(&self, world: &World, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = Limited::new(request.into_body(), MAX_NOTICES_BYTES).collect().await else {
            return status(400);
        };
        if self.reject_notices.get() {
            return status(503);
        }
        let body = body.to_bytes();
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.iter().all(u8::is_ascii_whitespace));
        let notices: Result<Vec<Notice>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(notices) = notices else { return status(400) };
        for Notice { id, state, after_ms } in notices {
            world.record(Event::Notice { sender: self.sender, id: id.clone(), state, after_ms });
            let Some(message) = world.open_messages.borrow_mut().remove(&id) else { continue };
            if state == NoticeState::Failed {
                world.count(|p| p.failed += 1);
            } else {
                world.count(|p| p.refused += 1);
                world.pending_puts.set(world.pending_puts.get() + 1);
                _ = world.returned_messages.send((message, after_ms.unwrap_or(0))).await;
            }
        }
        status(204)
    }
}
