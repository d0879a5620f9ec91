//! A request to an endpoint, which is read, processed and answered, or fails because of a current fault.

use super::{Endpoint, Receiver, Receivers};
use crate::event::EventKind;
use crate::history::{ClosedBy, Event, Item};
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

/// Maximum size of a batch call in bytes: 100 messages with Base64 bodies.
const MAX_CALL_BYTES: usize = 100 * 2 * MAX_BODY_BYTES;

/// An answer, or an error for which the HTTP server breaks the connection.
pub(super) type Answer = Result<Response<Full<Bytes>>, ConnectionBroken>;

#[derive(Debug)]
pub(super) struct ConnectionBroken;

impl std::fmt::Display for ConnectionBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection broken on purpose")
    }
}

impl std::error::Error for ConnectionBroken {}

/// A request on a connection of an endpoint, with all that is needed to answer the request.
pub(super) struct Exchange {
    pub(super) receivers: Rc<Receivers>,
    pub(super) receiver: Rc<Receiver>,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) sender: usize,
    pub(super) first_byte: Micros,
    pub(super) new_connection: bool,
}

/// How a receiver refuses a call before it processes any of the call's messages.
enum Refusal {
    /// The receiver resets the call's connection.
    Reset,
    /// The receiver answers with the HTTP status and, if a wait is given, advertises the wait.
    Status(u16, Option<Micros>),
}

