//! Forwarding by one sender with placement enabled, between scripted owners.
//! Guards against a wrong reply to the client for each answer, or missing answer, of an owner.
//! Guards against a second owner for a message that the first owner may have accepted.

mod common;
use bytes::BytesMut;
use common::*;
use embershore_placement::{MemberList, SeatId, ShardId, Table, shard};
use embershore_protocol::resp::{self, Put};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, LazyLock, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Destinations from which the forwarding tests choose.
const DESTINATIONS: RangeInclusive<i64> = 1..=60;
/// Seat of the sender under test.
const OWN_SEAT: SeatId = SeatId(0);
/// Time limit of the sender's reply to a client.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(400);
/// `MSG.PUT` fields of a message of each effect, with a time to the deadline that all classes allow.
const PUSH: &str = "c=push,d=15000,k=5c0f6e1a2b3d4c59";
const SYNC: &str = "c=sync,d=15000";
const PAY: &str = "c=pay,d=15000";

/// How a stub owner responds to a forwarded message.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Conduct {
    Answer(&'static str),
    /// Reads the message completely and closes the connection without an answer.
    Cut,
    /// Reads the message completely, does not answer, and keeps the connection open.
    Silent,
    /// Refuses the message. On a connection that has carried a message before, writes that one's answer again first.
    RepeatThenRefuse,
}

/// A stub owner that responds to forwarded messages according to its [`Conduct`].
struct ScriptedOwner {
    addr: SocketAddr,
    conduct: Arc<Mutex<Conduct>>,
    put: Arc<Mutex<Vec<Put>>>,
    connections: Arc<Mutex<usize>>,
}

impl ScriptedOwner {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (conduct, put) = (Arc::new(Mutex::new(Conduct::Answer("+OK"))), Arc::default());
        let owner = ScriptedOwner { addr, conduct, put, connections: Arc::default() };
        let (conduct, put, connections) =
            (owner.conduct.clone(), owner.put.clone(), owner.connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                *connections.lock().unwrap() += 1;
                let (conduct, put) = (conduct.clone(), put.clone());
                thread::spawn(move || serve(stream.unwrap(), &conduct, &put));
            }
        });
        owner
    }

    fn set_conduct(&self, conduct: Conduct) {
        *self.conduct.lock().unwrap() = conduct;
    }

    /// Returns the messages that the stub owner received completely.
    fn put(&self) -> Vec<Put> {
        self.put.lock().unwrap().clone()
    }

    fn saw(&self, id: &str) -> bool {
        self.put().iter().any(|put| put.request_id == id)
    }
}

fn serve(mut stream: TcpStream, conduct: &Mutex<Conduct>, put: &Mutex<Vec<Put>>) {
    let (mut unread, mut last_answer) = (BytesMut::new(), None);
    let mut piece = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        unread.extend_from_slice(&piece[..count]);
        while let Some(arguments) = resp::decode_command(&mut unread).unwrap() {
            put.lock().unwrap().push(resp::decode_put(&arguments).unwrap());
            let conduct = *conduct.lock().unwrap();
            match conduct {
                Conduct::Answer(line) => {
                    _ = stream.write_all(format!("{line}\r\n").as_bytes());
                    last_answer = Some(line);
                }
                Conduct::RepeatThenRefuse => {
                    let copy = last_answer.map_or(String::new(), |line| format!("{line}\r\n"));
                    _ = stream.write_all(copy.as_bytes());
                    // The copy arrives by itself, before the message's own answer.
                    thread::sleep(Duration::from_millis(20));
                    _ = stream.write_all(b"-BUSY 70\r\n");
                }
                Conduct::Cut => return,
                Conduct::Silent => {}
            }
        }
    }
}

fn member_list(addresses: [SocketAddr; 3]) -> Value {
    let seat = |index: usize| {
        json!({"region": "r1", "zone": format!("z{index}"), "rack": "r", "weight": 1.0,
               "member": {"name": format!("n{index}"), "address": addresses[index].to_string()}})
    };
    json!({"epoch": 1, "scheme": 1, "replicas": 2, "first": true, "regions": [{"name": "r1", "share": 1}],
           "seats": [seat(0), seat(1), seat(2)], "wide": []})
}

/// The table of owners. Owners do not depend on addresses, so the table is valid for all member lists of these tests.
static TABLE: LazyLock<Table> = LazyLock::new(|| {
    let list = member_list([1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port))));
    Table::build(&MemberList::parse_json(list.to_string().as_bytes()).unwrap())
});

fn owners(dest: i64) -> &'static [SeatId] {
    let shard: ShardId = shard(dest);
    TABLE.owners(shard)
}

/// Returns the destinations that the sender under test owns, or the destinations that it does not own.
fn destinations(own: bool) -> Vec<i64> {
    DESTINATIONS.filter(|dest| owners(*dest).contains(&OWN_SEAT) == own).collect()
}

/// A sender with placement enabled, and the stub owners, platform and endpoint around the sender.
struct Rig {
    sender: Sender,
    forward: SocketAddr,
    owners: [ScriptedOwner; 2],
    control: Endpoint,
    receiver: Endpoint,
    _platform: Platform,
}

