//! Makes calls and probes to endpoints and determines their outcomes.
//! The module holds the idle connections; a connection carries one call at a time.

use crate::connection::{Connection, Traffic};
use crate::endpoint_table::EndpointTable;
use crate::input::{CallEnd, MessageOutcome};
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

/// Size limit in bytes of a response's body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Minimum age of a new connection, and minimum idle time of a reused connection, before a request is written.
/// The pause leaves time for the reset of a new connection, and for stray bytes after a response.
/// Without the pause, stray bytes on the connection would be read as the response to the next request.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// Time after a request was written within which a reset shows that a reused connection was unusable before.
/// A reused connection that is reset within this time counts as dropped by the peer before the request.
const IMMEDIATE_RESET: Duration = Duration::from_millis(100);
/// Minimum of the idle lifetime: connections idle for no longer than this minimum are always reused.
const MIN_IDLE_LIFETIME: Duration = Duration::from_millis(50);
/// Time for which resets of reused connections shorten the idle lifetime.
const STALE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of resets of reused connections that are recorded.
const MAX_STALE_RECORDS: usize = 64;
/// Fraction of the endpoints' idle timeout for which an idle connection stays open.
/// An endpoint may close a connection before the full timeout, and a request sent at that moment is reset.
pub const IDLE_LIFETIME_SHARE: f64 = 0.8;
/// Maximum number of idle connections while another process of this sender runs.
/// The two processes of a sender together have the descriptor limit of one process.
const MAX_IDLE_DURING_HANDOVER: usize = 24;
/// Maximum number of concurrent probes. Each probe uses a descriptor in addition to the calls' descriptors.
pub const MAX_PROBES: usize = 8;

/// One of the messages that a call carries to an endpoint.
#[derive(Clone, Debug)]
pub struct CallItem {
    pub id: MsgId,
    pub attempt: u32,
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// The arguments of one call: the endpoint and its lane, the messages, their form and the timeout.
pub struct CallSpec {
    pub endpoint: EndpointId,
    pub addr: SocketAddr,
    /// The lane to which a wait in the response applies.
    pub lane: Lane,
    pub items: Vec<CallItem>,
    pub batch: bool,
    pub timeout: Duration,
}

/// The scope of a wait that a receiver advertises: a destination, or one route of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    Whole(DestId),
    Route(EndpointId),
}

/// The content of a response: one outcome for all messages of the call, or the state of each message in `states`.
#[derive(Clone)]
struct ResponseSummary {
    outcome: Outcome,
    closes_message: bool,
    wait: Micros,
    report: Option<LoadReport>,
    states: Option<HashMap<String, String>>,
}

impl ResponseSummary {
    /// Returns the summary of a call without a readable response.
    fn without_response(outcome: Outcome) -> Self {
        ResponseSummary {
            outcome,
            closes_message: outcome == Outcome::Done,
            wait: 0,
            report: None,
            states: None,
        }
    }

    fn from_head(head: AnswerHead) -> Self {
        let AnswerHead { outcome, closes_message, wait, report } = head;
        ResponseSummary { outcome, closes_message, wait, report, states: None }
    }
}

/// The progress of a call in flight, which decides the outcome if no complete response arrives.
#[derive(Default)]
struct CallProgress {
    /// Messages that were not sent with the call because they had ended before the call began.
    left_out: RefCell<Vec<MsgId>>,
    /// The traffic of the call's connection, and the number of bytes written on the connection before the call.
    traffic: RefCell<Option<(Rc<Traffic>, u64)>>,
    head: RefCell<Option<ResponseSummary>>,
}

impl CallProgress {
    /// Whether the last byte of the call's request has been written.
    fn fully_written(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|(t, before)| t.flushed.get() > *before)
    }

    /// Whether any byte of the call's request may have been written.
    fn may_be_written(&self) -> bool {
        self.traffic.borrow().is_some()
    }

    /// Returns the outcome of a call whose last byte has not been written.
    fn unsent(&self) -> Outcome {
        if self.may_be_written() { Outcome::ConnectFailed } else { Outcome::Unreached }
    }

    /// Summarises a response that was not read to its end.
    /// Status 200 confirms the delivery of a single message even if the rest of the response does not arrive.
    /// An incomplete response with another status proves nothing, but a wait in the response's head applies.
    fn incomplete(&self, spec: &CallSpec, outcome: Outcome) -> ResponseSummary {
        let head = self.head.take().unwrap_or_else(|| ResponseSummary::without_response(outcome));
        let status = self.traffic.borrow().as_ref().and_then(|(t, _)| t.status.get());
        if status == Some(200) && !spec.batch {
            return ResponseSummary {
                report: head.report,
                wait: head.wait,
                ..ResponseSummary::without_response(Outcome::Done)
            };
        }
        ResponseSummary { report: None, wait: head.wait, ..ResponseSummary::without_response(outcome) }
    }
}

/// A reused connection that was reset when its next request was written.
struct StaleConnection {
    endpoint: EndpointId,
    at: Instant,
    idle_for: Duration,
}

