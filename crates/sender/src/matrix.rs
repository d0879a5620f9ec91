//! `embershore rehearse matrix`: scenarios by number of senders by seeds, as many at once as the machine plays without
//! being late. Each run is a process of its own; a run that is there already is not played again.

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

/// Runs that were late are played again, with fewer beside them, so often.
const AGAIN_MOST: u32 = 1;
/// Name of the report in a run's folder.
const REPORT: &str = "report.json";

/// How often a worker with nothing to do looks again; runs last half a minute.
const LOOK: Duration = Duration::from_millis(100);

/// What to play.
#[derive(Args, Clone)]
pub struct Matrix {
    /// The scenarios: files, or names of shipped ones.
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Numbers of senders: the load, and the slots in all, stay the same.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3, 6, 12, 24])]
    senders: Vec<usize>,
    /// Seeds.
    #[arg(long, value_delimiter = ',', default_values_t = [1])]
    seeds: Vec<u64>,
    /// The folder for the runs; what it holds already is not played again.
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Runs at once; half as many as there are cores if not given. After one that was late it is one less.
    #[arg(long)]
    jobs: Option<usize>,
    /// The table as one HTML page with pictures.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// The table as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Keep each run's history, some tens of MB; else only that of a run in which a rule was broken.
    #[arg(long)]
    keep: bool,
}

/// What is left to play, and how many at once.
struct Queue {
    left: VecDeque<(Cell, String, u32)>,
    runs: BTreeMap<Cell, Report>,
    done: usize,
    most: usize,
    running: usize,
    failed: Option<String>,
}

/// Plays what is not there yet, and shows the table; the exit code.
///
/// # Errors
/// A scenario or a folder is wrong, or a run could not be played.
pub fn main(matrix: &Matrix) -> Result<u8, Box<dyn Error>> {
    if let Some(wrong) = matrix.senders.iter().find(|n| !(1..=MAX_SENDERS).contains(*n)) {
        return Err(format!("--senders {wrong}: a scenario has 1 to {MAX_SENDERS} senders").into());
    }
    let mut cells: Vec<(Cell, String)> = Vec::new();
    for name in &matrix.scenarios {
        let scenario = super::rehearse::read(name)?;
        for senders in &matrix.senders {
            // All are checked before the first is played.
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
    let (mut runs, mut left, many) = (BTreeMap::new(), VecDeque::new(), cells.len());
    for (cell, name) in cells {
        match read(&matrix.out.join(cell.folder()).join(REPORT)) {
            Some(report) => _ = runs.insert(cell, report),
            None => left.push_back((cell, name, 0)),
        }
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let most = matrix.jobs.unwrap_or(cores / 2).max(1);
    eprintln!("{many} runs, {} of them there already, {most} at once", runs.len());
    let all = left.len();
    let queue = Mutex::new(Queue { left, runs, done: 0, most, running: 0, failed: None });
    std::thread::scope(|scope| {
        for _ in 0..most {
            scope.spawn(|| work(matrix, &queue, all));
        }
    });
    let queue = queue.into_inner().unwrap_or_else(PoisonError::into_inner);
    if let Some(why) = queue.failed {
        return Err(why.into());
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

/// A run's report; nothing if it is not there whole, so that the run is played anew.
fn read(path: &Path) -> Option<Report> {
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

fn work(matrix: &Matrix, queue: &Mutex<Queue>, all: usize) {
    loop {
        let next = {
            let mut q = queue.lock().unwrap_or_else(PoisonError::into_inner);
            // One that is still playing may have to be played again.
            if q.failed.is_some() || (q.left.is_empty() && q.running == 0) {
                return;
            }
            let next = if q.running < q.most { q.left.pop_front() } else { None };
            q.running += usize::from(next.is_some());
            next
        };
        let Some(next) = next else {
            std::thread::sleep(LOOK);
            continue;
        };
        let (cell, name, tries) = next;
        let played = play(matrix, &cell, &name);
        let mut q = queue.lock().unwrap_or_else(PoisonError::into_inner);
        q.running -= 1;
        match played {
            Ok(report) => match &report.judgement.void {
                Some(why) if tries < AGAIN_MOST => {
                    q.most = (q.most - 1).max(1);
                    eprintln!("{}: void, {why}; again, {} at once from now on", cell.folder(), q.most);
                    q.left.push_back((cell, name, tries + 1));
                }
                _ => {
                    q.done += 1;
                    let word = if report.judgement.broken() { ", a rule BROKEN" } else { "" };
                    let figure = report.judgement.service.score;
                    eprintln!("{:>4} of {all}  {}: service {figure:.3}{word}", q.done, cell.folder());
                    q.runs.insert(cell, report);
                }
            },
            Err(why) => {
                q.failed.get_or_insert(format!("{}: {why}", cell.folder()));
            }
        }
    }
}

/// Plays one run as a process of its own, and leaves its report.
fn play(matrix: &Matrix, cell: &Cell, name: &str) -> Result<Report, Box<dyn Error>> {
    let folder = matrix.out.join(cell.folder());
    // What an interrupted run left there is no part of this one.
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
    // Written whole or not at all: its name says that the run is there.
    let new = folder.join("report.new");
    std::fs::write(&new, &run.stdout)?;
    std::fs::rename(&new, folder.join(REPORT))?;
    Ok(report)
}
