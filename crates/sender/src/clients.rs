//! The server for clients and other members: RESP2 commands over TCP.

mod table;

use crate::input::Input;
use crate::placement::forward::Forwarder;
use crate::placement::metrics::count;
use crate::placement::{Placement, Routing, clock};
use crate::status::{Phase, ProcessStatus, wait_until_closing};
use crate::uninterrupted::Uninterrupted;
use bytes::{Bytes, BytesMut};
use embershore_placement::DEFAULT_WAIT_MS;
use embershore_protocol::resp::{MAX_BODY_BYTES, MAX_COMMAND_BYTES, Put, Reply, decode_command, decode_put};
use heronroute::Micros;
use std::cell::{Cell, OnceCell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::{ClientEntry, ClientGuard, ClientTable};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};

/// Minimum free space of a connection's buffer before each read.
const READ_AHEAD: usize = 4096;
/// Size up to which a connection's buffer may grow without a permit. Most commands are shorter.
/// The sender's memory would not suffice if all connections had a buffer for the longest command.
const USUAL_COMMAND_BYTES: usize = 8 * 1024;
/// Upper bound of an unanswered message's memory besides its body, in bytes.
const PUT_OVERHEAD: usize = 1024;
/// Maximum number of pipelined requests of one connection that are processed together.
const MAX_PIPELINE: usize = 64;
/// Time after which a connection without an open request is closed, even if the client never sent anything.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest pause between two reads of one command; a client that pauses longer is disconnected.
/// The stall timeout is below the 3 s after which a client that sends nothing useful must be disconnected.
/// The stall timeout is longer than the pause that a slow client makes within a command.
const STALL_TIMEOUT: Duration = Duration::from_millis(2400);
/// Longest time for receiving a command: enough for the longest command at 16 KiB a second.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that a new connection gets for its first command while the sender is closing its clients' connections.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(300);
/// Time for writing replies; a client that does not read its replies within the timeout is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded on a connection that is being closed.
const MAX_DRAIN_BYTES: usize = 256 * 1024;
/// Maximum time for reading and discarding input on a connection that is being closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The reply to a command, or the channel on which the reply will arrive.
/// The permit counts the message's bytes towards the byte limit until the reply has arrived.
enum PendingReply {
    Text(String),
    Ping,
    FromDriver(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
    /// The reply of another owner, awaited even after the client has closed its sending side.
    /// A message that the other owner has accepted can't be withdrawn.
    Forwarded(oneshot::Receiver<Reply>, OwnedSemaphorePermit),
}

/// A message that has been read and not been submitted yet.
struct UnsubmittedPut {
    put: Put,
    read_at: Instant,
}

impl UnsubmittedPut {
    fn new(put: Put) -> Self {
        UnsubmittedPut { put, read_at: Instant::now() }
    }

    /// Returns the memory that the message is counted with until it has a reply, in bytes.
    fn counted_bytes(&self) -> u32 {
        (self.put.body.len() + PUT_OVERHEAD) as u32
    }

    /// Returns the message with the time that it has left now: it may have waited for memory.
    fn into_put(self) -> Put {
        let waited = self.read_at.elapsed().as_micros() as Micros;
        Put { time_left: (self.put.time_left - waited).max(0), ..self.put }
    }
}

/// What has become of a command that was to be started.
enum Start {
    /// The command has a reply, or will have one.
    Started(PendingReply),
    /// The message has to wait until the connection's earlier messages have their replies.
    Deferred(UnsubmittedPut),
}

impl PendingReply {
    fn busy(retry_after_ms: u64) -> Self {
        PendingReply::Text(Reply::Busy { retry_after_ms }.encode())
    }
}

/// Limits for all connections of one server (for clients, or for other members) together.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of open connections; halved while another process of this sender runs.
    pub connections: usize,
    /// Maximum total bytes of incomplete commands that are longer than [`USUAL_COMMAND_BYTES`].
    pub buffers: usize,
    /// Maximum total bytes of messages that have been read and have no reply yet.
    pub bodies: usize,
}

