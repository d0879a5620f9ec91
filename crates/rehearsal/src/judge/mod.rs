//! The judge: what a history says of the six rules and of the service. It does no I/O, and it knows nothing of
//! the sender but what the stand-ins saw of it.
//!
//! Records are put in order of time before anything else. Those of one instant are put into an order of their own
//! (by kind, then by content), so that a verdict does not hang on which of them was written first.

mod even;
mod returns;
mod service;
mod table;

mod cold;
mod drains;
mod lost;
mod order;
mod twice;
mod waits;

use crate::history::Record;
use crate::span::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

pub use even::{Evenness, Spread, WINDOWS};
pub use returns::{Arrival, ArrivalEnd, Load, Return, returns};
pub use service::{Penalty, Served, Service};
pub use table::{Absence, Attempt, Call, CallEnd, Lane, Message, Outage, Table};

/// What each time limit is longer by on sockets.
pub const SOCKET_ALLOWANCE_US: Micros = 50_000;
/// Offences of a rule that are told with their evidence; the rest are counted.
pub const MAX_REPORTED_VIOLATIONS: usize = 10;
/// A rig whose plan was late by more than this at the 99th percentile measured itself and not the senders ...
pub const MAX_LATE_P99_US: Micros = 50_000;
/// ... and so did one that once stood still for longer than this.
pub const MAX_STALL_US: Micros = 250_000;

/// The six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// What was taken on gets one final answer in time, also over a restart.
    NoMessageLost,
    /// Nothing takes effect, or is sent, more often than its class allows.
    NoEffectTwice,
    /// Nothing new goes to an endpoint that drains or is gone.
    DrainsKept,
    /// A returning receiver is not pushed over by those who saw it fail.
    ReturnNotPushedOver,
    /// Messages of one key go singly and in order.
    OrderKept,
    /// A wait that was told is heeded.
    WaitsHeeded,
}

impl Rule {
    /// All six, in their order.
    pub const ALL: [Rule; 6] = [
        Rule::NoMessageLost,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::ReturnNotPushedOver,
        Rule::OrderKept,
        Rule::WaitsHeeded,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::NoMessageLost => "1 no message lost",
            Rule::NoEffectTwice => "2 no effect twice",
            Rule::DrainsKept => "3 drains kept",
            Rule::ReturnNotPushedOver => "4 returning receiver not pushed over",
            Rule::OrderKept => "5 order kept",
            Rule::WaitsHeeded => "6 waits heeded",
        })
    }
}

/// An offence against a rule, with its evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// When.
    pub t: Micros,
    /// The message, where it is one's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// The endpoint, where it is one's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// What was seen.
    pub what: String,
}

/// What became of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It was put to the test and held.
    Kept,
    /// It was broken.
    Broken,
    /// Nothing in the run put it to the test: that says nothing of it.
    Untested,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Verdict::Kept => "kept",
            Verdict::Broken => "BROKEN",
            Verdict::Untested => "not tested",
        })
    }
}

/// How near a run came to a rule's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Margin {
    /// What is measured.
    pub what: String,
    /// The worst that was seen.
    pub worst: f64,
    /// The rule's limit.
    pub limit: f64,
    /// `ms`, or nothing for a share.
    pub unit: String,
    /// When the worst was seen.
    pub t: Micros,
    /// More is worse; else less is.
    #[serde(rename = "upward")]
    pub higher_is_worse: bool,
}

impl Margin {
    /// One whose worst is the most.
    fn highest(what: &str, unit: &str, limit: f64) -> Margin {
        let (what, unit) = (what.into(), unit.into());
        Margin { what, worst: f64::NEG_INFINITY, limit, unit, t: 0, higher_is_worse: true }
    }

    /// One whose worst is the least.
    fn lowest(what: &str, unit: &str, limit: f64) -> Margin {
        Margin { worst: f64::INFINITY, higher_is_worse: false, ..Margin::highest(what, unit, limit) }
    }

