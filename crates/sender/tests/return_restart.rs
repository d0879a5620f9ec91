//! Guards against thirty restarted senders that overload two small receivers.
//! The senders are killed one second after the receivers returned cold.
//! The restarted senders must not forget that the receivers are warming up.
//! This test is alone in its file: thirty senders next to other rehearsals would make the test setup late.

use embershore_rehearsal::judge::{Rule, Verdict};
use embershore_rehearsal::report::report;
use embershore_rehearsal::rig::{self, Options, Subject};
use embershore_rehearsal::scenario::Scenario;
use embershore_rehearsal::shipped;
use std::path::Path;

const EXECUTABLE: &str = env!("CARGO_BIN_EXE_embershore");

#[test]
fn thirty_restarted_senders_do_not_overload_two_small_receivers() {
    let shipped = shipped::find("return-restart").unwrap();
    // The receivers are warm again 10 s after their return at 18 s.
    let text = shipped.text.replace("length = \"40s\"", "length = \"28s\"");
    assert_ne!(text, shipped.text);
    let scenario = Scenario::parse(shipped.name, &text, Path::new(".")).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (subject, folder) = (Subject::Spawn(EXECUTABLE.into()), folder.path().to_path_buf());
    let options = Options { subject, folder, control: None, serve_only: false, stall: None };
    let (report, _) = report(&rig::run(scenario, &options, |_| {}).unwrap()).unwrap();
    assert_eq!(report.judgement.void, None, "the run must not be void");
    for ruling in &report.judgement.rules {
        assert_ne!(ruling.verdict, Verdict::Broken, "{}: {:?}", ruling.rule, ruling.violations);
    }
    let returns = report.judgement.ruling(Rule::ReturnNotPushedOver).unwrap().tested;
    assert_eq!(returns, 2, "{}", report.text());
}
