//! Tests that invalid member lists and changes are rejected with errors that name the invalid entry and the correction.
//! Also tests that the member list in force stays after such an error.

mod support;

use embershore_placement::wire::{ListForm, MemberForm, WideForm};
use embershore_placement::{AgentAnswer, Change, Changes, ListError, MAX_SEATS, MemberList, SeatId};
use support::{fleet, list, member_form, seat_form};

/// An invalid member list, and the texts that its error must contain: the position and correction of the invalid entry.
struct Case {
    name: &'static str,
    break_form: fn(&mut ListForm),
    expected: &'static [&'static str],
}

const LISTS: &[Case] = &[
    Case {
        name: "a name twice",
        break_form: |form| member(form, 4).name = "sender-00001".into(),
        expected: &["seats[4]", "sender-00001", "seats[1]", "vacate one"],
    },
    Case {
        name: "an address twice",
        break_form: |form| member(form, 5).address = "127.0.0.2:7001".into(),
        expected: &["seats[5]", "127.0.0.2:7001", "seats[2]", "each member its own address"],
    },
    Case {
        name: "an address without a port",
        break_form: |form| member(form, 5).address = "127.0.0.2".into(),
        expected: &["seats[5].member.address", "must be an IP address and a port"],
    },
    Case {
        name: "port 0",
        break_form: |form| member(form, 5).address = "127.0.0.2:0".into(),
        expected: &["seats[5].member.address", "port other than 0"],
    },
    Case {
        name: "a member without a name",
        break_form: |form| member(form, 5).name = " ".into(),
        expected: &["seats[5].member.name", "give it a name"],
    },
    Case {
        name: "no region of that name",
        break_form: |form| form.seats[3].region = "r9".into(),
        expected: &["seats[3].region", "r9", "add the region"],
    },
    Case {
        name: "no region",
        break_form: |form| form.seats[3].region.clear(),
        expected: &["seats[3].region", "add the region"],
    },
    Case {
        name: "no zone",
        break_form: |form| form.seats[3].zone.clear(),
        expected: &["seats[3].zone", "give it a name"],
    },
    Case {
        name: "no rack",
        break_form: |form| form.seats[3].rack.clear(),
        expected: &["seats[3].rack", "give it a name"],
    },
    Case { name: "weight 0", break_form: |form| form.seats[2].weight = 0.0, expected: WEIGHT },
    Case {
        name: "weight that rounds to 0",
        break_form: |form| form.seats[2].weight = 0.0001,
        expected: WEIGHT,
    },
    Case { name: "weight NaN", break_form: |form| form.seats[2].weight = f64::NAN, expected: WEIGHT },
    Case {
        name: "weight infinite",
        break_form: |form| form.seats[2].weight = f64::INFINITY,
        expected: WEIGHT,
    },
    Case { name: "weight negative", break_form: |form| form.seats[2].weight = -1.0, expected: WEIGHT },
    Case { name: "weight over 100", break_form: |form| form.seats[2].weight = 100.5, expected: WEIGHT },
    Case {
        name: "unknown scheme",
        break_form: |form| form.scheme = 2,
        expected: &["scheme is 2", "keep to scheme 1"],
    },
    Case {
        name: "no replicas",
        break_form: |form| form.replicas = 0,
        expected: &["replicas is 0", "must be 1 to 4"],
    },
    Case {
        name: "five replicas",
        break_form: |form| form.replicas = 5,
        expected: &["replicas is 5", "must be 1 to 4"],
    },
    Case {
        name: "fewer members than replicas",
        break_form: |form| {
            for seat in form.seats.iter_mut().filter(|seat| seat.region == "r1").skip(1) {
                seat.member = None;
            }
        },
        expected: &["region r1 has 1 members for 2 replicas", "fill seats there"],
    },
    Case {
        name: "a region without seats",
        break_form: |form| form.regions.push(region("r2", 1)),
        expected: &["region r2 has 0 members", "fill seats there"],
    },
    Case {
        name: "no regions",
        break_form: |form| form.regions.clear(),
        expected: &["regions is empty", "list at least one"],
    },
    Case {
        name: "a region twice",
        break_form: |form| form.regions.push(region("r0", 1)),
        expected: &["regions[2]", "r0", "regions[0]", "once"],
    },
    Case {
        name: "share 0",
        break_form: |form| form.regions[1].share = 0,
        expected: &["regions[1]", "share 0", "at least 1"],
    },
    Case {
        name: "a region without a name",
        break_form: |form| form.regions[1].name.clear(),
        expected: &["regions[1].name", "give it a name"],
    },
    Case {
        name: "too many regions",
        break_form: |form| form.regions = (0..257).map(|number| region(&number.to_string(), 1)).collect(),
        expected: &["regions has 257", "at most 256"],
    },
    Case {
        name: "too many seats",
        break_form: |form| form.seats = vec![form.seats[0].clone(); MAX_SEATS + 1],
        expected: &["seats has 65536", "at most 65535"],
    },
    Case {
        name: "width 1",
        break_form: |form| form.wide.push(wide(7, 1)),
        expected: &["destination 7", "width 1", "2 to 1024"],
    },
    Case {
        name: "width 1,025",
        break_form: |form| form.wide.push(wide(7, 1025)),
        expected: &["width 1025", "2 to 1024"],
    },
    Case {
        name: "a wide destination twice",
        break_form: |form| form.wide.extend([wide(7, 2), wide(7, 3)]),
        expected: &["destination 7 twice", "list it once"],
    },
    Case {
        name: "too many wide destinations",
        break_form: |form| form.wide = (0..65_537).map(|dest| wide(dest, 2)).collect(),
        expected: &["wide has 65537", "at most 65536"],
    },
];

