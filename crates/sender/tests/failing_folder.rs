//! A state folder whose writes fail for a while, and a kill after it.
//! Guards against accepted messages that the next process can't read, and against messages that run under two ids.

mod common;
#[path = "common/shim.rs"]
mod shim;

use common::*;
use std::path::PathBuf;
use std::time::Duration;

/// A sender whose writes to the journal fail while the switch file exists.
fn sender_with(platform: &Platform) -> (Sender, PathBuf) {
    let mut sender = Sender::start(platform);
    sender.kill();
    let switch = sender.folder.path().join("failing");
    let library = shim::build("failing_folder", sender.folder.path());
    sender.environment = vec![
        ("LD_PRELOAD".into(), library.display().to_string()),
        ("FAILING_FOLDER_SWITCH".into(), switch.display().to_string()),
    ];
    sender.spawn();
    sender.client().ping();
    (sender, switch)
}

#[test]
fn what_is_accepted_after_a_write_failed_half_way_survives_a_kill() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![placeholder(9)]);
    let (mut sender, switch) = sender_with(&platform);
    let mut client = sender.client();
    assert_eq!(client.put("a1", "c=sync,d=15000,dest=9"), "+OK");
    std::fs::write(&switch, "").unwrap();
    assert!(client.put("a2", "c=sync,d=15000,dest=9").starts_with("-BUSY"));
    std::fs::remove_file(&switch).unwrap();
    assert_eq!(client.put("a3", "c=sync,d=15000,dest=9"), "+OK");
    sender.kill();
    sender.spawn();
    platform.publish(true, vec![listed_endpoint("s-9", endpoint.addr, "one", 9, "Ready")]);
    endpoint.wait_sent("a1");
    endpoint.wait_sent("a3");
    assert_eq!(endpoint.call_count("a2"), 0);
}

#[test]
fn a_message_that_was_returned_is_not_called_after_a_kill() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![placeholder(9)]);
    let (mut sender, switch) = sender_with(&platform);
    sender.kill();
    sender.change_config(|config| config["settings"]["Limits"]["MaxOpen"] = 12.into());
    sender.spawn();
    let ids: Vec<String> = (0..11).map(|n| format!("a{n}")).collect();
    let mut client = sender.client();
    for id in &ids {
        client.put(id, "c=pay,d=19000,dest=9");
    }
    std::fs::write(&switch, "").unwrap();
    // With the folder full of older messages, some are returned to make room. Their clients may come again.
    for n in 0..8 {
        client.put(&format!("b{n}"), "c=pay,d=19000,dest=9");
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let returned: Vec<&String> = ids.iter().filter(|id| platform.notice_state(id).is_some()).collect();
    sender.kill();
    std::fs::remove_file(&switch).unwrap();
    sender.spawn();
    platform.publish(true, vec![listed_endpoint("s-9", endpoint.addr, "one", 9, "Ready")]);
    std::thread::sleep(Duration::from_millis(1_500));
    for id in returned {
        assert_eq!(endpoint.call_count(id), 0, "{id} runs here, and under the id of its client's next try");
    }
}

#[test]
fn a_notice_waits_for_its_record_no_longer_than_the_messages_time() {
    let platform = Platform::new(vec![placeholder(9)]);
    let (sender, switch) = sender_with(&platform);
    let begun = std::time::Instant::now();
    assert_eq!(sender.client().put("a1", "c=sync,d=2000,dest=9"), "+OK");
    std::fs::write(&switch, "").unwrap();
    wait_until("a notice for a1", || platform.notice_state("a1").is_some());
    // A notice counts up to 0.3 s after the message's time.
    assert!(begun.elapsed() < Duration::from_millis(2_300), "took {:?}", begun.elapsed());
}

// A drain that came while the folder could not be written was never recorded, and the next process called its endpoint.
#[test]
fn a_drain_told_while_the_folder_fails_outlasts_a_kill() {
    let (old, new) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let listed =
        [("s-1", &old), ("s-2", &new)].map(|(name, e)| listed_endpoint(name, e.addr, "one", 9, "Ready"));
    let platform = Platform::new(listed.to_vec());
    let (mut sender, switch) = sender_with(&platform);
    sender.kill();
    sender.change_config(|c| {
        c["known"] = serde_json::json!({"index": 7, "snapshot": true, "endpoints": listed});
    });
    sender.spawn();
    sender.client().ping();
    std::fs::write(&switch, "").unwrap();
    platform.publish(false, vec![listed_endpoint("s-1", old.addr, "one", 9, "Terminating")]);
    wait_until("a failed write", || sender.log().contains("write failed"));
    std::fs::remove_file(&switch).unwrap();
    wait_until("the drain in the journal", || sender.journal_contains("s-1"));
    sender.kill();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    sender.change_config(|c| c["discovery"] = silent.local_addr().unwrap().to_string().into());
    sender.spawn();
    sender.client().ping();
    for n in 0..6 {
        let id = format!("a{n}");
        assert_eq!(sender.client().put(&id, "c=pay,d=15000,dest=9"), "+OK");
        new.wait_sent(&id);
    }
    assert_eq!(old.sent(), Vec::<String>::new());
}
