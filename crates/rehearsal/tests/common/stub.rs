//! A minimal sender that is correct except for one selected fault.
//! The tests show with the stub that the judge attributes each fault to its rule only.
//! The benchmark measures the rig with the stub.

#![allow(dead_code)] // each test file uses a part

use bytes::{Bytes, BytesMut};
use embershore_protocol::listing::Listing;
use embershore_protocol::resp::{Put, decode_command, decode_put};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// The fault of a stub sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Forgets every tenth accepted message, except messages of ordered classes.
    LosesMessages,
    /// Sends the notices of undelivered messages one second after they are due.
    SendsLateNotices,
    /// Closes the connection without a reply to some messages, however often the client sends them.
    ClosesWithoutReply,
    /// Repeats unsafe messages whatever the outcome of the earlier attempt.
    RepeatsUnsafe,
    /// Sends every tenth message in two simultaneous calls.
    SendsCopies,
    /// Refuses unsafe messages that may have taken effect at the receiver, as if a retry were safe.
    RefusesAfterRun,
    /// Ignores all updates from the directory after the first endpoint list.
    IgnoresDrains,
    /// Sends all pending messages for a returning receiver in one burst.
    OverloadsReturning,
    /// Sends messages of one order key without waiting for the previous message's final outcome.
    IgnoresOrder,
    /// Ignores the waits that receivers advertise.
    IgnoresWaits,
    /// Accepts every message and sends none, to measure the rig alone.
    SendsNothing,
}

/// Time-out of the stub's calls to receivers.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long before its deadline the stub gives a message up.
const GIVE_UP_LEAD: Duration = Duration::from_millis(250);
/// Interval between calls to a receiver that returned from an outage recently.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// An endpoint of a receiver, as the directory lists it.
struct Endpoint {
    addr: SocketAddr,
}

/// The stub's state for one receiver.
#[derive(Default)]
struct Receiver {
    endpoints: Vec<Rc<Endpoint>>,
    turn: usize,
    wait_until: Option<Instant>,
    /// Whether the receiver failed. If so, the stub makes only one trial call at a time to the receiver.
    failing: bool,
    on_trial: bool,
    /// End of the time after an outage in which calls to the receiver are paced.
    warm_until: Option<Instant>,
    next: Option<Instant>,
}

struct Stub {
    fault: Fault,
    discovery: SocketAddr,
    classes: HashMap<String, (String, bool, Duration)>,
    receivers: RefCell<BTreeMap<i64, Receiver>>,
    keys: RefCell<HashMap<String, Rc<Mutex<Option<Instant>>>>>,
    idle_connections: RefCell<HashMap<SocketAddr, Vec<BufReader<TcpStream>>>>,
    taken: Cell<u64>,
    settle: Duration,
    frozen: Cell<bool>,
}

/// Starts a stub in a separate thread, which ends with the process, and returns the stub's address.
/// The stub reads `config` as soon as the rig has written the file.
pub fn start(fault: Fault, config: PathBuf) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, run(fault, config, listener));
    });
    addr
}

