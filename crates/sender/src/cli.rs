//! The command line.

use crate::daemon;
use clap::Parser;
use std::process::ExitCode;

/// Takes messages from clients and delivers them to outside receivers.
///
/// Without arguments it is the daemon: LB_CONFIG names its JSON configuration and LB_STATE a folder that outlasts
/// the process; it logs to standard error and stays in the foreground.
#[derive(Parser)]
#[command(name = "embershore", version)]
struct Arguments {}

/// Does what the process was started for; its exit code.
pub fn main() -> ExitCode {
    // The daemon as the platform starts it reads no arguments at all.
    if std::env::args_os().len() > 1 {
        let Arguments {} = Arguments::parse();
    }
    match daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("embershore: {e}");
            ExitCode::FAILURE
        }
    }
}
