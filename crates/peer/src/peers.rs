//! The membership protocol without I/O: takes datagrams and the time, returns datagrams and the time of its next call.

use crate::Micros;
use crate::fleet::{Fleet, FleetError, MAX_MEMBERS};
use crate::member::{Member, Status};
use crate::view::{Liveness, PeerView, View};
use bytes::{Buf, BufMut, Bytes};
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Header, NoCustomBroadcast, OwnedNotification, PostcardCodec,
};
use foca::{Identity, State, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// The maximum size of a datagram in bytes, so that it fits into one Ethernet frame with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum number of datagrams that wait to be sent.
/// If more datagrams wait, the oldest are dropped, which the protocol tolerates as it does any lost datagram.
const MAX_SEND_QUEUE: usize = 1024;
/// The interval at which requests to join are sent to members that are not active.
const ANNOUNCE_INTERVAL_US: Micros = 1_000_000;
/// The maximum number of requests to join that are sent in each [`ANNOUNCE_INTERVAL_US`].
const ANNOUNCES_PER_INTERVAL: usize = 3;
/// Minimum number of recently seen members, including this one, with which a majority counts as reachable.
/// In a fleet whose majority is smaller than this constant, the size of the majority is used instead.
/// A member is recently seen if this member received a datagram from it within [`Times::recent_window`].
/// A member receives datagrams from the members that it probes and from those that probe it, at least two a second.
const MIN_RECENT_MEMBERS: usize = 6;
/// A process that must refute reports of its own death this often within [`Times::recent_window`] is displaced.
/// A displaced process is one in whose place the fleet has accepted another process of the same name.
const DISPLACING_REFUTATIONS: usize = 3;
/// The factor by which each member repeats updates more often than the library's default, to tolerate one-way cuts.
const GOSSIP_FACTOR: u8 = 3;

/// The times of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The interval at which each member probes another member, in microseconds.
    pub probe_interval: Micros,
    /// The time within which a probe must be answered, in microseconds; less than half of `probe_interval`.
    pub probe_timeout: Micros,
    /// The maximum gap between two calls of [`Peers`], in microseconds.
    /// A longer gap between the calls means that this process was suspended.
    pub max_pause: Micros,
    /// The time for which a received datagram counts as recent, in microseconds.
    pub recent_window: Micros,
}

