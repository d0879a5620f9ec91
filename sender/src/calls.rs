//! Calls to endpoints: their connections, one call on each at a time, and what comes back.

use crate::discovery::Fleet;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::{Bytes, BytesMut};
use heronroute::{DestId, EndpointId, Micros, MsgId, Outcome, Report};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};

const ANSWER_MOST: usize = 64 * 1024;
/// An answer's head is shorter than this.
const HEAD_MOST: usize = 16 * 1024;
/// An answer that has begun must have come to its end by then: one that is spoilt may never, and its call would
/// hold a slot for all of its time.
const REST_TIME: Duration = Duration::from_millis(400);
/// A connection is used only after this: again, so that bytes which follow an answer show up before the next
/// request (they would be read as its answer), and at first, so that a reset does which meets a new one.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// A kept connection that is reset this soon after its next request was written had been dropped before it.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Connections that have rested no longer than this are taken to be good.
const SHELF_LEAST: Duration = Duration::from_millis(50);
/// Kept connections are trusted less for this long after some were reset; so many resets are remembered.
const STALE_MEMORY: Duration = Duration::from_secs(10);
const STALE_MOST: usize = 64;
/// Probes that are out at once: each takes a descriptor beside those of the calls.
pub const PROBES_MOST: usize = 8;

/// What has passed on a socket, as far as the outcome of a call depends on it and hyper does not tell.
#[derive(Debug, Default)]
struct Traffic {
    written: Cell<u64>,
    /// The bytes that had been written when all that was to be written had been.
    flushed: Cell<u64>,
    /// A request is out whose answer has not begun.
    awaited: Cell<bool>,
    /// When an answer began, or a line before it that is not over.
    began: Cell<Option<Instant>>,
    /// The status in the answer's first line.
    status: Cell<Option<u16>>,
    /// The other side has ended the connection.
    ended: Cell<bool>,
}

impl Traffic {
    fn expect(&self) {
        self.awaited.set(true);
        self.began.set(None);
        self.status.set(None);
    }

    /// Waits until an answer that has begun is long overdue. To be polled beside what reads it.
    async fn overdue(&self) {
        loop {
            let began = std::future::poll_fn(|_| self.began.get().map_or(Poll::Pending, Poll::Ready)).await;
            tokio::time::sleep_until((began + REST_TIME).into()).await;
            if self.began.get() == Some(began) {
                return;
            }
        }
    }
}

/// A socket that tells when a request's last byte has been written (hyper flushes it only once its own buffer is
/// empty, and a request's head and body enter that buffer together) and what an answer's first line says, which
/// decides even where the rest can't be read. It keeps 1xx answers to itself: hyper would take a 101 for the end
/// of HTTP on the connection.
struct Socket<S = TcpStream> {
    stream: S,
    traffic: Rc<Traffic>,
    /// Read and not handed on: the first line so far, or all up to a 1xx answer's end.
    held: BytesMut,
}

