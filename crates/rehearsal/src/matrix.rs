//! Aggregates the reports of many runs by scenario and number of senders.
//! The result is a text table and an HTML page with charts. Aggregating does no I/O.

use crate::html::{AMBER, CRIMSON, GREEN, SLATE, escape, legend};
use crate::judge::{Rule, Spread, Verdict};
use crate::report::Report;
use crate::span::Micros;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Identifies a run of a matrix: a scenario, a number of senders and a seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Name of the run's scenario.
    pub scenario: String,
    /// Number of senders in the run.
    pub senders: usize,
    /// Seed of the run's random choices.
    pub seed: u64,
}

impl Cell {
    /// Returns the name of the folder in which the run's evidence is stored.
    pub fn folder(&self) -> String {
        format!("{}-n{}-s{}", self.scenario, self.senders, self.seed)
    }
}

/// Aggregate of all runs of a scenario with the same number of senders, as a row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the scenario of all aggregated runs.
    pub scenario: String,
    /// Number of senders in each run.
    pub senders: usize,
    /// Number of aggregated runs, without void runs.
    pub runs: usize,
    /// Number of void runs, in which the rig itself was late.
    pub void: usize,
    /// Broken rules, with the number of runs that broke each rule.
    pub broken: BTreeMap<String, usize>,
    /// Service score of the runs: minimum, mean and maximum.
    pub service: [f64; 3],
    /// Highest load on a returning receiver as a share of its overload limit: mean and maximum over the runs.
    pub share_of_fall: [f64; 2],
    /// Mean seconds from a return until deliveries reached half, and nine tenths, of their usual number.
    /// A value is `None` if the runs had no return, or if a return never reached that share of the usual number.
    pub back: [Option<f64>; 2],
    /// Shares of messages that were delivered late, finally refused, and failed.
    pub late_refused_failed: [f64; 3],
    /// New connections to endpoints per message.
    pub connections: f64,
    /// Calls refused by receivers per message.
    pub refused_calls: f64,
    /// Evenness of calls over endpoints for the worst receiver in windows of 10 s, as the mean over the runs.
    /// The first two values are the calls of the busiest and of the idlest endpoint, divided by the endpoints' mean.
    /// The third value is the variance of calls per endpoint, divided by the variance of random choices.
    /// The values are `None` if no receiver has enough endpoints and calls to compute the evenness.
    #[serde(default)]
    pub uneven: [Option<f64>; 3],
    /// Median and 90th percentile of the latency in ms; each percentile is the mean over the runs.
    #[serde(default)]
    pub latency_ms: [f64; 2],
    /// Worst value of each rule's safety margin over all runs, by rule, in the unit of the margin.
    pub margins: BTreeMap<String, f64>,
}

/// Aggregates all runs to table rows, in order of scenario and number of senders.
pub fn rows(runs: &BTreeMap<Cell, Report>) -> Vec<Row> {
    let mut groups: BTreeMap<(&str, usize), Vec<&Report>> = BTreeMap::new();
    for (cell, report) in runs {
        groups.entry((&cell.scenario, cell.senders)).or_default().push(report);
    }
    groups.into_iter().map(|((scenario, senders), all)| row(scenario, senders, &all)).collect()
}

