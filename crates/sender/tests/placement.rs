//! Tests of placement under faults, with twelve and more real senders.
//! Guards against requests that are forwarded more than once.
//! Guards against accepted messages that are lost, and messages that take effect twice.
//! The faults: members are killed, stopped, added or removed, and connections are cut.
//! Further faults: control agents are late, do not answer, or serve invalid member lists.

mod common;
#[path = "common/placement/mod.rs"]
mod placement;

use embershore_rehearsal::history::{Event, PutOutcome, Record};
use embershore_rehearsal::judge::Rule;
use embershore_rehearsal::span::Micros;
use placement::clients::Load;
use placement::deployment::{Deployment, FLOW, PAY, PUSH, SYNC, name, seat};
use placement::fleet::Rig;
use placement::owners::Owners;
use placement::receivers::Conduct;
use placement::relay::Mode;
use placement::verdict::Findings;
use placement::wrong_lists::invalid_lists;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

/// Total rate in messages per second at which all clients of the fleet together submit messages.
const RATE: u32 = 150;

/// The destination whose receiver rejects one call with an advertised wait.
const WAITING: i64 = 7;

/// Rules of the judge that every scenario must exercise.
const ALWAYS: [Rule; 2] = [Rule::NoMessageLost, Rule::OrderKept];

fn judge(scenario: &str, rig: &Rig) -> Findings {
    Findings::from_ledger(scenario, &rig.fleet.deployment, &rig.ledger)
}

/// Puts messages of all classes at all members while `faults` happen and for `seconds_after` seconds more.
/// Waits after that until each message has ended.
async fn play(rig: &Rig, seconds_after: u64, faults: impl Future<Output = ()>) {
    let load = Load::of(&rig.fleet, RATE);
    let during = async {
        faults.await;
        sleep(Duration::from_secs(seconds_after)).await;
    };
    rig.clients.run_load(&load, during).await;
    rig.clients.wait_all_ended().await;
}

/// Waits until a sender has made a call to any receiver at the time `since` or later.
async fn until_it_calls(rig: &Rig, sender: usize, since: Micros) {
    let is_such_a_call = |r: &Record| {
        r.t >= since && matches!(r.event, Event::Call { sender: caller, .. } if caller == sender)
    };
    let what = format!("calls of {}", name(sender));
    placement::wait_until(&what, || rig.ledger.records().iter().any(is_such_a_call)).await;
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

/// Asserts that at least `of_ten` tenths of all messages were delivered.
fn assert_delivered(findings: &Findings, of_ten: usize) {
    if findings.is_void() {
        return;
    }
    let (delivered, origins) = (findings.delivered(), findings.origins());
    assert!(
        delivered * 10 >= origins * of_ten,
        "{delivered} of {origins} messages delivered, expected at least {of_ten} of ten"
    );
}

/// Counts the forwarded requests whose outcome the senders do not know.
/// A `MSG.PUT` may fail only because the outcome of its forwarded request is unknown.
async fn unknown_outcomes(rig: &Rig) -> usize {
    let mut unknown = 0;
    for index in 0..rig.fleet.deployment.processes() {
        let metrics = rig.fleet.metrics(index).await;
        unknown += metrics["placement"]["forwarded"]["unknown"].as_u64().unwrap() as usize;
    }
    unknown
}

/// Asserts that each sender that called a destination owned the destination under one of the member lists.
fn assert_only_owners_call(findings: &Findings, lists: &[Value]) {
    let owners: Vec<Owners> = lists.iter().map(Owners::of).collect();
    for (destination, callers) in findings.callers() {
        let allowed: Vec<usize> = owners.iter().flat_map(|o| o.owners(destination)).collect();
        assert!(
            callers.iter().all(|c| allowed.contains(c)),
            "destination {destination} was called by {callers:?}, owners are {allowed:?}"
        );
    }
}

#[test]
fn without_faults_every_request_reaches_an_owner_in_one_pass() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        rig.receivers.set_conduct(WAITING, Conduct::WaitOnce(Duration::from_millis(400)));
        play(&rig, 3, async {
            sleep(Duration::from_secs(1)).await;
            (1..=20).for_each(|destination| rig.directory.replace(destination));
        })
        .await;
        let findings = judge("calm", &rig);
        findings.assert_rules_kept(&[
            Rule::NoMessageLost,
            Rule::OrderKept,
            Rule::DrainsKept,
            Rule::WaitsHeeded,
        ]);
        let answers = findings.answers();
        // On a busy machine an owner or a sender may not answer in time; no other failure is allowed.
        assert!(answers.failed <= unknown_outcomes(&rig).await, "{answers:?}");
        let unanswered = answers.failed + answers.none;
        assert!(findings.is_void() || unanswered * 20 <= answers.accepted, "{answers:?}");
        // The receiver that advertised a wait is tried so rarely that a message may reach its deadline first.
        let mut undelivered = findings.undelivered();
        undelivered.remove(&WAITING);
        assert!(undelivered.values().flatten().count() <= unanswered, "{undelivered:?}");
        assert_only_owners_call(&findings, &[rig.control.list()]);
        // Each `MSG.PUT` is forwarded at most once, or twice if the first owner refused the message.
        let forwarded = findings.forwarded(&rig.ledger);
        assert!(forwarded * 2 > findings.origins(), "only {forwarded} messages were forwarded");
        let members = rig.fleet.deployment.members;
        let passed: usize = (0..members).map(|index| rig.fleet.relay(index).passed()).sum();
        let hand_ins = answers.accepted + answers.busy;
        assert!(passed <= hand_ins + answers.busy, "{passed} forwarded requests for {hand_ins} puts");
    });
}

