//! Hosts many isolated heronroute dispatchers behind JSON lines on standard input and output.

use heronroute_wirehost::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let stdin = io::stdin();
    let mut out = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = Host::default();
    for (number, line) in stdin.lock().lines().enumerate() {
        let at = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| at(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line).map_err(at)?;
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| at(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("heronroute-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
