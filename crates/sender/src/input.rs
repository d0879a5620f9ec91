//! What the parts of the sender tell each other.

use embershore_handover::Frame;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use heronroute::{ClassSettings, EndpointEntry, EndpointId, LoadReport, Micros, Outcome};
use tokio::sync::oneshot;

/// What can happen to a sender.
#[derive(Debug)]
pub enum Input {
    Put(Put, oneshot::Sender<Reply>),
    EndpointsListed {
        index: u64,
        full: bool,
        entries: Vec<EndpointEntry>,
    },
    CallEnded(u64, CallEnd),
    Probed(EndpointId, Outcome, Option<LoadReport>),
    NoticesConfirmed(Vec<u64>),
    /// The classes of a configuration that has been read again.
    ClassesReloaded(Vec<(String, ClassSettings)>),
    /// What the process that this one replaces has to say.
    PredecessorFrame(Frame),
    /// It has ended.
    PredecessorGone,
    Stop,
}

pub use embershore_handover::Fate;

/// How a call ended.
#[derive(Debug)]
pub struct CallEnd {
    pub endpoint: EndpointId,
    pub fates: Vec<Fate>,
    pub elapsed: Micros,
    pub wait: Micros,
    pub report: Option<LoadReport>,
}

/// An end that the platform is owed.
#[derive(Debug)]
pub struct Notice {
    pub id: u64,
    pub request_id: String,
    pub end: End,
}
