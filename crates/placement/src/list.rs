//! The member list of one epoch.
//! [`MemberList`] is validated when it is constructed, so code that uses a member list needs no further checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::SCHEME;
use crate::domains::{Domains, RackId, ZoneId};
use crate::error::ListError;
use crate::hash::Digest;
use crate::weight::{MAX_WEIGHT, Weight};
use crate::wire::{ListForm, MemberForm, RegionForm, SeatForm, WideForm};

/// Maximum number of replicas, which are the owners of one shard.
pub const MAX_REPLICAS: usize = 4;

/// Maximum number of seats: a seat number has 16 bits, and one of its values is reserved for "no seat".
pub const MAX_SEATS: usize = u16::MAX as usize;

/// Maximum number of regions. A real fleet has only a few.
pub const MAX_REGIONS: usize = 256;

/// Maximum width of a wide destination.
pub const MAX_WIDTH: u16 = 1024;

/// Maximum number of wide destinations. Each sender stores all of them, at 24 bytes each.
pub const MAX_WIDE_DESTINATIONS: usize = 65_536;

/// Number of a seat: its index in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeatId(pub u16);

impl SeatId {
    /// Returns the number as an index into the member list.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Number of a region: its index in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionId(pub u16);

impl RegionId {
    /// Returns the number as an index into the member list.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A region, which owns a fixed part of the shards, in proportion to its share.
#[derive(Clone, Debug)]
pub struct Region {
    name: Arc<str>,
    share: u32,
    filled: usize,
}

impl Region {
    /// Returns the region's name, which no other region of the member list has.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the region's share of the shards, relative to the sum of all regions' shares.
    pub const fn share(&self) -> u32 {
        self.share
    }

    /// Returns the number of filled seats in the region.
    pub const fn filled(&self) -> usize {
        self.filled
    }
}

/// The process that fills a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    name: Arc<str>,
    address: SocketAddr,
}

impl Member {
    /// Returns the member's name, which no other member of the member list has.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address at which the member accepts forwarded requests.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A seat: a numbered place for a member. Its failure domain and weight are fixed, while its member may change.
#[derive(Clone, Debug)]
struct Seat {
    rack: RackId,
    weight: Weight,
    member: Option<Member>,
}

/// The validated member list of one epoch: regions, seats and wide destinations.
#[derive(Clone, Debug)]
pub struct MemberList {
    epoch: u64,
    replicas: usize,
    first: bool,
    regions: Vec<Region>,
    domains: Domains,
    seats: Vec<Seat>,
    wide: BTreeMap<i64, u16>,
    /// Filled seats in the order of their members' names.
    by_name: Vec<SeatId>,
    /// Filled seats in the order of their members' addresses.
    by_address: Vec<SeatId>,
    /// Wrapping sum of the digests of all seats and wide destinations, which each change to the member list updates.
    contents_digest: u64,
}

impl MemberList {
    /// Validates a member list that was received in its wire form.
    ///
    /// # Errors
    /// Returns the first invalid entry found, with its position and a correction.
    pub fn from_form(form: ListForm) -> Result<Self, ListError> {
        if form.scheme != SCHEME {
            return Err(ListError::UnknownScheme { scheme: form.scheme, known: SCHEME });
        }
        check_count("seats", form.seats.len(), MAX_SEATS)?;
        check_count("wide", form.wide.len(), MAX_WIDE_DESTINATIONS)?;
        let mut list = Self {
            epoch: form.epoch,
            replicas: checked_replicas(form.replicas)?,
            first: form.first,
            regions: checked_regions(&form.regions)?,
            domains: Domains::default(),
            seats: Vec::with_capacity(form.seats.len()),
            wide: BTreeMap::new(),
            by_name: Vec::new(),
            by_address: Vec::new(),
            contents_digest: 0,
        };
        for seat in &form.seats {
            list.append_vacant(seat)?;
        }
        list.fill_all(&form.seats)?;
        for &wide in &form.wide {
            list.add_wide(wide)?;
        }
        list.check_members()?;
        Ok(list)
    }

    /// Returns the member list's epoch: its version number, which grows with each change.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether this is the first member list of a new fleet: no sender owned any shard before it.
    pub const fn is_first(&self) -> bool {
        self.first
    }

    /// Returns the number of owners of each shard.
    pub const fn replicas(&self) -> usize {
        self.replicas
    }

    /// Returns the regions in the order of the member list.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// Returns a digest of all contents that placement depends on, except the epoch.
    /// Lists with the same contents have the same digest, whether received in full or built by applying changes.
    pub fn digest(&self) -> u64 {
        let mut digest = Digest::new(u64::from(SCHEME)).number(self.replicas as u64);
        for region in &self.regions {
            digest = digest.text(&region.name).number(u64::from(region.share));
        }
        digest.number(self.seats.len() as u64).number(self.contents_digest).value()
    }

