//! Tests of one sender's view of the placement: leases, holds, routes, and rejected answers.

mod support;
#[path = "support/tables.rs"]
mod tables;

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use embershore_placement::wire::{ListForm, WideForm};
use embershore_placement::{
    Admission, AgentAnswer, Change, Changes, EpochUpdate, ListError, MAX_REPLAYED_CHANGES, MAX_REPLICAS,
    MemberList, Ownership, PersistedPlacement, Request, Route, SeatId, ShardId, Table, shard, sub_shard,
};
use heronroute::Micros;
use support::{fleet, list, member_form, seat_form};
use tables::SharedTables;

static TABLES: LazyLock<SharedTables> = LazyLock::new(|| SharedTables::new(None));

fn table(list: &MemberList) -> Arc<Table> {
    TABLES.table(list)
}

/// Passes an answer of a control agent to a sender, with tables shared between the tests.
fn receive(
    ownership: &mut Ownership,
    polled_at: Micros,
    now: Micros,
    answer: AgentAnswer,
) -> Result<EpochUpdate, ListError> {
    ownership.apply_answer_with(&mut &*TABLES, polled_at, now, answer)
}

const SECOND: Micros = 1_000_000;
const LEASE: Micros = 10 * SECOND;
const DEADLINE: Micros = 20 * SECOND;
const HOLD: Micros = 30 * SECOND + 30 * SECOND / 1_000;
const OWN: SeatId = SeatId(0);

/// The first member list of a new fleet: six members in one region of three zones, two owners per shard.
fn first_form() -> ListForm {
    ListForm { first: true, ..fleet(&[3], 6, 1) }
}

fn first_list() -> MemberList {
    list(first_form())
}

fn full(list: &MemberList) -> AgentAnswer {
    AgentAnswer::Full(Box::new(list.clone()))
}

/// Returns the sender that fills a seat, before the sender has received any member list.
fn new_sender(seat: SeatId) -> Ownership {
    Ownership::new(member_form(seat.index()).name, LEASE, DEADLINE)
}

/// Returns the sender that fills a seat, after the sender has received this member list at time 0.
fn sender_with_list(seat: SeatId, list: &MemberList) -> Ownership {
    let mut ownership = new_sender(seat);
    receive(&mut ownership, 0, 0, full(list)).unwrap();
    ownership
}

fn changes(since: u64, epoch: u64, changes: Vec<Change>) -> Changes {
    Changes { epoch, since, changes }
}

fn vacate(seat: u16) -> Change {
    Change::Vacate { seat: SeatId(seat) }
}

fn fill(seat: u16) -> Change {
    Change::Fill { seat: SeatId(seat), member: member_form(usize::from(seat)) }
}

fn widen(dest: i64, width: u64) -> Change {
    Change::SetWidth(WideForm { dest, width })
}

fn request(dest: i64, request_id: &str) -> Request<'_> {
    Request { dest, order_key: None, request_id }
}

fn ordered(dest: i64, order_key: &str) -> Request<'_> {
    Request { dest, order_key: Some(order_key), request_id: "r" }
}

/// Returns the first destination whose owners satisfy the condition `wanted`.
fn dest_where(list: &MemberList, wanted: impl Fn(&[SeatId]) -> bool) -> i64 {
    let table = table(list);
    (0..100_000).find(|&dest| wanted(table.owners(shard(dest)))).expect("no destination with such owners")
}

/// Returns the first order key that satisfies the condition `wanted`.
fn key_where(wanted: impl Fn(&str) -> bool) -> String {
    (0..1_000).map(|number| format!("key-{number}")).find(|key| wanted(key)).expect("no such key")
}

#[test]
fn a_sender_without_a_list_knows_no_route_and_accepts_nothing() {
    let ownership = new_sender(OWN);
    assert_eq!(ownership.route(0, &request(1, "r")), Route::Unknown);
    assert_eq!(ownership.unordered_admission(0, 1), Admission::LeaseExpired);
    assert_eq!(ownership.admission(0, &ordered(1, "k")), Admission::LeaseExpired);
    assert_eq!(ownership.persisted_state(0), None);
    assert!(!ownership.needs_destination(1));
}

