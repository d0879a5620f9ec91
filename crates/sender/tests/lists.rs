//! Endpoint lists that exceed the sender's memory limit.
//! Guards against a sender that runs out of memory or drops its last valid endpoint list.
//! Guards against a sender that polls in a tight loop or does not report the limit.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const SYNC: &str = "c=sync,d=15000,dest=3";
/// Limit on the size of an endpoint list: 1/48 of the configured memory limit of 192 MB.
const MAX_LIST_BYTES: u64 = 4_000_000;
/// Number of endpoints whose list exceeds the limit: about 125 bytes each, of which the sender retains 108.
const TOO_MANY: usize = 45_000;
/// Observation time, in which a sender that polls in a tight loop would poll tens of times.
const OBSERVATION_TIME: Duration = Duration::from_millis(4500);

/// Returns an endpoint list with one endpoint of destination 3 and `more` endpoints of destination 4.
fn listing(index: u64, endpoint: &Endpoint, more: usize) -> Value {
    let elsewhere = "127.0.0.1:9".parse().unwrap();
    let more = (0..more).map(|n| listed_endpoint(&format!("m-{n:06}"), elsewhere, "one", 4, "Ready"));
    let lines: Vec<Value> =
        [listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")].into_iter().chain(more).collect();
    json!({"index": index, "snapshot": true, "endpoints": lines})
}

/// Starts a discovery stub that answers list requests with a full endpoint list; a script answers watch requests.
fn discovery(
    full_list: &Value,
    watch: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static,
) -> ScriptedPlatform {
    let full_list = Arc::new(full_list.to_string());
    ScriptedPlatform::new(move |request, before, stream| match &*request.line {
        l if l.contains("follow") => watch(before, stream),
        l if l.contains("/v1/servers") => write_answer(stream, 200, &full_list),
        _ => write_answer(stream, 204, ""),
    })
}

/// Starts a sender with the scripted discovery and a management interface.
fn sender(discovery: &ScriptedPlatform, known: &Value) -> Sender {
    // This stub platform only provides the discovery address when the sender starts.
    // The scripted discovery replaces the stub platform's discovery.
    let platform = Platform::new(Vec::new());
    let mut sender = Sender::with_mgmt(&platform);
    sender.kill();
    sender.change_config(|c| {
        c["discovery"] = discovery.addr.to_string().into();
        c["known"] = known.clone();
    });
    sender.spawn();
    wait_until("the management interface", || mgmt_request(sender.mgmt, "GET /_ready").is_some());
    sender
}

fn nothing_known() -> Value {
    json!({"index": 0, "snapshot": true, "endpoints": []})
}

fn count(text: &str, part: &str) -> usize {
    text.matches(part).count()
}

/// Returns the number that directly precedes `word` in a log line.
fn number(line: &str, word: &str) -> u64 {
    let before = line.split(word).next().unwrap().trim_end();
    before.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Asserts that a rejected list was logged once, with the limit, the list's size and the consequence.
/// Asserts too that the metrics show the limit in the log and the size of the latest list.
fn assert_logged_once(sender: &Sender, what: &str, consequence: &str) {
    let log = sender.log();
    assert_eq!(count(&log, what), 1, "{log}");
    let line = log.lines().find(|l| l.contains(what)).unwrap();
    assert!(line.contains(&format!("allows {MAX_LIST_BYTES} bytes")) && line.contains(consequence), "{line}");
    let metrics = sender.metrics();
    assert_eq!(metrics["list_bound_bytes"], MAX_LIST_BYTES);
    for bytes in [metrics["list_bytes"].as_u64().unwrap(), number(line, "bytes")] {
        assert!((MAX_LIST_BYTES + 1..2 * MAX_LIST_BYTES).contains(&bytes), "{metrics}: {line}");
    }
    for endpoints in [metrics["list_endpoints"].as_u64().unwrap(), number(line, "endpoints")] {
        assert!((MAX_LIST_BYTES / 200..=TOO_MANY as u64 + 1).contains(&endpoints), "{metrics}: {line}");
    }
}

#[test]
fn a_list_over_the_limit_at_the_start_is_logged_and_no_list_means_not_ready() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery = discovery(&listing(7, &endpoint, TOO_MANY), |_, _| {});
    let sender = sender(&discovery, &nothing_known());
    wait_until("the list to be rejected", || sender.metrics()["list_rejected"].as_u64() > Some(0));
    sleep(OBSERVATION_TIME);
    assert_logged_once(&sender, "discovery's list is too long", "no list is in force: not ready");
    let (status, text) = sender.mgmt_request("GET /_ready");
    assert_eq!(status, 503);
    assert!(text.starts_with("starting: no list of endpoints: discovery's list is too long: "), "{text}");
    // The sender polls again for the endpoint list that it rejected, but not in a tight loop.
    let polls = discovery.request_times("/v1/servers").len();
    assert!((2..=7).contains(&polls), "the list was polled {polls} times");
    assert_eq!(sender.metrics()["discovered"], 0);
}

#[test]
fn with_a_known_list_the_sender_serves_by_it() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery = discovery(&listing(9, &endpoint, TOO_MANY), |_, stream| {
        // Discovery knows no older list index, so it sends the full endpoint list.
        begin_chunked(stream);
        write_chunk(stream, "{\"index\": 9, \"snapshot\": true, \"endpoints\": [");
        let lines =
            listed_endpoint("m-000000", "127.0.0.1:9".parse().unwrap(), "one", 4, "Ready").to_string() + ", ";
        while write_chunk(stream, &lines.repeat(1000)) {}
    });
    let sender = sender(&discovery, &listing(7, &endpoint, 0));
    wait_until("the list to be rejected", || sender.metrics()["list_rejected"].as_u64() > Some(0));
    wait_until("the known list to be in force", || {
        sender.mgmt_request("GET /_ready") == (200, "ready\n".into())
    });
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    sleep(OBSERVATION_TIME);
    assert_logged_once(&sender, "discovery's list is too long", "the last good list stays");
    assert_eq!(sender.client().put("a2", SYNC), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(sender.metrics()["discovered"], 1);
    let polls = discovery.request_times("watch").len() + discovery.request_times("/v1/servers").len();
    assert!((2..=8).contains(&polls), "the list was polled {polls} times");
}

#[test]
fn a_known_list_over_the_limit_is_logged_and_discoverys_list_is_awaited() {
    let endpoint = Endpoint::new(|_| status(200));
    let short_list = listing(9, &endpoint, 0);
    let gate = Gate::default();
    let (released, full_list) = (gate.clone(), short_list.to_string());
    let discovery = ScriptedPlatform::new(move |request, _, stream| match &*request.line {
        l if l.contains("follow") => begin_chunked(stream),
        _ => {
            released.wait();
            write_answer(stream, 200, &full_list);
        }
    });
    let sender = sender(&discovery, &listing(7, &endpoint, TOO_MANY));
    assert_eq!(sender.metrics()["list_rejected"], 1);
    assert_logged_once(
        &sender,
        "the list known in the configuration is too long",
        "no list is in force: not ready",
    );
    let (status, text) = sender.mgmt_request("GET /_ready");
    assert_eq!(status, 503);
    assert!(text.contains("the list known in the configuration is too long"), "{text}");
    gate.open();
    wait_until("discovery's list", || sender.mgmt_request("GET /_ready").0 == 200);
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(sender.log().contains("within its limit again"), "{}", sender.log());
}

#[test]
fn a_list_over_the_limit_in_a_watch_leaves_the_last_good_one_until_a_shorter_one_comes() {
    let (endpoint, fresh) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let (long_gate, short_gate) = (Gate::default(), Gate::default());
    let (first, too_long) = (listing(7, &endpoint, 0), listing(8, &endpoint, TOO_MANY).to_string());
    let last = listing(9, &fresh, 0).to_string();
    let (send_long, send_short) = (long_gate.clone(), short_gate.clone());
    let full_list = first.to_string();
    let discovery = ScriptedPlatform::new(move |request, before, stream| match (&*request.line, before) {
        (l, 0) if l.contains("follow") => {
            begin_chunked(stream);
            send_long.wait();
            write_chunk(stream, &format!("{too_long}\n"));
        }
        (l, _) if l.contains("follow") => {
            begin_chunked(stream);
            write_chunk(stream, &format!("{}\n", if send_short.is_open() { &last } else { &too_long }));
        }
        (l, 0) if l.contains("/v1/servers") => write_answer(stream, 200, &full_list),
        (l, _) if l.contains("/v1/servers") => {
            write_answer(stream, 200, if send_short.is_open() { &last } else { &too_long });
        }
        _ => write_answer(stream, 204, ""),
    });
    let sender = sender(&discovery, &nothing_known());
    sender.client().ping();
    long_gate.open();
    wait_until("the list to be rejected", || sender.metrics()["list_rejected"].as_u64() > Some(1));
    assert_logged_once(&sender, "discovery's list is too long", "the last good list stays");
    assert_eq!(sender.mgmt_request("GET /_ready"), (200, "ready\n".into()));
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert_eq!(sender.metrics()["discovered"], 1);
    // The sender must apply a shorter endpoint list within 6 s after discovery can serve that list.
    short_gate.open();
    let opened = std::time::Instant::now();
    wait_until("the shorter list", || sender.log().contains("within its limit again"));
    assert!(
        opened.elapsed() < Duration::from_secs(6),
        "took {:?}, expected less than {:?}",
        opened.elapsed(),
        Duration::from_secs(6)
    );
    assert_eq!(sender.client().put("a2", SYNC), "+OK");
    fresh.wait_sent("a2");
    assert_eq!(count(&sender.log(), "is too long"), 1, "{}", sender.log());
}
