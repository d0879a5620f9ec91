//! Answers that arrive a second time, and confirmations of notices that do.
//! Guards against an answer that is taken for the answer to another request: messages lost, run twice or in two calls.

#[path = "common/rehearse.rs"]
mod rehearse;

use embershore_rehearsal::judge::Rule;
use embershore_rehearsal::scenario::Scenario;
use rehearse::{rehearse, tested};
use std::path::Path;

/// Receivers that refuse a part of their calls, so that a copy of one answer contradicts the next request's answer.
const RECEIVERS: &str = r#"
[clients]
retries = 0
[[class]]
name = "push"
share = 0.3
effect = "keyed"
window = "3s"
aim = "1500ms"
deadline = "5s"
[[class]]
name = "sync"
share = 0.35
effect = "safe"
aim = "1s"
deadline = "4s"
[[class]]
name = "pay"
share = 0.35
effect = "unsafe"
aim = "1500ms"
deadline = "5s"
worth = 5
[[kind]]
name = "partner"
batch = 10
[[kind]]
name = "hook"
[[receiver]]
number = 1
kind = "partner"
endpoints = 3
share = 0.5
capacity = 60
limit = { calls = 12, window = "1s" }
latency = { median = "80ms", p99 = "150ms" }
tells_waits = 0
error_share = 0.05
[[receiver]]
number = 2
kind = "hook"
endpoints = 3
share = 0.5
capacity = 60
limit = { calls = 26, window = "1s" }
latency = { median = "80ms", p99 = "150ms" }
tells_waits = 0.3
error_share = 0.05
[[sender]]
name = "n"
count = 3
"#;

fn scenario(seed: u64, length: &str, rate: u32, events: &str) -> Scenario {
    let text = format!(
        "name = \"stray answers\"\nseed = {seed}\nlength = \"{length}\"\n{RECEIVERS}\n\
         [[traffic]]\nshape = \"steady\"\nrate = {rate}\n{events}"
    );
    Scenario::parse("stray answers", &text, Path::new(".")).unwrap()
}

#[test]
fn a_repeated_answer_is_not_taken_for_the_next_requests_answer() {
    for (seed, by) in [(1, "10ms"), (2, "300ms")] {
        let events = format!(
            "[[event]]\nat = \"0s\"\ndo = \"repeated-answers\"\nshare = 0.5\nby = \"{by}\"\nfor = \"20s\""
        );
        let (report, table) = rehearse(scenario(seed, "8s", 70, &events));
        assert!(table.repeated_answers > 0 || table.calls.values().all(|call| call.new_connection));
        assert!(tested(&report, Rule::NoMessageLost) > 300);
        assert!(tested(&report, Rule::NoEffectTwice) > 0);
    }
}

#[test]
fn a_repeated_confirmation_does_not_confirm_other_notices() {
    // Most messages end by a notice, and the directory records no notice during half of the time.
    let deaf: String = (1..14)
        .map(|n| format!("[[event]]\nat = \"{}ms\"\ndo = \"directory-deaf\"\nfor = \"120ms\"\n", 500 * n))
        .collect();
    let events = format!(
        "[[event]]\nat = \"0s\"\ndo = \"repeated-confirmations\"\nshare = 0.9\nby = \"25ms\"\nfor = \"20s\"\n\
         [[event]]\nat = \"0s\"\ndo = \"fail\"\nshare = 1\nfor = \"20s\"\n{deaf}"
    );
    let (report, table) = rehearse(scenario(3, "8s", 70, &events));
    assert!(table.messages.iter().filter(|message| !message.notices.is_empty()).count() > 100);
    assert!(tested(&report, Rule::NoMessageLost) > 200);
}
