//! Bad clients that send much at once and go, and what sound clients hear afterwards.
//!
//! 300 clients send 300 commands each at once, read nothing, and go after 1.5 s. Before, meanwhile and afterwards a
//! sound client hands in a message every 0.5 s on a connection of its own.

use review_rig::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 300;
const COMMANDS: usize = 300;
const STAY: Duration = Duration::from_millis(1500);
/// The sound client's requests that count begin so long after the bad clients have gone.
const SETTLE: Duration = Duration::from_millis(10_000);
const COUNTED: u32 = 40;
const FIELDS: &str = "c=status-sync,t=oduya-forms,d=5000,dest=1";

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let run = Run::new(folder.as_ref());
    let delivered: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let seen = delivered.clone();
    let endpoint = serve_http(move |request, _| {
        if request.path == "/healthz" {
            return Some(Answer::status(200));
        }
        let Some(messages) = deliveries(&request) else { return Some(Answer::status(400)) };
        for message in &messages {
            *seen.lock().unwrap().entry(message.id.clone()).or_default() += 1;
        }
        std::thread::sleep(ms(165));
        Some(all_ok(&request, &messages))
    });
    let list = vec![listed("hook-1", endpoint, "client-hook", 1, 20.0)];
    let (discovery, known) = platform(run.record.clone(), list, |_| {});
    let listen = free_address();
    let door = free_address();
    let plan = SenderPlan {
        name: "n1".into(),
        listen,
        discovery,
        known,
        memory_mb: 32,
        sockets: 1024,
        settings: settings(&[RESPONSE_PUSH, STATUS_SYNC, AIRTIME_PAYOUT].join(",")),
    };
    let mut process = Process::start(&run, &plan, "only", Some(door), None);
    if !wait_ready(listen) {
        record_logs(&run);
        run.end(COULD_NOT_RUN, "the sender was not ready");
    }
    let mut next_id = 0u64;
    let mut sound = |when: &str| {
        next_id += 1;
        let id = format!("{next_id:016x}");
        let reply = put(listen, &id, FIELDS, b"count");
        run.record.line(format!("sound client, {when}: {id}: {reply:?}"));
        std::thread::sleep(ms(500));
        reply
    };
    let before = (0..6).filter(|_| sound("before") == Reply::Taken).count();
    if before < 6 {
        record_logs(&run);
        run.end(COULD_NOT_RUN, "a sound client's message was not taken on before the bad clients came");
    }
    if run.trouble {
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..BAD_CLIENTS {
            let Ok(stream) = TcpStream::connect_timeout(&listen, ms(1000)) else { continue };
            _ = stream.set_nonblocking(true);
            streams.push(stream);
        }
        run.record.line(format!("{} bad clients are connected", streams.len()));
        let texts: Vec<Vec<u8>> = (0..streams.len())
            .map(|client| {
                let id = |n: usize| format!("bad{client:05}{n:08}");
                (0..COMMANDS).flat_map(|n| put_command(&id(n), FIELDS, b"count")).collect()
            })
            .collect();
        std::thread::scope(|scope| {
            let part = streams.len().div_ceil(8).max(1);
            for (streams, texts) in streams.chunks_mut(part).zip(texts.chunks(part)) {
                scope.spawn(move || {
                    for (stream, text) in streams.iter_mut().zip(texts) {
                        _ = stream.write_all(text);
                    }
                });
            }
        });
        run.record.line(format!("each has sent {COMMANDS} commands"));
        let sent = Instant::now();
        while sent.elapsed() < STAY {
            sound("with the bad clients");
        }
        drop(streams);
        run.record.line("the bad clients have gone");
    }
    let gone = Instant::now();
    while gone.elapsed() < SETTLE {
        sound("shortly after");
    }
    let replies: Vec<Reply> = (0..COUNTED).map(|_| sound("counted")).collect();
    let unanswered = replies.iter().filter(|r| matches!(r, Reply::Nothing | Reply::Closed)).count();
    let taken = replies.iter().filter(|r| **r == Reply::Taken).count();
    // One more client waits far longer than any client does: the answer is not late, it does not come.
    let late = TcpStream::connect_timeout(&listen, ms(1000)).ok().and_then(|mut stream| {
        stream.write_all(&put_command("00000000000fffff", FIELDS, b"count")).ok()?;
        read_line(&mut stream, ms(8000)).ok()
    });
    run.record.line(format!("a client that waits for 8 s: {late:?}"));
    run.record.line(format!("PING is answered: {}", ping(listen, ms(1000))));
    run.record.line(format!("the door says that the sender is ready: {}", door_ready(door)));
    run.record.line(format!("the process has ended: {}", process.has_exited()));
    drop(process);
    record_logs(&run);
    let why = format!(
        "{unanswered} of {COUNTED} requests of a sound client got no answer, 10 to 50 s after the bad clients had \
         gone, and {taken} were taken on; a client that waits for 8 s hears {late:?}"
    );
    run.end(if unanswered == 0 { HELD } else { BROKEN }, &why)
}
