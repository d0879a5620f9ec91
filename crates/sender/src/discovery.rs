//! The discovery client: obtains the endpoint listing and follows its changes.

use crate::connection::{Answer, Connection};
use crate::endpoint_table::EndpointTable;
use crate::input::Input;
use crate::list_limit::{self, ListLimit, TooLong};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::placement::reader::ListReader;
use crate::poll_schedule::PollSchedule;
use crate::repeated_request::{RepeatPolicy, first_response};
use bytes::Bytes;
use embershore_protocol::listing::{Listing, ListingError, endpoints_started};
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Time without a complete line after which a watch counts as dead, even if single bytes arrive.
/// Discovery sends something every 2 s on a watch.
/// A change that a silent watch misses must be applied within 6 s of the start of the silence.
/// The stall timeout leaves time for one poll that hangs and another poll that is answered.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How polls are repeated until the head of discovery's response arrives.
/// Discovery may take 2 s for a response, or lose a poll in an outage.
/// Drains that discovery reports after an outage must be applied without delay, so a poll without a response is soon
/// followed by another.
const REPEAT_POLICY: RepeatPolicy = RepeatPolicy {
    first_interval: Duration::from_millis(600),
    growth: 1,
    timeout: Duration::from_millis(2400),
};
/// Timeout for opening a connection where polls cost discovery work.
const COSTLY_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for the head of discovery's response where polls cost discovery work: discovery may queue a poll that long.
const COSTLY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for reading a listing of which only the owned destinations are stored; the listing may be long.
const FILTERED_LIST_TIMEOUT: Duration = Duration::from_secs(60);

/// Follows the endpoint listing for ever; the driver receives the changes in order.
/// The endpoint table is updated as soon as a line is read, so that a drain stops calls that have not begun.
/// When discovery's address changes, the new address is polled without delay for the complete listing.
/// The new address may not know the version that the old address last sent.
///
/// `index` is the version of the known listing, if there is one.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    mut index: Option<u64>,
    mut schedule: PollSchedule,
    sink: ListingSink,
) {
    let mut pause = if index.is_some() { schedule.spread_delay() } else { Duration::ZERO };
    // The last listing version from the current address; it stays in force after a listing that is too long.
    let mut in_force = index;
    loop {
        let (at, before) = (*addr.borrow_and_update(), index);
        let costly = schedule.is_costly();
        let spread = sink.placement.as_ref().map_or(Duration::ZERO, |_| schedule.spread_delay());
        let work = async {
            tokio::time::sleep(pause).await;
            let (begun, mut opened) = (Instant::now(), false);
            let ended = watch(at, &mut index, &mut in_force, costly, &mut opened, &sink, spread).await;
            if matches!(ended, Ok(WatchStop::RereadRequested)) {
                return WatchEnd::RereadRequested;
            }
            let timed_out = ended.as_ref().is_err_and(|e| opened && e.kind() == io::ErrorKind::TimedOut);
            let rejected = ended.as_ref().err().and_then(list_limit::too_long);
            let broken = ended.is_err();
            match (rejected, ended) {
                (Some(too_long), _) => sink.reject(too_long),
                (None, Err(e)) => {
                    eprintln!("discovery: following the endpoint list at {at} failed, retrying: {e}")
                }
                (None, Ok(_)) => {}
            }
            // A watch counts as useful if it brought a new version or stayed open for longer than the stall timeout.
            // Neither one line without a change, a poll that hung, nor a dropped version makes a watch useful.
            let (took, advanced) = (begun.elapsed(), index.is_some() && index != before);
            let useful = opened && (advanced || took > STALL_TIMEOUT);
            if rejected.is_some() {
                // If the complete listing is too long, the changes since the last accepted listing may be short enough.
                // If the changes are too long, the complete listing may be short enough.
                // The next poll requests the form of listing that was not rejected.
                index = if before.is_some() { None } else { in_force };
                WatchEnd::Rejected(took)
            } else if timed_out {
                WatchEnd::Stalled
            } else if useful && broken {
                WatchEnd::Broken
            } else if useful {
                WatchEnd::Closed
            } else {
                WatchEnd::Failed(took)
            }
        };
        tokio::select! {
            biased;
            // Waiting for a new address can't fail: the channel's sending half lives as long as the process.
            _ = addr.changed() => {
                (index, in_force, pause) = (None, None, Duration::ZERO);
                schedule.reset();
            }
            end = work => pause = match end {
                WatchEnd::Stalled => schedule.after_stall(),
                WatchEnd::Broken => schedule.after_break(),
                WatchEnd::Closed => schedule.after_end(),
                WatchEnd::Failed(took) => schedule.after_failure(took),
                WatchEnd::Rejected(took) => schedule.after_rejection(took),
                WatchEnd::RereadRequested => Duration::ZERO,
            },
        }
    }
}

