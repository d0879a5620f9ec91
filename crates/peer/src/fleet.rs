//! The list of members that the operator has agreed on.

use crate::member::NAME_MOST;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Members of a fleet at most: gossip of more would need other times.
pub const MEMBERS_MOST: usize = 1000;

/// The agreed list: by name, where each member's datagrams go. Majorities are counted on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    members: BTreeMap<String, SocketAddr>,
}

/// A list that can't be taken over. The one before it stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// It names nobody.
    #[error("the fleet's list is empty; name at least this sender")]
    Empty,
    /// It names too many.
    #[error("the fleet's list has {0} members, {MEMBERS_MOST} at most")]
    Many(usize),
    /// A name that can't be one.
    #[error("'{0}' is no member's name; 1 to {NAME_MOST} bytes are")]
    Name(String),
    /// A name twice.
    #[error("the fleet's list names '{0}' twice; give each sender a name of its own")]
    Twice(String),
    /// An address twice.
    #[error("'{0}' and '{1}' have the same address")]
    Address(String, String),
    /// The own name is not on it.
    #[error("this sender's name '{0}' is not on the fleet's list; add it, or mend the name")]
    Absent(String),
    /// More than one member came or went.
    #[error(
        "the fleet's list differs from the one in force by {0} members; add or take away one at a time, so that \
         a majority of either holds one of the other"
    )]
    Leap(usize),
}

impl Fleet {
    /// Checks a list.
    ///
    /// # Errors
    /// When it is empty or too long, or a name or an address is wrong or stands twice.
    pub fn new(list: impl IntoIterator<Item = (String, SocketAddr)>) -> Result<Fleet, FleetError> {
        let mut members = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (name, address) in list {
            if name.is_empty() || name.len() > NAME_MOST {
                return Err(FleetError::Name(name));
            }
            if let Some(other) = addresses.insert(address, name.clone()).filter(|other| *other != name) {
                return Err(FleetError::Address(other, name));
            }
            if members.insert(name.clone(), address).is_some() {
                return Err(FleetError::Twice(name));
            }
        }
        match members.len() {
            0 => Err(FleetError::Empty),
            n if n > MEMBERS_MOST => Err(FleetError::Many(n)),
            _ => Ok(Fleet { members }),
        }
    }

    /// Takes over another list. An address may change at any time; a name may come or go only alone.
    ///
    /// # Errors
    /// When more than one member came or went, or the member itself is not on it.
    pub fn change(&self, next: &Fleet, me: &str) -> Result<(), FleetError> {
        next.holds(me)?;
        let gone = self.members.keys().filter(|name| !next.lists(name)).count();
        let new = next.members.keys().filter(|name| !self.lists(name)).count();
        if gone + new > 1 { Err(FleetError::Leap(gone + new)) } else { Ok(()) }
    }

    pub(crate) fn holds(&self, me: &str) -> Result<(), FleetError> {
        if self.lists(me) { Ok(()) } else { Err(FleetError::Absent(me.into())) }
    }

    /// Whether it names such a member.
    pub fn lists(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// How many members it has; never none.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// How many of them are a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Names and addresses, by name.
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
    fn a_wrong_list_says_what_is_wrong() {
        assert_eq!(fleet(&[]), Err(FleetError::Empty));
        assert_eq!(fleet(&["a", "b", "a"]), Err(FleetError::Twice("a".into())));
        assert_eq!(fleet(&["a", ""]), Err(FleetError::Name("".into())));
        let same = SocketAddr::from(([127, 0, 0, 1], 7000));
        let twice = Fleet::new([("a".to_string(), same), ("b".to_string(), same)]);
        assert_eq!(twice, Err(FleetError::Address("a".into(), "b".into())));
        let many = (0..=MEMBERS_MOST).map(|n| (n.to_string(), ([127, 0, 0, 1], 1000 + n as u16).into()));
        assert_eq!(Fleet::new(many), Err(FleetError::Many(MEMBERS_MOST + 1)));
    }

    #[test]
    fn it_changes_by_one_member_at_a_time() {
        let (three, four) = (fleet(&["a", "b", "c"]).unwrap(), fleet(&["a", "b", "c", "d"]).unwrap());
        assert_eq!((three.majority(), four.majority()), (2, 3));
        assert_eq!((three.change(&four, "a"), four.change(&three, "a")), (Ok(()), Ok(())));
        assert_eq!(four.change(&three, "d"), Err(FleetError::Absent("d".into())));
        assert_eq!(three.change(&fleet(&["a", "b", "d"]).unwrap(), "a"), Err(FleetError::Leap(2)));
    }
}
