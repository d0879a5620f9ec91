//! Checks that the list of guards (`scripts/guards.toml`) matches the sources.
//! The text of each guard must occur exactly once in its file, so that the edit removes only that guard.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Text that no guard's name contains: the list is checked, but no guard is removed.
const NO_GUARD: &str = "(the name of no guard)";

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the check of the list with which `xtask guards` begins. Returns the error output if the check fails.
fn check(list: &Path) -> Result<(), String> {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .current_dir(repository())
        .args(["guards", "--only", NO_GUARD, "--list"])
        .arg(list)
        .output()
        .unwrap();
    if output.status.success() { Ok(()) } else { Err(String::from_utf8(output.stderr).unwrap()) }
}

/// Checks a list of guards that contains a single guard with the given name, file and text.
fn check_one(name: &str, file: &str, find: &str) -> Result<(), String> {
    let list = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    let text = format!(
        "[[guard]]\nname = \"{name}\"\nrule = 1\nfile = \"{file}\"\nfind = \"{find}\"\nreplace = \"\"\ntest = [\"-p\", \"x\"]\n"
    );
    std::fs::write(&list, text).unwrap();
    check(&list)
}

#[test]
fn every_guard_stands_in_its_file_exactly_once() {
    assert_eq!(check(Path::new("scripts/guards.toml")), Ok(()));
}

#[test]
fn a_guard_whose_text_is_missing_or_repeated_or_whose_file_is_missing_is_reported() {
    assert_eq!(check_one("valid", "src/logic.rs", "impl Dispatcher {"), Ok(()));
    let missing = check_one("missing", "src/logic.rs", "no such line stands there").unwrap_err();
    assert!(missing.contains("guard 'missing': 'find' occurs 0 times in src/logic.rs"), "{missing}");
    let repeated = check_one("repeated", "src/logic.rs", ") -> bool {").unwrap_err();
    assert!(repeated.contains("guard 'repeated': 'find' occurs "), "{repeated}");
    let no_file = check_one("no-file", "src/no_such_file.rs", "fn ").unwrap_err();
    assert!(no_file.contains("src/no_such_file.rs"), "{no_file}");
}
