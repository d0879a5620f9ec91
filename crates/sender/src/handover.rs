//! I/O for replacing one process by another: the lock on the journal's folder and the link between the two processes.
//! The protocol's state machines are in the crate `embershore-handover`.

use crate::status::{Change, Phase, SharedStatus};
use embershore_handover::{
    Decoder, Frame, Owner, OwnerAction, OwnerEvent, State, Successor, SuccessorAction, SuccessorEvent, encode,
};
use std::fs::{File, OpenOptions, TryLockError};
use std::future::Future;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Timeout for an expected frame from the other process.
/// Within the timeout the owner processes its queued events and writes the state, or the successor acquires the lock.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which a process tries again to acquire a lock.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a successor reports ready although it does not own the journal yet.
/// The platform then ends the unresponsive owner, which releases the lock.
/// Clients' connections wait to be accepted until the owner has ended.
const OWNER_TIMEOUT: Duration = Duration::from_millis(4500);
/// Minimum free space of the receive buffer before each read.
const READ_AHEAD: usize = 16 * 1024;

/// The file lock by which one process owns the journal. The lock is released when its process ends.
pub struct Lock {
    file: File,
    /// Lock file that the successor holds while it requests the journal.
    /// When the owner releases `file` for one successor, no other process may acquire `file` without the state.
    turn: File,
    folder: Folder,
}

/// The state folder, addressed by a path that is short enough for a Unix socket's name.
pub struct Folder {
    _open: File,
    path: PathBuf,
}

impl Folder {
    /// Opens the state folder and keeps it open, for the short path in `/proc`.
    pub fn open(path: &Path) -> io::Result<Self> {
        let open = File::open(path)?;
        // A Unix socket's name is limited to some hundred bytes; the folder's path may be longer.
        let path = PathBuf::from(format!("/proc/self/fd/{}", open.as_raw_fd()));
        Ok(Folder { _open: open, path })
    }

    fn socket(&self) -> PathBuf {
        self.path.join("handover")
    }
}

impl Lock {
    fn new(folder: Folder) -> io::Result<Self> {
        let open = |name: &str| {
            OpenOptions::new().write(true).create(true).truncate(false).open(folder.path.join(name))
        };
        let (file, turn) = (open("lock")?, open("turn")?);
        Ok(Lock { file, turn, folder })
    }

    /// Tries to acquire the lock; returns whether this process holds the lock now.
    pub fn try_acquire(&self) -> io::Result<bool> {
        try_lock(&self.file)
    }

    /// Waits until this process has acquired the lock. Only a successor whose turn it is may acquire the lock.
    async fn acquire(&self) -> io::Result<()> {
        while !self.try_acquire()? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until no other successor requests the journal. This successor's turn ends at [`Lock::end_turn`] or exit.
    async fn wait_for_turn(&self) -> io::Result<()> {
        while !try_lock(&self.turn)? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn end_turn(&self) -> io::Result<()> {
        self.turn.unlock()
    }

    /// Releases the lock on the journal.
    pub fn release(&self) -> io::Result<()> {
        self.file.unlock()
    }

    /// Creates the socket at which successors request the journal, and replaces the socket file of an earlier process.
    /// Only the process that holds the lock may create the socket.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let path = self.folder.socket();
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => UnixListener::bind(path),
        }
    }
}

fn try_lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// The result of waiting up to [`FRAME_TIMEOUT`] for a frame from the other process.
pub enum Received {
    Frame(Frame),
    /// No complete frame arrived within the timeout.
    Timeout,
    /// The link to the other process has ended, or the data received on the link is invalid.
    Closed,
}

impl Received {
    /// Returns the event that the received frame, or its absence, is to the owner's state machine.
    pub fn event(&self) -> OwnerEvent<'_> {
        match self {
            Received::Frame(frame) => OwnerEvent::Received(frame),
            Received::Timeout => OwnerEvent::TimedOut,
            Received::Closed => OwnerEvent::Disconnected,
        }
    }
}

