//! The client interface, and the effect of discovery's endpoint list on calls.
//! Guards against malformed, idle or excessively many clients that harm others.
//! Guards against messages that are accepted twice or not at all, and calls to draining endpoints.

mod common;
use common::*;
use std::io::Read;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";

/// Time limit of waits for events that the sender must cause within 3 s after a client connects.
/// The limit exceeds 3 s to allow for a busy machine.
const MAX_CLOSE_DELAY: Duration = Duration::from_secs(8);

fn sender_with_endpoint() -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    (endpoint, platform, sender)
}

#[test]
fn ping_is_answered_only_once_the_list_is_known() {
    // Discovery accepts connections without answering, and the configuration contains no known endpoint list.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::new(vec![]);
    let silent_addr = silent.local_addr().unwrap().to_string();
    let sender = Sender::with(&platform, |c| c["discovery"] = silent_addr.clone().into());
    let mut client = sender.client();
    client.write(&resp(&[b"PING"]));
    client.stream.set_read_timeout(Some(Duration::from_millis(1500))).unwrap();
    assert!(client.stream.read(&mut [0; 8]).is_err(), "PING was answered although no list is known");

    // With a known endpoint list from the configuration, which may be old, the sender becomes ready after a while.
    let endpoint = Endpoint::new(|_| status(200));
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let sender = Sender::with(&platform, |c| {
        c["discovery"] = silent_addr.clone().into();
        c["known"]["endpoints"] = vec![known.clone()].into();
    });
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
}

#[test]
fn split_and_pipelined_requests_are_answered_in_order() {
    let (endpoint, _platform, sender) = sender_with_endpoint();
    let mut client = sender.client();
    client.stream.set_nodelay(true).unwrap();
    let mut bytes = put("a1", "c=sync,d=15000,dest=3,t=acme", b"x\r\n*1\r\n");
    bytes.extend(resp(&[b"PING"]));
    bytes.extend(put("a2", "c=sync,t=acme,dest=3", b"no time"));
    bytes.extend(put("a3", "c=pay,d=15000,dest=3,t=acme", b""));
    for part in bytes.chunks(7) {
        client.write(part);
        std::thread::yield_now();
    }
    let answers: Vec<String> = (0..4).map(|_| client.read()).collect();
    assert_eq!((answers[0].as_str(), answers[1].as_str(), answers[3].as_str()), ("+OK", "+PONG", "+OK"));
    assert!(answers[2].starts_with("-ERR"), "{answers:?}");
    endpoint.wait_sent("a1");
    endpoint.wait_sent("a3");
    assert_eq!(endpoint.requests().iter().find(|r| r.ids() == ["a1"]).unwrap().body, b"x\r\n*1\r\n");
    assert_eq!(endpoint.call_count("a2"), 0);
}

#[test]
fn bad_input_gets_an_error_and_harms_nobody() {
    let (endpoint, _platform, mut sender) = sender_with_endpoint();
    let long = "1".repeat(40);
    let lines: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"*99999999999\r\n".to_vec(),
        format!("*{long}\r\n").into_bytes(),
        b"*5\r\n$999999999\r\n".to_vec(),
        b"*1\r\n*1\r\n*1\r\n".to_vec(),
        b"*1\r\n$3\r\nabcde\r\n".to_vec(),
        vec![0xff; 64],
    ];
    for bytes in lines {
        let mut client = sender.client();
        client.write(&bytes);
        assert!(client.read().starts_with("-ERR"), "{bytes:?}");
        assert_eq!(client.read(), "", "the connection must end after the error");
    }
    let mut client = sender.client();
    for fields in
        ["", "c", "d=abc,dest=3", "d=5", "d=5,dest=x", "d=5,dest=3,k=a b", "d=99999999999999,dest=3"]
    {
        assert!(client.put("a1", fields).starts_with("-ERR"), "{fields}");
    }
    client.write(&put("bad id\r\nx: y", "c=sync,d=15000,dest=3", b""));
    assert!(client.read().starts_with("-ERR"));
    client.write(&resp(&[b"MSG.PUT", b"0"]));
    assert!(client.read().starts_with("-ERR"));
    client.write(&resp(&[b"FLUSHALL"]));
    assert!(client.read().starts_with("-ERR"));
    client.write(&resp(&[]));
    assert!(client.read().starts_with("-ERR"));
    assert_eq!(client.put("a1", SYNC), "+OK");
    endpoint.wait_sent("a1");
    assert!(sender.is_running());
}

