//! Sends the notices of undelivered messages to the platform, and repeats them until the platform confirms.

use crate::connection::Connection;
use crate::input::{Input, Notice};
use crate::repeated_request::{RepeatPolicy, first_response};
use bytes::Bytes;
use embershore_protocol::notice;
use http_body_util::Full;
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Maximum number of notices in one request to the platform.
const MAX_BATCH: usize = 200;
/// Maximum number of batches without a confirmation. A slow confirmation must not hold up the notices that follow.
const MAX_OPEN_BATCHES: usize = 4;
/// How a request without a confirmation is repeated.
/// The platform usually answers without delay, and a notice is due 0.3 s after its message's deadline.
const REPEAT_POLICY: RepeatPolicy = RepeatPolicy {
    first_interval: Duration::from_millis(100),
    growth: 2,
    timeout: Duration::from_millis(3100),
};
/// Pause after the first failed attempt to send notices; the pause doubles with each further attempt.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Sends notices to the platform for ever. The size of the journal bounds the queue of notices.
/// Reporting a message's final outcome twice is harmless.
pub async fn send(
    addr: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    driver: mpsc::Sender<Input>,
) {
    let mut open = JoinSet::new();
    loop {
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        if open.len() >= MAX_OPEN_BATCHES {
            open.join_next().await;
        }
        open.spawn_local(send_batch(addr.clone(), batch, driver.clone()));
        while open.try_join_next().is_some() {}
    }
}

/// Sends a batch of notices until the platform confirms it.
/// When the platform's address changes, a request in flight is repeated at the new address.
async fn send_batch(mut addr: watch::Receiver<SocketAddr>, batch: Vec<Notice>, driver: mpsc::Sender<Input>) {
    let body = Bytes::from(batch.iter().map(|n| notice::encode(&n.request_id, n.end)).collect::<String>());
    let mut pause = FIRST_RETRY_PAUSE;
    loop {
        let to = *addr.borrow_and_update();
        let work = async {
            let posted = first_response(REPEAT_POLICY, || post(to, body.clone())).await;
            if let Err(e) = &posted {
                eprintln!("notices: sending {} to {to} failed, retrying: {e}", batch.len());
                tokio::time::sleep(pause).await;
            }
            posted
        };
        tokio::select! {
            biased;
            posted = work => match posted {
                Ok(()) => break,
                Err(_) => pause = (pause * 2).min(MAX_RETRY_PAUSE),
            },
            // Waiting for a new address can't fail: the channel's sending half lives as long as the process.
            _ = addr.changed() => pause = FIRST_RETRY_PAUSE,
        }
    }
    let confirmed = Input::NoticesConfirmed(batch.into_iter().map(|n| n.id).collect());
    // Sending fails only when the process ends.
    _ = driver.send(confirmed).await;
}

/// Posts one batch of notices to the platform, on a connection of its own.
/// A confirmation does not name the notices that it confirms. On a reused connection, a confirmation that the platform
/// or the network delivers twice would confirm notices that the platform has not recorded.
async fn post(addr: SocketAddr, body: Bytes) -> io::Result<()> {
    let connection = Connection::open(addr).await?;
    let request = Request::post("/reports")
        .header("host", addr.to_string())
        .header("connection", "close")
        .header("content-type", "application/x-ndjson")
        .body(Full::new(body))
        .map_err(io::Error::other)?;
    let status = connection.send(request).await.map_err(io::Error::other)?.status;
    if status != 204 && status != 200 {
        return Err(io::Error::other(format!("response status {status}, expected 204")));
    }
    Ok(())
}
