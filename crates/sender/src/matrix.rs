//! `embershore rehearse matrix`: runs scenarios for each number of senders and each seed.
//! The number of concurrent runs is reduced when the machine is too busy to keep a run's timing.
//! Each run is a process of its own. A run whose report exists is not repeated.

use clap::Args;
use embershore_rehearsal::matrix::{Cell, page, rows, text};
use embershore_rehearsal::report::Report;
use embershore_rehearsal::scenario::MAX_SENDERS;
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Number of times that a void run, in which the rig was late, is repeated, with fewer concurrent runs.
const MAX_REPEATS: u32 = 1;
/// File name of the report in a run's folder.
const REPORT: &str = "report.json";

/// Interval at which an idle worker checks the queue for work; short against the half minute that a run lasts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The arguments of `rehearse matrix`.
#[derive(Args, Clone)]
pub struct Matrix {
    /// The scenarios: files, or names of shipped ones.
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Numbers of senders; the load and the total of slots stay the same.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3, 6, 12, 24])]
    senders: Vec<usize>,
    /// The seeds with which each scenario is run.
    #[arg(long, value_delimiter = ',', default_values_t = [1])]
    seeds: Vec<u64>,
    /// The folder for the runs; runs that it holds already are not repeated.
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Concurrent runs [default: half the number of cores]. Reduced by one after a run that was late.
    #[arg(long)]
    jobs: Option<usize>,
    /// Write the table as one HTML page with charts.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Print the table as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Keep each run's history, some tens of MB. Without it only the histories of runs with a broken rule are kept.
    #[arg(long)]
    keep: bool,
}

/// The remaining runs of the matrix, the reports so far, and the number of concurrent runs.
struct Queue {
    left: VecDeque<(Cell, String, u32)>,
    runs: BTreeMap<Cell, Report>,
    done: usize,
    max_running: usize,
    running: usize,
    failed: Option<String>,
}

/// Runs the matrix's cells that have no report yet, prints the table of results and returns the exit code.
///
/// # Errors
/// An argument, a scenario or the folder is invalid, or a run failed.
pub fn main(matrix: &Matrix) -> Result<u8, Box<dyn Error>> {
    if let Some(wrong) = matrix.senders.iter().find(|n| !(1..=MAX_SENDERS).contains(*n)) {
        return Err(format!("--senders {wrong}: a scenario has 1 to {MAX_SENDERS} senders").into());
    }
    let mut cells: Vec<(Cell, String)> = Vec::new();
    for name in &matrix.scenarios {
        let scenario = super::rehearse::read(name)?;
        for senders in &matrix.senders {
            // All scenarios are checked before the first run.
            scenario.clone().split(*senders).map_err(|e| format!("{name}: {e}"))?;
            let of = |seed: &u64| Cell {
                scenario: scenario.parameters.scenario.clone(),
                senders: *senders,
                seed: *seed,
            };
            cells.extend(matrix.seeds.iter().map(|seed| (of(seed), name.clone())));
        }
    }
    std::fs::create_dir_all(&matrix.out).map_err(|e| format!("{}: {e}", matrix.out.display()))?;
    let (mut runs, mut left, total) = (BTreeMap::new(), VecDeque::new(), cells.len());
    for (cell, name) in cells {
        match read(&matrix.out.join(cell.folder()).join(REPORT)) {
            Some(report) => _ = runs.insert(cell, report),
            None => left.push_back((cell, name, 0)),
        }
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let max_running = matrix.jobs.unwrap_or(cores / 2).max(1);
    eprintln!("{total} runs, {} of them done already, up to {max_running} at once", runs.len());
    let to_run = left.len();
    let queue = Mutex::new(Queue { left, runs, done: 0, max_running, running: 0, failed: None });
    std::thread::scope(|scope| {
        for _ in 0..max_running {
            scope.spawn(|| work(matrix, &queue, to_run));
        }
    });
    let queue = queue.into_inner().unwrap_or_else(PoisonError::into_inner);
    if let Some(reason) = queue.failed {
        return Err(reason.into());
    }
    let rows = rows(&queue.runs);
    if let Some(path) = &matrix.html {
        std::fs::write(path, page(&rows)?).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if matrix.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", text(&rows));
    }
    let (broken, void) = (rows.iter().any(|r| !r.broken.is_empty()), rows.iter().any(|r| r.void > 0));
    Ok(if broken {
        1
    } else if void {
        3
    } else {
        0
    })
}

/// Reads a run's report; None if it is missing or incomplete, so that the run is repeated.
fn read(path: &Path) -> Option<Report> {
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// Executes the queued runs of the matrix until the queue is empty or a run has failed.
fn work(matrix: &Matrix, queue: &Mutex<Queue>, to_run: usize) {
    loop {
        let next = {
            let mut q = queue.lock().unwrap_or_else(PoisonError::into_inner);
            // A worker waits while other workers' runs are in progress: a void run returns to the queue.
            if q.failed.is_some() || (q.left.is_empty() && q.running == 0) {
                return;
            }
            let next = if q.running < q.max_running { q.left.pop_front() } else { None };
            q.running += usize::from(next.is_some());
            next
        };
        let Some(next) = next else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        let (cell, name, tries) = next;
        let played = play(matrix, &cell, &name);
        let mut q = queue.lock().unwrap_or_else(PoisonError::into_inner);
        q.running -= 1;
        match played {
            Ok(report) => match &report.judgement.void {
                Some(reason) if tries < MAX_REPEATS => {
                    q.max_running = (q.max_running - 1).max(1);
                    eprintln!(
                        "{}: void, will be repeated: {reason}; concurrent runs reduced to {}",
                        cell.folder(),
                        q.max_running
                    );
                    q.left.push_back((cell, name, tries + 1));
                }
                _ => {
                    q.done += 1;
                    let broken = if report.judgement.broken() { ", a rule BROKEN" } else { "" };
                    let score = report.judgement.service.score;
                    eprintln!("{:>4} of {to_run}  {}: service {score:.3}{broken}", q.done, cell.folder());
                    q.runs.insert(cell, report);
                }
            },
            Err(reason) => {
                q.failed.get_or_insert(format!("{}: {reason}", cell.folder()));
            }
        }
    }
}

/// Runs one cell of the matrix (scenario, number of senders, seed) as a process of its own and stores its report.
fn play(matrix: &Matrix, cell: &Cell, name: &str) -> Result<Report, Box<dyn Error>> {
    let folder = matrix.out.join(cell.folder());
    // Removes the files of an interrupted run.
    match std::fs::remove_dir_all(&folder) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["rehearse", "run", name, "--json", "--quiet", "--evidence"]).arg(&folder);
    command.args(["--senders", &cell.senders.to_string(), "--seed", &cell.seed.to_string()]);
    let run = command.stdin(Stdio::null()).stderr(Stdio::piped()).output()?;
    let report: Report = match serde_json::from_slice(&run.stdout) {
        Ok(report) => report,
        Err(_) => return Err(String::from_utf8_lossy(&run.stderr).trim().to_string().into()),
    };
    if !matrix.keep && !report.judgement.broken() {
        std::fs::remove_file(folder.join("history.jsonl"))?;
    }
    // The report is renamed only when complete: a report under the final file name means that the run is done.
    let new = folder.join("report.new");
    std::fs::write(&new, &run.stdout)?;
    std::fs::rename(&new, folder.join(REPORT))?;
    Ok(report)
}
