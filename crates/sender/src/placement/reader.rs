//! Reads endpoint listings from a stream: all endpoints, or with placement only those that this sender stores.

use super::Placement;
use embershore_protocol::listing::{Listing, ListingError, ListingReader};
use embershore_protocol::listing_stream::FilteredListingReader;
use std::rc::Rc;

/// An incremental reader of listings, whose input may be split at any byte.
pub enum ListReader {
    /// Reads listings and keeps all endpoints in them.
    All(ListingReader),
    /// Reads listings and drops the endpoints of destinations that this sender does not retain.
    Filtered(FilteredListingReader, Rc<Placement>),
}

impl ListReader {
    /// Creates a reader that keeps the endpoints of this sender's destinations, or all endpoints without placement.
    pub fn new(placement: Option<&Rc<Placement>>) -> Self {
        match placement {
            Some(placement) => ListReader::Filtered(FilteredListingReader::default(), placement.clone()),
            None => ListReader::All(ListingReader::default()),
        }
    }

    /// Adds bytes that were read from the stream to the reader's input.
    pub fn extend(&mut self, bytes: &[u8]) {
        match self {
            ListReader::All(listings) => listings.extend(bytes),
            ListReader::Filtered(listings, _) => listings.extend(bytes),
        }
    }

    /// Returns the number of buffered bytes of an incomplete listing.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            ListReader::All(listings) => listings.buffered_bytes(),
            ListReader::Filtered(listings, _) => listings.buffered_bytes(),
        }
    }

    /// Returns the number of endpoints that begin in the text read so far of an incomplete listing.
    pub fn endpoints_started(&self) -> usize {
        match self {
            ListReader::All(listings) => listings.endpoints_started(),
            ListReader::Filtered(listings, _) => listings.entries_read(),
        }
    }

    /// Whether a listing has begun and is incomplete.
    pub fn is_partial(&self) -> bool {
        match self {
            ListReader::All(listings) => listings.is_partial(),
            ListReader::Filtered(listings, _) => listings.is_partial(),
        }
    }

    /// Returns the next complete listing, if there is one.
    pub fn next_listing(&mut self) -> Result<Option<Listing>, ListingError> {
        match self {
            ListReader::All(listings) => listings.next_listing(),
            ListReader::Filtered(listings, placement) => {
                let mut listing = listings.next_listing(&|dest| placement.retains(dest))?;
                if let Some(listing) = &mut listing {
                    placement.scale_limits(listing);
                }
                Ok(listing)
            }
        }
    }
}
