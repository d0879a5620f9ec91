//! Endpoint lists from discovery, and changes to endpoint lists.

use crate::nesting::Nesting;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fmt;

/// An endpoint list, or changes to an endpoint list, as discovery sends it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listing {
    /// The version of the endpoint list.
    pub index: u64,
    /// Whether the listing is a complete endpoint list; otherwise the listing contains changes to one.
    #[serde(default)]
    pub snapshot: bool,
    /// All entries of a complete endpoint list, or the changed entries.
    #[serde(default)]
    pub endpoints: Vec<ListedEndpoint>,
}

impl Listing {
    /// Parses one listing.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid listing.
    /// A complete endpoint list that names an endpoint twice is an error: it is unclear which entry is valid.
    /// Among changes that name an endpoint twice, the later entry is valid.
    pub fn read(text: &[u8]) -> Result<Self, ListingError> {
        let listing: Listing = serde_json::from_slice(text).map_err(ListingError::InvalidListing)?;
        check_unique_names(listing)
    }
}

/// Returns the listing, or an error if the listing is complete and names an endpoint twice.
pub(crate) fn check_unique_names(listing: Listing) -> Result<Listing, ListingError> {
    let mut names = HashSet::new();
    let mut entries = listing.endpoints.iter();
    let duplicate = entries.find(|entry| listing.snapshot && !names.insert(&*entry.name));
    match duplicate {
        Some(entry) => Err(ListingError::DuplicateName(entry.name.clone())),
        None => Ok(listing),
    }
}

/// An endpoint in a listing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// The endpoint's name, which is the same at every sender.
    pub name: String,
    /// The address at which this sender reaches the endpoint.
    #[serde(default)]
    pub address: String,
    /// The name of the endpoint's zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the destination's kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The number of the endpoint's destination.
    #[serde(default)]
    pub group: i64,
    /// The endpoint's status: `Ready`, `Terminating` or `Gone`. Any other text counts as `Terminating`.
    pub status: String,
    /// The calls a second that the destination accepts from all senders together, if discovery reports it.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Reads listings from a stream whose bytes arrive in arbitrary pieces.
/// The stream is a sequence of JSON objects, each on one line or indented over several lines.
/// White space separates the objects, such as the empty lines that discovery sends as heartbeats.
#[derive(Debug, Default)]
pub struct ListingReader {
    buffer: Vec<u8>,
    /// Number of white-space bytes after the last listing that have been removed from the buffer.
    dropped_bytes: usize,
    /// Number of bytes of the buffer that have been scanned; `nesting` is the state after the scanned bytes.
    scanned_bytes: usize,
    nesting: Nesting,
}

/// Counts the endpoint entries that begin in the text of a listing, which may be incomplete.
pub fn endpoints_started(text: &[u8]) -> usize {
    /// JSON nesting depth of an endpoint entry, which is an object in an array in the listing's object.
    const ENDPOINT_DEPTH: usize = 3;
    let (mut depth, mut in_string, mut escaped, mut endpoints) = (0_usize, false, false, 0);
    for byte in text {
        if in_string {
            (in_string, escaped) = (escaped || *byte != b'"', !escaped && *byte == b'\\');
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        endpoints += usize::from(*byte == b'{' && depth == ENDPOINT_DEPTH);
    }
    endpoints
}

/// An error in a stream of listings. Nothing that follows the error can be parsed.
#[derive(Debug)]
pub enum ListingError {
    /// Byte that does not begin a listing, and its position after the last listing, counted from 1.
    UnexpectedByte(u8, usize),
    /// A JSON object in the stream is not a valid listing.
    InvalidListing(serde_json::Error),
    /// Number of an invalid endpoint entry, counted from 0, and the error in the entry.
    InvalidEntry(usize, serde_json::Error),
    /// Byte that is not valid in the array of entries, and the number of entries before it.
    /// A valid byte is white space, a comma, the start of an entry or the bracket that closes the array.
    UnexpectedByteInList(u8, usize),
    /// Name of an endpoint that a complete list names twice.
    DuplicateName(String),
}

impl fmt::Display for ListingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListingError::UnexpectedByte(byte, at) => {
                write!(f, "byte {at} after the last list is {byte:#04x}, expected '{{'")
            }
            ListingError::InvalidListing(e) => write!(f, "malformed list: {e}"),
            ListingError::InvalidEntry(number, e) => write!(f, "malformed entry {number} in a list: {e}"),
            ListingError::UnexpectedByteInList(byte, count) => {
                write!(
                    f,
                    "unexpected byte {byte:#04x} after {count} entries of a list, expected ',', an entry or ']'"
                )
            }
            ListingError::DuplicateName(name) => write!(f, "complete list names '{name}' twice"),
        }
    }
}

