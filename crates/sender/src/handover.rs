//! One process replaced by another: the lock on the journal's folder, and the link between the two.
//! `embershore-handover` says what follows from what.

use crate::status::{Change, Phase, SharedStatus};
use embershore_handover::{
    Decoder, Frame, Newcomer, NewcomerDo, NewcomerEvent, Owner, OwnerDo, OwnerEvent, State, encode,
};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A word of the other process that is waited for comes within this. The owner finishes what it has in hand and writes
/// the state; the newcomer takes the lock.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(1000);
/// Between two looks at who has the lock.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A newcomer that has not got the journal by then is ready all the same: the platform then ends the owner, which
/// does not answer, and the lock is free. Until then clients wait at the door.
const OWNER_TIMEOUT: Duration = Duration::from_millis(4500);
const READ_AHEAD: usize = 16 * 1024;

/// The lock by which one process owns the journal. It ends with its process at the latest.
pub struct Lock {
    file: File,
    /// Who asks for the lock holds this one: the owner gives the lock free to one newcomer, and another that came at that
    /// very moment must not have it without the state.
    turn: File,
    folder: Folder,
}

/// The folder that lasts, by a path short enough for a socket's name.
pub struct Folder {
    _open: File,
    path: PathBuf,
}

impl Folder {
    pub fn open(path: &Path) -> io::Result<Self> {
        let open = File::open(path)?;
        // A socket's name holds some hundred bytes, the folder's may be longer.
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

    /// Whether the lock is this process's now.
    pub fn try_acquire(&self) -> io::Result<bool> {
        try_lock(&self.file)
    }

    /// Waits until no other newcomer asks. What is got here ends with the process or [`Lock::end_turn`].
    async fn wait_for_turn(&self) -> io::Result<()> {
        while !try_lock(&self.turn)? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn end_turn(&self) -> io::Result<()> {
        self.turn.unlock()
    }

    /// Gives it free.
    pub fn release(&self) -> io::Result<()> {
        self.file.unlock()
    }

    /// The socket at which newcomers ask. Only the lock's holder makes it, in the place of one that an earlier process
    /// left.
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

/// What is heard of the other process within the time for which it is waited.
pub enum Received {
    Frame(Frame),
    /// Nothing yet.
    Timeout,
    /// The link has ended, or can't be read on.
    Closed,
}

impl Received {
    /// What it is to an owner.
    pub fn event(&self) -> OwnerEvent<'_> {
        match self {
            Received::Frame(frame) => OwnerEvent::Heard(frame),
            Received::Timeout => OwnerEvent::Late,
            Received::Closed => OwnerEvent::Gone,
        }
    }
}

/// A connection between the two processes.
pub struct Link {
    stream: UnixStream,
    decoder: Decoder,
}

/// A link that is read and written in the background. Unbounded both ways: what is told are the messages of clients, which
/// their places bound, and the ends of calls, which the slots do.
pub struct BackgroundLink {
    pub send: mpsc::UnboundedSender<Frame>,
    /// What the other side says; ends with the link.
    pub frames: mpsc::UnboundedReceiver<Frame>,
    /// Ends once all is said, after `say` has been dropped.
    pub task: JoinHandle<()>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Link { stream, decoder: Decoder::default() }
    }

    pub async fn send(&mut self, frame: &Frame) -> io::Result<()> {
        let bytes = encode(frame).map_err(io::Error::other)?;
        tokio::time::timeout(FRAME_TIMEOUT, self.stream.write_all(&bytes)).await?
    }

    /// The next frame, for as long as it takes; nothing once the other side has ended. Nothing is lost if it is not
    /// waited for to the end.
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

    /// The next frame, if it comes in time.
    pub async fn receive_soon(&mut self) -> Received {
        match tokio::time::timeout(FRAME_TIMEOUT, self.receive()).await {
            Ok(Ok(frame)) => frame.map_or(Received::Closed, Received::Frame),
            Ok(Err(e)) => {
                eprintln!("handover: {e}");
                Received::Closed
            }
            Err(_) => Received::Timeout,
        }
    }

    /// Has frames go both ways by themselves, until either side ends.
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

/// Lets newcomers in, one after the other, and tells the driver of each that asks for the journal. Ends with the
/// channel, once this process owns nothing any more.
pub async fn accept_takeovers(listener: UnixListener, requests: mpsc::Sender<(Owner, Link)>) {
    loop {
        let mut link = match listener.accept().await {
            Ok((stream, _)) => Link::new(stream),
            Err(e) => {
                eprintln!("handover: accept: {e}");
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        let mut owner = Owner::default();
        loop {
            let then = owner.on(link.receive_soon().await.event());
            match then {
                OwnerDo::Greet => {
                    let hello = Frame::Hello { version: embershore_handover::VERSION };
                    if link.send(&hello).await.is_err() {
                        break;
                    }
                }
                OwnerDo::Give => {
                    if requests.send((owner, link)).await.is_err() {
                        return;
                    }
                    break;
                }
                _ => {
                    eprintln!("handover: a newcomer has not asked as this version does, or has gone");
                    break;
                }
            }
        }
    }
}

/// What a newcomer has got: the lock, and where the process before it lives, its state and the link to it.
pub struct Acquired {
    pub lock: Lock,
    pub predecessor: Option<(Box<State>, Link)>,
}

/// Waits until this process owns the journal; nothing if it is told to end before.
pub async fn take_over(folder: &Path, status: &SharedStatus) -> io::Result<Option<Acquired>> {
    let lock = Lock::new(Folder::open(folder)?)?;
    let mut follow = status.subscribe();
    let work = async {
        let patience = async {
            tokio::time::sleep(OWNER_TIMEOUT).await;
            eprintln!("handover: the process before this one does not answer; ready for when it has ended");
            _ = status.change(Change::Standby);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            predecessor = async {
                lock.wait_for_turn().await?;
                let predecessor = become_owner(&lock).await?;
                lock.end_turn().map(|()| predecessor)
            } => predecessor,
            () = patience => Ok(None),
        }
    };
    let predecessor = tokio::select! {
        predecessor = work => predecessor?,
        _ = follow.wait_for(|s| s.phase() == Phase::Stopping) => return Ok(None),
    };
    Ok(Some(Acquired { lock, predecessor }))
}

async fn become_owner(lock: &Lock) -> io::Result<Option<(Box<State>, Link)>> {
    let (mut newcomer, mut link, mut received_state) = (Newcomer::default(), None::<Link>, None);
    let mut then = newcomer.on(NewcomerEvent::Lock(lock.try_acquire()?));
    loop {
        then = match then {
            NewcomerDo::Start => return Ok(None),
            NewcomerDo::GoOn => {
                let (Some(mut link), Some(state)) = (link.take(), received_state.take()) else {
                    return Ok(None);
                };
                // If it is not heard, the owner finds the lock taken.
                _ = link.send(&Frame::Taken).await;
                return Ok(Some((state, link)));
            }
            NewcomerDo::TryLock => newcomer.on(NewcomerEvent::Lock(lock.try_acquire()?)),
            NewcomerDo::Pause => {
                (link, received_state) = (None, None);
                tokio::time::sleep(POLL_INTERVAL).await;
                newcomer.on(NewcomerEvent::Lock(lock.try_acquire()?))
            }
            NewcomerDo::Greet => {
                link = UnixStream::connect(lock.folder.socket()).await.ok().map(Link::new);
                let hello = Frame::Hello { version: embershore_handover::VERSION };
                send_or_lost(&mut newcomer, &mut link, &hello).await
            }
            NewcomerDo::Ask => send_or_lost(&mut newcomer, &mut link, &Frame::Take).await,
            NewcomerDo::Wait => {
                let frame = match &mut link {
                    Some(link) => match link.receive_soon().await {
                        Received::Frame(frame) => Some(frame),
                        Received::Timeout | Received::Closed => None,
                    },
                    None => None,
                };
                let then = newcomer.on(frame.as_ref().map_or(NewcomerEvent::Lost, NewcomerEvent::Heard));
                if let Some(Frame::State(state)) = frame {
                    received_state = Some(state);
                }
                then
            }
        };
    }
}

/// Says something to the owner; what follows if it can't be said.
async fn send_or_lost(newcomer: &mut Newcomer, link: &mut Option<Link>, frame: &Frame) -> NewcomerDo {
    let sent = match link {
        Some(link) => link.send(frame).await.is_ok(),
        None => false,
    };
    if sent { NewcomerDo::Wait } else { newcomer.on(NewcomerEvent::Lost) }
}