impl ClientLimits {
    /// Returns half of the limits, for each of two servers: one for clients, one for other members.
    pub fn halved(self) -> Self {
        ClientLimits {
            connections: (self.connections / 2).max(1),
            buffers: self.buffers / 2,
            bodies: self.bodies / 2,
        }
    }
}

/// Connection counts that are shared between the servers, the driver and the calls.
#[derive(Clone, Default)]
pub struct Shared {
    /// Number of open connections from clients to this process.
    pub connections: Rc<Cell<usize>>,
    /// Number of open connections from other members to the forward address of this process.
    pub forwarding: Rc<Cell<usize>>,
    /// Whether this process shares its descriptor limit with its predecessor, which still runs.
    pub two_processes: Rc<Cell<bool>>,
}

impl Shared {
    /// Returns the number of connections on which messages may arrive.
    pub fn open_connections(&self) -> usize {
        self.connections.get() + self.forwarding.get()
    }
}

/// Who connects to a server, and how its messages are routed.
#[derive(Clone)]
pub enum Origin {
    /// Clients, without placement: all messages go to this sender's driver.
    Clients,
    /// Clients, with placement: messages for other owners' destinations are forwarded.
    Routed(Rc<Placement>, Rc<Forwarder>),
    /// Other members: a forwarded message is accepted or refused, and never forwarded again.
    Members(Rc<Placement>),
}

impl Origin {
    fn route(&self, put: &Put) -> Routing {
        match self {
            Origin::Routed(placement, _) => placement.route(put),
            Origin::Clients | Origin::Members(_) => Routing::Local,
        }
    }

    /// Returns the current time of the clock that forwarding uses, to date a message just read; 0 without forwarding.
    fn clock(&self) -> Micros {
        match self {
            Origin::Routed(..) => clock::now(),
            Origin::Clients | Origin::Members(_) => 0,
        }
    }

    /// Returns the counter of open connections for the server with this origin.
    fn connections(&self, shared: &Shared) -> Rc<Cell<usize>> {
        match self {
            Origin::Clients | Origin::Routed(..) => shared.connections.clone(),
            Origin::Members(_) => shared.forwarding.clone(),
        }
    }

    /// Counts a message that another member forwarded, if `reply` accepts the message.
    fn count_reply(&self, reply: &Reply) {
        if let (Origin::Members(placement), Reply::Accepted) = (self, reply) {
            count(&placement.counters.taken_for_others);
        }
    }

    /// Returns the reply to a connection above the limit. On `-BUSY` a member tries the next owner.
    fn rejection(&self) -> &'static [u8] {
        match self {
            Origin::Clients | Origin::Routed(..) => b"-ERR max number of clients reached\r\n",
            Origin::Members(_) => b"-BUSY\r\n",
        }
    }
}

/// A client's connection and its unprocessed input.
struct Client {
    socket: Uninterrupted<TcpStream>,
    buf: BytesMut,
    /// When the first byte of the command at the start of `buf` was read.
    command_begun: Instant,
    /// Whether the input has ended: the client has closed its sending side. The client may still read.
    ended: bool,
    /// Whether the client is known to have closed its sending side, possibly behind input that has not been read yet.
    leaving: bool,
    /// The permit for a buffer larger than [`USUAL_COMMAND_BYTES`].
    long_command: Option<OwnedSemaphorePermit>,
    /// A message that was read and could not be started with the messages before it.
    deferred: Option<UnsubmittedPut>,
    driver: mpsc::Sender<Input>,
    status: watch::Receiver<ProcessStatus>,
    origin: Origin,
    guard: ClientGuard,
}

