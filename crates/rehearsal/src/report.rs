//! The report of a rehearsal as text and as JSON: the judge's result, with statistics by class and receiver.

use crate::history::{Record, read};
use crate::judge::{
    Attempt, CallEnd, Evenness, Judgement, Margin, Rule, Table, Verdict, WINDOWS_US, verdict,
};
use crate::span::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Upper bound of recorded latencies: one day in microseconds. The latency histogram has three significant digits.
const DAY_US: u64 = 24 * 3600 * 1_000_000;

/// Maximum number of returns from outages that the text lists; the JSON lists all.
const MAX_LISTED_RETURNS: usize = 30;
/// Maximum number of receivers that the text lists; the JSON lists all.
const MAX_LISTED_RECEIVERS: usize = 20;

/// Distribution of the latency of a class's messages, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Name of the class of the messages, or `all`.
    pub name: String,
    /// Number of deliveries whose latency was measured.
    pub count: u64,
    /// Median of the latency, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the latency, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of the latency, in milliseconds.
    pub max_ms: f64,
}

impl Latency {
    fn of(name: &str, micros: impl Iterator<Item = Micros>) -> Latency {
        // Creating the histogram never fails: bounds of 1 us and a day with three digits are valid.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, DAY_US, 3) else {
            return Latency::default();
        };
        for m in micros {
            histogram.saturating_record(m.max(1) as u64);
        }
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        let (count, max_ms) = (histogram.len(), histogram.max() as f64 / 1000.0);
        if count == 0 {
            return Latency { name: name.into(), ..Latency::default() };
        }
        Latency { name: name.into(), count, p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), max_ms }
    }
}

/// Counts of the calls and messages of one receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceiverStats {
    /// Number of the receiver whose calls are counted.
    pub number: i64,
    /// Name of the receiver's kind.
    pub kind: String,
    /// Calls per second that the receiver accepts.
    pub rate: f64,
    /// Number of calls that arrived at the receiver.
    pub calls: usize,
    /// Number of messages in the calls that arrived.
    pub messages: usize,
    /// Number of messages delivered to the receiver.
    pub delivered: usize,
    /// Number of calls that the receiver refused with 429 or 503.
    pub refused: usize,
    /// Number of calls that the receiver did not answer, or answered with an error other than 429 and 503.
    pub unanswered: usize,
    /// Highest number of calls that arrived in one second.
    #[serde(rename = "most")]
    pub max_per_second: usize,
    /// Whether the receiver was overloaded after an outage.
    #[serde(rename = "fell")]
    pub overloaded: bool,
}

/// A rehearsal's report, as it is printed and written as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Length of the history in seconds.
    pub seconds: f64,
    /// The judge's result for the history.
    #[serde(flatten)]
    pub judgement: Judgement,
    /// Latencies of each class and of all messages, from when the client first sent the message to the delivery.
    pub latencies: Vec<Latency>,
    /// Counts of calls and messages at each receiver.
    pub receivers: Vec<ReceiverStats>,
    /// Number of answers that a receiver or the directory wrote a second time.
    #[serde(default)]
    pub repeated_answers: usize,
    /// Path of the history or of its folder, where the evidence is.
    pub evidence: String,
}

