//! A relay before a member's forward address: passes bytes on both ways, and cuts or delays connections as it is told.

use bytes::BytesMut;
use embershore_protocol::resp;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// After a cut the owner's side stays open for this long: its answer comes, and no one hears it.
const OWNER_SIDE_LINGER: Duration = Duration::from_secs(1);

/// What a relay does with what passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Pass,
    /// Ends the forwarder's side once a whole `MSG.PUT` has passed, before its answer.
    CutAfterRequest,
    /// Ends a connection that comes, before any byte, and one that is open as its next byte comes, which is not
    /// passed on.
    CutBefore,
    /// Passes each request on so much later.
    Delay(Duration),
}

/// One relay.
pub struct Relay {
    pub addr: SocketAddr,
    mode: Cell<Mode>,
    /// Requests whose last byte had passed as their connection was cut.
    cut: Cell<usize>,
    /// Requests that passed.
    passed: Cell<usize>,
}

impl Relay {
    /// Starts a relay to `owner`.
    pub async fn start(owner: SocketAddr) -> Rc<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (mode, cut, passed) = (Cell::new(Mode::Pass), Cell::new(0), Cell::new(0));
        let relay = Rc::new(Relay { addr, mode, cut, passed });
        let serving = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serving.clone().connect(stream, owner));
            }
        });
        relay
    }

    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Requests whose connection was cut after their last byte had passed.
    pub fn cut(&self) -> usize {
        self.cut.get()
    }

    /// Requests that passed whole, those that were cut after it included.
    pub fn passed(&self) -> usize {
        self.passed.get()
    }

    async fn connect(self: Rc<Self>, forwarder: TcpStream, owner: SocketAddr) {
        if self.mode.get() == Mode::CutBefore {
            return;
        }
        // An owner that is down: the forwarder's connection ends before any byte.
        let Ok(owner) = TcpStream::connect(owner).await else { return };
        _ = (forwarder.set_nodelay(true), owner.set_nodelay(true));
        let ((from_forwarder, to_forwarder), (from_owner, to_owner)) =
            (forwarder.into_split(), owner.into_split());
        let cut = Rc::new(Notify::new());
        tokio::task::spawn_local(pass_answers(from_owner, to_forwarder, cut.clone()));
        self.pass_requests(from_forwarder, to_owner, &cut).await;
    }

    /// Passes requests on until the forwarder has gone or is cut off.
    async fn pass_requests(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: &Notify) {
        let mut unparsed = BytesMut::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
            match self.mode.get() {
                Mode::CutBefore => {
                    cut.notify_one();
                    return;
                }
                Mode::Delay(time) => tokio::time::sleep(time).await,
                Mode::Pass | Mode::CutAfterRequest => {}
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            unparsed.extend_from_slice(&buffer[..count]);
            let requests = take_puts(&mut unparsed);
            self.passed.set(self.passed.get() + requests);
            if requests > 0 && self.mode.get() == Mode::CutAfterRequest {
                self.cut.set(self.cut.get() + requests);
                cut.notify_one();
                drop(from);
                tokio::time::sleep(OWNER_SIDE_LINGER).await;
                return;
            }
        }
    }
}

/// Takes the whole commands off; how many of them hand a message in.
fn take_puts(unparsed: &mut BytesMut) -> usize {
    let mut requests = 0;
    while let Ok(Some(args)) = resp::decode_command(unparsed) {
        requests += usize::from(args.first().is_some_and(|name| &name[..] == b"MSG.PUT"));
    }
    requests
}

/// Passes answers on until either side has gone, or the forwarder is cut off.
async fn pass_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Rc<Notify>) {
    tokio::select! {
        biased;
        () = cut.notified() => drop(to),
        _ = tokio::io::copy(&mut from, &mut to) => return,
    }
    // What the owner still says is read, so that its side ends in order.
    let rest = async { while matches!(from.read(&mut [0; 1024]).await, Ok(1..)) {} };
    _ = tokio::time::timeout(OWNER_SIDE_LINGER, rest).await;
}
