//! What a scenario's records say: the kit's judge over the whole fleet, and what only a placed fleet can break.
//!
//! Of the six rules the judge is fed all that rules 1 (no message lost), 2 (no effect twice), 3 (drains kept), 5 (order
//! kept) and 6 (waits heeded) look at. Rule 5 is judged twice: for each owner, and over the whole fleet, since all messages
//! of a key go to one owner at a time. Rule 4 (a returning receiver is not pushed over) is not covered: the stand-in
//! receivers have no capacity that could be exceeded.

use super::deployment::Deployment;
use super::ledger::Ledger;
use embershore_rehearsal::history::{Answered, Event, FORMAT, Record};
use embershore_rehearsal::judge::{Attempt, Judgement, Message, Rule, Ruling, Table, Verdict, verdict};
use embershore_rehearsal::parameters::Effect;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The records of a scenario that is over, put together.
pub struct Findings {
    pub judgement: Judgement,
    /// Rule 5, as if all owners were one sender.
    pub fleet_order: Ruling,
    pub table: Table,
}

/// How the clients' hand-ins were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub accepted: usize,
    pub busy: usize,
    pub failed: usize,
    /// No answer in time, no connection, or one that ended.
    pub none: usize,
}

impl Findings {
    /// Judges what the ledger holds.
    pub fn from_ledger(scenario: &str, deployment: &Deployment, ledger: &Ledger) -> Findings {
        let parameters = Box::new(deployment.parameters(scenario));
        let mut records = vec![Record { t: 0, event: Event::Run { format: FORMAT, parameters } }];
        records.extend(ledger.records());
        records.push(Record { t: ledger.now(), event: Event::Over });
        let fleet_order = fleet_order(&records);
        attribute_to_owners(&mut records);
        let table = Table::new(&records).unwrap();
        Findings { judgement: verdict(&table), fleet_order, table }
    }

    /// Asserts that nothing was lost, had its effect twice or a second owner, and that no rule of the judge's is broken. A
    /// run in which the rig itself stood still is void to the judge, whose rules hang on times: then only the first part
    /// counts.
    ///
    /// # Panics
    /// Tells the offences.
    pub fn assert_rules_kept(&self, tested: &[Rule]) {
        println!("{:?}; void: {:?}", self.answers(), self.judgement.void);
        let rulings = self.judgement.rules.iter().chain([&self.fleet_order]);
        rulings
            .clone()
            .for_each(|r| println!("{}: {}, {} tests {:?}", r.rule, r.verdict, r.tested, r.margin));
        assert_eq!(self.second_owners(), Vec::<String>::new(), "no second owner after an unknown outcome");
        assert_eq!(self.unended(), Vec::<String>::new(), "promised and neither delivered nor ended");
        assert_eq!(self.double_effects(), Vec::<String>::new(), "effect twice");
        if self.is_void() {
            return;
        }
        for ruling in rulings {
            assert_ne!(ruling.verdict, Verdict::Broken, "{ruling:#?}");
        }
        for rule in tested {
            let ruling = self.judgement.ruling(*rule).unwrap();
            assert!(ruling.tested > 0, "{rule} was not put to the test");
        }
    }

    /// Whether the rig itself stood still: figures of the service say nothing then.
    pub fn is_void(&self) -> bool {
        self.judgement.void.is_some()
    }

    /// Messages, of those that may not have their effect twice, that were called by two senders though the first may
    /// have delivered them.
    pub fn second_owners(&self) -> Vec<String> {
        let harmful = self.table.messages.iter().filter(|m| self.effect(m) != Effect::Safe);
        let by_two = harmful.filter(|m| {
            let senders: BTreeSet<usize> = self.table.attempts(m).map(|(call, ..)| call.sender).collect();
            senders.len() > 1
        });
        by_two.map(|m| m.id.clone()).collect()
    }

    /// Messages that were promised, and neither delivered nor ended by a notice.
    pub fn unended(&self) -> Vec<String> {
        let accepted = self.table.messages.iter().filter(|m| m.taken().is_some());
        let open = accepted.filter(|m| m.notices.is_empty() && self.table.delivered(m).is_none());
        open.map(|m| m.id.clone()).collect()
    }

    /// Messages, by the id under which they were first handed in, that took effect twice, and may not. A hand-in whose
    /// client had no answer counts too where the message was never promised under another id.
    pub fn double_effects(&self) -> Vec<String> {
        let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
        for message in self.table.messages.iter().filter(|m| self.effect(m) != Effect::Safe && !m.disowned())
        {
            let runs = message.runs.iter().filter(|(_, dropped)| !dropped).count();
            *effects.entry(&message.origin).or_default() += runs;
        }
        effects.iter().filter(|(_, runs)| **runs > 1).map(|(origin, _)| origin.to_string()).collect()
    }

