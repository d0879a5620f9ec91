//! The frames that the two processes exchange: a length (u32, little-endian) and a payload encoded with postcard.

use bytes::{Buf, BytesMut};
use embershore_protocol::resp::{Put, Reply};
use heronroute::{DispatcherState, EndpointId, InFlightCall, LoadReport, Micros, MsgId, Outcome};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the encoding of frames and of the handed-over state.
/// Processes of different versions do not hand over to each other: the successor waits until the owner has exited.
pub const VERSION: u16 = 3;
/// The maximum length of a frame's payload in bytes.
/// The longest frame carries the state of every endpoint, about 500 bytes each, and a body of 64 KiB.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The state of the owner that the journal does not contain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The number that the successor gives to the next message.
    pub next_message: u64,
    /// The number that the successor gives to the next call.
    pub next_call: u64,
    /// Whether the sender is in lame-duck mode, in which it drains and accepts no new messages.
    pub lame_duck: bool,
    /// The number of attempts of each pending message, including those that failed before their first byte was sent.
    pub attempts: Vec<(MsgId, u32)>,
    /// The names of the endpoints to which `inherited` and `in_flight` refer by number.
    pub names: Vec<(EndpointId, String)>,
    /// The decision module's measurements of destinations, lanes and endpoints.
    #[serde(rename = "learnt")]
    pub inherited: DispatcherState,
    /// The calls of the owner that are in flight.
    #[serde(rename = "out")]
    pub in_flight: Vec<InFlightCall>,
    /// Each message that a call in flight carries, with the number of that call.
    pub calls: Vec<(MsgId, u64)>,
}

/// The outcome of a call for one of the messages that the call carried.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageOutcome {
    /// The number of the message that the call carried.
    pub id: MsgId,
    /// The number of the message's attempt, counted from 0.
    pub attempt: u32,
    /// How the attempt to deliver the message ended.
    pub outcome: Outcome,
    /// Whether the message needs no further attempt.
    #[serde(rename = "over")]
    pub closes_message: bool,
}

/// A frame that one process sends to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on every connection, sent by both sides.
    /// The encoding of Hello never changes, so that processes of any two versions can compare their versions.
    Hello {
        /// The [`VERSION`] of the process that sends the frame.
        version: u16,
    },
    /// Sent by the successor to request the journal, after it has done everything that it can do without the journal.
    Take,
    /// Sent by the owner to decline the request for the journal, because the owner can't hand over now.
    Later,
    /// Sent by the owner after it has completed the journal and released the lock.
    State(Box<State>),
    /// Sent by the successor after it has acquired the lock.
    Taken,
    /// Sent by the former owner after the handover, to forward a message that a client has sent to it.
    Put {
        /// A number that identifies the forwarded message; the frame with the reply repeats it.
        number: u64,
        /// The message of the client.
        put: Put,
    },
    /// Sent by the successor with the reply to a forwarded message.
    Reply {
        /// The number of the [`Frame::Put`] that the reply answers.
        number: u64,
        /// The reply to the client's message.
        reply: Reply,
    },
    /// Sent by the former owner after the handover, when one of its calls has ended.
    Ended {
        /// The number of the call that has ended.
        call: u64,
        /// The outcome for each message that the call carried.
        #[serde(rename = "fates")]
        outcomes: Vec<MessageOutcome>,
        /// The duration of the call.
        elapsed: Micros,
        /// The wait that the receiver's response advertised; 0 if the response advertised none.
        wait: Micros,
        /// The load report in the receiver's response; `None` without one.
        report: Option<LoadReport>,
    },
    /// Sent by the successor to make the former owner cancel one of its calls.
    Cancel {
        /// The number of the call to cancel.
        call: u64,
    },
}

/// Why a frame can't be encoded or decoded. After a decoding error, no later frame of the connection can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The payload is longer than [`MAX_FRAME_BYTES`]. The value is its length in bytes.
    TooLong(usize),
    /// The payload is not a valid frame.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(length) => {
                write!(f, "handover frame of {length} bytes exceeds the maximum of {MAX_FRAME_BYTES}")
            }
            FrameError::Malformed => {
                write!(f, "malformed handover frame: the other process is another program or version")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a frame, including its length.
///
/// # Errors
/// Returns an error when the encoded payload is longer than [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(frame, vec![0; 4]).map_err(|_| FrameError::Malformed)?;
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Decodes frames from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Received bytes that have not been decoded yet.
    pub buf: BytesMut,
}

impl Decoder {
    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error when the frame is too long or malformed.
    /// An excessive length is rejected as soon as it is read, so that no memory is reserved for the payload.
    pub fn decode(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.buf.first_chunk::<4>().map(|b| u32::from_le_bytes(*b) as usize) else {
            return Ok(None);
        };
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(payload) = self.buf.get(4..4 + length) else { return Ok(None) };
        let (frame, rest) = postcard::take_from_bytes(payload).map_err(|_| FrameError::Malformed)?;
        if !rest.is_empty() {
            return Err(FrameError::Malformed);
        }
        self.buf.advance(4 + length);
        Ok(Some(frame))
    }
}
