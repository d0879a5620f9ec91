//! # embershore-protocol
//!
//! Values and parsers for the data on a sender's sockets: the clients' commands ([`resp`], and
//! [`resp_client`] for a sender that forwards), calls to endpoints ([`call`]), endpoint lists ([`listing`],
//! and [`listing_stream`] for a part of them), notices to the platform ([`notice`]) and the settings
//! ([`settings`]). The crate does no I/O: every parser takes bytes and returns a value, an error that
//! describes the fault, or a request for more bytes. Every length is checked against its maximum before
//! memory is allocated for it.

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
