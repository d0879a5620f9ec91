//! One process of a fleet, as it tells of itself.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a name or of a failure domain at most: a record has to fit into a datagram several times.
pub const NAME_MOST: usize = 64;

/// No process starts or changes so often; what claims to is nonsense, and could never be outdone.
const LIFE_MOST: u64 = 1 << 40;
const TURN_MOST: u32 = 1 << 24;

/// How a member stands, by the state of its process that all fronts read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It is being emptied.
    LameDuck,
    /// Another process takes its place.
    HandingOver,
    /// It was told to end.
    Stopping,
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name on the agreed list, [`NAME_MOST`] bytes at most.
    pub name: String,
    /// Which start on its state folder this is; an empty folder begins at 1.
    pub life: u64,
    /// Grows within a life, with each change of what it tells and with each refuted death.
    pub turn: u32,
    /// Where its datagrams come from and go to.
    pub address: SocketAddr,
    /// What fails together with it: a machine, a rack, a building.
    pub domain: String,
    /// How it stands.
    pub standing: Standing,
}

impl Member {
    /// What orders two records of one name, the same for all who compare them.
    fn rank(&self) -> (u64, u32, SocketAddr) {
        (self.life, self.turn, self.address)
    }

    /// Whether both tell of the same start of the same process.
    pub fn same_life(&self, other: &Member) -> bool {
        (&self.name, self.life, self.address) == (&other.name, other.life, other.address)
    }

    /// What a peer says may be anything that its format can bear.
    pub(crate) fn is_sound(&self) -> bool {
        let short = |text: &str| !text.is_empty() && text.len() <= NAME_MOST;
        short(&self.name)
            && short(&self.domain)
            && (1..=LIFE_MOST).contains(&self.life)
            && self.turn <= TURN_MOST
            && self.address.port() != 0
    }
}

impl foca::Identity for Member {
    type Addr = String;

    /// Refutes its own death: the same life, a turn later. At the end of the turns it stays dead.
    fn renew(&self) -> Option<Self> {
        Some(Member { turn: self.turn + 1, ..self.clone() }).filter(|next| next.turn <= TURN_MOST)
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }
}
