//! The judge: derives the verdict on the six rules and the service from a history.
//! The judge does no I/O, and its only input is what the stand-ins recorded.
//!
//! Records are sorted by time, and records with equal times by kind and then by content.
//! A verdict therefore does not depend on which of several simultaneous records was written first.

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

pub use even::{Evenness, Spread, WINDOWS_US};
pub use returns::{Arrival, ArrivalEnd, Load, Return, returns};
pub use service::{Penalty, Served, Service};
pub use table::{Absence, Attempt, Call, CallEnd, Lane, Message, Outage, Table};

/// Allowance for scheduling and transfer delays on sockets, which is added to each time limit.
pub const SOCKET_ALLOWANCE_US: Micros = 50_000;
/// Maximum number of violations that are reported with their evidence per rule; further violations are only counted.
pub const MAX_REPORTED_VIOLATIONS: usize = 10;
/// Limit on the 99th percentile of the clients' delay behind the load plan, above which the run is void.
/// If clients send later than this limit allows, the run has measured the rig and not the senders.
pub const MAX_LATE_P99_US: Micros = 50_000;
/// Limit on a stall of the rig's event loop: a single longer stall makes the run void.
pub const MAX_STALL_US: Micros = 250_000;

/// The six rules. The names of the rules in JSON are part of the report's format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted message gets one final outcome in time, even if its sender restarts.
    NoMessageLost,
    /// No message takes effect, or is sent, more often than its class allows.
    NoEffectTwice,
    /// No call starts to an endpoint that drains or is gone, once the drain grace has passed.
    DrainsKept,
    /// Senders that saw a receiver fail do not overload it when it returns from its outage.
    ReturnNotPushedOver,
    /// Messages of one order key are sent one at a time and in order.
    OrderKept,
    /// A sender observes the waits that receivers advertise.
    WaitsHeeded,
}

impl Rule {
    /// All rules, in the order of the report.
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

/// One violation of a rule, with the evidence for the violation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// When the violation happened.
    pub t: Micros,
    /// Id of the message that the violation concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Name of the endpoint that the violation concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// Description of the violation.
    pub what: String,
}

/// Result of checking one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The rule was tested and no violation was found.
    Kept,
    /// At least one violation of the rule was found.
    Broken,
    /// Nothing in the run tested the rule, so it is unknown whether the senders keep it.
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

/// Safety margin to a rule's limit: how close the run came to breaking the rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Margin {
    /// Description of the value that is compared with the rule's limit.
    pub what: String,
    /// The observed value that was closest to the rule's limit, or furthest beyond it.
    pub worst: f64,
    /// The limit that the rule sets for the value.
    pub limit: f64,
    /// Unit of the margin's values: `ms`, or empty for a ratio.
    pub unit: String,
    /// When the worst value of the margin was observed.
    pub t: Micros,
    /// Whether higher values are closer to breaking the rule; otherwise lower values are.
    #[serde(rename = "upward")]
    pub higher_is_worse: bool,
}

impl Margin {
    /// Returns a safety margin to a rule's upper limit, without observations: higher values are worse.
    fn highest(what: &str, unit: &str, limit: f64) -> Margin {
        let (what, unit) = (what.into(), unit.into());
        Margin { what, worst: f64::NEG_INFINITY, limit, unit, t: 0, higher_is_worse: true }
    }

    /// Returns a safety margin to a rule's lower limit, without observations: lower values are worse.
    fn lowest(what: &str, unit: &str, limit: f64) -> Margin {
        Margin { worst: f64::INFINITY, higher_is_worse: false, ..Margin::highest(what, unit, limit) }
    }

    fn observe(&mut self, value: f64, t: Micros) {
        if if self.higher_is_worse { value > self.worst } else { value < self.worst } {
            (self.worst, self.t) = (value, t);
        }
    }

    /// Returns the safety margin, or `None` if no value was observed.
    fn observed(self) -> Option<Margin> {
        self.worst.is_finite().then_some(self)
    }
}

impl fmt::Display for Margin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |v: f64| if self.unit.is_empty() { format!("{v:.2}") } else { format!("{v:.0}") };
        let unit = if self.unit.is_empty() { String::new() } else { format!(" {}", self.unit) };
        let side = if self.higher_is_worse { "at most" } else { "at least" };
        let (worst, limit, at) = (number(self.worst), number(self.limit), self.t as f64 / 1e6);
        write!(f, "{}: {worst}{unit}, {side} {limit}{unit} (at {at:.3} s)", self.what)
    }
}

/// The result for one rule: the verdict, with the evidence for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ruling {
    /// The rule that was checked.
    pub rule: Rule,
    /// The verdict on the rule.
    pub verdict: Verdict,
    /// How often the run tested the rule.
    pub tested: usize,
    /// Description of what counts as one test of the rule.
    pub test: String,
    /// Total number of violations of the rule, including those not reported.
    pub broken: usize,
    /// The first [`MAX_REPORTED_VIOLATIONS`] violations of the rule.
    #[serde(rename = "offences")]
    pub violations: Vec<Violation>,
    /// How close the run came to breaking the rule, if the rule has a measurable distance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub margin: Option<Margin>,
    /// Number of tests of the rule by kind of test.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counts: BTreeMap<String, usize>,
    /// Remarks that qualify the verdict on the rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remarks: Vec<String>,
}

