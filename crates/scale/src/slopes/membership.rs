//! Measures datagrams and bytes of the membership gossip.
//! The protocol code of `embershore-peer` runs with its real encoding over a simulated network.

use super::Setup;
use crate::report::{Report, Unit};
use crate::spread::Spread;
use anyhow::{Context, Result};
use embershore_peer::{Fleet, MAX_MEMBERS, Member, Micros, Peers, Status, Times};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND_US: Micros = 1_000_000;
/// Simulated time between two invocations of the members' protocol code, in microseconds.
const STEP_US: Micros = 10_000;
/// Maximum delay of a datagram in the simulated network, in microseconds.
const MAX_DELAY_US: Micros = 5_000;
/// Port in the address of every simulated member.
const MEMBER_PORT: u16 = 7100;

const REPEATS: u64 = 3;
/// Number of members from which on a simulation is run only once, because it takes minutes.
const SINGLE_RUN_FROM: usize = 500;

/// Members of the gossip protocol and the network between them, in simulated time.
struct Network {
    now: Micros,
    members: Vec<Peers>,
    random: ChaCha8Rng,
    in_transit: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    datagrams: u64,
    bytes: u64,
}

fn address(number: usize) -> SocketAddr {
    ([127, 0, (number >> 8) as u8, number as u8], MEMBER_PORT).into()
}

/// Returns the number of the member whose address is `address`.
fn number(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

fn name(number: usize) -> String {
    format!("sender-{number}")
}

impl Network {
    fn new(size: usize, seed: u64) -> Result<Self> {
        let fleet = Fleet::new((0..size).map(|n| (name(n), address(n))))?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let member = |n: usize| Member {
            name: name(n),
            incarnation: 1,
            revision: 0,
            address: address(n),
            domain: format!("machine-{}", n % 4),
            status: Status::Serving,
        };
        let mut start = |n| Peers::new(member(n), fleet.clone(), Times::default(), random.random(), 0);
        let members = (0..size).map(&mut start).collect::<Result<Vec<_>, _>>()?;
        let (in_transit, datagrams, bytes) = (BTreeMap::new(), 0, 0);
        Ok(Network { now: 0, members, random, in_transit, datagrams, bytes })
    }

    fn advance(&mut self, span: Micros) -> Result<()> {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_US;
            self.deliver();
            self.run_members()?;
        }
        Ok(())
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (to, datagram) = first.remove();
            if let Some(member) = self.members.get_mut(to) {
                member.receive(self.now, &datagram);
            }
        }
    }

    fn run_members(&mut self) -> Result<()> {
        for member in &mut self.members {
            if member.next_tick() <= self.now {
                member.tick(self.now);
            }
            while let Some((to, datagram)) = member.next_datagram() {
                self.datagrams += 1;
                self.bytes += datagram.len() as u64;
                let at = self.now + 1 + self.random.random_range(0..MAX_DELAY_US);
                let to =
                    number(to).with_context(|| format!("datagram to {to}, which is no member's address"))?;
                self.in_transit.insert((at, self.datagrams), (to, datagram.to_vec()));
            }
        }
        Ok(())
    }

    /// Runs the network for `seconds`. Returns the datagrams and bytes per second that each member sent.
    fn rates(&mut self, seconds: i64) -> Result<(f64, f64)> {
        let before = (self.datagrams, self.bytes);
        self.advance(seconds * SECOND_US)?;
        let each = self.members.len() as f64 * seconds as f64;
        Ok(((self.datagrams - before.0) as f64 / each, (self.bytes - before.1) as f64 / each))
    }
}

/// Measures datagrams and bytes per member and second with growing numbers of members.
///
/// # Errors
/// Fails if the member list is invalid.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[12, 40] } else { &[12, 100, 300, MAX_MEMBERS] };
    let (settle, span) = if setup.small { (20, 5) } else { (60, 20) };
    let mut report = Report::new("membership", setup);
    report.input("members", format!("{sizes:?}"));
    report.input(
        "simulated",
        format!("10 to {} s and {settle} to {} s after all started", 10 + span, settle + span),
    );
    report.input("repeats", format!("{REPEATS}; 1 from {SINGLE_RUN_FROM} members on"));
    for &size in sizes {
        let (mut starting, mut steady) = (Vec::new(), Vec::new());
        for repeat in 0..if size < SINGLE_RUN_FROM { REPEATS } else { 1 } {
            let mut network = Network::new(size, setup.seed + repeat)?;
            network.advance(10 * SECOND_US)?;
            starting.push(network.rates(span)?);
            let rest = settle * SECOND_US - network.now;
            network.advance(rest.max(0))?;
            steady.push(network.rates(span)?);
        }
        for (when, rates) in [("after a start", starting), ("steady", steady)] {
            let datagrams: Vec<f64> = rates.iter().map(|r| r.0).collect();
            let bytes: Vec<f64> = rates.iter().map(|r| r.1).collect();
            report.metric(format!("datagrams at {size}, {when}"), Unit::PerSecond, Spread::of(&datagrams));
            report.metric(format!("bytes at {size}, {when}"), Unit::BytesPerSecond, Spread::of(&bytes));
        }
    }
    report.remark(format!("a list of more than {MAX_MEMBERS} members is rejected"));
    Ok(report)
}
