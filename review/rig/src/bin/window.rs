//! A keyed message that the sender returns while its receiver fails, and that goes out again after the key's window.
//!
//! Five receivers get some three responses a second each. One of them fails for 10 s: it runs what it gets, and its answers
//! are 500. Receivers remember a key for 10 s. The client hands in again what is returned to it, with the same key, while
//! the window is open.

use review_rig::*;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

const USUAL: Duration = Duration::from_millis(165);
const RECEIVERS: i64 = 5;
/// The receiver that fails: a fifth of the traffic, where the page allows 27%.
const FAILING: i64 = 1;
/// The time between two responses to one receiver.
const EVERY: Duration = Duration::from_millis(300);
const FAILS_FROM: Duration = Duration::from_millis(4000);
const FAILS_FOR: Duration = Duration::from_millis(10_000);
const TRAFFIC_FOR: Duration = Duration::from_millis(20_000);
const RUN_FOR: Duration = Duration::from_millis(48_000);
const WINDOW: Duration = Duration::from_millis(10_000);
const DEADLINE_MS: u128 = 24_000;

struct Response {
    first: Instant,
    tries: u32,
    dest: i64,
}

#[derive(Default)]
struct State {
    key_of: HashMap<String, u64>,
    responses: HashMap<u64, Response>,
    /// The effects of each key, and when the receiver first saw the key within its memory.
    effects: HashMap<u64, Vec<(f64, String)>>,
    /// The ids whose client has heard that they are taken on. What is sent under another id counts for nothing.
    taken: HashSet<String>,
    seen: HashMap<u64, Instant>,
    foreign: u32,
    next_id: u64,
    failed_calls: u32,
}

