//! The stand-in directory: for each sender an agent, which knows of changes once they have reached it, and takes
//! the notices of messages' ends.

use super::World;
use crate::event::RawEvent;
use crate::history::{Ended, Event, Standing};
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

/// While nothing changes, a watch says so this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Bytes of a post of notices at most.
const REPORT_MOST: usize = 1 << 20;
/// Changes that an agent remembers; a watch from before gets the whole list.
const LOG_MOST: usize = 4096;

/// A change, as far as senders differ in it only by the address.
#[derive(Clone)]
pub struct Change {
    /// The endpoint's line, with no address.
    pub line: ListedEndpoint,
    /// Where each sender reaches it.
    pub addrs: Vec<SocketAddr>,
}

struct Agent {
    sender: usize,
    addr: SocketAddr,
    index: Cell<u64>,
    lines: RefCell<BTreeMap<String, ListedEndpoint>>,
    log: RefCell<VecDeque<(u64, ListedEndpoint)>>,
    /// Versions before this one can't be followed from.
    from: Cell<u64>,
    changed: watch::Sender<u64>,
    /// What is on its way: when it arrives, and what.
    coming: RefCell<VecDeque<(Micros, Vec<ListedEndpoint>)>>,
    arrival: Notify,
    lag: Cell<Micros>,
    silent: Cell<bool>,
    snapshots: Cell<bool>,
    deaf: Cell<bool>,
}

/// All agents.
pub struct Directory {
    world: Rc<World>,
    agents: Vec<Rc<Agent>>,
}

type Body = BoxBody<Bytes, Infallible>;

fn whole(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed()
}

fn status(code: u16) -> Response<Body> {
    let mut response = Response::new(whole(""));
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
                lines: RefCell::default(),
                log: RefCell::default(),
                from: Cell::new(0),
                changed: watch::Sender::new(0),
                coming: RefCell::default(),
                arrival: Notify::new(),
                lag: Cell::new(world.scenario.directory.lag.0),
                silent: Cell::new(false),
                snapshots: Cell::new(false),
                deaf: Cell::new(false),
            });
            tokio::task::spawn_local(agent.clone().listen(world.clone(), listener));
            tokio::task::spawn_local(agent.clone().receive(world.clone()));
            agents.push(agent);
        }
        Ok(Rc::new(Directory { world, agents }))
    }

    /// Where a sender's agent listens.
    pub fn addr(&self, sender: usize) -> SocketAddr {
        self.agents[sender].addr
    }

    /// The list as a sender's agent has it now.
    pub fn listing(&self, sender: usize) -> Listing {
        self.agents[sender].listing()
    }

    /// Sends a change on its way to all agents.
    pub fn publish(&self, changes: &[Change]) {
        let now = self.world.now();
        for agent in &self.agents {
            let lines = changes.iter().map(|c| {
                let address = c.addrs.get(agent.sender).map(SocketAddr::to_string).unwrap_or_default();
                ListedEndpoint { address, ..c.line.clone() }
            });
            let mut coming = agent.coming.borrow_mut();
            // A change never overtakes the one before it.
            let arrival = (now + agent.lag.get()).max(coming.back().map_or(0, |c| c.0));
            coming.push_back((arrival, lines.collect()));
            agent.arrival.notify_one();
        }
    }

    /// All that is on its way arrives at once: for the list at the start.
    pub fn tell_all(&self) {
        for agent in &self.agents {
            for (_, lines) in agent.coming.take() {
                agent.learn(lines);
            }
        }
    }

    fn named(&self, event: &RawEvent) -> Vec<Rc<Agent>> {
        let names = &self.world.scenario.parameters.senders;
        let fits = |a: &&Rc<Agent>| event.concerns(a.sender, &names[a.sender].name);
        self.agents.iter().filter(fits).cloned().collect()
    }

    pub async fn lag(&self, event: &RawEvent, lasting: Duration) {
        let agents = self.named(event);
        let by = event.by.map_or(0, |s| s.0);
        agents.iter().for_each(|a| a.lag.set(a.lag.get() + by));
        tokio::time::sleep(lasting).await;
        agents.iter().for_each(|a| a.lag.set(a.lag.get() - by));
    }

    pub async fn silent(&self, event: &RawEvent, lasting: Duration) {
        let agents = self.named(event);
        agents.iter().for_each(|a| a.silent.set(true));
        tokio::time::sleep(lasting).await;
        for a in agents {
            a.silent.set(false);
            a.changed.send_modify(|_| {});
        }
    }

    pub async fn snapshots(&self, event: &RawEvent, lasting: Duration) {
        let agents = self.named(event);
        agents.iter().for_each(|a| a.snapshots.set(true));
        tokio::time::sleep(lasting).await;
        agents.iter().for_each(|a| a.snapshots.set(false));
    }

    pub async fn deaf(&self, event: &RawEvent, lasting: Duration) {
        let agents = self.named(event);
        agents.iter().for_each(|a| a.deaf.set(true));
        tokio::time::sleep(lasting).await;
        agents.iter().for_each(|a| a.deaf.set(false));
    }

    /// The version goes back by half, and nothing from before can be followed.
    pub fn back(&self, event: &RawEvent) {
        for agent in self.named(event) {
            let index = (agent.index.get() / 2).max(1);
            agent.index.set(index);
            agent.from.set(index);
            agent.log.borrow_mut().clear();
            agent.changed.send_replace(index);
        }
    }
}