/// Collects the results of checking one delivery rule: tests of the rule, violations and safety margin.
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

/// Lateness of the rig: delays that the rig caused itself, not the senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lateness {
    /// Number of messages that clients sent according to the load plan, without retries.
    pub planned: usize,
    /// Median of the clients' delay behind the load plan, in microseconds.
    pub p50_us: Micros,
    /// 99th percentile of the clients' delay behind the load plan, in microseconds.
    pub p99_us: Micros,
    /// Longest delay of a client behind the load plan, in microseconds.
    pub max_us: Micros,
    /// Longest stall of the rig's event loop, in microseconds.
    pub stall_us: Micros,
}

/// The judge's result for one history: rulings on the rules, service score and lateness of the rig.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judgement {
    /// Reason why the run is void: the rig ran late, or the history has no last record. `None` for a valid run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// Rulings on the six rules, in the order of [`Rule::ALL`].
    pub rules: Vec<Ruling>,
    /// Summaries of the receivers' returns from outages.
    #[serde(default)]
    pub returns: Vec<ReturnSummary>,
    /// How evenly the load of each receiver with several endpoints was spread.
    #[serde(default)]
    pub evenness: Vec<Evenness>,
    /// The service score, with the terms from which it is computed.
    pub service: Service,
    /// Lateness of the rig, which can make the run void.
    pub lateness: Lateness,
}

impl Judgement {
    /// Returns whether any rule was broken.
    pub fn broken(&self) -> bool {
        self.rules.iter().any(|r| r.verdict == Verdict::Broken)
    }

    /// Returns the judge's ruling on the given rule.
    pub fn ruling(&self, rule: Rule) -> Option<&Ruling> {
        self.rules.iter().find(|r| r.rule == rule)
    }
}

/// Summary of a receiver's return from an outage: load, and time until deliveries are back to normal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnSummary {
    /// Number of the receiver that returned.
    pub receiver: i64,
    /// Name of the route that returned, if the receiver has separate routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// When the receiver's outage ended.
    pub back: Micros,
    /// Number of senders that saw the receiver fail during the outage.
    #[serde(rename = "knowing")]
    pub aware: usize,
    /// Number of calls and probes that arrived after the return, before the receiver was warm.
    #[serde(rename = "pushes")]
    pub arrivals: usize,
    /// Highest load of the returning receiver, as a share of the overload limit.
    pub peak: f64,
    /// Time from the receiver's return to its highest load.
    pub peak_after: Micros,
    /// Time from the return until the deliveries of one second reached half of the usual number.
    #[serde(rename = "half")]
    pub half_load_after: Option<Micros>,
    /// Time from the return until the deliveries of one second reached nine tenths of the usual number.
    #[serde(rename = "full")]
    pub full_load_after: Option<Micros>,
}

impl ReturnSummary {
    fn of(r: &Return) -> ReturnSummary {
        let peak = r.peak();
        ReturnSummary {
            receiver: r.receiver,
            route: r.route.clone(),
            back: r.back_at,
            aware: r.aware.len(),
            arrivals: r.loads.len(),
            peak: peak.map_or(0.0, |p| p.share()),
            peak_after: peak.map_or(0, |p| p.t - r.back_at),
            half_load_after: r.half_load_after,
            full_load_after: r.full_load_after,
        }
    }
}

/// Error for a history that cannot be judged.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum JudgeError {
    /// The history has no `run` record, so the parameters of the run are unknown.
    #[error(
        "the history has no 'run' record, which names the classes and rules; it was cut at its beginning"
    )]
    NoRun,
}

/// Judges the records of a history.
///
/// # Errors
/// Fails if the history has no `run` record.
pub fn judge(records: &[Record]) -> Result<Judgement, JudgeError> {
    Ok(verdict(&Table::new(records).ok_or(JudgeError::NoRun)?))
}

/// Judges a history that is already indexed as a [`Table`].
pub fn verdict(table: &Table) -> Judgement {
    let lateness = lateness(table);
    let void = if !table.complete {
        Some("the history has no end: the rehearsal was cut off".to_string())
    } else if lateness.p99_us > MAX_LATE_P99_US {
        let (p99, max) = (lateness.p99_us / 1000, MAX_LATE_P99_US / 1000);
        Some(format!("the rig ran late: p99 of the plan's lag {p99} ms, {max} ms at most; give it more CPU"))
    } else if lateness.stall_us > MAX_STALL_US {
        let (stall, max) = (lateness.stall_us / 1000, MAX_STALL_US / 1000);
        Some(format!("the rig stood still for {stall} ms, {max} ms at most; give it more CPU"))
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
    let mut delays: Vec<Micros> =
        table.messages.iter().filter(|m| m.retries == 0).map(|m| (m.offered - m.due).max(0)).collect();
    delays.sort_unstable();
    let at =
        |share: f64| delays.get(((delays.len() as f64 * share) as usize).min(delays.len().saturating_sub(1)));
    Lateness {
        planned: delays.len(),
        p50_us: at(0.5).copied().unwrap_or(0),
        p99_us: at(0.99).copied().unwrap_or(0),
        max_us: delays.last().copied().unwrap_or(0),
        stall_us: table.stall,
    }
}
