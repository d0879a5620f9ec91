//! Developer tasks of this repository. The only task is `guards`.
//!
//! A guard is a piece of source code that enforces a rule; `scripts/guards.toml` lists the guards.
//! `cargo run -p xtask -- guards` removes each guard from a copy of the sources, one guard at a time.
//! After each removal, the task checks that the test or scenario in the guard's list entry fails.
//! The task takes long, so developers run it by hand; `docs/design/guards.md` contains the last result.

use anyhow::{Context, Result, bail, ensure};
use clap::{Parser, Subcommand};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Output};

/// Paths of the repository that are copied: the only paths that a build without the guard needs.
const COPIED_PATHS: [&str; 9] = [
    "Cargo.toml",
    "Cargo.lock",
    "src",
    "tests",
    "crates",
    "rehearsals",
    "rustfmt.toml",
    "deploy",
    "README.md",
];
/// Maximum number of failing tests that the result table names for a guard; further tests are only counted.
const MAX_NAMED_TESTS: usize = 3;

#[derive(Parser)]
#[command(about = "Developer tasks")]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Remove guards from a copy of the sources, one at a time, and check that a test or scenario fails.
    ///
    /// Exit codes: 0 every removal was detected, 1 some removal was not, 2 the list is invalid or a command failed.
    Guards {
        /// Only check guards whose name contains the given text.
        #[arg(long, default_value = "")]
        only: String,
        /// Write the table of results to the given file instead of standard output.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// File with the list of guards.
        #[arg(long, default_value = "scripts/guards.toml")]
        list: PathBuf,
    },
}

/// Contents of the file with the list of guards.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    guard: Vec<Guard>,
}

/// A guard in the sources, the edit that removes it, and the check that must fail after its removal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Guard {
    name: String,
    /// Number of the delivery rule that the guard enforces, 1 to 6.
    rule: u8,
    #[serde(default = "default_file")]
    file: String,
    /// Source text of the guard, which occurs exactly once in the file.
    find: String,
    replace: String,
    /// Arguments of a `cargo test` command that must fail once the guard is removed.
    #[serde(default)]
    test: Vec<String>,
    /// Name of a shipped rehearsal scenario that must break the rule once the guard is removed.
    #[serde(default)]
    scenario: Option<String>,
}

fn default_file() -> String {
    "src/logic.rs".into()
}

/// Result of the removal of one guard: whether the named tests or the scenario detected the removal.
enum Outcome {
    /// Names of the tests, or of the scenario, that failed without the guard.
    Detected(Vec<String>),
    /// All tests, or the scenario, passed without the guard.
    Undetected,
    /// The sources without the guard do not compile.
    BuildFailed,
    /// The rehearsal was void because its rig was late; it must be repeated on a less busy machine.
    Void,
}

