//! The journal stores the state that the next process of this sender needs.
//! The state is every accepted message that has not ended, with its attempts, and the notices not yet confirmed.
//! The journal also stores the health of endpoints and receivers.
//!
//! The journal is an append-only file of records, each `length (u32 LE), CRC-32 of the payload (u32 LE), payload`.
//! A record's payload is a [`Record`] encoded by postcard.
//! The next process of this sender replays the records and rebuilds an equal [`Journal`].

mod stored;

pub use stored::{Accepted, Attempt, Progress, Receiver, Rules};

use crate::clock::ClockAnchor;
use crate::ended_requests::{EndedRequest, EndedRequests};
use bytes::Bytes;
use embershore_protocol::notice::End;
use heronroute::{ClassSettings, Effect, EndpointHealth, Micros, ReceiverHealth};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use stored::{EndpointCondition, ReceiverCondition};

const HEADER_BYTES: usize = 8;
/// Maximum length of a record; a longer record counts as damaged. A record holds one message of at most 64 KiB.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// A journal below this size is not compacted, unless space runs out.
const MIN_COMPACT_BYTES: u64 = 256 * 1024;
/// Fraction of the size limit that new messages leave free for the progress records of accepted messages.
const OUTCOME_RESERVE: f64 = 0.1;

/// Upper bound in bytes for the size of a record of class rules.
const MAX_RULES_BYTES: u64 = 96;
/// Name in the journal for the endpoint of another sender's attempt, which no endpoint has.
const UNKNOWN_ENDPOINT: &str = "";
/// Name under which the journal records the version up to which drains have been forgotten. No endpoint has it.
const FORGOTTEN_DRAINS: &str = "";
/// Fraction of the size limit that the records of draining and gone endpoints may take.
const NOT_READY_SHARE: f64 = 1.0 / 8.0;
/// Fraction of the size limit that the requests of ended messages may take.
const ENDED_REQUESTS_SHARE: f64 = 1.0 / 4.0;
/// Allowance for the record of a name, with its health or the version of its drain, in bytes.
const NAME_BYTES: u64 = 96;

/// A record of the journal. The order of the variants is part of the file format.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Message(u64, Accepted, Progress),
    AttemptStarted(Vec<u64>, Attempt),
    AttemptSettled(u64, bool),
    Ended(u64, End),
    NoticesConfirmed(Vec<u64>),
    EndpointHealth(String, Option<EndpointCondition>),
    EndpointListed(String, Option<u64>),
    /// Class rules and their number. Written before the first message that is accepted under these rules.
    Rules(u32, Rules),
    /// A message and its progress as in the record `Message`, preceded by the number of the message's class rules.
    MessageUnderRules(u32, u64, Accepted, Progress),
    ReceiverHealth(Receiver, Option<ReceiverCondition>),
    /// From this record on, the journal records receivers' health: a receiver without a health record was healthy.
    ReceiversRecorded,
    /// The clock of the times in the journal, at the start of a process.
    ClockStarted(ClockAnchor),
}

/// A message in the journal, with its progress.
#[derive(Debug)]
pub struct Entry {
    pub accepted: Accepted,
    pub progress: Progress,
    /// The number of the message's rules; None for a message from a journal version without rules records.
    rules: Option<u32>,
    size: u64,
}

/// The journal file and the state that its records describe.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    len: u64,
    /// The length of the file after the last compaction by this process; 0 before.
    compacted_to: u64,
    limit: u64,
    entries: BTreeMap<u64, Entry>,
    health: BTreeMap<String, EndpointCondition>,
    receivers: BTreeMap<Receiver, ReceiverCondition>,
    /// Whether the journal records receivers' health, so that a receiver without a record was healthy.
    /// Journals of earlier versions do not record receivers' health.
    receivers_recorded: bool,
    /// The clock of the times in the journal; None in a journal of an earlier version, whose times are the wall clock's.
    clock: Option<ClockAnchor>,
    /// Endpoints that are draining or gone, each with the version of the endpoint list that says so.
    not_ready: BTreeMap<String, u64>,
    /// Endpoints whose record in `not_ready`, or whose removal from it, could not be written yet.
    unrecorded_listed: BTreeSet<String>,
    /// The latest version of a drain that was dropped from `not_ready`; 0 if none was.
    forgotten_drains: u64,
    /// The requests of ended messages that must not take effect again.
    ended_requests: EndedRequests,
    /// Class rules by number. Compaction drops rules that no message refers to.
    rules: BTreeMap<u32, Rules>,
    live_bytes: u64,
    next_number: u64,
    /// Whether another process owns the journal, so that this process must not write to it.
    closed: bool,
    /// Whether a record that was written in part may stand behind the last whole record.
    torn: bool,
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let mut frame = postcard::to_extend(record, vec![0; HEADER_BYTES]).map_err(io::Error::other)?;
    let payload = &frame[HEADER_BYTES..];
    let (len, sum) = (payload.len() as u32, crc32fast::hash(payload));
    frame[..4].copy_from_slice(&len.to_le_bytes());
    frame[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(frame)
}

