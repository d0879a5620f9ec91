//! Notices: the ends of messages that were not delivered, as the platform is told them.

use serde::{Deserialize, Serialize};
use serde_json::json;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Delivered, or withdrawn by its client: nothing more is owed.
    #[serde(rename = "Over")]
    Closed,
    /// Given up.
    Failed,
    /// Refused: handing it in again is harmless.
    Returned {
        /// When to come again, in milliseconds; 0 says nothing of it.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
}

/// The line that tells the end of the message with this id.
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
