//! The clients' side: a server of RESP2 commands.

use crate::input::Input;
use crate::placement::figures::count;
use crate::placement::forward::Forwarder;
use crate::placement::{Destination, Placement, clock};
use crate::standing::{Phase, Standing, closing};
use bytes::{Bytes, BytesMut};
use embershore_placement::DEFAULT_WAIT_MS;
use embershore_protocol::resp::{MAX_BODY_BYTES, MAX_COMMAND_BYTES, Put, Reply, decode_command, decode_put};
use heronroute::Micros;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::AbortHandle;

const READ_AHEAD: usize = 4096;
/// A buffer grows beyond this only with leave: most commands are shorter, and all connections' buffers at their
/// longest would not fit the memory.
const USUAL_MOST: usize = 8 * 1024;
/// What a message that is not answered yet takes beside its body, at the most.
const PUT_OVERHEAD: usize = 1024;
/// Requests of one connection that are in work together when a client pipelines.
const PIPELINE_MOST: usize = 64;
/// A connection on which no request is open closes after this, also one that has never said anything.
const IDLE_TIME: Duration = Duration::from_millis(2000);
/// A command that has begun goes on within this: under the 3 s after which a client that says nothing of use is to be
/// turned away, and over the time that a slow client takes between its pieces.
const STALL_TIME: Duration = Duration::from_millis(2400);
/// It has come to its end by then, in pieces of whatever size: the longest command at 16 KiB a second.
const COMMAND_TIME: Duration = Duration::from_secs(8);
/// Where places are short: whoever has said nothing for this long, and owes the next word, gives way first ...
const FRESH: Duration = Duration::from_millis(300);
/// ... and then whoever has been served and has asked nothing for this long.
const RESTED: Duration = Duration::from_millis(1000);
/// While connections are being closed, a new one has this long to say what it has come for.
const FIRST_WORD: Duration = Duration::from_millis(300);
/// A client that does not read its answers is left.
const WRITE_TIME: Duration = Duration::from_secs(1);
/// What is read and thrown away of a connection that is being ended.
const DRAIN_MOST: usize = 256 * 1024;
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// An answer that is known, or one that the driver will give; its message's bytes are counted until then.
enum Answer {
    Now(String),
    Ready,
    Later(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
    /// An owner gives it, whether or not the client still sends: what it has taken on can't be withdrawn.
    Forwarded(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
}

impl Answer {
    fn busy(after_ms: u64) -> Self {
        Answer::Now(Reply::Busy { retry_after_ms: after_ms }.encode())
    }
}

/// What clients' connections may hold together.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections; half of them while another process of this sender has some.
    pub places: usize,
    /// Bytes of commands that are longer than a usual one and not read to their end.
    pub buffers: usize,
    /// Bytes of messages that have been read and not answered.
    pub bodies: usize,
}

impl Bounds {
    /// Half of them: where clients and other members come in at two addresses.
    pub fn halved(self) -> Self {
        Bounds { places: (self.places / 2).max(1), buffers: self.buffers / 2, bodies: self.bodies / 2 }
    }
}

/// What two processes of one sender have to know while both run.
#[derive(Clone, Default)]
pub struct Shared {
    /// Clients' connections of this process.
    pub connections: Rc<Cell<usize>>,
    /// Other members' connections of this process, at its forward address.
    pub forwarding: Rc<Cell<usize>>,
    /// Descriptors are shared with the process that this one replaces.
    pub by_two: Rc<Cell<bool>>,
}

impl Shared {
    /// All connections on which messages come in.
    pub fn open_connections(&self) -> usize {
        self.connections.get() + self.forwarding.get()
    }
}

/// Who connects, and what becomes of the messages that come in.
#[derive(Clone)]
pub enum Entrance {
    /// Clients, where this sender takes all messages itself.
    Clients,
    /// Clients, where other members own some destinations: their messages are forwarded.
    Routed(Rc<Placement>, Rc<Forwarder>),
    /// Other members: what they forward is served or refused, and never forwarded again.
    Members(Rc<Placement>),
}

impl Entrance {
    fn route(&self, put: &Put) -> Destination {
        match self {
            Entrance::Routed(placement, _) => placement.route(put),
            Entrance::Clients | Entrance::Members(_) => Destination::Here,
        }
    }

    /// When a message was read, by the clock that its forwarding goes by.
    fn clock(&self) -> Micros {
        match self {
            Entrance::Routed(..) => clock::now(),
            Entrance::Clients | Entrance::Members(_) => 0,
        }
    }

