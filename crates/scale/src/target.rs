//! The size that the capacity page is worked out for. Everything here is given, nothing is measured.

/// Senders of the whole fleet.
pub const SENDERS: u32 = 15_000;
/// Destinations of the whole list.
pub const DESTINATIONS: u64 = 4_100_000;
/// Messages that the whole fleet takes in a second.
pub const MESSAGES_PER_SECOND: f64 = 8_900_000.0;
/// Messages held by the whole fleet in the largest backlog.
pub const BACKLOG: f64 = 30e9;
/// Zones of each region; racks hold [`RACK`] senders.
pub const ZONES_BY_REGION: [u32; 4] = [3, 3, 3, 2];
/// Senders of one rack.
pub const RACK: u32 = 40;
/// Owners of each destination.
pub const REPLICAS: u8 = 2;
/// Changes of configuration in a day.
pub const CHANGES_PER_DAY: u32 = 27_000;
/// Senders that fail in a day and come back only by a replacement.
pub const LOST_PER_DAY: u32 = 36;
/// Senders that are restarted or replaced in a day.
pub const REPLACED_PER_DAY: u32 = 2_600;
/// Messages that one sender takes in a second, in the mean.
pub const SENDER_MESSAGES_PER_SECOND: f64 = MESSAGES_PER_SECOND / SENDERS as f64;
/// Messages that one sender holds of the largest backlog, in the mean.
pub const SENDER_BACKLOG: f64 = BACKLOG / SENDERS as f64;
/// Destinations that one sender owns, in the mean.
pub const SENDER_DESTINATIONS: f64 = DESTINATIONS as f64 * REPLICAS as f64 / SENDERS as f64;
