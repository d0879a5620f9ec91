//! Which of a shard's owners a request prefers: rendezvous hashing (Thaler and Ravishankar, 1998) over the owners.
//!
//! All senders must agree on it, whatever their versions: it is part of the scheme ([`crate::SCHEME`]) and pinned by a test.
//!
//! An ordered request hashes its order key, any other its id. The preference depends on the set of owners alone, not on their
//! order in the table, and each request has its own order of fallbacks: what a lost owner leaves is spread over all others,
//! and a key whose preferred owner stays changes it only for an owner that is new.

use crate::hash::{Digest, mix_pair, scale};
use crate::list::SeatId;

/// What placement needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The destination's number.
    pub dest: i64,
    /// In a class that keeps order: what the message is about.
    pub order_key: Option<&'a str>,
    /// The request's id.
    pub request_id: &'a str,
}

impl Request<'_> {
    /// Whether messages of its key go one at a time, in order.
    pub fn is_ordered(&self) -> bool {
        self.order_key.is_some()
    }

    /// The part that the request belongs to, of a destination with this width.
    pub fn part(&self, width: u16) -> u16 {
        part(self.spread(), width)
    }

    /// The owner that the request prefers; none without owners.
    pub fn preferred(&self, owners: &[SeatId]) -> Option<SeatId> {
        preferred(owners, self.spread())
    }

    /// The hash by which requests to one destination are spread over its parts and owners.
    pub(crate) fn spread(&self) -> u64 {
        const SPREAD: u64 = 0x7370_7265_6164;
        Digest::new(SPREAD).text(self.order_key.unwrap_or(self.request_id)).value()
    }
}

/// The part of a wide destination that a request belongs to, below `width`.
pub(crate) fn part(spread: u64, width: u16) -> u16 {
    scale((spread >> 32) as u32, u32::from(width)) as u16
}

/// All owners, the preferred one first.
pub(crate) fn by_preference(owners: &[SeatId], spread: u64) -> Vec<SeatId> {
    let mut owners = owners.to_vec();
    owners.sort_by_key(|&seat| std::cmp::Reverse(rank(seat, spread)));
    owners
}

/// The preferred owner.
pub(crate) fn preferred(owners: &[SeatId], spread: u64) -> Option<SeatId> {
    owners.iter().copied().max_by_key(|&seat| rank(seat, spread))
}

/// Ranks of two seats never tie: the seat is the second key.
fn rank(seat: SeatId, spread: u64) -> (u64, SeatId) {
    (mix_pair(spread, u64::from(seat.0)), seat)
}
