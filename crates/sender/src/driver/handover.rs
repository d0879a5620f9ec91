//! What the driver does when one process of a sender replaces another.
//! The driver handles frames from its predecessor, and hands its own state to a successor.
//! After a handover the driver forwards to the successor the clients' messages and the outcomes that still arrive.

use super::{Driver, EXIT_DEADLINE_US};
use crate::calls::Lane;
use crate::handover::{BackgroundLink, Link, Lock};
use crate::input::{CallEnd, Input, MessageOutcome};
use crate::status::{Change, Phase};
use embershore_handover::{Frame, Owner, OwnerAction, OwnerEvent, State};
use embershore_protocol::resp::Reply;
use heronroute::{DestId, Effect, EndpointId, InFlightCall, MsgId, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of rounds before the handover that process the queued events; a round may queue new events.
pub(crate) const MAX_FINAL_ROUNDS: usize = 8;
/// Time for sending the last outcomes to the successor before exiting.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a replaced sender checks whether it has anything left to do.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The lock on the journal, and the links to the predecessor and to successors of this process.
pub struct HandoverContext {
    pub lock: Lock,
    /// The state that the predecessor has handed over, and the link to the predecessor.
    pub predecessor: Option<(Box<State>, Link)>,
    /// Receives the links to successors that have requested the journal.
    pub takeover_requests: mpsc::Receiver<(Owner, Link)>,
}

/// The predecessor process that this process has replaced, while the predecessor still has calls or clients.
pub(super) struct Predecessor {
    pub(super) send: mpsc::UnboundedSender<Frame>,
    /// The predecessor's attempts in flight, each with the number of its call and the endpoint.
    pub(super) attempts_in_flight: BTreeMap<(MsgId, u32), (u64, EndpointId)>,
}

/// A client's message that a replaced process has forwarded to its successor and that has no reply yet.
struct ForwardedPut {
    /// Whether the message's class allows any number of repeats.
    is_safe: bool,
    reply: oneshot::Sender<Reply>,
}

/// The forwarded messages without a reply, by the number in their frames.
/// Their number is bounded by the limit of requests that clients may have unanswered.
#[derive(Default)]
struct ForwardedPuts {
    last_number: u64,
    unanswered: HashMap<u64, ForwardedPut>,
}

impl ForwardedPuts {
    /// Returns the number of the next message to be forwarded.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Passes the successor's reply on to the client.
    fn answer(&mut self, number: u64, reply: Reply) {
        _ = self.unanswered.remove(&number).map(|put| put.reply.send(reply));
    }

    /// Answers all messages after the successor has gone.
    /// The successor may have accepted them before it could reply, and the next process then sends them.
    /// "Busy" would make a client submit such a message again, and it would take effect under two ids.
    fn fail_unanswered(&mut self) {
        for put in std::mem::take(&mut self.unanswered).into_values() {
            let reply = if put.is_safe { Reply::Busy { retry_after_ms: 0 } } else { Reply::Failed };
            _ = put.reply.send(reply);
        }
    }
}

impl Driver {
    /// Sends the predecessor's frames to the driver until the predecessor exits.
    pub(super) fn follow_predecessor(
        &self,
        link: Link,
        inherited_calls: &[InFlightCall],
        call_of_message: &HashMap<MsgId, u64>,
    ) -> Predecessor {
        let BackgroundLink { send, mut frames, .. } = link.run_in_background();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            while let Some(frame) = frames.recv().await {
                _ = inputs.send(Input::PredecessorFrame(frame)).await;
            }
            _ = inputs.send(Input::PredecessorGone).await;
        });
        self.shared.two_processes.set(true);
        let attempts =
            inherited_calls.iter().flat_map(|call| call.messages().map(|attempt| (attempt, call.endpoint())));
        let number = |id: MsgId| call_of_message.get(&id).copied().unwrap_or(u64::MAX);
        let attempts_in_flight = attempts.map(|(attempt, endpoint)| (attempt, (number(attempt.0), endpoint)));
        Predecessor { send, attempts_in_flight: attempts_in_flight.collect() }
    }

    /// Handles a client's message or a call's outcomes that the predecessor forwards.
    pub(super) fn handle_predecessor_frame(&mut self, frame: Frame) {
        let Some(predecessor) = &mut self.predecessor else { return };
        match frame {
            Frame::Put { number, put } => {
                let (reply, answer) = oneshot::channel();
                let send = predecessor.send.clone();
                tokio::task::spawn_local(async move {
                    let reply = answer.await.unwrap_or(Reply::Busy { retry_after_ms: 0 });
                    _ = send.send(Frame::Reply { number, reply });
                });
                self.handle_put(put, reply);
            }
            Frame::Ended { call, outcomes, elapsed, wait, report } => {
                let removed =
                    outcomes.iter().map(|o| predecessor.attempts_in_flight.remove(&(o.id, o.attempt)));
                let endpoint = removed.flatten().map(|(_, endpoint)| endpoint).last();
                // The wait also applies to calls of this process whose connections are still opening.
                let (endpoints, journal) = (self.endpoints.borrow(), self.journal.borrow());
                let listed = endpoint.and_then(|id| Some(self.lane(id, endpoints.get(id)?)));
                let dest = || Some(journal.get(outcomes.first()?.id.0)?.accepted.dest);
                if let Some(lane) = listed.or_else(|| Some(Lane::Whole(DestId(dest()?)))) {
                    self.calls.record_wait(lane, wait);
                }
                let request_id = |id: MsgId| Some(journal.get(id.0)?.accepted.request_id.as_str());
                self.calls.log().reported(call, &outcomes, request_id);
                drop((endpoints, journal));
                self.handle_call_end(
                    call,
                    CallEnd { endpoint: EndpointId::UNKNOWN, outcomes, elapsed, wait, report },
                );
            }
            _ => {}
        }
    }

    /// Ends the predecessor's attempts in flight after the predecessor has exited.
    /// Attempts that the predecessor had begun may have taken effect at the receiver.
    pub(super) fn handle_predecessor_gone(&mut self) {
        self.shared.two_processes.set(false);
        let Some(predecessor) = self.predecessor.take() else { return };
        let journal = self.journal.borrow();
        // An attempt that had not begun when the journal was handed over could not begin after the handover.
        let begun = |id: MsgId| journal.get(id.0).is_none_or(|entry| entry.progress.in_flight.is_some());
        let message_outcome = |(id, attempt)| {
            let outcome = if begun(id) { Outcome::Cancelled } else { Outcome::Skipped };
            MessageOutcome { id, attempt, outcome, closes_message: false }
        };
        let outcomes: Vec<MessageOutcome> =
            predecessor.attempts_in_flight.into_keys().map(message_outcome).collect();
        drop(journal);
        if !outcomes.is_empty() {
            eprintln!("handover: the previous process exited with {} attempts in flight", outcomes.len());
            let endpoint = EndpointId::UNKNOWN;
            self.handle_call_end(u64::MAX, CallEnd { endpoint, outcomes, elapsed: 0, wait: 0, report: None });
        }
    }

    /// Hands the journal to a successor that requested it. Returns the link once the successor has the journal.
    /// Returns None if the successor failed to take over and this process continues to serve.
    pub(super) async fn hand_over(&mut self, mut owner: Owner, mut link: Link) -> Option<Link> {
        for _ in 0..MAX_FINAL_ROUNDS {
            self.round();
            if self.events.is_empty() {
                break;
            }
        }
        let state = Frame::State(Box::new(self.handover_state()));
        let lock = &self.handover.as_ref()?.lock;
        // With the journal closed, calls whose connections are still opening can't begin: no call is made unrecorded.
        self.journal.borrow_mut().set_closed(true);
        let released = lock.release();
        let mut step = owner.on(OwnerEvent::Released);
        if released.is_err() || link.send(&state).await.is_err() {
            step = owner.on(OwnerEvent::Disconnected);
        }
        loop {
            match step {
                OwnerAction::Retire => return Some(link),
                OwnerAction::KeepServing => {
                    eprintln!("handover: the new process did not take over; this process continues to serve");
                    self.journal.borrow_mut().set_closed(false);
                    return None;
                }
                OwnerAction::Reclaim => {
                    let reclaimed = lock.try_acquire().unwrap_or(false);
                    step = owner.on(OwnerEvent::Reclaimed(reclaimed));
                    if !reclaimed {
                        // The process that holds the lock writes the journal.
                        // After a stop signal, this process without the lock has nothing left to do.
                        if self.status.get().phase() == Phase::Stopping {
                            return Some(link);
                        }
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                }
                _ => {
                    step = owner.on(link.receive_soon().await.event());
                }
            }
        }
    }

    /// Returns the state that the successor needs in addition to the journal.
    pub(super) fn handover_state(&self) -> State {
        let (inherited, in_flight) = self.dispatcher.handover_state();
        let endpoints = self.endpoints.borrow();
        let numbers = inherited.endpoints().chain(in_flight.iter().map(InFlightCall::endpoint));
        State {
            next_message: self.journal.borrow().next_number(),
            next_call: self.next_call,
            lame_duck: self.status.get().phase() == Phase::LameDuck,
            attempts: self.pending.iter().map(|(id, pending)| (*id, pending.attempts)).collect(),
            names: numbers.filter_map(|id| Some((id, endpoints.get(id)?.name.clone()))).collect(),
            calls: self.pending.iter().filter_map(|(id, pending)| Some((*id, pending.call?))).collect(),
            inherited,
            in_flight,
        }
    }

    /// Returns whether the messages of a class may be repeated any number of times.
    fn is_safe(&self, class: &str) -> bool {
        let row = self.class_table.current_row(class, self.clock.now());
        let rules = row.and_then(|row| self.class_table.settings(row));
        rules.is_some_and(|rules| rules.effect == Effect::Safe)
    }

    /// Forwards messages, replies and outcomes between clients, calls and the successor that has taken over.
    /// Returns once no call and no client connection is left, or at the exit deadline.
    pub(super) async fn forward_until_idle(mut self, mut inbox: mpsc::Receiver<Input>, link: Link) {
        _ = self.status.change(Change::HandedOver);
        self.metrics.outstanding.set(0);
        let BackgroundLink { send, mut frames, task } = link.run_in_background();
        let (mut forwarded, mut linked) = (ForwardedPuts::default(), true);
        loop {
            tokio::select! {
                biased;
                frame = frames.recv(), if linked => match frame {
                    Some(Frame::Reply { number, reply }) => forwarded.answer(number, reply),
                    Some(Frame::Cancel { call }) => {
                        _ = self.calls_in_flight.get_mut(&call).and_then(Option::take).map(|cancel| cancel.send(()));
                    }
                    Some(_) => {}
                    None => {
                        linked = false;
                        forwarded.fail_unanswered();
                    }
                },
                Some(input) = inbox.recv() => match input {
                    // A forwarded message does not carry that another sender had it; the client is to submit it to the successor.
                    Input::Put(put, answer) if put.sender_lost => {
                        _ = answer.send(Reply::Busy { retry_after_ms: 0 });
                    }
                    // A client whose reply channel is dropped here gets the reply "busy, retry".
                    Input::Put(put, reply) => {
                        let is_safe = self.is_safe(&put.class);
                        let number = forwarded.next_number();
                        if linked && send.send(Frame::Put { number, put }).is_ok() {
                            forwarded.unanswered.insert(number, ForwardedPut { is_safe, reply });
                        }
                    }
                    Input::CallEnded(call, CallEnd { outcomes, elapsed, wait, report, .. }) => {
                        self.calls_in_flight.remove(&call);
                        _ = send.send(Frame::Ended { call, outcomes, elapsed, wait, report });
                    }
                    Input::Stop => _ = self.stopping.get_or_insert(self.clock.now()),
                    _ => {}
                },
                _ = tokio::time::sleep(POLL_INTERVAL) => {}
            }
            let idle = self.calls_in_flight.is_empty() && self.shared.open_connections() == 0;
            let late = self.stopping.is_some_and(|at| self.clock.now() - at >= EXIT_DEADLINE_US);
            if idle || late {
                break;
            }
        }
        drop(send);
        _ = tokio::time::timeout(FINAL_SEND_TIMEOUT, task).await;
    }
}

/// Waits for the next successor that requests the journal; waits for ever if handover is not set up.
pub(super) async fn next_takeover_request(handover: &mut Option<HandoverContext>) -> Option<(Owner, Link)> {
    match handover {
        Some(handover) => handover.takeover_requests.recv().await,
        None => std::future::pending().await,
    }
}
