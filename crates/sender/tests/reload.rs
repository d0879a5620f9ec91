//! Reload of the configuration on SIGHUP.
//! Guards against a reload that applies part of an invalid file.
//! Guards against a reload that loses changes or notices at a new discovery address.
//! Guards against a reload that changes the rules of messages that were accepted before the reload.

mod common;
use common::*;
use std::time::Duration;

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";

#[test]
fn sighup_moves_discovery_and_notices_to_the_new_address() {
    let (old, new) = (Endpoint::new(|_| status(500)), Endpoint::new(|_| status(500)));
    let first = Platform::new(vec![listed_endpoint("s-1", old.addr, "one", 3, "Ready")]);
    let mut sender = Sender::start(&first);
    let mut client = sender.client();
    client.ping();
    // The new platform's list indexes start lower, and its list lacks the old endpoint.
    let second = Platform::new(vec![listed_endpoint("s-2", new.addr, "one", 3, "Ready")]);
    second.set_index(2);
    sender.wait_drain_recorded(
        || {
            sender.change_config(|c| c["discovery"] = second.addr.to_string().into());
            sender.send_sighup();
        },
        "s-1",
    );
    assert_eq!(client.put("a1", PAY), "+OK");
    second.wait_notice("a1", "failed");
    assert_eq!((old.call_count("a1"), new.call_count("a1")), (0, 1));
    assert!(first.notices().is_empty());
    // The sender follows later changes at the new discovery address too.
    let third = Endpoint::new(|_| status(200));
    let lines = vec![
        listed_endpoint("s-2", new.addr, "one", 3, "Gone"),
        listed_endpoint("s-3", third.addr, "one", 3, "Ready"),
    ];
    sender.wait_drain_recorded(|| second.publish(false, lines.clone()), "s-2");
    assert_eq!(client.put("a2", SYNC), "+OK");
    third.wait_sent("a2");
    assert!(sender.is_running());
}

#[test]
fn a_pending_notice_is_repeated_at_the_new_address() {
    let endpoint = Endpoint::new(|_| status(500));
    let listed = vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")];
    let (first, second) = (Platform::new(listed.clone()), Platform::new(listed));
    first.set_reject_notices(true);
    let sender = Sender::start(&first);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    sender.change_config(|c| c["discovery"] = second.addr.to_string().into());
    sender.send_sighup();
    second.wait_notice("a1", "failed");
}

#[test]
fn a_configuration_that_is_missing_or_wrong_changes_nothing() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut sender = Sender::start(&platform);
    let mut client = sender.client();
    client.ping();
    wait_until("a list request and a watch", || platform.request_lines().len() == 2);
    let path = sender.folder.path().join("config.json");
    for (n, text) in [None, Some("{"), Some("{\"discovery\": 5}")].into_iter().enumerate() {
        match text {
            None => std::fs::remove_file(&path).unwrap(),
            Some(text) => std::fs::write(&path, text).unwrap(),
        }
        sender.send_sighup();
        let id = format!("a{n}");
        assert_eq!(client.put(&id, SYNC), "+OK");
        endpoint.wait_sent(&id);
    }
    std::thread::sleep(Duration::from_millis(100));
    assert!(sender.is_running());
    assert_eq!(
        platform.request_lines().len(),
        2,
        "expected one list request and one watch, got {:?}",
        platform.request_lines()
    );
}

/// Edits the classes of the configuration and waits until the sender has reloaded them.
fn reload_classes(sender: &Sender, change: impl Fn(&mut Vec<serde_json::Value>)) {
    sender.change_config(|c| change(c["settings"]["Profiles"].as_array_mut().unwrap()));
    let before = sender.metrics()["sighup_applied"].as_u64();
    sender.send_sighup();
    wait_until("the configuration to be applied", || sender.metrics()["sighup_applied"].as_u64() > before);
}

#[test]
fn classes_come_with_their_own_rules_and_go_after_a_while() {
    let endpoint = Endpoint::new(|r| if r.ids()[0].starts_with('f') { status(500) } else { status(200) });
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with_mgmt(&platform);
    let mut client = sender.client();
    client.ping();
    assert!(client.put("a0", "c=wire,d=1000,dest=3").starts_with("-ERR"));
    reload_classes(&sender, |classes| {
        // A new unsafe class replaces a safe class.
        let mut wire = classes[2].clone();
        wire["Name"] = "wire".into();
        classes[1] = wire;
    });
    assert_eq!(client.put("f1", "c=wire,d=1000,dest=3"), "+OK");
    platform.wait_notice("f1", "failed");
    assert_eq!(endpoint.call_count("f1"), 1);
    // Clients may not know yet that the old class has been removed.
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    // The sender counts a message as succeeded once the answer to its call has arrived, not when the call is sent.
    wait_until("both ends to be counted", || {
        let reply = sender.metrics();
        (&reply["aborted"]["wire"], &reply["succeeded"]["sync"]) == (&1.into(), &1.into())
    });
    let mut late = String::new();
    wait_until("the dropped class to be unknown", || {
        late = sender.client().put("a2", SYNC);
        late.starts_with("-ERR")
    });
    assert_eq!(late, "-ERR unknown class");
    assert!(sender.metrics()["succeeded"]["sync"].is_u64(), "the count of a dropped class must stay");
}

