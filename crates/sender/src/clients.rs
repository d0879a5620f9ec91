//! The clients' side: a server of RESP2 commands.

use crate::input::Input;
use crate::placement::forward::Forwarder;
use crate::placement::metrics::count;
use crate::placement::{Placement, Routing, clock};
use crate::status::{Phase, ProcessStatus, wait_until_closing};
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
const USUAL_COMMAND_BYTES: usize = 8 * 1024;
/// What a message that is not answered yet takes beside its body, at the most.
const PUT_OVERHEAD: usize = 1024;
/// Requests of one connection that are in work together when a client pipelines.
const MAX_PIPELINE: usize = 64;
/// A connection on which no request is open closes after this, also one that has never said anything.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A command that has begun goes on within this: under the 3 s after which a client that says nothing of use is to be
/// turned away, and over the time that a slow client takes between its pieces.
const STALL_TIMEOUT: Duration = Duration::from_millis(2400);
/// It has come to its end by then, in pieces of whatever size: the longest command at 16 KiB a second.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(8);
/// Where places are short: whoever has said nothing for this long, and owes the next word, gives way first ...
const EVICT_SILENT_AFTER: Duration = Duration::from_millis(300);
/// ... and then whoever has been served and has asked nothing for this long.
const EVICT_SERVED_AFTER: Duration = Duration::from_millis(1000);
/// While connections are being closed, a new one has this long to say what it has come for.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(300);
/// A client that does not read its answers is left.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// What is read and thrown away of a connection that is being ended.
const MAX_DRAIN_BYTES: usize = 256 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer that is known, or one that the driver will give; its message's bytes are counted until then.
enum Response {
    Text(String),
    Ping,
    FromDriver(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
    /// An owner gives it, whether or not the client still sends: what it has taken on can't be withdrawn.
    Forwarded(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
}

impl Response {
    fn busy(after_ms: u64) -> Self {
        Response::Text(Reply::Busy { retry_after_ms: after_ms }.encode())
    }
}

/// What clients' connections may hold together.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Connections; half of them while another process of this sender has some.
    pub connections: usize,
    /// Bytes of commands that are longer than a usual one and not read to their end.
    pub buffers: usize,
    /// Bytes of messages that have been read and not answered.
    pub bodies: usize,
}

impl ClientLimits {
    /// Half of them: where clients and other members come in at two addresses.
    pub fn halved(self) -> Self {
        ClientLimits {
            connections: (self.connections / 2).max(1),
            buffers: self.buffers / 2,
            bodies: self.bodies / 2,
        }
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
    pub two_processes: Rc<Cell<bool>>,
}

impl Shared {
    /// All connections on which messages come in.
    pub fn open_connections(&self) -> usize {
        self.connections.get() + self.forwarding.get()
    }
}

/// Who connects, and what becomes of the messages that come in.
#[derive(Clone)]
pub enum Origin {
    /// Clients, where this sender takes all messages itself.
    Clients,
    /// Clients, where other members own some destinations: their messages are forwarded.
    Routed(Rc<Placement>, Rc<Forwarder>),
    /// Other members: what they forward is served or refused, and never forwarded again.
    Members(Rc<Placement>),
}

impl Origin {
    fn route(&self, put: &Put) -> Routing {
        match self {
            Origin::Routed(placement, _) => placement.route(put),
            Origin::Clients | Origin::Members(_) => Routing::Local,
        }
    }

    /// When a message was read, by the clock that its forwarding goes by.
    fn clock(&self) -> Micros {
        match self {
            Origin::Routed(..) => clock::now(),
            Origin::Clients | Origin::Members(_) => 0,
        }
    }

    /// Where its connections are counted.
    fn connections(&self, shared: &Shared) -> Rc<Cell<usize>> {
        match self {
            Origin::Clients | Origin::Routed(..) => shared.connections.clone(),
            Origin::Members(_) => shared.forwarding.clone(),
        }
    }

    /// Counts what has been answered.
    fn count_reply(&self, reply: &Reply) {
        if let (Origin::Members(placement), Reply::Accepted) = (self, reply) {
            count(&placement.counters.taken_for_others);
        }
    }

