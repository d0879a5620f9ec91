//! A fleet of real senders with placement on, between stand-ins on loopback: control agents, a directory, receivers,
//! clients and a relay before each member's forward address.
//!
//! All stand-ins run on the test's own thread and write what they see into one [`ledger::Ledger`], in the form of the
//! rehearsal kit's history, so that the kit's judge can read it.

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

/// One fleet of processes at a time: the verdicts must not hang on how many tests the machine runs at once.
static ONE_FLEET: std::sync::Mutex<()> = std::sync::Mutex::new(());

/// No scenario takes longer, waiting for the end of each message included.
const MAX_SCENARIO_TIME: Duration = Duration::from_secs(60);

/// Runs a scenario on a thread of its own runtime, after all others.
pub fn run(scenario: impl Future<Output = ()>) {
    let _lock = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(MAX_SCENARIO_TIME, scenario).await };
    let result = LocalSet::new().block_on(&runtime, bounded);
    assert!(result.is_ok(), "the scenario did not end within {MAX_SCENARIO_TIME:?}");
}

/// Waits until `ready` holds, while the stand-ins go on; fails the test if it never does.
pub async fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let started = tokio::time::Instant::now();
    while !ready() {
        assert!(started.elapsed() < crate::common::TEST_TIMEOUT, "waited in vain for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
