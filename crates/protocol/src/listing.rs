//! The directory's lines: endpoints, and changes to them.

use crate::nesting::Nesting;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fmt;

/// A list, or changes to it, as discovery tells them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listing {
    /// The list's version.
    pub index: u64,
    /// It is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The whole list's lines, or those that have changed.
    #[serde(default)]
    pub endpoints: Vec<ListedEndpoint>,
}

impl Listing {
    /// Reads one that is whole.
    ///
    /// # Errors
    /// Names what is wrong in it. A whole list that names an endpoint twice says nothing certain of it; among changes the
    /// later one holds.
    pub fn read(text: &[u8]) -> Result<Self, ListingError> {
        let list: Listing = serde_json::from_slice(text).map_err(ListingError::InvalidListing)?;
        unique_names(list)
    }
}

/// The list, unless it is a whole one that has a name twice.
pub(crate) fn unique_names(list: Listing) -> Result<Listing, ListingError> {
    let mut names = HashSet::new();
    let twice = list.endpoints.iter().find(|line| list.snapshot && !names.insert(&*line.name));
    match twice {
        Some(line) => Err(ListingError::DuplicateName(line.name.clone())),
        None => Ok(list),
    }
}

/// An endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// The same at every sender.
    pub name: String,
    /// Where this sender reaches it.
    #[serde(default)]
    pub address: String,
    /// Its building.
    #[serde(default)]
    pub zone: String,
    /// Its destination's kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Its destination's number.
    #[serde(default)]
    pub group: i64,
    /// `Ready`, `Terminating` or `Gone`; anything else counts as `Terminating`.
    pub status: String,
    /// Calls a second that its destination takes from all senders, where that is told.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// ListingReader in a stream that may be cut at any byte: one object after another, each in one line or, where lists come
/// indented, in several. What stands between them is white space, and the line that only tells that the other side
/// lives.
#[derive(Debug, Default)]
pub struct ListingReader {
    text: Vec<u8>,
    /// White space since the last listing that is not kept.
    passed: usize,
    /// How much of the text has been looked at, and where in an object that is.
    seen: usize,
    nesting: Nesting,
}

/// Endpoints that begin in a listing's text, which may be cut at any byte.
pub fn endpoints_started(text: &[u8]) -> usize {
    /// Objects in the array of an object.
    const ENDPOINT_DEPTH: usize = 3;
    let (mut depth, mut quoted, mut escaped, mut endpoints) = (0_usize, false, false, 0);
    for byte in text {
        if quoted {
            (quoted, escaped) = (escaped || *byte != b'"', !escaped && *byte == b'\\');
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        endpoints += usize::from(*byte == b'{' && depth == ENDPOINT_DEPTH);
    }
    endpoints
}

/// What in a stream of listings can't be read; nothing after it can.
#[derive(Debug)]
pub enum ListingError {
    /// This byte, at this place behind the last listing, begins none.
    UnexpectedByte(u8, usize),
    /// An object is no listing.
    InvalidListing(serde_json::Error),
    /// The entry with this number, from 0, is none.
    InvalidEntry(usize, serde_json::Error),
    /// This byte stands behind so many entries of a list, where a comma, an entry or the list's end is due.
    UnexpectedByteInList(u8, usize),
    /// A whole list has this name twice.
    DuplicateName(String),
}

impl fmt::Display for ListingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListingError::UnexpectedByte(byte, at) => {
                write!(f, "byte {at} behind the last list is {byte:#04x}, where '{{' is due")
            }
            ListingError::InvalidListing(e) => write!(f, "a list can't be read: {e}"),
            ListingError::InvalidEntry(number, e) => write!(f, "entry {number} of a list can't be read: {e}"),
            ListingError::UnexpectedByteInList(byte, count) => {
                write!(f, "behind {count} entries of a list stands {byte:#04x}, where none is due")
            }
            ListingError::DuplicateName(name) => write!(f, "'{name}' stands twice in a whole list"),
        }
    }
}

