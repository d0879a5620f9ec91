//! The base table of one region. Each shard has a row of seats: owners first, then spares, which replace lost owners.
//! The rows of the base table also contain vacant seats.
//!
//! The table is built by consistent hashing with bounded loads, one seat after another.
//! Each added seat takes its quota of positions from seats that hold more than their new target.
//! Adding a seat therefore moves positions only to that seat, never between other seats.

use std::cmp::Reverse;

use crate::conflicts::{ConflictRows, ConflictScope, Domain, EMPTY, Layout, ROW_LENGTH, SPARES, pair_cost};
use crate::hash::{FIBONACCI_MULTIPLIER, mix, mix_pair, scale};
use crate::list::SeatId;
use crate::target::{Shares, Units, Weights};

/// The properties of a seat that the base table depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaseSeat {
    pub(crate) id: SeatId,
    pub(crate) domain: Domain,
    pub(crate) weight: u32,
}

/// The two kinds of positions in a row. Each seat has a separate quota for each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PositionKind {
    Owner,
    Spare,
}

/// The seats from which an added seat may take positions.
#[derive(Clone, Copy, Debug)]
enum Donors {
    /// Seats that hold more positions than their target. Positions are taken only in rows whose cost does not rise.
    AboveTarget,
    /// Seats that hold at least as many positions for their weight as the added seat, even after the transfer.
    /// Positions of such seats are taken only in rows whose cost does not rise.
    MoreLoaded,
    /// Seats that hold more than 15/16 of their target. Positions are taken only in rows whose cost this decreases.
    NearTarget,
    /// Seats that hold more than 9/8 of their target. Positions are taken even in rows whose cost rises.
    Overloaded,
}

/// The order in which an added seat tries the groups of seats that it may take positions from.
const DONOR_ORDER: [Donors; 3] = [Donors::AboveTarget, Donors::MoreLoaded, Donors::Overloaded];

/// An added seat's search ends after this number of consecutive probes that found no position to take.
const MAX_PROBE_MISSES: u32 = 64;

/// Number of consecutive rows that one probe visits. At two replicas their seats total 64 bytes, as a cache line does.
const ROWS_PER_PROBE: u32 = 8;

/// An added seat may exceed its quota by the quota / `EXTRA_QUOTA_DIVISOR`, in rows whose owners share a zone.
const EXTRA_QUOTA_DIVISOR: u32 = 16;

/// A search of the conflict rows ends after this number of consecutive rows that the seat can't improve.
const MAX_CONFLICT_MISSES: u32 = 64;

/// The base table of one region: a row of seats for each shard.
#[derive(Clone, Debug)]
pub(crate) struct BaseTable {
    layout: Layout,
    /// The seats of each row, as ordinals (a seat's ordinal is its place in the order of the region's seats).
    rows: Vec<[u16; ROW_LENGTH]>,
    /// The ids of the seats, by ordinal. Each property has its own array, so that a probe's data fit into the L1 cache.
    ids: Vec<SeatId>,
    domains: Vec<Domain>,
    weights: Vec<u32>,
    /// Number of positions that each seat holds, by [`PositionKind`] and ordinal.
    loads: [Vec<u32>; 2],
    total: Weights,
    zones: Vec<u16>,
    /// Rows whose seats share a zone or rack avoidably, one list for each [`ConflictScope`].
    conflicts: [ConflictRows; 2],
    /// Index of the empty position in each row, to which displaced owners move while the first seats are added.
    open_position: Option<usize>,
    /// The rows that the last added seat changed.
    changed_rows: Vec<u32>,
}

/// A position that an added seat may take.
struct FoundPosition {
    row: u32,
    position: usize,
    /// Whether taking the position raises the cost of the failure domains shared in its row.
    increases_cost: bool,
}

