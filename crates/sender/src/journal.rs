//! What outlasts the process: every message taken on and not yet over, what has been tried with it, the
//! notices still owed, and which endpoints and receivers were failing or refusing calls.
//!
//! An append-only file of records, each `length (u32 LE), CRC-32 of the payload (u32 LE), payload`, the
//! payload a [`Record`] in postcard's form. The same records rebuild the same [`Journal`] at the next start.

use bytes::Bytes;
use embershore_protocol::notice::End;
use heronroute::{ClassSettings, DedupScope, Effect, EndpointHealth, Micros, ReceiverHealth};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const HEADER_BYTES: usize = 8;
/// A record holds one message of 64 KiB at most; anything longer is damage.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Below this size a journal is left as it is.
const MIN_COMPACT_BYTES: u64 = 256 * 1024;
/// Part of the limit that new messages leave free for what becomes of the ones taken on.
const OUTCOME_RESERVE: f64 = 0.1;

/// Bytes that a record of rules takes, at the most.
const MAX_RULES_BYTES: u64 = 96;
/// Endpoints that are remembered as draining or gone.
const MAX_NOT_READY: usize = 500;

/// A message as it was handed in. Times are wall-clock microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    pub request_id: String,
    pub class: String,
    pub order_key: String,
    pub idempotency_key: Option<String>,
    pub dest: i64,
    pub deadline: Micros,
    pub body: Bytes,
}

/// A class's rules under which messages were taken on, in a form that does not change with the module's types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    aim: Micros,
    deadline: Micros,
    /// 0 free, 1 guarded, 2 single-shot.
    effect: u8,
    /// 0 all endpoints, 1 a zone's, 2 one.
    group: u8,
    window: Micros,
    ordered: bool,
    worth: f64,
    late_share: f64,
    attempts: Option<u32>,
}

impl From<&ClassSettings> for Rules {
    fn from(class: &ClassSettings) -> Self {
        let effect = match class.effect {
            Effect::Safe => 0,
            Effect::Keyed => 1,
            Effect::Unsafe => 2,
        };
        let group = match class.dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => 1,
            DedupScope::Endpoint => 2,
        };
        let ClassSettings {
            aim, deadline, window, ordered, worth, late_share, max_attempts: attempts, ..
        } = *class;
        Rules { aim, deadline, effect, group, window, ordered, worth, late_share, attempts }
    }
}

impl From<&Rules> for ClassSettings {
    fn from(rules: &Rules) -> Self {
        let Rules { aim, deadline, window, ordered, worth, late_share, attempts, .. } = *rules;
        let effect = match rules.effect {
            0 => Effect::Safe,
            1 => Effect::Keyed,
            // What a later version may write is taken for what allows least.
            _ => Effect::Unsafe,
        };
        let group = match rules.group {
            0 => DedupScope::All,
            1 => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        };
        ClassSettings {
            aim,
            deadline,
            effect,
            dedup_scope: group,
            window,
            ordered,
            worth,
            late_share,
            max_attempts: attempts,
        }
    }
}

/// An attempt: to which endpoint and when.
pub type Attempt = (String, Micros);

/// What has become of a message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub attempts: u32,
    /// The attempt with no outcome yet.
    pub in_flight: Option<Attempt>,
    /// The first attempt that may have run.
    pub may_have_run: Option<Attempt>,
    /// Its end, while the platform has not confirmed the notice.
    pub end: Option<End>,
}

impl Progress {
    /// The first attempt that may have run; one that is out may.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.may_have_run.as_ref().or(self.in_flight.as_ref())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EndpointCondition {
    bad_since: Option<Micros>,
    trouble: bool,
    warm_since: Option<Micros>,
}

/// A receiver as a whole: a destination by its number, or an endpoint by its name where routes are apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Receiver {
    Destination(i64),
    Route(i64, String),
}

