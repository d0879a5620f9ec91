//! Chores of the developers.
//!
//! `cargo run -p xtask -- guards` takes each guard of `scripts/guards.toml` out of a copy of the sources, one at a
//! time, and looks whether the test or scenario that the file names misses it. It takes long, so it is run by hand,
//! and its last result is kept in `docs/design/guards.md`.

use anyhow::{Context, Result, bail, ensure};
use clap::{Parser, Subcommand};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Output};

/// What of the sources is copied; all else is no part of a build.
const PARTS: [&str; 9] = [
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
/// Failing tests that the table names for a guard; the rest are counted.
const NAMED_MOST: usize = 3;

#[derive(Parser)]
#[command(about = "Chores of the developers")]
struct Arguments {
    #[command(subcommand)]
    chore: Chore,
}

#[derive(Subcommand)]
enum Chore {
    /// Take guards out one at a time, and see which test or scenario misses each.
    ///
    /// Exit codes: 0 each guard was missed, 1 some was not, 2 something is wrong with the list or the sources.
    Guards {
        /// Only those whose name contains this.
        #[arg(long, default_value = "")]
        only: String,
        /// Write the table here.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// The list of guards.
        #[arg(long, default_value = "scripts/guards.toml")]
        list: PathBuf,
    },
}

/// The list of guards.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    guard: Vec<Guard>,
}

/// A guard, how it is taken out, and what is to miss it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Guard {
    name: String,
    /// The rule that it guards, 1 to 6.
    rule: u8,
    #[serde(default = "logic")]
    file: String,
    /// What stands in the source, exactly once.
    find: String,
    replace: String,
    /// Arguments of `cargo test` that are to fail.
    #[serde(default)]
    test: Vec<String>,
    /// A shipped scenario that is to break the rule.
    #[serde(default)]
    scenario: Option<String>,
}

fn logic() -> String {
    "src/logic.rs".into()
}

/// What became of a guard that was taken out.
enum Seen {
    /// It was missed by these.
    Missed(Vec<String>),
    /// By nothing.
    Unmissed,
    /// It does not even build.
    NoBuild,
    /// The rig was late: play it again on a machine with more time.
    Void,
}

fn main() -> ExitCode {
    let Arguments { chore: Chore::Guards { only, out, list } } = Arguments::parse();
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
    ensure!(root.join("src/logic.rs").is_file(), "start it from the repository's root");
    let text = std::fs::read_to_string(list).with_context(|| list.display().to_string())?;
    let list: List = toml::from_str(&text).with_context(|| list.display().to_string())?;
    for g in &list.guard {
        check(&root, g).with_context(|| format!("guard '{}'", g.name))?;
    }
    let work = root.join("target/guards");
    let chosen: Vec<&Guard> = list.guard.iter().filter(|g| g.name.contains(only)).collect();
    let mut seen: Vec<(&Guard, Seen)> = Vec::new();
    for (n, guard) in chosen.iter().enumerate() {
        eprint!("{:>3} of {}  rule {}  {} ... ", n + 1, chosen.len(), guard.rule, guard.name);
        let found = without(&root, &work, guard).with_context(|| format!("guard '{}'", guard.name))?;
        eprintln!("{}", words(&found));
        seen.push((guard, found));
    }
    let table = table(&seen);
    match out {
        Some(path) => std::fs::write(path, table).with_context(|| path.display().to_string())?,
        None => print!("{table}"),
    }
    Ok(seen.iter().all(|(_, s)| matches!(s, Seen::Missed(_))))
}

/// A guard whose place can't be found, or that nothing is to miss, is a mistake of the list.
fn check(root: &Path, guard: &Guard) -> Result<()> {
    ensure!((1..=6).contains(&guard.rule), "the rules are 1 to 6");
    ensure!(guard.test.is_empty() == guard.scenario.is_some(), "give it either 'test' or 'scenario'");
    let text = std::fs::read_to_string(root.join(&guard.file)).with_context(|| guard.file.clone())?;
    match text.matches(&guard.find).count() {
        1 => Ok(()),
        n => bail!("'find' stands {n} times in {}; it must stand there once", guard.file),
    }
}

fn without(root: &Path, work: &Path, guard: &Guard) -> Result<Seen> {
    std::fs::create_dir_all(work)?;
    for part in PARTS {
        copy(&root.join(part), &work.join(part)).with_context(|| part.to_string())?;
    }
    // The sources may have changed since the start.
    check(work, guard)?;
    let path = work.join(&guard.file);
    let text = std::fs::read_to_string(&path)?;
    std::fs::write(&path, text.replacen(&guard.find, &guard.replace, 1))?;
    match &guard.scenario {
        Some(scenario) => by_scenario(work, guard.rule, scenario),
        None => by_test(work, &guard.test),
    }
}