#[test]
fn the_first_list_is_on_hold_for_lease_and_longest_deadline() {
    let running_fleet = list(fleet(&[3], 6, 1));
    let dest = dest_where(&running_fleet, |owners| owners.contains(&OWN));
    let mut ownership = sender_with_list(OWN, &running_fleet);
    assert_eq!(ownership.unordered_admission(1, dest), Admission::OnHold(HOLD));
    assert!(!ownership.persisted_state(HOLD - 1).unwrap().settled);
    assert!(ownership.persisted_state(HOLD).unwrap().settled);
    receive(&mut ownership, HOLD - 1, HOLD - 1, AgentAnswer::Unchanged { epoch: 1 }).unwrap();
    assert_eq!(ownership.unordered_admission(HOLD - 1, dest), Admission::OnHold(HOLD));
    assert_eq!(ownership.unordered_admission(HOLD, dest), Admission::Accepted);
}

#[test]
fn agent_lag_makes_the_hold_longer() {
    let mut ownership = new_sender(OWN).with_agent_lag(5 * SECOND);
    receive(&mut ownership, 0, 0, full(&list(fleet(&[3], 6, 1)))).unwrap();
    let until = ownership.holds_end(1).unwrap();
    assert!(until >= 35 * SECOND, "{until}");
}

fn persisted(epoch: u64, digest: u64) -> PersistedPlacement {
    PersistedPlacement { epoch, digest, settled: true, replicas: 2, wide: BTreeMap::new() }
}

#[test]
fn a_new_fleet_and_a_settled_sender_that_restarts_have_no_hold() {
    let new_fleet = first_list();
    let dest = dest_where(&new_fleet, |owners| owners.contains(&OWN));
    assert_eq!(sender_with_list(OWN, &new_fleet).unordered_admission(1, dest), Admission::Accepted);
    let running = list(fleet(&[3], 6, 1));
    let persisted = persisted(1, running.digest());
    let mut restarted = new_sender(OWN).with_persisted(Some(persisted.clone()));
    receive(&mut restarted, 0, 0, full(&running)).unwrap();
    assert_eq!(restarted.unordered_admission(1, dest), Admission::Accepted);
    assert!(restarted.persisted_state(HOLD).unwrap().settled);
}

#[test]
fn a_restarted_sender_skips_the_hold_only_if_it_had_settled_in_the_same_list() {
    let running = list(fleet(&[3], 6, 1));
    let dest = dest_where(&running, |owners| owners.contains(&OWN));
    let not_settled = PersistedPlacement { settled: false, ..persisted(1, running.digest()) };
    for persisted in [persisted(0, running.digest()), persisted(1, running.digest() ^ 1), not_settled] {
        let mut restarted = new_sender(OWN).with_persisted(Some(persisted));
        receive(&mut restarted, 0, 0, full(&running)).unwrap();
        assert_eq!(restarted.unordered_admission(1, dest), Admission::OnHold(HOLD));
    }
}

#[test]
fn the_lease_counts_from_the_poll_and_after_it_expires_a_sender_only_forwards() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = sender_with_list(OWN, &members);
    receive(&mut ownership, 4 * SECOND, 9 * SECOND, AgentAnswer::Unchanged { epoch: 1 }).unwrap();
    assert_eq!(ownership.unordered_admission(14 * SECOND - 1, dest), Admission::Accepted);
    assert_eq!(ownership.unordered_admission(14 * SECOND, dest), Admission::LeaseExpired);
    assert_eq!(ownership.admission(14 * SECOND, &request(dest, "r")), Admission::LeaseExpired);
    let Route::Forward(candidates) = ownership.route(14 * SECOND, &request(dest, "r")) else { panic!() };
    assert_eq!(candidates.len(), 1);
    assert!(!candidates.contains(&OWN));
    assert!(ownership.needs_destination(dest));
}

