//! Tests of the store on a disk that fails at each operation in turn, by a killed process or by a power failure.

mod common;
use common::*;
use embershore_owed::store::{DebtList, Filter, Inserted};
use embershore_owed::*;

const MB: u64 = 1_000_000;

fn numbered(n: u64, class: &str) -> Debt {
    let mut owed = debt(class, &[AttemptOutcome::NoConnection]);
    owed.message.request_id = format!("{n:016x}");
    owed.message.dest = (n % 5) as i64;
    owed
}

/// The operations that a store completed before the disk failed.
#[derive(Default)]
struct Completed {
    inserted: Vec<u64>,
    resends: Vec<u64>,
    removed: Vec<u64>,
    /// The debt whose store operation the disk failure interrupted. The operation may have taken effect or not.
    interrupted: Option<u64>,
}

/// Performs a sequence of operations on a store until the disk fails.
fn run_store(disk: &FaultyDisk) -> Completed {
    let mut completed = Completed::default();
    let Ok(store) = Store::with_backend(disk.clone(), 64 * MB) else { return completed };
    for n in 0..8 {
        completed.interrupted = Some(n);
        let Ok(Inserted::New(id)) = store.insert(&numbered(n, "payout"), Some(n as i64)) else {
            return completed;
        };
        completed.inserted.push(n);
        if n % 2 == 0 {
            let mut owed = store.get(id, false).expect("the debt was just inserted");
            owed.start_resend(30 * S);
            if store.update(id, &owed, None).is_err() {
                return completed;
            }
            completed.resends.push(n);
        }
        if n % 4 == 3 {
            if store.remove(id).is_err() {
                return completed;
            }
            completed.removed.push(n);
        }
    }
    completed.interrupted = None;
    completed
}

/// Checks that the disk holds the results of all completed operations.
/// Also checks that the disk holds either the complete result of the interrupted operation or none of it.
fn check_store(disk: FaultyDisk, completed: &Completed, case: &str) {
    let store =
        Store::with_backend(disk, 64 * MB).unwrap_or_else(|e| panic!("{case}: it does not open: {e}"));
    let mut seen = 0;
    for n in 0..8u64 {
        let id = store.find(&format!("{n:016x}")).expect("the store is readable");
        let sure = completed.interrupted != Some(n);
        match id {
            Some(id) => {
                seen += 1;
                let owed = store.get(id, true).unwrap_or_else(|e| panic!("{case}: {n}: {e}"));
                assert_eq!(owed.message.body, numbered(n, "payout").message.body, "{case}: {n}");
                assert!(completed.inserted.contains(&n) || !sure, "{case}: {n} was never inserted");
                assert!(!completed.removed.contains(&n), "{case}: {n} was removed");
                assert!(
                    owed.state == State::InFlight || !completed.resends.contains(&n),
                    "{case}: {n}: its resend was lost"
                );
                assert!(
                    owed.state == State::Owed || completed.resends.contains(&n) || !sure,
                    "{case}: {n}: was never resent"
                );
            }
            None => {
                assert!(
                    !completed.inserted.contains(&n) || completed.removed.contains(&n) || !sure,
                    "{case}: {n} was lost"
                )
            }
        }
    }
    let DebtList { debts: list, damaged } =
        store.list(&Filter::default(), 100).expect("the store is readable");
    assert!(damaged.is_empty(), "{case}: {damaged:?}");
    let counted: u64 = store.counts().expect("the store is readable").iter().map(|c| c.debts).sum();
    assert_eq!((list.len(), counted), (seen, seen as u64), "{case}: list, counts and lookup disagree");
    // The store can be used after the failure: the interrupted transfer is repeated.
    let again: Vec<Debt> = (0..12).map(|n| numbered(n, "payout")).collect();
    store.insert_all(again.iter().map(|owed| (owed, None))).unwrap_or_else(|e| panic!("{case}: {e}"));
    assert_eq!(store.list(&Filter::default(), 100).expect("the store is readable").debts.len(), 12, "{case}");
}

#[test]
fn a_failure_at_any_operation_leaves_each_debt_complete() {
    // The store is created before the first failure. Creation is protected separately, by a file under another name.
    let created = || {
        let disk = FaultyDisk::default();
        drop(Store::with_backend(disk.clone(), 64 * MB).expect("the store opens"));
        disk
    };
    let intact = created();
    let first = intact.ops();
    let completed = run_store(&intact);
    assert!(completed.interrupted.is_none() && completed.removed.len() == 2 && completed.resends.len() == 4);
    let ops = intact.ops();
    assert!(ops - first > 100, "{ops} operations");
    check_store(intact.after_kill(), &completed, "no failure");
    for at in first..ops {
        let disk = created();
        disk.disk().fails_after_ops = Some(at);
        let completed = run_store(&disk);
        check_store(disk.after_kill(), &completed, &format!("killed at operation {at}"));
        for seed in [0, u64::MAX, 0x9e37_79b9_7f4a_7c15, 0xd1b5_4a32_d192_ed03] {
            check_store(
                disk.after_power_failure(seed),
                &completed,
                &format!("power failure at operation {at}, {seed:x}"),
            );
        }
    }
}