const WEIGHT: &[&str] = &["seats[2].weight", "at most 100"];

fn member(form: &mut ListForm, seat: usize) -> &mut MemberForm {
    form.seats[seat].member.as_mut().expect("a filled seat")
}

fn region(name: &str, share: u32) -> embershore_placement::wire::RegionForm {
    embershore_placement::wire::RegionForm { name: name.into(), share }
}

fn wide(dest: i64, width: u64) -> WideForm {
    WideForm { dest, width }
}

fn small() -> ListForm {
    fleet(&[2, 2], 8, 2)
}

#[track_caller]
fn assert_mentions(case: &str, error: &ListError, words: &[&str]) {
    let text = error.to_string();
    for word in words {
        assert!(text.contains(word), "{case}: {text:?} does not contain {word:?}");
    }
}

#[test]
fn an_invalid_list_is_rejected_with_the_place_and_the_correction() {
    assert!(MemberList::from_form(small()).is_ok());
    for case in LISTS {
        let mut form = small();
        (case.break_form)(&mut form);
        let error = MemberList::from_form(form).expect_err(case.name);
        assert_mentions(case.name, &error, case.expected);
    }
}

#[test]
fn changes_that_do_not_apply_are_rejected_and_the_list_stays() {
    let fill = |seat, number| Change::Fill { seat: SeatId(seat), member: member_form(number) };
    let vacate = |seat| Change::Vacate { seat: SeatId(seat) };
    let cases: Vec<(&str, Changes, &[&str])> = vec![
        ("another epoch's changes", from(6, 8, vec![vacate(0)]), &["since epoch 6", "epoch 7", "full list"]),
        (
            "changes since a later epoch",
            from(8, 9, vec![vacate(0)]),
            &["since epoch 8", "epoch 7", "full list"],
        ),
        ("the same epoch", from(7, 7, vec![vacate(0)]), &["lead to epoch 7", "raise the epoch"]),
        ("an older epoch", from(7, 6, vec![vacate(0)]), &["lead to epoch 6", "raise the epoch"]),
        ("a seat out of range", next(vec![vacate(8)]), &["seat 8", "has 8", "append it"]),
        ("filling out of range", next(vec![fill(65_535, 99)]), &["seat 65535", "has 8"]),
        ("filling a filled seat", next(vec![fill(3, 99)]), &["seat 3", "sender-00003", "vacate it first"]),
        (
            "vacating a vacant seat",
            next(vec![vacate(0), vacate(0)]),
            &["seat 0 is vacant", "correct the number"],
        ),
        ("a name twice", next(vec![vacate(0), fill(0, 5)]), &["seats[0]", "sender-00005", "seats[5]"]),
        (
            "an address twice",
            next(vec![vacate(0), fill_with_address(0, 5)]),
            &["seats[0]", "127.0.0.5", "seats[5]"],
        ),
        ("too few members", next([0, 2, 4].map(vacate).into()), &["region r0 has 1 members", "fill seats"]),
        (
            "appending without a zone",
            next(vec![append(|seat| seat.zone.clear())]),
            &["seats[8].zone", "name"],
        ),
        (
            "appending without a rack",
            next(vec![append(|seat| seat.rack.clear())]),
            &["seats[8].rack", "name"],
        ),
        (
            "appending to no region",
            next(vec![append(|seat| seat.region = "r7".into())]),
            &["seats[8].region", "r7"],
        ),
        (
            "appending weight 0",
            next(vec![append(|seat| seat.weight = 0.0)]),
            &["seats[8].weight", "at most 100"],
        ),
        (
            "appending a name twice",
            next(vec![append(|seat| seat.member = Some(member_form(1)))]),
            &["seats[8]"],
        ),
        ("width 0", next(vec![Change::SetWidth(wide(7, 0))]), &["destination 7", "width 0", "1 in a change"]),
        ("width 1,025", next(vec![Change::SetWidth(wide(7, 1025))]), &["width 1025", "2 to 1024"]),
    ];
    let list = list(ListForm { epoch: 7, ..small() });
    let digest = list.digest();
    for (name, changes, words) in cases {
        let error = list.apply(&changes).expect_err(name);
        assert_mentions(name, &error, words);
        assert_eq!((list.epoch(), list.digest()), (7, digest), "{name}");
    }
    assert!(list.apply(&next(vec![vacate(0), fill(0, 99)])).is_ok());
}