/// Reason why no report can be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The history that the report is about cannot be read.
    #[error("{0}")]
    History(#[from] crate::history::HistoryError),
    /// The history that the report is about cannot be judged.
    #[error("{0}")]
    Judge(#[from] crate::judge::JudgeError),
}

/// Reads and judges a history, and makes the report. `path` is the history file, or the folder that contains it.
///
/// # Errors
/// Fails if the history at `path` cannot be read or judged.
pub fn report(path: &Path) -> Result<(Report, Table), ReportError> {
    let file = if path.is_dir() { path.join("history.jsonl") } else { path.to_path_buf() };
    from_records(&read(&file)?, &file.display().to_string())
}

/// Makes the report of a history's records. `evidence` is the path of the history.
///
/// # Errors
/// Fails if the history cannot be judged.
pub fn from_records(records: &[Record], evidence: &str) -> Result<(Report, Table), ReportError> {
    let table = Table::new(records).ok_or(crate::judge::JudgeError::NoRun)?;
    let judgement = verdict(&table);
    let first = table.first_offers();
    let took = |class: Option<usize>| {
        let of_class = table.messages.iter().filter(move |m| class.is_none_or(|c| m.class == c));
        let first = &first;
        let table = &table;
        of_class.filter_map(move |m| Some(table.delivered(m)? - first[m.origin.as_str()]))
    };
    let mut latencies: Vec<Latency> = table
        .parameters
        .classes
        .iter()
        .enumerate()
        .map(|(n, c)| Latency::of(&c.name, took(Some(n))))
        .collect();
    latencies.push(Latency::of("all", took(None)));
    let report = Report {
        scenario: table.parameters.scenario.clone(),
        seed: table.parameters.seed,
        seconds: table.end as f64 / 1e6,
        judgement,
        latencies,
        receivers: receivers(&table),
        repeated_answers: table.repeated_answers,
        evidence: evidence.into(),
    };
    Ok((report, table))
}

fn receivers(table: &Table) -> Vec<ReceiverStats> {
    let mut stats: BTreeMap<i64, ReceiverStats> = BTreeMap::new();
    for receiver in &table.parameters.receivers {
        let overloaded = table.overloaded.iter().any(|(_, n)| *n == receiver.number);
        stats.insert(
            receiver.number,
            ReceiverStats {
                number: receiver.number,
                kind: receiver.kind.clone(),
                rate: receiver.rate,
                calls: 0,
                messages: 0,
                delivered: 0,
                refused: 0,
                unanswered: 0,
                max_per_second: 0,
                overloaded,
            },
        );
    }
    let mut seconds: BTreeMap<(i64, Micros), usize> = BTreeMap::new();
    for call in table.calls.values() {
        let Some(f) = call.receiver.and_then(|n| stats.get_mut(&n)) else { continue };
        f.calls += 1;
        f.messages += call.ids.len();
        f.delivered += (0..call.ids.len()).filter(|p| call.attempt(*p).1 == Attempt::Delivered).count();
        match &call.end {
            Some((_, CallEnd::Answer { status: 429 | 503, .. })) => f.refused += 1,
            Some((_, CallEnd::Answer { status: 200, .. })) => {}
            _ => f.unanswered += 1,
        }
        let second = seconds.entry((f.number, call.t / 1_000_000)).or_default();
        *second += 1;
        f.max_per_second = f.max_per_second.max(*second);
    }
    stats.into_values().collect()
}

impl Report {
    /// Returns the process's exit code: 0 if all rules were kept, 1 if a rule was broken, 3 if the run is void.
    pub fn exit_code(&self) -> u8 {
        match (&self.judgement.void, self.judgement.broken()) {
            (Some(_), _) => 3,
            (None, true) => 1,
            (None, false) => 0,
        }
    }

    /// Returns the report as text for a terminal.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let (judgement, service) = (&self.judgement, &self.judgement.service);
        writeln!(
            out,
            "scenario {}  seed {}  {:.1} s  {} messages",
            self.scenario, self.seed, self.seconds, service.whole.messages
        )?;
        if let Some(why) = &judgement.void {
            writeln!(out, "VOID: {why}; what follows proves nothing")?;
        }
        writeln!(out, "\nrules")?;
        for ruling in &judgement.rules {
            let times = if ruling.verdict == Verdict::Broken {
                format!("{} offences, ", ruling.broken)
            } else {
                String::new()
            };
            writeln!(
                out,
                "  {:<38} {:<10} {times}tested {} times ({})",
                ruling.rule.to_string(),
                ruling.verdict,
                ruling.tested,
                ruling.test
            )?;
            for violation in &ruling.violations {
                let message = violation.message.as_ref().map_or(String::new(), |m| format!(" message {m}"));
                let endpoint =
                    violation.endpoint.as_ref().map_or(String::new(), |e| format!(" endpoint {e}"));
                writeln!(
                    out,
                    "      {:>9.3} s{message}{endpoint}: {}",
                    violation.t as f64 / 1e6,
                    violation.what
                )?;
            }
            if let Some(margin) = &ruling.margin {
                writeln!(out, "      {margin}")?;
            }
            for (what, n) in &ruling.counts {
                writeln!(out, "      {n} x {what}")?;
            }
            for remark in &ruling.remarks {
                writeln!(out, "      {remark}")?;
            }
        }
        if !judgement.returns.is_empty() {
            writeln!(
                out,
                "\n  {:<20} {:>8} {:>6} {:>6} {:>13} {:>9} {:>8} {:>8}",
                "return", "at s", "knew", "pushes", "share of fall", "after ms", "half s", "full s"
            )?;
            let seconds =
                |t: Option<Micros>| t.map_or("never".to_string(), |t| format!("{:.2}", t as f64 / 1e6));
            for summary in judgement.returns.iter().take(MAX_LISTED_RETURNS) {
                let name = summary.route.clone().unwrap_or_else(|| summary.receiver.to_string());
                writeln!(
                    out,
                    "  {name:<20} {:>8.3} {:>6} {:>6} {:>13.2} {:>9} {:>8} {:>8}",
                    summary.back as f64 / 1e6,
                    summary.aware,
                    summary.arrivals,
                    summary.peak,
                    summary.peak_after / 1000,
                    seconds(summary.half_load_after),
                    seconds(summary.full_load_after)
                )?;
            }
            if judgement.returns.len() > MAX_LISTED_RETURNS {
                writeln!(out, "  and {} more", judgement.returns.len() - MAX_LISTED_RETURNS)?;
            }
        }
        writeln!(out, "\nservice {:.4}", service.score)?;
        let from = service.worst_window_from as f64 / 1e6;
        let terms = [
            ("whole run", 0.45, service.whole.share),
            ("worst class", 0.2, service.worst_class),
            ("worst tenant within its share", 0.1, service.worst_tenant),
        ];
        writeln!(out, "  0.25 x {:.4}  worst 10 s, from {from:.0} s", service.worst_window.share)?;
        for (name, weight, share) in terms {
            writeln!(out, "  {weight:.2} x {share:.4}  {name}")?;
        }
        for penalty in &service.penalties {
            writeln!(out, "      - {:.4}  {} ({} times)", penalty.off, penalty.name, penalty.count)?;
        }
        writeln!(
            out,
            "\n  {:<20} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7}",
            "part", "messages", "in time", "late", "refused", "failed", "served"
        )?;
        let parts = std::iter::once(&service.whole).chain(&service.classes).chain(&service.tenants);
        for part in parts {
            writeln!(
                out,
                "  {:<20} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7.4}",
                part.name, part.messages, part.in_time, part.late, part.refused, part.failed, part.share
            )?;
        }
        writeln!(
            out,
            "\n  {:<20} {:>8} {:>9} {:>9} {:>9} {:>9}",
            "latency, ms", "count", "p50", "p90", "p99", "longest"
        )?;
        for latency in &self.latencies {
            writeln!(
                out,
                "  {:<20} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
                latency.name, latency.count, latency.p50_ms, latency.p90_ms, latency.p99_ms, latency.max_ms
            )?;
        }
        writeln!(
            out,
            "\n  {:<20} {:>7} {:>7} {:>8} {:>9} {:>8} {:>10} {:>10}",
            "receiver", "rate/s", "calls", "messages", "delivered", "refused", "unanswered", "most in 1s"
        )?;
        // Lists first the receivers with the most calls.
        let mut busiest: Vec<&ReceiverStats> = self.receivers.iter().collect();
        busiest.sort_by_key(|r| (std::cmp::Reverse(r.calls), r.number));
        for receiver in busiest.iter().take(MAX_LISTED_RECEIVERS) {
            let name = format!(
                "{} {}{}",
                receiver.number,
                receiver.kind,
                if receiver.overloaded { " (fell)" } else { "" }
            );
            writeln!(
                out,
                "  {name:<20} {:>7.1} {:>7} {:>8} {:>9} {:>8} {:>10} {:>10}",
                receiver.rate,
                receiver.calls,
                receiver.messages,
                receiver.delivered,
                receiver.refused,
                receiver.unanswered,
                receiver.max_per_second
            )?;
        }
        if busiest.len() > MAX_LISTED_RECEIVERS {
            writeln!(out, "  and {} more", busiest.len() - MAX_LISTED_RECEIVERS)?;
        }
        if self.repeated_answers > 0 {
            writeln!(out, "\n  {} answers were written a second time", self.repeated_answers)?;
        }
        write_evenness(out, &judgement.evenness)?;
        let lateness = &judgement.lateness;
        writeln!(
            out,
            "\nrig: plan late by p50 {:.1} ms, p99 {:.1} ms, at most {:.1} ms; longest standstill {:.1} ms",
            lateness.p50_us as f64 / 1e3,
            lateness.p99_us as f64 / 1e3,
            lateness.max_us as f64 / 1e3,
            lateness.stall_us as f64 / 1e3
        )?;
        writeln!(out, "evidence: {}", self.evidence)
    }
}

