//! Calls to a sender's management interface.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time-out for a complete call to the management interface.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read of an answer from the management interface; real answers are shorter.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Makes a call to the management interface, such as `GET /_ready`, and returns the answer's HTTP status.
pub async fn call(management: SocketAddr, call: &str) -> io::Result<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(management).await?;
        stream.write_all(format!("{call} HTTP/1.1\r\nhost: door\r\n\r\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).await?;
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.ok_or_else(|| io::Error::other("the answer has no HTTP status"))
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.map_err(io::Error::other)?
}
