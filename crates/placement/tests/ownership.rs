//! One sender's view: leases, holds, routes, and answers that are refused.

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

/// An answer reaches a sender.
fn hear(
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

/// Six members in one region of three zones, two owners a shard, nobody before them.
fn first_form() -> ListForm {
    ListForm { first: true, ..fleet(&[3], 6, 1) }
}

fn first_list() -> MemberList {
    list(first_form())
}

fn whole(list: &MemberList) -> AgentAnswer {
    AgentAnswer::Full(Box::new(list.clone()))
}

fn unheard(seat: SeatId) -> Ownership {
    Ownership::new(member_form(seat.index()).name, LEASE, DEADLINE)
}

/// The member of a seat, which heard this list at 0.
fn heard(seat: SeatId, list: &MemberList) -> Ownership {
    let mut ownership = unheard(seat);
    hear(&mut ownership, 0, 0, whole(list)).unwrap();
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

/// The first destination whose owners are as wanted.
fn dest_where(list: &MemberList, wanted: impl Fn(&[SeatId]) -> bool) -> i64 {
    let table = table(list);
    (0..100_000).find(|&dest| wanted(table.owners(shard(dest)))).expect("such a destination")
}

/// The first order key of a destination for which the answer is as wanted.
fn key_where(wanted: impl Fn(&str) -> bool) -> String {
    (0..1_000).map(|number| format!("key-{number}")).find(|key| wanted(key)).expect("such a key")
}

#[test]
fn a_sender_that_heard_nothing_knows_no_way_and_takes_nothing() {
    let ownership = unheard(OWN);
    assert_eq!(ownership.route(0, &request(1, "r")), Route::Unknown);
    assert_eq!(ownership.unordered_admission(0, 1), Admission::LeaseExpired);
    assert_eq!(ownership.admission(0, &ordered(1, "k")), Admission::LeaseExpired);
    assert_eq!(ownership.persisted_state(0), None);
    assert!(!ownership.needs_destination(1));
}

#[test]
fn the_first_list_is_on_hold_for_lease_and_longest_deadline() {
    let started_earlier = list(fleet(&[3], 6, 1));
    let dest = dest_where(&started_earlier, |owners| owners.contains(&OWN));
    let mut ownership = heard(OWN, &started_earlier);
    assert_eq!(ownership.unordered_admission(1, dest), Admission::OnHold(HOLD));
    assert!(!ownership.persisted_state(HOLD - 1).unwrap().settled);
    assert!(ownership.persisted_state(HOLD).unwrap().settled);
    hear(&mut ownership, HOLD - 1, HOLD - 1, AgentAnswer::Unchanged { epoch: 1 }).unwrap();
    assert_eq!(ownership.unordered_admission(HOLD - 1, dest), Admission::OnHold(HOLD));
    assert_eq!(ownership.unordered_admission(HOLD, dest), Admission::Accepted);
}

#[test]
fn an_agent_that_may_be_behind_makes_the_hold_longer() {
    let mut ownership = unheard(OWN).with_agent_lag(5 * SECOND);
    hear(&mut ownership, 0, 0, whole(&list(fleet(&[3], 6, 1)))).unwrap();
    let until = ownership.holds_end(1).unwrap();
    assert!(until >= 35 * SECOND, "{until}");
}

fn memory(epoch: u64, digest: u64) -> PersistedPlacement {
    PersistedPlacement { epoch, digest, settled: true, replicas: 2, wide: BTreeMap::new() }
}

#[test]
fn a_new_fleet_and_a_settled_sender_that_restarts_wait_for_nobody() {
    let new_fleet = first_list();
    let dest = dest_where(&new_fleet, |owners| owners.contains(&OWN));
    assert_eq!(heard(OWN, &new_fleet).unordered_admission(1, dest), Admission::Accepted);
    let running = list(fleet(&[3], 6, 1));
    let memory = memory(1, running.digest());
    let mut restarted = unheard(OWN).with_persisted(Some(memory.clone()));
    hear(&mut restarted, 0, 0, whole(&running)).unwrap();
    assert_eq!(restarted.unordered_admission(1, dest), Admission::Accepted);
    assert!(restarted.persisted_state(HOLD).unwrap().settled);
}

#[test]
fn what_the_state_folder_remembers_counts_for_that_list_alone() {
    let running = list(fleet(&[3], 6, 1));
    let dest = dest_where(&running, |owners| owners.contains(&OWN));
    let unsettled = PersistedPlacement { settled: false, ..memory(1, running.digest()) };
    for memory in [memory(0, running.digest()), memory(1, running.digest() ^ 1), unsettled] {
        let mut restarted = unheard(OWN).with_persisted(Some(memory));
        hear(&mut restarted, 0, 0, whole(&running)).unwrap();
        assert_eq!(restarted.unordered_admission(1, dest), Admission::OnHold(HOLD));
    }
}

#[test]
fn the_lease_counts_from_the_ask_and_an_expired_one_takes_nothing_but_forwards() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = heard(OWN, &members);
    hear(&mut ownership, 4 * SECOND, 9 * SECOND, AgentAnswer::Unchanged { epoch: 1 }).unwrap();
    assert_eq!(ownership.unordered_admission(14 * SECOND - 1, dest), Admission::Accepted);
    assert_eq!(ownership.unordered_admission(14 * SECOND, dest), Admission::LeaseExpired);
    assert_eq!(ownership.admission(14 * SECOND, &request(dest, "r")), Admission::LeaseExpired);
    let Route::Forward(candidates) = ownership.route(14 * SECOND, &request(dest, "r")) else { panic!() };
    assert_eq!(candidates.len(), 1);
    assert!(!candidates.contains(&OWN));
    assert!(ownership.needs_destination(dest));
}

#[test]
fn answers_that_do_not_fit_are_refused_and_renew_nothing() {
    let members = first_list();
    let mut ownership = heard(OWN, &members);
    hear(&mut ownership, 0, 0, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
    let digest = ownership.list().unwrap().digest();
    let other = list(ListForm { epoch: 2, ..fleet(&[3], 7, 1) });
    let stale = ListError::StaleEpoch { current: 2, offered: 1 };
    let refused = [
        (whole(&members), stale.clone()),
        (AgentAnswer::Unchanged { epoch: 1 }, stale.clone()),
        (AgentAnswer::Changes(changes(0, 1, vec![vacate(4)])), stale),
        (whole(&other), ListError::DifferentList { epoch: 2 }),
        (AgentAnswer::Unchanged { epoch: 3 }, ListError::SinceMismatch { current: 2, since: 3 }),
        (
            AgentAnswer::Changes(changes(1, 3, vec![vacate(4)])),
            ListError::SinceMismatch { current: 2, since: 1 },
        ),
        (AgentAnswer::Changes(changes(2, 3, vec![vacate(5)])), ListError::SeatVacant { seat: 5 }),
    ];
    for (answer, error) in refused {
        assert_eq!(hear(&mut ownership, 9 * SECOND, 9 * SECOND, answer), Err(error));
        assert_eq!(ownership.epoch(), Some(2));
        assert_eq!(ownership.list().unwrap().digest(), digest);
        assert!(!ownership.lease_valid(LEASE));
    }
}

#[test]
fn the_same_answer_again_renews_and_changes_nothing() {
    let members = first_list();
    let mut ownership = heard(OWN, &members);
    let step = changes(1, 2, vec![vacate(5)]);
    assert!(hear(&mut ownership, 0, 0, AgentAnswer::Changes(step.clone())).unwrap().changed);
    let on_hold = ownership.holds_end(1);
    for answer in [AgentAnswer::Changes(step), whole(&ownership.list().unwrap().clone())] {
        let again = hear(&mut ownership, SECOND, SECOND, answer).unwrap();
        assert!(!again.changed);
        assert_eq!((again.gained.len(), again.lost.len()), (0, 0));
        assert_eq!(ownership.holds_end(SECOND), on_hold);
    }
    assert!(ownership.lease_valid(LEASE + SECOND - 1));
}

#[test]
fn what_an_epoch_gives_is_on_hold_and_what_it_leaves_is_not() {
    let members = first_list();
    let mut ownership = heard(OWN, &members);
    let step = changes(1, 2, vec![vacate(5)]);
    let next = members.apply(&step).unwrap();
    let (before, after) = (table(&members), table(&next));
    let heard = hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(step)).unwrap();
    let is_new = |shard: ShardId| !before.owners(shard).contains(&OWN);
    let mut expected: Vec<ShardId> = after.shards_of(OWN).filter(|&shard| is_new(shard)).collect();
    expected.sort_unstable();
    assert!(!expected.is_empty());
    assert_eq!((heard.epoch, heard.gained, heard.lost), (2, expected, vec![]));
    let kept = dest_where(&members, |owners| owners.contains(&OWN));
    assert_eq!(ownership.unordered_admission(SECOND, kept), Admission::Accepted);
    let owned_after = |dest: i64| after.owners(shard(dest)).contains(&OWN);
    let gained = (0..).find(|&dest| owned_after(dest) && is_new(shard(dest))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, gained), Admission::OnHold(SECOND + HOLD));
    hear(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND + HOLD, gained), Admission::Accepted);
}

