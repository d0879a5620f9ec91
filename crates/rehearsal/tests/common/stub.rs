//! A small sender, good but for one fault. It shows that the judge catches each fault by its rule and by no other,
//! and it is what the load is measured against.

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

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Every tenth message that it took on is forgotten, unless others wait behind it.
    Forgets,
    /// What it could not deliver it tells a second too late.
    TellsLate,
    /// It ends clients' connections with no answer to some messages, however often they come.
    HangsUp,
    /// It sends unsafe messages again whatever became of them.
    Repeats,
    /// It sends every tenth message to two endpoints at once.
    Copies,
    /// It says of unsafe messages that may have run that they may be handed in again.
    Refuses,
    /// It goes on by the list it was given first.
    IgnoresDrains,
    /// It loads a receiver that came back with all that it holds.
    Stampedes,
    /// It sends messages of one key as they come.
    Overtakes,
    /// It sends on in spite of waits.
    IgnoresWaits,
    /// It takes everything on and sends nothing: for measuring the load.
    Null,
}

/// Calls are waited for this long.
const PATIENCE: Duration = Duration::from_millis(1500);
/// A message is given up so long before its time is up.
const MARGIN: Duration = Duration::from_millis(250);
/// Between calls to a receiver that came back lately.
const PACE: Duration = Duration::from_millis(500);

struct Place {
    addr: SocketAddr,
}

/// What it knows of a receiver.
#[derive(Default)]
struct Receiver {
    places: Vec<Rc<Place>>,
    turn: usize,
    wait_until: Option<Instant>,
    /// It failed; one call at a time asks whether it is back.
    ill: bool,
    asking: bool,
    /// It is loaded bit by bit until then.
    warm_until: Option<Instant>,
    next: Option<Instant>,
}

struct Stub {
    fault: Fault,
    discovery: SocketAddr,
    classes: HashMap<String, (String, bool, Duration)>,
    receivers: RefCell<BTreeMap<i64, Receiver>>,
    keys: RefCell<HashMap<String, Rc<Mutex<Option<Instant>>>>>,
    kept: RefCell<HashMap<SocketAddr, Vec<BufReader<TcpStream>>>>,
    taken: Cell<u64>,
    settle: Duration,
    frozen: Cell<bool>,
}

