//! Discovery that costs work to ask: when it is asked, and what is asked again.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";

/// Discovery tells only those that ask, at most once in so many milliseconds; a list is given with the start.
fn asked(config: &mut Value, every_ms: u64, known: &Value) {
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Rules"]["AskEveryUs"] = (every_ms * 1000).into();
    config["known"] = json!({"index": 7, "snapshot": true, "endpoints": [known]});
}

#[test]
fn a_sender_with_a_list_serves_before_it_asks() {
    let endpoint = Endpoint::new(|_| status(200));
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    // The first question comes within four fifths of the span, at a time that the seed sets: 500 s are enough for it
    // not to come here.
    let sender = Sender::with(&platform, |c| asked(c, 500_000, &known));
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(platform.request_lines().is_empty(), "{:?}", platform.request_lines());
}

#[test]
fn a_question_turned_away_is_asked_again_from_the_same_version() {
    let (endpoint, fresh) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    platform.reject_next_polls(3);
    let sender = Sender::with(&platform, |c| asked(c, 100, &known));
    wait_until("the watch", || platform.request_lines().len() == 4);
    let paths = platform.request_lines();
    assert!(paths.iter().all(|p| p.contains("follow=1&since=7")), "{paths:?}");
    // And it is followed from then on.
    let lines = vec![
        listed_endpoint("s-1", endpoint.addr, "one", 3, "Gone"),
        listed_endpoint("s-2", fresh.addr, "one", 3, "Ready"),
    ];
    sender.wait_drain_recorded(|| platform.publish(false, lines.clone()), "s-1");
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    fresh.wait_sent("a1");
}

#[test]
fn where_changes_come_unasked_the_list_is_asked_for_at_once() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    // The span means nothing there.
    let sender = Sender::with(&platform, |c| c["settings"]["Rules"]["AskEveryUs"] = 500_000_000_u64.into());
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    wait_until("the watch", || platform.request_lines().len() == 2);
}

/// What counts as told by then is what discovery had, and could be asked for, for so long, whatever calls failed before.
const TOLD: Duration = Duration::from_secs(6);
/// A span for asking whose pauses after failures would grow beyond that.
const SPAN_MS: u64 = 12_000;
/// Sets the random parts of the pauses.
const SEED: &str = "8c1f30d27a5be964";

/// What becomes of a question to a discovery that is not well.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Its connection is refused.
    Refused,
    /// No answer comes.
    Hangs,
    /// The connection is closed without an answer.
    Closed,
    /// An answer begins and does not go on.
    HalfAnswered,
    /// 503.
    TurnedAway,
}

/// How long a sender takes to hear of a drain, counted from the moment in which discovery knows it and can be asked:
/// after the last of its questions that came to nothing. With a list in hand it asks for changes, else for all of it.
fn heard_after(fate: Fate, dear: bool, with_list: bool) -> Duration {
    // The pauses have grown by then.
    let failures = if dear { 2 } else { 4 };
    let endpoint = Endpoint::new(|_| status(200));
    let addr = endpoint.addr;
    let last_failure: Arc<Mutex<(usize, Instant)>> = Arc::new(Mutex::new((0, Instant::now())));
    let failed = last_failure.clone();
    let script = move |request: &Request, _: usize, stream: &mut TcpStream| {
        if !request.line.contains("/v1/servers") {
            return write_answer(stream, 204, "");
        }
        let mut failed = failed.lock().unwrap();
        if failed.0 < failures && !matches!(fate, Fate::Refused) {
            *failed = (failed.0 + 1, Instant::now());
            return match fate {
                Fate::TurnedAway => write_answer(stream, 503, ""),
                Fate::HalfAnswered => {
                    begin_chunked(stream);
                    write_chunk(stream, "{\"index\": 8, \"snap");
                }
                Fate::Closed => _ = stream.shutdown(Shutdown::Both),
                Fate::Hangs | Fate::Refused => {}
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
        asked(c, SPAN_MS, &known);
        if !dear {
            c["settings"]["Discovery"] = Value::Null;
        }
        if !with_list {
            c["known"] = Value::Null;
        }
        c["seed"] = SEED.into();
        c["discovery"] = down.addr.to_string().into();
    };
    let sender = Sender::with(&platform, configure);
    if matches!(fate, Fate::Refused) {
        sleep(Duration::from_secs(if dear { 14 } else { 2 }));
    }
    let _discovery = ScriptedPlatform::at(down.listen(), script);
    let mut reachable = Instant::now();
    if !matches!(fate, Fate::Refused) {
        wait_until("the last failure", || last_failure.lock().unwrap().0 == failures);
        reachable = last_failure.lock().unwrap().1;
    }
    wait_until("the drain", || sender.journal_contains("s-1"));
    reachable.elapsed()
}

fn heard_in_time(fate: Fate) {
    for (dear, with_list) in [(true, true), (true, false), (false, true), (false, false)] {
        let heard = heard_after(fate, dear, with_list);
        assert!(heard < TOLD, "{fate:?}, asking costs: {dear}, with a list: {with_list}: {heard:?}");
    }
}

#[test]
fn what_discovery_knows_is_heard_in_time_after_connections_that_were_refused() {
    heard_in_time(Fate::Refused);
}

#[test]
fn what_discovery_knows_is_heard_in_time_after_calls_that_hung() {
    heard_in_time(Fate::Hangs);
}

#[test]
fn what_discovery_knows_is_heard_in_time_after_calls_that_were_closed() {
    heard_in_time(Fate::Closed);
}

#[test]
fn what_discovery_knows_is_heard_in_time_after_calls_that_were_half_answered() {
    heard_in_time(Fate::HalfAnswered);
}

#[test]
fn what_discovery_knows_is_heard_in_time_after_calls_that_were_turned_away() {
    heard_in_time(Fate::TurnedAway);
}
