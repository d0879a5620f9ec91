//! Notices: reports to the platform on the final outcomes of messages that were not delivered.

use serde::{Deserialize, Serialize};
use serde_json::json;

/// The final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The message was delivered or its client abandoned it. No notice is sent for either outcome.
    #[serde(rename = "Over")]
    Closed,
    /// The message failed.
    Failed,
    /// The message was refused; the client may submit the message again without harm.
    Returned {
        /// Time after which the client should submit the message again, in milliseconds; 0 if not known.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
}

/// Encodes the notice of a message's final outcome as a JSON line.
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
