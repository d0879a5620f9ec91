//! The simulated environment of random fault sequences: member lists by epoch, and tables that all senders share.

use embershore_placement::wire::{ListForm, MemberForm, RegionForm, SeatForm, WideForm};
use embershore_placement::{Change, Changes, MemberList, Placement, PlacementSource, SeatId, sub_shard};
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;

use crate::tables::SharedTables;

/// Number of destinations in the simulated environment.
pub const DESTINATIONS: usize = 6;
/// Number of members that fill no seat in the member list of the first epoch.
const SPARE_MEMBERS: usize = 3;
/// Number of member-list epochs after the first epoch.
const LATER_EPOCHS: usize = 8;
const MAX_WIDTH: u16 = 8;
/// Distance between the destination numbers of successive environments, so that no two use the same destinations.
const DEST_STRIDE: i64 = 7_919;

/// The member lists of epochs 1 and later, the changes between them, and the destinations.
pub struct World {
    pub lists: Vec<MemberList>,
    /// The changes that lead to each member list; `None` for the first list and for lists that must be sent in full.
    pub changes: Vec<Option<Changes>>,
    pub dests: Vec<i64>,
    pub members: usize,
    pub regions: usize,
    pub tables: SharedTables,
}

/// Returns the name of the simulated member with this index.
pub fn member_name(number: usize) -> String {
    format!("n{number}")
}

/// Returns the index of the simulated member with this name.
pub fn member_number(name: &str) -> usize {
    name[1..].parse().expect("the name was made by member_name")
}

fn member_form(number: usize) -> MemberForm {
    MemberForm { name: member_name(number), address: format!("127.0.0.1:{}", 7_000 + number) }
}

impl World {
    pub fn generate(number: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(number);
        let form = first_form(&mut rng, number);
        let seats = form.seats.len();
        let dests: Vec<i64> =
            (0..DESTINATIONS as i64).map(|dest| dest + number as i64 * DEST_STRIDE).collect();
        let parts = dests.iter().flat_map(|&dest| (0..MAX_WIDTH).map(move |part| sub_shard(dest, part)));
        let mut world = World {
            regions: form.regions.len(),
            lists: vec![MemberList::from_form(form).expect("the list is valid")],
            changes: vec![None],
            tables: SharedTables::new(Some(parts.collect())),
            dests,
            members: seats + SPARE_MEMBERS,
        };
        world.add_epochs(&mut rng, number);
        world
    }

    /// Returns the member list of an epoch.
    pub fn list(&self, epoch: u64) -> &MemberList {
        &self.lists[epoch as usize - 1]
    }

    /// Returns all changes between two epochs, in order; `None` if one of the member lists can only be sent in full.
    pub fn changes_between(&self, since: u64, epoch: u64) -> Option<Changes> {
        let steps = &self.changes[since as usize..epoch as usize];
        let all: Option<Vec<Vec<Change>>> =
            steps.iter().map(|step| step.as_ref().map(|changes| changes.changes.clone())).collect();
        all.map(|all| Changes { epoch, since, changes: all.concat() })
    }

    /// Returns a member list of the given epoch with contents other than the epoch's genuine member list.
    pub fn conflicting_list(&self, epoch: u64) -> MemberList {
        let mut form = self.list(epoch).to_form();
        form.seats[0].weight += 1.0;
        MemberList::from_form(form).expect("the list is valid")
    }

    fn add_epochs(&mut self, rng: &mut ChaCha8Rng, number: u64) {
        let mut before = (&self.tables).build(self.lists[0].clone());
        let full_list_at = (number.is_multiple_of(3)).then(|| rng.random_range(1..=LATER_EPOCHS));
        for step in 1..=LATER_EPOCHS {
            if full_list_at == Some(step)
                && let Some(list) = with_other_replicas(before.list())
            {
                before = (&self.tables).build(list.clone());
                self.lists.push(list);
                self.changes.push(None);
                continue;
            }
            let changes = self.random_changes(rng, &before);
            before =
                (&self.tables).apply(&before, &changes).expect("random_changes has checked that they apply");
            self.lists.push(before.list().clone());
            self.changes.push(Some(changes));
        }
    }

    /// Returns one to three random changes that apply to the member list of `before`.
    fn random_changes(&self, rng: &mut ChaCha8Rng, before: &Placement) -> Changes {
        let since = before.list().epoch();
        let mut changes = Changes { epoch: since + 1, since, changes: Vec::new() };
        let wanted = rng.random_range(1..=3);
        while changes.changes.len() < wanted {
            let present = before.list().apply(&changes).unwrap_or_else(|_| before.list().clone());
            let Some(change) = self.random_change(rng, before, &present) else { continue };
            changes.changes.push(change);
            if before.list().apply(&changes).is_err() {
                changes.changes.pop();
            }
        }
        changes
    }

    fn random_change(
        &self,
        rng: &mut ChaCha8Rng,
        before: &Placement,
        present: &MemberList,
    ) -> Option<Change> {
        let spare = (0..self.members).filter(|&member| present.seat_of(&member_name(member)).is_none());
        let spare = spare.choose(rng).map(member_form);
        match rng.random_range(0..10) {
            0..4 => {
                let dest = *self.dests.choose(rng)?;
                let seat = *before.owners(sub_shard(dest, 0)).choose(rng)?;
                Some(Change::Vacate { seat })
            }
            4..7 => {
                let vacant = present.seat_ids().filter(|&seat| present.member(seat).is_none());
                Some(Change::Fill { seat: vacant.choose(rng)?, member: spare? })
            }
            7..9 => {
                let like = SeatId(rng.random_range(0..present.seat_count()) as u16);
                let mut form = present.to_form().seats.swap_remove(like.index());
                form.rack = format!("new{}", present.seat_count());
                Some(Change::Append(SeatForm { member: spare, ..form }))
            }
            _ => {
                let width = rng.random_range(1..=u64::from(MAX_WIDTH));
                Some(Change::SetWidth(WideForm { dest: *self.dests.choose(rng)?, width }))
            }
        }
    }
}

fn first_form(rng: &mut ChaCha8Rng, number: u64) -> ListForm {
    let regions = rng.random_range(1..=2);
    let zones = rng.random_range(2..=3);
    let seats = if number.is_multiple_of(4) { rng.random_range(3..=6) } else { rng.random_range(6..=40) };
    let seats = if regions == 2 { seats.max(6) } else { seats };
    let seat = |index: usize| SeatForm {
        region: format!("r{}", index % regions),
        zone: format!("z{}", index / regions % zones),
        rack: format!("k{}", index / 6),
        weight: 1.0,
        member: Some(member_form(index)),
    };
    ListForm {
        epoch: 1,
        scheme: 1,
        replicas: if number % 5 == 4 { 3 } else { 2 },
        first: number % 4 != 1,
        regions: (0..regions).map(|region| RegionForm { name: format!("r{region}"), share: 1 }).collect(),
        seats: (0..seats).map(seat).collect(),
        wide: Vec::new(),
    }
}

/// Returns the member list of the next epoch with one replica more or less; `None` if such a list would be invalid.
fn with_other_replicas(list: &MemberList) -> Option<MemberList> {
    let mut form = list.to_form();
    form.epoch += 1;
    form.first = false;
    form.replicas = if form.replicas == 2 { 3 } else { 2 };
    MemberList::from_form(form).ok()
}
