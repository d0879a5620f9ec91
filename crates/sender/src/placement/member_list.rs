//! Follows the member list by polling a control agent at regular intervals. Each valid response renews the lease.

use super::metrics::count;
use super::{Placement, clock};
use crate::connection::Connection;
use crate::endpoint_table::EndpointTable;
use crate::input::Input;
use bytes::Bytes;
use embershore_placement::{AgentAnswer, EpochUpdate, ListError, Ownership};
use heronroute::Micros;
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Size limit of a control agent's response: a list with the maximum number of seats and 250 bytes for each seat.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Minimum timeout for a control agent's response. The timeout is the poll interval if the interval is longer.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which endpoints of destinations that this sender no longer retains are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The client of the control agents, with the components of the daemon that the client updates.
pub struct MemberListFollower {
    pub placement: Rc<Placement>,
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub inputs: mpsc::Sender<Input>,
}

impl MemberListFollower {
    /// Polls the control agents for the member list for ever.
    pub async fn run(self) {
        let every = micros(self.placement.options.poll_interval);
        let mut agents = ControlAgents::new(&self.placement);
        let mut drop_at = Instant::now() + CLEANUP_INTERVAL;
        loop {
            let next = Instant::now() + every;
            agents.poll_in_turn(&self.placement).await;
            self.placement.save_for_restart();
            if Instant::now() >= drop_at {
                self.drop_endpoints().await;
                drop_at = Instant::now() + CLEANUP_INTERVAL;
            }
            sleep_until(next).await;
        }
    }

    /// Removes endpoints of destinations that this sender no longer retains.
    async fn drop_endpoints(&self) {
        // The slot in the driver's channel is reserved first: the endpoint table must not be ahead of the driver.
        let Ok(slot) = self.inputs.reserve().await else { return };
        let retain = |dest| self.placement.retains(dest);
        let entries = self.endpoints.borrow_mut().retain_destinations(retain);
        if !entries.is_empty() {
            let index = self.placement.endpoint_list.last_version();
            slot.send(Input::EndpointsListed { index, full: false, entries });
        }
    }
}

/// The control agents; if one gives no valid response, the next one is polled.
struct ControlAgents {
    addresses: Vec<SocketAddr>,
    /// Index of the control agent that answered last.
    current: usize,
    /// Whether to request the complete member list next, because the last changes were for another epoch.
    full: bool,
    response_timeout: Duration,
    /// The last failed poll's error that was logged. A repeated failure is logged only once.
    last_logged: Option<String>,
}

impl ControlAgents {
    fn new(placement: &Placement) -> Self {
        let response_timeout = micros(placement.options.poll_interval).max(MIN_RESPONSE_TIMEOUT);
        let addresses = placement.options.control_agents.clone();
        ControlAgents { addresses, current: 0, full: false, response_timeout, last_logged: None }
    }

    /// Polls the control agent that answered last, then the other agents until one gives a valid response.
    async fn poll_in_turn(&mut self, placement: &Placement) {
        for _ in 0..self.addresses.len() {
            match self.poll(placement).await {
                Ok(update) => return self.log_success(&update),
                Err(e) => self.log_failure(&*e),
            }
            self.current = (self.current + 1) % self.addresses.len();
        }
    }

    async fn poll(&mut self, placement: &Placement) -> Result<EpochUpdate, Box<dyn Error>> {
        let known = placement.epoch().filter(|_| !self.full);
        let polled_at = clock::now();
        let fetch = fetch(self.addresses[self.current], known.unwrap_or(0));
        let text = timeout(self.response_timeout, fetch).await.map_err(|_| "no response in time")??;
        let update = apply_answer(placement, polled_at, text).await.inspect_err(|_| {
            count(&placement.counters.lists_refused);
        });
        self.full = matches!(update, Err(ListError::SinceMismatch { .. }));
        Ok(update?)
    }

    fn log_success(&mut self, update: &EpochUpdate) {
        if self.last_logged.take().is_some() {
            eprintln!("placement: a control agent answers again, epoch {}", update.epoch);
        }
        if update.changed {
            let (gained, lost) = (update.gained.len(), update.lost.len());
            eprintln!("placement: epoch {} is in force, {gained} shards gained, {lost} lost", update.epoch);
        }
    }

    fn log_failure(&mut self, error: &dyn Error) {
        let line = format!("placement: control agent {}: {error}", self.addresses[self.current]);
        if self.last_logged.as_ref() != Some(&line) {
            eprintln!("{line}; the current member list stays in force");
            self.last_logged = Some(line);
        }
    }
}

/// Requests from one control agent the changes since the epoch `since`, or the complete list if `since` is 0.
async fn fetch(agent: SocketAddr, since: u64) -> Result<Bytes, Box<dyn Error>> {
    let connection = Connection::open(agent).await?;
    let request = Request::get(format!("/v1/members?since={since}"))
        .header("host", agent.to_string())
        .header("connection", "close")
        .body(Full::new(Bytes::new()))?;
    let mut answer = connection.send(request).await?;
    if answer.status != 200 {
        return Err(format!("response status {}, expected 200", answer.status).into());
    }
    answer.read_body(MAX_RESPONSE_BYTES).await.map_err(|e| -> Box<dyn Error> { e })
}

/// Puts the member list of a control agent's response in force.
/// The new placement table is built on a thread of its own, since building it takes as long as many rounds.
/// The current table and its lease stay in force until the new table is complete.
async fn apply_answer(
    placement: &Placement,
    polled_at: Micros,
    text: Bytes,
) -> Result<EpochUpdate, ListError> {
    placement.reading.set(true);
    let before = placement.ownership.borrow().clone();
    let read = tokio::task::spawn_blocking(move || process_answer(before, polled_at, &text)).await;
    placement.reading.set(false);
    let (after, update) =
        read.unwrap_or_else(|e| Err(ListError::Malformed { reason: format!("processing it failed: {e}") }))?;
    placement.put_in_force(after, &update);
    Ok(update)
}

/// Parses a control agent's response and returns the resulting ownership of shards, with the changes.
fn process_answer(
    mut ownership: Ownership,
    polled_at: Micros,
    text: &[u8],
) -> Result<(Ownership, EpochUpdate), ListError> {
    let answer = AgentAnswer::parse_json(text)?;
    let update = ownership.apply_answer(polled_at, clock::now(), answer)?;
    Ok((ownership, update))
}

fn micros(span: Micros) -> Duration {
    Duration::from_micros(u64::try_from(span).unwrap_or(0))
}
