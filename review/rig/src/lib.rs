//! Stand-ins for the review's cases: receivers, the platform with its directory, clients, and the start of real daemons.
//! Everything runs on loopback addresses and the real clock, with the standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A span of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run, one line for each event, with the time since the run's start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the run's start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{:8.3} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }
}

/// What a run needs: the repository's root, the case's folder, a temporary folder and the record.
pub struct Run {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    /// False with `TROUBLE=0`: the same run without the disruption.
    pub trouble: bool,
}

impl Run {
    /// `folder` is the case's folder, `review/N`.
    pub fn new(folder: &Path) -> Run {
        let folder = folder.canonicalize().expect("the case's folder");
        let root = folder.parent().and_then(Path::parent).expect("the repository").to_path_buf();
        let temp = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("a temporary folder");
        let record = Record::create(&folder.join("record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        record.line(format!("run begins, trouble: {trouble}"));
        Run { root, temp, record, trouble }
    }

    pub fn end(&self, code: i32, why: &str) -> ! {
        let verdict = match code {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.line(format!("{verdict}: {why}"));
        println!("{verdict}: {why}");
        _ = std::fs::remove_dir_all(&self.temp);
        std::process::exit(code)
    }

    /// The deploy file's line `run`.
    pub fn run_line(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        line.expect("the deploy file's line `run`").to_string()
    }
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

// ---------------------------------------------------------------------------------------------------------- HTTP

/// An HTTP request as read from a connection.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

/// An answer to a request.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Answer {
    pub fn status(status: u16) -> Answer {
        Answer { status, headers: Vec::new(), body: String::new() }
    }

    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut text = format!("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        stream.write_all(text.as_bytes())
    }
}

/// Serves HTTP connections, each on a thread of its own, one request after the other.
/// A connection on which no request comes for 5 s is closed.
pub fn serve_http(
    handler: impl Fn(Request, &mut TcpStream) -> Option<Answer> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                _ = stream.set_nodelay(true);
                _ = stream.set_read_timeout(Some(ms(5000)));
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let close =
                        request.headers.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    let Some(answer) = handler(request, &mut writer) else { return };
                    if answer.write(&mut writer).is_err() || close {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ----------------------------------------------------------------------------------------------------- receivers

/// A message in a call to a receiver.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub id: String,
    pub key: Option<String>,
}

/// Reads the messages of a call. None if the call is malformed.
pub fn deliveries(request: &Request) -> Option<Vec<Delivery>> {
    if request.method != "POST" {
        return None;
    }
    match request.path.as_str() {
        "/v1/messages" => {
            let id = request.headers.get("x-request-id")?.clone();
            Some(vec![Delivery { id, key: request.headers.get("idempotency-key").cloned() }])
        }
        "/v1/messages:batch" => {
            let text = String::from_utf8(request.body.clone()).ok()?;
            let mut found = Vec::new();
            for item in text.split('{').skip(1) {
                let field = |name: &str| {
                    let rest = item.split_once(&format!("\"{name}\":\""))?.1;
                    Some(rest.split_once('"')?.0.to_string())
                };
                found.push(Delivery { id: field("id")?, key: field("key") });
            }
            (!found.is_empty()).then_some(found)
        }
        _ => None,
    }
}

/// The answer 200 to a call: for several messages, `ok` for each.
pub fn all_ok(request: &Request, messages: &[Delivery]) -> Answer {
    let mut answer = Answer::status(200);
    if request.path.ends_with(":batch") {
        let states: Vec<String> =
            messages.iter().map(|m| format!("{{\"id\":\"{}\",\"state\":\"ok\"}}", m.id)).collect();
        answer.body = format!("[{}]", states.join(","));
    }
    answer
}

/// One line of the directory's list.
pub fn listed(name: &str, address: SocketAddr, kind: &str, group: i64, weight: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"block-a\",\"type\":\"{kind}\",\"group\":{group},\
         \"status\":\"Ready\",\"weight\":{weight:.2},\"since_ms\":0}}"
    )
}

// ------------------------------------------------------------------------------------------------------ platform

/// A notice as the platform got it.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub state: String,
    pub after_ms: u64,
}

/// The platform: the directory's agent with a list that does not change, and the reports.
/// `on_notice` is called for each notice, in the order in which they come.
pub fn platform(
    record: Record,
    endpoints: Vec<String>,
    on_notice: impl Fn(Notice) + Send + Sync + 'static,
) -> (SocketAddr, String) {
    platform_with_outages(record, endpoints, || false, on_notice)
}

/// The platform. While `is_down` holds, discovery is down: its agent takes connections and says nothing.
/// Notices are answered all the same.
pub fn platform_with_outages(
    record: Record,
    endpoints: Vec<String>,
    is_down: impl Fn() -> bool + Send + Sync + 'static,
    on_notice: impl Fn(Notice) + Send + Sync + 'static,
) -> (SocketAddr, String) {
    let list = format!("{{\"index\":7,\"snapshot\":true,\"endpoints\":[{}]}}", endpoints.join(","));
    let known = list.clone();
    let address = serve_http(move |request, stream| {
        if request.method == "POST" && request.path == "/reports" {
            let text = String::from_utf8_lossy(&request.body).to_string();
            for line in text.lines().filter(|l| !l.trim().is_empty()) {
                let field = |name: &str| {
                    let rest = line.split_once(&format!("\"{name}\":"))?.1.trim_start();
                    let end = rest.find([',', '}']).unwrap_or(rest.len());
                    Some(rest[..end].trim().trim_matches('"').to_string())
                };
                let (Some(id), Some(state)) = (field("id"), field("state")) else {
                    return Some(Answer::status(400));
                };
                let after_ms = field("after_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                record.line(format!("notice {id} {state} after_ms={after_ms}"));
                on_notice(Notice { id, state, after_ms });
            }
            return Some(Answer::status(204));
        }
        while is_down() {
            std::thread::sleep(ms(20));
        }
        if request.path == "/v1/servers" {
            return Some(Answer { body: list.clone(), ..Answer::status(200) });
        }
        if let Some(query) = request.path.strip_prefix("/v1/servers?") {
            let since =
                query.split('&').find_map(|q| q.strip_prefix("since=")).and_then(|v| v.parse::<u64>().ok());
            let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
            let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
            if since != Some(7) {
                text.push_str(&chunk(&format!("{list}\n")));
            }
            loop {
                if !is_down() {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return None;
                    }
                    text = chunk("\n");
                }
                std::thread::sleep(ms(2000));
            }
        }
        Some(Answer::status(404))
    });
    (address, known)
}

// ------------------------------------------------------------------------------------------------------- clients

/// What a client hears of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Taken,
    Busy(u64),
    Failed(String),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came within 400 ms.
    Nothing,
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Encodes the request that hands in a message.
pub fn put_command(id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    command(&[b"MSG.PUT", b"0000000000000000", id.as_bytes(), fields.as_bytes(), body])
}

pub fn read_line(stream: &mut TcpStream, wait: Duration) -> Result<String, Reply> {
    let until = Instant::now() + wait;
    let mut line = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Reply::Nothing);
        }
        _ = stream.set_read_timeout(Some(left));
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(0) => return Err(Reply::Closed),
            Ok(_) if byte[0] == b'\n' => {
                return Ok(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            Ok(_) => line.push(byte[0]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                return Err(Reply::Nothing);
            }
            Err(_) => return Err(Reply::Closed),
        }
    }
}

