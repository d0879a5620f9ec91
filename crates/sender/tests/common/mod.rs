//! Stub endpoints and a stub platform on loopback sockets, and real sender processes that use these stubs.

#![allow(dead_code)] // each test file uses a part

pub mod shared_socket;
pub mod silent_discovery;

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of each wait in a test; longer than any awaited step takes on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `ready` until it returns true; `what` names the awaited condition in the panic message.
///
/// # Panics
/// If `ready` does not return true within [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let start = Instant::now();
    while !ready() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out after {TEST_TIMEOUT:?} waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// An HTTP request that a stub received.
#[derive(Clone, Debug)]
pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the stub's connection that carried the request, from 0 in order of acceptance.
    pub connection: usize,
    pub at: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn is_batch(&self) -> bool {
        self.line.contains("/v1/messages:batch")
    }

    /// Returns the ids of the messages that the request carries.
    pub fn ids(&self) -> Vec<String> {
        if self.is_batch() {
            let items: Vec<Value> = serde_json::from_slice(&self.body).unwrap();
            return items.iter().map(|i| i["id"].as_str().unwrap().to_string()).collect();
        }
        self.header("x-request-id").map(str::to_string).into_iter().collect()
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: line.trim_end().to_string(), headers, body, connection, at: Instant::now() })
}

/// How a stub endpoint responds to a request.
#[derive(Clone, Debug)]
pub enum StubResponse {
    /// Sends an answer with the given status, headers and body.
    Answer(u16, Vec<(&'static str, String)>, String),
    /// Writes the given bytes in place of an HTTP answer and keeps the connection open.
    Raw(String),
    /// Writes the given bytes one by one, a millisecond apart, and keeps the connection open.
    Trickle(String),
    /// Leaves the request unanswered and keeps the connection open.
    Silence,
    /// Closes the connection without answering the request.
    Close,
}

/// Returns a stub response with the given status, without headers or a body.
pub fn status(code: u16) -> StubResponse {
    StubResponse::Answer(code, Vec::new(), String::new())
}

type Script = Box<dyn Fn(&Request) -> StubResponse + Send + Sync>;

/// A stub endpoint that responds by a script and records the requests that it received.
pub struct Endpoint {
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
    closed: Arc<Mutex<Vec<usize>>>,
    script: Arc<Mutex<Script>>,
}

impl Endpoint {
    pub fn new(script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let closed: Arc<Mutex<Vec<usize>>> = Arc::default();
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        let endpoint = Endpoint { addr, requests, closed, script };
        let (requests, closed, script) =
            (endpoint.requests.clone(), endpoint.closed.clone(), endpoint.script.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (requests, closed, script) = (requests.clone(), closed.clone(), script.clone());
                let mut stream = stream.unwrap();
                _ = stream.set_nodelay(true);
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = read_request(&mut reader, number) {
                        let act = script.lock().unwrap()(&request);
                        requests.lock().unwrap().push(request);
                        match act {
                            StubResponse::Answer(code, headers, body) => {
                                let mut text =
                                    format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n", body.len());
                                for (name, value) in headers {
                                    text += &format!("{name}: {value}\r\n");
                                }
                                text += &format!("\r\n{body}");
                                if stream.write_all(text.as_bytes()).is_err() {
                                    break;
                                }
                            }
                            StubResponse::Raw(text) => {
                                if stream.write_all(text.as_bytes()).is_err() {
                                    break;
                                }
                            }
                            StubResponse::Trickle(text) => {
                                for byte in text.bytes() {
                                    _ = stream.write_all(&[byte]);
                                    thread::sleep(Duration::from_millis(1));
                                }
                            }
                            StubResponse::Silence => {}
                            StubResponse::Close => break,
                        }
                    }
                    _ = stream.shutdown(Shutdown::Both);
                    closed.lock().unwrap().push(number);
                });
            }
        });
        endpoint
    }

    /// Replaces the script that answers the endpoint's later requests.
    pub fn set_script(&self, script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    /// Returns the requests that the endpoint received, in order of arrival.
    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the ids of the messages of all received calls, in order of arrival.
    /// A message id occurs once for each call that carried the message.
    pub fn sent(&self) -> Vec<String> {
        self.requests().iter().flat_map(Request::ids).collect()
    }

    /// Returns how many calls to the endpoint carried the message.
    pub fn call_count(&self, id: &str) -> usize {
        self.sent().iter().filter(|s| *s == id).count()
    }

    /// Waits until a call that carries the message has arrived at the endpoint.
    pub fn wait_sent(&self, id: &str) {
        wait_until(&format!("a call with {id}"), || self.call_count(id) > 0);
    }

    /// Returns the numbers of the endpoint's connections that have ended.
    pub fn closed_connections(&self) -> Vec<usize> {
        self.closed.lock().unwrap().clone()
    }
}

