//! A fleet in simulated time: joins, crashes, restarts, network cuts in one direction and both, partitions, suspended
//! processes, duplicate names and malformed datagrams.

mod common;
use common::*;
use embershore_peer::*;

fn converged(size: usize, seed: u64) -> World {
    let mut w = World::new(size, seed);
    w.pass(10 * S);
    assert_eq!(w.agreed(), Ok(()));
    w
}

#[test]
fn all_start_at_once_and_find_each_other() {
    for size in [1, 2, 12, 60] {
        let mut w = World::new(size, 1);
        w.pass(10 * S);
        assert_eq!(w.agreed(), Ok(()), "{size} members");
        assert_eq!(w.majorities().len(), size);
    }
}

#[test]
fn a_killed_member_is_detected_and_its_restart_is_a_new_incarnation() {
    let mut w = converged(12, 2);
    w.kill(3);
    w.pass(20 * S);
    assert!((0..12).filter(|n| *n != 3).all(|n| w.liveness(n, 3) == Liveness::Down));
    w.start(3);
    w.pass(10 * S);
    assert_eq!(w.agreed(), Ok(()));
    assert!(w.view(0).others.iter().all(|k| k.duplicate.is_none()), "a restart is not a duplicate");
}

#[test]
fn a_one_way_cut_takes_no_member_down() {
    let mut w = converged(12, 3);
    // Six members receive nothing from 0, which receives from all.
    w.cut.extend((6..12).map(|n| (0, n)));
    for _ in 0..120 {
        w.pass(S);
        let down = (1..12).filter(|n| w.liveness(*n, 0) == Liveness::Down).count();
        assert_eq!(down, 0, "at {} s", w.now / S);
    }
    assert_eq!(w.majorities().len(), 12);
}

#[test]
fn only_the_larger_part_of_a_split_has_a_majority() {
    let mut w = converged(12, 4);
    w.split(&[&[0, 1, 2, 3, 4], &[5, 6, 7, 8, 9, 10, 11]]);
    w.pass(10 * S);
    assert!(w.majorities().iter().all(|n| *n >= 5), "{:?}", w.majorities());
    w.pass(50 * S);
    assert_eq!(w.majorities(), (5..12).collect::<Vec<_>>());
    w.cut.clear();
    w.pass(15 * S);
    assert_eq!(w.agreed(), Ok(()));
    assert_eq!(w.majorities().len(), 12);
}

#[test]
fn no_part_of_an_even_three_way_split_has_a_majority() {
    let mut w = converged(12, 5);
    w.split(&[&[0, 1, 2, 3], &[4, 5, 6, 7], &[8, 9, 10, 11]]);
    w.pass(10 * S);
    assert_eq!(w.majorities(), Vec::<usize>::new());
    w.pass(50 * S);
    assert_eq!(w.majorities(), Vec::<usize>::new());
    w.cut.clear();
    w.pass(15 * S);
    assert_eq!(w.agreed(), Ok(()));
}

#[test]
fn a_member_cut_off_from_a_fleet_of_sixty_loses_its_majority_within_ten_seconds() {
    let mut w = converged(60, 6);
    let rest: Vec<usize> = (1..60).collect();
    w.split(&[&[0], &rest]);
    w.pass(10 * S);
    assert!(!w.view(0).majority);
    assert_eq!(w.majorities().len(), 59);
}

#[test]
fn a_suspended_member_does_not_act_on_stale_state() {
    let mut w = converged(12, 7);
    w.nodes[4].stopped = true;
    w.pass(60 * S);
    // Before it has received or done anything, its clock alone shows the suspension.
    let view = w.view(4);
    assert!(view.stale && !view.majority);
    w.nodes[4].stopped = false;
    w.pass(20 * MS);
    assert!(w.view(4).stale && !w.view(4).majority);
    w.pass(20 * S);
    assert!(!w.view(4).stale && w.view(4).majority);
    assert_eq!(w.agreed(), Ok(()));
}

#[test]
fn a_duplicate_name_is_reported_by_the_members_that_receive_from_both() {
    let mut w = converged(12, 8);
    // A copied state folder: the same name and incarnation at another address.
    let seed = w.rng.next(u64::MAX);
    let twin = Member { address: address(200), ..w.member(5) };
    let peers = Peers::new(twin, w.fleet.clone(), Times::default(), seed, w.now).unwrap();
    w.nodes.push(Node { peers: Some(peers), incarnation: 1, stopped: false, address: address(200) });
    w.pass(30 * S);
    let others = (0..12).filter(|n| *n != 5);
    let reporting =
        others.filter(|n| w.view(*n).others.iter().any(|k| k.name == name(5) && k.duplicate.is_some()));
    assert!(reporting.count() >= 8);
}

#[test]
fn a_process_that_returns_after_its_replacement_started_knows_that_it_is_displaced() {
    let mut w = converged(12, 9);
    let old = w.nodes[5].peers.take();
    w.nodes[5].address = address(201);
    w.start(5);
    w.pass(10 * S);
    w.nodes.push(Node { peers: old, incarnation: 1, stopped: false, address: address(5) });
    w.pass(20 * S);
    let old = w.nodes[12].peers.as_ref().unwrap();
    // It sends nothing more and does not keep its process busy.
    assert!(old.view(w.now).displaced && !old.view(w.now).majority && old.next_tick() > w.now);
    assert!(w.view(5).majority && !w.view(5).displaced);
}

