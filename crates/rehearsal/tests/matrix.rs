//! Tests of the table that aggregates the reports of many runs.

mod common;
use common::*;
use embershore_rehearsal::history::{Event, NoticeState};
use embershore_rehearsal::matrix::{Cell, page, rows, text};
use embershore_rehearsal::report::{Report, from_records};
use std::collections::BTreeMap;

/// Returns the report of a run with ten messages: `delivered` of the messages are delivered, the rest are refused.
/// The rig's timers fire late by `lag_ms`.
fn run(delivered: usize, lag_ms: i64) -> Report {
    let mut h = History::new();
    for n in 0..10 {
        let id = format!("m{n}");
        h.accepted(n * 10, 0, &id, SAFE);
        if (n as usize) < delivered {
            h.sent(n * 10 + 20, 0, "e1", &id, 200);
        } else {
            h.notice(5_000, &id, NoticeState::Returned);
        }
    }
    h.at(6_000, Event::Lag { max_us: lag_ms * 1000 }).over(20_000);
    from_records(&h.records, "by hand").unwrap().0
}

fn cell(senders: usize, seed: u64) -> Cell {
    Cell { scenario: "by hand".into(), senders, seed }
}

#[test]
fn runs_with_the_same_number_of_senders_are_one_row_without_void_ones() {
    let runs: BTreeMap<Cell, Report> = [
        (cell(12, 1), run(10, 0)),
        (cell(3, 1), run(10, 0)),
        (cell(3, 2), run(6, 0)),
        (cell(3, 3), run(0, 600)),
    ]
    .into();
    let rows = rows(&runs);
    let seen: Vec<(usize, usize, usize)> = rows.iter().map(|r| (r.senders, r.runs, r.void)).collect();
    assert_eq!(seen, [(3, 2, 1), (12, 1, 0)]);
    assert!((rows[0].late_refused_failed[1] - 0.2).abs() < 1e-9, "{:?}", rows[0]);
    let [least, mean, most] = rows[0].service;
    assert!(least < mean && mean < most && rows[1].service[1] == most);
    assert_eq!(rows[0].margins.get("1 no message lost"), Some(&5_410.0));
    let table = text(&rows);
    assert_eq!(table.lines().count(), 3);
    let page = page(&rows).unwrap();
    assert!(page.matches("<svg").count() == 7 && page.contains("by hand"));
}

#[test]
fn a_folder_is_named_by_its_run() {
    assert_eq!(cell(12, 7).folder(), "by hand-n12-s7");
}
