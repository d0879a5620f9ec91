//! Runs many isolated heronroute dispatchers. They read and write JSON lines on standard input and output.

use heronroute_wirehost::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let stdin = io::stdin();
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = Host::default();
    for (number, line) in stdin.lock().lines().enumerate() {
        let at_line = |error: String| format!("line {}: {error}", number + 1);
        let line = line.map_err(|error| at_line(error.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line).map_err(at_line)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|error| at_line(error.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heronroute-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