/// Records on drop that a call's connection ended without an answer, and which side closed it.
/// `by` is `None` once the call is answered, and nothing is recorded.
struct Unanswered {
    world: Rc<World>,
    call: u64,
    by: Cell<Option<ClosedBy>>,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(by) = self.by.get() {
            self.world.record(Event::Disconnected { call: self.call, by });
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

/// Converts a wait to milliseconds, rounded up.
fn wait_ms(wait: Micros) -> u32 {
    u32::try_from((wait + 999) / 1000).unwrap_or(u32::MAX)
}

impl Exchange {
    pub(super) async fn answer(self, request: Request<Incoming>) -> Answer {
        let world = self.receivers.world.clone();
        if self.endpoint.fault(EventKind::Hang).is_some() {
            // A hanging endpoint does not read the request, so that the call's last byte never arrives.
            world.record(Event::Partial { sender: self.sender, endpoint: self.endpoint.name.clone() });
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
        let Ok(body) = Limited::new(request.into_body(), MAX_CALL_BYTES).collect().await else {
            world.record(Event::Partial { sender: self.sender, endpoint: self.endpoint.name.clone() });
            return Err(ConnectionBroken);
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

    /// Waits for the one-way network delay between the sender's and the endpoint's zones.
    async fn travel(&self, world: &World) {
        let network = &world.scenario.network;
        let same = world.scenario.senders[self.sender].zone == self.endpoint.zone;
        tokio::time::sleep(duration(if same { network.same.0 } else { network.cross.0 })).await;
    }

    async fn probe(&self, world: &World) -> Answer {
        let (sender, endpoint) = (self.sender, self.endpoint.name.clone());
        let fault = |kind| self.endpoint.fault(kind).is_some();
        self.travel(world).await;
        self.receiver.record_load(world, &self.endpoint, world.now(), 1.0);
        if fault(EventKind::Silent) {
            world.record(Event::Probe { sender, endpoint, status: 0 });
            return std::future::pending().await;
        }
        if self.receiver.resets_connections(&self.endpoint) {
            world.record(Event::Probe { sender, endpoint, status: 0 });
            return Err(ConnectionBroken);
        }
        self.travel(world).await;
        let status = if fault(EventKind::Shut) { 503 } else { 200 };
        world.record(Event::Probe { sender, endpoint, status });
        Ok(reply(status, None, Vec::new()))
    }

    async fn call(&self, world: &Rc<World>, items: Vec<Item>, batch: bool) -> Answer {
        let endpoint = &self.endpoint;
        self.travel(world).await;
        let call = world.next_call();
        let unanswered = Unanswered { world: world.clone(), call, by: Cell::new(Some(ClosedBy::Sender)) };
        let t = world.record(Event::Call {
            call,
            sender: self.sender,
            endpoint: endpoint.name.clone(),
            first_byte: self.first_byte,
            new_connection: self.new_connection,
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
            world.record(Event::Answer { call, status, wait_ms, states: states.clone() });
            Ok(reply(status, wait, body.unwrap_or_default()))
        };
        let broken = || {
            unanswered.by.set(Some(ClosedBy::Receiver));
            Err(ConnectionBroken)
        };
        match self.refusal(world, t, items.len(), batch) {
            Some(Refusal::Reset) => return broken(),
            Some(Refusal::Status(status, wait)) => return answer(status, wait, None).await,
            None => {}
        }
        let fails =
            endpoint.fault(EventKind::Fail).map_or(0.0, |f| f.share).max(self.receiver.spec.error_share);
        let fails = endpoint.chance(fails);
        // In half of the failing calls the receiver processes the messages; the sender can't tell in which.
        let runs = !fails || endpoint.chance(0.5);
        let runs_by_id: Vec<(String, Option<bool>)> =
            items.iter().map(|i| (i.id.clone(), runs.then(|| self.receiver.remember_key(t, i)))).collect();
        // A separate task processes the call, since processing may continue after the sender has given the call up.
        let (world_of_task, receiver, worker) = (world.clone(), self.receiver.clone(), endpoint.clone());
        let work = tokio::task::spawn_local(async move {
            run_call(&world_of_task, &receiver, &worker, call, runs_by_id).await
        });
        let silent = endpoint.fault(EventKind::Silent).is_some();
        _ = work.await;
        if silent || endpoint.fault(EventKind::Silent).is_some() {
            return std::future::pending().await;
        }
        if endpoint.fault(EventKind::Reset).is_some_and(|f| endpoint.chance(f.share))
            || self.receiver.is_overloaded(endpoint)
        {
            return broken();
        }
        if fails {
            return answer(500, None, None).await;
        }
        answer(200, None, batch.then(|| vec!["ok".to_string(); items.len()])).await
    }

    /// Returns how a call with the given number of messages is refused; `None` if the call is not refused.
    fn refusal(&self, world: &World, t: Micros, messages: usize, batch: bool) -> Option<Refusal> {
        let (endpoint, receiver) = (&self.endpoint, &self.receiver);
        if batch && messages > world.scenario.kinds[receiver.spec.kind].batch as usize {
            return Some(Refusal::Status(413, None));
        }
        receiver.record_load(world, endpoint, t, world.scenario.parameters.rules.weight(messages));
        if receiver.resets_connections(endpoint) {
            return Some(Refusal::Reset);
        }
        if let Some(fault) = endpoint.fault(EventKind::Shut) {
            let tells = endpoint.chance(receiver.spec.tells_waits);
            return Some(Refusal::Status(503, tells.then_some(fault.until - t)));
        }
        if let Some(fault) = endpoint.fault(EventKind::Wait) {
            return Some(Refusal::Status(429, Some(fault.until - t)));
        }
        if let Err(wait_for_room) = receiver.check_limit(endpoint, t) {
            return Some(self.over_limit(wait_for_room));
        }
        let room = receiver.spec.queue + endpoint.workers.available_permits();
        (endpoint.waiting.get() + messages > room).then_some(Refusal::Status(503, None))
    }

    /// Returns the refusal of a call that exceeds the limit; the limit has room for a call after `wait_for_room`.
    fn over_limit(&self, wait_for_room: Micros) -> Refusal {
        let spec = &self.receiver.spec;
        let tells = self.endpoint.chance(spec.tells_waits);
        let random_wait = self.endpoint.rng.borrow_mut().random_range(spec.wait[0].0..=spec.wait[1].0);
        // A refusal by a limit on calls per time window advertises the time until the window ends.
        // A refusal by a rate limit advertises at least the time until a call is allowed.
        let wait = if spec.limit.is_some_and(|l| l.window.is_some()) {
            wait_for_room
        } else {
            random_wait.max(wait_for_room)
        };
        if tells { Refusal::Status(429, Some(wait)) } else { Refusal::Status(503, None) }
    }
}

/// Processes the messages of a call: waits for a worker and for the simulated processing time.
/// `items` gives for each message whether its key was known, or `None` if the message is not to be processed.
async fn run_call(
    world: &World,
    receiver: &Receiver,
    endpoint: &Endpoint,
    call: u64,
    items: Vec<(String, Option<bool>)>,
) {
    endpoint.waiting.set(endpoint.waiting.get() + 1);
    let worker = endpoint.workers.acquire().await;
    endpoint.waiting.set(endpoint.waiting.get() - 1);
    // Acquiring a worker fails only if the semaphore is closed, which never happens.
    let Ok(_worker) = worker else { return };
    let normal: f64 = endpoint.rng.borrow_mut().sample(StandardNormal);
    let latency = &receiver.spec.latency;
    let seconds = latency.median.secs() * (latency.sigma() * normal).exp();
    let slow = endpoint.fault(EventKind::Slow).map_or(1.0, |f| f.factor);
    let cold_slowdown = receiver.cold_slowdown(world, endpoint, world.now());
    let late = endpoint.fault(EventKind::Late).map_or(0, |f| f.delay);
    let weight = world.scenario.parameters.rules.weight(items.len());
    let took = (seconds * weight * slow * cold_slowdown * 1e6) as Micros;
    tokio::time::sleep(duration(took.saturating_add(late))).await;
    for (id, repeat) in items {
        if let Some(dropped) = repeat {
            world.record(Event::Ran { call, id, dropped });
        }
    }
}
