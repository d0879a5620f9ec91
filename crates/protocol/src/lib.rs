//! # embershore-protocol
//!
//! The data on a sender's sockets, as values and parsers: the clients' commands ([`resp`], and
//! [`resp_client`] for a sender that forwards), calls to endpoints ([`call`]), endpoint lists ([`listing`],
//! and [`listing_stream`] for a part of them), notices to the platform ([`notice`]) and the settings
//! ([`settings`]). No I/O: every parser takes bytes and returns a value, an error that says what is wrong, or
//! that it needs more bytes. Every length is bounded before anything is stored for it.

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
