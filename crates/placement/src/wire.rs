//! The JSON forms in which a control agent sends member lists and changes.
//! This module parses and writes the JSON forms; [`MemberList`] validates their contents.

use serde::{Deserialize, Deserializer, Serialize};

use crate::changes::{Change, Changes};
use crate::error::ListError;
use crate::list::{MAX_SEATS, Member, MemberList, SeatId};

/// A full member list in its JSON form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListForm {
    /// Epoch: the version number of the member list, which grows with each change.
    pub epoch: u64,
    /// Number of the placement scheme, see [`crate::SCHEME`].
    pub scheme: u16,
    /// Number of owners of each shard.
    pub replicas: u64,
    /// Whether this is the first member list of a new fleet: no sender owned any shard before it.
    #[serde(default)]
    pub first: bool,
    /// Regions of the fleet, and their shares of the shards.
    pub regions: Vec<RegionForm>,
    /// Seats in the order of their numbers.
    pub seats: Vec<SeatForm>,
    /// Destinations with more traffic than one shard's owners can carry, spread over several shards.
    #[serde(default)]
    pub wide: Vec<WideForm>,
}

/// A region of the member list in its JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionForm {
    /// Name of the region, which no other region of the member list has.
    pub name: String,
    /// The region's share of the shards, relative to the sum of all regions' shares.
    pub share: u32,
}

/// A seat: a numbered place for a member, with a fixed failure domain and weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeatForm {
    /// Name of the seat's region.
    pub region: String,
    /// Name of the seat's zone, unique within the region.
    pub zone: String,
    /// Name of the seat's rack, unique within the zone.
    pub rack: String,
    /// Capacity of the seat relative to a usual machine, which has weight 1.
    pub weight: f64,
    /// The member that fills the seat; `null` if the seat is vacant.
    pub member: Option<MemberForm>,
}

/// A member: a sender process that fills a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberForm {
    /// Name of the member, which no other member of the member list has.
    pub name: String,
    /// IP address and port at which the member accepts forwarded requests.
    pub address: String,
}

/// A wide destination, whose requests are spread over several shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WideForm {
    /// Number of the wide destination.
    pub dest: i64,
    /// Number of shards over which the destination's requests are spread.
    pub width: u64,
}

/// Changes from one epoch to a later one.
/// If the answer has no changes and its two epochs are equal, the member list has not changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangesForm {
    /// Epoch that the changes lead to.
    pub epoch: u64,
    /// Epoch of the member list that the changes apply to.
    pub since: u64,
    /// Changes to the member list, in the order in which they are applied.
    pub changes: Vec<ChangeForm>,
}

/// One change, which is exactly one of: `seat` with `member`, `append`, `wide`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeForm {
    /// Number of the seat that is filled or vacated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seat: Option<u64>,
    /// The member that fills the seat; `Some(None)`, `null` on the wire, vacates it.
    #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "present")]
    pub member: Option<Option<MemberForm>>,
    /// A seat that is appended to the member list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub append: Option<SeatForm>,
    /// A destination whose width changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wide: Option<WideForm>,
}

/// Parses `null` as `Some(None)`, so that it differs from a missing field.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Option<MemberForm>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

/// A control agent's answer to `GET /v1/members?since=EPOCH`.
#[derive(Clone, Debug)]
pub enum AgentAnswer {
    /// The full member list.
    Full(Box<MemberList>),
    /// Changes to the member list of epoch `since`.
    Changes(Changes),
    /// The member list of epoch `since` is still in force.
    Unchanged {
        /// The epoch of the member list in force.
        epoch: u64,
    },
}

impl AgentAnswer {
    /// Parses the JSON text of a control agent's answer.
    ///
    /// # Errors
    /// Fails if the text is neither a full member list, changes nor an epoch, or if a full list is invalid.
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

/// Distinguishes a full member list, which has `seats`, from changes.
#[derive(Deserialize)]
struct AnswerKind {
    seats: Option<serde::de::IgnoredAny>,
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ListError> {
    serde_json::from_slice(bytes).map_err(|error| ListError::Malformed { reason: error.to_string() })
}

impl MemberList {
    /// Parses and validates a full member list.
    ///
    /// # Errors
    /// Fails for JSON of another form, and for each fault that [`MemberList::from_form`] finds.
    pub fn parse_json(bytes: &[u8]) -> Result<Self, ListError> {
        Self::from_form(parse(bytes)?)
    }

    /// Returns the member list in its JSON form.
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

    /// Returns the member list as JSON text.
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
    /// Parses changes. Whether they apply to a member list is checked by [`MemberList::apply`].
    ///
    /// # Errors
    /// Fails for JSON of another form, and for an entry that is not exactly one change.
    pub fn parse_json(bytes: &[u8]) -> Result<Self, ListError> {
        Self::from_form(parse(bytes)?)
    }

    /// Converts changes from their JSON form.
    ///
    /// # Errors
    /// Fails if an entry of `changes` is not exactly one change.
    pub fn from_form(form: ChangesForm) -> Result<Self, ListError> {
        let entries = form.changes.into_iter().enumerate();
        let changes = entries.map(|(index, entry)| checked_change(index, entry)).collect::<Result<_, _>>()?;
        Ok(Self { epoch: form.epoch, since: form.since, changes })
    }

    /// Returns the changes in their JSON form.
    pub fn to_form(&self) -> ChangesForm {
        ChangesForm {
            epoch: self.epoch,
            since: self.since,
            changes: self.changes.iter().map(ChangeForm::from).collect(),
        }
    }

    /// Returns the changes as JSON text.
    pub fn to_json(&self) -> Vec<u8> {
        to_json(&self.to_form())
    }
}

fn checked_change(index: usize, form: ChangeForm) -> Result<Change, ListError> {
    match form {
        ChangeForm { seat: Some(seat), member: Some(member), append: None, wide: None } => {
            let seat = checked_seat(seat)?;
            Ok(member.map_or(Change::Vacate { seat }, |member| Change::Fill { seat, member }))
        }
        ChangeForm { seat: None, member: None, append: Some(seat), wide: None } => Ok(Change::Append(seat)),
        ChangeForm { seat: None, member: None, append: None, wide: Some(wide) } => Ok(Change::SetWidth(wide)),
        _ => Err(ListError::AmbiguousChange { index }),
    }
}

fn checked_seat(seat: u64) -> Result<SeatId, ListError> {
    let valid = u16::try_from(seat).ok().filter(|&seat| usize::from(seat) < MAX_SEATS);
    valid.map(SeatId).ok_or(ListError::SeatOutOfRange { seat, seats: MAX_SEATS })
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

/// Serializes a member list or changes to JSON.
/// Serialization can't fail: JSON can express all values (a weight that is not finite becomes `null`).
fn to_json<T: Serialize>(form: &T) -> Vec<u8> {
    serde_json::to_vec(form).unwrap_or_default()
}
