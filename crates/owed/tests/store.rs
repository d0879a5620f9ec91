//! The store on a disk that dies at every single operation, by a killed process and by a power cut.

mod common;
use common::*;
use embershore_owed::store::{Filter, Kept, Listed};
use embershore_owed::*;

const MB: u64 = 1_000_000;

fn numbered(n: u64, class: &str) -> Debt {
    let mut d = debt(class, &[Ending::NoConnection]);
    d.message.request_id = format!("{n:016x}");
    d.message.dest = (n % 5) as i64;
    d
}

/// A life of a store: what was promised by the time that the disk died.
#[derive(Default)]
struct Promised {
    kept: Vec<u64>,
    resends: Vec<u64>,
    gone: Vec<u64>,
    /// The step that was cut off: it may have happened or not.
    open: Option<u64>,
}

fn life(disk: &Faulty) -> Promised {
    let mut p = Promised::default();
    let Ok(store) = Store::on(disk.clone(), 64 * MB) else { return p };
    for n in 0..8 {
        p.open = Some(n);
        let Ok(Kept::New(id)) = store.keep(&numbered(n, "payout"), Some(n as i64)) else { return p };
        p.kept.push(n);
        if n % 2 == 0 {
            let mut d = store.get(id, false).expect("just kept");
            d.sent(30 * S);
            if store.update(id, &d, None).is_err() {
                return p;
            }
            p.resends.push(n);
        }
        if n % 4 == 3 {
            if store.remove(id).is_err() {
                return p;
            }
            p.gone.push(n);
        }
    }
    p.open = None;
    p
}

/// What stands on the disk keeps each promise; what was cut off stands whole or not at all.
fn holds(disk: Faulty, p: &Promised, case: &str) {
    let store = Store::on(disk, 64 * MB).unwrap_or_else(|e| panic!("{case}: it does not open: {e}"));
    let mut seen = 0;
    for n in 0..8u64 {
        let id = store.find(&format!("{n:016x}")).expect("readable");
        let sure = p.open != Some(n);
        match id {
            Some(id) => {
                seen += 1;
                let d = store.get(id, true).unwrap_or_else(|e| panic!("{case}: {n}: {e}"));
                assert_eq!(d.message.body, numbered(n, "payout").message.body, "{case}: {n}");
                assert!(p.kept.contains(&n) || !sure, "{case}: {n} was never kept");
                assert!(!p.gone.contains(&n), "{case}: {n} was taken out");
                assert!(
                    d.state == State::Out || !p.resends.contains(&n),
                    "{case}: {n}: its resend was forgotten"
                );
                assert!(d.state == State::Owed || p.resends.contains(&n) || !sure, "{case}: {n}: never sent");
            }
            None => assert!(!p.kept.contains(&n) || p.gone.contains(&n) || !sure, "{case}: {n} was lost"),
        }
    }
    let Listed { debts: list, damaged } = store.list(&Filter::default(), 100).expect("readable");
    assert!(damaged.is_empty(), "{case}: {damaged:?}");
    let counted: u64 = store.counts().expect("readable").iter().map(|c| c.debts).sum();
    assert_eq!((list.len(), counted), (seen, seen as u64), "{case}: list, counts and look-up disagree");
    // It goes on as if nothing had been: the hand-over that was cut off is done again.
    let again: Vec<Debt> = (0..12).map(|n| numbered(n, "payout")).collect();
    store.keep_all(again.iter().map(|d| (d, None))).unwrap_or_else(|e| panic!("{case}: {e}"));
    assert_eq!(store.list(&Filter::default(), 100).expect("readable").debts.len(), 12, "{case}");
}

#[test]
fn a_death_at_any_operation_leaves_each_debt_whole() {
    // Begun before the first death: a file is begun under another name.
    let begun = || {
        let disk = Faulty::default();
        drop(Store::on(disk.clone(), 64 * MB).expect("opens"));
        disk
    };
    let whole = begun();
    let first = whole.ops();
    let p = life(&whole);
    assert!(p.open.is_none() && p.gone.len() == 2 && p.resends.len() == 4);
    let ops = whole.ops();
    assert!(ops - first > 100, "{ops} operations");
    holds(whole.killed(), &p, "unharmed");
    for at in first..ops {
        let disk = begun();
        disk.disk().dies_at = Some(at);
        let p = life(&disk);
        holds(disk.killed(), &p, &format!("killed at operation {at}"));
        for seed in [0, u64::MAX, 0x9e37_79b9_7f4a_7c15, 0xd1b5_4a32_d192_ed03] {
            holds(disk.cut(seed), &p, &format!("power cut at operation {at}, {seed:x}"));
        }
    }
}

#[test]
fn a_message_is_owed_once_however_often_it_is_handed_over() {
    let store = Store::on(Faulty::default(), 9 * MB).expect("opens");
    let first = store.keep(&numbered(1, "quota"), None).expect("room");
    let Kept::New(id) = first else { panic!("{first:?}") };
    let mut d = store.get(id, true).expect("there");
    d.settle(Settled::Delivered, 40 * S);
    store.update(id, &d, None).expect("room");
    assert_eq!(store.keep(&numbered(1, "quota"), None).expect("room"), Kept::Before(id));
    assert_eq!(store.get(id, true).expect("there"), d, "what is settled is not owed anew");
    store.remove(id).expect("there");
    assert!(matches!(store.get(id, false), Err(StoreError::Unknown { number }) if number == id.0));
    assert!(matches!(store.remove(id), Err(StoreError::Unknown { .. })));
    assert_eq!(store.room().expect("readable").0, 0, "all its bytes are given back");
}