#[test]
fn a_message_that_no_sender_could_accept_is_an_error() {
    let (endpoint, platform, sender) = sender_with_endpoint();
    let mut client = sender.client();
    for fields in [
        "c=none,d=15000,dest=3",
        "d=15000,dest=3",
        "c=pay,d=15000,dest=77",
        "c=pay,d=15000,dest=-1",
        "c=pay,d=28002,dest=3",
        "c=pay,d=4294967295,dest=3",
        "c=push,d=15000,dest=3",
    ] {
        let answer = client.put("b1", fields);
        assert!(answer.starts_with("-ERR"), "{fields}: {answer}");
    }
    client.write(&put("b2", "c=pay,d=15000,dest=3,t=nobody", b""));
    assert!(client.read().starts_with("-ERR"));
    assert_eq!(client.put("a1", "c=pay,d=28000,dest=3"), "+OK");
    endpoint.wait_sent("a1");
    // A destination whose endpoints are all gone is still known.
    sender.wait_drain_recorded(|| platform.publish(true, vec![]), "s-1");
    assert_eq!(client.put("a2", PAY), "+OK");
    assert_eq!(endpoint.sent(), ["a1"]);
}

#[test]
fn idle_and_half_written_connections_are_closed() {
    let (_endpoint, _platform, sender) = sender_with_endpoint();
    let start = Instant::now();
    let half_command = put("a1", SYNC, b"hello");
    let mut clients: Vec<Client> = (0..3).map(|_| sender.client()).collect();
    clients[1].write(&half_command[..half_command.len() - 3]);
    clients[2].ping();
    for mut client in clients {
        let answer = client.read();
        assert!(answer.is_empty() || answer.starts_with("-ERR"), "{answer}");
        assert!(
            start.elapsed() < MAX_CLOSE_DELAY,
            "took {:?}, expected less than {:?}",
            start.elapsed(),
            MAX_CLOSE_DELAY
        );
    }
    // The sender does not close a client connection with regular requests.
    let mut client = sender.client();
    while start.elapsed() < Duration::from_secs(4) {
        client.ping();
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn a_command_that_keeps_coming_is_served_however_long_it_takes() {
    let (endpoint, _platform, sender) = sender_with_endpoint();
    let command = put("slow", &format!("{SYNC},t=acme"), b"hello");
    let (mut slow, mut halves) = (sender.client(), sender.client());
    let other = put("halves", &format!("{SYNC},t=acme"), b"hello");
    let start = Instant::now();
    halves.write(&other[..30]);
    for (n, byte) in command.iter().enumerate() {
        slow.write(&[*byte]);
        std::thread::sleep(Duration::from_millis(30));
        // The client sends the rest of the second command after a pause of two seconds.
        if n == command.len() * 2 / 3 {
            wait_until("two seconds to pass", || start.elapsed() > Duration::from_millis(2050));
            halves.write(&other[30..]);
        }
    }
    assert!(start.elapsed() > Duration::from_secs(2));
    assert_eq!((slow.read(), halves.read()), ("+OK".to_string(), "+OK".to_string()));
    endpoint.wait_sent("slow");
    endpoint.wait_sent("halves");
}

#[test]
fn real_clients_are_served_among_thousands_of_idle_and_half_written_connections() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut sender = Sender::with(&platform, |c| {
        c["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 24, "sockets": 192, "disk_mb": 3});
    });
    let half_command = &put("half", SYNC, b"hello")[..30];
    let mut connections = Vec::new();
    let mut closed = 0;
    for n in 0..3000 {
        let mut one = sender.client();
        match n % 3 {
            0 => {}
            1 => one.write(half_command),
            _ => {
                // The sender may have closed the client's connection already to make room for another.
                one.write(&resp(&[b"PING"]));
            }
        }
        connections.push(one);
        if n % 100 == 99 {
            let id = format!("a{n}");
            let mut answer = String::new();
            for _ in 0..3 {
                answer = sender.client().put(&id, SYNC);
                if !answer.is_empty() {
                    break;
                }
                closed += 1;
            }
            assert_eq!(answer, "+OK");
            endpoint.wait_sent(&id);
            connections.truncate(600);
        }
        if n == 1500 {
            sender.kill();
            sender.spawn();
        }
    }
    assert!(closed <= 3, "{closed} of 30 connections were closed without a reply, expected at most 3");
    assert!(sender.memory_kb() < 24_000, "{} KB resident, expected less than 24,000", sender.memory_kb());
}

#[test]
fn silent_connections_do_not_keep_out_others() {
    let (endpoint, _platform, sender) = sender_with_endpoint();
    let mut active = sender.client();
    active.ping();
    // A limit of 256 file descriptors leaves room for 85 client connections.
    let silent: Vec<Client> = (0..200).map(|_| sender.client()).collect();
    let mut last = sender.client();
    assert_eq!(last.put("a1", SYNC), "+OK");
    assert_eq!(active.put("a2", SYNC), "+OK", "a connection that has sent a request must be kept open");
    endpoint.wait_sent("a1");
    endpoint.wait_sent("a2");
    drop(silent);
}

#[test]
fn an_error_is_not_overtaken_by_a_reset_while_its_client_writes_on() {
    let (_endpoint, _platform, sender) = sender_with_endpoint();
    for _ in 0..5 {
        let mut client = sender.client();
        client.write(b"*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\nxxx");
        // The error reply has arrived; the client's next bytes reach a connection that is being closed.
        client.stream.peek(&mut [0; 1]).unwrap();
        (0..10).for_each(|_| client.write(&[b'x'; 10_000]));
        assert!(client.read().starts_with("-ERR"));
        assert_eq!(client.read(), "");
    }
}

#[test]
fn long_commands_take_turns_in_little_memory() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    // An eighth of the sender's memory limit suffices for seven long commands.
    let sender = Sender::with(&platform, |c| c["limits"]["memory_mb"] = 8.into());
    let mut client = sender.client();
    client.ping();
    let before = sender.memory_kb();
    let long = resp(&[b"MSG.PUT", &[7; 60_000], &[7; 60_000]]);
    let mut clients: Vec<Client> = (0..60).map(|_| sender.client()).collect();
    // Each client sends all but the last byte of its command.
    // A command for which the sender has no memory left waits until other commands are done.
    clients.iter_mut().for_each(|c| c.write(&long[..long.len() - 1]));
    (0..50).for_each(|_| client.ping());
    let grown = sender.memory_kb().saturating_sub(before);
    assert!(grown < 4_000, "the memory grew by {grown} KB, expected less than 4,000");
    drop(clients);
    client.write(&put("a1", "c=sync,d=15000,dest=3,t=acme", &[7; 60_000]));
    assert_eq!(client.read(), "+OK");
    endpoint.wait_sent("a1");
}

#[test]
fn no_more_messages_are_held_than_the_limit() {
    let (_endpoint, platform, sender) = sender_with_endpoint();
    sender.wait_drain_recorded(|| platform.publish(true, vec![]), "s-1");
    let mut client = sender.client();
    let answers: Vec<String> =
        (0..60).map(|n| client.put(&format!("a{n}"), "c=pay,d=28000,dest=3")).collect();
    let taken = answers.iter().filter(|a| *a == "+OK").count();
    assert!(taken <= 40, "{taken} messages accepted, expected at most 40");
    assert_eq!(platform.notices().len(), 0);
    assert!(answers.iter().any(|a| a.starts_with("-BUSY")), "{answers:?}");
}

#[test]
fn a_client_that_leaves_before_its_answer_withdraws_its_message() {
    // Without an endpoint list the reply is delayed, so the client closes its connection before the reply.
    let endpoint = Endpoint::new(|_| status(200));
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::new(vec![]);
    let (silent_addr, known) =
        (silent.local_addr().unwrap().to_string(), listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready"));
    let sender = Sender::with(&platform, |c| {
        c["discovery"] = silent_addr.clone().into();
        c["known"]["endpoints"] = vec![known.clone()].into();
    });
    let mut client = sender.client();
    client.write(&put("a1", "c=sync,d=15000,dest=3,t=acme", b""));
    client.stream.shutdown(Shutdown::Both).unwrap();
    drop(client);
    let mut client = sender.client();
    assert_eq!(client.put("a2", SYNC), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(endpoint.call_count("a1"), 0);
}

#[test]
fn the_same_message_on_a_second_connection_is_taken_once() {
    let (endpoint, platform, sender) = sender_with_endpoint();
    sender.wait_drain_recorded(|| platform.publish(true, vec![]), "s-1");
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    assert_eq!(sender.client().put("a1", PAY), "+OK");
    platform.publish(true, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    endpoint.wait_sent("a1");
    assert_eq!(sender.client().put("a2", PAY), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(endpoint.call_count("a1"), 1);
}

#[test]
fn a_second_copy_is_not_accepted_before_the_first_is_journaled() {
    // Before the endpoint list is known no message is accepted; the journal has no space for a record of this size.
    let endpoint = Endpoint::new(|_| status(200));
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::new(vec![]);
    let silent_addr = silent.local_addr().unwrap().to_string();
    let known = listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready");
    let sender = Sender::with(&platform, |c| {
        c["discovery"] = silent_addr.clone().into();
        c["known"]["endpoints"] = vec![known.clone()].into();
        c["limits"]["disk_mb"] = 0.02.into();
    });
    let (mut first, mut second) = (sender.client(), sender.client());
    for client in [&mut first, &mut second] {
        client.write(&put("a1", "c=sync,d=15000,dest=3,t=acme", &[7; 30_000]));
    }
    let answers = [first.read(), second.read()];
    assert!(answers.iter().all(|a| a.starts_with("-BUSY")), "{answers:?}");
}

#[test]
fn a_draining_endpoint_gets_nothing_new_and_keeps_what_it_has() {
    let gate = Gate::default();
    let waits = gate.clone();
    let old = Endpoint::new(move |_| {
        waits.wait();
        status(200)
    });
    let new = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", old.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    let mut client = sender.client();
    assert_eq!(client.put("a1", PAY), "+OK");
    wait_until("the attempt in the journal", || sender.journal_contains("s-1"));
    let (draining, added) = (
        listed_endpoint("s-1", old.addr, "one", 3, "Terminating"),
        listed_endpoint("s-2", new.addr, "one", 3, "Ready"),
    );
    sender.wait_drain_recorded(|| platform.publish(false, vec![added.clone(), draining.clone()]), "s-1");
    for id in ["a2", "a3"] {
        assert_eq!(client.put(id, PAY), "+OK");
        new.wait_sent(id);
    }
    gate.open();
    old.wait_sent("a1");
    // The full endpoint list lacks `s-2`, so that endpoint is gone.
    sender.wait_drain_recorded(
        || platform.publish(true, vec![listed_endpoint("s-1", old.addr, "one", 3, "Ready")]),
        "s-2",
    );
    assert_eq!(client.put("a4", PAY), "+OK");
    old.wait_sent("a4");
    assert_eq!((old.sent(), new.sent()), (vec!["a1".into(), "a4".into()], vec!["a2".into(), "a3".into()]));
    assert!(platform.notices().is_empty());
}

#[test]
fn a_drain_that_becomes_known_while_a_connection_comes_up_stops_the_call() {
    let mut old = FullBacklogEndpoint::new();
    let new = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", old.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    let mut client = sender.client();
    assert_eq!(client.put("a1", PAY), "+OK");
    std::thread::sleep(Duration::from_millis(100));
    platform.publish(
        false,
        vec![
            listed_endpoint("s-1", old.addr, "one", 3, "Terminating"),
            listed_endpoint("s-2", new.addr, "one", 3, "Ready"),
        ],
    );
    std::thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) && new.call_count("a1") == 0 {
        old.accept_and_read();
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(new.call_count("a1"), 1, "the message must be sent to the other endpoint instead");
    assert_eq!(old.calls, Vec::<String>::new(), "{} fillers", old.fillers.len());
}

#[test]
fn a_message_that_ends_while_its_calls_connection_comes_up_is_left_out() {
    // Two messages share a call; one message reaches its deadline before the connection is established.
    let mut endpoint = FullBacklogEndpoint::new();
    let platform = Platform::new(vec![placeholder(3)]);
    let sender = Sender::start(&platform);
    let mut client = sender.client();
    assert_eq!(client.put("short", "c=pay,d=600,dest=3"), "+OK");
    assert_eq!(client.put("long", "c=pay,d=15000,dest=3"), "+OK");
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "many", 3, "Ready")]);
    wait_until("a notice for the short message", || platform.notice_state("short").is_some());
    wait_until("the call with the long message", || {
        endpoint.accept_and_read();
        endpoint.calls.concat().contains("long")
    });
    let (calls, fillers) = (&endpoint.calls, endpoint.fillers.len());
    assert!(!calls.concat().contains("short"), "{fillers} fillers, {calls:?}");
}

#[test]
fn a_watch_that_breaks_is_resumed_from_the_last_index() {
    let (_endpoint, platform, sender) = sender_with_endpoint();
    let other = Endpoint::new(|_| status(200));
    let watches =
        || platform.request_lines().into_iter().filter(|p| p.contains("follow=1")).collect::<Vec<_>>();
    wait_until("the first watch", || watches().len() == 1);
    platform.publish(false, vec![]);
    platform.drop_watches();
    platform.publish(false, vec![listed_endpoint("s-9", other.addr, "one", 9, "Ready")]);
    wait_until("a second watch", || watches().len() >= 2);
    assert!(watches()[1].contains("since=8"), "{:?}", platform.request_lines());
    wait_until("the destination to be known", || sender.client().put("a1", "c=pay,d=15000,dest=9") == "+OK");
    other.wait_sent("a1");
}

/// Keeps `size` idle client connections open, replacing them one after another, until `stop` is set.
fn idle_crowd(addr: std::net::SocketAddr, size: usize, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut connections: Vec<Option<TcpStream>> = (0..size).map(|_| None).collect();
        for place in (0..size).cycle() {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            // The assignment closes the old connection only after the new connection is open.
            connections[place] = TcpStream::connect(addr).ok();
            thread::sleep(Duration::from_millis(if place % 8 == 0 { 4 } else { 0 }));
        }
    })
}

