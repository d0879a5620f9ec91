//! # embershore-rehearsal: runs a sender against simulated outside parties and judges its delivery
//!
//! Rehearses a scenario with stand-ins for all outside parties.
//! [`scenario`] parses the file in which an operator describes a rehearsal. [`plan`] derives the clients' messages.
//! [`rig`] starts stand-in receivers, a directory and clients on loopback around real senders.
//! The rig records all that the stand-ins see as a [`history`].
//! [`judge`] derives from the recorded history which of the six delivery rules held and how good the service was.
//! The judge uses nothing of the sender's internals.
//! [`report`] and [`html`] present the judge's result as text and charts.
//!
//! The modules `scenario`, `plan`, `history` and `judge` do no I/O except to read and write their files.
#![forbid(unsafe_code)]

pub mod capture;
pub mod event;
pub mod history;
pub mod html;
pub mod judge;
pub mod matrix;
pub mod parameters;
pub mod plan;
pub mod report;
pub mod rig;
pub mod scenario;
pub mod shipped;
pub mod span;
pub mod trace;
