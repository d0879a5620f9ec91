//! Stand-ins for the control agents, one for each sender.
//! All agents answer `GET /v1/members?since=EPOCH` from one sequence of member lists; each has its own delay.
//! A control agent can be made silent, or made to serve an invalid member list.

use super::http;
use hyper::{Response, body::Incoming};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A member list, and the time from which the list is in force.
struct Epoch {
    list: Value,
    /// Changes of the member list since the previous epoch.
    changes: Vec<Value>,
    in_force_since: Instant,
}

/// Behaviour of one control agent.
#[derive(Default)]
struct Agent {
    /// Time from the start of an epoch until the control agent serves the epoch's member list.
    delay: Cell<Duration>,
    /// Whether the control agent accepts requests without answering them.
    silent: Cell<bool>,
    /// Answer that the control agent gives to every request in place of the real answer, if set.
    override_with: RefCell<Option<Value>>,
    /// Number of requests that the control agent has received.
    requests: Cell<u64>,
}

/// All control agents, and the sequence of member lists (one for each epoch) that the agents share.
#[derive(Default)]
pub struct Control {
    epochs: RefCell<Vec<Epoch>>,
    agents: RefCell<Vec<Rc<Agent>>>,
}

impl Control {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Starts the control agent of the next sender and returns the agent's address.
    pub async fn listen(self: &Rc<Self>) -> SocketAddr {
        let agent = Rc::new(Agent::default());
        self.agents.borrow_mut().push(agent.clone());
        let control = self.clone();
        http::serve(move |request| control.clone().answer(agent.clone(), request)).await
    }

    /// Sets the member list of the first epoch.
    pub fn set_first_list(&self, list: Value) {
        let epoch = Epoch { list, changes: Vec::new(), in_force_since: Instant::now() };
        *self.epochs.borrow_mut() = vec![epoch];
    }

    /// Starts the next epoch with the given changes of the member list. Returns the number of the new epoch.
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

    /// Returns the member list of the latest epoch.
    pub fn list(&self) -> Value {
        self.epochs.borrow().last().unwrap().list.clone()
    }

    /// Sets the delay with which a control agent serves new epochs.
    pub fn set_delay(&self, agent: usize, by: Duration) {
        self.agents.borrow()[agent].delay.set(by);
    }

    /// Sets whether a control agent leaves requests unanswered.
    pub fn set_silent(&self, agent: usize, silent: bool) {
        self.agents.borrow()[agent].silent.set(silent);
    }

    /// Sets a fixed answer for all requests to a control agent; `None` restores the real answers.
    pub fn override_answer(&self, agent: usize, answer: Option<Value>) {
        *self.agents.borrow()[agent].override_with.borrow_mut() = answer;
    }

    /// Returns how many requests a control agent has received.
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
            // A silent control agent never answers a request: the pending future outlasts any scenario.
            std::future::pending::<()>().await;
        }
        let since = http::query_number(&request, "since");
        let override_with = agent.override_with.borrow().clone();
        let answer = override_with.unwrap_or_else(|| self.answer_since(agent.delay.get(), since));
        http::with_body(200, answer.to_string())
    }

    /// Returns a control agent's answer to a sender that knows the epoch `since`; `delay` delays each new epoch.
    /// The answer has the changes, or the full member list if the control agent does not know the epoch `since`.
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

/// Applies one change to a full member list.
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