#[test]
fn answers_that_do_not_apply_are_rejected_and_do_not_renew_the_lease() {
    let members = first_list();
    let mut ownership = sender_with_list(OWN, &members);
    receive(&mut ownership, 0, 0, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
    let digest = ownership.list().unwrap().digest();
    let other = list(ListForm { epoch: 2, ..fleet(&[3], 7, 1) });
    let stale = ListError::StaleEpoch { current: 2, offered: 1 };
    let rejected = [
        (full(&members), stale.clone()),
        (AgentAnswer::Unchanged { epoch: 1 }, stale.clone()),
        (AgentAnswer::Changes(changes(0, 1, vec![vacate(4)])), stale),
        (full(&other), ListError::DifferentList { epoch: 2 }),
        (AgentAnswer::Unchanged { epoch: 3 }, ListError::SinceMismatch { current: 2, since: 3 }),
        (
            AgentAnswer::Changes(changes(1, 3, vec![vacate(4)])),
            ListError::SinceMismatch { current: 2, since: 1 },
        ),
        (AgentAnswer::Changes(changes(2, 3, vec![vacate(5)])), ListError::SeatVacant { seat: 5 }),
    ];
    for (answer, error) in rejected {
        assert_eq!(receive(&mut ownership, 9 * SECOND, 9 * SECOND, answer), Err(error));
        assert_eq!(ownership.epoch(), Some(2));
        assert_eq!(ownership.list().unwrap().digest(), digest);
        assert!(!ownership.lease_valid(LEASE));
    }
}

#[test]
fn a_repeated_answer_renews_the_lease_and_changes_nothing_else() {
    let members = first_list();
    let mut ownership = sender_with_list(OWN, &members);
    let next_changes = changes(1, 2, vec![vacate(5)]);
    assert!(receive(&mut ownership, 0, 0, AgentAnswer::Changes(next_changes.clone())).unwrap().changed);
    let on_hold = ownership.holds_end(1);
    for answer in [AgentAnswer::Changes(next_changes), full(&ownership.list().unwrap().clone())] {
        let again = receive(&mut ownership, SECOND, SECOND, answer).unwrap();
        assert!(!again.changed);
        assert_eq!((again.gained.len(), again.lost.len()), (0, 0));
        assert_eq!(ownership.holds_end(SECOND), on_hold);
    }
    assert!(ownership.lease_valid(LEASE + SECOND - 1));
}

#[test]
fn gained_shards_are_on_hold_and_retained_ones_are_not() {
    let members = first_list();
    let mut ownership = sender_with_list(OWN, &members);
    let next_changes = changes(1, 2, vec![vacate(5)]);
    let next = members.apply(&next_changes).unwrap();
    let (before, after) = (table(&members), table(&next));
    let update = receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(next_changes)).unwrap();
    let is_new = |shard: ShardId| !before.owners(shard).contains(&OWN);
    let mut expected: Vec<ShardId> = after.shards_of(OWN).filter(|&shard| is_new(shard)).collect();
    expected.sort_unstable();
    assert!(!expected.is_empty());
    assert_eq!((update.epoch, update.gained, update.lost), (2, expected, vec![]));
    let retained = dest_where(&members, |owners| owners.contains(&OWN));
    assert_eq!(ownership.unordered_admission(SECOND, retained), Admission::Accepted);
    let owned_after = |dest: i64| after.owners(shard(dest)).contains(&OWN);
    let gained = (0..).find(|&dest| owned_after(dest) && is_new(shard(dest))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, gained), Admission::OnHold(SECOND + HOLD));
    receive(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND + HOLD, gained), Admission::Accepted);
}

