//! Calls to endpoints: their connections, one call on each at a time, and what comes back.

use crate::connection::{Connection, Traffic};
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::input::{Ended, Fate};
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

const ANSWER_MOST: usize = 64 * 1024;
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
/// Part of the time after which endpoints close idle connections for which they are kept: the other side may close at
/// its limit at the latest, and what crosses that is reset.
pub const KEPT_PART: f64 = 0.8;
/// Connections that are kept idle while another process of this sender runs: the two together may hold no more
/// descriptors than one.
const IDLE_BY_TWO: usize = 24;
/// Probes that are out at once: each takes a descriptor beside those of the calls.
pub const PROBES_MOST: usize = 8;

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

/// What an answer says, for all messages of the call alike unless `states` tells each one's end.
#[derive(Clone)]
struct Answer {
    outcome: Outcome,
    over: bool,
    wait: Micros,
    report: Option<LoadReport>,
    states: Option<HashMap<String, String>>,
}

impl Answer {
    fn of(outcome: Outcome) -> Self {
        Answer { outcome, over: outcome == Outcome::Done, wait: 0, report: None, states: None }
    }

    fn alike(head: AnswerHead) -> Self {
        let AnswerHead { outcome, closes_message: over, wait, report } = head;
        Answer { outcome, over, wait, report, states: None }
    }
}

/// What is known of a call that is out.
#[derive(Default)]
struct Seen {
    /// Messages that were left out when it began: each was over by then.
    left_out: RefCell<Vec<MsgId>>,
    /// Its connection's traffic, and what had been written there before.
    traffic: RefCell<Option<(Rc<Traffic>, u64)>>,
    head: RefCell<Option<Answer>>,
}

impl Seen {
    /// The request's last byte has been written.
    fn sent(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|(t, before)| t.flushed.get() > *before)
    }

    /// A first byte of it may have been written.
    fn begun(&self) -> bool {
        self.traffic.borrow().is_some()
    }

    /// What a call is whose last byte has not been written.
    fn unsent(&self) -> Outcome {
        if self.begun() { Outcome::ConnectFailed } else { Outcome::Unreached }
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
    figures: Rc<Figures>,
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    waits: RefCell<HashMap<Lane, Instant>>,
    idle_most: usize,
    /// Descriptors are shared with another process: none is kept idle.
    by_two: Rc<Cell<bool>>,
    probes: Semaphore,
    retire_after: Duration,
    connect_timeout: Duration,
}

impl Calls {
    pub fn new(
        fleet: Rc<RefCell<Fleet>>,
        figures: Rc<Figures>,
        retire_after: Duration,
        connect_timeout: Duration,
        idle_most: usize,
        by_two: Rc<Cell<bool>>,
    ) -> Self {
        let (idle, waits, stale) = (RefCell::default(), RefCell::default(), RefCell::default());
        let probes = Semaphore::new(PROBES_MOST);
        Calls { stale, fleet, figures, idle, waits, idle_most, by_two, probes, retire_after, connect_timeout }
    }

    /// Whether a call may begin now: a drain or a wait may have been learnt since it was decided.
    fn open_to(&self, endpoint: EndpointId, lane: Lane) -> bool {
        let ready = self.fleet.borrow().get(endpoint).is_some_and(|e| e.ready);
        let waits = self.waits.borrow().get(&lane).is_some_and(|until| Instant::now() < *until);
        ready && !waits
    }

