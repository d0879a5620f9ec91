//! A stand-in for the platform: discovery with an endpoint list that never changes, and an interface for notices.

use super::http::request_line;
use anyhow::Result;
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Interval of the heartbeats (empty lines) on a watch.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// An endpoint list with one endpoint for each destination, all at one address.
#[derive(Clone, Copy, Debug)]
pub struct Endpoints {
    /// Number of destinations in the list, which are numbered from 0.
    pub count: usize,
    /// Address of all endpoints in the list.
    pub address: SocketAddr,
}

impl Endpoints {
    /// Returns the full endpoint list in the JSON form in which discovery sends it.
    ///
    /// # Errors
    /// Never fails in practice, since the endpoint list can always be encoded.
    pub fn to_json(self) -> Result<Vec<u8>> {
        let address = self.address.to_string();
        let line = |n: usize| {
            serde_json::json!({"name": format!("endpoint-{n:07}"), "address": address, "zone": "a",
                "type": "one", "group": n, "status": "Ready", "weight": 100.0, "since_ms": 0})
        };
        let lines: Vec<_> = (0..self.count).map(line).collect();
        Ok(serde_json::to_vec(&serde_json::json!({"index": 1, "snapshot": true, "endpoints": lines}))?)
    }
}

/// A running stand-in for the platform, which serves requests until it is dropped.
pub struct Directory {
    /// Address on which the stand-in for the platform listens.
    pub address: SocketAddr,
    /// Length of the served endpoint list in bytes.
    pub list_bytes: usize,
    serving: JoinHandle<()>,
}

impl Directory {
    /// Starts to serve the endpoint list.
    ///
    /// # Errors
    /// Fails if no port is free for the stand-in.
    pub async fn start(list: Vec<u8>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, list) = (listener.local_addr()?, Bytes::from(list));
        let list_bytes = list.len();
        let serving = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The number of tasks is bounded by the daemon's connections: its poll, its watch and its notices.
                tokio::spawn(serve(stream, list.clone()));
            }
        });
        Ok(Directory { address, list_bytes, serving })
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn serve(stream: TcpStream, list: Bytes) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(line) = request_line(&mut stream).await? {
        if line.starts_with("POST") {
            stream.write_all(b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n").await?;
        } else if line.contains("follow") {
            return watch(stream).await;
        } else {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&list).await?;
        }
        stream.flush().await?;
    }
    Ok(())
}

/// Serves a watch that reports no changes, only heartbeats.
async fn watch(mut stream: BufReader<TcpStream>) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    chunk(&mut stream, "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n").await?;
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        chunk(&mut stream, "\n").await?;
    }
}

async fn chunk(stream: &mut BufReader<TcpStream>, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
    stream.flush().await
}
