//! The JSON forms in which a control agent tells members, as they stand on the wire: read and written here, checked by
//! [`MemberList`].

use serde::{Deserialize, Deserializer, Serialize};

use crate::changes::{Change, Changes};
use crate::error::ListError;
use crate::list::{MAX_SEATS, Member, MemberList, SeatId};

/// A whole member list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListForm {
    /// Number of the list; grows with each change.
    pub epoch: u64,
    /// Scheme of placement, see [`crate::SCHEME`].
    pub scheme: u16,
    /// Owners of each shard.
    pub replicas: u64,
    /// Whether this is a new fleet's first list, before which nobody owned anything.
    #[serde(default)]
    pub first: bool,
    /// Regions and their shares of the shards.
    pub regions: Vec<RegionForm>,
    /// Seats in the order of their numbers.
    pub seats: Vec<SeatForm>,
    /// Destinations with more traffic than one owner takes.
    #[serde(default)]
    pub wide: Vec<WideForm>,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionForm {
    /// Name of the region.
    pub name: String,
    /// Its part of the shards, relative to the sum of all shares.
    pub share: u32,
}

/// A seat: a numbered place for a member, with a fixed failure domain and weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeatForm {
    /// Name of the region.
    pub region: String,
    /// Name of the zone, within the region.
    pub zone: String,
    /// Name of the rack, within the zone.
    pub rack: String,
    /// Capacity relative to a usual machine's 1.
    pub weight: f64,
    /// Who fills the seat, if anybody does.
    pub member: Option<MemberForm>,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberForm {
    /// Name of the member, one in the whole list.
    pub name: String,
    /// Where it takes forwarded requests: IP address and port.
    pub address: String,
}

/// A wide destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WideForm {
    /// The destination.
    pub dest: i64,
    /// Number of shards over which its requests are spread.
    pub width: u64,
}

/// Changes from one epoch to a later one; without entries: nothing new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangesForm {
    /// Epoch that the changes lead to.
    pub epoch: u64,
    /// Epoch that they begin at.
    pub since: u64,
    /// The changes, in order.
    pub changes: Vec<ChangeForm>,
}

/// One change: either `seat` with `member`, or `append`, or `wide`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeForm {
    /// Number of the seat that is filled or vacated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seat: Option<u64>,
    /// Who fills the seat; `Some(None)`, on the wire `null`, vacates it.
    #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "present")]
    pub member: Option<Option<MemberForm>>,
    /// A seat that is added behind the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub append: Option<SeatForm>,
    /// A destination whose width changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wide: Option<WideForm>,
}

/// Keeps `null` apart from a field that is missing.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Option<MemberForm>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

/// What a control agent answers to `GET /v1/members?since=EPOCH`.
#[derive(Clone, Debug)]
pub enum AgentAnswer {
    /// The whole list.
    Full(Box<MemberList>),
    /// Changes to the list that was asked from.
    Changes(Changes),
    /// The list that was asked from is in force still.
    Unchanged {
        /// Its epoch.
        epoch: u64,
    },
}

impl AgentAnswer {
    /// Reads an answer.
    ///
    /// # Errors
    /// Anything that isn't one of the three forms, and a whole list that doesn't hold.
    pub fn parse_json(bytes: &[u8]) -> Result<Self, ListError> {
        let kind: AnswerKind = parse(bytes)?;
        if kind.seats.is_some() {
            return MemberList::parse_json(bytes).map(|list| Self::Full(Box::new(list)));
        }
        let changes = Changes::parse_json(bytes)?;
        if changes.changes.is_empty() && changes.epoch == changes.since {
            return Ok(Self::Unchanged { epoch: changes.epoch });
        }
        Ok(Self::Changes(changes))
    }
}

/// Tells the forms of an answer apart.
#[derive(Deserialize)]
struct AnswerKind {
    seats: Option<serde::de::IgnoredAny>,
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ListError> {
    serde_json::from_slice(bytes).map_err(|error| ListError::Malformed { reason: error.to_string() })
}

impl MemberList {
    /// Reads a whole list from JSON.
    ///
    /// # Errors
    /// JSON of another form, and each fault that [`MemberList::from_form`] finds.
    pub fn parse_json(bytes: &[u8]) -> Result<Self, ListError> {
        Self::from_form(parse(bytes)?)
    }

