//! The record that a member publishes about its process.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of a name or a failure domain in bytes. Several records must fit into one datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// No process starts or changes its record this often. A record with higher numbers is invalid, and no valid record
/// could ever replace it.
const MAX_INCARNATION: u64 = 1 << 40;
const MAX_REVISION: u32 = 1 << 24;

/// The status of a member's process, as shown on all of its interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// Draining on request.
    LameDuck,
    /// Handing over to another process.
    HandingOver,
    /// Stopping on request.
    Stopping,
}

/// A member's record of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name on the agreed member list, at most [`MAX_NAME_BYTES`] bytes.
    pub name: String,
    /// The number of the process start on this state folder, from 1 for an empty folder. It is not the incarnation
    /// number of SWIM, which `foca` keeps itself.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows within an incarnation, with each change of the record and each refutation of a reported death.
    #[serde(rename = "turn")]
    pub revision: u32,
    /// The address that datagrams are sent from and to.
    pub address: SocketAddr,
    /// The failure domain: a machine, a rack or a building, all members of which may fail together.
    pub domain: String,
    /// The status of the process.
    #[serde(rename = "standing")]
    pub status: Status,
}

impl Member {
    /// Orders two records of one name, the same way on all members.
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

    /// Refutes a report of its own death with the next revision of the same incarnation. After the last revision the
    /// report stands.
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