impl Client {
    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let (replies, malformed) = self.start_group().await;
            if replies.is_empty() {
                if self.ended || !self.read().await? {
                    return Ok(());
                }
                continue;
            }
            self.command_begun = Instant::now();
            let mut text = String::new();
            for answer in replies {
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
            if malformed {
                return self.close_gracefully().await;
            }
            // Releases the permit and the memory of a long command.
            let long_input = self.buf.len() >= READ_AHEAD || self.deferred.is_some();
            if !long_input && self.long_command.take().is_some() {
                self.buf = BytesMut::from(&self.buf[..]);
            }
        }
    }

    /// Starts the next commands that have been read, at most [`MAX_PIPELINE`] of them.
    /// Returns their replies, and whether the input after them is malformed.
    async fn start_group(&mut self) -> (Vec<PendingReply>, bool) {
        let mut replies = Vec::new();
        if let Some(put) = self.deferred.take() {
            replies.push(self.submit_when_possible(put).await);
        }
        while replies.len() < MAX_PIPELINE {
            let args = match decode_command(&mut self.buf) {
                Ok(Some(args)) => args,
                Ok(None) => break,
                Err(e) => {
                    replies.push(PendingReply::Text(format!("-ERR {e}\r\n")));
                    return (replies, true);
                }
            };
            self.guard.entry.busy.set(true);
            match self.start(&args, replies.is_empty()).await {
                Start::Started(reply) => replies.push(reply),
                Start::Deferred(put) => {
                    self.deferred = Some(put);
                    break;
                }
            }
        }
        (replies, false)
    }

    /// Reads more input. Returns false if the connection is to be closed.
    async fn read(&mut self) -> std::io::Result<bool> {
        // A stopping sender closes connections only between requests, and awaits the rest of a partly read request.
        let between = self.buf.is_empty();
        let until = if between {
            self.guard.entry.idle_since.get() + IDLE_TIMEOUT
        } else {
            (self.guard.entry.last_read.get() + STALL_TIMEOUT).min(self.command_begun + COMMAND_TIMEOUT)
        };
        let until = tokio::time::sleep_until(until.into());
        let entry = &self.guard.entry;
        let open_until =
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
            () = wait_until_closing(&mut self.status, open_until), if between => {}
            () = until => {}
        }
        if !between {
            _ = self.socket.0.try_write(b"-ERR the command was not finished in time\r\n");
        }
        self.close_gracefully().await?;
        Ok(false)
    }

    /// Closes the connection so that the last reply arrives.
    /// Closing a socket with unread input resets the connection, and the reset can overtake a reply.
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

    /// Starts processing a command. `is_first` is whether no command of its group has been started.
    async fn start(&mut self, args: &[Bytes], is_first: bool) -> Start {
        let name = args.first().map(|n| n.to_ascii_uppercase()).unwrap_or_default();
        Start::Started(match name.as_slice() {
            b"PING" => PendingReply::Ping,
            b"MSG.PUT" => match decode_put(args) {
                Ok(put) if is_first => self.submit_when_possible(UnsubmittedPut::new(put)).await,
                Ok(put) => return self.submit_if_possible(UnsubmittedPut::new(put)).await,
                Err(e) => PendingReply::Text(format!("-ERR {e}\r\n")),
            },
            _ => PendingReply::Text("-ERR unknown command\r\n".into()),
        })
    }

    /// Submits a message once the memory for messages without a reply has room for it.
    /// The connection must have no message without a reply. Connections that kept the memory of their earlier messages
    /// while they waited here would wait for each other for ever.
    async fn submit_when_possible(&mut self, put: UnsubmittedPut) -> PendingReply {
        let bodies = self.guard.table.bodies.clone();
        // Acquiring does not fail: the semaphore is never closed.
        match bodies.acquire_many_owned(put.counted_bytes()).await {
            Ok(counted) => self.submit(put, counted).await,
            Err(_) => PendingReply::busy(0),
        }
    }

    /// Submits a message if the memory for messages without a reply has room for it now.
    async fn submit_if_possible(&mut self, put: UnsubmittedPut) -> Start {
        let bodies = self.guard.table.bodies.clone();
        match bodies.try_acquire_many_owned(put.counted_bytes()) {
            Ok(counted) => Start::Started(self.submit(put, counted).await),
            Err(_) => Start::Deferred(put),
        }
    }

    /// Sends a message to the driver or to the owner of the message's destination.
    /// A message of a client that has closed its sending side is refused, which is harmless if the client still reads.
    /// If the client has left, it may submit the message again, and the message would take effect twice.
    async fn submit(&mut self, put: UnsubmittedPut, counted: OwnedSemaphorePermit) -> PendingReply {
        self.leaving = self.leaving || sending_is_closed(&self.socket.0).await;
        if self.leaving {
            return PendingReply::busy(0);
        }
        let put = put.into_put();
        let read_at = self.origin.clock();
        let route = self.origin.route(&put);
        let (reply, answer) = oneshot::channel();
        match (route, &self.origin) {
            (Routing::Forward(to), Origin::Routed(_, forwarder)) => {
                forwarder.start(put, to, read_at, reply);
                PendingReply::Forwarded(answer, counted)
            }
            (Routing::Unowned, _) => PendingReply::busy(DEFAULT_WAIT_MS),
            // Sending does not fail: the driver ends only with the process.
            _ => match self.driver.send(Input::Put(put, reply)).await {
                Ok(()) => PendingReply::FromDriver(answer, counted),
                Err(_) => PendingReply::busy(0),
            },
        }
    }

    /// Returns the reply's text, or None if the connection has failed; the dropped channel then notifies the driver.
    /// A client that has closed its sending side may have left or may still read.
    /// A message that has not been accepted yet is withdrawn and refused, which is harmless in both cases.
    /// A message that has been accepted is answered with a reply even if the client may have left.
    async fn wait(&mut self, answer: PendingReply) -> Option<String> {
        let (mut answer, _counted, wait_to_end) = match answer {
            PendingReply::Text(text) => return Some(text),
            PendingReply::Ping => {
                let status = self.status.wait_for(|s| s.phase() != Phase::Starting).await.ok()?;
                let answer =
                    if status.ready() { "+PONG\r\n" } else { "-ERR the sender takes no clients now\r\n" };
                return Some(answer.into());
            }
            PendingReply::FromDriver(answer, counted) => (answer, counted, false),
            PendingReply::Forwarded(answer, counted) => (answer, counted, true),
        };
        while !self.leaving {
            tokio::select! {
                biased;
                reply = &mut answer => return Some(self.reply_text(reply.ok())),
                read = self.read_ahead() => read.ok()?,
            }
        }
        let reply = if wait_to_end { answer.await.ok() } else { answer.try_recv().ok() };
        Some(self.reply_text(reply))
    }

    /// Reads input while a reply is awaited, as far as there is room, or else waits until the client's sending side closes.
    async fn read_ahead(&mut self) -> std::io::Result<()> {
        if self.buf.len() < USUAL_COMMAND_BYTES {
            self.buf.reserve(READ_AHEAD);
            self.ended = self.socket.read_buf(&mut self.buf).await? == 0;
            self.leaving = self.leaving || self.ended;
        } else {
            until_sending_closes(&self.socket.0).await?;
            self.leaving = true;
        }
        Ok(())
    }

    /// Encodes a reply; None means that the message was not accepted, and the client is to retry.
    fn reply_text(&self, reply: Option<Reply>) -> String {
        let reply = reply.unwrap_or(Reply::Busy { retry_after_ms: 0 });
        self.origin.count_reply(&reply);
        reply.encode()
    }
}

