//! The base table of one region: for each shard a row of seats, owners first and spares behind them, whether the seats
//! are filled or not.
//!
//! Consistent hashing with bounded loads, built seat by seat: each seat that is added takes its quota of positions from
//! seats that hold more than their new target, so that adding a seat moves positions to it and never between others.

use crate::conflicts::{ConflictRows, Layout, pair_cost};
use crate::hash::{GOLDEN, mix, mix_pair, scale};
use crate::list::SeatId;
use crate::target::{Shares, Units, Weights};

/// Spare seats of a row, which take a lost owner's place. With two, a lost owner's shards stay in distinct zones, and
/// the shards of a lost zone go to seats that share them out by their quota.
pub(crate) const SPARES: usize = 2;

/// A position that no seat holds: the region has fewer seats than a row has positions.
pub(crate) const NOBODY: u16 = u16::MAX;

/// A seat as the base table counts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaseSeat {
    pub(crate) id: SeatId,
    pub(crate) domain: Domain,
    pub(crate) weight: u32,
}

/// Zone and rack of a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Domain {
    pub(crate) zone: u16,
    pub(crate) rack: u16,
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

/// The order in which a seat looks for donors, with the greatest number of probes for each position that it lacks: few
/// seats are above their target when nearly all hold the whole number next to it, hence many probes.
const SEARCHES: [(Donors, u64); 3] =
    [(Donors::AboveTarget, 64), (Donors::MoreLoaded, 32), (Donors::Overloaded, 32)];

/// Probes for each lacking position among the rows whose domains can be more distinct.
const CONFLICT_PROBES: u64 = 4;

/// The base table of one region.
#[derive(Clone, Debug)]
pub(crate) struct BaseTable {
    rows: u32,
    layout: Layout,
    /// Seats by ordinal (their order within the region), row after row.
    positions: Vec<u16>,
    seats: Vec<BaseSeat>,
    /// Positions that each seat holds, by kind.
    loads: Vec<[u32; 2]>,
    weights: Weights,
    zones: Vec<u16>,
    conflicts: ConflictRows,
    /// Where displaced owners go while rows have positions that nobody holds.
    open_position: Option<usize>,
    touched: Vec<u32>,
}

