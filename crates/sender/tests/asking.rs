//! Polling of a discovery whose requests are expensive (`"Discovery": "ask"`).
//! Guards against a sender that polls discovery when it starts, or that polls discovery too often.
//! Guards against pauses after failed requests that are so long that the sender learns of a drain too late.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";

/// Configures a discovery that is polled at most once in `interval_ms`.
/// Adds an endpoint list that the sender knows when it starts.
fn use_polled_discovery(config: &mut Value, interval_ms: u64, known: &Value) {
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Rules"]["AskEveryUs"] = (interval_ms * 1000).into();
    config["known"] = json!({"index": 7, "snapshot": true, "endpoints": [known]});
}

#[test]
fn a_sender_with_a_list_serves_before_it_polls() {
    let endpoint = Endpoint::new(|_| status(200));
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    // The first poll comes within four fifths of the interval, at a time that the seed determines.
    // With an interval of 500 s, the first poll does not come during this test.
    let sender = Sender::with(&platform, |c| use_polled_discovery(c, 500_000, &known));
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(platform.request_lines().is_empty(), "{:?}", platform.request_lines());
}

#[test]
fn a_rejected_poll_is_repeated_from_the_same_index() {
    let (endpoint, fresh) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    platform.reject_next_polls(3);
    let sender = Sender::with(&platform, |c| use_polled_discovery(c, 100, &known));
    wait_until("the watch requests", || platform.request_lines().len() == 4);
    let paths = platform.request_lines();
    assert!(paths.iter().all(|p| p.contains("follow=1&since=7")), "{paths:?}");
    // The fourth watch request is not rejected, so the sender follows the watch from the fourth request on.
    let lines = vec![
        listed_endpoint("s-1", endpoint.addr, "one", 3, "Gone"),
        listed_endpoint("s-2", fresh.addr, "one", 3, "Ready"),
    ];
    sender.wait_drain_recorded(|| platform.publish(false, lines.clone()), "s-1");
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    fresh.wait_sent("a1");
}

#[test]
fn where_discovery_pushes_changes_the_list_is_requested_at_once() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    // The poll interval does not apply to the default discovery, which is watched.
    let sender = Sender::with(&platform, |c| c["settings"]["Rules"]["AskEveryUs"] = 500_000_000_u64.into());
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    wait_until("the watch requests", || platform.request_lines().len() == 2);
}

/// Time within which the sender must know a change, whichever discovery requests failed before.
/// The time starts once discovery knows the change and can be reached.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// A poll interval with which the pauses after failures could grow beyond [`MAX_DISCOVERY_DELAY`].
const POLL_INTERVAL_MS: u64 = 12_000;
/// Seed of the random numbers that determine the pauses between discovery requests.
const SEED: &str = "8c1f30d27a5be964";

/// How a request to the failing discovery stub fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection to discovery is refused.
    Refused,
    /// The discovery request is not answered.
    NoAnswer,
    /// The connection is closed without an answer to the discovery request.
    Closed,
    /// The answer to the discovery request starts, then stalls.
    PartialAnswer,
    /// The discovery request is answered with 503.
    Rejected,
}

/// Returns how long a sender takes to learn of a drain.
/// The time starts at the last failed request; after that request, discovery knows the drain and can be reached.
/// With a known endpoint list the sender requests changes, otherwise the full endpoint list.
fn drain_delay(failure: Failure, polled: bool, with_list: bool) -> Duration {
    // After this many failed discovery requests, the sender's pauses between the requests have grown.
    let failures = if polled { 2 } else { 4 };
    let endpoint = Endpoint::new(|_| status(200));
    let addr = endpoint.addr;
    let last_failure: Arc<Mutex<(usize, Instant)>> = Arc::new(Mutex::new((0, Instant::now())));
    let failed = last_failure.clone();
    let script = move |request: &Request, _: usize, stream: &mut TcpStream| {
        if !request.line.contains("/v1/servers") {
            return write_answer(stream, 204, "");
        }
        let mut failed = failed.lock().unwrap();
        if failed.0 < failures && !matches!(failure, Failure::Refused) {
            *failed = (failed.0 + 1, Instant::now());
            return match failure {
                Failure::Rejected => write_answer(stream, 503, ""),
                Failure::PartialAnswer => {
                    begin_chunked(stream);
                    write_chunk(stream, "{\"index\": 8, \"snap");
                }
                Failure::Closed => _ = stream.shutdown(Shutdown::Both),
                Failure::NoAnswer | Failure::Refused => {}
            };
        }
        let lines = [listed_endpoint("s-1", addr, "one", 3, "Terminating")];
        let list = json!({"index": 8, "snapshot": true, "endpoints": lines}).to_string();
        if request.line.contains("follow") {
            begin_chunked(stream);
            write_chunk(stream, &format!("{list}\n"));
        } else {
            write_answer(stream, 200, &list);
        }
    };
    let known = listed_endpoint("s-1", addr, "one", 3, "Ready");
    let (platform, down) = (Platform::new(Vec::new()), RefusingAddress::new());
    let configure = |c: &mut Value| {
        use_polled_discovery(c, POLL_INTERVAL_MS, &known);
        if !polled {
            c["settings"]["Discovery"] = Value::Null;
        }
        if !with_list {
            c["known"] = Value::Null;
        }
        c["seed"] = SEED.into();
        c["discovery"] = down.addr.to_string().into();
    };
    let sender = Sender::with(&platform, configure);
    if matches!(failure, Failure::Refused) {
        sleep(Duration::from_secs(if polled { 14 } else { 2 }));
    }
    let _discovery = ScriptedPlatform::at(down.listen(), script);
    let mut reachable = Instant::now();
    if !matches!(failure, Failure::Refused) {
        wait_until("the last failure", || last_failure.lock().unwrap().0 == failures);
        reachable = last_failure.lock().unwrap().1;
    }
    wait_until("the drain in the journal", || sender.journal_contains("s-1"));
    reachable.elapsed()
}

fn assert_drain_known_in_time(failure: Failure) {
    for (polled, with_list) in [(true, true), (true, false), (false, true), (false, false)] {
        let delay = drain_delay(failure, polled, with_list);
        assert!(
            delay < MAX_DISCOVERY_DELAY,
            "{failure:?}, polled: {polled}, with a list: {with_list}: the drain was known after {delay:?}"
        );
    }
}

#[test]
fn a_drain_is_known_in_time_after_refused_connections() {
    assert_drain_known_in_time(Failure::Refused);
}

#[test]
fn a_drain_is_known_in_time_after_unanswered_requests() {
    assert_drain_known_in_time(Failure::NoAnswer);
}

#[test]
fn a_drain_is_known_in_time_after_closed_connections() {
    assert_drain_known_in_time(Failure::Closed);
}

#[test]
fn a_drain_is_known_in_time_after_partial_answers() {
    assert_drain_known_in_time(Failure::PartialAnswer);
}

#[test]
fn a_drain_is_known_in_time_after_rejected_requests() {
    assert_drain_known_in_time(Failure::Rejected);
}