#[derive(Deserialize)]
struct Report {
    id: String,
    state: Ended,
    #[serde(default)]
    after_ms: Option<u64>,
}

impl Agent {
    fn listing(&self) -> Listing {
        let endpoints = self.lines.borrow().values().cloned().collect();
        Listing { index: self.index.get(), snapshot: true, endpoints }
    }

    fn learn(&self, lines: Vec<ListedEndpoint>) {
        let index = self.index.get() + 1;
        self.index.set(index);
        let mut log = self.log.borrow_mut();
        for line in lines {
            if line.status == "Gone" {
                self.lines.borrow_mut().remove(&line.name);
            } else {
                self.lines.borrow_mut().insert(line.name.clone(), line.clone());
            }
            log.push_back((index, line));
        }
        while log.len() > LOG_MOST {
            if let Some((index, _)) = log.pop_front() {
                self.from.set(index);
            }
        }
        drop(log);
        self.changed.send_replace(index);
    }

    async fn receive(self: Rc<Self>, world: Rc<World>) {
        loop {
            let next = self.coming.borrow().front().map(|c| c.0);
            let Some(at) = next else {
                self.arrival.notified().await;
                continue;
            };
            tokio::time::sleep_until(world.recorder.instant(at)).await;
            let lines = self.coming.borrow_mut().pop_front();
            if let Some((_, lines)) = lines {
                self.learn(lines);
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
            let service = service_fn(move |request| agent.clone().answer(world.clone(), request));
            tokio::task::spawn_local(async move {
                // A sender that is killed breaks its connections off; that is no fault here.
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
            return Ok(self.reports(&world, request).await);
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
            self.told(&world, &list);
            return Ok(Response::new(whole(serde_json::to_vec(&list).unwrap_or_default())));
        }
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")).and_then(|s| s.parse().ok());
        let (lines, body) = Channel::new(16);
        tokio::task::spawn_local(self.follow(world, since, lines));
        Ok(Response::new(body.boxed()))
    }

    async fn follow(
        self: Rc<Self>,
        world: Rc<World>,
        since: Option<u64>,
        mut out: http_body_util::channel::Sender<Bytes, Infallible>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut known = since.filter(|s| *s > 0 && *s >= self.from.get() && *s <= self.index.get());
        let mut first = true;
        loop {
            changed.borrow_and_update();
            if !self.silent.get() {
                let news = match known {
                    Some(known) if known >= self.from.get() && !self.snapshots.get() => {
                        let log = self.log.borrow();
                        let endpoints: Vec<ListedEndpoint> =
                            log.iter().filter(|(i, _)| *i > known).map(|(_, l)| l.clone()).collect();
                        Listing { index: self.index.get(), snapshot: false, endpoints }
                    }
                    _ => self.listing(),
                };
                let text = if news.snapshot || !news.endpoints.is_empty() || first {
                    self.told(&world, &news);
                    let mut text = serde_json::to_vec(&news).unwrap_or_default();
                    text.push(b'\n');
                    text
                } else {
                    b"\n".to_vec()
                };
                known = Some(news.index);
                first = false;
                if out.send_data(text.into()).await.is_err()
                    || self.snapshots.get() && !news.endpoints.is_empty()
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

    fn told(&self, world: &World, list: &Listing) {
        let lines = list.endpoints.iter().map(|l| {
            let standing = match l.status.as_str() {
                "Ready" => Standing::Ready,
                "Gone" => Standing::Gone,
                _ => Standing::Terminating,
            };
            (l.name.clone(), standing)
        });
        let (index, whole) = (list.index, list.snapshot);
        world.note(Event::Told { sender: self.sender, index, whole, lines: lines.collect() });
    }

    async fn reports(&self, world: &World, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = Limited::new(request.into_body(), REPORT_MOST).collect().await else {
            return status(400);
        };
        if self.deaf.get() {
            return status(503);
        }
        let body = body.to_bytes();
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.iter().all(u8::is_ascii_whitespace));
        let reports: Result<Vec<Report>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(reports) = reports else { return status(400) };
        for Report { id, state, after_ms } in reports {
            world.note(Event::Notice { sender: self.sender, id: id.clone(), state, after_ms });
            let Some(errand) = world.open.borrow_mut().remove(&id) else { continue };
            if state == Ended::Failed {
                world.count(|p| p.failed += 1);
            } else {
                world.count(|p| p.refused += 1);
                world.busy.set(world.busy.get() + 1);
                _ = world.returned.send((errand, after_ms.unwrap_or(0))).await;
            }
        }
        status(204)
    }
}
