//! A sender that is started again while discovery gives no list, and without a list in its configuration.
//! Guards against accepted messages and requests that get no end until discovery answers.

mod common;
use common::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after a message's deadline within which the message must have its end.
const MAX_END_DELAY: Duration = Duration::from_millis(500);

/// A discovery that can be silenced, and a platform that goes on to take notices.
struct SilentDiscovery {
    platform: ScriptedPlatform,
    silent: Arc<AtomicBool>,
    /// The ids of the notices received, each with its time.
    notices: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl SilentDiscovery {
    fn new(endpoints: Vec<Value>) -> Self {
        let list = json!({"index": 7, "snapshot": true, "endpoints": endpoints}).to_string();
        let (silent, notices): (Arc<AtomicBool>, Arc<Mutex<Vec<_>>>) = Default::default();
        let (is_silent, received) = (silent.clone(), notices.clone());
        let platform = ScriptedPlatform::new(move |request, _, stream| {
            if !request.line.contains("/v1/servers") {
                for line in std::str::from_utf8(&request.body).unwrap().lines() {
                    let notice: Value = serde_json::from_str(line).unwrap();
                    let id = notice["id"].as_str().unwrap().to_string();
                    received.lock().unwrap().push((id, Instant::now()));
                }
                write_answer(stream, 204, "");
            } else if is_silent.load(Ordering::SeqCst) {
                // The request gets no answer.
            } else if request.line.contains("follow") {
                begin_chunked(stream);
                write_chunk(stream, &format!("{list}\n"));
            } else {
                write_answer(stream, 200, &list);
            }
        });
        SilentDiscovery { platform, silent, notices }
    }

    fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Starts a sender without a list in its configuration, and waits until it is ready.
    fn sender(&self) -> Sender {
        let mut sender = Sender::with_mgmt(&Platform::new(Vec::new()));
        sender.kill();
        sender.change_config(|c| {
            c["discovery"] = self.platform.addr.to_string().into();
            c["known"] = Value::Null;
        });
        sender.spawn();
        sender.client().ping();
        sender
    }

    fn notice_time(&self, id: &str) -> Option<Instant> {
        self.notices.lock().unwrap().iter().find(|(other, _)| other == id).map(|(_, at)| *at)
    }
}

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