/// Makes the calls: holds the idle connections to all endpoints and the waits that receivers advertised.
pub struct Calls {
    stale: RefCell<VecDeque<StaleConnection>>,
    endpoints: Rc<RefCell<EndpointTable>>,
    metrics: Rc<Metrics>,
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    waits: RefCell<HashMap<Lane, Instant>>,
    max_idle: usize,
    /// Whether another process of this sender shares the descriptor limit, so that fewer connections may be idle.
    two_processes: Rc<Cell<bool>>,
    probes: Semaphore,
    max_idle_time: Duration,
    connect_timeout: Duration,
}

impl Calls {
    /// Creates the object that makes calls. The object has no connections at first.
    /// `max_idle_time` is the longest time for which a connection may be idle.
    /// `max_idle` is the maximum number of idle connections to endpoints.
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

    /// Whether a call may begin now. A drain or a wait may have been reported since the dispatcher decided on the call.
    fn may_begin(&self, endpoint: EndpointId, lane: Lane) -> bool {
        let ready = self.endpoints.borrow().get(endpoint).is_some_and(|e| e.ready);
        let waits = self.waits.borrow().get(&lane).is_some_and(|until| Instant::now() < *until);
        ready && !waits
    }

    /// Records a wait from a response to a call of this process or of its predecessor.
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