#[test]
fn what_comes_in_at_the_forward_address_is_served_or_refused_and_never_forwarded() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let owners = Owners::of(&rig.control.list());
        for destination in 1..=40 {
            let owned_by = owners.owners(destination);
            let member = destination as usize % rig.fleet.deployment.members;
            let before: usize = (0..12).map(|index| rig.fleet.relay(index).passed()).sum();
            let answer = rig.clients.forward(PAY, destination, member).await;
            let after: usize = (0..12).map(|index| rig.fleet.relay(index).passed()).sum();
            assert_eq!(after - before, 1, "only this request passed a relay");
            let expected = if owned_by.contains(&member) { PutOutcome::Accepted } else { PutOutcome::Busy };
            assert_eq!(answer, expected, "{destination} at {member}, owned by {owned_by:?}");
        }
        rig.clients.wait_all_ended().await;
        let findings = judge("forward address", &rig);
        findings.assert_rules_kept(&[]);
        assert_only_owners_call(&findings, &[rig.control.list()]);
    });
}

#[test]
fn owners_that_are_killed_and_started_again_lose_nothing() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let fleet = &rig.fleet;
        begin_second_epoch(&rig).await;
        (21..=23).for_each(|destination| rig.receivers.set_conduct(destination, Conduct::RunThenFail));
        (24..=25).for_each(|destination| rig.receivers.set_conduct(destination, Conduct::Refuse));
        play(&rig, 1, async {
            for (first, second) in [(0, 4), (7, 11)] {
                sleep(Duration::from_millis(800)).await;
                fleet.kill(first);
                fleet.kill(second);
                sleep(Duration::from_millis(1200)).await;
                fleet.spawn(first);
                fleet.spawn(second);
                fleet.wait_ready(first).await;
                fleet.wait_ready(second).await;
                // The restarted senders' state folders record the owned shards.
                // So the restarted senders accept messages without a hold.
                let back = rig.ledger.now();
                until_it_calls(&rig, first, back).await;
                until_it_calls(&rig, second, back).await;
                assert!(
                    rig.ledger.now() < back + micros(fleet.deployment.hold()),
                    "the restarted owners served only after the hold"
                );
            }
        })
        .await;
        let findings = judge("owners killed", &rig);
        findings.assert_rules_kept(&[Rule::NoMessageLost, Rule::OrderKept, Rule::NoEffectTwice]);
        assert_only_owners_call(&findings, &[rig.control.list()]);
        assert_delivered(&findings, 8);
    });
}

#[test]
fn an_owner_that_comes_back_with_an_empty_folder_waits_until_the_one_before_it_must_be_done() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let fleet = &rig.fleet;
        begin_second_epoch(&rig).await;
        fleet.kill(5);
        std::fs::remove_dir_all(fleet.state(5)).unwrap();
        std::fs::create_dir(fleet.state(5)).unwrap();
        let started = rig.ledger.now();
        fleet.spawn(5);
        fleet.wait_ready(5).await;
        play(&rig, 1, until_it_calls(&rig, 5, started)).await;
        let findings = judge("an empty folder", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[rig.control.list()]);
        assert_delivered(&findings, 9);
        let first = findings.table.calls.values().find(|call| call.sender == 5).unwrap();
        let hold = micros(fleet.deployment.hold());
        assert!(
            first.t >= started + hold,
            "first call {} us after the start, expected a hold of {hold} us",
            first.t - started
        );
    });
}

