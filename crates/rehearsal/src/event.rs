//! What can be done to the stand-ins and the senders while a rehearsal runs: on the timeline of a scenario, or
//! by word over the control port.

use crate::span::{Micros, Span};
use serde::Deserialize;
use std::fmt;

/// What to do, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// Receivers take calls, carry them out and answer none.
    Silent,
    /// Receivers read nothing: calls never begin.
    Hang,
    /// Receivers turn every call away and tell how long they stay shut.
    Shut,
    /// Receivers reset every connection.
    Down,
    /// Receivers take so many times longer.
    Slow,
    /// Receivers break a share of the connections after having carried the call out.
    Reset,
    /// Receivers answer a share of the calls with an error, half of them carried out.
    Fail,
    /// Receivers carry each call out so much later, whether or not the sender still waits.
    Late,
    /// Receivers turn calls away and tell senders to wait.
    Wait,
    /// Receivers become cold, as after an outage that no sender saw.
    Cold,
    /// Endpoints drain and go.
    Drain,
    /// Endpoints drain and go, and new ones come in their place, in waves.
    Replace,
    /// New endpoints come beside the old ones.
    Join,
    /// The directory tells its changes so much later.
    DirectoryLag,
    /// The directory says nothing.
    DirectorySilent,
    /// The directory tells whole lists only, and ends the watch after each.
    DirectorySnapshots,
    /// The directory takes no notices: it answers them with an error.
    DirectoryDeaf,
    /// The directory's version goes back, as after a restore.
    DirectoryBack,
    /// A sender is told to end, killed 3.7 s later, and started again.
    Sigterm,
    /// A sender is killed and started again.
    Sigkill,
    /// A sender is told to read its configuration again.
    Sighup,
    /// A sender stands still for a while.
    Sigstop,
    /// A sender's process is replaced by another that is started beside it.
    Upgrade,
    /// A sender is told to empty itself, and takes clients again after a while.
    LameDuck,
    /// A sender's configuration gains a class and halves the attempts, and is put back after a while.
    Retune,
    /// A sender's configuration is replaced by one with a flaw, of which nothing may hold.
    RetuneWrong,
    /// So many connections that say nothing, half a command, or ask once and stay.
    Crowd,
}

impl EventKind {
    /// The fields that it needs, and those that it may have beside them.
    fn fields(self) -> Fields {
        match self {
            EventKind::Silent | EventKind::Hang | EventKind::Shut | EventKind::Down => {
                (&["for"], &["receiver", "endpoints"])
            }
            EventKind::Slow => (&["for", "factor"], &["receiver", "endpoints"]),
            EventKind::Reset | EventKind::Fail => (&["for", "share"], &["receiver", "endpoints"]),
            EventKind::Late => (&["for", "by"], &["receiver", "endpoints"]),
            EventKind::Wait => (&["for"], &["receiver", "endpoints"]),
            EventKind::Cold => (&[], &["receiver"]),
            EventKind::Drain => (&["share"], &["receiver", "gone_after"]),
            EventKind::Replace => (&["share"], &["receiver", "over", "gone_after"]),
            EventKind::Join => (&["receiver", "endpoints"], &[]),
            EventKind::DirectoryLag => (&["for", "by"], &["sender", "share"]),
            EventKind::DirectorySilent | EventKind::DirectorySnapshots | EventKind::DirectoryDeaf => {
                (&["for"], &["sender"])
            }
            EventKind::DirectoryBack => (&[], &["sender"]),
            EventKind::Sigterm | EventKind::Sigkill => (&[], &["sender", "down", "share"]),
            EventKind::Sighup => (&[], &["sender"]),
            EventKind::Sigstop | EventKind::LameDuck | EventKind::Retune => (&["for"], &["sender"]),
            EventKind::Upgrade | EventKind::RetuneWrong => (&[], &["sender"]),
            EventKind::Crowd => (&["for", "connections"], &["sender"]),
        }
    }
}

