//! Keyed messages that their clients submit again, to the same sender or to another one.
//! Guards against a message that takes effect a second time after its receiver has forgotten the idempotency key.

mod common;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Deadline of the class `push` in the tests' settings.
const DEADLINE: Duration = Duration::from_secs(24);
const OUTAGE: Duration = Duration::from_secs(6);
const RUN_AFTER_OUTAGE: Duration = Duration::from_secs(6);
/// Time from the begin of the outage until the first sender is killed.
const KILL_AFTER: Duration = Duration::from_millis(800);
const MESSAGES: usize = 30;
const MESSAGE_GAP: Duration = Duration::from_millis(100);
/// Time after which clients submit a returned message again.
const RETRY_WAIT: Duration = Duration::from_millis(100);
const MAX_RETRIES: usize = 3;

/// A receiver that remembers idempotency keys for a time window and counts each key's effects.
#[derive(Default)]
struct Effects {
    remembered: BTreeMap<String, Instant>,
    counts: BTreeMap<String, usize>,
}

impl Effects {
    fn record(&mut self, key: &str, window: Duration) {
        if self.remembered.get(key).is_some_and(|at| at.elapsed() < window) {
            return;
        }
        self.remembered.insert(key.to_string(), Instant::now());
        *self.counts.entry(key.to_string()).or_default() += 1;
    }

    fn repeated(&self) -> Vec<&String> {
        self.counts.iter().filter(|(_, count)| **count > 1).map(|(key, _)| key).collect()
    }
}

/// Starts an endpoint that runs every message, and answers 500 until the given time and 200 afterwards.
fn endpoint_that_fails_until(recovers_at: Instant, window: Duration) -> (Endpoint, Arc<Mutex<Effects>>) {
    let effects: Arc<Mutex<Effects>> = Arc::default();
    let recorded = effects.clone();
    let endpoint = Endpoint::new(move |request| {
        if let Some(key) = request.header("idempotency-key") {
            recorded.lock().unwrap().record(key, window);
        }
        let fails = request.line.starts_with("POST") && Instant::now() < recovers_at;
        status(if fails { 500 } else { 200 })
    });
    (endpoint, effects)
}

/// A message that a client submits, possibly several times.
struct Message {
    number: usize,
    first_submitted: Instant,
    retries: usize,
}

impl Message {
    fn new(number: usize) -> Message {
        Message { number, first_submitted: Instant::now(), retries: 0 }
    }

    fn request_id(&self) -> String {
        format!("m{}-{}", self.number, self.retries)
    }

    fn key(&self) -> String {
        format!("key{}", self.number)
    }

    /// Submits the message to a sender and returns the sender's reply.
    fn submit(&self, sender: &Sender) -> Option<String> {
        self.submit_with(sender, "")
    }

    /// Submits the message to a sender, as a message that another sender had which died, and returns the reply.
    fn submit_after_loss(&self, sender: &Sender) -> Option<String> {
        self.submit_with(sender, ",again=1")
    }

    fn submit_with(&self, sender: &Sender, marks: &str) -> Option<String> {
        let time_left = DEADLINE.saturating_sub(self.first_submitted.elapsed()).as_millis();
        let fields = format!("c=push,d={time_left},dest=3,k={}{marks}", self.key());
        sender.try_put(&self.request_id(), &fields)
    }

    /// Creates a message that its client first submitted the given time ago.
    fn of_age(number: usize, age: Duration) -> Message {
        Message { first_submitted: Instant::now() - age, ..Message::new(number) }
    }
}