    /// Returns the number of seats in the member list, filled or vacant.
    pub fn seat_count(&self) -> usize {
        self.seats.len()
    }

    /// Returns the number of filled seats in the member list.
    pub fn member_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns all seats in the order of their numbers.
    pub fn seat_ids(&self) -> impl Iterator<Item = SeatId> + use<> {
        (0..self.seats.len() as u32).map(|seat| SeatId(seat as u16))
    }

    /// Returns the member that fills a seat; `None` if the seat is vacant or does not exist.
    pub fn member(&self, seat: SeatId) -> Option<&Member> {
        self.seats.get(seat.index())?.member.as_ref()
    }

    /// Returns the seat that the member of this name fills.
    pub fn seat_of(&self, name: &str) -> Option<SeatId> {
        let found = self.by_name.binary_search_by(|&seat| self.name_at(seat).cmp(name));
        found.ok().map(|index| self.by_name[index])
    }

    /// Returns the number of shards over which a destination's requests are spread; 1 unless the destination is wide.
    pub fn width(&self, dest: i64) -> u16 {
        self.wide.get(&dest).copied().unwrap_or(1)
    }

    /// Returns the wide destinations with their widths, in ascending order of destination.
    pub fn wide_destinations(&self) -> impl Iterator<Item = (i64, u16)> + '_ {
        self.wide.iter().map(|(&dest, &width)| (dest, width))
    }

    /// Returns the region of a seat. The seat must be in this member list.
    pub fn region(&self, seat: SeatId) -> RegionId {
        self.domains.region(self.zone(seat))
    }

    /// Returns the zone of a seat. The seat must be in this member list.
    pub fn zone(&self, seat: SeatId) -> ZoneId {
        self.domains.zone(self.rack(seat))
    }

    /// Returns the rack of a seat. The seat must be in this member list.
    pub fn rack(&self, seat: SeatId) -> RackId {
        self.seats[seat.index()].rack
    }

    /// Returns the name of a seat's region.
    pub fn region_name(&self, seat: SeatId) -> &str {
        self.regions[self.region(seat).index()].name()
    }

    /// Returns the name of a seat's zone, which is unique within the region.
    pub fn zone_name(&self, seat: SeatId) -> &str {
        self.domains.zone_name(self.zone(seat))
    }

    /// Returns the name of a seat's rack, which is unique within the zone.
    pub fn rack_name(&self, seat: SeatId) -> &str {
        self.domains.rack_name(self.rack(seat))
    }

    /// Returns the weight of a seat. The seat must be in this member list.
    pub fn weight(&self, seat: SeatId) -> Weight {
        self.seats[seat.index()].weight
    }

    /// Checks that the member list `next` may replace this list.
    ///
    /// # Errors
    /// Fails if `next` has an older epoch, or the same epoch but other contents than this member list.
    pub fn check_successor(&self, next: &Self) -> Result<(), ListError> {
        if next.epoch < self.epoch {
            return Err(ListError::StaleEpoch { current: self.epoch, offered: next.epoch });
        }
        if next.epoch == self.epoch && next.digest() != self.digest() {
            return Err(ListError::DifferentList { epoch: self.epoch });
        }
        Ok(())
    }

    /// Returns a copy of this member list with another epoch, to which changes are then applied.
    pub(crate) fn successor(&self, epoch: u64) -> Self {
        Self { epoch, first: false, ..self.clone() }
    }

    /// Checks that each region has at least as many members as each shard has replicas.
    pub(crate) fn check_members(&self) -> Result<(), ListError> {
        let lacking_members = self.regions.iter().find(|region| region.filled < self.replicas);
        lacking_members.map_or(Ok(()), |region| {
            Err(ListError::TooFewMembers {
                region: region.name.to_string(),
                members: region.filled,
                replicas: self.replicas,
            })
        })
    }

    /// Appends a seat to the member list, with its member if the seat's form names one.
    pub(crate) fn append(&mut self, form: &SeatForm) -> Result<(), ListError> {
        check_count("seats", self.seats.len() + 1, MAX_SEATS)?;
        let seat = self.append_vacant(form)?;
        form.member.as_ref().map_or(Ok(()), |member| self.fill(seat, member))
    }

