//! Runs every measurement of `embershore-scale` at its small size, and checks how an exceeded budget is reported.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Returns the path of the daemon built by `cargo test --workspace`, `target/PROFILE/embershore`.
fn daemon() -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own path");
    let profile = test.ancestors().nth(2).expect("the test is in target/PROFILE/deps");
    let daemon = profile.join("embershore");
    assert!(
        daemon.exists(),
        "{} is missing: build it with `cargo build --bin embershore` or test the whole workspace",
        daemon.display()
    );
    daemon
}

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_embershore-scale"));
    command.args(arguments).output().expect("the command starts")
}

fn small(slope: &str) -> Vec<serde_json::Value> {
    let daemon = daemon();
    let output =
        scale(&[slope, "--small", "--json", "--binary", daemon.to_str().expect("the path is UTF-8")]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{slope}: {errors}");
    let text = String::from_utf8(output.stdout).expect("reports are UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("each report is a JSON object")).collect()
}

#[test]
fn every_slope_is_within_its_budgets_at_its_small_size() {
    let reports = small("all");
    let slopes: Vec<&str> = reports.iter().filter_map(|report| report["slope"].as_str()).collect();
    let expected = [
        "module-round",
        "placement",
        "fleet",
        "list-stream",
        "membership",
        "list-memory",
        "message-cpu",
        "held",
        "hollow-check",
        "owners-check",
    ];
    assert_eq!(slopes, expected);
    for report in &reports {
        assert!(report["figures"].as_array().is_some_and(|figures| !figures.is_empty()), "{report}");
    }
}

#[test]
fn a_crossed_budget_fails_with_its_name() {
    let within = scale(&["module-round", "--small"]);
    assert!(within.status.success());
    let over = scale(&["module-round", "--small", "--budget", "sender-cpu=0"]);
    assert_eq!(over.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&over.stderr);
    assert!(errors.contains("budget sender-cpu crossed: module-round"), "{errors}");
    assert!(String::from_utf8_lossy(&over.stdout).contains("OVER budget sender-cpu"));
}

#[test]
fn an_unknown_budget_and_a_missing_daemon_are_named() {
    let unknown = scale(&["module-round", "--small", "--budget", "patience=1"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("there is no budget 'patience'"));
    let missing = scale(&["list-memory", "--small", "--binary", "/nowhere/embershore"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/nowhere/embershore can't be started"));
}