/// An event as it is written, in a scenario or over the control port.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEvent {
    /// When, on the timeline; over the control port it is now.
    #[serde(default)]
    pub at: Option<Span>,
    /// What.
    #[serde(rename = "do")]
    pub kind: EventKind,
    /// To which receiver, by number; to all where none is named.
    #[serde(default)]
    pub receiver: Option<i64>,
    /// To how many of its endpoints; to all where it isn't said.
    #[serde(default)]
    pub endpoints: Option<usize>,
    /// For how long.
    #[serde(default, rename = "for")]
    pub duration: Option<Span>,
    /// How many times slower.
    #[serde(default)]
    pub factor: Option<f64>,
    /// Which share, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// How much later.
    #[serde(default)]
    pub by: Option<Span>,
    /// In which time.
    #[serde(default)]
    pub over: Option<Span>,
    /// How long a draining endpoint stays listed before it is gone.
    #[serde(default)]
    pub gone_after: Option<Span>,
    /// To which sender, by name; to all where the deed allows it and none is named.
    #[serde(default)]
    pub sender: Option<String>,
    /// How long a sender stays away.
    #[serde(default)]
    pub down: Option<Span>,
    /// How many connections.
    #[serde(default)]
    pub connections: Option<usize>,
}

/// Connections of a crowd at most, to each sender: they are this process's descriptors as well.
const MAX_CROWD_CONNECTIONS: usize = 10_000;

/// Fields that are needed, and fields that may be given beside them.
pub(crate) type Fields = (&'static [&'static str], &'static [&'static str]);

/// What is wrong with the fields that are given for something: those that mean nothing, and those that lack.
pub(crate) fn field_problems(given: &[(&str, bool)], (needs, may): Fields, what: &str) -> Vec<String> {
    let wrong = given.iter().filter_map(|(name, there)| {
        if *there && !needs.contains(name) && !may.contains(name) {
            Some(format!("'{name}' means nothing for {what}; leave it out"))
        } else if !there && needs.contains(name) {
            Some(format!("{what} needs '{name}'; say it"))
        } else {
            None
        }
    });
    wrong.collect()
}

/// What is known of the scenario when an event is checked.
#[derive(Clone, Copy, Debug)]
pub struct Targets<'a> {
    /// Receivers' numbers.
    pub receivers: &'a [i64],
    /// Senders' names.
    pub senders: &'a [String],
}

impl RawEvent {
    /// What is wrong with it, each with the mend.
    pub fn problems(&self, known: Targets<'_>) -> Vec<String> {
        let mut wrong = Vec::new();
        let given = [
            ("receiver", self.receiver.is_some()),
            ("endpoints", self.endpoints.is_some()),
            ("for", self.duration.is_some()),
            ("factor", self.factor.is_some()),
            ("share", self.share.is_some()),
            ("by", self.by.is_some()),
            ("over", self.over.is_some()),
            ("gone_after", self.gone_after.is_some()),
            ("sender", self.sender.is_some()),
            ("down", self.down.is_some()),
            ("connections", self.connections.is_some()),
        ];
        wrong.extend(field_problems(&given, self.kind.fields(), &format!("'{}'", self.kind)));
        if let Some(number) = self.receiver.filter(|n| !known.receivers.contains(n)) {
            wrong.push(format!("there is no receiver {number}; name one of the [[receiver]] tables"));
        }
        if let Some(name) = self.sender.as_ref().filter(|n| !known.senders.contains(n)) {
            wrong.push(format!("there is no sender '{name}'; there are {}", known.senders.join(", ")));
        }
        if self.connections.is_some_and(|n| !(1..=MAX_CROWD_CONNECTIONS).contains(&n)) {
            wrong.push(format!("'connections' is from 1 to {MAX_CROWD_CONNECTIONS}"));
        }
        if self.endpoints == Some(0) {
            wrong.push("'endpoints' is 0; say how many, or leave it out for all".into());
        }
        if self.endpoints.is_some() && self.receiver.is_none() {
            wrong.push("'endpoints' counts those of one receiver; say 'receiver' too".into());
        }
        if self.sender.is_some() && self.share.is_some() {
            wrong.push("'share' is a part of all senders; say it or 'sender'".into());
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            wrong.push("'share' is above 0 and at most 1".into());
        }
        if self.factor.is_some_and(|f| !(f.is_finite() && f >= 1.0)) {
            wrong.push("'factor' is 1 or more".into());
        }
        wrong
    }

