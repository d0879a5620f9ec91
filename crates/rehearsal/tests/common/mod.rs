//! A builder of hand-written records of rehearsals ("histories") for the judge's tests.

#![allow(dead_code)] // each test file uses a part

use embershore_rehearsal::history::{
    ClosedBy, EndpointStatus, Event, FORMAT, Item, NoticeState, PutOutcome, Record, Signal,
};
use embershore_rehearsal::judge::{Judgement, Rule, Verdict, judge};
use embershore_rehearsal::parameters::{Class, Effect, Parameters, Receiver, Rules, Sender, Tenant};

pub const KEYED: usize = 0;
pub const SAFE: usize = 1;
pub const UNSAFE: usize = 2;
pub const ORDERED: usize = 3;

/// Returns parameters with two senders, four classes and three receivers; all classes have a deadline of 10 s.
/// The classes are `push` (keyed for 3 s), `sync` (safe), `pay` (unsafe) and `log` (safe, ordered, settling for 1 s).
/// Receivers 1 and 2 handle 10 messages per second and have the endpoints `e1`, `e2` and `e3`.
/// Receiver 3 has the separate routes `f1` and `f2`.
pub fn parameters() -> Parameters {
    let class = |name: &str, effect, window, ordered| Class {
        name: name.into(),
        effect,
        window,
        aim: 2_500_000,
        deadline: 10_000_000,
        worth: 1.0,
        late_share: 0.5,
        ordered,
        order_settle: if ordered { 1_000_000 } else { 0 },
    };
    let receiver = |number, separate_routes| Receiver {
        number,
        kind: "hook".into(),
        separate_routes,
        capacity: 10.0,
        rate: 10.0,
        cold_from: 0.2,
        warm_up: 10_000_000,
    };
    let sender = |name: &str| Sender { name: name.into(), zone: "a".into(), slots: 10, max_open: 100 };
    Parameters {
        scenario: "by hand".into(),
        seed: 1,
        length: 10_000_000,
        rules: Rules {
            drain_grace: 1_000_000,
            fall_multiple: 2.0,
            fall_window: 2_000_000,
            max_attempts: 6,
            second_copies: false,
            batch_weight: 0.25,
        },
        over_share_worth: 0.05,
        classes: vec![
            class("push", Effect::Keyed, 3_000_000, false),
            class("sync", Effect::Safe, 0, false),
            class("pay", Effect::Unsafe, 0, false),
            class("log", Effect::Safe, 0, true),
        ],
        tenants: vec![Tenant { name: "acme".into(), quota: 1000.0 }],
        receivers: vec![receiver(1, false), receiver(2, false), receiver(3, true)],
        senders: vec![sender("n0"), sender("n1")],
    }
}

/// A hand-written history of a rehearsal under construction, with times in milliseconds.
#[derive(Clone)]
pub struct History {
    pub records: Vec<Record>,
    calls: u64,
}

impl History {
    pub fn new() -> Self {
        let mut h = History { records: Vec::new(), calls: 0 };
        h.at(0, Event::Run { format: FORMAT, parameters: Box::new(parameters()) });
        for (endpoint, receiver) in [("e1", 1), ("e2", 1), ("e3", 2), ("f1", 3), ("f2", 3)] {
            h.at(0, Event::Endpoint { endpoint: endpoint.into(), receiver, zone: "a".into() });
        }
        h
    }

    pub fn at(&mut self, ms: i64, event: Event) -> &mut Self {
        self.records.push(Record { t: ms * 1000, event });
        self
    }

    /// Records that a client sends a message for receiver 1, which a sender accepts 5 ms later.
    pub fn accepted(&mut self, ms: i64, sender: usize, id: &str, class: usize) -> &mut Self {
        self.offer(ms, sender, id, id, class, None).reply(ms + 5, id, PutOutcome::Accepted)
    }

    /// Records that a client sends an ordered message for receiver 1, which sender 0 accepts 5 ms later.
    pub fn accepted_ordered(&mut self, ms: i64, id: &str, order: &str) -> &mut Self {
        self.offer(ms, 0, id, id, ORDERED, Some(order)).reply(ms + 5, id, PutOutcome::Accepted)
    }

