//! The inputs that the daemon's components send to the driver, and the notices that the driver sends to the platform.

use embershore_handover::Frame;
use embershore_protocol::notice::End;
use embershore_protocol::resp::{Put, Reply};
use heronroute::{ClassSettings, EndpointEntry, EndpointId, LoadReport, Micros, Outcome};
use tokio::sync::oneshot;

/// An input from one of the daemon's components to the driver.
#[derive(Debug)]
pub enum Input {
    /// A message from a client, and the channel for the sender's reply to the client.
    Put(Put, oneshot::Sender<Reply>),
    /// An endpoint listing from discovery: complete, or the changes since the last listing.
    EndpointsListed { index: u64, full: bool, entries: Vec<EndpointEntry> },
    /// A call has ended; the input contains the call's number and its outcomes.
    CallEnded(u64, CallEnd),
    /// The outcome of a probe, with the load report if the endpoint sent one.
    Probed(EndpointId, Outcome, Option<LoadReport>),
    /// The platform has confirmed the notices of the messages with these numbers.
    NoticesConfirmed(Vec<u64>),
    /// The message classes of a configuration that was reloaded while the sender runs.
    ClassesReloaded(Vec<(String, ClassSettings)>),
    /// A frame that the predecessor process sent over the handover link.
    PredecessorFrame(Frame),
    /// The predecessor process has exited.
    PredecessorGone,
    /// SIGTERM was received.
    Stop,
}

pub use embershore_handover::MessageOutcome;

/// The result of a call that has ended, with each message's outcome.
#[derive(Debug)]
pub struct CallEnd {
    pub endpoint: EndpointId,
    pub outcomes: Vec<MessageOutcome>,
    pub elapsed: Micros,
    pub wait: Micros,
    pub report: Option<LoadReport>,
}

/// The final outcome of an undelivered message, to be reported to the platform.
#[derive(Debug)]
pub struct Notice {
    pub id: u64,
    pub request_id: String,
    pub end: End,
}
