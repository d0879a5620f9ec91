//! Follows the member list: asks a control agent again and again, and each good answer renews the lease.

use super::metrics::count;
use super::{Placement, clock};
use crate::connection::Connection;
use crate::endpoint_table::EndpointTable;
use crate::input::Input;
use bytes::Bytes;
use embershore_placement::{Answer, Heard, ListError, Ownership};
use heronroute::Micros;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Bytes of an answer at most: a list of all seats that there can be, with 250 bytes each.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// An agent that has not answered by then is given up; a shorter `ask_every` does not hurry it.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often endpoints of destinations that are kept no more are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Where news goes.
pub struct MemberListFollower {
    pub placement: Rc<Placement>,
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub inputs: mpsc::Sender<Input>,
}

impl MemberListFollower {
    /// Follows the member list for ever.
    pub async fn run(self) {
        let every = micros(self.placement.options.ask_every);
        let mut agents = ControlAgents::new(&self.placement);
        let mut drop_at = Instant::now() + CLEANUP_INTERVAL;
        loop {
            let next = Instant::now() + every;
            agents.poll_in_turn(&self.placement).await;
            self.placement.remember();
            if Instant::now() >= drop_at {
                self.drop_endpoints().await;
                drop_at = Instant::now() + CLEANUP_INTERVAL;
            }
            sleep_until(next).await;
        }
    }

    /// Takes endpoints out whose destinations are kept no more.
    async fn drop_endpoints(&self) {
        // The place comes first: the fleet must not know what the driver has not been told.
        let Ok(place) = self.inputs.reserve().await else { return };
        let keeps = |dest| self.placement.retains(dest);
        let entries = self.endpoints.borrow_mut().retain_destinations(keeps);
        if !entries.is_empty() {
            let index = self.placement.endpoint_list.last_version();
            place.send(Input::EndpointsListed { index, full: false, entries });
        }
    }
}

/// The control agents, asked in turn.
struct ControlAgents {
    addresses: Vec<SocketAddr>,
    /// Which one answered last.
    current: usize,
    /// The next question is for the whole list: the last changes did not fit.
    full: bool,
    response_timeout: Duration,
    /// The last failure that was logged; the same one is logged once.
    last_logged: Option<String>,
}

impl ControlAgents {
    fn new(placement: &Placement) -> Self {
        let response_timeout = micros(placement.options.ask_every).max(MIN_RESPONSE_TIMEOUT);
        let addresses = placement.options.control.clone();
        ControlAgents { addresses, current: 0, full: false, response_timeout, last_logged: None }
    }

    /// Asks the agent that answered last, and the others after it until one answers well.
    async fn poll_in_turn(&mut self, placement: &Placement) {
        for _ in 0..self.addresses.len() {
            match self.poll(placement).await {
                Ok(heard) => return self.log_success(&heard),
                Err(e) => self.log_failure(&*e),
            }
            self.current = (self.current + 1) % self.addresses.len();
        }
    }

    async fn poll(&mut self, placement: &Placement) -> Result<Heard, Box<dyn Error>> {
        let known = placement.epoch().filter(|_| !self.full);
        let polled_at = clock::now();
        let fetch = fetch(self.addresses[self.current], known.unwrap_or(0));
        let text = timeout(self.response_timeout, fetch).await.map_err(|_| "no answer in time")??;
        let heard = apply_answer(placement, polled_at, text).await.inspect_err(|_| {
            count(&placement.counters.lists_refused);
        });
        self.full = matches!(heard, Err(ListError::SinceMismatch { .. }));
        Ok(heard?)
    }

    fn log_success(&mut self, heard: &Heard) {
        if self.last_logged.take().is_some() {
            eprintln!("placement: control answers again, epoch {}", heard.epoch);
        }
        if heard.changed {
            let (gained, lost) = (heard.gained.len(), heard.lost.len());
            eprintln!("placement: epoch {} is in force, {gained} shards gained, {lost} lost", heard.epoch);
        }
    }

    fn log_failure(&mut self, error: &dyn Error) {
        let line = format!("placement: control agent {}: {error}", self.addresses[self.current]);
        if self.last_logged.as_ref() != Some(&line) {
            eprintln!("{line}; the list in force stays");
            self.last_logged = Some(line);
        }
    }
}

/// Asks one agent for what is new since an epoch.
async fn fetch(agent: SocketAddr, since: u64) -> Result<Bytes, Box<dyn Error>> {
    let mut connection = Connection::open(agent).await?;
    let request = Request::get(format!("/v1/members?since={since}"))
        .header("host", agent.to_string())
        .header("connection", "close")
        .body(Full::new(Bytes::new()))?;
    let response = connection.send(request).await?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    let body = connection.drive(body).await.map_err(|e| -> Box<dyn Error> { e })?;
    Ok(body.to_bytes())
}

/// Takes an answer over. What changes the table does so beside the sender's one thread: it takes the time of many rounds.
/// Until it is done the former table and its lease stay in force.
async fn apply_answer(placement: &Placement, polled_at: Micros, text: Bytes) -> Result<Heard, ListError> {
    placement.reading.set(true);
    let before = placement.ownership.borrow().clone();
    let read = tokio::task::spawn_blocking(move || hear(before, polled_at, &text)).await;
    placement.reading.set(false);
    let (after, heard) =
        read.unwrap_or_else(|e| Err(ListError::Malformed { reason: format!("reading it failed: {e}") }))?;
    placement.put_in_force(after, &heard);
    Ok(heard)
}

/// Reads an answer; the view that it leads to, and what changed.
fn hear(mut ownership: Ownership, polled_at: Micros, text: &[u8]) -> Result<(Ownership, Heard), ListError> {
    let answer = Answer::parse_json(text)?;
    let heard = ownership.heard(polled_at, clock::now(), answer)?;
    Ok((ownership, heard))
}

fn micros(span: Micros) -> Duration {
    Duration::from_micros(u64::try_from(span).unwrap_or(0))
}