/// An added seat's search for positions of one kind, owner or spare.
struct Search {
    seat: u16,
    kind: PositionKind,
    weight: Units,
    shares: Shares,
    /// Number of positions of the searched kind (owner or spare) in the region.
    positions: u64,
    /// Greatest number of positions with which a seat of the searching seat's weight is not above its target.
    target: u32,
    /// Number of positions that the searching seat has yet to take.
    missing: u32,
    /// The key that the pseudo-random sequence of probes is derived from.
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
            rows: vec![[EMPTY; ROW_LENGTH]; rows as usize],
            ids: Vec::new(),
            domains: Vec::new(),
            weights: Vec::new(),
            loads: [Vec::new(), Vec::new()],
            total: Weights::default(),
            zones: Vec::new(),
            conflicts: [ConflictRows::new(rows), ConflictRows::new(rows)],
            open_position: None,
            changed_rows: Vec::new(),
        }
    }

    pub(crate) fn rows(&self) -> u32 {
        self.rows.len() as u32
    }

    /// Returns the ids of the region's seats by ordinal, in ascending order.
    pub(crate) fn seats(&self) -> &[SeatId] {
        &self.ids
    }

    /// Returns a row's owners and spares.
    pub(crate) fn row(&self, row: u32) -> (&[u16], &[u16]) {
        let (owners, spares) = self.rows[row as usize].split_at(self.layout.owners);
        (owners, &spares[..SPARES])
    }

    /// Returns the rows that the last added seat changed.
    pub(crate) fn changed_rows(&self) -> &[u32] {
        &self.changed_rows
    }

    /// Returns the size of the base table in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.rows.capacity() * size_of::<[u16; ROW_LENGTH]>()
            + self.ids.capacity() * size_of::<BaseSeat>()
            + self.loads.iter().map(|loads| loads.capacity() * size_of::<u32>()).sum::<usize>()
            + self.conflicts.iter().map(ConflictRows::bytes).sum::<usize>()
            + self.changed_rows.capacity() * size_of::<u32>()
    }

    /// Releases memory that is needed only while the table is built.
    pub(crate) fn shrink(&mut self) {
        self.changed_rows = Vec::new();
        self.conflicts.iter_mut().for_each(ConflictRows::shrink);
    }

    /// Adds a seat after the region's last seat.
    pub(crate) fn append(&mut self, seat: BaseSeat) {
        let ordinal = self.ids.len();
        self.ids.push(seat.id);
        self.domains.push(seat.domain);
        self.weights.push(seat.weight);
        self.total.add(Units::from(seat.weight));
        for loads in &mut self.loads {
            loads.push(0);
        }
        self.changed_rows.clear();
        let zone = seat.domain.zone();
        let new_zone = !self.zones.contains(&zone);
        if new_zone {
            self.zones.push(zone);
        }
        if ordinal < self.layout.positions {
            self.append_to_open_rows(ordinal);
            self.rebuild_conflicts();
            return;
        }
        if new_zone && self.zones.len() <= self.layout.positions {
            self.rebuild_conflicts();
        }
        self.take_quota(ordinal as u16, PositionKind::Owner);
        self.take_quota(ordinal as u16, PositionKind::Spare);
    }

    /// Adds one of the region's first seats. Each row still has an empty position, so the seat is added to every row.
    fn append_to_open_rows(&mut self, ordinal: usize) {
        let seat = ordinal as u16;
        if ordinal >= self.layout.owners {
            self.open_position = Some(ordinal);
            self.take_quota(seat, PositionKind::Owner);
            self.open_position = None;
        }
        let kind = self.layout.kind(ordinal);
        for row in self.rows.iter_mut().filter(|row| row[ordinal] == EMPTY) {
            row[ordinal] = seat;
            self.loads[kind as usize][ordinal] += 1;
        }
        self.changed_rows.clear();
        self.changed_rows.extend(0..self.rows());
    }

    /// Rebuilds the lists of conflict rows: rows whose cost could be lower.
    fn rebuild_conflicts(&mut self) {
        let min_cost = self.layout.min_cost(self.zones.len());
        for (conflicts, scope) in self.conflicts.iter_mut().zip([ConflictScope::Owners, ConflictScope::Any]) {
            conflicts.reset(min_cost, scope);
        }
        for row in 0..self.rows() {
            self.list_if_improvable(row);
        }
    }

    fn take_quota(&mut self, seat: u16, kind: PositionKind) {
        let mut search = self.new_search(seat, kind);
        let quota = search.missing;
        if kind == PositionKind::Owner {
            self.take_from_conflicts(&mut search, ConflictScope::Owners, Donors::AboveTarget);
        }
        self.take_from_conflicts(&mut search, ConflictScope::Any, Donors::AboveTarget);
        for donors in DONOR_ORDER {
            self.take_by_probing(&mut search, donors);
        }
        if kind == PositionKind::Owner {
            // Rounded quotas can leave a few rows whose owners share a zone. There the seat may exceed its quota.
            search.missing += quota.div_ceil(EXTRA_QUOTA_DIVISOR);
            self.take_from_conflicts(&mut search, ConflictScope::Owners, Donors::NearTarget);
        }
    }

    fn new_search(&self, seat: u16, kind: PositionKind) -> Search {
        let seats = self.ids.len();
        let width = match kind {
            PositionKind::Owner => self.layout.owners.min(seats),
            PositionKind::Spare => SPARES,
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
            missing: shares.quota(positions, weight).min(self.rows()),
            key: mix_pair(u64::from(self.ids[usize::from(seat)].0), kind as u64),
            probes: 0,
        }
    }

    /// Takes positions in the recorded conflict rows, if taking the position lowers the row's cost.
    fn take_from_conflicts(&mut self, search: &mut Search, scope: ConflictScope, donors: Donors) {
        let mut misses = 0;
        while search.missing > 0 && misses < MAX_CONFLICT_MISSES && !self.conflicts[scope as usize].is_empty()
        {
            let index = scale(search.probe() as u32, self.conflicts[scope as usize].len());
            let row = self.conflicts[scope as usize].row(index);
            let cost = self.row_cost(row);
            if self.conflicts[scope as usize].remove_if_resolved(index, cost) {
                continue;
            }
            misses += 1;
            if let Some(position) = self.best_improvement(row, scope, donors, search) {
                self.assign(row, position, search);
                misses = 0;
            }
        }
    }

    /// Adds a row to the conflict rows if its cost could be lower.
    fn list_if_improvable(&mut self, row: u32) {
        let cost = self.row_cost(row);
        for conflicts in &mut self.conflicts {
            conflicts.add(row, cost);
        }
    }

    /// Returns the position at which the searching seat would lower the row's cost most.
    fn best_improvement(
        &self,
        row: u32,
        scope: ConflictScope,
        donors: Donors,
        search: &Search,
    ) -> Option<usize> {
        let seats = &self.rows[row as usize];
        let positions = self
            .layout
            .range(search.kind)
            .filter(|&position| self.can_donate(seats[position], donors, search));
        let load = |position: usize| self.load(seats[position], search.kind);
        let changes = positions
            .filter_map(|position| Some((self.cost_change(seats, position, search.seat)?, position)));
        let (change, position) =
            changes.min_by_key(|&(change, position)| (change, Reverse(load(position))))?;
        (change <= -scope.min_gain()).then_some(position)
    }

    fn take_by_probing(&mut self, search: &mut Search, donors: Donors) {
        let mut misses = 0;
        while search.missing > 0 && misses < MAX_PROBE_MISSES {
            misses += 1;
            let first = scale(search.probe() as u32, self.rows());
            let Some(found) = self.find_position(first, donors, search) else { continue };
            self.assign(found.row, found.position, search);
            misses = 0;
            if found.increases_cost {
                self.list_if_improvable(found.row);
            }
        }
    }

    /// Returns the first position that the searching seat may take in the rows of one probe, starting at row `first`.
    fn find_position(&self, first: u32, donors: Donors, search: &Search) -> Option<FoundPosition> {
        // `AboveTarget` has its own specialised loop, because its body is executed millions of times for each table.
        match donors {
            Donors::AboveTarget => {
                self.find_position_where(first, false, search, |donor| self.is_above_target(donor, search))
            }
            _ => {
                let allow_increase = matches!(donors, Donors::Overloaded);
                self.find_position_where(first, allow_increase, search, |donor| {
                    self.can_donate(donor, donors, search)
                })
            }
        }
    }

    #[inline]
    fn find_position_where(
        &self,
        first: u32,
        allow_increase: bool,
        search: &Search,
        can_donate: impl Fn(u16) -> bool,
    ) -> Option<FoundPosition> {
        let range = self.layout.range(search.kind);
        let end = (first + ROWS_PER_PROBE).min(self.rows());
        for (seats, row) in self.rows[first as usize..end as usize].iter().zip(first..) {
            for (&donor, position) in seats[range.clone()].iter().zip(range.start..) {
                if !can_donate(donor) {
                    continue;
                }
                let Some(change) = self.cost_change(seats, position, search.seat) else { break };
                if change <= 0 || allow_increase {
                    return Some(FoundPosition { row, position, increases_cost: change > 0 });
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

    /// Returns the cost of the failure domains that a seat shares with a row's owners, not counting the owner `except`.
    /// A shared zone costs more than a shared rack.
    pub(crate) fn shared_domains(&self, seat: u16, owners: &[u16], except: u16) -> u32 {
        let others = owners.iter().filter(|&&owner| owner != except);
        others.map(|&owner| pair_cost(self.domain(seat), self.domain(owner), 1)).sum()
    }

    fn can_donate(&self, donor: u16, donors: Donors, search: &Search) -> bool {
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

    fn load(&self, seat: u16, kind: PositionKind) -> u32 {
        self.loads[kind as usize][usize::from(seat)]
    }

    /// Assigns a position in a row to the searching seat.
    fn assign(&mut self, row: u32, position: usize, search: &mut Search) {
        let donor = std::mem::replace(&mut self.rows[row as usize][position], search.seat);
        self.loads[search.kind as usize][usize::from(donor)] -= 1;
        self.loads[search.kind as usize][usize::from(search.seat)] += 1;
        search.missing -= 1;
        self.changed_rows.push(row);
        if let Some(open) = self.open_position {
            self.rows[row as usize][open] = donor;
            self.loads[PositionKind::Spare as usize][usize::from(donor)] += 1;
        }
    }

    /// Returns the cost of a row's shared zones and racks, see [`pair_cost`].
    fn row_cost(&self, row: u32) -> u32 {
        self.layout.cost(&self.rows[row as usize].map(|seat| self.domain(seat)))
    }

    /// Returns by how much a row's cost changes if `seat` takes the position; `None` if the row already has the seat.
    #[inline]
    fn cost_change(&self, seats: &[u16; ROW_LENGTH], position: usize, seat: u16) -> Option<i32> {
        if seats.contains(&seat) {
            return None;
        }
        let (before, after) = (self.domain(seats[position]), self.domain(seat));
        let weights = self.layout.pair_weights(position);
        let mut change = 0;
        for (&neighbour, weight) in seats[..self.layout.positions].iter().zip(weights) {
            let neighbour = self.domain(neighbour);
            let difference = pair_cost(after, neighbour, 1) as i32 - pair_cost(before, neighbour, 1) as i32;
            change += difference * *weight as i32;
        }
        Some(change)
    }

    fn domain(&self, seat: u16) -> Domain {
        self.domains.get(usize::from(seat)).copied().unwrap_or(Domain::NONE)
    }
}

impl Layout {
    fn kind(self, position: usize) -> PositionKind {
        if position < self.owners { PositionKind::Owner } else { PositionKind::Spare }
    }

    fn range(self, kind: PositionKind) -> std::ops::Range<usize> {
        match kind {
            PositionKind::Owner => 0..self.owners,
            PositionKind::Spare => self.owners..self.positions,
        }
    }
}
