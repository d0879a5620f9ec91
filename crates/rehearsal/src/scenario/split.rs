//! Changes the number of senders of a scenario.

use super::{MAX_SENDERS, Scenario, Sender};
use crate::parameters;

/// Reason why a scenario cannot run with another number of senders.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// A timeline event names a sender that would no longer exist with the new number of senders.
    #[error("an event of the scenario is for sender '{0}' only; remove its 'sender' to have it for all")]
    Named(String),
    /// The given number of senders is out of range.
    #[error("a scenario must have 1 to {MAX_SENDERS} senders")]
    Number,
}

impl Scenario {
    /// Replaces the scenario's senders by `senders` identical ones.
    /// The load and the totals of slots and open messages over all senders do not change.
    /// Each sender keeps the memory, descriptor and disk limits of the scenario's first sender.
    ///
    /// # Errors
    /// Fails if the number of senders is out of range, or an event names a sender.
    pub fn split(&mut self, senders: usize) -> Result<(), SplitError> {
        if !(1..=MAX_SENDERS).contains(&senders) {
            return Err(SplitError::Number);
        }
        if let Some(name) = self.events.iter().find_map(|(_, e)| e.sender.clone()) {
            return Err(SplitError::Named(name));
        }
        let slots: u32 = self.parameters.senders.iter().map(|s| s.slots).sum();
        let max_open: u32 = self.parameters.senders.iter().map(|s| s.max_open).sum();
        let template = self.senders[0].clone();
        let part = |all: u32, min: u32| ((f64::from(all) / senders as f64).round() as u32).max(min);
        let zones = &self.network.zones;
        let zone = |n: usize| n % zones.len().max(1);
        self.parameters.senders = (0..senders)
            .map(|n| parameters::Sender {
                name: format!("n{n}"),
                zone: zones.get(zone(n)).cloned().unwrap_or_default(),
                slots: part(slots, 2),
                max_open: part(max_open, 8),
            })
            .collect();
        let sender = |n| Sender { share: 1.0 / senders as f64, zone: zone(n), ..template.clone() };
        self.senders = (0..senders).map(sender).collect();
        Ok(())
    }
}
