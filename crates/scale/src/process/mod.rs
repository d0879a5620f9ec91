//! Real `embershore` processes on loopback, with stand-ins for the directory, control agent, receivers and clients.

mod client;
mod control;
mod daemon;
mod directory;
mod http;
mod receiver;
mod usage;

pub use client::{Client, MAX_UNANSWERED, PutCounts, offer};
pub use control::ControlAgent;
pub use daemon::{Daemon, KEPT_CLASS_TTL_MS, Options, PlacementOptions, free_address};
pub use directory::{Directory, Endpoints};
pub use receiver::{Receiver, RefusingAddress};
pub use usage::resident_bytes;

use anyhow::Result;
use std::future::Future;

/// Runs a measurement with its stand-ins on the current thread.
///
/// # Errors
/// Returns the error with which the measurement fails.
pub fn on_this_thread<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
