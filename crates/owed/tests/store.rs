//! The store on a disk that fails at every single operation in turn, with a killed process and with a power failure.

mod common;
use common::*;
use embershore_owed::store::{DebtList, Filter, Inserted};
use embershore_owed::*;

const MB: u64 = 1_000_000;

fn numbered(n: u64, class: &str) -> Debt {
    let mut d = debt(class, &[AttemptOutcome::NoConnection]);
    d.message.request_id = format!("{n:016x}");
    d.message.dest = (n % 5) as i64;
    d
}

/// The operations that a store completed before the disk failed.
#[derive(Default)]
struct Completed {
    inserted: Vec<u64>,
    resends: Vec<u64>,
    removed: Vec<u64>,
    /// The debt of the interrupted operation, which may have taken effect or not.
    interrupted: Option<u64>,
}

/// Runs a sequence of operations on a store until the disk fails.
fn run_store(disk: &Faulty) -> Completed {
    let mut p = Completed::default();
    let Ok(store) = Store::with_backend(disk.clone(), 64 * MB) else { return p };
    for n in 0..8 {
        p.interrupted = Some(n);
        let Ok(Inserted::New(id)) = store.insert(&numbered(n, "payout"), Some(n as i64)) else { return p };
        p.inserted.push(n);
        if n % 2 == 0 {
            let mut d = store.get(id, false).expect("just inserted");
            d.start_resend(30 * S);
            if store.update(id, &d, None).is_err() {
                return p;
            }
            p.resends.push(n);
        }
        if n % 4 == 3 {
            if store.remove(id).is_err() {
                return p;
            }
            p.removed.push(n);
        }
    }
    p.interrupted = None;
    p
}

/// Checks that the disk holds the result of each completed operation, and of the interrupted one all or nothing.
fn check_store(disk: Faulty, p: &Completed, case: &str) {
    let store =
        Store::with_backend(disk, 64 * MB).unwrap_or_else(|e| panic!("{case}: it does not open: {e}"));
    let mut seen = 0;
    for n in 0..8u64 {
        let id = store.find(&format!("{n:016x}")).expect("readable");
        let sure = p.interrupted != Some(n);
        match id {
            Some(id) => {
                seen += 1;
                let d = store.get(id, true).unwrap_or_else(|e| panic!("{case}: {n}: {e}"));
                assert_eq!(d.message.body, numbered(n, "payout").message.body, "{case}: {n}");
                assert!(p.inserted.contains(&n) || !sure, "{case}: {n} was never inserted");
                assert!(!p.removed.contains(&n), "{case}: {n} was removed");
                assert!(
                    d.state == State::InFlight || !p.resends.contains(&n),
                    "{case}: {n}: its resend was lost"
                );
                assert!(
                    d.state == State::Owed || p.resends.contains(&n) || !sure,
                    "{case}: {n}: was never resent"
                );
            }
            None => {
                assert!(!p.inserted.contains(&n) || p.removed.contains(&n) || !sure, "{case}: {n} was lost")
            }
        }
    }
    let DebtList { debts: list, damaged } = store.list(&Filter::default(), 100).expect("readable");
    assert!(damaged.is_empty(), "{case}: {damaged:?}");
    let counted: u64 = store.counts().expect("readable").iter().map(|c| c.debts).sum();
    assert_eq!((list.len(), counted), (seen, seen as u64), "{case}: list, counts and lookup disagree");
    // The store works on after the failure: the interrupted transfer is repeated.
    let again: Vec<Debt> = (0..12).map(|n| numbered(n, "payout")).collect();
    store.insert_all(again.iter().map(|d| (d, None))).unwrap_or_else(|e| panic!("{case}: {e}"));
    assert_eq!(store.list(&Filter::default(), 100).expect("readable").debts.len(), 12, "{case}");
}

#[test]
fn a_failure_at_any_operation_leaves_each_debt_complete() {
    // The store is created before the first failure: creation has its own protection, a file under another name.
    let created = || {
        let disk = Faulty::default();
        drop(Store::with_backend(disk.clone(), 64 * MB).expect("opens"));
        disk
    };
    let intact = created();
    let first = intact.ops();
    let p = run_store(&intact);
    assert!(p.interrupted.is_none() && p.removed.len() == 2 && p.resends.len() == 4);
    let ops = intact.ops();
    assert!(ops - first > 100, "{ops} operations");
    check_store(intact.after_kill(), &p, "no failure");
    for at in first..ops {
        let disk = created();
        disk.disk().dies_at = Some(at);
        let p = run_store(&disk);
        check_store(disk.after_kill(), &p, &format!("killed at operation {at}"));
        for seed in [0, u64::MAX, 0x9e37_79b9_7f4a_7c15, 0xd1b5_4a32_d192_ed03] {
            check_store(
                disk.after_power_failure(seed),
                &p,
                &format!("power failure at operation {at}, {seed:x}"),
            );
        }
    }
}

