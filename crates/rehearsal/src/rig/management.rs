//! Calls at a sender's door for operators.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Each answer is due within this.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers are shorter; what is beyond is not read.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Makes a call, such as `GET /_ready`, and tells the answer's status.
pub async fn call(management: SocketAddr, call: &str) -> io::Result<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(management).await?;
        stream.write_all(format!("{call} HTTP/1.1\r\nhost: door\r\n\r\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).await?;
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.ok_or_else(|| io::Error::other("no status in the answer"))
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.map_err(io::Error::other)?
}