impl Rig {
    fn start() -> Self {
        let receiver = Endpoint::new(|_| status(200));
        let lines = DESTINATIONS
            .map(|dest| listed_endpoint(&format!("e{dest}"), receiver.addr, "one", dest, "Ready"));
        let platform = Platform::new(lines.collect());
        let owners = [ScriptedOwner::new(), ScriptedOwner::new()];
        let mut sender = Sender::with_mgmt(&platform);
        sender.kill();
        // The sender has its own loopback address, on which no other process is given a port.
        let forward = SocketAddr::new(sender.addr.ip(), sender.addr.port() ^ 1);
        let list = member_list([forward, owners[0].addr, owners[1].addr]).to_string();
        let control = Endpoint::new(move |_| status_with(&list));
        let options = format!(
            "[placement]\nname = \"n0\"\nlisten = \"{forward}\"\ncontrol = [\"{}\"]\nlease = \"2s\"\nask_every = \"250ms\"\n",
            control.addr
        );
        std::fs::write(sender.folder.path().join("options.toml"), options).unwrap();
        sender.spawn();
        sender.client().ping();
        let rig = Rig { sender, forward, owners, control, receiver, _platform: platform };
        wait_until("epoch 1 and the endpoints of the owned shards", || {
            rig.metrics()["epoch"] == 1 && rig.metrics()["unread_shards"] == 0
        });
        rig
    }

    fn metrics(&self) -> Value {
        self.sender.metrics()["placement"].clone()
    }

    /// Puts a message and returns the reply, which must come within [`MAX_ANSWER_TIME`].
    fn put(&self, id: &str, fields: &str, dest: i64) -> String {
        let mut client = self.sender.client();
        let started = Instant::now();
        let answer = client.put(id, &format!("{fields},dest={dest}"));
        assert!(started.elapsed() < MAX_ANSWER_TIME, "{id}: {answer} after {:?}", started.elapsed());
        answer
    }

    fn set_conduct(&self, conduct: Conduct) {
        self.owners.iter().for_each(|owner| owner.set_conduct(conduct));
    }

    /// Returns how many stub owners received a message.
    fn seen_by(&self, id: &str) -> usize {
        self.owners.iter().filter(|owner| owner.saw(id)).count()
    }
}

fn status_with(body: &str) -> StubResponse {
    StubResponse::Answer(200, Vec::new(), body.to_string())
}

#[test]
fn an_owned_destination_is_served_here_and_another_is_passed_on_once() {
    let rig = Rig::start();
    let own = destinations(true);
    assert_eq!(
        rig.sender.metrics()["discovered"],
        own.len(),
        "only endpoints of owned destinations must be retained"
    );
    assert_eq!(rig.put("own", PAY, own[0]), "+OK");
    rig.receiver.wait_sent("own");
    let others = destinations(false);
    for (n, dest) in others.iter().enumerate() {
        assert_eq!(rig.put(&format!("other-{n}"), PUSH, *dest), "+OK");
        assert_eq!(rig.seen_by(&format!("other-{n}")), 1);
    }
    assert_eq!(rig.seen_by("own"), 0);
    let connections: usize = rig.owners.iter().map(|owner| *owner.connections.lock().unwrap()).sum();
    assert_eq!(connections, others.len(), "each message has a connection of its own");
    let put = rig.owners.iter().flat_map(ScriptedOwner::put).next().unwrap();
    assert_eq!((put.class.as_str(), put.tenant.as_str(), &put.body[..]), ("push", "acme", &b"hello"[..]));
    assert_eq!(put.idempotency_key.as_deref(), Some("5c0f6e1a2b3d4c59"));
    assert!((14_600_000..=15_000_000).contains(&put.time_left), "{}", put.time_left);
    let metrics = rig.metrics();
    assert_eq!(
        (&metrics["forwarded"]["taken"], &metrics["forwarded"]["unknown"]),
        (&others.len().into(), &0.into())
    );
    // A message that arrives at the forward address is served or refused, but not forwarded.
    let mut member = Client::new(rig.forward);
    assert_eq!(member.put("for-own", &format!("{SYNC},dest={}", own[1])), "+OK");
    let refused = member.put("for-other", &format!("{SYNC},dest={}", others[0]));
    assert!(refused.starts_with("-BUSY"), "{refused}");
    assert_eq!(rig.seen_by("for-other"), 0);
    assert_eq!(rig.metrics()["taken_for_others"], 1);
}