#[test]
fn a_full_store_turns_newcomers_away_and_still_settles() {
    let disk = Faulty::default();
    let store = Store::on(disk.clone(), 3 * MB).expect("opens");
    let mut kept = Vec::new();
    let full = loop {
        let mut d = numbered(kept.len() as u64, "quota");
        d.message.body = vec![7; 4000].into();
        match store.keep(&d, None) {
            Ok(Kept::New(id)) => kept.push(id),
            other => break other,
        }
        assert!(kept.len() < 10_000, "it is never full");
    };
    assert!(matches!(full, Err(StoreError::Full { .. })), "{full:?}");
    assert!(kept.len() > 200, "{} of 4 KB in 3 MB", kept.len());
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    for id in &kept {
        let mut d = store.get(*id, false).expect("nothing is pushed out");
        d.sent(30 * S);
        d.came_back([attempt(30 * S, Ending::Reset)], 31 * S);
        store.update(*id, &d, None).expect("a full store settles");
    }
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    kept.iter().for_each(|id| store.remove(*id).expect("there"));
    assert!(store.keep(&numbered(9999, "quota"), None).is_ok(), "there is room again");
}

#[test]
fn many_are_kept_at_once_and_one_without_room_keeps_out_no_other() {
    let disk = Faulty::default();
    let store = Store::on(disk.clone(), 3 * MB).expect("opens");
    let mut debts: Vec<Debt> = (0..6).map(|n| numbered(n, "quota")).collect();
    debts[2].message.body = vec![7; 2_000_000].into();
    debts[5].message.request_id = debts[0].message.request_id.clone();
    let before = disk.ops();
    let became = store.keep_all(debts.iter().map(|d| (d, None))).expect("the disk is well");
    let ids: Vec<Option<u64>> = became
        .iter()
        .map(|r| match r {
            Ok(Kept::New(id)) => Some(id.0),
            Ok(Kept::Before(id)) => Some(100 + id.0),
            Err(e) => {
                assert!(matches!(e, StoreError::Full { .. }), "{e}");
                None
            }
        })
        .collect();
    assert_eq!(ids, [Some(1), Some(2), None, Some(3), Some(4), Some(101)]);
    assert!(disk.ops() - before < 60, "one transaction for all");
    assert_eq!(store.list(&Filter::default(), 100).expect("readable").debts.len(), 4);
    assert_eq!(store.find(&debts[2].message.request_id).expect("readable"), None, "it left no trace");
}

#[test]
fn due_and_filters_find_what_they_should() {
    let store = Store::on(Faulty::default(), 64 * MB).expect("opens");
    for n in 0..40 {
        let class = if n % 2 == 0 { "quota" } else { "payout" };
        let mut d = numbered(n, class);
        d.since = n as i64 * S;
        d.reason = Reason::ALL[n as usize % 6];
        store.keep(&d, (n % 3 == 0).then_some(n as i64 * S)).expect("room");
    }
    let due: Vec<u64> = store.due(30 * S, 5).expect("readable").iter().map(|id| id.0 - 1).collect();
    assert_eq!(due, [0, 3, 6, 9, 12], "soonest first, at most so many");
    assert_eq!(store.due(39 * S, 100).expect("readable").len(), 14);
    let list = |f: Filter| -> Vec<u64> {
        let Listed { debts: list, damaged } = store.list(&f, 1000).expect("readable");
        assert!(damaged.is_empty());
        let mut ids: Vec<u64> = list.iter().map(|(id, _)| id.0 - 1).collect();
        ids.sort_unstable();
        ids
    };
    let expect = |f: &dyn Fn(u64) -> bool| (0..40).filter(|n| f(*n)).collect::<Vec<_>>();
    let f = Filter::default();
    assert_eq!(list(Filter { receiver: Some(3), ..f.clone() }), expect(&|n| n % 5 == 3));
    assert_eq!(list(Filter { class: Some("payout".into()), ..f.clone() }), expect(&|n| n % 2 == 1));
    assert_eq!(list(Filter { reason: Some(Reason::Gone), ..f.clone() }), expect(&|n| n % 6 == 5));
    assert_eq!(list(Filter { before: Some(10 * S), ..f.clone() }), expect(&|n| n < 10));
    let both = Filter { receiver: Some(1), class: Some("quota".into()), before: Some(30 * S), ..f };
    assert_eq!(list(both), expect(&|n| n % 5 == 1 && n % 2 == 0 && n < 30));
    // Filed under a new time, and no longer under the old one.
    let id = DebtId(1);
    let d = store.get(id, false).expect("there");
    store.update(id, &d, Some(100 * S)).expect("room");
    assert!(!store.due(39 * S, 100).expect("readable").contains(&id));
    assert!(store.due(100 * S, 100).expect("readable").contains(&id));
}

#[test]
fn a_store_that_was_half_made_is_begun_anew_and_a_foreign_file_is_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("owed");
    std::fs::write(path.with_extension("new"), "half made").expect("written");
    let store = Store::open(&path, 9 * MB).expect("begun anew");
    store.keep(&numbered(1, "quota"), None).expect("room");
    drop(store);
    let store = Store::open(&path, 9 * MB).expect("opens again");
    assert!(store.find("0000000000000001").expect("readable").is_some());
    drop(store);
    std::fs::write(&path, "somebody's notes").expect("written");
    assert!(Store::open(&path, 9 * MB).is_err());
    assert_eq!(std::fs::read(&path).expect("there"), b"somebody's notes");
}
