//! ListingReader of which only a part is kept: read entry by entry, so that a list's length does not decide what is held.

use crate::listing::{ListedEndpoint, Listing, ListingError, unique_names};
use crate::nesting::Nesting;

/// The field of a listing that holds its entries.
const ENTRIES: &[u8] = b"endpoints";
/// Depth in a listing's object, in its array of entries, and in an entry.
const IN_LISTING: usize = 1;
const IN_ENTRIES: usize = 2;
const IN_ENTRY: usize = 3;

/// ListingReader in a stream that may be cut at any byte, as [`crate::listing::ListingReader`] reads them; of each, only the entries
/// whose destination is wanted are kept. What is held at a time is one entry, those that are kept, and the listing's other
/// fields.
///
/// A whole list that names one of the kept entries twice is an error. Entries that are not kept have to be readable as
/// entries, and no more.
#[derive(Debug, Default)]
pub struct FilteredListingReader {
    unread: Vec<u8>,
    nesting: Nesting,
    /// White space since the last listing.
    passed: usize,
    /// The listing without the entries of its array.
    envelope: Vec<u8>,
    /// Where in `envelope` the last string of the listing's object began and ended, quotes included.
    last_string: (usize, usize),
    entry: Vec<u8>,
    /// Entries of this listing that have been read.
    entries_read: usize,
    position: Position,
    kept: Vec<ListedEndpoint>,
    /// Bytes of text from which `kept` was read.
    kept_bytes: usize,
}

/// Where a byte stands with regard to the array of entries, and what may follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    Outside,
    /// Behind the opening bracket.
    Opened,
    InEntry,
    BehindEntry,
    BehindComma,
}

impl FilteredListingReader {
    /// Takes what has been read.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Bytes that are held of a listing that is not whole yet.
    pub fn buffered_bytes(&self) -> usize {
        self.unread.len() + self.envelope.len() + self.entry.len() + self.kept_bytes
    }

    /// Entries that have been read of a listing that is not whole yet, kept or not.
    pub fn entries_read(&self) -> usize {
        self.entries_read
    }

    /// A listing has begun and is not whole yet.
    pub fn is_partial(&self) -> bool {
        self.nesting.depth() > 0
    }

    /// The next listing that is whole, with the entries of those destinations that `keeps` wants.
    ///
    /// # Errors
    /// Names what can't be read; nothing after it can.
    pub fn next_listing(&mut self, keeps: &dyn Fn(i64) -> bool) -> Result<Option<Listing>, ListingError> {
        let unread = std::mem::take(&mut self.unread);
        for (at, byte) in unread.iter().enumerate() {
            if self.advance(*byte, keeps)? {
                self.unread = unread[at + 1..].to_vec();
                return self.finish(keeps).map(Some);
            }
        }
        Ok(None)
    }

    /// Takes one byte; whether a listing ends with it.
    fn advance(&mut self, byte: u8, keeps: &dyn Fn(i64) -> bool) -> Result<bool, ListingError> {
        let before = self.nesting.depth();
        if before == 0 && byte != b'{' {
            self.passed += 1;
            return if byte.is_ascii_whitespace() {
                Ok(false)
            } else {
                Err(ListingError::UnexpectedByte(byte, self.passed))
            };
        }
        let was_quoted = self.nesting.is_quoted();
        self.nesting.advance(byte);
        let depth = self.nesting.depth();
        match self.position {
            Position::Outside => self.advance_envelope(byte, before, was_quoted),
            Position::InEntry => {
                self.entry.push(byte);
                if depth < IN_ENTRY {
                    self.finish_entry(keeps)?;
                }
            }
            position => self.position = self.between_entries(position, byte)?,
        }
        Ok(depth == 0)
    }

    fn advance_envelope(&mut self, byte: u8, before: usize, was_quoted: bool) {
        self.envelope.push(byte);
        if before == IN_LISTING {
            let is_quoted = self.nesting.is_quoted();
            match (was_quoted, is_quoted) {
                (false, true) => self.last_string.0 = self.envelope.len() - 1,
                (true, false) => self.last_string.1 = self.envelope.len(),
                _ => {}
            }
        }
        let opens = before == IN_LISTING && self.nesting.depth() == IN_ENTRIES && byte == b'[';
        if opens && self.last_key() == Some(ENTRIES) {
            self.position = Position::Opened;
        }
    }

    /// The last string of the listing's object, without its quotes.
    fn last_key(&self) -> Option<&[u8]> {
        let (start, end) = self.last_string;
        self.envelope.get(start..end)?.strip_prefix(b"\"")?.strip_suffix(b"\"")
    }

    /// What stands between entries: white space, commas, and the bracket that closes the array.
    fn between_entries(&mut self, position: Position, byte: u8) -> Result<Position, ListingError> {
        use Position::{BehindComma, BehindEntry, InEntry, Opened, Outside};
        match (byte, position) {
            (b' ' | b'\n' | b'\r' | b'\t', _) => Ok(position),
            (b'{', Opened | BehindComma) => {
                self.entry.push(byte);
                Ok(InEntry)
            }
            (b',', BehindEntry) => Ok(BehindComma),
            (b']', Opened | BehindEntry) => {
                self.envelope.push(byte);
                Ok(Outside)
            }
            _ => Err(ListingError::UnexpectedByteInList(byte, self.entries_read)),
        }
    }

    fn finish_entry(&mut self, keeps: &dyn Fn(i64) -> bool) -> Result<(), ListingError> {
        let line: ListedEndpoint = serde_json::from_slice(&self.entry)
            .map_err(|error| ListingError::InvalidEntry(self.entries_read, error))?;
        if keeps(line.group) {
            self.kept_bytes += self.entry.len();
            self.kept.push(line);
        }
        self.entries_read += 1;
        self.entry.clear();
        self.position = Position::BehindEntry;
        Ok(())
    }

    /// The listing that has come to its end; makes room for the next.
    fn finish(&mut self, keeps: &dyn Fn(i64) -> bool) -> Result<Listing, ListingError> {
        let rest = std::mem::take(&mut self.unread);
        let whole = std::mem::replace(
            self,
            FilteredListingReader { unread: rest, ..FilteredListingReader::default() },
        );
        let mut listing: Listing =
            serde_json::from_slice(&whole.envelope).map_err(ListingError::InvalidListing)?;
        // Where the field's name was written with escapes, its entries stand in the envelope.
        listing.endpoints.retain(|line| keeps(line.group));
        listing.endpoints.extend(whole.kept);
        unique_names(listing)
    }
}
