//! Calls to endpoints: their connections, one call on each at a time, and what comes back.

use crate::connection::{Connection, Traffic};
use crate::endpoint_table::EndpointTable;
use crate::input::{CallEnd, Fate};
use crate::metrics::Metrics;
use bytes::Bytes;
use embershore_protocol::call::{AnswerHead, BatchState, encode_batch, outcome_of_state, read_head};
use heronroute::{DestId, EndpointId, LoadReport, Micros, MsgId, Outcome};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, oneshot};

const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// A connection is used only after this: again, so that bytes which follow an answer show up before the next
/// request (they would be read as its answer), and at first, so that a reset does which meets a new one.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// A kept connection that is reset this soon after its next request was written had been dropped before it.
const IMMEDIATE_RESET: Duration = Duration::from_millis(100);
/// Connections that have rested no longer than this are taken to be good.
const MIN_IDLE_LIFETIME: Duration = Duration::from_millis(50);
/// Kept connections are trusted less for this long after some were reset; so many resets are remembered.
const STALE_RETENTION: Duration = Duration::from_secs(10);
const MAX_STALE_RECORDS: usize = 64;
/// Part of the time after which endpoints close idle connections for which they are kept: the other side may close at
/// its limit at the latest, and what crosses that is reset.
pub const IDLE_LIFETIME_SHARE: f64 = 0.8;
/// Connections that are kept idle while another process of this sender runs: the two together may hold no more
/// descriptors than one.
const MAX_IDLE_DURING_HANDOVER: usize = 24;
/// Probes that are out at once: each takes a descriptor beside those of the calls.
pub const MAX_PROBES: usize = 8;

/// One message in a call.
#[derive(Clone, Debug)]
pub struct CallItem {
    pub id: MsgId,
    pub attempt: u32,
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// A call to make.
pub struct CallSpec {
    pub endpoint: EndpointId,
    pub addr: SocketAddr,
    /// What a wait told in its answer binds.
    pub lane: Lane,
    pub items: Vec<CallItem>,
    pub batch: bool,
    pub timeout: Duration,
}

/// What a wait holds back: a destination, or one route of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    Whole(DestId),
    Route(EndpointId),
}

/// What an answer says, for all messages of the call alike unless `states` tells each one's end.
#[derive(Clone)]
struct ResponseSummary {
    outcome: Outcome,
    over: bool,
    wait: Micros,
    report: Option<LoadReport>,
    states: Option<HashMap<String, String>>,
}

impl ResponseSummary {
    fn of(outcome: Outcome) -> Self {
        ResponseSummary { outcome, over: outcome == Outcome::Done, wait: 0, report: None, states: None }
    }

    fn for_all(head: AnswerHead) -> Self {
        let AnswerHead { outcome, closes_message: over, wait, report } = head;
        ResponseSummary { outcome, over, wait, report, states: None }
    }
}

/// What is known of a call that is out.
#[derive(Default)]
struct CallProgress {
    /// Messages that were left out when it began: each was over by then.
    left_out: RefCell<Vec<MsgId>>,
    /// Its connection's traffic, and what had been written there before.
    traffic: RefCell<Option<(Rc<Traffic>, u64)>>,
    head: RefCell<Option<ResponseSummary>>,
}

impl CallProgress {
    /// The request's last byte has been written.
    fn fully_written(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|(t, before)| t.flushed.get() > *before)
    }

    /// A first byte of it may have been written.
    fn may_be_written(&self) -> bool {
        self.traffic.borrow().is_some()
    }

    /// What a call is whose last byte has not been written.
    fn unsent(&self) -> Outcome {
        if self.may_be_written() { Outcome::ConnectFailed } else { Outcome::Unreached }
    }

    /// The answer where it has not come to its end. A single message is delivered by a first line that says so,
    /// whatever becomes of the rest. Any other answer that is not whole proves nothing, but a wait told in it
    /// binds.
    fn incomplete(&self, spec: &CallSpec, outcome: Outcome) -> ResponseSummary {
        let head = self.head.take().unwrap_or_else(|| ResponseSummary::of(outcome));
        let status = self.traffic.borrow().as_ref().and_then(|(t, _)| t.status.get());
        if status == Some(200) && !spec.batch {
            return ResponseSummary {
                report: head.report,
                wait: head.wait,
                ..ResponseSummary::of(Outcome::Done)
            };
        }
        ResponseSummary { report: None, wait: head.wait, ..ResponseSummary::of(outcome) }
    }
}

