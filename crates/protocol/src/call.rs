//! Calls to endpoints: what a batch's body holds, and what an answer means.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use heronroute::{LoadReport, Micros, Outcome};
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The status that an answer's first line tells.
pub fn parse_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.").and_then(|r| r.strip_prefix(b"1").or(r.strip_prefix(b"0")))?;
    let (code, rest) = rest.strip_prefix(b" ")?.split_at_checked(3)?;
    let ends = rest.first().is_some_and(|b| b" \r\n".contains(b));
    std::str::from_utf8(code).ok().filter(|c| ends && c.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()
}

/// A message as a call of several carries it.
#[derive(Deserialize, Serialize)]
struct BatchItem<'a> {
    id: Cow<'a, str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<Cow<'a, str>>,
    body: String,
}

/// Writes the body of a call of several messages: each one's id, idempotency key and body.
///
/// # Errors
/// None that text and bytes could cause; they are the JSON writer's.
pub fn encode_batch<'a>(
    items: impl Iterator<Item = (&'a str, Option<&'a str>, &'a [u8])>,
) -> serde_json::Result<Vec<u8>> {
    let item = |(id, key, body): (&'a str, Option<&'a str>, &'a [u8])| BatchItem {
        id: id.into(),
        key: key.map(Into::into),
        body: BASE64.encode(body),
    };
    serde_json::to_vec(&items.map(item).collect::<Vec<_>>())
}

/// Reads such a body: each message's id, idempotency key and length.
///
/// # Errors
/// Says what can't be read, is empty, or names a message twice.
pub fn decode_batch(body: &[u8]) -> Result<Vec<(String, Option<String>, usize)>, String> {
    let items: Vec<BatchItem<'_>> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let mut read: Vec<(String, Option<String>, usize)> = Vec::with_capacity(items.len());
    for item in items {
        let bytes = BASE64.decode(&item.body).map_err(|e| format!("the body of {}: {e}", item.id))?;
        if read.iter().any(|(id, ..)| *id == item.id) {
            return Err(format!("{} stands there twice", item.id));
        }
        read.push((item.id.into_owned(), item.key.map(Cow::into_owned), bytes.len()));
    }
    if read.is_empty() { Err("no message".into()) } else { Ok(read) }
}

/// One message's end in the answer to a call of several.
#[derive(Deserialize, Serialize)]
pub struct BatchState {
    /// The message.
    pub id: String,
    /// `ok`, `error`, `later`, `gone` or `exhausted`.
    pub state: String,
}

/// What a message's state in a batch's answer means, and whether nothing more is owed. A state that is missing or
/// unknown leaves it open whether the message ran.
pub fn outcome_of_state(state: Option<&str>) -> (Outcome, bool) {
    match state {
        Some("ok") => (Outcome::Done, true),
        Some("later") => (Outcome::Busy, false),
        Some("gone") => (Outcome::Skipped, true),
        Some("exhausted") => (Outcome::Skipped, false),
        _ => (Outcome::Error, false),
    }
}

/// What an answer's head says.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// How the call ended, for all its messages alike.
    pub outcome: Outcome,
    /// Nothing more is owed.
    pub closes_message: bool,
    /// The wait that it tells, in microseconds; 0 if none.
    pub wait: Micros,
    /// The report that it carries.
    pub report: Option<LoadReport>,
}

/// Reads the head of an answer to a call or a probe.
pub fn read_head(status: u16, headers: &HeaderMap) -> AnswerHead {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse::<u32>().ok();
    let outcome = match status {
        200 => Outcome::Done,
        503 if number("x-no-slot") == Some(1) => Outcome::Skipped,
        429 | 503 => Outcome::Busy,
        // Malformed, too many in a batch, all attempts used, over: none of these has run.
        400 | 413 | 504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let wait = Micros::from(number("x-retry-in-ms").unwrap_or(0)) * 1000;
    let report = headers.get("x-server-load").and_then(|v| v.to_str().ok()).map(|text| {
        let figure = |name: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse().ok())
        };
        LoadReport { remaining: figure("x0"), limit: figure("x1") }
    });
    AnswerHead { outcome, closes_message: matches!(status, 200 | 410), wait, report }
}
