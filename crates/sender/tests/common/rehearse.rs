//! Runs a scenario of the rehearsal kit with real daemons, and asserts that no rule was broken.

use embershore_rehearsal::judge::{Rule, Table, Verdict};
use embershore_rehearsal::report::{Report, report};
use embershore_rehearsal::rig::{self, Options, Subject};
use embershore_rehearsal::scenario::Scenario;

pub const EXECUTABLE: &str = env!("CARGO_BIN_EXE_embershore");

/// Runs a scenario with real daemons. Asserts that no rule was broken and that the rig was not late.
pub fn rehearse(scenario: Scenario) -> (Report, Table) {
    let folder = tempfile::tempdir().unwrap();
    let (subject, folder_path) = (Subject::Spawn(EXECUTABLE.into()), folder.path().to_path_buf());
    let options = Options { subject, folder: folder_path, control: None, serve_only: false, stall: None };
    let (report, table) = report(&rig::run(scenario, &options, |_| {}).unwrap()).unwrap();
    assert_eq!(report.judgement.void, None);
    for r in &report.judgement.rules {
        // The failure message shows the records of the first message with which the rule was broken.
        let first = r.violations.iter().find_map(|o| table.message(o.message.as_ref()?));
        let same = first.map(|f| table.messages.iter().filter(|m| m.origin == f.origin).collect::<Vec<_>>());
        let calls = same.iter().flatten().flat_map(|m| table.attempts(m)).collect::<Vec<_>>();
        assert_ne!(r.verdict, Verdict::Broken, "{}: {:?}\n{same:#?}\n{calls:#?}", r.rule, r.violations);
    }
    (report, table)
}

/// Returns how many times a rule was put to the test.
pub fn tested(report: &Report, rule: Rule) -> usize {
    report.judgement.ruling(rule).unwrap().tested
}