/// A kept connection that was reset at its next request.
struct StaleConnection {
    endpoint: EndpointId,
    at: Instant,
    idle_for: Duration,
}

/// The connections to all endpoints, and the waits that they have told.
pub struct Calls {
    stale: RefCell<VecDeque<StaleConnection>>,
    endpoints: Rc<RefCell<EndpointTable>>,
    metrics: Rc<Metrics>,
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    waits: RefCell<HashMap<Lane, Instant>>,
    max_idle: usize,
    /// Descriptors are shared with another process: none is kept idle.
    two_processes: Rc<Cell<bool>>,
    probes: Semaphore,
    max_idle_time: Duration,
    connect_timeout: Duration,
}

impl Calls {
    pub fn new(
        endpoints: Rc<RefCell<EndpointTable>>,
        metrics: Rc<Metrics>,
        max_idle_time: Duration,
        connect_timeout: Duration,
        max_idle: usize,
        two_processes: Rc<Cell<bool>>,
    ) -> Self {
        let (idle, waits, stale) = (RefCell::default(), RefCell::default(), RefCell::default());
        let probes = Semaphore::new(MAX_PROBES);
        Calls {
            stale,
            endpoints,
            metrics,
            idle,
            waits,
            max_idle,
            two_processes,
            probes,
            max_idle_time,
            connect_timeout,
        }
    }

    /// Whether a call may begin now: a drain or a wait may have been learnt since it was decided.
    fn may_begin(&self, endpoint: EndpointId, lane: Lane) -> bool {
        let ready = self.endpoints.borrow().get(endpoint).is_some_and(|e| e.ready);
        let waits = self.waits.borrow().get(&lane).is_some_and(|until| Instant::now() < *until);
        ready && !waits
    }

    /// A wait has been told, by an answer of this process or to a call of the one before it.
    pub fn record_wait(&self, lane: Lane, wait: Micros) {
        if wait > 0 {
            let until = Instant::now() + Duration::from_micros(wait as u64);
            let mut waits = self.waits.borrow_mut();
            waits.retain(|_, t| *t > Instant::now());
            let known = waits.entry(lane).or_insert(until);
            *known = (*known).max(until);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|endpoint, connections| {
            let most = self.idle_lifetime(*endpoint);
            connections.retain(|c| c.idle_since.elapsed() < most);
            !connections.is_empty()
        });
    }

    /// How long a connection may rest and still be used. Guards against kept connections that are dropped unseen,
    /// by the endpoint or between: the reset comes at the next request, which may have run for all that is known,
    /// and an unsafe message is lost by it. Costs new connections for a while. Where it happens at one endpoint
    /// only, the others' are kept.
    fn idle_lifetime(&self, endpoint: EndpointId) -> Duration {
        let mut stale = self.stale.borrow_mut();
        stale.retain(|s| s.at.elapsed() < STALE_RETENTION);
        let at_several_endpoints = stale.iter().any(|s| s.endpoint != stale[0].endpoint);
        let for_all = stale.iter().filter(|s| at_several_endpoints || s.endpoint == endpoint);
        let shortest = for_all.map(|s| (s.idle_for / 2).max(MIN_IDLE_LIFETIME)).min();
        shortest.unwrap_or(self.max_idle_time).min(self.max_idle_time)
    }

    fn record_stale(&self, endpoint: EndpointId, idle_for: Duration) {
        let mut stale = self.stale.borrow_mut();
        stale.truncate(MAX_STALE_RECORDS - 1);
        stale.push_front(StaleConnection { endpoint, at: Instant::now(), idle_for });
    }

    fn take_idle(&self, endpoint: EndpointId, addr: SocketAddr) -> Option<Connection> {
        let most = self.idle_lifetime(endpoint);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // An endpoint may be listed again under another address.
        connections.retain(|c| c.addr() == addr && c.idle_since.elapsed() < most);
        while let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= SETTLE_TIME) {
            if let Some(connection) = connections.remove(at).if_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, endpoint: EndpointId, connection: Connection) {
        let Some(mut connection) = connection.if_usable() else { return };
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let most = if self.two_processes.get() {
            self.max_idle.min(MAX_IDLE_DURING_HANDOVER)
        } else {
            self.max_idle
        };
        if most == 0 {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= most
            && let Some(oldest) = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since)
        {
            oldest.remove(0);
        }
        idle.entry(endpoint).or_default().push(connection);
    }