    /// What one is told for whom there is no place. A member goes on to the next owner.
    fn rejection(&self) -> &'static [u8] {
        match self {
            Origin::Clients | Origin::Routed(..) => b"-ERR max number of clients reached\r\n",
            Origin::Members(_) => b"-BUSY\r\n",
        }
    }
}

/// A connection's place, as others see it.
struct ClientEntry {
    /// A request of it has been answered. Those that have asked nothing yet give way first.
    served: Cell<bool>,
    /// A request is open.
    busy: Cell<bool>,
    /// Since when none is.
    idle_since: Cell<Instant>,
    /// When something of it was last read.
    last_read: Cell<Instant>,
    /// A command has come in part.
    partial: Cell<bool>,
    task: OnceCell<AbortHandle>,
}

impl ClientEntry {
    /// Who gives way to a newcomer: the least first. Those at work never do.
    fn rank(&self, now: Instant) -> (u8, Instant) {
        let last = self.idle_since.get().max(self.last_read.get());
        let silent_for = now.saturating_duration_since(last);
        let awaits_input = self.partial.get() || !self.served.get();
        let rank = match awaits_input {
            // It has said nothing yet, or stands still half written.
            true if silent_for >= EVICT_SILENT_AFTER => 0,
            false if silent_for >= EVICT_SERVED_AFTER => 1,
            // It may only be on its way: a message that is cut off here is lost.
            true => 2,
            false => 3,
        };
        (rank, last)
    }
}

/// The places in use.
struct ClientTable {
    /// How many.
    open_count: Rc<Cell<usize>>,
    entries: RefCell<BTreeMap<u64, Rc<ClientEntry>>>,
    freed: Notify,
    buffers: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
}

impl ClientTable {
    /// Waits for a place for a newcomer. When there is none, one that is not at work gives way: many that say nothing
    /// must not keep out those that do. False if all are at work.
    async fn make_room(&self, max_connections: usize) -> bool {
        while self.entries.borrow().len() >= max_connections {
            {
                let entries = self.entries.borrow();
                let idle = entries.values().filter(|entry| !entry.busy.get());
                let now = Instant::now();
                let longest = idle.min_by_key(|entry| entry.rank(now));
                let Some(task) = longest.and_then(|entry| entry.task.get()) else { return false };
                task.abort();
            }
            self.freed.notified().await;
        }
        true
    }
}

/// Gives a connection's place back.
struct ClientGuard {
    table: Rc<ClientTable>,
    number: u64,
    entry: Rc<ClientEntry>,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(&self.number);
        self.table.open_count.set(self.table.entries.borrow().len());
        self.table.freed.notify_one();
    }
}

struct Client {
    socket: TcpStream,
    buf: BytesMut,
    /// When the command that `buf` begins with began.
    command_begun: Instant,
    /// Its client has ended its sending: it may still read.
    ended: bool,
    /// Held while `buf` may grow beyond a usual command.
    long_command: Option<OwnedSemaphorePermit>,
    driver: mpsc::Sender<Input>,
    status: watch::Receiver<ProcessStatus>,
    origin: Origin,
    guard: ClientGuard,
}

