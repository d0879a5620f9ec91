//! Measures the slopes behind `docs/CAPACITY.md`: real daemon processes where they fit on one machine, hollow senders (the
//! real deciding code with its real messages, without clients and endpoints) where they do not.
//!
//! Each subcommand prints its inputs, its figures with their spread and how each stands to its budget, and fails with the
//! budget's name when a figure crosses it.

#![forbid(unsafe_code)]

mod budget;
mod hollow_fleet;
mod hollow_module;
mod process;
mod report;
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

/// Measures how state, processor time and messages grow with the fleet and its list.
#[derive(Parser)]
#[command(name = "embershore-scale", version)]
struct Arguments {
    /// Sizes that take seconds in all, as CI runs them.
    #[arg(long, global = true)]
    small: bool,
    /// One JSON object a slope in place of text.
    #[arg(long, global = true)]
    json: bool,
    /// The daemon's binary; the release build of this workspace unless told otherwise.
    #[arg(long, global = true)]
    binary: Option<PathBuf>,
    /// Another limit for a budget, as NAME=LIMIT in the budget's unit (bytes, seconds, cores or a ratio).
    #[arg(long, global = true, value_name = "NAME=LIMIT")]
    budget: Vec<String>,
    /// Seed of everything random.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    slope: Slope,
}

#[derive(Clone, Copy, Subcommand)]
enum Slope {
    /// Memory and time to ready of a real daemon by the length of its list.
    ListMemory,
    /// Processor time of a real daemon for each message by the length of its list.
    MessageCpu,
    /// Idle rounds of the decision module by the length of its list.
    ModuleRound,
    /// Memory, journal and restart of a real daemon by the messages held.
    Held,
    /// Datagrams and bytes of the membership gossip by the number of members.
    Membership,
    /// The placement's table: times, size, evenness, movement.
    Placement,
    /// 15,000 hollow senders: what each owns, its load, and what it is told of changes.
    Fleet,
    /// Reading the whole list as a stream.
    ListStream,
    /// A hollow result against real processes.
    HollowCheck,
    /// What hollow senders own against what real processes keep.
    OwnersCheck,
    /// Each of them in turn.
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
            Slope::All => anyhow::bail!("'all' is no slope of its own"),
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

/// Measures what was asked for; whether every figure is within its budget.
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
        for (budget, figure) in report.crossed() {
            eprintln!("budget {budget} crossed: {}: {figure}", report.slope);
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