    /// Closes the connections that have been idle for longer than the idle lifetime.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|endpoint, connections| {
            let max_age = self.idle_lifetime(*endpoint);
            connections.retain(|c| c.idle_since.elapsed() < max_age);
            !connections.is_empty()
        });
    }

    /// Returns how long a connection to the endpoint may be idle and still be reused.
    /// The limited idle time guards against connections that the endpoint or the network has dropped unnoticed.
    /// The next request on a dropped connection is reset, and may or may not have taken effect at the receiver.
    /// An unsafe message can't be repeated after a reset of its request, and is lost.
    /// For [`STALE_RETENTION`] after a reset, the lifetime is half of the shortest idle time that ended in a reset.
    /// The shorter idle lifetime makes the sender open more new connections.
    /// The shorter idle lifetime applies to the endpoint alone, or to all endpoints if several endpoints had resets.
    fn idle_lifetime(&self, endpoint: EndpointId) -> Duration {
        let mut stale = self.stale.borrow_mut();
        stale.retain(|s| s.at.elapsed() < STALE_RETENTION);
        let at_several_endpoints = stale.iter().any(|s| s.endpoint != stale[0].endpoint);
        let relevant = stale.iter().filter(|s| at_several_endpoints || s.endpoint == endpoint);
        let shortest = relevant.map(|s| (s.idle_for / 2).max(MIN_IDLE_LIFETIME)).min();
        shortest.unwrap_or(self.max_idle_time).min(self.max_idle_time)
    }

    fn record_stale(&self, endpoint: EndpointId, idle_for: Duration) {
        let mut stale = self.stale.borrow_mut();
        stale.truncate(MAX_STALE_RECORDS - 1);
        stale.push_front(StaleConnection { endpoint, at: Instant::now(), idle_for });
    }

    /// Takes a reusable idle connection to the endpoint, if there is one.
    fn take_idle(&self, endpoint: EndpointId, addr: SocketAddr) -> Option<Connection> {
        let max_age = self.idle_lifetime(endpoint);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // A later endpoint list may contain the endpoint with another address.
        connections.retain(|c| c.addr() == addr && c.idle_since.elapsed() < max_age);
        while let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= SETTLE_TIME) {
            if let Some(connection) = connections.remove(at).if_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse. At the limit of idle connections, the longest idle connection is closed first.
    fn put_idle(&self, endpoint: EndpointId, connection: Connection) {
        let Some(mut connection) = connection.if_usable() else { return };
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let max_idle = if self.two_processes.get() {
            self.max_idle.min(MAX_IDLE_DURING_HANDOVER)
        } else {
            self.max_idle
        };
        if max_idle == 0 {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= max_idle
            && let Some(oldest) = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since)
        {
            oldest.remove(0);
        }
        idle.entry(endpoint).or_default().push(connection);
    }

    /// Makes a call. Right before the first byte is written, `begin` returns the messages to send.
    /// Some of the call's messages may have ended while the connection was opening.
    /// If `begin` returns no message, nothing is sent. `cancelled` ends the call by closing its connection.
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
                let outcome = if progress.fully_written() { Outcome::TimedOut } else { progress.unsent() };
                progress.incomplete(spec, outcome)
            }
            Ok(()) = cancelled => {
                let outcome = if progress.may_be_written() { Outcome::Cancelled } else { Outcome::Unreached };
                progress.incomplete(spec, outcome)
            }
        };
        let outcomes = spec.items.iter().map(|item| {
            let (outcome, closes_message) = match &response.states {
                _ if progress.left_out.borrow().contains(&item.id) => (Outcome::Skipped, true),
                None => (response.outcome, response.closes_message),
                Some(states) => outcome_of_state(states.get(&item.request_id).map(String::as_str)),
            };
            MessageOutcome { id: item.id, attempt: item.attempt, outcome, closes_message }
        });
        let elapsed = start.elapsed().as_micros() as Micros;
        let ResponseSummary { wait, report, .. } = response;
        CallEnd { endpoint: spec.endpoint, outcomes: outcomes.collect(), elapsed, wait, report }
    }

    async fn attempt(
        &self,
        spec: &CallSpec,
        start: Instant,
        begin: impl FnOnce() -> Vec<MsgId>,
        progress: &CallProgress,
    ) -> ResponseSummary {
        let endpoint = spec.endpoint;
        let reused = self.take_idle(endpoint, spec.addr);
        let idle_for = reused.as_ref().map(|c| c.idle_since.elapsed());
        let opened = match reused {
            Some(connection) => Some(connection),
            None => tokio::time::timeout(self.connect_timeout, open_settled(spec.addr)).await.ok().flatten(),
        };
        let Some(mut connection) = opened else {
            return ResponseSummary::without_response(Outcome::Unreached);
        };
        if !self.may_begin(endpoint, spec.lane) {
            self.put_idle(endpoint, connection);
            return ResponseSummary::without_response(Outcome::Skipped);
        }
        let to_send = begin();
        let (items, left_out): (Vec<&CallItem>, Vec<&CallItem>) =
            spec.items.iter().partition(|item| to_send.contains(&item.id));
        let time_left = spec.timeout.saturating_sub(start.elapsed());
        let request = (!items.is_empty()).then(|| request(spec, &items, time_left).ok()).flatten();
        let Some(request) = request else {
            self.put_idle(endpoint, connection);
            return ResponseSummary::without_response(Outcome::Skipped);
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
            None if !progress.fully_written() => ResponseSummary::without_response(Outcome::ConnectFailed),
            // A closed connection is evidence about the endpoint's health.
            // An unparsable response on a connection that stays open is no such evidence.
            None if traffic.closed_by_peer.get() || traffic.response_began.get().is_none() => {
                progress.incomplete(spec, Outcome::Reset)
            }
            None => progress.incomplete(spec, Outcome::MalformedAnswer),
        }
    }

    /// Sends a request and reads its response to the end; None if no readable response came.
    async fn exchange(
        &self,
        connection: &mut Connection,
        spec: &CallSpec,
        request: Request<Full<Bytes>>,
        progress: &CallProgress,
    ) -> Option<ResponseSummary> {
        let response = connection.send(request).await.ok()?;
        let mut summary =
            ResponseSummary::from_head(read_head(response.status().as_u16(), response.headers()));
        self.record_wait(spec.lane, summary.wait);
        progress.head.replace(Some(summary.clone()));
        let body =
            connection.drive(Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect()).await.ok()?;
        if summary.outcome == Outcome::Done && spec.batch {
            // Without readable states in the response, the messages may or may not have taken effect at the receiver.
            let Ok(states) = serde_json::from_slice::<Vec<BatchState>>(&body.to_bytes()) else {
                return Some(ResponseSummary {
                    outcome: Outcome::MalformedAnswer,
                    closes_message: false,
                    ..summary
                });
            };
            summary.states = Some(states.into_iter().map(|s| (s.id, s.state)).collect());
        }
        Some(summary)
    }

    /// Probes an endpoint's health, on an idle connection or else on a new connection.
    pub async fn probe(&self, endpoint: EndpointId, addr: SocketAddr) -> (Outcome, Option<LoadReport>) {
        let Ok(_permit) = self.probes.try_acquire() else { return (Outcome::Skipped, None) };
        let work = async {
            let mut connection = match self.take_idle(endpoint, addr) {
                Some(connection) => connection,
                None => match Connection::open(addr).await {
                    Ok(connection) => connection,
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

/// Opens a connection and waits [`SETTLE_TIME`] for an immediate reset.
/// Returns None if the connection was reset: nothing had been written, so the message has certainly had no effect.
async fn open_settled(addr: SocketAddr) -> Option<Connection> {
    let connection = Connection::open(addr).await.ok()?;
    tokio::time::sleep(SETTLE_TIME).await;
    connection.if_usable()
}

fn request(
    spec: &CallSpec,
    items: &[&CallItem],
    time_left: Duration,
) -> Result<Request<Full<Bytes>>, Box<dyn std::error::Error>> {
    let head = Request::builder()
        .method("POST")
        .header("host", spec.addr.to_string())
        .header("x-timeout", format!("{}m", time_left.as_millis().max(1)));
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
    async fn a_new_connection_that_is_closed_at_once_is_not_used() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (ended, taken) = tokio::join!(open_settled(addr), async { listener.accept().await.map(drop) });
        assert!(taken.is_ok() && ended.is_none());
        let (reused, taken) = tokio::join!(open_settled(addr), listener.accept());
        assert!(taken.is_ok() && reused.is_some());
    }
}
