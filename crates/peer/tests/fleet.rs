//! Tests of a fleet in simulated time: joins, crashes, restarts, and network cuts in one or both directions.
//! Other tests cover partitions, suspended processes, duplicate names and malformed datagrams.

mod common;
use common::*;
use embershore_peer::*;

fn converged(size: usize, seed: u64) -> World {
    let mut world = World::new(size, seed);
    world.pass(10 * S);
    assert_eq!(world.agreed(), Ok(()));
    world
}

#[test]
fn all_start_at_once_and_find_each_other() {
    for size in [1, 2, 12, 60] {
        let mut world = World::new(size, 1);
        world.pass(10 * S);
        assert_eq!(world.agreed(), Ok(()), "{size} members");
        assert_eq!(world.majorities().len(), size);
    }
}

#[test]
fn a_killed_member_is_detected_and_its_restart_is_a_new_incarnation() {
    let mut world = converged(12, 2);
    world.kill(3);
    world.pass(20 * S);
    assert!((0..12).filter(|n| *n != 3).all(|n| world.liveness(n, 3) == Liveness::Down));
    world.start(3);
    world.pass(10 * S);
    assert_eq!(world.agreed(), Ok(()));
    assert!(world.view(0).others.iter().all(|k| k.duplicate.is_none()), "a restart is not a duplicate");
}

#[test]
fn a_one_way_cut_takes_no_member_down() {
    let mut world = converged(12, 3);
    // Members 6 to 11 receive nothing from member 0, which receives datagrams from all members.
    world.cut.extend((6..12).map(|n| (0, n)));
    for _ in 0..120 {
        world.pass(S);
        let down = (1..12).filter(|n| world.liveness(*n, 0) == Liveness::Down).count();
        assert_eq!(down, 0, "at {} s", world.now / S);
    }
    assert_eq!(world.majorities().len(), 12);
}

#[test]
fn only_the_larger_part_of_a_split_has_a_majority() {
    let mut world = converged(12, 4);
    world.split(&[&[0, 1, 2, 3, 4], &[5, 6, 7, 8, 9, 10, 11]]);
    world.pass(10 * S);
    assert!(world.majorities().iter().all(|n| *n >= 5), "{:?}", world.majorities());
    world.pass(50 * S);
    assert_eq!(world.majorities(), (5..12).collect::<Vec<_>>());
    world.cut.clear();
    world.pass(15 * S);
    assert_eq!(world.agreed(), Ok(()));
    assert_eq!(world.majorities().len(), 12);
}

#[test]
fn no_part_of_an_even_three_way_split_has_a_majority() {
    let mut world = converged(12, 5);
    world.split(&[&[0, 1, 2, 3], &[4, 5, 6, 7], &[8, 9, 10, 11]]);
    world.pass(10 * S);
    assert_eq!(world.majorities(), Vec::<usize>::new());
    world.pass(50 * S);
    assert_eq!(world.majorities(), Vec::<usize>::new());
    world.cut.clear();
    world.pass(15 * S);
    assert_eq!(world.agreed(), Ok(()));
}

#[test]
fn a_member_cut_off_from_a_fleet_of_sixty_loses_its_majority_within_ten_seconds() {
    let mut world = converged(60, 6);
    let rest: Vec<usize> = (1..60).collect();
    world.split(&[&[0], &rest]);
    world.pass(10 * S);
    assert!(!world.view(0).majority);
    assert_eq!(world.majorities().len(), 59);
}

#[test]
fn a_suspended_member_does_not_act_on_stale_state() {
    let mut world = converged(12, 7);
    world.nodes[4].stopped = true;
    world.pass(60 * S);
    // The gap in the clock alone reveals the suspension, before the member has processed any datagram or timer.
    let view = world.view(4);
    assert!(view.stale && !view.majority);
    world.nodes[4].stopped = false;
    world.pass(20 * MS);
    assert!(world.view(4).stale && !world.view(4).majority);
    world.pass(20 * S);
    assert!(!world.view(4).stale && world.view(4).majority);
    assert_eq!(world.agreed(), Ok(()));
}

#[test]
fn a_duplicate_name_is_reported_by_the_members_that_receive_from_both() {
    let mut world = converged(12, 8);
    // A process on a copied state folder has the same name and incarnation at another address.
    let seed = world.rng.next(u64::MAX);
    let twin = Member { address: address(200), ..world.member(5) };
    let peers = Peers::new(twin, world.fleet.clone(), Times::default(), seed, world.now).unwrap();
    world.nodes.push(Node { peers: Some(peers), incarnation: 1, stopped: false, address: address(200) });
    world.pass(30 * S);
    let others = (0..12).filter(|n| *n != 5);
    let reporting =
        others.filter(|n| world.view(*n).others.iter().any(|k| k.name == name(5) && k.duplicate.is_some()));
    assert!(reporting.count() >= 8);
}

#[test]
fn a_process_that_returns_after_its_replacement_started_knows_that_it_is_displaced() {
    let mut world = converged(12, 9);
    let old = world.nodes[5].peers.take();
    world.nodes[5].address = address(201);
    world.start(5);
    world.pass(10 * S);
    world.nodes.push(Node { peers: old, incarnation: 1, stopped: false, address: address(5) });
    world.pass(20 * S);
    let old = world.nodes[12].peers.as_ref().unwrap();
    // The displaced process sends nothing more, and does not loop without waiting.
    assert!(old.view(world.now).displaced && !old.view(world.now).majority && old.next_tick() > world.now);
    assert!(world.view(5).majority && !world.view(5).displaced);
}