#[test]
fn a_lost_destination_is_rejected_at_once_and_needed_until_its_messages_have_ended() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let mut ownership = sender_with_list(OWN, &vacant);
    let next_changes = changes(1, 2, vec![fill(5)]);
    let after = table(&vacant.apply(&next_changes).unwrap());
    let owned_after = |dest: i64| after.owners(shard(dest)).contains(&OWN);
    let dest = (0..)
        .find(|&dest| ownership.unordered_admission(0, dest) == Admission::Accepted && !owned_after(dest))
        .unwrap();
    let update = receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(next_changes)).unwrap();
    assert!(update.lost.contains(&shard(dest)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::NotOwner);
    assert!(ownership.needs_destination(dest));
    receive(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert!(!ownership.needs_destination(dest));
}

fn with_vacant(seat: usize) -> ListForm {
    let mut form = fleet(&[3], 6, 1);
    form.seats[seat].member = None;
    form
}

/// A sender owns a shard in place of a vacant seat, loses it while the seat is filled, and owns it again afterwards.
/// When the sender owns the shard again, the shard must be on hold: the other owner may still be delivering.
#[test]
fn a_shard_that_another_owned_between_two_epochs_is_on_hold() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let filled = vacant.apply(&changes(1, 2, vec![fill(5)])).unwrap();
    let (before, between) = (table(&vacant), table(&filled));
    let lost_between = |shard: ShardId| !between.owners(shard).contains(&OWN);
    let own = |dest: &i64| before.owners(shard(*dest)).contains(&OWN);
    let dest = (0..).filter(own).find(|&dest| lost_between(shard(dest))).unwrap();
    let retained = (0..).filter(own).find(|&dest| !lost_between(shard(dest))).unwrap();
    let mut ownership = sender_with_list(OWN, &vacant);
    let answer = AgentAnswer::Changes(changes(1, 3, vec![fill(5), vacate(5)]));
    let update = receive(&mut ownership, SECOND, SECOND, answer).unwrap();
    assert_eq!((update.gained.len(), update.lost.len()), (0, 0));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
    assert_eq!(ownership.unordered_admission(SECOND, retained), Admission::Accepted);
}

#[test]
fn a_seat_vacated_and_filled_between_two_epochs_puts_everything_on_hold() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = sender_with_list(OWN, &members);
    let answer = AgentAnswer::Changes(changes(1, 3, vec![vacate(0), fill(0)]));
    receive(&mut ownership, SECOND, SECOND, answer).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

/// Keys prefer seats, not members.
/// After a member has moved to another seat, even a shard that the member still owns is on hold.
#[test]
fn a_member_that_moves_to_another_seat_has_everything_on_hold() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let moved = Change::Fill { seat: SeatId(5), member: member_form(0) };
    let next_changes = changes(1, 2, vec![vacate(0), moved]);
    let next = vacant.apply(&next_changes).unwrap();
    let (before, after) = (table(&vacant), table(&next));
    let keeps =
        |shard: ShardId| before.owners(shard).contains(&OWN) && after.owners(shard).contains(&SeatId(5));
    let dest = (0..).find(|&dest| keeps(shard(dest))).unwrap();
    let mut ownership = sender_with_list(OWN, &vacant);
    assert_eq!(ownership.unordered_admission(0, dest), Admission::Accepted);
    receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(next_changes)).unwrap();
    assert_eq!(ownership.seat(), Some(SeatId(5)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

#[test]
fn a_full_list_puts_everything_on_hold_unless_it_is_of_the_next_epoch() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    for (epoch, expected) in [(2, Admission::Accepted), (3, Admission::OnHold(SECOND + HOLD))] {
        let mut ownership = sender_with_list(OWN, &members);
        let later = list(ListForm { epoch, first: false, ..first_form() });
        receive(&mut ownership, SECOND, SECOND, full(&later)).unwrap();
        assert_eq!(ownership.unordered_admission(SECOND, dest), expected);
    }
}

#[test]
fn too_many_changes_over_several_epochs_put_everything_on_hold() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    for (count, expected) in [
        (MAX_REPLAYED_CHANGES, Admission::Accepted),
        (MAX_REPLAYED_CHANGES + 2, Admission::OnHold(SECOND + HOLD)),
    ] {
        let mut ownership = sender_with_list(OWN, &members);
        let toggled = (0..count).map(|index| if index % 2 == 0 { vacate(5) } else { fill(5) });
        let answer = AgentAnswer::Changes(changes(1, 3, toggled.collect()));
        receive(&mut ownership, SECOND, SECOND, answer).unwrap();
        assert_eq!(ownership.unordered_admission(SECOND, dest), expected, "{count} changes");
    }
}