impl Times {
    /// Returns the default times for a probe interval in microseconds.
    pub fn for_probe_interval(probe_interval: Micros) -> Self {
        Times {
            probe_interval,
            probe_timeout: probe_interval * 2 / 5,
            max_pause: probe_interval * 2,
            recent_window: probe_interval * 8,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Times::for_probe_interval(1_000_000)
    }
}

/// State shared with the codec, because only the codec sees the sender of a datagram and the members that it names.
struct Admission {
    /// The sender of the datagram being decoded.
    source: Option<String>,
    fleet: Rc<Fleet>,
    /// Received names that the member list of this process does not contain. Another member may have a newer list.
    unlisted: BTreeSet<String>,
}

impl Admission {
    /// Returns whether a received record is accepted. It rejects unlisted names beyond a total of [`MAX_MEMBERS`].
    fn admits(&mut self, member: &Member) -> bool {
        if !member.is_valid() {
            return false;
        }
        if self.fleet.contains(&member.name) || self.unlisted.contains(&member.name) {
            return true;
        }
        self.fleet.size() + self.unlisted.len() < MAX_MEMBERS && self.unlisted.insert(member.name.clone())
    }
}

/// The postcard codec, extended by a check of each received record.
#[derive(Clone)]
struct CheckedCodec(Rc<RefCell<Admission>>);

/// Why a received datagram was dropped.
#[derive(Debug, thiserror::Error)]
enum DecodeError {
    #[error(transparent)]
    Format(#[from] <PostcardCodec as Codec<Member>>::Error),
    #[error("invalid member record, or more than {MAX_MEMBERS} members in total")]
    Record,
}

impl Codec<Member> for CheckedCodec {
    type Error = DecodeError;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, DecodeError> {
        let header: Header<Member> = PostcardCodec.decode_header(buf)?;
        let mut admission = self.0.borrow_mut();
        if !admission.admits(&header.src) {
            return Err(DecodeError::Record);
        }
        admission.source = Some(header.src.name.clone());
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, DecodeError> {
        let member: foca::Member<Member> = PostcardCodec.decode_member(buf)?;
        if self.0.borrow_mut().admits(member.id()) { Ok(member) } else { Err(DecodeError::Record) }
    }
}

/// The membership state of one process: its knowledge of the fleet's other members.
pub struct Peers {
    foca: Foca<Member, CheckedCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    admission: Rc<RefCell<Admission>>,
    fleet: Rc<Fleet>,
    times: Times,
    /// How long failure detection takes to find the members that went down while this process was suspended.
    settle_time: Micros,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timer_sequence: u64,
    send_queue: VecDeque<(SocketAddr, Bytes)>,
    /// The time at which the last datagram from each member was received.
    last_received: BTreeMap<String, Micros>,
    /// For each name, the last record that a record of another incarnation has replaced.
    replaced: BTreeMap<String, Member>,
    suspected_since: BTreeMap<String, Micros>,
    /// The addresses of two processes that use the same name, by that name.
    duplicates: BTreeMap<String, (SocketAddr, SocketAddr)>,
    /// The times at which this process refuted a report of its own death.
    refutations: VecDeque<Micros>,
    displaced: bool,
    dropped: u64,
    /// The time of the last call of [`Peers::receive`] or [`Peers::tick`].
    last_call: Micros,
    stale_until: Micros,
    announce_at: Micros,
    /// A counter of requests to join. It selects, in rotation, the inactive member that each request is sent to.
    announce_cursor: usize,
}

impl Peers {
    /// Creates the state of a process that has just started and knows no other member.
    /// The number `seed` determines the random choice of members to probe and to send gossip to.
    ///
    /// # Errors
    /// Returns an error when the name of `own_record` is not on the agreed member list.
    pub fn new(
        own_record: Member,
        fleet: Fleet,
        times: Times,
        seed: u64,
        now: Micros,
    ) -> Result<Peers, FleetError> {
        fleet.require(&own_record.name)?;
        let fleet = Rc::new(fleet);
        let admission = Admission { source: None, fleet: fleet.clone(), unlisted: BTreeSet::new() };
        let admission = Rc::new(RefCell::new(admission));
        let config = config(&fleet, times);
        let settle_time = micros(config.suspect_to_down_after) + 2 * times.probe_interval;
        let foca =
            Foca::new(own_record, config, SmallRng::seed_from_u64(seed), CheckedCodec(admission.clone()));
        let announce_cursor = seed as usize % fleet.size().max(1);
        Ok(Peers {
            foca,
            runtime: AccumulatingRuntime::new(),
            admission,
            fleet,
            times,
            settle_time,
            timers: BTreeMap::new(),
            timer_sequence: 0,
            send_queue: VecDeque::new(),
            last_received: BTreeMap::new(),
            replaced: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
            duplicates: BTreeMap::new(),
            refutations: VecDeque::new(),
            displaced: false,
            dropped: 0,
            last_call: now,
            stale_until: now,
            announce_at: now,
            announce_cursor,
        })
    }

    /// Replaces the fleet's agreed member list.
    ///
    /// # Errors
    /// Returns an error when more than one member is added or removed, or this member is not on the new list.
    /// After an error the old member list stays in force.
    pub fn set_fleet(&mut self, fleet: Fleet) -> Result<(), FleetError> {
        self.fleet.check_change(&fleet, &self.foca.identity().name)?;
        // The new list differs by at most one member, so the library's settings hardly change: a failure is harmless.
        _ = self.foca.set_config(config(&fleet, self.times));
        self.last_received.retain(|name, _| fleet.contains(name));
        self.fleet = Rc::new(fleet);
        // Clears the names recorded as unlisted, because the new list may contain some of them.
        *self.admission.borrow_mut() =
            Admission { source: None, fleet: self.fleet.clone(), unlisted: BTreeSet::new() };
        Ok(())
    }

    /// Changes the status of this process and publishes it to the other members.
    pub fn set_status(&mut self, now: Micros, status: Status) {
        let own_record = self.foca.identity();
        if own_record.status == status {
            return;
        }
        if let Some(next) = own_record.renew() {
            _ = self.foca.change_identity(Member { status, ..next }, &mut self.runtime);
        }
        self.drain_runtime(now);
    }