/// Hands in one message on a connection of its own, and waits 400 ms for the answer.
pub fn put(sender: SocketAddr, id: &str, fields: &str, body: &[u8]) -> Reply {
    let Ok(mut stream) = TcpStream::connect_timeout(&sender, ms(400)) else { return Reply::Closed };
    _ = stream.set_nodelay(true);
    if stream.write_all(&put_command(id, fields, body)).is_err() {
        return Reply::Closed;
    }
    match read_line(&mut stream, ms(400)) {
        Ok(line) => reply_of(&line),
        Err(reply) => reply,
    }
}

pub fn reply_of(line: &str) -> Reply {
    if line.starts_with('+') {
        Reply::Taken
    } else if let Some(rest) = line.strip_prefix("-BUSY") {
        Reply::Busy(rest.trim().parse().unwrap_or(0))
    } else {
        Reply::Failed(line.to_string())
    }
}

/// Whether the sender answers `PING` with `+PONG` within `wait`.
pub fn ping(sender: SocketAddr, wait: Duration) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&sender, wait) else { return false };
    stream.write_all(&command(&[b"PING"])).is_ok()
        && read_line(&mut stream, wait).is_ok_and(|line| line == "+PONG")
}

/// Waits until the sender answers `PING`, for up to 15 s.
pub fn wait_ready(sender: SocketAddr) -> bool {
    let until = Instant::now() + ms(15_000);
    while Instant::now() < until {
        if ping(sender, ms(1000)) {
            return true;
        }
        std::thread::sleep(ms(50));
    }
    false
}