/// Waits until the peer has closed its sending side, or the connection, also if input before that has not been read.
async fn until_sending_closes(socket: &TcpStream) -> std::io::Result<()> {
    // The readiness for priority data includes that the peer has closed its sending side, and no ordinary input.
    while !socket.ready(Interest::PRIORITY).await?.is_read_closed() {}
    Ok(())
}

/// Whether the peer is known to have closed its sending side, or the connection has failed.
async fn sending_is_closed(socket: &TcpStream) -> bool {
    tokio::select! {
        biased;
        _ = until_sending_closes(socket) => true,
        () = std::future::ready(()) => false,
    }
}

/// Accepts and serves connections until the sender stops and its connections close.
/// A lame duck still accepts connections: the load balancer sends some until its next poll of the sender's readiness.
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
            // The next connection may be ready already.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => continue,
            Err(e) => {
                eprintln!("clients: accepting a connection failed, retrying in 20 ms: {e}");
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
            socket: Uninterrupted(socket),
            buf,
            command_begun: now,
            ended: false,
            leaving: false,
            long_command: None,
            deferred: None,
            driver,
            status,
            origin,
            guard,
        };
        let task = tokio::task::spawn_local(async move {
            // An I/O error means that the client has disconnected, which needs no log line.
            _ = client.serve().await;
        });
        _ = entry.task.set(task.abort_handle());
    }
}