    /// The list as it goes over the wire.
    pub fn to_form(&self) -> ListForm {
        ListForm {
            epoch: self.epoch(),
            scheme: crate::SCHEME,
            replicas: self.replicas() as u64,
            first: self.is_first(),
            regions: self
                .regions()
                .iter()
                .map(|region| RegionForm { name: region.name().to_owned(), share: region.share() })
                .collect(),
            seats: self.seat_ids().map(|seat| self.seat_form(seat)).collect(),
            wide: self
                .wide_destinations()
                .map(|(dest, width)| WideForm { dest, width: u64::from(width) })
                .collect(),
        }
    }

    /// The list in JSON.
    pub fn to_json(&self) -> Vec<u8> {
        to_json(&self.to_form())
    }

    fn seat_form(&self, seat: SeatId) -> SeatForm {
        SeatForm {
            region: self.region_name(seat).to_owned(),
            zone: self.zone_name(seat).to_owned(),
            rack: self.rack_name(seat).to_owned(),
            weight: self.weight(seat).as_f64(),
            member: self.member(seat).map(MemberForm::from),
        }
    }
}

impl From<&Member> for MemberForm {
    fn from(member: &Member) -> Self {
        Self { name: member.name().to_owned(), address: member.address().to_string() }
    }
}

impl Changes {
    /// Reads changes from JSON. Whether they fit a list is found out by [`MemberList::apply`].
    ///
    /// # Errors
    /// JSON of another form, and an entry that isn't exactly one change.
    pub fn parse_json(bytes: &[u8]) -> Result<Self, ListError> {
        Self::from_form(parse(bytes)?)
    }

    /// Takes changes over from their form on the wire.
    ///
    /// # Errors
    /// An entry that isn't exactly one change.
    pub fn from_form(form: ChangesForm) -> Result<Self, ListError> {
        let entries = form.changes.into_iter().enumerate();
        let changes = entries.map(|(index, entry)| change(index, entry)).collect::<Result<_, _>>()?;
        Ok(Self { epoch: form.epoch, since: form.since, changes })
    }

    /// The changes as they go over the wire.
    pub fn to_form(&self) -> ChangesForm {
        ChangesForm {
            epoch: self.epoch,
            since: self.since,
            changes: self.changes.iter().map(ChangeForm::from).collect(),
        }
    }

    /// The changes in JSON.
    pub fn to_json(&self) -> Vec<u8> {
        to_json(&self.to_form())
    }
}

fn change(index: usize, form: ChangeForm) -> Result<Change, ListError> {
    match form {
        ChangeForm { seat: Some(seat), member: Some(member), append: None, wide: None } => {
            let seat = seat_id(seat)?;
            Ok(member.map_or(Change::Vacate { seat }, |member| Change::Fill { seat, member }))
        }
        ChangeForm { seat: None, member: None, append: Some(seat), wide: None } => Ok(Change::Append(seat)),
        ChangeForm { seat: None, member: None, append: None, wide: Some(wide) } => Ok(Change::SetWidth(wide)),
        _ => Err(ListError::AmbiguousChange { index }),
    }
}

fn seat_id(seat: u64) -> Result<SeatId, ListError> {
    let within = u16::try_from(seat).ok().filter(|&seat| usize::from(seat) < MAX_SEATS);
    within.map(SeatId).ok_or(ListError::SeatOutOfRange { seat, seats: MAX_SEATS })
}

impl From<&Change> for ChangeForm {
    fn from(change: &Change) -> Self {
        match change {
            Change::Vacate { seat } => {
                Self { seat: Some(u64::from(seat.0)), member: Some(None), ..Self::default() }
            }
            Change::Fill { seat, member } => {
                Self { seat: Some(u64::from(seat.0)), member: Some(Some(member.clone())), ..Self::default() }
            }
            Change::Append(seat) => Self { append: Some(seat.clone()), ..Self::default() },
            Change::SetWidth(wide) => Self { wide: Some(*wide), ..Self::default() },
        }
    }
}

/// The forms hold nothing that JSON can't (a weight that isn't finite becomes `null`), so that writing doesn't fail.
fn to_json<T: Serialize>(form: &T) -> Vec<u8> {
    serde_json::to_vec(form).unwrap_or_default()
}
