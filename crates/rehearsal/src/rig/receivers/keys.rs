//! The idempotency keys that a receiver remembers.

use super::Receiver;
use crate::history::Item;
use crate::judge::SOCKET_ALLOWANCE_US;
use crate::span::Micros;

/// Keys that a receiver remembers; the oldest give way. A receiver that forgets one sooner than it says would make
/// the sender's resends wrong, so this is far above what any plan sends in a window.
const MAX_REMEMBERED_KEYS: usize = 1_000_000;

impl Receiver {
    /// Whether a message's key is remembered, so that it is to take no effect; if not, it is from now on. Asked when
    /// the call comes, as the window counts: what waits in a queue is known already.
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