#[test]
fn an_owner_accepts_and_others_forward_to_the_owners_the_preferred_one_first() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let owners = table(&members).owners(shard(dest)).to_vec();
    assert_eq!(sender_with_list(OWN, &members).route(0, &request(dest, "r")), Route::Local);
    let other = (0..6).map(SeatId).find(|seat| !owners.contains(seat)).unwrap();
    let forwarder = sender_with_list(other, &members);
    assert_eq!(forwarder.unordered_admission(0, dest), Admission::NotOwner);
    let mut preferred_own = 0;
    for number in 0..1_000 {
        let id = format!("request-{number}");
        let Route::Forward(candidates) = forwarder.route(0, &request(dest, &id)) else { panic!() };
        let mut sorted = candidates.clone();
        sorted.sort_unstable();
        let mut expected = owners.clone();
        expected.sort_unstable();
        assert_eq!(sorted, expected);
        assert_eq!(forwarder.route(1, &request(dest, &id)), Route::Forward(candidates.clone()));
        preferred_own += usize::from(candidates[0] == OWN);
    }
    assert!(
        (400..=600).contains(&preferred_own),
        "{preferred_own} of 1,000 requests prefer one of two owners"
    );
}

#[test]
fn an_ordered_request_has_one_owner_on_every_sender() {
    let members = first_list();
    let all: Vec<Ownership> = (0..6).map(|seat| sender_with_list(SeatId(seat), &members)).collect();
    for number in 0..200 {
        let key = format!("key-{number}");
        let request = ordered(number, &key);
        let accepting =
            all.iter().filter(|ownership| ownership.admission(0, &request) == Admission::Accepted);
        let acceptors = accepting.map(|ownership| ownership.seat().unwrap()).collect::<Vec<_>>();
        assert_eq!(acceptors.len(), 1);
        for ownership in &all {
            let expected = if ownership.seat() == Some(acceptors[0]) {
                Route::Local
            } else {
                Route::Forward(acceptors.clone())
            };
            assert_eq!(ownership.route(0, &request), expected);
        }
    }
}

#[test]
fn an_ordered_request_stays_with_its_owner_while_that_one_may_not_accept_it() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let ownership = sender_with_list(OWN, &members);
    let key = key_where(|key| ownership.admission(0, &ordered(dest, key)) == Admission::Accepted);
    assert_eq!(ownership.route(LEASE, &ordered(dest, &key)), Route::Local);
    assert_eq!(ownership.admission(LEASE, &ordered(dest, &key)), Admission::LeaseExpired);
}

