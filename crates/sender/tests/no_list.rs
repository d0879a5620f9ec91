//! A sender that is started again while discovery gives no list, and without a list in its configuration.
//! Guards against accepted messages and requests that get no end until discovery answers.

mod common;
use common::silent_discovery::SilentDiscovery;
use common::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after a message's deadline within which the message must have its end.
const MAX_END_DELAY: Duration = Duration::from_millis(500);

// Nothing that had been accepted ended as long as discovery was silent, and no request was answered.
#[test]
fn accepted_messages_end_in_time_and_requests_are_answered_while_there_is_no_list() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery =
        SilentDiscovery::new(vec![placeholder(3), listed_endpoint("s-4", endpoint.addr, "one", 4, "Ready")]);
    let mut sender = discovery.sender();
    let mut deadlines = Vec::new();
    for (id, class) in [("a1", "c=sync"), ("a2", "c=push,k=5c0f6e1a2b3d4c59"), ("a3", "c=pay")] {
        deadlines.push((id, Instant::now() + Duration::from_millis(3000)));
        assert_eq!(sender.client().put(id, &format!("{class},d=3000,dest=3")), "+OK");
    }
    assert_eq!(sender.client().put("late", "c=sync,d=19000,dest=4"), "+OK");
    endpoint.wait_sent("late");
    discovery.set_silent(true);
    sender.kill();
    sender.spawn();
    // A request is refused, not left without an answer and not called wrong.
    let answer = sender.client().put("b1", "c=sync,d=15000,dest=4");
    assert!(answer.starts_with("-BUSY"), "{answer}");
    for (id, deadline) in deadlines {
        wait_until(&format!("an end of {id}"), || discovery.notice_time(id).is_some());
        let late = discovery.notice_time(id).unwrap().saturating_duration_since(deadline);
        assert!(late < MAX_END_DELAY, "{id} ended {late:?} after its deadline");
    }
    assert_eq!(sender.mgmt_request("GET /_ready").0, 503, "a sender without a list is not ready");
    discovery.set_silent(false);
    sender.client().ping();
    assert_eq!(sender.client().put("b2", "c=sync,d=15000,dest=4"), "+OK");
    endpoint.wait_sent("b2");
}

// Guards against a start without a list that forgets what the journal says of endpoints and attempts.
#[test]
fn messages_and_health_outlast_a_start_without_a_list() {
    let failing = Endpoint::new(|_| status(500));
    let sound = Endpoint::new(|_| status(200));
    let discovery = SilentDiscovery::new(vec![
        listed_endpoint("s-3", failing.addr, "one", 3, "Ready"),
        listed_endpoint("s-4", sound.addr, "one", 4, "Ready"),
    ]);
    sound.set_script(|_| StubResponse::Silence);
    let mut sender = discovery.sender();
    assert_eq!(sender.client().put("a1", "c=sync,d=19000,dest=3"), "+OK");
    wait_until("the endpoint to be unhealthy", || sender.metrics()["ejected"].as_u64() == Some(1));
    // The unsafe message may have run, so that it must not be called again.
    assert_eq!(sender.client().put("a2", "c=pay,d=19000,dest=4"), "+OK");
    assert_eq!(sender.client().put("a3", "c=sync,d=19000,dest=4"), "+OK");
    sound.wait_sent("a2");
    sound.wait_sent("a3");
    discovery.set_silent(true);
    sender.kill();
    sound.set_script(|_| status(200));
    sender.spawn();
    sleep(Duration::from_millis(1500));
    failing.set_script(|_| StubResponse::Silence);
    discovery.set_silent(false);
    sender.client().ping();
    assert_eq!(sender.metrics()["ejected"], 1, "the endpoint's health was forgotten");
    wait_until("the message that may be repeated", || sound.call_count("a3") == 2);
    wait_until("the end of the message that may have run", || discovery.notice_time("a2").is_some());
    assert_eq!(sound.call_count("a2"), 1, "a message that may have run was called again");
}
