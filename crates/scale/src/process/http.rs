//! Reads the HTTP/1.1 requests that daemons send to the stand-ins.

use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Maximum length of a request body; a call of ten messages is far shorter.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Reads one HTTP request with its body. Returns the request line, or `None` at the end of the connection.
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
    if length > MAX_BODY_BYTES {
        return Err(io::Error::other(format!(
            "request body of {length} bytes, at most {MAX_BODY_BYTES} are accepted"
        )));
    }
    reader.read_exact(&mut vec![0; length]).await?;
    Ok(Some(first))
}