/// [`ReceiverHealth`] in a form that does not change with the module's types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReceiverCondition {
    bad_since: Option<Micros>,
    down: bool,
    warm_since: Option<Micros>,
    wait_until: Option<Micros>,
    budget: Option<u32>,
    share: Option<u32>,
}

impl From<ReceiverHealth> for ReceiverCondition {
    fn from(health: ReceiverHealth) -> Self {
        let ReceiverHealth {
            failing_since: bad_since,
            down,
            warming_since: warm_since,
            wait_until,
            budget_milli_per_s: budget,
            traffic_milli_per_s: share,
        } = health;
        ReceiverCondition { bad_since, down, warm_since, wait_until, budget, share }
    }
}

impl From<ReceiverCondition> for ReceiverHealth {
    fn from(condition: ReceiverCondition) -> Self {
        let ReceiverCondition { bad_since, down, warm_since, wait_until, budget, share } = condition;
        ReceiverHealth {
            failing_since: bad_since,
            down,
            warming_since: warm_since,
            wait_until,
            budget_milli_per_s: budget,
            traffic_milli_per_s: share,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Message(u64, Accepted, Progress),
    AttemptStarted(Vec<u64>, Attempt),
    AttemptSettled(u64, bool),
    Ended(u64, End),
    NoticesConfirmed(Vec<u64>),
    EndpointHealth(String, Option<EndpointCondition>),
    EndpointListed(String, Option<u64>),
    /// Rules and their number, before the first message under them.
    Rules(u32, Rules),
    /// As `Message`, under the rules of that number.
    MessageUnderRules(u32, u64, Accepted, Progress),
    ReceiverHealth(Receiver, Option<ReceiverCondition>),
    /// From here on receivers are kept: one that has no record was well.
    ReceiversRecorded,
}

#[derive(Debug)]
pub struct Entry {
    pub accepted: Accepted,
    pub progress: Progress,
    /// The number of its rules; none in a journal from before there were any.
    rules: Option<u32>,
    size: u64,
}

/// The journal and the table of messages that it keeps.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    len: u64,
    limit: u64,
    entries: BTreeMap<u64, Entry>,
    health: BTreeMap<String, EndpointCondition>,
    receivers: BTreeMap<Receiver, ReceiverCondition>,
    /// A receiver without a record was well; a journal of an earlier version does not tell.
    receivers_recorded: bool,
    /// Endpoints told to be draining or gone, with the version of the list that told it.
    not_ready: BTreeMap<String, u64>,
    /// Rules by number. Those without messages go when the journal is compacted.
    rules: BTreeMap<u32, Rules>,
    live_bytes: u64,
    next_number: u64,
    /// Another process writes to it.
    closed: bool,
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let mut frame = postcard::to_extend(record, vec![0; HEADER_BYTES]).map_err(io::Error::other)?;
    let payload = &frame[HEADER_BYTES..];
    let (len, sum) = (payload.len() as u32, crc32fast::hash(payload));
    frame[..4].copy_from_slice(&len.to_le_bytes());
    frame[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(frame)
}

/// The first record of `bytes` and its length, unless it is torn or damaged.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes);
    let (len, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(len)?)?;
    if len > MAX_RECORD_BYTES || crc32fast::hash(payload) != sum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER_BYTES + len))
}

