//! Events of a rehearsal: faults of the stand-ins, and actions on the senders.
//! Events come from the timeline of a scenario or over the control port.

use crate::span::{Micros, Span};
use serde::Deserialize;
use std::fmt;

/// Kind of an event, under its name in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// Receivers read calls and process their messages, but answer no call.
    Silent,
    /// Receivers read nothing from their connections, so that no call arrives.
    Hang,
    /// Receivers answer every call with 503.
    /// Some of the 503 answers advertise the time until the end of the event as the wait.
    Shut,
    /// Receivers reset every connection.
    Down,
    /// Receivers take `factor` times longer to process messages.
    Slow,
    /// Receivers process a share of the calls, but reset the connection instead of answering.
    Reset,
    /// Receivers answer a share of the calls with an error, and process the messages of half of these calls.
    Fail,
    /// Receivers process each call later than normal, whether or not the sender still waits for the answer.
    Late,
    /// Receivers reject calls with 429 and advertise the time until the end of the event as wait.
    Wait,
    /// Receivers write a share of their answers a second time, up to `by` later.
    /// Half of the copies come after that delay, and half as soon as the connection's next request arrives.
    RepeatedAnswers,
    /// Receivers become cold, as after an outage that no sender saw.
    Cold,
    /// Endpoints drain and are then removed.
    Drain,
    /// Endpoints drain and are removed, and new endpoints replace them in several waves.
    Replace,
    /// New endpoints of receivers are added to the directory.
    Join,
    /// The directory publishes its changes later than normal.
    DirectoryLag,
    /// The directory sends nothing to the senders.
    DirectorySilent,
    /// The directory sends complete endpoint lists only, and ends a sender's watch after each list.
    DirectorySnapshots,
    /// The directory rejects the senders' notices with an error.
    DirectoryDeaf,
    /// The directory writes a share of its confirmations of notices a second time, as in `RepeatedAnswers`.
    RepeatedConfirmations,
    /// The directory's version decreases, as after a restore from a backup.
    DirectoryBack,
    /// A sender gets SIGTERM, SIGKILL 3.7 s later if the process still runs, and is started again.
    Sigterm,
    /// A sender gets SIGKILL and is started again.
    Sigkill,
    /// A sender gets SIGHUP and reads its configuration again.
    Sighup,
    /// A sender is stopped with SIGSTOP, and continued with SIGCONT at the end of the event.
    Sigstop,
    /// A sender's process is replaced by a new process that starts while the old process still runs.
    Upgrade,
    /// A sender is switched to lame duck mode, and back to normal mode when the event ends.
    LameDuck,
    /// A sender's configuration gains a class and halves the attempts.
    /// The previous configuration is restored at the end of the event.
    Retune,
    /// A sender's configuration is replaced by an invalid configuration, which the sender must reject as a whole.
    RetuneWrong,
    /// Many client connections that send nothing, half a command, or one PING, and stay open.
    Crowd,
}

impl EventKind {
    /// Returns the fields that the event's kind requires, and the fields that the kind also allows.
    fn fields(self) -> Fields {
        match self {
            EventKind::Silent | EventKind::Hang | EventKind::Shut | EventKind::Down => {
                (&["for"], &["receiver", "endpoints"])
            }
            EventKind::Slow => (&["for", "factor"], &["receiver", "endpoints"]),
            EventKind::Reset | EventKind::Fail => (&["for", "share"], &["receiver", "endpoints"]),
            EventKind::RepeatedAnswers => (&["for", "share", "by"], &["receiver", "endpoints"]),
            EventKind::RepeatedConfirmations => (&["for", "share", "by"], &[]),
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

/// An event as it is written in a scenario or sent over the control port.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEvent {
    /// Time of the event on the timeline; absent over the control port, where an event happens immediately.
    #[serde(default)]
    pub at: Option<Span>,
    /// Kind of the event, which decides which other fields it has.
    #[serde(rename = "do")]
    pub kind: EventKind,
    /// Number of the affected receiver; all receivers if absent.
    #[serde(default)]
    pub receiver: Option<i64>,
    /// Number of endpoints affected at each receiver; all endpoints if absent.
    #[serde(default)]
    pub endpoints: Option<usize>,
    /// How long the event lasts.
    #[serde(default, rename = "for")]
    pub duration: Option<Span>,
    /// Factor by which the event makes receivers slower, from 1.
    #[serde(default)]
    pub factor: Option<f64>,
    /// Share of the calls, endpoints or senders that the event affects, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// Delay that the event adds to normal operation.
    #[serde(default)]
    pub by: Option<Span>,
    /// Time over which the waves of an endpoint replacement are spread.
    #[serde(default)]
    pub over: Option<Span>,
    /// How long a draining endpoint stays in the endpoint list before the event removes it.
    #[serde(default)]
    pub gone_after: Option<Span>,
    /// Name of the affected sender; all senders if absent.
    #[serde(default)]
    pub sender: Option<String>,
    /// How long a sender stays down before it is started again.
    #[serde(default)]
    pub down: Option<Span>,
    /// Number of crowd connections to each sender.
    #[serde(default)]
    pub connections: Option<usize>,
}

/// Maximum number of crowd connections to each sender: the connections use descriptors of the rehearsal's process too.
const MAX_CROWD_CONNECTIONS: usize = 10_000;

/// Names of the fields that an event kind requires, and of the fields that the kind also allows.
pub(crate) type Fields = (&'static [&'static str], &'static [&'static str]);