/// Writes for each receiver how evenly calls were spread over its endpoints, with three values per window length.
/// The first two values are the calls of the busiest and of the idlest endpoint, divided by the endpoints' mean.
/// The third value is the variance of calls per endpoint, divided by the variance of random choices.
fn write_evenness(out: &mut String, all: &[Evenness]) -> std::fmt::Result {
    if all.is_empty() {
        return Ok(());
    }
    write!(out, "\n  {:<20} {:>9}", "evenness", "endpoints")?;
    for window in WINDOWS_US {
        write!(out, " {:>20}", format!("busy idle var, {:.1}s", window as f64 / 1e6))?;
    }
    writeln!(out, " {:>12}", "idle, ms")?;
    let number = |v: Option<f64>| v.map_or("-".to_string(), |v| format!("{v:.2}"));
    for evenness in all.iter().take(MAX_LISTED_RECEIVERS) {
        write!(out, "  {:<20} {:>9}", evenness.receiver, evenness.endpoints)?;
        for spread in &evenness.spreads {
            let variance = number((spread.windows > 0).then_some(spread.variance));
            write!(
                out,
                " {:>20}",
                format!("{} {} {variance}", number(spread.busiest), number(spread.idlest))
            )?;
        }
        writeln!(out, " {:>12.0}", evenness.longest_idle as f64 / 1e3)?;
    }
    if all.len() > MAX_LISTED_RECEIVERS {
        writeln!(out, "  and {} more", all.len() - MAX_LISTED_RECEIVERS)?;
    }
    Ok(())
}

