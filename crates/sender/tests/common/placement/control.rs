//! The control agents beside the senders: each answers `GET /v1/members?since=EPOCH` from one history of member
//! lists, with a delay of its own, and can be silent or serve a list that is wrong.

use super::http;
use hyper::{Response, body::Incoming};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A member list from the time at which it was decided.
struct Epoch {
    list: Value,
    /// What changed since the one before it.
    changes: Vec<Value>,
    in_force_since: Instant,
}

/// How one agent serves.
#[derive(Default)]
struct Agent {
    /// How much later than the others it tells an epoch.
    delay: Cell<Duration>,
    /// It takes questions and answers none.
    silent: Cell<bool>,
    /// What it answers in place of the truth.
    override_with: RefCell<Option<Value>>,
    /// Questions that came.
    requests: Cell<u64>,
}

/// All control agents.
#[derive(Default)]
pub struct Control {
    epochs: RefCell<Vec<Epoch>>,
    agents: RefCell<Vec<Rc<Agent>>>,
}

impl Control {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Starts the agent of the next sender.
    pub async fn listen(self: &Rc<Self>) -> SocketAddr {
        let agent = Rc::new(Agent::default());
        self.agents.borrow_mut().push(agent.clone());
        let control = self.clone();
        http::serve(move |request| control.clone().answer(agent.clone(), request)).await
    }

    /// Decides the first list.
    pub fn set_first_list(&self, list: Value) {
        let epoch = Epoch { list, changes: Vec::new(), in_force_since: Instant::now() };
        *self.epochs.borrow_mut() = vec![epoch];
    }

    /// Decides the next epoch; its number.
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

    /// The list in force.
    pub fn list(&self) -> Value {
        self.epochs.borrow().last().unwrap().list.clone()
    }

    /// Lets an agent tell epochs so much later.
    pub fn set_delay(&self, agent: usize, by: Duration) {
        self.agents.borrow()[agent].delay.set(by);
    }

    /// Lets an agent fall silent, or answer again.
    pub fn set_silent(&self, agent: usize, silent: bool) {
        self.agents.borrow()[agent].silent.set(silent);
    }

    /// Lets an agent answer this, whatever it is asked; with nothing, the truth again.
    pub fn override_answer(&self, agent: usize, answer: Option<Value>) {
        *self.agents.borrow()[agent].override_with.borrow_mut() = answer;
    }

    /// Questions that an agent was asked.
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
            // Longer than any scenario: the question is never answered.
            std::future::pending::<()>().await;
        }
        let since = http::query_number(&request, "since");
        let override_with = agent.override_with.borrow().clone();
        let answer = override_with.unwrap_or_else(|| self.answer_since(agent.delay.get(), since));
        http::with_body(200, answer.to_string())
    }

    /// What an agent with this delay tells one that knows the epoch `since`.
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

/// Applies one change to a whole list.
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
