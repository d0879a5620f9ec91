//! Requests to read the complete endpoint list again.
//! A sender stores only the endpoints of destinations that it owns, so it must read the list again on gaining shards.

use embershore_placement::ShardId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::watch;

/// The requests to read the complete endpoint list, and the readings that have been completed.
/// Requests are numbered from 1. A reading that began after request n satisfies all requests up to n.
#[derive(Debug)]
pub struct ListRereads {
    requested: watch::Sender<u64>,
    mark_read: Cell<u64>,
    /// Owned shards whose endpoints are not known, each with the number of the request for which the shard waits.
    unread: RefCell<HashMap<ShardId, u64>>,
    /// The version of the last endpoint listing applied.
    last_version: Cell<u64>,
}

impl Default for ListRereads {
    fn default() -> Self {
        ListRereads {
            requested: watch::Sender::new(0),
            mark_read: Cell::new(0),
            unread: RefCell::default(),
            last_version: Cell::new(0),
        }
    }
}

impl ListRereads {
    /// Requests another reading of the endpoint list, for which `shards` wait.
    pub fn request(&self, shards: impl IntoIterator<Item = ShardId>) {
        let number = *self.requested.borrow() + 1;
        self.unread.borrow_mut().extend(shards.into_iter().map(|shard| (shard, number)));
        self.requested.send_replace(number);
    }

    /// Removes shards that this sender no longer owns from the shards that wait.
    pub fn drop_shards(&self, shards: &[ShardId]) {
        let mut unread = self.unread.borrow_mut();
        shards.iter().for_each(|shard| _ = unread.remove(shard));
    }

    /// Returns the number of the last request for a reading.
    pub fn requested(&self) -> u64 {
        *self.requested.borrow()
    }

    /// Whether a requested reading of the endpoint list is still to be done.
    pub fn is_requested(&self) -> bool {
        self.requested() > self.mark_read.get()
    }

    /// Waits until a reading of the endpoint list is requested, if none is still to be done.
    pub async fn until_requested(&self) {
        let mut follow = self.requested.subscribe();
        // The wait can't fail: `self` holds the sending half of the channel.
        _ = follow.wait_for(|number| *number > self.mark_read.get()).await;
    }

    /// Records a completed reading of the endpoint list that began when `number` was the last request.
    pub fn mark_read(&self, number: u64) {
        self.mark_read.set(self.mark_read.get().max(number));
        self.unread.borrow_mut().retain(|_, waits_for| *waits_for > number);
    }

    /// Whether the endpoints of an owned shard are known.
    pub fn is_read(&self, shard: ShardId) -> bool {
        !self.unread.borrow().contains_key(&shard)
    }

    /// Returns the number of owned shards whose endpoints are not known yet.
    pub fn unread(&self) -> usize {
        self.unread.borrow().len()
    }

    /// Returns the version of the last endpoint listing applied.
    pub fn last_version(&self) -> u64 {
        self.last_version.get()
    }

    /// Records the version of an endpoint listing that has been applied.
    pub fn set_last_version(&self, last_version: u64) {
        self.last_version.set(last_version);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shard_waits_for_a_reading_that_began_after_its_request() {
        let list = ListRereads::default();
        list.request([ShardId(1)]);
        let begun_at = list.requested();
        list.request([ShardId(2), ShardId(3)]);
        list.mark_read(begun_at);
        assert!(list.is_read(ShardId(1)) && !list.is_read(ShardId(2)) && list.is_requested());
        list.drop_shards(&[ShardId(3)]);
        assert_eq!(list.unread(), 1);
        list.mark_read(list.requested());
        assert!(list.is_read(ShardId(2)) && !list.is_requested());
    }
}
