//! A sender's process is replaced while discovery is down, and the configuration knows no list yet.
//!
//! One small receiver takes 5 calls a second and tells a wait to what is above; it gets 7 messages a second, so that some
//! messages wait at the sender. Discovery is down for 8 s. One second into it the process is replaced.

use review_rig::*;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const USUAL: Duration = Duration::from_millis(165);
const RATE_PER_S: f64 = 5.0;
const EVERY: Duration = Duration::from_millis(143);
const DOWN_FROM: Duration = Duration::from_millis(2000);
/// The page: "discovery is down for 8 s".
const DOWN_FOR: Duration = Duration::from_millis(8000);
const REPLACED_AT: Duration = Duration::from_millis(3000);
const TRAFFIC_FOR: Duration = Duration::from_millis(14_000);
const RUN_FOR: Duration = Duration::from_millis(22_000);
/// The time of a message of the class `status-sync`.
const TIME_S: f64 = 5.0;
/// After its time a message's end still counts for half a second, and each time limit is 50 ms longer on sockets.
const SLACK_S: f64 = 0.55;

#[derive(Default)]
struct Message {
    handed_in: f64,
    taken: Option<f64>,
    delivered: Option<f64>,
    notice: Option<f64>,
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let run = Arc::new(Run::new(folder.as_ref()));
    let only = std::env::var("ONLY").unwrap_or_default();
    let (with_outage, with_replacement) =
        (run.trouble && only != "replacement", run.trouble && only != "outage");
    let messages: Arc<Mutex<HashMap<String, Message>>> = Arc::default();
    let foreign = Arc::new(AtomicBool::new(false));
    let bucket = Mutex::new((RATE_PER_S, Instant::now()));
    let (calls, record, found_foreign) = (messages.clone(), run.record.clone(), foreign.clone());
    let receiver = serve_http(move |request, _| {
        if request.path == "/healthz" {
            return Some(Answer::status(200));
        }
        let Some(carried) = deliveries(&request) else { return Some(Answer::status(400)) };
        if carried.iter().any(|m| !calls.lock().unwrap().contains_key(&m.id)) {
            found_foreign.store(true, Ordering::Relaxed);
            return Some(Answer::status(400));
        }
        let has_room = {
            let mut bucket = bucket.lock().unwrap();
            let tokens = (bucket.0 + RATE_PER_S * bucket.1.elapsed().as_secs_f64()).min(RATE_PER_S);
            *bucket = (if tokens >= 1.0 { tokens - 1.0 } else { tokens }, Instant::now());
            tokens >= 1.0
        };
        if !has_room {
            record.line(format!("receiver: {} turned away (429, wait 500 ms)", carried[0].id));
            let headers = vec![("X-Retry-In-Ms", "500".to_string())];
            return Some(Answer { headers, ..Answer::status(429) });
        }
        std::thread::sleep(USUAL);
        for message in &carried {
            let mut calls = calls.lock().unwrap();
            let Some(message) = calls.get_mut(&message.id) else { continue };
            message.delivered.get_or_insert(record.now());
        }
        record.line(format!("receiver: answers 200 to {}", carried[0].id));
        Some(all_ok(&request, &carried))
    });
    let list = vec![listed("hook-1", receiver, "client-hook", 1, RATE_PER_S)];
    let down = Arc::new(AtomicBool::new(false));
    let (is_down, ends, record) = (down.clone(), messages.clone(), run.record.clone());
    let (discovery, _) = platform_with_outages(
        run.record.clone(),
        list,
        move || is_down.load(Ordering::Relaxed),
        move |notice| {
            if let Some(message) = ends.lock().unwrap().get_mut(&notice.id) {
                message.notice.get_or_insert(record.now());
            }
        },
    );
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = socket.local_addr().unwrap();
    let plan = SenderPlan {
        name: "n1".into(),
        listen,
        discovery,
        // The configuration was written before the sender's first start: it has had no list yet.
        known: "{\"index\":0,\"snapshot\":true,\"endpoints\":[]}".into(),
        memory_mb: 192,
        sockets: 1024,
        settings: settings(&[RESPONSE_PUSH, STATUS_SYNC, AIRTIME_PAYOUT].join(",")),
    };
    let mut old = Process::start(&run, &plan, "old", Some(free_address()), Some(&socket));
    if !wait_ready(listen) {
        record_logs(&run);
        run.end(COULD_NOT_RUN, "the sender was not ready");
    }
    let begun = Instant::now();
    let clients = {
        let (run, messages) = (run.clone(), messages.clone());
        std::thread::spawn(move || {
            let mut handing_in = Vec::new();
            let (mut number, mut next_at) = (0u64, begun);
            while begun.elapsed() < TRAFFIC_FOR {
                std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
                next_at += EVERY;
                number += 1;
                let (run, messages) = (run.clone(), messages.clone());
                handing_in.push(std::thread::spawn(move || {
                    let id = format!("{:016x}", 0xc000 + number);
                    let handed_in = run.record.now();
                    let message = Message { handed_in, ..Message::default() };
                    messages.lock().unwrap().insert(id.clone(), message);
                    let reply = put(listen, &id, "c=status-sync,t=oduya-forms,d=5000,dest=1", b"count");
                    run.record.line(format!("client: {id} handed in at {handed_in:.3}: {reply:?}"));
                    if reply == Reply::Taken
                        && let Some(message) = messages.lock().unwrap().get_mut(&id)
                    {
                        message.taken = Some(run.record.now());
                    }
                    reply
                }));
            }
            let replies = handing_in.into_iter().filter_map(|client| client.join().ok());
            replies.filter(|reply| matches!(reply, Reply::Nothing | Reply::Closed)).count()
        })
    };
    let mut new: Option<(Process, std::net::SocketAddr, Instant)> = None;
    // The times from which and up to which no notice is overdue: SIGTERM, and 1.5 s after the sender is ready again.
    let (mut excused_from, mut excused_to) = (f64::INFINITY, f64::INFINITY);
    let mut ready = false;
    let mut sigterm: Option<Instant> = None;
    while begun.elapsed() < RUN_FOR {
        std::thread::sleep(ms(10));
        let at = begun.elapsed();
        let is_down = with_outage && at >= DOWN_FROM && at < DOWN_FROM + DOWN_FOR;
        if down.swap(is_down, Ordering::Relaxed) != is_down {
            run.record.line(if is_down { "discovery is down" } else { "discovery is back" });
        }
        if with_replacement && at >= REPLACED_AT && new.is_none() {
            let door = free_address();
            new = Some((Process::start(&run, &plan, "new", Some(door), Some(&socket)), door, Instant::now()));
        }
        let Some((_, door, started)) = &new else { continue };
        if !ready && door_ready(*door) {
            run.record.line("the new process says that it is ready");
            ready = true;
            excused_to = run.record.now() + 1.5;
        }
        // The new process has 6 s to say yes; then SIGTERM goes to the old one, and SIGKILL 3.7 s later.
        if sigterm.is_none() && (ready || started.elapsed() >= ms(6000)) {
            sigterm = Some(Instant::now());
            excused_from = run.record.now();
            run.record.line("the old process would get SIGTERM now, unless it has left");
            if !old.has_exited() {
                old.signal(SIGTERM);
            }
        }
        if sigterm.is_some_and(|at| at.elapsed() >= ms(3700)) && !old.has_exited() {
            old.signal(SIGKILL);
        }
    }
    let unanswered = clients.join().unwrap_or_default();
    drop(new);
    drop(old);
    record_logs(&run);
    let messages = messages.lock().unwrap();
    let (mut taken, mut lost, mut latest) = (0, Vec::new(), 0.0_f64);
    for (id, message) in messages.iter().filter(|(_, message)| message.taken.is_some()) {
        taken += 1;
        let due = message.handed_in + TIME_S + SLACK_S;
        if due >= excused_from && due <= excused_to {
            continue;
        }
        let end = message.delivered.into_iter().chain(message.notice).fold(f64::INFINITY, f64::min);
        if end > due {
            lost.push(id.clone());
            latest = latest.max(end - message.handed_in - TIME_S);
            run.record
                .line(format!("LOST: {id}, handed in at {:.3}, its end came at {end:.3}", message.handed_in));
        }
    }
    let why = format!(
        "{} of {taken} messages taken on had no end half a second after their time, the latest came {latest:.1} s \
         after it; {unanswered} of {} requests got no answer; foreign work: {}",
        lost.len(),
        messages.len(),
        foreign.load(Ordering::Relaxed)
    );
    if taken == 0 {
        run.end(COULD_NOT_RUN, &why);
    }
    run.end(if lost.is_empty() { HELD } else { BROKEN }, &why)
}
