//! The report of a measurement: its inputs, and its metrics with their spread and budget.

use crate::budget::{Budget, Overrides};
use crate::slopes::Setup;
use crate::spread::Spread;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Unit of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// The metric is a number of bytes.
    Bytes,
    /// The metric is a rate in bytes per second.
    BytesPerSecond,
    /// The metric is a time in seconds.
    Seconds,
    /// The metric is a number of processor cores in use.
    Cores,
    /// The metric is a number without a unit.
    Count,
    /// The metric is a rate in events per second.
    PerSecond,
    /// The metric is a quotient of two quantities of the same unit.
    Ratio,
}

impl Unit {
    fn is_time(self) -> bool {
        matches!(self, Unit::Seconds | Unit::Cores)
    }

    fn show(self, value: f64) -> String {
        match self {
            Unit::Seconds => show_seconds(value),
            Unit::Bytes => show_scaled(value, "B"),
            Unit::BytesPerSecond => show_scaled(value, "B/s"),
            Unit::Cores => format!("{:.2}% of a core", value * 100.0),
            Unit::Count => format!("{value:.0}"),
            Unit::PerSecond => format!("{value:.1}/s"),
            Unit::Ratio => format!("{value:.3}"),
        }
    }
}

fn show_seconds(value: f64) -> String {
    match value.abs() {
        v if v >= 1.0 => format!("{value:.2} s"),
        v if v >= 1e-3 => format!("{:.2} ms", value * 1e3),
        v if v >= 1e-6 => format!("{:.2} us", value * 1e6),
        _ => format!("{:.1} ns", value * 1e9),
    }
}

fn show_scaled(value: f64, unit: &str) -> String {
    match value.abs() {
        v if v >= 1e9 => format!("{:.2} G{unit}", value / 1e9),
        v if v >= 1e6 => format!("{:.2} M{unit}", value / 1e6),
        v if v >= 1e4 => format!("{:.1} K{unit}", value / 1e3),
        _ => format!("{value:.0} {unit}"),
    }
}

/// Result of the comparison of a metric with its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The metric's median is at most the budget's limit.
    Within,
    /// The metric's median exceeds the budget's limit, so the command fails.
    Over,
}

/// One measured metric, with its spread and budget.
#[derive(Clone, Debug, Serialize)]
pub struct Metric {
    /// Name of the metric.
    pub name: String,
    /// Unit of the metric's values.
    pub unit: Unit,
    /// Spread of the metric's values over repeated measurements.
    pub spread: Spread,
    /// Upper bound for the metric's median, if the metric has a budget.
    pub budget: Option<Budget>,
    /// Whether the metric's median is within the budget, if the metric has one.
    pub verdict: Option<Verdict>,
}

/// The results of one measurement ("slope"): its inputs, metrics and remarks.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the subcommand that makes the measurement.
    pub slope: &'static str,
    /// Inputs: parameters of the measurement, by name.
    pub inputs: BTreeMap<&'static str, String>,
    /// The measured metrics.
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
    /// Remarks that explain the metrics to a reader of the report.
    pub remarks: Vec<String>,
    #[serde(skip)]
    overrides: Overrides,
    /// Factor by which the limits of budgets in seconds are multiplied.
    #[serde(skip)]
    time_margin: f64,
}

/// Factor for the limits of time budgets at small sizes (`--small`).
/// At small sizes the code is not optimised and the machine is busy with other tests.
/// At small sizes, a measured time can only reveal a gross fault.
const SMALL_TIME_MARGIN: f64 = 30.0;

impl Report {
    /// Creates an empty report of a measurement.
    pub fn new(slope: &'static str, setup: &Setup) -> Self {
        Report {
            slope,
            inputs: BTreeMap::new(),
            metrics: Vec::new(),
            remarks: Vec::new(),
            overrides: setup.overrides.clone(),
            time_margin: if setup.small { SMALL_TIME_MARGIN } else { 1.0 },
        }
    }

    /// Records a parameter of the measurement in the report.
    pub fn input(&mut self, name: &'static str, value: impl fmt::Display) {
        self.inputs.insert(name, value.to_string());
    }

    /// Adds a metric without a budget to the report.
    pub fn metric(&mut self, name: impl Into<String>, unit: Unit, spread: Spread) {
        self.metrics.push(Metric { name: name.into(), unit, spread, budget: None, verdict: None });
    }

    /// Adds a metric whose median must be within the budget to the report.
    pub fn bounded_metric(&mut self, name: impl Into<String>, unit: Unit, spread: Spread, budget: Budget) {
        let margin = if unit.is_time() { self.time_margin } else { 1.0 };
        let budget = self.overrides.applied(Budget { limit: budget.limit * margin, ..budget });
        // A median that is not a number counts as over the budget.
        let within = spread.median <= budget.limit;
        let verdict = Some(if within { Verdict::Within } else { Verdict::Over });
        self.metrics.push(Metric { name: name.into(), unit, spread, budget: Some(budget), verdict });
    }

    /// Adds a remark to the report.
    pub fn remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// Returns the name of each exceeded budget together with the name of the metric.
    pub fn crossed(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let over = self.metrics.iter().filter(|f| f.verdict == Some(Verdict::Over));
        over.filter_map(|f| Some((f.budget?.name, f.name.as_str())))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {}", self.slope)?;
        for (name, value) in &self.inputs {
            writeln!(f, "   input  {name}: {value}")?;
        }
        for metric in &self.metrics {
            writeln!(f, "   {metric}")?;
        }
        for remark in &self.remarks {
            writeln!(f, "   remark {remark}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: f64| self.unit.show(value);
        let Spread { samples, min, median, p99, max } = self.spread;
        write!(f, "figure {}: {}", self.name, show(median))?;
        if samples > 1 {
            write!(f, " (min {}, p99 {}, max {}, n {samples})", show(min), show(p99), show(max))?;
        }
        let (Some(budget), Some(verdict)) = (self.budget, self.verdict) else { return Ok(()) };
        let word = if verdict == Verdict::Within { "within" } else { "OVER" };
        write!(f, " [{word} budget {} of {}]", budget.name, show(budget.limit))
    }
}
