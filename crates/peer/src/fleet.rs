//! The member list of the fleet, as configured by the operator.

use crate::member::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of members. A larger fleet would need other time settings for its gossip.
pub const MAX_MEMBERS: usize = 1000;

/// The agreed member list: the datagram address of each member, by name. A majority is more than half of its members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    members: BTreeMap<String, SocketAddr>,
}

/// Why a member list is rejected. The previous list stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// The member list is empty.
    #[error("the fleet's member list is empty; it must contain at least this sender")]
    Empty,
    /// The member list has more than [`MAX_MEMBERS`] members. The value is their number.
    #[error("the fleet's member list has {0} members; the maximum is {MAX_MEMBERS}")]
    TooMany(usize),
    /// A member's name is empty or too long.
    #[error("member name '{0}' is invalid: it must be 1 to {MAX_NAME_BYTES} bytes long")]
    InvalidName(String),
    /// Two members of the list have the same name, which the value contains.
    #[error("the fleet's member list contains '{0}' twice; give each sender a unique name")]
    DuplicateName(String),
    /// Two members of the list have the same address.
    #[error("members '{0}' and '{1}' have the same address; give each member its own address")]
    DuplicateAddress(String, String),
    /// This sender's name is not on the member list.
    #[error("this sender's name '{0}' is not on the fleet's member list; add it there, or correct 'name'")]
    MissingSelf(String),
    /// The new member list adds or removes more than one member. The value is the number of changed members.
    #[error(
        "the new member list differs from the current one by {0} members; add or remove one at a time, so that any \
         majority of one list shares a member with any majority of the other"
    )]
    TooManyChanges(usize),
}

impl Fleet {
    /// Validates a member list and creates the fleet from it.
    ///
    /// # Errors
    /// Returns an error when the list is empty or too long, or when a name or address is invalid or used twice.
    pub fn new(list: impl IntoIterator<Item = (String, SocketAddr)>) -> Result<Fleet, FleetError> {
        let mut members = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (name, address) in list {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(FleetError::InvalidName(name));
            }
            if let Some(other) = addresses.insert(address, name.clone()).filter(|other| *other != name) {
                return Err(FleetError::DuplicateAddress(other, name));
            }
            if members.insert(name.clone(), address).is_some() {
                return Err(FleetError::DuplicateName(name));
            }
        }
        match members.len() {
            0 => Err(FleetError::Empty),
            n if n > MAX_MEMBERS => Err(FleetError::TooMany(n)),
            _ => Ok(Fleet { members }),
        }
    }

    /// Checks that the list `next` may replace this member list on the member `own_name`.
    /// All addresses may change, but at most one name may be added or removed at a time.
    ///
    /// # Errors
    /// Returns an error when more than one member is added or removed, or the member itself is not on the new list.
    pub fn check_change(&self, next: &Fleet, own_name: &str) -> Result<(), FleetError> {
        next.require(own_name)?;
        let removed = self.members.keys().filter(|name| !next.contains(name)).count();
        let added = next.members.keys().filter(|name| !self.contains(name)).count();
        if removed + added > 1 { Err(FleetError::TooManyChanges(removed + added)) } else { Ok(()) }
    }

    pub(crate) fn require(&self, own_name: &str) -> Result<(), FleetError> {
        if self.contains(own_name) { Ok(()) } else { Err(FleetError::MissingSelf(own_name.into())) }
    }

    /// Returns whether the member list has a member of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Returns the number of members on the member list, at least one.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// Returns the smallest number of members that is a majority of the member list.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the names and addresses of all members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.members.iter().map(|(name, address)| (name.as_str(), *address))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(names: &[&str]) -> Result<Fleet, FleetError> {
        let line = |(n, name): (usize, &&str)| (name.to_string(), ([127, 0, 0, 1], 7000 + n as u16).into());
        Fleet::new(names.iter().enumerate().map(line))
    }

    #[test]
    fn an_invalid_list_is_rejected_with_its_error() {
        assert_eq!(fleet(&[]), Err(FleetError::Empty));
        assert_eq!(fleet(&["a", "b", "a"]), Err(FleetError::DuplicateName("a".into())));
        assert_eq!(fleet(&["a", ""]), Err(FleetError::InvalidName("".into())));
        let same = SocketAddr::from(([127, 0, 0, 1], 7000));
        let shared = Fleet::new([("a".to_string(), same), ("b".to_string(), same)]);
        assert_eq!(shared, Err(FleetError::DuplicateAddress("a".into(), "b".into())));
        let many = (0..=MAX_MEMBERS).map(|n| (n.to_string(), ([127, 0, 0, 1], 1000 + n as u16).into()));
        assert_eq!(Fleet::new(many), Err(FleetError::TooMany(MAX_MEMBERS + 1)));
    }

    #[test]
    fn a_list_changes_by_one_member_at_a_time() {
        let (three, four) = (fleet(&["a", "b", "c"]).unwrap(), fleet(&["a", "b", "c", "d"]).unwrap());
        assert_eq!((three.majority(), four.majority()), (2, 3));
        assert_eq!((three.check_change(&four, "a"), four.check_change(&three, "a")), (Ok(()), Ok(())));
        assert_eq!(four.check_change(&three, "d"), Err(FleetError::MissingSelf("d".into())));
        assert_eq!(
            three.check_change(&fleet(&["a", "b", "d"]).unwrap(), "a"),
            Err(FleetError::TooManyChanges(2))
        );
    }
}
