//! The base table of one region: for each shard a row of seats, owners first and spares behind them, whether the seats
//! are filled or not.
//!
//! Consistent hashing with bounded loads, built seat by seat: each seat that is added takes its quota of positions from
//! seats that hold more than their new target, so that adding a seat moves positions to it and never between others.

use crate::conflicts::{ConflictRows, Domain, Layout, pair_cost};
use crate::hash::{GOLDEN, mix, mix_pair, scale};
use crate::list::{MAX_REPLICAS, SeatId};
use crate::target::{Shares, Units, Weights};

/// Spare seats of a row, which take a lost owner's place. With two, a lost owner's shards stay in distinct zones, and
/// the shards of a lost zone go to seats that share them out by their quota.
pub(crate) const SPARES: usize = 2;

/// The longest row. Shorter ones end in [`NOBODY`]: a fixed length lets the compiler unroll what is done most often.
const ROW: usize = MAX_REPLICAS + SPARES;

/// A position that no seat holds: the region has fewer seats than a row has positions.
pub(crate) const NOBODY: u16 = u16::MAX;

/// A seat as the base table counts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaseSeat {
    pub(crate) id: SeatId,
    pub(crate) domain: Domain,
    pub(crate) weight: u32,
}

/// The two kinds of positions in a row, each with a quota of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Owner,
    Spare,
}

/// From whom a seat takes a position.
#[derive(Clone, Copy, Debug)]
enum Donors {
    /// Seats that hold more than their target; domains stay as distinct as they were.
    AboveTarget,
    /// Seats that would still hold no less than the taker, by weight; domains stay as distinct as they were.
    MoreLoaded,
    /// Seats that hold more than 9/8 of their target, even where the row's domains are less distinct afterwards.
    Overloaded,
}

/// The order in which a seat looks for donors.
const SEARCHES: [Donors; 3] = [Donors::AboveTarget, Donors::MoreLoaded, Donors::Overloaded];

/// A search ends after so many probes in a row that found nothing.
const PROBE_MISSES: u32 = 64;

/// Rows that a probe looks at, one after another: at two replicas, those of a cache line.
const PROBE_ROWS: u32 = 8;

/// A seat gives up on rows whose domains could be more distinct after so many of them in a row that it can't help.
const CONFLICT_MISSES: u32 = 64;

/// The base table of one region.
#[derive(Clone, Debug)]
pub(crate) struct BaseTable {
    layout: Layout,
    /// Seats by ordinal (their order within the region).
    rows: Vec<[u16; ROW]>,
    /// Seats by ordinal, one array for each thing that probing looks at, so that those stay in the fastest cache.
    ids: Vec<SeatId>,
    domains: Vec<Domain>,
    weights: Vec<u32>,
    /// Positions that each seat holds, by kind.
    loads: [Vec<u32>; 2],
    total: Weights,
    zones: Vec<u16>,
    conflicts: ConflictRows,
    /// Where displaced owners go while rows have positions that nobody holds.
    open_position: Option<usize>,
    touched: Vec<u32>,
}

/// A position that may be taken.
struct Found {
    row: u32,
    position: usize,
    /// Whether the row's domains are less distinct afterwards.
    worse: bool,
}

/// A seat's search for the positions that it lacks.
struct Search {
    seat: u16,
    kind: Kind,
    weight: Units,
    shares: Shares,
    /// Positions of this kind in the region.
    positions: u64,
    /// The greatest load with which a seat of the same weight is not above its target.
    target: u32,
    lacking: u32,
    key: u64,
    probes: u64,
}

impl Search {
    fn probe(&mut self) -> u64 {
        self.probes += 1;
        mix(self.key.wrapping_add(self.probes.wrapping_mul(GOLDEN)))
    }
}

impl BaseTable {
    pub(crate) fn new(rows: u32, replicas: usize) -> Self {
        let layout = Layout { owners: replicas, positions: replicas + SPARES };
        Self {
            layout,
            rows: vec![[NOBODY; ROW]; rows as usize],
            ids: Vec::new(),
            domains: Vec::new(),
            weights: Vec::new(),
            loads: [Vec::new(), Vec::new()],
            total: Weights::default(),
            zones: Vec::new(),
            conflicts: ConflictRows::new(rows),
            open_position: None,
            touched: Vec::new(),
        }
    }

    pub(crate) fn rows(&self) -> u32 {
        self.rows.len() as u32
    }

    /// Seats by ordinal; their numbers rise.
    pub(crate) fn seats(&self) -> &[SeatId] {
        &self.ids
    }

    /// A row's owners and spares.
    pub(crate) fn row(&self, row: u32) -> (&[u16], &[u16]) {
        let (owners, spares) = self.rows[row as usize].split_at(self.layout.owners);
        (owners, &spares[..SPARES])
    }