impl Journal {
    /// Opens the journal in `folder` and replays it. A torn tail, as a killed process leaves, is cut off.
    pub fn open(folder: &Path, limit: u64) -> io::Result<Journal> {
        let path = folder.join("journal");
        match fs::remove_file(path.with_extension("new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (len, live_bytes, next_number, closed) = (0, 0, 1, false);
        let mut journal = Journal {
            path,
            file,
            len,
            limit,
            entries: BTreeMap::new(),
            health: BTreeMap::new(),
            receivers: BTreeMap::new(),
            receivers_recorded: false,
            not_ready: BTreeMap::new(),
            rules: BTreeMap::new(),
            live_bytes,
            next_number,
            closed,
        };
        let mut at = 0;
        while let Some((record, size)) = decode(&bytes[at..]) {
            at += size;
            journal.apply(record, size as u64);
        }
        if at < bytes.len() {
            eprintln!("journal: cutting off {} bytes that are no whole record", bytes.len() - at);
            journal.file.set_len(at as u64)?;
        }
        journal.len = at as u64;
        Ok(journal)
    }

    fn apply(&mut self, record: Record, size: u64) {
        match record {
            Record::Message(id, accepted, progress) => self.insert(id, accepted, progress, None, size),
            Record::MessageUnderRules(rules, id, accepted, progress) => {
                self.insert(id, accepted, progress, Some(rules), size);
            }
            Record::Rules(number, rules) => _ = self.rules.insert(number, rules),
            Record::AttemptStarted(ids, attempt) => {
                for id in ids {
                    let Some(p) = self.entries.get_mut(&id).map(|e| &mut e.progress) else { continue };
                    p.attempts += 1;
                    p.in_flight = Some(attempt.clone());
                }
            }
            Record::AttemptSettled(id, may_have_run) => {
                if let Some(p) = self.entries.get_mut(&id).map(|e| &mut e.progress) {
                    let in_flight = p.in_flight.take().filter(|_| may_have_run);
                    p.may_have_run = p.may_have_run.take().or(in_flight);
                }
            }
            Record::Ended(id, End::Closed) => self.remove_entry(id),
            Record::Ended(id, end) => {
                if let Some(e) = self.entries.get_mut(&id) {
                    e.progress.end = Some(end);
                    let body = std::mem::take(&mut e.accepted.body).len() as u64;
                    e.size = e.size.saturating_sub(body);
                    self.live_bytes = self.live_bytes.saturating_sub(body);
                }
            }
            Record::NoticesConfirmed(ids) => ids.into_iter().for_each(|id| self.remove_entry(id)),
            Record::EndpointHealth(name, Some(a)) => _ = self.health.insert(name, a),
            Record::EndpointHealth(name, None) => _ = self.health.remove(&name),
            Record::ReceiverHealth(receiver, Some(c)) => _ = self.receivers.insert(receiver, c),
            Record::ReceiverHealth(receiver, None) => _ = self.receivers.remove(&receiver),
            Record::ReceiversRecorded => self.receivers_recorded = true,
            Record::EndpointListed(name, Some(index)) => _ = self.not_ready.insert(name, index),
            Record::EndpointListed(name, None) => _ = self.not_ready.remove(&name),
        }
    }

    fn insert(&mut self, id: u64, accepted: Accepted, progress: Progress, rules: Option<u32>, size: u64) {
        self.next_number = self.next_number.max(id + 1);
        self.remove_entry(id);
        self.live_bytes += size;
        self.entries.insert(id, Entry { accepted, progress, rules, size });
    }

    fn remove_entry(&mut self, id: u64) {
        if let Some(e) = self.entries.remove(&id) {
            self.live_bytes = self.live_bytes.saturating_sub(e.size);
        }
    }

    /// What a compacted journal would take: tries and ailments are small, so a flat allowance will do.
    fn compacted_len(&self) -> u64 {
        let names = self.health.len() + self.not_ready.len() + self.receivers.len() + 1;
        self.live_bytes + 160 * self.entries.len() as u64 + 96 * (names + self.rules.len()) as u64
    }

    /// Guards the disk limit: old and new file together stay under it, whenever the journal is compacted.
    fn append(&mut self, record: Record, reserve: u64) -> io::Result<()> {
        let frame = encode(&record)?;
        self.make_room(frame.len() as u64, reserve)?;
        self.write(frame, record)
    }

    /// Compacts the journal where that is due or needed.
    fn make_room(&mut self, size: u64, reserve: u64) -> io::Result<()> {
        if self.closed {
            return Err(io::Error::other("another process has the journal"));
        }
        let fits = |j: &Journal| j.len + j.compacted_len() + 2 * size + 2048 <= j.limit - reserve;
        if self.len > MIN_COMPACT_BYTES.min(self.limit / 4) && self.len > 2 * self.compacted_len()
            || !fits(self)
        {
            self.compact()?;
        }
        if !fits(self) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        Ok(())
    }

    fn write(&mut self, frame: Vec<u8>, record: Record) -> io::Result<()> {
        let size = frame.len() as u64;
        if let Err(e) = self.file.write_all(&frame) {
            // A record written in part would hide all that follow it.
            self.file.set_len(self.len)?;
            return Err(e);
        }
        self.len += size;
        self.apply(record, size);
        Ok(())
    }

    /// Writes what still matters to a new file and puts it in the old one's place.
    fn compact(&mut self) -> io::Result<()> {
        if self.len + self.compacted_len() > self.limit {
            return Ok(());
        }
        let path = self.path.with_extension("new");
        let mut bytes = Vec::with_capacity(self.compacted_len() as usize);
        let used: BTreeSet<u32> = self.entries.values().filter_map(|e| e.rules).collect();
        for (number, rules) in self.rules.iter().filter(|(number, _)| used.contains(number)) {
            bytes.extend_from_slice(&encode(&Record::Rules(*number, rules.clone()))?);
        }
        for (id, e) in &self.entries {
            let (accepted, progress) = (e.accepted.clone(), e.progress.clone());
            let frame = encode(&match e.rules {
                Some(rules) => Record::MessageUnderRules(rules, *id, accepted, progress),
                None => Record::Message(*id, accepted, progress),
            })?;
            bytes.extend_from_slice(&frame);
        }
        for (name, ailment) in &self.health {
            bytes.extend_from_slice(&encode(&Record::EndpointHealth(name.clone(), Some(*ailment)))?);
        }
        for (receiver, condition) in &self.receivers {
            bytes.extend_from_slice(&encode(&Record::ReceiverHealth(receiver.clone(), Some(*condition)))?);
        }
        if self.receivers_recorded {
            bytes.extend_from_slice(&encode(&Record::ReceiversRecorded)?);
        }
        for (name, index) in &self.not_ready {
            bytes.extend_from_slice(&encode(&Record::EndpointListed(name.clone(), Some(*index)))?);
        }
        if self.len + bytes.len() as u64 > self.limit {
            return Ok(());
        }
        let mut file = OpenOptions::new().append(true).create_new(true).open(&path)?;
        let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, &self.path));
        if let Err(e) = written {
            fs::remove_file(&path)?;
            return Err(e);
        }
        (self.file, self.len) = (file, bytes.len() as u64);
        self.rules.retain(|number, _| used.contains(number));
        Ok(())
    }