/// Runs two senders and a receiver that runs messages but answers with errors for a time.
/// Each returned message is submitted again to the other sender, within the idempotency window.
/// With `kill`, the first sender is killed and started again during the outage.
fn submit_returned_messages_to_the_other_sender(window: Duration, kill: bool) {
    let recovers_at = Instant::now() + OUTAGE;
    let (endpoint, effects) = endpoint_that_fails_until(recovers_at, window);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let window_us = window.as_micros() as u64;
    let start = || Sender::with(&platform, |c| c["settings"]["Profiles"][0]["WindowUs"] = window_us.into());
    let mut senders = [start(), start()];
    senders.iter().for_each(|sender| sender.client().ping());
    let mut open: Vec<Message> = Vec::new();
    let mut due: VecDeque<(Instant, Message)> = VecDeque::new();
    let (mut next, mut next_at) = (0, Instant::now());
    let kill_at = Instant::now() + KILL_AFTER;
    let mut killed = !kill;
    while Instant::now() < recovers_at + RUN_AFTER_OUTAGE {
        if next < MESSAGES && next_at <= Instant::now() {
            due.push_back((next_at, Message::new(next)));
            (next, next_at) = (next + 1, next_at + MESSAGE_GAP);
        }
        if !killed && kill_at <= Instant::now() {
            senders[0].kill();
            senders[0].spawn();
            killed = true;
        }
        while due.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, message) = due.pop_front().unwrap();
            let may_come_again = message.retries == 0 || message.first_submitted.elapsed() < window;
            if may_come_again && message.submit(&senders[message.retries % 2]).as_deref() == Some("+OK") {
                open.push(message);
            }
        }
        for mut message in std::mem::take(&mut open) {
            match platform.notice_state(&message.request_id()).as_deref() {
                Some("returned") if message.retries < MAX_RETRIES => {
                    message.retries += 1;
                    due.push_back((Instant::now() + RETRY_WAIT, message));
                }
                Some(_) => {}
                None => open.push(message),
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let effects = effects.lock().unwrap();
    assert!(!effects.counts.is_empty(), "no message took effect");
    assert_eq!(effects.repeated(), Vec::<&String>::new(), "took effect more than once, {:?}", effects.counts);
}

// Guards against a returned message that may have run, and that another sender calls after its window of 1 s.
#[test]
fn no_effect_repeats_at_another_sender_with_a_window_of_1s() {
    submit_returned_messages_to_the_other_sender(Duration::from_secs(1), false);
}

// Guards against a returned message that may have run, and that another sender calls after its window of 3 s.
#[test]
fn no_effect_repeats_at_another_sender_with_a_window_of_3s() {
    submit_returned_messages_to_the_other_sender(Duration::from_secs(3), false);
}

// Guards against a returned message that may have run before a kill, and that another sender calls after its window.
#[test]
fn no_effect_repeats_after_a_kill_with_a_window_of_3s() {
    submit_returned_messages_to_the_other_sender(Duration::from_secs(3), true);
}

// Guards against a notice that tells the client to submit a message again although the message may have run.
#[test]
fn a_keyed_message_whose_attempts_may_have_run_fails_and_is_not_returned() {
    let endpoint = Endpoint::new(|request| status(if request.line.starts_with("POST") { 500 } else { 200 }));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    let message = Message::new(0);
    assert_eq!(message.submit(&sender).as_deref(), Some("+OK"));
    platform.wait_notice(&message.request_id(), "failed");
}

/// Starts a sender and an endpoint that turns away every call with `code`. The window of the class `push` is 3 s.
fn sender_and_endpoint(code: u16) -> (Endpoint, Platform, Sender) {
    let endpoint =
        Endpoint::new(move |request| status(if request.line.starts_with("POST") { code } else { 200 }));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    (endpoint, platform, sender)
}

// Guards against a call after the window with a message that a sender had which died, and that it may have sent.
#[test]
fn a_message_of_a_lost_sender_is_called_only_within_its_window_since_its_first_submission() {
    let (endpoint, platform, sender) = sender_and_endpoint(503);
    let message = Message::of_age(0, Duration::from_secs(1));
    assert_eq!(message.submit_after_loss(&sender).as_deref(), Some("+OK"));
    endpoint.wait_sent(&message.request_id());
    platform.wait_notice(&message.request_id(), "failed");
    let last = endpoint.requests().iter().map(|request| request.at).max().unwrap();
    assert!(last - message.first_submitted < Duration::from_secs(3));
    assert!(
        message.first_submitted.elapsed() < Duration::from_secs(6),
        "the answer comes at the window's end"
    );
}

// Guards against the same after a restart, which must not forget that another sender had the message.
#[test]
fn a_message_of_a_lost_sender_is_not_called_after_its_window_by_a_restarted_sender() {
    let (endpoint, platform, mut sender) = sender_and_endpoint(503);
    let message = Message::of_age(0, Duration::from_millis(1500));
    assert_eq!(message.submit_after_loss(&sender).as_deref(), Some("+OK"));
    endpoint.wait_sent(&message.request_id());
    sender.kill();
    endpoint.set_script(|_| status(200));
    let before = endpoint.call_count(&message.request_id());
    wait_until("the window's end", || message.first_submitted.elapsed() > Duration::from_secs(3));
    sender.spawn();
    platform.wait_notice(&message.request_id(), "failed");
    assert_eq!(endpoint.call_count(&message.request_id()), before);
}

// Guards against a message that is held although no sender may send it any more.
#[test]
fn a_message_of_a_lost_sender_fails_at_once_after_its_window() {
    let (endpoint, _platform, sender) = sender_and_endpoint(200);
    let message = Message::of_age(0, Duration::from_secs(4));
    assert_eq!(message.submit_after_loss(&sender).as_deref(), Some("-ERR the message failed"));
    assert_eq!(endpoint.call_count(&message.request_id()), 0);
}

// Guards against a limit on messages whose earlier submissions were refused, which proves that they never ran.
#[test]
fn a_message_that_was_refused_before_is_called_until_its_deadline() {
    let (endpoint, _platform, sender) = sender_and_endpoint(200);
    let message = Message::of_age(0, Duration::from_secs(15));
    assert_eq!(message.submit(&sender).as_deref(), Some("+OK"));
    endpoint.wait_sent(&message.request_id());
}
