//! What could not be delivered: kept, open to inspection, and sent again by the operator's rule.
//!
//! [`debt`] is the data, [`rules`] the operator's word and its checks, [`plan`] what follows from both for one message
//! at one time, [`pace`] how many go out at once; none of them does I/O or reads a clock. [`store`] keeps debts on
//! disk. A message never goes out past the decision module: what is due here is handed to it as a message.
#![warn(missing_docs)]

pub mod debt;
pub mod pace;
pub mod plan;
pub mod rules;
pub mod store;

pub use debt::{Attempt, Debt, DebtId, Ending, Message, Reason, Resolution, Settled, State, Word};
pub use pace::Pacer;
pub use plan::{ClassFacts, Step, Why};
pub use rules::{Rules, RulesError};
pub use store::{Store, StoreError};