    /// A wait has been told, by an answer of this process or to a call of the one before it.
    pub fn learn_wait(&self, lane: Lane, wait: Micros) {
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
        connections.retain(|c| c.addr() == addr && c.since.elapsed() < most);
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
        let most = if self.by_two.get() { self.idle_most.min(IDLE_BY_TWO) } else { self.idle_most };
        if most == 0 {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= most
            && let Some(oldest) = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].since)
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
        order: &Order,
        begin: impl FnOnce() -> Vec<MsgId>,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let start = Instant::now();
        let seen = Seen::default();
        let answer = tokio::select! {
            biased;
            answer = self.attempt(order, start, begin, &seen) => answer,
            _ = tokio::time::sleep(order.timeout) => {
                seen.cut(order, if seen.sent() { Outcome::TimedOut } else { seen.unsent() })
            }
            Ok(()) = cancelled => {
                seen.cut(order, if seen.begun() { Outcome::Cancelled } else { Outcome::Unreached })
            }
        };
        let fates = order.items.iter().map(|item| {
            let (outcome, over) = match &answer.states {
                _ if seen.left_out.borrow().contains(&item.id) => (Outcome::Skipped, true),
                None => (answer.outcome, answer.over),
                Some(states) => outcome_of_state(states.get(&item.request_id).map(String::as_str)),
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
        begin: impl FnOnce() -> Vec<MsgId>,
        seen: &Seen,
    ) -> Answer {
        let endpoint = order.endpoint;
        let kept = self.take(endpoint, order.addr);
        let rested = kept.as_ref().map(|c| c.since.elapsed());
        let opened = match kept {
            Some(c) => Some(c),
            None => tokio::time::timeout(self.connect_timeout, settled(order.addr)).await.ok().flatten(),
        };
        let Some(mut connection) = opened else { return Answer::of(Outcome::Unreached) };
        if !self.open_to(endpoint, order.lane) {
            self.keep(endpoint, connection);
            return Answer::of(Outcome::Skipped);
        }
        let wanted = begin();
        let (items, left_out): (Vec<&Item>, Vec<&Item>) =
            order.items.iter().partition(|item| wanted.contains(&item.id));
        let left = order.timeout.saturating_sub(start.elapsed());
        let request = (!items.is_empty()).then(|| request(order, &items, left).ok()).flatten();
        let Some(request) = request else {
            self.keep(endpoint, connection);
            return Answer::of(Outcome::Skipped);
        };
        seen.left_out.replace(left_out.iter().map(|item| item.id).collect());
        let traffic = connection.traffic.clone();
        let (figures, messages) = (self.figures.clone(), items.len() as u64);
        traffic.once_written(move || figures.forwards.set(figures.forwards.get() + messages));
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
            None => seen.cut(order, Outcome::MalformedAnswer),
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
        let mut answer = Answer::alike(read_head(response.status().as_u16(), response.headers()));
        self.learn_wait(order.lane, answer.wait);
        seen.head.replace(Some(answer.clone()));
        let body = connection.drive(Limited::new(response.into_body(), ANSWER_MOST).collect()).await.ok()?;
        if answer.outcome == Outcome::Done && order.batch {
            // An answer that tells nothing of a message leaves it open whether it ran.
            let Ok(states) = serde_json::from_slice::<Vec<BatchState>>(&body.to_bytes()) else {
                return Some(Answer { outcome: Outcome::MalformedAnswer, over: false, ..answer });
            };
            answer.states = Some(states.into_iter().map(|s| (s.id, s.state)).collect());
        }
        Some(answer)
    }

    /// Asks whether an endpoint is well.
    pub async fn probe(&self, endpoint: EndpointId, addr: SocketAddr) -> (Outcome, Option<LoadReport>) {
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

fn request(
    order: &Order,
    items: &[&Item],
    left: Duration,
) -> Result<Request<Full<Bytes>>, Box<dyn std::error::Error>> {
    let head = Request::builder()
        .method("POST")
        .header("host", order.addr.to_string())
        .header("x-timeout", format!("{}m", left.as_millis().max(1)));
    Ok(match items {
        [item] if !order.batch => {
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
        let (ended, taken) = tokio::join!(settled(addr), async { listener.accept().await.map(drop) });
        assert!(taken.is_ok() && ended.is_none());
        let (kept, taken) = tokio::join!(settled(addr), listener.accept());
        assert!(taken.is_ok() && kept.is_some());
    }
}
