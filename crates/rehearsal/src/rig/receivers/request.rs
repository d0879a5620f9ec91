//! A request on one of an endpoint's connections: it is read, carried out and answered, or fails as it is told to.

use super::{Endpoint, Receiver, Receivers};
use crate::event::Deed;
use crate::history::{By, Event, Item};
use crate::rig::World;
use crate::span::{Micros, duration};
use bytes::Bytes;
use embershore_protocol::call::{BatchState, decode_batch};
use embershore_protocol::resp::MAX_BODY_BYTES;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rand::Rng;
use rand_distr::StandardNormal;
use std::cell::Cell;
use std::rc::Rc;

/// A call of several messages in Base64 is no longer than this.
const CALL_MOST: usize = 100 * 2 * MAX_BODY_BYTES;

/// An answer, or the sign that the connection is to be broken.
pub(super) type Answer = Result<Response<Full<Bytes>>, Broken>;

#[derive(Debug)]
pub(super) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}

/// A request on one of an endpoint's connections, and the way of its answer.
pub(super) struct Exchange {
    pub(super) receivers: Rc<Receivers>,
    pub(super) receiver: Rc<Receiver>,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) sender: usize,
    pub(super) first: Micros,
    pub(super) fresh: bool,
}

/// How a call is refused before any of it is carried out.
enum Refusal {
    /// Its connection is reset.
    Reset,
    /// It is answered with this status, and with this wait if one is told.
    Status(u16, Option<Micros>),
}

/// Takes down that a call's connection ended, unless it was answered first.
struct Unanswered {
    world: Rc<World>,
    call: u64,
    by: Cell<Option<By>>,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(by) = self.by.get() {
            self.world.note(Event::Broke { call: self.call, by });
        }
    }
}

fn reply(code: u16, wait: Option<Micros>, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::builder().status(code);
    if let Some(wait) = wait {
        response = response.header("x-retry-in-ms", wait_ms(wait).to_string());
    }
    response.body(Full::new(body.into())).unwrap_or_default()
}

/// A wait in whole milliseconds, no shorter than it is.
fn wait_ms(wait: Micros) -> u32 {
    u32::try_from((wait + 999) / 1000).unwrap_or(u32::MAX)
}

impl Exchange {
    pub(super) async fn answer(self, request: Request<Incoming>) -> Answer {
        let world = self.receivers.world.clone();
        if self.endpoint.fault(Deed::Hang).is_some() {
            // Nothing is read: the call's last byte never comes.
            world.note(Event::Partial { sender: self.sender, endpoint: self.endpoint.name.clone() });
            return std::future::pending().await;
        }
        let path = request.uri().path().to_string();
        if request.method() == Method::GET && matches!(path.as_str(), "/healthz" | "/load") {
            return self.probe(&world).await;
        }
        let batch = path == "/v1/messages:batch";
        if request.method() != Method::POST || !(batch || path == "/v1/messages") {
            return Ok(reply(404, None, Vec::new()));
        }
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let (id, key) = (header("x-request-id"), header("idempotency-key"));
        let Ok(body) = Limited::new(request.into_body(), CALL_MOST).collect().await else {
            world.note(Event::Partial { sender: self.sender, endpoint: self.endpoint.name.clone() });
            return Err(Broken);
        };
        let items: Vec<Item> = if batch {
            let Ok(items) = decode_batch(&body.to_bytes()) else { return Ok(reply(400, None, Vec::new())) };
            items.into_iter().map(|(id, key, _)| Item { id, key }).collect()
        } else {
            let Some(id) = id else { return Ok(reply(400, None, Vec::new())) };
            vec![Item { id, key }]
        };
        self.call(&world, items, batch).await
    }

    /// One way through the network.
    async fn travel(&self, world: &World) {
        let network = &world.scenario.network;
        let same = world.scenario.senders[self.sender].zone == self.endpoint.zone;
        tokio::time::sleep(duration(if same { network.same.0 } else { network.cross.0 })).await;
    }

    async fn probe(&self, world: &World) -> Answer {
        let (sender, endpoint) = (self.sender, self.endpoint.name.clone());
        let fault = |deed| self.endpoint.fault(deed).is_some();
        self.travel(world).await;
        self.receiver.arrive(world, &self.endpoint, world.now(), 1.0);
        if fault(Deed::Silent) {
            world.note(Event::Probe { sender, endpoint, status: 0 });
            return std::future::pending().await;
        }
        if self.receiver.resets(&self.endpoint) {
            world.note(Event::Probe { sender, endpoint, status: 0 });
            return Err(Broken);
        }
        self.travel(world).await;
        let status = if fault(Deed::Shut) { 503 } else { 200 };
        world.note(Event::Probe { sender, endpoint, status });
        Ok(reply(status, None, Vec::new()))
    }