fn from(since: u64, epoch: u64, changes: Vec<Change>) -> Changes {
    Changes { epoch, since, changes }
}

fn next(changes: Vec<Change>) -> Changes {
    from(7, 8, changes)
}

fn append(break_form: fn(&mut embershore_placement::wire::SeatForm)) -> Change {
    let mut seat = seat_form(0, 1, 0, Some(99));
    break_form(&mut seat);
    Change::Append(seat)
}

fn fill_with_address(seat: u16, of: usize) -> Change {
    let member = MemberForm { name: "another".into(), ..member_form(of) };
    Change::Fill { seat: SeatId(seat), member }
}

#[test]
fn an_older_or_different_list_is_no_successor() {
    let current = list(ListForm { epoch: 7, ..small() });
    let older = list(ListForm { epoch: 6, ..small() });
    let error = current.check_successor(&older).expect_err("an older epoch");
    assert_mentions("an older epoch", &error, &["epoch 6", "epoch 7", "above 7"]);

    let mut form = ListForm { epoch: 7, ..small() };
    member(&mut form, 3).name = "somebody-else".into();
    let error = current.check_successor(&list(form)).expect_err("another list");
    assert_mentions(
        "another list under the same epoch",
        &error,
        &["epoch 7", "another list", "raise the epoch"],
    );

    assert_eq!(current.check_successor(&current), Ok(()));
    assert_eq!(current.check_successor(&list(ListForm { epoch: 8, ..small() })), Ok(()));
}

#[test]
fn json_of_another_form_is_rejected_with_its_place() {
    let cases: &[(&str, &str, &[&str])] = &[
        ("cut off", r#"{"epoch":7,"#, &["malformed member list", "line 1 column"]),
        ("no list", "[]", &["malformed member list"]),
        (
            "weight NaN",
            r#"{"epoch":1,"scheme":1,"replicas":1,"regions":[],"seats":[{"weight":NaN}]}"#,
            &["malformed member list"],
        ),
        ("negative epoch", r#"{"epoch":-7,"since":7,"changes":[]}"#, &["malformed member list", "-7"]),
        (
            "no change",
            r#"{"epoch":8,"since":7,"changes":[{}]}"#,
            &["changes[0]", "give either seat with member"],
        ),
        ("a seat without a member", r#"{"epoch":8,"since":7,"changes":[{"seat":3}]}"#, &["changes[0]"]),
        (
            "two changes in one",
            r#"{"epoch":8,"since":7,"changes":[{"seat":1,"member":null},{"seat":3,"member":null,"wide":{"dest":1,"width":2}}]}"#,
            &["changes[1]", "not exactly one change"],
        ),
        (
            "a seat beyond all",
            r#"{"epoch":8,"since":7,"changes":[{"seat":65535,"member":null}]}"#,
            &["seat 65535"],
        ),
    ];
    for (name, json, words) in cases {
        let error = AgentAnswer::parse_json(json.as_bytes()).expect_err(name);
        assert_mentions(name, &error, words);
    }
}
