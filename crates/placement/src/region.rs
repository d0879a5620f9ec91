//! The owners of one region's shards: base rows, filled seats, and the owners that result from both.

use crate::base::{BaseSeat, BaseTable};
use crate::conflicts::EMPTY;
use crate::fallback::{FallbackOrder, RANKS};
use crate::hash::Digest;
use crate::list::{MAX_REPLICAS, SeatId};
use crate::shard::ShardId;

/// Marks a missing owner where a region has fewer filled seats than replicas.
const NO_SEAT: SeatId = SeatId(u16::MAX);

/// Maximum number of filled seats up to which the ranks of all filled seats are compared.
/// The comparison finds the next seat of a shard's fallback order. With more filled seats, the ranks are iterated over.
/// Comparing and iterating both take at most `MAX_SEATS_TO_COMPARE_RANKS` steps on average.
const MAX_SEATS_TO_COMPARE_RANKS: usize = 256;

/// The shards of a region and their owners.
#[derive(Clone, Debug)]
pub(crate) struct RegionTable {
    /// Position of the region's first row in the interleaved order of shards.
    first_position: u32,
    replicas: usize,
    base: BaseTable,
    /// For each seat of the region, by ordinal, whether the seat is filled.
    filled: Vec<bool>,
    /// Ordinals of the region's filled seats, in ascending order.
    members: Vec<u16>,
    owners: Vec<SeatId>,
    /// For each row, whether at least one of its owners is from the fallback order instead of the base row.
    uses_fallback: Vec<bool>,
}

/// The owners of a row while they are being selected, as ordinals of their seats.
struct OwnerSelection {
    seats: [u16; MAX_REPLICAS],
    len: usize,
}

impl OwnerSelection {
    fn push(&mut self, seat: u16) {
        self.seats[self.len] = seat;
        self.len += 1;
    }

    fn seats(&self) -> &[u16] {
        &self.seats[..self.len]
    }
}

impl RegionTable {
    /// Creates a region without seats. It owns the `rows` shards that begin at `first_position`.
    pub(crate) fn new(first_position: u32, rows: u32, replicas: usize) -> Self {
        Self {
            first_position,
            replicas,
            base: BaseTable::new(rows, replicas),
            filled: Vec::new(),
            members: Vec::new(),
            owners: vec![NO_SEAT; rows as usize * replicas],
            uses_fallback: vec![false; rows as usize],
        }
    }

    pub(crate) fn first_position(&self) -> u32 {
        self.first_position
    }

    pub(crate) fn seat_count(&self) -> usize {
        self.base.seats().len()
    }

    /// Appends a vacant seat to the base rows.
    /// [`Self::resolve_all`] or [`Self::update`] must follow to update the owners.
    pub(crate) fn append(&mut self, seat: BaseSeat) {
        self.base.append(seat);
        self.filled.push(false);
    }

    /// Returns the rows that the last appended seat changed.
    pub(crate) fn changed_rows(&self) -> &[u32] {
        self.base.changed_rows()
    }

    /// Sets whether a seat is filled. Returns whether the seat's state has changed.
    pub(crate) fn set_filled(&mut self, ordinal: u16, filled: bool) -> bool {
        let before = std::mem::replace(&mut self.filled[usize::from(ordinal)], filled);
        match (self.members.binary_search(&ordinal), filled) {
            (Err(index), true) => self.members.insert(index, ordinal),
            (Ok(index), false) => {
                self.members.remove(index);
            }
            _ => {}
        }
        before != filled
    }

    /// Resolves the owners of all rows, after all seats have been appended.
    pub(crate) fn resolve_all(&mut self) {
        self.base.shrink();
        for row in 0..self.base.rows() {
            self.resolve(row);
        }
    }

    /// Resolves the owners that may have changed: owners of `rows`, and of rows that depend on the seats in `toggled`.
    pub(crate) fn update(&mut self, rows: &[u32], toggled: &[u16]) {
        for &row in rows {
            self.resolve(row);
        }
        if toggled.is_empty() {
            return;
        }
        let mut is_toggled = vec![false; self.filled.len()];
        for &ordinal in toggled {
            is_toggled[usize::from(ordinal)] = true;
        }
        for row in 0..self.base.rows() {
            let (owners, spares) = self.base.row(row);
            let mut base = owners.iter().chain(spares).filter(|&&seat| seat != EMPTY);
            if base.any(|&seat| is_toggled[usize::from(seat)]) || self.fallback_may_change(row, toggled) {
                self.resolve(row);
            }
        }
    }

    /// Returns whether the toggled seats may change the owners that a row has from its fallback order.
    fn fallback_may_change(&self, row: u32, toggled: &[u16]) -> bool {
        if !self.uses_fallback[row as usize] {
            return false;
        }
        let owners = self.owners(row);
        let Some(last) = owners.last().filter(|_| owners.len() == self.replicas) else { return true };
        let Some(last) = self.ordinal(*last) else { return true };
        let order = self.order(row);
        let last_rank = order.rank(last);
        toggled.iter().any(|&ordinal| order.rank(ordinal) <= last_rank)
    }