    /// Makes a call. `begin` is asked right before the first byte is written, and tells which of the messages go:
    /// a connection takes its time to come up, and some may be over by then. With none the call is not made.
    /// `cancelled` ends it by closing its connection.
    pub async fn call(
        &self,
        spec: &CallSpec,
        begin: impl FnOnce() -> Vec<MsgId>,
        cancelled: oneshot::Receiver<()>,
    ) -> CallEnd {
        let start = Instant::now();
        let progress = CallProgress::default();
        let response = tokio::select! {
            biased;
            response = self.attempt(spec, start, begin, &progress) => response,
            _ = tokio::time::sleep(spec.timeout) => {
                progress.incomplete(spec, if progress.fully_written() { Outcome::TimedOut } else { progress.unsent() })
            }
            Ok(()) = cancelled => {
                progress.incomplete(spec, if progress.may_be_written() { Outcome::Cancelled } else { Outcome::Unreached })
            }
        };
        let fates = spec.items.iter().map(|item| {
            let (outcome, over) = match &response.states {
                _ if progress.left_out.borrow().contains(&item.id) => (Outcome::Skipped, true),
                None => (response.outcome, response.over),
                Some(states) => outcome_of_state(states.get(&item.request_id).map(String::as_str)),
            };
            Fate { id: item.id, attempt: item.attempt, outcome, over }
        });
        let elapsed = start.elapsed().as_micros() as Micros;
        let ResponseSummary { wait, report, .. } = response;
        CallEnd { endpoint: spec.endpoint, fates: fates.collect(), elapsed, wait, report }
    }

    async fn attempt(
        &self,
        spec: &CallSpec,
        start: Instant,
        begin: impl FnOnce() -> Vec<MsgId>,
        progress: &CallProgress,
    ) -> ResponseSummary {
        let endpoint = spec.endpoint;
        let kept = self.take_idle(endpoint, spec.addr);
        let idle_for = kept.as_ref().map(|c| c.idle_since.elapsed());
        let opened = match kept {
            Some(c) => Some(c),
            None => tokio::time::timeout(self.connect_timeout, open_settled(spec.addr)).await.ok().flatten(),
        };
        let Some(mut connection) = opened else { return ResponseSummary::of(Outcome::Unreached) };
        if !self.may_begin(endpoint, spec.lane) {
            self.put_idle(endpoint, connection);
            return ResponseSummary::of(Outcome::Skipped);
        }
        let wanted = begin();
        let (items, left_out): (Vec<&CallItem>, Vec<&CallItem>) =
            spec.items.iter().partition(|item| wanted.contains(&item.id));
        let left = spec.timeout.saturating_sub(start.elapsed());
        let request = (!items.is_empty()).then(|| request(spec, &items, left).ok()).flatten();
        let Some(request) = request else {
            self.put_idle(endpoint, connection);
            return ResponseSummary::of(Outcome::Skipped);
        };
        progress.left_out.replace(left_out.iter().map(|item| item.id).collect());
        let traffic = connection.traffic.clone();
        let (metrics, messages) = (self.metrics.clone(), items.len() as u64);
        traffic.on_request_written(move || metrics.forwards.set(metrics.forwards.get() + messages));
        progress.traffic.replace(Some((traffic.clone(), traffic.written.get())));
        let written = Instant::now();
        let complete = tokio::select! {
            biased;
            complete = self.exchange(&mut connection, spec, request, progress) => complete,
            () = traffic.response_overdue() => None,
        };
        if let Some(idle_for) = idle_for.filter(|r| *r > MIN_IDLE_LIFETIME)
            && (complete.is_none()
                && traffic.response_began.get().is_none()
                && written.elapsed() < IMMEDIATE_RESET)
        {
            self.record_stale(endpoint, idle_for);
        }
        match complete {
            Some(response) => {
                self.put_idle(endpoint, connection);
                response
            }
            None if !progress.fully_written() => ResponseSummary::of(Outcome::ConnectFailed),
            // A connection that ends speaks of the endpoint, an answer that can't be read on one that stays
            // open of itself alone.
            None if traffic.closed_by_peer.get() || traffic.response_began.get().is_none() => {
                progress.incomplete(spec, Outcome::Reset)
            }
            None => progress.incomplete(spec, Outcome::MalformedAnswer),
        }
    }

