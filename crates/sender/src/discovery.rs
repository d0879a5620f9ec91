//! The list of endpoints: how it is learnt.

use crate::connection::Connection;
use crate::endpoint_table::EndpointTable;
use crate::input::Input;
use crate::list_limit::{self, ListLimit, TooLong};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::placement::reader::ListReader;
use crate::poll_schedule::PollSchedule;
use bytes::Bytes;
use embershore_protocol::listing::{Listing, ListingError, endpoints_started};
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
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// An answer begins at once unless discovery is down. What it has to tell at its return counts at once: no question may
/// hang for longer than the least time in which a drain has to be heeded leaves.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Where asking costs it work, a question may stand in line that long before its answer says whether it succeeded.
const COSTLY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// A list of which a part is kept may be long; it has been read by then.
const FILTERED_LIST_TIMEOUT: Duration = Duration::from_secs(60);

/// Follows the list for ever. The fleet is changed as soon as a line is read, so that a drain stops calls that
/// have not begun; the driver is told of it in order. When discovery's address changes, the new one is asked at
/// once, and for the whole list: it may not know the version that the old one last told.
///
/// `index` is the version of the list in hand, if there is one.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    mut index: Option<u64>,
    mut schedule: PollSchedule,
    sink: ListingSink,
) {
    let mut pause = if index.is_some() { schedule.spread_delay() } else { Duration::ZERO };
    // The version that this address told last: what a list that is too long leaves in force.
    let mut in_force = index;
    loop {
        let (at, before) = (*addr.borrow_and_update(), index);
        let costly = schedule.is_costly();
        let spread = sink.placement.as_ref().map_or(Duration::ZERO, |_| schedule.spread_delay());
        let work = async {
            tokio::time::sleep(pause).await;
            let (begun, mut opened) = (Instant::now(), false);
            let ended = watch(at, &mut index, &mut in_force, costly, &mut opened, &sink, spread).await;
            if matches!(ended, Ok(WatchStop::ListWanted)) {
                return WatchEnd::ListWanted;
            }
            let timed_out = ended.as_ref().is_err_and(|e| opened && e.kind() == io::ErrorKind::TimedOut);
            let rejected = ended.as_ref().err().and_then(list_limit::too_long);
            let broken = ended.is_err();
            match (rejected, ended) {
                (Some(too_long), _) => sink.reject(too_long),
                (None, Err(e)) => eprintln!("discovery: {e}"),
                (None, Ok(_)) => {}
            }
            // A watch that fails may bring a line first that tells nothing. A question that hung, or made the version
            // be forgotten, was of no use.
            let (took, advanced) = (begun.elapsed(), index.is_some() && index != before);
            let well = opened && (advanced || took > STALL_TIMEOUT);
            if rejected.is_some() {
                // Where the whole list is too long, what has changed since the last good one may not be, and the
                // other way round.
                index = if before.is_some() { None } else { in_force };
                WatchEnd::Rejected(took)
            } else if timed_out {
                WatchEnd::Silent
            } else if well && broken {
                WatchEnd::Broken
            } else if well {
                WatchEnd::Well
            } else {
                WatchEnd::Failed(took)
            }
        };
        tokio::select! {
            biased;
            // The other end of the channel lasts as long as the process.
            _ = addr.changed() => {
                (index, in_force, pause) = (None, None, Duration::ZERO);
                schedule.reset();
            }
            end = work => pause = match end {
                WatchEnd::Silent => schedule.after_stall(),
                WatchEnd::Broken => schedule.after_break(),
                WatchEnd::Well => schedule.after_end(),
                WatchEnd::Failed(took) => schedule.after_failure(took),
                WatchEnd::Rejected(took) => schedule.after_rejection(took),
                WatchEnd::ListWanted => Duration::ZERO,
            },
        }
    }
}

/// How a watch, or the attempt at one, has ended.
enum WatchEnd {
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
    /// The whole list is asked for again, of which another part is kept from now on.
    ListWanted,
}

