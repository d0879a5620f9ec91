//! A payout whose last allowed attempt is out while the sender's process is replaced.
//!
//! Five partners get four payouts a second each. After 3 s one of them is above its limit and turns five calls away (429
//! with a wait, 503 without); one payout is for it then. It takes the sixth call and is slow: it pays out and answers 4 s
//! later, 24 times slower than the usual 165 ms. While that call is out, the process is replaced. The other four are well.

use review_rig::*;
use std::collections::{HashMap, HashSet};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

const PARTNERS: i64 = 5;
/// The partner with the trouble: a fifth of the traffic, where the page allows 24%.
const TROUBLED: i64 = 1;
const TURNED_AWAY: u32 = 5;
/// The wait that is told with a refusal: to the end of the span in which the partner counts calls, 2 s at most.
const WAIT_MS: u32 = 600;
const USUAL: Duration = Duration::from_millis(165);
const SLOW: Duration = Duration::from_millis(4000);
/// How long partners are slow; the page allows 8.7 to 24 s.
const SLOW_FOR: Duration = Duration::from_millis(14_000);
const FULL_AFTER: Duration = Duration::from_millis(2900);
/// Payouts to the troubled partner end just after its limit is used up, so that one is turned away.
const TROUBLED_TRAFFIC_FOR: Duration = Duration::from_millis(3100);
const TRAFFIC_FOR: Duration = Duration::from_millis(12_000);
const RUN_FOR: Duration = Duration::from_millis(28_000);
const DEADLINE_MS: u128 = 28_000;

#[derive(Default)]
struct State {
    /// The payout that each id belongs to.
    payout_of: HashMap<String, u64>,
    /// When each payout was first handed in, its partner, and how often it was handed in.
    payouts: HashMap<u64, (Instant, i64, u32)>,
    /// The payouts' effects, each with the id that brought it.
    effects: HashMap<u64, Vec<String>>,
    /// The ids whose client has heard that they are taken on. What is sent under another id counts for nothing.
    taken: HashSet<String>,
    /// When the partners' limits were used up; None before.
    full: Option<Instant>,
    /// The calls that each partner has turned away since then, and when it opened again.
    turned_away: HashMap<i64, u32>,
    opened: HashMap<i64, Instant>,
    /// A slow call is out.
    slow_call_out: bool,
    next_id: u64,
    foreign: u32,
}

fn hand_in(run: &Run, state: &Mutex<State>, listen: std::net::SocketAddr, payout: u64) -> Reply {
    let mut now = state.lock().unwrap();
    now.next_id += 1;
    let id = format!("{:016x}", 0xa000 + now.next_id);
    now.payout_of.insert(id.clone(), payout);
    let Some((first, partner, tries)) = now.payouts.get_mut(&payout) else { return Reply::Closed };
    *tries += 1;
    let (partner, tries) = (*partner, *tries);
    let left = DEADLINE_MS.saturating_sub(first.elapsed().as_millis());
    drop(now);
    let fields = format!("c=airtime-payout,t=oduya-forms,d={left},dest={partner}");
    let reply = put(listen, &id, &fields, format!("payout {payout}").as_bytes());
    if reply == Reply::Taken {
        state.lock().unwrap().taken.insert(id.clone());
    }
    run.record.line(format!(
        "client: payout {payout} to partner {partner}, try {tries}, handed in as {id}: {reply:?}"
    ));
    reply
}

