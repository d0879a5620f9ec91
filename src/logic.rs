//! The decisions of heronroute. `src/interface.rs` defines the inputs and outputs, `src/state.rs` the data.
//!
//! The core is a bulkhead: each destination owns a pool of permits, sized as rate x p99 x safety factor.
//! A call holds one permit until its outcome. Messages wait in the destination's queue, oldest first.
//! Three mechanisms extend the bulkhead: a call budget, the health of each endpoint with single trial calls,
//! and a paced return of the load after an outage.
//! A *lane* is the unit with one rate limit and one permit pool: a destination, or one separate route of it.

use crate::batching::{LaneDemand, filled_calls};
use crate::interface::*;
use crate::measure::ConnectionTables;
use crate::random::Random;
use crate::repeats::WINDOW_ATTEMPT_SHARE;
use crate::rotation::RotationPlace;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which a permit pool exceeds rate x p99.
const POOL_SAFETY_FACTOR: f64 = 1.5;
/// Share of the slots for a new permit pool: enough calls to measure latency with, too few to do harm.
const INITIAL_POOL_SHARE: f64 = 0.1;
/// Maximum share of the slots for a sized permit pool; beyond its pool a destination can only borrow slots.
const MAX_POOL_SHARE: f64 = 0.2;
/// Maximum share of the slots for one destination, healthy or not, since any destination may stall.
const MAX_DESTINATION_SHARE: f64 = 0.5;
/// Maximum share of the slots for calls to all unhealthy or slow endpoints together.
/// With this maximum, stalled permit pools cannot fill all slots.
const MAX_DOUBTFUL_SHARE: f64 = 0.6;
/// Share of the slots that destinations with borrowed slots leave free.
const BORROW_RESERVE_SHARE: f64 = 0.15;
/// Stalled calls are cancelled while fewer than this share of the slots are free.
const RECLAIM_RESERVE_SHARE: f64 = 0.2;
/// Time in flight, as a multiple of the stall threshold, after which a stalled call may be cancelled.
const RECLAIM_AFTER_STALLS: f64 = 3.0;
/// Replaces `RECLAIM_AFTER_STALLS` for stalled calls whose messages may all be sent again.
const RECLAIM_REPEATABLE_AFTER_STALLS: f64 = 2.0;
/// A permit pool is sized once the latency of this many answers has been measured.
const MIN_SIZING_SAMPLES: f64 = 8.0;
/// Time constant of message arrival rates: long compared with bursts, short compared with daily variation.
const ARRIVAL_MEMORY_US: f64 = 8e6;
/// Time constant of a sender's part of the traffic: long compared with the gaps between messages.
const TRAFFIC_MEMORY_US: f64 = 6e7;
/// A call has stalled when it is unanswered for this multiple of the p99 latency, and for at least `MIN_STALL_US`.
const STALL_P99_FACTOR: f64 = 1.5;
const MIN_STALL_US: f64 = 4e5;
/// Weight of one outcome in an endpoint's share of failed calls. Two failures in a row raise the share above 0.5.
const FAILURE_GAIN: f64 = 0.3;
/// Endpoints whose share of failed calls is above this value are unhealthy.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// With few senders, this value replaces `MAX_FAILURE_SHARE` for endpoints that answer with errors.
/// Endpoints that answer with errors may still deliver part of the messages, so more failures are tolerated.
/// With many senders, errors are not tolerated so: all senders would still send at half pace when the endpoint returns.
const MAX_ERROR_SHARE: f64 = 0.7;
/// Maximum share of an endpoint's calls that failed and may have taken effect; above it, no unsafe messages are sent.
const MAX_AMBIGUOUS_SHARE: f64 = 0.2;
/// Time constant with which an endpoint's share of ambiguous failures decays while no call updates it.
const AMBIGUOUS_MEMORY_US: f64 = 8e6;
/// Initial and maximum backoff between trials; each failed trial doubles the backoff.
const FIRST_TRIAL_BACKOFF_US: Micros = 200_000;
const MAX_TRIAL_BACKOFF_US: Micros = 1_000_000;
/// Cost factor that makes a due trial that can do no harm cheaper than other calls.
/// Otherwise a recovered endpoint would stay idle for as long as the other endpoints can take every call.
const TRIAL_COST_FACTOR: f64 = 0.5;
/// Cost factor of a trial that may do harm: such a trial waits until the other endpoints are busy.
const HARMFUL_TRIAL_COST_FACTOR: f64 = 10.0;
/// A receiver that asks for a longer wait is considered shut down: no rate limit has so long a window.
const SHUTDOWN_WAIT_US: Micros = 2_000_000;
/// Load of all senders' trials together, as a multiple of the load that a cold destination can take.
const TRIAL_LOAD_FACTOR: f64 = 1.0;
/// Factor in the upper bound up to which a sender counts an equal share of the advertised limit as its own.
/// The upper bound is `OWN_TRAFFIC_FACTOR` times the own traffic plus `EQUAL_SHARE_BASE` times the equal share.
/// The upper bound keeps the load of all senders low if the number of senders in the settings is wrong.
/// The upper bound also keeps the load low if the advertised limit is beyond what the destination can take.
const OWN_TRAFFIC_FACTOR: f64 = 1.25;
const EQUAL_SHARE_BASE: f64 = 0.1;
/// Number of senders up to which the trials of all senders together do no harm.
const FEW_SENDERS: f64 = 2.0;
/// Limit assumed for a destination that advertises none, in calls a second.
const DEFAULT_LIMIT_PER_S: f64 = 3.0;
/// Failures that last this long may be an outage, so the load is increased gradually afterwards.
const OUTAGE_AFTER_US: Micros = 1_500_000;
/// At a cold destination, a sender uses this share of the load that it is allowed.
const WARM_UP_SAFETY: f64 = 0.75;
/// At a cold destination, each message of a batch after the first message counts as this many calls.
const WARM_UP_BATCH_WEIGHT: f64 = 0.25;
/// An attempt of a repeatable message times out after this multiple of the p99 latency, or `MIN_TIMEOUT_US` if longer.
const TIMEOUT_P99_FACTOR: f64 = 4.0;
const MIN_TIMEOUT_US: f64 = 1.2e6;
/// Quanta before a message's deadline at which its final answer is due. Rounds are one quantum apart.
const FINAL_ANSWER_LEAD_QUANTA: Micros = 2;
/// Time within which the platform receives a message's final outcome even if the first notice is lost.
const NOTICE_DELIVERY_US: Micros = 150_000;
/// Share of the rate of accepted calls to which a refusal cuts the call budget.
const BUDGET_CUT_FACTOR: f64 = 0.75;
/// Growth per second and minimum of the call budget, as shares of this sender's own demand.
/// With these shares, senders with more traffic get a larger call budget.
const BUDGET_GROWTH_SHARE: f64 = 0.2;
const MIN_BUDGET_SHARE: f64 = 0.4;
/// Upper bound of the minimum call budget if the limit is known, in equal shares of the limit.
const MIN_BUDGET_EQUAL_SHARES: f64 = 1.0;
/// If the limit is known, the call budget grows as if own demand were at most this many equal shares of the limit.
/// With `BUDGET_GROWTH_EQUAL_SHARES`, the call budgets of many senders together leave room in the limit.
const BUDGET_GROWTH_EQUAL_SHARES: f64 = 0.5;
/// Growth of the call budget for each accepted call, as a share of the budget.
const BUDGET_GROWTH_PER_ACCEPTED: f64 = 0.07;
/// Multiple of the rate of accepted calls from which a refusal cuts the call budget if no limit is known.
const UNKNOWN_LIMIT_FACTOR: f64 = 1.5;
/// Maximum share of a known limit that this sender's pace may use.
const MAX_LIMIT_SHARE: f64 = 0.95;
/// Factor by which an approximate weight may be too low. Refusals correct a weight that is too high.
const APPROXIMATE_WEIGHT_FACTOR: f64 = 1.5;
/// Calls a second that represent an unlimited pace.
const UNLIMITED_PER_S: f64 = 1e6;
/// Maximum burst of calls, in seconds at the lane's pace.
const BURST_S: f64 = 0.4;
/// Pause of a lane after a refusal that did not ask for a wait.
const REFUSAL_PAUSE_US: Micros = 250_000;
/// After a refused connection, idle connections to endpoints of the same kind are closed for this time.
const CONNECTIONS_SCARCE_US: Micros = 20_000_000;
/// Connections that are in use for at least this share of the time stay open even after refused connections.
const MIN_KEPT_UTILIZATION: f64 = 0.3;
/// Number of senders up to which all idle connections stay open.
/// With so few senders, any endpoint's connection table has room for one connection of each sender.
const MIN_TABLE_CONNECTIONS: f64 = 6.0;
/// Senders prefer endpoints in their own zone up to this ratio of the zone's load per endpoint to the mean load.
const MAX_ZONE_LOAD_FACTOR: f64 = 1.5;
/// Endpoints that discovery lists within this time of a destination's first listing belong to its first list.
const FIRST_LIST_SETTLES_US: Micros = 2_000_000;
/// Factors that convert prices in the settings to surcharges on the cost of a call.
const CROSS_ZONE_PRICE_FACTOR: f64 = 30.0;
const HANDSHAKE_PRICE_FACTOR: f64 = 10.0;
const ZONE_FEE_FACTOR: f64 = 100.0;
/// Surcharge on the cost of a call to an endpoint that recently joined the rotation.
const NEW_ENDPOINT_SURCHARGE: f64 = 1.0;
/// Minimum calls within a connection's idle time that justify opening a further connection.
const MIN_CALLS_PER_CONNECTION: f64 = 2.0;
/// Time during which a past refusal counts as a sign that the limit is nearly used up.
pub(crate) const REFUSAL_MEMORY_US: Micros = 20_000_000;
/// Waiting time over which a late message's loss of delivery value is calculated, to rank late messages.
const LATE_HORIZON_US: f64 = 1.5e6;
/// Share of a late message's present delivery value in its rank: a lasting backlog loses all that value.
const PRESENT_WORTH_SHARE: f64 = 0.4;
/// Share of `max_open` that stays free, so that no message is rejected before its delivery value is compared.
const FREE_ROOM_SHARE: f64 = 0.06;
/// Interval at which permit pools are resized.
const RESIZE_INTERVAL_US: Micros = 500_000;

