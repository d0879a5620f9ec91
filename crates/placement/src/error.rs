//! Why a member list or a change to one is refused: each error names the place and what mends it.

/// A member list, or changes to one, that were refused. The list in force stays in force.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ListError {
    /// Not JSON of the expected form.
    #[error("member list is not readable: {reason}: send one of the forms of docs/design/placement.md")]
    Malformed {
        /// The parser's words, with line and column.
        reason: String,
    },
    /// A scheme that this version doesn't know.
    #[error(
        "scheme is {scheme}, this version knows only {known}: update this program or keep to scheme {known}"
    )]
    UnknownScheme {
        /// The scheme that was asked for.
        scheme: u16,
        /// The scheme that this version knows.
        known: u16,
    },
    /// Number of replicas out of range.
    #[error("replicas is {replicas}: give 1 to {max}, usually 2")]
    Replicas {
        /// The number that was given.
        replicas: u64,
        /// The greatest that is allowed.
        max: usize,
    },
    /// A list without regions.
    #[error("regions is empty: name at least one region with its share")]
    NoRegions,
    /// More regions, seats or wide destinations than a list can hold.
    #[error("{what} has {count} entries, at most {max} are allowed: shorten it")]
    TooMany {
        /// Which part of the list.
        what: &'static str,
        /// How many entries it has.
        count: usize,
        /// The bound.
        max: usize,
    },
    /// A name that is empty.
    #[error("{place} is empty: give it a name")]
    EmptyName {
        /// The field, such as `seats[3].rack`.
        place: String,
    },
    /// A region named twice.
    #[error("regions[{second}] repeats the name {name:?} of regions[{first}]: name each region once")]
    DuplicateRegion {
        /// The name.
        name: String,
        /// Index where it stood first.
        first: usize,
        /// Index where it stood again.
        second: usize,
    },
    /// A region that owns no part of the destinations.
    #[error("regions[{index}] ({name}) has share 0: give a share of at least 1 or take the region out")]
    ZeroShare {
        /// Index of the region.
        index: usize,
        /// Its name.
        name: String,
    },
    /// A seat in a region that the list doesn't have.
    #[error(
        "seats[{seat}].region is {region:?}, which regions does not name: add the region or correct the seat"
    )]
    UnknownRegion {
        /// Index of the seat.
        seat: usize,
        /// The region's name.
        region: String,
    },
    /// A weight that is not a number above 0 and up to the bound.
    #[error(
        "seats[{seat}].weight is {weight}: give a number of at least 1/1024 and at most {max}, 1 for a usual machine"
    )]
    Weight {
        /// Index of the seat.
        seat: usize,
        /// The weight as it was given.
        weight: f64,
        /// The greatest that is allowed.
        max: u32,
    },
    /// A member's address that is not an IP address and a port.
    #[error("seats[{seat}].member.address is {address:?}: give an IP address and a port other than 0")]
    Address {
        /// Index of the seat.
        seat: usize,
        /// The address as it was given.
        address: String,
    },
    /// A member that fills two seats.
    #[error(
        "seats[{second}] repeats the member name {name:?} of seats[{first}]: one seat a member, vacate one of them"
    )]
    DuplicateName {
        /// The member's name.
        name: String,
        /// Index of the seat that has it.
        first: usize,
        /// Index of the seat that was to have it as well.
        second: usize,
    },
    /// An address that two members have.
    #[error("seats[{second}] repeats the address {address} of seats[{first}]: give each member its own")]
    DuplicateAddress {
        /// The address.
        address: std::net::SocketAddr,
        /// Index of the seat that has it.
        first: usize,
        /// Index of the seat that was to have it as well.
        second: usize,
    },
    /// A region with fewer filled seats than replicas.
    #[error(
        "region {region} has {members} members for {replicas} replicas: fill seats there or lower replicas"
    )]
    TooFewMembers {
        /// Name of the region.
        region: String,
        /// Its filled seats.
        members: usize,
        /// Replicas that each shard needs.
        replicas: usize,
    },
    /// A width out of range.
    #[error(
        "wide destination {dest} has width {width}: give 2 to {max}, or 1 in a change to make it plain again"
    )]
    Width {
        /// The destination.
        dest: i64,
        /// The width that was given.
        width: u64,
        /// The greatest that is allowed.
        max: u16,
    },
    /// A wide destination listed twice.
    #[error("wide lists destination {dest} twice: list it once")]
    DuplicateWide {
        /// The destination.
        dest: i64,
    },
    /// A list that is older than the one in force.
    #[error("epoch {offered} is older than epoch {current} in force: send an epoch above {current}")]
    StaleEpoch {
        /// Epoch in force.
        current: u64,
        /// Epoch that was offered.
        offered: u64,
    },
    /// Another list under the number in force.
    #[error("epoch {epoch} is in force with another list: raise the epoch with each change")]
    DifferentList {
        /// The epoch.
        epoch: u64,
    },
    /// Changes that don't begin at the epoch in force.
    #[error("changes since epoch {since} do not fit epoch {current} in force: send the whole list")]
    SinceMismatch {
        /// Epoch in force.
        current: u64,
        /// Epoch that the changes begin at.
        since: u64,
    },
    /// Changes under the epoch that they begin at.
    #[error("changes since epoch {since} lead to epoch {epoch}: raise the epoch with each change")]
    EpochNotRaised {
        /// Epoch that the changes begin at.
        since: u64,
        /// Epoch that they lead to.
        epoch: u64,
    },
    /// A seat that the list doesn't have.
    #[error("seat {seat} does not exist, the list has {seats}: append it or correct the number")]
    SeatOutOfRange {
        /// Number that was given.
        seat: u64,
        /// Seats of the list.
        seats: usize,
    },
    /// A seat to be filled that has a member.
    #[error("seat {seat} is filled by {member}: vacate it first")]
    SeatFilled {
        /// The seat.
        seat: usize,
        /// The member that has it.
        member: String,
    },
    /// A seat to be vacated that has no member.
    #[error("seat {seat} is vacant already: correct the number")]
    SeatVacant {
        /// The seat.
        seat: usize,
    },
    /// An entry of `changes` that is none of the known ones, or several at once.
    #[error("changes[{index}] is not one change: give either seat with member, or append, or wide")]
    AmbiguousChange {
        /// Index of the entry.
        index: usize,
    },
}