/// Returns the first record of `bytes` and the record's length; None if the record is truncated or damaged.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes);
    let (len, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(len)?)?;
    if len > MAX_RECORD_BYTES || crc32fast::hash(payload) != sum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER_BYTES + len))
}

/// Appends the records of an ended request: its message without the body, the message's end, and that its notice needs
/// no further confirmation. A version of the program that does not know ended requests reads a message that is over.
fn encode_ended_request(request_id: &str, request: &EndedRequest, bytes: &mut Vec<u8>) -> io::Result<()> {
    let EndedRequest { number, class, rules, deadline, end, .. } = request;
    let accepted = Accepted {
        request_id: request_id.to_string(),
        class: class.clone(),
        order_key: String::new(),
        idempotency_key: None,
        dest: 0,
        deadline: *deadline,
        body: Bytes::new(),
    };
    let may_have_run = Some((UNKNOWN_ENDPOINT.to_string(), *deadline));
    let progress = Progress { attempts: 1, may_have_run, ..Progress::default() };
    let message = Record::MessageUnderRules(*rules, *number, accepted, progress);
    for record in [message, Record::Ended(*number, *end), Record::NoticesConfirmed(vec![*number])] {
        bytes.extend_from_slice(&encode(&record)?);
    }
    Ok(())
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

impl Journal {
    /// Opens the journal in `folder` and replays its records.
    /// A truncated last record, as a killed process may leave, is cut off.
    pub fn open(folder: &Path, limit: u64) -> io::Result<Journal> {
        let path = folder.join("journal");
        // If this fails, the next compaction does it.
        _ = remove_if_present(&path.with_extension("new"));
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (len, live_bytes, next_number, closed) = (0, 0, 1, false);
        let mut journal = Journal {
            path,
            file,
            len,
            compacted_to: 0,
            limit,
            entries: BTreeMap::new(),
            health: BTreeMap::new(),
            receivers: BTreeMap::new(),
            receivers_recorded: false,
            clock: None,
            not_ready: BTreeMap::new(),
            unrecorded_listed: BTreeSet::new(),
            forgotten_drains: 0,
            ended_requests: EndedRequests::default(),
            rules: BTreeMap::new(),
            live_bytes,
            next_number,
            closed,
            torn: false,
        };
        let mut at = 0;
        while let Some((record, size)) = decode(&bytes[at..]) {
            at += size;
            journal.apply(record, size as u64);
        }
        if at < bytes.len() {
            eprintln!(
                "journal: discarding {} bytes of an incomplete or damaged record at offset {at}",
                bytes.len() - at
            );
            journal.torn = true;
        }
        journal.len = at as u64;
        // If cutting fails, the first write does it.
        _ = journal.cut_torn_record();
        Ok(journal)
    }

    /// Applies a record to the journal's state in memory.
    fn apply(&mut self, record: Record, size: u64) {
        match record {
            Record::Message(id, accepted, progress) => self.insert(id, accepted, progress, None, size),
            Record::MessageUnderRules(rules, id, accepted, progress) => {
                self.insert(id, accepted, progress, Some(rules), size);
            }
            Record::Rules(number, rules) => _ = self.rules.insert(number, rules),
            Record::AttemptStarted(ids, attempt) => {
                for id in ids {
                    let Some(entry) = self.entries.get_mut(&id) else { continue };
                    let progress = &mut entry.progress;
                    progress.attempts += 1;
                    // If the record of the earlier attempt's outcome could not be written, that attempt may have run.
                    let unsettled = progress.in_flight.replace(attempt.clone());
                    progress.may_have_run = progress.may_have_run.take().or(unsettled);
                }
            }
            Record::AttemptSettled(id, may_have_run) => {
                if let Some(progress) = self.entries.get_mut(&id).map(|entry| &mut entry.progress) {
                    let in_flight = progress.in_flight.take().filter(|_| may_have_run);
                    progress.may_have_run = progress.may_have_run.take().or(in_flight);
                }
            }
            Record::Ended(id, End::Closed) => {
                self.remember_end(id, End::Closed);
                self.remove_entry(id);
            }
            Record::Ended(id, end) => {
                self.remember_end(id, end);
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.progress.end = Some(end);
                    let body = std::mem::take(&mut entry.accepted.body).len() as u64;
                    entry.size = entry.size.saturating_sub(body);
                    self.live_bytes = self.live_bytes.saturating_sub(body);
                }
            }
            Record::NoticesConfirmed(ids) => ids.into_iter().for_each(|id| self.remove_entry(id)),
            Record::EndpointHealth(name, Some(condition)) => _ = self.health.insert(name, condition),
            Record::EndpointHealth(name, None) => _ = self.health.remove(&name),
            Record::ReceiverHealth(receiver, Some(condition)) => {
                _ = self.receivers.insert(receiver, condition);
            }
            Record::ReceiverHealth(receiver, None) => _ = self.receivers.remove(&receiver),
            Record::ReceiversRecorded => self.receivers_recorded = true,
            Record::ClockStarted(anchor) => self.clock = Some(anchor),
            Record::EndpointListed(name, Some(index)) if name == FORGOTTEN_DRAINS => {
                self.forgotten_drains = self.forgotten_drains.max(index);
            }
            Record::EndpointListed(name, Some(index)) => _ = self.not_ready.insert(name, index),
            Record::EndpointListed(name, None) => _ = self.not_ready.remove(&name),
        }
    }

    fn insert(&mut self, id: u64, accepted: Accepted, progress: Progress, rules: Option<u32>, size: u64) {
        self.next_number = self.next_number.max(id + 1);
        self.remove_entry(id);
        self.live_bytes += size;
        let end = progress.end;
        self.entries.insert(id, Entry { accepted, progress, rules, size });
        if let Some(end) = end {
            self.remember_end(id, end);
        }
    }

    /// Remembers the request of a message that ends, if the message must not take effect again and may have done so.
    /// A message that is returned never took effect: its request may be sent again under the same id.
    fn remember_end(&mut self, id: u64, end: End) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (accepted, progress) = (&entry.accepted, &entry.progress);
        let Some((number, rules)) = entry.rules.and_then(|n| Some((n, self.rules.get(&n)?))) else { return };
        let is_safe = ClassSettings::from(rules).effect == Effect::Safe;
        let returned = matches!(end, End::Returned { .. });
        // Without an attempt of this sender, a message that is closed was withdrawn by its client.
        let never_ran = progress.attempts == 0 || progress.first_possible_run().is_none();
        if is_safe || returned || never_ran {
            return;
        }
        let (class, deadline) = (accepted.class.clone(), accepted.deadline);
        // A request is valid within its class's time, which began before the message's deadline.
        let expires_at = deadline + rules.deadline;
        let request = EndedRequest { number: id, class, rules: number, deadline, expires_at, end };
        self.ended_requests.insert(&accepted.request_id, request);
    }

    /// Returns how the message of a request has ended, if the request must not take effect again.
    pub fn end_of_request(&self, request_id: &str) -> Option<End> {
        self.ended_requests.end_of(request_id)
    }

    /// Drops the requests of ended messages that clients can't send again at `now` any more.
    pub fn forget_expired_requests(&mut self, now: Micros) {
        self.ended_requests.forget_expired(now);
    }

    fn remove_entry(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.live_bytes = self.live_bytes.saturating_sub(entry.size);
        }
    }

    /// Estimates the compacted journal's size, with a flat allowance for attempts and health records, which are small.
    fn compacted_len(&self) -> u64 {
        // The records of the clock, of `ReceiversRecorded` and of the forgotten drains stand once.
        let names = self.health.len() + self.not_ready.len() + self.receivers.len() + 3;
        let entries = self.live_bytes + 160 * self.entries.len() as u64;
        entries + self.ended_requests.bytes() + NAME_BYTES * (names + self.rules.len()) as u64
    }

    /// Appends a record if the file and its compacted copy together stay below the size limit.
    /// `reserve` is the number of bytes to be left free in the journal for other records.
    fn append(&mut self, record: Record, reserve: u64) -> io::Result<()> {
        let frame = encode(&record)?;
        self.make_room(frame.len() as u64, reserve)?;
        self.write(frame, record)
    }

    /// Compacts the journal if compaction is due, or can make the room that `size` more bytes lack.
    /// Fails if they do not fit.
    fn make_room(&mut self, size: u64, reserve: u64) -> io::Result<()> {
        if self.closed {
            return Err(io::Error::other("another process owns the journal"));
        }
        let available = self.limit.saturating_sub(reserve);
        let missing = |j: &Journal| (j.len + j.compacted_len() + 2 * size + 2048).saturating_sub(available);
        let is_due = self.len > MIN_COMPACT_BYTES.min(self.limit / 4) && self.len > 2 * self.compacted_len();
        // The records of open messages stay, and right after a compaction another one frees nothing.
        let may_free = self.len.saturating_sub(self.live_bytes);
        let helps = self.len > self.compacted_to && missing(self) <= may_free;
        if is_due || missing(self) > 0 && helps {
            self.compact()?;
        }
        if missing(self) > 0 {
            let text =
                format!("the journal is full: {} bytes, limits.disk_mb allows {}", self.len, self.limit);
            return Err(io::Error::new(io::ErrorKind::StorageFull, text));
        }
        Ok(())
    }

    fn write(&mut self, frame: Vec<u8>, record: Record) -> io::Result<()> {
        let size = frame.len() as u64;
        self.cut_torn_record()?;
        if let Err(e) = self.file.write_all(&frame) {
            self.torn = true;
            // If cutting fails as well, the next write does it first.
            _ = self.cut_torn_record();
            return Err(e);
        }
        self.len += size;
        self.apply(record, size);
        Ok(())
    }

    /// Cuts off a partly written record, which would make all records after it unreadable.
    fn cut_torn_record(&mut self) -> io::Result<()> {
        if self.torn {
            self.file.set_len(self.len)?;
            self.torn = false;
        }
        Ok(())
    }

    /// Writes the current state to a new journal file and renames it over the old file.
    fn compact(&mut self) -> io::Result<()> {
        if self.len + self.compacted_len() > self.limit {
            return Ok(());
        }
        let path = self.path.with_extension("new");
        let mut bytes = Vec::with_capacity(self.compacted_len() as usize);
        if let Some(anchor) = &self.clock {
            bytes.extend_from_slice(&encode(&Record::ClockStarted(anchor.clone()))?);
        }
        let of_ended = self.ended_requests.iter().map(|(_, request)| request.rules);
        let used: BTreeSet<u32> = self.entries.values().filter_map(|e| e.rules).chain(of_ended).collect();
        for (number, rules) in self.rules.iter().filter(|(number, _)| used.contains(number)) {
            bytes.extend_from_slice(&encode(&Record::Rules(*number, rules.clone()))?);
        }
        // A message whose end `Closed` could not be written is left out: that is its end's record.
        let is_open = |entry: &&Entry| entry.progress.end != Some(End::Closed);
        for (request_id, request) in self.ended_requests.iter() {
            // A message whose notice is not confirmed stands below with its end.
            if !self.entries.get(&request.number).is_some_and(|entry| is_open(&entry)) {
                encode_ended_request(request_id, request, &mut bytes)?;
            }
        }
        for (id, entry) in self.entries.iter().filter(|(_, entry)| is_open(entry)) {
            let (accepted, progress) = (entry.accepted.clone(), entry.progress.clone());
            let frame = encode(&match entry.rules {
                Some(rules) => Record::MessageUnderRules(rules, *id, accepted, progress),
                None => Record::Message(*id, accepted, progress),
            })?;
            bytes.extend_from_slice(&frame);
        }
        for (name, condition) in &self.health {
            bytes.extend_from_slice(&encode(&Record::EndpointHealth(name.clone(), Some(*condition)))?);
        }
        for (receiver, condition) in &self.receivers {
            bytes.extend_from_slice(&encode(&Record::ReceiverHealth(receiver.clone(), Some(*condition)))?);
        }
        if self.receivers_recorded {
            bytes.extend_from_slice(&encode(&Record::ReceiversRecorded)?);
        }
        let forgotten = (self.forgotten_drains > 0).then_some((FORGOTTEN_DRAINS, self.forgotten_drains));
        let not_ready = self.not_ready.iter().map(|(name, index)| (name.as_str(), *index));
        for (name, index) in not_ready.chain(forgotten) {
            bytes.extend_from_slice(&encode(&Record::EndpointListed(name.to_string(), Some(index)))?);
        }
        if self.len + bytes.len() as u64 > self.limit {
            return Ok(());
        }
        // An earlier compaction that failed may have left its file.
        remove_if_present(&path)?;
        let mut file = OpenOptions::new().append(true).create_new(true).open(&path)?;
        let written = file.write_all(&bytes).and_then(|()| fs::rename(&path, &self.path));
        if let Err(e) = written {
            _ = fs::remove_file(&path);
            return Err(e);
        }
        (self.file, self.len, self.torn) = (file, bytes.len() as u64, false);
        self.compacted_to = self.len;
        self.rules.retain(|number, _| used.contains(number));
        let closed: Vec<u64> =
            self.entries.iter().filter(|(_, entry)| !is_open(entry)).map(|(id, _)| *id).collect();
        closed.into_iter().for_each(|id| self.remove_entry(id));
        Ok(())
    }

    /// Records a message accepted under the rules in `class`. After an error the message has not been accepted.
    /// `may_have_run_since` is the earliest time at which an attempt of another sender may have taken effect.
    pub fn accept(
        &mut self,
        id: u64,
        accepted: Accepted,
        may_have_run_since: Option<Micros>,
        class: &ClassSettings,
    ) -> io::Result<()> {
        let reserve = (self.limit as f64 * OUTCOME_RESERVE) as u64;
        let max_ended_bytes = (self.limit as f64 * ENDED_REQUESTS_SHARE) as u64;
        if class.effect != Effect::Safe && self.ended_requests.bytes() >= max_ended_bytes {
            // An older request that was forgotten for this one could take effect twice.
            let text = "no room for the requests of further messages that must not take effect twice";
            return Err(io::Error::new(io::ErrorKind::StorageFull, text));
        }
        let rules = Rules::from(class);
        let known = self.rules.iter().find(|(_, r)| **r == rules).map(|(number, _)| *number);
        let number = known.unwrap_or_else(|| self.rules.keys().next_back().map_or(0, |last| last + 1));
        let may_have_run = may_have_run_since.map(|since| (UNKNOWN_ENDPOINT.to_string(), since));
        let progress = Progress { may_have_run, ..Progress::default() };
        let message = Record::MessageUnderRules(number, id, accepted, progress);
        let frame = encode(&message)?;
        // Room is made before the rules are written, since a compaction drops rules without messages.
        self.make_room(frame.len() as u64 + MAX_RULES_BYTES, reserve)?;
        if !self.rules.contains_key(&number) {
            let rules = Record::Rules(number, rules);
            self.write(encode(&rules)?, rules)?;
        }
        self.write(frame, message)
    }

    /// Returns the rules under which a message was accepted.
    pub fn rules(&self, entry: &Entry) -> Option<ClassSettings> {
        self.rules.get(&entry.rules?).map(ClassSettings::from)
    }

    /// Returns a message number that has not been assigned yet.
    pub fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    /// Skips the message numbers below `next`, which the predecessor has assigned.
    pub fn reserve_numbers_below(&mut self, next: u64) {
        self.next_number = self.next_number.max(next);
    }

    /// Returns the number that the next message will get.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Closes or opens the journal for writing. The journal is closed while another process of this sender owns it.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Records an attempt for each message of a call, before the call's first byte is written.
    pub fn record_attempts_started(&mut self, ids: Vec<u64>, endpoint: &str, at: Micros) -> io::Result<()> {
        self.append(Record::AttemptStarted(ids, (endpoint.to_string(), at)), 0)
    }

    /// Returns the clock of the times in the journal, at the start of the process that wrote last.
    pub fn clock(&self) -> Option<&ClockAnchor> {
        self.clock.as_ref()
    }

    /// Records the clock of this process, which the next process continues.
    pub fn record_clock_started(&mut self, anchor: ClockAnchor) -> io::Result<()> {
        self.append(Record::ClockStarted(anchor), 0)
    }

    /// Records that a message's attempt in flight has ended.
    pub fn record_attempt_settled(&mut self, id: u64, may_have_run: bool) -> io::Result<()> {
        if self.entries.get(&id).is_none_or(|e| e.progress.in_flight.is_none()) {
            return Ok(());
        }
        self.append(Record::AttemptSettled(id, may_have_run), 0)
    }

    /// Records a message's final outcome. [`End::Closed`] removes the message.
    /// After any other final outcome the message stays in the journal until the platform has confirmed its notice.
    /// After an error this process still knows the end, so that it calls the message no more; the file does not.
    pub fn record_message_ended(&mut self, id: u64, end: End) -> io::Result<()> {
        if !self.entries.contains_key(&id) {
            return Ok(());
        }
        let written = self.append(Record::Ended(id, end), 0);
        if written.is_err() {
            self.remember_end(id, end);
            self.entries.entry(id).and_modify(|entry| entry.progress.end = Some(end));
        }
        written
    }

    /// Records that the platform has confirmed the notices of the messages `ids`.
    pub fn record_notices_confirmed(&mut self, ids: Vec<u64>) -> io::Result<()> {
        self.append(Record::NoticesConfirmed(ids), 0)
    }

    /// Records the changes in the endpoints' health.
    pub fn record_endpoint_health(&mut self, now: &BTreeMap<String, EndpointHealth>) -> io::Result<()> {
        let recovered = self.health.keys().filter(|n| !now.contains_key(*n)).map(|n| (n.clone(), None));
        let unhealthy = now.iter().map(|(name, h)| {
            let (bad_since, trouble, warm_since) = (h.failing_since, h.unhealthy, h.warming_since);
            (name.clone(), Some(EndpointCondition { bad_since, trouble, warm_since }))
        });
        let changes: Vec<_> =
            recovered.chain(unhealthy.filter(|(name, c)| self.health.get(name) != c.as_ref())).collect();
        for (name, condition) in changes {
            self.append(Record::EndpointHealth(name, condition), 0)?;
        }
        Ok(())
    }

    /// Records the changes in the receivers' health. From the first call on, a receiver without a record is healthy.
    pub fn record_receiver_health(&mut self, now: &BTreeMap<Receiver, ReceiverHealth>) -> io::Result<()> {
        let recovered = self.receivers.keys().filter(|r| !now.contains_key(*r)).map(|r| (r.clone(), None));
        let unhealthy =
            now.iter().map(|(receiver, health)| (receiver.clone(), Some(ReceiverCondition::from(*health))));
        let changed = unhealthy.filter(|(receiver, c)| self.receivers.get(receiver) != c.as_ref());
        let changes: Vec<_> = recovered.chain(changed).collect();
        for (receiver, condition) in changes {
            self.append(Record::ReceiverHealth(receiver, condition), 0)?;
        }
        if !self.receivers_recorded && !self.closed {
            self.append(Record::ReceiversRecorded, 0)?;
        }
        Ok(())
    }

    /// Records which endpoints are draining or gone. A restarted sender may be configured with an older endpoint list.
    /// A restarted sender must not send to draining or gone endpoints while discovery does not answer.
    pub fn record_endpoints_listed(&mut self, index: u64, lines: &[(String, bool)]) -> io::Result<()> {
        let lines = lines.iter().filter(|(name, _)| name != FORGOTTEN_DRAINS);
        for (name, ready) in lines {
            let change = match self.not_ready.get(name) {
                None if !ready => Some(index),
                Some(_) if *ready => None,
                _ => continue,
            };
            // The change holds in this process from now on, also if its record can't be written yet.
            self.apply(Record::EndpointListed(name.clone(), change), 0);
            self.unrecorded_listed.insert(name.clone());
        }
        self.record_unrecorded_listed()?;
        self.forget_oldest_drains()
    }

    /// Writes the records of draining and gone endpoints that could not be written before.
    pub fn record_unrecorded_listed(&mut self) -> io::Result<()> {
        while let Some(name) = self.unrecorded_listed.first().cloned() {
            let change = self.not_ready.get(&name).copied();
            self.append(Record::EndpointListed(name.clone(), change), 0)?;
            self.unrecorded_listed.remove(&name);
        }
        Ok(())
    }

    /// Drops the oldest records of draining or gone endpoints if they take too much room.
    /// The version of the latest dropped one is kept: an endpoint list before it may name endpoints that were told to
    /// drain and are recorded no more.
    fn forget_oldest_drains(&mut self) -> io::Result<()> {
        let max_not_ready = (self.limit as f64 * NOT_READY_SHARE) as usize / NAME_BYTES as usize;
        let surplus = self.not_ready.len().saturating_sub(max_not_ready);
        if surplus == 0 {
            return Ok(());
        }
        let mut by_age: Vec<(u64, String)> = self.not_ready.iter().map(|(n, i)| (*i, n.clone())).collect();
        by_age.sort();
        by_age.truncate(surplus);
        let Some((latest, _)) = by_age.last() else { return Ok(()) };
        if *latest > self.forgotten_drains {
            self.append(Record::EndpointListed(FORGOTTEN_DRAINS.to_string(), Some(*latest)), 0)?;
        }
        by_age.into_iter().try_for_each(|(_, name)| self.append(Record::EndpointListed(name, None), 0))
    }

    /// Whether an endpoint list of a later version than `index` says that the endpoint is draining or gone.
    pub fn not_ready_since(&self, name: &str, index: u64) -> bool {
        self.not_ready.get(name).is_some_and(|version| *version > index)
    }

    /// Whether drains later than the endpoint list of version `index` have been dropped for lack of room.
    /// Any endpoint of that list may then be draining or gone.
    pub fn has_forgotten_drains_since(&self, index: u64) -> bool {
        self.forgotten_drains > index
    }

    /// Returns the endpoints' health as the journal records it, by endpoint name.
    pub fn health(&self) -> impl Iterator<Item = (&str, EndpointHealth)> {
        self.health.iter().map(|(name, condition)| {
            let EndpointCondition { bad_since, trouble, warm_since } = *condition;
            (
                name.as_str(),
                EndpointHealth { failing_since: bad_since, unhealthy: trouble, warming_since: warm_since },
            )
        })
    }

    /// Returns the receivers' health as the journal records it.
    pub fn receivers(&self) -> impl Iterator<Item = (&Receiver, ReceiverHealth)> {
        self.receivers.iter().map(|(receiver, condition)| (receiver, ReceiverHealth::from(*condition)))
    }

    /// Whether the journal records receivers' health, so that a receiver without a record was healthy.
    /// Journals of earlier versions do not record receivers' health.
    pub fn has_receiver_records(&self) -> bool {
        self.receivers_recorded
    }

    /// Returns the journal's entry for a message, if the message has one.
    pub fn get(&self, id: u64) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the entries of all messages, ordered by message number.
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
    fn receiver_health_survives_a_restart_and_a_compaction() {
        let folder = tempfile::tempdir().unwrap();
        let refused =
            ReceiverHealth { budget_milli_per_s: Some(96), wait_until: Some(7), ..ReceiverHealth::default() };
        let down = ReceiverHealth { failing_since: Some(3), down: true, ..ReceiverHealth::default() };
        let route = Receiver::Route(2, "r2-1".into());
        let unhealthy = BTreeMap::from([(Receiver::Destination(1), refused), (route.clone(), down)]);
        let mut journal = reopen(folder.path());
        journal.record_receiver_health(&unhealthy).unwrap();
        let recorded =
            |journal: &Journal| journal.receivers().map(|(r, h)| (r.clone(), h)).collect::<BTreeMap<_, _>>();
        assert_eq!(recorded(&reopen(folder.path())), unhealthy);
        journal.compact().unwrap();
        let mut journal = reopen(folder.path());
        assert_eq!(recorded(&journal), unhealthy);
        assert!(journal.has_receiver_records());
        let length = journal.len;
        journal.record_receiver_health(&unhealthy).unwrap();
        assert_eq!(journal.len, length, "nothing changed, so nothing is written");
        journal.record_receiver_health(&BTreeMap::from([(route.clone(), down)])).unwrap();
        assert_eq!(recorded(&reopen(folder.path())), BTreeMap::from([(route, down)]));
    }

    #[test]
    fn a_journal_of_an_earlier_version_has_no_receiver_health() {
        let folder = tempfile::tempdir().unwrap();
        let mut journal = reopen(folder.path());
        journal.accept(1, accepted(5), None, &ClassSettings::default()).unwrap();
        drop(journal);
        let mut journal = reopen(folder.path());
        assert!(!journal.has_receiver_records() && journal.entries().count() == 1);
        journal.record_receiver_health(&BTreeMap::new()).unwrap();
        let journal = reopen(folder.path());
        assert!(journal.has_receiver_records() && journal.entries().count() == 1);
    }
}
