//! A relay in front of a member's forward address.
//! The relay copies bytes in both directions, and cuts or delays connections according to its mode.

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

/// How long the owner's side stays open after a cut: the relay receives the owner's answer, but drops it.
const OWNER_SIDE_LINGER: Duration = Duration::from_secs(1);

/// How a relay treats the connections between a forwarder and the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Pass,
    /// Closes the forwarder's connection after sending a complete `MSG.PUT` to the owner, before the owner's answer.
    CutAfterRequest,
    /// Closes a new connection before any byte passes.
    /// Closes an open connection when its next bytes arrive, and drops these bytes.
    CutBefore,
    /// Forwards each request to the owner after the given delay.
    Delay(Duration),
}

/// A relay in front of the forward address of one member.
pub struct Relay {
    pub addr: SocketAddr,
    mode: Cell<Mode>,
    /// Number of requests whose connection the relay cut after the request's last byte had passed.
    cut: Cell<usize>,
    /// Number of complete requests that passed through the relay.
    passed: Cell<usize>,
}

impl Relay {
    /// Starts a relay to the forward address `owner`.
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

    /// Sets the relay's mode for new and open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Returns how many requests passed the relay completely before the relay cut their connection.
    pub fn cut(&self) -> usize {
        self.cut.get()
    }

    /// Returns how many complete requests passed the relay, including requests whose connection was cut afterwards.
    pub fn passed(&self) -> usize {
        self.passed.get()
    }

    async fn connect(self: Rc<Self>, forwarder: TcpStream, owner: SocketAddr) {
        if self.mode.get() == Mode::CutBefore {
            return;
        }
        // If the owner is down, the forwarder's connection ends before any byte passes.
        let Ok(owner) = TcpStream::connect(owner).await else { return };
        _ = (forwarder.set_nodelay(true), owner.set_nodelay(true));
        let ((from_forwarder, to_forwarder), (from_owner, to_owner)) =
            (forwarder.into_split(), owner.into_split());
        let cut = Rc::new(Notify::new());
        tokio::task::spawn_local(pass_answers(from_owner, to_forwarder, cut.clone()));
        self.pass_requests(from_forwarder, to_owner, &cut).await;
    }

    /// Forwards requests to the owner until the forwarder closes its connection or the relay cuts the connection.
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

/// Removes the complete commands from the buffer and returns how many of these commands are `MSG.PUT`.
fn take_puts(unparsed: &mut BytesMut) -> usize {
    let mut requests = 0;
    while let Ok(Some(args)) = resp::decode_command(unparsed) {
        requests += usize::from(args.first().is_some_and(|name| &name[..] == b"MSG.PUT"));
    }
    requests
}

/// Returns answers to the forwarder until either side closes its connection or the relay cuts the forwarder's.
async fn pass_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Rc<Notify>) {
    tokio::select! {
        biased;
        () = cut.notified() => drop(to),
        _ = tokio::io::copy(&mut from, &mut to) => return,
    }
    // The owner's remaining bytes are read, so that the owner's side is closed without a TCP reset.
    let rest = async { while matches!(from.read(&mut [0; 1024]).await, Ok(1..)) {} };
    _ = tokio::time::timeout(OWNER_SIDE_LINGER, rest).await;
}