async fn run(fault: Fault, path: PathBuf, listener: std::net::TcpListener) {
    let config: Value = loop {
        let text = std::fs::read(&path).unwrap_or_default();
        if let Ok(config) = serde_json::from_slice(&text) {
            break config;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let settings = &config["settings"];
    let micros = |v: &Value| Duration::from_micros(v.as_u64().unwrap());
    let classes = settings["Profiles"].as_array().unwrap().iter().map(|p| {
        let effect = p["Effect"].as_str().unwrap().to_string();
        let values = (effect, p["SerialByKey"].as_bool().unwrap(), micros(&p["WindowUs"]));
        (p["Name"].as_str().unwrap().to_string(), values)
    });
    let stub = Rc::new(Stub {
        fault,
        discovery: config["discovery"].as_str().unwrap().parse().unwrap(),
        classes: classes.collect(),
        receivers: RefCell::default(),
        keys: RefCell::default(),
        idle_connections: RefCell::default(),
        taken: Cell::new(0),
        settle: micros(&settings["Rules"]["OrderSettleUs"]),
        frozen: Cell::new(false),
    });
    stub.apply(&serde_json::from_value(config["known"].clone()).unwrap());
    stub.frozen.set(fault == Fault::IgnoresDrains);
    tokio::task::spawn_local(stub.clone().follow());
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        _ = stream.set_nodelay(true);
        tokio::task::spawn_local(stub.clone().serve(stream));
    }
}

impl Stub {
    fn apply(&self, list: &Listing) {
        if self.frozen.get() {
            return;
        }
        let mut receivers = self.receivers.borrow_mut();
        receivers.values_mut().for_each(|r| r.endpoints.clear());
        for line in list.endpoints.iter().filter(|l| l.status == "Ready") {
            let endpoint = Endpoint { addr: line.address.parse().unwrap() };
            receivers.entry(line.group).or_default().endpoints.push(Rc::new(endpoint));
        }
    }

    /// Polls the directory's complete endpoint list repeatedly.
    async fn follow(self: Rc<Self>) {
        loop {
            if let Ok((200, _, body)) = self.request(self.discovery, "GET /v1/servers", &[], b"").await
                && let Ok(list) = serde_json::from_slice(&body)
            {
                self.apply(&list);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut buf = BytesMut::new();
        loop {
            while let Ok(Some(args)) = decode_command(&mut buf) {
                if args[0].as_ref() == b"PING" {
                    _ = stream.write_all(b"+PONG\r\n").await;
                    continue;
                }
                let Ok(put) = decode_put(&args) else { return };
                self.taken.set(self.taken.get() + 1);
                let number = self.taken.get();
                // The client sends the message again with its id on a new connection, and again gets no reply.
                if self.fault == Fault::ClosesWithoutReply && put.request_id.ends_with("07") {
                    return;
                }
                _ = stream.write_all(b"+OK\r\n").await;
                let forgets = self.fault == Fault::LosesMessages
                    && number.is_multiple_of(10)
                    && !self.classes[&put.class].1;
                if forgets || self.fault == Fault::SendsNothing {
                    continue;
                }
                tokio::task::spawn_local(self.clone().deliver(put, number));
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
                return;
            }
        }
    }

    async fn deliver(self: Rc<Self>, put: Put, number: u64) {
        let until = Instant::now() + Duration::from_micros(put.time_left as u64) - GIVE_UP_LEAD;
        let ordered = self.classes[&put.class].1 && self.fault != Fault::IgnoresOrder;
        // The lock on the order key is fair, so messages of a key are sent in the order of their arrival.
        let key = ordered.then(|| {
            let name = format!("{}/{}", put.class, put.order_key);
            self.keys.borrow_mut().entry(name).or_default().clone()
        });
        let mut turn = match &key {
            Some(key) => Some(key.lock().await),
            None => None,
        };
        if let Some(rested) = turn.as_deref().copied().flatten() {
            tokio::time::sleep_until(rested.into()).await;
        }
        let (end, unknown) = self.attempts(&put, number, until).await;
        if let Some(turn) = turn.as_deref_mut().filter(|_| unknown) {
            *turn = Some(Instant::now() + self.settle);
        }
        // The order key stays locked until the platform has received the message's notice.
        if let Some(state) = end {
            self.notice(&put.request_id, state, until).await;
        }
    }

    async fn notice(&self, id: &str, state: &str, until: Instant) {
        if self.fault == Fault::SendsLateNotices {
            tokio::time::sleep_until((until + GIVE_UP_LEAD + Duration::from_secs(1)).into()).await;
        }
        let line = format!("{}\n", json!({"id": id, "state": state}));
        while !matches!(
            self.request(self.discovery, "POST /reports", &[], line.as_bytes()).await,
            Ok((204, ..))
        ) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Repeats attempts until the message is delivered or given up.
    /// Returns the notice's state, if a notice is due, and whether a receiver may still be processing an attempt.
    async fn attempts(
        self: &Rc<Self>,
        put: &Put,
        number: u64,
        until: Instant,
    ) -> (Option<&'static str>, bool) {
        let (effect, _, window) = &self.classes[&put.class];
        let mut may_have_run: Option<Instant> = None;
        let refused = |ran: bool| match effect.as_str() {
            "single_shot" if ran && self.fault != Fault::RefusesAfterRun => Some("failed"),
            _ => Some("returned"),
        };
        for _ in 0..6 {
            match (may_have_run, effect.as_str()) {
                (Some(_), "single_shot") if self.fault != Fault::RepeatsUnsafe => break,
                _ => {}
            }
            // Waits for an endpoint only until the deadline for a repeat of the message.
            let last = match may_have_run.filter(|_| effect == "guarded") {
                Some(first) => until.min(first + *window - CALL_TIMEOUT),
                None => until,
            };
            let Some(endpoint) = self.endpoint(put.dest, last).await else { break };
            let started = Instant::now();
            if self.fault == Fault::SendsCopies && number.is_multiple_of(10) {
                let (stub, put, endpoint) = (self.clone(), put.clone(), endpoint.clone());
                tokio::task::spawn_local(async move {
                    _ = stub.call(&put, &endpoint, CALL_TIMEOUT).await;
                });
            }
            let patience = CALL_TIMEOUT.min(until.saturating_duration_since(started));
            let outcome = self.call(put, &endpoint, patience).await;
            self.record_outcome(put.dest, &outcome);
            match outcome {
                CallOutcome::Answered(200, _) => return (None, false),
                CallOutcome::Answered(429 | 503, _) | CallOutcome::NoConnection => {}
                CallOutcome::Answered(..) | CallOutcome::Broken => _ = may_have_run.get_or_insert(started),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        (refused(may_have_run.is_some()), may_have_run.is_some())
    }

    /// Waits for an endpoint that may be called now; returns `None` if there is none before `until`.
    async fn endpoint(&self, dest: i64, until: Instant) -> Option<Rc<Endpoint>> {
        while Instant::now() < until {
            if let Some(endpoint) = self.next_endpoint(dest) {
                return Some(endpoint);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    fn next_endpoint(&self, dest: i64) -> Option<Rc<Endpoint>> {
        let mut receivers = self.receivers.borrow_mut();
        let r = receivers.get_mut(&dest)?;
        let now = Instant::now();
        if r.wait_until.is_some_and(|t| now < t) && self.fault != Fault::IgnoresWaits {
            return None;
        }
        if r.failing {
            // Only one trial call to a failing receiver is in flight at a time; other messages wait.
            if r.on_trial || r.next.is_some_and(|t| now < t) {
                return None;
            }
            r.on_trial = true;
        } else if r.warm_until.is_some_and(|t| now < t) && self.fault != Fault::OverloadsReturning {
            if r.next.is_some_and(|t| now < t) {
                return None;
            }
            r.next = Some(now + PACE_INTERVAL);
        }
        r.turn += 1;
        let n = r.endpoints.len();
        (n > 0).then(|| r.endpoints[r.turn % n].clone())
    }

    fn record_outcome(&self, dest: i64, outcome: &CallOutcome) {
        let mut receivers = self.receivers.borrow_mut();
        let Some(r) = receivers.get_mut(&dest) else { return };
        let now = Instant::now();
        match outcome {
            CallOutcome::Answered(200, _) if r.failing => {
                (r.failing, r.on_trial, r.next) = (false, false, None);
                r.warm_until = Some(now + Duration::from_secs(6));
            }
            CallOutcome::Answered(200 | 429 | 500, _) => r.on_trial = false,
            _ => {
                (r.failing, r.on_trial) = (true, false);
                r.next = Some(now + Duration::from_millis(300));
            }
        }
        if let CallOutcome::Answered(_, wait) = outcome
            && !wait.is_zero()
        {
            r.wait_until = Some(now + *wait);
        }
    }

    async fn call(&self, put: &Put, endpoint: &Endpoint, patience: Duration) -> CallOutcome {
        let mut headers = vec![("x-request-id", put.request_id.clone())];
        headers.push(("x-timeout", format!("{}m", patience.as_millis().max(1))));
        if let Some(key) = &put.idempotency_key {
            headers.push(("idempotency-key", key.clone()));
        }
        let exchange = self.request(endpoint.addr, "POST /v1/messages", &headers, &put.body);
        match tokio::time::timeout(patience, exchange).await {
            Ok(Ok((status, wait, _))) => CallOutcome::Answered(status, wait),
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => CallOutcome::NoConnection,
            // An endpoint in an outage resets connections before it reads anything from them.
            Ok(Err(e)) if e.kind() == io::ErrorKind::NotConnected => CallOutcome::NoConnection,
            Ok(Err(_)) | Err(_) => CallOutcome::Broken,
        }
    }

    /// Makes one HTTP request; returns the status, the advertised wait and the body.
    async fn request(
        &self,
        addr: SocketAddr,
        line: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<(u16, Duration, Bytes)> {
        let idle = self.idle_connections.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        let mut stream = match idle {
            Some(s) => s,
            None => {
                let stream = TcpStream::connect(addr).await?;
                stream.set_nodelay(true)?;
                let mut stream = BufReader::new(stream);
                // A connection that is reset immediately has not carried the request, so it counts as not connected.
                let ended = tokio::time::timeout(Duration::from_millis(3), stream.fill_buf()).await;
                if ended.is_ok() {
                    return Err(io::ErrorKind::NotConnected.into());
                }
                stream
            }
        };
        let mut text = format!("{line} HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        stream.write_all(&[text.as_bytes(), body].concat()).await?;
        let mut first = String::new();
        stream.read_line(&mut first).await?;
        let status =
            first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::UnexpectedEof)?;
        let (mut length, mut wait) = (0, Duration::ZERO);
        loop {
            let mut header = String::new();
            stream.read_line(&mut header).await?;
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().map_err(io::Error::other)?,
                "x-retry-in-ms" => {
                    wait = Duration::from_millis(value.trim().parse().map_err(io::Error::other)?)
                }
                _ => {}
            }
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        self.idle_connections.borrow_mut().entry(addr).or_default().push(stream);
        Ok((status, wait, body.into()))
    }
}

/// Outcome of the stub's call to a receiver.
enum CallOutcome {
    Answered(u16, Duration),
    NoConnection,
    Broken,
}
