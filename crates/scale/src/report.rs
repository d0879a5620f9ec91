//! What a slope reports: its inputs, its figures with their spread, and how each stands to its budget.

use crate::budget::{Budget, Overrides};
use crate::slopes::Setup;
use crate::spread::Spread;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Cores of a processor.
    Cores,
    /// A plain count.
    Count,
    /// Events a second.
    PerSecond,
    /// One quantity by another.
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

/// How a figure stands to its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Within it.
    Within,
    /// Over it: the command fails.
    Over,
}

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// In which unit.
    pub unit: Unit,
    /// Its spread over the repeated measurements.
    pub spread: Spread,
    /// What it may be at the most, judged by its median.
    pub budget: Option<Budget>,
    /// How it stands to that.
    pub verdict: Option<Verdict>,
}

/// Everything that one slope has measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The subcommand.
    pub slope: &'static str,
    /// What the figures were measured with.
    pub inputs: BTreeMap<&'static str, String>,
    /// The figures.
    pub figures: Vec<Figure>,
    /// What a reader has to know beside the figures.
    pub remarks: Vec<String>,
    #[serde(skip)]
    overrides: Overrides,
    /// Times may be so many times their budget.
    #[serde(skip)]
    time_margin: f64,
}

/// At the small sizes the code is not optimised and the machine is busy with other tests: there a time only catches a fault.
const SMALL_TIME_MARGIN: f64 = 30.0;

impl Report {
    /// One without a figure yet.
    pub fn new(slope: &'static str, setup: &Setup) -> Self {
        Report {
            slope,
            inputs: BTreeMap::new(),
            figures: Vec::new(),
            remarks: Vec::new(),
            overrides: setup.overrides.clone(),
            time_margin: if setup.small { SMALL_TIME_MARGIN } else { 1.0 },
        }
    }

    /// Notes an input.
    pub fn input(&mut self, name: &'static str, value: impl fmt::Display) {
        self.inputs.insert(name, value.to_string());
    }

    /// Adds a figure that has no budget.
    pub fn figure(&mut self, name: impl Into<String>, unit: Unit, spread: Spread) {
        self.figures.push(Figure { name: name.into(), unit, spread, budget: None, verdict: None });
    }

    /// Adds a figure whose median must be within the budget.
    pub fn bounded(&mut self, name: impl Into<String>, unit: Unit, spread: Spread, budget: Budget) {
        let margin = if unit.is_time() { self.time_margin } else { 1.0 };
        let budget = self.overrides.applied(Budget { limit: budget.limit * margin, ..budget });
        // A figure that is no number is no figure within its budget.
        let within = spread.median <= budget.limit;
        let verdict = Some(if within { Verdict::Within } else { Verdict::Over });
        self.figures.push(Figure { name: name.into(), unit, spread, budget: Some(budget), verdict });
    }

    /// Adds a remark.
    pub fn remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// The budgets that a figure crossed, with the figures' names.
    pub fn crossed(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let over = self.figures.iter().filter(|f| f.verdict == Some(Verdict::Over));
        over.filter_map(|f| Some((f.budget?.name, f.name.as_str())))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {}", self.slope)?;
        for (name, value) in &self.inputs {
            writeln!(f, "   input  {name}: {value}")?;
        }
        for figure in &self.figures {
            writeln!(f, "   {figure}")?;
        }
        for remark in &self.remarks {
            writeln!(f, "   remark {remark}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Figure {
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
