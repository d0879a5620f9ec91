//! Random fault sequences for a fleet, in simulated time. Simulated senders execute the real placement code.
//! A seed decides the behaviour of the network, the control agents and the clients. A ledger checks the rules.

pub mod ledger;
pub mod model;
pub mod network;
pub mod world;

use heronroute::Micros;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The lease: how long an answer of a control agent is valid.
pub const LEASE: Micros = 10 * SECOND;
/// The maximum delay of a control agent, which may still answer with an earlier epoch.
pub const AGENT_LAG: Micros = 3 * SECOND;
/// The time after a message's acceptance within which a call for the message may begin.
pub const DEADLINE: Micros = 8 * SECOND;
/// Maximum duration of a simulated call to a receiver.
pub const MAX_CALL_TIME: Micros = 200 * MILLISECOND;