    /// Whether it is for this sender: the one that it names, or of all of them its share, spread over their order.
    pub fn applies_to(&self, sender: usize, name: &str) -> bool {
        let share = self.share.unwrap_or(1.0);
        let upto = |n: usize| (n as f64 * share).floor();
        self.sender.as_ref().map_or(upto(sender + 1) > upto(sender), |named| named == name)
    }

    /// How long it lasts; nothing for what is done at once.
    pub fn span(&self) -> Micros {
        self.duration.map_or(0, |s| s.0)
    }

    /// Reads one from a line such as `slow receiver=3 for=10s factor=8`.
    ///
    /// # Errors
    /// Says what can't be read, and the mend.
    pub fn from_line(line: &str) -> Result<RawEvent, String> {
        let mut words = line.split_whitespace();
        let kind = words
            .next()
            .ok_or("an empty line; say what is to be done, such as 'slow receiver=3 for=10s factor=8'")?;
        let mut table = toml::Table::new();
        table.insert("do".into(), kind.into());
        for word in words {
            let (name, value) =
                word.split_once('=').ok_or_else(|| format!("'{word}' is no name=value; write it so"))?;
            // A number stands as one, all else as text: names of senders may look like numbers only in quotes.
            let value = match (value.parse::<i64>(), value.parse::<f64>()) {
                (Ok(n), _) => n.into(),
                (_, Ok(n)) => n.into(),
                _ => toml::Value::from(value.trim_matches('"')),
            };
            table.insert(name.into(), value);
        }
        table.try_into().map_err(|e: toml::de::Error| e.message().to_string())
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            EventKind::Silent => "silent",
            EventKind::Hang => "hang",
            EventKind::Shut => "shut",
            EventKind::Down => "down",
            EventKind::Slow => "slow",
            EventKind::Reset => "reset",
            EventKind::Fail => "fail",
            EventKind::Late => "late",
            EventKind::Wait => "wait",
            EventKind::Cold => "cold",
            EventKind::Drain => "drain",
            EventKind::Replace => "replace",
            EventKind::Join => "join",
            EventKind::DirectoryLag => "directory-lag",
            EventKind::DirectorySilent => "directory-silent",
            EventKind::DirectorySnapshots => "directory-snapshots",
            EventKind::DirectoryDeaf => "directory-deaf",
            EventKind::DirectoryBack => "directory-back",
            EventKind::Sigterm => "sigterm",
            EventKind::Sigkill => "sigkill",
            EventKind::Sighup => "sighup",
            EventKind::Sigstop => "sigstop",
            EventKind::Upgrade => "upgrade",
            EventKind::LameDuck => "lame-duck",
            EventKind::Retune => "retune",
            EventKind::RetuneWrong => "retune-wrong",
            EventKind::Crowd => "crowd",
        };
        f.write_str(text)
    }
}

impl fmt::Display for RawEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind)?;
        if let Some(sender) = &self.sender {
            write!(f, " {sender}")?;
        }
        if let Some(number) = self.receiver {
            write!(f, " receiver {number}")?;
        }
        if let Some(n) = self.endpoints {
            write!(f, " ({n} endpoints)")?;
        }
        if let Some(share) = self.share {
            write!(f, " {:.0}%", share * 100.0)?;
        }
        if let Some(factor) = self.factor {
            write!(f, " x{factor}")?;
        }
        if let Some(n) = self.connections {
            write!(f, " of {n} connections")?;
        }
        if let Some(by) = self.by {
            write!(f, " by {:.1} s", by.secs())?;
        }
        if let Some(duration) = self.duration.or(self.over) {
            write!(f, " for {:.1} s", duration.secs())?;
        }
        Ok(())
    }
}