fn row(scenario: &str, senders: usize, all: &[&Report]) -> Row {
    let valid: Vec<&Report> = all.iter().copied().filter(|r| r.judgement.void.is_none()).collect();
    let n = valid.len().max(1) as f64;
    let mean = |f: &dyn Fn(&Report) -> f64| valid.iter().map(|r| f(r)).sum::<f64>() / n;
    let service: Vec<f64> = valid.iter().map(|r| r.judgement.service.score).collect();
    let peak = |r: &Report| r.judgement.returns.iter().map(|x| x.peak).fold(0.0, f64::max);
    let back = |of: &dyn Fn(&crate::judge::ReturnSummary) -> Option<Micros>| {
        let all: Vec<Option<Micros>> =
            valid.iter().flat_map(|r| r.judgement.returns.iter().map(of)).collect();
        let known: Option<Vec<Micros>> = all.into_iter().collect();
        let known = known.filter(|k| !k.is_empty())?;
        Some(known.iter().sum::<Micros>() as f64 / 1e6 / known.len() as f64)
    };
    let share = |f: &dyn Fn(&crate::judge::Served) -> usize| {
        mean(&|r| f(&r.judgement.service.whole) as f64 / r.judgement.service.whole.messages.max(1) as f64)
    };
    let penalty = |name: &str| {
        mean(&|r| {
            let service = &r.judgement.service;
            let count = service.penalties.iter().find(|p| p.name.starts_with(name)).map_or(0.0, |p| p.count);
            count / service.whole.messages.max(1) as f64
        })
    };
    let (mut broken, mut margins) = (BTreeMap::new(), BTreeMap::new());
    for ruling in valid.iter().flat_map(|r| &r.judgement.rules) {
        if ruling.verdict == Verdict::Broken {
            *broken.entry(ruling.rule.to_string()).or_insert(0) += 1;
        }
        if let Some(m) = &ruling.margin {
            let worst = margins.entry(ruling.rule.to_string()).or_insert(m.worst);
            *worst = if m.higher_is_worse { worst.max(m.worst) } else { worst.min(m.worst) };
        }
    }
    let longest = |r: &Report, pick: fn(&Spread) -> Option<f64>, worse: fn(f64, f64) -> f64| {
        let spreads = r.judgement.evenness.iter().filter_map(|e| e.spreads.last());
        spreads.filter(|s| s.busiest.is_some()).filter_map(pick).reduce(worse)
    };
    let uneven = |pick: fn(&Spread) -> Option<f64>, worse: fn(f64, f64) -> f64| {
        let all: Vec<f64> = valid.iter().filter_map(|r| longest(r, pick, worse)).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    };
    let overall_latency = |r: &Report| r.latencies.last().cloned().unwrap_or_default();
    Row {
        scenario: scenario.into(),
        senders,
        runs: valid.len(),
        void: all.len() - valid.len(),
        broken,
        service: [
            service.iter().copied().fold(f64::INFINITY, f64::min),
            mean(&|r| r.judgement.service.score),
            service.iter().copied().fold(0.0, f64::max),
        ],
        share_of_fall: [mean(&peak), valid.iter().map(|r| peak(r)).fold(0.0, f64::max)],
        back: [back(&|r| r.half_load_after), back(&|r| r.full_load_after)],
        late_refused_failed: [share(&|w| w.late), share(&|w| w.refused), share(&|w| w.failed)],
        connections: penalty("new connections"),
        refused_calls: penalty("refused calls"),
        uneven: [
            uneven(|s| s.busiest, f64::max),
            uneven(|s| s.idlest, f64::min),
            uneven(|s| Some(s.variance), f64::max),
        ],
        latency_ms: [mean(&|r| overall_latency(r).p50_ms), mean(&|r| overall_latency(r).p90_ms)],
        margins,
    }
}

/// Returns the aggregated rows as a text table.
pub fn text(rows: &[Row]) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    _ = write_text(&mut out, rows);
    out
}

fn write_text(out: &mut String, rows: &[Row]) -> std::fmt::Result {
    writeln!(
        out,
        "{:<20} {:>7} {:>5} {:>5} {:>7} {:>15} {:>13} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>15} {:>11}  broken",
        "scenario",
        "senders",
        "runs",
        "void",
        "service",
        "least to most",
        "fall mean/max",
        "half s",
        "full s",
        "late",
        "refused",
        "failed",
        "conns",
        "busy idle var",
        "p50 p90 ms"
    )?;
    let seconds = |t: Option<f64>| t.map_or("-".into(), |t| format!("{t:.2}"));
    for row in rows {
        let [min, mean, max] = row.service;
        let [late, refused, failed] = row.late_refused_failed;
        let broken: Vec<String> = row.broken.iter().map(|(rule, n)| format!("{rule} ({n})")).collect();
        let spread = if row.runs == 0 { "-".into() } else { format!("{min:.3} to {max:.3}") };
        writeln!(
            out,
            "{:<20} {:>7} {:>5} {:>5} {mean:>7.3} {spread:>15} {:>13} {:>7} {:>7} {late:>6.3} {refused:>7.3} {failed:>6.3} \
             {:>6.3} {:>15} {:>11}  {}",
            row.scenario,
            row.senders,
            row.runs,
            row.void,
            format!("{:.2} / {:.2}", row.share_of_fall[0], row.share_of_fall[1]),
            seconds(row.back[0]),
            seconds(row.back[1]),
            row.connections,
            row.uneven.map(|v| v.map_or("-".into(), |v| format!("{v:.2}"))).join(" "),
            row.latency_ms.map(|v| format!("{v:.0}")).join(" "),
            broken.join(", ")
        )?;
    }
    Ok(())
}

/// Function that returns the value of a table row that a chart shows.
type RowValue = fn(&Row) -> f64;

