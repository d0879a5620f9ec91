//! Uneven load: messages per second of each destination by Zipf's law.

use crate::target::MESSAGES_PER_SECOND;

/// Returns the messages per second of each destination, the busiest first.
/// The rates are proportional to `rank^-exponent`, and their sum is `total`.
pub fn zipf_rates(destinations: u64, exponent: f64, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=destinations).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum * total).collect()
}

/// Returns the messages per second of a fleet of `senders` senders, with the load per sender of the full fleet.
pub fn total_for(senders: usize) -> f64 {
    MESSAGES_PER_SECOND * senders as f64 / f64::from(crate::target::SENDERS)
}

/// Returns the number of parts into which a destination is split, at most `max_width`.
/// Unless `max_width` limits the number, no part gets more than `max_part_rate` messages per second.
pub fn width(rate: f64, max_part_rate: f64, max_width: u16) -> u16 {
    (rate / max_part_rate).ceil().clamp(1.0, f64::from(max_width)) as u16
}