#[test]
fn a_message_is_owed_once_however_often_it_is_inserted() {
    let store = Store::with_backend(Faulty::default(), 9 * MB).expect("opens");
    let first = store.insert(&numbered(1, "quota"), None).expect("room");
    let Inserted::New(id) = first else { panic!("{first:?}") };
    let mut d = store.get(id, true).expect("there");
    d.settle(Settled::Delivered, 40 * S);
    store.update(id, &d, None).expect("room");
    assert_eq!(store.insert(&numbered(1, "quota"), None).expect("room"), Inserted::Existing(id));
    assert_eq!(store.get(id, true).expect("there"), d, "a settled message is not owed again");
    store.remove(id).expect("there");
    assert!(matches!(store.get(id, false), Err(StoreError::Unknown { number }) if number == id.0));
    assert!(matches!(store.remove(id), Err(StoreError::Unknown { .. })));
    assert_eq!(store.usage().expect("readable").0, 0, "all of its bytes are released");
}

#[test]
fn a_full_store_rejects_new_debts_and_still_settles() {
    let disk = Faulty::default();
    let store = Store::with_backend(disk.clone(), 3 * MB).expect("opens");
    let mut inserted = Vec::new();
    let full = loop {
        let mut d = numbered(inserted.len() as u64, "quota");
        d.message.body = vec![7; 4000].into();
        match store.insert(&d, None) {
            Ok(Inserted::New(id)) => inserted.push(id),
            other => break other,
        }
        assert!(inserted.len() < 10_000, "the store never became full");
    };
    assert!(matches!(full, Err(StoreError::Full { .. })), "{full:?}");
    assert!(inserted.len() > 200, "{} of 4 KB in 3 MB", inserted.len());
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    for id in &inserted {
        let mut d = store.get(*id, false).expect("no debt is evicted");
        d.start_resend(30 * S);
        d.resend_failed([attempt(30 * S, AttemptOutcome::Reset)], 31 * S);
        store.update(*id, &d, None).expect("a full store accepts updates");
    }
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    inserted.iter().for_each(|id| store.remove(*id).expect("there"));
    assert!(store.insert(&numbered(9999, "quota"), None).is_ok(), "there is room again");
}

#[test]
fn many_debts_are_inserted_at_once_and_one_without_room_prevents_no_other() {
    let disk = Faulty::default();
    let store = Store::with_backend(disk.clone(), 3 * MB).expect("opens");
    let mut debts: Vec<Debt> = (0..6).map(|n| numbered(n, "quota")).collect();
    debts[2].message.body = vec![7; 2_000_000].into();
    debts[5].message.request_id = debts[0].message.request_id.clone();
    let before = disk.ops();
    let results = store.insert_all(debts.iter().map(|d| (d, None))).expect("the disk works");
    let ids: Vec<Option<u64>> = results
        .iter()
        .map(|r| match r {
            Ok(Inserted::New(id)) => Some(id.0),
            Ok(Inserted::Existing(id)) => Some(100 + id.0),
            Err(e) => {
                assert!(matches!(e, StoreError::Full { .. }), "{e}");
                None
            }
        })
        .collect();
    assert_eq!(ids, [Some(1), Some(2), None, Some(3), Some(4), Some(101)]);
    assert!(disk.ops() - before < 60, "one transaction for all");
    assert_eq!(store.list(&Filter::default(), 100).expect("readable").debts.len(), 4);
    assert_eq!(
        store.find(&debts[2].message.request_id).expect("readable"),
        None,
        "the rejected debt left no trace"
    );
}

#[test]
fn due_debts_and_filters_are_correct() {
    let store = Store::with_backend(Faulty::default(), 64 * MB).expect("opens");
    for n in 0..40 {
        let class = if n % 2 == 0 { "quota" } else { "payout" };
        let mut d = numbered(n, class);
        d.given_up_at = n as i64 * S;
        d.reason = Reason::ALL[n as usize % 6];
        store.insert(&d, (n % 3 == 0).then_some(n as i64 * S)).expect("room");
    }
    let due: Vec<u64> = store.due(30 * S, 5).expect("readable").iter().map(|id| id.0 - 1).collect();
    assert_eq!(due, [0, 3, 6, 9, 12], "earliest first, at most the limit");
    assert_eq!(store.due(39 * S, 100).expect("readable").len(), 14);
    let list = |f: Filter| -> Vec<u64> {
        let DebtList { debts: list, damaged } = store.list(&f, 1000).expect("readable");
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
    // An update moves the debt to its new due time.
    let id = DebtId(1);
    let d = store.get(id, false).expect("there");
    store.update(id, &d, Some(100 * S)).expect("room");
    assert!(!store.due(39 * S, 100).expect("readable").contains(&id));
    assert!(store.due(100 * S, 100).expect("readable").contains(&id));
}

#[test]
fn an_incomplete_store_is_created_again_and_a_foreign_file_is_left_alone() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("owed");
    std::fs::write(path.with_extension("new"), "half made").expect("written");
    let store = Store::open(&path, 9 * MB).expect("created again");
    store.insert(&numbered(1, "quota"), None).expect("room");
    drop(store);
    let store = Store::open(&path, 9 * MB).expect("opens again");
    assert!(store.find("0000000000000001").expect("readable").is_some());
    drop(store);
    std::fs::write(&path, "somebody's notes").expect("written");
    assert!(Store::open(&path, 9 * MB).is_err());
    assert_eq!(std::fs::read(&path).expect("there"), b"somebody's notes");
}
