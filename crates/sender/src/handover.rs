//! One process replaced by another: the lock on the journal's folder, and the link between the two.
//! `embershore-handover` says what follows from what.

use crate::standing::{Change, Phase, Standings};
use embershore_handover::{
    Decoder, Frame, Owner, OwnerAction, OwnerEvent, State, Successor, SuccessorAction, SuccessorEvent, encode,
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
pub const WORD_TIME: Duration = Duration::from_millis(1000);
/// Between two looks at who has the lock.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// A newcomer that has not got the journal by then is ready all the same: the platform then ends the owner, which
/// does not answer, and the lock is free. Until then clients wait at the door.
const OWNER_PATIENCE: Duration = Duration::from_millis(4500);
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
    pub fn take(&self) -> io::Result<bool> {
        taken(&self.file)
    }

    /// Waits until no other newcomer asks. What is got here ends with the process or [`Lock::end_turn`].
    async fn wait_turn(&self) -> io::Result<()> {
        while !taken(&self.turn)? {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    fn end_turn(&self) -> io::Result<()> {
        self.turn.unlock()
    }

    /// Gives it free.
    pub fn free(&self) -> io::Result<()> {
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

fn taken(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// What is heard of the other process within the time for which it is waited.
pub enum Word {
    Said(Frame),
    /// Nothing yet.
    Late,
    /// The link has ended, or can't be read on.
    Gone,
}

impl Word {
    /// What it is to an owner.
    pub fn event(&self) -> OwnerEvent<'_> {
        match self {
            Word::Said(frame) => OwnerEvent::Received(frame),
            Word::Late => OwnerEvent::TimedOut,
            Word::Gone => OwnerEvent::Disconnected,
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
pub struct Carried {
    pub say: mpsc::UnboundedSender<Frame>,
    /// What the other side says; ends with the link.
    pub frames: mpsc::UnboundedReceiver<Frame>,
    /// Ends once all is said, after `say` has been dropped.
    pub carrying: JoinHandle<()>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Link { stream, decoder: Decoder::default() }
    }

    pub async fn say(&mut self, frame: &Frame) -> io::Result<()> {
        let bytes = encode(frame).map_err(io::Error::other)?;
        tokio::time::timeout(WORD_TIME, self.stream.write_all(&bytes)).await?
    }

    /// The next frame, for as long as it takes; nothing once the other side has ended. Nothing is lost if it is not
    /// waited for to the end.
    pub async fn hear(&mut self) -> io::Result<Option<Frame>> {
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
    pub async fn hear_soon(&mut self) -> Word {
        match tokio::time::timeout(WORD_TIME, self.hear()).await {
            Ok(Ok(frame)) => frame.map_or(Word::Gone, Word::Said),
            Ok(Err(e)) => {
                eprintln!("handover: {e}");
                Word::Gone
            }
            Err(_) => Word::Late,
        }
    }

    /// Has frames go both ways by themselves, until either side ends.
    pub fn carry(self) -> Carried {
        let ((say, to_say), (heard, frames)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        Carried { say, frames, carrying: tokio::task::spawn_local(self.run(to_say, heard)) }
    }

    async fn run(mut self, mut to_say: mpsc::UnboundedReceiver<Frame>, heard: mpsc::UnboundedSender<Frame>) {
        loop {
            tokio::select! {
                biased;
                frame = to_say.recv() => match frame {
                    Some(frame) if self.say(&frame).await.is_ok() => {}
                    _ => return,
                },
                frame = self.hear() => match frame {
                    Ok(Some(frame)) => {
                        if heard.send(frame).is_err() {
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
pub async fn await_newcomers(listener: UnixListener, asked: mpsc::Sender<(Owner, Link)>) {
    loop {
        let mut link = match listener.accept().await {
            Ok((stream, _)) => Link::new(stream),
            Err(e) => {
                eprintln!("handover: accept: {e}");
                tokio::time::sleep(LOOK_EVERY).await;
                continue;
            }
        };
        let mut owner = Owner::default();
        loop {
            let then = owner.on(link.hear_soon().await.event());
            match then {
                OwnerAction::SendHello => {
                    let hello = Frame::Hello { version: embershore_handover::VERSION };
                    if link.say(&hello).await.is_err() {
                        break;
                    }
                }
                OwnerAction::Release => {
                    if asked.send((owner, link)).await.is_err() {
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
pub struct Taken {
    pub lock: Lock,
    pub former: Option<(Box<State>, Link)>,
}

/// Waits until this process owns the journal; nothing if it is told to end before.
pub async fn take_over(folder: &Path, standings: &Standings) -> io::Result<Option<Taken>> {
    let lock = Lock::new(Folder::open(folder)?)?;
    let mut follow = standings.follow();
    let work = async {
        let patience = async {
            tokio::time::sleep(OWNER_PATIENCE).await;
            eprintln!("handover: the process before this one does not answer; ready for when it has ended");
            _ = standings.change(Change::Standby);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            former = async {
                lock.wait_turn().await?;
                let former = become_owner(&lock).await?;
                lock.end_turn().map(|()| former)
            } => former,
            () = patience => Ok(None),
        }
    };
    let former = tokio::select! {
        former = work => former?,
        _ = follow.wait_for(|s| s.phase() == Phase::Stopping) => return Ok(None),
    };
    Ok(Some(Taken { lock, former }))
}

async fn become_owner(lock: &Lock) -> io::Result<Option<(Box<State>, Link)>> {
    let (mut newcomer, mut link, mut told) = (Successor::default(), None::<Link>, None);
    let mut then = newcomer.on(SuccessorEvent::LockTried(lock.take()?));
    loop {
        then = match then {
            SuccessorAction::Start => return Ok(None),
            SuccessorAction::Resume => {
                let (Some(mut link), Some(state)) = (link.take(), told.take()) else { return Ok(None) };
                // If it is not heard, the owner finds the lock taken.
                _ = link.say(&Frame::Taken).await;
                return Ok(Some((state, link)));
            }
            SuccessorAction::TryLock => newcomer.on(SuccessorEvent::LockTried(lock.take()?)),
            SuccessorAction::RetryLater => {
                (link, told) = (None, None);
                tokio::time::sleep(LOOK_EVERY).await;
                newcomer.on(SuccessorEvent::LockTried(lock.take()?))
            }
            SuccessorAction::Connect => {
                link = UnixStream::connect(lock.folder.socket()).await.ok().map(Link::new);
                let hello = Frame::Hello { version: embershore_handover::VERSION };
                said(&mut newcomer, &mut link, &hello).await
            }
            SuccessorAction::RequestJournal => said(&mut newcomer, &mut link, &Frame::Take).await,
            SuccessorAction::Wait => {
                let frame = match &mut link {
                    Some(link) => match link.hear_soon().await {
                        Word::Said(frame) => Some(frame),
                        Word::Late | Word::Gone => None,
                    },
                    None => None,
                };
                let then =
                    newcomer.on(frame.as_ref().map_or(SuccessorEvent::OwnerLost, SuccessorEvent::Received));
                if let Some(Frame::State(state)) = frame {
                    told = Some(state);
                }
                then
            }
        };
    }
}

/// Says something to the owner; what follows if it can't be said.
async fn said(newcomer: &mut Successor, link: &mut Option<Link>, frame: &Frame) -> SuccessorAction {
    let well = match link {
        Some(link) => link.say(frame).await.is_ok(),
        None => false,
    };
    if well { SuccessorAction::Wait } else { newcomer.on(SuccessorEvent::OwnerLost) }
}
