//! A stand-in for a sender's control agent, with one member list that never changes.

use super::http::request_line;
use anyhow::Result;
use bytes::Bytes;
use embershore_placement::{Changes, MemberList};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A running stand-in for a control agent, which serves requests until it is dropped.
pub struct ControlAgent {
    /// Address on which the stand-in for the control agent listens.
    pub address: SocketAddr,
    serving: JoinHandle<()>,
}

/// The two possible answers of the stand-in: the full list, or the report that the list is unchanged.
struct Answers {
    /// Part of the request line by which the stand-in recognises a sender that has the current member list.
    known_epoch: String,
    unchanged: Bytes,
    full_list: Bytes,
}

impl ControlAgent {
    /// Starts to serve the member list.
    ///
    /// # Errors
    /// Fails if no port is free for the stand-in.
    pub async fn start(list: &MemberList) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let unchanged = Changes { epoch: list.epoch(), since: list.epoch(), changes: Vec::new() };
        let answers = std::sync::Arc::new(Answers {
            known_epoch: format!("since={} ", list.epoch()),
            unchanged: unchanged.to_json().into(),
            full_list: list.to_json().into(),
        });
        let serving = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The number of tasks is bounded by the number of started senders: each sender has one open request.
                tokio::spawn(serve(stream, answers.clone()));
            }
        });
        Ok(ControlAgent { address, serving })
    }
}

impl Drop for ControlAgent {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn serve(stream: TcpStream, answers: std::sync::Arc<Answers>) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(line) = request_line(&mut stream).await? {
        let body = if line.contains(&answers.known_epoch) { &answers.unchanged } else { &answers.full_list };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
        stream.flush().await?;
    }
    Ok(())
}
