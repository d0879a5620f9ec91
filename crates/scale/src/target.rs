//! The target size that `docs/CAPACITY.md` assumes. All numbers are requirements; none is measured.

/// Number of senders in the fleet.
pub const SENDERS: u32 = 15_000;
/// Number of destinations in the full endpoint list.
pub const DESTINATIONS: u64 = 4_100_000;
/// Messages per second that the fleet accepts.
pub const MESSAGES_PER_SECOND: f64 = 8_900_000.0;
/// Number of messages queued in the fleet in the largest backlog.
pub const BACKLOG_MESSAGES: f64 = 30e9;
/// Number of zones in each region.
pub const ZONES_BY_REGION: [u32; 4] = [3, 3, 3, 2];
/// Number of senders in a rack.
pub const SENDERS_PER_RACK: u32 = 40;
/// Number of senders that own each destination.
pub const REPLICAS: u8 = 2;
/// Number of configuration changes per day.
pub const CHANGES_PER_DAY: u32 = 27_000;
/// Number of senders per day that fail and must be replaced.
pub const LOST_PER_DAY: u32 = 36;
/// Number of senders that are restarted or replaced per day.
pub const REPLACED_PER_DAY: u32 = 2_600;
/// Mean number of messages that one sender accepts per second.
pub const SENDER_MESSAGES_PER_SECOND: f64 = MESSAGES_PER_SECOND / SENDERS as f64;
/// Mean number of messages that one sender queues in the largest backlog.
pub const SENDER_BACKLOG: f64 = BACKLOG_MESSAGES / SENDERS as f64;
/// Mean number of destinations that one sender owns.
pub const SENDER_DESTINATIONS: f64 = DESTINATIONS as f64 * REPLICAS as f64 / SENDERS as f64;
