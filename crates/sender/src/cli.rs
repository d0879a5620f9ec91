//! The command line of the binary: the daemon, `rehearse` and `check`.

use crate::{check, daemon, rehearse};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid arguments, or for a file named in them that can't be read.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Takes messages from clients and delivers them to outside receivers.
///
/// Without arguments it is the daemon: LB_CONFIG names its JSON configuration and LB_STATE a folder that outlasts
/// the process; it logs to standard error and stays in the foreground. LB_OPTIONS or --options names the operator's
/// options file; without one, nothing that such a file switches on exists.
#[derive(Parser)]
#[command(name = "embershore", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// The daemon's options file, instead of the one that LB_OPTIONS names.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Rehearse a scenario: run real senders among stand-in receivers, directory and clients, and judge the run.
    Rehearse(Box<rehearse::Arguments>),
    /// Check an options file, and show its effect on undeliverable messages.
    Check(check::Arguments),
}

/// Parses the arguments, runs the daemon or a subcommand, and returns the exit code.
pub fn main() -> ExitCode {
    // The platform starts the daemon without arguments; clap is not run in this case.
    let mut options = None;
    if std::env::args_os().len() > 1 {
        let arguments = Arguments::parse();
        match arguments.command {
            Some(Command::Rehearse(arguments)) => return rehearse::main(*arguments),
            Some(Command::Check(arguments)) => return check::main(&arguments),
            None => options = arguments.options,
        }
    }
    match daemon::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("embershore: {e}");
            ExitCode::FAILURE
        }
    }
}
