//! Histories of a fleet in simulated time. Simulated senders run the real placement code;
//! a seed decides the behaviour of the network, the control agents and the clients; a ledger checks the rules.

pub mod ledger;
pub mod model;
pub mod network;
pub mod world;

use heronroute::Micros;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The lease: how long an answer of a control agent is valid.
pub const LEASE: Micros = 10 * SECOND;
/// The maximum time by which a control agent lags behind.
pub const AGENT_LAG: Micros = 3 * SECOND;
/// The time after its acceptance within which a call for a message may begin.
pub const DEADLINE: Micros = 8 * SECOND;
/// Maximum duration of a call.
pub const MAX_CALL_TIME: Micros = 200 * MILLISECOND;