    /// Rows that the last added seat changed.
    pub(crate) fn touched(&self) -> &[u32] {
        &self.touched
    }

    /// Memory that the table holds.
    pub(crate) fn bytes(&self) -> usize {
        self.rows.capacity() * size_of::<[u16; ROW]>()
            + self.ids.capacity() * size_of::<BaseSeat>()
            + self.loads.iter().map(|loads| loads.capacity() * size_of::<u32>()).sum::<usize>()
            + self.conflicts.bytes()
            + self.touched.capacity() * size_of::<u32>()
    }

    /// Gives back memory that only building needs.
    pub(crate) fn shrink(&mut self) {
        self.touched = Vec::new();
        self.conflicts.shrink();
    }

    /// Adds a seat behind the region's last one.
    pub(crate) fn append(&mut self, seat: BaseSeat) {
        let ordinal = self.ids.len();
        self.ids.push(seat.id);
        self.domains.push(seat.domain);
        self.weights.push(seat.weight);
        self.total.add(Units::from(seat.weight));
        for loads in &mut self.loads {
            loads.push(0);
        }
        self.touched.clear();
        let zone = seat.domain.zone();
        let new_zone = !self.zones.contains(&zone);
        if new_zone {
            self.zones.push(zone);
        }
        if ordinal < self.layout.positions {
            self.append_to_open_rows(ordinal);
            self.list_conflicts();
            return;
        }
        if new_zone && self.zones.len() <= self.layout.positions {
            self.list_conflicts();
        }
        self.take_quota(ordinal as u16, Kind::Owner);
        self.take_quota(ordinal as u16, Kind::Spare);
    }

    /// Adds one of the first seats: rows have a position that nobody holds, so that each row gets the seat.
    fn append_to_open_rows(&mut self, ordinal: usize) {
        let seat = ordinal as u16;
        if ordinal >= self.layout.owners {
            self.open_position = Some(ordinal);
            self.take_quota(seat, Kind::Owner);
            self.open_position = None;
        }
        let kind = self.layout.kind(ordinal);
        for row in self.rows.iter_mut().filter(|row| row[ordinal] == NOBODY) {
            row[ordinal] = seat;
            self.loads[kind as usize][ordinal] += 1;
        }
        self.touched.clear();
        self.touched.extend(0..self.rows());
    }

    /// Lists anew which rows' domains could be more distinct.
    fn list_conflicts(&mut self) {
        self.conflicts.clear(self.layout.least_cost(self.zones.len()));
        for row in 0..self.rows() {
            let cost = self.cost(row);
            self.conflicts.note(row, cost);
        }
    }

    fn take_quota(&mut self, seat: u16, kind: Kind) {
        let mut search = self.search(seat, kind);
        self.take_from_conflicts(&mut search);
        for donors in SEARCHES {
            self.take_by_probing(&mut search, donors);
        }
    }

    fn search(&self, seat: u16, kind: Kind) -> Search {
        let seats = self.ids.len();
        let width = match kind {
            Kind::Owner => self.layout.owners.min(seats),
            Kind::Spare => SPARES,
        };
        let positions = u64::from(self.rows()) * width as u64;
        let shares = self.total.shares(self.layout.owners.min(seats));
        let weight = Units::from(self.weights[usize::from(seat)]);
        Search {
            seat,
            kind,
            weight,
            shares,
            positions,
            target: shares.target(positions, weight),
            lacking: shares.quota(positions, weight).min(self.rows()),
            key: mix_pair(u64::from(self.ids[usize::from(seat)].0), kind as u64),
            probes: 0,
        }
    }

    /// Takes positions where the row's domains are more distinct afterwards.
    fn take_from_conflicts(&mut self, search: &mut Search) {
        let mut misses = 0;
        while search.lacking > 0 && misses < CONFLICT_MISSES && !self.conflicts.is_empty() {
            let index = scale(search.probe() as u32, self.conflicts.len());
            let row = self.conflicts.row(index);
            if self.conflicts.settle(index, self.cost(row)) {
                continue;
            }
            misses += 1;
            if let Some(position) = self.best_improvement(row, search) {
                self.place(row, position, search);
                misses = 0;
            }
        }
    }

    /// The position of a row whose taking makes its domains most distinct.
    fn best_improvement(&self, row: u32, search: &Search) -> Option<usize> {
        let candidates = self
            .layout
            .range(search.kind)
            .filter(|&position| self.gives(self.holder(row, position), Donors::AboveTarget, search));
        let costs = candidates.filter_map(|position| {
            Some((self.cost_change(&self.rows[row as usize], position, search.seat)?, position))
        });
        costs.filter(|&(change, _)| change < 0).min().map(|(_, position)| position)
    }

