//! The pool of connections to other members, bounded in number.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Idle time after which a connection to a member is not reused. The member closes an idle connection after 2 s.
/// A message that is sent while the member closes the connection would have an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// One member gets at most the total number of connections divided by this number, rounded up.
/// A member that does not answer therefore can't block forwarding to the other members.
const MEMBER_SHARE_DIVISOR: usize = 4;

/// A connection to a member without an open request.
struct IdleConnection {
    owner: SocketAddr,
    stream: TcpStream,
    idle_since: Instant,
}

/// The pool of connections to other members of the fleet.
pub struct Pool {
    max_connections: usize,
    max_per_member: usize,
    /// Number of the pool's connections to other members, in use or idle.
    open: Cell<usize>,
    /// Number of connections in use, by the member's address; the map's size is bounded by `max_connections`.
    in_use: RefCell<HashMap<SocketAddr, usize>>,
    idle: RefCell<VecDeque<IdleConnection>>,
    freed: Notify,
}

/// The right to one connection to a member, which counts as in use until the reservation is dropped.
pub struct Reservation {
    pool: Rc<Pool>,
    owner: SocketAddr,
    /// An idle connection to the member that is to be reused, if the pool had one.
    reused: Option<TcpStream>,
}

impl Pool {
    /// Creates a pool with at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Pool {
            max_connections,
            max_per_member: max_connections.div_ceil(MEMBER_SHARE_DIVISOR),
            open: Cell::new(0),
            in_use: RefCell::default(),
            idle: RefCell::default(),
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
        self.close_stale();
        let in_use = self.in_use.borrow().get(&owner).copied().unwrap_or(0);
        if in_use >= self.max_per_member {
            return None;
        }
        let reused = self.take_idle(owner);
        if reused.is_none() {
            if self.open.get() >= self.max_connections {
                // At the limit, the connection that has been idle longest is closed.
                self.idle.borrow_mut().pop_front()?;
                self.open.set(self.open.get() - 1);
            }
            self.open.set(self.open.get() + 1);
        }
        *self.in_use.borrow_mut().entry(owner).or_default() += 1;
        Some(Reservation { pool: self.clone(), owner, reused })
    }

    /// Closes idle connections that are too old or that the member has closed.
    fn close_stale(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| {
            connection.idle_since.elapsed() < MAX_IDLE_TIME && is_open_and_silent(&connection.stream)
        });
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn take_idle(&self, owner: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().rposition(|connection| connection.owner == owner)?;
        idle.remove(at).map(|connection| connection.stream)
    }

    fn release(&self, owner: SocketAddr) {
        let mut in_use = self.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(&owner) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(&owner);
            }
        }
        self.freed.notify_waiters();
    }
}

/// Whether the peer has neither closed the connection nor sent unexpected data.
fn is_open_and_silent(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

impl Reservation {
    /// Returns the reserved idle connection, or opens a new connection to the member.
    pub async fn connect(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.reused.take() {
            return Ok(stream);
        }
        let stream = TcpStream::connect(self.owner).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns the connection to the pool for reuse.
    pub fn put_back(self, stream: TcpStream) {
        let idle = IdleConnection { owner: self.owner, stream, idle_since: Instant::now() };
        self.pool.idle.borrow_mut().push_back(idle);
        // Compensates for the decrement of the connection count when the reservation `self` is dropped.
        self.pool.open.set(self.pool.open.get() + 1);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.release(self.owner);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
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
    async fn a_connection_is_reused_until_the_member_closes_it() {
        let [(listener, owner)] = members().await;
        let pool = Pool::new(4);
        let mut reservation = pool.reserve(owner).await;
        let stream = reservation.connect().await.unwrap();
        let (mut other_end, _) = listener.accept().await.unwrap();
        let port = stream.local_addr().unwrap().port();
        reservation.put_back(stream);
        let mut reservation = pool.reserve(owner).await;
        let stream = reservation.connect().await.unwrap();
        assert_eq!(stream.local_addr().unwrap().port(), port);
        reservation.put_back(stream);
        tokio::io::AsyncWriteExt::shutdown(&mut other_end).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut reservation = pool.reserve(owner).await;
        assert_ne!(reservation.connect().await.unwrap().local_addr().unwrap().port(), port);
        assert_eq!(pool.open.get(), 1);
    }

    #[tokio::test]
    async fn connections_are_limited_in_total_and_per_member() {
        let [(_a, first), (_b, second), (_c, third)] = members().await;
        let pool = Pool::new(2);
        let held = pool.try_reserve(first).unwrap();
        assert!(pool.try_reserve(first).is_none(), "one member gets one of two connections");
        let mut other = pool.try_reserve(second).unwrap();
        assert!(pool.try_reserve(third).is_none(), "all connections are in use");
        let stream = other.connect().await.unwrap();
        other.put_back(stream);
        let late = pool.try_reserve(third).expect("an idle connection is closed for it");
        drop((held, late));
        assert_eq!((pool.open.get(), pool.idle.borrow().len()), (0, 0));
    }

    #[tokio::test]
    async fn a_waiting_caller_gets_a_connection_when_one_is_released() {
        let [(_a, owner)] = members().await;
        let pool = Pool::new(1);
        let held = pool.reserve(owner).await;
        let waiting = pool.reserve(owner);
        let freeing = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            drop(held);
        };
        let (reservation, ()) = tokio::join!(waiting, freeing);
        assert_eq!((reservation.owner, pool.open.get()), (owner, 1));
    }
}
