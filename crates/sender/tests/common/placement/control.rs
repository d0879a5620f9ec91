//! Stand-ins for the control agents, one for each sender. Each answers `GET /v1/members?since=EPOCH` from a
//! common history of member lists, with its own delay, and can be made silent or serve an invalid list.

use super::http;
use hyper::{Response, body::Incoming};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A member list and the time from which it is in force.
struct Epoch {
    list: Value,
    /// Changes since the previous epoch.
    changes: Vec<Value>,
    in_force_since: Instant,
}

/// Behaviour of one agent.
#[derive(Default)]
struct Agent {
    /// How long after an epoch takes effect the agent starts to serve it.
    delay: Cell<Duration>,
    /// Whether it accepts requests without answering them.
    silent: Cell<bool>,
    /// Answer that it gives to every request in place of the real one, if set.
    override_with: RefCell<Option<Value>>,
    /// Number of requests received.
    requests: Cell<u64>,
}

/// All control agents and their common history.
#[derive(Default)]
pub struct Control {
    epochs: RefCell<Vec<Epoch>>,
    agents: RefCell<Vec<Rc<Agent>>>,
}

impl Control {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Starts the agent of the next sender and returns its address.
    pub async fn listen(self: &Rc<Self>) -> SocketAddr {
        let agent = Rc::new(Agent::default());
        self.agents.borrow_mut().push(agent.clone());
        let control = self.clone();
        http::serve(move |request| control.clone().answer(agent.clone(), request)).await
    }

    /// Sets the list of the first epoch.
    pub fn set_first_list(&self, list: Value) {
        let epoch = Epoch { list, changes: Vec::new(), in_force_since: Instant::now() };
        *self.epochs.borrow_mut() = vec![epoch];
    }

    /// Starts the next epoch with these changes and returns its number.
    pub fn change(&self, changes: Vec<Value>) -> u64 {
        let mut epochs = self.epochs.borrow_mut();
        let mut list = epochs.last().unwrap().list.clone();
        changes.iter().for_each(|change| apply(&mut list, change));
        let number = list["epoch"].as_u64().unwrap() + 1;
        list["epoch"] = number.into();
        list["first"] = false.into();
        epochs.push(Epoch { list, changes, in_force_since: Instant::now() });
        number
    }

    /// Returns the list in force.
    pub fn list(&self) -> Value {
        self.epochs.borrow().last().unwrap().list.clone()
    }

    /// Delays the epochs that an agent serves.
    pub fn set_delay(&self, agent: usize, by: Duration) {
        self.agents.borrow()[agent].delay.set(by);
    }

    /// Sets whether an agent leaves requests unanswered.
    pub fn set_silent(&self, agent: usize, silent: bool) {
        self.agents.borrow()[agent].silent.set(silent);
    }

    /// Sets a fixed answer for all requests to an agent; `None` restores the real answers.
    pub fn override_answer(&self, agent: usize, answer: Option<Value>) {
        *self.agents.borrow()[agent].override_with.borrow_mut() = answer;
    }

    /// Returns how many requests an agent has received.
    pub fn requests(&self, agent: usize) -> u64 {
        self.agents.borrow()[agent].requests.get()
    }

    async fn answer(
        self: Rc<Self>,
        agent: Rc<Agent>,
        request: hyper::Request<Incoming>,
    ) -> Response<http::Body> {
        if request.uri().path() != "/v1/members" {
            return http::empty(404);
        }
        agent.requests.set(agent.requests.get() + 1);
        if agent.silent.get() {
            // The request is never answered: this outlasts any scenario.
            std::future::pending::<()>().await;
        }
        let since = http::query_number(&request, "since");
        let override_with = agent.override_with.borrow().clone();
        let answer = override_with.unwrap_or_else(|| self.answer_since(agent.delay.get(), since));
        http::with_body(200, answer.to_string())
    }

    /// Returns the answer of an agent with this delay to a sender that knows the epoch `since`: the changes,
    /// or the full list if the agent does not know that epoch.
    fn answer_since(&self, delay: Duration, since: Option<u64>) -> Value {
        let epochs = self.epochs.borrow();
        let latest = epochs.iter().rposition(|e| e.in_force_since.elapsed() >= delay).unwrap_or(0);
        let number = |at: usize| epochs[at].list["epoch"].as_u64().unwrap();
        let known = (0..=latest).find(|at| Some(number(*at)) == since);
        let Some(known) = known else { return epochs[latest].list.clone() };
        let changes: Vec<Value> =
            epochs[known + 1..=latest].iter().flat_map(|e| e.changes.iter().cloned()).collect();
        json!({"epoch": number(latest), "since": number(known), "changes": changes})
    }
}

/// Applies one change to a full list.
fn apply(list: &mut Value, change: &Value) {
    if let Some(seat) = change["seat"].as_u64() {
        list["seats"][seat as usize]["member"] = change["member"].clone();
    } else if !change["append"].is_null() {
        list["seats"].as_array_mut().unwrap().push(change["append"].clone());
    } else {
        let wide = list["wide"].as_array_mut().unwrap();
        wide.retain(|w| w["dest"] != change["wide"]["dest"]);
        wide.push(change["wide"].clone());
    }
}
