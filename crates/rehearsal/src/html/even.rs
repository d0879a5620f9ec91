//! A heat map of each receiver's load, with a row per endpoint and a column per second.
//! A cell's shade shows the endpoint's calls divided by the mean of all endpoints in that second.

use super::escape;
use crate::judge::{Evenness, Table};
use crate::span::Micros;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Maximum number of receivers with a heat map; the receivers with the most calls get a heat map.
const MAX_PICTURES: usize = 8;
/// Maximum number of endpoints in a heat map, one row each; further endpoints are left out.
const MAX_ROWS: usize = 60;
/// Height of a heat map's row in pixels.
const ROW_HEIGHT_PX: u32 = 14;
/// Time that a column of a heat map covers.
const COLUMN_US: Micros = 1_000_000;
/// Calls of an endpoint, divided by the mean, from which on its cell has the strongest colour.
const DARKEST_TIMES_MEAN: f64 = 3.0;

/// Returns the page's section on how evenly calls spread; empty if no receiver has several endpoints.
pub(super) fn section(table: &Table, all: &[Evenness]) -> Result<String, String> {
    if all.is_empty() {
        return Ok(String::new());
    }
    let mut calls: BTreeMap<i64, BTreeMap<&str, Vec<Micros>>> = BTreeMap::new();
    for call in table.calls.values() {
        let Some(receiver) = call.receiver else { continue };
        calls.entry(receiver).or_default().entry(&call.endpoint).or_default().push(call.t);
    }
    for (name, (receiver, _)) in &table.endpoints {
        calls.entry(*receiver).or_default().entry(name).or_default();
    }
    let mut busiest: Vec<&Evenness> = all.iter().collect();
    busiest.sort_by_key(|e| {
        let total_calls: usize = calls.get(&e.receiver).map_or(0, |c| c.values().map(Vec::len).sum());
        (std::cmp::Reverse(total_calls), e.receiver)
    });
    let mut out = String::from(
        "<h2>Evenness</h2><p>A row for each endpoint, a column for each second. White had no call, grey a mean part of \
         that second's, darker more; red is three times the mean and more.</p>",
    );
    for evenness in busiest.iter().take(MAX_PICTURES) {
        let Some(rows) = calls.get(&evenness.receiver) else { continue };
        let svg = draw_heat_map(rows, table.end)
            .map_err(|error| format!("evenness of {}: {error}", evenness.receiver))?;
        let summaries = evenness.spreads.iter().filter_map(|s| {
            let (busiest, idlest) = (s.busiest?, s.idlest?);
            let window = s.window as f64 / 1e6;
            Some(format!(
                "{window:.1} s: busiest {busiest:.2}, idlest {idlest:.2}, variance {:.2}",
                s.variance
            ))
        });
        let summaries: Vec<String> = summaries.collect();
        out += &format!(
            "<h3>Receiver {}</h3><p class=\"legend\">{}</p>{svg}",
            evenness.receiver,
            escape(&summaries.join("; "))
        );
    }
    if all.len() > MAX_PICTURES {
        out += &format!("<p>{} more receivers have no picture.</p>", all.len() - MAX_PICTURES);
    }
    Ok(out)
}

fn draw_heat_map(
    rows: &BTreeMap<&str, Vec<Micros>>,
    end: Micros,
) -> Result<String, Box<dyn std::error::Error>> {
    let columns = (end / COLUMN_US + 1).max(1) as usize;
    let mut counts: Vec<(&str, Vec<f64>)> = Vec::new();
    for (name, calls) in rows.iter().take(MAX_ROWS) {
        let mut row = vec![0.0; columns];
        calls.iter().for_each(|t| row[((t / COLUMN_US).max(0) as usize).min(columns - 1)] += 1.0);
        counts.push((name, row));
    }
    let height = 34 + ROW_HEIGHT_PX * counts.len() as u32;
    let names: Vec<String> = counts.iter().map(|(name, _)| (*name).to_string()).collect();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(4)
            .x_label_area_size(24)
            .y_label_area_size(62)
            .build_cartesian_2d(0.0..columns as f64, 0.0..names.len().max(1) as f64)?;
        let label = |y: &f64| names.get(*y as usize).cloned().unwrap_or_default();
        let mut mesh = chart.configure_mesh();
        mesh.disable_mesh().x_desc("s").y_labels(names.len()).y_label_formatter(&label).draw()?;
        for column in 0..columns {
            let sum: f64 = counts.iter().map(|(_, row)| row[column]).sum();
            let active = counts.iter().filter(|(_, row)| row.iter().any(|c| *c > 0.0)).count().max(1);
            let mean = (sum / active as f64).max(f64::MIN_POSITIVE);
            let cells = counts.iter().enumerate().filter(|(_, (_, row))| row[column] > 0.0);
            chart.draw_series(cells.map(|(n, (_, row))| {
                let cell = [(column as f64, n as f64), (column as f64 + 1.0, n as f64 + 0.9)];
                Rectangle::new(cell, shade(row[column] / mean).filled())
            }))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Returns the colour of a heat map's cell: light to dark grey, and red from [`DARKEST_TIMES_MEAN`] on.
fn shade(times: f64) -> RGBColor {
    if times >= DARKEST_TIMES_MEAN {
        return super::CRIMSON;
    }
    let level = (235.0 - 180.0 * times / DARKEST_TIMES_MEAN).clamp(0.0, 255.0) as u8;
    RGBColor(level, level, level.saturating_add(12))
}