fn cargo(work: &Path) -> Command {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    // What is left out leaves things unused; that is no finding. Builds are many: they need not be the best.
    cargo.current_dir(work).env("RUSTFLAGS", "-Awarnings").env("CARGO_TARGET_DIR", work.join("target"));
    cargo.env("CARGO_PROFILE_RELEASE_LTO", "off").env("CARGO_PROFILE_RELEASE_CODEGEN_UNITS", "16");
    cargo
}

fn by_test(work: &Path, test: &[String]) -> Result<Seen> {
    let mut build = cargo(work);
    build.arg("test").arg("--locked").arg("--no-run").args(test.iter().take_while(|a| *a != "--"));
    if !build.output()?.status.success() {
        return Ok(Seen::NoBuild);
    }
    let run = cargo(work).arg("test").arg("--locked").arg("--no-fail-fast").args(test).output()?;
    if run.status.success() {
        return Ok(Seen::Unmissed);
    }
    let text = String::from_utf8_lossy(&run.stdout);
    let failed = text.lines().filter_map(|l| l.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    let mut failed: Vec<String> = failed.map(Into::into).collect();
    ensure!(!failed.is_empty(), "the tests ended without a verdict: {}", last_lines(&run));
    failed.sort();
    failed.dedup();
    Ok(Seen::Missed(failed))
}

fn by_scenario(work: &Path, rule: u8, scenario: &str) -> Result<Seen> {
    let build = cargo(work).args(["build", "--locked", "--release", "--bin", "embershore"]).output()?;
    if !build.status.success() {
        return Ok(Seen::NoBuild);
    }
    let evidence = work.join("evidence");
    _ = std::fs::remove_dir_all(&evidence);
    let run = Command::new(work.join("target/release/embershore"))
        .args(["rehearse", "run", scenario, "--json", "--quiet", "--evidence"])
        .arg(&evidence)
        .output()?;
    let report: serde_json::Value = serde_json::from_slice(&run.stdout).with_context(|| last_lines(&run))?;
    if !report["void"].is_null() {
        return Ok(Seen::Void);
    }
    let ruling = &report["rules"][usize::from(rule) - 1];
    let broken = ruling["broken"].as_u64().unwrap_or(0);
    Ok(if broken > 0 { Seen::Missed(vec![format!("{scenario}: {broken} offences")]) } else { Seen::Unmissed })
}

fn last_lines(run: &Output) -> String {
    let text = String::from_utf8_lossy(&run.stderr);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(5)..].join("; ")
}

/// Copies what differs, so that an unchanged file is not built again.
fn copy(from: &Path, to: &Path) -> Result<()> {
    if from.is_dir() {
        std::fs::create_dir_all(to)?;
        let mut names = BTreeMap::new();
        for entry in std::fs::read_dir(from)? {
            let entry = entry?;
            names.insert(entry.file_name(), entry.path());
        }
        // What was removed from the sources goes from the copy too.
        for entry in std::fs::read_dir(to)? {
            let entry = entry?;
            if !names.contains_key(&entry.file_name()) {
                let path = entry.path();
                if path.is_dir() { std::fs::remove_dir_all(path)? } else { std::fs::remove_file(path)? }
            }
        }
        return names.iter().try_for_each(|(name, path)| copy(path, &to.join(name)));
    }
    let bytes = std::fs::read(from)?;
    if std::fs::read(to).ok().as_ref() != Some(&bytes) {
        std::fs::write(to, bytes)?;
    }
    Ok(())
}

fn words(seen: &Seen) -> String {
    match seen {
        Seen::Missed(by) => {
            let more = by.len().saturating_sub(NAMED_MOST);
            let more = if more > 0 { format!(" and {more} more") } else { String::new() };
            format!("{}{more}", by[..by.len().min(NAMED_MOST)].join(", "))
        }
        Seen::Unmissed => "NOTHING misses it".into(),
        Seen::NoBuild => "it does not build without".into(),
        Seen::Void => "the run was void".into(),
    }
}

fn table(seen: &[(&Guard, Seen)]) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    _ = writeln!(out, "| rule | taken out | missed by |\n| --- | --- | --- |");
    let mut sorted: Vec<_> = seen.iter().collect();
    sorted.sort_by_key(|(g, _)| g.rule);
    for (guard, seen) in sorted {
        _ = writeln!(out, "| {} | {} | {} |", guard.rule, guard.name, words(seen).replace('_', "\\_"));
    }
    out
}
