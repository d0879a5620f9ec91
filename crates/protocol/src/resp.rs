//! The clients' protocol: RESP2 commands, which are arrays of bulk strings, and what they are answered.
//!
//! The framing is read here rather than by a general RESP crate: requests have one shape only, and reading
//! just that shape bounds every length before anything is stored for it, and nests nowhere.

use bytes::{Bytes, BytesMut};
use heronroute::Micros;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Bytes of a message's body, or of any argument, at most.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Arguments of a command at most.
pub const MAX_ARGS: usize = 16;
/// Bytes of a whole command at most.
pub const MAX_COMMAND_BYTES: usize = 2 * MAX_BODY_BYTES;

/// A message as a client hands it in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Its id, new each time that it is handed in.
    pub request_id: String,
    /// What it is about, in classes that keep order.
    pub order_key: String,
    /// Its class's name.
    pub class: String,
    /// Its tenant's name.
    pub tenant: String,
    /// How long it may still be delivered, in microseconds.
    pub time_left: Micros,
    /// Its destination's number.
    pub dest: i64,
    /// In a keyed class: the key by which repeats are dropped.
    pub idempotency_key: Option<String>,
    /// It is known to have been handed in before.
    #[serde(rename = "again")]
    pub resubmitted: bool,
    /// What is delivered: any bytes.
    pub body: Bytes,
}

/// What a client is told of its message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The sender owes the message its end from now on.
    #[serde(rename = "Taken")]
    Accepted,
    /// Refused; handing it in again is harmless.
    Busy {
        /// When to come again, in milliseconds; 0 says nothing of it.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
    /// Given up.
    Failed,
    /// It can't be taken on by any sender.
    #[serde(rename = "Wrong")]
    Invalid(Cow<'static, str>),
}

impl Reply {
    /// The line that a client reads.
    pub fn encode(self) -> String {
        match self {
            Reply::Accepted => "+OK\r\n".into(),
            Reply::Busy { retry_after_ms: 0 } => "-BUSY\r\n".into(),
            Reply::Busy { retry_after_ms } => format!("-BUSY {retry_after_ms}\r\n"),
            Reply::Failed => "-ERR the message failed\r\n".into(),
            Reply::Invalid(why) => format!("-ERR {why}\r\n"),
        }
    }
}

/// What can't be read as a command; nothing that follows on the connection can be.
#[derive(Debug, PartialEq, Eq)]
pub struct FramingError(&'static str);

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Protocol error: {}", self.0)
    }
}

impl std::error::Error for FramingError {}

/// Reads `marker`, a number and a line end at `at`; the number and where it ends.
fn header(buf: &[u8], at: usize, marker: u8, most: usize) -> Result<Option<(usize, usize)>, FramingError> {
    let rest = &buf[at.min(buf.len())..];
    match rest.first() {
        None => return Ok(None),
        Some(b) if *b != marker => return Err(FramingError("expected an array of bulk strings")),
        Some(_) => {}
    }
    let Some(end) = rest.iter().take(16).position(|b| *b == b'\n') else {
        return if rest.len() < 16 { Ok(None) } else { Err(FramingError("a length is too long")) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").unwrap_or_default();
    let digits = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let number = digits.and_then(|d| d.parse().ok()).filter(|n| *n <= most);
    number.map(|n| Some((n, at + end + 1))).ok_or(FramingError("invalid length"))
}

/// Takes the first whole command off `buf`, if there is one.
///
/// # Errors
/// Says what is wrong with the framing, as soon as it shows.
pub fn decode_command(buf: &mut BytesMut) -> Result<Option<Vec<Bytes>>, FramingError> {
    let Some((count, mut at)) = header(buf, 0, b'*', MAX_ARGS)? else { return Ok(None) };
    let mut spans = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((len, start)) = header(buf, at, b'$', MAX_BODY_BYTES)? else { return Ok(None) };
        at = start + len + 2;
        if at > MAX_COMMAND_BYTES {
            return Err(FramingError("the command is too long"));
        }
        match buf.get(start + len..at) {
            None => return Ok(None),
            Some(b"\r\n") => spans.push(start..start + len),
            Some(_) => return Err(FramingError("a bulk string does not end with its line")),
        }
    }
    let whole = buf.split_to(at).freeze();
    Ok(Some(spans.into_iter().map(|s| whole.slice(s)).collect()))
}

/// Reads a `MSG.PUT`.
///
/// # Errors
/// Says which argument or field is wrong.
pub fn decode_put(args: &[Bytes]) -> Result<Put, &'static str> {
    let [_, key, id, fields, body] = args else { return Err("wrong number of arguments for 'MSG.PUT'") };
    let text = |b: &Bytes| std::str::from_utf8(b).map(str::to_string).map_err(|_| "a field is not text");
    // The id and keys go into header lines of calls.
    let plain = |s: String| {
        let fit = !s.is_empty() && s.len() <= 128 && s.bytes().all(|b| b.is_ascii_graphic());
        fit.then_some(s).ok_or("a name is not plain text of 1 to 128 characters")
    };
    let mut p = Put { order_key: text(key)?, request_id: plain(text(id)?)?, ..Put::default() };
    if p.order_key.len() > 128 {
        return Err("the key is too long");
    }
    let (mut time_left, mut dest) = (None, None);
    for pair in text(fields)?.split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("a field has no value")?;
        match name {
            "c" => p.class = value.to_string(),
            "t" => p.tenant = value.to_string(),
            "d" => time_left = value.parse::<u32>().ok(),
            "dest" => dest = value.parse().ok(),
            "k" => p.idempotency_key = Some(plain(value.to_string())?),
            "r" => p.resubmitted = value == "1",
            _ => {}
        }
    }
    p.time_left = i64::from(time_left.ok_or("field 'd' should be milliseconds")?) * 1000;
    p.dest = dest.ok_or("field 'dest' should be a number")?;
    // A copy: a slice would keep the connection's whole buffer for as long as the message is held.
    p.body = Bytes::copy_from_slice(body);
    Ok(p)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_split_command_is_taken_only_once_whole() {
        let whole = b"*2\r\n$4\r\nPING\r\n$3\r\na\r\n\r\n";
        for cut in 0..whole.len() {
            let mut buf = BytesMut::from(&whole[..cut]);
            assert_eq!(decode_command(&mut buf), Ok(None), "cut at {cut}");
            buf.extend_from_slice(&whole[cut..]);
            let args = decode_command(&mut buf).unwrap().unwrap();
            assert_eq!(args, [Bytes::from("PING"), Bytes::from("a\r\n")]);
            assert!(buf.is_empty());
        }
    }

    #[test]
    fn lengths_are_bounded_before_anything_is_stored() {
        for bad in
            ["*17\r\n", "*1\r\n$65537\r\n", "*-1\r\n", "$4\r\nPING\r\n", "*1\r\n*1\r\n", "*1\r\n$1\r\nabc"]
        {
            assert!(decode_command(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
        }
        assert!(decode_command(&mut BytesMut::from("*00000000000000000001\r\n")).is_err());
    }
}
