//! Follows the member list: asks a control agent again and again, and each good answer renews the lease.

use super::figures::count;
use super::{Placement, clock};
use crate::connection::Connection;
use crate::fleet::Fleet;
use crate::input::Input;
use bytes::Bytes;
use embershore_placement::{AgentAnswer, EpochUpdate, ListError, Ownership};
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
const ANSWER_MOST: usize = 16 << 20;
/// An agent that has not answered by then is given up; a shorter `ask_every` does not hurry it.
const ANSWER_TIME_LEAST: Duration = Duration::from_millis(500);
/// How often endpoints of destinations that are kept no more are looked for.
const DROP_EVERY: Duration = Duration::from_secs(5);

/// Where news goes.
pub struct Follower {
    pub placement: Rc<Placement>,
    pub fleet: Rc<RefCell<Fleet>>,
    pub inputs: mpsc::Sender<Input>,
}

impl Follower {
    /// Follows the member list for ever.
    pub async fn run(self) {
        let every = micros(self.placement.options.poll_interval);
        let mut asking = ControlAgents::new(&self.placement);
        let mut drop_at = Instant::now() + DROP_EVERY;
        loop {
            let next = Instant::now() + every;
            asking.ask_in_turn(&self.placement).await;
            self.placement.remember();
            if Instant::now() >= drop_at {
                self.drop_endpoints().await;
                drop_at = Instant::now() + DROP_EVERY;
            }
            sleep_until(next).await;
        }
    }

    /// Takes endpoints out whose destinations are kept no more.
    async fn drop_endpoints(&self) {
        // The place comes first: the fleet must not know what the driver has not been told.
        let Ok(place) = self.inputs.reserve().await else { return };
        let keeps = |dest| self.placement.keeps(dest);
        let entries = self.fleet.borrow_mut().remove_unless(keeps);
        if !entries.is_empty() {
            let index = self.placement.endpoint_list.version();
            place.send(Input::Members { index, whole: false, entries });
        }
    }
}

/// The control agents, asked in turn.
struct ControlAgents {
    addresses: Vec<SocketAddr>,
    /// Which one answered last.
    current: usize,
    /// The next question is for the whole list: the last changes did not fit.
    whole: bool,
    answer_time: Duration,
    /// The last failure that was logged; the same one is logged once.
    logged: Option<String>,
}

impl ControlAgents {
    fn new(placement: &Placement) -> Self {
        let answer_time = micros(placement.options.poll_interval).max(ANSWER_TIME_LEAST);
        let addresses = placement.options.control_agents.clone();
        ControlAgents { addresses, current: 0, whole: false, answer_time, logged: None }
    }

    /// Asks the agent that answered last, and the others after it until one answers well.
    async fn ask_in_turn(&mut self, placement: &Placement) {
        for _ in 0..self.addresses.len() {
            match self.ask(placement).await {
                Ok(heard) => return self.log_success(&heard),
                Err(e) => self.log_failure(&*e),
            }
            self.current = (self.current + 1) % self.addresses.len();
        }
    }

    async fn ask(&mut self, placement: &Placement) -> Result<EpochUpdate, Box<dyn Error>> {
        let known = placement.epoch().filter(|_| !self.whole);
        let asked_at = clock::now();
        let question = question(self.addresses[self.current], known.unwrap_or(0));
        let text = timeout(self.answer_time, question).await.map_err(|_| "no answer in time")??;
        let heard = take_over(placement, asked_at, text).await.inspect_err(|_| {
            count(&placement.counters.lists_refused);
        });
        self.whole = matches!(heard, Err(ListError::SinceMismatch { .. }));
        Ok(heard?)
    }

    fn log_success(&mut self, heard: &EpochUpdate) {
        if self.logged.take().is_some() {
            eprintln!("placement: control answers again, epoch {}", heard.epoch);
        }
        if heard.changed {
            let (gained, lost) = (heard.gained.len(), heard.lost.len());
            eprintln!("placement: epoch {} is in force, {gained} shards gained, {lost} lost", heard.epoch);
        }
    }

    fn log_failure(&mut self, error: &dyn Error) {
        let line = format!("placement: control agent {}: {error}", self.addresses[self.current]);
        if self.logged.as_ref() != Some(&line) {
            eprintln!("{line}; the list in force stays");
            self.logged = Some(line);
        }
    }
}

/// Asks one agent for what is new since an epoch.
async fn question(agent: SocketAddr, since: u64) -> Result<Bytes, Box<dyn Error>> {
    let mut connection = Connection::open(agent).await?;
    let request = Request::get(format!("/v1/members?since={since}"))
        .header("host", agent.to_string())
        .header("connection", "close")
        .body(Full::new(Bytes::new()))?;
    let response = connection.send(request).await?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), ANSWER_MOST).collect();
    let body = connection.drive(body).await.map_err(|e| -> Box<dyn Error> { e })?;
    Ok(body.to_bytes())
}

/// Takes an answer over. What changes the table does so beside the sender's one thread: it takes the time of many rounds.
/// Until it is done the former table and its lease stay in force.
async fn take_over(placement: &Placement, asked_at: Micros, text: Bytes) -> Result<EpochUpdate, ListError> {
    placement.reading.set(true);
    let before = placement.ownership.borrow().clone();
    let read = tokio::task::spawn_blocking(move || hear(before, asked_at, &text)).await;
    placement.reading.set(false);
    let (after, heard) =
        read.unwrap_or_else(|e| Err(ListError::Malformed { reason: format!("reading it failed: {e}") }))?;
    placement.put_in_force(after, &heard);
    Ok(heard)
}

/// Reads an answer; the view that it leads to, and what changed.
fn hear(
    mut ownership: Ownership,
    asked_at: Micros,
    text: &[u8],
) -> Result<(Ownership, EpochUpdate), ListError> {
    let answer = AgentAnswer::parse_json(text)?;
    let heard = ownership.apply_answer(asked_at, clock::now(), answer)?;
    Ok((ownership, heard))
}

fn micros(span: Micros) -> Duration {
    Duration::from_micros(u64::try_from(span).unwrap_or(0))
}