/// Returns a listing entry of a draining endpoint: its destination becomes known, but no call is sent to it.
pub fn placeholder(group: i64) -> Value {
    listed_endpoint(&format!("away-{group}"), "127.0.0.1:9".parse().unwrap(), "one", group, "Terminating")
}

/// Returns an endpoint's entry in a listing.
pub fn listed_endpoint(name: &str, addr: SocketAddr, kind: &str, group: i64, status: &str) -> Value {
    json!({"name": name, "address": addr.to_string(), "zone": "a", "type": kind, "group": group,
           "status": status, "weight": 100.0, "since_ms": 0})
}

struct DiscoveryState {
    watches: Vec<TcpStream>,
    changes: Vec<(u64, Value)>,
    full_list: Vec<Value>,
    request_lines: Vec<String>,
    index: u64,
    full_list_index: u64,
    /// Number of the next list requests that the stub platform answers with 503.
    polls_to_reject: usize,
}

/// A stub of the platform: serves discovery's listings and receives notices.
pub struct Platform {
    pub addr: SocketAddr,
    discovery: Arc<Mutex<DiscoveryState>>,
    notices: Arc<Mutex<Vec<Value>>>,
    reject_notices: Arc<Mutex<bool>>,
    /// Number of open connections to the stub platform.
    open: Arc<AtomicUsize>,
}

