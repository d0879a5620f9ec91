//! Makes calls and probes to endpoints and determines their outcomes.
//! Each call and each probe has a connection of its own: see [`Connection`] for the reason.

use crate::call_log::CallLog;
use crate::connection::{Connection, Traffic};
use crate::endpoint_table::EndpointTable;
use crate::input::{CallEnd, MessageOutcome};
use crate::metrics::Metrics;
use bytes::Bytes;
use embershore_protocol::call::{AnswerHead, decode_states, encode_batch, outcome_of_state, read_head};
use heronroute::{DestId, EndpointId, LoadReport, Micros, MsgId, Outcome};
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, oneshot};

/// Size limit in bytes of a response's body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Minimum age of a connection before its request is written, which leaves time for an immediate reset.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// Time after which a second connection is tried beside one that has not come up.
/// On a path that loses packets, the second one often comes up long before the first.
const SECOND_CONNECTION_DELAY: Duration = Duration::from_millis(150);
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
    /// Number of the call, unique in the process.
    pub number: u64,
    pub endpoint: EndpointId,
    pub endpoint_name: String,
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
    /// The traffic of the call's connection, once the request may be written.
    traffic: RefCell<Option<Rc<Traffic>>>,
    head: RefCell<Option<ResponseSummary>>,
}

impl CallProgress {
    /// Whether the last byte of the call's request has been written.
    fn fully_written(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|traffic| traffic.flushed.get() > 0)
    }

    /// Whether any byte of the call's request may have been written.
    fn may_be_written(&self) -> bool {
        self.traffic.borrow().is_some()
    }

    /// Returns the outcome of a call whose last byte has not been written.
    fn unsent(&self) -> Outcome {
        if self.may_be_written() { Outcome::ConnectFailed } else { Outcome::Unreached }
    }

    /// Returns the status in the response's status line, if that line has been read.
    fn status(&self) -> Option<u16> {
        self.traffic.borrow().as_ref()?.status.get()
    }

    /// Summarises a response that was not read to its end.
    /// Status 200 confirms the delivery of a single message even if the rest of the response does not arrive.
    /// An incomplete response with another status proves nothing, but a wait in the response's head applies.
    fn incomplete(&self, spec: &CallSpec, outcome: Outcome) -> ResponseSummary {
        let head = self.head.take().unwrap_or_else(|| ResponseSummary::without_response(outcome));
        if self.status() == Some(200) && !spec.batch {
            return ResponseSummary {
                report: head.report,
                wait: head.wait,
                ..ResponseSummary::without_response(Outcome::Done)
            };
        }
        ResponseSummary { report: None, wait: head.wait, ..ResponseSummary::without_response(outcome) }
    }
}

/// Makes the calls, each on a connection of its own, and keeps the waits that receivers advertised.
pub struct Calls {
    endpoints: Rc<RefCell<EndpointTable>>,
    metrics: Rc<Metrics>,
    log: CallLog,
    waits: RefCell<HashMap<Lane, Instant>>,
    probes: Semaphore,
    connect_timeout: Duration,
}

impl Calls {
    /// Creates the object that makes calls.
    pub fn new(
        endpoints: Rc<RefCell<EndpointTable>>,
        metrics: Rc<Metrics>,
        log: CallLog,
        connect_timeout: Duration,
    ) -> Self {
        let (waits, probes) = (RefCell::default(), Semaphore::new(MAX_PROBES));
        Calls { endpoints, metrics, log, waits, probes, connect_timeout }
    }

    /// Returns the log of calls.
    pub fn log(&self) -> CallLog {
        self.log
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
        let outcomes: Vec<MessageOutcome> = outcomes.collect();
        let elapsed = start.elapsed();
        self.log.ended(spec, progress.status(), &outcomes, elapsed);
        let elapsed = elapsed.as_micros() as Micros;
        let ResponseSummary { wait, report, .. } = response;
        CallEnd { endpoint: spec.endpoint, outcomes, elapsed, wait, report }
    }

