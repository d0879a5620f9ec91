//! The deciding half: datagrams and time in, datagrams and the next time out.

use crate::Micros;
use crate::fleet::{Fleet, FleetError, MEMBERS_MOST};
use crate::member::{Member, Standing};
use crate::view::{Known, Sight, View};
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

/// Bytes of a datagram at most: what passes an Ethernet whole, with room for headers.
pub const DATAGRAM_MOST: usize = 1400;
/// Datagrams that wait to be sent at most; the oldest give way, as any datagram may be lost.
const OUT_MOST: usize = 1024;
/// Members that are not in sight are asked for anew this often, so many at a time.
const SEEK_EVERY: Micros = 1_000_000;
const SEEK: usize = 3;
/// A member hears those it probes and those that probe it, two a second and more: so many within [`Times::near`], itself
/// included, or too few are there.
const NEAR: usize = 6;
/// One that has to refute its death so often within [`Times::near`] is not believed: another bears its name.
const REFUTED: usize = 3;
/// News is passed on by each member so many times as often as a fleet without one-way cuts needs.
const PASSED_ON: u8 = 3;

/// The times of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Each member probes one other this often, in microseconds.
    pub probe: Micros,
    /// A probe has to be answered within this; it is less than half of `probe`.
    pub answer: Micros,
    /// A gap between two looks at the clock longer than this is an absence.
    pub away: Micros,
    /// Others were heard of lately if it was within this.
    pub near: Micros,
}

impl Times {
    /// What suits members that probe so often, in microseconds.
    pub fn of(probe: Micros) -> Self {
        Times { probe, answer: probe * 2 / 5, away: probe * 2, near: probe * 8 }
    }
}

impl Default for Times {
    fn default() -> Self {
        Times::of(1_000_000)
    }
}

/// What the codec and the rest share: the codec alone sees who a datagram is from and whom it names.
struct Desk {
    from: Option<String>,
    fleet: Rc<Fleet>,
    /// Names that are not on the list but were told of: a list may be older than another's.
    strangers: BTreeSet<String>,
}

impl Desk {
    fn admits(&mut self, member: &Member) -> bool {
        if !member.is_sound() {
            return false;
        }
        if self.fleet.lists(&member.name) || self.strangers.contains(&member.name) {
            return true;
        }
        self.fleet.size() + self.strangers.len() < MEMBERS_MOST && self.strangers.insert(member.name.clone())
    }
}

#[derive(Clone)]
struct Checked(Rc<RefCell<Desk>>);

/// Why a datagram was dropped.
#[derive(Debug, thiserror::Error)]
enum Unsound {
    #[error(transparent)]
    Format(#[from] <PostcardCodec as Codec<Member>>::Error),
    #[error("a record that can't be, or of one member too many")]
    Record,
}

impl Codec<Member> for Checked {
    type Error = Unsound;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), Unsound> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, Unsound> {
        let header: Header<Member> = PostcardCodec.decode_header(buf)?;
        let mut desk = self.0.borrow_mut();
        if !desk.admits(&header.src) {
            return Err(Unsound::Record);
        }
        desk.from = Some(header.src.name.clone());
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), Unsound> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, Unsound> {
        let member: foca::Member<Member> = PostcardCodec.decode_member(buf)?;
        if self.0.borrow_mut().admits(member.id()) { Ok(member) } else { Err(Unsound::Record) }
    }
}

/// One process's knowledge of its fleet.
pub struct Peers {
    foca: Foca<Member, Checked, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    desk: Rc<RefCell<Desk>>,
    fleet: Rc<Fleet>,
    times: Times,
    /// After an absence, how long it takes until what has gone meanwhile is found out.
    settle: Micros,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    seq: u64,
    out: VecDeque<(SocketAddr, Bytes)>,
    heard: BTreeMap<String, Micros>,
    /// By name, the record that gave way last.
    former: BTreeMap<String, Member>,
    /// Since when each is suspected.
    suspected: BTreeMap<String, Micros>,
    doubled: BTreeMap<String, (SocketAddr, SocketAddr)>,
    refuted: VecDeque<Micros>,
    displaced: bool,
    dropped: u64,
    looked: Micros,
    away_until: Micros,
    seek_at: Micros,
    sought: usize,
}

