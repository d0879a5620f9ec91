//! The control port, which applies events while a rehearsal runs.
//!
//! Requests are lines over TCP on loopback: `status`, or an event as `kind name=value ...`.
//! An example of an event is `slow receiver=3 for=10s factor=8`.
//! Each request is answered by one line, `ok ...` or `error ...`.

use super::Rig;
use crate::event::{RawEvent, Targets};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of bytes read from a control connection: enough for some hundred commands.
const MAX_CONNECTION_BYTES: u64 = 64 * 1024;
/// Maximum number of open control connections; further connections are closed.
const MAX_CONNECTIONS: usize = 8;

pub async fn listen(rig: Rc<Rig>, addr: SocketAddr) -> io::Result<()> {
    if !addr.ip().is_loopback() {
        return Err(io::Error::other(
            "the address must be on loopback, since anyone who reaches the port can stop a sender",
        ));
    }
    let listener = TcpListener::bind(addr).await?;
    eprintln!("control port: {}", listener.local_addr()?);
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
            let rig = rig.clone();
            tokio::task::spawn_local(async move {
                _ = serve(rig, stream).await;
                drop(permit);
            });
        }
    });
    Ok(())
}

async fn serve(rig: Rc<Rig>, stream: TcpStream) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader.take(MAX_CONNECTION_BYTES)).lines();
    while let Some(line) = lines.next_line().await? {
        let answer = match answer(&rig, line.trim()) {
            Ok(text) => format!("ok {text}\n"),
            Err(e) => format!("error {e}\n"),
        };
        writer.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

fn answer(rig: &Rc<Rig>, line: &str) -> Result<String, String> {
    if line == "status" {
        let progress = rig.world.progress.get();
        let (t, offered, delivered) = (progress.t as f64 / 1e6, progress.offered, progress.delivered);
        return Ok(format!(
            "t={t:.1}s offered={offered} delivered={delivered} refused={} failed={}",
            progress.refused, progress.failed
        ));
    }
    let event = RawEvent::from_line(line)?;
    let parameters = &rig.world.scenario.parameters;
    let receivers: Vec<i64> = parameters.receivers.iter().map(|r| r.number).collect();
    let senders: Vec<String> = parameters.senders.iter().map(|s| s.name.clone()).collect();
    let mut problems = event.problems(Targets { receivers: &receivers, senders: &senders });
    if event.at.is_some() {
        problems.push(
            "'at' is valid on the timeline only; an event from the control port happens at once".into(),
        );
    }
    if !problems.is_empty() {
        return Err(problems.join("; "));
    }
    let text = event.to_string();
    tokio::task::spawn_local(rig.clone().apply(event));
    Ok(text)
}

/// Sends a line to the control port of a running rehearsal and returns the answer.
///
/// # Errors
/// Fails if nothing listens at the address, or the connection to the control port breaks.
pub fn send_command(addr: SocketAddr, line: &str) -> io::Result<String> {
    use std::io::{BufRead, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&addr, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    std::io::BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer.trim_end().to_string())
}
