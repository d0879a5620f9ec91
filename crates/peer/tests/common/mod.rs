//! A fleet in simulated time, with the protocol state of each member.
//! The simulated network delays, drops, duplicates, reorders and cuts off datagrams, in one direction or both.
#![allow(dead_code)]

use embershore_peer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const STEP: Micros = 10 * MS;

/// The random number generator of the simulation (SplitMix64). The seed determines all simulated events.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below.max(1)
    }
    pub fn chance(&mut self, share: f64) -> bool {
        (self.next(1 << 30) as f64) < share * (1u64 << 30) as f64
    }
}

pub struct Node {
    pub peers: Option<Peers>,
    pub incarnation: u64,
    pub stopped: bool,
    pub address: SocketAddr,
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub fleet: Fleet,
    pub rng: Rng,
    /// Cut network paths, as pairs of members. Datagrams from the first member to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: Micros,
    pub sent: usize,
    pub bytes: usize,
    wire: BTreeMap<(Micros, u64), (SocketAddr, Vec<u8>)>,
    seq: u64,
}

pub fn name(n: usize) -> String {
    format!("sender-{n}")
}

pub fn address(n: usize) -> SocketAddr {
    ([127, 0, (n >> 8) as u8, n as u8], 7100).into()
}

pub fn fleet(size: usize) -> Fleet {
    Fleet::new((0..size).map(|n| (name(n), address(n)))).unwrap()
}

impl World {
    pub fn new(size: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            fleet: fleet(size),
            rng: Rng(seed),
            cut: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: 5 * MS,
            sent: 0,
            bytes: 0,
            wire: BTreeMap::new(),
            seq: 0,
        };
        for n in 0..size {
            world.nodes.push(Node { peers: None, incarnation: 0, stopped: false, address: address(n) });
            world.start(n);
        }
        world
    }

    pub fn member(&self, n: usize) -> Member {
        let node = &self.nodes[n];
        Member {
            name: name(n),
            incarnation: node.incarnation,
            revision: 0,
            address: node.address,
            domain: format!("machine-{}", n % 4),
            status: Status::Serving,
        }
    }

    pub fn start(&mut self, n: usize) {
        self.nodes[n].incarnation += 1;
        self.nodes[n].stopped = false;
        let seed = self.rng.next(u64::MAX);
        let peers = Peers::new(self.member(n), self.fleet.clone(), Times::default(), seed, self.now);
        self.nodes[n].peers = Some(peers.unwrap());
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peers = None;
    }

    /// Cuts the network between the given groups of members, in both directions.
    pub fn split(&mut self, parts: &[&[usize]]) {
        for (a, b) in parts.iter().enumerate().flat_map(|(a, _)| (0..parts.len()).map(move |b| (a, b))) {
            if a != b {
                self.cut.extend(parts[a].iter().flat_map(|x| parts[b].iter().map(move |y| (*x, *y))));
            }
        }
    }

    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while let Some(first) = self.wire.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, data) = first.remove();
                for node in self.nodes.iter_mut().filter(|n| n.address == to && !n.stopped) {
                    if let Some(peers) = &mut node.peers {
                        peers.receive(self.now, &data);
                    }
                }
            }
            for n in 0..self.nodes.len() {
                let node = &mut self.nodes[n];
                let Some(peers) = node.peers.as_mut().filter(|_| !node.stopped) else { continue };
                if peers.next_tick() <= self.now {
                    peers.tick(self.now);
                }
                while let Some((to, data)) = peers.next_datagram() {
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + data.len());
                    let other = usize::from(to.port() == 7100)
                        * match to {
                            SocketAddr::V4(v4) => {
                                usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3])
                            }
                            SocketAddr::V6(_) => 0,
                        };
                    if self.cut.contains(&(n, other)) || self.rng.chance(self.loss) {
                        continue;
                    }
                    for _ in 0..1 + usize::from(self.rng.chance(self.duplication)) {
                        self.seq += 1;
                        let at = self.now + 1 + self.rng.next(self.delay as u64) as Micros;
                        self.wire.insert((at, self.seq), (to, data.to_vec()));
                    }
                }
            }
        }
    }

    pub fn view(&self, n: usize) -> View {
        self.nodes[n].peers.as_ref().unwrap().view(self.now)
    }

    /// Returns the state of member `n` in the view of member `of`.
    pub fn liveness(&self, of: usize, n: usize) -> Liveness {
        self.view(of).others.iter().find(|k| k.name == name(n)).unwrap().liveness
    }

    /// Returns the running members that see a majority.
    pub fn majorities(&self) -> Vec<usize> {
        let up = |n: &usize| self.nodes[*n].peers.is_some() && !self.nodes[*n].stopped;
        (0..self.nodes.len()).filter(up).filter(|n| self.view(*n).majority).collect()
    }

    /// Checks that every running member sees exactly the running members as alive, each in its current incarnation.
    pub fn agreed(&self) -> Result<(), String> {
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].peers.is_some()) {
            for known in self.view(n).others {
                let other = (0..self.nodes.len()).find(|o| name(*o) == known.name).unwrap();
                let up = self.nodes[other].peers.is_some();
                let right =
                    known.record.as_ref().is_some_and(|m| m.incarnation == self.nodes[other].incarnation);
                let good = if up {
                    known.liveness == Liveness::Alive && right
                } else {
                    known.liveness != Liveness::Alive
                };
                if !good {
                    return Err(format!(
                        "{} at {n}: {:?}, incarnation {:?}",
                        known.name,
                        known.liveness,
                        known.record.map(|m| m.incarnation)
                    ));
                }
            }
        }
        Ok(())
    }
}