    /// Sends a request and reads its answer to the end; nothing if there is none that can be read.
    async fn exchange(
        &self,
        connection: &mut Connection,
        spec: &CallSpec,
        request: Request<Full<Bytes>>,
        progress: &CallProgress,
    ) -> Option<ResponseSummary> {
        let response = connection.send(request).await.ok()?;
        let mut summary = ResponseSummary::for_all(read_head(response.status().as_u16(), response.headers()));
        self.record_wait(spec.lane, summary.wait);
        progress.head.replace(Some(summary.clone()));
        let body =
            connection.drive(Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect()).await.ok()?;
        if summary.outcome == Outcome::Done && spec.batch {
            // An answer that tells nothing of a message leaves it open whether it ran.
            let Ok(states) = serde_json::from_slice::<Vec<BatchState>>(&body.to_bytes()) else {
                return Some(ResponseSummary { outcome: Outcome::MalformedAnswer, over: false, ..summary });
            };
            summary.states = Some(states.into_iter().map(|s| (s.id, s.state)).collect());
        }
        Some(summary)
    }

    /// Asks whether an endpoint is well.
    pub async fn probe(&self, endpoint: EndpointId, addr: SocketAddr) -> (Outcome, Option<LoadReport>) {
        let Ok(_one) = self.probes.try_acquire() else { return (Outcome::Skipped, None) };
        let work = async {
            let mut connection = match self.take_idle(endpoint, addr) {
                Some(c) => c,
                None => match Connection::open(addr).await {
                    Ok(c) => c,
                    Err(_) => return (Outcome::ConnectFailed, None),
                },
            };
            let request = Request::get("/healthz").header("host", addr.to_string());
            let Ok(request) = request.body(Full::new(Bytes::new())) else { return (Outcome::Skipped, None) };
            let Ok(response) = connection.send(request).await else { return (Outcome::Reset, None) };
            let head = read_head(response.status().as_u16(), response.headers());
            let body =
                connection.drive(Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect()).await;
            if body.is_ok() {
                self.put_idle(endpoint, connection);
            }
            (head.outcome, head.report)
        };
        tokio::time::timeout(self.connect_timeout, work).await.unwrap_or((Outcome::TimedOut, None))
    }
}

/// A new connection that was not reset as soon as it was up: nothing has been written on one that was, so that
/// its message has not run.
async fn open_settled(addr: SocketAddr) -> Option<Connection> {
    let connection = Connection::open(addr).await.ok()?;
    tokio::time::sleep(SETTLE_TIME).await;
    connection.if_usable()
}

fn request(
    spec: &CallSpec,
    items: &[&CallItem],
    left: Duration,
) -> Result<Request<Full<Bytes>>, Box<dyn std::error::Error>> {
    let head = Request::builder()
        .method("POST")
        .header("host", spec.addr.to_string())
        .header("x-timeout", format!("{}m", left.as_millis().max(1)));
    Ok(match items {
        [item] if !spec.batch => {
            let mut head = head.uri("/v1/messages").header("x-request-id", &item.request_id);
            if let Some(key) = &item.idempotency_key {
                head = head.header("idempotency-key", key);
            }
            head.body(Full::new(item.body.clone()))?
        }
        items => {
            let items = items.iter().map(|i| (&*i.request_id, i.idempotency_key.as_deref(), &*i.body));
            let body = encode_batch(items)?;
            head.uri("/v1/messages:batch")
                .header("content-type", "application/json")
                .body(Full::new(body.into()))?
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_new_connection_that_ends_at_once_is_not_written_to() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (ended, taken) = tokio::join!(open_settled(addr), async { listener.accept().await.map(drop) });
        assert!(taken.is_ok() && ended.is_none());
        let (kept, taken) = tokio::join!(open_settled(addr), listener.accept());
        assert!(taken.is_ok() && kept.is_some());
    }
}