#[test]
fn a_key_whose_preference_moves_is_on_hold_and_one_that_stays_is_not() {
    let members = first_list();
    let lost = SeatId(5);
    let dest = dest_where(&members, |owners| owners.contains(&OWN) && owners.contains(&lost));
    let mut ownership = sender_with_list(OWN, &members);
    let other = sender_with_list(lost, &members);
    let staying_key = key_where(|key| ownership.admission(0, &ordered(dest, key)) == Admission::Accepted);
    let moving_key = key_where(|key| {
        let mut after = ownership.clone();
        receive(&mut after, 0, 0, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
        let preferred_the_other = other.admission(0, &ordered(dest, key)) == Admission::Accepted;
        preferred_the_other && after.admission(0, &ordered(dest, key)) != Admission::NotOwner
    });
    receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::Accepted);
    assert_eq!(ownership.admission(SECOND, &ordered(dest, &moving_key)), Admission::OnHold(SECOND + HOLD));
    let staying_key_admission = ownership.admission(SECOND, &ordered(dest, &staying_key));
    assert!(
        matches!(staying_key_admission, Admission::Accepted | Admission::NotOwner),
        "{staying_key_admission:?}"
    );
    receive(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert_eq!(ownership.admission(SECOND + HOLD, &ordered(dest, &moving_key)), Admission::Accepted);
}

#[test]
fn a_widened_destination_has_new_parts_on_hold_and_a_smaller_share_at_once() {
    let members = first_list();
    let dest = 7;
    let all = (0..6).map(|seat| {
        let mut ownership = sender_with_list(SeatId(seat), &members);
        assert_eq!(ownership.limit_sharers(0, dest), 2);
        receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(changes(1, 2, vec![widen(dest, 8)])))
            .unwrap();
        ownership
    });
    let all: Vec<Ownership> = all.collect();
    let table = table(&members);
    let is_owner = |part: u16, seat: SeatId| table.owners(sub_shard(dest, part)).contains(&seat);
    for ownership in &all {
        let seat = ownership.seat().unwrap();
        let expected = match (is_owner(0, seat), (1..8).any(|part| is_owner(part, seat))) {
            (true, _) => Admission::Accepted,
            (false, true) => Admission::OnHold(SECOND + HOLD),
            (false, false) => Admission::NotOwner,
        };
        assert_eq!(ownership.unordered_admission(SECOND, dest), expected);
        assert_eq!(ownership.limit_sharers(SECOND, dest), 16);
    }
    let mut narrowed = all[0].clone();
    receive(&mut narrowed, SECOND, 2 * SECOND, AgentAnswer::Changes(changes(2, 3, vec![widen(dest, 1)])))
        .unwrap();
    assert_eq!(narrowed.limit_sharers(2 * SECOND + HOLD - 1, dest), 16);
    assert_eq!(narrowed.limit_sharers(2 * SECOND + HOLD, dest), 2);
}

#[test]
fn a_key_that_moves_to_another_part_is_on_hold() {
    let members = first_list();
    let dest = 7;
    let next_changes = changes(1, 2, vec![widen(dest, 8)]);
    let mut moved = 0;
    for seat in (0..6).map(SeatId) {
        let before = sender_with_list(seat, &members);
        let mut after = before.clone();
        receive(&mut after, 0, SECOND, AgentAnswer::Changes(next_changes.clone())).unwrap();
        for number in 0..200 {
            let key = format!("key-{number}");
            let request = ordered(dest, &key);
            match after.admission(SECOND, &request) {
                Admission::Accepted => assert_eq!(before.admission(SECOND, &request), Admission::Accepted),
                Admission::OnHold(until) => {
                    assert_eq!(until, SECOND + HOLD);
                    moved += 1;
                }
                Admission::NotOwner => {}
                Admission::LeaseExpired => panic!("the lease is valid"),
            }
        }
    }
    assert!(moved > 100, "{moved} of 200 keys are on hold with their new owner");
}

#[test]
fn a_larger_share_waits_until_no_sender_acts_on_more_replicas() {
    let three = list(ListForm { replicas: 3, ..first_form() });
    let two = list(ListForm { epoch: 2, first: false, ..first_form() });
    let mut ownership = sender_with_list(OWN, &three);
    assert_eq!(ownership.limit_sharers(0, 1), 3);
    receive(&mut ownership, SECOND, SECOND, full(&two)).unwrap();
    assert_eq!(ownership.limit_sharers(SECOND + HOLD - 1, 1), 3);
    assert_eq!(ownership.limit_sharers(SECOND + HOLD, 1), 2);
}

