//! Sends the notices of undelivered messages to the platform, and repeats them until the platform confirms.

use crate::connection::Connection;
use crate::input::{Input, Notice};
use bytes::Bytes;
use embershore_protocol::notice;
use http_body_util::Full;
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Maximum number of notices in one request to the platform.
const MAX_BATCH: usize = 200;
/// Response timeout of the first attempt to send notices; the timeout doubles with each further attempt.
/// The platform answers without delay, and a notice is due 0.3 s after its message's deadline.
/// A request without a response is repeated on a new connection.
const FIRST_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after the first failed attempt to send notices; the pause doubles with each further attempt.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Sends notices to the platform for ever. The size of the journal bounds the queue of notices.
/// When the platform's address changes, a request in flight is repeated at the new address.
/// Reporting a message's final outcome twice is harmless.
pub async fn send(
    mut addr: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    driver: mpsc::Sender<Input>,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let body =
            Bytes::from(batch.iter().map(|n| notice::encode(&n.request_id, n.end)).collect::<String>());
        let (mut pause, mut timeout) = (FIRST_RETRY_PAUSE, FIRST_TIMEOUT);
        loop {
            let to = *addr.borrow_and_update();
            let work = async {
                match tokio::time::timeout(timeout, post(to, body.clone())).await {
                    Ok(Ok(())) => return Ok(()),
                    Ok(Err(e)) => eprintln!("notices: sending {} to {to} failed, retrying: {e}", batch.len()),
                    Err(_) => eprintln!("notices: no response from {to} within {timeout:?}, retrying"),
                }
                tokio::time::sleep(pause).await;
                Err(())
            };
            tokio::select! {
                biased;
                posted = work => match posted {
                    Ok(()) => break,
                    Err(()) => {
                        (pause, timeout) = ((pause * 2).min(MAX_RETRY_PAUSE), (timeout * 2).min(MAX_TIMEOUT));
                    }
                },
                // Waiting for a new address can't fail: the channel's sending half lives as long as the process.
                _ = addr.changed() => (pause, timeout) = (FIRST_RETRY_PAUSE, FIRST_TIMEOUT),
            }
        }
        let confirmed = Input::NoticesConfirmed(batch.drain(..).map(|n| n.id).collect());
        if driver.send(confirmed).await.is_err() {
            return;
        }
    }
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