/// Where a watch ended that did not fail.
enum WatchStop {
    /// With its connection.
    Connection,
    /// Where the whole list was wanted.
    ListWanted,
}

/// Where what discovery tells goes.
pub struct ListingSink {
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub driver: mpsc::Sender<Input>,
    pub metrics: Rc<Metrics>,
    pub limit: ListLimit,
    /// Which part of a list is kept, where it is not all of it.
    pub placement: Option<Rc<Placement>>,
}

impl ListingSink {
    /// Changes the fleet and tells the driver. The place comes first: a new address may end the wait for it, and the fleet
    /// must not know what the driver has not been told.
    async fn tell(&self, listing: Listing) -> io::Result<()> {
        let place = self.driver.reserve().await.map_err(io::Error::other)?;
        let entries = self.endpoints.borrow_mut().apply(&listing);
        place.send(Input::EndpointsListed { index: listing.index, full: listing.snapshot, entries });
        list_limit::accept(&self.metrics);
        if let Some(placement) = &self.placement {
            placement.endpoint_list.set_last_version(listing.index);
        }
        Ok(())
    }

    fn reject(&self, too_long: TooLong) {
        let in_force = self.endpoints.borrow().listed() > 0;
        list_limit::reject(&self.metrics, too_long, in_force);
    }

    /// The number of the last reading of the whole list that was asked for.
    fn requested(&self) -> u64 {
        self.placement.as_ref().map_or(0, |placement| placement.endpoint_list.requested())
    }

    fn is_requested(&self) -> bool {
        self.placement.as_ref().is_some_and(|placement| placement.endpoint_list.is_requested())
    }

    fn mark_read(&self, requested: u64) {
        if let Some(placement) = &self.placement {
            placement.endpoint_list.mark_read(requested);
        }
    }

    /// Waits until the whole list is to be read again; `spread` keeps many senders that gain at once from asking at once.
    async fn until_requested(&self, spread: Duration) {
        match &self.placement {
            Some(placement) => {
                placement.endpoint_list.until_requested().await;
                tokio::time::sleep(spread).await;
            }
            None => std::future::pending().await,
        }
    }
}

/// Lists of endpoints as they are told.
struct ListStream {
    connection: Connection,
    body: Incoming,
    listings: ListReader,
    limit: ListLimit,
    /// Since when nothing whole has come.
    since: Instant,
}

impl ListStream {
    async fn ask(
        mut connection: Connection,
        path: &str,
        costly: bool,
        sink: &ListingSink,
    ) -> io::Result<ListStream> {
        let addr = connection.addr().to_string();
        let request = Request::get(path).header("host", addr).body(Full::new(Bytes::new()));
        let answer = connection.send(request.map_err(io::Error::other)?);
        let response_timeout = if costly { COSTLY_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT };
        let response = tokio::time::timeout(response_timeout, answer)
            .await
            .map_err(timed_out)?
            .map_err(io::Error::other)?;
        let status = response.status();
        if status != 200 {
            let busy = status.is_server_error() || status == 429;
            let kind = if busy { io::ErrorKind::ResourceBusy } else { io::ErrorKind::Other };
            return Err(io::Error::new(kind, format!("status {status}")));
        }
        let (body, listings) = (response.into_body(), ListReader::new(sink.placement.as_ref()));
        Ok(ListStream { connection, body, listings, limit: sink.limit, since: Instant::now() })
    }

    /// Reads on; nothing at the end.
    async fn read(&mut self) -> io::Result<Option<Bytes>> {
        let until = (self.since + STALL_TIMEOUT).into();
        let frame = self.connection.drive(self.body.frame());
        let Some(frame) = tokio::time::timeout_at(until, frame).await.map_err(timed_out)? else {
            return Ok(None);
        };
        Ok(Some(frame.map_err(io::Error::other)?.into_data().unwrap_or_default()))
    }

    /// All of it as one list.
    async fn whole(self) -> io::Result<Listing> {
        match self.listings {
            ListReader::All(_) => self.read_text().await,
            ListReader::Filtered(..) => {
                let kept = tokio::time::timeout(FILTERED_LIST_TIMEOUT, self.read_filtered());
                kept.await.map_err(timed_out)?
            }
        }
    }