    /// Where its connections are counted.
    fn connections(&self, shared: &Shared) -> Rc<Cell<usize>> {
        match self {
            Entrance::Clients | Entrance::Routed(..) => shared.connections.clone(),
            Entrance::Members(_) => shared.forwarding.clone(),
        }
    }

    /// Counts what has been answered.
    fn answered(&self, reply: &Reply) {
        if let (Entrance::Members(placement), Reply::Accepted) = (self, reply) {
            count(&placement.counters.taken_for_others);
        }
    }

    /// What one is told for whom there is no place. A member goes on to the next owner.
    fn no_place(&self) -> &'static [u8] {
        match self {
            Entrance::Clients | Entrance::Routed(..) => b"-ERR max number of clients reached\r\n",
            Entrance::Members(_) => b"-BUSY\r\n",
        }
    }
}

/// A connection's place, as others see it.
struct Place {
    /// A request of it has been answered. Those that have asked nothing yet give way first.
    asked: Cell<bool>,
    /// A request is open.
    busy: Cell<bool>,
    /// Since when none is.
    since: Cell<Instant>,
    /// When something of it was last read.
    heard: Cell<Instant>,
    /// A command has come in part.
    partial: Cell<bool>,
    task: OnceCell<AbortHandle>,
}

impl Place {
    /// Who gives way to a newcomer: the least first. Those at work never do.
    fn rank(&self, now: Instant) -> (u8, Instant) {
        let last = self.since.get().max(self.heard.get());
        let quiet = now.saturating_duration_since(last);
        let owes = self.partial.get() || !self.asked.get();
        let rank = match owes {
            // It has said nothing yet, or stands still half written.
            true if quiet >= FRESH => 0,
            false if quiet >= RESTED => 1,
            // It may only be on its way: a message that is cut off here is lost.
            true => 2,
            false => 3,
        };
        (rank, last)
    }
}

/// The places in use.
struct Places {
    /// How many.
    open: Rc<Cell<usize>>,
    taken: RefCell<BTreeMap<u64, Rc<Place>>>,
    left: Notify,
    buffers: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
}

impl Places {
    /// Waits for a place for a newcomer. When there is none, one that is not at work gives way: many that say nothing
    /// must not keep out those that do. False if all are at work.
    async fn make_room(&self, most: usize) -> bool {
        while self.taken.borrow().len() >= most {
            {
                let taken = self.taken.borrow();
                let idle = taken.values().filter(|place| !place.busy.get());
                let now = Instant::now();
                let longest = idle.min_by_key(|place| place.rank(now));
                let Some(task) = longest.and_then(|place| place.task.get()) else { return false };
                task.abort();
            }
            self.left.notified().await;
        }
        true
    }
}

/// Gives a connection's place back.
struct Seat {
    places: Rc<Places>,
    number: u64,
    place: Rc<Place>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.places.taken.borrow_mut().remove(&self.number);
        self.places.open.set(self.places.taken.borrow().len());
        self.places.left.notify_one();
    }
}

struct Client {
    socket: TcpStream,
    buf: BytesMut,
    /// When the command that `buf` begins with began.
    begun: Instant,
    /// Its client has ended its sending: it may still read.
    ended: bool,
    /// Held while `buf` may grow beyond a usual command.
    long: Option<OwnedSemaphorePermit>,
    driver: mpsc::Sender<Input>,
    standing: watch::Receiver<Standing>,
    entrance: Entrance,
    seat: Seat,
}