    fn take_by_probing(&mut self, search: &mut Search, donors: Donors) {
        let mut misses = 0;
        while search.lacking > 0 && misses < PROBE_MISSES {
            misses += 1;
            let first = scale(search.probe() as u32, self.rows());
            let Some(found) = self.find(first, donors, search) else { continue };
            self.place(found.row, found.position, search);
            misses = 0;
            if found.worse {
                self.conflicts.note(found.row, self.cost(found.row));
            }
        }
    }

    /// The first position that may be taken, in the rows of one probe.
    fn find(&self, first: u32, donors: Donors, search: &Search) -> Option<Found> {
        let range = self.layout.range(search.kind);
        let end = (first + PROBE_ROWS).min(self.rows());
        for (seats, row) in self.rows[first as usize..end as usize].iter().zip(first..) {
            for (&donor, position) in seats[range.clone()].iter().zip(range.start..) {
                if !self.gives(donor, donors, search) {
                    continue;
                }
                let Some(change) = self.cost_change(seats, position, search.seat) else { break };
                if change <= 0 || matches!(donors, Donors::Overloaded) {
                    return Some(Found { row, position, worse: change > 0 });
                }
            }
        }
        None
    }

    /// How many domains a seat shares with others, zones before racks.
    pub(crate) fn shared_domains(&self, seat: u16, others: &[u16]) -> u32 {
        others.iter().map(|&other| pair_cost(self.domain(seat), self.domain(other), true)).sum()
    }

    fn holder(&self, row: u32, position: usize) -> u16 {
        self.rows[row as usize][position]
    }

    fn gives(&self, donor: u16, donors: Donors, search: &Search) -> bool {
        const ONE_EIGHTH: u64 = 1;
        let load = self.load(donor, search.kind);
        let weight = Units::from(self.weights[usize::from(donor)]);
        match donors {
            Donors::AboveTarget if weight == search.weight => load > search.target,
            Donors::AboveTarget => search.shares.exceeds(load, search.positions, weight, 0),
            Donors::Overloaded => search.shares.exceeds(load, search.positions, weight, ONE_EIGHTH),
            Donors::MoreLoaded => {
                let own = self.load(search.seat, search.kind);
                u64::from(load) * search.weight >= u64::from(own + 1) * weight + search.weight
            }
        }
    }

    fn load(&self, seat: u16, kind: Kind) -> u32 {
        self.loads[kind as usize][usize::from(seat)]
    }

    /// Gives a position to the searching seat.
    fn place(&mut self, row: u32, position: usize, search: &mut Search) {
        let donor = std::mem::replace(&mut self.rows[row as usize][position], search.seat);
        self.loads[search.kind as usize][usize::from(donor)] -= 1;
        self.loads[search.kind as usize][usize::from(search.seat)] += 1;
        search.lacking -= 1;
        self.touched.push(row);
        if let Some(open) = self.open_position {
            self.rows[row as usize][open] = donor;
            self.loads[Kind::Spare as usize][usize::from(donor)] += 1;
        }
    }

    /// How far a row is from distinct domains; see [`pair_cost`].
    fn cost(&self, row: u32) -> u32 {
        let domains = self.rows[row as usize].map(|seat| self.domain(seat));
        let mut cost = 0;
        for (position, &first) in domains.iter().enumerate().filter(|&(_, &domain)| domain != Domain::NONE) {
            for (other, &second) in domains.iter().enumerate().skip(position + 1) {
                cost += pair_cost(first, second, other < self.layout.owners);
            }
        }
        cost
    }

    /// What the row's cost changes by if `seat` takes the position; none if the row has the seat already.
    fn cost_change(&self, seats: &[u16; ROW], position: usize, seat: u16) -> Option<i32> {
        let seats = &seats[..self.layout.positions];
        let (before, after) = (self.domain(seats[position]), self.domain(seat));
        let mut change = 0;
        for (other, &neighbour) in seats.iter().enumerate() {
            if neighbour == seat {
                return None;
            }
            if other != position {
                let both_own = position.max(other) < self.layout.owners;
                let neighbour = self.domain(neighbour);
                change += pair_cost(after, neighbour, both_own) as i32;
                change -= pair_cost(before, neighbour, both_own) as i32;
            }
        }
        Some(change)
    }

    fn domain(&self, seat: u16) -> Domain {
        self.domains.get(usize::from(seat)).copied().unwrap_or(Domain::NONE)
    }
}

impl Layout {
    fn kind(self, position: usize) -> Kind {
        if position < self.owners { Kind::Owner } else { Kind::Spare }
    }

    fn range(self, kind: Kind) -> std::ops::Range<usize> {
        match kind {
            Kind::Owner => 0..self.owners,
            Kind::Spare => self.owners..self.positions,
        }
    }
}