#[test]
fn what_an_epoch_takes_away_is_refused_at_once_and_kept_until_its_messages_have_ended() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let mut ownership = heard(OWN, &vacant);
    let step = changes(1, 2, vec![fill(5)]);
    let after = table(&vacant.apply(&step).unwrap());
    let owned_after = |dest: i64| after.owners(shard(dest)).contains(&OWN);
    let dest = (0..)
        .find(|&dest| ownership.unordered_admission(0, dest) == Admission::Accepted && !owned_after(dest))
        .unwrap();
    let heard = hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(step)).unwrap();
    assert!(heard.lost.contains(&shard(dest)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::NotOwner);
    assert!(ownership.needs_destination(dest));
    hear(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert!(!ownership.needs_destination(dest));
}

fn with_vacant(seat: usize) -> ListForm {
    let mut form = fleet(&[3], 6, 1);
    form.seats[seat].member = None;
    form
}

/// A shard that this sender owns in place of a vacant seat: lost while the seat is filled, and then its own again.
#[test]
fn what_was_another_s_between_two_epochs_is_new() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let filled = vacant.apply(&changes(1, 2, vec![fill(5)])).unwrap();
    let (before, between) = (table(&vacant), table(&filled));
    let lost_between = |shard: ShardId| !between.owners(shard).contains(&OWN);
    let own = |dest: &i64| before.owners(shard(*dest)).contains(&OWN);
    let dest = (0..).filter(own).find(|&dest| lost_between(shard(dest))).unwrap();
    let kept = (0..).filter(own).find(|&dest| !lost_between(shard(dest))).unwrap();
    let mut ownership = heard(OWN, &vacant);
    let answer = AgentAnswer::Changes(changes(1, 3, vec![fill(5), vacate(5)]));
    let heard = hear(&mut ownership, SECOND, SECOND, answer).unwrap();
    assert_eq!((heard.gained.len(), heard.lost.len()), (0, 0));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
    assert_eq!(ownership.unordered_admission(SECOND, kept), Admission::Accepted);
}

