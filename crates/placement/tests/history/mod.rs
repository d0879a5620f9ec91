//! Histories of a fleet in simulated time: hollow senders with the real deciding code, on a network, under control and
//! among clients that a seed decides, judged by a ledger.

pub mod ledger;
pub mod model;
pub mod network;
pub mod world;

use heronroute::Micros;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// How long an answer of control holds.
pub const LEASE: Micros = 10 * SECOND;
/// How far an agent may be behind.
pub const AGENT_LAG: Micros = 3 * SECOND;
/// How long a message may be called after it was taken on.
pub const DEADLINE: Micros = 8 * SECOND;
/// How long a call lasts at most.
pub const LONGEST_CALL: Micros = 200 * MILLISECOND;