    async fn attempt(
        &self,
        spec: &CallSpec,
        start: Instant,
        begin: impl FnOnce() -> Vec<MsgId>,
        progress: &CallProgress,
    ) -> ResponseSummary {
        let opened = tokio::time::timeout(self.connect_timeout, open_settled(spec.addr)).await;
        let Some(connection) = opened.ok().flatten() else {
            return ResponseSummary::without_response(Outcome::Unreached);
        };
        if !self.may_begin(spec.endpoint, spec.lane) {
            return ResponseSummary::without_response(Outcome::Skipped);
        }
        let to_send = begin();
        let (items, left_out): (Vec<&CallItem>, Vec<&CallItem>) =
            spec.items.iter().partition(|item| to_send.contains(&item.id));
        let time_left = spec.timeout.saturating_sub(start.elapsed());
        let request = (!items.is_empty()).then(|| request(spec, &items, time_left).ok()).flatten();
        let Some(request) = request else { return ResponseSummary::without_response(Outcome::Skipped) };
        progress.left_out.replace(left_out.iter().map(|item| item.id).collect());
        let traffic = connection.traffic.clone();
        let (metrics, messages) = (self.metrics.clone(), items.len() as u64);
        traffic.on_request_written(move || metrics.forwards.set(metrics.forwards.get() + messages));
        progress.traffic.replace(Some(traffic.clone()));
        self.log.opened(spec, &items);
        let complete = tokio::select! {
            biased;
            complete = self.exchange(connection, spec, &items, request, progress) => complete,
            () = traffic.response_overdue() => None,
        };
        match complete {
            Some(response) => response,
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
        connection: Connection,
        spec: &CallSpec,
        items: &[&CallItem],
        request: Request<Full<Bytes>>,
        progress: &CallProgress,
    ) -> Option<ResponseSummary> {
        let mut answer = connection.send(request).await.ok()?;
        let mut summary = ResponseSummary::from_head(read_head(answer.status, &answer.headers));
        self.record_wait(spec.lane, summary.wait);
        progress.head.replace(Some(summary.clone()));
        let body = answer.read_body(MAX_RESPONSE_BYTES).await.ok()?;
        if answer.close() {
            self.metrics.stray_answers.count(&spec.endpoint_name);
        }
        if summary.outcome == Outcome::Done && spec.batch {
            // Without the state of exactly the call's messages, they may or may not have taken effect at the receiver.
            let ids = items.iter().map(|item| item.request_id.as_str());
            let Some(states) = decode_states(&body, ids) else {
                return Some(ResponseSummary {
                    outcome: Outcome::MalformedAnswer,
                    closes_message: false,
                    ..summary
                });
            };
            summary.states = Some(states);
        }
        Some(summary)
    }

    /// Probes an endpoint's health.
    pub async fn probe(&self, addr: SocketAddr) -> (Outcome, Option<LoadReport>) {
        let Ok(_permit) = self.probes.try_acquire() else { return (Outcome::Skipped, None) };
        let work = async {
            let Ok(connection) = Connection::open(addr).await else { return (Outcome::ConnectFailed, None) };
            let request = Request::get("/healthz").header("host", addr.to_string());
            let request = request.header("connection", "close").body(Full::new(Bytes::new()));
            let Ok(request) = request else { return (Outcome::Skipped, None) };
            let Ok(answer) = connection.send(request).await else { return (Outcome::Reset, None) };
            let head = read_head(answer.status, &answer.headers);
            (head.outcome, head.report)
        };
        tokio::time::timeout(self.connect_timeout, work).await.unwrap_or((Outcome::TimedOut, None))
    }
}

/// Connects to an endpoint. Tries a second connection after [`SECOND_CONNECTION_DELAY`], and returns the first to come up.
async fn connect(addr: SocketAddr) -> std::io::Result<Connection> {
    let mut first = std::pin::pin!(Connection::open(addr));
    if let Ok(opened) = tokio::time::timeout(SECOND_CONNECTION_DELAY, &mut first).await {
        return opened;
    }
    let mut second = std::pin::pin!(Connection::open(addr));
    tokio::select! {
        biased;
        opened = &mut first => match opened {
            Ok(connection) => Ok(connection),
            Err(_) => second.await,
        },
        opened = &mut second => match opened {
            Ok(connection) => Ok(connection),
            Err(_) => first.await,
        },
    }
}

/// Opens a connection and waits [`SETTLE_TIME`] for an immediate reset.
/// Returns None if the connection was reset: nothing had been written, so the message has certainly had no effect.
async fn open_settled(addr: SocketAddr) -> Option<Connection> {
    let connection = connect(addr).await.ok()?;
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
        .header("connection", "close")
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

    #[tokio::test]
    async fn a_second_connection_is_tried_beside_one_that_does_not_come_up() {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let addr = listener.local_addr().unwrap();
        // A full queue drops the first attempt's packet, which the system sends again after a second.
        let full = tokio::net::TcpStream::connect(addr).await.unwrap();
        let begun = Instant::now();
        let (opened, ()) = tokio::join!(connect(addr), async {
            tokio::time::sleep(SECOND_CONNECTION_DELAY / 2).await;
            drop(listener.accept().await.unwrap());
        });
        assert!(opened.is_ok() && begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
        drop(full);
    }
}
