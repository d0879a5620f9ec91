//! Answers of endpoints, and the outcomes that the sender derives from these answers.
//! Guards against messages that are sent again although they may have taken effect at the receiver.
//! Guards against messages that fail although no receiver processed them, ignored waits, and slots that stay occupied.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
const PUSH: &str = "c=push,d=20000,dest=3,k=5c0f6e1a2b3d4c59";
const PAY: &str = "c=pay,d=20000,dest=3";

fn sender_with_endpoint(
    script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static,
) -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(script);
    let platform =
        Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready"), placeholder(9)]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    (endpoint, platform, sender)
}

/// Starts an endpoint that responds to the first call with `act` and accepts all later calls.
fn first_call_answered_with(act: StubResponse) -> (Endpoint, Platform, Sender) {
    let seen = std::sync::atomic::AtomicBool::new(false);
    sender_with_endpoint(move |r| {
        let message = r.line.starts_with("POST");
        let first = message && !seen.swap(true, std::sync::atomic::Ordering::SeqCst);
        if first { act.clone() } else { status(200) }
    })
}

#[test]
fn a_call_carries_id_key_timeout_and_body_on_a_connection_of_its_own() {
    let (endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    let mut client = sender.client();
    for id in ["a1", "a2", "a3"] {
        assert_eq!(client.put(id, PUSH), "+OK");
        endpoint.wait_sent(id);
        // The sender has read the answer by then, and could use the connection again.
        std::thread::sleep(Duration::from_millis(200));
    }
    let requests = endpoint.requests();
    assert_eq!(requests[0].line, "POST /v1/messages HTTP/1.1");
    assert_eq!(requests[0].header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(requests[0].body, b"hello");
    let timeout = requests[0].header("x-timeout").unwrap().strip_suffix('m').unwrap();
    assert!((1..=20_000).contains(&timeout.parse::<u32>().unwrap()));
    assert!(requests.iter().all(|r| r.header("connection") == Some("close")));
    assert_eq!(requests.iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
}

#[test]
fn an_error_may_have_run_so_only_repeatable_messages_are_sent_again() {
    for (fields, times, notice) in [(SYNC, 2, None), (PUSH, 2, None), (PAY, 1, Some("failed"))] {
        let (endpoint, platform, sender) = first_call_answered_with(status(500));
        assert_eq!(sender.client().put("a1", fields), "+OK");
        match notice {
            Some(state) => platform.wait_notice("a1", state),
            None => wait_until("the second call", || endpoint.call_count("a1") == 2),
        }
        assert_eq!(endpoint.call_count("a1"), times, "{fields}");
    }
}

#[test]
fn a_reset_may_have_run() {
    let (endpoint, platform, sender) = first_call_answered_with(StubResponse::Close);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    platform.wait_notice("a1", "failed");
    assert_eq!(endpoint.call_count("a1"), 1);
}

#[test]
fn a_rejected_message_never_ran_and_is_sent_again() {
    for code in [429, 503] {
        let (endpoint, platform, sender) = first_call_answered_with(status(code));
        assert_eq!(sender.client().put("a1", PAY), "+OK");
        wait_until("the second call", || endpoint.call_count("a1") == 2);
        assert_eq!(platform.notices(), Vec::<Value>::new());
    }
    let no_slot_answer = StubResponse::Answer(503, vec![("X-No-Slot", "1".into())], String::new());
    let (endpoint, _platform, sender) = first_call_answered_with(no_slot_answer);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    wait_until("the second call", || endpoint.call_count("a1") == 2);
}

#[test]
fn a_refused_connection_never_ran() {
    // An address at which no process listens.
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let platform = Platform::new(vec![listed_endpoint("s-1", unused_address, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    assert_eq!(sender.client().put("a1", "c=pay,d=1500,dest=3"), "+OK");
    platform.wait_notice("a1", "returned");
    let after = platform.notices()[0]["after_ms"].as_u64();
    assert!(after.is_some_and(|ms| ms > 0), "the notice must give a retry time");
}

#[test]
fn a_message_answered_with_410_ends_without_a_notice() {
    let (endpoint, platform, sender) = sender_with_endpoint(|_| status(410));
    let mut client = sender.client();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert_eq!(client.put("a2", "c=pay,d=400,dest=9"), "+OK");
    platform.wait_notice("a2", "returned");
    assert_eq!((endpoint.call_count("a1"), platform.notice_state("a1")), (1, None));
}

#[test]
fn silence_ends_the_call_by_closing_its_connection_before_the_next_try() {
    let (endpoint, _platform, sender) = first_call_answered_with(StubResponse::Silence);
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    wait_until("the second call", || endpoint.call_count("a1") == 2);
    let calls: Vec<_> = endpoint.requests().into_iter().filter(|r| r.line.starts_with("POST")).collect();
    assert_ne!(calls[0].connection, calls[1].connection);
    wait_until("the first connection to end", || {
        endpoint.closed_connections().contains(&calls[0].connection)
    });
}

#[test]
fn an_unsafe_message_is_failed_at_its_deadline_when_nothing_came_back() {
    let (endpoint, platform, sender) = sender_with_endpoint(|_| StubResponse::Silence);
    let start = Instant::now();
    assert_eq!(sender.client().put("a1", "c=pay,d=900,dest=3"), "+OK");
    platform.wait_notice("a1", "failed");
    assert!(start.elapsed() >= Duration::from_millis(850));
    assert_eq!(endpoint.call_count("a1"), 1);
}

#[test]
fn a_wait_holds_back_all_messages_of_the_destination() {
    let (endpoint, _platform, sender) = first_call_answered_with(StubResponse::Answer(
        429,
        vec![("X-Retry-In-Ms", "700".into())],
        String::new(),
    ));
    let mut client = sender.client();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    // The pause gives the sender time to read the answer that the stub has written.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(client.put("a2", PAY), "+OK");
    assert_eq!(client.put("a3", PUSH), "+OK");
    wait_until("the second call with a1 and the calls with a2 and a3", || {
        ["a2", "a3"].iter().all(|id| endpoint.call_count(id) == 1) && endpoint.call_count("a1") == 2
    });
    let requests = endpoint.requests();
    for later in &requests[1..] {
        assert!(later.at - requests[0].at >= Duration::from_millis(700), "{:?}", later.line);
    }
}

/// Starts an endpoint of the kind that takes several messages in a call.
/// The endpoint answers its first call, which carries `w0`, with a wait.
/// Messages that are put during the wait share one call.
fn batching(
    answer: impl Fn(&Request) -> StubResponse + Send + Sync + 'static,
) -> (Endpoint, Platform, Sender) {
    let waited = std::sync::atomic::AtomicBool::new(false);
    let endpoint = Endpoint::new(move |r| {
        if waited.swap(true, std::sync::atomic::Ordering::SeqCst) {
            return answer(r);
        }
        StubResponse::Answer(429, vec![("X-Retry-In-Ms", "900".into())], String::new())
    });
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "many", 3, "Ready")]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    (endpoint, platform, sender)
}

fn put_in_one_call(endpoint: &Endpoint, sender: &Sender, messages: &[(&str, &str)]) {
    let mut client = sender.client();
    assert_eq!(client.put("w0", SYNC), "+OK");
    endpoint.wait_sent("w0");
    std::thread::sleep(Duration::from_millis(200));
    let all = messages.iter().flat_map(|(id, fields)| put(id, &format!("{fields},t=acme"), b"hello"));
    client.write(&all.collect::<Vec<u8>>());
    messages.iter().for_each(|_| assert_eq!(client.read(), "+OK"));
}

#[test]
fn a_batchs_answer_gives_each_messages_outcome() {
    let states = [("b1", "ok"), ("b2", "error"), ("b3", "later"), ("b4", "gone"), ("b5", "exhausted")];
    let (endpoint, platform, sender) = batching(move |r| {
        if !r.ids().contains(&"b1".to_string()) {
            return status(200);
        }
        let ends: Vec<Value> = r
            .ids()
            .iter()
            .map(|id| json!({"id": id, "state": states.iter().find(|s| s.0 == id).map_or("ok", |s| s.1)}))
            .collect();
        StubResponse::Answer(200, vec![], Value::from(ends).to_string())
    });
    put_in_one_call(&endpoint, &sender, &states.map(|(id, _)| (id, PAY)));
    // Message b2 is unsafe and may have taken effect at the receiver; messages b3 and b5 never took effect.
    platform.wait_notice("b2", "failed");
    wait_until("the second call with b3", || endpoint.call_count("b3") == 2);
    let first = endpoint.requests().into_iter().find(Request::is_batch).unwrap();
    assert_eq!(first.ids().len(), 6);
    assert!(first.line.starts_with("POST /v1/messages:batch "));
    let items: Vec<Value> = serde_json::from_slice(&first.body).unwrap();
    assert!(items.iter().all(|i| i["body"] == "aGVsbG8="));
    assert_eq!(["b1", "b2", "b4"].map(|id| endpoint.call_count(id)), [1, 1, 1]);
    assert_eq!(["b1", "b4"].map(|id| platform.notice_state(id)), [None, None]);
}

#[test]
fn a_batch_that_is_cut_short_may_have_run() {
    let (endpoint, platform, sender) =
        batching(|r| if r.is_batch() { StubResponse::Close } else { status(200) });
    put_in_one_call(&endpoint, &sender, &[("b1", PAY), ("b2", PAY), ("b3", SYNC)]);
    platform.wait_notice("b1", "failed");
    platform.wait_notice("b2", "failed");
    assert_eq!(["b1", "b2"].map(|id| endpoint.call_count(id)), [1, 1]);
}

#[test]
fn a_wait_in_a_batchs_answer_binds() {
    let (endpoint, _platform, sender) = batching(|r| {
        if !r.is_batch() {
            return status(200);
        }
        let ends: Vec<Value> = r.ids().iter().map(|id| json!({"id": id, "state": "ok"})).collect();
        StubResponse::Answer(200, vec![("X-Retry-In-Ms", "600".into())], Value::from(ends).to_string())
    });
    put_in_one_call(&endpoint, &sender, &[("b1", SYNC), ("b2", SYNC)]);
    endpoint.wait_sent("b2");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(sender.client().put("b3", SYNC), "+OK");
    endpoint.wait_sent("b3");
    let requests = endpoint.requests();
    let batch = requests.iter().position(Request::is_batch).unwrap();
    assert!(requests[batch + 1].at - requests[batch].at >= Duration::from_millis(600));
}

#[test]
fn a_call_is_given_up_when_the_first_of_its_messages_runs_out_of_time() {
    let (endpoint, platform, sender) =
        batching(|r| if r.is_batch() { StubResponse::Silence } else { status(200) });
    // With the first message `a1`, the sender measures how long an answer takes.
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    wait_until("the second call with a1", || endpoint.call_count("a1") == 2);
    let waited = std::sync::atomic::AtomicBool::new(false);
    endpoint.set_script(move |r| {
        if waited.swap(true, std::sync::atomic::Ordering::SeqCst) {
            return if r.is_batch() { StubResponse::Silence } else { status(200) };
        }
        StubResponse::Answer(429, vec![("X-Retry-In-Ms", "900".into())], String::new())
    });
    let start = Instant::now();
    put_in_one_call(&endpoint, &sender, &[("b1", "c=pay,d=4500,dest=3"), ("b2", PAY), ("b3", PAY)]);
    platform.wait_notice("b1", "failed");
    // The call's other messages may have taken effect at the receiver too, so they fail when the call is broken off.
    platform.wait_notice("b2", "failed");
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "took {:?}, expected less than {:?}",
        start.elapsed(),
        Duration::from_secs(10)
    );
    let call = endpoint.requests().into_iter().find(Request::is_batch).unwrap();
    assert!(call.ids().contains(&"b1".to_string()) && call.ids().contains(&"b2".to_string()));
    let timeout = call.header("x-timeout").unwrap().strip_suffix('m').unwrap();
    assert!(timeout.parse::<u32>().unwrap() <= 4_500, "{timeout}");
}

/// Time within which the slot of a call must be free again if the answer is malformed or its body stalls.
/// The limit is far below the time limit of a call, and far above the time limit of a started answer.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(6);

fn raw(text: &str) -> StubResponse {
    StubResponse::Raw(text.to_string())
}

#[test]
fn a_status_line_with_200_delivers_a_single_message_whatever_follows() {
    for rest in [
        "no colon\x01\r\n\r\n",
        "content-length: -5\r\n\r\n",
        "content-length: 5\r\ncontent-length: 7\r\n\r\nhello",
        "content-length: 3000000000\r\n\r\nx",
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
        "x-server-load: x0=?,x1=\r\ncontent-length: 0\r\n\r\n",
        "a head that does not end",
    ] {
        let (endpoint, platform, sender) =
            first_call_answered_with(raw(&format!("HTTP/1.1 200 OK\r\n{rest}")));
        let mut client = sender.client();
        assert_eq!(client.put("a1", PAY), "+OK");
        endpoint.wait_sent("a1");
        // Message a2 goes to the destination of a1, whose calls are limited. The pause gives a1's call time to end.
        assert_eq!(client.put("a2", PAY), "+OK");
        endpoint.wait_sent("a2");
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(client.put("a3", PAY), "+OK");
        endpoint.wait_sent("a3");
        assert_eq!((endpoint.call_count("a1"), platform.notice_state("a1")), (1, None), "{rest:?}");
    }
}

#[test]
fn a_malformed_answer_may_have_run_and_its_slot_is_free_soon() {
    for text in [
        "\x00\x01noise\r\n\r\n",
        "HTTP/1.1 2",
        "HTTP/1.1 503 X\r\ncontent-length: 50\r\n\r\nshort",
        "HTTP/1.1 500 X\r\nthis head does not end\r\n",
        "HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        let (endpoint, platform, sender) = first_call_answered_with(raw(text));
        let (mut client, start) = (sender.client(), Instant::now());
        assert_eq!(client.put("a1", PAY), "+OK");
        platform.wait_notice("a1", "failed");
        assert_eq!(client.put("a2", SYNC), "+OK");
        endpoint.wait_sent("a2");
        assert!(
            start.elapsed() < MAX_RELEASE_DELAY,
            "{text:?}: took {:?}, expected less than {:?}",
            start.elapsed(),
            MAX_RELEASE_DELAY
        );
        assert_eq!(endpoint.call_count("a1"), 1);
    }
}

#[test]
fn a_delivered_messages_slot_is_free_soon_although_its_body_stalls() {
    let endpoint = Endpoint::new(|_| raw("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nx"));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with(&platform, |c| c["settings"]["FamilyInfo"]["Workers"] = 1.into());
    let (mut client, start) = (sender.client(), Instant::now());
    for id in ["a1", "a2", "a3"] {
        assert_eq!(client.put(id, PAY), "+OK");
    }
    endpoint.wait_sent("a3");
    assert!(
        start.elapsed() < MAX_RELEASE_DELAY,
        "took {:?}, expected less than {:?}",
        start.elapsed(),
        MAX_RELEASE_DELAY
    );
    assert!(platform.notices().is_empty());
}

#[test]
fn answers_ahead_are_passed_over_and_bytes_behind_belong_to_no_call() {
    let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n";
    let turned_away = "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
    let (endpoint, platform, sender) = first_call_answered_with(raw(&format!("{ahead}{turned_away}")));
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    wait_until("the second call", || endpoint.call_count("a1") == 2);
    assert!(platform.notices().is_empty());

    // The endpoint's second answer belongs to no call: the next message is answered 500 and fails.
    let seen = std::sync::atomic::AtomicBool::new(false);
    let ok = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let (endpoint, platform, sender) = sender_with_endpoint(move |_| {
        let first = !seen.swap(true, std::sync::atomic::Ordering::SeqCst);
        if first { raw(&format!("{ok}{ok}")) } else { status(500) }
    });
    let mut client = sender.client();
    assert_eq!(client.put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(client.put("a2", PAY), "+OK");
    platform.wait_notice("a2", "failed");
    let connections: Vec<usize> = endpoint.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1]);
}

#[test]
fn the_first_answer_counts_and_a_second_one_in_the_same_segment_is_counted_as_stray() {
    let answer = |code: u16| format!("HTTP/1.1 {code} X\r\ncontent-length: 0\r\n\r\n");
    // A refusal before a 200: the message never ran, whatever follows.
    for (first, second, calls) in [(503, 200, 2), (200, 503, 1), (200, 200, 1)] {
        let text = answer(first) + &answer(second);
        let seen = std::sync::atomic::AtomicBool::new(false);
        let endpoint = Endpoint::new(move |_| {
            let is_first = !seen.swap(true, std::sync::atomic::Ordering::SeqCst);
            if is_first { raw(&text) } else { status(200) }
        });
        let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
        let sender = Sender::with_mgmt(&platform);
        assert_eq!(sender.client().put("a1", PAY), "+OK");
        wait_until("the calls with a1", || endpoint.call_count("a1") == calls);
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(endpoint.call_count("a1"), calls, "{first} before {second}");
        assert_eq!(platform.notice_state("a1"), None);
        assert_eq!(sender.metrics()["stray_answers"], 1);
        assert_eq!(sender.metrics()["stray_answers_by_endpoint"]["s-1"], 1);
    }
}

#[test]
fn a_refusal_split_into_single_bytes_is_one_answer() {
    let bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
    let (endpoint, platform, sender) = first_call_answered_with(StubResponse::Trickle(bytes.into()));
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    wait_until("the second call", || endpoint.call_count("a1") == 2);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_batch_answer_that_names_other_messages_or_not_all_may_have_run() {
    for answer in [
        json!([{"id": "x1", "state": "later"}, {"id": "x2", "state": "later"}]),
        json!([{"id": "b1", "state": "later"}]),
        json!([{"id": "w0", "state": "ok"}, {"id": "b1", "state": "later"}, {"id": "b2", "state": "later"},
               {"id": "x3", "state": "later"}]),
        json!([{"id": "w0", "state": "ok"}, {"id": "b1", "state": "later"}, {"id": "b2", "state": "later"},
               {"id": "b1", "state": "ok"}]),
    ] {
        let text = answer.to_string();
        let (endpoint, platform, sender) = batching(move |r| {
            if r.is_batch() { StubResponse::Answer(200, vec![], text.clone()) } else { status(200) }
        });
        put_in_one_call(&endpoint, &sender, &[("b1", PAY), ("b2", PAY)]);
        platform.wait_notice("b1", "failed");
        platform.wait_notice("b2", "failed");
        assert_eq!(["b1", "b2"].map(|id| endpoint.call_count(id)), [1, 1], "{answer}");
    }
}

#[test]
fn idle_connections_that_are_reset_at_their_next_request_fail_at_most_one_message() {
    // The endpoint closes each connection at the connection's second request, without an answer.
    let seen = std::sync::Mutex::new(std::collections::HashSet::new());
    let (endpoint, platform, sender) = sender_with_endpoint(move |r| {
        let fresh = seen.lock().unwrap().insert(r.connection);
        if fresh { status(200) } else { StubResponse::Close }
    });
    let mut client = sender.client();
    for n in 0..5 {
        let id = format!("a{n}");
        assert_eq!(client.put(&id, PAY), "+OK");
        endpoint.wait_sent(&id);
        std::thread::sleep(Duration::from_millis(300));
    }
    let failed = platform.notices().len();
    assert!(failed <= 1, "{failed} unsafe messages failed on reset connections, expected at most 1");
}
