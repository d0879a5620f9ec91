//! The list of endpoints: how it is learnt.

use crate::asking::Asking;
use crate::connection::Connection;
use crate::fleet::Fleet;
use crate::input::Input;
use bytes::Bytes;
use embershore_protocol::listing::Listing;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// The watch says something every 2 s; a silence this long means that it is dead.
const SILENCE: Duration = Duration::from_secs(5);
/// An answer begins at once unless discovery is down; asked again, it answers as soon as it is back.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Where asking costs it work, a question may stand in line that long before its answer says whether it succeeded.
const ANSWER_TIME_DEAR: Duration = Duration::from_secs(4);
const LINE_MOST: usize = 4 << 20;

/// Follows the list for ever. The fleet is changed as soon as a line is read, so that a drain stops calls that
/// have not begun; the driver is told of it in order. When discovery's address changes, the new one is asked at
/// once, and for the whole list: it may not know the version that the old one last told.
///
/// `index` is the version of the list in hand, if there is one.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    mut index: Option<u64>,
    mut asking: Asking,
    fleet: Rc<RefCell<Fleet>>,
    driver: mpsc::Sender<Input>,
) {
    let mut pause = if index.is_some() { asking.together() } else { Duration::ZERO };
    loop {
        let (at, before) = (*addr.borrow_and_update(), index);
        let dear = asking.is_dear();
        let work = async {
            tokio::time::sleep(pause).await;
            let begun = Instant::now();
            if let Err(e) = watch(at, &mut index, dear, &fleet, &driver).await {
                eprintln!("discovery: {e}");
            }
            // A watch that fails may bring a line first that tells nothing.
            index != before || begun.elapsed() > SILENCE
        };
        tokio::select! {
            biased;
            // The other end of the channel lasts as long as the process.
            _ = addr.changed() => {
                (index, pause) = (None, Duration::ZERO);
                asking.heard();
            }
            well = work => pause = if well { asking.ended() } else { asking.failed() },
        }
    }
}

/// Lists of endpoints as they are told, one a line.
struct Lines {
    connection: Connection,
    body: Incoming,
    text: Vec<u8>,
}

impl Lines {
    async fn ask(mut connection: Connection, path: &str, dear: bool) -> io::Result<Lines> {
        let addr = connection.addr().to_string();
        let request = Request::get(path).header("host", addr).body(Full::new(Bytes::new()));
        let answer = connection.send(request.map_err(io::Error::other)?);
        let patience = if dear { ANSWER_TIME_DEAR } else { ANSWER_TIME };
        let response =
            tokio::time::timeout(patience, answer).await.map_err(silent)?.map_err(io::Error::other)?;
        let status = response.status();
        if status != 200 {
            let busy = status.is_server_error() || status == 429;
            let kind = if busy { io::ErrorKind::ResourceBusy } else { io::ErrorKind::Other };
            return Err(io::Error::new(kind, format!("status {status}")));
        }
        Ok(Lines { connection, body: response.into_body(), text: Vec::new() })
    }

    /// Reads on; false at the end.
    async fn read(&mut self) -> io::Result<bool> {
        if self.text.len() > LINE_MOST {
            return Err(io::Error::other("a line is too long"));
        }
        let frame = self.connection.drive(self.body.frame());
        let Some(frame) = tokio::time::timeout(SILENCE, frame).await.map_err(silent)? else {
            return Ok(false);
        };
        if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
            self.text.extend_from_slice(&data);
        }
        Ok(true)
    }

    /// All of it as one list.
    async fn whole(mut self) -> io::Result<Listing> {
        while self.read().await? {}
        Ok(serde_json::from_slice(&self.text)?)
    }

    async fn next(&mut self) -> io::Result<Option<Listing>> {
        loop {
            match self.text.iter().position(|b| *b == b'\n') {
                Some(end) => {
                    let line: Vec<u8> = self.text.drain(..=end).collect();
                    if !line.iter().all(u8::is_ascii_whitespace) {
                        return Ok(Some(serde_json::from_slice(&line)?));
                    }
                }
                None if !self.read().await? => return Ok(None),
                None => {}
            }
        }
    }
}

fn silent<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "silent")
}

/// Takes the whole list, unless its version `index` is known, and then its changes until the connection ends.
async fn watch(
    addr: SocketAddr,
    index: &mut Option<u64>,
    dear: bool,
    fleet: &RefCell<Fleet>,
    driver: &mpsc::Sender<Input>,
) -> io::Result<()> {
    let tell = async |listing: Listing| {
        let entries = fleet.borrow_mut().apply(&listing);
        let news = Input::Members { index: listing.index, whole: listing.snapshot, entries };
        driver.send(news).await.map_err(io::Error::other)
    };
    let open = async || tokio::time::timeout(ANSWER_TIME, Connection::open(addr)).await.map_err(silent)?;
    let since = match *index {
        Some(since) => since,
        None => {
            let list = Lines::ask(open().await?, "/v1/servers", dear).await?.whole().await?;
            let since = list.index;
            tell(Listing { snapshot: true, ..list }).await?;
            *index = Some(since);
            since
        }
    };
    let path = format!("/v1/servers?follow=1&since={since}");
    let mut lines = match Lines::ask(open().await?, &path, dear).await {
        Ok(lines) => lines,
        Err(e) => {
            // A version that it does not know must not be asked for again and again. Turned away, it has not
            // looked at the version, and the whole list would cost it more.
            let looked =
                e.kind() != io::ErrorKind::ResourceBusy && !(dear && e.kind() == io::ErrorKind::TimedOut);
            *index = index.filter(|_| !looked);
            return Err(e);
        }
    };
    // The same for one after which it says nothing, unless it may only have had no time for it.
    *index = index.filter(|_| dear);
    let mut known = since;
    while let Some(list) = lines.next().await.inspect_err(|e| {
        *index = index.filter(|_| e.kind() != io::ErrorKind::InvalidData);
    })? {
        if list.index < known && !list.snapshot {
            *index = None;
            return Err(io::Error::other(format!("version {known} was asked for, {} told", list.index)));
        }
        known = list.index;
        tell(list).await?;
        *index = Some(known);
    }
    Ok(())
}
