//! Limits the connections to other members, in total and for each member.
//!
//! Each forwarded message has a connection of its own. A reply does not name the message that it answers, so on a
//! connection that had carried another message before, a repeated `+OK` could accept a message that no owner has taken.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// One member gets at most the total number of connections divided by this number, rounded up.
/// A member that does not answer therefore can't block forwarding to the other members.
const MEMBER_SHARE_DIVISOR: usize = 4;

/// The limits on connections to other members of the fleet, and the number of open ones.
pub struct ConnectionLimit {
    max_connections: usize,
    max_per_member: usize,
    /// Number of reserved connections to other members.
    open: Cell<usize>,
    /// Number of reserved connections by the member's address; the map's size is bounded by `max_connections`.
    by_member: RefCell<HashMap<SocketAddr, usize>>,
    freed: Notify,
}

/// The right to one connection to a member, until the reservation is dropped.
pub struct Reservation {
    limit: Rc<ConnectionLimit>,
    owner: SocketAddr,
}

impl ConnectionLimit {
    /// Allows at most `max_connections` connections at the same time.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            max_connections,
            max_per_member: max_connections.div_ceil(MEMBER_SHARE_DIVISOR),
            open: Cell::new(0),
            by_member: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Waits for a reservation of a connection to `owner`. The limit of unanswered messages bounds the waiting callers.
    pub async fn reserve(self: &Rc<Self>, owner: SocketAddr) -> Reservation {
        loop {
            let freed = self.freed.notified();
            let mut freed = std::pin::pin!(freed);
            // After `enable`, no notification of a freed connection is missed.
            freed.as_mut().enable();
            if let Some(reservation) = self.try_reserve(owner) {
                return reservation;
            }
            freed.await;
        }
    }

    fn try_reserve(self: &Rc<Self>, owner: SocketAddr) -> Option<Reservation> {
        let to_owner = self.by_member.borrow().get(&owner).copied().unwrap_or(0);
        if to_owner >= self.max_per_member || self.open.get() >= self.max_connections {
            return None;
        }
        self.open.set(self.open.get() + 1);
        *self.by_member.borrow_mut().entry(owner).or_default() += 1;
        Some(Reservation { limit: self.clone(), owner })
    }

    fn release(&self, owner: SocketAddr) {
        self.open.set(self.open.get() - 1);
        let mut by_member = self.by_member.borrow_mut();
        if let Some(count) = by_member.get_mut(&owner) {
            *count -= 1;
            if *count == 0 {
                by_member.remove(&owner);
            }
        }
        self.freed.notify_waiters();
    }
}

impl Reservation {
    /// Opens the reserved connection to the member.
    pub async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.owner).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.limit.release(self.owner);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::net::TcpListener;

    /// Returns members that accept connections and keep them open, as listeners with their addresses.
    async fn members<const N: usize>() -> [(TcpListener, SocketAddr); N] {
        let mut members = Vec::new();
        for _ in 0..N {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            members.push((listener, address));
        }
        members.try_into().unwrap_or_else(|_| unreachable!())
    }

    #[tokio::test]
    async fn each_reservation_has_a_connection_of_its_own() {
        let [(listener, owner)] = members().await;
        let limit = ConnectionLimit::new(4);
        let mut ports = std::collections::HashSet::new();
        let mut accepted = Vec::new();
        for _ in 0..3 {
            let reservation = limit.reserve(owner).await;
            let stream = reservation.connect().await.unwrap();
            accepted.push(listener.accept().await.unwrap());
            assert!(ports.insert(stream.local_addr().unwrap().port()));
            assert_eq!(limit.open.get(), 1);
        }
        assert_eq!(limit.open.get(), 0);
    }

    #[tokio::test]
    async fn connections_are_limited_in_total_and_per_member() {
        let [(_a, first), (_b, second), (_c, third)] = members().await;
        let limit = ConnectionLimit::new(2);
        let held = limit.try_reserve(first).unwrap();
        assert!(limit.try_reserve(first).is_none(), "one member gets one of two connections");
        let other = limit.try_reserve(second).unwrap();
        assert!(limit.try_reserve(third).is_none(), "all connections are in use");
        drop(other);
        let late = limit.try_reserve(third).expect("a connection is free again");
        drop((held, late));
        assert_eq!((limit.open.get(), limit.by_member.borrow().len()), (0, 0));
    }

    #[tokio::test]
    async fn a_waiting_caller_gets_a_connection_when_one_is_released() {
        let [(_a, owner)] = members().await;
        let limit = ConnectionLimit::new(1);
        let held = limit.reserve(owner).await;
        let waiting = limit.reserve(owner);
        let freeing = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            drop(held);
        };
        let (reservation, ()) = tokio::join!(waiting, freeing);
        assert_eq!((reservation.owner, limit.open.get()), (owner, 1));
    }
}