impl Platform {
    /// Starts a platform whose first full endpoint list consists of `endpoints`.
    pub fn new(endpoints: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = DiscoveryState {
            watches: Vec::new(),
            changes: Vec::new(),
            full_list: endpoints,
            request_lines: Vec::new(),
            index: 7,
            full_list_index: 0,
            polls_to_reject: 0,
        };
        let platform = Platform {
            addr,
            discovery: Arc::new(Mutex::new(state)),
            notices: Arc::default(),
            reject_notices: Arc::default(),
            open: Arc::default(),
        };
        let (discovery, notices, reject_notices) =
            (platform.discovery.clone(), platform.notices.clone(), platform.reject_notices.clone());
        let open = platform.open.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (discovery, notices, reject_notices) =
                    (discovery.clone(), notices.clone(), reject_notices.clone());
                let mut stream = stream.unwrap();
                open.fetch_add(1, Ordering::SeqCst);
                let open = open.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = read_request(&mut reader, 0) {
                        if request.line.starts_with("POST /reports") {
                            let reject_notices = *reject_notices.lock().unwrap();
                            if !reject_notices {
                                let text = String::from_utf8(request.body).unwrap();
                                let lines = text.lines().map(|l| serde_json::from_str(l).unwrap());
                                notices.lock().unwrap().extend(lines);
                            }
                            let code = if reject_notices { 500 } else { 204 };
                            let text = format!("HTTP/1.1 {code} X\r\ncontent-length: 0\r\n\r\n");
                            _ = stream.write_all(text.as_bytes());
                            continue;
                        }
                        let mut discovery = discovery.lock().unwrap();
                        discovery.request_lines.push(request.line.clone());
                        if discovery.polls_to_reject > 0 {
                            discovery.polls_to_reject -= 1;
                            _ = stream.write_all(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n");
                            continue;
                        }
                        if !request.line.contains("follow") {
                            let list = json!({"index": discovery.index, "snapshot": true, "endpoints": discovery.full_list});
                            let list = list.to_string();
                            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
                            _ = stream.write_all((head + &list).as_bytes());
                            continue;
                        }
                        _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                        let since = request
                            .line
                            .split("since=")
                            .nth(1)
                            .and_then(|s| s.split(' ').next()?.parse().ok());
                        let changes_since: Vec<Value> = discovery
                            .changes
                            .iter()
                            .filter(|(i, _)| since.is_some_and(|s| *i > s))
                            .map(|(_, l)| l.clone())
                            .collect();
                        // The log of changes contains no full endpoint list.
                        // So a watch from an index before the full endpoint list is sent that list again.
                        let first = if since.is_some_and(|s| s > 0 && s >= discovery.full_list_index) {
                            json!({"index": discovery.index, "snapshot": false, "endpoints": changes_since})
                        } else {
                            json!({"index": discovery.index, "snapshot": true, "endpoints": discovery.full_list})
                        };
                        write_list(&mut stream, &first);
                        discovery.watches.push(stream.try_clone().unwrap());
                    }
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        platform
    }

    /// Publishes a full endpoint list (`snapshot`) or changed entries to all watches.
    pub fn publish(&self, snapshot: bool, endpoints: Vec<Value>) {
        let mut discovery = self.discovery.lock().unwrap();
        discovery.index += 1;
        let index = discovery.index;
        if snapshot {
            discovery.full_list = endpoints.clone();
            discovery.full_list_index = index;
        }
        discovery.changes.extend(endpoints.iter().map(|l| (index, l.clone())));
        let update = json!({"index": index, "snapshot": snapshot, "endpoints": endpoints});
        discovery.watches.iter_mut().for_each(|s| write_list(s, &update));
    }

    /// Closes all open watches of the endpoint list.
    pub fn drop_watches(&self) {
        for s in self.discovery.lock().unwrap().watches.drain(..) {
            _ = s.shutdown(Shutdown::Both);
        }
    }

    /// Answers the next `count` list requests with 503.
    pub fn reject_next_polls(&self, count: usize) {
        self.discovery.lock().unwrap().polls_to_reject = count;
    }

    /// Sets the index that the stub platform reports with its list from now on.
    pub fn set_index(&self, index: u64) {
        self.discovery.lock().unwrap().index = index;
    }

    /// Returns the HTTP request lines of all list and watch requests that the platform received.
    pub fn request_lines(&self) -> Vec<String> {
        self.discovery.lock().unwrap().request_lines.clone()
    }

    /// Returns the notices that the platform received and recorded.
    pub fn notices(&self) -> Vec<Value> {
        self.notices.lock().unwrap().clone()
    }

    /// Waits until the platform has read everything that a killed process had written.
    /// The killed process's last bytes may be on a connection that the platform has not accepted yet.
    /// The platform accepts connections in order, so the connection that this function opens is accepted last.
    pub fn wait_connections_closed(&self) {
        let mut last = TcpStream::connect(self.addr).unwrap();
        last.write_all(b"GET /v1/servers HTTP/1.1\r\n\r\n").unwrap();
        last.read_exact(&mut [0]).unwrap();
        drop(last);
        wait_until("the connections of a killed process to close", || self.open.load(Ordering::SeqCst) == 0);
    }

    /// Sets whether the platform answers notices with 500 and does not record them.
    pub fn set_reject_notices(&self, reject_notices: bool) {
        *self.reject_notices.lock().unwrap() = reject_notices;
    }

    /// Returns the state in the first notice of a message, or `None` if no notice has arrived.
    pub fn notice_state(&self, id: &str) -> Option<String> {
        let notices = self.notices();
        let notice = notices.iter().find(|n| n["id"] == id)?;
        Some(notice["state"].as_str()?.to_string())
    }

    /// Waits for a notice of the message and asserts the state that the notice reports.
    pub fn wait_notice(&self, id: &str, state: &str) {
        wait_until(&format!("a notice for {id}"), || self.notice_state(id).is_some());
        assert_eq!(self.notice_state(id).as_deref(), Some(state), "{id}");
    }
}

/// A stub platform whose script writes every byte of each answer.
/// The script receives the request, the number of earlier requests for the same path, and the connection.
pub struct ScriptedPlatform {
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl ScriptedPlatform {
    pub fn new(script: impl Fn(&Request, usize, &mut TcpStream) + Send + Sync + 'static) -> Self {
        Self::at(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    /// Starts a scripted platform on a listener that is already bound.
    pub fn at(
        listener: TcpListener,
        script: impl Fn(&Request, usize, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let addr = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (log, script) = (requests.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (log, script, mut stream) = (log.clone(), script.clone(), stream.unwrap());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = read_request(&mut reader, 0) {
                        let path = request.line.split(['?', ' ']).nth(1).unwrap_or_default().to_string();
                        let follow =
                            if request.line.contains("follow") { "watch" } else { &*path }.to_string();
                        let before = {
                            let mut log = log.lock().unwrap();
                            log.push((Instant::now(), follow.clone()));
                            log.iter().filter(|(_, p)| *p == follow).count() - 1
                        };
                        script(&request, before, &mut stream);
                    }
                });
            }
        });
        ScriptedPlatform { addr, requests }
    }

