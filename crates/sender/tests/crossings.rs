//! Two events that cross: a watch that falls silent, trickles or comes indented, a notice that is not answered, a client
//! that has ended its sending. `docs/design/crossings.md` has one row for each pair.

mod common;
use common::*;
use serde_json::json;
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SYNC: &str = "c=sync,d=15000,dest=3";
/// What a watch that fell silent misses counts as told by then.
const TOLD: Duration = Duration::from_secs(6);

/// A sender that is told its list and its changes by a script, with one endpoint of destination 3; the script sees
/// only questions for a watch, with the number of those before it, and the endpoint's line with its status.
fn watching(
    script: impl Fn(usize, &dyn Fn(u64, &str) -> serde_json::Value, &mut TcpStream) + Send + Sync + 'static,
) -> (Endpoint, Scripted, Platform, Sender) {
    let endpoint = Endpoint::new(|_| status(200));
    let addr = endpoint.addr;
    let list = move |index: u64, state: &str| json!({"index": index, "snapshot": false, "endpoints": [line("s-1", addr, "one", 3, state)]});
    let scripted = Scripted::new(move |request, before, stream| match &*request.line {
        l if l.contains("follow") => script(before, &list, stream),
        l if l.contains("/v1/servers") => {
            let mut whole = list(7, "Ready");
            whole["snapshot"] = true.into();
            answer(stream, 200, &whole.to_string());
        }
        _ => answer(stream, 204, ""),
    });
    // Its notices go to the script as well: this one only lends its address at the start.
    let platform = Platform::new(Vec::new());
    let sender = Sender::with(&platform, |c| c["discovery"] = scripted.addr.to_string().into());
    (endpoint, scripted, platform, sender)
}

/// How long after the first watch was asked for the drain that it did not tell has been heard.
fn heard_after(first: impl Fn(&mut TcpStream) + Send + Sync + 'static, hang: usize) -> Duration {
    let (_endpoint, scripted, _platform, sender) = watching(move |before, list, stream| {
        if before == 0 {
            begin(stream);
            first(stream);
        } else if before > hang {
            begin(stream);
            piece(stream, &format!("{}\n", list(8, "Terminating")));
        }
    });
    wait_until("the drain", || sender.journal_holds("s-1"));
    scripted.times("watch")[0].elapsed()
}

#[test]
fn what_a_silent_watch_misses_is_heard_in_time() {
    let after_the_head = heard_after(|_| {}, 0);
    assert!(after_the_head < TOLD - Duration::from_secs(1), "{after_the_head:?}");
    let after_an_empty_line = heard_after(|stream| _ = piece(stream, "\n"), 0);
    assert!(after_an_empty_line < TOLD - Duration::from_secs(1), "{after_an_empty_line:?}");
    let within_a_line = heard_after(|stream| _ = piece(stream, "{\"index\": 8, \"snap"), 0);
    assert!(within_a_line < TOLD - Duration::from_secs(1), "{within_a_line:?}");
}

#[test]
fn a_first_question_that_hangs_leaves_time_for_a_second() {
    let heard = heard_after(|_| {}, 2);
    assert!(heard < TOLD, "{heard:?}");
}

#[test]
fn bytes_that_never_end_a_line_are_no_sign_of_life() {
    let trickle = |stream: &mut TcpStream| {
        piece(stream, "{");
        // Until the sender has gone.
        while piece(stream, " ") {
            sleep(Duration::from_millis(200));
        }
    };
    let heard = heard_after(trickle, 0);
    assert!(heard < TOLD - Duration::from_secs(1), "{heard:?}");
}

#[test]
fn a_change_is_heard_though_it_comes_indented_and_cut_within_its_lines() {
    let (endpoint, scripted, _platform, sender) = watching(|_, list, stream| {
        begin(stream);
        let pretty = serde_json::to_string_pretty(&list(8, "Terminating")).unwrap();
        for bytes in pretty.as_bytes().chunks(7) {
            piece(stream, std::str::from_utf8(bytes).unwrap());
        }
        piece(stream, "\n\n");
    });
    wait_until("the drain", || sender.journal_holds("s-1"));
    assert_eq!(scripted.times("watch").len(), 1, "the watch goes on");
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", SYNC), "+OK");
    sleep(Duration::from_millis(100));
    assert_eq!(endpoint.times("a1"), 0);
}

#[test]
fn a_notice_that_is_not_answered_is_told_again_while_it_still_counts() {
    let scripted = Scripted::new(|request, before, stream| match &*request.line {
        l if l.contains("/reports") && before == 0 => {}
        l if l.contains("/reports") => answer(stream, 204, ""),
        l if l.contains("follow") => begin(stream),
        _ => {
            let lines = [placeholder(3)];
            answer(stream, 200, &json!({"index": 7, "snapshot": true, "endpoints": lines}).to_string());
        }
    });
    let platform = Platform::new(Vec::new());
    let sender = Sender::with(&platform, |c| c["discovery"] = scripted.addr.to_string().into());
    let mut client = sender.client();
    client.ping();
    assert_eq!(client.put("a1", "c=sync,d=300,dest=3"), "+OK");
    wait_until("a second post", || scripted.times("/reports").len() > 1);
    let posts = scripted.times("/reports");
    // The first has 0.1 s. It had a whole one, and the notice came long after it was due.
    assert!(posts[1] - posts[0] < Duration::from_millis(600), "{:?}", posts[1] - posts[0]);
}

#[test]
fn a_client_that_has_ended_its_sending_gets_an_answer_to_each_request() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![line("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    for round in 0..20 {
        let mut client = sender.client();
        let ids: Vec<String> = (0..3).map(|i| format!("h{round}-{i}")).collect();
        let requests: Vec<u8> =
            ids.iter().flat_map(|id| put(id, &format!("{SYNC},t=acme"), b"hello")).collect();
        client.write(&requests);
        // The end of its sending meets the driver at another moment each time.
        sleep(Duration::from_micros(400 * round));
        client.stream.shutdown(Shutdown::Write).unwrap();
        for id in &ids {
            match &*client.read() {
                "+OK" => endpoint.wait_sent(id),
                "-BUSY" => {
                    // Withdrawn: it is taken on as new when it comes again.
                    assert_eq!(endpoint.times(id), 0, "{id}");
                    wait_until("its second coming", || sender.client().put(id, SYNC) == "+OK");
                }
                other => panic!("{id}: '{other}'"),
            }
        }
        assert_eq!(client.read(), "", "then the connection ends");
    }
    let begun = Instant::now();
    assert_eq!(sender.client().put("last", SYNC), "+OK");
    assert!(begun.elapsed() < Duration::from_secs(1));
}
