//! A tap in front of a sender that writes down what it is handed in, as a trace to replay.
//!
//! The tap passes every byte on unchanged, both ways. Of each message it keeps class, tenant, receiver and size; of
//! what it can't read it keeps nothing and passes it on all the same.

use crate::trace::{LINES_MOST, Line};
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

/// Connections that pass at once.
const CONNECTIONS_MOST: usize = 1024;
/// What is read at a time.
const PIECE: usize = 16 * 1024;

/// Where a tap stands.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Where clients connect to it.
    pub listen: SocketAddr,
    /// The sender behind it.
    pub to: SocketAddr,
    /// For how long it stands; until Ctrl-C if nothing is said.
    pub lasting: Option<Duration>,
}

struct Trace {
    start: Instant,
    out: RefCell<BufWriter<File>>,
    lines: Cell<usize>,
    failed: RefCell<Option<io::Error>>,
}

impl Trace {
    fn take(&self, line: &Line) {
        if self.lines.get() >= LINES_MOST || self.failed.borrow().is_some() {
            return;
        }
        let mut out = self.out.borrow_mut();
        let written = serde_json::to_writer(&mut *out, line).map_err(io::Error::from);
        match written.and_then(|()| out.write_all(b"\n")) {
            Ok(()) => self.lines.set(self.lines.get() + 1),
            Err(e) => _ = self.failed.replace(Some(e)),
        }
    }
}

/// Stands as a tap, and writes the trace to `path`; how many messages it has seen. `ready` hears where it listens.
///
/// # Errors
/// The address can't be listened on, or the trace not be written.
pub fn capture(tap: &Tap, path: &Path, ready: impl FnOnce(SocketAddr)) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(tap.listen).await?;
        ready(listener.local_addr()?);
        let (out, start) = (RefCell::new(BufWriter::new(File::create(path)?)), Instant::now());
        let trace = Rc::new(Trace { start, out, lines: Cell::new(0), failed: RefCell::default() });
        let until = async {
            match tap.lasting {
                Some(lasting) => tokio::time::sleep(lasting).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stand(listener, tap.to, trace.clone()) => {}
            () = until => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        if let Some(e) = trace.failed.take() {
            return Err(e);
        }
        trace.out.borrow_mut().flush()?;
        Ok(trace.lines.get())
    })
}

async fn stand(listener: TcpListener, to: SocketAddr, trace: Rc<Trace>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= CONNECTIONS_MOST {
            continue;
        }
        open.set(open.get() + 1);
        let (trace, open) = (trace.clone(), open.clone());
        tokio::task::spawn_local(async move {
            _ = pass(client, to, &trace).await;
            open.set(open.get() - 1);
        });
    }
}

async fn pass(client: TcpStream, to: SocketAddr, trace: &Trace) -> io::Result<()> {
    let sender = TcpStream::connect(to).await?;
    client.set_nodelay(true)?;
    sender.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_sender, mut to_sender) = sender.into_split();
    let up = async {
        let mut piece = vec![0; PIECE];
        // What has come and is no whole command yet; nothing once something came that is no command.
        let mut read = Some(BytesMut::new());
        loop {
            let n = from_client.read(&mut piece).await?;
            if n == 0 {
                return to_sender.shutdown().await;
            }
            if let Some(buf) = &mut read {
                buf.extend_from_slice(&piece[..n]);
                if !look(buf, trace) {
                    read = None;
                }
            }
            to_sender.write_all(&piece[..n]).await?;
        }
    };
    let down = async {
        tokio::io::copy(&mut from_sender, &mut to_client).await?;
        to_client.shutdown().await
    };
    tokio::try_join!(up, down).map(|_| ())
}

/// Takes whole commands off what has come; false once something is no command.
fn look(buf: &mut BytesMut, trace: &Trace) -> bool {
    loop {
        match decode_command(buf) {
            Ok(Some(args)) => {
                let is_put = args.first().is_some_and(|n| n.eq_ignore_ascii_case(b"MSG.PUT"));
                let Some(put) = decode_put(&args).ok().filter(|p| is_put && !p.resubmitted) else { continue };
                trace.take(&Line {
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