impl Peers {
    /// A process that begins, knowing nobody. `seed` decides whom it probes and gossips to.
    ///
    /// # Errors
    /// When its name is not on the agreed list.
    pub fn new(me: Member, fleet: Fleet, times: Times, seed: u64, now: Micros) -> Result<Peers, FleetError> {
        fleet.holds(&me.name)?;
        let fleet = Rc::new(fleet);
        let desk = Desk { from: None, fleet: fleet.clone(), strangers: BTreeSet::new() };
        let desk = Rc::new(RefCell::new(desk));
        let config = config(&fleet, times);
        let settle = micros(config.suspect_to_down_after) + 2 * times.probe;
        let foca = Foca::new(me, config, SmallRng::seed_from_u64(seed), Checked(desk.clone()));
        let sought = seed as usize % fleet.size().max(1);
        Ok(Peers {
            foca,
            runtime: AccumulatingRuntime::new(),
            desk,
            fleet,
            times,
            settle,
            timers: BTreeMap::new(),
            seq: 0,
            out: VecDeque::new(),
            heard: BTreeMap::new(),
            former: BTreeMap::new(),
            suspected: BTreeMap::new(),
            doubled: BTreeMap::new(),
            refuted: VecDeque::new(),
            displaced: false,
            dropped: 0,
            looked: now,
            away_until: now,
            seek_at: now,
            sought,
        })
    }

    /// Takes over another agreed list.
    ///
    /// # Errors
    /// When more than one member came or went, or this one is not on it; nothing changes then.
    pub fn agree(&mut self, fleet: Fleet) -> Result<(), FleetError> {
        self.fleet.change(&fleet, &self.foca.identity().name)?;
        // Of a list that has shrunk or grown by one the times are the same but for a part in many.
        _ = self.foca.set_config(config(&fleet, self.times));
        self.heard.retain(|name, _| fleet.lists(name));
        self.fleet = Rc::new(fleet);
        // Who was a stranger by the list before may be none now, and the other way round.
        *self.desk.borrow_mut() = Desk { from: None, fleet: self.fleet.clone(), strangers: BTreeSet::new() };
        Ok(())
    }

    /// This process now stands otherwise, and tells the others.
    pub fn stand(&mut self, now: Micros, standing: Standing) {
        let me = self.foca.identity();
        if me.standing == standing {
            return;
        }
        if let Some(next) = me.renew() {
            _ = self.foca.change_identity(Member { standing, ..next }, &mut self.runtime);
        }
        self.drain(now);
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, data: &[u8]) {
        self.look(now);
        if self.displaced {
            return;
        }
        self.desk.borrow_mut().from = None;
        // The library's state is as before where it gives an error.
        if data.len() > DATAGRAM_MOST || self.foca.handle_data(data, &mut self.runtime).is_err() {
            self.dropped += 1;
        } else {
            let from = self.desk.borrow_mut().from.take();
            let listed = from.filter(|name| self.fleet.lists(name));
            self.heard.extend(listed.map(|name| (name, now)));
        }
        self.drain(now);
    }