    fn observe(&mut self, value: f64, t: Micros) {
        if if self.higher_is_worse { value > self.worst } else { value < self.worst } {
            (self.worst, self.t) = (value, t);
        }
    }

    /// It, if anything was met.
    fn observed(self) -> Option<Margin> {
        self.worst.is_finite().then_some(self)
    }
}

impl fmt::Display for Margin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let figure = |v: f64| if self.unit.is_empty() { format!("{v:.2}") } else { format!("{v:.0}") };
        let unit = if self.unit.is_empty() { String::new() } else { format!(" {}", self.unit) };
        let side = if self.higher_is_worse { "at most" } else { "at least" };
        let (worst, limit, at) = (figure(self.worst), figure(self.limit), self.t as f64 / 1e6);
        write!(f, "{}: {worst}{unit}, {side} {limit}{unit} (at {at:.3} s)", self.what)
    }
}

/// A rule and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ruling {
    /// Which rule.
    pub rule: Rule,
    /// What became of it.
    pub verdict: Verdict,
    /// How often it was put to the test.
    pub tested: usize,
    /// What one such test is.
    pub test: String,
    /// How often it was broken.
    pub broken: usize,
    /// The first offences.
    #[serde(rename = "offences")]
    pub violations: Vec<Violation>,
    /// How near it came to being broken, where something was put to the test that can be measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub margin: Option<Margin>,
    /// What was seen of each kind.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counts: BTreeMap<String, usize>,
    /// What a reader should know beside the verdict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remarks: Vec<String>,
}

/// Gathers what a rule's check finds.
#[derive(Debug)]
struct Findings {
    tested: usize,
    violations: Vec<Violation>,
    margin: Option<Margin>,
    counts: BTreeMap<String, usize>,
    remarks: Vec<String>,
}

impl Findings {
    fn new() -> Self {
        let (violations, remarks, counts) = (Vec::new(), Vec::new(), BTreeMap::new());
        Findings { tested: 0, violations, margin: None, counts, remarks }
    }

    fn count(&mut self, what: &str) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    fn violation(&mut self, t: Micros, message: Option<&str>, endpoint: Option<&str>, what: String) {
        let (message, endpoint) = (message.map(Into::into), endpoint.map(Into::into));
        self.violations.push(Violation { t, message, endpoint, what });
    }

    fn ruling(mut self, rule: Rule, test: &str) -> Ruling {
        self.violations.sort_by(|a, b| (a.t, &a.message, &a.what).cmp(&(b.t, &b.message, &b.what)));
        let broken = self.violations.len();
        self.violations.truncate(MAX_REPORTED_VIOLATIONS);
        let verdict = match (broken, self.tested) {
            (0, 0) => Verdict::Untested,
            (0, _) => Verdict::Kept,
            _ => Verdict::Broken,
        };
        let Findings { tested, violations, margin, counts, remarks } = self;
        Ruling { rule, verdict, tested, test: test.into(), broken, violations, margin, counts, remarks }
    }
}

/// How late the rig itself ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lateness {
    /// Messages handed in by the plan.
    pub planned: usize,
    /// How late half of them were at the least, in microseconds.
    pub p50_us: Micros,
    /// How late one in a hundred was.
    pub p99_us: Micros,
    /// The latest.
    pub max_us: Micros,
    /// The longest that the rig stood still.
    pub stall_us: Micros,
}

/// What a history says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judgement {
    /// Why the run proves nothing, if so: the rig ran late, or the history has no end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// The six rules, in their order.
    pub rules: Vec<Ruling>,
    /// Returns from outages.
    #[serde(default)]
    pub returns: Vec<ReturnSummary>,
    /// How even the load of each receiver with several endpoints was.
    #[serde(default)]
    pub evenness: Vec<Evenness>,
    /// The service.
    pub service: Service,
    /// How late the rig ran.
    pub lateness: Lateness,
}

impl Judgement {
    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.rules.iter().any(|r| r.verdict == Verdict::Broken)
    }

    /// The ruling on a rule.
    pub fn ruling(&self, rule: Rule) -> Option<&Ruling> {
        self.rules.iter().find(|r| r.rule == rule)
    }
}