    /// Takes a message on under these rules. On an error nothing has been taken on.
    pub fn accept(&mut self, id: u64, accepted: Accepted, class: &ClassSettings) -> io::Result<()> {
        let reserve = (self.limit as f64 * OUTCOME_RESERVE) as u64;
        let rules = Rules::from(class);
        let known = self.rules.iter().find(|(_, r)| **r == rules).map(|(number, _)| *number);
        let number = known.unwrap_or_else(|| self.rules.keys().next_back().map_or(0, |last| last + 1));
        let message = Record::MessageUnderRules(number, id, accepted, Progress::default());
        let frame = encode(&message)?;
        // Room is made first: a compaction drops rules without messages.
        self.make_room(frame.len() as u64 + MAX_RULES_BYTES, reserve)?;
        if !self.rules.contains_key(&number) {
            let rules = Record::Rules(number, rules);
            self.write(encode(&rules)?, rules)?;
        }
        self.write(frame, message)
    }

    /// The rules under which a message was taken on.
    pub fn rules(&self, entry: &Entry) -> Option<ClassSettings> {
        self.rules.get(&entry.rules?).map(ClassSettings::from)
    }

    /// A number that no message in the journal has, nor any that this process has been given.
    pub fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    /// Numbers below this have been given by the process before this one.
    pub fn reserve_numbers_below(&mut self, next: u64) {
        self.next_number = self.next_number.max(next);
    }

