//! The list of guards fits the sources: each guard's text stands in its file exactly once, so that taking it out takes
//! out that guard and nothing else.

use std::path::{Path, PathBuf};
use std::process::Command;

/// No guard's name contains this: the list is checked, and no guard is taken out.
const NO_GUARD: &str = "(the name of no guard)";

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Checks a list as `xtask guards` does before it takes anything out. What it complains of, if of anything.
fn check(list: &Path) -> Result<(), String> {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .current_dir(repository())
        .args(["guards", "--only", NO_GUARD, "--list"])
        .arg(list)
        .output()
        .unwrap();
    if output.status.success() { Ok(()) } else { Err(String::from_utf8(output.stderr).unwrap()) }
}

/// A list with one guard.
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
fn a_guard_that_is_gone_or_doubled_or_in_no_file_is_told() {
    assert_eq!(check_one("well", "src/logic.rs", "impl Dispatcher {"), Ok(()));
    let gone = check_one("gone", "src/logic.rs", "no such line stands there").unwrap_err();
    assert!(gone.contains("guard 'gone': 'find' stands 0 times in src/logic.rs"), "{gone}");
    let doubled = check_one("doubled", "src/logic.rs", ") -> bool {").unwrap_err();
    assert!(doubled.contains("guard 'doubled': 'find' stands "), "{doubled}");
    let nowhere = check_one("nowhere", "src/no_such_file.rs", "fn ").unwrap_err();
    assert!(nowhere.contains("src/no_such_file.rs"), "{nowhere}");
}
