//! The clients' protocol: RESP2 commands, which are arrays of bulk strings, and the replies to them.
//!
//! This module parses the framing itself instead of using a general RESP crate: all commands have one shape.
//! A parser for one shape of command handles no nested arrays and checks each length before allocating memory.

use bytes::{Bytes, BytesMut};
use heronroute::Micros;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Maximum length in bytes of a message's body or of any other argument.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of arguments of a command.
pub const MAX_ARGS: usize = 16;
/// Maximum length of a command in bytes, including its framing.
pub const MAX_COMMAND_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The content of a `MSG.PUT` command: a message from a client.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The message's id, which is new for each `MSG.PUT` command.
    pub request_id: String,
    /// The message's order key, in classes that keep order.
    pub order_key: String,
    /// The name of the message's class.
    pub class: String,
    /// The name of the message's tenant.
    pub tenant: String,
    /// Time until the message's deadline.
    pub time_left: Micros,
    /// The number of the message's destination.
    pub dest: i64,
    /// In a keyed class, the idempotency key by which the destination drops repeated deliveries.
    pub idempotency_key: Option<String>,
    /// Whether the client is known to have submitted the message before.
    #[serde(rename = "again")]
    pub resubmitted: bool,
    /// Whether another sender had the message and died, or did not answer, so that the message may have taken effect.
    /// The encoding of the processes of one sender for each other does not contain this field.
    #[serde(skip)]
    pub sender_lost: bool,
    /// The message's body: the bytes to deliver, in any format.
    pub body: Bytes,
}

/// The reply to a `MSG.PUT` command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The message was accepted: the sender is responsible for the message until its final outcome.
    #[serde(rename = "Taken")]
    Accepted,
    /// The message was refused; the client may submit the message again without harm.
    Busy {
        /// Time after which the client should submit the message again, in milliseconds; 0 if not known.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
    /// The message failed.
    Failed,
    /// The `MSG.PUT` command is invalid for the contained reason, and no sender can accept the command.
    #[serde(rename = "Wrong")]
    Invalid(Cow<'static, str>),
}

impl Reply {
    /// Encodes the reply as a RESP2 line.
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

/// A framing error. Nothing that follows the error on the connection can be parsed.
#[derive(Debug, PartialEq, Eq)]
pub struct FramingError(&'static str);

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Protocol error: {}", self.0)
    }
}

impl std::error::Error for FramingError {}

/// Parses a marker byte, a number of at most `max` and a line end at offset `at`.
/// Returns the number and the offset after the line end, or `None` if more bytes are needed.
fn parse_header(
    buffer: &[u8],
    at: usize,
    marker: u8,
    max: usize,
) -> Result<Option<(usize, usize)>, FramingError> {
    let rest = &buffer[at.min(buffer.len())..];
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
    let number = digits.and_then(|d| d.parse().ok()).filter(|n| *n <= max);
    number.map(|n| Some((n, at + end + 1))).ok_or(FramingError("invalid length"))
}

/// Removes the first command from `buffer` and returns the command's arguments.
/// Returns `None` if the command is incomplete.
///
/// # Errors
/// Returns a framing error as soon as the buffered bytes cannot be the start of a valid command.
pub fn decode_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, FramingError> {
    let Some((count, mut at)) = parse_header(buffer, 0, b'*', MAX_ARGS)? else { return Ok(None) };
    let mut spans = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((len, start)) = parse_header(buffer, at, b'$', MAX_BODY_BYTES)? else { return Ok(None) };
        at = start + len + 2;
        if at > MAX_COMMAND_BYTES {
            return Err(FramingError("the command is too long"));
        }
        match buffer.get(start + len..at) {
            None => return Ok(None),
            Some(b"\r\n") => spans.push(start..start + len),
            Some(_) => return Err(FramingError("a bulk string does not end with its line")),
        }
    }
    let command = buffer.split_to(at).freeze();
    Ok(Some(spans.into_iter().map(|span| command.slice(span)).collect()))
}

/// Decodes the arguments of a `MSG.PUT` command into a message.
///
/// # Errors
/// Returns an error text that names the invalid argument or field.
pub fn decode_put(args: &[Bytes]) -> Result<Put, &'static str> {
    let [_, key, id, fields, body] = args else { return Err("wrong number of arguments for 'MSG.PUT'") };
    let text =
        |bytes: &Bytes| std::str::from_utf8(bytes).map(str::to_string).map_err(|_| "a field is not text");
    // A message's id and idempotency key are written into header lines of calls.
    let plain = |name: String| {
        let is_plain = !name.is_empty() && name.len() <= 128 && name.bytes().all(|b| b.is_ascii_graphic());
        is_plain.then_some(name).ok_or("a name is not plain text of 1 to 128 characters")
    };
    let mut put = Put { order_key: text(key)?, request_id: plain(text(id)?)?, ..Put::default() };
    if put.order_key.len() > 128 {
        return Err("the key is too long");
    }
    let (mut time_left, mut dest) = (None, None);
    for pair in text(fields)?.split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("a field has no value")?;
        match name {
            "c" => put.class = value.to_string(),
            "t" => put.tenant = value.to_string(),
            "d" => time_left = value.parse::<u32>().ok(),
            "dest" => dest = value.parse().ok(),
            "k" => put.idempotency_key = Some(plain(value.to_string())?),
            "r" => put.resubmitted = value == "1",
            "again" => put.sender_lost = value == "1",
            _ => {}
        }
    }
    put.time_left = i64::from(time_left.ok_or("field 'd' should be milliseconds")?) * 1000;
    put.dest = dest.ok_or("field 'dest' should be a number")?;
    // A slice of the connection's buffer would keep the whole buffer in memory while the message exists.
    put.body = Bytes::copy_from_slice(body);
    Ok(put)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_split_command_is_decoded_only_once_complete() {
        let command = b"*2\r\n$4\r\nPING\r\n$3\r\na\r\n\r\n";
        for cut in 0..command.len() {
            let mut buf = BytesMut::from(&command[..cut]);
            assert_eq!(decode_command(&mut buf), Ok(None), "cut at {cut}");
            buf.extend_from_slice(&command[cut..]);
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