/// A seat's search for the positions that it lacks.
struct Search {
    seat: u16,
    kind: Kind,
    weight: Units,
    shares: Shares,
    /// Positions of this kind in the region.
    positions: u64,
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
            rows,
            layout,
            positions: vec![NOBODY; rows as usize * layout.positions],
            seats: Vec::new(),
            loads: Vec::new(),
            weights: Weights::default(),
            zones: Vec::new(),
            conflicts: ConflictRows::new(rows),
            open_position: None,
            touched: Vec::new(),
        }
    }

    pub(crate) fn rows(&self) -> u32 {
        self.rows
    }

    pub(crate) fn seats(&self) -> &[BaseSeat] {
        &self.seats
    }

    /// A row's owners and spares.
    pub(crate) fn row(&self, row: u32) -> (&[u16], &[u16]) {
        let start = row as usize * self.layout.positions;
        self.positions[start..start + self.layout.positions].split_at(self.layout.owners)
    }

    /// Rows that the last added seat changed.
    pub(crate) fn touched(&self) -> &[u32] {
        &self.touched
    }

    /// Memory that the table holds.
    pub(crate) fn bytes(&self) -> usize {
        self.positions.capacity() * size_of::<u16>()
            + self.seats.capacity() * size_of::<BaseSeat>()
            + self.loads.capacity() * size_of::<[u32; 2]>()
            + self.conflicts.bytes()
            + self.touched.capacity() * size_of::<u32>()
    }

    /// Adds a seat behind the region's last one.
    pub(crate) fn append(&mut self, seat: BaseSeat) {
        let ordinal = self.seats.len();
        self.seats.push(seat);
        self.loads.push([0; 2]);
        self.weights.add(Units::from(seat.weight));
        self.touched.clear();
        let new_zone = !self.zones.contains(&seat.domain.zone);
        if new_zone {
            self.zones.push(seat.domain.zone);
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
        for row in 0..self.rows {
            let start = row as usize * self.layout.positions;
            let positions = &mut self.positions[start..start + self.layout.positions];
            if positions[ordinal] == NOBODY {
                positions[ordinal] = seat;
                self.loads[ordinal][kind as usize] += 1;
            }
        }
        self.touched.clear();
        self.touched.extend(0..self.rows);
    }

    /// Lists anew which rows' domains could be more distinct.
    fn list_conflicts(&mut self) {
        self.conflicts.clear(self.layout.least_cost(self.zones.len()));
        for row in 0..self.rows {
            let cost = self.cost(row);
            self.conflicts.note(row, cost);
        }
    }

    fn take_quota(&mut self, seat: u16, kind: Kind) {
        let mut search = self.search(seat, kind);
        self.take_from_conflicts(&mut search);
        for (donors, probes) in SEARCHES {
            self.take_by_probing(&mut search, donors, probes);
        }
    }

    fn search(&self, seat: u16, kind: Kind) -> Search {
        let seats = self.seats.len();
        let width = match kind {
            Kind::Owner => self.layout.owners.min(seats),
            Kind::Spare => SPARES,
        };
        let positions = u64::from(self.rows) * width as u64;
        let shares = self.weights.shares(self.layout.owners.min(seats));
        let added = self.seats[usize::from(seat)];
        let weight = Units::from(added.weight);
        Search {
            seat,
            kind,
            weight,
            shares,
            positions,
            lacking: shares.quota(positions, weight).min(self.rows),
            key: mix_pair(u64::from(added.id.0), kind as u64),
            probes: 0,
        }
    }

    /// Takes positions where the row's domains are more distinct afterwards.
    fn take_from_conflicts(&mut self, search: &mut Search) {
        let mut probes = u64::from(search.lacking) * CONFLICT_PROBES;
        while search.lacking > 0 && probes > 0 && !self.conflicts.is_empty() {
            let index = scale(search.probe() as u32, self.conflicts.len());
            let row = self.conflicts.row(index);
            if self.conflicts.settle(index, self.cost(row)) {
                continue;
            }
            probes -= 1;
            if let Some(position) = self.best_improvement(row, search) {
                self.place(row, position, search);
            }
        }
    }

    /// The position of a row whose taking makes its domains most distinct.
    fn best_improvement(&self, row: u32, search: &Search) -> Option<usize> {
        let candidates = self
            .layout
            .range(search.kind)
            .filter(|&position| self.gives(self.holder(row, position), Donors::AboveTarget, search));
        let costs =
            candidates.filter_map(|position| Some((self.cost_change(row, position, search.seat)?, position)));
        costs.filter(|&(change, _)| change < 0).min().map(|(_, position)| position)
    }

    fn take_by_probing(&mut self, search: &mut Search, donors: Donors, probes: u64) {
        let range = self.layout.range(search.kind);
        let (first, width) = (range.start, range.len() as u32);
        let mut left = u64::from(search.lacking) * probes;
        while search.lacking > 0 && left > 0 {
            left -= 1;
            let probe = search.probe();
            let row = scale((probe >> 32) as u32, self.rows);
            let position = first + scale(probe as u32, width) as usize;
            if !self.gives(self.holder(row, position), donors, search) {
                continue;
            }
            let Some(change) = self.cost_change(row, position, search.seat) else { continue };
            if change <= 0 || matches!(donors, Donors::Overloaded) {
                self.place(row, position, search);
                if change > 0 {
                    self.conflicts.note(row, self.cost(row));
                }
            }
        }
    }

    /// How many domains a seat shares with others, zones before racks.
    pub(crate) fn shared_domains(&self, seat: u16, others: &[u16]) -> u32 {
        others.iter().map(|&other| self.pair_cost(seat, other, true)).sum()
    }

    fn holder(&self, row: u32, position: usize) -> u16 {
        self.positions[row as usize * self.layout.positions + position]
    }

    fn gives(&self, donor: u16, donors: Donors, search: &Search) -> bool {
        const ONE_EIGHTH: u64 = 1;
        let weight = Units::from(self.seats[usize::from(donor)].weight);
        let load = self.load(donor, search.kind);
        match donors {
            Donors::AboveTarget => search.shares.exceeds(load, search.positions, weight, 0),
            Donors::Overloaded => search.shares.exceeds(load, search.positions, weight, ONE_EIGHTH),
            Donors::MoreLoaded => {
                let own = self.load(search.seat, search.kind);
                u64::from(load) * search.weight >= u64::from(own + 1) * weight + search.weight
            }
        }
    }

    fn load(&self, seat: u16, kind: Kind) -> u32 {
        self.loads[usize::from(seat)][kind as usize]
    }

    /// Gives a position to the searching seat.
    fn place(&mut self, row: u32, position: usize, search: &mut Search) {
        let start = row as usize * self.layout.positions;
        let donor = std::mem::replace(&mut self.positions[start + position], search.seat);
        self.loads[usize::from(donor)][search.kind as usize] -= 1;
        self.loads[usize::from(search.seat)][search.kind as usize] += 1;
        search.lacking -= 1;
        self.touched.push(row);
        if let Some(open) = self.open_position {
            self.positions[start + open] = donor;
            self.loads[usize::from(donor)][Kind::Spare as usize] += 1;
        }
    }

    /// How far a row is from distinct domains; see [`pair_cost`].
    fn cost(&self, row: u32) -> u32 {
        let start = row as usize * self.layout.positions;
        let seats = &self.positions[start..start + self.layout.positions];
        let mut cost = 0;
        for (position, &first) in seats.iter().enumerate() {
            for (other, &second) in seats.iter().enumerate().skip(position + 1) {
                cost += self.pair_cost(first, second, other < self.layout.owners);
            }
        }
        cost
    }

    /// What the row's cost changes by if `seat` takes the position; none if the row has the seat already.
    fn cost_change(&self, row: u32, position: usize, seat: u16) -> Option<i32> {
        let start = row as usize * self.layout.positions;
        let seats = &self.positions[start..start + self.layout.positions];
        let present = seats[position];
        let mut change = 0;
        for (other, &neighbour) in seats.iter().enumerate() {
            if neighbour == seat {
                return None;
            }
            if other != position {
                let both_own = position.max(other) < self.layout.owners;
                change += self.pair_cost(seat, neighbour, both_own) as i32;
                change -= self.pair_cost(present, neighbour, both_own) as i32;
            }
        }
        Some(change)
    }

    fn pair_cost(&self, first: u16, second: u16, both_own: bool) -> u32 {
        if first == NOBODY || second == NOBODY {
            return 0;
        }
        pair_cost(self.seats[usize::from(first)].domain, self.seats[usize::from(second)].domain, both_own)
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