/// The status that a first line tells.
fn status_of(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.").and_then(|r| r.strip_prefix(b"1").or(r.strip_prefix(b"0")))?;
    let (code, rest) = rest.strip_prefix(b" ")?.split_at_checked(3)?;
    let ends = rest.first().is_some_and(|b| b" \r\n".contains(b));
    std::str::from_utf8(code).ok().filter(|c| ends && c.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()
}

impl<S> Socket<S> {
    fn new(stream: S, traffic: Rc<Traffic>) -> Self {
        Socket { stream, traffic, held: BytesMut::new() }
    }

    /// Looks at what is held: drops 1xx answers that are whole, and lets go of it once the answer's first line is
    /// known or can't be one.
    fn look(&mut self) {
        let t = &self.traffic;
        while let Some(end) = self.held.iter().position(|b| *b == b'\n') {
            let status = status_of(&self.held[..=end]);
            if !status.is_some_and(|s| (100..200).contains(&s)) {
                t.status.set(status);
                t.awaited.set(false);
                break;
            }
            let Some(blank) = self.held.windows(4).position(|w| w == b"\r\n\r\n") else { break };
            _ = self.held.split_to(blank + 4);
        }
        if self.held.len() > HEAD_MOST {
            t.awaited.set(false);
        }
        let began = (!self.held.is_empty()).then(|| t.began.get().unwrap_or_else(Instant::now));
        t.began.set(began);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.traffic.awaited.get() {
            let mut piece = [0; 1024];
            let mut piece = ReadBuf::new(&mut piece);
            std::task::ready!(Pin::new(&mut this.stream).poll_read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                this.traffic.ended.set(true);
                break;
            }
            this.held.extend_from_slice(piece.filled());
            this.look();
        }
        if !this.held.is_empty() {
            let n = this.held.len().min(buf.remaining());
            buf.put_slice(&this.held.split_to(n));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = std::task::ready!(Pin::new(&mut this.stream).poll_read(cx, buf));
        if read.is_err() || buf.filled().len() == before {
            this.traffic.ended.set(true);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let n = std::task::ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.traffic.written.set(self.traffic.written.get() + n as u64);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.traffic.flushed.set(self.traffic.written.get());
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type Driver = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// An HTTP/1.1 connection. Nothing runs it in the background: dropping it closes the socket at once, so that
/// a call which was given up is never still out when the next one of its message begins.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    traffic: Rc<Traffic>,
    addr: SocketAddr,
    since: Instant,
}

impl Connection {
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let socket = TokioIo::new(Socket::new(stream, traffic.clone()));
        let handshake = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(socket);
        let (requests, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Connection { requests, driver: Some(driver), traffic, addr, since: Instant::now() })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs the connection until `work` is done.
    pub async fn drive<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = pin!(work);
        std::future::poll_fn(|cx| {
            if let Some(driver) = &mut self.driver
                && Pin::new(driver).poll(cx).is_ready()
            {
                self.driver = None;
            }
            work.as_mut().poll(cx)
        })
        .await
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.traffic.expect();
        let answer = self.requests.send_request(request);
        let mut driver = self.driver.take();
        let mut answer = pin!(answer);
        let result = std::future::poll_fn(|cx| {
            // Twice: the connection takes the request that the first poll handed over, and its answer may
            // have come by then.
            if let Poll::Ready(r) = answer.as_mut().poll(cx) {
                return Poll::Ready(r);
            }
            if let Some(d) = &mut driver
                && Pin::new(d).poll(cx).is_ready()
            {
                driver = None;
            }
            answer.as_mut().poll(cx)
        })
        .await;
        self.driver = driver;
        result
    }

    /// Itself, if a further request may go on it: notices that the other side has closed it.
    pub fn if_usable(mut self) -> Option<Self> {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(&mut cx).is_ready()
        {
            self.driver = None;
        }
        (self.driver.is_some() && self.requests.is_ready()).then_some(self)
    }
}

/// One message in a call.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: MsgId,
    pub attempt: u32,
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// A call to make.
pub struct Order {
    pub endpoint: EndpointId,
    pub addr: SocketAddr,
    /// What a wait told in its answer binds.
    pub lane: Lane,
    pub items: Vec<Item>,
    pub batch: bool,
    pub timeout: Duration,
}

/// What a wait holds back: a destination, or one route of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    Whole(DestId),
    Route(EndpointId),
}

/// How a message fared in a call.
#[derive(Clone, Debug)]
pub struct Fate {
    pub id: MsgId,
    pub attempt: u32,
    pub outcome: Outcome,
    /// Nothing more is owed.
    pub over: bool,
}

/// How a call ended.
#[derive(Debug)]
pub struct Ended {
    pub endpoint: EndpointId,
    pub fates: Vec<Fate>,
    pub elapsed: Micros,
    pub wait: Micros,
    pub report: Option<Report>,
}

/// What an answer says, for all messages of the call alike unless `states` tells each one's end.
#[derive(Clone)]
struct Answer {
    outcome: Outcome,
    over: bool,
    wait: Micros,
    report: Option<Report>,
    states: Option<HashMap<String, String>>,
}

impl Answer {
    fn of(outcome: Outcome) -> Self {
        Answer { outcome, over: outcome == Outcome::Done, wait: 0, report: None, states: None }
    }
}

/// What is known of a call that is out.
#[derive(Default)]
struct Seen {
    /// Its connection's traffic, and what had been written there before.
    traffic: RefCell<Option<(Rc<Traffic>, u64)>>,
    head: RefCell<Option<Answer>>,
}

impl Seen {
    /// The request's last byte has been written.
    fn sent(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|(t, before)| t.flushed.get() > *before)
    }

    /// The answer where it has not come to its end. A single message is delivered by a first line that says so,
    /// whatever becomes of the rest. Any other answer that is not whole proves nothing, but a wait told in it
    /// binds.
    fn cut(&self, order: &Order, outcome: Outcome) -> Answer {
        let head = self.head.take().unwrap_or_else(|| Answer::of(outcome));
        let status = self.traffic.borrow().as_ref().and_then(|(t, _)| t.status.get());
        if status == Some(200) && !order.batch {
            return Answer { report: head.report, wait: head.wait, ..Answer::of(Outcome::Done) };
        }
        Answer { report: None, wait: head.wait, ..Answer::of(outcome) }
    }
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchState {
    id: String,
    state: String,
}

/// A kept connection that was reset at its next request.
struct Stale {
    endpoint: EndpointId,
    at: Instant,
    rested: Duration,
}

/// The connections to all endpoints, and the waits that they have told.
pub struct Calls {
    stale: RefCell<VecDeque<Stale>>,
    fleet: Rc<RefCell<Fleet>>,
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    waits: RefCell<HashMap<Lane, Instant>>,
    idle_most: usize,
    probes: Semaphore,
    retire_after: Duration,
    connect_timeout: Duration,
}

impl Calls {
    pub fn new(
        fleet: Rc<RefCell<Fleet>>,
        idle_close: Duration,
        connect_timeout: Duration,
        idle_most: usize,
    ) -> Self {
        // The other side may close at its limit at the latest, and what crosses that is reset.
        let retire_after = idle_close.mul_f64(0.8);
        let (idle, waits, stale) = (RefCell::default(), RefCell::default(), RefCell::default());
        let probes = Semaphore::new(PROBES_MOST);
        Calls { stale, fleet, idle, waits, idle_most, probes, retire_after, connect_timeout }
    }

    /// Whether a call may begin now: a drain or a wait may have been learnt since it was decided.
    fn open_to(&self, endpoint: EndpointId, lane: Lane) -> bool {
        let ready = self.fleet.borrow().get(endpoint).is_some_and(|e| e.ready);
        let waits = self.waits.borrow().get(&lane).is_some_and(|until| Instant::now() < *until);
        ready && !waits
    }

    fn learn_wait(&self, lane: Lane, wait: Micros) {
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

    /// Closes connections that have been idle for long.
    pub fn retire(&self) {
        self.idle.borrow_mut().retain(|endpoint, connections| {
            let most = self.shelf_life(*endpoint);
            connections.retain(|c| c.since.elapsed() < most);
            !connections.is_empty()
        });
    }

    /// How long a connection may rest and still be used. Guards against kept connections that are dropped unseen,
    /// by the endpoint or between: the reset comes at the next request, which may have run for all that is known,
    /// and an unsafe message is lost by it. Costs new connections for a while. Where it happens at one endpoint
    /// only, the others' are kept.
    fn shelf_life(&self, endpoint: EndpointId) -> Duration {
        let mut stale = self.stale.borrow_mut();
        stale.retain(|s| s.at.elapsed() < STALE_MEMORY);
        let several = stale.iter().any(|s| s.endpoint != stale[0].endpoint);
        let alike = stale.iter().filter(|s| several || s.endpoint == endpoint);
        let shortest = alike.map(|s| (s.rested / 2).max(SHELF_LEAST)).min();
        shortest.unwrap_or(self.retire_after).min(self.retire_after)
    }

    fn learn_stale(&self, endpoint: EndpointId, rested: Duration) {
        let mut stale = self.stale.borrow_mut();
        stale.truncate(STALE_MOST - 1);
        stale.push_front(Stale { endpoint, at: Instant::now(), rested });
    }

    fn take(&self, endpoint: EndpointId, addr: SocketAddr) -> Option<Connection> {
        let most = self.shelf_life(endpoint);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        // An endpoint may be listed again under another address.
        connections.retain(|c| c.addr == addr && c.since.elapsed() < most);
        while let Some(at) = connections.iter().rposition(|c| c.since.elapsed() >= SETTLE_TIME) {
            if let Some(connection) = connections.remove(at).if_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, endpoint: EndpointId, connection: Connection) {
        let Some(mut connection) = connection.if_usable() else { return };
        connection.since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if self.idle_most == 0 {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= self.idle_most
            && let Some(oldest) = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].since)
        {
            oldest.remove(0);
        }
        idle.entry(endpoint).or_default().push(connection);
    }

    /// Makes a call. `begin` is asked right before the first byte is written and may say no; `cancelled` ends
    /// the call by closing its connection.
    pub async fn call(
        &self,
        order: &Order,
        begin: impl FnOnce() -> bool,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let start = Instant::now();
        let seen = Seen::default();
        let answer = tokio::select! {
            biased;
            answer = self.attempt(order, start, begin, &seen) => answer,
            _ = tokio::time::sleep(order.timeout) => {
                seen.cut(order, if seen.sent() { Outcome::TimedOut } else { Outcome::ConnectFailed })
            }
            Ok(()) = cancelled => seen.cut(order, Outcome::Cancelled),
        };
        let fates = order.items.iter().map(|item| {
            let (outcome, over) = match &answer.states {
                None => (answer.outcome, answer.over),
                Some(states) => state(states.get(&item.request_id).map(String::as_str)),
            };
            Fate { id: item.id, attempt: item.attempt, outcome, over }
        });
        let elapsed = start.elapsed().as_micros() as Micros;
        let Answer { wait, report, .. } = answer;
        Ended { endpoint: order.endpoint, fates: fates.collect(), elapsed, wait, report }
    }

    async fn attempt(
        &self,
        order: &Order,
        start: Instant,
        begin: impl FnOnce() -> bool,
        seen: &Seen,
    ) -> Answer {
        let endpoint = order.endpoint;
        let kept = self.take(endpoint, order.addr);
        let rested = kept.as_ref().map(|c| c.since.elapsed());
        let opened = match kept {
            Some(c) => Some(c),
            None => tokio::time::timeout(self.connect_timeout, settled(order.addr)).await.ok().flatten(),
        };
        let Some(mut connection) = opened else { return Answer::of(Outcome::ConnectFailed) };
        if !self.open_to(endpoint, order.lane) {
            self.keep(endpoint, connection);
            return Answer::of(Outcome::Skipped);
        }
        let Ok(request) = request(order, order.timeout.saturating_sub(start.elapsed())) else {
            return Answer::of(Outcome::Skipped);
        };
        if !begin() {
            self.keep(endpoint, connection);
            return Answer::of(Outcome::Skipped);
        }
        let traffic = connection.traffic.clone();
        seen.traffic.replace(Some((traffic.clone(), traffic.written.get())));
        let written = Instant::now();
        let whole = tokio::select! {
            biased;
            whole = self.exchange(&mut connection, order, request, seen) => whole,
            () = traffic.overdue() => None,
        };
        if let Some(rested) = rested.filter(|r| *r > SHELF_LEAST)
            && (whole.is_none() && traffic.began.get().is_none() && written.elapsed() < AT_ONCE)
        {
            self.learn_stale(endpoint, rested);
        }
        match whole {
            Some(answer) => {
                self.keep(endpoint, connection);
                answer
            }
            None if !seen.sent() => Answer::of(Outcome::ConnectFailed),
            // A connection that ends speaks of the endpoint, an answer that can't be read on one that stays
            // open of itself alone.
            None if traffic.ended.get() || traffic.began.get().is_none() => seen.cut(order, Outcome::Reset),
            None => seen.cut(order, Outcome::Spoilt),
        }
    }

    /// Sends a request and reads its answer to the end; nothing if there is none that can be read.
    async fn exchange(
        &self,
        connection: &mut Connection,
        order: &Order,
        request: Request<Full<Bytes>>,
        seen: &Seen,
    ) -> Option<Answer> {
        let response = connection.send(request).await.ok()?;
        let mut answer = read_head(response.status().as_u16(), response.headers());
        self.learn_wait(order.lane, answer.wait);
        seen.head.replace(Some(answer.clone()));
        let body = connection.drive(Limited::new(response.into_body(), ANSWER_MOST).collect()).await.ok()?;
        if answer.outcome == Outcome::Done && order.batch {
            // An answer that tells nothing of a message leaves it open whether it ran.
            let Ok(states) = serde_json::from_slice::<Vec<BatchState>>(&body.to_bytes()) else {
                return Some(Answer { outcome: Outcome::Spoilt, over: false, ..answer });
            };
            answer.states = Some(states.into_iter().map(|s| (s.id, s.state)).collect());
        }
        Some(answer)
    }

    /// Asks whether an endpoint is well.
    pub async fn probe(&self, endpoint: EndpointId, addr: SocketAddr) -> (Outcome, Option<Report>) {
        let Ok(_one) = self.probes.try_acquire() else { return (Outcome::Skipped, None) };
        let work = async {
            let mut connection = match self.take(endpoint, addr) {
                Some(c) => c,
                None => match Connection::open(addr).await {
                    Ok(c) => c,
                    Err(_) => return (Outcome::ConnectFailed, None),
                },
            };
            let request = Request::get("/healthz").header("host", addr.to_string());
            let Ok(request) = request.body(Full::new(Bytes::new())) else { return (Outcome::Skipped, None) };
            let Ok(response) = connection.send(request).await else { return (Outcome::Reset, None) };
            let answer = read_head(response.status().as_u16(), response.headers());
            let body = connection.drive(Limited::new(response.into_body(), ANSWER_MOST).collect()).await;
            if body.is_ok() {
                self.keep(endpoint, connection);
            }
            (answer.outcome, answer.report)
        };
        tokio::time::timeout(self.connect_timeout, work).await.unwrap_or((Outcome::TimedOut, None))
    }
}

/// A new connection that was not reset as soon as it was up: nothing has been written on one that was, so that
/// its message has not run.
async fn settled(addr: SocketAddr) -> Option<Connection> {
    let connection = Connection::open(addr).await.ok()?;
    tokio::time::sleep(SETTLE_TIME).await;
    connection.if_usable()
}

fn state(state: Option<&str>) -> (Outcome, bool) {
    match state {
        Some("ok") => (Outcome::Done, true),
        Some("later") => (Outcome::Busy, false),
        Some("gone") => (Outcome::Skipped, true),
        Some("exhausted") => (Outcome::Skipped, false),
        _ => (Outcome::Error, false),
    }
}

fn read_head(status: u16, headers: &HeaderMap) -> Answer {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse::<u32>().ok();
    let outcome = match status {
        200 => Outcome::Done,
        503 if number("x-no-slot") == Some(1) => Outcome::Skipped,
        429 | 503 => Outcome::Busy,
        // Malformed, too many in a batch, all attempts used, over: none of these has run.
        400 | 413 | 504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let wait = Micros::from(number("x-retry-in-ms").unwrap_or(0)) * 1000;
    let report = headers.get("x-server-load").and_then(|v| v.to_str().ok()).map(|text| {
        let figure = |name: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse().ok())
        };
        Report { left: figure("x0"), limit: figure("x1") }
    });
    Answer { outcome, over: matches!(status, 200 | 410), wait, report, states: None }
}

fn request(order: &Order, left: Duration) -> Result<Request<Full<Bytes>>, Box<dyn std::error::Error>> {
    let head = Request::builder()
        .method("POST")
        .header("host", order.addr.to_string())
        .header("x-timeout", format!("{}m", left.as_millis().max(1)));
    Ok(match order.items.as_slice() {
        [item] if !order.batch => {
            let mut head = head.uri("/v1/messages").header("x-request-id", &item.request_id);
            if let Some(key) = &item.idempotency_key {
                head = head.header("idempotency-key", key);
            }
            head.body(Full::new(item.body.clone()))?
        }
        items => {
            let items = items.iter().map(|i| BatchItem {
                id: &i.request_id,
                key: i.idempotency_key.as_deref(),
                body: BASE64.encode(&i.body),
            });
            let body = serde_json::to_vec(&items.collect::<Vec<_>>())?;
            head.uri("/v1/messages:batch")
                .header("content-type", "application/json")
                .body(Full::new(body.into()))?
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, DuplexStream};

    /// Sends a request with a long body through a pipe of 64 bytes of which `read` reads; what was written.
    async fn written(read: impl AsyncFnOnce(&mut DuplexStream)) -> Rc<Traffic> {
        let (near, mut far) = tokio::io::duplex(64);
        let traffic = Rc::new(Traffic::default());
        let socket = Socket::new(near, traffic.clone());
        let (mut requests, driver) = http1::handshake(TokioIo::new(socket)).await.unwrap();
        let request = Request::post("/v1/messages").body(Full::new(Bytes::from(vec![7; 10_000]))).unwrap();
        let reading = async {
            read(&mut far).await;
            drop(far);
        };
        let (answer, _, ()) = tokio::join!(requests.send_request(request), driver, reading);
        assert!(answer.is_err());
        traffic
    }

    #[tokio::test]
    async fn a_call_counts_as_written_only_with_its_last_byte() {
        let cut = written(async |far| _ = far.read_exact(&mut [0; 5_000]).await.unwrap()).await;
        assert!(cut.written.get() >= 5_000);
        assert_eq!(cut.flushed.get(), 0);
        let whole = written(async |far| {
            let mut seen = Vec::new();
            while !seen.ends_with(&[7; 10_000]) {
                far.read_buf(&mut seen).await.unwrap();
            }
            // The other side sees the last byte before this one is told so.
            tokio::task::yield_now().await;
        });
        let whole = whole.await;
        assert!(whole.flushed.get() > 10_000);
        assert_eq!(whole.flushed.get(), whole.written.get());
    }

    #[tokio::test]
    async fn a_new_connection_that_ends_at_once_is_not_written_to() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (ended, taken) = tokio::join!(settled(addr), async { listener.accept().await.map(drop) });
        assert!(taken.is_ok() && ended.is_none());
        let (kept, taken) = tokio::join!(settled(addr), listener.accept());
        assert!(taken.is_ok() && kept.is_some());
    }
}
