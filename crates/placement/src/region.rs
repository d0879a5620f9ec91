//! One region's part of the table: the base rows, which seats are filled, and the owners that follow from both.

use crate::base::{BaseSeat, BaseTable};
use crate::conflicts::NOBODY;
use crate::fallback::{FallbackOrder, RANKS};
use crate::hash::Digest;
use crate::list::{MAX_REPLICAS, SeatId};
use crate::shard::ShardId;

/// Stands for a missing owner where a region has fewer filled seats than replicas.
const NO_SEAT: SeatId = SeatId(u16::MAX);

/// Up to this many filled seats the next one of a shard's fallback order is found by comparing all their ranks, above it
/// by stepping through the ranks: either takes at most so many steps on average.
const FEW_SEATS: usize = 256;

/// A region's shards and their owners.
#[derive(Clone, Debug)]
pub(crate) struct RegionTable {
    /// Place of the first row in the interleaved order of shards.
    first_position: u32,
    replicas: usize,
    base: BaseTable,
    /// By ordinal.
    filled: Vec<bool>,
    /// Ordinals of filled seats in order.
    members: Vec<u16>,
    owners: Vec<SeatId>,
    /// Rows with an owner from beyond the base row.
    walked: Vec<bool>,
}

/// Owners of a row while it is worked out.
struct Chosen {
    seats: [u16; MAX_REPLICAS],
    len: usize,
}

impl Chosen {
    fn push(&mut self, seat: u16) {
        self.seats[self.len] = seat;
        self.len += 1;
    }

    fn seats(&self) -> &[u16] {
        &self.seats[..self.len]
    }
}

impl RegionTable {
    /// A region without seats, of `rows` shards from `first_position` on.
    pub(crate) fn new(first_position: u32, rows: u32, replicas: usize) -> Self {
        Self {
            first_position,
            replicas,
            base: BaseTable::new(rows, replicas),
            filled: Vec::new(),
            members: Vec::new(),
            owners: vec![NO_SEAT; rows as usize * replicas],
            walked: vec![false; rows as usize],
        }
    }

    pub(crate) fn first_position(&self) -> u32 {
        self.first_position
    }

    pub(crate) fn seat_count(&self) -> usize {
        self.base.seats().len()
    }

    /// Adds a vacant seat to the base rows. Owners follow by [`Self::resolve_all`] or [`Self::update`].
    pub(crate) fn append(&mut self, seat: BaseSeat) {
        self.base.append(seat);
        self.filled.push(false);
    }

    /// Rows that the last appended seat changed.
    pub(crate) fn touched(&self) -> &[u32] {
        self.base.touched()
    }

    /// Notes whether a seat is filled. Says whether that is new.
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

    /// Works out the owners of all rows, once all seats are appended.
    pub(crate) fn resolve_all(&mut self) {
        self.base.shrink();
        for row in 0..self.base.rows() {
            self.resolve(row);
        }
    }

    /// Works out the owners that can have changed: of `rows`, and of rows that depend on the seats `toggled`.
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
            let mut base = owners.iter().chain(spares).filter(|&&seat| seat != NOBODY);
            if base.any(|&seat| is_toggled[usize::from(seat)]) || self.walk_changes(row, toggled) {
                self.resolve(row);
            }
        }
    }

    /// Whether a row that has owners from beyond its base row can get others from there.
    fn walk_changes(&self, row: u32, toggled: &[u16]) -> bool {
        if !self.walked[row as usize] {
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

    /// The shard of a row.
    pub(crate) fn shard(&self, row: u32) -> ShardId {
        ShardId::at_position(self.first_position + row)
    }

    /// A row's owners in order.
    pub(crate) fn owners(&self, row: u32) -> &[SeatId] {
        let start = row as usize * self.replicas;
        let owners = &self.owners[start..start + self.replicas];
        let len = owners.iter().position(|&seat| seat == NO_SEAT).unwrap_or(owners.len());
        &owners[..len]
    }

    /// The shards that a seat owns.
    pub(crate) fn shards_of(&self, seat: SeatId) -> impl Iterator<Item = ShardId> + '_ {
        let rows = self.owners.chunks_exact(self.replicas).zip(0..);
        rows.filter(move |(owners, _)| owners.contains(&seat)).map(|(_, row)| self.shard(row))
    }

    /// Works out a row's owners: the base owners that are filled, then spares, then the shard's own fallback order.
    fn resolve(&mut self, row: u32) {
        let wanted = self.replicas.min(self.members.len());
        let mut chosen = Chosen { seats: [NOBODY; MAX_REPLICAS], len: 0 };
        let (owners, _) = self.base.row(row);
        for &seat in owners.iter().filter(|&&seat| self.is_filled(seat)) {
            chosen.push(seat);
        }
        self.choose_spares(row, wanted, &mut chosen);
        let walks = chosen.len < wanted;
        if walks {
            self.walk(self.order(row), wanted, &mut chosen);
        }
        self.walked[row as usize] = walks;
        let start = row as usize * self.replicas;
        for (index, owner) in self.owners[start..start + self.replicas].iter_mut().enumerate() {
            let seat = chosen.seats().get(index).and_then(|&seat| self.base.seats().get(usize::from(seat)));
            *owner = seat.copied().unwrap_or(NO_SEAT);
        }
    }

    fn is_filled(&self, seat: u16) -> bool {
        seat != NOBODY && self.filled[usize::from(seat)]
    }

    /// Puts filled spares in the place of missing owners, for each that spare first which shares the fewest domains with
    /// the row's other owners. Filled or not, those stay the same, so that a seat that is lost or filled changes the
    /// place of no other.
    fn choose_spares(&self, row: u32, wanted: usize, chosen: &mut Chosen) {
        let (owners, spares) = self.base.row(row);
        for missing in owners.iter().filter(|&&owner| !self.is_filled(owner)) {
            let free =
                spares.iter().filter(|spare| self.is_filled(**spare) && !chosen.seats().contains(spare));
            let others = |spare: &&u16| self.base.shared_domains(**spare, owners, *missing);
            if let Some(&spare) = free.min_by_key(others).filter(|_| chosen.len < wanted) {
                chosen.push(spare);
            }
        }
    }

    /// Adds the first filled seats of the shard's fallback order.
    fn walk(&self, order: FallbackOrder, wanted: usize, chosen: &mut Chosen) {
        if self.members.len() > FEW_SEATS {
            let mut ordinals = (0..RANKS).map(|rank| order.ordinal(rank as u16));
            while chosen.len < wanted {
                let Some(seat) = ordinals.next() else { return };
                let known = usize::from(seat) < self.filled.len();
                if known && self.is_filled(seat) && !chosen.seats().contains(&seat) {
                    chosen.push(seat);
                }
            }
            return;
        }
        while chosen.len < wanted {
            let others = self.members.iter().filter(|seat| !chosen.seats().contains(seat));
            let Some(&seat) = others.min_by_key(|&&seat| order.rank(seat)) else { return };
            chosen.push(seat);
        }
    }

    /// Takes all owners into a digest.
    pub(crate) fn digest(&self, digest: Digest) -> Digest {
        self.owners.iter().fold(digest, |digest, owner| digest.number(u64::from(owner.0)))
    }

    /// Memory that the region's table holds.
    pub(crate) fn bytes(&self) -> usize {
        self.base.bytes()
            + self.owners.capacity() * size_of::<SeatId>()
            + self.walked.capacity()
            + self.filled.capacity()
            + self.members.capacity() * size_of::<u16>()
    }
}
