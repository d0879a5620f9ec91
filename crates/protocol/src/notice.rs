//! Notices: reports to the platform on the ends of messages that were not delivered.

use serde::{Deserialize, Serialize};
use serde_json::json;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The message was delivered or its client abandoned it. No notice is needed for either end.
    #[serde(rename = "Over")]
    Closed,
    /// The message failed.
    Failed,
    /// The message was refused; the client may put it again without harm.
    Returned {
        /// Time after which the client should put the message again, in milliseconds; 0 if not known.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
}

/// Encodes the notice of a message's end as a JSON line.
pub fn encode(id: &str, end: End) -> String {
    let line = match end {
        End::Returned { retry_after_ms: 0 } => json!({"id": id, "state": "returned"}),
        End::Returned { retry_after_ms } => {
            json!({"id": id, "state": "returned", "after_ms": retry_after_ms})
        }
        End::Failed | End::Closed => json!({"id": id, "state": "failed"}),
    };
    format!("{line}\n")
}