#[test]
fn each_answer_of_an_owner_gives_its_own_reply() {
    let rig = Rig::start();
    let dest = destinations(false)[0];
    rig.set_conduct(Conduct::Answer("-BUSY 700"));
    assert_eq!(rig.put("full", PAY, dest), "-BUSY 700");
    assert_eq!(rig.seen_by("full"), 2, "the first owner refused, so the second must be tried");
    rig.owners[0].set_conduct(Conduct::Answer("-BUSY 90"));
    assert_eq!(rig.put("least", PAY, dest), "-BUSY 90");
    rig.set_conduct(Conduct::Answer("-ERR unknown destination"));
    assert_eq!(rig.put("wrong", SYNC, dest), "-ERR unknown destination");
    assert_eq!(rig.seen_by("wrong"), 1, "-ERR is final: no second owner must be tried");
    rig.owners[0].set_conduct(Conduct::Answer("-BUSY"));
    rig.owners[1].set_conduct(Conduct::Answer("+OK"));
    for n in 0..4 {
        assert_eq!(rig.put(&format!("either-{n}"), PAY, dest), "+OK");
    }
    let forwarded = &rig.metrics()["forwarded"];
    assert_eq!(
        (&forwarded["taken"], &forwarded["busy"], &forwarded["failed"]),
        (&4.into(), &2.into(), &1.into())
    );
}

#[test]
fn a_repeated_answer_of_an_owner_does_not_accept_the_next_message() {
    let rig = Rig::start();
    let dest = destinations(false)[0];
    assert_eq!(rig.put("first", PAY, dest), "+OK");
    rig.set_conduct(Conduct::RepeatThenRefuse);
    assert_eq!(rig.put("second", PAY, dest), "-BUSY 70");
}

#[test]
fn without_an_answer_only_a_message_that_may_be_repeated_goes_to_a_second_owner() {
    let rig = Rig::start();
    let dest = destinations(false)[0];
    for (n, conduct) in [Conduct::Cut, Conduct::Silent, Conduct::Answer("$nonsense")].into_iter().enumerate()
    {
        rig.set_conduct(conduct);
        for (class, fields) in [("push", PUSH), ("pay", PAY)] {
            let id = format!("{class}-{n}");
            assert_eq!(rig.put(&id, fields, dest), "-ERR the message failed", "{conduct:?}");
            assert_eq!(
                rig.seen_by(&id),
                1,
                "{conduct:?}: the first owner may have accepted it, so no second one must be tried"
            );
        }
        let id = format!("sync-{n}");
        let answer = rig.put(&id, SYNC, dest);
        assert!(answer.starts_with("-BUSY"), "{conduct:?}: {answer}");
        assert_eq!(rig.seen_by(&id), 2, "{conduct:?}");
    }
    assert!(rig.metrics()["forwarded"]["unknown"].as_u64() >= Some(12), "{}", rig.metrics());
    // One of the two stub owners accepts messages again.
    rig.owners[0].set_conduct(Conduct::Answer("+OK"));
    for n in 0..4 {
        assert_eq!(rig.put(&format!("again-{n}"), SYNC, dest), "+OK");
    }
}

#[test]
fn without_a_lease_nothing_new_is_accepted_and_others_are_still_reached() {
    let rig = Rig::start();
    rig.control.set_script(|_| StubResponse::Silence);
    wait_until("the lease to expire", || rig.metrics()["lease_left_ms"] == 0);
    let (own, other) = (destinations(true)[0], destinations(false)[0]);
    assert_eq!(rig.put("other", PAY, other), "+OK");
    // The sender forwards the message to the destination's other owner, whose own lease has not expired.
    assert_eq!(rig.put("own", PAY, own), "+OK");
    assert_eq!(rig.seen_by("own"), 1);
    let refused = Client::new(rig.forward).put("forwarded", &format!("{PAY},dest={own}"));
    assert!(refused.starts_with("-BUSY"), "{refused}");
    let (control, before) = (&rig.control, rig.metrics());
    assert_eq!((&before["lists_refused"], &before["epoch"]), (&0.into(), &1.into()));
    control.set_script(|_| status_with(r#"{"epoch":1,"since":1,"changes":[]}"#));
    wait_until("a new lease", || rig.metrics()["lease_left_ms"] != 0);
    let taken = Client::new(rig.forward).put("afterwards", &format!("{PAY},dest={own}"));
    assert_eq!(taken, "+OK", "no hold is due after an outage of control");
}

#[test]
fn a_list_that_is_refused_leaves_the_last_one_in_force() {
    let rig = Rig::start();
    let other = rig.owners[0].addr;
    let changed = member_list([rig.forward, other, SocketAddr::from(([127, 0, 0, 1], 9))]).to_string();
    rig.control.set_script(move |_| status_with(&changed));
    wait_until("a refused member list", || rig.metrics()["lists_refused"].as_u64() > Some(0));
    wait_until("the lease to expire", || rig.metrics()["lease_left_ms"] == 0);
    assert_eq!(rig.metrics()["epoch"], 1);
    assert_eq!(rig.put("passed-on", PAY, destinations(false)[0]), "+OK");
}

#[test]
fn without_the_section_there_is_no_trace_of_placement() {
    let receiver = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("e1", receiver.addr, "one", 1, "Ready")]);
    let sender = Sender::with_mgmt(&platform);
    sender.client().ping();
    assert_eq!(sender.metrics().get("placement"), None);
    assert_eq!(sender.client().put("m", &format!("{PAY},dest=1")), "+OK");
    assert!(!sender.state().join("placement.json").exists());
}
