//! Notices: reports to the platform on the ends of messages that were not delivered.

use serde::{Deserialize, Serialize};
use serde_json::json;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Delivered, or abandoned by its client; no notice is needed.
    #[serde(rename = "Over")]
    Closed,
    /// Failed.
    Failed,
    /// Refused; putting it again is harmless.
    Returned {
        /// After how long to put it again, in milliseconds; 0 if not known.
        #[serde(rename = "after_ms")]
        retry_after_ms: u64,
    },
}

/// Returns the line that reports the end of a message.
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
