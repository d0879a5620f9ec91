//! The list of endpoints: how it is learnt.

use crate::asking::Asking;
use crate::connection::Connection;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::input::Input;
use crate::list_limit::{self, ListLimit, TooLong};
use bytes::Bytes;
use embershore_protocol::listing::{Flaw, Listing, Listings, endpoints_begun};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// The watch says something whole every 2 s; when it has not for this long it is dead, also where it trickles. What it
/// misses counts as told 6 s after it fell silent: by then a further question may have hung, and the next been answered.
const SILENCE: Duration = Duration::from_secs(3);
/// An answer begins at once unless discovery is down. What it has to tell at its return counts at once: no question may
/// hang for longer than the least time in which a drain has to be heeded leaves.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Where asking costs it work, a question may stand in line that long before its answer says whether it succeeded.
const ANSWER_TIME_DEAR: Duration = Duration::from_secs(4);

/// Follows the list for ever. The fleet is changed as soon as a line is read, so that a drain stops calls that
/// have not begun; the driver is told of it in order. When discovery's address changes, the new one is asked at
/// once, and for the whole list: it may not know the version that the old one last told.
///
/// `index` is the version of the list in hand, if there is one.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    mut index: Option<u64>,
    mut asking: Asking,
    news: News,
) {
    let mut pause = if index.is_some() { asking.together() } else { Duration::ZERO };
    // The version that this address told last: what a list that is too long leaves in force.
    let mut in_force = index;
    loop {
        let (at, before) = (*addr.borrow_and_update(), index);
        let dear = asking.is_dear();
        let work = async {
            tokio::time::sleep(pause).await;
            let (begun, mut opened) = (Instant::now(), false);
            let ended = watch(at, &mut index, &mut in_force, dear, &mut opened, &news).await;
            let silent = ended.as_ref().is_err_and(|e| opened && e.kind() == io::ErrorKind::TimedOut);
            let rejected = ended.as_ref().err().and_then(list_limit::too_long);
            let broken = ended.is_err();
            match (rejected, ended) {
                (Some(too_long), _) => news.reject(too_long),
                (None, Err(e)) => eprintln!("discovery: {e}"),
                (None, Ok(())) => {}
            }
            // A watch that fails may bring a line first that tells nothing. A question that hung, or made the version
            // be forgotten, was of no use.
            let (took, advanced) = (begun.elapsed(), index.is_some() && index != before);
            let well = opened && (advanced || took > SILENCE);
            if rejected.is_some() {
                // Where the whole list is too long, what has changed since the last good one may not be, and the
                // other way round.
                index = if before.is_some() { None } else { in_force };
                End::Rejected(took)
            } else if silent {
                End::Silent
            } else if well && broken {
                End::Broken
            } else if well {
                End::Well
            } else {
                End::Failed(took)
            }
        };
        tokio::select! {
            biased;
            // The other end of the channel lasts as long as the process.
            _ = addr.changed() => {
                (index, in_force, pause) = (None, None, Duration::ZERO);
                asking.heard();
            }
            end = work => pause = match end {
                End::Silent => asking.silent(),
                End::Broken => asking.broken(),
                End::Well => asking.ended(),
                End::Failed(took) => asking.failed(took),
                End::Rejected(took) => asking.rejected(took),
            },
        }
    }
}

/// How a watch, or the attempt at one, has ended.
enum End {
    /// It was open and fell silent.
    Silent,
    /// It was of use, and its connection broke.
    Broken,
    /// It was of use, and discovery ended it.
    Well,
    /// It came to nothing, this long after it was begun.
    Failed(Duration),
    /// It brought a list that is too long.
    Rejected(Duration),
}

/// Where what discovery tells goes.
pub struct News {
    pub fleet: Rc<RefCell<Fleet>>,
    pub driver: mpsc::Sender<Input>,
    pub figures: Rc<Figures>,
    pub limit: ListLimit,
}

impl News {
    /// The place comes first: a new address may end the wait for it, and the fleet must not know what the driver has
    /// not been told.
    async fn tell(&self, listing: Listing) -> io::Result<()> {
        let place = self.driver.reserve().await.map_err(io::Error::other)?;
        let entries = self.fleet.borrow_mut().apply(&listing);
        place.send(Input::Members { index: listing.index, whole: listing.snapshot, entries });
        list_limit::accept(&self.figures);
        Ok(())
    }

    fn reject(&self, too_long: TooLong) {
        let in_force = self.fleet.borrow().listed() > 0;
        list_limit::reject(&self.figures, too_long, in_force);
    }
}

/// Lists of endpoints as they are told.
struct Lines {
    connection: Connection,
    body: Incoming,
    listings: Listings,
    limit: ListLimit,
    /// Since when nothing whole has come.
    since: Instant,
}

impl Lines {
    async fn ask(mut connection: Connection, path: &str, dear: bool, limit: ListLimit) -> io::Result<Lines> {
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
        let (body, listings) = (response.into_body(), Listings::default());
        Ok(Lines { connection, body, listings, limit, since: Instant::now() })
    }

    /// Reads on; nothing at the end.
    async fn read(&mut self) -> io::Result<Option<Bytes>> {
        let until = (self.since + SILENCE).into();
        let frame = self.connection.drive(self.body.frame());
        let Some(frame) = tokio::time::timeout_at(until, frame).await.map_err(silent)? else {
            return Ok(None);
        };
        Ok(Some(frame.map_err(io::Error::other)?.into_data().unwrap_or_default()))
    }

    /// All of it as one list.
    async fn whole(mut self) -> io::Result<Listing> {
        let mut text = Vec::new();
        while let Some(bytes) = self.read().await? {
            text.extend_from_slice(&bytes);
            self.limit.check(text.len(), || endpoints_begun(&text))?;
        }
        Listing::read(&text).map_err(flawed)
    }

    async fn next(&mut self) -> io::Result<Option<Listing>> {
        loop {
            let whole = self.listings.next_whole();
            if let Some(list) = whole.map_err(flawed)? {
                self.since = Instant::now();
                return Ok(Some(list));
            }
            if !self.listings.is_within() {
                self.since = Instant::now();
            }
            self.limit.check(self.listings.kept(), || self.listings.endpoints_begun())?;
            let Some(bytes) = self.read().await? else { return Ok(None) };
            self.listings.extend(&bytes);
        }
    }
}

fn flawed(flaw: Flaw) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, flaw)
}

fn silent<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "silent")
}

/// Takes the whole list, unless its version `index` is known, and then its changes until the connection ends.
async fn watch(
    addr: SocketAddr,
    index: &mut Option<u64>,
    in_force: &mut Option<u64>,
    dear: bool,
    opened: &mut bool,
    news: &News,
) -> io::Result<()> {
    let open = async || tokio::time::timeout(ANSWER_TIME, Connection::open(addr)).await.map_err(silent)?;
    let since = match *index {
        Some(since) => since,
        None => {
            let list = Lines::ask(open().await?, "/v1/servers", dear, news.limit).await?.whole().await?;
            let since = list.index;
            news.tell(Listing { snapshot: true, ..list }).await?;
            (*index, *in_force) = (Some(since), Some(since));
            since
        }
    };
    let path = format!("/v1/servers?follow=1&since={since}");
    let mut lines = match Lines::ask(open().await?, &path, dear, news.limit).await {
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
    *opened = true;
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
        news.tell(list).await?;
        (*index, *in_force) = (Some(known), Some(known));
    }
    Ok(())
}
