//! `embershore rehearse`: the command line of the rehearsal tools.

use crate::cli::EXIT_USAGE;
use crate::matrix::{self, Matrix};
use clap::{Args, Subcommand};
use embershore_rehearsal::capture::{Tap, capture};
use embershore_rehearsal::plan;
use embershore_rehearsal::report::{Report, compare, report};
use embershore_rehearsal::rig::{self, Options, Progress, Subject};
use embershore_rehearsal::scenario::{Scenario, ScenarioError};
use embershore_rehearsal::{html, shipped};
use std::error::Error;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const EXAMPLES: &str = "\
Examples:
  embershore rehearse                               run the built-in evening rush, about a minute
  embershore rehearse list                          list the shipped scenarios
  embershore rehearse run cold-return --html r.html run a shipped scenario and write a page with charts
  embershore rehearse run evening.toml --json       run a scenario file and print the report as JSON
  embershore rehearse matrix return-herd --seeds 1,2,3 --out herd --html herd.html
                                                    run a scenario with 1 to 24 senders
  embershore rehearse tell 127.0.0.1:7070 slow receiver=3 for=10s factor=8

Exit codes: 0 all rules kept, 1 a rule broken, 2 invalid arguments, scenario or evidence, 3 void, since the rig itself
ran late or was cut off.";

/// Rehearses a scenario without any outside receiver.
///
/// Runs real daemon processes among stand-in receivers, a directory and clients on loopback. Everything that these see
/// is recorded, and judged by the six rules and the service metric. Without a subcommand the built-in evening rush is
/// run.
#[derive(Args)]
#[command(after_help = EXAMPLES, args_conflicts_with_subcommands = true)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunOptions,
}