/// Whether `GET /_ready` at the operators' address says yes.
pub fn door_ready(door: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&door, ms(1000)) else { return false };
    _ = stream.set_read_timeout(Some(ms(1000)));
    if stream.write_all(b"GET /_ready HTTP/1.1\r\nHost: door\r\n\r\n").is_err() {
        return false;
    }
    let mut text = [0; 12];
    stream.read_exact(&mut text).is_ok() && &text == b"HTTP/1.1 200"
}

// ------------------------------------------------------------------------------------------------------- senders

/// What differs between senders.
pub struct SenderPlan {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The settings as JSON.
    pub settings: String,
}

impl SenderPlan {
    pub fn config(&self) -> String {
        let SenderPlan { name, listen, discovery, known, memory_mb, sockets, settings } = self;
        // The sender's random numbers: sixteen hex digits.
        let seed = std::env::var("SEED").unwrap_or("8c1f30d27a5be964".into());
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets},\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{settings}}}"
        )
    }
}

/// The settings of a small deployment, as the page of the wire shows them for this site.
/// `profiles` are the classes as JSON objects.
pub fn settings(profiles: &str) -> String {
    format!(
        r#"{{"Azs":["block-a","block-b"],"Balancers":2,"Clients":{{"MarksRetry":false}},
"Customers":[{{"Fraction":1.0,"Name":"oduya-forms","QuotaRps":60.0}}],
"Discovery":"push","Family":"deliver",
"FamilyInfo":{{"BatchByKind":[10,1],"Carriage":[0.0,0.0],"KindApart":[false,false],"Late":"line","RefusalCost":0.05,"Workers":13}},
"Layers":["outbound-receivers"],
"Limits":{{"Cancel":true,"ConnectTimeoutUs":1500000,"CpuUsPerRequest":0.0,"CpuUsPerS":110000,"IdleCloseUs":5000000,"MaxAttempts":6,"MaxOpen":313,"MaxRetryAfterUs":2000000,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":8}},
"Ordinal":0,"OverShareWorth":0.05,
"Prices":{{"Connection":0.0,"CrossZone":0.01,"Discovery":0.0,"Handshake":0.04,"LateFail":0.02,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.03}},
"Profiles":[{profiles}],
"QuantumUs":5000,
"Rules":{{"AnswerSlackUs":20000,"AskEveryUs":10000000,"ColdFrom":0.19,"DrainGraceUs":1000000,"FallMultiple":2.0,"FallUs":2000000,"WarmUpUs":10000000}},
"ScoreParts":{{"Whole":0.45,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.25}},
"Shapes":["bulk-partner","client-hook"],"Stage":0,
"Stats":{{"Fields":[],"Source":"silent"}},"ValueBy":"request","Weights":"nominal","Zone":0}}"#
    )
}

