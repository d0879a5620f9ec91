//! Tests of the adapter: parsing, isolation of instances and malformed input.

use heronroute_wirehost::Host;

const START: &str = r#"["NewInstance","sender/1",5,{"FamilyInfo":{"Workers":4,"BatchByKind":[1],"KindApart":[false]},"Limits":{"MaxOpen":50,"MaxAttempts":3},"Profiles":[{"Effect":"free","HardLimitUs":5000000,"ObjectiveUs":1000000,"Worth":1.0}],"QuantumUs":5000,"Shapes":["a"],"Unheard":{"Of":1}}]"#;
const TABLE: &str = r#"["Table",3,[["up",0,1,null,0,"10.0.0.1:80",7]]]"#;

fn batch(now: i64, msgs: &[&str]) -> String {
    format!(r#"{{"TUs":{now},"seq":9,"msgs":[{}]}}"#, msgs.join(","))
}

fn started(host: &mut Host) -> String {
    let list = r#"["Announce","sender/1","Persisted",1,3]"#;
    host.batch(&batch(1000, &[START, TABLE, list])).expect("a valid batch")
}

fn inbound(sender: &str, id: &str) -> String {
    format!(r#"["Inbound","{sender}","{id}",0,0,null,5000000,null,7,0,"surplus"]"#)
}

#[test]
fn a_message_is_issued_and_the_reply_has_the_batch_number() {
    let mut host = Host::default();
    started(&mut host);
    let reply = host.batch(&batch(2000, &[&inbound("sender/1", "00000000000000ab")])).expect("a valid batch");
    assert!(reply.contains(r#"["Issue","sender/1","00000000000000ab","10.0.0.1:80","#), "{reply}");
    assert!(reply.contains(r#""seq":9"#));
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let reply = Host::default().batch(&batch(1, &[])).expect("a valid batch");
    assert_eq!(reply, r#"{"output":[],"seq":9}"#);
}

#[test]
fn unknown_names_and_instances_are_ignored() {
    let mut host = Host::default();
    started(&mut host);
    let unknown = r#"["Novelty","sender/1",1,2,3]"#;
    let reply = host
        .batch(&batch(2000, &[unknown, &inbound("sender/2", "00000000000000ab")]))
        .expect("a valid batch");
    assert!(!reply.contains("Issue"), "{reply}");
}

#[test]
fn a_stopped_instance_loses_its_state_and_may_start_again_in_the_same_batch() {
    let mut host = Host::default();
    started(&mut host);
    let first = inbound("sender/1", "00000000000000ab");
    let reply =
        host.batch(&batch(2000, &[&first, r#"["Teardown","sender/1"]"#, START])).expect("a valid batch");
    assert!(!reply.contains("00000000000000ab"), "{reply}");
    let again = host.batch(&batch(3000, &[&inbound("sender/1", "00000000000000ac")])).expect("a valid batch");
    assert!(!again.contains("Issue"), "the restarted instance has no endpoint list: {again}");
}

#[test]
fn a_table_number_means_the_latest_table_before_the_event() {
    let mut host = Host::default();
    let (a, b) = (START.replace("sender/1", "sender/2"), r#"["Announce","sender/1","Persisted",1,3]"#);
    let other = r#"["Table",3,[["up",0,1,null,0,"10.0.0.2:80",7]]]"#;
    let msgs = [START, &a, TABLE, b, other, r#"["Announce","sender/2","Persisted",1,3]"#];
    host.batch(&batch(1000, &msgs)).expect("a valid batch");
    let (x, y) = (inbound("sender/1", "00000000000000a1"), inbound("sender/2", "00000000000000a2"));
    let reply = host.batch(&batch(2000, &[&x, &y])).expect("a valid batch");
    assert!(reply.contains(r#""00000000000000a1","10.0.0.1:80""#), "{reply}");
    assert!(reply.contains(r#""00000000000000a2","10.0.0.2:80""#), "{reply}");
}

#[test]
fn errors_name_the_position_of_malformed_input() {
    let cases = [
        ("{", "malformed batch"),
        (r#"{"TUs":"x","seq":1,"msgs":[]}"#, "malformed batch"),
        (r#"{"TUs":1,"seq":1,"msgs":[7]}"#, "message 1: a message is not an array"),
        (r#"{"TUs":1,"seq":1,"msgs":[["Inbound","sender/1"]]}"#, "Inbound: value 2"),
        (r#"{"TUs":1,"seq":1,"msgs":[["Announce","sender/1","Partial",1,5]]}"#, "no Table 5"),
        (r#"{"TUs":1,"seq":1,"msgs":[["Left","sender/1","xyz"]]}"#, "16 hex digits"),
        (r#"{"TUs":1,"seq":1,"msgs":[["Table",1,[["up"]]]]}"#, "Table entry: value 6"),
        (r#"{"TUs":1,"seq":1,"msgs":[["NewInstance","s",1,{"Limits":7}]]}"#, "settings"),
    ];
    for (line, expected) in cases {
        let mut host = Host::default();
        started(&mut host);
        let error = host.batch(line).expect_err(line);
        assert!(error.contains(expected), "{line}: {error}");
    }
}

#[test]
fn the_program_exits_with_a_one_line_error_on_malformed_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_heronroute-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let input = format!("{}\n{}\n", batch(1, &[]), r#"{"TUs":2,"seq":2,"msgs":[7]}"#);
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the input is written");
    let done = child.wait_with_output().expect("the program ends");
    let error = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success());
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("line 2: message 1"), "{error}");
    assert_eq!(String::from_utf8_lossy(&done.stdout).lines().count(), 1);
}