#[test]
fn a_message_is_owed_once_however_often_it_is_inserted() {
    let store = Store::with_backend(FaultyDisk::default(), 9 * MB).expect("the store opens");
    let first = store.insert(&numbered(1, "quota"), None).expect("the store has room");
    let Inserted::New(id) = first else { panic!("{first:?}") };
    let mut owed = store.get(id, true).expect("the debt or file exists");
    owed.settle(Settled::Delivered, 40 * S);
    store.update(id, &owed, None).expect("the store has room");
    assert_eq!(
        store.insert(&numbered(1, "quota"), None).expect("the store has room"),
        Inserted::Existing(id)
    );
    assert_eq!(
        store.get(id, true).expect("the debt or file exists"),
        owed,
        "a settled message is not owed again"
    );
    store.remove(id).expect("the debt or file exists");
    assert!(matches!(store.get(id, false), Err(StoreError::Unknown { number }) if number == id.0));
    assert!(matches!(store.remove(id), Err(StoreError::Unknown { .. })));
    assert_eq!(store.usage().expect("the store is readable").0, 0, "all of its bytes are released");
}

#[test]
fn a_full_store_rejects_new_debts_and_still_settles() {
    let disk = FaultyDisk::default();
    let store = Store::with_backend(disk.clone(), 3 * MB).expect("the store opens");
    let mut inserted = Vec::new();
    let full = loop {
        let mut owed = numbered(inserted.len() as u64, "quota");
        owed.message.body = vec![7; 4000].into();
        match store.insert(&owed, None) {
            Ok(Inserted::New(id)) => inserted.push(id),
            other => break other,
        }
        assert!(inserted.len() < 10_000, "the store never became full");
    };
    assert!(matches!(full, Err(StoreError::Full { .. })), "{full:?}");
    assert!(inserted.len() > 200, "{} of 4 KB in 3 MB", inserted.len());
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    for id in &inserted {
        let mut owed = store.get(*id, false).expect("no debt is evicted");
        owed.start_resend(30 * S);
        owed.resend_failed([attempt(30 * S, AttemptOutcome::Reset)], 31 * S);
        store.update(*id, &owed, None).expect("a full store accepts updates");
    }
    assert!(disk.len() <= 3 * MB, "{} bytes on disk where 3 MB are allowed", disk.len());
    inserted.iter().for_each(|id| store.remove(*id).expect("the debt or file exists"));
    assert!(store.insert(&numbered(9999, "quota"), None).is_ok(), "there is room again");
}

#[test]
fn many_debts_are_inserted_at_once_and_one_without_room_prevents_no_other() {
    let disk = FaultyDisk::default();
    let store = Store::with_backend(disk.clone(), 3 * MB).expect("the store opens");
    let mut debts: Vec<Debt> = (0..6).map(|n| numbered(n, "quota")).collect();
    debts[2].message.body = vec![7; 2_000_000].into();
    debts[5].message.request_id = debts[0].message.request_id.clone();
    let before = disk.ops();
    let results = store.insert_all(debts.iter().map(|owed| (owed, None))).expect("the disk works");
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
    assert_eq!(store.list(&Filter::default(), 100).expect("the store is readable").debts.len(), 4);
    assert_eq!(
        store.find(&debts[2].message.request_id).expect("the store is readable"),
        None,
        "the rejected debt left no trace"
    );
}

#[test]
fn due_debts_and_filters_are_correct() {
    let store = Store::with_backend(FaultyDisk::default(), 64 * MB).expect("the store opens");
    for n in 0..40 {
        let class = if n % 2 == 0 { "quota" } else { "payout" };
        let mut owed = numbered(n, class);
        owed.given_up_at = n as i64 * S;
        owed.reason = Reason::ALL[n as usize % 6];
        store.insert(&owed, (n % 3 == 0).then_some(n as i64 * S)).expect("the store has room");
    }
    let due: Vec<u64> =
        store.due(30 * S, 5).expect("the store is readable").iter().map(|id| id.0 - 1).collect();
    assert_eq!(due, [0, 3, 6, 9, 12], "earliest first, at most the limit");
    assert_eq!(store.due(39 * S, 100).expect("the store is readable").len(), 14);
    let list = |f: Filter| -> Vec<u64> {
        let DebtList { debts: list, damaged } = store.list(&f, 1000).expect("the store is readable");
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
    let owed = store.get(id, false).expect("the debt or file exists");
    store.update(id, &owed, Some(100 * S)).expect("the store has room");
    assert!(!store.due(39 * S, 100).expect("the store is readable").contains(&id));
    assert!(store.due(100 * S, 100).expect("the store is readable").contains(&id));
}

#[test]
fn an_incomplete_store_is_created_again_and_a_foreign_file_is_left_alone() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("owed");
    std::fs::write(path.with_extension("new"), "half made").expect("the file is written");
    let store = Store::open(&path, 9 * MB).expect("the store is created again");
    store.insert(&numbered(1, "quota"), None).expect("the store has room");
    drop(store);
    let store = Store::open(&path, 9 * MB).expect("the store opens again");
    assert!(store.find("0000000000000001").expect("the store is readable").is_some());
    drop(store);
    std::fs::write(&path, "somebody's notes").expect("the file is written");
    assert!(Store::open(&path, 9 * MB).is_err());
    assert_eq!(std::fs::read(&path).expect("the debt or file exists"), b"somebody's notes");
}