#[test]
fn an_outdated_member_list_does_not_split_the_fleet() {
    let mut w = World::new(12, 10);
    let eight = fleet(8);
    for n in 0..4 {
        let seed = w.rng.next(u64::MAX);
        w.nodes[n].peers = Some(Peers::new(w.member(n), eight.clone(), Times::default(), seed, 0).unwrap());
    }
    w.pass(15 * S);
    assert_eq!(w.agreed(), Ok(()));
    assert_eq!(w.majorities().len(), 12);
    // The outdated list lacks this member, so its view leaves it out.
    assert!(w.view(0).others.iter().all(|k| k.name != name(9)));
}

#[test]
fn malformed_datagrams_are_dropped_and_counted_without_other_effect() {
    let mut w = converged(12, 11);
    let mut rng = Rng(5);
    let peers = w.nodes[0].peers.as_mut().unwrap();
    for _ in 0..2000 {
        let data: Vec<u8> = (0..rng.next(1600)).map(|_| rng.next(256) as u8).collect();
        peers.receive(w.now, &data);
        peers.tick(w.now);
    }
    assert!(peers.view(w.now).dropped > 1900);
    w.pass(10 * S);
    assert_eq!(w.agreed(), Ok(()));
}

#[test]
fn the_number_of_unlisted_members_is_bounded() {
    let mut w = converged(12, 13);
    let list = [(name(0), address(0))];
    for n in 0..1_500u32 {
        let (unlisted, at) = (format!("stranger-{n}"), ([127, 9, (n >> 8) as u8, n as u8], 7100).into());
        let own_record = Member { name: unlisted.clone(), address: at, incarnation: 1, ..w.member(1) };
        let two = Fleet::new(list.iter().cloned().chain([(unlisted, at)])).unwrap();
        let mut peers = Peers::new(own_record, two, Times::default(), 1, w.now).unwrap();
        peers.tick(w.now);
        while let Some((_, data)) = peers.next_datagram() {
            w.nodes[0].peers.as_mut().unwrap().receive(w.now, &data);
        }
    }
    let view = w.view(0);
    assert!(view.dropped as usize >= 1_500 + 12 - MAX_MEMBERS, "{} dropped", view.dropped);
    assert!(view.majority && view.others.len() == 11);
}

#[test]
fn a_change_of_status_reaches_all_members_and_is_not_a_new_incarnation() {
    let mut w = converged(12, 12);
    w.nodes[2].peers.as_mut().unwrap().set_status(w.now, Status::LameDuck);
    w.pass(5 * S);
    for n in (0..12).filter(|n| *n != 2) {
        let known = w.view(n).others.into_iter().find(|k| k.name == name(2)).unwrap();
        assert_eq!((known.record.unwrap().status, known.duplicate), (Status::LameDuck, None));
    }
}

/// Plays twelve random events among eight members, over a network that loses, duplicates and reorders datagrams. Within
/// 40 s after all faults are removed, all members agree, all or none see a majority, and none is displaced.
fn history(seed: u64) {
    let mut w = World::new(8, seed);
    (w.loss, w.duplication, w.delay) = (0.05, 0.1, 60 * MS);
    for _ in 0..12 {
        let n = w.rng.next(8) as usize;
        match w.rng.next(6) {
            0 => w.kill(n),
            1 => w.start(n),
            2 => w.nodes[n].stopped ^= true,
            3 => _ = w.cut.insert((n, (n + 1 + w.rng.next(7) as usize) % 8)),
            4 => w.split(&[&[0, 1, 2], &[3, 4, 5, 6, 7]]),
            _ => w.cut.clear(),
        }
        let span = w.rng.next(8) as Micros * S;
        w.pass(span);
    }
    w.cut.clear();
    w.loss = 0.0;
    w.nodes.iter_mut().for_each(|node| node.stopped = false);
    w.pass(40 * S);
    assert_eq!(w.agreed(), Ok(()), "seed {seed}");
    let up: Vec<usize> = (0..8).filter(|n| w.nodes[*n].peers.is_some()).collect();
    assert!(up.iter().all(|n| !w.view(*n).displaced), "seed {seed}");
    assert_eq!(w.majorities().len(), if up.len() >= 5 { up.len() } else { 0 }, "seed {seed}");
}

#[test]
fn members_agree_after_random_histories() {
    (0..40).for_each(history);
}

#[test]
#[ignore = "takes a minute optimised; run it by name with --ignored --release"]
fn ten_thousand_histories() {
    std::thread::scope(|scope| {
        (0..4u64).for_each(|part| _ = scope.spawn(move || (0..2_500).for_each(|n| history(n * 4 + part))));
    });
}

#[test]
#[ignore = "prints measurements; run it by name with --ignored --nocapture"]
fn figures() {
    for size in [12, 100, 300] {
        let mut found = Vec::new();
        let mut w = World::new(size, 1);
        w.pass(10 * S);
        let (sent, bytes, from) = (w.sent, w.bytes, w.now);
        w.pass(20 * S);
        let each = (size as i64 * (w.now - from) / S) as f64;
        let (sent, bytes) = ((w.sent - sent) as f64 / each, (w.bytes - bytes) as f64 / each);
        for n in 0..6 {
            w.kill(n);
            let (at, mut open) = (w.now, (6..size).collect::<Vec<_>>());
            while !open.is_empty() && w.now - at < 90 * S {
                w.pass(100 * MS);
                open.retain(|other| {
                    let down = w.liveness(*other, n) == Liveness::Down;
                    found.extend(down.then_some((w.now - at) / (100 * MS)));
                    !down
                });
            }
        }
        found.sort();
        let at = |share: f64| found[((found.len() - 1) as f64 * share) as usize] as f64 / 10.0;
        println!(
            "{size} members: a killed one is down after p50 {:.1} s, p99 {:.1} s; {sent:.1} datagrams, {bytes:.0} bytes a second from each",
            at(0.5),
            at(0.99)
        );
    }
}
