//! Why a member list, or a change to one, is rejected. Each error names the invalid entry and how to correct it.

/// The reason why a member list, or changes to one, were rejected. The member list in force stays in force.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ListError {
    /// The text is not a JSON member list, list of changes, or answer of a control agent.
    #[error("malformed member list: {reason}: send one of the forms of docs/design/placement.md")]
    Malformed {
        /// The JSON parser's message, with line and column.
        reason: String,
    },
    /// The member list names a placement scheme that this version does not support.
    #[error(
        "scheme is {scheme}, this version supports only {known}: update this program or keep to scheme {known}"
    )]
    UnknownScheme {
        /// Placement scheme that the member list names.
        scheme: u16,
        /// Placement scheme that this version supports.
        known: u16,
    },
    /// The number of replicas per shard is out of range.
    #[error("replicas is {replicas}: must be 1 to {max}, usually 2")]
    Replicas {
        /// Number of replicas per shard in the member list.
        replicas: u64,
        /// Maximum number of replicas per shard.
        max: usize,
    },
    /// The member list has no regions.
    #[error("regions is empty: list at least one region with its share")]
    NoRegions,
    /// The member list has more regions, seats or wide destinations than allowed.
    #[error("{what} has {count} entries, at most {max} are allowed: remove some")]
    TooMany {
        /// Name of the member list's field that has too many entries.
        what: &'static str,
        /// Number of entries in the member list's field that has too many.
        count: usize,
        /// Maximum number of entries that the field may have.
        max: usize,
    },
    /// A name in the member list is empty.
    #[error("{field} is empty: give it a name")]
    EmptyName {
        /// Position of the empty name in the member list, such as `seats[3].rack`.
        field: String,
    },
    /// Two regions have the same name.
    #[error("regions[{second}] repeats the name {name:?} of regions[{first}]: list each region once")]
    DuplicateRegion {
        /// Name that two regions have.
        name: String,
        /// Index of the first region with this name.
        first: usize,
        /// Index of the second region with this name.
        second: usize,
    },
    /// A region has share 0, and so would own no shards.
    #[error("regions[{index}] ({name}) has share 0: set a share of at least 1 or remove the region")]
    ZeroShare {
        /// Index of the region in the member list.
        index: usize,
        /// Name of the invalid region.
        name: String,
    },
    /// A seat is in a region that the member list does not have.
    #[error(
        "seats[{seat}].region is {region:?}, which is not in regions: add the region or correct the seat"
    )]
    UnknownRegion {
        /// Index of the invalid seat in the member list.
        seat: usize,
        /// Name of the region that the seat refers to.
        region: String,
    },
    /// A seat's weight is not a number above 0 and up to the maximum.
    #[error(
        "seats[{seat}].weight is {weight}: must be at least 1/1024 and at most {max}, 1 for a usual machine"
    )]
    Weight {
        /// Index of the invalid seat in the member list.
        seat: usize,
        /// Weight of the seat in the member list.
        weight: f64,
        /// Maximum weight of a seat.
        max: u32,
    },
    /// A member's address is not an IP address with a port.
    #[error("seats[{seat}].member.address is {address:?}: must be an IP address and a port other than 0")]
    Address {
        /// Index of the invalid seat in the member list.
        seat: usize,
        /// Member's address as it stands in the member list.
        address: String,
    },
    /// A member fills two seats.
    #[error(
        "seats[{second}] repeats the member name {name:?} of seats[{first}]: a member fills only one seat, vacate one of them"
    )]
    DuplicateName {
        /// Name of the member that fills two seats.
        name: String,
        /// Index of the first seat with this member name or address.
        first: usize,
        /// Index of the second seat with this member name or address.
        second: usize,
    },
    /// Two members have the same address.
    #[error(
        "seats[{second}] repeats the address {address} of seats[{first}]: give each member its own address"
    )]
    DuplicateAddress {
        /// Address that two members have.
        address: std::net::SocketAddr,
        /// Index of the first seat with this member name or address.
        first: usize,
        /// Index of the second seat with this member name or address.
        second: usize,
    },
    /// A region has fewer filled seats than replicas.
    #[error(
        "region {region} has {members} members for {replicas} replicas: fill seats there or lower replicas"
    )]
    TooFewMembers {
        /// Name of the invalid region.
        region: String,
        /// Number of filled seats in the region.
        members: usize,
        /// Number of replicas that each shard needs.
        replicas: usize,
    },
    /// The width of a wide destination is out of range.
    #[error(
        "wide destination {dest} has width {width}: must be 2 to {max}, or 1 in a change to make it plain again"
    )]
    Width {
        /// Number of the invalid wide destination.
        dest: i64,
        /// Width of the destination in the member list or the change.
        width: u64,
        /// Maximum width of a wide destination.
        max: u16,
    },
    /// A wide destination occurs twice in the member list.
    #[error("wide lists destination {dest} twice: list it once")]
    DuplicateWide {
        /// Number of the invalid wide destination.
        dest: i64,
    },
    /// The received member list is older than the member list in force.
    #[error("epoch {offered} is older than epoch {current} in force: send an epoch above {current}")]
    StaleEpoch {
        /// Epoch of the member list in force.
        current: u64,
        /// Epoch of the rejected member list.
        offered: u64,
    },
    /// The received member list has the epoch in force, but its contents differ from the member list in force.
    #[error("epoch {epoch} is already in force with another list: raise the epoch with each change")]
    DifferentList {
        /// Epoch of the member list in force and of the rejected member list.
        epoch: u64,
    },
    /// The changes do not begin at the epoch in force.
    #[error("changes since epoch {since} do not apply to epoch {current} in force: send the full list")]
    SinceMismatch {
        /// Epoch of the member list in force; 0 before the first member list.
        current: u64,
        /// Epoch that the changes begin at.
        since: u64,
    },
    /// The changes do not lead to a later epoch than the epoch at which the changes begin.
    #[error("changes since epoch {since} lead to epoch {epoch}: raise the epoch with each change")]
    EpochNotRaised {
        /// Epoch that the changes begin at.
        since: u64,
        /// Epoch that the changes lead to.
        epoch: u64,
    },
    /// A change names a seat that the member list does not have.
    #[error("seat {seat} does not exist, the list has {seats} seats: append it or correct the number")]
    SeatOutOfRange {
        /// Number of the seat that the change names.
        seat: u64,
        /// Number of seats that the member list has.
        seats: usize,
    },
    /// A change fills a seat that has a member.
    #[error("seat {seat} is filled by {member}: vacate it first")]
    SeatFilled {
        /// Number of the seat that the change names.
        seat: usize,
        /// The member that already fills the seat.
        member: String,
    },
    /// A change vacates a seat that has no member.
    #[error("seat {seat} is vacant already: correct the number")]
    SeatVacant {
        /// Number of the seat that the change names.
        seat: usize,
    },
    /// An entry of `changes` contains no known change, or several changes.
    #[error("changes[{index}] is not exactly one change: give either seat with member, or append, or wide")]
    AmbiguousChange {
        /// Index of the invalid entry in `changes`.
        index: usize,
    },
}
