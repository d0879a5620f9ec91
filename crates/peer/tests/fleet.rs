//! A fleet in simulated time: joins, deaths, restarts, cuts one way and both, splits, absences, doubles, nonsense.

mod common;
use common::*;
use embershore_peer::*;

fn grown(size: usize, seed: u64) -> World {
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
fn a_killed_one_is_found_out_and_its_next_life_is_another() {
    let mut w = grown(12, 2);
    w.kill(3);
    w.pass(20 * S);
    assert!((0..12).filter(|n| *n != 3).all(|n| w.sight(n, 3) == Sight::Gone));
    w.start(3);
    w.pass(10 * S);
    assert_eq!(w.agreed(), Ok(()));
    assert!(w.view(0).others.iter().all(|k| k.doubled.is_none()), "a restart is no double");
}

#[test]
fn a_one_way_cut_makes_nobody_gone() {
    let mut w = grown(12, 3);
    // Six do not hear 0, which hears all.
    w.cut.extend((6..12).map(|n| (0, n)));
    for _ in 0..120 {
        w.pass(S);
        let gone = (1..12).filter(|n| w.sight(*n, 0) == Sight::Gone).count();
        assert_eq!(gone, 0, "at {} s", w.now / S);
    }
    assert_eq!(w.majorities().len(), 12);
}

#[test]
fn of_five_and_seven_only_seven_are_a_majority() {
    let mut w = grown(12, 4);
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
fn of_three_times_four_none_is() {
    let mut w = grown(12, 5);
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
fn one_cut_off_from_sixty_notices_at_once() {
    let mut w = grown(60, 6);
    let rest: Vec<usize> = (1..60).collect();
    w.split(&[&[0], &rest]);
    w.pass(10 * S);
    assert!(!w.view(0).majority);
    assert_eq!(w.majorities().len(), 59);
}

#[test]
fn one_that_was_stopped_does_not_act_on_what_it_knew() {
    let mut w = grown(12, 7);
    w.nodes[4].stopped = true;
    w.pass(60 * S);
    // Before it has heard or done anything: asked by its own clock.
    let view = w.view(4);
    assert!(view.away && !view.majority);
    w.nodes[4].stopped = false;
    w.pass(20 * MS);
    assert!(w.view(4).away && !w.view(4).majority);
    w.pass(20 * S);
    assert!(!w.view(4).away && w.view(4).majority);
    assert_eq!(w.agreed(), Ok(()));
}

#[test]
fn the_same_name_twice_is_told_of_by_those_who_hear_both() {
    let mut w = grown(12, 8);
    // A copied folder: the same name and life at another address.
    let seed = w.rng.next(u64::MAX);
    let twin = Member { address: address(200), ..w.member(5) };
    let peers = Peers::new(twin, w.fleet.clone(), Times::default(), seed, w.now).unwrap();
    w.nodes.push(Node { peers: Some(peers), life: 1, stopped: false, address: address(200) });
    w.pass(30 * S);
    let told = (0..12).filter(|n| *n != 5);
    let told = told.filter(|n| w.view(*n).others.iter().any(|k| k.name == name(5) && k.doubled.is_some()));
    assert!(told.count() >= 8);
}

#[test]
fn an_old_machine_that_comes_back_beside_its_replacement_knows_that_it_may_not_act() {
    let mut w = grown(12, 9);
    let old = w.nodes[5].peers.take();
    w.nodes[5].address = address(201);
    w.start(5);
    w.pass(10 * S);
    w.nodes.push(Node { peers: old, life: 1, stopped: false, address: address(5) });
    w.pass(20 * S);
    let old = w.nodes[12].peers.as_ref().unwrap();
    // It says nothing more, and does not keep its process busy.
    assert!(old.view(w.now).displaced && !old.view(w.now).majority && old.next() > w.now);
    assert!(w.view(5).majority && !w.view(5).displaced);
}

#[test]
fn a_list_out_of_date_by_a_third_does_not_part_the_fleet() {
    let mut w = World::new(12, 10);
    let eight = fleet(8);
    for n in 0..4 {
        let seed = w.rng.next(u64::MAX);
        w.nodes[n].peers = Some(Peers::new(w.member(n), eight.clone(), Times::default(), seed, 0).unwrap());
    }
    w.pass(15 * S);
    assert_eq!(w.agreed(), Ok(()));
    assert_eq!(w.majorities().len(), 12);
    // Its own list has no such member, so that it counts nowhere.
    assert!(w.view(0).others.iter().all(|k| k.name != name(9)));
}

#[test]
fn nonsense_is_dropped_and_counted_and_nothing_else_suffers() {
    let mut w = grown(12, 11);
    let mut rng = Rng(5);
    let peers = w.nodes[0].peers.as_mut().unwrap();
    for _ in 0..2000 {
        let data: Vec<u8> = (0..rng.next(1600)).map(|_| rng.next(256) as u8).collect();
        peers.datagram(w.now, &data);
        peers.tick(w.now);
    }
    assert!(peers.view(w.now).dropped > 1900);
    w.pass(10 * S);
    assert_eq!(w.agreed(), Ok(()));
}

#[test]
fn ten_thousand_members_that_nobody_listed_are_not_held() {
    let mut w = grown(12, 13);
    let list = [(name(0), address(0))];
    for n in 0..1_500u32 {
        let (stranger, at) = (format!("stranger-{n}"), ([127, 9, (n >> 8) as u8, n as u8], 7100).into());
        let me = Member { name: stranger.clone(), address: at, life: 1, ..w.member(1) };
        let two = Fleet::new(list.iter().cloned().chain([(stranger, at)])).unwrap();
        let mut peers = Peers::new(me, two, Times::default(), 1, w.now).unwrap();
        peers.tick(w.now);
        while let Some((_, data)) = peers.send() {
            w.nodes[0].peers.as_mut().unwrap().datagram(w.now, &data);
        }
    }
    let view = w.view(0);
    assert!(view.dropped as usize >= 1_500 + 12 - MEMBERS_MOST, "{} dropped", view.dropped);
    assert!(view.majority && view.others.len() == 11);
}

#[test]
fn a_change_of_standing_is_heard_and_is_no_new_life() {
    let mut w = grown(12, 12);
    w.nodes[2].peers.as_mut().unwrap().stand(w.now, Standing::LameDuck);
    w.pass(5 * S);
    for n in (0..12).filter(|n| *n != 2) {
        let known = w.view(n).others.into_iter().find(|k| k.name == name(2)).unwrap();
        assert_eq!((known.told.unwrap().standing, known.doubled), (Standing::LameDuck, None));
    }
}

/// A history of twelve random events round eight members, over a network that loses, doubles and reorders; after it all
/// is healed, and within 40 s all agree, a majority is seen by all or by none, and nobody was put out of its name.
fn history(seed: u64) {
    let mut w = World::new(8, seed);
    (w.loss, w.doubled, w.delay) = (0.05, 0.1, 60 * MS);
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
fn random_histories_end_in_one_view() {
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
#[ignore = "prints figures; run it by name with --ignored --nocapture"]
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
                    let gone = w.sight(*other, n) == Sight::Gone;
                    found.extend(gone.then_some((w.now - at) / (100 * MS)));
                    !gone
                });
            }
        }
        found.sort();
        let at = |share: f64| found[((found.len() - 1) as f64 * share) as usize] as f64 / 10.0;
        println!(
            "{size} members: a killed one is gone after p50 {:.1} s, p99 {:.1} s; {sent:.1} datagrams, {bytes:.0} bytes a second from each",
            at(0.5),
            at(0.99)
        );
    }
}
