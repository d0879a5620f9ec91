//! # embershore-handover: replacement of a sender's process without interruption
//!
//! Replaces a sender's process by another one without interrupting service.
//! Both processes exist for a while and act as one sender.
//! The journal has one writer at any time, and one process is responsible for each message.
//! A call in flight stays with the process that started it, which reports the outcome to the other process.
//!
//! The process that holds the lock on the journal's folder owns the journal; nothing else decides the ownership.
//! The process that owns the journal is the *owner*, and the process that requests the journal is the *successor*.
//! [`Owner`] and [`Successor`] are the state machines of the two sides.
//! [`Frame`] is the message format between the two sides, and [`Decoder`] reads frames. None of them does any I/O.
//!
//! ```text
//! successor                        owner
//!   Hello ------------------------->
//!   <------------------------- Hello
//!   Take  ------------------------->   owner finishes pending work, writes its last record, releases the lock
//!   <------------------------- State
//!   successor acquires the lock
//!   Taken ------------------------->   owner writes nothing more to the journal
//!   <------------ Put, Ended ...       messages that clients still send to the owner; outcomes of the owner's calls
//!   Reply, Cancel ... ------------->
//! ```

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod frame;
mod owner;
mod successor;

pub use frame::{Decoder, Frame, FrameError, MAX_FRAME_BYTES, MessageOutcome, State, VERSION, encode};
pub use owner::{Owner, OwnerAction, OwnerEvent};
pub use successor::{Successor, SuccessorAction, SuccessorEvent};