#[test]
fn own_seat_given_away_and_back_between_two_epochs_makes_all_new() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = heard(OWN, &members);
    let answer = AgentAnswer::Changes(changes(1, 3, vec![vacate(0), fill(0)]));
    hear(&mut ownership, SECOND, SECOND, answer).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

/// Preferences of keys go by seat: what a member keeps in another seat is as new to it as what it gains.
#[test]
fn a_member_that_moves_to_another_seat_waits_with_all() {
    let vacant = list(ListForm { first: true, ..with_vacant(5) });
    let moved = Change::Fill { seat: SeatId(5), member: member_form(0) };
    let step = changes(1, 2, vec![vacate(0), moved]);
    let next = vacant.apply(&step).unwrap();
    let (before, after) = (table(&vacant), table(&next));
    let keeps =
        |shard: ShardId| before.owners(shard).contains(&OWN) && after.owners(shard).contains(&SeatId(5));
    let dest = (0..).find(|&dest| keeps(shard(dest))).unwrap();
    let mut ownership = heard(OWN, &vacant);
    assert_eq!(ownership.unordered_admission(0, dest), Admission::Accepted);
    hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(step)).unwrap();
    assert_eq!(ownership.seat(), Some(SeatId(5)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

#[test]
fn a_whole_list_makes_all_new_unless_it_is_the_next_one() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    for (epoch, expected) in [(2, Admission::Accepted), (3, Admission::OnHold(SECOND + HOLD))] {
        let mut ownership = heard(OWN, &members);
        let later = list(ListForm { epoch, first: false, ..first_form() });
        hear(&mut ownership, SECOND, SECOND, whole(&later)).unwrap();
        assert_eq!(ownership.unordered_admission(SECOND, dest), expected);
    }
}

#[test]
fn too_many_changes_over_several_epochs_make_all_new() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    for (count, expected) in [
        (MAX_REPLAYED_CHANGES, Admission::Accepted),
        (MAX_REPLAYED_CHANGES + 2, Admission::OnHold(SECOND + HOLD)),
    ] {
        let mut ownership = heard(OWN, &members);
        let toggled = (0..count).map(|index| if index % 2 == 0 { vacate(5) } else { fill(5) });
        let answer = AgentAnswer::Changes(changes(1, 3, toggled.collect()));
        hear(&mut ownership, SECOND, SECOND, answer).unwrap();
        assert_eq!(ownership.unordered_admission(SECOND, dest), expected, "{count} changes");
    }
}

