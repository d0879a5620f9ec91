//! The record that each member publishes about its own process.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of a name or a failure domain in bytes. Several records must fit into one datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// The maximum incarnation number of a valid record.
/// No process restarts this often, and a malformed record with a higher number could never be replaced by a valid one.
const MAX_INCARNATION: u64 = 1 << 40;
/// The maximum revision of a valid record. No process changes its record this often.
/// A malformed record with a higher revision could never be replaced by a valid record.
const MAX_REVISION: u32 = 1 << 24;

/// The status of a member's process, as shown on all of its interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The member's process has started but is not serving yet.
    Starting,
    /// The member's process is serving.
    Serving,
    /// The member's process is draining on request.
    LameDuck,
    /// The member's process is handing over to another process.
    HandingOver,
    /// The member's process is stopping on request.
    Stopping,
}

/// The record that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's name on the agreed member list, at most [`MAX_NAME_BYTES`] bytes.
    pub name: String,
    /// The number of process starts on this state folder, 1 for the first start.
    /// This is not the incarnation number of SWIM, which `foca` manages itself.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The revision of the record within an incarnation of the process.
    /// The revision grows with each change of the record and each refutation of a reported death.
    #[serde(rename = "turn")]
    pub revision: u32,
    /// The address from which the member sends datagrams and at which it receives them.
    pub address: SocketAddr,
    /// The failure domain, such as a machine, rack or building. All members in a failure domain may fail together.
    pub domain: String,
    /// The status of the member's process.
    #[serde(rename = "standing")]
    pub status: Status,
}

impl Member {
    /// Returns the sort key of the records of one name. All members order records in the same way.
    fn rank(&self) -> (u64, u32, SocketAddr) {
        (self.incarnation, self.revision, self.address)
    }

    /// Returns whether both records come from the same incarnation of the same process.
    pub fn same_incarnation(&self, other: &Member) -> bool {
        (&self.name, self.incarnation, self.address) == (&other.name, other.incarnation, other.address)
    }

    /// Checks a received record, which may hold any value that its encoding allows.
    pub(crate) fn is_valid(&self) -> bool {
        let short = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
        short(&self.name)
            && short(&self.domain)
            && (1..=MAX_INCARNATION).contains(&self.incarnation)
            && self.revision <= MAX_REVISION
            && self.address.port() != 0
    }
}

impl foca::Identity for Member {
    type Addr = String;

    /// Returns the record with the next revision; `None` after the last possible revision.
    /// The next revision refutes a report of this member's death.
    fn renew(&self) -> Option<Self> {
        Some(Member { revision: self.revision + 1, ..self.clone() })
            .filter(|next| next.revision <= MAX_REVISION)
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }
}
