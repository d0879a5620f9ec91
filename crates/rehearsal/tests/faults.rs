//! Runs faulty stub senders through the whole rig, on sockets.
//! Each stub must break the rule that forbids its fault, and no other rule.

#[path = "common/stub.rs"]
mod stub;

use embershore_rehearsal::judge::{Rule, Verdict};
use embershore_rehearsal::report::{Report, report};
use embershore_rehearsal::rig::{self, Options, Subject};
use embershore_rehearsal::scenario::Scenario;
use std::path::Path;
use stub::Fault;

/// A rehearsal scenario of seven seconds that tests all six delivery rules.
const SCENARIO: &str = r#"
name = "all six"
length = "7s"
[clients]
retries = 1
[directory]
lag = "200ms"
[[class]]
name = "push"
share = 0.3
effect = "keyed"
window = "4s"
aim = "2s"
deadline = "5s"
[[class]]
name = "pay"
share = 0.4
effect = "unsafe"
aim = "2s"
deadline = "5s"
[[class]]
name = "log"
share = 0.3
effect = "safe"
ordered = true
order_keys = 2
order_settle = "300ms"
aim = "2s"
deadline = "5s"
[[kind]]
name = "hook"
# Away for a while, and cold for long: it bears one sender's trickle, not its backlog.
[[receiver]]
number = 1
kind = "hook"
endpoints = 2
share = 0.4
capacity = 40
cold_from = 0.1
warm_up = "30s"
latency = { median = "20ms", p99 = "60ms" }
# Tells to wait, and fails some of its calls.
[[receiver]]
number = 2
kind = "hook"
endpoints = 2
share = 0.3
capacity = 60
latency = { median = "20ms", p99 = "60ms" }
# Drains an endpoint.
[[receiver]]
number = 3
kind = "hook"
endpoints = 4
share = 0.3
capacity = 60
latency = { median = "20ms", p99 = "60ms" }
[[sender]]
name = "n0"
slots = 50
max_open = 500
[[traffic]]
shape = "steady"
rate = 60
[[event]]
at = "1s"
do = "down"
receiver = 1
for = "2s"
[[event]]
at = "500ms"
do = "wait"
receiver = 2
for = "1s"
[[event]]
at = "2s"
do = "fail"
share = 0.4
receiver = 2
for = "3s"
[[event]]
at = "1s"
do = "drain"
share = 0.5
receiver = 3
gone_after = "4s"
"#;

fn rehearse(fault: Fault) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let scenario = Scenario::parse("all six", SCENARIO, Path::new(".")).unwrap();
    let addr = stub::start(fault, folder.path().join("n0/config.json"));
    let subject = Subject::External(vec![addr]);
    let (folder_path, control) = (folder.path().to_path_buf(), None);
    let options = Options { subject, folder: folder_path, control, serve_only: false, stall: None };
    let path = rig::run(scenario, &options, |_| {}).unwrap();
    let (report, _) = report(&path).unwrap();
    assert_eq!(report.judgement.void, None);
    report
}

/// Asserts that a stub sender with the given fault breaks the given rule and no other.
fn caught(fault: Fault, rule: Rule) {
    let report = rehearse(fault);
    for r in &report.judgement.rules {
        assert_eq!(r.verdict == Verdict::Broken, r.rule == rule, "{fault:?}: {}\n{}", r.rule, report.text());
    }
    assert_eq!(report.exit_code(), 1);
}

#[test]
fn a_correct_sender_keeps_all_six_rules_and_tests_each() {
    let report = rehearse(Fault::None);
    for r in &report.judgement.rules {
        assert_eq!(r.verdict, Verdict::Kept, "{}: {:?}", r.rule, r.violations);
    }
    assert_eq!(report.exit_code(), 0);
}

#[test]
fn a_sender_that_forgets_messages_is_caught() {
    caught(Fault::LosesMessages, Rule::NoMessageLost);
}

#[test]
fn a_sender_with_late_notices_is_caught() {
    caught(Fault::SendsLateNotices, Rule::NoMessageLost);
}

#[test]
fn a_sender_that_closes_connections_without_a_reply_is_caught() {
    caught(Fault::ClosesWithoutReply, Rule::NoMessageLost);
}

#[test]
fn a_sender_that_repeats_unsafe_messages_is_caught() {
    caught(Fault::RepeatsUnsafe, Rule::NoEffectTwice);
}

#[test]
fn a_sender_that_sends_copies_is_caught() {
    caught(Fault::SendsCopies, Rule::NoEffectTwice);
}

#[test]
fn a_sender_that_refuses_messages_that_may_have_run_is_caught() {
    caught(Fault::RefusesAfterRun, Rule::NoEffectTwice);
}

#[test]
fn a_sender_that_ignores_drains_is_caught() {
    caught(Fault::IgnoresDrains, Rule::DrainsKept);
}

#[test]
fn a_sender_that_overloads_a_returning_receiver_is_caught() {
    caught(Fault::OverloadsReturning, Rule::ReturnNotPushedOver);
}

#[test]
fn a_sender_that_breaks_the_order_is_caught() {
    caught(Fault::IgnoresOrder, Rule::OrderKept);
}

#[test]
fn a_sender_that_ignores_waits_is_caught() {
    caught(Fault::IgnoresWaits, Rule::WaitsHeeded);
}

#[test]
fn a_stalled_rig_makes_the_run_void() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = Scenario::parse("all six", SCENARIO, Path::new(".")).unwrap();
    let addr = stub::start(Fault::None, folder.path().join("n0/config.json"));
    let subject = Subject::External(vec![addr]);
    let (folder_path, control, stall) = (folder.path().to_path_buf(), None, Some((2_000_000, 600_000)));
    let options = Options { subject, folder: folder_path, control, serve_only: false, stall };
    let (report, _) = report(&rig::run(scenario, &options, |_| {}).unwrap()).unwrap();
    assert!(report.judgement.void.is_some());
    assert_eq!(report.exit_code(), 3);
}