impl Latency {
    /// Returns after how many microseconds without an answer a call has stalled.
    pub(crate) fn stall_threshold_us(&self) -> f64 {
        (STALL_P99_FACTOR * self.p99_us()).max(2.0 * self.recent_us).max(MIN_STALL_US)
    }
}

/// Makes the decisions of one sender: each round takes events and returns actions.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) now: Micros,
    random: Random,
    /// Random number from 0 to 1 that decides on the preference for the own zone; drawn in `Dispatcher::new`.
    /// The sender prefers its own zone while its random number is below `stay_chance` in `candidates`.
    /// `stay_chance` grows with the share of a destination's endpoints that are in the sender's zone.
    /// As each sender draws its own random number, only some senders leave a zone with few endpoints.
    zone_draw: f64,
    pub(crate) settings: Settings,
    /// The sequence number last assigned to a message or a call.
    pub(crate) sequence: u64,
    pub(crate) lanes: BTreeMap<LaneKey, Lane>,
    pub(crate) destinations: BTreeMap<DestId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) order_keys: BTreeMap<String, OrderKey>,
    /// Pending checks by due time. A round examines due checks and `ready` instead of all messages and endpoints.
    pub(crate) schedule: BTreeSet<(Micros, Check)>,
    /// Destinations with pending messages whose state has changed or that wait for a free slot.
    pub(crate) ready: BTreeSet<DestId>,
    /// Settings used for a class that no longer exists.
    default_class: ClassSettings,
    /// When endpoints of a kind last refused a connection, by kind and lane.
    connections_refused: BTreeMap<(usize, LaneKey), Micros>,
    /// Estimates of whether connection tables are full, by endpoint kind.
    connection_tables: BTreeMap<usize, ConnectionTables>,
    /// Whether this process replaces a running process, so that restored messages do not come from a restart.
    replaces_process: bool,
    /// Endpoints whose calls ended in this round and whose idle connections may be closed.
    maybe_idle: BTreeSet<EndpointId>,
    open_messages: usize,
    pub(crate) slots_used: u32,
    next_eviction: Micros,
    timer_at: Micros,
    /// When this sender stops, if [`Event::Stopping`] has been received.
    stop_at: Option<Micros>,
}

