//! A proxy in front of a sender that writes a trace of the clients' messages; a rehearsal can replay the trace.
//!
//! The proxy forwards every byte unchanged in both directions.
//! The trace has the class, tenant, receiver and size of each message.
//! A connection whose bytes the proxy cannot parse is still forwarded, but no longer recorded.

use crate::trace::{Line, MAX_LINES};
use bytes::BytesMut;
use embershore_protocol::resp::{decode_command, decode_put};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of open connections of the proxy; further connections are closed.
const MAX_CONNECTIONS: usize = 1024;
/// Size of the proxy's buffer for reads from a client.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Addresses of a capturing proxy, and the time for which it captures.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Address on which the proxy accepts clients.
    pub listen: SocketAddr,
    /// Address of the sender to which the proxy forwards.
    pub to: SocketAddr,
    /// How long the proxy captures; `None` to capture until Ctrl-C.
    pub duration: Option<Duration>,
}

struct Trace {
    start: Instant,
    out: RefCell<BufWriter<File>>,
    lines: Cell<usize>,
    error: RefCell<Option<io::Error>>,
}

impl Trace {
    fn write(&self, line: &Line) {
        if self.lines.get() >= MAX_LINES || self.error.borrow().is_some() {
            return;
        }
        let mut out = self.out.borrow_mut();
        let written = serde_json::to_writer(&mut *out, line).map_err(io::Error::from);
        match written.and_then(|()| out.write_all(b"\n")) {
            Ok(()) => self.lines.set(self.lines.get() + 1),
            Err(e) => _ = self.error.replace(Some(e)),
        }
    }
}

/// Runs the proxy and writes the trace to `path`; returns the number of messages that the trace has.
/// `ready` is called with the address on which the proxy listens.
///
/// # Errors
/// Fails if the proxy cannot listen on its address, or the trace cannot be written.
pub fn capture(tap: &Tap, path: &Path, ready: impl FnOnce(SocketAddr)) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(tap.listen).await?;
        ready(listener.local_addr()?);
        let (out, start) = (RefCell::new(BufWriter::new(File::create(path)?)), Instant::now());
        let trace = Rc::new(Trace { start, out, lines: Cell::new(0), error: RefCell::default() });
        let time_up = async {
            match tap.duration {
                Some(duration) => tokio::time::sleep(duration).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = accept_connections(listener, tap.to, trace.clone()) => {}
            () = time_up => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        if let Some(e) = trace.error.take() {
            return Err(e);
        }
        trace.out.borrow_mut().flush()?;
        Ok(trace.lines.get())
    })
}

async fn accept_connections(listener: TcpListener, to: SocketAddr, trace: Rc<Trace>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (trace, open) = (trace.clone(), open.clone());
        tokio::task::spawn_local(async move {
            _ = relay(client, to, &trace).await;
            open.set(open.get() - 1);
        });
    }
}

async fn relay(client: TcpStream, to: SocketAddr, trace: &Trace) -> io::Result<()> {
    let sender = TcpStream::connect(to).await?;
    client.set_nodelay(true)?;
    sender.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_sender, mut to_sender) = sender.into_split();
    let upstream = async {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        // Bytes of an incomplete command. `None` after bytes that were no valid command, which end the recording.
        let mut pending = Some(BytesMut::new());
        loop {
            let n = from_client.read(&mut buffer).await?;
            if n == 0 {
                return to_sender.shutdown().await;
            }
            if let Some(buf) = &mut pending {
                buf.extend_from_slice(&buffer[..n]);
                if !scan(buf, trace) {
                    pending = None;
                }
            }
            to_sender.write_all(&buffer[..n]).await?;
        }
    };
    let downstream = async {
        tokio::io::copy(&mut from_sender, &mut to_client).await?;
        to_client.shutdown().await
    };
    tokio::try_join!(upstream, downstream).map(|_| ())
}

/// Removes complete commands from the buffer and records their messages; returns false for bytes that are no command.
fn scan(buf: &mut BytesMut, trace: &Trace) -> bool {
    loop {
        match decode_command(buf) {
            Ok(Some(args)) => {
                let is_put = args.first().is_some_and(|n| n.eq_ignore_ascii_case(b"MSG.PUT"));
                let Some(put) = decode_put(&args).ok().filter(|p| is_put && !p.resubmitted) else { continue };
                trace.write(&Line {
                    at_ms: trace.start.elapsed().as_millis() as u64,
                    class: put.class,
                    tenant: put.tenant,
                    receiver: put.dest,
                    size: put.body.len() as u32,
                });
            }
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
