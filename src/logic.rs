//! All decisions of heronroute; `src/interface.rs` has what goes in and out, `src/state.rs` plain data.
//!
//! The ordinary path is a bulkhead: each destination owns a pool of permits sized rate x p99 x safety, a call
//! holds one until its outcome, and messages wait in the hold, oldest first. Around it stand a call budget,
//! each endpoint's health with single trials, and a paced return. A *lane* has one limit and one pool: it is
//! a destination, or one route of it where routes are apart.

use crate::batching::{LaneDemand, filled_calls};
use crate::interface::*;
use crate::measure::Tables;
use crate::random::Random;
use crate::rotation::Turn;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

const SAFETY: f64 = 1.5; // safety factor of the sizing rule, as in the source
const START_SHARE: f64 = 0.1; // share of the slots for a new pool: enough to learn from, too few to do harm
const SHARE_CAP: f64 = 0.2; // a sized pool's share at most, the design's fifth; more is only borrowed
const DEST_CAP: f64 = 0.5; // a destination's share at most, sick or borrowing: it may fall silent any moment
const ALL_SICK_CAP: f64 = 0.6; // all sick destinations' share, so that frozen pools cannot fill the slots
const BORROW_RESERVE: f64 = 0.15; // slots kept free of borrowers, as a share
const RECLAIM_RESERVE: f64 = 0.2; // with fewer free slots than this share, silent calls are given up ...
const RECLAIM_AFTER: f64 = 3.0; // ... once they have been out for this multiple of what counts as silence,
const RECLAIM_REPEATABLE: f64 = 2.0; // or for this one where all their messages may go again
const SIZED_FROM: f64 = 8.0; // answers by which a pool's size is known
const RATE_MEMORY: f64 = 8e6; // of arrival rates: long against clumps, short against a day's swing
const SHARE_MEMORY: f64 = 6e7; // of a sender's part of the traffic: long against gaps between messages
const SILENCE: f64 = 1.5; // silence beyond this multiple of p99 is a symptom
const SILENCE_LEAST: f64 = 4e5; // silence shorter than this is never a symptom
const FAIL_GAIN: f64 = 0.3; // weight of an outcome in the share of failures; two in a row cross one half
const FAIL_LIMIT: f64 = 0.5; // share of failures at which an endpoint is in trouble
/// The same where it answers, with an error, as it may answer part of the calls well: with few senders. Many
/// would all still be sending at half pace when it comes back.
const ERROR_LIMIT: f64 = 0.7;
const BURN_LIMIT: f64 = 0.2; // share of calls that failed and may have run at which unsafe messages wait,
const BURN_MEMORY: f64 = 8e6; // faded over this span where no call tells more
const TRIAL_FIRST: Micros = 200_000; // first time between trials, and the most to which it grows by itself
const TRIAL_MOST: Micros = 1_000_000;
/// Cost of a trial that is due, as a multiple: it goes first, or an endpoint that is well again would stay
/// idle for as long as the others can take every call. One that may harm is left until they can't.
const TRIAL_COST: f64 = 0.5;
const SHUT_WAIT: Micros = 2_000_000; // a wait longer than this, which no limit's span tells, is a shut one's
const TRIAL_SHARE: f64 = 1.0; // all senders' trials together, in multiples of what a cold destination takes
/// An equal part of what a destination states counts up to this multiple of a sender's own traffic and this
/// share of itself: neither a wrong number of senders nor a limit above what it can do adds up to much more.
const TRUST: f64 = 1.25;
const QUIET: f64 = 0.1;
const FEW: f64 = 2.0; // so few senders' trials do no harm by their number
const LIMIT_LEAST: f64 = 3.0; // calls a second that any destination takes, where no limit is told
const COLD_AFTER: Micros = 1_500_000; // trouble this long may have been an outage: the return is paced
const RAMP_SAFETY: f64 = 0.75; // share of the allowed load that this sender uses on a cold destination
const BATCH_WEIGHT: f64 = 0.25; // weight of a batch's further messages on a cold destination, in calls
const TIMEOUT: f64 = 4.0; // repeatable messages are waited for this multiple of p99, and at least
const TIMEOUT_LEAST: f64 = 1.2e6;
const END_LEAD: Micros = 2; // a message ends these quanta before its time: rounds are one apart
const TOLD_WITHIN: Micros = 150_000; // an end is told within this, with a first notice that is lost
const WINDOW_PART: f64 = 0.45; // an attempt ends after this part of a keyed window, so that a resend fits in
/// Budget after a refusal as a share of what was accepted; its growth a second and the least of it, as
/// shares of this sender's own demand, so that senders with more traffic get more.
const BUDGET_CUT: f64 = 0.75;
const BUDGET_GROWTH: f64 = 0.2;
const BUDGET_LEAST: f64 = 0.4;
const FAIR_LEAST: f64 = 1.0; // with a known limit the least stays within this multiple of an equal part ...
const FAIR_GROWTH: f64 = 0.5; // ... and growth goes by this multiple, so that many budgets leave it room,
const DONE_GROWTH: f64 = 0.07; // and by this share for each call accepted
const QUEUE_SLACK: f64 = 1.5; // with no limit known the cut starts from this multiple of what was accepted
const LIMIT_PART: f64 = 0.95; // share of a known limit that is used at most
const ROUGH: f64 = 1.5; // a rough weight may be too low by this factor: refusals teach the rest
const UNPACED: f64 = 1e6; // calls a second that stand for no budget at all
const BURST: f64 = 0.4; // saved-up calls, in seconds of budget
const REFUSED_PAUSE: Micros = 250_000; // pause after a refusal that told no wait
const SCARCE: Micros = 20_000_000; // after a refused connection none is kept idle at that kind for so long
const IDLE_PART: f64 = 0.3; // a connection in use for this part of the time is kept all the same ...
const TABLE_LEAST: f64 = 6.0; // ... and all are where so few senders could each keep one
const CROWD: f64 = 1.5; // load on endpoints of one zone, over that on all, for which messages stay in it
const BEGUN: Micros = 2_000_000; // a destination known for less has no newcomers among its endpoints
const KEPT: f64 = 2.0; // calls within the time that connections are kept that are worth a further one
pub(crate) const ALERT: Micros = 20_000_000; // a refusal is a sign that a limit is short for so long
const YIELD: f64 = 1.5e6; // once messages are late, rank goes by the worth lost within this wait ...
const WORTH_NOW: f64 = 0.4; // ... plus this share of the worth at hand, lost for good if the backlog stays
const ROOM: f64 = 0.06; // part of `max_open` kept free, so that nothing is turned away unseen
const RESIZE: Micros = 500_000; // pools are resized this often

impl Latency {
    pub(crate) fn silence(&self) -> f64 {
        (SILENCE * self.p99()).max(2.0 * self.recent).max(SILENCE_LEAST)
    }
}

/// Decides for one sender. Feed it rounds of events; it answers with actions.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) now: Micros,
    random: Random,
    /// From 0 to 1, by its own seed: how readily this sender leaves its zone.
    homely: f64,
    pub(crate) set: Settings,
    pub(crate) seq: u64,
    pub(crate) lanes: BTreeMap<LaneKey, Lane>,
    pub(crate) dests: BTreeMap<DestId, Dest>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) msgs: BTreeMap<MsgId, Msg>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) keys: BTreeMap<String, Key>,
    /// What falls due when: a round looks at this and at `ready`, never at all that exists.
    pub(crate) agenda: BTreeSet<(Micros, Due)>,
    /// Destinations with a hold for which something has changed, or that wait for a slot.
    pub(crate) ready: BTreeSet<DestId>,
    plain: ClassSettings,
    /// When each kind last refused a connection, by lane; endpoints whose calls ended in this round.
    scarce: BTreeMap<(usize, LaneKey), Micros>,
    tables: BTreeMap<usize, Tables>,
    /// It goes on for a process that ran: what that one held is no restart's find.
    succeeds: bool,
    idle: BTreeSet<EndpointId>,
    open: usize,
    pub(crate) used: u32,
    sweep_at: Micros,
    wake: Micros,
    /// When this sender ends, once it has been told to.
    stop_at: Option<Micros>,
}