    fn ordinal(&self, seat: SeatId) -> Option<u16> {
        let found = self.base.seats().binary_search(&seat);
        found.ok().map(|ordinal| ordinal as u16)
    }

    fn order(&self, row: u32) -> FallbackOrder {
        FallbackOrder::of(self.shard(row))
    }

    /// Returns the shard whose owners the given row of the region contains.
    pub(crate) fn shard(&self, row: u32) -> ShardId {
        ShardId::at_position(self.first_position + row)
    }

    /// Returns the owners of a row's shard, in order.
    pub(crate) fn owners(&self, row: u32) -> &[SeatId] {
        let start = row as usize * self.replicas;
        let owners = &self.owners[start..start + self.replicas];
        let len = owners.iter().position(|&seat| seat == NO_SEAT).unwrap_or(owners.len());
        &owners[..len]
    }

    /// Returns the region's shards that a seat owns.
    pub(crate) fn shards_of(&self, seat: SeatId) -> impl Iterator<Item = ShardId> + '_ {
        let rows = self.owners.chunks_exact(self.replicas).zip(0..);
        rows.filter(move |(owners, _)| owners.contains(&seat)).map(|(_, row)| self.shard(row))
    }

    /// Resolves a row's owners: the filled base owners, then filled spares, then the shard's own fallback order.
    fn resolve(&mut self, row: u32) {
        let owner_count = self.replicas.min(self.members.len());
        let mut selection = OwnerSelection { seats: [EMPTY; MAX_REPLICAS], len: 0 };
        let (owners, _) = self.base.row(row);
        for &seat in owners.iter().filter(|&&seat| self.is_filled(seat)) {
            selection.push(seat);
        }
        self.add_spares(row, owner_count, &mut selection);
        let needs_fallback = selection.len < owner_count;
        if needs_fallback {
            self.add_fallback_seats(self.order(row), owner_count, &mut selection);
        }
        self.uses_fallback[row as usize] = needs_fallback;
        let start = row as usize * self.replicas;
        for (index, owner) in self.owners[start..start + self.replicas].iter_mut().enumerate() {
            let seat =
                selection.seats().get(index).and_then(|&seat| self.base.seats().get(usize::from(seat)));
            *owner = seat.copied().unwrap_or(NO_SEAT);
        }
    }

    fn is_filled(&self, seat: u16) -> bool {
        seat != EMPTY && self.filled[usize::from(seat)]
    }

    /// Selects for each missing owner the filled spare that shares the fewest domains with the row's other base owners.
    /// The comparison includes vacant base owners: one seat's change must not alter which spare replaces another owner.
    fn add_spares(&self, row: u32, owner_count: usize, selection: &mut OwnerSelection) {
        let (owners, spares) = self.base.row(row);
        for missing in owners.iter().filter(|&&owner| !self.is_filled(owner)) {
            let free =
                spares.iter().filter(|spare| self.is_filled(**spare) && !selection.seats().contains(spare));
            let shared_with_others = |spare: &&u16| self.base.shared_domains(**spare, owners, *missing);
            if let Some(&spare) = free.min_by_key(shared_with_others).filter(|_| selection.len < owner_count)
            {
                selection.push(spare);
            }
        }
    }

    /// Selects the first filled seats of the shard's fallback order in place of the owners that are still missing.
    fn add_fallback_seats(&self, order: FallbackOrder, owner_count: usize, selection: &mut OwnerSelection) {
        if self.members.len() > MAX_SEATS_TO_COMPARE_RANKS {
            let mut ordinals = (0..RANKS).map(|rank| order.ordinal(rank as u16));
            while selection.len < owner_count {
                let Some(seat) = ordinals.next() else { return };
                let exists = usize::from(seat) < self.filled.len();
                if exists && self.is_filled(seat) && !selection.seats().contains(&seat) {
                    selection.push(seat);
                }
            }
            return;
        }
        while selection.len < owner_count {
            let others = self.members.iter().filter(|seat| !selection.seats().contains(seat));
            let Some(&seat) = others.min_by_key(|&&seat| order.rank(seat)) else { return };
            selection.push(seat);
        }
    }

    /// Adds the owners of all the region's shards to a digest.
    pub(crate) fn digest(&self, digest: Digest) -> Digest {
        self.owners.iter().fold(digest, |digest, owner| digest.number(u64::from(owner.0)))
    }

    /// Returns the size of the region's table in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.base.bytes()
            + self.owners.capacity() * size_of::<SeatId>()
            + self.uses_fallback.capacity()
            + self.filled.capacity()
            + self.members.capacity() * size_of::<u16>()
    }
}