/// How a watch, or the attempt to open one, has ended.
enum WatchEnd {
    /// The watch was open and received nothing complete within the stall timeout.
    Stalled,
    /// The watch was useful (new version, or open for long), and the watch's connection broke.
    Broken,
    /// The watch was useful (new version, or open for long), and discovery ended the watch.
    Closed,
    /// The watch failed; the duration is the time since the watch was begun.
    Failed(Duration),
    /// The watch received a listing above the size limit; the duration is the time since the watch was begun.
    Rejected(Duration),
    /// The watch ended because the complete listing has to be read again: this sender owns other destinations now.
    RereadRequested,
}

/// Why a watch ended without an error.
enum WatchStop {
    /// Discovery closed the watch's connection.
    Connection,
    /// A reading of the complete listing was requested while the watch was open.
    RereadRequested,
}

/// Receives discovery's listings, and decides which endpoints in them are stored.
pub struct ListingSink {
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub driver: mpsc::Sender<Input>,
    pub metrics: Rc<Metrics>,
    pub limit: ListLimit,
    /// Present if only the destinations that this sender owns are stored.
    pub placement: Option<Rc<Placement>>,
}

impl ListingSink {
    /// Applies a listing to the endpoint table and sends the changes to the driver.
    /// The slot in the driver's channel is reserved first: the endpoint table must not be ahead of the driver.
    /// A change of discovery's address may cancel the wait for a slot.
    async fn apply(&self, listing: Listing) -> io::Result<()> {
        let slot = self.driver.reserve().await.map_err(io::Error::other)?;
        let entries = self.endpoints.borrow_mut().apply(&listing);
        slot.send(Input::EndpointsListed { index: listing.index, full: listing.snapshot, entries });
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

    /// Returns the number of the last requested reading of the complete listing.
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

    /// Waits until the complete listing is to be read again.
    /// The delay `spread` keeps many senders that gain shards at the same time from polling simultaneously.
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

/// Discovery's response with one or more endpoint listings, read as the response arrives.
struct ListStream {
    answer: Answer,
    listings: ListReader,
    limit: ListLimit,
    /// When the stream was last between two listings, without an incomplete one.
    last_progress: Instant,
}

impl ListStream {
    /// Requests a listing and waits for the head of the response.
    /// Where polls cost discovery work, the request is sent once.
    async fn open(addr: SocketAddr, path: &str, costly: bool, sink: &ListingSink) -> io::Result<ListStream> {
        let path: Rc<str> = path.into();
        let answer = if costly {
            let connection = tokio::time::timeout(COSTLY_CONNECT_TIMEOUT, Connection::open(addr));
            let connection = connection.await.map_err(timed_out)??;
            tokio::time::timeout(COSTLY_RESPONSE_TIMEOUT, request(connection, path))
                .await
                .map_err(timed_out)??
        } else {
            let send = || {
                let path = path.clone();
                async move { request(Connection::open(addr).await?, path).await }
            };
            first_response(REPEAT_POLICY, send).await?
        };
        let listings = ListReader::new(sink.placement.as_ref());
        Ok(ListStream { answer, listings, limit: sink.limit, last_progress: Instant::now() })
    }

    /// Reads the next chunk of the response's body; None at the end of the body.
    async fn read(&mut self) -> io::Result<Option<Bytes>> {
        let until = (self.last_progress + STALL_TIMEOUT).into();
        let chunk = tokio::time::timeout_at(until, self.answer.read_chunk()).await.map_err(timed_out)?;
        chunk.transpose().map_err(io::Error::other)
    }

    /// Reads the complete body of the response as one endpoint listing.
    async fn read_complete(self) -> io::Result<Listing> {
        match self.listings {
            ListReader::All(_) => self.read_text().await,
            ListReader::Filtered(..) => {
                let filtered = tokio::time::timeout(FILTERED_LIST_TIMEOUT, self.read_filtered());
                filtered.await.map_err(timed_out)?
            }
        }
    }

    /// Reads one listing of any length and keeps the endpoints that this sender owns.
    /// The stall timeout applies to each chunk of the response's body, not to the complete body.
    async fn read_filtered(mut self) -> io::Result<Listing> {
        let mut listing = None;
        loop {
            while let Some(list) = self.listings.next_listing().map_err(invalid_data)? {
                if listing.replace(list).is_some() {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "two listings in a response for one",
                    ));
                }
            }
            self.limit.check(self.listings.buffered_bytes(), || self.listings.endpoints_started())?;
            let Some(bytes) = self.read().await? else { break };
            self.last_progress = Instant::now();
            self.listings.extend(&bytes);
        }
        listing.ok_or_else(|| {
            io::Error::new(io::ErrorKind::UnexpectedEof, "the response ended before the listing was complete")
        })
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
            let listing = self.listings.next_listing();
            if let Some(list) = listing.map_err(invalid_data)? {
                self.last_progress = Instant::now();
                return Ok(Some(list));
            }
            if !self.listings.is_partial() {
                self.last_progress = Instant::now();
            }
            self.limit.check(self.listings.buffered_bytes(), || self.listings.endpoints_started())?;
            let Some(bytes) = self.read().await? else { return Ok(None) };
            self.listings.extend(&bytes);
        }
    }
}