/// Compares two reports and returns their differences as text.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut out = String::new();
    _ = write_comparison(&mut out, a, b);
    out
}

fn write_comparison(out: &mut String, a: &Report, b: &Report) -> std::fmt::Result {
    writeln!(out, "A {} seed {}: {}", a.scenario, a.seed, a.evidence)?;
    writeln!(out, "B {} seed {}: {}", b.scenario, b.seed, b.evidence)?;
    if (&a.scenario, a.seed) != (&b.scenario, b.seed) {
        writeln!(out, "they are not the same scenario and seed: a difference need not be the senders'")?;
    }
    writeln!(out, "\n{:<40} {:>12} {:>12} {:>12}", "", "A", "B", "B - A")?;
    let mut row =
        |name: &str, x: f64, y: f64| writeln!(out, "{name:<40} {x:>12.4} {y:>12.4} {:>+12.4}", y - x);
    let (service, other_service) = (&a.judgement.service, &b.judgement.service);
    row("service", service.score, other_service.score)?;
    row("whole run", service.whole.share, other_service.whole.share)?;
    row("worst 10 s", service.worst_window.share, other_service.worst_window.share)?;
    row("worst class", service.worst_class, other_service.worst_class)?;
    row("worst tenant", service.worst_tenant, other_service.worst_tenant)?;
    for penalty in &service.penalties {
        let other = other_service.penalties.iter().find(|q| q.name == penalty.name).map_or(0.0, |q| q.off);
        row(&format!("off: {}", penalty.name), penalty.off, other)?;
    }
    for latency in &a.latencies {
        let Some(other) = b.latencies.iter().find(|other| other.name == latency.name) else { continue };
        row(&format!("p50 ms, {}", latency.name), latency.p50_ms, other.p50_ms)?;
        row(&format!("p99 ms, {}", latency.name), latency.p99_ms, other.p99_ms)?;
    }
    writeln!(out)?;
    for rule in Rule::ALL {
        let verdict = |r: &Report| r.judgement.ruling(rule).map(|r| (r.verdict, r.broken));
        let (x, y) = (verdict(a), verdict(b));
        let verdict_text = |v: Option<(Verdict, usize)>| match v {
            Some((verdict @ Verdict::Broken, n)) => format!("{verdict} {n}"),
            Some((verdict, _)) => verdict.to_string(),
            None => Verdict::Untested.to_string(),
        };
        writeln!(out, "{:<40} {:>12} {:>12}", rule.to_string(), verdict_text(x), verdict_text(y))?;
        let margin = |r: &Report| r.judgement.ruling(rule).and_then(|r| r.margin.clone());
        let (x, y) = (margin(a), margin(b));
        if let Some(m) = x.as_ref().or(y.as_ref()) {
            let number = |m: &Option<Margin>| m.as_ref().map_or("-".into(), |m| format!("{:.2}", m.worst));
            let unit = if m.unit.is_empty() { "share" } else { &m.unit };
            let side = if m.higher_is_worse { "at most" } else { "at least" };
            writeln!(out, "  {}", m.what)?;
            let limit = format!("    {unit}, {side} {:.2}", m.limit);
            writeln!(out, "{limit:<40} {:>12} {:>12}", number(&x), number(&y))?;
        }
    }
    Ok(())
}