/// One return from an outage, in figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnSummary {
    /// The receiver's number.
    pub receiver: i64,
    /// The route, where routes are apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// When it came back.
    pub back: Micros,
    /// Senders that had seen it fail.
    #[serde(rename = "knowing")]
    pub aware: usize,
    /// Calls and probes that came until it was warm.
    #[serde(rename = "pushes")]
    pub arrivals: usize,
    /// The highest share reached of the load that pushes it over.
    pub peak: f64,
    /// How long after the return.
    pub peak_after: Micros,
    /// From the return until half of the usual was delivered within a second.
    pub half: Option<Micros>,
    /// The same for nine tenths.
    pub full: Option<Micros>,
}

impl ReturnSummary {
    fn of(r: &Return) -> ReturnSummary {
        let peak = r.peak();
        ReturnSummary {
            receiver: r.receiver,
            route: r.route.clone(),
            back: r.back,
            aware: r.aware.len(),
            arrivals: r.loads.len(),
            peak: peak.map_or(0.0, |p| p.share()),
            peak_after: peak.map_or(0, |p| p.t - r.back),
            half: r.half,
            full: r.full,
        }
    }
}

/// Why a history can't be judged.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum JudgeError {
    /// There is no `run` record.
    #[error(
        "the history has no 'run' record, which names the classes and rules; it was cut at its beginning"
    )]
    NoRun,
}

/// Judges a history.
///
/// # Errors
/// It lacks the record that says what the run was.
pub fn judge(records: &[Record]) -> Result<Judgement, JudgeError> {
    Ok(verdict(&Table::new(records).ok_or(JudgeError::NoRun)?))
}

/// Judges a history that has been put together.
pub fn verdict(table: &Table) -> Judgement {
    let lateness = lateness(table);
    let void = if !table.complete {
        Some("the history has no end: the rehearsal was cut off".to_string())
    } else if lateness.p99_us > MAX_LATE_P99_US {
        let (p99, most) = (lateness.p99_us / 1000, MAX_LATE_P99_US / 1000);
        Some(format!("the rig ran late: p99 of the plan's lag {p99} ms, {most} ms at most; give it more CPU"))
    } else if lateness.stall_us > MAX_STALL_US {
        let (stall, most) = (lateness.stall_us / 1000, MAX_STALL_US / 1000);
        Some(format!("the rig stood still for {stall} ms, {most} ms at most; give it more CPU"))
    } else {
        None
    };
    let returns = returns(table);
    let rules = vec![
        lost::check(table).ruling(Rule::NoMessageLost, "a message that a sender took on"),
        twice::check(table).ruling(Rule::NoEffectTwice, "an attempt that failed, of which it could matter"),
        drains::check(table)
            .ruling(Rule::DrainsKept, "an endpoint of which a sender was told that it drains or is gone"),
        cold::check(table, &returns)
            .ruling(Rule::ReturnNotPushedOver, "a return from an outage that a sender had seen"),
        order::check(table).ruling(Rule::OrderKept, "a message behind another of its key"),
        waits::check(table).ruling(Rule::WaitsHeeded, "a wait that a sender was told"),
    ];
    let returns = returns.iter().map(ReturnSummary::of).collect();
    let (evenness, service) = (even::evenness(table), service::evaluate(table));
    Judgement { void, rules, returns, evenness, service, lateness }
}

fn lateness(table: &Table) -> Lateness {
    let mut late: Vec<Micros> =
        table.messages.iter().filter(|m| m.retries == 0).map(|m| (m.offered - m.due).max(0)).collect();
    late.sort_unstable();
    let at = |share: f64| late.get(((late.len() as f64 * share) as usize).min(late.len().saturating_sub(1)));
    Lateness {
        planned: late.len(),
        p50_us: at(0.5).copied().unwrap_or(0),
        p99_us: at(0.99).copied().unwrap_or(0),
        max_us: late.last().copied().unwrap_or(0),
        stall_us: table.stall,
    }
}