    /// By destination, the senders that called its receiver.
    pub fn callers(&self) -> BTreeMap<i64, BTreeSet<usize>> {
        let mut callers: BTreeMap<i64, BTreeSet<usize>> = BTreeMap::new();
        for call in self.table.calls.values() {
            callers.entry(call.receiver.unwrap()).or_default().insert(call.sender);
        }
        callers
    }

    /// Messages that a sender called for, of those that were handed in at another.
    pub fn forwarded(&self, ledger: &Ledger) -> usize {
        let entries: HashMap<String, usize> = ledger.records().iter().filter_map(entry).collect();
        let elsewhere = |id: &str, caller: usize| entries.get(id).is_some_and(|entry| *entry != caller);
        let calls = self.table.calls.values();
        calls.filter(|call| call.ids.iter().any(|id| elsewhere(id, call.sender))).count()
    }

    /// How all hand-ins were answered.
    pub fn answers(&self) -> Answers {
        let mut answers = Answers::default();
        for message in &self.table.messages {
            match message.reply.map(|(_, answered)| answered) {
                Some(Answered::Taken) => answers.accepted += 1,
                Some(Answered::Busy) => answers.busy += 1,
                Some(Answered::Failed) => answers.failed += 1,
                _ => answers.none += 1,
            }
        }
        answers
    }

    /// Messages that were handed in, each once.
    pub fn origins(&self) -> usize {
        self.table.first_offers().len()
    }

    /// How many messages were delivered under any of their ids.
    pub fn delivered(&self) -> usize {
        self.delivered_origins().len()
    }

    /// By destination, messages that were delivered under none of their ids.
    pub fn undelivered(&self) -> BTreeMap<i64, BTreeSet<&str>> {
        let delivered = self.delivered_origins();
        let mut missing: BTreeMap<i64, BTreeSet<&str>> = BTreeMap::new();
        for message in self.table.messages.iter().filter(|m| !delivered.contains(m.origin.as_str())) {
            missing.entry(message.receiver).or_default().insert(&message.origin);
        }
        missing
    }

    fn delivered_origins(&self) -> BTreeSet<&str> {
        let is_delivered =
            |m: &&Message| self.table.attempts(m).any(|(_, _, outcome)| outcome == Attempt::Delivered);
        self.table.messages.iter().filter(is_delivered).map(|m| m.origin.as_str()).collect()
    }

    fn effect(&self, message: &Message) -> Effect {
        self.table.class(message).unwrap().effect
    }
}

/// Taken messages of which no end has been seen yet.
pub fn unended(records: &[Record]) -> BTreeSet<String> {
    let mut calls: HashMap<u64, &str> = HashMap::new();
    let mut open = BTreeSet::new();
    let mut ended: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        match &record.event {
            Event::Call { call, items, .. } => _ = calls.insert(*call, &items[0].id),
            Event::Answer { call, status: 200, .. } => _ = ended.insert(calls[call]),
            Event::Notice { id, .. } => _ = ended.insert(id),
            Event::Reply { id, answered: Answered::Taken, .. } => _ = open.insert(id.clone()),
            _ => {}
        }
    }
    open.retain(|id| !ended.contains(id.as_str()));
    open
}

/// The sender at which a message was handed in.
fn entry(record: &Record) -> Option<(String, usize)> {
    match &record.event {
        Event::Offer { id, sender, .. } => Some((id.clone(), *sender)),
        _ => None,
    }
}

/// Rule 5 over all senders together.
fn fleet_order(records: &[Record]) -> Ruling {
    let mut records = records.to_vec();
    for record in &mut records {
        if let Event::Offer { sender, .. } = &mut record.event {
            *sender = 0;
        }
    }
    let judgement = verdict(&Table::new(&records).unwrap());
    judgement.ruling(Rule::OrderKept).unwrap().clone()
}

/// The judge holds a sender to what it took on. Here that is the message's owner, as its first call or its notice shows,
/// and not the sender at which the client handed it in.
fn attribute_to_owners(records: &mut [Record]) {
    let mut owners: HashMap<String, usize> = HashMap::new();
    let mut accepted: BTreeSet<String> = BTreeSet::new();
    for record in records.iter() {
        match &record.event {
            Event::Call { sender, items, .. } => {
                items.iter().for_each(|item| _ = owners.entry(item.id.clone()).or_insert(*sender));
            }
            Event::Notice { sender, id, .. } => _ = owners.entry(id.clone()).or_insert(*sender),
            Event::Reply { id, answered: Answered::Taken, .. } => _ = accepted.insert(id.clone()),
            _ => {}
        }
    }
    for record in records {
        if let Event::Offer { sender, id, .. } = &mut record.event
            && accepted.contains(id)
            && let Some(owner) = owners.get(id)
        {
            *sender = *owner;
        }
    }
}
