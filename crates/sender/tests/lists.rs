//! Lists of endpoints that are longer than the sender's memory allows: what is said of them, and what stays in force.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const SYNC: &str = "c=sync,d=15000,dest=3";
/// Of the configuration's 192 MB a list may take a 48th.
const LIMIT_BYTES: u64 = 4_000_000;
/// Some 125 bytes each, of which the sender keeps 108.
const TOO_MANY: usize = 45_000;
/// Over the span in which a sender that asked in a tight loop would ask tens of times.
const A_WHILE: Duration = Duration::from_millis(4500);

/// A list of one endpoint of destination 3, and of so many more.
fn listing(index: u64, endpoint: &Endpoint, more: usize) -> Value {
    let elsewhere = "127.0.0.1:9".parse().unwrap();
    let more = (0..more).map(|n| listed_endpoint(&format!("m-{n:06}"), elsewhere, "one", 4, "Ready"));
    let lines: Vec<Value> =
        [listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")].into_iter().chain(more).collect();
    json!({"index": index, "snapshot": true, "endpoints": lines})
}

/// Discovery that answers with the whole list that it has, and follows it by a script.
fn discovery(
    whole: &Value,
    watch: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static,
) -> ScriptedPlatform {
    let whole = Arc::new(whole.to_string());
    ScriptedPlatform::new(move |request, before, stream| match &*request.line {
        l if l.contains("follow") => watch(before, stream),
        l if l.contains("/v1/servers") => write_answer(stream, 200, &whole),
        _ => write_answer(stream, 204, ""),
    })
}

/// Starts a sender of that discovery, with a door.
fn sender(discovery: &ScriptedPlatform, known: &Value) -> Sender {
    // It only lends its address: what is asked and told goes by the script.
    let platform = Platform::new(Vec::new());
    let mut sender = Sender::with_mgmt(&platform);
    sender.kill();
    sender.change_config(|c| {
        c["discovery"] = discovery.addr.to_string().into();
        c["known"] = known.clone();
    });
    sender.spawn();
    wait_until("the door", || mgmt_request(sender.mgmt, "GET /_ready").is_some());
    sender
}

fn nothing_known() -> Value {
    json!({"index": 0, "snapshot": true, "endpoints": []})
}

fn count(text: &str, part: &str) -> usize {
    text.matches(part).count()
}

/// The number before a word in a line of the log.
fn number(line: &str, word: &str) -> u64 {
    let before = line.split(word).next().unwrap().trim_end();
    before.rsplit(' ').next().unwrap().parse().unwrap()
}

/// It has been said once, with the limit and with what was counted, and is in the figures, which are those of the last
/// one.
fn is_told(sender: &Sender, what: &str, stays: &str) {
    let log = sender.log();
    assert_eq!(count(&log, what), 1, "{log}");
    let line = log.lines().find(|l| l.contains(what)).unwrap();
    assert!(line.contains(&format!("allows {LIMIT_BYTES} bytes")) && line.contains(stays), "{line}");
    let metrics = sender.metrics();
    assert_eq!(metrics["list_bound_bytes"], LIMIT_BYTES);
    for bytes in [metrics["list_bytes"].as_u64().unwrap(), number(line, "bytes")] {
        assert!((LIMIT_BYTES + 1..2 * LIMIT_BYTES).contains(&bytes), "{metrics}: {line}");
    }
    for endpoints in [metrics["list_endpoints"].as_u64().unwrap(), number(line, "endpoints")] {
        assert!((LIMIT_BYTES / 200..=TOO_MANY as u64 + 1).contains(&endpoints), "{metrics}: {line}");
    }
}

#[test]
fn a_list_over_the_limit_at_the_start_is_said_and_no_list_means_not_ready() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery = discovery(&listing(7, &endpoint, TOO_MANY), |_, _| {});
    let sender = sender(&discovery, &nothing_known());
    wait_until("the list to be turned down", || sender.metrics()["list_rejected"].as_u64() > Some(0));
    sleep(A_WHILE);
    is_told(&sender, "discovery's list is too long", "no list is in force: not ready");
    let (status, text) = sender.mgmt_request("GET /_ready");
    assert_eq!(status, 503);
    assert!(text.starts_with("starting: no list of endpoints: discovery's list is too long: "), "{text}");
    // It is asked for again, and not in a tight loop.
    let asked = discovery.request_times("/v1/servers").len();
    assert!((2..=7).contains(&asked), "{asked} times");
    assert_eq!(sender.metrics()["discovered"], 0);
}

