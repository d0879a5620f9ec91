//! The list of endpoints as it is read: all of it, or what this sender keeps.

use super::Placement;
use embershore_protocol::listing::{Listing, ListingError, ListingReader};
use embershore_protocol::listing_stream::FilteredListingReader;
use std::rc::Rc;

/// Reads listings from a stream that is cut at any byte.
pub enum ListReader {
    All(ListingReader),
    /// Without the endpoints of destinations that this sender does not keep.
    Filtered(FilteredListingReader, Rc<Placement>),
}

impl ListReader {
    /// Reads what this sender keeps; all of it without placement.
    pub fn new(placement: Option<&Rc<Placement>>) -> Self {
        match placement {
            Some(placement) => ListReader::Filtered(FilteredListingReader::default(), placement.clone()),
            None => ListReader::All(ListingReader::default()),
        }
    }

    /// Takes what has been read.
    pub fn extend(&mut self, bytes: &[u8]) {
        match self {
            ListReader::All(listings) => listings.extend(bytes),
            ListReader::Filtered(listings, _) => listings.extend(bytes),
        }
    }

    /// Bytes that are held of a listing that is not whole yet.
    pub fn held(&self) -> usize {
        match self {
            ListReader::All(listings) => listings.buffered_bytes(),
            ListReader::Filtered(listings, _) => listings.buffered_bytes(),
        }
    }

    /// Endpoints that begin in what is held of a listing that is not whole yet.
    pub fn endpoints_started(&self) -> usize {
        match self {
            ListReader::All(listings) => listings.endpoints_started(),
            ListReader::Filtered(listings, _) => listings.entries_read(),
        }
    }

    /// A listing has begun and is not whole yet.
    pub fn is_partial(&self) -> bool {
        match self {
            ListReader::All(listings) => listings.is_partial(),
            ListReader::Filtered(listings, _) => listings.is_partial(),
        }
    }

    /// The next listing that is whole.
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