    /// Time has passed. To be called at [`Peers::next`] at the latest.
    pub fn tick(&mut self, now: Micros) {
        self.look(now);
        if self.displaced {
            return;
        }
        while let Some(due) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            let timer = due.remove();
            // It fails only for one that has no members left to probe, and for timers of an earlier identity.
            _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain(now);
        }
        if now >= self.seek_at {
            self.seek_at = now + SEEK_EVERY;
            self.press(now);
            self.seek();
            self.drain(now);
        }
    }

    /// When to call [`Peers::tick`] next; never later than an absence could be told from idleness.
    pub fn next(&self) -> Micros {
        let look = self.looked + self.times.away / 2;
        // A displaced one has nothing more to do than to know the time.
        if self.displaced {
            return look;
        }
        let timer = self.timers.keys().next().map_or(Micros::MAX, |t| t.0);
        timer.min(self.seek_at).min(look)
    }

    /// A datagram to send, if any waits.
    pub fn send(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.out.pop_front()
    }

    /// What it tells of itself.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// What is known now.
    pub fn view(&self, now: Micros) -> View {
        let states: BTreeMap<&str, (&Member, State)> =
            self.foca.iter_membership_state().map(|m| (m.id().name.as_str(), (m.id(), m.state()))).collect();
        let me = &self.foca.identity().name;
        let listed = self.fleet.members().filter(|(name, _)| name != me);
        let others: Vec<Known> = listed
            .map(|(name, _)| {
                let held = states.get(name);
                let sight = match held.map(|h| h.1) {
                    Some(State::Alive) => Sight::Living,
                    Some(State::Suspect) => Sight::Suspected,
                    Some(State::Down) => Sight::Gone,
                    // The library forgets the dead after a while.
                    None if self.heard.contains_key(name) => Sight::Gone,
                    None => Sight::Unheard,
                };
                Known {
                    name: name.to_string(),
                    sight,
                    told: held.map(|h| h.0.clone()),
                    heard: self.heard.get(name).map(|at| now - at),
                    doubled: self.doubled.get(name).copied(),
                }
            })
            .collect();
        let away = now < self.away_until || now - self.looked > self.times.away;
        let there = others.iter().filter(|k| matches!(k.sight, Sight::Living | Sight::Suspected)).count();
        let near = others.iter().filter(|k| k.heard.is_some_and(|ago| ago <= self.times.near)).count();
        let majority = self.fleet.majority();
        let majority = there + 1 >= majority && near + 1 >= majority.min(NEAR) && !away && !self.displaced;
        View { others, majority, away, displaced: self.displaced, dropped: self.dropped }
    }

    /// Notices by its own clock that it was away. What was due meanwhile is due as much later: nobody is held dead
    /// because this process did not listen.
    fn look(&mut self, now: Micros) {
        let gap = now - self.looked;
        self.looked = now;
        if gap <= self.times.away {
            return;
        }
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, seq), timer)| ((at + gap, seq), timer)).collect();
        (self.away_until, self.seek_at) = (now + self.settle, now);
    }

    /// Guards against a suspicion that nobody ends: only whoever began it holds a timer, and what came late, as from one
    /// that was stopped, is no news to the suspect any more. One that was heard of meanwhile is suspected anew, so that it
    /// hears of it and refutes; one that was not is gone.
    fn press(&mut self, now: Micros) {
        let held: Vec<foca::Member<Member>> =
            self.foca.iter_members().filter(|m| m.state() == State::Suspect).cloned().collect();
        self.suspected.retain(|name, _| held.iter().any(|m| m.id().name == *name));
        for member in held {
            let since = *self.suspected.entry(member.id().name.clone()).or_insert(now);
            if now - since < self.settle {
                continue;
            }
            self.suspected.insert(member.id().name.clone(), now);
            let lately = self.heard.get(&member.id().name).is_some_and(|at| *at >= since);
            let state = if lately { State::Suspect } else { State::Down };
            let again = foca::Member::new(member.id().clone(), member.incarnation().saturating_add(1), state);
            _ = self.foca.apply_many([again].into_iter(), true, &mut self.runtime);
        }
    }

    /// Asks for members of the list that are not in sight, in turns.
    fn seek(&mut self) {
        let there: BTreeSet<&str> = self.foca.iter_members().map(|m| m.id().name.as_str()).collect();
        let me = self.foca.identity();
        let missing: Vec<Member> = (self.fleet.members())
            .filter(|(name, _)| *name != me.name && !there.contains(name))
            // Who asks need not know the other's life: a request to join goes by the name.
            .map(|(name, address)| Member { name: name.into(), life: 1, turn: 0, address, ..me.clone() })
            .collect();
        for _ in 0..SEEK.min(missing.len()) {
            self.sought = self.sought.wrapping_add(1);
            _ = self.foca.announce(missing[self.sought % missing.len()].clone(), &mut self.runtime);
        }
    }

    fn drain(&mut self, now: Micros) {
        while let Some((to, data)) = self.runtime.to_send() {
            if self.displaced {
                continue;
            }
            if self.out.len() >= OUT_MOST {
                self.out.pop_front();
            }
            self.out.push_back((to.address, data));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.seq += 1;
            self.timers.insert((now + micros(after), self.seq), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::Rename(before, after) => self.renamed(before, after),
                OwnedNotification::Defunct => self.displaced = true,
                OwnedNotification::Rejoin(_) => {
                    self.refuted.retain(|at| now - at <= self.times.near);
                    self.refuted.push_back(now);
                    self.displaced |= self.refuted.len() >= REFUTED;
                }
                _ => {}
            }
        }
    }

    /// A record gives way to another of its name. After a restart the old one is never heard of again; where it comes
    /// back in its turn, two processes bear the name.
    fn renamed(&mut self, before: Member, after: Member) {
        if before.same_life(&after) {
            return;
        }
        let back = self.former.get(&after.name).is_some_and(|former| former.same_life(&after));
        if back {
            self.doubled.insert(after.name.clone(), (before.address, after.address));
        }
        self.former.insert(after.name.clone(), before);
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

fn config(fleet: &Fleet, times: Times) -> Config {
    let span = |t: Micros| Duration::from_micros(t.max(1) as u64);
    let size = NonZeroU32::new(fleet.size() as u32).unwrap_or(NonZeroU32::MIN);
    let lan = Config::new_lan(size);
    let factor = times.probe as f64 / micros(lan.probe_period) as f64;
    Config {
        probe_period: span(times.probe),
        probe_rtt: span(times.answer),
        suspect_to_down_after: lan.suspect_to_down_after.mul_f64(factor),
        max_transmissions: lan.max_transmissions.saturating_mul(NonZeroU8::MIN.saturating_add(PASSED_ON - 1)),
        max_packet_size: NonZeroUsize::new(DATAGRAM_MOST).unwrap_or(NonZeroUsize::MIN),
        // Members that are missing are asked for by the agreed list.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        ..lan
    }
}
