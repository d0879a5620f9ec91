//! What the two processes tell each other: frames of a length (u32, little-endian) and a payload in postcard's form.

use bytes::{Buf, BytesMut};
use embershore_protocol::resp::{Put, Reply};
use heronroute::{DispatcherState, EndpointId, InFlightCall, LoadReport, Micros, MsgId, Outcome};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The form of the frames and of what is handed over. Processes of different versions do not hand over to each other:
/// the newcomer waits until the owner has ended.
pub const VERSION: u16 = 3;
/// Bytes of a frame at most. The longest tells what is known of each endpoint, some 500 bytes, and a body of 64 KiB.
pub const FRAME_MOST: usize = 4 << 20;

/// What the journal does not tell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The number that the next message would have had.
    pub next_message: u64,
    /// The number that the next call would have had.
    pub next_call: u64,
    /// The sender has been told to empty itself.
    pub lame_duck: bool,
    /// Attempts of each message that is held, also those that came to nothing before their first byte.
    pub attempts: Vec<(MsgId, u32)>,
    /// The names of the endpoints that bear numbers in `learnt` and `out`.
    pub names: Vec<(EndpointId, String)>,
    /// What the module has learnt.
    pub learnt: DispatcherState,
    /// The calls that are out.
    pub out: Vec<InFlightCall>,
    /// Which call each message is in that is held and has one out.
    pub calls: Vec<(MsgId, u64)>,
}

/// How a message fared in a call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fate {
    /// The message.
    pub id: MsgId,
    /// Which attempt it was, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Nothing more is owed.
    pub over: bool,
}

/// What one process tells the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Either: the version it speaks. Stands first, and its form never changes.
    Hello {
        /// See [`VERSION`].
        version: u16,
    },
    /// Newcomer: it has done all that can be done without the journal.
    Take,
    /// Owner: nothing can be handed over now.
    Later,
    /// Owner: the journal is complete and the lock is free.
    State(Box<State>),
    /// Newcomer: it has the lock.
    Taken,
    /// Owner, once it is none: a client has handed in a message.
    Put {
        /// By which its reply is told apart.
        number: u64,
        /// The message.
        put: Put,
    },
    /// Newcomer: what the client is to be told.
    Reply {
        /// As in [`Frame::Put`].
        number: u64,
        /// The answer.
        reply: Reply,
    },
    /// Owner, once it is none: a call of its has ended.
    Ended {
        /// The call.
        call: u64,
        /// How each of its messages fared.
        fates: Vec<Fate>,
        /// Time from its start to its end.
        elapsed: Micros,
        /// The wait that its answer told, 0 if none.
        wait: Micros,
        /// The report that its answer carried.
        report: Option<LoadReport>,
    },
    /// Newcomer: the call is to be given up.
    Cancel {
        /// The call.
        call: u64,
    },
}

/// What can't be read as a frame; nothing that follows can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is beyond [`FRAME_MOST`].
    TooLong(usize),
    /// Its payload is no frame.
    Unreadable,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(n) => write!(f, "a frame of {n} bytes, {FRAME_MOST} at most"),
            FrameError::Unreadable => {
                write!(f, "a frame that can't be read: another program, or another version")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// The bytes of a frame.
///
/// # Errors
/// When it is longer than a frame may be.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(frame, vec![0; 4]).map_err(|_| FrameError::Unreadable)?;
    let length = bytes.len() - 4;
    if length > FRAME_MOST {
        return Err(FrameError::TooLong(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Reads frames from bytes as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    /// What has been read and not understood yet.
    pub buf: BytesMut,
}

impl Decoder {
    /// The next whole frame, if there is one.
    ///
    /// # Errors
    /// Says what is wrong as soon as it shows; nothing is stored for a length that is too long.
    pub fn decode(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.buf.first_chunk::<4>().map(|b| u32::from_le_bytes(*b) as usize) else {
            return Ok(None);
        };
        if length > FRAME_MOST {
            return Err(FrameError::TooLong(length));
        }
        let Some(payload) = self.buf.get(4..4 + length) else { return Ok(None) };
        let (frame, rest) = postcard::take_from_bytes(payload).map_err(|_| FrameError::Unreadable)?;
        if !rest.is_empty() {
            return Err(FrameError::Unreadable);
        }
        self.buf.advance(4 + length);
        Ok(Some(frame))
    }
}
