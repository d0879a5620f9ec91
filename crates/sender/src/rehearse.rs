//! `embershore rehearse`: the command line of the rehearsal kit.

use crate::cli::BAD;
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
  embershore rehearse                               the built-in evening rush, about a minute
  embershore rehearse list                          the shipped scenarios
  embershore rehearse run cold-return --html r.html a shipped scenario, with pictures
  embershore rehearse run evening.toml --json       a scenario of one's own, for a machine to read
  embershore rehearse matrix return-herd --seeds 1,2,3 --out herd --html herd.html
                                                    the same evening with 1 to 24 senders
  embershore rehearse tell 127.0.0.1:7070 slow receiver=3 for=10s factor=8

Exit codes: 0 all rules kept, 1 a rule broken, 2 bad arguments, scenario or evidence, 3 void, since the rig itself
ran late or was cut off.";

/// Rehearses an evening without any partner's part in it.
///
/// Stand-in receivers, a directory and clients on loopback are put around real daemon processes. All that they see
/// is taken down, and judged by the six rules and the service. Without a subcommand the built-in evening rush is
/// played.
#[derive(Args)]
#[command(after_help = EXAMPLES, args_conflicts_with_subcommands = true)]
pub struct Arguments {
    #[command(subcommand)]
    what: Option<What>,
    #[command(flatten)]
    play: Play,
}

#[derive(Args, Clone, Default)]
struct Play {
    /// Another seed than the scenario's: other traffic of the same kind.
    #[arg(long)]
    seed: Option<u64>,
    /// Another number of senders, all alike: the same load, and the same slots and room in all.
    #[arg(long, value_name = "NUMBER")]
    senders: Option<usize>,
    /// The folder for the evidence: history, configurations, logs. A new one below the system's folder for
    /// temporary files if not given.
    #[arg(long, value_name = "FOLDER")]
    evidence: Option<PathBuf>,
    /// The report as one HTML page with pictures.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// The report as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// No progress on standard error.
    #[arg(long)]
    quiet: bool,
    /// Listen here for `rehearse tell`; loopback only.
    #[arg(long, value_name = "ADDRESS")]
    control: Option<SocketAddr>,
}