/// A connection between the owner of the journal and its successor.
pub struct Link {
    stream: UnixStream,
    decoder: Decoder,
}

/// A link that a task reads and writes. The link's channels are unbounded, but their content is bounded.
/// The number of connections bounds the clients' messages, and the number of slots bounds the reports of ended calls.
pub struct BackgroundLink {
    pub send: mpsc::UnboundedSender<Frame>,
    /// The frames received on the link. The channel closes when the link ends.
    pub frames: mpsc::UnboundedReceiver<Frame>,
    /// The link's task, which ends once `send` has been dropped and all frames sent on it have been written.
    pub task: JoinHandle<()>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Link { stream, decoder: Decoder::default() }
    }

    /// Writes a frame to the link, within [`FRAME_TIMEOUT`].
    pub async fn send(&mut self, frame: &Frame) -> io::Result<()> {
        let bytes = encode(frame).map_err(io::Error::other)?;
        tokio::time::timeout(FRAME_TIMEOUT, self.stream.write_all(&bytes)).await?
    }

    /// Waits for the next frame; None once the other side has closed the link. Cancellation loses no data.
    pub async fn receive(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.decoder.decode().map_err(io::Error::other)? {
                return Ok(Some(frame));
            }
            self.decoder.buf.reserve(READ_AHEAD);
            if self.stream.read_buf(&mut self.decoder.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Waits for the next frame up to [`FRAME_TIMEOUT`].
    pub async fn receive_soon(&mut self) -> Received {
        match tokio::time::timeout(FRAME_TIMEOUT, self.receive()).await {
            Ok(Ok(frame)) => frame.map_or(Received::Closed, Received::Frame),
            Ok(Err(e)) => {
                eprintln!("handover: the link to the other process failed: {e}");
                Received::Closed
            }
            Err(_) => Received::Timeout,
        }
    }

    /// Starts a task that reads and writes frames until either side closes.
    pub fn run_in_background(self) -> BackgroundLink {
        let ((send, outgoing), (received, frames)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        BackgroundLink { send, frames, task: tokio::task::spawn_local(self.run(outgoing, received)) }
    }

    async fn run(
        mut self,
        mut outgoing: mpsc::UnboundedReceiver<Frame>,
        received: mpsc::UnboundedSender<Frame>,
    ) {
        loop {
            tokio::select! {
                biased;
                frame = outgoing.recv() => match frame {
                    Some(frame) if self.send(&frame).await.is_ok() => {}
                    _ => return,
                },
                frame = self.receive() => match frame {
                    Ok(Some(frame)) => {
                        if received.send(frame).is_err() {
                            return;
                        }
                    }
                    _ => return,
                },
            }
        }
    }
}

/// Accepts successors one at a time, and passes each that requests the journal to the driver.
/// Returns when the driver has handed the journal over and dropped its side of the channel.
pub async fn accept_takeovers(listener: UnixListener, requests: mpsc::Sender<(Owner, Link)>) {
    loop {
        let mut link = match listener.accept().await {
            Ok((stream, _)) => Link::new(stream),
            Err(e) => {
                eprintln!("handover: accepting a connection failed, retrying in {POLL_INTERVAL:?}: {e}");
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        let mut owner = Owner::default();
        loop {
            let step = owner.on(link.receive_soon().await.event());
            match step {
                OwnerAction::SendHello => {
                    let hello = Frame::Hello { version: embershore_handover::VERSION };
                    if link.send(&hello).await.is_err() {
                        break;
                    }
                }
                OwnerAction::Release => {
                    if requests.send((owner, link)).await.is_err() {
                        return;
                    }
                    break;
                }
                _ => {
                    eprintln!(
                        "handover: a new process disconnected, or uses another protocol version than {}",
                        embershore_handover::VERSION
                    );
                    break;
                }
            }
        }
    }
}

/// The lock that this process has acquired.
/// If the predecessor still runs, also the predecessor's state and the link to the predecessor.
pub struct Acquired {
    pub lock: Lock,
    pub predecessor: Option<(Box<State>, Link)>,
}

/// Waits until this process owns the journal. Returns None if the process receives the stop signal first.
/// While a predecessor serves, the journal is requested only after `list_known`: without an endpoint list this process
/// could deliver nothing, and the predecessor has a list. If the predecessor leaves, the journal is taken at once.
pub async fn take_over(
    folder: &Path,
    status: &SharedStatus,
    list_known: impl Future<Output = ()>,
) -> io::Result<Option<Acquired>> {
    let lock = Lock::new(Folder::open(folder)?)?;
    let mut follow = status.subscribe();
    let work = async {
        let owner_timeout = async {
            tokio::time::sleep(OWNER_TIMEOUT).await;
            eprintln!(
                "handover: the previous process did not hand over within {OWNER_TIMEOUT:?}; ready to start once it \
                 has ended"
            );
            _ = status.change(Change::Standby);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            predecessor = async {
                lock.wait_for_turn().await?;
                let predecessor = tokio::select! {
                    biased;
                    () = list_known => become_owner(&lock).await?,
                    acquired = lock.acquire() => acquired.map(|()| None)?,
                };
                lock.end_turn().map(|()| predecessor)
            } => predecessor,
            () = owner_timeout => Ok(None),
        }
    };
    let predecessor = tokio::select! {
        predecessor = work => predecessor?,
        _ = follow.wait_for(|s| s.phase() == Phase::Stopping) => return Ok(None),
    };
    Ok(Some(Acquired { lock, predecessor }))
}

async fn become_owner(lock: &Lock) -> io::Result<Option<(Box<State>, Link)>> {
    let (mut successor, mut link, mut received_state) = (Successor::default(), None::<Link>, None);
    let mut step = successor.on(SuccessorEvent::LockTried(lock.try_acquire()?));
    loop {
        step = match step {
            SuccessorAction::Start => return Ok(None),
            SuccessorAction::Resume => {
                let (Some(mut link), Some(state)) = (link.take(), received_state.take()) else {
                    return Ok(None);
                };
                // If the frame `Taken` does not arrive, the old owner still finds that this process holds the lock.
                _ = link.send(&Frame::Taken).await;
                return Ok(Some((state, link)));
            }
            SuccessorAction::TryLock => successor.on(SuccessorEvent::LockTried(lock.try_acquire()?)),
            SuccessorAction::RetryLater => {
                (link, received_state) = (None, None);
                tokio::time::sleep(POLL_INTERVAL).await;
                successor.on(SuccessorEvent::LockTried(lock.try_acquire()?))
            }
            SuccessorAction::Connect => {
                link = UnixStream::connect(lock.folder.socket()).await.ok().map(Link::new);
                let hello = Frame::Hello { version: embershore_handover::VERSION };
                send_or_lost(&mut successor, &mut link, &hello).await
            }
            SuccessorAction::RequestJournal => send_or_lost(&mut successor, &mut link, &Frame::Take).await,
            SuccessorAction::Wait => {
                let frame = match &mut link {
                    Some(link) => match link.receive_soon().await {
                        Received::Frame(frame) => Some(frame),
                        Received::Timeout | Received::Closed => None,
                    },
                    None => None,
                };
                let step =
                    successor.on(frame.as_ref().map_or(SuccessorEvent::OwnerLost, SuccessorEvent::Received));
                if let Some(Frame::State(state)) = frame {
                    received_state = Some(state);
                }
                step
            }
        };
    }
}

/// Sends a frame to the owner and returns the successor's next step.
/// After a successful write the successor waits for the owner's response.
/// If the write fails, the connection to the owner is lost, and the state machine returns the step for that event.
async fn send_or_lost(successor: &mut Successor, link: &mut Option<Link>, frame: &Frame) -> SuccessorAction {
    let sent = match link {
        Some(link) => link.send(frame).await.is_ok(),
        None => false,
    };
    if sent { SuccessorAction::Wait } else { successor.on(SuccessorEvent::OwnerLost) }
}