impl Dispatcher {
    /// Creates a dispatcher whose random numbers depend only on `seed`.
    ///
    /// # Errors
    /// Returns an error if a value in the settings is out of range.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (random, timer_at) = (Random::new(seed), Micros::MIN);
        let mut dispatcher = Dispatcher { now, random, timer_at, settings, ..Dispatcher::default() };
        dispatcher.zone_draw = dispatcher.random.next_unit();
        Ok(dispatcher)
    }

    /// Applies the events that happened up to `now`, then appends the resulting actions to `out`.
    pub fn round(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.apply_event(event, out);
        }
        self.evict_stale();
        self.run_due_checks(out);
        self.reclaim_slot(out);
        self.dispatch(out);
        self.close_idle_connections(out);
        self.shed_excess(out);
        self.set_timer(out);
    }

    fn apply_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Listing { complete, entries } => self.apply_listing(*complete, entries),
            Event::Message { id, class, key, dest, time_left, resubmitted, may_have_run_since, .. } => {
                let may_have_run = may_have_run_since.map(|since| (since, EndpointId::UNKNOWN));
                let message = Message { class: *class, key: key.clone(), dest: *dest, ..Message::default() };
                let message = Message { may_have_run, ..message };
                self.admit(*id, message, *time_left, !resubmitted);
            }
            Event::MessageRestored { id, class, key, dest, time_left, attempts, unreached, may_have_run } => {
                let (class, key, dest, attempts) = (*class, key.clone(), *dest, *attempts);
                let may_have_run = may_have_run.map(|(endpoint, sent)| (sent, endpoint));
                let restored_untried = may_have_run.is_none() && !self.replaces_process;
                let unreached = *unreached;
                let message = Message { class, key, dest, attempts, unreached, ..Message::default() };
                let message = Message { may_have_run, restored_untried, ..message };
                self.restore(*id, message, *time_left);
            }
            Event::StateInherited(state) => {
                self.replaces_process = true;
                self.inherit_state(state);
            }
            Event::CallsInherited(calls) => self.inherit_calls(calls),
            Event::ClassesChanged(classes) => self.settings.classes = classes.clone(),
            Event::EndpointHealthRestored { endpoint, health } => {
                self.restore_endpoint_health(*endpoint, *health);
            }
            Event::ReceiverHealthRestored { dest, route, health } => {
                let lanes = self.lanes_of(*dest, *route).into_iter();
                lanes.for_each(|key| self.restore_receiver_health(key, *health));
            }
            Event::Stopping { at } => self.stop_at = Some(*at),
            Event::Outcome { id, attempt, outcome, closes_message, elapsed, wait, report, .. } => {
                let wait = (*wait).clamp(0, MAX_SPAN_US);
                let result = AttemptResult { outcome: *outcome, elapsed: *elapsed, wait, report: *report };
                self.end_attempt(*id, *attempt, *closes_message, result, out);
            }
            Event::MessageAbandoned { id } => self.close(*id),
            Event::Probed { endpoint, outcome, report } => {
                let (now, gap) = (self.now, self.trial_gap(*endpoint));
                self.apply_report(*endpoint, *report);
                let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
                self.ready.insert(endpoint.dest);
                let Some(unhealthy) = &mut endpoint.unhealthy else { return };
                unhealthy.probing = false;
                if *outcome == Outcome::Done {
                    (unhealthy.probed, unhealthy.next_trial) = (true, now);
                } else {
                    unhealthy.back_off(now, gap);
                }
            }
            _ => {}
        }
    }

    /// Accepts a message. `is_demand` is false if the message has already been counted as demand.
    fn admit(&mut self, id: MsgId, mut message: Message, time_left: Micros, is_demand: bool) {
        if self.messages.contains_key(&id) {
            return;
        }
        self.sequence += 1;
        let (sequence, now, dest) = (self.sequence, self.now, message.dest);
        (message.sequence, message.deadline) = (sequence, now + time_left.clamp(0, MAX_SPAN_US));
        let ordered = self.settings.classes.get(message.class).is_some_and(|c| c.ordered);
        message.key = message.key.filter(|_| ordered);
        if let Some(key) = &message.key {
            self.order_keys.entry(key.clone()).or_default().queue.insert((sequence, id));
        }
        let destination = self.destination_entry(dest);
        // Resubmitted messages are not new demand and must not enlarge the pool.
        if is_demand {
            destination.arrival_rate.record(now);
            destination.traffic.record(now);
        }
        destination.pending.insert((sequence, id));
        self.ready.insert(dest);
        self.schedule.insert((self.final_answer_due(&message), Check::Message(id)));
        self.open_messages += 1;
        self.messages.insert(id, message);
        self.schedule_window_end(id);
    }

    /// Accepts a message from before a restart. Guards against delivering the message to a receiver twice.
    /// An attempt with no known outcome may have taken effect, so an unsafe message with such an attempt fails.
    /// A keyed message's idempotency window still begins at the message's first attempt.
    /// A message that may get no further attempt ends only once all events of the round have been applied.
    /// A later event may add the message's call in flight, whose outcome decides how the message ends.
    fn restore(&mut self, id: MsgId, message: Message, time_left: Micros) {
        // Only the first restored message counts as demand.
        // Without any demand, one refusal would leave the destination without a call budget.
        // All restored messages at one instant would look like a hundred times the traffic.
        // The sender would then claim a hundred times as large a part of the limit.
        let is_first = self.destinations.get(&message.dest).is_none_or(|d| d.arrival_rate.value == 0.0);
        self.admit(id, message, time_left, is_first);
        let Some(message) = self.messages.get(&id) else { return };
        let may_still_run = message.key.as_ref().filter(|_| message.may_have_run.is_some());
        if let Some(key) = may_still_run.and_then(|k| self.order_keys.get_mut(k)) {
            key.settle_until = self.now + self.settings.order_settle;
        }
        if !self.may_retry(id) {
            self.schedule.insert((self.now, Check::Message(id)));
        }
    }

    /// Schedules a check of a keyed message at the end of its idempotency window, after which it is sent no more.
    fn schedule_window_end(&mut self, id: MsgId) {
        let window_end = self.messages.get(&id).and_then(|message| self.key_window_end(message));
        self.schedule.extend(window_end.map(|end| (end, Check::Message(id))));
    }

    /// Restores an endpoint's health from before a restart.
    /// Guards against overloading an endpoint that was failing: its load is still increased gradually.
    fn restore_endpoint_health(&mut self, id: EndpointId, health: EndpointHealth) {
        let (now, gap) = (self.now, self.trial_gap(id));
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.failing_since = health.failing_since.map(|t| t.min(now));
        endpoint.unhealthy = health.unhealthy.then(|| Unhealthy::new(now, false, gap));
        endpoint.warm_up = health.warming_since.map(|since| WarmUp::new(since.min(now), now));
    }

    /// Restores a lane's health from before a restart. Guards against the simultaneous restart of many senders.
    /// Without the restored health, senders that had been refused sent all their pending messages.
    /// Senders that had seen one endpoint of two fail sent all their pending messages too.
    fn restore_receiver_health(&mut self, key: LaneKey, health: ReceiverHealth) {
        let (now, tokens) = (self.now, self.random.next_unit());
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        if let (Some(traffic), Some(destination)) =
            (health.traffic_milli_per_s, self.destinations.get_mut(&lane.dest))
        {
            destination.traffic = Rate::with_history(now, TRAFFIC_MEMORY_US, f64::from(traffic) / 1e3);
        }
        lane.wait_until = lane.wait_until.max(health.wait_until.unwrap_or(0));
        lane.failing_since = health.failing_since.map(|t| t.min(now));
        lane.warm_up =
            health.warming_since.map(|since| WarmUp { tokens, ..WarmUp::new(since.min(now), now) });
        if let Some(budget) = health.budget_milli_per_s {
            // The lane starts with a random fraction of a call token.
            // With 0 tokens, all restarted senders would make their first call simultaneously.
            (lane.budget, lane.tokens, lane.budget_cut_at) = (f64::from(budget) / 1e3, tokens, now);
        }
        let failing_since = lane.failing_since;
        let listed: Vec<_> = self.endpoints.iter().filter(|(_, e)| e.lane == key && e.listed).collect();
        let all_failing = || listed.iter().all(|(_, e)| e.failing_since.is_some());
        let down = health.down || failing_since.is_some_and(|t| now - t >= OUTAGE_AFTER_US || all_failing());
        if let Some(id) = listed.first().map(|(id, _)| **id).filter(|_| down) {
            self.infer_unhealthy(id, false);
            self.mark_lane_down(id);
        }
    }

    fn destination_entry(&mut self, id: DestId) -> &mut Destination {
        let now = self.now;
        let (arrival_rate, traffic) = (Rate::new(now, ARRIVAL_MEMORY_US), Rate::new(now, TRAFFIC_MEMORY_US));
        self.destinations.entry(id).or_insert_with(|| Destination {
            arrival_rate,
            traffic,
            ..Destination::default()
        })
    }

    fn apply_listing(&mut self, complete: bool, entries: &[EndpointEntry]) {
        if complete {
            self.endpoints.values_mut().for_each(|e| e.listed = false);
            self.ready.extend(self.destinations.keys());
        }
        // Right after a start, a listing may be a later version of the destination's first endpoint list.
        let known = self.destinations.iter().filter(|(_, d)| {
            !d.endpoints.is_empty() && self.now - d.arrival_rate.created_at > FIRST_LIST_SETTLES_US
        });
        let known: BTreeSet<DestId> = known.map(|(id, _)| *id).collect();
        for entry in entries {
            let separate = self.settings.kinds.get(entry.kind).is_some_and(|k| k.separate_routes);
            let key =
                if separate { LaneKey::Route(entry.endpoint) } else { LaneKey::Destination(entry.dest) };
            let now = self.now;
            let listed = entry.status == Status::Up;
            let permits = ((self.settings.slots as f64 * INITIAL_POOL_SHARE) as u32).max(1);
            if !listed && !self.endpoints.contains_key(&entry.endpoint) {
                continue;
            }
            self.destination_entry(entry.dest).endpoints.insert(entry.endpoint);
            self.ready.insert(entry.dest);
            let factor = if self.settings.weights == WeightMeaning::Approximate {
                APPROXIMATE_WEIGHT_FACTOR
            } else {
                1.0
            };
            let weight = entry.weight.filter(|w| w.is_finite() && *w > 0.0).map(|w| w * factor);
            let limit = weight.filter(|_| self.settings.weights != WeightMeaning::Ignored);
            let dest = entry.dest;
            let accepted_rate = Rate::new(now, ARRIVAL_MEMORY_US);
            let new_lane =
                || Lane { permits, tokens: UNLIMITED_PER_S, accepted_rate, ..Lane::unrestricted(dest, now) };
            let lane = self.lanes.entry(key).or_insert_with(new_lane);
            lane.limit = limit.or(lane.limit);
            let (kind, zone) = (entry.kind, entry.zone);
            let is_new = !self.endpoints.contains_key(&entry.endpoint);
            let rotation = if is_new {
                self.initial_rotation(dest, known.contains(&dest))
            } else {
                RotationPlace::default()
            };
            let new_endpoint = || Endpoint {
                lane: key,
                dest,
                kind,
                zone,
                last_success: now,
                rotation,
                ..Endpoint::default()
            };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new_endpoint);
            endpoint.listed = listed;
            // If a listed endpoint of a lane that is down counted as healthy, all senders would call it.
            if listed && self.lanes.get(&key).is_some_and(|l| l.down) {
                self.infer_unhealthy(entry.endpoint, false);
            }
        }
    }

    /// Returns the position at which a new endpoint joins the rotation, drawn from this sender's random numbers.
    fn initial_rotation(&mut self, dest: DestId, known: bool) -> RotationPlace {
        let (now, place, delay) = (self.now, self.random.next_unit(), self.random.next_unit());
        if !known {
            return RotationPlace::in_first_list(now, place);
        }
        let mine = self.destinations.get(&dest).into_iter().flat_map(|d| &d.endpoints);
        let others = mine.filter_map(|id| self.endpoints.get(id).map(|e| e.rotation.last_turn())).collect();
        RotationPlace::among(now, others, (place, delay), self.settings.warm_up)
    }

    /// Marks an endpoint unhealthy because its lane is down.
    /// The endpoint gets its first trial after the end of the lane's wait plus a random gap.
    fn infer_unhealthy(&mut self, id: EndpointId, nothing_ran: bool) {
        let (now, gap) = (self.now, self.trial_gap(id));
        let wait_until = self.lane_of(id).map_or(now, |l| l.wait_until);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.failing_since = endpoint.failing_since.or(Some(now));
        let inferred = || Unhealthy { inferred: true, ..Unhealthy::new(now, nothing_ran, gap) };
        endpoint.unhealthy.get_or_insert_with(inferred).delay_past(wait_until, gap);
    }

    /// Marks the lane of a failing endpoint as down. Guards against the simultaneous return of all senders.
    /// The lane's other endpoints would otherwise look healthy until a call to one of them fails.
    fn mark_lane_down(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let nothing_ran = endpoint.unhealthy.as_ref().is_some_and(|u| u.nothing_ran);
        let key = endpoint.lane;
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        let was_up = !std::mem::replace(&mut lane.down, true);
        lane.failing_since = lane.failing_since.or(Some(self.now));
        // The lane refused connections because it was down, not because its connection table was full.
        self.connections_refused.retain(|(_, lane), _| *lane != key);
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return };
        for other in destination.endpoints.clone() {
            if self.endpoints.get(&other).is_some_and(|e| e.lane == key && e.listed) {
                self.infer_unhealthy(other, nothing_ran);
                let (now, gap) = (self.now, self.trial_gap(other));
                let unhealthy = self.endpoints.get_mut(&other).and_then(|e| e.unhealthy.as_mut());
                // A stalled endpoint's next trial is due soon.
                // In an outage of the whole lane, such early trials of all senders together are too much load.
                if let Some(unhealthy) =
                    unhealthy.filter(|u| was_up && u.next_trial <= now + FIRST_TRIAL_BACKOFF_US)
                {
                    unhealthy.next_trial = now + gap as Micros;
                }
            }
        }
    }

    /// Starts the warm-up of a lane that was down: the load on all its endpoints together grows gradually.
    /// Endpoints whose unhealthy state was only inferred from the lane become healthy.
    fn start_lane_warm_up(&mut self, key: LaneKey) {
        let now = self.now;
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        lane.warm_up = Some(WarmUp::new(now, now));
        self.connections_refused.retain(|(_, lane), _| *lane != key);
        let members = self.destinations.get(&lane.dest).map(|d| d.endpoints.clone()).unwrap_or_default();
        for id in members {
            let Some(endpoint) = self.endpoints.get_mut(&id).filter(|e| e.lane == key) else { continue };
            if endpoint.unhealthy.as_ref().is_some_and(|u| u.inferred && u.trial_sent.is_none()) {
                (endpoint.unhealthy, endpoint.failing_since) = (None, None);
            }
        }
    }

    /// Removes endpoints, lanes and destinations that left the endpoint list, to bound memory use over months.
    /// The state of unlisted endpoints, lanes and destinations is retained for the length of a warm-up.
    /// If an endpoint returns to the list within a warm-up's length, the retained waits and health still apply.
    fn evict_stale(&mut self) {
        let (now, retention) = (self.now, self.settings.warm_up.max(RESIZE_INTERVAL_US));
        if now < self.next_eviction {
            return;
        }
        self.next_eviction = now + retention;
        let lanes = &self.lanes;
        let must_wait = |e: &Endpoint| lanes.get(&e.lane).is_some_and(|l| l.wait_until > now);
        self.endpoints
            .retain(|_, e| e.listed || e.in_flight > 0 || now - e.last_used <= retention || must_wait(e));
        self.destinations.values_mut().for_each(|d| d.endpoints.retain(|id| self.endpoints.contains_key(id)));
        self.destinations.retain(|_, d| {
            !d.endpoints.is_empty() || !d.pending.is_empty() || now - d.arrival_rate.updated_at <= retention
        });
        self.lanes.retain(|key, lane| match key {
            LaneKey::Route(id) => self.endpoints.contains_key(id),
            _ => self.destinations.contains_key(&lane.dest),
        });
        self.order_keys.retain(|_, k| !k.queue.is_empty() || k.settle_until > now);
        self.connections_refused.retain(|_, t| now - *t <= CONNECTIONS_SCARCE_US);
    }

    fn apply_report(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        let limit = report.and_then(|r| r.limit).filter(|l| l.is_finite() && *l > 0.0);
        if let Some(lane) = self.lane_of(endpoint) {
            lane.limit = limit.or(lane.limit);
        }
    }

    fn lane_of(&mut self, endpoint: EndpointId) -> Option<&mut Lane> {
        self.endpoints.get(&endpoint).and_then(|e| self.lanes.get_mut(&e.lane))
    }

    /// Records the outcome of one attempt: updates the message and its call.
    /// The first outcome of a call also updates the endpoint's health.
    fn end_attempt(
        &mut self,
        id: MsgId,
        number: u32,
        closes_message: bool,
        result: AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let AttemptResult { outcome, wait, .. } = result;
        let now = self.now;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(index) = message.in_flight.iter().position(|a| a.number == number) else { return };
        let attempt = message.in_flight.remove(index);
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let (endpoint_id, is_trial) = (call.endpoint, call.is_trial);
        let (is_first_outcome, connection_idle) = (!call.health_updated, call.connection_idle);
        (call.health_updated, call.open_attempts) = (true, call.open_attempts.saturating_sub(1));
        let call_ended = call.open_attempts == 0;
        let failed_after_possible_run = !outcome.never_ran() && outcome != Outcome::Done;
        if failed_after_possible_run {
            let sent = message.may_have_run.map_or(attempt.sent, |m| m.0.min(attempt.sent));
            message.may_have_run = Some((sent, message.may_have_run.map_or(endpoint_id, |m| m.1)));
            let key = message.key.as_ref().filter(|_| outcome != Outcome::Error);
            if let Some(key) = key.and_then(|k| self.order_keys.get_mut(k)) {
                key.settle_until = now + self.settings.order_settle;
            }
        }
        message.unreached += u32::from(outcome == Outcome::Unreached);
        message.restored_untried &= outcome.never_sent();
        message.avoid = Some(endpoint_id);
        let closed = closes_message || outcome == Outcome::Done || message.closed;
        if failed_after_possible_run {
            self.schedule_window_end(id);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id).filter(|_| call_ended) {
            (endpoint.in_flight, endpoint.last_used) = (endpoint.in_flight - 1, now);
            self.lanes.entry(endpoint.lane).and_modify(|l| l.in_flight -= 1);
            self.calls.remove(&attempt.call);
            self.slots_used -= 1;
        }
        // Each outcome of a batch may ask for its own wait. The longest wait applies, not only the first.
        if wait > 0
            && let Some(lane) = self.lane_of(endpoint_id)
        {
            lane.wait_until = lane.wait_until.max(now + wait);
        }
        if is_first_outcome {
            self.apply_report(endpoint_id, result.report);
            self.update_health(endpoint_id, result, attempt.sent, is_trial, connection_idle);
        }
        if let Some(endpoint) = self.endpoints.get(&endpoint_id) {
            self.ready.insert(endpoint.dest);
        }
        if closed {
            self.close(id);
        } else if self.may_retry(id) {
            let (sequence, dest) = (self.messages[&id].sequence, self.messages[&id].dest);
            self.destination_entry(dest).pending.insert((sequence, id));
        } else if self.messages[&id].in_flight.is_empty() {
            self.finish(id, out);
        }
    }

    /// Updates the health of an endpoint and its lane from the first outcome of a call.
    fn update_health(
        &mut self,
        id: EndpointId,
        result: AttemptResult,
        sent: Micros,
        is_trial: bool,
        connection_idle: Micros,
    ) {
        let AttemptResult { outcome, elapsed, wait, .. } = result;
        let now = self.now;
        let stalled_or_reset = matches!(outcome, Outcome::Reset | Outcome::TimedOut);
        if connection_idle > 0 && stalled_or_reset && self.blame_idle_connection(id) {
            return;
        }
        let (gap, few_senders_weight) = (self.trial_gap(id), self.few_senders_weight());
        self.maybe_idle.insert(id);
        self.refresh(self.endpoints.get(&id).map_or_else(DestId::default, |e| e.dest));
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { return };
        let connect_timed_out = outcome.is_unconnected() && elapsed >= MIN_STALL_US as Micros;
        // A malformed answer does not count as an ambiguous failure: healthy endpoints send some too.
        let ambiguous = match outcome {
            Outcome::Done => Some(0.0),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => Some(1.0),
            _ => None,
        };
        if let Some(ambiguous) = ambiguous {
            let share = endpoint.ambiguous_share(now);
            endpoint.ambiguous_share = share + FAILURE_GAIN * (ambiguous - share);
            endpoint.ambiguous_share_at = now;
        }
        let new_connection = connection_idle == 0;
        let refused = outcome == Outcome::Busy && wait == 0;
        let tables = self.connection_tables.entry(endpoint.kind).or_default();
        if (refused || outcome == Outcome::Done) && endpoint.unhealthy.is_none() && !is_trial {
            tables.record(new_connection, refused);
        }
        if refused && new_connection {
            // An endpoint with a full connection table closes the refused connection after its answer.
            endpoint.connections = endpoint.in_flight;
        }
        let connection_refused =
            outcome.is_unconnected() && !connect_timed_out || refused && new_connection && tables.are_full();
        if connection_refused && !lane.down {
            self.connections_refused.insert((endpoint.kind, endpoint.lane), now);
        }
        match outcome {
            // A malformed answer proves that the endpoint is running and accepted the call.
            Outcome::Done | Outcome::MalformedAnswer => {
                if outcome == Outcome::Done {
                    if lane.latency.samples > 0.0 {
                        endpoint.rotation.record_latency(now, elapsed as f64 / lane.latency.mean_us());
                    }
                    lane.latency.record(elapsed);
                }
                lane.accepted_rate.record(now);
                lane.budget *= 1.0 + BUDGET_GROWTH_PER_ACCEPTED;
                // An answer to a call that was sent before an outage does not end the outage.
                let ends_failures =
                    |since: &Micros| sent >= *since || (!lane.down && now - since < OUTAGE_AFTER_US);
                let ended_endpoint_failures = endpoint.failing_since.filter(ends_failures).is_some();
                // With few calls, an outage may have begun immediately after the last success.
                let min_outage = if lane.warm_up.is_some() { OUTAGE_AFTER_US / 3 } else { OUTAGE_AFTER_US };
                let was_long = now - lane.last_success >= min_outage;
                let ended_lane_failures = lane.failing_since.filter(ends_failures).is_some();
                let was_down = ended_lane_failures && was_long && (lane.down || is_trial);
                let key = endpoint.lane;
                if ended_lane_failures || lane.failing_since.is_none() {
                    (lane.failing_since, lane.down, lane.last_success) = (None, false, now);
                }
                endpoint.last_success = now;
                endpoint.failure_share *= 1.0 - FAILURE_GAIN;
                if let Some(unhealthy) = endpoint.unhealthy.as_mut().filter(|_| is_trial) {
                    (unhealthy.trial_sent, unhealthy.next_trial) = (None, now);
                }
                let recovered = endpoint.failure_share < MAX_FAILURE_SHARE;
                if recovered && (is_trial || ended_endpoint_failures) {
                    if endpoint.failing_since.is_some_and(|since| now - since >= OUTAGE_AFTER_US) {
                        endpoint.warm_up = Some(WarmUp::new(now, now));
                    }
                    (endpoint.unhealthy, endpoint.failing_since) = (None, None);
                }
                if was_down {
                    self.start_lane_warm_up(key);
                }
                return;
            }
            Outcome::Skipped | Outcome::Cancelled => {
                return endpoint.unhealthy.iter_mut().filter(|_| is_trial).for_each(|u| u.trial_sent = None);
            }
            Outcome::Busy => {
                let pause = if wait == 0 { REFUSAL_PAUSE_US } else { 0 };
                lane.wait_until = lane.wait_until.max(now + pause);
                if now - lane.budget_cut_at > REFUSAL_PAUSE_US {
                    lane.budget_cut_at = now;
                    // If no limit is known, the refusal came from a full queue, which drains by itself.
                    // A smaller cut of the call budget suffices for a full queue.
                    let factor = if lane.limit.is_some() { 1.0 } else { UNKNOWN_LIMIT_FACTOR };
                    let limit = lane.limit.unwrap_or(f64::INFINITY);
                    let own = self.destinations.get(&lane.dest).map_or(0.0, |d| d.traffic.per_second(now));
                    let max_min_budget = limit / self.settings.senders as f64 * MIN_BUDGET_EQUAL_SHARES;
                    // The call budget never falls below the filled calls that this sender's traffic needs.
                    // Those calls may exceed the sender's equal share of the limit.
                    let max_batch = self.settings.max_batch(endpoint.kind) as f64;
                    let filled = if max_batch > 1.0 { filled_calls(own, max_batch) } else { 0.0 };
                    let min_budget = (own * MIN_BUDGET_SHARE).min(max_min_budget).max(filled).max(0.01);
                    let accepted = lane.accepted_rate.per_second(now);
                    let cut_from = lane.budget.min(limit).min((accepted * factor).max(min_budget));
                    lane.budget = (cut_from * BUDGET_CUT_FACTOR).max(min_budget);
                    lane.tokens = lane.tokens.min(0.0);
                }
            }
            // Another call succeeded after this call was sent, so the connection table is full.
            // There is no outage, and the endpoint's idle connections are closed.
            _ if outcome.is_unconnected() && endpoint.last_success > sent => {
                return endpoint.connection_refused_at = Some(now);
            }
            _ => {}
        }
        // A connection attempt that timed out is a stall and counts as two failures.
        // An immediately refused connection counts as one failure.
        let weight = if connect_timed_out { 2.0 } else { 1.0 };
        endpoint.failure_share += FAILURE_GAIN * weight * (1.0 - endpoint.failure_share);
        // A single refusal may come from a rate limit and needs no warm-up.
        // A long wait means that the receiver is shut down.
        // All senders may have received the same end of the wait.
        // Each sender adds a random gap to the wait, in order not to send simultaneously with the other senders.
        let is_shut_down = wait > SHUTDOWN_WAIT_US;
        let error_allowance = if outcome == Outcome::Error {
            few_senders_weight * (MAX_ERROR_SHARE - MAX_FAILURE_SHARE)
        } else {
            0.0
        };
        let max_failure_share = MAX_FAILURE_SHARE + error_allowance;
        let is_failing =
            outcome != Outcome::Busy || is_shut_down || endpoint.failure_share > max_failure_share;
        endpoint.failing_since = endpoint.failing_since.or(is_failing.then_some(now));
        if endpoint.failing_since.is_some() {
            lane.failing_since = lane.failing_since.or(Some(now));
        }
        let is_outage = lane.failing_since.is_some_and(|since| {
            now - since >= OUTAGE_AFTER_US && now - lane.last_success >= OUTAGE_AFTER_US
        });
        if let Some(unhealthy) = &mut endpoint.unhealthy {
            unhealthy.nothing_ran &= outcome.never_ran();
            unhealthy.inferred = false;
            if is_trial {
                unhealthy.back_off(now, gap);
            }
        } else if is_shut_down || endpoint.failure_share > max_failure_share {
            endpoint.unhealthy = Some(Unhealthy::new(now, outcome.never_ran(), gap));
        }
        if wait > 0 {
            endpoint.unhealthy.iter_mut().for_each(|u| u.delay_past(now + wait, gap));
        }
        if is_shut_down || is_outage || (lane.down && wait > 0) {
            self.mark_lane_down(id);
        }
    }

    /// Attributes a failed call to its idle connection unless another call has failed recently.
    /// Returns whether the call was attributed to its connection.
    /// Guards against idle connections that were dropped without notice.
    /// A stall or reset on a connection that was dropped is no evidence about the endpoint.
    /// For a while no idle connection to endpoints of the failed call's destination kind stays open.
    /// The next call, on a new connection, tests the endpoint.
    /// The price of this rule is that one failed call of an outage is not counted against the endpoint.
    fn blame_idle_connection(&mut self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|e| e.failure_share < FAILURE_GAIN) else {
            return false;
        };
        endpoint.failure_share += FAILURE_GAIN;
        self.connections_refused.insert((endpoint.kind, endpoint.lane), self.now);
        (endpoint.connections, endpoint.connection_refused_at) = (0, Some(self.now));
        self.ready.insert(endpoint.dest);
        self.maybe_idle.insert(id);
        true
    }

    /// Returns a random time until an endpoint's next trial, in microseconds.
    /// Guards against the trials of many senders adding up.
    /// The more of the traffic this sender has, the shorter is the mean gap between its trials.
    /// The trials of all senders together stay near the load that a cold destination can take.
    /// The price of random gaps between trials is that an endpoint's recovery is detected late.
    fn trial_gap(&mut self, id: EndpointId) -> f64 {
        let chance = self.random.next_unit();
        // With few senders the backoff alone limits trials.
        // A sender with little traffic then sends trials as often as the other senders.
        let few_senders_weight = self.few_senders_weight();
        let trial_share = |e: &Endpoint| {
            self.own_share(e).max(self.equal_share(e) * few_senders_weight) / self.lane_endpoints(e)
        };
        let share = self.endpoints.get(&id).map_or(0.0, trial_share);
        let (cold_from, fall_multiple) = (self.settings.cold_from, self.settings.fall_multiple);
        2.0 * chance * 1e6 / (TRIAL_LOAD_FACTOR * cold_from * fall_multiple * share).max(1e-3)
    }

    /// Returns the weight of rules for few senders: 1 for up to two senders, falling towards 0 with more.
    fn few_senders_weight(&self) -> f64 {
        (FEW_SENDERS / self.settings.senders as f64).powi(2).min(1.0)
    }

    /// Returns the part of the limit of an endpoint's lane that this sender may use, in calls a second.
    fn own_share(&self, endpoint: &Endpoint) -> f64 {
        let (traffic, endpoints) = self
            .destinations
            .get(&endpoint.dest)
            .map_or((0.0, 1), |d| (d.traffic.per_second(self.now), d.endpoints.len()));
        let is_route = matches!(endpoint.lane, LaneKey::Route(_));
        let own = if is_route { traffic / endpoints.max(1) as f64 } else { traffic };
        let equal = self.equal_share(endpoint);
        // Right after a start no traffic has been measured, so the equal share is the only estimate.
        if own == 0.0 {
            equal
        } else {
            own.max(equal.min(own * OWN_TRAFFIC_FACTOR + equal * EQUAL_SHARE_BASE))
        }
    }

    /// Returns an equal share of the limit of an endpoint's lane, in calls a second.
    fn equal_share(&self, endpoint: &Endpoint) -> f64 {
        let limit = self.lanes.get(&endpoint.lane).and_then(|l| l.limit).unwrap_or(DEFAULT_LIMIT_PER_S);
        limit / self.settings.senders as f64
    }

    /// Returns the number of endpoints in an endpoint's lane, including that endpoint.
    fn lane_endpoints(&self, endpoint: &Endpoint) -> f64 {
        match endpoint.lane {
            LaneKey::Route(_) => 1.0,
            _ => self.destinations.get(&endpoint.dest).map_or(1.0, |d| d.endpoints.len().max(1) as f64),
        }
    }

    /// Closes a message whose client needs no further answer.
    /// The record of the message is retained until the message's attempts have ended.
    fn close(&mut self, id: MsgId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if !message.closed {
            self.open_messages -= 1;
            let due = message.deadline - FINAL_ANSWER_LEAD_QUANTA * self.settings.quantum;
            self.schedule.remove(&(due, Check::Message(id)));
        }
        message.closed = true;
        let entry = (message.sequence, id);
        if let Some(destination) = self.destinations.get_mut(&message.dest) {
            destination.pending.remove(&entry);
        }
        if message.in_flight.is_empty() {
            let name = message.key.take();
            if let Some((name, key)) =
                name.and_then(|name| self.order_keys.get_mut(&name).map(|key| (name, key)))
            {
                key.queue.remove(&entry);
                if key.queue.is_empty() && key.settle_until <= self.now {
                    self.order_keys.remove(&name);
                }
                self.ready.insert(message.dest);
            }
            self.messages.remove(&id);
        }
    }

    pub(crate) fn class_of(&self, message: &Message) -> &ClassSettings {
        self.settings.classes.get(message.class).unwrap_or(&self.default_class)
    }

    /// Ends a message with its final answer: a refusal if resubmitting is harmless, otherwise a failure.
    fn finish(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        out.push(if self.may_refuse(message) {
            Action::Refuse { id, retry_after: self.settings.max_retry_after / 2 }
        } else {
            Action::Fail { id }
        });
        // Without a delay, an endpoint could get the order key's next message before the platform gets the notice.
        // The platform must receive this message's final outcome before the key's next message is sent.
        if let Some(key) = message.key.as_ref().and_then(|k| self.order_keys.get_mut(k)) {
            key.settle_until = key.settle_until.max(self.now + NOTICE_DELIVERY_US);
        }
        self.close(id);
    }

    fn run_due_checks(&mut self, out: &mut Vec<Action>) {
        while let Some((_, check)) = self.schedule.first().copied().filter(|(at, _)| *at <= self.now) {
            self.schedule.pop_first();
            match check {
                Check::Message(id) => self.finish_if_due(id, out),
                Check::Call(number) => self.check_stall(number),
                Check::Destination(id) => _ = self.ready.insert(id),
            }
        }
    }

    /// Returns when a message's final answer is due. An answer after the deadline may be worthless.
    /// The answer is due early enough to precede the deadline although rounds are a quantum apart.
    fn final_answer_due(&self, message: &Message) -> Micros {
        message.deadline - FINAL_ANSWER_LEAD_QUANTA * self.settings.quantum
    }

    /// Finishes a message if its final answer is due.
    /// Also finishes a message that has no attempt in flight and may get no further attempt.
    fn finish_if_due(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { return };
        let is_due = self.now >= self.final_answer_due(message);
        if is_due || (message.in_flight.is_empty() && !self.may_retry(id)) {
            self.finish(id, out);
        }
    }

    /// Checks whether a call has stalled. A stall marks the call's endpoint unhealthy.
    /// A stalled trial doubles the backoff until the endpoint's next trial.
    fn check_stall(&mut self, number: u64) {
        let now = self.now;
        let Some(&Call { endpoint: id, sent, connection_idle, .. }) = self.calls.get(&number) else {
            return;
        };
        let gap = self.trial_gap(id);
        let threshold_us = self.lane_of(id).map_or(MIN_STALL_US, |l| l.latency.stall_threshold_us());
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let stalls_after = threshold_us as Micros + 1;
        let reclaimable_after = (threshold_us * RECLAIM_AFTER_STALLS) as Micros + 1;
        let next = if now - sent < stalls_after { stalls_after } else { reclaimable_after };
        if now - sent < reclaimable_after {
            self.schedule.insert((sent + next, Check::Call(number)));
        }
        if now - sent < stalls_after || endpoint.last_success > sent {
            return;
        }
        self.ready.insert(endpoint.dest);
        if connection_idle > 0 && self.blame_idle_connection(id) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.failing_since = endpoint.failing_since.or(Some(now));
        match &mut endpoint.unhealthy {
            None => endpoint.unhealthy = Some(Unhealthy::new(now, false, 0.0)),
            Some(unhealthy) if unhealthy.trial_sent.is_some_and(|trial_sent| trial_sent == sent) => {
                (unhealthy.nothing_ran, unhealthy.inferred) = (false, false);
                unhealthy.back_off(now, gap);
            }
            _ => {}
        }
        let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { return };
        let failing_since = *lane.failing_since.get_or_insert(now);
        if now - failing_since >= OUTAGE_AFTER_US && now - lane.last_success >= OUTAGE_AFTER_US {
            self.mark_lane_down(id);
        }
    }

    /// Updates the budgets, pools and warm-ups of a destination's lanes and endpoints to the current time.
    fn refresh(&mut self, dest: DestId) {
        let now = self.now;
        let Some(destination) = self.destinations.get(&dest) else { return };
        let own_rate = destination.arrival_rate.per_second(now);
        let listed =
            destination.endpoints.iter().filter_map(|id| self.endpoints.get(id)).filter(|e| e.listed);
        let unhealthy_lanes: BTreeSet<LaneKey> =
            listed.filter(|e| e.unhealthy.is_some()).map(|e| e.lane).collect();
        let (cold_from, warm_up, few_senders_weight) =
            (self.settings.cold_from, self.settings.warm_up, self.few_senders_weight());
        let senders = self.settings.senders as f64;
        let aims = self.settings.classes.iter().map(|c| c.aim);
        let shortest_aim = aims.min().unwrap_or(self.default_class.aim).max(1);
        let long_term_rate = destination.traffic.lower_bound(now);
        for id in &destination.endpoints {
            let (own_share, lane_endpoints) =
                self.endpoints.get(id).map_or((0.0, 1.0), |e| (self.own_share(e), self.lane_endpoints(e)));
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { continue };
            let is_unhealthy = unhealthy_lanes.contains(&endpoint.lane);
            let max_pace = lane.limit.map_or(f64::INFINITY, |l| l * MAX_LIMIT_SHARE);
            let elapsed_s = (now - lane.refilled_at) as f64 / 1e6;
            if lane.budget.is_finite() {
                let growth_base = lane
                    .limit
                    .map_or(own_rate.max(0.2), |l| own_rate.min(l / senders * BUDGET_GROWTH_EQUAL_SHARES));
                lane.budget =
                    (lane.budget + BUDGET_GROWTH_SHARE * growth_base * elapsed_s).min(max_pace.max(0.5));
            }
            let max_batch = self.settings.max_batch(endpoint.kind) as f64;
            let recently_refused = lane.budget_cut_at > 0 && now - lane.budget_cut_at < REFUSAL_MEMORY_US;
            let demand = lane.limit.filter(|_| max_batch > 1.0).map(|limit| {
                let equal_share = limit / senders;
                let shortest_aim_us = shortest_aim as f64;
                let demand = LaneDemand {
                    equal_share,
                    own_rate,
                    long_term_rate,
                    max_batch,
                    shortest_aim_us,
                    recently_refused,
                };
                // With few senders, calls need almost no spacing.
                (limit * few_senders_weight, demand)
            });
            let spaced = demand.and_then(|(unspaced, demand)| Some(demand.spacing()? + unspaced));
            lane.pace = lane.budget.min(max_pace).min(spaced.unwrap_or(UNLIMITED_PER_S)).min(UNLIMITED_PER_S);
            lane.tokens = (lane.tokens + lane.pace * elapsed_s).min((lane.pace * BURST_S).max(1.0));
            lane.refilled_at = now;
            // A pool that was sized while all endpoints were healthy keeps its size while one is unhealthy.
            // A pool that has never been sized is sized even while an endpoint is unhealthy.
            // Such a pool exists after a restart that restores an unhealthy endpoint.
            // The pool would otherwise keep its initial size until the endpoint recovers.
            let can_size = lane.latency.samples >= MIN_SIZING_SAMPLES;
            let is_due = now - lane.resized_at >= RESIZE_INTERVAL_US;
            if is_due && !lane.latency.is_slow() && (!is_unhealthy || (can_size && !lane.is_sized)) {
                lane.is_sized = can_size;
                lane.resized_at = now;
                let max_permits = ((self.settings.slots as f64 * MAX_POOL_SHARE).ceil() as u32).max(1);
                let needed_permits =
                    (own_rate * lane.latency.p99_us() / 1e6 * POOL_SAFETY_FACTOR).ceil() as u32;
                lane.permits = needed_permits.clamp(1, max_permits);
            }
            let warm_ups =
                [(&mut lane.warm_up, own_share), (&mut endpoint.warm_up, own_share / lane_endpoints)];
            for (state, share) in warm_ups {
                let Some(state) = state.as_mut().filter(|w| now - w.since < warm_up) else {
                    *state = None;
                    continue;
                };
                let capacity =
                    cold_from + (1.0 - cold_from) * (now - state.since) as f64 / warm_up.max(1) as f64;
                state.pace = WARM_UP_SAFETY * self.settings.fall_multiple * capacity * share;
                let tokens = state.tokens + state.pace * (now - state.refilled_at) as f64 / 1e6;
                state.tokens = tokens.min(1.0_f64.max(state.pace * 0.25));
                state.refilled_at = now;
            }
        }
    }

    /// Cancels a stalled call to free its slot. Guards against stalled calls that fill the slots.
    /// Unsafe calls to a hung destination would otherwise hold their slots until the deadline.
    /// While slots are short and messages wait, this function cancels the call that has stalled longest.
    /// Stalls are compared relative to the stall threshold of each call's lane.
    /// A stalled call whose messages may all be sent again is cancelled sooner than other stalled calls.
    /// If messages wait only for their destination's own calls, only calls overtaken by later calls are cancelled.
    /// The endpoint of an overtaken call answers other calls, so the overtaken call's connection is dead.
    /// Stalled calls are cancelled whatever the cause of the stall.
    /// The price of cancelling is that an unsafe message fails whose answer was merely late.
    fn reclaim_slot(&mut self, out: &mut Vec<Action>) {
        let reserve = (self.settings.slots as f64 * RECLAIM_RESERVE_SHARE).ceil() as u32;
        let has_pending = |d: &DestId| self.destinations.get(d).is_some_and(|d| !d.pending.is_empty());
        let slots_short = self.settings.slots.saturating_sub(self.slots_used) < reserve
            && self.ready.iter().any(has_pending);
        let blocked = self
            .destinations
            .iter()
            .filter(|(_, d)| !d.pending.is_empty() && self.is_blocked_by_own_calls(d));
        let blocked: BTreeSet<DestId> = blocked.map(|(id, _)| *id).collect();
        if !self.settings.cancel || (!slots_short && blocked.is_empty()) {
            return;
        }
        // Returns a call's time in flight as a multiple of the time after which it may be cancelled.
        let stall_ratio = |call: &Call| {
            let endpoint = self.endpoints.get(&call.endpoint)?;
            let threshold_us = self.lanes.get(&endpoint.lane)?.latency.stall_threshold_us();
            let overtaken =
                blocked.contains(&endpoint.dest) && (endpoint.last_success - call.sent) as f64 > threshold_us;
            let stalls = if call.repeatable { RECLAIM_REPEATABLE_AFTER_STALLS } else { RECLAIM_AFTER_STALLS };
            (slots_short || overtaken).then_some((self.now - call.sent) as f64 / (threshold_us * stalls))
        };
        let calls = self.calls.iter().filter(|(_, c)| !c.cancelled);
        let ratios = calls.filter_map(|(number, c)| stall_ratio(c).map(|ratio| (ratio, *number)));
        let worst = ratios.filter(|r| r.0 > 1.0).max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, call)) = worst else { return };
        self.calls.entry(call).and_modify(|c| c.cancelled = true);
        for (id, message) in &self.messages {
            let attempts = message.in_flight.iter().filter(|a| a.call == call);
            out.extend(attempts.map(|a| Action::Cancel { id: *id, attempt: a.number }));
        }
    }

    /// Returns the number of slots in a share of all slots, at least one.
    fn slots_in(&self, share: f64) -> u32 {
        ((self.settings.slots as f64 * share) as u32).max(1)
    }

    /// Returns whether a destination has the maximum of calls in flight for one destination.
    fn is_at_maximum(&self, destination: &Destination) -> bool {
        let endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.map(|e| e.in_flight).sum::<u32>() >= self.slots_in(MAX_DESTINATION_SHARE)
    }

    /// Returns whether a destination may have more calls in flight than its permits.
    fn may_borrow(&self, destination: &Destination) -> bool {
        let free = self.settings.slots.saturating_sub(self.slots_used);
        let endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let mut listed = endpoints.filter(|e| e.listed);
        free > (self.settings.slots as f64 * BORROW_RESERVE_SHARE).ceil() as u32
            && !listed.any(|e| self.is_doubtful(e))
    }

    /// Returns whether a destination's own calls in flight prevent it from sending more calls.
    fn is_blocked_by_own_calls(&self, destination: &Destination) -> bool {
        let mut lanes =
            destination.endpoints.iter().filter_map(|id| self.lanes.get(&self.endpoints.get(id)?.lane));
        self.is_at_maximum(destination)
            || (lanes.any(|l| l.in_flight >= l.permits) && !self.may_borrow(destination))
    }

    /// Probes unhealthy endpoints whose trial is due, if a trial call could harm a message.
    /// Probes are sent only if the settings allow them.
    fn send_probes(&mut self, dest: DestId, out: &mut Vec<Action>) {
        let Some(destination) = self.destinations.get(&dest).filter(|_| self.settings.probes) else {
            return;
        };
        // A failing lane gets only one call or probe at a time, since probes load it too.
        let is_failing = |key: &LaneKey| self.lanes.get(key).is_some_and(|l| l.failing_since.is_some());
        let endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let in_use = endpoints
            .filter(|e| e.listed)
            .filter(|e| e.unhealthy.as_ref().is_none_or(|u| u.probing || u.trial_sent.is_some()));
        let mut occupied_lanes: BTreeSet<LaneKey> = in_use.map(|e| e.lane).filter(is_failing).collect();
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| e.listed) else { continue };
            let must_wait = self.lanes.get(&endpoint.lane).is_none_or(|l| self.now < l.wait_until);
            let must_wait = must_wait || occupied_lanes.contains(&endpoint.lane);
            let Some(unhealthy) = endpoint.unhealthy.as_mut().filter(|_| !must_wait) else { continue };
            let is_idle = !unhealthy.probing && unhealthy.trial_sent.is_none();
            let needs_probe = !unhealthy.nothing_ran && !unhealthy.probed;
            if needs_probe && is_idle && self.now >= unhealthy.next_trial {
                unhealthy.probing = true;
                occupied_lanes.extend(Some(endpoint.lane).filter(is_failing));
                out.push(Action::Probe { endpoint: *id });
            }
        }
    }

    /// Returns the endpoints of a destination that can take a call now, cheapest first.
    /// Also returns when to check the destination again.
    fn candidates(&self, dest: DestId) -> (Vec<Candidate>, Recheck) {
        let now = self.now;
        let mut candidates = Vec::new();
        let mut recheck = Recheck { at: Micros::MAX, on_free_slot: false };
        let Some(destination) = self.destinations.get(&dest) else { return (candidates, recheck) };
        let endpoints =
            || destination.endpoints.iter().filter_map(|id| self.endpoints.get(id).map(|e| (id, e)));
        let listed: Vec<_> = endpoints().filter(|(_, e)| e.listed).collect();
        let doubtful = listed.iter().any(|(_, e)| self.is_doubtful(e));
        let too_many_doubtful = doubtful && self.doubtful_calls() >= self.slots_in(MAX_DOUBTFUL_SHARE);
        let at_maximum = self.is_at_maximum(destination);
        let may_borrow = self.may_borrow(destination);
        let has_free_connection = |e: &Endpoint| {
            now - e.last_used < self.settings.idle_close
                && e.in_flight < e.connections.saturating_mul(self.settings.streams_per_conn)
        };
        // A connection that this sender's traffic reuses before it is closed as idle costs one handshake.
        // Without reuse, the price of a handshake is paid for each call.
        let calls_per_idle_time = destination.traffic.per_second(now) * self.settings.idle_close as f64 / 1e6;
        let zones: BTreeSet<usize> = listed.iter().map(|(_, e)| e.zone).collect();
        let in_own_zone = listed.iter().filter(|(_, e)| e.zone == self.settings.zone).count() as f64;
        // If this zone has few of the destination's endpoints, some of the zone's senders use all zones.
        let stay_chance =
            in_own_zone * zones.len() as f64 * MAX_ZONE_LOAD_FACTOR / listed.len().max(1) as f64;
        let avoids_zone = |e: &Endpoint| e.zone != self.settings.zone && self.zone_draw < stay_chance;
        let free_connections = endpoints().filter(|(_, e)| has_free_connection(e)).count();
        let may_add_connection =
            calls_per_idle_time >= MIN_CALLS_PER_CONNECTION * (1 + free_connections) as f64;
        recheck.on_free_slot = too_many_doubtful;
        for (id, endpoint) in listed {
            let Some(lane) = self.lanes.get(&endpoint.lane) else { continue };
            // A call that may outlast this process is not started, since the call's outcome would be lost.
            // The next process sends the message of a call that is not started.
            if self.stop_at.is_some_and(|at| now + lane.latency.p99_us() as Micros > at) {
                continue;
            }
            let mut available_at = lane.wait_until;
            let endpoint_warm_up = endpoint.warm_up.iter().filter(|_| lane.warm_up.is_none());
            let warm_ups = lane.warm_up.iter().chain(endpoint_warm_up).map(|w| (w.tokens, w.pace));
            for (tokens, pace) in warm_ups.chain([(lane.tokens, lane.pace)]) {
                if tokens < 1.0 {
                    let refill_us = (1.0 - tokens) / pace.max(1e-3) * 1e6;
                    available_at = available_at.max(now + refill_us as Micros + 1);
                }
            }
            let unhealthy = endpoint.unhealthy.as_ref();
            let trial_may_harm = unhealthy.is_some_and(|u| !u.nothing_ran && !u.probed);
            available_at = available_at.max(unhealthy.map_or(0, |u| u.next_trial));
            if unhealthy.is_some_and(|u| u.trial_sent.is_some() || u.probing) {
                continue;
            } else if available_at > now {
                recheck.at = recheck.at.min(available_at);
                continue;
            }
            let lacks_permit = lane.in_flight >= lane.permits && !may_borrow;
            recheck.on_free_slot |= lacks_permit;
            let needs_probe = trial_may_harm && self.settings.probes;
            if at_maximum || too_many_doubtful || lacks_permit || needs_probe {
                continue;
            }
            let surcharge = |applies: bool, price: f64| if applies { 1.0 + price } else { 1.0 };
            let zone_fee = self.settings.zone_fees.get(endpoint.zone).copied().unwrap_or(0.0);
            let trial_factor = match (unhealthy, trial_may_harm) {
                (None, _) => 1.0,
                (_, true) => HARMFUL_TRIAL_COST_FACTOR,
                _ => TRIAL_COST_FACTOR,
            };
            let needs_handshake = !may_add_connection
                && !has_free_connection(endpoint)
                && !endpoint.rotation.wants_connection(now);
            let cost = lane.latency.mean_us()
                * (1.0 + endpoint.in_flight as f64)
                * surcharge(avoids_zone(endpoint), CROSS_ZONE_PRICE_FACTOR * self.settings.cross_zone_price)
                * surcharge(needs_handshake, HANDSHAKE_PRICE_FACTOR * self.settings.handshake_price)
                * surcharge(matches!(endpoint.lane, LaneKey::Route(_)), ZONE_FEE_FACTOR * zone_fee)
                * trial_factor
                * surcharge(endpoint.rotation.is_new(now), NEW_ENDPOINT_SURCHARGE);
            let turn_wait = endpoint.rotation.weighted_wait(now);
            let no_unsafe_until = endpoint.no_unsafe_until();
            if no_unsafe_until > now {
                recheck.at = recheck.at.min(no_unsafe_until);
            }
            let excludes_unsafe = trial_may_harm || no_unsafe_until > now;
            candidates.push(Candidate { endpoint: *id, excludes_unsafe, cost, turn_wait });
        }
        // Among endpoints of equal cost, the one that has waited longest for its turn comes first.
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(b.turn_wait.total_cmp(&a.turn_wait)));
        (candidates, recheck)
    }

    /// Returns whether an endpoint is unhealthy or its lane is slow.
    fn is_doubtful(&self, endpoint: &Endpoint) -> bool {
        endpoint.unhealthy.is_some() || self.lanes.get(&endpoint.lane).is_some_and(|l| l.latency.is_slow())
    }

    fn doubtful_calls(&self) -> u32 {
        let is_doubtful = |c: &&Call| self.endpoints.get(&c.endpoint).is_some_and(|e| self.is_doubtful(e));
        self.calls.values().filter(is_doubtful).count() as u32
    }

    /// Returns whether a message may be sent to an endpoint now.
    fn may_send(&self, id: MsgId, endpoint: EndpointId, excludes_unsafe: bool) -> bool {
        let message = &self.messages[&id];
        let class = self.class_of(message);
        if !self.may_retry(id) || (excludes_unsafe && class.effect == Effect::Unsafe) {
            return false;
        }
        if self.now < self.next_attempt_at(message) {
            return false;
        }
        if let Some(key) = message.key.as_ref().and_then(|k| self.order_keys.get(k))
            && (key.queue.first() != Some(&(message.sequence, id))
                || (message.attempts == 0 && self.now < key.settle_until))
        {
            return false;
        }
        match (class.effect, class.dedup_scope, message.may_have_run) {
            (Effect::Keyed, DedupScope::Endpoint, Some((_, first))) => first == endpoint,
            (Effect::Keyed, DedupScope::Zone, Some((_, first))) => {
                let zone = |e: EndpointId| self.endpoints.get(&e).map(|e| e.zone);
                zone(first).is_some() && zone(first) == zone(endpoint)
            }
            _ => true,
        }
    }

    /// Returns the value (`worth`) that a message would have if delivered `delay_us` microseconds from now.
    fn worth_after(&self, message: &Message, delay_us: f64) -> f64 {
        let class = self.class_of(message);
        let (aim, deadline) = (class.aim.max(1) as f64, class.deadline.max(1) as f64);
        let age = deadline - (message.deadline - self.now) as f64 + delay_us;
        let share = match self.settings.late_decay {
            _ if age <= aim => 1.0,
            _ if age >= deadline => 0.0,
            LateDecay::Linear => 1.0 - (1.0 - class.late_share) * (age - aim) / (deadline - aim).max(1.0),
            LateDecay::Halving => 0.5_f64.powf((age - aim) / aim).max(class.late_share),
        };
        class.worth * share
    }

    /// Returns the message that would be sent to a destination next and the endpoint for the message.
    /// A destination with no message to send is removed from `ready` until the result may change.
    fn choose(&mut self, dest: DestId) -> Option<Choice> {
        self.refresh(dest);
        let (candidates, mut recheck) = self.candidates(dest);
        let pending = self.destinations.get(&dest).map(|d| &d.pending)?;
        // While no message is late, messages are sent oldest first.
        // Once a message is late, messages whose delivery value drops most if they wait longer are sent first.
        // Among messages whose delivery value drops equally if they wait, the oldest message is sent first.
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        if !candidates.is_empty() {
            order.extend(pending.iter().map(|(_, id)| (0.0, *id)));
            let is_late = |id: &MsgId| {
                self.worth_after(&self.messages[id], 0.0) < self.class_of(&self.messages[id]).worth
            };
            if order.iter().any(|(_, id)| is_late(id)) {
                for (rank, id) in &mut order {
                    let present = self.worth_after(&self.messages[id], 0.0);
                    *rank = self.worth_after(&self.messages[id], LATE_HORIZON_US)
                        - (1.0 + PRESENT_WORTH_SHARE) * present;
                }
                order.sort_by(|a, b| a.0.total_cmp(&b.0));
            }
            // Messages restored after a restart that have not been sent yet come before all other messages.
            // Among restored messages, the earliest deadline comes first.
            let untried_deadline = |id: &MsgId| {
                let message = &self.messages[id];
                if message.restored_untried { message.deadline } else { Micros::MAX }
            };
            order.sort_by_key(|(_, id)| untried_deadline(id));
        }
        for (_, id) in &order {
            let message = &self.messages[id];
            let suitable = || candidates.iter().filter(|c| self.may_send(*id, c.endpoint, c.excludes_unsafe));
            let other = suitable().find(|c| message.avoid != Some(c.endpoint));
            if let Some(candidate) = other.or(suitable().next()) {
                let endpoint = candidate.endpoint;
                let mean_us = self.lanes[&self.endpoints[&endpoint].lane].latency.mean_us();
                let rank = if message.restored_untried {
                    f64::MAX
                } else {
                    self.worth_after(message, mean_us) / mean_us
                };
                let excludes_unsafe = candidate.excludes_unsafe;
                return Some(Choice { rank, id: *id, endpoint, excludes_unsafe });
            }
            let key = message.key.as_ref().and_then(|k| self.order_keys.get(k));
            let settle_until = key.map_or(0, |k| k.settle_until);
            let sendable_at = [settle_until, self.next_attempt_at(message)];
            for at in sendable_at.into_iter().filter(|at| *at > self.now) {
                recheck.at = recheck.at.min(at);
            }
        }
        if !recheck.on_free_slot {
            self.ready.remove(&dest);
        }
        let (destination, now) = (self.destinations.get_mut(&dest)?, self.now);
        let is_sooner = destination.next_check <= now || recheck.at < destination.next_check;
        if recheck.at < Micros::MAX && !destination.pending.is_empty() && is_sooner {
            self.schedule.remove(&(destination.next_check, Check::Destination(dest)));
            destination.next_check = recheck.at;
            self.schedule.insert((recheck.at, Check::Destination(dest)));
        }
        None
    }

    /// Sends messages in order of rank, highest first, while slots are free.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut choices: BTreeMap<DestId, Choice> = BTreeMap::new();
        for dest in self.ready.clone() {
            if self.destinations.get(&dest).is_none_or(|d| d.pending.is_empty()) {
                self.ready.remove(&dest);
                continue;
            }
            self.send_probes(dest, out);
            if let Some(choice) = self.choose(dest) {
                choices.insert(dest, choice);
            }
        }
        while self.slots_used < self.settings.slots {
            let best = choices.iter().rev().max_by(|a, b| a.1.rank.total_cmp(&b.1.rank));
            let Some((dest, choice)) = best.map(|(d, c)| (*d, *c)) else { break };
            // Sending a message never gives another destination more choices.
            // So only the destination of the best choice is checked again, before and after its message is sent.
            let current = self.choose(dest);
            if current == Some(choice) {
                self.send(choice, out);
            }
            match if current == Some(choice) { self.choose(dest) } else { current } {
                Some(next) => choices.insert(dest, next),
                None => choices.remove(&dest),
            };
        }
    }

    /// Closes idle connections to endpoints of kinds whose connections are scarce.
    /// Guards against idle connections that keep other senders out of an endpoint with few connections.
    /// An immediately refused connection makes connections to the endpoint's kind count as scarce for a time.
    /// While connections are scarce, closing idle connections costs a handshake for each call.
    /// Refused connections while a whole lane was down do not make connections scarce.
    fn close_idle_connections(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.maybe_idle) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let Some(destination) = self.destinations.get(&endpoint.dest) else { continue };
            let Some(lane) = self.lanes.get(&endpoint.lane) else { continue };
            let calls_per_s = destination.traffic.per_second(self.now);
            let utilization = calls_per_s * lane.latency.mean_us() / 1e6 / destination.endpoints.len() as f64;
            let senders = self.settings.senders as f64;
            let min_utilization = MIN_KEPT_UTILIZATION * (1.0 - MIN_TABLE_CONNECTIONS / senders);
            let rarely_used = endpoint.in_flight == 0 && utilization < min_utilization;
            let kind = endpoint.kind;
            let mut refused = self.connections_refused.iter().filter(|((k, _), _)| *k == kind);
            let scarce = rarely_used && refused.any(|(_, t)| self.now - t <= CONNECTIONS_SCARCE_US);
            if endpoint.connection_refused_at == Some(self.now) || scarce {
                endpoint.connections = endpoint.in_flight;
                out.push(Action::CloseIdle { endpoint: id });
            }
        }
    }

    /// Sends one call with the chosen message.
    /// Where the kind batches, other pending messages may share the call.
    /// The call lasts for the usual timeout or the shortest time left of its messages, whichever is longer.
    /// An answer that arrives after a message of the batch has reached its outcome may be valid for no message.
    /// The answer is valid for no message if the message with its outcome is the first in the batch.
    /// So the message with the most time left comes first.
    fn send(&mut self, choice: Choice, out: &mut Vec<Action>) {
        let (now, Choice { id, endpoint: endpoint_id, excludes_unsafe, .. }) = (self.now, choice);
        let endpoint = &self.endpoints[&endpoint_id];
        let (dest, kind, is_trial) = (endpoint.dest, endpoint.kind, endpoint.unhealthy.is_some());
        let max_batch = if is_trial { 1 } else { self.settings.max_batch(kind) as usize };
        let others = self.destinations[&dest].pending.iter().map(|(_, other)| *other);
        let others =
            others.filter(|other| *other != id && self.may_send(*other, endpoint_id, excludes_unsafe));
        let Some(lane) = self.lanes.get(&endpoint.lane) else { return };
        let usual_timeout = (TIMEOUT_P99_FACTOR * lane.latency.p99_us()).max(MIN_TIMEOUT_US) as Micros;
        let time_left = |id: &MsgId| self.messages[id].deadline - now;
        let mut batch: Vec<MsgId> = [id].into_iter().chain(others).take(max_batch).collect();
        batch.sort_by_key(|id| std::cmp::Reverse(time_left(id)));
        let longest_timeout = batch.last().map_or(0, time_left).max(usual_timeout);
        let repeatable = batch.iter().all(|id| self.is_repeatable(&self.messages[id]));
        self.sequence += 1;
        let (call_number, open_attempts) = (self.sequence, batch.len() as u32);
        self.slots_used += 1;
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { return };
        if now - endpoint.last_used >= self.settings.idle_close && endpoint.in_flight == 0 {
            endpoint.connections = 0;
        }
        let may_reuse = self.settings.reuses_connections && !is_trial;
        let reuses_connection = may_reuse && endpoint.in_flight < endpoint.connections;
        let connection_idle = if reuses_connection { now - endpoint.last_used } else { 0 };
        let call = Call {
            endpoint: endpoint_id,
            sent: now,
            open_attempts,
            is_trial,
            connection_idle,
            repeatable,
            ..Call::default()
        };
        self.calls.insert(call_number, call);
        endpoint.in_flight += 1;
        endpoint.last_used = now;
        endpoint.rotation.take_turn(now);
        let needed_connections = endpoint.in_flight.div_ceil(self.settings.streams_per_conn.max(1));
        endpoint.connections = endpoint.connections.max(needed_connections);
        if let Some(unhealthy) = &mut endpoint.unhealthy {
            unhealthy.trial_sent = Some(now);
        }
        for warm_up in endpoint.warm_up.iter_mut().chain(&mut lane.warm_up) {
            warm_up.tokens -= 1.0 + WARM_UP_BATCH_WEIGHT * (batch.len() - 1) as f64;
        }
        lane.in_flight += 1;
        lane.tokens -= 1.0;
        let stalls_at = now + lane.latency.stall_threshold_us() as Micros + 1;
        self.schedule.insert((stalls_at, Check::Call(call_number)));
        for id in batch {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let class = self.settings.classes.get(message.class).cloned().unwrap_or_default();
            let timeout = match class.effect {
                Effect::Safe => usual_timeout,
                Effect::Keyed => usual_timeout.min((class.window as f64 * WINDOW_ATTEMPT_SHARE) as Micros),
                Effect::Unsafe => longest_timeout,
            };
            let timeout = timeout.min(longest_timeout).clamp(1, (message.deadline - now).max(1));
            message.in_flight.push(Attempt { number: message.attempts, call: call_number, sent: now });
            message.attempts += 1;
            if let Some(destination) = self.destinations.get_mut(&dest) {
                destination.pending.remove(&(message.sequence, id));
            }
            out.push(Action::Send { call: call_number, id, endpoint: endpoint_id, timeout });
        }
    }

    /// Refuses pending messages while too many messages are open, starting with those of the least delivery value.
    fn shed_excess(&mut self, out: &mut Vec<Action>) {
        let room = ((self.settings.max_open as f64 * FREE_ROOM_SHARE).ceil() as usize).max(1);
        let max_open = (self.settings.max_open as usize).saturating_sub(room).max(1);
        if self.open_messages <= max_open {
            return;
        }
        let pending = self.destinations.values().flat_map(|d| &d.pending);
        let pending = pending.map(|(_, id)| (*id, &self.messages[id]));
        let sheddable = pending.filter(|(_, message)| self.may_refuse(message) && !message.restored_untried);
        let mut sheddable: Vec<(f64, MsgId)> =
            sheddable.map(|(id, message)| (self.worth_after(message, 0.0), id)).collect();
        sheddable.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, id) in sheddable.into_iter().take(self.open_messages - max_open) {
            self.finish(id, out);
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let Some(at) = self.schedule.first().map(|(at, _)| (*at).max(self.now + 1)) else { return };
        if self.timer_at <= self.now || at < self.timer_at {
            self.timer_at = at;
            out.push(Action::Timer { at, token: 0 });
        }
    }
}

