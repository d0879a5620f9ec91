//! The list of endpoints as it is read: all of it, or what this sender keeps.

use super::Placement;
use embershore_protocol::listing::{Flaw, Listing, Listings};
use embershore_protocol::listing_stream::FilteredListings;
use std::rc::Rc;

/// Reads listings from a stream that is cut at any byte.
pub enum ListReader {
    All(Listings),
    /// Without the endpoints of destinations that this sender does not keep.
    Filtered(FilteredListings, Rc<Placement>),
}

impl ListReader {
    /// Reads what this sender keeps; all of it without placement.
    pub fn new(placement: Option<&Rc<Placement>>) -> Self {
        match placement {
            Some(placement) => ListReader::Filtered(FilteredListings::default(), placement.clone()),
            None => ListReader::All(Listings::default()),
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
            ListReader::All(listings) => listings.kept(),
            ListReader::Filtered(listings, _) => listings.held(),
        }
    }

    /// Endpoints that begin in what is held of a listing that is not whole yet.
    pub fn endpoints_begun(&self) -> usize {
        match self {
            ListReader::All(listings) => listings.endpoints_begun(),
            ListReader::Filtered(listings, _) => listings.entries_read(),
        }
    }

    /// A listing has begun and is not whole yet.
    pub fn is_within(&self) -> bool {
        match self {
            ListReader::All(listings) => listings.is_within(),
            ListReader::Filtered(listings, _) => listings.is_within(),
        }
    }

    /// The next listing that is whole.
    pub fn next_whole(&mut self) -> Result<Option<Listing>, Flaw> {
        match self {
            ListReader::All(listings) => listings.next_whole(),
            ListReader::Filtered(listings, placement) => {
                let mut listing = listings.next_whole(&|dest| placement.retains(dest))?;
                if let Some(listing) = &mut listing {
                    placement.scale_limits(listing);
                }
                Ok(listing)
            }
        }
    }
}