/// Sends the request for a listing and checks the response's status.
async fn request(connection: Connection, path: Rc<str>) -> io::Result<Answer> {
    let addr = connection.addr().to_string();
    let request = Request::get(&*path).header("host", addr).body(Full::new(Bytes::new()));
    let answer = connection.send(request.map_err(io::Error::other)?).await.map_err(io::Error::other)?;
    let status = answer.status;
    if status != 200 {
        let busy = (500..600).contains(&status) || status == 429;
        let kind = if busy { io::ErrorKind::ResourceBusy } else { io::ErrorKind::Other };
        return Err(io::Error::new(kind, format!("{path}: response status {status}, expected 200")));
    }
    Ok(answer)
}

fn invalid_data(error: ListingError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn timed_out<E>(_: E) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no response or no complete listing in time")
}

/// Reads the complete listing, unless a version `index` is known, and then the changes until the connection ends.
async fn watch(
    addr: SocketAddr,
    index: &mut Option<u64>,
    in_force: &mut Option<u64>,
    costly: bool,
    opened: &mut bool,
    sink: &ListingSink,
    spread: Duration,
) -> io::Result<WatchStop> {
    let since = match index.filter(|_| !sink.is_requested()) {
        Some(since) => since,
        None => {
            let requested = sink.requested();
            let list = ListStream::open(addr, "/v1/servers", costly, sink).await?.read_complete().await?;
            let since = list.index;
            sink.apply(Listing { snapshot: true, ..list }).await?;
            sink.mark_read(requested);
            (*index, *in_force) = (Some(since), Some(since));
            since
        }
    };
    let path = format!("/v1/servers?follow=1&since={since}");
    let mut stream = match ListStream::open(addr, &path, costly, sink).await {
        Ok(stream) => stream,
        Err(e) => {
            // A listing version that discovery does not know must not be requested again and again.
            // If discovery was too busy to answer, discovery has not checked the requested listing version.
            // The complete listing would cost a busy discovery even more work.
            let version_checked =
                e.kind() != io::ErrorKind::ResourceBusy && !(costly && e.kind() == io::ErrorKind::TimedOut);
            *index = index.filter(|_| !version_checked);
            return Err(e);
        }
    };
    *opened = true;
    // If discovery sends no listing after a request with a version, the version must not be requested again.
    // Where polls cost discovery work, the version is kept: discovery may only have been slow.
    *index = index.filter(|_| costly);
    let mut known = since;
    let mut reread_requested = std::pin::pin!(sink.until_requested(spread));
    loop {
        let next = tokio::select! {
            biased;
            next = stream.next() => next,
            () = &mut reread_requested => return Ok(WatchStop::RereadRequested),
        };
        let next = next.inspect_err(|e| *index = index.filter(|_| e.kind() != io::ErrorKind::InvalidData));
        let Some(list) = next? else { return Ok(WatchStop::Connection) };
        if list.index < known && !list.snapshot {
            *index = None;
            return Err(io::Error::other(format!(
                "changes to version {known} were requested, version {} was sent",
                list.index
            )));
        }
        known = list.index;
        sink.apply(list).await?;
        (*index, *in_force) = (Some(known), Some(known));
    }
}