    /// Returns the arrival times of the requests for a path; the path `watch` selects the watch requests.
    pub fn request_times(&self, path: &str) -> Vec<Instant> {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|(_, p)| p == path).map(|(at, _)| *at).collect()
    }
}

/// Writes a complete HTTP answer with a content length.
pub fn write_answer(stream: &mut TcpStream, code: u16, body: &str) {
    let text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    _ = stream.write_all(text.as_bytes());
}

/// Writes the head of an HTTP answer whose body follows in chunks.
pub fn begin_chunked(stream: &mut TcpStream) {
    _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
}

/// Writes one chunk of an HTTP answer. Returns false once the reader has closed the connection.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

fn write_list(stream: &mut TcpStream, value: &Value) {
    let text = format!("{value}\n");
    _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
}

/// Returns settings with one message class for each effect.
/// Class `push` is keyed with an idempotency window of 3 s, class `sync` is safe, class `pay` is unsafe.
/// Endpoint kind `one` takes one message in a call, kind `many` up to ten.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, limit: i64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "HardLimitUs": limit, "ObjectiveUs": 2_500_000,
               "WindowUs": 3_000_000, "Worth": 1.0, "LateShare": 0.5})
    };
    json!({
        "Azs": ["a", "b"], "Balancers": 1, "Zone": 0, "QuantumUs": 5000,
        "Customers": [{"Name": "acme", "QuotaRps": 100.0}],
        "FamilyInfo": {"BatchByKind": [1, 10], "KindApart": [false, false], "Late": "line", "Workers": 10},
        "Limits": {"Cancel": true, "ConnectTimeoutUs": 1_500_000, "IdleCloseUs": 5_000_000, "MaxAttempts": 6,
                   "MaxOpen": 40, "MaxRetryAfterUs": 2_000_000, "Probes": true, "SecondCopies": false,
                   "StreamsPerConn": 1},
        "Profiles": [class("push", "guarded", 24_000_000), class("sync", "free", 20_000_000),
                     class("pay", "single_shot", 28_000_000)],
        "Rules": {"DrainGraceUs": 1_000_000, "FallMultiple": 2.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
                  "WarmUpUs": 10_000_000},
        "Shapes": ["one", "many"], "Weights": "nominal"
    })
}

/// Returns the configuration of a sender that listens at `addr`.
pub fn config(addr: SocketAddr, platform: &Platform, sockets: usize) -> Value {
    json!({
        "name": "n0", "listen": addr.to_string(), "discovery": platform.addr.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets, "disk_mb": 3},
        "known": {"index": 0, "snapshot": true, "endpoints": []},
        "settings": settings(),
    })
}

/// Sends a signal to a process; `name` is an option of `kill`, such as `-TERM`.
pub fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
}

/// A sender process and its state folder, which is retained over restarts.
pub struct Sender {
    pub addr: SocketAddr,
    /// Address of the management interface, if the sender has one.
    pub mgmt: SocketAddr,
    pub folder: tempfile::TempDir,
    /// Limit on open file descriptors (`ulimit -n`) of the next sender process, if set.
    pub max_files: Option<usize>,
    /// Further environment variables of the next sender process.
    pub environment: Vec<(String, String)>,
    child: Option<Child>,
}

const EXECUTABLE: &str = env!("CARGO_BIN_EXE_embershore");

/// Returns a loopback address that no other sender of the test run uses.
/// On it no other process is given a port that a sender is about to listen on.
pub fn own_loopback() -> Ipv4Addr {
    static SENDERS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, SENDERS.fetch_add(1, Ordering::Relaxed))
}

/// Reserves an address whose port stays the same over a sender's restarts.
/// The socket is bound but does not listen.
/// A child process that another test is starting may briefly hold a copy of the socket.
/// A listening copy would accept the sender's connections and keep the sender from listening.
pub fn reserve_address(own: Ipv4Addr) -> SocketAddr {
    let port = tokio::net::TcpSocket::new_v4().unwrap();
    port.set_reuseaddr(true).unwrap();
    port.bind((own, 0).into()).unwrap();
    port.local_addr().unwrap()
}

impl Sender {
    /// Starts a sender with the default configuration.
    pub fn start(platform: &Platform) -> Self {
        Self::with(platform, |_| {})
    }