/// Returns the aggregated rows as an HTML page with a table and charts.
///
/// # Errors
/// Fails if a chart cannot be drawn; the error names the chart and the cause.
pub fn page(rows: &[Row]) -> Result<String, String> {
    let titles_and_values: [(&str, RowValue); 7] = [
        ("Service", |r| r.service[1]),
        ("Highest share reached of what pushes a returning receiver over", |r| r.share_of_fall[1]),
        ("Refused in the end, share of messages", |r| r.late_refused_failed[1]),
        ("Failed, share of messages", |r| r.late_refused_failed[2]),
        ("New connections for each message", |r| r.connections),
        ("Busiest endpoint over the mean in 10 s, worst receiver", |r| r.uneven[0].unwrap_or(0.0)),
        ("Seconds from a return to nine tenths of the usual load", |r| r.back[1].unwrap_or(0.0)),
    ];
    let mut names: Vec<&str> = rows.iter().map(|r| r.scenario.as_str()).collect();
    names.dedup();
    let legend = legend(names.iter().enumerate().map(|(n, name)| (*name, colour(n))));
    let mut charts = String::new();
    for (title, value) in titles_and_values {
        let svg = draw_chart(rows, &names, value).map_err(|e| format!("{title}: {e}"))?;
        charts += &format!("<h3>{title}</h3><p class=\"legend\">{legend}</p>{svg}");
    }
    let margins: String = rows
        .iter()
        .map(|r| {
            let cells: String = Rule::ALL
                .iter()
                .map(|rule| match r.margins.get(&rule.to_string()) {
                    Some(worst) => format!("<td>{worst:.2}</td>"),
                    None => "<td>-</td>".into(),
                })
                .collect();
            format!("<tr><td>{}</td><td>{}</td>{cells}</tr>", escape(&r.scenario), r.senders)
        })
        .collect();
    let heads: String = Rule::ALL.iter().map(|r| format!("<th>{}</th>", escape(&r.to_string()))).collect();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Rehearsals by number of senders</title>\
         <style>body{{font:15px/1.45 sans-serif;max-width:1100px;margin:2em auto;color:#222}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;padding:3px 8px;text-align:right}}\
         pre{{background:#f6f6f6;padding:1em;overflow-x:auto;font-size:12px}}.legend{{margin:0}}\
         svg{{max-width:100%;height:auto}}</style></head><body><h1>Rehearsals by number of senders</h1>\
         <p>The same load, and the same slots in all, split among more senders.</p><pre>{}</pre>{charts}\
         <h2>Worst margins</h2><p>Shares of the fall for rule 4, milliseconds else.</p>\
         <table><tr><th>scenario</th><th>senders</th>{heads}</tr>{margins}</table></body></html>\n",
        escape(&text(rows))
    ))
}

fn colour(n: usize) -> RGBColor {
    const EXTRA_COLOURS: [RGBColor; 8] = [
        SLATE,
        GREEN,
        AMBER,
        CRIMSON,
        RGBColor(21, 101, 192),
        RGBColor(106, 27, 154),
        RGBColor(0, 131, 143),
        RGBColor(121, 85, 72),
    ];
    EXTRA_COLOURS[n % EXTRA_COLOURS.len()]
}

fn draw_chart(rows: &[Row], names: &[&str], value: RowValue) -> Result<String, Box<dyn std::error::Error>> {
    let mut counts: Vec<usize> = rows.iter().map(|r| r.senders).collect();
    counts.sort_unstable();
    counts.dedup();
    let max = rows.iter().map(value).filter(|v| v.is_finite()).fold(0.05, f64::max) * 1.08;
    let place = |senders: usize| counts.iter().position(|c| *c == senders).unwrap_or(0) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 260)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(-0.3..counts.len() as f64 - 0.7, 0.0..max)?;
        let label = |x: &f64| {
            let at = x.round();
            let named = (x - at).abs() < 0.01 && at >= 0.0;
            counts.get(at as usize).filter(|_| named).map_or(String::new(), ToString::to_string)
        };
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(RGBColor(240, 240, 240)).x_labels(2 * counts.len() + 1);
        mesh.x_label_formatter(&label).x_desc("senders").draw()?;
        for (n, name) in names.iter().enumerate() {
            let of = rows.iter().filter(|r| r.scenario == *name && r.runs > 0);
            let points: Vec<(f64, f64)> = of.map(|r| (place(r.senders), value(r))).collect();
            chart.draw_series(LineSeries::new(points.iter().copied(), colour(n).stroke_width(2)))?;
            chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour(n).filled())))?;
        }
        area.present()?;
    }
    Ok(svg)
}