    /// Removes the member from a seat.
    pub(crate) fn vacate(&mut self, seat: SeatId) -> Result<(), ListError> {
        self.check_seat(seat)?;
        let Some(member) = self.member(seat).cloned() else {
            return Err(ListError::SeatVacant { seat: seat.index() });
        };
        if let Ok(index) = self.find_name(&member.name) {
            self.by_name.remove(index);
        }
        if let Ok(index) = self.find_address(member.address) {
            self.by_address.remove(index);
        }
        self.set_member(seat, None);
        Ok(())
    }

    /// Assigns a member to a vacant seat.
    pub(crate) fn fill(&mut self, seat: SeatId, form: &MemberForm) -> Result<(), ListError> {
        self.check_seat(seat)?;
        if let Some(present) = self.member(seat) {
            return Err(ListError::SeatFilled { seat: seat.index(), member: present.name.to_string() });
        }
        let member = checked_member(seat, form)?;
        let name_index = match self.find_name(&member.name) {
            Ok(index) => return Err(duplicate_name(&member, self.by_name[index], seat)),
            Err(index) => index,
        };
        let address_index = match self.find_address(member.address) {
            Ok(index) => return Err(duplicate_address(&member, self.by_address[index], seat)),
            Err(index) => index,
        };
        self.by_name.insert(name_index, seat);
        self.by_address.insert(address_index, seat);
        self.set_member(seat, Some(member));
        Ok(())
    }

    /// Sets a destination's width, which the caller has validated. With width 1 the destination is no longer wide.
    pub(crate) fn set_width(&mut self, dest: i64, width: u16) -> Result<(), ListError> {
        if let Some(before) = self.wide.remove(&dest) {
            self.contents_digest = self.contents_digest.wrapping_sub(wide_digest(dest, before));
        }
        if width > 1 {
            check_count("wide", self.wide.len() + 1, MAX_WIDE_DESTINATIONS)?;
            self.wide.insert(dest, width);
            self.contents_digest = self.contents_digest.wrapping_add(wide_digest(dest, width));
        }
        Ok(())
    }

    fn append_vacant(&mut self, form: &SeatForm) -> Result<SeatId, ListError> {
        let index = self.seats.len();
        check_name(&form.zone, || format!("seats[{index}].zone"))?;
        check_name(&form.rack, || format!("seats[{index}].rack"))?;
        let region = self.regions.iter().position(|region| *region.name == *form.region);
        let Some(region) = region else {
            return Err(ListError::UnknownRegion { seat: index, region: form.region.clone() });
        };
        let Some(weight) = Weight::new(form.weight) else {
            return Err(ListError::Weight { seat: index, weight: form.weight, max: MAX_WEIGHT });
        };
        let rack = self.domains.intern(RegionId(region as u16), &form.zone, &form.rack);
        self.seats.push(Seat { rack, weight, member: None });
        let seat = SeatId(index as u16);
        self.contents_digest = self.contents_digest.wrapping_add(self.seat_digest(seat));
        Ok(seat)
    }

    /// Assigns the members of a full member list and sorts the indices once.
    /// Calling [`Self::fill`] for each member would take quadratic time.
    fn fill_all(&mut self, forms: &[SeatForm]) -> Result<(), ListError> {
        for (seat, form) in self.seat_ids().zip(forms) {
            if let Some(form) = &form.member {
                let member = checked_member(seat, form)?;
                self.set_member(seat, Some(member));
                self.by_name.push(seat);
            }
        }
        let seats = &self.seats;
        let member_at = |seat: &SeatId| seats[seat.index()].member.as_ref();
        self.by_address = self.by_name.clone();
        self.by_name.sort_by_key(|seat| member_at(seat).map(|member| &member.name));
        self.by_address.sort_by_key(|seat| member_at(seat).map(|member| member.address));
        self.check_distinct()
    }

    /// Checks that no two members have the same name or address.
    fn check_distinct(&self) -> Result<(), ListError> {
        for pair in self.by_name.windows(2) {
            if let (Some(first), Some(second)) = (self.member(pair[0]), self.member(pair[1]))
                && first.name == second.name
            {
                return Err(duplicate_name(second, pair[0], pair[1]));
            }
        }
        for pair in self.by_address.windows(2) {
            if let (Some(first), Some(second)) = (self.member(pair[0]), self.member(pair[1]))
                && first.address == second.address
            {
                return Err(duplicate_address(second, pair[0], pair[1]));
            }
        }
        Ok(())
    }

    fn add_wide(&mut self, wide: WideForm) -> Result<(), ListError> {
        let Ok(width @ 2..=MAX_WIDTH) = u16::try_from(wide.width) else {
            return Err(ListError::Width { dest: wide.dest, width: wide.width, max: MAX_WIDTH });
        };
        if self.wide.contains_key(&wide.dest) {
            return Err(ListError::DuplicateWide { dest: wide.dest });
        }
        self.set_width(wide.dest, width)
    }

