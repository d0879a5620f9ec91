//! The client side of the clients' protocol, for a sender that forwards a message to another sender.

use crate::resp::{Put, Reply};
use std::io::Write;

/// Maximum length in bytes of a reply with its line end. No sender writes a longer reply.
pub const MAX_REPLY_BYTES: usize = 1024;

/// Encodes a message as the command `MSG.PUT`, which [`crate::resp::decode_put`] decodes to the same message.
/// The message's time left is written in whole milliseconds, rounded down, and never below 0.
pub fn encode_put(put: &Put) -> Vec<u8> {
    let fields = encode_fields(put);
    let arguments: [&[u8]; 5] =
        [b"MSG.PUT", put.order_key.as_bytes(), put.request_id.as_bytes(), fields.as_bytes(), &put.body];
    let length: usize = arguments.iter().map(|argument| argument.len() + 16).sum();
    let mut command = Vec::with_capacity(length + 16);
    // Writing to a vector cannot fail.
    _ = write!(command, "*{}\r\n", arguments.len());
    for argument in arguments {
        _ = write!(command, "${}\r\n", argument.len());
        command.extend_from_slice(argument);
        command.extend_from_slice(b"\r\n");
    }
    command
}

fn encode_fields(put: &Put) -> String {
    let milliseconds = (put.time_left / 1000).clamp(0, i64::from(u32::MAX));
    let mut fields = format!("c={},t={},d={milliseconds},dest={}", put.class, put.tenant, put.dest);
    if let Some(key) = &put.idempotency_key {
        fields.push_str(",k=");
        fields.push_str(key);
    }
    if put.resubmitted {
        fields.push_str(",r=1");
    }
    if put.sender_lost {
        fields.push_str(",again=1");
    }
    fields
}

/// Decodes a reply without its line end. Returns `None` if the line is not a reply to `MSG.PUT`.
pub fn decode_reply(line: &[u8]) -> Option<Reply> {
    let line = std::str::from_utf8(line).ok()?;
    if line == "+OK" {
        return Some(Reply::Accepted);
    }
    if line == "-BUSY" {
        return Some(Reply::Busy { retry_after_ms: 0 });
    }
    if let Some(wait) = line.strip_prefix("-BUSY ") {
        return Some(Reply::Busy { retry_after_ms: wait.parse().ok()? });
    }
    let reason = line.strip_prefix("-ERR ")?;
    if reason == FAILED { Some(Reply::Failed) } else { Some(Reply::Invalid(reason.to_owned().into())) }
}

/// The error text of [`Reply::Failed`].
const FAILED: &str = "the message failed";