    /// Starts a sender with the default configuration as edited by `change`.
    pub fn with(platform: &Platform, change: impl Fn(&mut Value)) -> Self {
        // The sender's port must be the same after a restart.
        let own = own_loopback();
        let (addr, mgmt) = (reserve_address(own), reserve_address(own));
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let mut config = config(addr, platform, 256);
        change(&mut config);
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        let mut sender = Sender { addr, mgmt, folder, max_files: None, environment: Vec::new(), child: None };
        sender.spawn();
        sender
    }

    /// Starts a sender with a management interface.
    pub fn with_mgmt(platform: &Platform) -> Self {
        let mut sender = Self::start(platform);
        sender.kill();
        let mgmt = sender.mgmt.to_string();
        sender.change_config(|c| c["mgmt"] = mgmt.clone().into());
        sender.spawn();
        sender
    }

    /// Sends a request to the management interface and returns the status and the body.
    pub fn mgmt_request(&self, call: &str) -> (u16, String) {
        mgmt_request(self.mgmt, call).unwrap()
    }

    /// Returns the metrics that the management interface serves.
    pub fn metrics(&self) -> Value {
        let (status, text) = self.mgmt_request("GET /_vars");
        assert_eq!(status, 200);
        serde_json::from_str(&text).unwrap()
    }

    /// Edits the configuration file; the edit takes effect at the sender's next start or SIGHUP.
    pub fn change_config(&self, change: impl Fn(&mut Value)) {
        let path = self.folder.path().join("config.json");
        let mut config = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(path, config.to_string()).unwrap();
    }

    /// Starts the sender process and waits until it accepts connections.
    pub fn spawn(&mut self) {
        self.launch();
        wait_until("the sender to listen", || TcpStream::connect(self.addr).is_ok());
    }

    /// Starts the sender process without waiting until it accepts connections.
    pub fn launch(&mut self) {
        let log = std::fs::File::create(self.log_file()).unwrap();
        let mut command = match self.max_files {
            // The limit on open files stays in force when the shell replaces itself by the sender (`exec`).
            Some(files) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {files} && exec \"$0\""), EXECUTABLE]);
                shell
            }
            None => Command::new(EXECUTABLE),
        };
        // The operator's options file is passed only if the test has written one.
        let options = self.folder.path().join("options.toml");
        if options.exists() {
            command.env("LB_OPTIONS", options);
        }
        let child = command
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("LB_STATE", self.state())
            .envs(self.environment.iter().cloned())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn state(&self) -> std::path::PathBuf {
        self.folder.path().join("state")
    }

    fn log_file(&self) -> std::path::PathBuf {
        self.folder.path().join("log")
    }

    /// Returns the log of the sender process that was started last.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap()
    }

    pub fn journal(&self) -> std::path::PathBuf {
        self.state().join("journal")
    }

    /// Returns the resident memory (`VmRSS`) of the sender process in KB.
    pub fn memory_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.as_ref().unwrap().id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn journal_count(&self, text: &str) -> usize {
        let bytes = std::fs::read(self.journal()).unwrap_or_default();
        bytes.windows(text.len()).filter(|window| *window == text.as_bytes()).count()
    }

    pub fn journal_contains(&self, text: &str) -> bool {
        self.journal_count(text) > 0
    }

    /// Runs `trigger`, then waits until the sender's journal records the endpoint as draining or gone.
    pub fn wait_drain_recorded(&self, trigger: impl Fn(), endpoint: &str) {
        let before = self.journal_count(endpoint);
        trigger();
        wait_until(&format!("a journal record of {endpoint} draining or gone"), || {
            self.journal_count(endpoint) > before
        });
    }

    pub fn client(&self) -> Client {
        Client::new(self.addr)
    }

    /// Puts a message on a new client connection. Returns `None` if the connection ends without an answer.
    pub fn try_put(&self, id: &str, fields: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        stream.write_all(&put(id, &format!("{fields},t=acme"), b"hello")).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        Some(line.trim_end().to_string()).filter(|line| !line.is_empty())
    }

    /// Sends SIGKILL to the sender process.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM to the sender process.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP to the sender process, which then reloads its configuration.
    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        signal(self.child.as_ref().unwrap(), name);
    }

    /// Waits until the sender process exits.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let child = self.child.as_mut().unwrap();
        let mut status = None;
        wait_until("the sender to exit", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        self.child = None;
        status.unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| c.try_wait().unwrap().is_none())
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
        if thread::panicking() {
            eprintln!("the sender's log:\n{}", std::fs::read_to_string(self.log_file()).unwrap_or_default());
        }
    }
}