fn hand_in(run: &Run, state: &Mutex<State>, listen: std::net::SocketAddr, response: u64) -> (Reply, u32) {
    let mut now = state.lock().unwrap();
    now.next_id += 1;
    let id = format!("{:016x}", 0xb000 + now.next_id);
    now.key_of.insert(id.clone(), response);
    let Some(r) = now.responses.get_mut(&response) else { return (Reply::Closed, 9) };
    r.tries += 1;
    let (tries, dest) = (r.tries, r.dest);
    let left = DEADLINE_MS.saturating_sub(r.first.elapsed().as_millis());
    drop(now);
    let fields = format!("c=response-push,t=oduya-forms,d={left},k={response:016x},dest={dest}");
    let reply = put(listen, &id, &fields, format!("response {response}").as_bytes());
    if reply == Reply::Taken {
        state.lock().unwrap().taken.insert(id.clone());
    }
    run.record.line(format!(
        "client: response {response} to receiver {dest}, try {tries}, handed in as {id}: {reply:?}"
    ));
    (reply, tries)
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let run = Arc::new(Run::new(folder.as_ref()));
    let state = Arc::new(Mutex::new(State::default()));
    let begun_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut list = Vec::new();
    for dest in 1..=RECEIVERS {
        let (calls, record, begun_there) = (state.clone(), run.record.clone(), begun_at.clone());
        let trouble = run.trouble && dest == FAILING;
        let address = serve_http(move |request, _| {
            let failing = || {
                let at = begun_there.lock().unwrap().map(|t| t.elapsed()).unwrap_or_default();
                trouble && at >= FAILS_FROM && at < FAILS_FROM + FAILS_FOR
            };
            if request.path == "/healthz" {
                return Some(Answer::status(200));
            }
            let Some(messages) = deliveries(&request) else { return Some(Answer::status(400)) };
            let mut now = calls.lock().unwrap();
            let known: Option<Vec<u64>> = messages.iter().map(|m| now.key_of.get(&m.id).copied()).collect();
            let Some(keys) = known else {
                now.foreign += 1;
                return Some(Answer::status(400));
            };
            let fails = failing();
            now.failed_calls += u32::from(fails);
            for (key, message) in keys.iter().zip(&messages) {
                let remembered = now.seen.get(key).is_some_and(|at| at.elapsed() < WINDOW);
                if remembered {
                    record.line(format!(
                        "receiver {dest}: response {key}, id {}: a repeat, dropped",
                        message.id
                    ));
                } else {
                    now.seen.insert(*key, Instant::now());
                    now.effects.entry(*key).or_default().push((record.now(), message.id.clone()));
                    record.line(format!("receiver {dest}: response {key}, id {}: TAKES EFFECT", message.id));
                }
            }
            drop(now);
            std::thread::sleep(if fails { ms(10) } else { USUAL });
            record.line(format!(
                "receiver {dest}: answers {} to {}",
                if fails { 500 } else { 200 },
                messages[0].id
            ));
            Some(if fails { Answer::status(500) } else { all_ok(&request, &messages) })
        });
        list.push(listed(&format!("hook-{dest}"), address, "client-hook", dest, 20.0));
    }
    let (notices, told) = mpsc::channel();
    let notices = Mutex::new(notices);
    let (discovery, known) =
        platform(run.record.clone(), list, move |notice| _ = notices.lock().unwrap().send(notice));
    let listen = free_address();
    let plan = SenderPlan {
        name: "n1".into(),
        listen,
        discovery,
        known,
        memory_mb: 192,
        sockets: 1024,
        settings: settings(&[RESPONSE_PUSH, STATUS_SYNC, AIRTIME_PAYOUT].join(",")),
    };
    let process = Process::start(&run, &plan, "only", None, None);
    if !wait_ready(listen) {
        record_logs(&run);
        run.end(COULD_NOT_RUN, "the sender was not ready");
    }
    let begun = Instant::now();
    *begun_at.lock().unwrap() = Some(begun);
    let again: Arc<Mutex<Vec<(Instant, u64)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = {
        let (run, state, again, stop) = (run.clone(), state.clone(), again.clone(), stop.clone());
        std::thread::spawn(move || {
            let (mut next, mut next_at) = (0, begun);
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(5));
                let mut due = Vec::new();
                again.lock().unwrap().retain(|(at, response)| {
                    let is_due = *at <= Instant::now();
                    due.extend(is_due.then_some(*response));
                    !is_due
                });
                // A message that may have taken effect comes again only inside its window, counted here from the
                // first time that it was handed in.
                due.retain(|r| state.lock().unwrap().responses[r].first.elapsed() < WINDOW);
                if next_at <= Instant::now() && begun.elapsed() < TRAFFIC_FOR {
                    next += 1;
                    next_at += EVERY / RECEIVERS as u32;
                    let dest = next as i64 % RECEIVERS + 1;
                    state
                        .lock()
                        .unwrap()
                        .responses
                        .insert(next, Response { first: Instant::now(), tries: 0, dest });
                    due.push(next);
                }
                for response in due {
                    if let (Reply::Busy(after), ..4) = hand_in(&run, &state, listen, response) {
                        again.lock().unwrap().push((Instant::now() + ms(after.max(500)), response));
                    }
                }
            }
        })
    };
    while begun.elapsed() < RUN_FOR {
        let Ok(notice) = told.recv_timeout(ms(100)) else { continue };
        let now = state.lock().unwrap();
        let Some(response) = now.key_of.get(&notice.id).copied() else { continue };
        let tries = now.responses[&response].tries;
        drop(now);
        if notice.state == "returned" && tries < 4 {
            again.lock().unwrap().push((Instant::now() + ms(notice.after_ms.max(500)), response));
        }
    }
    stop.store(true, Ordering::Relaxed);
    _ = clients.join();
    drop(process);
    record_logs(&run);
    let now = state.lock().unwrap();
    let heard = |key: &u64| now.effects[key].iter().filter(|(_, id)| now.taken.contains(id)).count();
    let mut twice: Vec<u64> = now.effects.keys().copied().filter(|key| heard(key) > 1).collect();
    twice.sort_unstable();
    for key in &twice {
        run.record.line(format!("response {key} took effect at {:?}", now.effects[key]));
    }
    let why = format!(
        "{} of {} responses took effect, {} of them more than once {twice:?}; {} messages that nobody handed in",
        now.effects.len(),
        now.responses.len(),
        twice.len(),
        now.foreign
    );
    if now.effects.is_empty() || (run.trouble && now.failed_calls == 0) {
        run.end(COULD_NOT_RUN, &why);
    }
    run.end(if twice.is_empty() { HELD } else { BROKEN }, &why)
}
