//! Real `embershore` processes between stand-ins on loopback: the directory, receivers and clients.

mod client;
mod control;
mod daemon;
mod directory;
mod http;
mod receiver;
mod usage;

pub use client::{Client, Handed, PIPELINE, offer};
pub use control::ControlAgent;
pub use daemon::{Daemon, KEPT_MS, Membership, Options, free_address};
pub use directory::{Directory, Endpoints};
pub use receiver::{Receiver, Refusing};
pub use usage::resident_bytes;

use anyhow::Result;
use std::future::Future;

/// Runs a measurement and its stand-ins on this thread.
///
/// # Errors
/// That of the measurement.
pub fn on_this_thread<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
