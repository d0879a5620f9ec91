//! Reads listings entry by entry and retains only the entries of wanted destinations.
//! Memory use thus does not depend on the length of an endpoint list.

use crate::listing::{ListedEndpoint, Listing, ListingError, check_unique_names};
use crate::nesting::Nesting;

/// Name of the field of a listing that contains the entries.
const ENTRIES: &[u8] = b"endpoints";
/// JSON nesting depth within a listing's object, outside the array of entries.
const IN_LISTING: usize = 1;
/// JSON nesting depth within a listing's array of entries.
const IN_ENTRIES: usize = 2;
/// JSON nesting depth within an entry of a listing.
const IN_ENTRY: usize = 3;

/// Reads listings like [`crate::listing::ListingReader`], but retains only entries of wanted destinations.
/// The reader holds the retained entries, the listing's other fields and at most one other entry in memory.
///
/// A complete list that names a retained endpoint twice is an error. Unwanted entries only have to be valid.
#[derive(Debug, Default)]
pub struct FilteredListingReader {
    unread: Vec<u8>,
    nesting: Nesting,
    /// Number of white-space bytes since the last listing.
    skipped_bytes: usize,
    /// The text of the current listing without its entries.
    envelope: Vec<u8>,
    /// The range in `envelope` of the last string in the listing's object, including the string's quotes.
    last_string: (usize, usize),
    /// The text of the entry that is being read.
    entry: Vec<u8>,
    /// Number of entries of the current listing that have been read.
    entries_read: usize,
    position: Position,
    /// Entries of wanted destinations in the current listing.
    kept: Vec<ListedEndpoint>,
    /// Total length in bytes of the text of the entries in `kept`.
    kept_bytes: usize,
}

/// The reader's position relative to the array of entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    Outside,
    /// After the opening bracket of the array of entries.
    AfterBracket,
    InEntry,
    AfterEntry,
    AfterComma,
}

impl FilteredListingReader {
    /// Appends bytes that have been read from the stream.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Returns the number of bytes of an incomplete listing that are in memory.
    pub fn buffered_bytes(&self) -> usize {
        self.unread.len() + self.envelope.len() + self.entry.len() + self.kept_bytes
    }

    /// Returns the number of entries that have been read of an incomplete listing, wanted or not.
    pub fn entries_read(&self) -> usize {
        self.entries_read
    }

    /// Returns whether a listing has begun and is incomplete.
    pub fn is_partial(&self) -> bool {
        self.nesting.depth() > 0
    }

    /// Returns the next complete listing, or `None` if more bytes are needed.
    /// The listing contains the entries of the destinations for which `is_wanted` holds.
    ///
    /// # Errors
    /// Returns the first error in the stream. Nothing that follows the error can be parsed.
    pub fn next_listing(&mut self, is_wanted: &dyn Fn(i64) -> bool) -> Result<Option<Listing>, ListingError> {
        let unread = std::mem::take(&mut self.unread);
        for (index, byte) in unread.iter().enumerate() {
            if self.advance(*byte, is_wanted)? {
                self.unread = unread[index + 1..].to_vec();
                return self.finish(is_wanted).map(Some);
            }
        }
        Ok(None)
    }

    /// Processes one byte and returns whether the byte ends a listing.
    fn advance(&mut self, byte: u8, is_wanted: &dyn Fn(i64) -> bool) -> Result<bool, ListingError> {
        let before = self.nesting.depth();
        if before == 0 && byte != b'{' {
            self.skipped_bytes += 1;
            return if byte.is_ascii_whitespace() {
                Ok(false)
            } else {
                Err(ListingError::UnexpectedByte(byte, self.skipped_bytes))
            };
        }
        let was_in_string = self.nesting.is_in_string();
        self.nesting.advance(byte);
        let depth = self.nesting.depth();
        match self.position {
            Position::Outside => self.advance_envelope(byte, before, was_in_string),
            Position::InEntry => {
                self.entry.push(byte);
                if depth < IN_ENTRY {
                    self.finish_entry(is_wanted)?;
                }
            }
            position => self.position = self.between_entries(position, byte)?,
        }
        Ok(depth == 0)
    }

    fn advance_envelope(&mut self, byte: u8, before: usize, was_in_string: bool) {
        self.envelope.push(byte);
        if before == IN_LISTING {
            let is_in_string = self.nesting.is_in_string();
            match (was_in_string, is_in_string) {
                (false, true) => self.last_string.0 = self.envelope.len() - 1,
                (true, false) => self.last_string.1 = self.envelope.len(),
                _ => {}
            }
        }
        let opens = before == IN_LISTING && self.nesting.depth() == IN_ENTRIES && byte == b'[';
        if opens && self.last_key() == Some(ENTRIES) {
            self.position = Position::AfterBracket;
        }
    }

    /// Returns the last string in the listing's object, without the string's quotes.
    fn last_key(&self) -> Option<&[u8]> {
        let (start, end) = self.last_string;
        self.envelope.get(start..end)?.strip_prefix(b"\"")?.strip_suffix(b"\"")
    }

    /// Processes a byte between entries: white space, a comma, the start of an entry or the closing bracket.
    fn between_entries(&mut self, position: Position, byte: u8) -> Result<Position, ListingError> {
        use Position::{AfterBracket, AfterComma, AfterEntry, InEntry, Outside};
        match (byte, position) {
            (b' ' | b'\n' | b'\r' | b'\t', _) => Ok(position),
            (b'{', AfterBracket | AfterComma) => {
                self.entry.push(byte);
                Ok(InEntry)
            }
            (b',', AfterEntry) => Ok(AfterComma),
            (b']', AfterBracket | AfterEntry) => {
                self.envelope.push(byte);
                Ok(Outside)
            }
            _ => Err(ListingError::UnexpectedByteInList(byte, self.entries_read)),
        }
    }

    fn finish_entry(&mut self, is_wanted: &dyn Fn(i64) -> bool) -> Result<(), ListingError> {
        let entry: ListedEndpoint = serde_json::from_slice(&self.entry)
            .map_err(|error| ListingError::InvalidEntry(self.entries_read, error))?;
        if is_wanted(entry.group) {
            self.kept_bytes += self.entry.len();
            self.kept.push(entry);
        }
        self.entries_read += 1;
        self.entry.clear();
        self.position = Position::AfterEntry;
        Ok(())
    }

    /// Returns the listing that has ended, and resets the reader for the next listing.
    fn finish(&mut self, is_wanted: &dyn Fn(i64) -> bool) -> Result<Listing, ListingError> {
        let unread = std::mem::take(&mut self.unread);
        let ended =
            std::mem::replace(self, FilteredListingReader { unread, ..FilteredListingReader::default() });
        let mut listing: Listing =
            serde_json::from_slice(&ended.envelope).map_err(ListingError::InvalidListing)?;
        // If the name of the entries' field is written with JSON escapes, `envelope` contains the entries too.
        listing.endpoints.retain(|entry| is_wanted(entry.group));
        listing.endpoints.extend(ended.kept);
        check_unique_names(listing)
    }
}