    /// The part of one list that is kept, however long all of it is. It may take longer than what comes at once, as long as
    /// more of it comes.
    async fn read_filtered(mut self) -> io::Result<Listing> {
        let mut whole = None;
        loop {
            while let Some(list) = self.listings.next_listing().map_err(invalid_data)? {
                if whole.replace(list).is_some() {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "two lists where one is due"));
                }
            }
            self.limit.check(self.listings.held(), || self.listings.endpoints_started())?;
            let Some(bytes) = self.read().await? else { break };
            self.since = Instant::now();
            self.listings.extend(&bytes);
        }
        whole
            .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "the list ended before it was whole"))
    }

    async fn read_text(mut self) -> io::Result<Listing> {
        let mut text = Vec::new();
        while let Some(bytes) = self.read().await? {
            text.extend_from_slice(&bytes);
            self.limit.check(text.len(), || endpoints_started(&text))?;
        }
        Listing::read(&text).map_err(invalid_data)
    }

    async fn next(&mut self) -> io::Result<Option<Listing>> {
        loop {
            let whole = self.listings.next_listing();
            if let Some(list) = whole.map_err(invalid_data)? {
                self.since = Instant::now();
                return Ok(Some(list));
            }
            if !self.listings.is_partial() {
                self.since = Instant::now();
            }
            self.limit.check(self.listings.held(), || self.listings.endpoints_started())?;
            let Some(bytes) = self.read().await? else { return Ok(None) };
            self.listings.extend(&bytes);
        }
    }
}

fn invalid_data(flaw: ListingError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, flaw)
}

fn timed_out<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "silent")
}

/// Takes the whole list, unless its version `index` is known, and then its changes until the connection ends.
async fn watch(
    addr: SocketAddr,
    index: &mut Option<u64>,
    in_force: &mut Option<u64>,
    costly: bool,
    opened: &mut bool,
    sink: &ListingSink,
    spread: Duration,
) -> io::Result<WatchStop> {
    let open =
        async || tokio::time::timeout(RESPONSE_TIMEOUT, Connection::open(addr)).await.map_err(timed_out)?;
    let since = match index.filter(|_| !sink.is_requested()) {
        Some(since) => since,
        None => {
            let requested = sink.requested();
            let list = ListStream::ask(open().await?, "/v1/servers", costly, sink).await?.whole().await?;
            let since = list.index;
            sink.tell(Listing { snapshot: true, ..list }).await?;
            sink.mark_read(requested);
            (*index, *in_force) = (Some(since), Some(since));
            since
        }
    };
    let path = format!("/v1/servers?follow=1&since={since}");
    let mut lines = match ListStream::ask(open().await?, &path, costly, sink).await {
        Ok(lines) => lines,
        Err(e) => {
            // A version that it does not know must not be asked for again and again. Turned away, it has not
            // looked at the version, and the whole list would cost it more.
            let looked =
                e.kind() != io::ErrorKind::ResourceBusy && !(costly && e.kind() == io::ErrorKind::TimedOut);
            *index = index.filter(|_| !looked);
            return Err(e);
        }
    };
    *opened = true;
    // The same for one after which it says nothing, unless it may only have had no time for it.
    *index = index.filter(|_| costly);
    let mut known = since;
    let mut list_wanted = std::pin::pin!(sink.until_requested(spread));
    loop {
        let next = tokio::select! {
            biased;
            next = lines.next() => next,
            () = &mut list_wanted => return Ok(WatchStop::ListWanted),
        };
        let next = next.inspect_err(|e| *index = index.filter(|_| e.kind() != io::ErrorKind::InvalidData));
        let Some(list) = next? else { return Ok(WatchStop::Connection) };
        if list.index < known && !list.snapshot {
            *index = None;
            return Err(io::Error::other(format!("version {known} was asked for, {} told", list.index)));
        }
        known = list.index;
        sink.tell(list).await?;
        (*index, *in_force) = (Some(known), Some(known));
    }
}
