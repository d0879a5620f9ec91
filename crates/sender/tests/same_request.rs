//! Requests that come again under the same id after their message has ended.
//! A client that has left without reading its reply sends its request once more on a new connection.
//! Guards against a second effect of a message that must not be repeated.

mod common;
use common::shared_socket::SharedSocket;
use common::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

const PAY: &str = "c=pay,d=15000,dest=3";
const PUSH: &str = "c=push,d=15000,dest=3,k=5c0f6e1a2b3d4c59";
const SYNC: &str = "c=sync,d=15000,dest=3";
/// Time for which a receiver remembers the key of a message of class `push`.
const KEY_WINDOW: Duration = Duration::from_secs(3);
/// Time in which a message that the sender may call is called.
const CALL_TIME: Duration = Duration::from_millis(500);

fn start(
    script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static,
    disk_mb: f64,
) -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(script);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with(&platform, |c| c["limits"]["disk_mb"] = disk_mb.into());
    sender.client().ping();
    (endpoint, platform, sender)
}

/// Writes a request and leaves without reading the reply, once the endpoint has been called.
fn put_and_leave(addr: SocketAddr, endpoint: &Endpoint, id: &str, fields: &str) {
    let mut client = Client::new(addr);
    client.write(&put(id, &format!("{fields},t=acme"), b"hello"));
    endpoint.wait_sent(id);
    drop(client);
}

// An id was forgotten with the end of its call: the request came again, and a payout was made twice.
#[test]
fn a_delivered_request_that_comes_again_is_taken_on_without_a_call() {
    let (endpoint, platform, sender) = start(|_| status(200), 3.0);
    for (id, fields) in [("a1", PAY), ("a2", PUSH)] {
        put_and_leave(sender.addr, &endpoint, id, fields);
    }
    // Once the receiver has forgotten the key, a repeat of the keyed message would take effect, too.
    sleep(KEY_WINDOW + CALL_TIME);
    for (id, fields) in [("a1", PAY), ("a2", PUSH)] {
        assert_eq!(sender.client().put(id, fields), "+OK", "{id}");
    }
    sleep(CALL_TIME);
    assert_eq!((endpoint.call_count("a1"), endpoint.call_count("a2")), (1, 1));
    assert!(platform.notices().is_empty());
}

// The next process knew nothing of the ids of ended messages, before and after the journal was compacted.
#[test]
fn a_delivered_request_that_comes_again_after_kills_is_not_called() {
    let (endpoint, _platform, mut sender) = start(|_| status(200), 0.5);
    put_and_leave(sender.addr, &endpoint, "a1", PAY);
    sleep(CALL_TIME);
    for round in 0..3 {
        sender.kill();
        sender.spawn();
        sender.client().ping();
        assert_eq!(sender.client().put("a1", PAY), "+OK", "after kill {round}");
        // Compacts the journal: the messages fill a quarter of its limit.
        let before = folder_size(&sender.state());
        let body = vec![b'x'; 30_000];
        for n in 0..8 {
            let id = format!("{round}-{n}");
            let mut client = sender.client();
            client.write(&put(&id, &format!("{SYNC},t=acme"), &body));
            assert_eq!(client.read(), "+OK");
            endpoint.wait_sent(&id);
        }
        assert!(folder_size(&sender.state()) < before + 8 * 30_000, "the journal was not compacted");
    }
    sleep(CALL_TIME);
    assert_eq!(endpoint.call_count("a1"), 1);
}

// The new process of a replacement knew nothing of the ids of ended messages.
#[test]
fn a_delivered_request_that_comes_again_after_a_replacement_is_not_called() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut processes = SharedSocket::new(&platform);
    processes.start();
    processes.wait_ready(0);
    put_and_leave(processes.addr, &endpoint, "a1", PAY);
    sleep(CALL_TIME);
    processes.start();
    processes.wait_ready(1);
    processes.wait_exit(0);
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    sleep(CALL_TIME);
    assert_eq!(endpoint.call_count("a1"), 1);
}

// A payout whose call may have run failed; its request came again and was called anew.
#[test]
fn a_request_that_may_have_run_fails_again_without_a_call() {
    let (endpoint, platform, mut sender) = start(|_| StubResponse::Close, 3.0);
    put_and_leave(sender.addr, &endpoint, "a1", PAY);
    platform.wait_notice("a1", "failed");
    endpoint.set_script(|_| status(200));
    assert!(sender.client().put("a1", PAY).starts_with("-ERR"));
    sender.kill();
    sender.spawn();
    sender.client().ping();
    assert!(sender.client().put("a1", PAY).starts_with("-ERR"));
    sleep(CALL_TIME);
    assert_eq!(endpoint.call_count("a1"), 1);
}

#[test]
fn a_request_that_never_ran_is_called_when_it_comes_again() {
    let (endpoint, platform, sender) = start(|_| status(503), 3.0);
    put_and_leave(sender.addr, &endpoint, "a1", "c=pay,d=1000,dest=3");
    platform.wait_notice("a1", "returned");
    endpoint.set_script(|_| status(200));
    let before = endpoint.call_count("a1");
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    wait_until("a further call", || endpoint.call_count("a1") > before);
}

// Guards against new ids that push out the older ones: without room, further payouts are refused.
#[test]
fn many_new_requests_do_not_make_an_old_one_run_again() {
    let (endpoint, _platform, sender) = start(|_| status(200), 0.1);
    put_and_leave(sender.addr, &endpoint, "a1", PAY);
    let mut client = sender.client();
    let answers: Vec<String> = (0..400).map(|n| client.put(&format!("b{n}"), PAY)).collect();
    let taken = answers.iter().filter(|a| *a == "+OK").count();
    assert!(taken < 400 && answers.iter().all(|a| a == "+OK" || a.starts_with("-BUSY")), "{answers:?}");
    assert_eq!(client.put("a1", PAY), "+OK");
    // A message that may be repeated needs no such room.
    assert_eq!(client.put("c1", SYNC), "+OK");
    endpoint.wait_sent("c1");
    assert_eq!(endpoint.call_count("a1"), 1);
}

// Guards against a withdrawn message that counts as delivered since another sender may have called it before.
#[test]
fn a_withdrawn_request_of_a_lost_sender_is_called_when_it_comes_again() {
    let again = "c=push,d=23900,dest=3,k=5c0f6e1a2b3d4c59,again=1";
    let endpoint = Endpoint::new(|_| status(200));
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (silent_addr, known) =
        (silent.local_addr().unwrap(), listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready"));
    let sender = Sender::with(&Platform::new(Vec::new()), |c| {
        c["discovery"] = silent_addr.to_string().into();
        c["known"]["endpoints"] = vec![known.clone()].into();
    });
    // While the sender waits for a list, no message is answered.
    let mut client = sender.client();
    client.write(&put("a1", &format!("{again},t=acme"), b"hello"));
    sleep(Duration::from_millis(150));
    drop(client);
    sender.client().ping();
    assert_eq!(endpoint.call_count("a1"), 0);
    assert_eq!(sender.client().put("a1", again), "+OK");
    endpoint.wait_sent("a1");
}