impl Client {
    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let mut answers = Vec::new();
            let mut broken = false;
            while answers.len() < MAX_PIPELINE && !broken {
                match decode_command(&mut self.buf) {
                    Ok(Some(args)) => {
                        self.guard.entry.busy.set(true);
                        answers.push(self.start(&args).await);
                    }
                    Ok(None) => break,
                    Err(e) => {
                        answers.push(Response::Text(format!("-ERR {e}\r\n")));
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
            self.command_begun = Instant::now();
            let mut text = String::new();
            for answer in answers {
                let Some(answer) = self.wait(answer).await else { return Ok(()) };
                text.push_str(&answer);
            }
            let written = self.socket.write_all(text.as_bytes());
            tokio::time::timeout(WRITE_TIMEOUT, written).await.map_err(std::io::Error::other)??;
            let entry = &self.guard.entry;
            entry.served.set(true);
            entry.busy.set(false);
            entry.idle_since.set(Instant::now());
            entry.partial.set(!self.buf.is_empty());
            if broken {
                return self.close_gracefully().await;
            }
            // What was kept for a long command is given back.
            if self.buf.len() < READ_AHEAD && self.long_command.take().is_some() {
                self.buf = BytesMut::from(&self.buf[..]);
            }
        }
    }

    /// Reads on; false once the connection is to close.
    async fn read(&mut self) -> std::io::Result<bool> {
        // Only between requests: one that has been read in part is waited for.
        let between = self.buf.is_empty();
        let until = if between {
            self.guard.entry.idle_since.get() + IDLE_TIMEOUT
        } else {
            (self.guard.entry.last_read.get() + STALL_TIMEOUT).min(self.command_begun + COMMAND_TIMEOUT)
        };
        let until = tokio::time::sleep_until(until.into());
        let entry = &self.guard.entry;
        let wait_to_end =
            entry.idle_since.get() + if entry.served.get() { Duration::ZERO } else { FIRST_COMMAND_GRACE };
        let buffers = self.guard.table.buffers.clone();
        let more = async {
            if self.buf.len() >= USUAL_COMMAND_BYTES && self.long_command.is_none() {
                self.long_command = buffers.acquire_many_owned(MAX_COMMAND_BYTES as u32).await.ok();
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
                    self.command_begun = now;
                }
                entry.last_read.set(now);
                entry.partial.set(true);
                return Ok(true);
            }
            () = wait_until_closing(&mut self.status, wait_to_end), if between => {}
            () = until => {}
        }
        if !between {
            _ = self.socket.try_write(b"-ERR the command was not finished in time\r\n");
        }
        self.close_gracefully().await?;
        Ok(false)
    }

    /// Ends the connection so that what was written last arrives: closing a socket with unread input resets it,
    /// which can overtake an answer.
    async fn close_gracefully(&mut self) -> std::io::Result<()> {
        self.socket.shutdown().await?;
        let drain = async {
            let mut rest = 0;
            while rest < MAX_DRAIN_BYTES {
                self.buf.clear();
                self.buf.reserve(READ_AHEAD);
                match self.socket.read_buf(&mut self.buf).await {
                    Ok(n @ 1..) => rest += n,
                    _ => break,
                }
            }
        };
        _ = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
        Ok(())
    }

    async fn start(&mut self, args: &[Bytes]) -> Response {
        let name = args.first().map(|n| n.to_ascii_uppercase()).unwrap_or_default();
        match name.as_slice() {
            b"PING" => Response::Ping,
            b"MSG.PUT" => match decode_put(args) {
                Ok(put) => self.submit(put).await,
                Err(e) => Response::Text(format!("-ERR {e}\r\n")),
            },
            _ => Response::Text("-ERR unknown command\r\n".into()),
        }
    }

    /// Hands a message to whoever decides over it.
    async fn submit(&mut self, put: Put) -> Response {
        let read_at = self.origin.clock();
        let route = self.origin.route(&put);
        let bytes = (put.body.len() + PUT_OVERHEAD) as u32;
        let bodies = self.guard.table.bodies.clone();
        let (reply, answer) = oneshot::channel();
        // The semaphore is never closed, and the driver ends with the process only.
        let Ok(counted) = bodies.acquire_many_owned(bytes).await else { return Response::busy(0) };
        match (route, &self.origin) {
            (Routing::Forward(to), Origin::Routed(_, forwarder)) => {
                forwarder.start(put, to, read_at, reply);
                Response::Forwarded(answer, counted)
            }
            (Routing::Unowned, _) => Response::busy(DEFAULT_WAIT_MS),
            _ => match self.driver.send(Input::Put(put, reply)).await {
                Ok(()) => Response::FromDriver(answer, counted),
                Err(_) => Response::busy(0),
            },
        }
    }

    /// The answer's text; nothing once the connection is broken. Dropping the driver's channel tells it so. A client
    /// that has ended its sending may have left, or still read: what is not taken on yet is withdrawn and refused, which
    /// does no harm either way, and what was taken on before is told.
    async fn wait(&mut self, answer: Response) -> Option<String> {
        let (mut answer, _counted, wait_to_end) = match answer {
            Response::Text(text) => return Some(text),
            Response::Ping => {
                let status = self.status.wait_for(|s| s.phase() != Phase::Starting).await.ok()?;
                let answer =
                    if status.ready() { "+PONG\r\n" } else { "-ERR the sender takes no clients now\r\n" };
                return Some(answer.into());
            }
            Response::FromDriver(answer, counted) => (answer, counted, false),
            Response::Forwarded(answer, counted) => (answer, counted, true),
        };
        while !self.ended {
            let room = self.buf.len() < USUAL_COMMAND_BYTES;
            if room {
                self.buf.reserve(READ_AHEAD);
            }
            tokio::select! {
                biased;
                reply = &mut answer => return Some(self.reply_text(reply.ok())),
                n = self.socket.read_buf(&mut self.buf), if room => self.ended = n.ok()? == 0,
            }
        }
        let reply = if wait_to_end { answer.await.ok() } else { answer.try_recv().ok() };
        Some(self.reply_text(reply))
    }

