//! # embershore-rehearsal
//!
//! Rehearses an evening without any partner's part in it. [`scenario`] reads the file in which an operator
//! describes the evening, [`plan`] makes the traffic of it, [`rig`] starts stand-in receivers, a directory and
//! clients on loopback around real senders and takes down all that they see as a [`history`], and [`judge`], which
//! knows nothing of the sender, says of that history which of the six rules were kept and what service came of it.
//! [`report`] and [`html`] put that into words and pictures.
//!
//! Scenario, plan, history and judge do no I/O beside reading and writing their files.

#![warn(missing_docs)]
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
