//! Discovery that takes long for each answer, or gives none.
//! Guards against senders that never get a list, or never learn of a drain, though discovery answers every request.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
/// Time within which a sender must know a change that discovery can tell it.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// Longest time that discovery takes for an answer.
const LONGEST_ANSWER: Duration = Duration::from_secs(2);

/// Time after a message's deadline within which its notice must have been sent.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(500);

fn listing(index: u64, addr: SocketAddr, state: &str) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": [listed_endpoint("s-1", addr, "one", 3, state)]})
}

/// Starts a discovery stub that takes `delay` for the head of each answer. Confirms notices without delay.
fn slow_discovery(delay: Duration, list: Value) -> ScriptedPlatform {
    let list = list.to_string();
    ScriptedPlatform::new(move |request, _, stream| {
        if !request.line.contains("/v1/servers") {
            return write_answer(stream, 204, "");
        }
        sleep(delay);
        if request.line.contains("follow") {
            begin_chunked(stream);
            write_chunk(stream, &format!("{list}\n"));
        } else {
            write_answer(stream, 200, &list);
        }
    })
}

/// Starts a sender that asks `discovery` and has the configured list `known`.
fn sender(discovery: &ScriptedPlatform, known: &Value) -> Sender {
    let platform = Platform::new(Vec::new());
    Sender::with(&platform, |c| {
        c["discovery"] = discovery.addr.to_string().into();
        c["known"] = known.clone();
    })
}

// Each poll was given up after 0.6 s, so a sender without a configured list never became ready.
#[test]
fn a_sender_without_a_list_gets_one_from_a_slow_discovery() {
    for delay in [Duration::from_secs(1), LONGEST_ANSWER] {
        let endpoint = Endpoint::new(|_| status(200));
        let discovery = slow_discovery(delay, listing(7, endpoint.addr, "Ready"));
        let sender = sender(&discovery, &Value::Null);
        sender.client().ping();
        assert_eq!(sender.client().put("a1", SYNC), "+OK");
        endpoint.wait_sent("a1");
    }
}

// Each request for a watch was given up after 0.6 s, so a sender with a configured list never learned of a drain.
#[test]
fn a_sender_with_a_list_learns_of_a_drain_from_a_slow_discovery() {
    for delay in [Duration::from_secs(1), LONGEST_ANSWER] {
        let endpoint = Endpoint::new(|_| status(200));
        let discovery = slow_discovery(delay, listing(8, endpoint.addr, "Terminating"));
        let started = Instant::now();
        let sender = sender(&discovery, &listing(7, endpoint.addr, "Ready"));
        wait_until("the drain in the journal", || sender.journal_contains("s-1"));
        let took = started.elapsed();
        assert!(took < MAX_DISCOVERY_DELAY, "answers after {delay:?}: the drain was known after {took:?}");
    }
}

// A confirmation that took longer than a second was never received, and no later notice was sent.
#[test]
fn notices_are_sent_in_time_and_confirmed_by_a_slow_platform() {
    let received: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (log, list) =
        (received.clone(), json!({"index": 7, "snapshot": true, "endpoints": [placeholder(3)]}));
    let platform = ScriptedPlatform::new(move |request, _, stream| match &*request.line {
        l if l.contains("follow") => {
            begin_chunked(stream);
            write_chunk(stream, &format!("{list}\n"));
        }
        l if l.contains("/v1/servers") => write_answer(stream, 200, &list.to_string()),
        _ => {
            let body = String::from_utf8(request.body.clone()).unwrap();
            log.lock().unwrap().push((body, Instant::now()));
            sleep(LONGEST_ANSWER);
            write_answer(stream, 204, "");
        }
    });
    let sender = sender(&platform, &Value::Null);
    sender.client().ping();
    let mut deadlines = Vec::new();
    for n in 0..3 {
        let (id, time_left) = (format!("a{n}"), Duration::from_millis(600 + 300 * n));
        deadlines.push((id.clone(), Instant::now() + time_left));
        let fields = format!("c=sync,d={},dest=3", time_left.as_millis());
        assert_eq!(sender.client().put(&id, &fields), "+OK");
    }
    let times = |id: &str| -> Vec<Instant> {
        let received = received.lock().unwrap();
        received.iter().filter(|(body, _)| body.contains(&format!("\"{id}\""))).map(|(_, at)| *at).collect()
    };
    for (id, deadline) in &deadlines {
        wait_until(&format!("a notice for {id}"), || !times(id).is_empty());
        let late = times(id)[0].saturating_duration_since(*deadline);
        assert!(late < MAX_NOTICE_DELAY, "the notice for {id} came {late:?} after its deadline");
    }
    // Once a notice is confirmed, it is not sent any more.
    sleep(2 * LONGEST_ANSWER);
    let before: Vec<usize> = deadlines.iter().map(|(id, _)| times(id).len()).collect();
    sleep(2 * LONGEST_ANSWER);
    assert_eq!(before, deadlines.iter().map(|(id, _)| times(id).len()).collect::<Vec<_>>());
}
