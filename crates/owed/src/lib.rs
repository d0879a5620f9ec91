//! Undeliverable messages (debts): retains them, lists them for inspection, and resends them by the operator's rules.
//!
//! [`debt`] defines the data of a debt, and [`rules`] defines the operator's rules and their checks.
//! [`plan`] derives the next step of a debt from its data and the rules, and [`pace`] limits the rate of resends.
//! None of the modules [`debt`], [`rules`], [`plan`] and [`pace`] does I/O or reads a clock.
//! [`store`] persists debts on disk. The decision module makes all resends: it is given each due debt as a message.
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