    /// The number that comes next.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// While it is another process's, nothing is written.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// A call with these messages is about to be written.
    pub fn record_attempts_started(&mut self, ids: Vec<u64>, endpoint: &str, at: Micros) -> io::Result<()> {
        self.append(Record::AttemptStarted(ids, (endpoint.to_string(), at)), 0)
    }

    /// The attempt that was out has ended.
    pub fn record_attempt_settled(&mut self, id: u64, may_have_run: bool) -> io::Result<()> {
        if self.entries.get(&id).is_none_or(|e| e.progress.in_flight.is_none()) {
            return Ok(());
        }
        self.append(Record::AttemptSettled(id, may_have_run), 0)
    }

    pub fn record_message_ended(&mut self, id: u64, end: End) -> io::Result<()> {
        if self.entries.contains_key(&id) { self.append(Record::Ended(id, end), 0) } else { Ok(()) }
    }

    /// The platform has confirmed these ends.
    pub fn record_notices_confirmed(&mut self, ids: Vec<u64>) -> io::Result<()> {
        self.append(Record::NoticesConfirmed(ids), 0)
    }

    /// Keeps what has changed in the health of the endpoints.
    pub fn record_endpoint_health(&mut self, now: &BTreeMap<String, EndpointHealth>) -> io::Result<()> {
        let gone = self.health.keys().filter(|n| !now.contains_key(*n)).map(|n| (n.clone(), None));
        let unhealthy = now.iter().map(|(name, h)| {
            let (bad_since, trouble, warm_since) = (h.failing_since, h.unhealthy, h.warming_since);
            (name.clone(), Some(EndpointCondition { bad_since, trouble, warm_since }))
        });
        let changes: Vec<_> =
            gone.chain(unhealthy.filter(|(n, a)| self.health.get(n) != a.as_ref())).collect();
        for (name, ailment) in changes {
            self.append(Record::EndpointHealth(name, ailment), 0)?;
        }
        Ok(())
    }

    /// Keeps what has changed in the health of receivers. From then on one without a record is known to be well.
    pub fn record_receiver_health(&mut self, now: &BTreeMap<Receiver, ReceiverHealth>) -> io::Result<()> {
        let well = self.receivers.keys().filter(|r| !now.contains_key(*r)).map(|r| (r.clone(), None));
        let unhealthy =
            now.iter().map(|(receiver, health)| (receiver.clone(), Some(ReceiverCondition::from(*health))));
        let changed = unhealthy.filter(|(receiver, c)| self.receivers.get(receiver) != c.as_ref());
        let changes: Vec<_> = well.chain(changed).collect();
        for (receiver, condition) in changes {
            self.append(Record::ReceiverHealth(receiver, condition), 0)?;
        }
        if !self.receivers_recorded && !self.closed {
            self.append(Record::ReceiversRecorded, 0)?;
        }
        Ok(())
    }

    /// Keeps which endpoints are told to be draining or gone. A restarted sender is given a list that may be
    /// older, and must not send to them although discovery says nothing.
    pub fn record_endpoints_listed(&mut self, index: u64, lines: &[(String, bool)]) -> io::Result<()> {
        let mut changes: Vec<(String, Option<u64>)> = Vec::new();
        for (name, ready) in lines {
            match self.not_ready.get(name) {
                None if !ready => changes.push((name.clone(), Some(index))),
                Some(_) if *ready => changes.push((name.clone(), None)),
                _ => {}
            }
        }
        // Those that are long gone are in no list that this sender may be given.
        let surplus = self.not_ready.len().saturating_sub(MAX_NOT_READY);
        let mut by_age: Vec<(u64, String)> = self.not_ready.iter().map(|(n, i)| (*i, n.clone())).collect();
        by_age.sort();
        changes.extend(by_age.into_iter().take(surplus).map(|(_, name)| (name, None)));
        for (name, index) in changes {
            self.append(Record::EndpointListed(name, index), 0)?;
        }
        Ok(())
    }

