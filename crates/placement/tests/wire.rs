//! Tests that the JSON forms of docs/design/placement.md are parsed.
//! Also tests that written member lists and changes are parsed back unchanged.

mod support;

use embershore_placement::wire::WideForm;
use embershore_placement::{AgentAnswer, Change, Changes, MemberList, SeatId};
use support::{fleet, list, member_form, seat_form};

const FULL: &str = r#"{"epoch":7,"scheme":1,"replicas":1,"first":true,"regions":[{"name":"r1","share":1}],"seats":[
    {"region":"r1","zone":"a","rack":"a1","weight":1.5,"member":{"name":"n0","address":"127.0.0.1:7001"}},
    {"region":"r1","zone":"b","rack":"b1","weight":1.0,"member":null}],"wide":[{"dest":-7,"width":4}]}"#;

#[test]
fn a_full_list_is_parsed() {
    let Ok(AgentAnswer::Full(list)) = AgentAnswer::parse_json(FULL.as_bytes()) else {
        panic!("expected a full list")
    };
    assert_eq!((list.epoch(), list.replicas(), list.is_first()), (7, 1, true));
    assert_eq!((list.seat_count(), list.member_count()), (2, 1));
    let seat = list.seat_of("n0").expect("the member's seat");
    assert_eq!(seat, SeatId(0));
    assert_eq!(list.member(seat).map(|member| member.address()), "127.0.0.1:7001".parse().ok());
    assert_eq!((list.region_name(seat), list.zone_name(seat), list.rack_name(seat)), ("r1", "a", "a1"));
    assert_eq!(list.weight(seat).units(), 1536);
    assert_eq!(list.member(SeatId(1)), None);
    assert_eq!(list.member(SeatId(2)), None);
    assert_eq!(list.seat_of("n1"), None);
    assert_eq!((list.width(-7), list.width(7)), (4, 1));
}

#[test]
fn changes_are_parsed() {
    let json = r#"{"epoch":8,"since":7,"changes":[{"seat":3,"member":null},
        {"seat":4,"member":{"name":"sender-00004","address":"127.0.0.4:7001"}},
        {"append":{"region":"r0","zone":"z1","rack":"k0","weight":1.0,"member":null}},{"wide":{"dest":7,"width":4}}]}"#;
    let Ok(AgentAnswer::Changes(changes)) = AgentAnswer::parse_json(json.as_bytes()) else {
        panic!("expected changes")
    };
    let expected = vec![
        Change::Vacate { seat: SeatId(3) },
        Change::Fill { seat: SeatId(4), member: member_form(4) },
        Change::Append(seat_form(0, 1, 0, None)),
        Change::SetWidth(WideForm { dest: 7, width: 4 }),
    ];
    assert_eq!(changes, Changes { epoch: 8, since: 7, changes: expected });
    assert_eq!(Changes::parse_json(&changes.to_json()), Ok(changes));
}

#[test]
fn an_unchanged_list_is_distinguished_from_changes() {
    let answer = AgentAnswer::parse_json(br#"{"epoch":7,"since":7,"changes":[]}"#);
    assert!(matches!(answer, Ok(AgentAnswer::Unchanged { epoch: 7 })));
}

#[test]
fn a_list_is_the_same_after_writing_and_parsing() {
    let mut form = fleet(&[3, 2], 40, 4);
    form.seats[17].member = None;
    form.seats[18].weight = 0.5;
    form.wide.push(WideForm { dest: 9, width: 1024 });
    let written = list(form);
    let read = MemberList::parse_json(&written.to_json()).expect("a list that was written");
    assert_eq!((read.epoch(), read.digest()), (written.epoch(), written.digest()));
    assert_eq!(read.to_form(), written.to_form());
}

#[test]
fn a_list_reached_by_changes_has_the_digest_of_the_full_list() {
    let before = list(fleet(&[2], 6, 2));
    let changes = vec![
        Change::Vacate { seat: SeatId(2) },
        Change::Append(seat_form(0, 0, 7, Some(2))),
        Change::Fill { seat: SeatId(2), member: member_form(77) },
        Change::SetWidth(WideForm { dest: 5, width: 8 }),
        Change::SetWidth(WideForm { dest: 6, width: 2 }),
        Change::SetWidth(WideForm { dest: 6, width: 1 }),
    ];
    let (after, _) = support::applied(&before, changes);
    let mut form = fleet(&[2], 6, 2);
    form.epoch = 2;
    form.seats[2].member = Some(member_form(77));
    form.seats.push(seat_form(0, 0, 7, Some(2)));
    form.wide.push(WideForm { dest: 5, width: 8 });
    assert_eq!(after.digest(), list(form).digest());
    assert_ne!(after.digest(), before.digest());
    assert_eq!(after.seat_of("sender-00002"), Some(SeatId(6)));
    assert_eq!(after.seat_of("sender-00077"), Some(SeatId(2)));
}