/// Counts a payout's effects under the ids that its client has heard to be taken on.
fn count_effects(state: &State, payout: u64) -> usize {
    let effects = state.effects.get(&payout).into_iter().flatten();
    effects.filter(|id| state.taken.contains(*id)).count()
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let run = Arc::new(Run::new(folder.as_ref()));
    let state = Arc::new(Mutex::new(State::default()));
    let mut list = Vec::new();
    for partner in 1..=PARTNERS {
        let (state, record) = (state.clone(), run.record.clone());
        let address = serve_http(move |request, _| {
            if request.path == "/healthz" {
                return Some(Answer::status(200));
            }
            let Some(messages) = deliveries(&request) else { return Some(Answer::status(400)) };
            let ids: Vec<&str> = messages.iter().map(|m| m.id.as_str()).collect();
            let mut now = state.lock().unwrap();
            let known: Option<Vec<u64>> =
                messages.iter().map(|m| now.payout_of.get(&m.id).copied()).collect();
            let Some(payouts) = known else {
                now.foreign += 1;
                record.line(format!("partner {partner}: a message that nobody handed in, {ids:?}"));
                return Some(Answer::status(400));
            };
            let mut work = USUAL;
            if partner == TROUBLED && now.full.is_some() {
                let refused = now.turned_away.entry(partner).or_default();
                if *refused < TURNED_AWAY {
                    *refused += 1;
                    record
                        .line(format!("partner {partner}: call {refused} turned away: {payouts:?} {ids:?}"));
                    // Three of the five refusals tell how long to wait; others take the room that there is then.
                    if *refused % 2 == 1 {
                        let wait = vec![("X-Retry-In-Ms", WAIT_MS.to_string())];
                        return Some(Answer { headers: wait, ..Answer::status(429) });
                    }
                    return Some(Answer::status(503));
                }
                let opened = *now.opened.entry(partner).or_insert_with(Instant::now);
                if opened.elapsed() < SLOW_FOR {
                    work = SLOW;
                    now.slow_call_out = true;
                }
            }
            for (payout, message) in payouts.iter().zip(&messages) {
                now.effects.entry(*payout).or_default().push(message.id.clone());
                record.line(format!("partner {partner}: PAYS OUT payout {payout}, id {}", message.id));
            }
            drop(now);
            std::thread::sleep(work);
            record.line(format!("partner {partner}: answers 200 to {ids:?}"));
            Some(all_ok(&request, &messages))
        });
        list.push(listed(&format!("partner-{partner}"), address, "bulk-partner", partner, 5.0));
    }
    let (notices, told) = mpsc::channel();
    let notices = Mutex::new(notices);
    let (discovery, known) =
        platform(run.record.clone(), list, move |notice| _ = notices.lock().unwrap().send(notice));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = socket.local_addr().unwrap();
    let plan = SenderPlan {
        name: "n1".into(),
        listen,
        discovery,
        known,
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
    let again: Arc<Mutex<Vec<(Instant, u64)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    // The clients: new payouts, and those that the sender refused or returned, up to three times after a wait.
    let clients = {
        let (run, state, again, stop) = (run.clone(), state.clone(), again.clone(), stop.clone());
        std::thread::spawn(move || {
            let (mut next_payout, mut next_at) = (0, begun);
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(5));
                let mut due = Vec::new();
                again.lock().unwrap().retain(|(at, payout)| {
                    let is_due = *at <= Instant::now();
                    due.extend(is_due.then_some(*payout));
                    !is_due
                });
                if next_at <= Instant::now() && begun.elapsed() < TRAFFIC_FOR {
                    next_payout += 1;
                    next_at += ms(250 / PARTNERS as u64);
                    let partner = next_payout as i64 % PARTNERS + 1;
                    if partner != TROUBLED || begun.elapsed() < TROUBLED_TRAFFIC_FOR {
                        state.lock().unwrap().payouts.insert(next_payout, (Instant::now(), partner, 0));
                        due.push(next_payout);
                    }
                }
                for payout in due {
                    let reply = hand_in(&run, &state, listen, payout);
                    let tries = state.lock().unwrap().payouts[&payout].2;
                    if let (Reply::Busy(after), true) = (reply, tries < 4) {
                        again.lock().unwrap().push((Instant::now() + ms(after.max(500)), payout));
                    }
                }
            }
        })
    };
    let mut new: Option<Process> = None;
    let (mut door, mut ready, mut stopped) = (None, None::<Instant>, false);
    let mut returned_after_effect = 0;
    while begun.elapsed() < RUN_FOR {
        std::thread::sleep(ms(5));
        let mut now = state.lock().unwrap();
        if now.full.is_none() && begun.elapsed() >= FULL_AFTER {
            now.full = Some(Instant::now());
            run.record.line("partner 1 is above its limit");
        }
        let out = now.slow_call_out;
        drop(now);
        // The process is replaced as soon as a partner that turned calls away has taken a call and not answered it yet.
        if run.trouble && out && new.is_none() {
            let address = free_address();
            door = Some(address);
            new = Some(Process::start(&run, &plan, "new", Some(address), Some(&socket)));
        }
        if let (Some(door), None) = (door, ready)
            && door_ready(door)
        {
            run.record.line("the new process says that it is ready");
            ready = Some(Instant::now());
            old.signal(SIGTERM);
        }
        if ready.is_some_and(|at| at.elapsed() > ms(3700)) && !stopped {
            stopped = true;
            if !old.has_exited() {
                old.signal(SIGKILL);
            }
        }
        while let Ok(notice) = told.try_recv() {
            let now = state.lock().unwrap();
            let Some(payout) = now.payout_of.get(&notice.id).copied() else { continue };
            let (tries, effects) = (now.payouts[&payout].2, count_effects(&now, payout));
            drop(now);
            if notice.state == "returned" {
                if effects > 0 {
                    returned_after_effect += 1;
                    run.record.line(format!("payout {payout} is returned though it has been paid out"));
                }
                if tries < 4 {
                    again.lock().unwrap().push((Instant::now() + ms(notice.after_ms.max(500)), payout));
                }
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    _ = clients.join();
    drop(new);
    drop(old);
    record_logs(&run);
    let now = state.lock().unwrap();
    let mut twice: Vec<u64> = now.effects.keys().copied().filter(|p| count_effects(&now, *p) > 1).collect();
    twice.sort_unstable();
    let why = format!(
        "{} of {} payouts took effect, {} of them more than once {twice:?}; {returned_after_effect} payouts were \
         returned after they had taken effect; {} messages that nobody handed in",
        now.effects.len(),
        now.payouts.len(),
        twice.len(),
        now.foreign
    );
    if now.opened.is_empty() || (run.trouble && ready.is_none()) {
        run.end(
            COULD_NOT_RUN,
            &format!("no partner took a call again, or the new process was not ready; {why}"),
        );
    }
    run.end(if twice.is_empty() { HELD } else { BROKEN }, &why)
}