    /// Processes a datagram received from another process, or counts it as dropped.
    pub fn receive(&mut self, now: Micros, data: &[u8]) {
        self.check_for_pause(now);
        if self.displaced {
            return;
        }
        self.admission.borrow_mut().source = None;
        // The library leaves its state unchanged when it returns an error.
        if data.len() > MAX_DATAGRAM_BYTES || self.foca.handle_data(data, &mut self.runtime).is_err() {
            self.dropped += 1;
        } else {
            let source = self.admission.borrow_mut().source.take();
            let listed = source.filter(|name| self.fleet.contains(name));
            self.last_received.extend(listed.map(|name| (name, now)));
        }
        self.drain_runtime(now);
    }

    /// Performs all work of the membership protocol that is due.
    /// `tick` must be called no later than the time that [`Peers::next_tick`] returns.
    pub fn tick(&mut self, now: Micros) {
        self.check_for_pause(now);
        if self.displaced {
            return;
        }
        while let Some(due) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            let timer = due.remove();
            // The library fails only if there is no member left to probe, or for a timer of an earlier identity.
            _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now);
        }
        if now >= self.announce_at {
            self.announce_at = now + ANNOUNCE_INTERVAL_US;
            self.renew_stuck_suspicions(now);
            self.announce_to_missing();
            self.drain_runtime(now);
        }
    }

    /// Returns the time by which [`Peers::tick`] must be called next.
    /// The calls of [`Peers::tick`] are frequent enough to distinguish a suspended process from an idle one.
    pub fn next_tick(&self) -> Micros {
        let pause_check = self.last_call + self.times.max_pause / 2;
        // A displaced process has no other work than to detect a suspension.
        if self.displaced {
            return pause_check;
        }
        let timer = self.timers.keys().next().map_or(Micros::MAX, |t| t.0);
        timer.min(self.announce_at).min(pause_check)
    }

    /// Removes and returns the next datagram to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.send_queue.pop_front()
    }

    /// Returns the record that this process publishes about itself.
    pub fn own_record(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns the current view of the fleet.
    pub fn view(&self, now: Micros) -> View {
        let states: BTreeMap<&str, (&Member, State)> =
            self.foca.iter_membership_state().map(|m| (m.id().name.as_str(), (m.id(), m.state()))).collect();
        let own_name = &self.foca.identity().name;
        let listed = self.fleet.members().filter(|(name, _)| name != own_name);
        let others: Vec<PeerView> = listed
            .map(|(name, _)| {
                let known = states.get(name);
                let liveness = match known.map(|(_, state)| *state) {
                    Some(State::Alive) => Liveness::Alive,
                    Some(State::Suspect) => Liveness::Suspected,
                    Some(State::Down) => Liveness::Down,
                    // The library `foca` forgets members some time after they went down.
                    None if self.last_received.contains_key(name) => Liveness::Down,
                    None => Liveness::Unknown,
                };
                PeerView {
                    name: name.to_string(),
                    liveness,
                    record: known.map(|(record, _)| (*record).clone()),
                    silent_for: self.last_received.get(name).map(|at| now - at),
                    duplicate: self.duplicates.get(name).copied(),
                }
            })
            .collect();
        let stale = now < self.stale_until || now - self.last_call > self.times.max_pause;
        let active =
            others.iter().filter(|p| matches!(p.liveness, Liveness::Alive | Liveness::Suspected)).count();
        let is_recent = |p: &&PeerView| p.silent_for.is_some_and(|span| span <= self.times.recent_window);
        let recent = others.iter().filter(is_recent).count();
        let majority = self.fleet.majority();
        let majority = active + 1 >= majority
            && recent + 1 >= majority.min(MIN_RECENT_MEMBERS)
            && !stale
            && !self.displaced;
        View { others, majority, stale, displaced: self.displaced, dropped: self.dropped }
    }

    /// Detects by the clock whether this process was suspended. If so, postpones pending timers by the gap.
    /// Otherwise members could be declared down because this suspended process did not read their datagrams.
    fn check_for_pause(&mut self, now: Micros) {
        let gap = now - self.last_call;
        self.last_call = now;
        if gap <= self.times.max_pause {
            return;
        }
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|((at, timer_sequence), timer)| ((at + gap, timer_sequence), timer))
            .collect();
        (self.stale_until, self.announce_at) = (now + self.settle_time, now);
    }