#[test]
fn a_restarted_sender_keeps_the_smaller_share_of_its_last_run() {
    let members = list(fleet(&[3], 6, 1));
    let last =
        PersistedPlacement { replicas: 3, wide: BTreeMap::from([(7, 4)]), ..persisted(1, members.digest()) };
    let mut restarted = new_sender(OWN).with_persisted(Some(last));
    assert_eq!((restarted.limit_sharers(0, 1), restarted.limit_sharers(0, 7)), (3, 12));
    receive(&mut restarted, 0, 0, full(&members)).unwrap();
    assert_eq!((restarted.limit_sharers(HOLD - 1, 1), restarted.limit_sharers(HOLD - 1, 7)), (3, 12));
    assert_eq!((restarted.limit_sharers(HOLD, 1), restarted.limit_sharers(HOLD, 7)), (2, 2));
    assert_eq!(new_sender(OWN).limit_sharers(0, 1), MAX_REPLICAS);
}

#[test]
fn a_restarted_sender_rejects_an_epoch_before_its_last() {
    let mut restarted = new_sender(OWN).with_persisted(Some(persisted(2, 0)));
    let rejected = receive(&mut restarted, 0, 0, full(&first_list()));
    assert_eq!(rejected, Err(ListError::StaleEpoch { current: 2, offered: 1 }));
    assert!(!restarted.lease_valid(0));
}

#[test]
fn a_process_whose_name_is_listed_with_another_address_owns_nothing() {
    let members = first_list();
    let own_address = member_form(0).address.parse().unwrap();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = new_sender(OWN).with_address(own_address);
    receive(&mut ownership, 0, 0, full(&members)).unwrap();
    assert_eq!(ownership.unordered_admission(0, dest), Admission::Accepted);
    let mut replacement = member_form(0);
    replacement.address = "127.9.9.9:7001".to_string();
    let replaced = vec![vacate(0), Change::Fill { seat: OWN, member: replacement }];
    receive(&mut ownership, 0, SECOND, AgentAnswer::Changes(changes(1, 2, replaced))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::NotOwner);
    assert_eq!(ownership.seat(), None);
}

#[test]
fn a_sender_without_a_seat_forwards() {
    let members = first_list();
    let mut ownership = Ownership::new("not-listed", LEASE, DEADLINE);
    receive(&mut ownership, 0, 0, full(&members)).unwrap();
    assert!(matches!(ownership.route(0, &request(1, "r")), Route::Forward(owners) if owners.len() == 2));
    assert_eq!(ownership.unordered_admission(0, 1), Admission::NotOwner);
    assert!(!ownership.needs_destination(1));
}

#[test]
fn the_member_of_an_appended_seat_is_on_hold_at_first() {
    let members = first_list();
    let joined = seat_form(0, 0, 9, Some(6));
    let mut ownership = new_sender(SeatId(6));
    receive(&mut ownership, 0, 0, full(&members)).unwrap();
    assert_eq!(ownership.seat(), None);
    let next_changes = changes(1, 2, vec![Change::Append(joined)]);
    let update = receive(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(next_changes)).unwrap();
    assert_eq!(ownership.seat(), Some(SeatId(6)));
    assert!(!update.gained.is_empty());
    let after = ownership.list().unwrap().clone();
    let dest = dest_where(&after, |owners| owners.contains(&SeatId(6)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

/// Senders of all versions that support scheme 1 must agree on the pinned preferred owners and shard indices.
/// A change of a pinned value needs a new scheme number.
#[test]
fn preferences_are_pinned_to_the_scheme() {
    let owners: Vec<SeatId> = [3, 141, 5_926, 53_589].map(SeatId).to_vec();
    let preferred = |key: &str| ordered(7, key).preferred(&owners).unwrap().0;
    let part = |key: &str| ordered(7, key).part(1_024);
    let keys = ["", "a", "order-1", "order-2", "a key of more than sixteen bytes"];
    assert_eq!(keys.map(preferred), [5_926, 141, 53_589, 3, 3]);
    assert_eq!(keys.map(part), [566, 915, 970, 392, 99]);
    assert_eq!(request(7, "order-1").part(1_024), part("order-1"));
}
