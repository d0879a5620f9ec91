//! Tests of the management interface.
//! Guards against requests that are delayed by idle callers or by crowds of clients.
//! Guards against metrics that disagree with what clients and endpoints observe.
//! Guards against a lame duck that disconnects its clients without delay, or that keeps serving clients.

mod common;
use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";
const PUSH: &str = "c=push,d=15000,dest=3,k=5c0f6e1a2b3d4c59";

fn sender_with_endpoint(
    script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static,
) -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(script);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with_mgmt(&platform);
    sender.client().ping();
    (endpoint, platform, sender)
}

#[test]
fn unknown_or_malformed_requests_are_rejected() {
    let (_endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    assert_eq!(sender.mgmt_request("GET /_ready"), (200, "ready\n".into()));
    assert_eq!(sender.mgmt_request("GET /elsewhere").0, 404);
    assert_eq!(sender.mgmt_request("POST /_ready").0, 405);
    assert_eq!(sender.mgmt_request("GET /_lameduck/on").0, 405);
    assert_eq!(sender.mgmt_request("what is this").0, 400);
    assert_eq!(sender.mgmt_request("GET /_ready").0, 200);
}

#[test]
fn without_an_address_there_is_no_management_interface() {
    let platform = Platform::new(vec![placeholder(3)]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    assert!(TcpStream::connect(sender.mgmt).is_err());
}

#[test]
fn idle_and_half_written_requests_delay_no_one() {
    let (_endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    // The test opens more than twice as many connections as the management interface accepts simultaneously.
    let mut open_connections = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(sender.mgmt).unwrap();
        if n % 2 == 0 {
            stream.write_all(b"GET /_rea").unwrap();
        }
        open_connections.push(stream);
        let started = Instant::now();
        assert_eq!(sender.mgmt_request("GET /_ready").0, 200);
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    // The management interface closed the oldest idle caller's connection to make room.
    open_connections[1].set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(open_connections[1].read(&mut [0; 64]).unwrap_or(0), 0);
}

#[test]
fn many_clients_do_not_block_the_management_interface() {
    let (_endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    let connections: Vec<TcpStream> = (0..600)
        .map(|_| {
            let mut stream = TcpStream::connect(sender.addr).unwrap();
            _ = stream.write_all(b"*5\r\n$7\r\nMSG.");
            stream
        })
        .collect();
    for _ in 0..20 {
        let started = Instant::now();
        assert_eq!(sender.mgmt_request("GET /_ready").0, 200);
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    drop(connections);
}

#[test]
#[ignore = "prints measurements; run it by name with --ignored --nocapture"]
fn longest_answers_under_many_clients() {
    let (_endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    let mut connections = Vec::new();
    for size in [0, 600, 1500] {
        while connections.len() < size {
            let mut stream = TcpStream::connect(sender.addr).unwrap();
            _ = stream.write_all(b"*5\r\n$7\r\nMSG.");
            connections.push(stream);
        }
        // Client connections that the sender closed are opened again, as a crowd of clients does.
        let mut answer_times: Vec<Duration> = (0..300)
            .map(|n| {
                if let Some(stream) = connections.get_mut(n % size.max(1)) {
                    *stream = TcpStream::connect(sender.addr).unwrap();
                    _ = stream.write_all(b"*5\r\n$7\r\nMSG.");
                }
                let started = Instant::now();
                assert_eq!(sender.mgmt_request("GET /_ready").0, 200);
                started.elapsed()
            })
            .collect();
        answer_times.sort();
        println!("{size:>5} connections: median {:?}, longest {:?}", answer_times[150], answer_times[299]);
    }
}

#[test]
fn the_metrics_match_what_clients_and_endpoints_counted() {
    let (endpoint, platform, mut sender) =
        sender_with_endpoint(|request| match request.ids()[0].as_bytes()[0] {
            b'g' => status(200),
            b's' => StubResponse::Silence,
            _ => status(500),
        });
    let before = sender.metrics();
    let none = json!({"pay": 0, "push": 0, "sync": 0});
    assert_eq!((&before["succeeded"], &before["declined"], &before["aborted"]), (&none, &none, &none));
    assert_eq!((&before["discovered"], &before["ejected"]), (&json!(1), &json!(0)));
    let mut client = sender.client();
    for n in 0..5 {
        assert_eq!(client.put(&format!("g{n}"), PAY), "+OK");
        endpoint.wait_sent(&format!("g{n}"));
    }
    assert_eq!(client.put("g9", PUSH), "+OK");
    endpoint.wait_sent("g9");
    assert_eq!(client.put("f1", PAY), "+OK");
    platform.wait_notice("f1", "failed");
    assert!(client.put("w1", "c=sync,d=15000,dest=77").starts_with("-ERR"));
    assert!(client.put("w2", "c=nobody,d=15000,dest=3").starts_with("-ERR"));
    assert_eq!(client.put("s1", PAY), "+OK");
    endpoint.wait_sent("s1");
    let metrics = sender.metrics();
    assert_eq!(metrics["succeeded"], json!({"pay": 5, "push": 1, "sync": 0}));
    assert_eq!(metrics["aborted"], json!({"pay": 1, "push": 0, "sync": 1}));
    assert_eq!(metrics["declined"], none);
    assert_eq!((&metrics["forwards"], &metrics["outstanding"]), (&json!(8), &json!(1)));
    // The counters of each process start at zero. A message is counted by the process in which the message ends.
    sender.kill();
    sender.spawn();
    platform.wait_notice("s1", "failed");
    let metrics = sender.metrics();
    assert_eq!((&metrics["aborted"]["pay"], &metrics["succeeded"]["pay"]), (&json!(1), &json!(0)));
    assert_eq!((&metrics["forwards"], &metrics["outstanding"]), (&json!(0), &json!(0)));
}

#[test]
fn each_message_of_a_call_of_several_counts_as_written() {
    let endpoint = Endpoint::new(|request| {
        let states = request.ids().into_iter().map(|id| json!({"id": id, "state": "ok"}));
        StubResponse::Answer(200, Vec::new(), json!(states.collect::<Vec<_>>()).to_string())
    });
    let platform = Platform::new(vec![placeholder(3)]);
    let sender = Sender::with_mgmt(&platform);
    let mut client = sender.client();
    client.ping();
    for n in 0..6 {
        assert_eq!(client.put(&format!("a{n}"), SYNC), "+OK");
    }
    assert_eq!(sender.metrics()["outstanding"], 6);
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "many", 3, "Ready")]);
    wait_until("no open message", || sender.metrics()["outstanding"] == 0);
    let metrics = sender.metrics();
    assert_eq!((&metrics["succeeded"]["sync"], &metrics["forwards"]), (&json!(6), &json!(6)));
    assert!(endpoint.requests().len() < 6, "expected some of the six messages to share a call");
}

#[test]
fn a_reload_is_counted_as_applied_or_rejected() {
    let (_endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    sender.send_sighup();
    wait_until("the configuration to be applied", || sender.metrics()["sighup_applied"] == 1);
    std::fs::write(sender.folder.path().join("config.json"), "{").unwrap();
    sender.send_sighup();
    wait_until("the configuration to be rejected", || sender.metrics()["sighup_rejected"] == 1);
    assert_eq!(sender.metrics()["sighup_applied"], 1);
}

#[test]
fn an_end_that_an_earlier_process_could_not_report_counts_where_it_is_reported() {
    let (endpoint, platform, mut sender) = sender_with_endpoint(|_| status(500));
    platform.set_reject_notices(true);
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    wait_until("the failed message in the metrics", || sender.metrics()["aborted"]["pay"] == 1);
    sender.kill();
    platform.wait_connections_closed();
    platform.set_reject_notices(false);
    sender.spawn();
    platform.wait_notice("a1", "failed");
    assert_eq!(sender.metrics()["aborted"]["pay"], 1);
}

/// Returns the reply to `PING` on a new connection.
fn ping_reply(sender: &Sender) -> String {
    let mut client = sender.client();
    client.write(&resp(&[b"PING"]));
    client.read()
}

#[test]
fn a_lame_duck_closes_its_clients_and_serves_them_again_afterwards() {
    let (endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    let (mut idle, mut busy) = (sender.client(), sender.client());
    idle.ping();
    assert_eq!(sender.mgmt_request("POST /_lameduck/on").0, 200);
    assert_eq!(sender.mgmt_request("GET /_ready").0, 503);
    assert!(ping_reply(&sender).starts_with("-ERR"));
    // Messages put right after the start of the lame duck state are served, on existing and new connections.
    assert_eq!(busy.put("a1", SYNC), "+OK");
    assert_eq!(sender.client().put("a2", SYNC), "+OK");
    // The lame duck closes both client connections.
    let drained_at = Instant::now();
    assert_eq!((idle.read(), busy.read()), (String::new(), String::new()));
    assert!(drained_at.elapsed() < Duration::from_millis(1500));
    // A new client connection is still answered, and closed after the answer.
    let mut late = sender.client();
    late.write(&resp(&[b"PING"]));
    assert!(late.read().starts_with("-ERR"));
    assert_eq!(late.read(), "");
    // Messages that clients put later at the lame duck are refused with `-BUSY`.
    wait_until("a refused put", || sender.client().put("b1", SYNC).starts_with("-BUSY"));
    assert_eq!(sender.mgmt_request("POST /_lameduck/off").0, 200);
    assert_eq!(sender.mgmt_request("GET /_ready").0, 200);
    assert_eq!(ping_reply(&sender), "+PONG");
    assert_eq!(sender.client().put("a3", SYNC), "+OK");
    ["a1", "a2", "a3"].iter().for_each(|id| endpoint.wait_sent(id));
}

#[test]
fn on_off_and_on_again_within_a_tenth_of_a_second() {
    let (endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    let mut client = sender.client();
    client.ping();
    for call in ["on", "on", "off", "off", "on", "off"] {
        assert_eq!(sender.mgmt_request(&format!("POST /_lameduck/{call}")).0, 200);
        let ready = call == "off";
        assert_eq!(sender.mgmt_request("GET /_ready").0 == 200, ready);
        assert_eq!(ping_reply(&sender) == "+PONG", ready);
    }
    // The existing client connection must stay open, since the last lame duck request was `off`.
    std::thread::sleep(Duration::from_millis(700));
    client.ping();
    assert_eq!(client.put("a1", PUSH), "+OK");
    endpoint.wait_sent("a1");
}

#[test]
fn a_command_half_written_when_the_sender_becomes_a_lame_duck_is_served() {
    let (endpoint, _platform, sender) = sender_with_endpoint(|_| status(200));
    sender.client().ping();
    let mut client = sender.client();
    let command = put("a1", &format!("{SYNC},t=acme"), b"hello");
    let (head, rest) = command.split_at(40);
    assert_eq!(sender.mgmt_request("POST /_lameduck/on").0, 200);
    client.write(head);
    std::thread::sleep(Duration::from_millis(600));
    client.write(rest);
    assert_eq!(client.read(), "+OK");
    assert_eq!(client.read(), "");
    endpoint.wait_sent("a1");
}

#[test]
fn a_lame_duck_request_does_not_cancel_a_stop() {
    let (endpoint, _platform, mut sender) = sender_with_endpoint(|_| StubResponse::Silence);
    assert_eq!(sender.client().put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert_eq!(sender.mgmt_request("POST /_lameduck/on").0, 200);
    sender.terminate();
    wait_until("the sender to report that it is stopping", || {
        sender.mgmt_request("GET /_ready") == (503, "stopping\n".into())
    });
    assert_eq!(sender.mgmt_request("POST /_lameduck/off").0, 409);
    assert_eq!(sender.mgmt_request("POST /_lameduck/on").0, 200);
    assert!(sender.wait_exit().success());
}