impl Dispatcher {
    /// Starts a dispatcher.
    ///
    /// # Errors
    /// When the settings hold a figure with which it cannot work.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (random, wake) = (Random::new(seed), Micros::MIN);
        let mut d = Dispatcher { now, random, wake, set: settings, ..Dispatcher::default() };
        d.homely = d.random.chance();
        Ok(d)
    }

    /// Takes all that happened by `now`, then decides.
    pub fn round(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.absorb(event, out);
        }
        self.sweep();
        self.fall_due(out);
        self.reclaim(out);
        self.dispatch(out);
        self.let_go(out);
        self.make_room(out);
        self.set_timer(out);
    }

    fn absorb(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Listing { complete: whole, entries } => self.members(*whole, entries),
            Event::Message { id, class, key, dest, time_left, resubmitted: again, .. } => {
                let msg = Msg { class: *class, key: key.clone(), dest: *dest, ..Msg::default() };
                self.admit(*id, msg, *time_left, !again);
            }
            Event::MessageRestored { id, class, key, dest, time_left, attempts, unreached, may_have_run } => {
                let (class, key, dest, attempts) = (*class, key.clone(), *dest, *attempts);
                let may_run = may_have_run.map(|(at, sent)| (sent, at));
                let owed = may_run.is_none() && !self.succeeds;
                let unreached = *unreached;
                let msg = Msg { class, key, dest, attempts, unreached, may_run, owed, ..Msg::default() };
                self.restore(*id, msg, *time_left, out);
            }
            Event::StateInherited(learnt) => {
                self.succeeds = true;
                self.learn(learnt);
            }
            Event::CallsInherited(calls) => self.adopt(calls),
            Event::ClassesChanged(classes) => self.set.classes = classes.clone(),
            Event::EndpointHealthRestored { endpoint, health } => self.recall(*endpoint, *health),
            Event::ReceiverHealthRestored { dest, route, health } => {
                self.lanes_of(*dest, *route).into_iter().for_each(|key| self.recall_receiver(key, *health));
            }
            Event::Stopping { at } => self.stop_at = Some(*at),
            Event::Outcome { id, attempt, outcome, closes_message: last, elapsed, wait, report, .. } => {
                let wait = (*wait).clamp(0, MAX_SPAN);
                let answer = Answer { outcome: *outcome, took: *elapsed, wait, report: *report };
                self.outcome(*id, *attempt, *last, answer, out);
            }
            Event::MessageAbandoned { id } => self.close(*id),
            Event::Probed { endpoint, outcome, report } => {
                let (now, gap) = (self.now, self.trial_gap(*endpoint));
                self.read(*endpoint, *report);
                let Some(e) = self.endpoints.get_mut(endpoint) else { return };
                self.ready.insert(e.dest);
                let Some(t) = &mut e.trouble else { return };
                t.probing = false;
                if *outcome == Outcome::Done {
                    (t.probed, t.next) = (true, now);
                } else {
                    t.again(now, gap);
                }
            }
            _ => {}
        }
    }

    fn admit(&mut self, id: MsgId, mut msg: Msg, time_left: Micros, demand: bool) {
        if self.msgs.contains_key(&id) {
            return;
        }
        self.seq += 1;
        let (seq, now, dest) = (self.seq, self.now, msg.dest);
        (msg.seq, msg.deadline) = (seq, now + time_left.clamp(0, MAX_SPAN));
        let ordered = self.set.classes.get(msg.class).is_some_and(|c| c.ordered);
        msg.key = msg.key.filter(|_| ordered);
        if let Some(k) = &msg.key {
            self.keys.entry(k.clone()).or_default().queue.insert((seq, id));
        }
        let d = self.dest(dest);
        // Clients that come again are no new demand: they must not widen the pool.
        if demand {
            d.rate.add(now);
            d.share.add(now);
        }
        d.hold.insert((seq, id));
        self.ready.insert(dest);
        self.agenda.insert((self.due(&msg), Due::Msg(id)));
        self.open += 1;
        self.msgs.insert(id, msg);
    }

    /// Guards against a second effect after a restart: an attempt with no known outcome may have run, so an
    /// unsafe message fails here and a keyed one keeps the window of its first send.
    fn restore(&mut self, id: MsgId, msg: Msg, time_left: Micros, out: &mut Vec<Action>) {
        // One is demand too: without any, one refusal would leave its destination with no budget. All of
        // them in one instant would be taken for a hundred times the traffic, and for as large a part.
        let first = self.dests.get(&msg.dest).is_none_or(|d| d.rate.value == 0.0);
        self.admit(id, msg, time_left, first);
        let Some(msg) = self.msgs.get(&id) else { return };
        let guarded = self.set.classes.get(msg.class).filter(|c| c.effect == Effect::Keyed);
        if let (Some(c), Some((sent, _))) = (guarded, msg.may_run) {
            self.agenda.insert((sent + c.window, Due::Msg(id)));
        }
        let rests = msg.key.as_ref().filter(|_| msg.may_run.is_some());
        if let Some(key) = rests.and_then(|k| self.keys.get_mut(k)) {
            key.rest_until = self.now + self.set.order_settle;
        }
        if !self.may_retry(id) {
            self.finish(id, out);
        }
    }

    /// Guards against pushing over what was failing before a restart: its return is paced all the same.
    fn recall(&mut self, id: EndpointId, health: EndpointHealth) {
        let (now, gap) = (self.now, self.trial_gap(id));
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.first_bad = health.failing_since.map(|t| t.min(now));
        e.trouble = health.unhealthy.then(|| Trouble::new(now, false, gap));
        e.warm = health.warming_since.map(|since| Warm::new(since.min(now), now));
    }

    /// Guards against a herd of restarted senders: what each knew of a receiver as a whole holds on. Found
    /// where senders that had been refused, or had seen one endpoint of two fail, sent all that they held.
    fn recall_receiver(&mut self, key: LaneKey, health: ReceiverHealth) {
        let (now, tokens) = (self.now, self.random.chance());
        let Some(l) = self.lanes.get_mut(&key) else { return };
        if let (Some(share), Some(d)) = (health.traffic_milli_per_s, self.dests.get_mut(&l.dest)) {
            d.share = Rate::known(now, SHARE_MEMORY, f64::from(share) / 1e3);
        }
        l.wait_until = l.wait_until.max(health.wait_until.unwrap_or(0));
        l.bad = health.failing_since.map(|t| t.min(now));
        l.back = health.warming_since.map(|since| Warm { tokens, ..Warm::new(since.min(now), now) });
        if let Some(budget) = health.budget_milli_per_s {
            // All restarted senders would save up their first call for the same moment.
            (l.budget, l.tokens, l.cut) = (f64::from(budget) / 1e3, tokens, now);
        }
        let bad = l.bad;
        let listed: Vec<_> = self.endpoints.iter().filter(|(_, e)| e.lane == key && e.listed).collect();
        let all_bad = || listed.iter().all(|(_, e)| e.first_bad.is_some());
        let out = health.down || bad.is_some_and(|t| now - t >= COLD_AFTER || all_bad());
        if let Some(id) = listed.first().map(|(id, _)| **id).filter(|_| out) {
            self.suspect(id, false);
            self.spread(id);
        }
    }

    fn dest(&mut self, id: DestId) -> &mut Dest {
        let now = self.now;
        let (rate, share) = (Rate::new(now, RATE_MEMORY), Rate::new(now, SHARE_MEMORY));
        self.dests.entry(id).or_insert_with(|| Dest { rate, share, ..Dest::default() })
    }

    fn members(&mut self, whole: bool, entries: &[EndpointEntry]) {
        if whole {
            self.endpoints.values_mut().for_each(|e| e.listed = false);
            self.ready.extend(self.dests.keys());
        }
        // Right after a start the list may only be later than the one that this sender was given.
        let known =
            self.dests.iter().filter(|(_, d)| !d.endpoints.is_empty() && self.now - d.rate.born > BEGUN);
        let known: BTreeSet<DestId> = known.map(|(id, _)| *id).collect();
        for entry in entries {
            let apart = self.set.kinds.get(entry.kind).is_some_and(|k| k.separate_routes);
            let lane = if apart { LaneKey::Route(entry.endpoint) } else { LaneKey::Whole(entry.dest) };
            let now = self.now;
            let listed = entry.status == Status::Up;
            let permits = ((self.set.slots as f64 * START_SHARE) as u32).max(1);
            if !listed && !self.endpoints.contains_key(&entry.endpoint) {
                continue;
            }
            self.dest(entry.dest).endpoints.insert(entry.endpoint);
            self.ready.insert(entry.dest);
            let slack = if self.set.weights == WeightMeaning::Approximate { ROUGH } else { 1.0 };
            let weight = entry.weight.filter(|w| w.is_finite() && *w > 0.0).map(|w| w * slack);
            let limit = weight.filter(|_| self.set.weights != WeightMeaning::Ignored);
            let dest = entry.dest;
            let accepted = Rate::new(now, RATE_MEMORY);
            let fresh = || Lane { permits, tokens: UNPACED, accepted, ..Lane::unhindered(dest, now) };
            let l = self.lanes.entry(lane).or_insert_with(fresh);
            l.limit = limit.or(l.limit);
            let (kind, zone) = (entry.kind, entry.zone);
            let new = !self.endpoints.contains_key(&entry.endpoint);
            let turn = if new { self.first_turn(dest, known.contains(&dest)) } else { Turn::default() };
            let fresh = || Endpoint { lane, dest, kind, zone, last_ok: now, turn, ..Endpoint::default() };
            let e = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            e.listed = listed;
            // A lane that is out is not tried anew by all senders whenever the list names an endpoint of it.
            if listed && self.lanes.get(&lane).is_some_and(|l| l.down) {
                self.suspect(entry.endpoint, false);
            }
        }
    }

    /// Where an endpoint comes into the rotation, by this sender's own seed.
    fn first_turn(&mut self, dest: DestId, known: bool) -> Turn {
        let (now, place, wait) = (self.now, self.random.chance(), self.random.chance());
        if !known {
            return Turn::first(now, place);
        }
        let mine = self.dests.get(&dest).into_iter().flat_map(|d| &d.endpoints);
        let others = mine.filter_map(|id| self.endpoints.get(id).map(|e| e.turn.last())).collect();
        Turn::beside(now, others, (place, wait), self.set.warm_up)
    }

    /// An endpoint shares its lane's outage: it is asked by a trial at a time of its own, after any wait.
    fn suspect(&mut self, id: EndpointId, harmless: bool) {
        let (now, gap) = (self.now, self.trial_gap(id));
        let wait_until = self.lane_of(id).map_or(now, |l| l.wait_until);
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.first_bad = e.first_bad.or(Some(now));
        let fresh = || Trouble { hearsay: true, ..Trouble::new(now, harmless, gap) };
        e.trouble.get_or_insert_with(fresh).after(wait_until, gap);
    }

    /// Guards against a herd at a return: the other endpoints of a lane that is out look well for as long as
    /// none of them has been tried, and all senders would come back to them at once.
    fn spread(&mut self, id: EndpointId) {
        let Some(e) = self.endpoints.get(&id) else { return };
        let (key, harmless) = (e.lane, e.trouble.as_ref().is_some_and(|t| t.harmless));
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        let begins = !std::mem::replace(&mut lane.down, true);
        lane.bad = lane.bad.or(Some(self.now));
        // What refused connections was down, not full.
        self.scarce.retain(|(_, lane), _| *lane != key);
        let Some(d) = self.dests.get(&e.dest) else { return };
        for other in d.endpoints.clone() {
            if self.endpoints.get(&other).is_some_and(|e| e.lane == key && e.listed) {
                self.suspect(other, harmless);
                let (now, gap) = (self.now, self.trial_gap(other));
                let trouble = self.endpoints.get_mut(&other).and_then(|e| e.trouble.as_mut());
                // One that was silent is asked again soon, which all senders together must not do.
                if let Some(t) = trouble.filter(|t| begins && t.next <= now + TRIAL_FIRST) {
                    t.next = now + gap as Micros;
                }
            }
        }
    }

    /// A lane that was out has come back: those of its endpoints that were only suspected are free with it,
    /// and all of them together are loaded bit by bit.
    fn returned(&mut self, key: LaneKey) {
        let now = self.now;
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        lane.back = Some(Warm::new(now, now));
        self.scarce.retain(|(_, lane), _| *lane != key);
        for id in self.dests.get(&lane.dest).map(|d| d.endpoints.clone()).unwrap_or_default() {
            let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.lane == key) else { continue };
            if e.trouble.as_ref().is_some_and(|t| t.hearsay && t.trial.is_none()) {
                (e.trouble, e.first_bad) = (None, None);
            }
        }
    }

    /// Frees what is no longer named, so that a sender can run for months. What is gone is remembered for a
    /// warm-up: named again, its wait and its health still hold.
    fn sweep(&mut self) {
        let (now, keep) = (self.now, self.set.warm_up.max(RESIZE));
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + keep;
        let lanes = &self.lanes;
        let waits = |e: &Endpoint| lanes.get(&e.lane).is_some_and(|l| l.wait_until > now);
        self.endpoints.retain(|_, e| e.listed || e.out > 0 || now - e.used <= keep || waits(e));
        self.dests.values_mut().for_each(|d| d.endpoints.retain(|id| self.endpoints.contains_key(id)));
        self.dests.retain(|_, d| !d.endpoints.is_empty() || !d.hold.is_empty() || now - d.rate.at <= keep);
        self.lanes.retain(|key, lane| match key {
            LaneKey::Route(id) => self.endpoints.contains_key(id),
            _ => self.dests.contains_key(&lane.dest),
        });
        self.keys.retain(|_, k| !k.queue.is_empty() || k.rest_until > now);
        self.scarce.retain(|_, t| now - *t <= SCARCE);
    }

    fn read(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        let limit = report.and_then(|r| r.limit).filter(|l| l.is_finite() && *l > 0.0);
        if let Some(lane) = self.lane_of(endpoint) {
            lane.limit = limit.or(lane.limit);
        }
    }

    fn lane_of(&mut self, endpoint: EndpointId) -> Option<&mut Lane> {
        self.endpoints.get(&endpoint).and_then(|e| self.lanes.get_mut(&e.lane))
    }

    fn outcome(&mut self, id: MsgId, attempt: u32, last: bool, answer: Answer, out: &mut Vec<Action>) {
        let Answer { outcome, wait, .. } = answer;
        let now = self.now;
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        let Some(at) = msg.out.iter().position(|a| a.no == attempt) else { return };
        let a = msg.out.remove(at);
        let Some(call) = self.calls.get_mut(&a.call) else { return };
        let (endpoint, trial, first, rested) = (call.endpoint, call.trial, !call.judged, call.rested);
        (call.judged, call.left) = (true, call.left.saturating_sub(1));
        let over = call.left == 0;
        if !outcome.never_ran() && outcome != Outcome::Done {
            let sent = msg.may_run.map_or(a.sent, |m| m.0.min(a.sent));
            msg.may_run = Some((sent, msg.may_run.map_or(endpoint, |m| m.1)));
            if let Some(c) = self.set.classes.get(msg.class).filter(|c| c.effect == Effect::Keyed) {
                self.agenda.insert((sent + c.window, Due::Msg(id)));
            }
            let key = msg.key.as_ref().filter(|_| outcome != Outcome::Error);
            if let Some(key) = key.and_then(|k| self.keys.get_mut(k)) {
                key.rest_until = now + self.set.order_settle;
            }
        }
        msg.unreached += u32::from(outcome == Outcome::Unreached);
        msg.owed &= outcome.never_sent();
        msg.avoid = Some(endpoint);
        let closed = last || outcome == Outcome::Done || msg.closed;
        if let Some(e) = self.endpoints.get_mut(&endpoint).filter(|_| over) {
            (e.out, e.used) = (e.out - 1, now);
            self.lanes.entry(e.lane).and_modify(|l| l.out -= 1);
            self.calls.remove(&a.call);
            self.used -= 1;
        }
        // Each outcome of a batch may tell a wait of its own: all of them bind, not only the first.
        if wait > 0
            && let Some(l) = self.lane_of(endpoint)
        {
            l.wait_until = l.wait_until.max(now + wait);
        }
        if first {
            self.read(endpoint, answer.report);
            self.judge(endpoint, answer, a.sent, trial, rested);
        }
        if let Some(e) = self.endpoints.get(&endpoint) {
            self.ready.insert(e.dest);
        }
        if closed {
            self.close(id);
        } else if self.may_retry(id) {
            let (seq, dest) = (self.msgs[&id].seq, self.msgs[&id].dest);
            self.dest(dest).hold.insert((seq, id));
        } else if self.msgs[&id].out.is_empty() {
            self.finish(id, out);
        }
    }

    /// What one call's end says of its endpoint and lane.
    fn judge(&mut self, id: EndpointId, answer: Answer, sent: Micros, trial: bool, rested: Micros) {
        let Answer { outcome, took, wait, .. } = answer;
        let now = self.now;
        if rested > 0 && matches!(outcome, Outcome::Reset | Outcome::TimedOut) && self.reaped(id) {
            return;
        }
        let (gap, few) = (self.trial_gap(id), self.few());
        self.idle.insert(id);
        self.refresh(self.endpoints.get(&id).map_or_else(DestId::default, |e| e.dest));
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        let slow = outcome.is_unconnected() && took >= SILENCE_LEAST as Micros;
        // A spoilt answer is no sign either way: it comes from the healthy too.
        let burnt = match outcome {
            Outcome::Done => Some(0.0),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => Some(1.0),
            _ => None,
        };
        if let Some(one) = burnt {
            let share = e.burnt_share(now);
            (e.burnt, e.burnt_at) = (share + FAIL_GAIN * (one - share), now);
        }
        let refused = outcome == Outcome::Busy && wait == 0;
        let tables = self.tables.entry(e.kind).or_default();
        if (refused || outcome == Outcome::Done) && e.trouble.is_none() && !trial {
            tables.learn(rested == 0, refused);
        }
        if refused && rested == 0 {
            // Where the table is full the refused connection goes with its answer.
            e.conns = e.out;
        }
        let crowded = outcome.is_unconnected() && !slow || refused && rested == 0 && tables.full();
        if crowded && !lane.down {
            self.scarce.insert((e.kind, e.lane), now);
        }
        match outcome {
            // A spoilt answer comes from the healthy too: it proves the endpoint alive and the call taken.
            Outcome::Done | Outcome::MalformedAnswer => {
                if outcome == Outcome::Done {
                    if lane.latency.n > 0.0 {
                        e.turn.learn(now, took as f64 / lane.latency.mean());
                    }
                    lane.latency.learn(took);
                }
                lane.accepted.add(now);
                lane.budget *= 1.0 + DONE_GROWTH;
                // What was sent before it all went out proves nothing of it.
                let told = |f: &Micros| sent >= *f || (!lane.down && now - f < COLD_AFTER);
                let first = e.first_bad.filter(told);
                // Seen failing by few calls, an outage may be as old as the last success.
                let quiet =
                    now - lane.last_ok >= if lane.back.is_some() { COLD_AFTER / 3 } else { COLD_AFTER };
                let ended = lane.bad.filter(told).is_some();
                let (key, was_out) = (e.lane, ended && quiet && (lane.down || trial));
                if ended || lane.bad.is_none() {
                    (lane.bad, lane.down, lane.last_ok) = (None, false, now);
                }
                e.last_ok = now;
                e.fails *= 1.0 - FAIL_GAIN;
                e.trouble.iter_mut().filter(|_| trial).for_each(|t| (t.trial, t.next) = (None, now));
                if e.fails < FAIL_LIMIT && (trial || first.is_some()) {
                    if e.first_bad.is_some_and(|f| now - f >= COLD_AFTER) {
                        e.warm = Some(Warm::new(now, now));
                    }
                    (e.trouble, e.first_bad) = (None, None);
                }
                if was_out {
                    self.returned(key);
                }
                return;
            }
            Outcome::Skipped | Outcome::Cancelled => {
                return e.trouble.iter_mut().filter(|_| trial).for_each(|t| t.trial = None);
            }
            Outcome::Busy => {
                lane.wait_until = lane.wait_until.max(now + if wait == 0 { REFUSED_PAUSE } else { 0 });
                if now - lane.cut > REFUSED_PAUSE {
                    lane.cut = now;
                    // Without a limit it was a full queue, which drains by itself: a gentler cut will do.
                    let slack = if lane.limit.is_some() { 1.0 } else { QUEUE_SLACK };
                    let top = lane.limit.unwrap_or(f64::INFINITY);
                    let own = self.dests.get(&lane.dest).map_or(0.0, |d| d.share.get(now));
                    let fair = top / self.set.senders as f64 * FAIR_LEAST;
                    // Filled calls are the fewest that carry this sender's traffic, whatever its part.
                    let batch = self.set.batch(e.kind) as f64;
                    let filled = if batch > 1.0 { filled_calls(own, batch) } else { 0.0 };
                    let least = (own * BUDGET_LEAST).min(fair).max(filled).max(0.01);
                    let from = lane.budget.min(top).min((lane.accepted.get(now) * slack).max(least));
                    lane.budget = (from * BUDGET_CUT).max(least);
                    lane.tokens = lane.tokens.min(0.0);
                }
            }
            // A full table of connections is no outage: it answered while the call was out. Idle ones go.
            _ if outcome.is_unconnected() && e.last_ok > sent => return e.crowded = Some(now),
            _ => {}
        }
        // A connection that timed out, not one refused at once, is silence: it counts for two.
        e.fails += FAIL_GAIN * if slow { 2.0 } else { 1.0 } * (1.0 - e.fails);
        // A single refusal may be the limit's: no ramp. With a long wait it is shut: all who were told
        // the same end would come at once, so each adds a gap of its own.
        let shut = wait > SHUT_WAIT;
        let answered = if outcome == Outcome::Error { few * (ERROR_LIMIT - FAIL_LIMIT) } else { 0.0 };
        let limit = FAIL_LIMIT + answered;
        e.first_bad = e.first_bad.or((outcome != Outcome::Busy || shut || e.fails > limit).then_some(now));
        if e.first_bad.is_some() {
            lane.bad = lane.bad.or(Some(now));
        }
        let long = lane.bad.is_some_and(|f| now - f >= COLD_AFTER && now - lane.last_ok >= COLD_AFTER);
        if let Some(t) = &mut e.trouble {
            t.harmless &= outcome.never_ran();
            t.hearsay = false;
            if trial {
                t.again(now, gap);
            }
        } else if shut || e.fails > limit {
            e.trouble = Some(Trouble::new(now, outcome.never_ran(), gap));
        }
        if wait > 0 {
            e.trouble.iter_mut().for_each(|t| t.after(now + wait, gap));
        }
        if shut || long || (lane.down && wait > 0) {
            self.spread(id);
        }
    }

    /// Guards against idle connections that were dropped unseen: where a call on one that had rested fails by
    /// silence or reset, that speaks of the connection, unless another failed since. For a while none is kept
    /// idle at that kind; the next call, on a fresh one, tells. Hides one call of an outage.
    fn reaped(&mut self, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.fails < FAIL_GAIN) else { return false };
        e.fails += FAIL_GAIN;
        self.scarce.insert((e.kind, e.lane), self.now);
        (e.conns, e.crowded) = (0, Some(self.now));
        self.ready.insert(e.dest);
        self.idle.insert(id);
        true
    }

    /// Guards against many senders' trials adding up: they come at random times, by this sender's part of the
    /// traffic, so that all together stay near what a cold destination takes. Slow to see a return.
    fn trial_gap(&mut self, id: EndpointId) -> f64 {
        let chance = self.random.chance();
        // Few senders' trials are held by the time between them: there a quiet one asks as often as the rest.
        let few = self.few();
        let part = |e: &Endpoint| self.part(e).max(self.equal(e) * few) / self.ways(e);
        let own = self.endpoints.get(&id).map_or(0.0, part);
        2.0 * chance * 1e6 / (TRIAL_SHARE * self.set.cold_from * self.set.fall_multiple * own).max(1e-3)
    }

    /// From 1, with two senders at most, down to nothing with many: how little their number weighs.
    fn few(&self) -> f64 {
        (FEW / self.set.senders as f64).powi(2).min(1.0)
    }

    /// What this sender may count as its part of what an endpoint's lane takes, in calls a second.
    fn part(&self, e: &Endpoint) -> f64 {
        let (own, ways) =
            self.dests.get(&e.dest).map_or((0.0, 1), |d| (d.share.get(self.now), d.endpoints.len()));
        let own = if matches!(e.lane, LaneKey::Route(_)) { own / ways.max(1) as f64 } else { own };
        let equal = self.equal(e);
        // With no traffic seen yet, as right after a start, there is nothing else to go by.
        if own == 0.0 { equal } else { own.max(equal.min(own * TRUST + equal * QUIET)) }
    }

    /// An equal part of what an endpoint's lane is said to take.
    fn equal(&self, e: &Endpoint) -> f64 {
        let limit = self.lanes.get(&e.lane).and_then(|l| l.limit).unwrap_or(LIMIT_LEAST);
        limit / self.set.senders as f64
    }

    /// Endpoints that share an endpoint's lane, itself included.
    fn ways(&self, e: &Endpoint) -> f64 {
        match e.lane {
            LaneKey::Route(_) => 1.0,
            _ => self.dests.get(&e.dest).map_or(1.0, |d| d.endpoints.len().max(1) as f64),
        }
    }

    /// The message is over for its client. Attempts still out are remembered until they end.
    fn close(&mut self, id: MsgId) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        if !msg.closed {
            self.open -= 1;
            self.agenda.remove(&(msg.deadline - END_LEAD * self.set.quantum, Due::Msg(id)));
        }
        msg.closed = true;
        let entry = (msg.seq, id);
        if let Some(d) = self.dests.get_mut(&msg.dest) {
            d.hold.remove(&entry);
        }
        if msg.out.is_empty() {
            let key = msg.key.take();
            if let Some((k, key)) = key.and_then(|k| self.keys.get_mut(&k).map(|key| (k, key))) {
                key.queue.remove(&entry);
                if key.queue.is_empty() && key.rest_until <= self.now {
                    self.keys.remove(&k);
                }
                self.ready.insert(msg.dest);
            }
            self.msgs.remove(&id);
        }
    }

    fn class(&self, msg: &Msg) -> &ClassSettings {
        self.set.classes.get(msg.class).unwrap_or(&self.plain)
    }

    /// Whether a further attempt is allowed at all, now.
    fn may_retry(&self, id: MsgId) -> bool {
        let Some(msg) = self.msgs.get(&id) else { return false };
        if msg.closed || msg.tried() >= self.class(msg).max_attempts.unwrap_or(self.set.max_attempts) {
            return false;
        }
        let class = self.class(msg);
        match (class.effect, msg.may_run) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed, Some((first, _))) => self.now < first + class.window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// Whether a further attempt would be allowed if the next one comes to nothing known.
    fn repeatable(&self, msg: &Msg) -> bool {
        let (class, first) = (self.class(msg), msg.may_run.map_or(self.now, |m| m.0));
        let again = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.now < first + (class.window as f64 * WINDOW_PART) as Micros,
            Effect::Unsafe => false,
        };
        again && msg.tried() + 1 < class.max_attempts.unwrap_or(self.set.max_attempts)
    }

    /// Whether a client may be told that handing it in again does no harm. What comes of it is a new
    /// message, of which no sender knows that its key is in use: of the time for which the destination
    /// remembers it, enough must be left. Found where a refusal late in the window took effect twice.
    fn may_refuse(&self, msg: &Msg) -> bool {
        let class = self.class(msg);
        let first = msg.may_run.map(|m| m.0).into_iter().chain(msg.out.iter().map(|a| a.sent)).min();
        match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed, Some(first)) => {
                let left = (class.window as f64 * WINDOW_PART) as Micros;
                class.dedup_scope == DedupScope::All && self.now < first + left
            }
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    fn finish(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(msg) = self.msgs.get(&id) else { return };
        out.push(if self.may_refuse(msg) {
            Action::Refuse { id, retry_after: self.set.max_retry_after / 2 }
        } else {
            Action::Fail { id }
        });
        // Found where the next of its key reached an endpoint before the word of this end was out.
        if let Some(key) = msg.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
            key.rest_until = key.rest_until.max(self.now + TOLD_WITHIN);
        }
        self.close(id);
    }

    fn fall_due(&mut self, out: &mut Vec<Action>) {
        while let Some((_, due)) = self.agenda.first().copied().filter(|(at, _)| *at <= self.now) {
            self.agenda.pop_first();
            match due {
                Due::Msg(id) => self.expire(id, out),
                Due::Call(id) => self.listen(id),
                Due::Dest(id) => _ = self.ready.insert(id),
            }
        }
    }

    /// When a message's final answer is due: with rounds a quantum apart, before its time in any case. What
    /// is answered after it may count for nothing.
    fn due(&self, msg: &Msg) -> Micros {
        msg.deadline - END_LEAD * self.set.quantum
    }

    /// The final answer is due: time is up, or nothing more may be tried.
    fn expire(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(msg) = self.msgs.get(&id).filter(|m| !m.closed) else { return };
        if self.now >= self.due(msg) || (msg.out.is_empty() && !self.may_retry(id)) {
            self.finish(id, out);
        }
    }

    /// Silence past p99 is a symptom; so is a trial that stays unanswered.
    fn listen(&mut self, id: u64) {
        let now = self.now;
        let Some(&Call { endpoint, sent, rested, .. }) = self.calls.get(&id) else { return };
        let gap = self.trial_gap(endpoint);
        let silence = self.lane_of(endpoint).map_or(SILENCE_LEAST, |l| l.latency.silence());
        let Some(e) = self.endpoints.get(&endpoint) else { return };
        let (patience, longest) = (silence as Micros + 1, (silence * RECLAIM_AFTER) as Micros + 1);
        let next = if now - sent < patience { patience } else { longest };
        if now - sent < longest {
            self.agenda.insert((sent + next, Due::Call(id)));
        }
        if now - sent < patience || e.last_ok > sent {
            return;
        }
        self.ready.insert(e.dest);
        if rested > 0 && self.reaped(endpoint) {
            return;
        }
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        e.first_bad = e.first_bad.or(Some(now));
        match &mut e.trouble {
            None => e.trouble = Some(Trouble::new(now, false, 0.0)),
            Some(t) if t.trial.is_some_and(|s| s == sent) => {
                (t.harmless, t.hearsay) = (false, false);
                t.again(now, gap);
            }
            _ => {}
        }
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        let bad = *lane.bad.get_or_insert(now);
        if now - bad >= COLD_AFTER && now - lane.last_ok >= COLD_AFTER {
            self.spread(endpoint);
        }
    }

    /// Brings a destination's budgets, pools and ramps up to the present.
    fn refresh(&mut self, dest: DestId) {
        let now = self.now;
        let Some(d) = self.dests.get(&dest) else { return };
        let own = d.rate.get(now);
        let sick = d.endpoints.iter().filter_map(|id| self.endpoints.get(id)).filter(|e| e.listed);
        let ill: BTreeSet<LaneKey> = sick.filter(|e| e.trouble.is_some()).map(|e| e.lane).collect();
        let (from, warm_up, few) = (self.set.cold_from, self.set.warm_up, self.few());
        let senders = self.set.senders as f64;
        let shortest = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(self.plain.aim).max(1);
        let share = d.share.sure(now);
        for id in &d.endpoints {
            let (usual, ways) = self.endpoints.get(id).map_or((0.0, 1.0), |e| (self.part(e), self.ways(e)));
            let Some(e) = self.endpoints.get_mut(id) else { continue };
            let Some(lane) = self.lanes.get_mut(&e.lane) else { continue };
            let ill = ill.contains(&e.lane);
            let cap = lane.limit.map_or(f64::INFINITY, |l| l * LIMIT_PART);
            let dt = (now - lane.filled) as f64 / 1e6;
            if lane.budget.is_finite() {
                let fair = lane.limit.map_or(own.max(0.2), |l| own.min(l / senders * FAIR_GROWTH));
                lane.budget = (lane.budget + BUDGET_GROWTH * fair * dt).min(cap.max(0.5));
            }
            let batch = self.set.batch(e.kind) as f64;
            let refused = lane.cut > 0 && now - lane.cut < ALERT;
            let demand = lane.limit.filter(|_| batch > 1.0).map(|l| {
                let equal = l / senders;
                (l * few, LaneDemand { equal, own, share, batch, aim: shortest as f64, refused })
            });
            let spaced = demand.and_then(|(free, demand)| Some(demand.spacing()? + free));
            lane.pace = lane.budget.min(cap).min(spaced.unwrap_or(UNPACED)).min(UNPACED);
            lane.tokens = (lane.tokens + lane.pace * dt).min((lane.pace * BURST).max(1.0));
            lane.filled = now;
            // A pool that has been sized in health is kept while an endpoint is ill. One that never was, as
            // after a restart that recalls the illness, would stay at its start for as long.
            let known = lane.latency.n >= SIZED_FROM;
            if now - lane.resized >= RESIZE && !lane.latency.slow() && (!ill || (known && !lane.sized)) {
                lane.sized = known;
                lane.resized = now;
                let top = ((self.set.slots as f64 * SHARE_CAP).ceil() as u32).max(1);
                let sized = (own * lane.latency.p99() / 1e6 * SAFETY).ceil() as u32;
                lane.permits = sized.clamp(1, top);
            }
            for (warm, part) in [(&mut lane.back, usual), (&mut e.warm, usual / ways)] {
                let Some(w) = warm.as_mut().filter(|w| now - w.since < warm_up) else {
                    *warm = None;
                    continue;
                };
                let share = from + (1.0 - from) * (now - w.since) as f64 / warm_up.max(1) as f64;
                w.pace = RAMP_SAFETY * self.set.fall_multiple * share * part;
                let filled = w.tokens + w.pace * (now - w.filled) as f64 / 1e6;
                (w.tokens, w.filled) = (filled.min(1.0_f64.max(w.pace * 0.25)), now);
            }
        }
    }

    /// Guards against silent calls filling the slots (a hung destination's unsafe calls hold theirs until the
    /// deadline): short of slots, with others waiting, the call that has been silent longest for its lane is
    /// given up, sooner where that loses no message. Where only the destination's own pool keeps messages
    /// waiting, only a call that others have overtaken: its endpoint answers, its connection is what is dead.
    /// Covers any cause of silence; harms an unsafe message whose answer was merely late.
    fn reclaim(&mut self, out: &mut Vec<Action>) {
        let reserve = (self.set.slots as f64 * RECLAIM_RESERVE).ceil() as u32;
        let held = |d: &DestId| self.dests.get(d).is_some_and(|d| !d.hold.is_empty());
        let short = self.set.slots.saturating_sub(self.used) < reserve && self.ready.iter().any(held);
        let pinched = self.dests.iter().filter(|(_, d)| !d.hold.is_empty() && self.pinched(d));
        let pinched: BTreeSet<DestId> = pinched.map(|(id, _)| *id).collect();
        if !self.set.cancel || (!short && pinched.is_empty()) {
            return;
        }
        // Silence as a multiple of what is waited for.
        let over = |c: &Call| {
            let e = self.endpoints.get(&c.endpoint)?;
            let silence = self.lanes.get(&e.lane)?.latency.silence();
            let overtaken = pinched.contains(&e.dest) && (e.last_ok - c.sent) as f64 > silence;
            let patience = if c.repeatable { RECLAIM_REPEATABLE } else { RECLAIM_AFTER };
            (short || overtaken).then_some((self.now - c.sent) as f64 / (silence * patience))
        };
        let silent = self.calls.iter().filter(|(_, c)| !c.cancelled);
        let silent = silent.filter_map(|(id, c)| over(c).map(|share| (share, *id)));
        let worst = silent.filter(|s| s.0 > 1.0).max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, call)) = worst else { return };
        self.calls.entry(call).and_modify(|c| c.cancelled = true);
        for (id, msg) in &self.msgs {
            let attempts = msg.out.iter().filter(|a| a.call == call);
            out.extend(attempts.map(|a| Action::Cancel { id: *id, attempt: a.no }));
        }
    }

    fn share_of_slots(&self, share: f64) -> u32 {
        ((self.set.slots as f64 * share) as u32).max(1)
    }

    /// Whether a destination has all the calls out that it may have, wherever they are.
    fn full(&self, d: &Dest) -> bool {
        d.endpoints.iter().filter_map(|id| self.endpoints.get(id)).map(|e| e.out).sum::<u32>()
            >= self.share_of_slots(DEST_CAP)
    }

    /// Whether a destination may have more calls out than its permits.
    fn borrows(&self, d: &Dest) -> bool {
        let free = self.set.slots.saturating_sub(self.used);
        let mut mine = d.endpoints.iter().filter_map(|id| self.endpoints.get(id)).filter(|e| e.listed);
        free > (self.set.slots as f64 * BORROW_RESERVE).ceil() as u32 && !mine.any(|e| self.doubtful(e))
    }

    /// Whether a destination's calls that are out keep others from going.
    fn pinched(&self, d: &Dest) -> bool {
        let mut lanes = d.endpoints.iter().filter_map(|id| self.lanes.get(&self.endpoints.get(id)?.lane));
        self.full(d) || (lanes.any(|l| l.out >= l.permits) && !self.borrows(d))
    }

    /// Endpoints in trouble are asked by a probe first, where that is allowed.
    fn probe(&mut self, dest: DestId, out: &mut Vec<Action>) {
        let Some(d) = self.dests.get(&dest).filter(|_| self.set.probes) else { return };
        // While a lane answers nothing well, one call or probe at a time asks it: each is load to it.
        let bad = |key: &LaneKey| self.lanes.get(key).is_some_and(|l| l.bad.is_some());
        let mine = d.endpoints.iter().filter_map(|id| self.endpoints.get(id)).filter(|e| e.listed);
        let asked = mine.filter(|e| e.trouble.as_ref().is_none_or(|t| t.probing || t.trial.is_some()));
        let mut asked: BTreeSet<LaneKey> = asked.map(|e| e.lane).filter(bad).collect();
        for id in &d.endpoints {
            let Some(e) = self.endpoints.get_mut(id).filter(|e| e.listed) else { continue };
            let waits = self.lanes.get(&e.lane).is_none_or(|l| self.now < l.wait_until);
            let waits = waits || asked.contains(&e.lane);
            let Some(t) = e.trouble.as_mut().filter(|_| !waits) else { continue };
            if !t.harmless && !t.probed && !t.probing && t.trial.is_none() && self.now >= t.next {
                t.probing = true;
                asked.extend(Some(e.lane).filter(bad));
                out.push(Action::Probe { endpoint: *id });
            }
        }
    }

    /// What could take a call now, whether a repeatable one only, its cost, and how long it has waited for
    /// its turn; and when to look again.
    fn usable(&self, dest: DestId) -> (Vec<(EndpointId, bool, f64, f64)>, Look) {
        let now = self.now;
        let (mut list, mut look) = (Vec::new(), Look { at: Micros::MAX, slot: false });
        let Some(d) = self.dests.get(&dest) else { return (list, look) };
        let mine = || d.endpoints.iter().filter_map(|id| self.endpoints.get(id).map(|e| (id, e)));
        let listed: Vec<_> = mine().filter(|(_, e)| e.listed).collect();
        let doubtful = listed.iter().any(|(_, e)| self.doubtful(e));
        let sick = doubtful && self.sick_out() >= self.share_of_slots(ALL_SICK_CAP);
        let (full, borrow) = (self.full(d), self.borrows(d));
        let open = |e: &Endpoint| {
            now - e.used < self.set.idle_close && e.out < e.conns.saturating_mul(self.set.streams_per_conn)
        };
        // What this sender's own traffic keeps in use costs a handshake once, and not for each call.
        let kept = d.share.get(now) * self.set.idle_close as f64 / 1e6;
        let zones: BTreeSet<usize> = listed.iter().map(|(_, e)| e.zone).collect();
        let home = listed.iter().filter(|(_, e)| e.zone == self.set.zone).count() as f64;
        // Of a zone with few endpoints of this destination, some senders go to all zones.
        let part = home * zones.len() as f64 * CROWD / listed.len().max(1) as f64;
        let apart = |e: &Endpoint| e.zone != self.set.zone && self.homely < part;
        let spread = kept >= KEPT * (1 + mine().filter(|(_, e)| open(e)).count()) as f64;
        look.slot = sick;
        for (id, e) in listed {
            let Some(lane) = self.lanes.get(&e.lane) else { continue };
            // A call that outlives the sender may have run for nothing: it is left to the next start.
            if self.stop_at.is_some_and(|at| now + lane.latency.p99() as Micros > at) {
                continue;
            }
            let mut from = lane.wait_until;
            let warm = lane.back.iter().chain(e.warm.iter().filter(|_| lane.back.is_none()));
            for (tokens, pace) in warm.map(|w| (w.tokens, w.pace)).chain([(lane.tokens, lane.pace)]) {
                if tokens < 1.0 {
                    from = from.max(now + ((1.0 - tokens) / pace.max(1e-3) * 1e6) as Micros + 1);
                }
            }
            let careful = e.trouble.as_ref().is_some_and(|t| !t.harmless && !t.probed);
            from = from.max(e.trouble.as_ref().map_or(0, |t| t.next));
            if e.trouble.as_ref().is_some_and(|t| t.trial.is_some() || t.probing) {
                continue;
            } else if from > now {
                look.at = look.at.min(from);
                continue;
            }
            let tight = lane.out >= lane.permits && !borrow;
            look.slot |= tight;
            if full || sick || tight || (careful && self.set.probes) {
                continue;
            }
            let more = |on: bool, price: f64| if on { 1.0 + price } else { 1.0 };
            let fee = self.set.zone_fees.get(e.zone).copied().unwrap_or(0.0);
            let trial = match (&e.trouble, careful) {
                (None, _) => 1.0,
                (_, true) => 10.0,
                _ => TRIAL_COST,
            };
            let cost = lane.latency.mean()
                * (1.0 + e.out as f64)
                * more(apart(e), 30.0 * self.set.cross_zone_price)
                * more(!spread && !open(e) && !e.turn.is_due(now), 10.0 * self.set.handshake_price)
                * more(matches!(e.lane, LaneKey::Route(_)), 100.0 * fee)
                * trial
                * more(e.turn.is_new(now), 1.0);
            let turn = e.turn.waited(now);
            let burns = e.burns_until();
            if burns > now {
                look.at = look.at.min(burns);
            }
            list.push((*id, careful || burns > now, cost, turn));
        }
        // Among those that cost the same it is the turn of the one that has waited longest for it.
        list.sort_by(|a, b| a.2.total_cmp(&b.2).then(b.3.total_cmp(&a.3)));
        (list, look)
    }

    fn doubtful(&self, e: &Endpoint) -> bool {
        e.trouble.is_some() || self.lanes.get(&e.lane).is_some_and(|l| l.latency.slow())
    }

    fn sick_out(&self) -> u32 {
        let sick = |c: &&Call| self.endpoints.get(&c.endpoint).is_some_and(|e| self.doubtful(e));
        self.calls.values().filter(sick).count() as u32
    }

    /// Whether this message may go to this endpoint now.
    fn fits(&self, id: MsgId, endpoint: EndpointId, careful: bool) -> bool {
        let msg = &self.msgs[&id];
        let class = self.class(msg);
        if !self.may_retry(id) || (careful && class.effect == Effect::Unsafe) {
            return false;
        }
        if let Some(key) = msg.key.as_ref().and_then(|k| self.keys.get(k))
            && (key.queue.first() != Some(&(msg.seq, id)) || (msg.attempts == 0 && self.now < key.rest_until))
        {
            return false;
        }
        match (class.effect, class.dedup_scope, msg.may_run) {
            (Effect::Keyed, DedupScope::Endpoint, Some((_, at))) => at == endpoint,
            (Effect::Keyed, DedupScope::Zone, Some((_, at))) => {
                let zone = |e: EndpointId| self.endpoints.get(&e).map(|e| e.zone);
                zone(at).is_some() && zone(at) == zone(endpoint)
            }
            _ => true,
        }
    }

    /// The worth that a message would earn if delivered `ahead` from now.
    fn worth(&self, msg: &Msg, ahead: f64) -> f64 {
        let c = self.class(msg);
        let (aim, deadline) = (c.aim.max(1) as f64, c.deadline.max(1) as f64);
        let age = deadline - (msg.deadline - self.now) as f64 + ahead;
        let share = match self.set.late_decay {
            _ if age <= aim => 1.0,
            _ if age >= deadline => 0.0,
            LateDecay::Linear => 1.0 - (1.0 - c.late_share) * (age - aim) / (deadline - aim).max(1.0),
            LateDecay::Halving => 0.5_f64.powf((age - aim) / aim).max(c.late_share),
        };
        c.worth * share
    }

    /// What this destination would send next; with nothing to send it is laid aside until that can change.
    fn candidate(&mut self, dest: DestId) -> Option<Choice> {
        self.refresh(dest);
        let (list, mut look) = self.usable(dest);
        let hold = self.dests.get(&dest).map(|d| &d.hold)?;
        // Oldest first until one is late; then those that lose most by waiting, oldest first among equals.
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        if !list.is_empty() {
            order.extend(hold.iter().map(|(_, id)| (0.0, *id)));
            let owed = |id: &MsgId| self.msgs[id].owed;
            let late = |id: &MsgId| self.worth(&self.msgs[id], 0.0) < self.class(&self.msgs[id]).worth;
            if order.iter().any(|(_, id)| late(id)) {
                for (rank, id) in &mut order {
                    let now = self.worth(&self.msgs[id], 0.0);
                    *rank = self.worth(&self.msgs[id], YIELD) - (1.0 + WORTH_NOW) * now;
                }
                order.sort_by(|a, b| a.0.total_cmp(&b.0));
            }
            // What an earlier run never tried goes before all else, the shortest time left first.
            order.sort_by_key(|(_, id)| if owed(id) { self.msgs[id].deadline } else { Micros::MAX });
        }
        for (_, id) in &order {
            let msg = &self.msgs[id];
            let ok = || list.iter().filter(|(e, careful, ..)| self.fits(*id, *e, *careful));
            if let Some((e, careful, ..)) = ok().find(|(e, ..)| msg.avoid != Some(*e)).or(ok().next()) {
                let mean = self.lanes[&self.endpoints[e].lane].latency.mean();
                let rank = if msg.owed { f64::MAX } else { self.worth(msg, mean) / mean };
                return Some(Choice { rank, id: *id, endpoint: *e, careful: *careful });
            }
            let rest = msg.key.as_ref().and_then(|k| self.keys.get(k)).map_or(0, |k| k.rest_until);
            if rest > self.now {
                look.at = look.at.min(rest);
            }
        }
        if !look.slot {
            self.ready.remove(&dest);
        }
        let (d, now) = (self.dests.get_mut(&dest)?, self.now);
        if look.at < Micros::MAX && !d.hold.is_empty() && (d.look <= now || look.at < d.look) {
            self.agenda.remove(&(d.look, Due::Dest(dest)));
            d.look = look.at;
            self.agenda.insert((look.at, Due::Dest(dest)));
        }
        None
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut choices: BTreeMap<DestId, Choice> = BTreeMap::new();
        for dest in self.ready.clone() {
            if self.dests.get(&dest).is_none_or(|d| d.hold.is_empty()) {
                self.ready.remove(&dest);
                continue;
            }
            self.probe(dest, out);
            if let Some(c) = self.candidate(dest) {
                choices.insert(dest, c);
            }
        }
        while self.used < self.set.slots {
            let best = choices.iter().rev().max_by(|a, b| a.1.rank.total_cmp(&b.1.rank));
            let Some((dest, choice)) = best.map(|(d, c)| (*d, *c)) else { break };
            // Sends only narrow what others may do, so only the best needs a second look.
            let still = self.candidate(dest);
            if still == Some(choice) {
                self.send(choice, out);
            }
            match if still == Some(choice) { self.candidate(dest) } else { still } {
                Some(c) => choices.insert(dest, c),
                None => choices.remove(&dest),
            };
        }
    }

    /// Guards against idle connections keeping others out where an endpoint takes few: once a kind refused
    /// one at once, none is kept idle for a while. Costs a handshake a call. What was down all together is
    /// no sign.
    fn let_go(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.idle) {
            let Some(e) = self.endpoints.get_mut(&id) else { continue };
            let (Some(d), Some(l)) = (self.dests.get(&e.dest), self.lanes.get(&e.lane)) else { continue };
            let busy = d.share.get(self.now) * l.latency.mean() / 1e6 / d.endpoints.len() as f64;
            let rare = e.out == 0 && busy < IDLE_PART * (1.0 - TABLE_LEAST / self.set.senders as f64);
            let mut scarce = self.scarce.iter().filter(|((kind, _), _)| *kind == e.kind);
            let scarce = rare && scarce.any(|(_, t)| self.now - t <= SCARCE);
            if e.crowded == Some(self.now) || scarce {
                e.conns = e.out;
                out.push(Action::CloseIdle { endpoint: id });
            }
        }
    }

    /// One call: this message, and where the kind batches, others of the hold that may share its fate. Past
    /// an answer's ordinary time it lasts no longer than any of them: an answer that comes after one is over
    /// may speak for none, and does not where that one stands first. So the first has the most time left.
    fn send(&mut self, choice: Choice, out: &mut Vec<Action>) {
        let (now, Choice { id, endpoint, careful, .. }) = (self.now, choice);
        let e = &self.endpoints[&endpoint];
        let (dest, kind, trial) = (e.dest, e.kind, e.trouble.is_some());
        let most = if trial { 1 } else { self.set.batch(kind) as usize };
        let others = self.dests[&dest].hold.iter().map(|(_, other)| *other);
        let others = others.filter(|other| *other != id && self.fits(*other, endpoint, careful));
        let Some(lane) = self.lanes.get(&e.lane) else { return };
        let patience = (TIMEOUT * lane.latency.p99()).max(TIMEOUT_LEAST) as Micros;
        let left = |id: &MsgId| self.msgs[id].deadline - now;
        let mut batch: Vec<MsgId> = [id].into_iter().chain(others).take(most).collect();
        batch.sort_by_key(|id| std::cmp::Reverse(left(id)));
        let longest = batch.last().map_or(0, left).max(patience);
        let repeatable = batch.iter().all(|id| self.repeatable(&self.msgs[id]));
        self.seq += 1;
        let (call, left) = (self.seq, batch.len() as u32);
        self.used += 1;
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        if now - e.used >= self.set.idle_close && e.out == 0 {
            e.conns = 0;
        }
        let rested = if !trial && e.out < e.conns { now - e.used } else { 0 };
        let fresh = Call { endpoint, sent: now, left, trial, rested, repeatable, ..Call::default() };
        self.calls.insert(call, fresh);
        e.out += 1;
        e.used = now;
        e.turn.take(now);
        e.conns = e.conns.max(e.out.div_ceil(self.set.streams_per_conn.max(1)));
        if let Some(t) = &mut e.trouble {
            t.trial = Some(now);
        }
        for w in e.warm.iter_mut().chain(&mut lane.back) {
            w.tokens -= 1.0 + BATCH_WEIGHT * (batch.len() - 1) as f64;
        }
        lane.out += 1;
        lane.tokens -= 1.0;
        self.agenda.insert((now + lane.latency.silence() as Micros + 1, Due::Call(call)));
        for id in batch {
            let Some(msg) = self.msgs.get_mut(&id) else { continue };
            let class = self.set.classes.get(msg.class).cloned().unwrap_or_default();
            let timeout = match class.effect {
                Effect::Safe => patience,
                Effect::Keyed => patience.min((class.window as f64 * WINDOW_PART) as Micros),
                Effect::Unsafe => longest,
            };
            let timeout = timeout.min(longest).clamp(1, (msg.deadline - now).max(1));
            msg.out.push(Attempt { no: msg.attempts, call, sent: now });
            msg.attempts += 1;
            if let Some(d) = self.dests.get_mut(&dest) {
                d.hold.remove(&(msg.seq, id));
            }
            out.push(Action::Send { call, id, endpoint, timeout });
        }
    }

    /// Short of room, what earns least is shed first.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        let room = ((self.set.max_open as f64 * ROOM).ceil() as usize).max(1);
        let most = (self.set.max_open as usize).saturating_sub(room).max(1);
        if self.open <= most {
            return;
        }
        let held = self.dests.values().flat_map(|d| &d.hold).map(|(_, id)| (*id, &self.msgs[id]));
        let held = held.filter(|(_, msg)| self.may_refuse(msg) && !msg.owed);
        let mut held: Vec<(f64, MsgId)> = held.map(|(id, msg)| (self.worth(msg, 0.0), id)).collect();
        held.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, id) in held.into_iter().take(self.open - most) {
            self.finish(id, out);
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let Some(at) = self.agenda.first().map(|(at, _)| (*at).max(self.now + 1)) else { return };
        if self.wake <= self.now || at < self.wake {
            self.wake = at;
            out.push(Action::Timer { at, token: 0 });
        }
    }
}

