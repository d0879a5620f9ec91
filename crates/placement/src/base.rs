//! The base table of one region: for each shard a row of seats, owners first and spares behind them, whether the seats
//! are filled or not.
//!
//! Consistent hashing with bounded loads, built seat by seat: each seat that is added takes its quota of positions from
//! seats that hold more than their new target, so that adding a seat moves positions to it and never between others.

use std::cmp::Reverse;

use crate::conflicts::{ConflictRows, Domain, Grade, Layout, NOBODY, ROW, SPARES, pair_cost};
use crate::hash::{FIBONACCI_MULTIPLIER, mix, mix_pair, scale};
use crate::list::SeatId;
use crate::target::{Shares, Units, Weights};

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
    /// Seats that hold more than 15/16 of their target; for rows whose domains become more distinct.
    NearTarget,
    /// Seats that hold more than 9/8 of their target, even where the row's domains are less distinct afterwards.
    Overloaded,
}

/// The order in which a seat looks for donors.
const SEARCHES: [Donors; 3] = [Donors::AboveTarget, Donors::MoreLoaded, Donors::Overloaded];

/// A search ends after so many probes in a row that found nothing.
const PROBE_MISSES: u32 = 64;

/// Rows that a probe looks at, one after another: at two replicas, those of a cache line.
const PROBE_ROWS: u32 = 8;

/// A seat takes up to this part more than its quota where a row's owners share a zone otherwise.
const EXTRA_PART: u32 = 16;

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
    /// By [`Grade`].
    conflicts: [ConflictRows; 2],
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
        mix(self.key.wrapping_add(self.probes.wrapping_mul(FIBONACCI_MULTIPLIER)))
    }
}