    /// Whether the endpoint was told to be draining or gone by a later list than this one.
    pub fn not_ready_since(&self, name: &str, index: u64) -> bool {
        self.not_ready.get(name).is_some_and(|told| *told > index)
    }

    pub fn health(&self) -> impl Iterator<Item = (&str, EndpointHealth)> {
        self.health.iter().map(|(name, a)| {
            let EndpointCondition { bad_since, trouble, warm_since } = *a;
            (
                name.as_str(),
                EndpointHealth { failing_since: bad_since, unhealthy: trouble, warming_since: warm_since },
            )
        })
    }

    /// What is known of receivers as a whole.
    pub fn receivers(&self) -> impl Iterator<Item = (&Receiver, ReceiverHealth)> {
        self.receivers.iter().map(|(receiver, condition)| (receiver, ReceiverHealth::from(*condition)))
    }

    /// Whether a receiver without a record was well. A journal of an earlier version does not tell.
    pub fn has_receiver_records(&self) -> bool {
        self.receivers_recorded
    }

    pub fn get(&self, id: u64) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub fn entries(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(id, e)| (*id, e))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: u64 = 1_000_000;

    fn accepted(dest: i64) -> Accepted {
        Accepted {
            request_id: "a".into(),
            class: "c".into(),
            order_key: String::new(),
            idempotency_key: None,
            dest,
            deadline: 1_000_000,
            body: Bytes::from_static(b"body"),
        }
    }

    fn reopen(folder: &Path) -> Journal {
        Journal::open(folder, LIMIT).unwrap()
    }

    #[test]
    fn what_is_known_of_receivers_outlasts_the_process_and_a_compaction() {
        let folder = tempfile::tempdir().unwrap();
        let refused =
            ReceiverHealth { budget_milli_per_s: Some(96), wait_until: Some(7), ..ReceiverHealth::default() };
        let down = ReceiverHealth { failing_since: Some(3), down: true, ..ReceiverHealth::default() };
        let route = Receiver::Route(2, "r2-1".into());
        let unhealthy = BTreeMap::from([(Receiver::Destination(1), refused), (route.clone(), down)]);
        let mut journal = reopen(folder.path());
        journal.record_receiver_health(&unhealthy).unwrap();
        let kept =
            |journal: &Journal| journal.receivers().map(|(r, h)| (r.clone(), h)).collect::<BTreeMap<_, _>>();
        assert_eq!(kept(&reopen(folder.path())), unhealthy);
        journal.compact().unwrap();
        let mut journal = reopen(folder.path());
        assert_eq!(kept(&journal), unhealthy);
        assert!(journal.has_receiver_records());
        let length = journal.len;
        journal.record_receiver_health(&unhealthy).unwrap();
        assert_eq!(journal.len, length, "nothing changed, so nothing is written");
        journal.record_receiver_health(&BTreeMap::from([(route.clone(), down)])).unwrap();
        assert_eq!(kept(&reopen(folder.path())), BTreeMap::from([(route, down)]));
    }

    #[test]
    fn a_journal_of_an_earlier_version_does_not_tell_how_receivers_were() {
        let folder = tempfile::tempdir().unwrap();
        let mut journal = reopen(folder.path());
        journal.accept(1, accepted(5), &ClassSettings::default()).unwrap();
        drop(journal);
        let mut journal = reopen(folder.path());
        assert!(!journal.has_receiver_records() && journal.entries().count() == 1);
        journal.record_receiver_health(&BTreeMap::new()).unwrap();
        let journal = reopen(folder.path());
        assert!(journal.has_receiver_records() && journal.entries().count() == 1);
    }
}
