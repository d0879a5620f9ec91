//! Replacement of a running sender process by another while clients connect and calls are in flight.
//! Guards against messages that are lost because neither process considers itself their owner.
//! Guards against messages that are sent twice because both processes consider themselves their owner.

mod common;
use common::shared_socket::SharedSocket;
use common::silent_discovery::SilentDiscovery;
use common::*;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";

fn start_first(
    script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static,
) -> (Endpoint, Platform, SharedSocket) {
    let endpoint = Endpoint::new(script);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut processes = SharedSocket::new(&platform);
    processes.start();
    processes.wait_ready(0);
    (endpoint, platform, processes)
}

#[test]
fn the_next_process_takes_over_what_is_held_and_the_first_one_leaves() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![placeholder(3)]);
    let mut processes = SharedSocket::new(&platform);
    processes.start();
    processes.wait_ready(0);
    let mut client = processes.client();
    assert_eq!(client.put("a1", PAY), "+OK");
    processes.start();
    processes.wait_ready(1);
    // The first process closes its clients' connections and exits.
    // The second process takes over all other work, such as the open message a1.
    assert_eq!(client.read(), "");
    assert!(processes.wait_exit(0).success());
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    endpoint.wait_sent("a1");
    assert_eq!(processes.client().put("a2", PAY), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!((endpoint.call_count("a1"), endpoint.call_count("a2")), (1, 1));
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_in_flight_stays_with_its_process_and_its_outcome_counts() {
    let gate = Gate::default();
    let gate_of_endpoint = gate.clone();
    let (endpoint, platform, mut processes) = start_first(move |r| {
        if r.ids() == ["a1"] {
            gate_of_endpoint.wait();
        }
        status(200)
    });
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    wait_until("a record of the call in the journal", || {
        std::fs::read(processes.folder.path().join("state/journal")).unwrap().len() > 100
    });
    thread::sleep(Duration::from_millis(100));
    processes.start();
    processes.wait_ready(1);
    // The second process has received the message, but does not send the message.
    let mgmt = processes.running[1].1;
    wait_until("one open message in the second process", || {
        mgmt_request(mgmt, "GET /_vars").unwrap().1.contains("\"outstanding\":1")
    });
    assert!(
        processes.running[0].0.try_wait().unwrap().is_none(),
        "the first process exited with a call in flight"
    );
    gate.open();
    wait_until("the end of the message in the second process", || {
        mgmt_request(mgmt, "GET /_vars").unwrap().1.contains("\"outstanding\":0")
    });
    assert!(mgmt_request(mgmt, "GET /_vars").unwrap().1.contains("\"succeeded\":{\"pay\":1"));
    assert!(processes.wait_exit(0).success());
    assert_eq!(endpoint.call_count("a1"), 1);
    assert!(platform.notices().is_empty());
}

// Guards against a payout that the next process returns while its last allowed call is in flight in the replaced process.
// Its client hands a returned payout in again, and it is paid out twice.
#[test]
fn the_last_allowed_call_in_flight_decides_how_its_message_ends() {
    for (last_status, end) in [(200, None), (503, Some("returned")), (500, Some("failed"))] {
        let (calls, gate) = (Arc::new(AtomicUsize::new(0)), Gate::default());
        let (calls_of_endpoint, gate_of_endpoint) = (calls.clone(), gate.clone());
        let endpoint = Endpoint::new(move |request| {
            if request.ids() != ["a1"] {
                return status(200);
            }
            if calls_of_endpoint.fetch_add(1, Ordering::SeqCst) == 0 {
                return status(503);
            }
            gate_of_endpoint.wait();
            status(last_status)
        });
        let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
        let mut processes =
            SharedSocket::with(&platform, |config| config["settings"]["Limits"]["MaxAttempts"] = 2.into());
        processes.start();
        processes.wait_ready(0);
        assert_eq!(processes.client().put("a1", PAY), "+OK");
        wait_until("the second call with a1", || calls.load(Ordering::SeqCst) == 2);
        processes.start();
        processes.wait_ready(1);
        thread::sleep(Duration::from_millis(300));
        assert!(platform.notices().is_empty(), "ended with a call in flight: {:?}", platform.notices());
        let vars = || mgmt_request(processes.running[1].1, "GET /_vars").unwrap().1;
        assert!(vars().contains("\"outstanding\":1"), "{}", vars());
        gate.open();
        match end {
            Some(state) => platform.wait_notice("a1", state),
            None => {
                wait_until("the payout to count as delivered", || vars().contains("\"succeeded\":{\"pay\":1"))
            }
        }
        assert!(processes.wait_exit(0).success());
        assert_eq!(calls.load(Ordering::SeqCst), 2);
        assert_eq!(platform.notices().len(), usize::from(end.is_some()), "{:?}", platform.notices());
    }
}

#[test]
fn a_call_in_flight_in_a_process_that_dies_may_have_run() {
    let (endpoint, platform, mut processes) =
        start_first(|r| if r.ids()[0].starts_with('a') { StubResponse::Silence } else { status(200) });
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    processes.start();
    processes.wait_ready(1);
    processes.signal(0, "-KILL");
    platform.wait_notice("a1", "failed");
    assert_eq!(endpoint.call_count("a1"), 1);
    assert_eq!(processes.client().put("b1", SYNC), "+OK");
    endpoint.wait_sent("b1");
}

#[test]
fn a_wait_binds_the_next_process() {
    let wait_advertised = AtomicBool::new(false);
    let (endpoint, _platform, mut processes) = start_first(move |_| {
        let first = !wait_advertised.swap(true, Ordering::SeqCst);
        let wait = vec![("x-retry-in-ms", "2500".to_string())];
        if first { StubResponse::Answer(429, wait, String::new()) } else { status(200) }
    });
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    let since = Instant::now();
    thread::sleep(Duration::from_millis(100));
    processes.start();
    processes.wait_ready(1);
    assert!(processes.wait_exit(0).success());
    assert_eq!(processes.client().put("a2", SYNC), "+OK");
    wait_until("the second call with a1 and a call with a2", || {
        endpoint.call_count("a1") == 2 && endpoint.call_count("a2") == 1
    });
    assert!(
        since.elapsed() >= Duration::from_millis(2400),
        "took {:?}, expected at least {:?}",
        since.elapsed(),
        Duration::from_millis(2400)
    );
}

#[test]
fn a_wait_told_to_the_first_process_stops_a_connection_of_the_next_that_is_coming_up() {
    let gate = Gate::default();
    let gate_of_endpoint = gate.clone();
    let (endpoint, platform, mut processes) = start_first(move |_| {
        gate_of_endpoint.wait();
        StubResponse::Answer(429, vec![("x-retry-in-ms", "2500".to_string())], String::new())
    });
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    wait_until("a record of the call in the journal", || {
        std::fs::read(processes.folder.path().join("state/journal")).unwrap().len() > 100
    });
    processes.start();
    processes.wait_ready(1);
    let mut other = FullBacklogEndpoint::new();
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Terminating")]);
    platform.publish(false, vec![listed_endpoint("s-2", other.addr, "one", 3, "Ready")]);
    wait_until("an accepted put", || processes.client().put("b1", SYNC) == "+OK");
    // The second process is now establishing its connection to the new endpoint.
    // The first process exits once it has forwarded the wait that the answer to its call advertised.
    thread::sleep(Duration::from_millis(150));
    let released_at = Instant::now();
    gate.open();
    assert!(processes.wait_exit(0).success());
    while other.calls.is_empty() && released_at.elapsed() < TEST_TIMEOUT {
        other.accept_and_read();
        thread::sleep(Duration::from_millis(1));
    }
    assert!(
        !other.calls.is_empty() && released_at.elapsed() >= Duration::from_millis(2400),
        "the second process called after {:?}, expected at least 2.4 s; calls: {:?}",
        released_at.elapsed(),
        other.calls
    );
}

#[test]
fn what_had_not_begun_in_a_process_that_dies_has_not_run() {
    let mut full_backlog = FullBacklogEndpoint::new();
    let platform = Platform::new(vec![listed_endpoint("s-1", full_backlog.addr, "one", 3, "Ready")]);
    let mut processes = SharedSocket::new(&platform);
    processes.start();
    processes.wait_ready(0);
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    thread::sleep(Duration::from_millis(50));
    processes.start();
    processes.wait_ready(1);
    processes.signal(0, "-KILL");
    wait_until("a record of the call in the journal", || {
        full_backlog.accept_and_read();
        full_backlog.calls.concat().contains("a1")
    });
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

#[test]
fn a_command_cut_at_any_byte_across_the_replacement_gets_one_answer() {
    let (endpoint, _platform, mut processes) = start_first(|_| status(200));
    let command = put("a00", &format!("{SYNC},t=acme"), b"hello");
    let mut clients: Vec<(Client, usize)> = Vec::new();
    for cut in 1..command.len() {
        let mut client = processes.client();
        let id = format!("a{cut:02}");
        client.write(&put(&id, &format!("{SYNC},t=acme"), b"hello")[..cut]);
        clients.push((client, cut));
    }
    // Once a later client is answered, the first process has accepted all earlier connections.
    processes.client().ping();
    processes.start();
    processes.wait_ready(1);
    for (client, cut) in &mut clients {
        let id = format!("a{cut:02}");
        client.write(&put(&id, &format!("{SYNC},t=acme"), b"hello")[*cut..]);
    }
    for (client, cut) in &mut clients {
        let answer = client.read();
        assert!(answer == "+OK" || answer.starts_with("-BUSY"), "cut at {cut}: {answer:?}");
        assert_eq!(client.read(), "", "cut at {cut}: expected the end of the connection after one answer");
        if answer == "+OK" {
            endpoint.wait_sent(&format!("a{cut:02}"));
        }
    }
    assert!(processes.wait_exit(0).success());
    let sent = endpoint.sent();
    assert_eq!(sent.len(), sent.iter().collect::<HashSet<_>>().len(), "a message was sent twice: {sent:?}");
}

// Guards against a refusal of a message that a dead successor may have accepted: its client submits it again, and the
// next process sends it as well.
#[test]
fn a_forwarded_message_is_not_refused_when_the_successor_dies_before_its_reply() {
    const PUSH: &str = "c=push,d=20000,dest=3,k=5c0f6e1a2b3d4c59";
    for (fields, expected) in
        [(PAY, "-ERR the message failed"), (PUSH, "-ERR the message failed"), (SYNC, "-BUSY")]
    {
        let (_endpoint, _platform, mut processes) = start_first(|_| status(200));
        let command = put("a1", &format!("{fields},t=acme"), b"hello");
        let (begin, rest) = command.split_at(command.len() / 2);
        let mut client = processes.client();
        client.write(begin);
        // Once a later client is answered, the first process has accepted the earlier connection.
        processes.client().ping();
        processes.start();
        processes.wait_ready(1);
        processes.signal(1, "-STOP");
        client.write(rest);
        // The first process forwards the message in this time.
        thread::sleep(Duration::from_millis(200));
        processes.signal(1, "-KILL");
        let reply = client.read();
        assert!(reply.starts_with(expected), "{fields}: {reply}");
    }
}

#[test]
fn a_stopped_owner_is_waited_for_and_its_journal_is_not_written() {
    let (endpoint, platform, mut processes) = start_first(|_| status(200));
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    // The outcome must be read before the process is stopped: otherwise the message counts as possibly processed.
    let mgmt = processes.running[0].1;
    wait_until("the outcome of a1 in the metrics", || {
        mgmt_request(mgmt, "GET /_vars").unwrap().1.contains("\"succeeded\":{\"pay\":1")
    });
    processes.signal(0, "-STOP");
    let before = std::fs::read(processes.folder.path().join("state/journal")).unwrap();
    let started = Instant::now();
    processes.start();
    // The new process reports ready in time, so that the platform ends the stopped process.
    processes.wait_ready(1);
    assert!(
        started.elapsed() < Duration::from_secs(6),
        "took {:?}, expected less than {:?}",
        started.elapsed(),
        Duration::from_secs(6)
    );
    assert_eq!(std::fs::read(processes.folder.path().join("state/journal")).unwrap(), before);
    processes.signal(0, "-KILL");
    wait_until("the second process to accept a put", || processes.client().put("a2", PAY) == "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(endpoint.call_count("a1"), 1);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_replacement_that_dies_during_its_start_leaves_the_owner_serving() {
    let (endpoint, _platform, mut processes) = start_first(|_| status(200));
    // The new process is killed at a different moment of its start in each round.
    for n in 0..12 {
        let replacement = processes.start();
        thread::sleep(Duration::from_millis(3 * n));
        _ = processes.running[replacement].0.kill();
        _ = processes.running[replacement].0.wait();
        let id = format!("a{n}");
        // If the killed process had not taken over the journal, the first process continues to serve.
        // Otherwise the first process exits, and the next process that starts continues with the journal.
        let mut served = false;
        wait_until("an accepted put or the exit of the first process", || {
            let mut client = processes.client();
            client.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
            served = client.put(&id, SYNC) == "+OK";
            served || processes.running[0].0.try_wait().unwrap().is_some()
        });
        if !served {
            let next = processes.start();
            processes.wait_ready(next);
            assert_eq!(processes.client().put("last", SYNC), "+OK");
            endpoint.wait_sent("last");
            return;
        }
        endpoint.wait_sent(&id);
    }
}

#[test]
fn the_next_process_uses_discoverys_list_and_not_an_older_known_one() {
    let (old, new) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let first = listed_endpoint("s-1", old.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![first.clone()]);
    let mut processes = SharedSocket::new(&platform);
    // The configuration of each process contains the old endpoint list as its known list.
    let path = processes.folder.path().join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    config["known"] = serde_json::json!({"index": 7, "snapshot": true, "endpoints": [first]});
    std::fs::write(&path, config.to_string()).unwrap();
    processes.start();
    processes.wait_ready(0);
    platform.publish(
        false,
        vec![
            listed_endpoint("s-2", new.addr, "one", 3, "Ready"),
            listed_endpoint("s-1", old.addr, "one", 3, "Gone"),
        ],
    );
    for n in 1..4 {
        processes.start();
        processes.wait_ready(n);
        let id = format!("a{n}");
        wait_until("an accepted put", || processes.client().put(&id, PAY) == "+OK");
        new.wait_sent(&id);
    }
    assert!(old.sent().is_empty());
    assert!(platform.notices().is_empty());
}

#[test]
fn replacements_one_after_another_and_two_at_once() {
    let (endpoint, platform, mut processes) = start_first(|_| status(200));
    for n in 0..3 {
        let (first, second) = (processes.start(), processes.start());
        // One of the two new processes takes over from the running process.
        // The other new process then takes over from the new process that is running.
        wait_until("exactly one of the two to be ready", || processes.ready(first) ^ processes.ready(second));
        let id = format!("a{n}");
        wait_until("an accepted put", || processes.client().put(&id, SYNC) == "+OK");
        endpoint.wait_sent(&id);
    }
    assert!(platform.notices().is_empty());
}

#[test]
fn under_load_nothing_is_lost_or_done_twice() {
    let (endpoint, platform, mut processes) = start_first(|_| {
        thread::sleep(Duration::from_millis(5));
        status(200)
    });
    let (stop, accepted, failed_puts) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
    let addr = processes.addr;
    let clients: Vec<_> = (0..6)
        .map(|c| {
            let (stop, accepted, failed_puts) = (stop.clone(), accepted.clone(), failed_puts.clone());
            thread::spawn(move || {
                let mut client = Client::new(addr);
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("m{c}x{n}");
                    match client.put(&id, PAY).as_str() {
                        "+OK" => accepted.lock().unwrap().push(id),
                        // The connection was closed between requests: the request is sent again on a new one.
                        "" => {
                            client = Client::new(addr);
                            match client.put(&id, PAY).as_str() {
                                "+OK" => accepted.lock().unwrap().push(id),
                                other => {
                                    *failed_puts.lock().unwrap() += usize::from(!other.starts_with("-BUSY"))
                                }
                            }
                        }
                        busy => assert!(busy.starts_with("-BUSY"), "{busy}"),
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(300));
        let n = processes.start();
        processes.wait_ready(n);
        processes.signal(n - 1, "-TERM");
        assert!(processes.wait_exit(n - 1).success());
    }
    thread::sleep(Duration::from_millis(200));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let accepted = accepted.lock().unwrap();
    assert!(accepted.len() > 50);
    // Each message is either delivered or returned to the client for lack of room, not both.
    wait_until("each accepted message to be sent or returned", || {
        let sent: HashSet<String> = endpoint.sent().into_iter().collect();
        accepted
            .iter()
            .all(|id| sent.contains(id) ^ (platform.notice_state(id).as_deref() == Some("returned")))
    });
    let sent = endpoint.sent();
    assert_eq!(sent.len(), sent.iter().collect::<HashSet<_>>().len(), "a message was sent twice: {sent:?}");
    assert!(platform.notices().len() < accepted.len() / 4);
    assert_eq!(*failed_puts.lock().unwrap(), 0, "puts that ended without +OK or -BUSY on two connections");
}

/// Starts a first process, which has discovery's list, and then a second one while discovery is silent.
/// Neither has a list in its configuration.
fn second_process_without_a_list(discovery: &SilentDiscovery) -> SharedSocket {
    let mut processes = SharedSocket::with(&Platform::new(Vec::new()), |c| {
        c["discovery"] = discovery.platform.addr.to_string().into();
        c["known"] = serde_json::Value::Null;
    });
    processes.start();
    processes.wait_ready(0);
    discovery.set_silent(true);
    processes.start();
    // Longer than a starting process waits for a list before it uses the configured one.
    thread::sleep(Duration::from_millis(1500));
    processes
}

// The new process took the journal without a list, and nothing was delivered or answered until discovery was back.
#[test]
fn a_process_without_a_list_leaves_the_journal_to_one_that_has_a_list() {
    let endpoint = Endpoint::new(|_| status(200));
    let discovery = SilentDiscovery::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let processes = second_process_without_a_list(&discovery);
    assert_eq!(processes.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    assert!(processes.ready(0) && !processes.ready(1));
    discovery.set_silent(false);
    processes.wait_ready(1);
    wait_until("an accepted put", || processes.client().put("a2", PAY) == "+OK");
    endpoint.wait_sent("a2");
}

// The first process is ended although the new one has no list: what it had accepted must end in time all the same.
#[test]
fn a_process_without_a_list_takes_the_journal_when_the_one_before_it_ends() {
    let discovery = SilentDiscovery::new(vec![placeholder(3)]);
    let mut processes = second_process_without_a_list(&discovery);
    let deadline = Instant::now() + Duration::from_millis(5000);
    assert_eq!(processes.client().put("a1", "c=pay,d=5000,dest=3"), "+OK");
    processes.signal(0, "-KILL");
    processes.wait_exit(0);
    wait_until("a refusal", || processes.client().put("a2", PAY).starts_with("-BUSY"));
    wait_until("an end", || discovery.notice_time("a1").is_some());
    let late = discovery.notice_time("a1").unwrap().saturating_duration_since(deadline);
    assert!(late < Duration::from_millis(500), "ended {late:?} after its deadline");
}