#[test]
fn an_owner_that_was_stopped_for_longer_than_the_lease_does_no_harm() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let fleet = &rig.fleet;
        let longer = fleet.deployment.lease + Duration::from_millis(1500);
        play(&rig, 2, async {
            sleep(Duration::from_secs(1)).await;
            fleet.stop(2);
            fleet.stop(6);
            sleep(longer).await;
            fleet.resume(2);
            fleet.resume(6);
        })
        .await;
        let findings = judge("owners stopped", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[rig.control.list()]);
        assert_delivered(&findings, 7);
    });
}

/// The time of a change of the member list, and the member list before the change.
struct Changed {
    at: Micros,
    before: Value,
}

/// Adds a seat with a new member to the member list and vacates the seat of another member.
fn add_and_remove(rig: &Rig, added: usize, removed: usize) -> Changed {
    let changed = Changed { at: rig.ledger.now(), before: rig.control.list() };
    let append = json!({"append": seat(added, &rig.fleet.address(added))});
    let vacate = json!({"seat": removed, "member": null});
    rig.control.change(vec![append, vacate]);
    changed
}

#[test]
fn a_member_added_and_one_removed_under_load() {
    placement::run(async {
        let deployment = Deployment { spares: 1, ..Deployment::default() };
        let rig = Rig::start(deployment).await;
        let (added, removed) = (12, 3);
        let mut changed = None;
        play(&rig, 1, async {
            sleep(Duration::from_secs(1)).await;
            changed = Some(add_and_remove(&rig, added, removed));
            until_it_calls(&rig, added, 0).await;
        })
        .await;
        let Changed { at, before } = changed.unwrap();
        let findings = judge("a member added and one removed", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[before, rig.control.list()]);
        assert_delivered(&findings, 9);
        // The new member accepts no message during the hold of its shards.
        // After the hold the previous owners must have finished their messages.
        let first = findings.table.calls.values().find(|call| call.sender == added).unwrap();
        let hold = micros(rig.fleet.deployment.hold());
        assert!(
            first.t >= at + hold,
            "first call {} us after the start, expected a hold of {hold} us",
            first.t - at
        );
        // One lease time after the change, the removed member has received the member list without its seat.
        // If the removed member has not received the list, its lease has expired one lease time after the change.
        let lease = micros(rig.fleet.deployment.lease);
        let offered = |id: &String| findings.table.message(id).unwrap().offered;
        let calls = findings.table.calls.values().filter(|call| call.sender == removed);
        let late = calls.flat_map(|call| &call.ids).find(|id| offered(id) > at + lease);
        assert_eq!(late, None, "the removed member called for a message put after its lease had expired");
    });
}

#[test]
fn epochs_that_reach_a_third_of_the_members_late() {
    placement::run(async {
        let agent_lag = Duration::from_millis(5500);
        let deployment = Deployment { spares: 1, agent_lag, ..Deployment::default() };
        let rig = Rig::start(deployment).await;
        (0..4).for_each(|agent| rig.control.set_delay(agent, agent_lag));
        let (added, removed) = (12, 1);
        let mut changes = Vec::new();
        play(&rig, 1, async {
            sleep(Duration::from_secs(1)).await;
            // First a member whose control agent is delayed is removed.
            // Then a member whose control agent is not delayed is removed.
            changes.push(add_and_remove(&rig, added, removed).before);
            sleep(Duration::from_millis(800)).await;
            changes.push(rig.control.list());
            rig.control.change(vec![json!({"seat": 8, "member": null})]);
            sleep(Duration::from_millis(800)).await;
            changes.push(rig.control.list());
            let back = json!({"seat": 8, "member": seat(8, &rig.fleet.address(8))["member"]});
            rig.control.change(vec![back]);
            until_it_calls(&rig, added, 0).await;
        })
        .await;
        let findings = judge("epochs told late", &rig);
        findings.assert_rules_kept(&ALWAYS);
        changes.push(rig.control.list());
        assert_only_owners_call(&findings, &changes);
        assert_delivered(&findings, 8);
        // The removed member, whose control agent is delayed, has finished before the new owner starts.
        let first = findings.table.calls.values().find(|call| call.sender == added).unwrap();
        let late = findings.table.calls.values().find(|call| call.sender == removed && call.t > first.t);
        assert!(late.is_none(), "{late:?}");
    });
}

