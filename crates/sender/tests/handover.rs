//! One process replaced by another while clients come and calls are out.

mod common;
use common::*;
use std::collections::HashSet;
use std::os::fd::AsRawFd;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
const PAY: &str = "c=pay,d=15000,dest=3";

/// A sender whose listening socket is held by someone else, as the platform does where processes are replaced.
struct Held {
    listener: std::net::TcpListener,
    addr: std::net::SocketAddr,
    folder: tempfile::TempDir,
    /// Processes, with their doors.
    running: Vec<(Child, std::net::SocketAddr)>,
}

impl Held {
    fn new(platform: &Platform) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let mut config = config(addr, platform, 1024);
        // Room for all that a test hands in at once: on a slow machine some would be handed back for want of it.
        config["settings"]["Limits"]["MaxOpen"] = 400.into();
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        Held { listener, addr, folder, running: Vec::new() }
    }

    /// Starts a process beside those that run; its number.
    fn start(&mut self) -> usize {
        let spare = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let door = spare.local_addr().unwrap();
        drop(spare);
        // A copy that does not close at exec, as the listener itself does.
        let inherit = rustix::io::dup(&self.listener).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_embershore"))
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("LB_STATE", self.folder.path().join("state"))
            .env("LB_MGMT", door.to_string())
            .env("LB_SOCKET_FD", inherit.as_raw_fd().to_string())
            .spawn()
            .unwrap();
        self.running.push((child, door));
        self.running.len() - 1
    }

    fn ready(&self, n: usize) -> bool {
        mgmt_request(self.running[n].1, "GET /_ready").is_some_and(|(status, _)| status == 200)
    }

    fn wait_ready(&self, n: usize) {
        wait_until("the process to be ready", || self.ready(n));
    }

    fn client(&self) -> Client {
        Client::new(self.addr)
    }

    fn signal(&self, n: usize, name: &str) {
        signal(&self.running[n].0, name);
    }

    fn wait_exit(&mut self, n: usize) -> std::process::ExitStatus {
        let mut status = None;
        wait_until("the process to end", || {
            status = self.running[n].0.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        for (child, _) in &mut self.running {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

fn one(script: impl Fn(&Request) -> StubResponse + Send + Sync + 'static) -> (Endpoint, Platform, Held) {
    let endpoint = Endpoint::new(script);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut held = Held::new(&platform);
    held.start();
    held.wait_ready(0);
    (endpoint, platform, held)
}

#[test]
fn the_next_process_takes_over_what_is_held_and_the_first_one_leaves() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![placeholder(3)]);
    let mut held = Held::new(&platform);
    held.start();
    held.wait_ready(0);
    let mut client = held.client();
    assert_eq!(client.put("a1", PAY), "+OK");
    held.start();
    held.wait_ready(1);
    // The first one closes its clients' connections and ends by itself; all else goes on.
    assert_eq!(client.read(), "");
    assert!(held.wait_exit(0).success());
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    endpoint.wait_sent("a1");
    assert_eq!(held.client().put("a2", PAY), "+OK");
    endpoint.wait_sent("a2");
    assert_eq!((endpoint.call_count("a1"), endpoint.call_count("a2")), (1, 1));
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_that_is_out_stays_with_its_process_and_its_outcome_counts() {
    let gate = Gate::default();
    let waits = gate.clone();
    let (endpoint, platform, mut held) = one(move |r| {
        if r.ids() == ["a1"] {
            waits.wait();
        }
        status(200)
    });
    assert_eq!(held.client().put("a1", PAY), "+OK");
    wait_until("the call", || std::fs::read(held.folder.path().join("state/journal")).unwrap().len() > 100);
    thread::sleep(Duration::from_millis(100));
    held.start();
    held.wait_ready(1);
    // The message is held by the second process, and is not sent by it.
    let door = held.running[1].1;
    wait_until("the message", || mgmt_request(door, "GET /_vars").unwrap().1.contains("\"outstanding\":1"));
    assert!(held.running[0].0.try_wait().unwrap().is_none(), "it has a call out");
    gate.open();
    wait_until("its end", || mgmt_request(door, "GET /_vars").unwrap().1.contains("\"outstanding\":0"));
    assert!(mgmt_request(door, "GET /_vars").unwrap().1.contains("\"succeeded\":{\"pay\":1"));
    assert!(held.wait_exit(0).success());
    assert_eq!(endpoint.call_count("a1"), 1);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_process_that_dies_with_a_call_out_leaves_it_open_whether_it_ran() {
    let (endpoint, platform, mut held) =
        one(|r| if r.ids()[0].starts_with('a') { StubResponse::Silence } else { status(200) });
    assert_eq!(held.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    held.start();
    held.wait_ready(1);
    held.signal(0, "-KILL");
    platform.wait_notice("a1", "failed");
    assert_eq!(endpoint.call_count("a1"), 1);
    assert_eq!(held.client().put("b1", SYNC), "+OK");
    endpoint.wait_sent("b1");
}

#[test]
fn a_wait_binds_the_next_process() {
    let told = AtomicBool::new(false);
    let (endpoint, _platform, mut held) = one(move |_| {
        let first = !told.swap(true, Ordering::SeqCst);
        let wait = vec![("x-retry-in-ms", "2500".to_string())];
        if first { StubResponse::Answer(429, wait, String::new()) } else { status(200) }
    });
    assert_eq!(held.client().put("a1", PAY), "+OK");
    endpoint.wait_sent("a1");
    let since = Instant::now();
    thread::sleep(Duration::from_millis(100));
    held.start();
    held.wait_ready(1);
    assert!(held.wait_exit(0).success());
    assert_eq!(held.client().put("a2", SYNC), "+OK");
    wait_until("both", || endpoint.call_count("a1") == 2 && endpoint.call_count("a2") == 1);
    assert!(since.elapsed() >= Duration::from_millis(2400), "{:?}", since.elapsed());
}

#[test]
fn a_wait_told_to_the_first_process_stops_a_connection_of_the_next_that_is_coming_up() {
    let gate = Gate::default();
    let waits = gate.clone();
    let (endpoint, platform, mut held) = one(move |_| {
        waits.wait();
        StubResponse::Answer(429, vec![("x-retry-in-ms", "2500".to_string())], String::new())
    });
    assert_eq!(held.client().put("a1", PAY), "+OK");
    wait_until("the call", || std::fs::read(held.folder.path().join("state/journal")).unwrap().len() > 100);
    held.start();
    held.wait_ready(1);
    let mut other = FullBacklogEndpoint::new();
    platform.publish(false, vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Terminating")]);
    platform.publish(false, vec![listed_endpoint("s-2", other.addr, "one", 3, "Ready")]);
    wait_until("a client", || held.client().put("b1", SYNC) == "+OK");
    // Its connection is on its way. The first process ends once it has passed on what its call was told.
    thread::sleep(Duration::from_millis(150));
    let told = Instant::now();
    gate.open();
    assert!(held.wait_exit(0).success());
    while other.calls.is_empty() && told.elapsed() < TEST_TIMEOUT {
        other.accept_and_read();
        thread::sleep(Duration::from_millis(1));
    }
    assert!(!other.calls.is_empty() && told.elapsed() >= Duration::from_millis(2400), "{:?}", told.elapsed());
}

#[test]
fn what_had_not_begun_in_a_process_that_dies_has_not_run() {
    let mut full_backlog = FullBacklogEndpoint::new();
    let platform = Platform::new(vec![listed_endpoint("s-1", full_backlog.addr, "one", 3, "Ready")]);
    let mut held = Held::new(&platform);
    held.start();
    held.wait_ready(0);
    assert_eq!(held.client().put("a1", PAY), "+OK");
    thread::sleep(Duration::from_millis(50));
    held.start();
    held.wait_ready(1);
    held.signal(0, "-KILL");
    wait_until("the call", || {
        full_backlog.accept_and_read();
        full_backlog.calls.concat().contains("a1")
    });
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

#[test]
fn a_command_cut_at_any_byte_across_the_replacement_gets_one_answer() {
    let (endpoint, _platform, mut held) = one(|_| status(200));
    let whole = put("a00", &format!("{SYNC},t=acme"), b"hello");
    let mut clients: Vec<(Client, usize)> = Vec::new();
    for cut in 1..whole.len() {
        let mut client = held.client();
        let id = format!("a{cut:02}");
        client.write(&put(&id, &format!("{SYNC},t=acme"), b"hello")[..cut]);
        clients.push((client, cut));
    }
    // All have been let in by the first process once one that came later is answered.
    held.client().ping();
    held.start();
    held.wait_ready(1);
    for (client, cut) in &mut clients {
        let id = format!("a{cut:02}");
        client.write(&put(&id, &format!("{SYNC},t=acme"), b"hello")[*cut..]);
    }
    for (client, cut) in &mut clients {
        let answer = client.read();
        assert!(answer == "+OK" || answer.starts_with("-BUSY"), "cut at {cut}: {answer:?}");
        assert_eq!(client.read(), "", "cut at {cut}: one answer, and then the end");
        if answer == "+OK" {
            endpoint.wait_sent(&format!("a{cut:02}"));
        }
    }
    assert!(held.wait_exit(0).success());
    let sent = endpoint.sent();
    assert_eq!(sent.len(), sent.iter().collect::<HashSet<_>>().len(), "nothing twice");
}

#[test]
fn an_owner_that_is_stopped_is_waited_for_and_never_written_beside() {
    let (endpoint, platform, mut held) = one(|_| status(200));
    assert_eq!(held.client().put("a1", PAY), "+OK");
    // Its outcome has been read by then: stopped before that, it would have to count as one that may have run.
    let door = held.running[0].1;
    wait_until("its outcome", || {
        mgmt_request(door, "GET /_vars").unwrap().1.contains("\"succeeded\":{\"pay\":1")
    });
    held.signal(0, "-STOP");
    let before = std::fs::read(held.folder.path().join("state/journal")).unwrap();
    let started = Instant::now();
    held.start();
    // It says yes in time, so that the platform ends the one that does not answer.
    held.wait_ready(1);
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    assert_eq!(std::fs::read(held.folder.path().join("state/journal")).unwrap(), before);
    held.signal(0, "-KILL");
    wait_until("the second to serve", || held.client().put("a2", PAY) == "+OK");
    endpoint.wait_sent("a2");
    assert_eq!(endpoint.call_count("a1"), 1);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_newcomer_that_dies_or_stalls_leaves_the_owner_serving() {
    let (endpoint, _platform, mut held) = one(|_| status(200));
    // Killed at many moments of its start.
    for n in 0..12 {
        let newcomer = held.start();
        thread::sleep(Duration::from_millis(3 * n));
        _ = held.running[newcomer].0.kill();
        _ = held.running[newcomer].0.wait();
        let id = format!("a{n}");
        // Either it had not taken over, and the first one serves on, or it had: then the first one ends, and the
        // next to start goes on with the journal.
        let mut served = false;
        wait_until("an answer or the end", || {
            let mut client = held.client();
            client.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
            served = client.put(&id, SYNC) == "+OK";
            served || held.running[0].0.try_wait().unwrap().is_some()
        });
        if !served {
            let next = held.start();
            held.wait_ready(next);
            assert_eq!(held.client().put("last", SYNC), "+OK");
            endpoint.wait_sent("last");
            return;
        }
        endpoint.wait_sent(&id);
    }
}

#[test]
fn the_next_process_goes_by_discoverys_word_and_not_by_an_older_list() {
    let (old, new) = (Endpoint::new(|_| status(200)), Endpoint::new(|_| status(200)));
    let first = listed_endpoint("s-1", old.addr, "one", 3, "Ready");
    let platform = Platform::new(vec![first.clone()]);
    let mut held = Held::new(&platform);
    // The list that each process is given with its configuration is the one from before.
    let path = held.folder.path().join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    config["known"] = serde_json::json!({"index": 7, "snapshot": true, "endpoints": [first]});
    std::fs::write(&path, config.to_string()).unwrap();
    held.start();
    held.wait_ready(0);
    platform.publish(
        false,
        vec![
            listed_endpoint("s-2", new.addr, "one", 3, "Ready"),
            listed_endpoint("s-1", old.addr, "one", 3, "Gone"),
        ],
    );
    for n in 1..4 {
        held.start();
        held.wait_ready(n);
        let id = format!("a{n}");
        wait_until("a client", || held.client().put(&id, PAY) == "+OK");
        new.wait_sent(&id);
    }
    assert!(old.sent().is_empty());
    assert!(platform.notices().is_empty());
}

#[test]
fn replacements_one_after_another_and_two_newcomers_at_once() {
    let (endpoint, platform, mut held) = one(|_| status(200));
    for n in 0..3 {
        let (first, second) = (held.start(), held.start());
        // One takes over from the owner, and the other from that one.
        wait_until("one of them alone", || held.ready(first) ^ held.ready(second));
        let id = format!("a{n}");
        wait_until("a client", || held.client().put(&id, SYNC) == "+OK");
        endpoint.wait_sent(&id);
    }
    assert!(platform.notices().is_empty());
}

#[test]
fn under_load_nothing_is_lost_or_done_twice() {
    let (endpoint, platform, mut held) = one(|_| {
        thread::sleep(Duration::from_millis(5));
        status(200)
    });
    let (stop, taken, gone) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
    let addr = held.addr;
    let clients: Vec<_> = (0..6)
        .map(|c| {
            let (stop, taken, gone) = (stop.clone(), taken.clone(), gone.clone());
            thread::spawn(move || {
                let mut client = Client::new(addr);
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("m{c}x{n}");
                    match client.put(&id, PAY).as_str() {
                        "+OK" => taken.lock().unwrap().push(id),
                        // Closed between requests; what crosses that goes once more on a new connection.
                        "" => {
                            client = Client::new(addr);
                            match client.put(&id, PAY).as_str() {
                                "+OK" => taken.lock().unwrap().push(id),
                                other => *gone.lock().unwrap() += usize::from(!other.starts_with("-BUSY")),
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
        let n = held.start();
        held.wait_ready(n);
        held.signal(n - 1, "-TERM");
        assert!(held.wait_exit(n - 1).success());
    }
    thread::sleep(Duration::from_millis(200));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let taken = taken.lock().unwrap();
    assert!(taken.len() > 50);
    // Each is delivered, or handed back for want of room, and none both.
    wait_until("the end of each", || {
        let sent: HashSet<String> = endpoint.sent().into_iter().collect();
        taken.iter().all(|id| sent.contains(id) ^ (platform.notice_state(id).as_deref() == Some("returned")))
    });
    let sent = endpoint.sent();
    assert_eq!(sent.len(), sent.iter().collect::<HashSet<_>>().len(), "nothing twice");
    assert!(platform.notices().len() < taken.len() / 4);
    assert_eq!(*gone.lock().unwrap(), 0, "no message ended at the door");
}
