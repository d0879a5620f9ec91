//! # embershore-protocol
//!
//! What goes over a sender's sockets, as values and parsers: the clients' commands ([`resp`]), calls to endpoints
//! ([`call`]), the directory's lines ([`listing`], and in part [`listing_stream`]), the ends told to the platform ([`notice`]) and the settings
//! ([`settings`]). No I/O: every parser takes bytes and gives a value, an error that says what is wrong, or word
//! that more is needed. Every length is bounded before anything is stored for it.

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