impl Endpoint {
    /// Share of its calls that failed and may have run, as of now.
    fn burnt_share(&self, now: Micros) -> f64 {
        self.burnt * (-((now - self.burnt_at) as f64) / BURN_MEMORY).exp()
    }
    /// Guards against burning unsafe messages one by one: an endpoint that fails part of its calls answers
    /// the rest, and looks well after each success. Repeatable messages find out, unsafe ones wait a while.
    fn burns_until(&self) -> Micros {
        let fades = (self.burnt / BURN_LIMIT).max(1.0).ln() * BURN_MEMORY;
        if fades > 0.0 { self.burnt_at + fades as Micros + 1 } else { Micros::MIN }
    }
}

impl Trouble {
    fn new(now: Micros, harmless: bool, gap: f64) -> Self {
        let mut t = Trouble { backoff: TRIAL_FIRST / 2, harmless, ..Trouble::default() };
        t.again(now, gap);
        t
    }
    /// A trial or probe came to nothing: the next one waits longer.
    fn again(&mut self, now: Micros, gap: f64) {
        (self.trial, self.probed) = (None, false);
        self.backoff = (self.backoff * 2).min(TRIAL_MOST);
        self.next = now + self.backoff.max(gap as Micros);
    }
    /// All who were told the same end of a wait would come at once: each adds a gap of its own.
    fn after(&mut self, wait_until: Micros, gap: f64) {
        if self.next < wait_until {
            self.next = wait_until + gap as Micros;
        }
    }
}
