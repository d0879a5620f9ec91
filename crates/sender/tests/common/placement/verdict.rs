//! Checks of a scenario's records: the rehearsal kit's judge is applied to the whole fleet.
//! Further checks cover the rules that only a fleet with placement can break.
//!
//! The records suffice to judge rules 1 (no message lost), 2 (no effect twice) and 3 (drains kept).
//! The records also suffice to judge rules 5 (order kept) and 6 (waits heeded).
//! Rule 5 is judged for each owner and over the whole fleet: all messages of a key go to one owner at a time.
//! Rule 4 (a returning receiver is not overloaded) is not covered.
//! For rule 4, the stand-in receivers would need a capacity that could be exceeded.

use super::deployment::Deployment;
use super::ledger::Ledger;
use embershore_rehearsal::history::{Event, FORMAT, PutOutcome, Record};
use embershore_rehearsal::judge::{Attempt, Judgement, Message, Rule, Ruling, Table, Verdict, verdict};
use embershore_rehearsal::parameters::Effect;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The judge's results for a completed scenario, and the records behind them.
pub struct Findings {
    pub judgement: Judgement,
    /// Result of rule 5 (order kept), judged as if all owners were one sender.
    pub fleet_order: Ruling,
    pub table: Table,
}

/// Numbers of the clients' `MSG.PUT` commands by kind of answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub accepted: usize,
    pub busy: usize,
    pub failed: usize,
    /// Number of `MSG.PUT` commands without an answer in time, without a connection, or whose connection ended.
    pub none: usize,
}

impl Findings {
    /// Judges the records that the ledger of a scenario contains.
    pub fn from_ledger(scenario: &str, deployment: &Deployment, ledger: &Ledger) -> Findings {
        let parameters = Box::new(deployment.parameters(scenario));
        let mut records = vec![Record { t: 0, event: Event::Run { format: FORMAT, parameters } }];
        records.extend(ledger.records());
        records.push(Record { t: ledger.now(), event: Event::End });
        let fleet_order = fleet_order(&records);
        attribute_to_owners(&mut records);
        let table = Table::new(&records).unwrap();
        Findings { judgement: verdict(&table), fleet_order, table }
    }

    /// Asserts that no message was lost, took effect twice or had a second owner.
    /// Asserts too that the judge finds no rule broken and that the scenario exercised the `tested` rules.
    /// The judge's rules depend on times, so a run in which the rig itself stalled is void.
    /// If the run is void, only the checks for lost messages, double effects and second owners count.
    ///
    /// # Panics
    /// If a check fails; the panic message lists the violations.
    pub fn assert_rules_kept(&self, tested: &[Rule]) {
        println!("{:?}; void: {:?}", self.answers(), self.judgement.void);
        let rulings = self.judgement.rules.iter().chain([&self.fleet_order]);
        rulings
            .clone()
            .for_each(|r| println!("{}: {}, {} tests {:?}", r.rule, r.verdict, r.tested, r.margin));
        assert_eq!(
            self.second_owners(),
            Vec::<String>::new(),
            "messages sent by a second owner after an unknown outcome, by id"
        );
        assert_eq!(
            self.unended(),
            Vec::<String>::new(),
            "messages accepted but neither delivered nor ended, by id"
        );
        assert_eq!(self.double_effects(), Vec::<String>::new(), "messages that took effect twice, by id");
        if self.is_void() {
            return;
        }
        for ruling in rulings {
            assert_ne!(ruling.verdict, Verdict::Broken, "{ruling:#?}");
        }
        for rule in tested {
            let ruling = self.judgement.ruling(*rule).unwrap();
            assert!(ruling.tested > 0, "rule {rule} was not tested by this scenario");
        }
    }

    /// Returns whether the test setup itself stalled, so that times measured in the run mean nothing.
    pub fn is_void(&self) -> bool {
        self.judgement.void.is_some()
    }

    /// Returns the messages that two senders sent although the messages must not take effect twice.
    /// The first of the two senders may already have delivered the message that the second sender sent.
    pub fn second_owners(&self) -> Vec<String> {
        let harmful = self.table.messages.iter().filter(|m| self.effect(m) != Effect::Safe);
        let by_two = harmful.filter(|m| {
            let senders: BTreeSet<usize> = self.table.attempts(m).map(|(call, ..)| call.sender).collect();
            senders.len() > 1
        });
        by_two.map(|m| m.id.clone()).collect()
    }

    /// Returns the accepted messages that were neither delivered nor ended by a notice.
    pub fn unended(&self) -> Vec<String> {
        let accepted = self.table.messages.iter().filter(|m| m.accepted().is_some());
        let open = accepted.filter(|m| m.notices.is_empty() && self.table.delivered(m).is_none());
        open.map(|m| m.id.clone()).collect()
    }