impl std::error::Error for ListingError {}

impl ListingReader {
    /// Takes what has been read.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Bytes that are kept of a listing that is not whole yet.
    pub fn buffered_bytes(&self) -> usize {
        self.text.len()
    }

    /// A listing has begun and is not whole yet.
    pub fn is_partial(&self) -> bool {
        self.nesting.depth() > 0
    }

    /// Endpoints that begin in what is kept of a listing that is not whole yet.
    pub fn endpoints_started(&self) -> usize {
        endpoints_started(&self.text)
    }

    /// The next listing that is whole.
    ///
    /// # Errors
    /// Names what can't be read.
    pub fn next_listing(&mut self) -> Result<Option<Listing>, ListingError> {
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            if self.nesting.depth() == 0 && byte != b'{' && !byte.is_ascii_whitespace() {
                return Err(ListingError::UnexpectedByte(byte, self.passed + self.seen));
            }
            self.nesting.advance(byte);
            if self.nesting.depth() == 0 && !byte.is_ascii_whitespace() {
                let object: Vec<u8> = self.text.drain(..self.seen).collect();
                (self.seen, self.passed) = (0, 0);
                return Listing::read(&object).map(Some);
            }
        }
        if self.nesting.depth() == 0 {
            self.passed += self.seen;
            self.text.clear();
            self.seen = 0;
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All listings' versions in a text that comes in such pieces.
    fn versions(text: &str, piece: usize) -> Result<Vec<u64>, ListingError> {
        let (mut listings, mut found) = (ListingReader::default(), Vec::new());
        for bytes in text.as_bytes().chunks(piece) {
            listings.extend(bytes);
            while let Some(listing) = listings.next_listing()? {
                found.push(listing.index);
            }
        }
        Ok(found)
    }

    #[test]
    fn listings_come_indented_in_several_lines_and_cut_at_any_byte() {
        let line = |name: &str| serde_json::json!({"name": name, "status": "Ready"});
        let odd = [line("a}]{\"\\"), line("b\n\\\"{")];
        let plain = serde_json::json!({"index": 7, "snapshot": true, "endpoints": odd});
        let indented = serde_json::to_string_pretty(&plain).unwrap().replace("7", "8");
        let text = format!("\n{plain}\n\n \r\n{indented}\n{{\"index\":9}}{{\"index\":10}}\n");
        for piece in 1..=text.len() {
            assert_eq!(versions(&text, piece).unwrap(), [7, 8, 9, 10], "in pieces of {piece}");
        }
    }

    #[test]
    fn endpoints_are_counted_in_a_text_that_is_cut_anywhere() {
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
    fn noise_is_told_with_its_place_and_kept_text_is_let_go() {
        let flaw = versions("{\"index\":1}\n  x", 4).unwrap_err();
        assert_eq!(flaw.to_string(), "byte 4 behind the last list is 0x78, where '{' is due");
        for wrong in ["{\"index\":null}", "{\"index\":1,\"endpoints\":[{\"status\":3}]}", "{]"] {
            assert!(matches!(versions(wrong, 3), Err(ListingError::InvalidListing(_))), "{wrong}");
        }
        assert!(matches!(versions("[1]", 1), Err(ListingError::UnexpectedByte(b'[', 1))));
        let twice = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"Ready"},{"name":"a","status":"Gone"}]}"#;
        assert_eq!(versions(twice, 9).unwrap_err().to_string(), "'a' stands twice in a whole list");
        assert_eq!(
            versions(&twice.replace("true", "false"), 9).unwrap(),
            [1],
            "changes of one may follow each other"
        );
        let mut listings = ListingReader::default();
        listings.extend(b"\n\n{\"ind");
        assert!(listings.next_listing().unwrap().is_none() && listings.is_partial());
        listings.extend(b"ex\":3}\n\n");
        assert!(listings.next_listing().unwrap().is_some() && listings.next_listing().unwrap().is_none());
        assert!(!listings.is_partial() && listings.buffered_bytes() == 0);
    }
}
