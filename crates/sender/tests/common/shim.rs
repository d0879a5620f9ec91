//! Builds the shims of these tests: small libraries in C that are loaded into a sender's process (`LD_PRELOAD`).

use std::path::{Path, PathBuf};
use std::process::Command;

/// Compiles `tests/shims/NAME.c` into `folder`, and returns the path of the library.
///
/// # Panics
/// If the C compiler, which also links Rust programs, does not build the shim.
pub fn build(name: &str, folder: &Path) -> PathBuf {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shims").join(name).with_extension("c");
    let library = folder.join(name).with_extension("so");
    let built = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl")
        .status()
        .unwrap();
    assert!(built.success(), "cc could not build {}", source.display());
    library
}