    async fn call(&self, world: &Rc<World>, items: Vec<Item>, batch: bool) -> Answer {
        let endpoint = &self.endpoint;
        self.travel(world).await;
        let call = world.next_call();
        let unanswered = Unanswered { world: world.clone(), call, by: Cell::new(Some(By::Sender)) };
        let t = world.note(Event::Call {
            call,
            sender: self.sender,
            endpoint: endpoint.name.clone(),
            first: self.first,
            fresh: self.fresh,
            batch,
            items: items.clone(),
        });
        let answer = async |status: u16, wait: Option<Micros>, states: Option<Vec<String>>| {
            self.travel(world).await;
            let body = states.as_ref().map(|states| {
                let states = items.iter().zip(states);
                let states = states.map(|(i, s)| BatchState { id: i.id.clone(), state: s.clone() });
                serde_json::to_vec(&states.collect::<Vec<_>>()).unwrap_or_default()
            });
            let delivered = |n: usize| status == 200 && states.as_ref().is_none_or(|s| s[n] == "ok");
            for (_, item) in items.iter().enumerate().filter(|(n, _)| delivered(*n)) {
                world.delivered(&item.id);
            }
            unanswered.by.set(None);
            let wait_ms = wait.map_or(0, wait_ms);
            world.note(Event::Answer { call, status, wait_ms, states: states.clone() });
            Ok(reply(status, wait, body.unwrap_or_default()))
        };
        let broken = || {
            unanswered.by.set(Some(By::Receiver));
            Err(Broken)
        };
        match self.refusal(world, t, items.len(), batch) {
            Some(Refusal::Reset) => return broken(),
            Some(Refusal::Status(status, wait)) => return answer(status, wait, None).await,
            None => {}
        }
        let fails = endpoint.fault(Deed::Fail).map_or(0.0, |f| f.share).max(self.receiver.spec.error_share);
        let fails = endpoint.chance(fails);
        // Half of what fails has been carried out, which the sender can't tell.
        let runs = !fails || endpoint.chance(0.5);
        let fates: Vec<(String, Option<bool>)> =
            items.iter().map(|i| (i.id.clone(), runs.then(|| self.receiver.knows(t, i)))).collect();
        // It goes on whether or not the sender still waits: a call that is given up may run on.
        let (on, receiver, worker) = (world.clone(), self.receiver.clone(), endpoint.clone());
        let work =
            tokio::task::spawn_local(async move { carry_out(&on, &receiver, &worker, call, fates).await });
        let silent = endpoint.fault(Deed::Silent).is_some();
        _ = work.await;
        if silent || endpoint.fault(Deed::Silent).is_some() {
            return std::future::pending().await;
        }
        if endpoint.fault(Deed::Reset).is_some_and(|f| endpoint.chance(f.share))
            || self.receiver.fell(endpoint)
        {
            return broken();
        }
        if fails {
            return answer(500, None, None).await;
        }
        answer(200, None, batch.then(|| vec!["ok".to_string(); items.len()])).await
    }

    /// Why a call of so many messages is not taken on, if it is not.
    fn refusal(&self, world: &World, t: Micros, messages: usize, batch: bool) -> Option<Refusal> {
        let (endpoint, receiver) = (&self.endpoint, &self.receiver);
        if batch && messages > world.scenario.kinds[receiver.spec.kind].batch as usize {
            return Some(Refusal::Status(413, None));
        }
        receiver.arrive(world, endpoint, t, world.scenario.parameters.rules.weight(messages));
        if receiver.resets(endpoint) {
            return Some(Refusal::Reset);
        }
        if let Some(fault) = endpoint.fault(Deed::Shut) {
            let tells = endpoint.chance(receiver.spec.tells_waits);
            return Some(Refusal::Status(503, tells.then_some(fault.until - t)));
        }
        if let Some(fault) = endpoint.fault(Deed::Wait) {
            return Some(Refusal::Status(429, Some(fault.until - t)));
        }
        if let Err(room) = receiver.limit(endpoint, t) {
            return Some(self.over_limit(room));
        }
        let room = receiver.spec.queue + endpoint.workers.available_permits();
        (endpoint.waiting.get() + messages > room).then_some(Refusal::Status(503, None))
    }

    /// The refusal of a call for which the limit has no room until so much later.
    fn over_limit(&self, room: Micros) -> Refusal {
        let spec = &self.receiver.spec;
        let tells = self.endpoint.chance(spec.tells_waits);
        let some = self.endpoint.rng.borrow_mut().random_range(spec.wait[0].0..=spec.wait[1].0);
        // To the end of the span, or for about as long as a plain rate needs.
        let wait = if spec.limit.is_some_and(|l| l.window.is_some()) { room } else { some.max(room) };
        if tells { Refusal::Status(429, Some(wait)) } else { Refusal::Status(503, None) }
    }
}

/// Takes a worker and its time for a call. Each message comes with whether its key was known; with nothing if it is
/// not to run.
async fn carry_out(
    world: &World,
    receiver: &Receiver,
    endpoint: &Endpoint,
    call: u64,
    items: Vec<(String, Option<bool>)>,
) {
    endpoint.waiting.set(endpoint.waiting.get() + 1);
    let worker = endpoint.workers.acquire().await;
    endpoint.waiting.set(endpoint.waiting.get() - 1);
    // The pool of workers is never closed.
    let Ok(_worker) = worker else { return };
    let normal: f64 = endpoint.rng.borrow_mut().sample(StandardNormal);
    let latency = &receiver.spec.latency;
    let seconds = latency.median.secs() * (latency.sigma() * normal).exp();
    let slow = endpoint.fault(Deed::Slow).map_or(1.0, |f| f.factor);
    let chill = receiver.chill(world, endpoint, world.now());
    let late = endpoint.fault(Deed::Late).map_or(0, |f| f.by);
    let weight = world.scenario.parameters.rules.weight(items.len());
    let took = (seconds * weight * slow * chill * 1e6) as Micros;
    tokio::time::sleep(duration(took.saturating_add(late))).await;
    for (id, fate) in items {
        if let Some(dropped) = fate {
            world.note(Event::Ran { call, id, dropped });
        }
    }
}