#[test]
fn an_owner_serves_and_others_forward_to_the_owners_the_preferred_one_first() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let owners = table(&members).owners(shard(dest)).to_vec();
    assert_eq!(heard(OWN, &members).route(0, &request(dest, "r")), Route::Local);
    let other = (0..6).map(SeatId).find(|seat| !owners.contains(seat)).unwrap();
    let forwarder = heard(other, &members);
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
    assert!((400..=600).contains(&preferred_own), "{preferred_own} of 1,000 prefer one of two owners");
}

#[test]
fn an_ordered_request_has_one_owner_on_every_sender() {
    let members = first_list();
    let all: Vec<Ownership> = (0..6).map(|seat| heard(SeatId(seat), &members)).collect();
    for number in 0..200 {
        let key = format!("key-{number}");
        let request = ordered(number, &key);
        let takers = all.iter().filter(|ownership| ownership.admission(0, &request) == Admission::Accepted);
        let taker = takers.map(|ownership| ownership.seat().unwrap()).collect::<Vec<_>>();
        assert_eq!(taker.len(), 1);
        for ownership in &all {
            let expected =
                if ownership.seat() == Some(taker[0]) { Route::Local } else { Route::Forward(taker.clone()) };
            assert_eq!(ownership.route(0, &request), expected);
        }
    }
}

#[test]
fn an_ordered_request_waits_for_its_owner_also_while_that_one_may_not_take_it() {
    let members = first_list();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let ownership = heard(OWN, &members);
    let key = key_where(|key| ownership.admission(0, &ordered(dest, key)) == Admission::Accepted);
    assert_eq!(ownership.route(LEASE, &ordered(dest, &key)), Route::Local);
    assert_eq!(ownership.admission(LEASE, &ordered(dest, &key)), Admission::LeaseExpired);
}

#[test]
fn a_key_whose_preference_moves_is_on_hold_and_one_that_stays_is_not() {
    let members = first_list();
    let lost = SeatId(5);
    let dest = dest_where(&members, |owners| owners.contains(&OWN) && owners.contains(&lost));
    let mut ownership = heard(OWN, &members);
    let other = heard(lost, &members);
    let stays = key_where(|key| ownership.admission(0, &ordered(dest, key)) == Admission::Accepted);
    let moves = key_where(|key| {
        let mut after = ownership.clone();
        hear(&mut after, 0, 0, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
        let was_the_others = other.admission(0, &ordered(dest, key)) == Admission::Accepted;
        was_the_others && after.admission(0, &ordered(dest, key)) != Admission::NotOwner
    });
    hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(changes(1, 2, vec![vacate(5)]))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::Accepted);
    assert_eq!(ownership.admission(SECOND, &ordered(dest, &moves)), Admission::OnHold(SECOND + HOLD));
    let stayed = ownership.admission(SECOND, &ordered(dest, &stays));
    assert!(matches!(stayed, Admission::Accepted | Admission::NotOwner), "{stayed:?}");
    hear(&mut ownership, SECOND + HOLD, SECOND + HOLD, AgentAnswer::Unchanged { epoch: 2 }).unwrap();
    assert_eq!(ownership.admission(SECOND + HOLD, &ordered(dest, &moves)), Admission::Accepted);
}

