//! Undeliverable messages: they are retained, open to inspection, and resent by the operator's rules.
//!
//! [`debt`] defines the data and [`rules`] the operator's rules and their checks. [`plan`] derives the next step of one
//! message at one time from both, and [`pace`] limits how many are resent at once. None of them does I/O or reads a
//! clock. [`store`] persists debts on disk. Every resend goes through the decision module: a debt that is due is handed
//! to it as a message.
#![warn(missing_docs)]

pub mod debt;
pub mod pace;
pub mod plan;
pub mod rules;
pub mod store;

pub use debt::{Attempt, AttemptOutcome, Debt, DebtId, Message, Reason, Resolution, Settled, State, Verdict};
pub use pace::Pacer;
pub use plan::{ClassFacts, IdleReason, Step};
pub use rules::{Rules, RulesError};
pub use store::{Store, StoreError};
