//! The log of calls: which messages a call carries, when it begins, and how each message fared.
//! The log is off unless the environment variable `LB_CALL_LOG` is `1`: a busy sender writes thousands of lines a minute.

use crate::calls::{CallItem, CallSpec};
use crate::input::MessageOutcome;
use std::time::Duration;

/// Environment variable that turns the log of calls on.
const VARIABLE: &str = "LB_CALL_LOG";

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
            let id = item.map_or("", |item| item.request_id.as_str());
            let effect = if outcome.outcome.never_ran() { "never ran" } else { "may have run" };
            format!("{id} {:?} ({effect})", outcome.outcome)
        };
        let outcomes: Vec<String> = outcomes.iter().map(outcome_of).collect();
        eprintln!("call {}: {answer} after {} ms: {}", spec.number, took.as_millis(), outcomes.join(", "));
    }
}