/// Starts one in a thread of its own, which ends with the process; where it listens. Its configuration is read from
/// this file as soon as the rig has written it.
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
        let figures = (effect, p["SerialByKey"].as_bool().unwrap(), micros(&p["WindowUs"]));
        (p["Name"].as_str().unwrap().to_string(), figures)
    });
    let stub = Rc::new(Stub {
        fault,
        discovery: config["discovery"].as_str().unwrap().parse().unwrap(),
        classes: classes.collect(),
        receivers: RefCell::default(),
        keys: RefCell::default(),
        kept: RefCell::default(),
        taken: Cell::new(0),
        settle: micros(&settings["Rules"]["OrderSettleUs"]),
        frozen: Cell::new(false),
    });
    stub.learn(&serde_json::from_value(config["known"].clone()).unwrap());
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
    fn learn(&self, list: &Listing) {
        if self.frozen.get() {
            return;
        }
        let mut receivers = self.receivers.borrow_mut();
        receivers.values_mut().for_each(|r| r.places.clear());
        for line in list.endpoints.iter().filter(|l| l.status == "Ready") {
            let place = Place { addr: line.address.parse().unwrap() };
            receivers.entry(line.group).or_default().places.push(Rc::new(place));
        }
    }

    /// Asks for the whole list again and again.
    async fn follow(self: Rc<Self>) {
        loop {
            if let Ok((200, _, body)) = self.ask(self.discovery, "GET /v1/servers", &[], b"").await
                && let Ok(list) = serde_json::from_slice(&body)
            {
                self.learn(&list);
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
                // The client comes once more on a new connection, under the same id.
                if self.fault == Fault::HangsUp && put.request_id.ends_with("07") {
                    return;
                }
                _ = stream.write_all(b"+OK\r\n").await;
                let forgets =
                    self.fault == Fault::Forgets && number.is_multiple_of(10) && !self.classes[&put.class].1;
                if forgets || self.fault == Fault::Null {
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
        let until = Instant::now() + Duration::from_micros(put.time_left as u64) - MARGIN;
        let ordered = self.classes[&put.class].1 && self.fault != Fault::Overtakes;
        // The lock is fair: messages of a key go in the order in which they came.
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
        // A message of an ordered key is over only once the platform knows.
        if let Some(state) = end {
            self.notice(&put.request_id, state, until).await;
        }
    }

    async fn notice(&self, id: &str, state: &str, until: Instant) {
        if self.fault == Fault::TellsLate {
            tokio::time::sleep_until((until + MARGIN + Duration::from_secs(1)).into()).await;
        }
        let line = format!("{}\n", json!({"id": id, "state": state}));
        while !matches!(self.ask(self.discovery, "POST /reports", &[], line.as_bytes()).await, Ok((204, ..)))
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Tries until it is delivered or given up: the notice that is owed, and whether an attempt may still run.
    async fn attempts(
        self: &Rc<Self>,
        put: &Put,
        number: u64,
        until: Instant,
    ) -> (Option<&'static str>, bool) {
        let (effect, _, window) = &self.classes[&put.class];
        let mut may_have_run: Option<Instant> = None;
        let refused = |ran: bool| match effect.as_str() {
            "single_shot" if ran && self.fault != Fault::Refuses => Some("failed"),
            _ => Some("returned"),
        };
        for _ in 0..6 {
            match (may_have_run, effect.as_str()) {
                (Some(_), "single_shot") if self.fault != Fault::Repeats => break,
                _ => {}
            }
            // A place is waited for no longer than a repeat may still go out.
            let last = match may_have_run.filter(|_| effect == "guarded") {
                Some(first) => until.min(first + *window - PATIENCE),
                None => until,
            };
            let Some(place) = self.place(put.dest, last).await else { break };
            let begun = Instant::now();
            if self.fault == Fault::Copies && number.is_multiple_of(10) {
                let (stub, put, place) = (self.clone(), put.clone(), place.clone());
                tokio::task::spawn_local(async move {
                    _ = stub.call(&put, &place, PATIENCE).await;
                });
            }
            let patience = PATIENCE.min(until.saturating_duration_since(begun));
            let went = self.call(put, &place, patience).await;
            self.heard(put.dest, &went);
            match went {
                Went::Answered(200, _) => return (None, false),
                Went::Answered(429 | 503, _) | Went::NoConnection => {}
                Went::Answered(..) | Went::Broken => _ = may_have_run.get_or_insert(begun),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        (refused(may_have_run.is_some()), may_have_run.is_some())
    }

    /// An endpoint to call now; nothing once the time is up.
    async fn place(&self, dest: i64, until: Instant) -> Option<Rc<Place>> {
        while Instant::now() < until {
            if let Some(place) = self.free(dest) {
                return Some(place);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    fn free(&self, dest: i64) -> Option<Rc<Place>> {
        let mut receivers = self.receivers.borrow_mut();
        let r = receivers.get_mut(&dest)?;
        let now = Instant::now();
        if r.wait_until.is_some_and(|t| now < t) && self.fault != Fault::IgnoresWaits {
            return None;
        }
        if r.ill {
            // One asks, the others wait.
            if r.asking || r.next.is_some_and(|t| now < t) {
                return None;
            }
            r.asking = true;
        } else if r.warm_until.is_some_and(|t| now < t) && self.fault != Fault::Stampedes {
            if r.next.is_some_and(|t| now < t) {
                return None;
            }
            r.next = Some(now + PACE);
        }
        r.turn += 1;
        let n = r.places.len();
        (n > 0).then(|| r.places[r.turn % n].clone())
    }

    fn heard(&self, dest: i64, went: &Went) {
        let mut receivers = self.receivers.borrow_mut();
        let Some(r) = receivers.get_mut(&dest) else { return };
        let now = Instant::now();
        match went {
            Went::Answered(200, _) if r.ill => {
                (r.ill, r.asking, r.next) = (false, false, None);
                r.warm_until = Some(now + Duration::from_secs(6));
            }
            Went::Answered(200 | 429 | 500, _) => r.asking = false,
            _ => {
                (r.ill, r.asking) = (true, false);
                r.next = Some(now + Duration::from_millis(300));
            }
        }
        if let Went::Answered(_, wait) = went
            && !wait.is_zero()
        {
            r.wait_until = Some(now + *wait);
        }
    }

    async fn call(&self, put: &Put, place: &Place, patience: Duration) -> Went {
        let mut headers = vec![("x-request-id", put.request_id.clone())];
        headers.push(("x-timeout", format!("{}m", patience.as_millis().max(1))));
        if let Some(key) = &put.idempotency_key {
            headers.push(("idempotency-key", key.clone()));
        }
        let asked = self.ask(place.addr, "POST /v1/messages", &headers, &put.body);
        match tokio::time::timeout(patience, asked).await {
            Ok(Ok((status, wait, _))) => Went::Answered(status, wait),
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Went::NoConnection,
            // An endpoint that is down resets connections before anything is read.
            Ok(Err(e)) if e.kind() == io::ErrorKind::NotConnected => Went::NoConnection,
            Ok(Err(_)) | Err(_) => Went::Broken,
        }
    }

    /// One exchange: status, wait and body.
    async fn ask(
        &self,
        addr: SocketAddr,
        line: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<(u16, Duration, Bytes)> {
        let kept = self.kept.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        let mut stream = match kept {
            Some(s) => s,
            None => {
                let stream = TcpStream::connect(addr).await?;
                stream.set_nodelay(true)?;
                let mut stream = BufReader::new(stream);
                // One that is reset at once was never written to.
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
        self.kept.borrow_mut().entry(addr).or_default().push(stream);
        Ok((status, wait, body.into()))
    }
}

/// How a call went.
enum Went {
    Answered(u16, Duration),
    NoConnection,
    Broken,
}