#[test]
fn with_a_known_list_the_sender_serves_by_it() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery = discovery(&listing(9, &endpoint, TOO_MANY), |_, stream| {
        // It knows no older version, and tells all of the list.
        begin_chunked(stream);
        write_chunk(stream, "{\"index\": 9, \"snapshot\": true, \"endpoints\": [");
        let lines =
            listed_endpoint("m-000000", "127.0.0.1:9".parse().unwrap(), "one", 4, "Ready").to_string() + ", ";
        while write_chunk(stream, &lines.repeat(1000)) {}
    });
    let sender = sender(&discovery, &listing(7, &endpoint, 0));
    wait_until("the list to be turned down", || sender.metrics()["list_rejected"].as_u64() > Some(0));
    wait_until("the known list to be in force", || {
        sender.mgmt_request("GET /_ready") == (200, "ready\n".into())
    });
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    sleep(A_WHILE);
    is_told(&sender, "discovery's list is too long", "the last good list stays");
    assert_eq!(sender.client().put("a2", SYNC), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(sender.metrics()["discovered"], 1);
    let asked = discovery.request_times("watch").len() + discovery.request_times("/v1/servers").len();
    assert!((2..=8).contains(&asked), "{asked} times");
}

#[test]
fn a_known_list_over_the_limit_is_said_and_discoverys_word_is_waited_for() {
    let endpoint = Endpoint::new(|_| status(200));
    let short = listing(9, &endpoint, 0);
    let gate = Gate::default();
    let (held, whole) = (gate.clone(), short.to_string());
    let discovery = ScriptedPlatform::new(move |request, _, stream| match &*request.line {
        l if l.contains("follow") => begin_chunked(stream),
        _ => {
            held.wait();
            write_answer(stream, 200, &whole);
        }
    });
    let sender = sender(&discovery, &listing(7, &endpoint, TOO_MANY));
    assert_eq!(sender.metrics()["list_rejected"], 1);
    is_told(&sender, "the list known in the configuration is too long", "no list is in force: not ready");
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
    let (long, short) = (Gate::default(), Gate::default());
    let (first, too_long) = (listing(7, &endpoint, 0), listing(8, &endpoint, TOO_MANY).to_string());
    let last = listing(9, &fresh, 0).to_string();
    let (is_long, is_short) = (long.clone(), short.clone());
    let whole = first.to_string();
    let discovery = ScriptedPlatform::new(move |request, before, stream| match (&*request.line, before) {
        (l, 0) if l.contains("follow") => {
            begin_chunked(stream);
            is_long.wait();
            write_chunk(stream, &format!("{too_long}\n"));
        }
        (l, _) if l.contains("follow") => {
            begin_chunked(stream);
            write_chunk(stream, &format!("{}\n", if is_short.is_open() { &last } else { &too_long }));
        }
        (l, 0) if l.contains("/v1/servers") => write_answer(stream, 200, &whole),
        (l, _) if l.contains("/v1/servers") => {
            write_answer(stream, 200, if is_short.is_open() { &last } else { &too_long });
        }
        _ => write_answer(stream, 204, ""),
    });
    let sender = sender(&discovery, &nothing_known());
    sender.client().ping();
    long.open();
    wait_until("the list to be turned down", || sender.metrics()["list_rejected"].as_u64() > Some(1));
    is_told(&sender, "discovery's list is too long", "the last good list stays");
    assert_eq!(sender.mgmt_request("GET /_ready"), (200, "ready\n".into()));
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert_eq!(sender.metrics()["discovered"], 1);
    // What a shorter list tells counts as told 6 s after discovery has it.
    short.open();
    let opened = std::time::Instant::now();
    wait_until("the shorter list", || sender.log().contains("within its limit again"));
    assert!(opened.elapsed() < Duration::from_secs(6), "{:?}", opened.elapsed());
    assert_eq!(sender.client().put("a2", SYNC), "+OK");
    fresh.wait_sent("a2");
    assert_eq!(count(&sender.log(), "is too long"), 1, "{}", sender.log());
}
