//! Stand-ins for the receivers of all destinations.
//! Each sender reaches the receivers at addresses that only that sender uses, which identifies the caller.
//! The destination of a call is the destination of the message that the call carries.

use super::deployment::KEY_WINDOW;
use super::directory::{Addresses, GENERATIONS, endpoint_name};
use super::http::{self, Body};
use super::ledger::Ledger;
use embershore_rehearsal::history::{ClosedBy, Event, Item};
use embershore_rehearsal::span::Micros;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Default time that a receiver takes to answer a call.
const DEFAULT_DELAY: Duration = Duration::from_millis(5);

/// How a receiver responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Conduct {
    /// Processes each message and answers 200 after the receivers' default delay.
    #[default]
    Normal,
    /// Processes each message and answers 200 after the given delay instead of the default delay.
    Slow(Duration),
    /// Processes each message, but answers 500.
    RunThenFail,
    /// Rejects each call with 503 without processing the call's messages.
    Refuse,
    /// Rejects the next call with 429 and an advertised wait, then treats calls normally.
    WaitOnce(Duration),
}

/// The stand-ins for all receivers.
pub struct Receivers {
    ledger: Rc<Ledger>,
    conduct: RefCell<HashMap<i64, Conduct>>,
    default_delay: Cell<Duration>,
    /// Time of each idempotency key's latest effect.
    keys: RefCell<HashMap<String, Micros>>,
}

/// A call in progress; an unanswered call is recorded as broken off by the sender.
struct OpenCall<'a> {
    ledger: &'a Ledger,
    call: u64,
    answered: bool,
}

impl OpenCall<'_> {
    fn answer(&mut self, status: u16, wait: Duration) {
        self.answered = true;
        let wait_ms = wait.as_millis() as u32;
        self.ledger.record(Event::Answer { call: self.call, status, wait_ms, states: None });
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.ledger.record(Event::Disconnected { call: self.call, by: ClosedBy::Sender });
        }
    }
}

impl Receivers {
    pub fn new(ledger: Rc<Ledger>) -> Rc<Self> {
        let (conduct, keys) = (RefCell::default(), RefCell::default());
        Rc::new(Receivers { ledger, conduct, default_delay: Cell::new(DEFAULT_DELAY), keys })
    }

    /// Opens the addresses at which one sender reaches the receivers' endpoints.
    pub async fn listen(self: &Rc<Self>, sender: usize) -> Addresses {
        let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); GENERATIONS];
        for (generation, address) in addresses.iter_mut().enumerate() {
            let receivers = self.clone();
            *address = http::serve(move |request| receivers.clone().take(sender, generation, request)).await;
        }
        addresses
    }

    /// Sets how the receiver of a destination responds to calls from now on.
    pub fn set_conduct(&self, destination: i64, conduct: Conduct) {
        self.conduct.borrow_mut().insert(destination, conduct);
    }

    /// Sets how long a call takes from now on at receivers that respond normally.
    pub fn set_default_delay(&self, time: Duration) {
        self.default_delay.set(time);
    }

    async fn take(
        self: Rc<Self>,
        sender: usize,
        generation: usize,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let first = self.ledger.now();
        let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_string());
        let Some(id) = header("x-request-id") else { return http::empty(200) };
        let key = header("idempotency-key");
        if http::read_body(request).await.is_none() {
            return http::empty(400);
        }
        // No destination is recorded for a message that no client has put.
        let Some(destination) = self.ledger.destination(&id) else { return http::empty(400) };
        let call = self.ledger.next_call();
        let endpoint = endpoint_name(destination, generation);
        let items = vec![Item { id: id.clone(), key: key.clone() }];
        let (new_connection, batch) = (false, false);
        self.ledger.record(Event::Call {
            call,
            sender,
            endpoint,
            first_byte: first,
            new_connection,
            batch,
            items,
        });
        let mut open = OpenCall { ledger: &self.ledger, call, answered: false };
        let conduct = self.conduct.borrow().get(&destination).copied().unwrap_or_default();
        match conduct {
            Conduct::Refuse => {
                open.answer(503, Duration::ZERO);
                return http::empty(503);
            }
            Conduct::WaitOnce(wait) => {
                self.set_conduct(destination, Conduct::Normal);
                open.answer(429, wait);
                let mut response = http::empty(429);
                let wait_ms = wait.as_millis().to_string().parse().unwrap();
                response.headers_mut().insert("x-retry-in-ms", wait_ms);
                return response;
            }
            Conduct::Slow(time) => tokio::time::sleep(time).await,
            Conduct::Normal | Conduct::RunThenFail => tokio::time::sleep(self.default_delay.get()).await,
        }
        let dropped = key.is_some_and(|key| !self.is_new(key));
        self.ledger.record(Event::Ran { call, id, dropped });
        let status = if conduct == Conduct::RunThenFail { 500 } else { 200 };
        open.answer(status, Duration::ZERO);
        http::empty(status)
    }

    /// Records an idempotency key. Returns whether the key is new: without an effect within the key window.
    fn is_new(&self, key: String) -> bool {
        let now = self.ledger.now();
        let mut keys = self.keys.borrow_mut();
        match keys.get(&key) {
            Some(since) if now - since < KEY_WINDOW => false,
            _ => {
                keys.insert(key, now);
                true
            }
        }
    }
}
