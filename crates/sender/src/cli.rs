//! The command line.

use crate::{check, daemon, rehearse};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// What a shell is told when arguments, or a file that they name, can't be used.
pub(crate) const BAD: u8 = 2;

/// Takes messages from clients and delivers them to outside receivers.
///
/// Without arguments it is the daemon: LB_CONFIG names its JSON configuration and LB_STATE a folder that outlasts
/// the process; it logs to standard error and stays in the foreground. LB_OPTIONS or --options names the operator's
/// options file; without one, nothing that such a file switches on exists.
#[derive(Parser)]
#[command(name = "embershore", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// The daemon's options file, in place of the one that LB_OPTIONS names.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Rehearse an evening: stand-in receivers, directory and clients around real senders, and a verdict.
    Rehearse(Box<rehearse::Arguments>),
    /// Check an options file, and say what would become of what.
    Check(check::Arguments),
}

/// Does what the process was started for; its exit code.
pub fn main() -> ExitCode {
    // The daemon as the platform starts it reads no arguments at all.
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