fn main() -> ExitCode {
    let Arguments { task: Task::Guards { only, out, list } } = Arguments::parse();
    match guards(&only, out.as_deref(), &list) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("xtask: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn guards(only: &str, out: Option<&Path>, list: &Path) -> Result<bool> {
    let root = std::env::current_dir()?;
    ensure!(
        root.join("src/logic.rs").is_file(),
        "src/logic.rs not found; run this in the root of the repository"
    );
    let text = std::fs::read_to_string(list).with_context(|| format!("{} can't be read", list.display()))?;
    let list: List = toml::from_str(&text).with_context(|| format!("{} is invalid", list.display()))?;
    for guard in &list.guard {
        check(&root, guard).with_context(|| format!("guard '{}'", guard.name))?;
    }
    let work = root.join("target/guards");
    let chosen: Vec<&Guard> = list.guard.iter().filter(|g| g.name.contains(only)).collect();
    let mut results: Vec<(&Guard, Outcome)> = Vec::new();
    for (n, guard) in chosen.iter().enumerate() {
        eprint!("{:>3} of {}  rule {}  {} ... ", n + 1, chosen.len(), guard.rule, guard.name);
        let outcome = remove_guard(&root, &work, guard).with_context(|| format!("guard '{}'", guard.name))?;
        eprintln!("{}", describe(&outcome));
        results.push((guard, outcome));
    }
    let table = table(&results);
    match out {
        Some(path) => {
            std::fs::write(path, table).with_context(|| format!("{} can't be written", path.display()))?
        }
        None => print!("{table}"),
    }
    Ok(results.iter().all(|(_, outcome)| matches!(outcome, Outcome::Detected(_))))
}

/// Checks an entry of the list of guards: its rule, its single check, and that its text occurs exactly once.
fn check(root: &Path, guard: &Guard) -> Result<()> {
    ensure!((1..=6).contains(&guard.rule), "rule {} does not exist; the rules are 1 to 6", guard.rule);
    ensure!(
        guard.test.is_empty() == guard.scenario.is_some(),
        "the entry must have either 'test' or 'scenario'"
    );
    let text = std::fs::read_to_string(root.join(&guard.file))
        .with_context(|| format!("{} can't be read", guard.file))?;
    match text.matches(&guard.find).count() {
        1 => Ok(()),
        n => bail!("'find' occurs {n} times in {}; it must occur exactly once", guard.file),
    }
}

fn remove_guard(root: &Path, work: &Path, guard: &Guard) -> Result<Outcome> {
    std::fs::create_dir_all(work)?;
    for part in COPIED_PATHS {
        sync(&root.join(part), &work.join(part)).with_context(|| format!("{part} can't be copied"))?;
    }
    // The sources may have changed since the full list of guards was checked.
    check(work, guard)?;
    let path = work.join(&guard.file);
    let text = std::fs::read_to_string(&path)?;
    std::fs::write(&path, text.replacen(&guard.find, &guard.replace, 1))?;
    match &guard.scenario {
        Some(scenario) => run_scenario(work, guard.rule, scenario),
        None => run_tests(work, &guard.test),
    }
}

fn cargo(work: &Path) -> Command {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    // Removed guards leave unused items, so warnings are off. There are many builds, so the builds are optimised less.
    cargo.current_dir(work).env("RUSTFLAGS", "-Awarnings").env("CARGO_TARGET_DIR", work.join("target"));
    cargo.env("CARGO_PROFILE_RELEASE_LTO", "off").env("CARGO_PROFILE_RELEASE_CODEGEN_UNITS", "16");
    cargo
}

fn run_tests(work: &Path, test: &[String]) -> Result<Outcome> {
    let mut build = cargo(work);
    build.arg("test").arg("--locked").arg("--no-run").args(test.iter().take_while(|a| *a != "--"));
    if !build.output()?.status.success() {
        return Ok(Outcome::BuildFailed);
    }
    let run = cargo(work).arg("test").arg("--locked").arg("--no-fail-fast").args(test).output()?;
    if run.status.success() {
        return Ok(Outcome::Undetected);
    }
    let text = String::from_utf8_lossy(&run.stdout);
    let failed = text.lines().filter_map(|l| l.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    let mut failed: Vec<String> = failed.map(Into::into).collect();
    ensure!(!failed.is_empty(), "cargo test failed without naming a failed test: {}", last_lines(&run));
    failed.sort();
    failed.dedup();
    Ok(Outcome::Detected(failed))
}

fn run_scenario(work: &Path, rule: u8, scenario: &str) -> Result<Outcome> {
    let build = cargo(work).args(["build", "--locked", "--release", "--bin", "embershore"]).output()?;
    if !build.status.success() {
        return Ok(Outcome::BuildFailed);
    }
    let evidence = work.join("evidence");
    _ = std::fs::remove_dir_all(&evidence);
    let run = Command::new(work.join("target/release/embershore"))
        .args(["rehearse", "run", scenario, "--json", "--quiet", "--evidence"])
        .arg(&evidence)
        .output()?;
    let report: serde_json::Value = serde_json::from_slice(&run.stdout).with_context(|| last_lines(&run))?;
    if !report["void"].is_null() {
        return Ok(Outcome::Void);
    }
    let ruling = &report["rules"][usize::from(rule) - 1];
    let broken = ruling["broken"].as_u64().unwrap_or(0);
    Ok(if broken > 0 {
        Outcome::Detected(vec![format!("{scenario}: {broken} offences")])
    } else {
        Outcome::Undetected
    })
}

fn last_lines(run: &Output) -> String {
    let text = String::from_utf8_lossy(&run.stderr);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(5)..].join("; ")
}

/// Copies files that differ and deletes those that no longer exist, so that cargo does not rebuild unchanged files.
fn sync(from: &Path, to: &Path) -> Result<()> {
    if from.is_dir() {
        std::fs::create_dir_all(to)?;
        let mut names = BTreeMap::new();
        for entry in std::fs::read_dir(from)? {
            let entry = entry?;
            names.insert(entry.file_name(), entry.path());
        }
        for entry in std::fs::read_dir(to)? {
            let entry = entry?;
            if !names.contains_key(&entry.file_name()) {
                let path = entry.path();
                if path.is_dir() { std::fs::remove_dir_all(path)? } else { std::fs::remove_file(path)? }
            }
        }
        return names.iter().try_for_each(|(name, path)| sync(path, &to.join(name)));
    }
    let bytes = std::fs::read(from)?;
    if std::fs::read(to).ok().as_ref() != Some(&bytes) {
        std::fs::write(to, bytes)?;
    }
    Ok(())
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Detected(by) => {
            let others = by.len().saturating_sub(MAX_NAMED_TESTS);
            let others = if others > 0 { format!(" and {others} more") } else { String::new() };
            format!("{}{others}", by[..by.len().min(MAX_NAMED_TESTS)].join(", "))
        }
        Outcome::Undetected => "NOTHING detects it".into(),
        Outcome::BuildFailed => "the sources do not build without it".into(),
        Outcome::Void => "the rehearsal was void".into(),
    }
}

fn table(results: &[(&Guard, Outcome)]) -> String {
    let mut out = String::new();
    // Writing to a string can't fail, so the results of `writeln!` are ignored.
    _ = writeln!(out, "| rule | removed guard | detected by |\n| --- | --- | --- |");
    let mut sorted: Vec<_> = results.iter().collect();
    sorted.sort_by_key(|(g, _)| g.rule);
    for (guard, outcome) in sorted {
        _ = writeln!(out, "| {} | {} | {} |", guard.rule, guard.name, describe(outcome).replace('_', "\\_"));
    }
    out
}
