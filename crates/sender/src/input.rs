//! The inputs that the daemon's parts send to the driver, and the notices that it sends out.

use embershore_handover::Frame;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use heronroute::{ClassSettings, EndpointEntry, EndpointId, LoadReport, Micros, Outcome};
use tokio::sync::oneshot;

/// An input to the driver.
#[derive(Debug)]
pub enum Input {
    /// A client's message, and the channel for the reply.
    Put(Put, oneshot::Sender<Reply>),
    /// A listing from discovery: complete, or the changes since the last one.
    EndpointsListed { index: u64, full: bool, entries: Vec<EndpointEntry> },
    /// The end of the call with this number.
    CallEnded(u64, CallEnd),
    /// The outcome of a probe.
    Probed(EndpointId, Outcome, Option<LoadReport>),
    /// The platform has confirmed the notices of these messages.
    NoticesConfirmed(Vec<u64>),
    /// The classes of a reloaded configuration.
    ClassesReloaded(Vec<(String, ClassSettings)>),
    /// A frame from the predecessor.
    PredecessorFrame(Frame),
    /// The predecessor has exited.
    PredecessorGone,
    /// SIGTERM was received.
    Stop,
}

pub use embershore_handover::MessageOutcome;

/// The end of a call, with each message's outcome.
#[derive(Debug)]
pub struct CallEnd {
    pub endpoint: EndpointId,
    pub outcomes: Vec<MessageOutcome>,
    pub elapsed: Micros,
    pub wait: Micros,
    pub report: Option<LoadReport>,
}

/// An undelivered message's end, to be reported to the platform.
#[derive(Debug)]
pub struct Notice {
    pub id: u64,
    pub request_id: String,
    pub end: End,
}