#[test]
fn an_outdated_member_list_does_not_split_the_fleet() {
    let mut world = World::new(12, 10);
    let eight = fleet(8);
    for n in 0..4 {
        let seed = world.rng.next(u64::MAX);
        world.nodes[n].peers =
            Some(Peers::new(world.member(n), eight.clone(), Times::default(), seed, 0).unwrap());
    }
    world.pass(15 * S);
    assert_eq!(world.agreed(), Ok(()));
    assert_eq!(world.majorities().len(), 12);
    // The outdated list of member 0 lacks member 9, so the view of member 0 does not contain member 9.
    assert!(world.view(0).others.iter().all(|k| k.name != name(9)));
}

#[test]
fn malformed_datagrams_are_dropped_and_counted_without_other_effect() {
    let mut world = converged(12, 11);
    let mut rng = Rng(5);
    let peers = world.nodes[0].peers.as_mut().unwrap();
    for _ in 0..2000 {
        let data: Vec<u8> = (0..rng.next(1600)).map(|_| rng.next(256) as u8).collect();
        peers.receive(world.now, &data);
        peers.tick(world.now);
    }
    assert!(peers.view(world.now).dropped > 1900);
    world.pass(10 * S);
    assert_eq!(world.agreed(), Ok(()));
}

#[test]
fn the_number_of_unlisted_members_is_bounded() {
    let mut world = converged(12, 13);
    let list = [(name(0), address(0))];
    for n in 0..1_500u32 {
        let (unlisted, at) = (format!("stranger-{n}"), ([127, 9, (n >> 8) as u8, n as u8], 7100).into());
        let own_record = Member { name: unlisted.clone(), address: at, incarnation: 1, ..world.member(1) };
        let two = Fleet::new(list.iter().cloned().chain([(unlisted, at)])).unwrap();
        let mut peers = Peers::new(own_record, two, Times::default(), 1, world.now).unwrap();
        peers.tick(world.now);
        while let Some((_, data)) = peers.next_datagram() {
            world.nodes[0].peers.as_mut().unwrap().receive(world.now, &data);
        }
    }
    let view = world.view(0);
    assert!(view.dropped as usize >= 1_500 + 12 - MAX_MEMBERS, "{} dropped", view.dropped);
    assert!(view.majority && view.others.len() == 11);
}

#[test]
fn a_change_of_status_reaches_all_members_and_is_not_a_new_incarnation() {
    let mut world = converged(12, 12);
    world.nodes[2].peers.as_mut().unwrap().set_status(world.now, Status::LameDuck);
    world.pass(5 * S);
    for n in (0..12).filter(|n| *n != 2) {
        let known = world.view(n).others.into_iter().find(|k| k.name == name(2)).unwrap();
        assert_eq!((known.record.unwrap().status, known.duplicate), (Status::LameDuck, None));
    }
}

/// Simulates twelve random events among eight members, over a network that loses, duplicates and reorders datagrams.
/// Within 40 s after all faults are removed, all members agree, all or none see a majority, and none is displaced.
fn history(seed: u64) {
    let mut world = World::new(8, seed);
    (world.loss, world.duplication, world.delay) = (0.05, 0.1, 60 * MS);
    for _ in 0..12 {
        let n = world.rng.next(8) as usize;
        match world.rng.next(6) {
            0 => world.kill(n),
            1 => world.start(n),
            2 => world.nodes[n].stopped ^= true,
            3 => _ = world.cut.insert((n, (n + 1 + world.rng.next(7) as usize) % 8)),
            4 => world.split(&[&[0, 1, 2], &[3, 4, 5, 6, 7]]),
            _ => world.cut.clear(),
        }
        let span = world.rng.next(8) as Micros * S;
        world.pass(span);
    }
    world.cut.clear();
    world.loss = 0.0;
    world.nodes.iter_mut().for_each(|node| node.stopped = false);
    world.pass(40 * S);
    assert_eq!(world.agreed(), Ok(()), "seed {seed}");
    let up: Vec<usize> = (0..8).filter(|n| world.nodes[*n].peers.is_some()).collect();
    assert!(up.iter().all(|n| !world.view(*n).displaced), "seed {seed}");
    assert_eq!(world.majorities().len(), if up.len() >= 5 { up.len() } else { 0 }, "seed {seed}");
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
        let mut world = World::new(size, 1);
        world.pass(10 * S);
        let (sent, bytes, from) = (world.sent, world.bytes, world.now);
        world.pass(20 * S);
        let each = (size as i64 * (world.now - from) / S) as f64;
        let (sent, bytes) = ((world.sent - sent) as f64 / each, (world.bytes - bytes) as f64 / each);
        for n in 0..6 {
            world.kill(n);
            let (at, mut open) = (world.now, (6..size).collect::<Vec<_>>());
            while !open.is_empty() && world.now - at < 90 * S {
                world.pass(100 * MS);
                open.retain(|other| {
                    let down = world.liveness(*other, n) == Liveness::Down;
                    found.extend(down.then_some((world.now - at) / (100 * MS)));
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