#[test]
fn a_forwarding_connection_cut_after_the_requests_last_byte_makes_no_second_owner() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let relays = || (0..6).map(|index| rig.fleet.relay(index));
        play(&rig, 1, async {
            sleep(Duration::from_millis(500)).await;
            for mode in [
                Mode::CutAfterRequest,
                Mode::CutBefore,
                Mode::Delay(Duration::from_millis(350)),
                Mode::CutAfterRequest,
            ] {
                relays().for_each(|relay| relay.set(mode));
                sleep(Duration::from_millis(1200)).await;
            }
            relays().for_each(|relay| relay.set(Mode::Pass));
        })
        .await;
        let cut: usize = relays().map(|relay| relay.cut()).sum();
        assert!(cut >= 20, "{cut} requests cut after their last byte");
        let findings = judge("forwarding connections cut", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[rig.control.list()]);
        assert!(
            findings.answers().failed > 0,
            "no put failed although forwarded requests were cut; one that may have been accepted must fail, not be refused"
        );
        assert_delivered(&findings, 7);
    });
}

#[test]
fn one_request_cut_after_its_last_byte_ends_by_its_effect() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let owners = Owners::of(&rig.control.list());
        (0..12).for_each(|index| rig.fleet.relay(index).set(Mode::CutAfterRequest));
        let mut put = Vec::new();
        for (n, class) in [PAY, PUSH, SYNC, FLOW].into_iter().cycle().take(40).enumerate() {
            let destination = 1 + n as i64;
            let owned_by = owners.owners(destination);
            // The message is put at a sender that does not own the destination and must forward the message.
            let entry = (0..12).map(|index| (index + n) % 12).find(|index| !owned_by.contains(index));
            put.push((class, rig.clients.send(class, destination, entry.unwrap())));
        }
        rig.clients.wait_all_ended().await;
        let findings = judge("each request cut", &rig);
        findings.assert_rules_kept(&[]);
        for (class, id) in put {
            let message = findings.table.message(&id).unwrap();
            let callers: BTreeSet<usize> =
                findings.table.attempts(message).map(|(call, ..)| call.sender).collect();
            let answered = message.reply.unwrap().1;
            if class == SYNC {
                // The message is forwarded to the next owner too, and is refused once no owner is left.
                assert_eq!(answered, PutOutcome::Busy, "{id}");
            } else {
                assert_eq!(answered, PutOutcome::Failed, "{id}");
                assert!(callers.len() <= 1, "{id} of class {class} was sent by several owners: {callers:?}");
            }
        }
    });
}

#[test]
fn owners_that_are_full_refuse_and_lose_nothing() {
    placement::run(async {
        let deployment = Deployment { max_open: 10, ..Deployment::default() };
        let rig = Rig::start(deployment).await;
        rig.receivers.set_default_delay(Duration::from_millis(1200));
        play(&rig, 5, async {}).await;
        let findings = judge("owners full", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[rig.control.list()]);
        let answers = findings.answers();
        assert!(answers.busy > 0 && answers.accepted > 100, "{answers:?}");
        // A refusal by an owner whose queue is full does not count as a failure.
        // An owner that does not answer in time, as may happen on a busy machine, counts as a failure.
        assert!(answers.failed <= unknown_outcomes(&rig).await, "{answers:?}");
    });
}

