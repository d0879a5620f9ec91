//! Selects which of a shard's owners a request prefers.
//! The selection is by rendezvous hashing (Thaler and Ravishankar, 1998) over the owners.
//!
//! All senders must agree on the preference, whatever their versions.
//! The preference is part of the placement scheme ([`crate::SCHEME`]) and pinned by a test.
//!
//! An ordered request is hashed by its order key, any other request by its id.
//! The preference depends only on the set of owners, not on their order in the table.
//! Each request ranks the owners in its own order, which spreads a lost owner's requests over all other owners.
//! A key whose preferred owner remains can only move to a newly added owner.

use crate::hash::{Digest, mix_pair, scale};
use crate::list::SeatId;

/// The fields of a request that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The number of the request's destination.
    pub dest: i64,
    /// The request's order key, in a class that keeps order.
    pub order_key: Option<&'a str>,
    /// The id that the client assigned to the request.
    pub request_id: &'a str,
}

impl Request<'_> {
    /// Returns whether the request has an order key, whose messages are delivered one at a time, in order.
    pub fn is_ordered(&self) -> bool {
        self.order_key.is_some()
    }

    /// Returns which of the `width` shards of a wide destination the request belongs to, as an index.
    pub fn part(&self, width: u16) -> u16 {
        part(self.spread_hash(), width)
    }

    /// Returns the owner that the request prefers; `None` if the shard has no owners.
    pub fn preferred(&self, owners: &[SeatId]) -> Option<SeatId> {
        preferred(owners, self.spread_hash())
    }

    /// Returns the hash by which requests to one destination are spread over its shards and their owners.
    pub(crate) fn spread_hash(&self) -> u64 {
        // Makes this digest differ from digests of other data. The value is part of the placement scheme.
        const DOMAIN_TAG: u64 = 0x7370_7265_6164;
        Digest::new(DOMAIN_TAG).text(self.order_key.unwrap_or(self.request_id)).value()
    }
}

/// Returns which of the `width` shards of a wide destination a request belongs to, as an index.
pub(crate) fn part(spread_hash: u64, width: u16) -> u16 {
    scale((spread_hash >> 32) as u32, u32::from(width)) as u16
}

/// Returns all owners of a shard in the order in which a request prefers them.
pub(crate) fn by_preference(owners: &[SeatId], spread_hash: u64) -> Vec<SeatId> {
    let mut owners = owners.to_vec();
    owners.sort_by_key(|&seat| std::cmp::Reverse(rank(seat, spread_hash)));
    owners
}

/// Returns the owner that a request prefers; `None` if the shard has no owners.
pub(crate) fn preferred(owners: &[SeatId], spread_hash: u64) -> Option<SeatId> {
    owners.iter().copied().max_by_key(|&seat| rank(seat, spread_hash))
}

/// Returns the rank of a seat for a request. Seats with equal hashes are ranked by number, so that ranks never tie.
fn rank(seat: SeatId, spread_hash: u64) -> (u64, SeatId) {
    (mix_pair(spread_hash, u64::from(seat.0)), seat)
}