#[test]
fn open_messages_keep_the_rules_under_which_they_came_also_after_a_kill() {
    // Each call is broken off: a safe message is sent again, an unsafe message fails.
    let (safe, once) = (Endpoint::new(|_| StubResponse::Close), Endpoint::new(|_| StubResponse::Close));
    let platform = Platform::new(vec![placeholder(3), placeholder(4)]);
    let mut sender = Sender::with_mgmt(&platform);
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("safe", SYNC), "+OK");
    reload_classes(&sender, |classes| _ = classes.remove(1));
    reload_classes(&sender, |classes| {
        let mut sync = classes[1].clone();
        sync["Name"] = "sync".into();
        classes.push(sync);
    });
    assert_eq!(client.put("unsafe", "c=sync,d=15000,dest=4"), "+OK");
    assert_eq!(sender.metrics()["outstanding"], 2);
    sender.kill();
    let lines = vec![
        listed_endpoint("s-1", safe.addr, "one", 3, "Ready"),
        listed_endpoint("s-2", once.addr, "one", 4, "Ready"),
    ];
    platform.publish(true, lines);
    sender.spawn();
    platform.wait_notice("unsafe", "failed");
    wait_until("the second call with the safe message", || safe.call_count("safe") > 1);
    assert_eq!(once.call_count("unsafe"), 1);
}

#[test]
fn fewer_attempts_hold_for_messages_that_come_later() {
    let endpoint = Endpoint::new(|_| status(503));
    let platform = Platform::new(vec![placeholder(3)]);
    let sender = Sender::with_mgmt(&platform);
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("six", SYNC), "+OK");
    sender.change_config(|c| c["settings"]["Limits"]["MaxAttempts"] = 2.into());
    reload_classes(&sender, |_| {});
    assert_eq!(client.put("two", SYNC), "+OK");
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    platform.wait_notice("two", "returned");
    platform.wait_notice("six", "returned");
    assert_eq!(endpoint.call_count("two"), 2);
    assert!(endpoint.call_count("six") > 2, "{}", endpoint.call_count("six"));
}

#[test]
fn nothing_is_applied_from_an_invalid_file() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let nowhere = Platform::new(vec![placeholder(9)]);
    let sender = Sender::with_mgmt(&platform);
    let mut client = sender.client();
    client.ping();
    let path = sender.folder.path().join("config.json");
    let good = std::fs::read_to_string(&path).unwrap();
    // Each of twenty configuration files has a changed discovery address, an additional class and an error.
    // Every second configuration file is also cut in half.
    let flaws: [fn(&mut serde_json::Value); 5] = [
        |c| c["settings"]["Profiles"][0]["HardLimitUs"] = (-5).into(),
        |c| c["settings"]["Limits"]["MaxAttempts"] = 0.into(),
        |c| _ = c.as_object_mut().unwrap().remove("seed"),
        |c| _ = c["settings"]["Profiles"][2].as_object_mut().unwrap().remove("Effect"),
        |c| c["settings"]["Rules"] = serde_json::Value::Null,
    ];
    for n in 0..20 {
        sender.change_config(|c| {
            c["discovery"] = nowhere.addr.to_string().into();
            let mut more = c["settings"]["Profiles"][1].clone();
            more["Name"] = "more".into();
            c["settings"]["Profiles"].as_array_mut().unwrap().push(more);
            flaws[n % 5](c);
        });
        if n % 2 == 1 {
            // A configuration file cut in half stands for a file that the sender reads during a write.
            let text = std::fs::read_to_string(&path).unwrap();
            std::fs::write(&path, &text[..text.len() / 2]).unwrap();
        }
        let before = sender.metrics()["sighup_rejected"].as_u64();
        sender.send_sighup();
        wait_until("the configuration to be rejected", || {
            sender.metrics()["sighup_rejected"].as_u64() > before
        });
        std::fs::write(&path, &good).unwrap();
    }
    // The test needs a new client: on a busy machine the twenty reloads take longer than 2 s.
    // After 2 s the sender closes an idle client connection.
    let mut client = sender.client();
    let reply = client.put("a0", "c=more,d=1000,dest=3");
    assert!(reply.starts_with("-ERR"), "{reply}");
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(
        nowhere.request_lines().is_empty(),
        "the sender must not have used the discovery address of a rejected file"
    );
    assert_eq!(sender.metrics()["sighup_applied"], 0);
}