#[derive(Subcommand)]
enum What {
    /// Play a scenario: a file, or the name of a shipped one.
    Run {
        /// The scenario.
        scenario: String,
        /// Play against a sender that someone else has started, once for each of the scenario's; the rig writes
        /// their configurations into the evidence's folder.
        #[arg(long, value_name = "ADDRESS")]
        sender: Vec<SocketAddr>,
        #[command(flatten)]
        play: Play,
    },
    /// Check a scenario and say what it would play. Starts nothing.
    Check {
        /// The scenario.
        scenario: String,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The scenarios that ship with the kit.
    List {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Print the text of this one, as a beginning for one's own.
        #[arg(long, value_name = "NAME")]
        show: Option<String>,
    },
    /// Stand-in receivers and directory alone, for senders that someone else starts.
    Serve {
        /// The scenario.
        scenario: String,
        /// Where each of the scenario's senders will listen.
        #[arg(long, value_name = "ADDRESS", required = true)]
        sender: Vec<SocketAddr>,
        #[command(flatten)]
        play: Play,
    },
    /// Judge a recorded run again.
    Judge {
        /// Its history, or the folder that it lies in.
        evidence: PathBuf,
        #[command(flatten)]
        play: Shown,
    },
    /// Compare two recorded runs.
    Compare {
        /// One.
        a: PathBuf,
        /// The other.
        b: PathBuf,
        /// Both reports as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play scenarios by numbers of senders by seeds, and show the table.
    Matrix(Matrix),
    /// Have something done while a rehearsal runs that was started with `--control`.
    Tell {
        /// Its control port.
        address: SocketAddr,
        /// What: `status`, or an event such as `slow receiver=3 for=10s factor=8`.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Stand as a tap in front of a sender and write down what it is handed in, as a trace to replay.
    Capture {
        /// Where clients are to connect.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// The sender.
        #[arg(long, value_name = "ADDRESS")]
        to: SocketAddr,
        /// The trace.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// How many seconds; until Ctrl-C if not given.
        #[arg(long)]
        seconds: Option<u64>,
    },
}

#[derive(Args, Clone)]
struct Shown {
    /// The report as one HTML page with pictures.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// The report as JSON on standard output.
    #[arg(long)]
    json: bool,
}

/// Does what the arguments say; the exit code.
pub fn main(arguments: Arguments) -> ExitCode {
    let done = match arguments.what {
        None => play(shipped::ALL[0].name, &arguments.play, Vec::new(), false),
        Some(What::Run { scenario, sender, play: how }) => play(&scenario, &how, sender, false),
        Some(What::Serve { scenario, sender, play: how }) => play(&scenario, &how, sender, true),
        Some(What::Check { scenario, json }) => check(&scenario, json),
        Some(What::List { json, show }) => list(json, show.as_deref()),
        Some(What::Judge { evidence, play }) => show(&evidence, play.html.as_deref(), play.json),
        Some(What::Compare { a, b, json }) => both(&a, &b, json),
        Some(What::Matrix(what)) => matrix::main(&what),
        Some(What::Tell { address, words }) => tell(address, &words.join(" ")),
        Some(What::Capture { listen, to, out, seconds }) => {
            let tap = Tap { listen, to, duration: seconds.map(Duration::from_secs) };
            capture(&tap, &out, |at| eprintln!("listening on {at}, in front of {to}"))
                .map(|n| {
                    eprintln!("{n} messages in {}", out.display());
                    0
                })
                .map_err(Into::into)
        }
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("embershore rehearse: {e}");
            ExitCode::from(BAD)
        }
    }
}

pub(crate) fn read(name: &str) -> Result<Scenario, ScenarioError> {
    match shipped::find(name) {
        // A file of that name goes first: an operator's own copy is meant.
        Some(s) if !Path::new(name).is_file() => {
            Scenario::parse(&format!("{name} (shipped)"), s.text, Path::new("."))
        }
        _ => Scenario::read(Path::new(name)),
    }
}

fn play(name: &str, how: &Play, senders: Vec<SocketAddr>, serve_only: bool) -> Result<u8, Box<dyn Error>> {
    let mut scenario = read(name)?;
    if let Some(seed) = how.seed {
        scenario.parameters.seed = seed;
    }
    if let Some(number) = how.senders {
        scenario.split(number).map_err(|e| format!("--senders {number}: {e}"))?;
    }
    if !senders.is_empty() && senders.len() != scenario.senders.len() {
        return Err(
            format!("the scenario has {} senders; give as many --sender", scenario.senders.len()).into()
        );
    }
    let folder = match &how.evidence {
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
    let (control, stall) = (how.control, None);
    let options = Options { subject, folder: folder.clone(), control, serve_only, stall };
    if !how.quiet {
        eprintln!("rehearsing {}: {}", scenario.parameters.scenario, scenario.about);
        eprintln!("evidence in {}", folder.display());
    }
    rig::run(scenario, &options, progress(how.quiet))?;
    if serve_only {
        return Ok(0);
    }
    show(&folder, how.html.as_deref(), how.json)
}

/// A bar where someone looks on, and else a line now and then.
fn progress(quiet: bool) -> Box<dyn FnMut(Progress)> {
    let words = |p: Progress| {
        format!(
            "{} handed in, {} delivered, {} refused, {} failed",
            p.offered, p.delivered, p.refused, p.failed
        )
    };
    if quiet {
        return Box::new(|_| {});
    }
    if !std::io::stderr().is_terminal() {
        let mut told = 0;
        return Box::new(move |p| {
            if p.t - told >= 10_000_000 {
                told = p.t;
                eprintln!("{:>5.0} s  {}", p.t as f64 / 1e6, words(p));
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
        bar.set_message(words(p));
    })
}

fn show(evidence: &Path, page: Option<&Path>, json: bool) -> Result<u8, Box<dyn Error>> {
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

fn both(a: &Path, b: &Path, json: bool) -> Result<u8, Box<dyn Error>> {
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
    let f = &scenario.parameters;
    let endpoints: usize = scenario.receivers.iter().map(|r| r.endpoints).sum();
    let rate = planned.len() as f64 / (f.length as f64 / 1e6);
    if json {
        let figures = serde_json::json!({
            "scenario": f.scenario, "about": scenario.about, "seed": f.seed, "seconds": f.length as f64 / 1e6,
            "messages": planned.len(), "rate": rate, "receivers": scenario.receivers.len(), "endpoints": endpoints,
            "events": scenario.events.len(), "senders": f.senders,
        });
        println!("{figures:#}");
        return Ok(0);
    }
    println!("{}: {}", f.scenario, scenario.about);
    println!("{} messages in {:.0} s, {rate:.1} a second", planned.len(), f.length as f64 / 1e6);
    println!("{} receivers with {endpoints} endpoints", scenario.receivers.len());
    for s in &f.senders {
        println!("sender {} in {}: {} slots, room for {} messages", s.name, s.zone, s.slots, s.max_open);
    }
    for (at, event) in &scenario.events {
        println!("{:>7.1} s  {event}", *at as f64 / 1e6);
    }
    Ok(0)
}

fn list(json: bool, show: Option<&str>) -> Result<u8, Box<dyn Error>> {
    if let Some(name) = show {
        let found = shipped::find(name)
            .ok_or_else(|| format!("there is no shipped scenario '{name}'; see 'list'"))?;
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
