//! A fleet of real senders with placement enabled, between stand-ins on loopback.
//! The stand-ins are control agents, a directory, receivers, clients, and a relay in front of each member.
//!
//! All stand-ins run on the test's own thread and record what they observe in one [`ledger::Ledger`].
//! The ledger has the format of a rehearsal's recorded history, so that the rehearsal kit's judge can read it.

#![allow(dead_code)] // each test file uses a part

pub mod clients;
pub mod control;
pub mod deployment;
pub mod directory;
pub mod fleet;
pub mod http;
pub mod ledger;
pub mod owners;
pub mod receivers;
pub mod relay;
pub mod verdict;
pub mod wrong_lists;

use std::time::Duration;
use tokio::task::LocalSet;

/// Allows one fleet of processes at a time: test results must not depend on how many tests run simultaneously.
static ONE_FLEET: std::sync::Mutex<()> = std::sync::Mutex::new(());

/// Time limit of a scenario, including the wait until all messages have ended.
const MAX_SCENARIO_TIME: Duration = Duration::from_secs(60);

/// Runs a scenario on a single-threaded runtime of its own, while no other scenario runs.
pub fn run(scenario: impl Future<Output = ()>) {
    let _lock = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(MAX_SCENARIO_TIME, scenario).await };
    let result = LocalSet::new().block_on(&runtime, bounded);
    assert!(result.is_ok(), "the scenario did not end within {MAX_SCENARIO_TIME:?}");
}

/// Polls `ready` until it returns true, while the stand-ins keep running.
///
/// # Panics
/// If `ready` does not return true within the tests' time limit.
pub async fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let started = tokio::time::Instant::now();
    while !ready() {
        assert!(started.elapsed() < crate::common::TEST_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
