//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Longest body that is read: a call of ten messages is far shorter.
const BODY_MOST: usize = 1 << 20;

/// Reads one request and its body; its first line, or nothing at the connection's end.
pub async fn request_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut first = String::new();
    if reader.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).await?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    if length > BODY_MOST {
        return Err(io::Error::other("a body is too long for this stand-in"));
    }
    reader.read_exact(&mut vec![0; length]).await?;
    Ok(Some(first))
}