/// The site's class `response-push`: a repeat is dropped for 10 s, given up at 24 s.
pub const RESPONSE_PUSH: &str = r#"{"Effect":"guarded","Group":"all","HardLimitUs":24000000,"LateShare":0.5,"Name":"response-push","ObjectiveUs":2500000,"Streamed":false,"WindowUs":10000000,"Worth":1.0}"#;
/// The site's class `status-sync`: safe to repeat, given up at 5 s.
pub const STATUS_SYNC: &str = r#"{"Effect":"free","Group":"all","HardLimitUs":5000000,"LateShare":0.0,"Name":"status-sync","ObjectiveUs":1500000,"Streamed":false,"WindowUs":5000000,"Worth":2.0}"#;
/// The site's class `airtime-payout`: must never take effect twice, given up at 28 s.
pub const AIRTIME_PAYOUT: &str = r#"{"Effect":"single_shot","Group":"all","HardLimitUs":28000000,"LateShare":0.4,"Name":"airtime-payout","ObjectiveUs":2500000,"Streamed":false,"WindowUs":5000000,"Worth":5.0}"#;

/// A running process of a sender. It is killed when the value is dropped.
pub struct Process {
    child: Child,
    pub label: String,
    record: Record,
}

impl Process {
    /// Starts the deploy file's `run` as the platform does. `socket` is the clients' listening socket, inherited as
    /// descriptor 5, where the platform holds it.
    pub fn start(
        run: &Run,
        plan: &SenderPlan,
        label: &str,
        door: Option<SocketAddr>,
        socket: Option<&TcpListener>,
    ) -> Process {
        let state = run.temp.join(format!("state-{}", plan.name));
        let temp = run.temp.join(format!("tmp-{}", plan.name));
        std::fs::create_dir_all(&state).unwrap();
        std::fs::create_dir_all(&temp).unwrap();
        let config = run.temp.join(format!("config-{}.json", plan.name));
        if !config.exists() {
            std::fs::write(&config, plan.config()).unwrap();
        }
        let log = File::create(run.temp.join(format!("log-{label}.txt"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run.run_line()).current_dir(&run.root).process_group(0);
        command.env("LB_NAME", &plan.name).env("LB_LISTEN", plan.listen.to_string());
        command
            .env("LB_DISCOVERY", plan.discovery.to_string())
            .env("LB_STATE", &state)
            .env("LB_CONFIG", &config);
        command
            .env("TMPDIR", &temp)
            .env_remove("LB_OPTIONS")
            .env_remove("LB_MGMT")
            .env_remove("LB_SOCKET_FD");
        if let Some(door) = door {
            command.env("LB_MGMT", door.to_string());
        }
        // SAFETY: prctl may be called between fork and exec. PR_SET_PDEATHSIG: however the case ends, this process ends
        // with it.
        unsafe {
            command.pre_exec(|| match prctl(1, SIGKILL as u64) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        if let Some(socket) = socket {
            command.env("LB_SOCKET_FD", "5");
            let fd = socket.as_raw_fd();
            // SAFETY: dup2 and fcntl may be called between fork and exec.
            unsafe {
                command.pre_exec(move || {
                    // F_SETFD without FD_CLOEXEC, for the case that the socket is descriptor 5 already.
                    if dup2(fd, 5) < 0 || fcntl(5, 2, 0) < 0 {
                        return Err(std::io::Error::last_os_error());
                    }
                    Ok(())
                });
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().expect("the sender starts");
        run.record.line(format!("process {label} started, pid {}", child.id()));
        Process { child, label: label.to_string(), record: run.record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("signal {signal} to process {}", self.label));
        // SAFETY: the process is a child that has not been waited for, so that its id is not used again.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        match self.child.try_wait() {
            Ok(Some(status)) => {
                self.record.line(format!("process {} has ended: {status}", self.label));
                true
            }
            _ => false,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            _ = self.child.kill();
        }
        _ = self.child.wait();
    }
}

/// Copies what the processes logged to the end of the record.
pub fn record_logs(run: &Run) {
    let mut logs: BTreeMap<PathBuf, String> = BTreeMap::new();
    for entry in std::fs::read_dir(&run.temp).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")) {
            logs.insert(path.clone(), std::fs::read_to_string(&path).unwrap_or_default());
        }
    }
    for (path, text) in logs {
        let name = path.file_name().unwrap_or_default().to_string_lossy().to_string();
        for line in text.lines().take(40) {
            run.record.line(format!("{name}: {line}"));
        }
    }
}
