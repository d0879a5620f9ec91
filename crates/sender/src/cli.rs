//! The command line.

use crate::{check, daemon, rehearse};
use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// What a shell is told when arguments, or a file that they name, can't be used.
pub(crate) const BAD: u8 = 2;

/// Takes messages from clients and delivers them to outside receivers.
///
/// Without arguments it is the daemon: LB_CONFIG names its JSON configuration and LB_STATE a folder that outlasts
/// the process; it logs to standard error and stays in the foreground.
#[derive(Parser)]
#[command(name = "embershore", version)]
struct Arguments {
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
    if std::env::args_os().len() > 1
        && let Some(command) = Arguments::parse().command
    {
        return match command {
            Command::Rehearse(arguments) => rehearse::main(*arguments),
            Command::Check(arguments) => check::main(&arguments),
        };
    }
    match daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("embershore: {e}");
            ExitCode::FAILURE
        }
    }
}