/// Returns a message for each given field that is not allowed, and one for each required field that is missing.
pub(crate) fn field_problems(given: &[(&str, bool)], (required, allowed): Fields, what: &str) -> Vec<String> {
    let problems = given.iter().filter_map(|(name, is_given)| {
        if *is_given && !required.contains(name) && !allowed.contains(name) {
            Some(format!("'{name}' has no meaning for {what}; remove it"))
        } else if !is_given && required.contains(name) {
            Some(format!("{what} needs '{name}'; add it"))
        } else {
            None
        }
    });
    problems.collect()
}

/// Names and numbers that an event may refer to.
#[derive(Clone, Copy, Debug)]
pub struct Targets<'a> {
    /// Numbers of the scenario's receivers.
    pub receivers: &'a [i64],
    /// Names of the scenario's senders.
    pub senders: &'a [String],
}

impl RawEvent {
    /// Returns all problems of the event, each with a way to correct the problem.
    pub fn problems(&self, targets: Targets<'_>) -> Vec<String> {
        let mut problems = Vec::new();
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
        problems.extend(field_problems(&given, self.kind.fields(), &format!("'{}'", self.kind)));
        if let Some(number) = self.receiver.filter(|n| !targets.receivers.contains(n)) {
            problems.push(format!("there is no receiver {number}; use the number of a [[receiver]]"));
        }
        if let Some(name) = self.sender.as_ref().filter(|n| !targets.senders.contains(n)) {
            problems
                .push(format!("there is no sender '{name}'; known senders: {}", targets.senders.join(", ")));
        }
        if self.connections.is_some_and(|n| !(1..=MAX_CROWD_CONNECTIONS).contains(&n)) {
            problems.push(format!("'connections' must be from 1 to {MAX_CROWD_CONNECTIONS}"));
        }
        if self.endpoints == Some(0) {
            problems.push("'endpoints' is 0; set it to 1 or more, or remove it for all".into());
        }
        if self.endpoints.is_some() && self.receiver.is_none() {
            problems.push("'endpoints' applies to one receiver; add 'receiver'".into());
        }
        if self.sender.is_some() && self.share.is_some() {
            problems.push("'share' selects a part of all senders; give either 'share' or 'sender'".into());
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            problems.push("'share' must be above 0 and at most 1".into());
        }
        if self.factor.is_some_and(|f| !(f.is_finite() && f >= 1.0)) {
            problems.push("'factor' must be 1 or more".into());
        }
        problems
    }

    /// Returns whether the event applies to the sender.
    /// An event applies to the sender that it names, or to the configured share of all senders, spread evenly.
    pub fn applies_to(&self, sender: usize, name: &str) -> bool {
        let share = self.share.unwrap_or(1.0);
        let upto = |n: usize| (n as f64 * share).floor();
        self.sender.as_ref().map_or(upto(sender + 1) > upto(sender), |named| named == name)
    }

    /// Returns how long the event lasts; 0 for one without a duration.
    pub fn span(&self) -> Micros {
        self.duration.map_or(0, |s| s.0)
    }

    /// Parses an event from a line such as `slow receiver=3 for=10s factor=8`.
    ///
    /// # Errors
    /// Fails with a description of what cannot be parsed, and how to correct the line.
    pub fn from_line(line: &str) -> Result<RawEvent, String> {
        let mut words = line.split_whitespace();
        let kind = words
            .next()
            .ok_or("the line is empty; write an event such as 'slow receiver=3 for=10s factor=8'")?;
        let mut table = toml::Table::new();
        table.insert("do".into(), kind.into());
        for word in words {
            let (name, value) =
                word.split_once('=').ok_or_else(|| format!("'{word}' is not of the form name=value"))?;
            // Numbers become TOML numbers, all other values text; quotes keep a number-like sender name as text.
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
            EventKind::RepeatedAnswers => "repeated-answers",
            EventKind::Cold => "cold",
            EventKind::Drain => "drain",
            EventKind::Replace => "replace",
            EventKind::Join => "join",
            EventKind::DirectoryLag => "directory-lag",
            EventKind::DirectorySilent => "directory-silent",
            EventKind::DirectorySnapshots => "directory-snapshots",
            EventKind::DirectoryDeaf => "directory-deaf",
            EventKind::RepeatedConfirmations => "repeated-confirmations",
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
