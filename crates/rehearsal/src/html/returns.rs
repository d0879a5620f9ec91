//! A chart of each return from an outage: the load of all senders on the receiver against the overload limit.
//! Below the load, the chart shows the calls of each sender.

use super::{AMBER, CRIMSON, GREEN, SLATE, escape};
use crate::judge::{ArrivalEnd, Return, Table, returns};
use crate::span::Micros;
use plotters::prelude::*;

/// Maximum number of charts on a page; further returns from outages are only in the tables.
const MAX_PICTURES: usize = 24;
/// Width and height of a return's chart in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 420);
/// Maximum number of rows in a chart, one for each sender; further senders share the last row.
const MAX_ROWS: usize = 100;
/// Time shown in a chart before the receiver's return.
const LEAD_US: Micros = 1_000_000;
/// Time shown in a chart after the receiver is warm.
const TRAIL_US: Micros = 500_000;

/// Returns the page's section about returns from outages; empty if the run has no returns.
pub(super) fn section(table: &Table) -> Result<String, String> {
    let all = returns(table);
    if all.is_empty() {
        return Ok(String::new());
    }
    let mut out = String::from(
        "<h2>Returns</h2><p>Above: the load within one fall window, with what pushes the receiver over (red) and 0.85 \
         of it (dashed). Below: each call and probe by its sender; green was delivered, amber turned away, red failed. \
         Grey rows are senders that had seen nothing of the outage.</p>",
    );
    for (n, this_return) in all.iter().take(MAX_PICTURES).enumerate() {
        let name = this_return.route.clone().unwrap_or_else(|| this_return.receiver.to_string());
        let svg = draw_chart(table, this_return).map_err(|e| format!("return of {name}: {e}"))?;
        let peak = this_return.peak().map_or(0.0, |p| p.share());
        // Only the first return's chart is unfolded, since a run may have many returns.
        let open = if n == 0 { " open" } else { "" };
        let (name, at) = (escape(&name), this_return.back_at as f64 / 1e6);
        out += &format!(
            "<details{open}><summary>Return {} of {}: receiver {name} at {at:.2} s, {} senders knew, share of fall \
             {peak:.2}</summary>{svg}</details>",
            n + 1,
            all.len(),
            this_return.aware.len()
        );
    }
    if all.len() > MAX_PICTURES {
        out += &format!("<p>{} more returns have no picture.</p>", all.len() - MAX_PICTURES);
    }
    Ok(out)
}

fn draw_chart(table: &Table, this_return: &Return) -> Result<String, Box<dyn std::error::Error>> {
    let warm = table.receiver(this_return.receiver).map_or(0, |x| x.warm_up);
    let (from, to) = (-(LEAD_US as f64) / 1e6, (warm + TRAIL_US) as f64 / 1e6);
    let seconds = |t: Micros| (t - this_return.back_at) as f64 / 1e6;
    let step = (warm / 100).max(1);
    let limit = |share: f64| -> Vec<(f64, f64)> {
        let at = |n: Micros| (n * step) as f64 / 1e6;
        (0..=100).map(|n| (at(n), share * this_return.overload_limit(table, n * step))).collect()
    };
    let max = limit(1.0).iter().map(|p| p.1).fold(1.0, f64::max);
    let max = this_return.loads.iter().map(|l| l.sent).fold(max, f64::max) * 1.05;
    let rows = table.parameters.senders.len().clamp(1, MAX_ROWS);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let (upper, lower) = area.split_vertically(230);
        let mut chart = ChartBuilder::on(&upper)
            .margin(6)
            .x_label_area_size(20)
            .y_label_area_size(52)
            .build_cartesian_2d(from..to, 0.0..max)?;
        chart.configure_mesh().light_line_style(RGBColor(240, 240, 240)).y_desc("load").draw()?;
        chart.draw_series(LineSeries::new(limit(1.0), CRIMSON.stroke_width(2)))?;
        for dash in limit(0.85).chunks(4).filter_map(|c| c.get(..2)) {
            chart.draw_series(LineSeries::new(dash.iter().copied(), CRIMSON))?;
        }
        // The load curve has points only at arrivals of calls and probes, which is exact enough for the peaks.
        // Between two arrivals the load only decreases, as older arrivals leave the overload window.
        let mut line: Vec<(f64, f64)> = Vec::new();
        for l in &this_return.loads {
            line.extend(line.last().map(|(_, y)| (seconds(l.t), *y)));
            line.push((seconds(l.t), l.sent));
        }
        chart.draw_series(LineSeries::new(line, SLATE.stroke_width(2)))?;
        let mut chart = ChartBuilder::on(&lower)
            .margin(6)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(from..to, 0.0..rows as f64)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh().light_line_style(RGBColor(240, 240, 240)).x_desc("s after the return");
        mesh.y_desc("sender").draw()?;
        for sender in (0..rows).filter(|n| !this_return.aware.contains(n)) {
            let row = [(from, sender as f64), (to, sender as f64 + 1.0)];
            chart.draw_series([Rectangle::new(row, RGBColor(236, 236, 236).filled())])?;
        }
        let colour = |end: ArrivalEnd| match end {
            ArrivalEnd::Delivered => GREEN,
            ArrivalEnd::Rejected => AMBER,
            ArrivalEnd::Failed => CRIMSON,
        };
        let here = |c: &&crate::judge::Call| {
            c.receiver == Some(this_return.receiver)
                && this_return.route.as_ref().is_none_or(|route| *route == c.endpoint)
        };
        let calls = table.calls.values().filter(here);
        let before = calls
            .filter(|c| c.t <= this_return.back_at && c.t > this_return.back_at - LEAD_US)
            .map(|c| (c.t, c.sender, CRIMSON));
        let after = this_return.arrivals.iter().filter(|p| p.t <= this_return.back_at + warm + TRAIL_US);
        let points = before.chain(after.map(|p| (p.t, p.sender, colour(p.end))));
        chart.draw_series(points.map(|(t, sender, colour)| {
            let y = sender.min(rows - 1) as f64 + 0.5;
            Circle::new((seconds(t), y), 2, colour.filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
