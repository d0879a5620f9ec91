//! Clients that send many commands at once.
//! Guards against requests without an answer, and against connections that wait for each other's memory.

mod common;
use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Number of clients that send at once.
const CLIENTS: usize = 24;
/// Number of commands that each client sends at once.
const COMMANDS: usize = 400;

/// Starts a sender whose memory holds fewer messages without a reply than two connections may start together.
fn sender_with_little_memory() -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with(&platform, |c| c["limits"]["memory_mb"] = 1.into());
    sender.client().ping();
    (endpoint, platform, sender)
}

/// Returns the commands of one client, each with a message of its own.
fn commands(client: usize, body: &[u8]) -> Vec<u8> {
    let command = |n| put(&format!("{client:04x}{n:04x}"), "c=sync,d=15000,dest=3,t=acme", body);
    (0..COMMANDS).flat_map(command).collect()
}

/// Connects `CLIENTS` clients, each of which writes its commands on a thread of its own.
fn send_at_once(sender: &Sender) -> Vec<(TcpStream, thread::JoinHandle<()>)> {
    let connect = |client| {
        let stream = TcpStream::connect(sender.addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut writer = stream.try_clone().unwrap();
        // Writing fails once the client has left.
        let writing = thread::spawn(move || _ = writer.write_all(&commands(client, b"x")));
        (stream, writing)
    };
    (0..CLIENTS).map(connect).collect()
}

// Connections waited for each other: each kept the memory of its first messages while it waited for that of its next.
#[test]
fn every_command_of_many_clients_that_send_at_once_is_answered() {
    let (_endpoint, _platform, sender) = sender_with_little_memory();
    let clients = send_at_once(&sender);
    for (stream, writing) in clients {
        let answers = BufReader::new(stream).lines().take(COMMANDS).map_while(Result::ok).collect::<Vec<_>>();
        assert_eq!(answers.len(), COMMANDS, "answers of one client");
        assert!(answers.iter().all(|a| a == "+OK" || a.starts_with("-BUSY")), "{answers:?}");
        writing.join().unwrap();
    }
}

// Clients that had sent much and gone left connections behind that waited for each other for ever.
#[test]
fn a_client_is_answered_after_many_clients_have_sent_at_once_and_gone() {
    let (endpoint, _platform, sender) = sender_with_little_memory();
    let clients = send_at_once(&sender);
    thread::sleep(Duration::from_millis(500));
    for (stream, writing) in clients {
        _ = stream.shutdown(std::net::Shutdown::Both);
        drop(stream);
        writing.join().unwrap();
    }
    wait_until("a message to be taken on", || {
        let mut client = sender.client();
        client.stream.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
        client.put("sound", "c=sync,d=15000,dest=3") == "+OK"
    });
    endpoint.wait_sent("sound");
}

/// Number of commands of one connection that are processed together.
const GROUP: usize = 64;

/// Starts a sender that may hold all the messages of one client.
fn sender_with_much_room() -> (Endpoint, Platform, Sender) {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with(&platform, |c| c["settings"]["Limits"]["MaxOpen"] = 1000.into());
    sender.client().ping();
    (endpoint, platform, sender)
}

// Requests that followed in the input of a client that had left were taken on and sent.
#[test]
fn a_client_that_sends_much_and_leaves_has_at_most_one_group_of_requests_taken_on() {
    let (endpoint, _platform, sender) = sender_with_much_room();
    for client in 0..8 {
        let mut stream = TcpStream::connect(sender.addr).unwrap();
        stream.write_all(&commands(client, b"x")).unwrap();
        drop(stream);
        thread::sleep(Duration::from_millis(200));
    }
    // A message that was taken on is called within this time.
    thread::sleep(Duration::from_secs(2));
    let called = endpoint.sent();
    for client in 0..8 {
        let count = called.iter().filter(|id| id.starts_with(&format!("{client:04x}"))).count();
        assert!(count <= GROUP, "{count} messages of client {client} were called");
    }
}

// Guards against a client that has only closed its sending side and is taken for one that has left.
#[test]
fn a_client_that_closes_its_sending_side_gets_a_true_answer_to_each_request() {
    let (endpoint, _platform, sender) = sender_with_much_room();
    let mut stream = TcpStream::connect(sender.addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(&commands(0, b"x")).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answers: Vec<String> = BufReader::new(stream).lines().map_while(Result::ok).collect();
    assert_eq!(answers.len(), COMMANDS);
    for (n, answer) in answers.iter().enumerate() {
        let id = format!("{:04x}{n:04x}", 0);
        match answer.as_str() {
            "+OK" => endpoint.wait_sent(&id),
            busy => assert!(busy.starts_with("-BUSY") && endpoint.call_count(&id) == 0, "{id}: {busy}"),
        }
    }
}
