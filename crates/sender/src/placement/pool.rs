//! Kept connections to other members, bounded in number.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A connection that rested longer is not used again: its other end closes it after 2 s, and what is written meanwhile
/// would have an unknown outcome.
const REST_MOST: Duration = Duration::from_secs(1);
/// One member has at most one part in so many of all connections, rounded up: one that does not answer must not keep the
/// others from being reached.
const PARTS_OF_ONE: usize = 4;

/// A connection on which nothing is open.
struct Resting {
    owner: SocketAddr,
    stream: TcpStream,
    since: Instant,
}

/// The connections of this sender to other members.
pub struct Pool {
    most: usize,
    most_of_one: usize,
    /// Connections in use or resting.
    open: Cell<usize>,
    /// Those in use, by member; bounded by `most`.
    in_use: RefCell<HashMap<SocketAddr, usize>>,
    resting: RefCell<VecDeque<Resting>>,
    freed: Notify,
}

/// A place for a connection to one member, given back when dropped. While it is held the connection is in use.
pub struct Place {
    pool: Rc<Pool>,
    owner: SocketAddr,
    /// The connection, where one was kept.
    kept: Option<TcpStream>,
}

impl Pool {
    /// At most so many connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Pool {
            most,
            most_of_one: most.div_ceil(PARTS_OF_ONE),
            open: Cell::new(0),
            in_use: RefCell::default(),
            resting: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// A place for a connection to this member, as soon as there is one. The number of those that wait is bounded by the
    /// messages that may be unanswered.
    pub async fn place(self: &Rc<Self>, owner: SocketAddr) -> Place {
        loop {
            let freed = self.freed.notified();
            let mut freed = std::pin::pin!(freed);
            // From here on no place that comes free is missed.
            freed.as_mut().enable();
            if let Some(place) = self.try_place(owner) {
                return place;
            }
            freed.await;
        }
    }

    fn try_place(self: &Rc<Self>, owner: SocketAddr) -> Option<Place> {
        self.drop_stale();
        let in_use = self.in_use.borrow().get(&owner).copied().unwrap_or(0);
        if in_use >= self.most_of_one {
            return None;
        }
        let kept = self.take_resting(owner);
        if kept.is_none() {
            if self.open.get() >= self.most {
                // The one that has rested longest gives way.
                self.resting.borrow_mut().pop_front()?;
                self.open.set(self.open.get() - 1);
            }
            self.open.set(self.open.get() + 1);
        }
        *self.in_use.borrow_mut().entry(owner).or_default() += 1;
        Some(Place { pool: self.clone(), owner, kept })
    }

    /// Closes what has rested for long, or was closed by its other end.
    fn drop_stale(&self) {
        let mut resting = self.resting.borrow_mut();
        let before = resting.len();
        resting.retain(|connection| connection.since.elapsed() < REST_MOST && is_quiet(&connection.stream));
        self.open.set(self.open.get() - (before - resting.len()));
    }

    fn take_resting(&self, owner: SocketAddr) -> Option<TcpStream> {
        let mut resting = self.resting.borrow_mut();
        let at = resting.iter().rposition(|connection| connection.owner == owner)?;
        resting.remove(at).map(|connection| connection.stream)
    }

    fn end_use(&self, owner: SocketAddr) {
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

/// Whether the other end has neither closed the connection nor said anything unasked.
fn is_quiet(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

impl Place {
    /// The connection that was kept, or a new one.
    pub async fn connect(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.kept.take() {
            return Ok(stream);
        }
        let stream = TcpStream::connect(self.owner).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps the connection for the next use.
    pub fn keep(self, stream: TcpStream) {
        let resting = Resting { owner: self.owner, stream, since: Instant::now() };
        self.pool.resting.borrow_mut().push_back(resting);
        // Dropping the place counts it as closed.
        self.pool.open.set(self.pool.open.get() + 1);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.end_use(self.owner);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    /// Members that accept connections and keep them open.
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
    async fn a_connection_is_used_again_until_its_other_end_closes_it() {
        let [(listener, owner)] = members().await;
        let pool = Pool::new(4);
        let mut place = pool.place(owner).await;
        let stream = place.connect().await.unwrap();
        let (mut other_end, _) = listener.accept().await.unwrap();
        let port = stream.local_addr().unwrap().port();
        place.keep(stream);
        let mut place = pool.place(owner).await;
        let stream = place.connect().await.unwrap();
        assert_eq!(stream.local_addr().unwrap().port(), port);
        place.keep(stream);
        tokio::io::AsyncWriteExt::shutdown(&mut other_end).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut place = pool.place(owner).await;
        assert_ne!(place.connect().await.unwrap().local_addr().unwrap().port(), port);
        assert_eq!(pool.open.get(), 1);
    }

    #[tokio::test]
    async fn places_are_bounded_together_and_for_one_member() {
        let [(_a, first), (_b, second), (_c, third)] = members().await;
        let pool = Pool::new(2);
        let held = pool.try_place(first).unwrap();
        assert!(pool.try_place(first).is_none(), "one of two for one member");
        let mut other = pool.try_place(second).unwrap();
        assert!(pool.try_place(third).is_none(), "all are in use");
        let stream = other.connect().await.unwrap();
        other.keep(stream);
        let late = pool.try_place(third).expect("the one that rests gives way");
        drop((held, late));
        assert_eq!((pool.open.get(), pool.resting.borrow().len()), (0, 0));
    }

    #[tokio::test]
    async fn whoever_waits_gets_a_place_that_comes_free() {
        let [(_a, owner)] = members().await;
        let pool = Pool::new(1);
        let held = pool.place(owner).await;
        let waiting = pool.place(owner);
        let freeing = async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            drop(held);
        };
        let (place, ()) = tokio::join!(waiting, freeing);
        assert_eq!((place.owner, pool.open.get()), (owner, 1));
    }
}
