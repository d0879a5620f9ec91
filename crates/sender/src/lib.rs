//! # embershore
//!
//! The sender and its command line. [`daemon::run`] is the sender as the platform starts it; [`cli`] reads the
//! arguments of everything else that the one binary does.

#![warn(missing_docs)]
#![deny(unsafe_code)]

mod asking;
mod calls;
mod check;
pub mod cli;
mod clients;
mod clock;
mod connection;
#[cfg(test)]
mod crossings;
pub mod daemon;
mod discovery;
mod driver;
mod figures;
mod fleet;
mod handover;
mod inherited;
mod input;
mod journal;
mod matrix;
mod mgmt;
mod notices;
mod placement;
mod rehearse;
mod retune;
mod rows;
mod standing;
