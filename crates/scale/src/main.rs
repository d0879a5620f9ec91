//! Measures how costs grow with the size of the fleet and of its lists ("slopes"), as a basis of `docs/CAPACITY.md`.
//! The measurements use real daemon processes if these fit on one machine, otherwise simulated senders.
//! Simulated senders ("hollow" in reports and names) run the real decision code without clients and endpoints.
//!
//! Each subcommand prints its inputs and its metrics, with the spread and budget of each metric.
//! A subcommand fails with the name of every budget that a metric exceeds.

#![forbid(unsafe_code)]

mod budget;
mod process;
mod report;
mod simulated_fleet;
mod simulated_module;
mod skew;
mod slopes;
mod spread;
mod target;

use anyhow::{Context, Result};
use budget::Overrides;
use clap::{Parser, Subcommand};
use report::Report;
use slopes::Setup;
use std::path::PathBuf;
use std::process::ExitCode;

/// Measure how memory, processor time and traffic grow with the fleet and its list.
#[derive(Parser)]
#[command(name = "embershore-scale", version)]
struct Arguments {
    /// Use small sizes that take a few seconds in all; CI runs the small sizes.
    #[arg(long, global = true)]
    small: bool,
    /// Print one JSON object per slope instead of text.
    #[arg(long, global = true)]
    json: bool,
    /// Path of the daemon's binary [default: the release build of this workspace].
    #[arg(long, global = true)]
    binary: Option<PathBuf>,
    /// Override the limit of the budget NAME, in the budget's unit (bytes, seconds, cores or a ratio).
    #[arg(long, global = true, value_name = "NAME=LIMIT")]
    budget: Vec<String>,
    /// Seed of all random numbers.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    slope: Slope,
}

#[derive(Clone, Copy, Subcommand)]
enum Slope {
    /// Memory and time to readiness of a real daemon, by the length of its endpoint list.
    ListMemory,
    /// Processor time per message of a real daemon, by the length of its endpoint list.
    MessageCpu,
    /// Processor time of the decision module's idle rounds, by the length of its endpoint list.
    ModuleRound,
    /// Memory, journal size and restart time of a real daemon, by the number of queued messages.
    Held,
    /// Datagrams and bytes of the membership gossip, by the number of members.
    Membership,
    /// Times, size, evenness and movement of the placement table.
    Placement,
    /// Owned destinations, load and control traffic of each of 15,000 simulated senders.
    Fleet,
    /// Time and memory to read the full endpoint list as a stream.
    ListStream,
    /// Cost of a message in a simulated sender, compared with real processes.
    HollowCheck,
    /// Number of destinations that simulated senders own, compared with the number that real processes retain.
    OwnersCheck,
    /// Measure all slopes, one after another.
    All,
}

const ALL: [Slope; 10] = [
    Slope::ModuleRound,
    Slope::Placement,
    Slope::Fleet,
    Slope::ListStream,
    Slope::Membership,
    Slope::ListMemory,
    Slope::MessageCpu,
    Slope::Held,
    Slope::HollowCheck,
    Slope::OwnersCheck,
];

impl Slope {
    fn measure(self, setup: &Setup) -> Result<Report> {
        match self {
            Slope::ListMemory => slopes::list_memory::run(setup),
            Slope::MessageCpu => slopes::message_cpu::run(setup),
            Slope::ModuleRound => slopes::module_round::run(setup),
            Slope::Held => slopes::held::run(setup),
            Slope::Membership => slopes::membership::run(setup),
            Slope::Placement => slopes::placement::run(setup),
            Slope::Fleet => slopes::fleet::run(setup),
            Slope::ListStream => slopes::list_stream::run(setup),
            Slope::HollowCheck => slopes::hollow_check::run(setup),
            Slope::OwnersCheck => slopes::owners_check::run(setup),
            Slope::All => anyhow::bail!("'all' is not a single slope"),
        }
    }
}

fn default_binary() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../target/release/embershore")
}

fn print(report: &Report, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        println!("{report}");
    }
    Ok(())
}

/// Makes the chosen measurements and prints their metrics. Returns whether every metric is within its budget.
fn measure(arguments: &Arguments) -> Result<bool> {
    let setup = Setup {
        small: arguments.small,
        binary: arguments.binary.clone().unwrap_or_else(default_binary),
        overrides: Overrides::parse(&arguments.budget)?,
        seed: arguments.seed,
    };
    let chosen = std::slice::from_ref(&arguments.slope);
    let slopes = if matches!(arguments.slope, Slope::All) { &ALL[..] } else { chosen };
    let mut within = true;
    for slope in slopes {
        let report = slope.measure(&setup)?;
        print(&report, arguments.json).context("the report can't be written")?;
        for (budget, metric) in report.crossed() {
            eprintln!("budget {budget} crossed: {}: {metric}", report.slope);
            within = false;
        }
    }
    Ok(within)
}

fn main() -> ExitCode {
    match measure(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("embershore-scale: {error:#}");
            ExitCode::from(2)
        }
    }
}