    /// Returns the ids of the messages that took effect twice although the messages must not.
    /// The id is that under which a client first put the message.
    /// Effects under an id whose `MSG.PUT` got no answer are not counted.
    /// After a `MSG.PUT` without an answer, the client may put the message again under another id.
    pub fn double_effects(&self) -> Vec<String> {
        let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
        for message in
            self.table.messages.iter().filter(|m| self.effect(m) != Effect::Safe && !m.unacknowledged())
        {
            let runs = message.runs.iter().filter(|(_, dropped)| !dropped).count();
            *effects.entry(&message.origin).or_default() += runs;
        }
        effects.iter().filter(|(_, runs)| **runs > 1).map(|(origin, _)| origin.to_string()).collect()
    }

    /// Returns, by destination, the senders that called its receiver.
    pub fn callers(&self) -> BTreeMap<i64, BTreeSet<usize>> {
        let mut callers: BTreeMap<i64, BTreeSet<usize>> = BTreeMap::new();
        for call in self.table.calls.values() {
            callers.entry(call.receiver.unwrap()).or_default().insert(call.sender);
        }
        callers
    }

    /// Returns how many calls carry a message that was put at another sender.
    pub fn forwarded(&self, ledger: &Ledger) -> usize {
        let entries: HashMap<String, usize> = ledger.records().iter().filter_map(entry).collect();
        let elsewhere = |id: &str, caller: usize| entries.get(id).is_some_and(|entry| *entry != caller);
        let calls = self.table.calls.values();
        calls.filter(|call| call.ids.iter().any(|id| elsewhere(id, call.sender))).count()
    }

    /// Counts the answers to all `MSG.PUT` commands by kind of answer.
    pub fn answers(&self) -> Answers {
        let mut answers = Answers::default();
        for message in &self.table.messages {
            match message.reply.map(|(_, answered)| answered) {
                Some(PutOutcome::Accepted) => answers.accepted += 1,
                Some(PutOutcome::Busy) => answers.busy += 1,
                Some(PutOutcome::Failed) => answers.failed += 1,
                _ => answers.none += 1,
            }
        }
        answers
    }

    /// Returns the number of distinct messages; a message that was put repeatedly counts once.
    pub fn origins(&self) -> usize {
        self.table.first_offers().len()
    }

    /// Returns how many messages were delivered under any of their ids (each `MSG.PUT` has a new id).
    pub fn delivered(&self) -> usize {
        self.delivered_origins().len()
    }

    /// Returns, by destination, the messages that were not delivered under any of their ids.
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

/// Returns the accepted messages whose final outcome has not been observed yet.
pub fn unended(records: &[Record]) -> BTreeSet<String> {
    let mut calls: HashMap<u64, &str> = HashMap::new();
    let mut open = BTreeSet::new();
    let mut ended: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        match &record.event {
            Event::Call { call, items, .. } => _ = calls.insert(*call, &items[0].id),
            Event::Answer { call, status: 200, .. } => _ = ended.insert(calls[call]),
            Event::Notice { id, .. } => _ = ended.insert(id),
            Event::Reply { id, answered: PutOutcome::Accepted, .. } => _ = open.insert(id.clone()),
            _ => {}
        }
    }
    open.retain(|id| !ended.contains(id.as_str()));
    open
}

/// Returns the message id and the sender of a record of a `MSG.PUT`, or `None` for other records.
fn entry(record: &Record) -> Option<(String, usize)> {
    match &record.event {
        Event::Offer { id, sender, .. } => Some((id.clone(), *sender)),
        _ => None,
    }
}

/// Judges rule 5 (order kept) as if all senders were one.
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

/// Attributes each accepted message to its owner, which the message's first call or notice shows.
/// The judge holds the sender in the record of a `MSG.PUT` responsible for the message.
/// With placement the responsible sender is the owner, not the sender at which the client put the message.
fn attribute_to_owners(records: &mut [Record]) {
    let mut owners: HashMap<String, usize> = HashMap::new();
    let mut accepted: BTreeSet<String> = BTreeSet::new();
    for record in records.iter() {
        match &record.event {
            Event::Call { sender, items, .. } => {
                items.iter().for_each(|item| _ = owners.entry(item.id.clone()).or_insert(*sender));
            }
            Event::Notice { sender, id, .. } => _ = owners.entry(id.clone()).or_insert(*sender),
            Event::Reply { id, answered: PutOutcome::Accepted, .. } => _ = accepted.insert(id.clone()),
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
