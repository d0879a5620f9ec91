//! Discovery that costs work to ask: when it is asked, and what is asked again.

mod common;
use common::*;
use serde_json::{Value, json};

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
    let known = line("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    // The first question comes within four fifths of the span, at a time that the seed sets: 500 s are enough for it
    // not to come here.
    let sender = Sender::with(&platform, |c| asked(c, 500_000, &known));
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(platform.paths().is_empty(), "{:?}", platform.paths());
}

#[test]
fn a_question_turned_away_is_asked_again_from_the_same_version() {
    let (endpoint, fresh) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let known = line("s-1", endpoint.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![known.clone()]);
    platform.turn_away(3);
    let sender = Sender::with(&platform, |c| asked(c, 100, &known));
    wait_until("the watch", || platform.paths().len() == 4);
    let paths = platform.paths();
    assert!(paths.iter().all(|p| p.contains("follow=1&since=7")), "{paths:?}");
    // And it is followed from then on.
    let lines =
        vec![line("s-1", endpoint.addr, "one", 3, "Gone"), line("s-2", fresh.addr, "one", 3, "Ready")];
    sender.hears(|| platform.tell(false, lines.clone()), "s-1");
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    fresh.wait_sent("a1");
}

#[test]
fn where_changes_come_unasked_the_list_is_asked_for_at_once() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![line("s-1", endpoint.addr, "one", 3, "Ready")]);
    // The span means nothing there.
    let sender = Sender::with(&platform, |c| c["settings"]["Rules"]["AskEveryUs"] = 500_000_000_u64.into());
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    wait_until("the watch", || platform.paths().len() == 2);
}