    /// Ends suspicions that would otherwise last forever. Only the member that raised a suspicion has a timer for it.
    /// A suspicion that arrives late, for example from a process that was stopped, has an outdated incarnation number.
    /// The suspect does not refute a suspicion with an outdated incarnation number.
    /// If datagrams from the suspect arrived meanwhile, the suspicion is renewed with a higher incarnation number.
    /// The suspect then refutes the renewed suspicion. Without such datagrams, the suspect is declared down.
    fn renew_stuck_suspicions(&mut self, now: Micros) {
        let suspects: Vec<foca::Member<Member>> =
            self.foca.iter_members().filter(|m| m.state() == State::Suspect).cloned().collect();
        self.suspected_since.retain(|name, _| suspects.iter().any(|m| m.id().name == *name));
        for member in suspects {
            let since = *self.suspected_since.entry(member.id().name.clone()).or_insert(now);
            if now - since < self.settle_time {
                continue;
            }
            self.suspected_since.insert(member.id().name.clone(), now);
            let received_since = self.last_received.get(&member.id().name).is_some_and(|at| *at >= since);
            let state = if received_since { State::Suspect } else { State::Down };
            let update =
                foca::Member::new(member.id().clone(), member.incarnation().saturating_add(1), state);
            _ = self.foca.apply_many([update].into_iter(), true, &mut self.runtime);
        }
    }

    /// Sends requests to join to members of the agreed list that are not active, a few at a time in rotation.
    fn announce_to_missing(&mut self) {
        let active: BTreeSet<&str> = self.foca.iter_members().map(|m| m.id().name.as_str()).collect();
        let own_record = self.foca.identity();
        let missing: Vec<Member> = (self.fleet.members())
            .filter(|(name, _)| *name != own_record.name && !active.contains(name))
            // A request to join is addressed by name, so the incarnation and the revision in the record do not matter.
            .map(|(name, address)| Member {
                name: name.into(),
                incarnation: 1,
                revision: 0,
                address,
                ..own_record.clone()
            })
            .collect();
        for _ in 0..ANNOUNCES_PER_INTERVAL.min(missing.len()) {
            self.announce_cursor = self.announce_cursor.wrapping_add(1);
            _ = self.foca.announce(missing[self.announce_cursor % missing.len()].clone(), &mut self.runtime);
        }
    }

    /// Collects the datagrams, timers and notifications that the library has produced.
    fn drain_runtime(&mut self, now: Micros) {
        while let Some((to, data)) = self.runtime.to_send() {
            if self.displaced {
                continue;
            }
            if self.send_queue.len() >= MAX_SEND_QUEUE {
                self.send_queue.pop_front();
            }
            self.send_queue.push_back((to.address, data));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_sequence += 1;
            self.timers.insert((now + micros(after), self.timer_sequence), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::Rename(before, after) => self.note_replacement(before, after),
                OwnedNotification::Defunct => self.displaced = true,
                OwnedNotification::Rejoin(_) => {
                    self.refutations.retain(|at| now - at <= self.times.recent_window);
                    self.refutations.push_back(now);
                    self.displaced |= self.refutations.len() >= DISPLACING_REFUTATIONS;
                }
                _ => {}
            }
        }
    }

    /// Records that one record of a name has replaced another. After a restart the old record never returns.
    /// If the old record does return, two processes use the same name at the same time.
    fn note_replacement(&mut self, before: Member, after: Member) {
        if before.same_incarnation(&after) {
            return;
        }
        let returned = self.replaced.get(&after.name).is_some_and(|old| old.same_incarnation(&after));
        if returned {
            self.duplicates.insert(after.name.clone(), (before.address, after.address));
        }
        self.replaced.insert(after.name.clone(), before);
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

fn config(fleet: &Fleet, times: Times) -> Config {
    let span = |t: Micros| Duration::from_micros(t.max(1) as u64);
    let size = NonZeroU32::new(fleet.size() as u32).unwrap_or(NonZeroU32::MIN);
    let lan = Config::new_lan(size);
    let factor = times.probe_interval as f64 / micros(lan.probe_period) as f64;
    Config {
        probe_period: span(times.probe_interval),
        probe_rtt: span(times.probe_timeout),
        suspect_to_down_after: lan.suspect_to_down_after.mul_f64(factor),
        max_transmissions: lan
            .max_transmissions
            .saturating_mul(NonZeroU8::MIN.saturating_add(GOSSIP_FACTOR - 1)),
        max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(NonZeroUsize::MIN),
        // `announce_to_missing` sends requests to join instead, based on the agreed list.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        ..lan
    }
}
