//! The one binary: see the library's `cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    embershore::cli::main()
}