impl std::error::Error for ListingError {}

impl ListingReader {
    /// Appends bytes that have been read from the stream.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes of an incomplete listing.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether a listing has begun and is incomplete.
    pub fn is_partial(&self) -> bool {
        self.nesting.depth() > 0
    }

    /// Counts the endpoints that begin in the buffered part of an incomplete listing.
    pub fn endpoints_started(&self) -> usize {
        endpoints_started(&self.buffer)
    }

    /// Returns the next complete listing, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns the first error in the stream of listings.
    pub fn next_listing(&mut self) -> Result<Option<Listing>, ListingError> {
        while let Some(byte) = self.buffer.get(self.scanned_bytes).copied() {
            self.scanned_bytes += 1;
            if self.nesting.depth() == 0 && byte != b'{' && !byte.is_ascii_whitespace() {
                return Err(ListingError::UnexpectedByte(byte, self.dropped_bytes + self.scanned_bytes));
            }
            self.nesting.advance(byte);
            if self.nesting.depth() == 0 && !byte.is_ascii_whitespace() {
                let object: Vec<u8> = self.buffer.drain(..self.scanned_bytes).collect();
                (self.scanned_bytes, self.dropped_bytes) = (0, 0);
                return Listing::read(&object).map(Some);
            }
        }
        if self.nesting.depth() == 0 {
            self.dropped_bytes += self.scanned_bytes;
            self.buffer.clear();
            self.scanned_bytes = 0;
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the versions of all listings in a text that arrives in pieces of the given size.
    fn versions(text: &str, piece_size: usize) -> Result<Vec<u64>, ListingError> {
        let (mut listings, mut found) = (ListingReader::default(), Vec::new());
        for bytes in text.as_bytes().chunks(piece_size) {
            listings.extend(bytes);
            while let Some(listing) = listings.next_listing()? {
                found.push(listing.index);
            }
        }
        Ok(found)
    }

    #[test]
    fn indented_listings_and_listings_split_at_any_byte_are_read() {
        let line = |name: &str| serde_json::json!({"name": name, "status": "Ready"});
        let odd = [line("a}]{\"\\"), line("b\n\\\"{")];
        let plain = serde_json::json!({"index": 7, "snapshot": true, "endpoints": odd});
        let indented = serde_json::to_string_pretty(&plain).unwrap().replace("7", "8");
        let text = format!("\n{plain}\n\n \r\n{indented}\n{{\"index\":9}}{{\"index\":10}}\n");
        for size in 1..=text.len() {
            assert_eq!(versions(&text, size).unwrap(), [7, 8, 9, 10], "in pieces of {size}");
        }
    }

    #[test]
    fn endpoints_are_counted_in_an_incomplete_text() {
        let odd =
            [r#"{"name":"a}]{\"\\","tags":{"x":[{}]},"status":"Ready"}"#, r#"{"name":"{[","status":"Gone"}"#];
        let text = format!(r#"{{"index":7, "of":{{}}, "endpoints":[ {}, {} ]}}"#, odd[0], odd[1]);
        let (first, second) = (text.find(odd[0]).unwrap(), text.find(odd[1]).unwrap());
        for end in 0..=text.len() {
            let begun = usize::from(end > first) + usize::from(end > second);
            assert_eq!(endpoints_started(&text.as_bytes()[..end]), begun, "cut at {end}");
        }
    }

    #[test]
    fn errors_name_their_position_and_the_buffer_is_released() {
        let error = versions("{\"index\":1}\n  x", 4).unwrap_err();
        assert_eq!(error.to_string(), "byte 4 after the last list is 0x78, expected '{'");
        for wrong in ["{\"index\":null}", "{\"index\":1,\"endpoints\":[{\"status\":3}]}", "{]"] {
            assert!(matches!(versions(wrong, 3), Err(ListingError::InvalidListing(_))), "{wrong}");
        }
        assert!(matches!(versions("[1]", 1), Err(ListingError::UnexpectedByte(b'[', 1))));
        let twice = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"Ready"},{"name":"a","status":"Gone"}]}"#;
        assert_eq!(versions(twice, 9).unwrap_err().to_string(), "complete list names 'a' twice");
        assert_eq!(
            versions(&twice.replace("true", "false"), 9).unwrap(),
            [1],
            "one endpoint may change twice"
        );
        let mut listings = ListingReader::default();
        listings.extend(b"\n\n{\"ind");
        assert!(listings.next_listing().unwrap().is_none() && listings.is_partial());
        listings.extend(b"ex\":3}\n\n");
        assert!(listings.next_listing().unwrap().is_some() && listings.next_listing().unwrap().is_none());
        assert!(!listings.is_partial() && listings.buffered_bytes() == 0);
    }
}