/// Options of the subcommands that run a scenario.
#[derive(Args, Clone, Default)]
struct RunOptions {
    /// Use this seed instead of the scenario's, for other traffic of the same kind.
    #[arg(long)]
    seed: Option<u64>,
    /// Use this number of identical senders; the load and the totals of slots and open messages stay the same.
    #[arg(long, value_name = "NUMBER")]
    senders: Option<usize>,
    /// The folder for the evidence: history, configurations, logs [default: a new folder in the system's folder for
    /// temporary files].
    #[arg(long, value_name = "FOLDER")]
    evidence: Option<PathBuf>,
    /// Write the report as one HTML page with charts.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Print the report as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Print no progress on standard error.
    #[arg(long)]
    quiet: bool,
    /// The address at which to accept `rehearse tell` commands; loopback only.
    #[arg(long, value_name = "ADDRESS")]
    control: Option<SocketAddr>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario: a file, or the name of a shipped one.
    Run {
        /// The scenario: a file or a shipped name.
        scenario: String,
        /// Run against a sender that is started by other means; to be given once for each of the scenario's senders.
        /// Their configurations are written to the evidence folder.
        #[arg(long, value_name = "ADDRESS")]
        sender: Vec<SocketAddr>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Check a scenario and print a summary of it. Starts nothing.
    Check {
        /// The scenario: a file or a shipped name.
        scenario: String,
        /// Print the summary as JSON.
        #[arg(long)]
        json: bool,
    },
    /// List the shipped scenarios.
    List {
        /// Print the list as JSON.
        #[arg(long)]
        json: bool,
        /// Print the text of this scenario, as a template.
        #[arg(long, value_name = "NAME")]
        show: Option<String>,
    },
    /// Run only the stand-in receivers and the directory, for senders that are started by other means.
    Serve {
        /// The scenario: a file or a shipped name.
        scenario: String,
        /// The address at which a sender will listen; to be given once for each of the scenario's senders.
        #[arg(long, value_name = "ADDRESS", required = true)]
        sender: Vec<SocketAddr>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Judge a recorded run again.
    Judge {
        /// The run's history file or evidence folder.
        evidence: PathBuf,
        #[command(flatten)]
        output: ReportOptions,
    },
    /// Compare two recorded runs.
    Compare {
        /// History file or evidence folder of the first run.
        a: PathBuf,
        /// History file or evidence folder of the second run.
        b: PathBuf,
        /// Print both reports as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run scenarios for each number of senders and each seed, and print the table of results.
    Matrix(Matrix),
    /// Send a command to a running rehearsal that was started with `--control`.
    Tell {
        /// The control address of the rehearsal.
        address: SocketAddr,
        /// The command: `status`, or an event such as `slow receiver=3 for=10s factor=8`.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Relay the clients' connections to a sender and record the messages as a trace to replay.
    Capture {
        /// The address at which clients connect.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// The sender's address.
        #[arg(long, value_name = "ADDRESS")]
        to: SocketAddr,
        /// The trace file to write.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// Duration in seconds [default: until Ctrl-C].
        #[arg(long)]
        seconds: Option<u64>,
    },
}

/// Options of the report's output.
#[derive(Args, Clone)]
struct ReportOptions {
    /// Write the report as one HTML page with charts.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Print the report as JSON on standard output.
    #[arg(long)]
    json: bool,
}

/// Runs the subcommand of `embershore rehearse` and returns the exit code.
pub fn main(arguments: Arguments) -> ExitCode {
    let result = match arguments.command {
        None => run(shipped::ALL[0].name, &arguments.run, Vec::new(), false),
        Some(Command::Run { scenario, sender, options }) => run(&scenario, &options, sender, false),
        Some(Command::Serve { scenario, sender, options }) => run(&scenario, &options, sender, true),
        Some(Command::Check { scenario, json }) => check(&scenario, json),
        Some(Command::List { json, show }) => list(json, show.as_deref()),
        Some(Command::Judge { evidence, output }) => {
            print_report(&evidence, output.html.as_deref(), output.json)
        }
        Some(Command::Compare { a, b, json }) => compare_runs(&a, &b, json),
        Some(Command::Matrix(matrix)) => matrix::main(&matrix),
        Some(Command::Tell { address, words }) => tell(address, &words.join(" ")),
        Some(Command::Capture { listen, to, out, seconds }) => {
            let tap = Tap { listen, to, duration: seconds.map(Duration::from_secs) };
            capture(&tap, &out, |at| eprintln!("listening on {at}, relaying to {to}"))
                .map(|n| {
                    eprintln!("{n} messages recorded in {}", out.display());
                    0
                })
                .map_err(Into::into)
        }
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("embershore rehearse: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Reads a scenario by file name or shipped name.
pub(crate) fn read(name: &str) -> Result<Scenario, ScenarioError> {
    match shipped::find(name) {
        // A file with a shipped scenario's name takes precedence: the file is the operator's own copy.
        Some(s) if !Path::new(name).is_file() => {
            Scenario::parse(&format!("{name} (shipped)"), s.text, Path::new("."))
        }
        _ => Scenario::read(Path::new(name)),
    }
}

/// Runs a scenario, or with `serve_only` only the scenario's stand-ins, and prints the report.
fn run(
    name: &str,
    run_options: &RunOptions,
    senders: Vec<SocketAddr>,
    serve_only: bool,
) -> Result<u8, Box<dyn Error>> {
    let mut scenario = read(name)?;
    if let Some(seed) = run_options.seed {
        scenario.parameters.seed = seed;
    }
    if let Some(number) = run_options.senders {
        scenario.split(number).map_err(|e| format!("--senders {number}: {e}"))?;
    }
    if !senders.is_empty() && senders.len() != scenario.senders.len() {
        return Err(format!(
            "the scenario has {} senders, but --sender was given {} times",
            scenario.senders.len(),
            senders.len()
        )
        .into());
    }
    let folder = match &run_options.evidence {
        Some(folder) => folder.clone(),
        None => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let name = format!("rehearsal-{}-{now}-{}", scenario.parameters.scenario, std::process::id());
            std::env::temp_dir().join(name)
        }
    };
    let subject = if senders.is_empty() {
        Subject::Spawn(std::env::current_exe()?)
    } else {
        Subject::External(senders)
    };
    let (control, stall) = (run_options.control, None);
    let options = Options { subject, folder: folder.clone(), control, serve_only, stall };
    if !run_options.quiet {
        eprintln!("running scenario {}: {}", scenario.parameters.scenario, scenario.about);
        eprintln!("evidence in {}", folder.display());
    }
    rig::run(scenario, &options, progress(run_options.quiet))?;
    if serve_only {
        return Ok(0);
    }
    print_report(&folder, run_options.html.as_deref(), run_options.json)
}

/// Returns the progress display of a rehearsal: a bar on a terminal, else a line every 10 s; nothing with `--quiet`.
fn progress(quiet: bool) -> Box<dyn FnMut(Progress)> {
    let counts = |p: Progress| {
        format!(
            "{} submitted, {} delivered, {} refused, {} failed",
            p.offered, p.delivered, p.refused, p.failed
        )
    };
    if quiet {
        return Box::new(|_| {});
    }
    if !std::io::stderr().is_terminal() {
        let mut last_printed = 0;
        return Box::new(move |p| {
            if p.t - last_printed >= 10_000_000 {
                last_printed = p.t;
                eprintln!("{:>5.0} s  {}", p.t as f64 / 1e6, counts(p));
            }
        });
    }
    let bar = indicatif::ProgressBar::new(1);
    let style = indicatif::ProgressStyle::with_template("[{bar:30}] {pos:>3}/{len} s  {msg}");
    if let Ok(style) = style {
        bar.set_style(style.progress_chars("=> "));
    }
    Box::new(move |p| {
        bar.set_length((p.length / 1_000_000).max(1) as u64);
        bar.set_position((p.t.min(p.length) / 1_000_000) as u64);
        bar.set_message(counts(p));
    })
}

/// Judges a recorded rehearsal and prints the report; with `page` also writes the report as HTML.
fn print_report(evidence: &Path, page: Option<&Path>, json: bool) -> Result<u8, Box<dyn Error>> {
    let (report, table) = report(evidence)?;
    if let Some(path) = page {
        let page = html::page(&report, &table)?;
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(report.exit_code())
}

fn compare_runs(a: &Path, b: &Path, json: bool) -> Result<u8, Box<dyn Error>> {
    let ((a, _), (b, _)) = (report(a)?, report(b)?);
    if json {
        println!("{}", serde_json::to_string_pretty(&[&a, &b] as &[&Report])?);
    } else {
        print!("{}", compare(&a, &b));
    }
    Ok(0)
}

fn check(name: &str, json: bool) -> Result<u8, Box<dyn Error>> {
    let scenario = read(name)?;
    let planned = plan::plan(&scenario)?;
    let parameters = &scenario.parameters;
    let endpoints: usize = scenario.receivers.iter().map(|r| r.endpoints).sum();
    let rate = planned.len() as f64 / (parameters.length as f64 / 1e6);
    if json {
        let summary = serde_json::json!({
            "scenario": parameters.scenario, "about": scenario.about, "seed": parameters.seed,
            "seconds": parameters.length as f64 / 1e6,
            "messages": planned.len(), "rate": rate, "receivers": scenario.receivers.len(), "endpoints": endpoints,
            "events": scenario.events.len(), "senders": parameters.senders,
        });
        println!("{summary:#}");
        return Ok(0);
    }
    println!("{}: {}", parameters.scenario, scenario.about);
    println!("{} messages in {:.0} s, {rate:.1} per second", planned.len(), parameters.length as f64 / 1e6);
    println!("{} receivers with {endpoints} endpoints", scenario.receivers.len());
    for s in &parameters.senders {
        println!("sender {} in {}: {} slots, at most {} open messages", s.name, s.zone, s.slots, s.max_open);
    }
    for (at, event) in &scenario.events {
        println!("{:>7.1} s  {event}", *at as f64 / 1e6);
    }
    Ok(0)
}

fn list(json: bool, show: Option<&str>) -> Result<u8, Box<dyn Error>> {
    if let Some(name) = show {
        let found = shipped::find(name).ok_or_else(|| {
            format!("no shipped scenario is named '{name}'; see 'embershore rehearse list'")
        })?;
        print!("{}", found.text);
        return Ok(0);
    }
    let mut all = Vec::new();
    for s in shipped::ALL {
        let scenario = Scenario::parse(s.name, s.text, Path::new("."))?;
        all.push((s.name, scenario.parameters.length as f64 / 1e6, scenario.about));
    }
    if json {
        let all = all.iter().map(
            |(name, seconds, about)| serde_json::json!({"name": name, "seconds": seconds, "about": about}),
        );
        println!("{:#}", serde_json::Value::from(all.collect::<Vec<_>>()));
    } else {
        all.iter().for_each(|(name, seconds, about)| println!("{name:<20} {seconds:>4.0} s  {about}"));
    }
    Ok(0)
}

fn tell(address: SocketAddr, line: &str) -> Result<u8, Box<dyn Error>> {
    let answer = rig::send_command(address, line)
        .map_err(|e| format!("{address}: {e}; is a rehearsal running with --control?"))?;
    match answer.strip_prefix("ok ") {
        Some(text) => {
            println!("{text}");
            Ok(0)
        }
        None => Err(answer.trim_start_matches("error ").into()),
    }
}
