//! Drains that a sender was told before it was started again, while discovery is silent.
//! The configuration's list is older than these drains. Guards against calls to endpoints that were told to drain.

mod common;
use common::*;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;

const PAY: &str = "c=pay,d=15000,dest=3";
/// Version of the configuration's list. The platform's versions begin after it.
const CONFIGURED_VERSION: u64 = 7;
/// Number of endpoints that one listing tells to drain.
const STEP: usize = 300;
/// Time in which a sender calls the endpoint of a message that it may send.
const CALL_TIME: Duration = Duration::from_millis(1500);

/// Endpoints of destination 4, to which no message is sent.
fn others(count: usize, state: &str) -> Vec<Value> {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    (0..count).map(|n| listed_endpoint(&format!("m-{n:05}"), nowhere, "one", 4, state)).collect()
}

/// Two endpoints of destination 3, of which the first was told to drain before a kill.
struct Drained {
    old: Endpoint,
    new: Endpoint,
    platform: Platform,
    sender: Sender,
}

impl Drained {
    /// Drains the first endpoint, and then `more` endpoints of another destination, a few hundred at a time.
    /// Kills the sender, and starts it again with a discovery that does not answer.
    fn restarted(more: usize, disk_mb: f64, first_version: u64) -> Self {
        let (old, new) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
        let mut listed = vec![
            listed_endpoint("s-1", old.addr, "one", 3, "Ready"),
            listed_endpoint("s-2", new.addr, "one", 3, "Ready"),
        ];
        listed.extend(others(more, "Ready"));
        let platform = Platform::new(listed.clone());
        platform.set_index(first_version);
        let mut sender = Sender::with(&platform, |c| {
            c["known"] = json!({"index": CONFIGURED_VERSION, "snapshot": true, "endpoints": listed});
            c["limits"]["disk_mb"] = disk_mb.into();
        });
        sender.client().ping();
        let draining = listed_endpoint("s-1", old.addr, "one", 3, "Terminating");
        sender.wait_drain_recorded(|| platform.publish(false, vec![draining.clone()]), "s-1");
        for step in others(more, "Terminating").chunks(STEP) {
            let last = step.last().unwrap()["name"].as_str().unwrap();
            sender.wait_drain_recorded(|| platform.publish(false, step.to_vec()), last);
        }
        sender.kill();
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        sender.change_config(|c| c["discovery"] = silent.local_addr().unwrap().to_string().into());
        sender.spawn();
        sender.client().ping();
        // The listener is closed with this function's end: from then on discovery refuses connections.
        Drained { old, new, platform, sender }
    }
}

// The journal kept the latest 500 drains, and the endpoints of the earlier ones were called again.
#[test]
fn more_than_five_hundred_drains_outlast_a_restart() {
    let Drained { old, new, sender, .. } = Drained::restarted(1200, 3.0, CONFIGURED_VERSION);
    for n in 0..6 {
        let id = format!("a{n}");
        assert_eq!(sender.client().put(&id, PAY), "+OK");
        new.wait_sent(&id);
    }
    assert_eq!(old.sent(), Vec::<String>::new());
}

// Drains that the journal had no room for were forgotten, and their endpoints were called again.
#[test]
fn without_room_for_the_drains_no_endpoint_is_called_before_discovery_has_listed_it() {
    let Drained { old, new, platform, sender } = Drained::restarted(1200, 0.4, CONFIGURED_VERSION);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    sleep(CALL_TIME);
    assert_eq!((old.sent(), new.sent()), (Vec::<String>::new(), Vec::<String>::new()));
    sender.change_config(|c| c["discovery"] = platform.addr.to_string().into());
    platform.publish(true, vec![listed_endpoint("s-2", new.addr, "one", 3, "Ready")]);
    sender.send_sighup();
    new.wait_sent("a1");
    assert_eq!(old.sent(), Vec::<String>::new());
}

// A new discovery process counted its versions from the beginning: the drains that it told were taken for older than the
// configured list, and the endpoints were called again.
#[test]
fn drains_told_by_a_discovery_with_lower_versions_outlast_a_restart() {
    let Drained { old, new, sender, .. } = Drained::restarted(0, 3.0, 2);
    for n in 0..6 {
        let id = format!("a{n}");
        assert_eq!(sender.client().put(&id, PAY), "+OK");
        new.wait_sent(&id);
    }
    assert_eq!(old.sent(), Vec::<String>::new());
}