#[test]
fn with_all_control_agents_silent_nothing_new_is_accepted_and_accepted_messages_are_finished() {
    placement::run(async {
        let rig = Rig::start(Deployment::default()).await;
        let lease = rig.fleet.deployment.lease;
        let members = rig.fleet.deployment.members;
        let silence = |silent| (0..members).for_each(|agent| rig.control.set_silent(agent, silent));
        let (mut silent_at, mut answering_at) = (0, 0);
        play(&rig, 2, async {
            sleep(Duration::from_secs(1)).await;
            // From now on no control agent answers, so that all leases expire within the lease time.
            silence(true);
            silent_at = rig.ledger.now();
            sleep(lease + Duration::from_millis(1500)).await;
            answering_at = rig.ledger.now();
            silence(false);
            for sender in 0..members {
                until_it_calls(&rig, sender, answering_at).await;
            }
        })
        .await;
        let findings = judge("control silent", &rig);
        findings.assert_rules_kept(&ALWAYS);
        let expired = silent_at + micros(lease);
        let offers =
            findings.table.messages.iter().filter(|m| m.offered > expired && m.offered < answering_at);
        let during: Vec<_> = offers.filter(|m| m.reply.is_some_and(|(t, _)| t < answering_at)).collect();
        let answered = |what| during.iter().filter(|m| m.reply.unwrap().1 == what).count();
        assert_eq!(answered(PutOutcome::Accepted), 0, "messages accepted although no sender had a lease");
        assert!(
            answered(PutOutcome::Busy) > 50,
            "{} of {} messages refused, expected more than 50",
            answered(PutOutcome::Busy),
            during.len()
        );
        let after =
            findings.table.messages.iter().filter(|m| m.offered > answering_at && m.accepted().is_some());
        assert!(after.count() > 50, "expected more than 50 messages accepted after control answered again");
    });
}

#[test]
fn invalid_lists_are_refused_and_the_last_good_one_stays() {
    placement::run(async {
        let rig = Rig::start(Deployment { spares: 1, ..Deployment::default() }).await;
        // Epoch 2 is brought into force, so that an older epoch exists.
        rig.control.change(vec![json!({"append": seat(12, &rig.fleet.address(12))})]);
        for index in 0..13 {
            until_epoch(&rig, index, 2).await;
        }
        let list = rig.control.list();
        let wrong = invalid_lists(&list);
        play(&rig, 1, async {
            sleep(Duration::from_millis(500)).await;
            for (agent, (_, answer)) in wrong.iter().enumerate() {
                rig.control.override_answer(agent, Some(answer.clone()));
            }
            for (index, (what, _)) in wrong.iter().enumerate() {
                until_refused(&rig, index, what).await;
            }
            (0..wrong.len()).for_each(|agent| rig.control.override_answer(agent, None));
        })
        .await;
        let findings = judge("wrong lists", &rig);
        findings.assert_rules_kept(&ALWAYS);
        assert_only_owners_call(&findings, &[list]);
        assert_delivered(&findings, 9);
        for index in 0..13 {
            assert_eq!(rig.fleet.metrics(index).await["placement"]["epoch"], 2, "{}", name(index));
        }
        // A sender applies a valid member list that follows an invalid one.
        rig.control.change(vec![json!({"seat": 12, "member": null})]);
        for index in 0..13 {
            until_epoch(&rig, index, 3).await;
        }
    });
}

/// Starts epoch 2 with unchanged owners, so that the fleet no longer counts as new (without earlier owners).
async fn begin_second_epoch(rig: &Rig) {
    let unused_destination = 1_000_000;
    rig.control.change(vec![json!({"wide": {"dest": unused_destination, "width": 2}})]);
    for index in 0..rig.fleet.deployment.processes() {
        until_epoch(rig, index, 2).await;
    }
    // A sender stores the epoch once none of its shards is on hold and its control agent has answered since.
    for index in 0..rig.fleet.deployment.processes() {
        while rig.fleet.metrics(index).await["placement"]["on_hold_ms"] != 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }
    sleep(rig.fleet.deployment.lease).await;
}

/// Waits until a sender's metrics report the given epoch.
async fn until_epoch(rig: &Rig, index: usize, epoch: u64) {
    let begun = tokio::time::Instant::now();
    while rig.fleet.metrics(index).await["placement"]["epoch"] != epoch {
        assert!(
            begun.elapsed() < common::TEST_TIMEOUT,
            "{} did not reach epoch {epoch}; {}",
            name(index),
            rig.fleet.log(index)
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a sender's metrics report a refused member list.
async fn until_refused(rig: &Rig, index: usize, what: &str) {
    let begun = tokio::time::Instant::now();
    while rig.fleet.metrics(index).await["placement"]["lists_refused"].as_u64().unwrap_or(0) == 0 {
        assert!(
            begun.elapsed() < common::TEST_TIMEOUT,
            "{} did not refuse the list ({what}); {}",
            name(index),
            rig.fleet.log(index)
        );
        sleep(Duration::from_millis(20)).await;
    }
}
