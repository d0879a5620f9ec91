//! Uneven load: how many messages a second each destination gets, by Zipf's law.

use crate::target::MESSAGES_PER_SECOND;

/// Messages a second of the destination of each rank, the busiest first: proportional to `rank^-exponent`, and all
/// together [`MESSAGES_PER_SECOND`] at the full number of destinations, in proportion at fewer.
pub fn zipf_rates(destinations: u64, exponent: f64, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=destinations).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum * total).collect()
}

/// The load of a fleet of so many senders, where each takes as much as at the full size.
pub fn total_for(senders: usize) -> f64 {
    MESSAGES_PER_SECOND * senders as f64 / f64::from(crate::target::SENDERS)
}

/// In how many parts a destination is split so that none gets more than `part_most` messages a second.
pub fn width(rate: f64, part_most: f64, width_most: u16) -> u16 {
    (rate / part_most).ceil().clamp(1.0, f64::from(width_most)) as u16
}
