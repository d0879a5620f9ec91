//! # embershore: daemon and command line of the message sender
//!
//! The sender and its command line. [`daemon::run`] runs the sender as the platform starts it.
//! The module [`cli`] parses the arguments and runs the other subcommands of the binary.

#![warn(missing_docs)]
#![deny(unsafe_code)]

mod call_log;
mod calls;
mod check;
mod class_table;
pub mod cli;
mod clients;
mod clock;
mod connection;
pub mod daemon;
mod discovery;
mod driver;
mod ended_requests;
mod endpoint_table;
mod handover;
mod inherited_socket;
mod input;
#[cfg(test)]
mod interleavings;
mod journal;
mod list_limit;
mod matrix;
mod metrics;
mod mgmt;
mod notices;
mod placement;
mod poll_schedule;
mod rehearse;
mod reload_check;
mod repeated_request;
mod status;
mod uninterrupted;