    /// What is written for a reply; without one the message was not taken on.
    fn reply_text(&self, reply: Option<Reply>) -> String {
        let reply = reply.unwrap_or(Reply::Busy { retry_after_ms: 0 });
        self.origin.count_reply(&reply);
        reply.encode()
    }
}

/// Serves clients until the sender stops and their connections close. While it is a lame duck new ones are let in:
/// the front asks whether it is one, and what crosses the answer is served.
pub async fn serve(
    listener: TcpListener,
    limits: ClientLimits,
    driver: mpsc::Sender<Input>,
    status: watch::Receiver<ProcessStatus>,
    shared: Shared,
    origin: Origin,
) {
    let table = Rc::new(ClientTable {
        open_count: origin.connections(&shared),
        entries: RefCell::default(),
        freed: Notify::new(),
        buffers: Arc::new(Semaphore::new(limits.buffers.max(MAX_COMMAND_BYTES))),
        bodies: Arc::new(Semaphore::new(limits.bodies.max(MAX_BODY_BYTES + PUT_OVERHEAD))),
    });
    let mut follow = status.clone();
    let mut stopped = std::pin::pin!(async {
        _ = follow.wait_for(|s| matches!(s.phase(), Phase::Stopping | Phase::HandedOver)).await;
        wait_until_closing(&mut follow, Instant::now()).await;
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
        let max_connections =
            if shared.two_processes.get() { limits.connections.div_ceil(2) } else { limits.connections };
        if !table.make_room(max_connections).await {
            _ = socket.try_write(origin.rejection());
            _ = socket.shutdown().await;
            continue;
        }
        _ = socket.set_nodelay(true);
        let now = Instant::now();
        let (served, busy, idle_since) = (Cell::new(false), Cell::new(false), Cell::new(now));
        let (last_read, partial, task) = (Cell::new(now), Cell::new(false), OnceCell::new());
        let entry = Rc::new(ClientEntry { served, busy, idle_since, last_read, partial, task });
        table.entries.borrow_mut().insert(number, entry.clone());
        table.open_count.set(table.entries.borrow().len());
        let guard = ClientGuard { table: table.clone(), number, entry: entry.clone() };
        let (buf, driver, status) = (BytesMut::new(), driver.clone(), status.clone());
        let origin = origin.clone();
        let client = Client {
            socket,
            buf,
            command_begun: now,
            ended: false,
            long_command: None,
            driver,
            status,
            origin,
            guard,
        };
        let task = tokio::task::spawn_local(async move {
            // A client that breaks off is no fault of the sender's.
            _ = client.serve().await;
        });
        _ = entry.task.set(task.abort_handle());
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
        let entry = |served: bool, partial: bool, silent_for: Duration| ClientEntry {
            served: Cell::new(served),
            busy: Cell::new(false),
            idle_since: Cell::new(start),
            last_read: Cell::new(now - silent_for),
            partial: Cell::new(partial),
            task: OnceCell::new(),
        };
        let order = [
            ("silent for long", entry(false, false, 2 * second)),
            ("half written, standing still", entry(false, true, second)),
            ("served, and half written since", entry(true, true, second / 2)),
            ("served long ago", entry(true, false, 2 * second)),
            ("served, resting", entry(true, false, second)),
            ("just come", entry(false, false, second / 10)),
            ("half written, going on", entry(false, true, second / 100)),
            ("just served", entry(true, false, second / 2)),
        ];
        for pair in order.windows(2) {
            let ((first, a), (then, b)) = (&pair[0], &pair[1]);
            assert!(a.rank(now) < b.rank(now), "{first} gives way before {then}");
        }
    }
}