impl BaseTable {
    pub(crate) fn new(rows: u32, replicas: usize) -> Self {
        Self {
            layout: Layout::new(replicas),
            rows: vec![[NOBODY; ROW]; rows as usize],
            ids: Vec::new(),
            domains: Vec::new(),
            weights: Vec::new(),
            loads: [Vec::new(), Vec::new()],
            total: Weights::default(),
            zones: Vec::new(),
            conflicts: [ConflictRows::new(rows), ConflictRows::new(rows)],
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
            + self.conflicts.iter().map(ConflictRows::bytes).sum::<usize>()
            + self.touched.capacity() * size_of::<u32>()
    }

    /// Gives back memory that only building needs.
    pub(crate) fn shrink(&mut self) {
        self.touched = Vec::new();
        self.conflicts.iter_mut().for_each(ConflictRows::shrink);
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
        let least_cost = self.layout.least_cost(self.zones.len());
        for (conflicts, grade) in self.conflicts.iter_mut().zip([Grade::Owners, Grade::Any]) {
            conflicts.clear(least_cost, grade);
        }
        for row in 0..self.rows() {
            self.note_conflicts(row);
        }
    }

    fn take_quota(&mut self, seat: u16, kind: Kind) {
        let mut search = self.search(seat, kind);
        let quota = search.lacking;
        if kind == Kind::Owner {
            self.take_from_conflicts(&mut search, Grade::Owners, Donors::AboveTarget);
        }
        self.take_from_conflicts(&mut search, Grade::Any, Donors::AboveTarget);
        for donors in SEARCHES {
            self.take_by_probing(&mut search, donors);
        }
        if kind == Kind::Owner {
            // Quotas are rounded, which can leave a few rows whose owners share a zone.
            search.lacking += quota.div_ceil(EXTRA_PART);
            self.take_from_conflicts(&mut search, Grade::Owners, Donors::NearTarget);
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
    fn take_from_conflicts(&mut self, search: &mut Search, grade: Grade, donors: Donors) {
        let mut misses = 0;
        while search.lacking > 0 && misses < CONFLICT_MISSES && !self.conflicts[grade as usize].is_empty() {
            let index = scale(search.probe() as u32, self.conflicts[grade as usize].len());
            let row = self.conflicts[grade as usize].row(index);
            let cost = self.cost(row);
            if self.conflicts[grade as usize].settle(index, cost) {
                continue;
            }
            misses += 1;
            if let Some(position) = self.best_improvement(row, grade, donors, search) {
                self.place(row, position, search);
                misses = 0;
            }
        }
    }

    /// Lists a row if its domains could be more distinct.
    fn note_conflicts(&mut self, row: u32) {
        let cost = self.cost(row);
        for conflicts in &mut self.conflicts {
            conflicts.note(row, cost);
        }
    }

    /// The position of a row whose taking makes its domains most distinct.
    fn best_improvement(&self, row: u32, grade: Grade, donors: Donors, search: &Search) -> Option<usize> {
        let seats = &self.rows[row as usize];
        let positions =
            self.layout.range(search.kind).filter(|&position| self.gives(seats[position], donors, search));
        let load = |position: usize| self.load(seats[position], search.kind);
        let changes = positions
            .filter_map(|position| Some((self.cost_change(seats, position, search.seat)?, position)));
        let (change, position) =
            changes.min_by_key(|&(change, position)| (change, Reverse(load(position))))?;
        (change <= -grade.least_gain()).then_some(position)
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
                self.note_conflicts(found.row);
            }
        }
    }

    /// The first position that may be taken, in the rows of one probe.
    fn find(&self, first: u32, donors: Donors, search: &Search) -> Option<Found> {
        // One loop for each kind of donors: it is run millions of times.
        match donors {
            Donors::AboveTarget => {
                self.find_from(first, false, search, |donor| self.is_above_target(donor, search))
            }
            _ => {
                let worse = matches!(donors, Donors::Overloaded);
                self.find_from(first, worse, search, |donor| self.gives(donor, donors, search))
            }
        }
    }

    #[inline]
    fn find_from(
        &self,
        first: u32,
        worse: bool,
        search: &Search,
        gives: impl Fn(u16) -> bool,
    ) -> Option<Found> {
        let range = self.layout.range(search.kind);
        let end = (first + PROBE_ROWS).min(self.rows());
        for (seats, row) in self.rows[first as usize..end as usize].iter().zip(first..) {
            for (&donor, position) in seats[range.clone()].iter().zip(range.start..) {
                if !gives(donor) {
                    continue;
                }
                let Some(change) = self.cost_change(seats, position, search.seat) else { break };
                if change <= 0 || worse {
                    return Some(Found { row, position, worse: change > 0 });
                }
            }
        }
        None
    }

    #[inline]
    fn is_above_target(&self, donor: u16, search: &Search) -> bool {
        let load = self.load(donor, search.kind);
        let weight = Units::from(self.weights[usize::from(donor)]);
        if weight == search.weight {
            return load > search.target;
        }
        search.shares.exceeds(load, search.positions, weight, 16)
    }

    /// How many domains a seat shares with a row's owners except one, zones before racks.
    pub(crate) fn shared_domains(&self, seat: u16, owners: &[u16], except: u16) -> u32 {
        let others = owners.iter().filter(|&&owner| owner != except);
        others.map(|&owner| pair_cost(self.domain(seat), self.domain(owner), 1)).sum()
    }

    fn gives(&self, donor: u16, donors: Donors, search: &Search) -> bool {
        let load = self.load(donor, search.kind);
        let weight = Units::from(self.weights[usize::from(donor)]);
        match donors {
            Donors::AboveTarget => self.is_above_target(donor, search),
            Donors::NearTarget => search.shares.exceeds(load, search.positions, weight, 15),
            Donors::Overloaded => search.shares.exceeds(load, search.positions, weight, 18),
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
        self.layout.cost(&self.rows[row as usize].map(|seat| self.domain(seat)))
    }

    /// What the row's cost changes by if `seat` takes the position; none if the row has the seat already.
    #[inline]
    fn cost_change(&self, seats: &[u16; ROW], position: usize, seat: u16) -> Option<i32> {
        if seats.contains(&seat) {
            return None;
        }
        let (before, after) = (self.domain(seats[position]), self.domain(seat));
        let grades = self.layout.grades(position);
        let mut change = 0;
        for (&neighbour, grade) in seats[..self.layout.positions].iter().zip(grades) {
            let neighbour = self.domain(neighbour);
            let difference = pair_cost(after, neighbour, 1) as i32 - pair_cost(before, neighbour, 1) as i32;
            change += difference * *grade as i32;
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
