//! A configuration that is replaced while the sender runs, which SIGHUP tells.

mod common;
use common::*;
use std::time::Duration;

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";

#[test]
fn sighup_moves_discovery_and_notices_to_the_new_address() {
    let (old, new) = (Endpoint::new(|_| status(500)), Endpoint::new(|_| status(500)));
    let first = Platform::new(vec![line("s-1", old.addr, "one", 3, "Ready")]);
    let mut sender = Sender::start(&first);
    let mut client = sender.client();
    client.ping();
    // The new one counts its versions anew, and its list lacks the old endpoint.
    let second = Platform::new(vec![line("s-2", new.addr, "one", 3, "Ready")]);
    second.set_index(2);
    sender.hears(
        || {
            sender.change(|c| c["discovery"] = second.addr.to_string().into());
            sender.hang_up();
        },
        "s-1",
    );
    assert_eq!(client.put("a1", PAY), "+OK");
    second.wait_state("a1", "failed");
    assert_eq!((old.times("a1"), new.times("a1")), (0, 1));
    assert!(first.notices().is_empty());
    // Changes are followed there too.
    let third = Endpoint::new(|_| status(200));
    let lines = vec![line("s-2", new.addr, "one", 3, "Gone"), line("s-3", third.addr, "one", 3, "Ready")];
    sender.hears(|| second.tell(false, lines.clone()), "s-2");
    assert_eq!(client.put("a2", SYNC), "+OK");
    third.wait_sent("a2");
    assert!(sender.is_running());
}

#[test]
fn a_notice_in_work_is_repeated_at_the_new_address() {
    let endpoint = Endpoint::new(|_| status(500));
    let listed = vec![line("s-1", endpoint.addr, "one", 3, "Ready")];
    let (first, second) = (Platform::new(listed.clone()), Platform::new(listed));
    first.set_deaf(true);
    let sender = Sender::start(&first);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    sender.change(|c| c["discovery"] = second.addr.to_string().into());
    sender.hang_up();
    second.wait_state("a1", "failed");
}

#[test]
fn a_configuration_that_is_missing_or_wrong_changes_nothing() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![line("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut sender = Sender::start(&platform);
    let mut client = sender.client();
    client.ping();
    wait_until("the watch", || platform.paths().len() == 2);
    let path = sender.folder.path().join("config.json");
    for (n, text) in [None, Some("{"), Some("{\"discovery\": 5}")].into_iter().enumerate() {
        match text {
            None => std::fs::remove_file(&path).unwrap(),
            Some(text) => std::fs::write(&path, text).unwrap(),
        }
        sender.hang_up();
        let id = format!("a{n}");
        assert_eq!(client.put(&id, SYNC), "+OK");
        endpoint.wait_sent(&id);
    }
    std::thread::sleep(Duration::from_millis(100));
    assert!(sender.is_running());
    assert_eq!(platform.paths().len(), 2, "one list and one watch: {:?}", platform.paths());
}