/// Sends a request to a management interface. Returns `None` if the interface does not answer.
pub fn mgmt_request(mgmt: SocketAddr, call: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(mgmt).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(format!("{call} HTTP/1.1\r\nhost: door\r\n\r\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n").map(|(_, body)| body.to_string()).unwrap_or_default()))
}

/// Encodes a command in RESP, the protocol of the client interface.
pub fn resp(args: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", args.len()).into_bytes();
    for a in args {
        out.extend_from_slice(format!("${}\r\n", a.len()).as_bytes());
        out.extend_from_slice(a);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a `MSG.PUT` command without an ordering key.
pub fn put(id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    resp(&[b"MSG.PUT", b"0000000000000000", id.as_bytes(), fields.as_bytes(), body])
}

/// A connection of a client to a sender.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Client { stream, reader }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the next reply line. Returns an empty string once the connection has ended.
    pub fn read(&mut self) -> String {
        let mut line = String::new();
        _ = self.reader.read_line(&mut line);
        line.trim_end().to_string()
    }

    /// Sends `PING` and asserts the reply, which a sender gives only once it is ready.
    pub fn ping(&mut self) {
        self.write(&resp(&[b"PING"]));
        assert_eq!(self.read(), "+PONG");
    }

    /// Puts a message with the given fields and the tests' tenant, and returns the sender's reply.
    pub fn put(&mut self, id: &str, fields: &str) -> String {
        self.write(&put(id, &format!("{fields},t=acme"), b"hello"));
        self.read()
    }
}

/// Returns the total size of the files in a folder, each rounded up to blocks of 512 bytes.
pub fn folder_size(folder: &Path) -> u64 {
    std::fs::read_dir(folder)
        .unwrap()
        .filter_map(|f| Some(f.ok()?.metadata().ok()?.len().div_ceil(512) * 512))
        .sum()
}

/// A gate at which a stub waits until the test opens the gate.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    pub fn is_open(&self) -> bool {
        *self.0.0.lock().unwrap()
    }

    /// Waits until the gate is open, or until [`TEST_TIMEOUT`] has passed.
    pub fn wait(&self) {
        let guard = self.0.0.lock().unwrap();
        _ = self.0.1.wait_timeout_while(guard, TEST_TIMEOUT, |open| !*open).unwrap();
    }
}

/// An address that refuses connections: bound, so that no other process is given it, but not listening.
pub struct RefusingAddress {
    pub addr: SocketAddr,
    socket: tokio::net::TcpSocket,
}

impl RefusingAddress {
    pub fn new() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        RefusingAddress { addr: socket.local_addr().unwrap(), socket }
    }

    /// Accepts connections at the formerly refusing address from now on.
    pub fn listen(self) -> TcpListener {
        listen_with_backlog(self.socket, 64)
    }
}

/// An endpoint whose accept backlog is full: a new connection is established only after others are accepted.
pub struct FullBacklogEndpoint {
    listener: TcpListener,
    pub addr: SocketAddr,
    pub fillers: Vec<TcpStream>,
    accepted: Vec<TcpStream>,
    /// Bytes that the endpoint received on its accepted connections, one entry for each read.
    pub calls: Vec<String>,
}

impl FullBacklogEndpoint {
    pub fn new() -> Self {
        let listener = listen_without_backlog();
        let addr = listener.local_addr().unwrap();
        let filler = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
        let fillers = (0..8).filter_map(filler).collect();
        listener.set_nonblocking(true).unwrap();
        FullBacklogEndpoint { listener, addr, fillers, accepted: Vec::new(), calls: Vec::new() }
    }

    /// Accepts a waiting connection, if any, and reads what has arrived on the accepted connections.
    pub fn accept_and_read(&mut self) {
        if let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            self.accepted.push(stream);
        }
        for stream in &mut self.accepted {
            let mut buf = [0; 2048];
            if let Ok(n @ 1..) = stream.read(&mut buf) {
                self.calls.push(String::from_utf8_lossy(&buf[..n]).into_owned());
            }
        }
    }
}

fn listen_without_backlog() -> TcpListener {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    listen_with_backlog(socket, 0)
}

fn listen_with_backlog(socket: tokio::net::TcpSocket, backlog: u32) -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let listener = socket.listen(backlog).unwrap().into_std().unwrap();
    listener.set_nonblocking(false).unwrap();
    listener
}
