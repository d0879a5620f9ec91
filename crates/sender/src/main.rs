//! The binary `embershore`, whose code is in the library's module `cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    embershore::cli::main()
}
