//! The directory's lines: endpoints, and changes to them.

use serde::{Deserialize, Serialize};

/// A list, or changes to it, as discovery tells them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listing {
    /// The list's version.
    pub index: u64,
    /// It is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The whole list's lines, or those that have changed.
    #[serde(default)]
    pub endpoints: Vec<Line>,
}

/// An endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Line {
    /// The same at every sender.
    pub name: String,
    /// Where this sender reaches it.
    #[serde(default)]
    pub address: String,
    /// Its building.
    #[serde(default)]
    pub zone: String,
    /// Its destination's kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Its destination's number.
    #[serde(default)]
    pub group: i64,
    /// `Ready`, `Terminating` or `Gone`; anything else counts as `Terminating`.
    pub status: String,
    /// Calls a second that its destination takes from all senders, where that is told.
    #[serde(default)]
    pub weight: Option<f64>,
}