impl Endpoint {
    /// Returns the share of the endpoint's calls that failed and may have taken effect, decayed to `now`.
    fn ambiguous_share(&self, now: Micros) -> f64 {
        self.ambiguous_share * (-((now - self.ambiguous_share_at) as f64) / AMBIGUOUS_MEMORY_US).exp()
    }
    /// Returns the time until which the endpoint gets no unsafe messages.
    /// Guards against losing unsafe messages one by one at an endpoint that fails part of its calls.
    /// Such an endpoint answers the other calls, and looks healthy after each success.
    /// Repeatable messages test the endpoint while it gets no unsafe messages.
    fn no_unsafe_until(&self) -> Micros {
        let decay_us = (self.ambiguous_share / MAX_AMBIGUOUS_SHARE).max(1.0).ln() * AMBIGUOUS_MEMORY_US;
        if decay_us > 0.0 { self.ambiguous_share_at + decay_us as Micros + 1 } else { Micros::MIN }
    }
}

impl Unhealthy {
    fn new(now: Micros, nothing_ran: bool, gap: f64) -> Self {
        let mut unhealthy =
            Unhealthy { backoff: FIRST_TRIAL_BACKOFF_US / 2, nothing_ran, ..Unhealthy::default() };
        unhealthy.back_off(now, gap);
        unhealthy
    }
    /// Records a failed trial or probe and doubles the time until the next trial.
    fn back_off(&mut self, now: Micros, gap: f64) {
        (self.trial_sent, self.probed) = (None, false);
        self.backoff = (self.backoff * 2).min(MAX_TRIAL_BACKOFF_US);
        self.next_trial = now + self.backoff.max(gap as Micros);
    }
    /// Moves a trial that is due during a wait that the receiver asked for to a random time after the wait.
    /// Without the random gap, all senders that received the same end of the wait would send simultaneously.
    fn delay_past(&mut self, wait_until: Micros, gap: f64) {
        if self.next_trial < wait_until {
            self.next_trial = wait_until + gap as Micros;
        }
    }
}
