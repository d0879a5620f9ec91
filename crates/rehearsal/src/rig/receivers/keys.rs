//! Idempotency keys that a receiver remembers.

use super::Receiver;
use crate::history::Item;
use crate::judge::SOCKET_ALLOWANCE_US;
use crate::span::Micros;

/// Maximum number of remembered keys; the oldest keys are forgotten first.
/// A load plan has far fewer keys within the time for which receivers remember a key.
/// A receiver that forgot a key too early would let correct resends take effect twice.
const MAX_REMEMBERED_KEYS: usize = 1_000_000;

impl Receiver {
    /// Returns whether a message's key is remembered, so that the message takes no effect; if not, remembers the key.
    /// Must be called when the call arrives: the key's window starts then.
    /// Keys of messages that still wait in the endpoint's queue are remembered too.
    pub(super) fn remember_key(&self, t: Micros, item: &Item) -> bool {
        let Some(key) = item.key.as_ref().filter(|_| self.spec.key_memory > 0) else { return false };
        let mut keys = self.keys.borrow_mut();
        let mut order = self.key_order.borrow_mut();
        let memory = self.spec.key_memory + SOCKET_ALLOWANCE_US;
        while let Some((at, old)) = order.front()
            && (*at + memory < t || order.len() > MAX_REMEMBERED_KEYS)
        {
            keys.remove(old);
            order.pop_front();
        }
        if keys.contains(key) {
            return true;
        }
        keys.insert(key.clone());
        order.push_back((t, key.clone()));
        false
    }
}