    pub fn offer(
        &mut self,
        ms: i64,
        sender: usize,
        id: &str,
        origin: &str,
        class: usize,
        order: Option<&str>,
    ) -> &mut Self {
        let (id, origin, order) = (id.into(), origin.into(), order.map(Into::into));
        let (key, time_left, retries) = (None, 10_000_000, u32::from(id != origin));
        let (tenant, receiver, due) = (0, 1, ms * 1000);
        self.at(
            ms,
            Event::Offer { sender, id, origin, retries, class, tenant, receiver, key, order, time_left, due },
        )
    }

    pub fn reply(&mut self, ms: i64, id: &str, answered: PutOutcome) -> &mut Self {
        self.at(ms, Event::Reply { id: id.into(), answered, after_ms: None })
    }

    pub fn notice(&mut self, ms: i64, id: &str, state: NoticeState) -> &mut Self {
        self.at(ms, Event::Notice { sender: 0, id: id.into(), state, after_ms: None })
    }

    /// Records a call that stays open; returns the call's number.
    pub fn call(&mut self, ms: i64, sender: usize, endpoint: &str, ids: &[&str]) -> u64 {
        self.calls += 1;
        let items = ids.iter().map(|id| Item { id: (*id).into(), key: None }).collect();
        let (call, endpoint, first_byte) = (self.calls, endpoint.into(), ms * 1000);
        self.at(
            ms,
            Event::Call {
                call,
                sender,
                endpoint,
                first_byte,
                new_connection: false,
                batch: ids.len() > 1,
                items,
            },
        );
        call
    }

    pub fn answer(&mut self, ms: i64, call: u64, status: u16) -> &mut Self {
        self.at(ms, Event::Answer { call, status, wait_ms: 0, states: None })
    }

    pub fn wait(&mut self, ms: i64, call: u64, wait_ms: u32) -> &mut Self {
        self.at(ms, Event::Answer { call, status: 429, wait_ms, states: None })
    }

    pub fn broke(&mut self, ms: i64, call: u64, by: ClosedBy) -> &mut Self {
        self.at(ms, Event::Disconnected { call, by })
    }

    pub fn ran(&mut self, ms: i64, call: u64, id: &str) -> &mut Self {
        self.at(ms, Event::Ran { call, id: id.into(), dropped: false })
    }

    /// Records a call that is answered with `status` after 100 ms.
    pub fn sent(&mut self, ms: i64, sender: usize, endpoint: &str, id: &str, status: u16) -> &mut Self {
        let call = self.call(ms, sender, endpoint, &[id]);
        if status == 200 {
            self.ran(ms + 99, call, id);
        }
        self.answer(ms + 100, call, status)
    }

    pub fn notified(&mut self, ms: i64, sender: usize, endpoint: &str, status: EndpointStatus) -> &mut Self {
        let lines = vec![(endpoint.into(), status)];
        self.at(ms, Event::Listing { sender, index: 2, complete: false, endpoints: lines })
    }

    pub fn listed(&mut self, ms: i64, sender: usize, endpoints: &[&str]) -> &mut Self {
        let lines = endpoints.iter().map(|e| ((*e).into(), EndpointStatus::Ready)).collect();
        self.at(ms, Event::Listing { sender, index: 1, complete: true, endpoints: lines })
    }

    pub fn signal(&mut self, ms: i64, sender: usize, signal: Signal) -> &mut Self {
        self.at(ms, Event::Signal { sender, signal })
    }

    pub fn ready(&mut self, ms: i64, sender: usize) -> &mut Self {
        self.at(ms, Event::Ready { sender })
    }

    /// Records the end of the run, the last record of a history.
    pub fn over(&mut self, ms: i64) -> &mut Self {
        self.at(ms, Event::End)
    }

    pub fn judge(&self) -> Judgement {
        judge(&self.records).unwrap()
    }

    /// Asserts that the judge finds the given rule broken and no other.
    pub fn breaks(&self, rule: Rule) {
        let judgement = self.judge();
        for r in &judgement.rules {
            let expected = r.rule == rule;
            assert_eq!(r.verdict == Verdict::Broken, expected, "{}: {:?}", r.rule, r.violations);
        }
    }

    /// Asserts that the given rule was tested and no rule is broken.
    pub fn keeps(&self, rule: Rule) {
        let judgement = self.judge();
        assert!(!judgement.broken(), "{:?}", judgement.rules);
        assert_eq!(judgement.ruling(rule).unwrap().verdict, Verdict::Kept);
    }
}