#[test]
fn a_wide_destination_has_more_owners_new_parts_wait_and_the_share_falls_at_once() {
    let members = first_list();
    let dest = 7;
    let all = (0..6).map(|seat| {
        let mut ownership = heard(SeatId(seat), &members);
        assert_eq!(ownership.limit_sharers(0, dest), 2);
        hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(changes(1, 2, vec![widen(dest, 8)])))
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
    hear(&mut narrowed, SECOND, 2 * SECOND, AgentAnswer::Changes(changes(2, 3, vec![widen(dest, 1)])))
        .unwrap();
    assert_eq!(narrowed.limit_sharers(2 * SECOND + HOLD - 1, dest), 16);
    assert_eq!(narrowed.limit_sharers(2 * SECOND + HOLD, dest), 2);
}

#[test]
fn a_key_that_moves_to_another_part_is_on_hold() {
    let members = first_list();
    let dest = 7;
    let step = changes(1, 2, vec![widen(dest, 8)]);
    let mut moved = 0;
    for seat in (0..6).map(SeatId) {
        let before = heard(seat, &members);
        let mut after = before.clone();
        hear(&mut after, 0, SECOND, AgentAnswer::Changes(step.clone())).unwrap();
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
fn a_larger_share_waits_until_a_list_with_more_replicas_is_over() {
    let three = list(ListForm { replicas: 3, ..first_form() });
    let two = list(ListForm { epoch: 2, first: false, ..first_form() });
    let mut ownership = heard(OWN, &three);
    assert_eq!(ownership.limit_sharers(0, 1), 3);
    hear(&mut ownership, SECOND, SECOND, whole(&two)).unwrap();
    assert_eq!(ownership.limit_sharers(SECOND + HOLD - 1, 1), 3);
    assert_eq!(ownership.limit_sharers(SECOND + HOLD, 1), 2);
}

#[test]
fn a_restarted_sender_keeps_the_smaller_share_of_its_last_run() {
    let members = list(fleet(&[3], 6, 1));
    let last =
        PersistedPlacement { replicas: 3, wide: BTreeMap::from([(7, 4)]), ..memory(1, members.digest()) };
    let mut restarted = unheard(OWN).with_persisted(Some(last));
    assert_eq!((restarted.limit_sharers(0, 1), restarted.limit_sharers(0, 7)), (3, 12));
    hear(&mut restarted, 0, 0, whole(&members)).unwrap();
    assert_eq!((restarted.limit_sharers(HOLD - 1, 1), restarted.limit_sharers(HOLD - 1, 7)), (3, 12));
    assert_eq!((restarted.limit_sharers(HOLD, 1), restarted.limit_sharers(HOLD, 7)), (2, 2));
    assert_eq!(unheard(OWN).limit_sharers(0, 1), MAX_REPLICAS);
}

#[test]
fn a_restarted_sender_refuses_an_epoch_before_its_last() {
    let mut restarted = unheard(OWN).with_persisted(Some(memory(2, 0)));
    let refused = hear(&mut restarted, 0, 0, whole(&first_list()));
    assert_eq!(refused, Err(ListError::StaleEpoch { current: 2, offered: 1 }));
    assert!(!restarted.lease_valid(0));
}

#[test]
fn a_process_whose_name_another_address_has_owns_nothing() {
    let members = first_list();
    let own_address = member_form(0).address.parse().unwrap();
    let dest = dest_where(&members, |owners| owners.contains(&OWN));
    let mut ownership = unheard(OWN).with_address(own_address);
    hear(&mut ownership, 0, 0, whole(&members)).unwrap();
    assert_eq!(ownership.unordered_admission(0, dest), Admission::Accepted);
    let mut replacement = member_form(0);
    replacement.address = "127.9.9.9:7001".to_string();
    let replaced = vec![vacate(0), Change::Fill { seat: OWN, member: replacement }];
    hear(&mut ownership, 0, SECOND, AgentAnswer::Changes(changes(1, 2, replaced))).unwrap();
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::NotOwner);
    assert_eq!(ownership.seat(), None);
}

#[test]
fn a_sender_without_a_seat_forwards() {
    let members = first_list();
    let mut ownership = Ownership::new("not-listed", LEASE, DEADLINE);
    hear(&mut ownership, 0, 0, whole(&members)).unwrap();
    assert!(matches!(ownership.route(0, &request(1, "r")), Route::Forward(owners) if owners.len() == 2));
    assert_eq!(ownership.unordered_admission(0, 1), Admission::NotOwner);
    assert!(!ownership.needs_destination(1));
}

#[test]
fn an_appended_seat_s_member_waits_and_takes_over_after_the_hold() {
    let members = first_list();
    let joined = seat_form(0, 0, 9, Some(6));
    let mut ownership = unheard(SeatId(6));
    hear(&mut ownership, 0, 0, whole(&members)).unwrap();
    assert_eq!(ownership.seat(), None);
    let step = changes(1, 2, vec![Change::Append(joined)]);
    let heard = hear(&mut ownership, SECOND, SECOND, AgentAnswer::Changes(step)).unwrap();
    assert_eq!(ownership.seat(), Some(SeatId(6)));
    assert!(!heard.gained.is_empty());
    let after = ownership.list().unwrap().clone();
    let dest = dest_where(&after, |owners| owners.contains(&SeatId(6)));
    assert_eq!(ownership.unordered_admission(SECOND, dest), Admission::OnHold(SECOND + HOLD));
}

/// Senders of all versions that know scheme 1 agree on these; another result is a new scheme number.
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
