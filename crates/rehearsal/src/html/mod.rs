//! The report as a self-contained HTML page: the text report, with charts in SVG.

mod even;
mod returns;

use crate::judge::{CallEnd, Table, Verdict};
use crate::report::Report;
use crate::span::Micros;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Width and height of a chart in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 260);
/// Maximum number of receivers with their own chart; the receivers with the most calls get a chart.
const MAX_LISTED_RECEIVERS: usize = 8;
/// Maximum number of labelled events in a chart; further events are drawn as lines without labels.
const MAX_LABELLED_MARKS: usize = 24;

pub(crate) const GREEN: RGBColor = RGBColor(46, 125, 50);
pub(crate) const AMBER: RGBColor = RGBColor(239, 108, 0);
pub(crate) const CRIMSON: RGBColor = RGBColor(183, 28, 28);
pub(crate) const SLATE: RGBColor = RGBColor(55, 71, 79);

/// A curve of a chart: the curve's name, its colour, and a value for each second.
struct Line {
    name: String,
    colour: RGBColor,
    values: Vec<f64>,
}

/// Returns the complete report as an HTML page.
///
/// # Errors
/// Fails if a chart cannot be drawn; the error names the chart and the cause.
pub fn page(report: &Report, table: &Table) -> Result<String, String> {
    let seconds = (table.end / 1_000_000 + 1) as usize;
    let mut charts = String::new();
    let mut add = |title: &str, lines: Vec<Line>, limit: Option<f64>| -> Result<(), String> {
        let svg = draw_chart(&lines, limit, seconds, &table.marks).map_err(|e| format!("{title}: {e}"))?;
        let legend = legend(lines.iter().map(|l| (l.name.as_str(), l.colour)));
        charts += &format!("<h3>{}</h3><p class=\"legend\">{legend}</p>{svg}", escape(title));
        Ok(())
    };
    add("Messages a second, by when they were handed in first", offered(table, seconds), None)?;
    add("Latency by class: the longest delivery of each second, in s", latencies(table, seconds), None)?;
    let slots: u32 = table.parameters.senders.iter().map(|s| s.slots).sum();
    add(
        &format!("Calls out at once, all senders ({slots} slots)"),
        slots_used(table, seconds),
        Some(f64::from(slots)),
    )?;
    let room: u32 = table.parameters.senders.iter().map(|s| s.max_open).sum();
    add(&format!("Messages held, all senders (room for {room})"), open_messages(table, seconds), None)?;
    let mut busiest: Vec<_> = report.receivers.iter().collect();
    busiest.sort_by_key(|r| (std::cmp::Reverse(r.calls), r.number));
    for receiver in busiest.iter().take(MAX_LISTED_RECEIVERS) {
        let title = format!(
            "Receiver {} ({}): calls a second against its rate of {:.1}",
            receiver.number, receiver.kind, receiver.rate
        );
        add(&title, calls(table, receiver.number, seconds), Some(receiver.rate))?;
    }
    let marks: String = table
        .marks
        .iter()
        .enumerate()
        .map(|(n, (t, text))| {
            format!("<tr><td>{}</td><td>{:.1} s</td><td>{}</td></tr>", n + 1, *t as f64 / 1e6, escape(text))
        })
        .collect();
    let rules: String = report.judgement.rules.iter().map(|ruling| {
        let class = match ruling.verdict {
            Verdict::Kept => "kept",
            Verdict::Broken => "broken",
            Verdict::Untested => "untested",
        };
        let violations: String = ruling.violations.iter().map(|violation| {
            let of = [violation.message.as_deref(), violation.endpoint.as_deref()];
            let of: Vec<&str> = of.into_iter().flatten().collect();
            format!("<li>{:.3} s {}: {}</li>", violation.t as f64 / 1e6, escape(&of.join(" at ")), escape(&violation.what))
        }).collect();
        let margin = ruling.margin.as_ref().map_or(String::new(), |m| format!("<br>{}", escape(&m.to_string())));
        format!(
            "<tr><td>{}</td><td class=\"{class}\">{}</td><td>{} times ({}){margin}<ul>{violations}</ul></td></tr>",
            escape(&ruling.rule.to_string()), ruling.verdict, ruling.tested, escape(&ruling.test)
        )
    }).collect();
    let void = report.judgement.void.as_ref().map_or(String::new(), |w| {
        format!("<p class=\"broken\">Void: {}. What follows proves nothing.</p>", escape(w))
    });
    let returns = returns::section(table)?;
    let even = even::section(table, &report.judgement.evenness)?;
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Rehearsal of {name}</title><style>\
         body{{font:15px/1.45 sans-serif;max-width:940px;margin:2em auto;color:#222}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;padding:3px 8px;text-align:left;vertical-align:top}}\
         ul{{margin:0;padding-left:1.2em}}pre{{background:#f6f6f6;padding:1em;overflow-x:auto;font-size:12.5px}}\
         .kept{{color:#2e7d32;font-weight:bold}}.broken{{color:#b71c1c;font-weight:bold}}.untested{{color:#777}}\
         .legend{{margin:0}}h3{{margin:1.4em 0 .2em}}svg{{max-width:100%;height:auto}}</style></head><body>\
         <h1>Rehearsal of {name}</h1><p>Seed {seed}, {length:.1} s, {messages} messages. \
         Service <b>{figure:.4}</b>.</p>{void}<h2>The six rules</h2><table>{rules}</table>\
         {returns}{even}<h2>Pictures</h2><p>Grey lines are events of the timeline, numbered as below.</p>{charts}\
         <h2>Timeline</h2><table>{marks}</table><h2>All figures</h2><pre>{text}</pre></body></html>\n",
        name = escape(&report.scenario),
        seed = report.seed,
        length = report.seconds,
        messages = report.judgement.service.whole.messages,
        figure = report.judgement.service.score,
        text = escape(&report.text()),
    ))
}

pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Returns a legend of the chart's lines, with each name in its line's colour.
pub(crate) fn legend<'a>(lines: impl Iterator<Item = (&'a str, RGBColor)>) -> String {
    let entry = |(name, RGBColor(r, g, b))| {
        format!("<span style=\"color:rgb({r},{g},{b})\">&#9632; {}</span> ", escape(name))
    };
    lines.map(entry).collect()
}

fn second(t: Micros) -> usize {
    (t.max(0) / 1_000_000) as usize
}

fn offered(table: &Table, seconds: usize) -> Vec<Line> {
    let line = |name: &str, colour| Line { name: name.into(), colour, values: vec![0.0; seconds] };
    let mut lines = vec![
        line("handed in", SLATE),
        line("delivered", GREEN),
        line("refused in the end", AMBER),
        line("failed", CRIMSON),
    ];
    let mut ends: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for message in &table.messages {
        let end = ends.entry(&message.origin).or_insert((second(message.offered), 3));
        if table.delivered(message).is_some() {
            end.1 = 1;
        } else if end.1 != 1 {
            end.1 = if message.refused() { 2 } else { 3 };
        }
    }
    for (at, which) in ends.into_values().filter(|e| e.0 < seconds) {
        lines[0].values[at] += 1.0;
        lines[which].values[at] += 1.0;
    }
    lines
}

fn latencies(table: &Table, seconds: usize) -> Vec<Line> {
    let colours = [GREEN, AMBER, CRIMSON, SLATE];
    let first = table.first_offers();
    let class = |(n, c): (usize, &crate::parameters::Class)| {
        let mut values = vec![0.0; seconds];
        for m in table.messages.iter().filter(|m| m.class == n) {
            if let Some(t) = table.delivered(m) {
                let took = (t - first[m.origin.as_str()]) as f64 / 1e6;
                let at = second(t).min(seconds - 1);
                values[at] = f64::max(values[at], took);
            }
        }
        Line { name: c.name.clone(), colour: colours[n % colours.len()], values }
    };
    table.parameters.classes.iter().enumerate().map(class).collect()
}

/// Returns the maximum number of time spans that were open simultaneously in each second.
fn max_open(spans: impl Iterator<Item = (Micros, Micros)>, seconds: usize) -> Vec<f64> {
    let mut steps: Vec<(Micros, i64)> = spans.flat_map(|(a, b)| [(a, 1), (b, -1)]).collect();
    steps.sort_unstable();
    let (mut values, mut open, mut at) = (vec![0.0; seconds], 0, 0);
    for (t, step) in steps {
        let now = second(t).min(seconds - 1);
        // The number of open spans does not change in seconds without a change.
        while at < now {
            at += 1;
            values[at] = open as f64;
        }
        open += step;
        values[now] = f64::max(values[now], open as f64);
    }
    values
}

fn slots_used(table: &Table, seconds: usize) -> Vec<Line> {
    let spans = table.calls.values().map(|c| (c.t, c.end.as_ref().map_or(table.end, |e| e.0)));
    vec![Line { name: "calls out".into(), colour: SLATE, values: max_open(spans, seconds) }]
}

fn open_messages(table: &Table, seconds: usize) -> Vec<Line> {
    let spans = table.messages.iter().filter_map(|m| {
        let notified = m.notices.iter().map(|n| n.0).min();
        let end = notified.into_iter().chain(table.delivered(m)).min().unwrap_or(table.end);
        Some((m.accepted()?, end))
    });
    vec![Line { name: "messages held".into(), colour: SLATE, values: max_open(spans, seconds) }]
}

fn calls(table: &Table, number: i64, seconds: usize) -> Vec<Line> {
    let line = |name: &str, colour| Line { name: name.into(), colour, values: vec![0.0; seconds] };
    let mut lines =
        vec![line("calls", SLATE), line("turned away", AMBER), line("no answer or an error", CRIMSON)];
    for call in table.calls.values().filter(|c| c.receiver == Some(number)) {
        let at = second(call.t).min(seconds - 1);
        lines[0].values[at] += 1.0;
        match &call.end {
            Some((_, CallEnd::Answer { status: 429 | 503, .. })) => lines[1].values[at] += 1.0,
            Some((_, CallEnd::Answer { status: 200, .. })) => {}
            _ => lines[2].values[at] += 1.0,
        }
    }
    lines
}

fn draw_chart(
    lines: &[Line],
    limit: Option<f64>,
    seconds: usize,
    marks: &[(Micros, String)],
) -> Result<String, Box<dyn std::error::Error>> {
    let max = lines.iter().flat_map(|l| &l.values).copied().chain(limit).fold(1.0, f64::max) * 1.08;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..max)?;
        chart.configure_mesh().light_line_style(RGBColor(240, 240, 240)).x_desc("s").draw()?;
        for (n, (t, _)) in marks.iter().enumerate() {
            let x = *t as f64 / 1e6;
            chart.draw_series(LineSeries::new([(x, 0.0), (x, max)], RGBColor(170, 170, 170)))?;
            if n < MAX_LABELLED_MARKS {
                let style = ("sans-serif", 11).into_font().color(&RGBColor(110, 110, 110));
                chart.draw_series([Text::new((n + 1).to_string(), (x, max), style)])?;
            }
        }
        if let Some(limit) = limit {
            let dashes = (0..seconds).step_by(2).map(|s| [(s as f64, limit), (s as f64 + 1.0, limit)]);
            for dash in dashes {
                chart.draw_series(LineSeries::new(dash, CRIMSON))?;
            }
        }
        for line in lines {
            let points = line.values.iter().enumerate().map(|(s, v)| (s as f64 + 0.5, *v));
            chart.draw_series(LineSeries::new(points, line.colour.stroke_width(2)))?;
        }
        area.present()?;
    }
    Ok(svg)
}
