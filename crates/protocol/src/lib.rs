//! # embershore-protocol: parsers and encoders for the data on a sender's sockets
//!
//! Modules of the crate, each for one protocol or data format:
//! - [`resp`]: the clients' commands
//! - [`resp_client`]: the client side of these commands, for a sender that forwards a message
//! - [`call`]: calls to endpoints
//! - [`listing`]: endpoint lists
//! - [`listing_stream`]: the entries of wanted destinations in endpoint lists
//! - [`notice`]: notices to the platform
//! - [`settings`]: the settings of a sender
//!
//! The crate does no I/O.
//! Every parser takes bytes and returns a value, an error that names the fault, or a request for more bytes.
//! Every length is checked against its maximum before memory is allocated for the data.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod call;
pub mod listing;
pub mod listing_stream;
mod nesting;
pub mod notice;
pub mod resp;
pub mod resp_client;
pub mod settings;
