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
    pub endpoints: Vec<Line>,
}

impl Listing {
    /// Reads one that is whole.
    ///
    /// # Errors
    /// Names what is wrong in it. A whole list that names an endpoint twice says nothing certain of it; among changes the
    /// later one holds.
    pub fn read(text: &[u8]) -> Result<Self, Flaw> {
        let list: Listing = serde_json::from_slice(text).map_err(Flaw::Object)?;
        unique_names(list)
    }
}

/// The list, unless it is a whole one that has a name twice.
pub(crate) fn unique_names(list: Listing) -> Result<Listing, Flaw> {
    let mut names = HashSet::new();
    let twice = list.endpoints.iter().find(|line| list.snapshot && !names.insert(&*line.name));
    match twice {
        Some(line) => Err(Flaw::Twice(line.name.clone())),
        None => Ok(list),
    }
}

/// An endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Line {
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

/// Listings in a stream that may be cut at any byte: one object after another, each in one line or, where lists come
/// indented, in several. What stands between them is white space, and the line that only tells that the other side
/// lives.
#[derive(Debug, Default)]
pub struct Listings {
    text: Vec<u8>,
    /// White space since the last listing that is not kept.
    passed: usize,
    /// How much of the text has been looked at, and where in an object that is.
    seen: usize,
    nesting: Nesting,
}

/// What in a stream of listings can't be read; nothing after it can.
#[derive(Debug)]
pub enum Flaw {
    /// This byte, at this place behind the last listing, begins none.
    Noise(u8, usize),
    /// An object is no listing.
    Object(serde_json::Error),
    /// The entry with this number, from 0, is none.
    Entry(usize, serde_json::Error),
    /// This byte stands behind so many entries of a list, where a comma, an entry or the list's end is due.
    BetweenEntries(u8, usize),
    /// A whole list has this name twice.
    Twice(String),
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Flaw::Noise(byte, at) => {
                write!(f, "byte {at} behind the last list is {byte:#04x}, where '{{' is due")
            }
            Flaw::Object(e) => write!(f, "a list can't be read: {e}"),
            Flaw::Entry(number, e) => write!(f, "entry {number} of a list can't be read: {e}"),
            Flaw::BetweenEntries(byte, count) => {
                write!(f, "behind {count} entries of a list stands {byte:#04x}, where none is due")
            }
            Flaw::Twice(name) => write!(f, "'{name}' stands twice in a whole list"),
        }
    }
}

impl std::error::Error for Flaw {}

impl Listings {
    /// Takes what has been read.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Bytes that are kept of a listing that is not whole yet.
    pub fn kept(&self) -> usize {
        self.text.len()
    }

    /// A listing has begun and is not whole yet.
    pub fn is_within(&self) -> bool {
        self.nesting.depth() > 0
    }

    /// The next listing that is whole.
    ///
    /// # Errors
    /// Names what can't be read.
    pub fn next_whole(&mut self) -> Result<Option<Listing>, Flaw> {
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            if self.nesting.depth() == 0 && byte != b'{' && !byte.is_ascii_whitespace() {
                return Err(Flaw::Noise(byte, self.passed + self.seen));
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
    fn versions(text: &str, piece: usize) -> Result<Vec<u64>, Flaw> {
        let (mut listings, mut found) = (Listings::default(), Vec::new());
        for bytes in text.as_bytes().chunks(piece) {
            listings.extend(bytes);
            while let Some(listing) = listings.next_whole()? {
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
    fn noise_is_told_with_its_place_and_kept_text_is_let_go() {
        let flaw = versions("{\"index\":1}\n  x", 4).unwrap_err();
        assert_eq!(flaw.to_string(), "byte 4 behind the last list is 0x78, where '{' is due");
        for wrong in ["{\"index\":null}", "{\"index\":1,\"endpoints\":[{\"status\":3}]}", "{]"] {
            assert!(matches!(versions(wrong, 3), Err(Flaw::Object(_))), "{wrong}");
        }
        assert!(matches!(versions("[1]", 1), Err(Flaw::Noise(b'[', 1))));
        let twice = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"Ready"},{"name":"a","status":"Gone"}]}"#;
        assert_eq!(versions(twice, 9).unwrap_err().to_string(), "'a' stands twice in a whole list");
        assert_eq!(
            versions(&twice.replace("true", "false"), 9).unwrap(),
            [1],
            "changes of one may follow each other"
        );
        let mut listings = Listings::default();
        listings.extend(b"\n\n{\"ind");
        assert!(listings.next_whole().unwrap().is_none() && listings.is_within());
        listings.extend(b"ex\":3}\n\n");
        assert!(listings.next_whole().unwrap().is_some() && listings.next_whole().unwrap().is_none());
        assert!(!listings.is_within() && listings.kept() == 0);
    }
}
