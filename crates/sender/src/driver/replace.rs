//! One process replaced by another, on the driver's side: what it hears from the one before it, gives to the next, and
//! still passes on afterwards.

use super::{Driver, EXIT_AFTER};
use crate::calls::Lane;
use crate::handover::{Carried, Link, Lock};
use crate::input::{Ended, Fate, Input};
use crate::standing::{Change, Phase};
use embershore_handover::{Frame, Owner, OwnerDo, OwnerEvent, State};
use embershore_protocol::resp::Reply;
use heronroute::{DestId, EndpointId, InFlightCall, MsgId, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Rounds in which a sender that hands over finishes what it has in hand: each may leave some events to the next.
const LAST_ROUNDS: usize = 8;
/// The next process is told of the last outcomes within this.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// A sender that was replaced looks this often whether it has anything left.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Where processes of a sender replace each other.
pub struct Handing {
    pub lock: Lock,
    /// The process before this one: what it has handed over, and the link to it.
    pub former: Option<(Box<State>, Link)>,
    /// Processes that ask for the journal.
    pub newcomers: mpsc::Receiver<(Owner, Link)>,
}

/// The process before this one, while it lives.
pub(super) struct Former {
    pub(super) say: mpsc::UnboundedSender<Frame>,
    /// Attempts that it has out, in which of its calls, and to which endpoint.
    pub(super) out: BTreeMap<(MsgId, u32), (u64, EndpointId)>,
}

impl Driver {
    /// Follows what the process before this one says, until it ends.
    pub(super) fn listen_to(
        &self,
        link: Link,
        out: &[InFlightCall],
        in_call: &HashMap<MsgId, u64>,
    ) -> Former {
        let Carried { say, mut frames, .. } = link.carry();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            while let Some(frame) = frames.recv().await {
                _ = inputs.send(Input::Former(frame)).await;
            }
            _ = inputs.send(Input::FormerGone).await;
        });
        self.shared.by_two.set(true);
        let attempts = out.iter().flat_map(|call| call.messages().map(|attempt| (attempt, call.endpoint())));
        let number = |id: MsgId| in_call.get(&id).copied().unwrap_or(u64::MAX);
        let out = attempts.map(|(attempt, endpoint)| (attempt, (number(attempt.0), endpoint)));
        Former { say, out: out.collect() }
    }

    /// What the process before this one says.
    pub(super) fn hear(&mut self, frame: Frame) {
        let Some(former) = &mut self.former else { return };
        match frame {
            Frame::Put { number, put } => {
                let (reply, answer) = oneshot::channel();
                let say = former.say.clone();
                tokio::task::spawn_local(async move {
                    let reply = answer.await.unwrap_or(Reply::Busy { retry_after_ms: 0 });
                    _ = say.send(Frame::Reply { number, reply });
                });
                self.put(put, reply);
            }
            Frame::Ended { call, fates, elapsed, wait, report } => {
                let gone = fates.iter().map(|f| former.out.remove(&(f.id, f.attempt)));
                let endpoint = gone.flatten().map(|(_, endpoint)| endpoint).last();
                // Connections of this process that are coming up have not heard of it.
                let (fleet, journal) = (self.fleet.borrow(), self.journal.borrow());
                let listed = endpoint.and_then(|id| Some(self.lane(id, fleet.get(id)?)));
                let dest = || Some(journal.get(fates.first()?.id.0)?.accepted.dest);
                if let Some(lane) = listed.or_else(|| Some(Lane::Whole(DestId(dest()?)))) {
                    self.calls.learn_wait(lane, wait);
                }
                drop((fleet, journal));
                self.ended(call, Ended { endpoint: EndpointId(u32::MAX), fates, elapsed, wait, report });
            }
            _ => {}
        }
    }

    /// The process before this one has ended. What it had out may have run.
    pub(super) fn former_gone(&mut self) {
        self.shared.by_two.set(false);
        let Some(former) = self.former.take() else { return };
        let journal = self.journal.borrow();
        // What had not begun when the journal was given away could not begin after that.
        let begun = |id: MsgId| journal.get(id.0).is_none_or(|entry| entry.progress.out.is_some());
        let fate = |(id, attempt)| {
            let outcome = if begun(id) { Outcome::Cancelled } else { Outcome::Skipped };
            Fate { id, attempt, outcome, over: false }
        };
        let fates: Vec<Fate> = former.out.into_keys().map(fate).collect();
        drop(journal);
        if !fates.is_empty() {
            eprintln!("handover: the process before this one has ended with {} attempts out", fates.len());
            let endpoint = EndpointId(u32::MAX);
            self.ended(u64::MAX, Ended { endpoint, fates, elapsed: 0, wait: 0, report: None });
        }
    }

    /// Gives the journal to a process that asks for it; the link to it once it has it. Otherwise this one serves on.
    pub(super) async fn hand_over(&mut self, mut owner: Owner, mut link: Link) -> Option<Link> {
        for _ in 0..LAST_ROUNDS {
            self.round();
            if self.events.is_empty() {
                break;
            }
        }
        let state = Frame::State(Box::new(self.state()));
        let lock = &self.handing.as_ref()?.lock;
        // Calls whose connections are still coming up can't begin from here on: none goes out unwritten.
        self.journal.borrow_mut().close(true);
        let freed = lock.free();
        let mut then = owner.on(OwnerEvent::Gave);
        if freed.is_err() || link.say(&state).await.is_err() {
            then = owner.on(OwnerEvent::Gone);
        }
        loop {
            match then {
                OwnerDo::Retire => return Some(link),
                OwnerDo::ServeOn => {
                    eprintln!("handover: the newcomer has not taken over; serving on");
                    self.journal.borrow_mut().close(false);
                    return None;
                }
                OwnerDo::Reclaim => {
                    let mine = lock.take().unwrap_or(false);
                    then = owner.on(OwnerEvent::Reclaimed(mine));
                    if !mine {
                        // Whoever has the lock writes the journal; once told to end there is nothing left to do.
                        if self.standings.get().phase() == Phase::Stopping {
                            return Some(link);
                        }
                        tokio::time::sleep(LOOK_EVERY).await;
                    }
                }
                _ => {
                    then = owner.on(link.hear_soon().await.event());
                }
            }
        }
    }

    /// What the next process has to know beside the journal.
    pub(super) fn state(&self) -> State {
        let (learnt, out) = self.dispatcher.handover_state();
        let fleet = self.fleet.borrow();
        let numbers = learnt.endpoints().chain(out.iter().map(InFlightCall::endpoint));
        State {
            next_message: self.journal.borrow().next_number(),
            next_call: self.next_call,
            lame_duck: self.standings.get().phase() == Phase::LameDuck,
            attempts: self.live.iter().map(|(id, live)| (*id, live.attempts)).collect(),
            names: numbers.filter_map(|id| Some((id, fleet.get(id)?.name.clone()))).collect(),
            calls: self.live.iter().filter_map(|(id, live)| Some((*id, live.call?))).collect(),
            learnt,
            out,
        }
    }

    /// After another process has taken over: passes on what still comes to this one, and ends with its last call and
    /// its last client.
    pub(super) async fn retire(mut self, mut inbox: mpsc::Receiver<Input>, link: Link) {
        _ = self.standings.change(Change::HandedOver);
        self.calls.close_all();
        self.figures.outstanding.set(0);
        let Carried { say, mut frames, carrying } = link.carry();
        let (mut asked, mut number, mut linked) = (HashMap::<u64, oneshot::Sender<Reply>>::new(), 0, true);
        loop {
            tokio::select! {
                biased;
                frame = frames.recv(), if linked => match frame {
                    Some(Frame::Reply { number, reply }) => {
                        _ = asked.remove(&number).map(|answer| answer.send(reply));
                    }
                    Some(Frame::Cancel { call }) => {
                        _ = self.out.get_mut(&call).and_then(Option::take).map(|cancel| cancel.send(()));
                    }
                    Some(_) => {}
                    // Dropping what waits tells its clients to come again.
                    None => (linked, asked) = (false, HashMap::new()),
                },
                Some(input) = inbox.recv() => match input {
                    Input::Put(put, answer) => {
                        number += 1;
                        if linked && say.send(Frame::Put { number, put }).is_ok() {
                            asked.insert(number, answer);
                        }
                    }
                    Input::Ended(call, Ended { fates, elapsed, wait, report, .. }) => {
                        self.out.remove(&call);
                        _ = say.send(Frame::Ended { call, fates, elapsed, wait, report });
                    }
                    Input::Stop => _ = self.stopping.get_or_insert(self.clock.now()),
                    _ => {}
                },
                _ = tokio::time::sleep(LOOK_EVERY) => {}
            }
            let idle = self.out.is_empty() && self.shared.open_connections() == 0;
            let late = self.stopping.is_some_and(|at| self.clock.now() - at >= EXIT_AFTER);
            if idle || late {
                break;
            }
        }
        drop(say);
        _ = tokio::time::timeout(LAST_WORDS, carrying).await;
    }
}

/// The next process that asks for the journal, where one can.
pub(super) async fn next_of(handing: &mut Option<Handing>) -> Option<(Owner, Link)> {
    match handing {
        Some(handing) => handing.newcomers.recv().await,
        None => std::future::pending().await,
    }
}
