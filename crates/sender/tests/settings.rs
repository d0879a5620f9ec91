//! Configurations in which one field is missing, null or out of bounds.
//! Guards against a sender that panics, hangs or exits without naming the field.
//! The sender must either serve or name the field.

mod common;
use common::*;
use serde_json::{Value, json};
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Returns the wrong values to which each configuration field is set, one value at a time; `None` removes the field.
fn wrong_values() -> Vec<Option<Value>> {
    let metrics = [json!(0), json!(-1), json!(u32::MAX), json!(i64::MAX), json!(-1e300), json!(1e300)];
    let others = [Value::Null, json!("x"), json!([]), json!({}), json!(true)];
    [None].into_iter().chain(metrics.into_iter().chain(others).map(Some)).collect()
}

/// Collects the paths of all fields in a JSON value, including the fields of the first entry of each list.
fn paths(value: &Value, at: &str, found: &mut Vec<String>) {
    if !at.is_empty() {
        found.push(at.to_string());
    }
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| paths(v, &format!("{at}/{name}"), found)),
        Value::Array(entries) => {
            entries.first().into_iter().for_each(|v| paths(v, &format!("{at}/0"), found));
        }
        _ => {}
    }
}

fn set(config: &mut Value, path: &str, value: Option<&Value>) {
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(fields), Some(value)) => _ = fields.insert(name.into(), value.clone()),
        (Value::Object(fields), None) => _ = fields.remove(name),
        (Value::Array(entries), Some(value)) => entries[0] = value.clone(),
        (Value::Array(entries), None) => _ = entries.remove(0),
        _ => unreachable!("the parent of a field is an object or a list"),
    }
}

/// Starts a sender with the given configuration. Returns the sender's log as the error if the sender exits.
fn start(config: &Value, listen: SocketAddr) -> Result<(), String> {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir(folder.path().join("state")).unwrap();
    std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_embershore"))
        .env("LB_CONFIG", folder.path().join("config.json"))
        .env("LB_STATE", folder.path().join("state"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (mut connected, mut exited) = (None, false);
    wait_until("the sender to listen or to exit", || {
        connected = TcpStream::connect(listen).ok();
        exited = child.try_wait().unwrap().is_some();
        connected.is_some() || exited
    });
    drop(connected);
    if !exited {
        let mut client = Client::new(listen);
        client.write(&resp(&[b"PING"]));
        let mut answer = client.read();
        if answer == "+PONG" {
            answer = client.put("a1", "c=sync,d=400,dest=3");
            // The pause gives the sender time for further rounds of its decision module.
            thread::sleep(Duration::from_millis(30));
        }
        exited = child.try_wait().unwrap().is_some();
        assert!(exited || !answer.is_empty(), "the sender listens but did not answer");
    }
    _ = child.kill();
    let status = child.wait().unwrap();
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(!log.contains("panicked"), "{log}");
    match exited {
        true => {
            assert!(!status.success(), "{log}");
            Err(log)
        }
        false => Ok(()),
    }
}

#[test]
fn a_field_that_is_missing_or_out_of_bounds_is_served_or_named() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    // All senders use the port of a closed listener, each on its own loopback address.
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let address = |n: usize| SocketAddr::from((Ipv4Addr::new(127, 77, (n >> 8) as u8, n as u8), port));
    let mut valid_config = config(address(0), &platform, 256);
    valid_config["known"]["endpoints"] = json!([listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut fields = Vec::new();
    paths(&valid_config, "", &mut fields);
    let cases: Vec<(String, Option<Value>)> =
        fields.iter().flat_map(|f| wrong_values().into_iter().map(|w| (f.clone(), w))).collect();
    let (next, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let n = next.fetch_add(1, Ordering::Relaxed)
                    && let Some((field, value)) = cases.get(n)
                {
                    let (mut config, listen) = (valid_config.clone(), address(n + 1));
                    config["listen"] = listen.to_string().into();
                    set(&mut config, field, value.as_ref());
                    let name = field.rsplit('/').find(|part| *part != "0").unwrap();
                    match start(&config, listen) {
                        Ok(()) => _ = served.fetch_add(1, Ordering::Relaxed),
                        Err(log) => assert!(
                            log.contains(name),
                            "{field} is {value:?}, but the log does not name the field: {log}"
                        ),
                    }
                }
            });
        }
    });
    let served = served.into_inner();
    eprintln!("{} fields, {} cases, {served} served", fields.len(), cases.len());
    assert!(served > 0 && served < cases.len());
}

#[test]
fn what_is_null_stands_for_its_default() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::with(&platform, |c| {
        c["settings"]["Limits"]["ConnectTimeoutUs"] = Value::Null;
        c["settings"]["Limits"]["Probes"] = Value::Null;
        c["settings"]["Profiles"][1]["WindowUs"] = Value::Null;
        c["limits"]["memory_mb"] = Value::Null;
        c["known"] = Value::Null;
    });
    assert_eq!(sender.client().put("a1", "c=sync,d=4000,dest=3"), "+OK");
    endpoint.wait_sent("a1");
}
