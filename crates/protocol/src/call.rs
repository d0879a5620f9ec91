//! Calls to endpoints: encodes and decodes the body of a batch, and reads the outcomes from answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use heronroute::{LoadReport, Micros, Outcome};
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::HashMap;

/// Parses the status code in the first line of an HTTP/1 answer; returns `None` if the line is malformed.
pub fn parse_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.").and_then(|r| r.strip_prefix(b"1").or(r.strip_prefix(b"0")))?;
    let (code, rest) = rest.strip_prefix(b" ")?.split_at_checked(3)?;
    let ends = rest.first().is_some_and(|b| b" \r\n".contains(b));
    std::str::from_utf8(code).ok().filter(|c| ends && c.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()
}

/// A message in the body of a batch.
#[derive(Deserialize, Serialize)]
struct BatchItem<'a> {
    id: Cow<'a, str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<Cow<'a, str>>,
    body: String,
}

/// Encodes the body of a batch from each message's id, idempotency key and body.
///
/// # Errors
/// Returns an error if the JSON writer fails, which message ids, keys and bodies cannot cause.
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

/// Decodes the body of a batch into each message's id, idempotency key and body length.
///
/// # Errors
/// Returns an error if the body is malformed, contains no message or contains a message twice.
pub fn decode_batch(body: &[u8]) -> Result<Vec<(String, Option<String>, usize)>, String> {
    let items: Vec<BatchItem<'_>> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let mut messages: Vec<(String, Option<String>, usize)> = Vec::with_capacity(items.len());
    for item in items {
        let bytes = BASE64
            .decode(&item.body)
            .map_err(|e| format!("body of message '{}' is not Base64: {e}", item.id))?;
        if messages.iter().any(|(id, ..)| *id == item.id) {
            return Err(format!("the batch contains message '{}' twice", item.id));
        }
        messages.push((item.id.into_owned(), item.key.map(Cow::into_owned), bytes.len()));
    }
    if messages.is_empty() { Err("the batch contains no message".into()) } else { Ok(messages) }
}

/// The state of one message in the answer to a batch.
#[derive(Deserialize, Serialize)]
pub struct BatchState {
    /// The id of the message.
    pub id: String,
    /// The state of the message: `ok`, `error`, `later`, `gone` or `exhausted`.
    pub state: String,
}

/// Decodes the answer to a batch: the state of each message by its id.
/// Returns `None` unless the answer gives exactly one state to each of the call's messages and names no other message.
pub fn decode_states<'a>(
    answer: &[u8],
    ids: impl Iterator<Item = &'a str>,
) -> Option<HashMap<String, String>> {
    let states: Vec<BatchState> = serde_json::from_slice(answer).ok()?;
    let given = states.len();
    let states: HashMap<String, String> = states.into_iter().map(|s| (s.id, s.state)).collect();
    let mut expected = 0;
    for id in ids {
        expected += 1;
        states.get(id)?;
    }
    (given == expected && states.len() == expected).then_some(states)
}

/// Returns the outcome for a message's state in the answer to a batch, and whether the message is closed.
/// A missing or unknown state counts as an error, after which the message may have taken effect.
pub fn outcome_of_state(state: Option<&str>) -> (Outcome, bool) {
    match state {
        Some("ok") => (Outcome::Done, true),
        Some("later") => (Outcome::Busy, false),
        Some("gone") => (Outcome::Skipped, true),
        Some("exhausted") => (Outcome::Skipped, false),
        _ => (Outcome::Error, false),
    }
}

/// The result of a call or a probe, read from the status and headers of its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// The outcome of the call, which applies to all messages in the call.
    pub outcome: Outcome,
    /// Whether the call's messages need no further answer.
    pub closes_message: bool,
    /// The time for which the receiver asked the sender to wait; 0 if the receiver asked for no wait.
    pub wait: Micros,
    /// The receiver's load report, if the answer contains one.
    pub report: Option<LoadReport>,
}

/// Reads the outcome, wait and load report from the answer to a call or a probe.
pub fn read_head(status: u16, headers: &HeaderMap) -> AnswerHead {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse::<u32>().ok();
    let outcome = match status {
        200 => Outcome::Done,
        503 if number("x-no-slot") == Some(1) => Outcome::Skipped,
        429 | 503 => Outcome::Busy,
        // These statuses report a malformed request, a too large batch, used up attempts or a closed message.
        // The receiver did not process the messages of a call with such an answer.
        400 | 413 | 504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let wait = Micros::from(number("x-retry-in-ms").unwrap_or(0)) * 1000;
    let report = headers.get("x-server-load").and_then(|v| v.to_str().ok()).map(|text| {
        let value = |name: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
        };
        LoadReport { remaining: value("x0"), limit: value("x1") }
    });
    AnswerHead { outcome, closes_message: matches!(status, 200 | 410), wait, report }
}