#[test]
fn idle_clients_that_fill_the_descriptors_do_not_keep_discovery_out_at_its_return() {
    let (drained, fresh) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let known = listed_endpoint("s-1", drained.addr, "one", 3, "Ready");
    let (platform, down) = (Platform::new(Vec::new()), RefusingAddress::new());
    let mut sender = Sender::with(&platform, |c| {
        c["limits"]["sockets"] = 96.into();
        c["known"] = serde_json::json!({"index": 7, "snapshot": true, "endpoints": [known]});
        c["discovery"] = down.addr.to_string().into();
    });
    sender.kill();
    sender.max_files = Some(96);
    sender.spawn();
    sender.client().ping();
    let stop = Arc::new(AtomicBool::new(false));
    let connections = idle_crowd(sender.addr, 400, stop.clone());
    thread::sleep(Duration::from_secs(3));
    let lines = [
        listed_endpoint("s-1", drained.addr, "one", 3, "Terminating"),
        listed_endpoint("s-2", fresh.addr, "one", 3, "Ready"),
    ];
    let list = serde_json::json!({"index": 8, "snapshot": true, "endpoints": lines}).to_string();
    let returned = Instant::now();
    let discovery = ScriptedPlatform::at(down.listen(), move |request, _, stream| match &*request.line {
        l if l.contains("follow") => {
            begin_chunked(stream);
            write_chunk(stream, &format!("{list}\n"));
        }
        l if l.contains("/v1/servers") => write_answer(stream, 200, &list),
        _ => write_answer(stream, 204, ""),
    });
    wait_until("the drain in the journal", || sender.journal_contains("s-1"));
    assert!(
        returned.elapsed() < Duration::from_secs(6),
        "took {:?}, expected less than {:?}",
        returned.elapsed(),
        Duration::from_secs(6)
    );
    for n in 0..10 {
        let id = format!("a{n}");
        // Among so many connections, a new one may be closed before its request is read: retry.
        wait_until("an accepted put", || {
            sender.try_put(&id, "c=sync,d=15000,dest=3").as_deref() == Some("+OK")
        });
        fresh.wait_sent(&id);
    }
    stop.store(true, Ordering::SeqCst);
    connections.join().unwrap();
    assert!(sender.is_running() && drained.sent().is_empty());
    assert!(!discovery.request_times("watch").is_empty());
}
