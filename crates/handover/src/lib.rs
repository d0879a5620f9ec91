//! # embershore-handover
//!
//! A sender's process is replaced by another while it serves. Both run for a while, and are one sender: the journal
//! has one writer at any time, a message is held by one of them, and a call that is out stays with the process that made
//! it until its outcome, of which the other hears.
//!
//! Who holds the lock on the journal's folder owns the journal; nothing else decides it. The process that does is the
//! *owner*, the one that asks for it the *newcomer*. [`Owner`] and [`Newcomer`] say what each does next, [`Frame`] is
//! what they tell each other, and [`Decoder`] reads it. None of them does any I/O.
//!
//! ```text
//! newcomer                         owner
//!   Hello ------------------------->
//!   <------------------------- Hello
//!   Take  ------------------------->   finishes what it has read, writes its last record, gives the lock free
//!   <------------------------- State
//!   takes the lock
//!   Taken ------------------------->   writes no more
//!   <------------ Put, Ended ...       messages that still come to it; outcomes of its calls
//!   Reply, Cancel ... ------------->
//! ```

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod frame;
mod newcomer;
mod owner;

pub use frame::{Decoder, FRAME_MOST, Fate, Frame, FrameError, State, VERSION, encode};
pub use newcomer::{Newcomer, NewcomerDo, NewcomerEvent};
pub use owner::{Owner, OwnerDo, OwnerEvent};
