//! The log of calls: which messages a call carries, when it begins, and how each message fared.
//! The log also says which messages a process takes over from the previous one, and which ends it reports by notices.
//! The log is off unless the environment variable `LB_CALL_LOG` is `1`: a busy sender writes thousands of lines a minute.

use crate::calls::{CallItem, CallSpec};
use crate::input::MessageOutcome;
use embershore_protocol::notice::End;
use heronroute::{Micros, MsgId};
use std::time::Duration;

/// Environment variable that turns the log of calls on.
const VARIABLE: &str = "LB_CALL_LOG";
/// Stands in the log for the request id of a message that has ended and is not in the journal any more.
const UNKNOWN_MESSAGE: &str = "(ended)";

/// A message that ends undelivered, as the driver knows it at that moment.
pub struct EndedMessage<'a> {
    pub request_id: &'a str,
    pub end: End,
    pub attempts: u32,
    /// The number of the call in flight that carries the message, in this process or the previous one.
    pub call: Option<u64>,
    /// Time until the message's deadline.
    pub time_left: Micros,
}

/// Writes the log of calls to standard error.
#[derive(Clone, Copy, Debug)]
pub struct CallLog {
    enabled: bool,
}

impl CallLog {
    /// Creates the log, which is on if the environment asks for it.
    pub fn from_environment() -> Self {
        CallLog { enabled: std::env::var(VARIABLE).is_ok_and(|value| value == "1") }
    }

    /// Logs that a call's connection is open and its request is about to be written.
    pub fn opened(&self, spec: &CallSpec, items: &[&CallItem]) {
        if self.enabled {
            let ids: Vec<&str> = items.iter().map(|item| item.request_id.as_str()).collect();
            eprintln!(
                "call {}: to {} at {}, begins with {}",
                spec.number,
                spec.endpoint_name,
                spec.addr,
                ids.join(" ")
            );
        }
    }

    /// Logs a call's end: the status of its answer, if one came, and the outcome of each message.
    pub fn ended(&self, spec: &CallSpec, status: Option<u16>, outcomes: &[MessageOutcome], took: Duration) {
        if !self.enabled {
            return;
        }
        let answer = status.map_or("no answer".to_string(), |status| format!("answered {status}"));
        let outcome_of = |outcome: &MessageOutcome| {
            let item = spec.items.iter().find(|item| item.id == outcome.id);
            describe(item.map_or(UNKNOWN_MESSAGE, |item| item.request_id.as_str()), outcome)
        };
        let outcomes: Vec<String> = outcomes.iter().map(outcome_of).collect();
        eprintln!("call {}: {answer} after {} ms: {}", spec.number, took.as_millis(), outcomes.join(", "));
    }

    /// Logs a message that the previous process has in a call in flight, or that waits for its next call.
    pub fn inherited(&self, request_id: &str, attempts: u32, call: Option<u64>) {
        if self.enabled {
            eprintln!("message {request_id}: taken over after {attempts} attempts, {}", in_flight(call));
        }
    }

    /// Logs the outcomes of a call of the previous process.
    pub fn reported<'a>(
        &self,
        call: u64,
        outcomes: &[MessageOutcome],
        name: impl Fn(MsgId) -> Option<&'a str>,
    ) {
        if self.enabled {
            let outcomes: Vec<String> =
                outcomes.iter().map(|o| describe(name(o.id).unwrap_or(UNKNOWN_MESSAGE), o)).collect();
            eprintln!("call {call}: ended in the previous process: {}", outcomes.join(", "));
        }
    }

    /// Logs the end that a message's notice reports.
    pub fn message_ended(&self, message: &EndedMessage) {
        if self.enabled {
            let EndedMessage { request_id, end, attempts, call, time_left } = message;
            eprintln!(
                "message {request_id}: {end:?} after {attempts} attempts, {}, {} ms before its deadline",
                in_flight(*call),
                time_left / 1000
            );
        }
    }
}

fn in_flight(call: Option<u64>) -> String {
    call.map_or("no call in flight".to_string(), |call| format!("call {call} in flight"))
}

fn describe(request_id: &str, outcome: &MessageOutcome) -> String {
    let effect = if outcome.outcome.never_ran() { "never ran" } else { "may have run" };
    format!("{request_id} {:?} ({effect})", outcome.outcome)
}