impl Client {
    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let mut answers = Vec::new();
            let mut broken = false;
            while answers.len() < PIPELINE_MOST && !broken {
                match decode_command(&mut self.buf) {
                    Ok(Some(args)) => {
                        self.seat.place.busy.set(true);
                        answers.push(self.start(&args).await);
                    }
                    Ok(None) => break,
                    Err(e) => {
                        answers.push(Answer::Now(format!("-ERR {e}\r\n")));
                        broken = true;
                    }
                }
            }
            if answers.is_empty() {
                if self.ended || !self.read().await? {
                    return Ok(());
                }
                continue;
            }
            self.begun = Instant::now();
            let mut text = String::new();
            for answer in answers {
                let Some(answer) = self.wait(answer).await else { return Ok(()) };
                text.push_str(&answer);
            }
            let written = self.socket.write_all(text.as_bytes());
            tokio::time::timeout(WRITE_TIME, written).await.map_err(std::io::Error::other)??;
            let place = &self.seat.place;
            place.asked.set(true);
            place.busy.set(false);
            place.since.set(Instant::now());
            place.partial.set(!self.buf.is_empty());
            if broken {
                return self.part().await;
            }
            // What was kept for a long command is given back.
            if self.buf.len() < READ_AHEAD && self.long.take().is_some() {
                self.buf = BytesMut::from(&self.buf[..]);
            }
        }
    }

    /// Reads on; false once the connection is to close.
    async fn read(&mut self) -> std::io::Result<bool> {
        // Only between requests: one that has been read in part is waited for.
        let between = self.buf.is_empty();
        let until = if between {
            self.seat.place.since.get() + IDLE_TIME
        } else {
            (self.seat.place.heard.get() + STALL_TIME).min(self.begun + COMMAND_TIME)
        };
        let until = tokio::time::sleep_until(until.into());
        let place = &self.seat.place;
        let stays = place.since.get() + if place.asked.get() { Duration::ZERO } else { FIRST_WORD };
        let buffers = self.seat.places.buffers.clone();
        let more = async {
            if self.buf.len() >= USUAL_MOST && self.long.is_none() {
                self.long = buffers.acquire_many_owned(MAX_COMMAND_BYTES as u32).await.ok();
            }
            self.buf.reserve(READ_AHEAD);
            self.socket.read_buf(&mut self.buf).await
        };
        tokio::select! {
            biased;
            n = more => {
                if n? == 0 {
                    return Ok(false);
                }
                let now = Instant::now();
                if between {
                    self.begun = now;
                }
                place.heard.set(now);
                place.partial.set(true);
                return Ok(true);
            }
            () = closing(&mut self.standing, stays), if between => {}
            () = until => {}
        }
        if !between {
            _ = self.socket.try_write(b"-ERR the command was not finished in time\r\n");
        }
        self.part().await?;
        Ok(false)
    }

    /// Ends the connection so that what was written last arrives: closing a socket with unread input resets it,
    /// which can overtake an answer.
    async fn part(&mut self) -> std::io::Result<()> {
        self.socket.shutdown().await?;
        let drain = async {
            let mut rest = 0;
            while rest < DRAIN_MOST {
                self.buf.clear();
                self.buf.reserve(READ_AHEAD);
                match self.socket.read_buf(&mut self.buf).await {
                    Ok(n @ 1..) => rest += n,
                    _ => break,
                }
            }
        };
        _ = tokio::time::timeout(DRAIN_TIME, drain).await;
        Ok(())
    }

    async fn start(&mut self, args: &[Bytes]) -> Answer {
        let name = args.first().map(|n| n.to_ascii_uppercase()).unwrap_or_default();
        match name.as_slice() {
            b"PING" => Answer::Ready,
            b"MSG.PUT" => match decode_put(args) {
                Ok(put) => self.hand_in(put).await,
                Err(e) => Answer::Now(format!("-ERR {e}\r\n")),
            },
            _ => Answer::Now("-ERR unknown command\r\n".into()),
        }
    }

    /// Hands a message to whoever decides over it.
    async fn hand_in(&mut self, put: Put) -> Answer {
        let read_at = self.entrance.clock();
        let route = self.entrance.route(&put);
        let bytes = (put.body.len() + PUT_OVERHEAD) as u32;
        let bodies = self.seat.places.bodies.clone();
        let (reply, answer) = oneshot::channel();
        // The semaphore is never closed, and the driver ends with the process only.
        let Ok(counted) = bodies.acquire_many_owned(bytes).await else { return Answer::busy(0) };
        match (route, &self.entrance) {
            (Destination::Forward(to), Entrance::Routed(_, forwarder)) => {
                forwarder.start(put, to, read_at, reply);
                Answer::Forwarded(answer, counted)
            }
            (Destination::Nowhere, _) => Answer::busy(DEFAULT_WAIT_MS),
            _ => match self.driver.send(Input::Put(put, reply)).await {
                Ok(()) => Answer::Later(answer, counted),
                Err(_) => Answer::busy(0),
            },
        }
    }

    /// The answer's text; nothing once the connection is broken. Dropping the driver's channel tells it so. A client
    /// that has ended its sending may have left, or still read: what is not taken on yet is withdrawn and refused, which
    /// does no harm either way, and what was taken on before is told.
    async fn wait(&mut self, answer: Answer) -> Option<String> {
        let (mut answer, _counted, stays) = match answer {
            Answer::Now(text) => return Some(text),
            Answer::Ready => {
                let standing = self.standing.wait_for(|s| s.phase() != Phase::Starting).await.ok()?;
                let answer =
                    if standing.ready() { "+PONG\r\n" } else { "-ERR the sender takes no clients now\r\n" };
                return Some(answer.into());
            }
            Answer::Later(answer, counted) => (answer, counted, false),
            Answer::Forwarded(answer, counted) => (answer, counted, true),
        };
        while !self.ended {
            let room = self.buf.len() < USUAL_MOST;
            if room {
                self.buf.reserve(READ_AHEAD);
            }
            tokio::select! {
                biased;
                reply = &mut answer => return Some(self.line_of(reply.ok())),
                n = self.socket.read_buf(&mut self.buf), if room => self.ended = n.ok()? == 0,
            }
        }
        let reply = if stays { answer.await.ok() } else { answer.try_recv().ok() };
        Some(self.line_of(reply))
    }

    /// What is written for a reply; without one the message was not taken on.
    fn line_of(&self, reply: Option<Reply>) -> String {
        let reply = reply.unwrap_or(Reply::Busy { retry_after_ms: 0 });
        self.entrance.answered(&reply);
        reply.encode()
    }
}