    fn check_seat(&self, seat: SeatId) -> Result<(), ListError> {
        if seat.index() < self.seats.len() {
            return Ok(());
        }
        Err(ListError::SeatOutOfRange { seat: u64::from(seat.0), seats: self.seats.len() })
    }

    /// Sets the member of a seat, and updates the counts of filled seats and the member list's digest.
    fn set_member(&mut self, seat: SeatId, member: Option<Member>) {
        let region = self.region(seat).index();
        let before = self.seat_digest(seat);
        let was_filled = self.seats[seat.index()].member.is_some();
        let is_filled = member.is_some();
        self.seats[seat.index()].member = member;
        let filled = &mut self.regions[region].filled;
        *filled = *filled + usize::from(is_filled) - usize::from(was_filled);
        self.contents_digest = self.contents_digest.wrapping_sub(before).wrapping_add(self.seat_digest(seat));
    }

    fn seat_digest(&self, seat: SeatId) -> u64 {
        let digest = Digest::new(u64::from(seat.0))
            .number(u64::from(self.region(seat).0))
            .text(self.zone_name(seat))
            .text(self.rack_name(seat))
            .number(u64::from(self.weight(seat).units()));
        match self.member(seat) {
            Some(member) => digest.text(&member.name).text(&member.address.to_string()).value(),
            None => digest.value(),
        }
    }

    fn name_at(&self, seat: SeatId) -> &str {
        self.member(seat).map_or("", Member::name)
    }

    /// Returns the index in `by_name` of the member of this name, or else the index for inserting the member.
    fn find_name(&self, name: &str) -> Result<usize, usize> {
        self.by_name.binary_search_by(|&seat| self.name_at(seat).cmp(name))
    }

    /// Returns the index in `by_address` of the member with this address, or else the index for inserting the member.
    fn find_address(&self, address: SocketAddr) -> Result<usize, usize> {
        self.by_address.binary_search_by_key(&Some(address), |&seat| self.member(seat).map(Member::address))
    }
}

fn wide_digest(dest: i64, width: u16) -> u64 {
    // Distinguishes the digest of a wide destination from that of a seat, which begins with the seat's number instead.
    const WIDE: u64 = u64::MAX;
    Digest::new(WIDE).number(dest as u64).number(u64::from(width)).value()
}

fn check_count(what: &'static str, count: usize, max: usize) -> Result<(), ListError> {
    if count > max { Err(ListError::TooMany { what, count, max }) } else { Ok(()) }
}

fn check_name(name: &str, field: impl FnOnce() -> String) -> Result<(), ListError> {
    if name.trim().is_empty() { Err(ListError::EmptyName { field: field() }) } else { Ok(()) }
}

fn checked_replicas(replicas: u64) -> Result<usize, ListError> {
    let valid = usize::try_from(replicas).ok().filter(|replicas| (1..=MAX_REPLICAS).contains(replicas));
    valid.ok_or(ListError::Replicas { replicas, max: MAX_REPLICAS })
}

fn checked_regions(forms: &[RegionForm]) -> Result<Vec<Region>, ListError> {
    if forms.is_empty() {
        return Err(ListError::NoRegions);
    }
    check_count("regions", forms.len(), MAX_REGIONS)?;
    let mut regions: Vec<Region> = Vec::with_capacity(forms.len());
    for (index, form) in forms.iter().enumerate() {
        check_name(&form.name, || format!("regions[{index}].name"))?;
        if form.share == 0 {
            return Err(ListError::ZeroShare { index, name: form.name.clone() });
        }
        if let Some(first) = regions.iter().position(|region| *region.name == *form.name) {
            return Err(ListError::DuplicateRegion { name: form.name.clone(), first, second: index });
        }
        regions.push(Region { name: form.name.as_str().into(), share: form.share, filled: 0 });
    }
    Ok(regions)
}

fn checked_member(seat: SeatId, form: &MemberForm) -> Result<Member, ListError> {
    check_name(&form.name, || format!("seats[{}].member.name", seat.0))?;
    let address = form.address.parse().ok().filter(|address: &SocketAddr| address.port() != 0);
    let Some(address) = address else {
        return Err(ListError::Address { seat: seat.index(), address: form.address.clone() });
    };
    Ok(Member { name: form.name.as_str().into(), address })
}

fn duplicate_name(member: &Member, first: SeatId, second: SeatId) -> ListError {
    ListError::DuplicateName { name: member.name.to_string(), first: first.index(), second: second.index() }
}

fn duplicate_address(member: &Member, first: SeatId, second: SeatId) -> ListError {
    ListError::DuplicateAddress { address: member.address, first: first.index(), second: second.index() }
}
