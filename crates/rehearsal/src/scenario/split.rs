//! The same scenario with another number of senders.

use super::{MAX_SENDERS, Scenario, Sender};
use crate::parameters;

/// A scenario that can't be played with another number of senders.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// An event is for one of its senders.
    #[error("an event of the scenario is for sender '{0}' alone; without the name it is for all of them")]
    Named(String),
    /// The number is out of range.
    #[error("a scenario has 1 to {MAX_SENDERS} senders")]
    Number,
}

impl Scenario {
    /// Plays the same with another number of senders, all alike: the same load, and the same slots, room and limits
    /// in all.
    ///
    /// # Errors
    /// The number is out of range, or an event is for one sender alone.
    pub fn split(&mut self, senders: usize) -> Result<(), SplitError> {
        if !(1..=MAX_SENDERS).contains(&senders) {
            return Err(SplitError::Number);
        }
        if let Some(name) = self.events.iter().find_map(|(_, e)| e.sender.clone()) {
            return Err(SplitError::Named(name));
        }
        let slots: u32 = self.parameters.senders.iter().map(|s| s.slots).sum();
        let room: u32 = self.parameters.senders.iter().map(|s| s.max_open).sum();
        let like = self.senders[0].clone();
        let part = |all: u32, least: u32| ((f64::from(all) / senders as f64).round() as u32).max(least);
        let zones = &self.network.zones;
        let zone = |n: usize| n % zones.len().max(1);
        self.parameters.senders = (0..senders)
            .map(|n| parameters::Sender {
                name: format!("n{n}"),
                zone: zones.get(zone(n)).cloned().unwrap_or_default(),
                slots: part(slots, 2),
                max_open: part(room, 8),
            })
            .collect();
        let of = |n| Sender { share: 1.0 / senders as f64, zone: zone(n), ..like.clone() };
        self.senders = (0..senders).map(of).collect();
        Ok(())
    }
}