/// Serves clients until the sender stops and their connections close. While it is a lame duck new ones are let in:
/// the front asks whether it is one, and what crosses the answer is served.
pub async fn serve(
    listener: TcpListener,
    bounds: Bounds,
    driver: mpsc::Sender<Input>,
    standing: watch::Receiver<Standing>,
    shared: Shared,
    entrance: Entrance,
) {
    let places = Rc::new(Places {
        open: entrance.connections(&shared),
        taken: RefCell::default(),
        left: Notify::new(),
        buffers: Arc::new(Semaphore::new(bounds.buffers.max(MAX_COMMAND_BYTES))),
        bodies: Arc::new(Semaphore::new(bounds.bodies.max(MAX_BODY_BYTES + PUT_OVERHEAD))),
    });
    let mut follow = standing.clone();
    let mut stopped = std::pin::pin!(async {
        _ = follow.wait_for(|s| matches!(s.phase(), Phase::Stopping | Phase::HandedOver)).await;
        closing(&mut follow, Instant::now()).await;
    });
    for number in 0.. {
        let accepted = tokio::select! {
            biased;
            a = listener.accept() => a,
            () = &mut stopped => return,
        };
        let mut socket = match accepted {
            Ok((socket, _)) => socket,
            Err(e) => {
                eprintln!("clients: accept: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let most = if shared.by_two.get() { bounds.places.div_ceil(2) } else { bounds.places };
        if !places.make_room(most).await {
            _ = socket.try_write(entrance.no_place());
            _ = socket.shutdown().await;
            continue;
        }
        _ = socket.set_nodelay(true);
        let now = Instant::now();
        let (asked, busy, since) = (Cell::new(false), Cell::new(false), Cell::new(now));
        let (heard, partial, task) = (Cell::new(now), Cell::new(false), OnceCell::new());
        let place = Rc::new(Place { asked, busy, since, heard, partial, task });
        places.taken.borrow_mut().insert(number, place.clone());
        places.open.set(places.taken.borrow().len());
        let seat = Seat { places: places.clone(), number, place: place.clone() };
        let (buf, driver, standing) = (BytesMut::new(), driver.clone(), standing.clone());
        let entrance = entrance.clone();
        let client =
            Client { socket, buf, begun: now, ended: false, long: None, driver, standing, entrance, seat };
        let task = tokio::task::spawn_local(async move {
            // A client that breaks off is no fault of the sender's.
            _ = client.serve().await;
        });
        _ = place.task.set(task.abort_handle());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_gives_way_first() {
        let (start, second) = (Instant::now(), Duration::from_secs(1));
        let now = start + 10 * second;
        // Asked before, half written, and how long it has been quiet.
        let place = |asked: bool, partial: bool, quiet: Duration| Place {
            asked: Cell::new(asked),
            busy: Cell::new(false),
            since: Cell::new(start),
            heard: Cell::new(now - quiet),
            partial: Cell::new(partial),
            task: OnceCell::new(),
        };
        let order = [
            ("silent for long", place(false, false, 2 * second)),
            ("half written, standing still", place(false, true, second)),
            ("served, and half written since", place(true, true, second / 2)),
            ("served long ago", place(true, false, 2 * second)),
            ("served, resting", place(true, false, second)),
            ("just come", place(false, false, second / 10)),
            ("half written, going on", place(false, true, second / 100)),
            ("just served", place(true, false, second / 2)),
        ];
        for pair in order.windows(2) {
            let ((first, a), (then, b)) = (&pair[0], &pair[1]);
            assert!(a.rank(now) < b.rank(now), "{first} gives way before {then}");
        }
    }
}
