//! The size limit of an endpoint list, and the report of a list that exceeds it.

use crate::metrics::Metrics;
use embershore_protocol::listing::Listing;
use std::fmt;
use std::io;

/// Fraction of the sender's memory that the text of an endpoint list may take.
/// Measured with 24,000 endpoints of 123 bytes and one destination each: a byte of list text costs 13 resident bytes.
/// Once a list of other endpoints has replaced the first endpoint list, a byte of list text costs 22 resident bytes.
/// The memory use rises because the endpoints of the replaced list are retained for a minute.
/// A byte of list text costs 27 resident bytes if the first endpoint list was given with the configuration.
/// So an endpoint list takes at most 27 / 48 of the sender's memory.
const MEMORY_SHARE: f64 = 1.0 / 48.0;
/// Minimum of the list limit, however little memory the sender has: some 500 endpoints, 2 MB of resident memory.
const MIN_LIMIT_BYTES: usize = 64 * 1024;

/// The length of the longest endpoint list that is accepted, in bytes of the list's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimit(usize);

impl ListLimit {
    /// Returns the list limit for a sender with `memory_mb` megabytes of memory, each a million bytes.
    pub fn from_memory_mb(memory_mb: f64) -> Self {
        ListLimit(((memory_mb * 1e6 * MEMORY_SHARE) as usize).max(MIN_LIMIT_BYTES))
    }

    /// Returns the length of the longest accepted list in bytes.
    pub fn bytes(self) -> usize {
        self.0
    }

    /// Checks the length of the text that has been read so far from an endpoint list.
    ///
    /// # Errors
    /// The endpoint list is too long; `endpoints` then counts the endpoints that begin in the text read so far.
    pub fn check(self, bytes_read: usize, endpoints: impl FnOnce() -> usize) -> Result<(), TooLong> {
        if bytes_read <= self.0 {
            return Ok(());
        }
        Err(TooLong { source: Source::Discovery, limit: self.0, bytes: bytes_read, endpoints: endpoints() })
    }

    /// Checks a complete endpoint list by the length of its JSON text without white space.
    ///
    /// # Errors
    /// The endpoint list is too long.
    pub fn check_configured(self, list: &Listing) -> Result<(), TooLong> {
        let mut text = Length(0);
        // Writing the endpoint list as JSON can't fail: the writer never fails, and all map keys are strings.
        _ = serde_json::to_writer(&mut text, list);
        self.check(text.0, || list.endpoints.len())
            .map_err(|too_long| TooLong { source: Source::Configuration, ..too_long })
    }
}

/// A writer that only counts the bytes written.
struct Length(usize);

impl io::Write for Length {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Where an endpoint list comes from: the configuration or discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint list comes from the field `known` of the configuration.
    Configuration,
    Discovery,
}

/// The error for an endpoint list above the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    pub source: Source,
    /// The size limit of an endpoint list in bytes.
    pub limit: usize,
    /// The number of bytes that were read before the list was rejected.
    pub bytes: usize,
    /// The number of endpoints that begin in the bytes read.
    pub endpoints: usize,
}

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TooLong { limit, bytes, endpoints, .. } = self;
        match self.source {
            Source::Configuration => {
                write!(
                    f,
                    "the list known in the configuration is too long: {bytes} bytes, {endpoints} endpoints"
                )?;
            }
            Source::Discovery => {
                write!(f, "discovery's list is too long: {bytes} bytes read, {endpoints} endpoints so far")?;
            }
        }
        write!(f, "; limits.memory_mb allows {limit} bytes")
    }
}

impl std::error::Error for TooLong {}

impl From<TooLong> for io::Error {
    fn from(too_long: TooLong) -> Self {
        io::Error::other(too_long)
    }
}

/// Returns the [`TooLong`] error inside an I/O error; None if the I/O error has another cause.
pub fn too_long(error: &io::Error) -> Option<TooLong> {
    error.get_ref()?.downcast_ref::<TooLong>().copied()
}

/// Counts a rejected endpoint list. The first rejected list after an accepted list is logged.
/// The log line says whether an earlier endpoint list stays in force.
pub fn reject(metrics: &Metrics, too_long: TooLong, in_force: bool) {
    if metrics.lists.reject(too_long) {
        let stays = if in_force { "the last good list stays" } else { "no list is in force: not ready" };
        eprintln!("{too_long}; {stays}");
    }
}

/// Records an accepted endpoint list, and logs the acceptance if the previous endpoint list was rejected.
pub fn accept(metrics: &Metrics) {
    if metrics.lists.accept() {
        eprintln!("discovery's list is within its limit again and in force");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_limit_is_a_share_of_the_memory_and_never_less_than_a_small_list() {
        assert_eq!(ListLimit::from_memory_mb(192.0).bytes(), 4_000_000);
        assert_eq!(ListLimit::from_memory_mb(32.0).bytes(), 666_666);
        assert_eq!(ListLimit::from_memory_mb(0.5).bytes(), MIN_LIMIT_BYTES);
        assert_eq!(ListLimit::from_memory_mb(f64::MAX).bytes(), usize::MAX);
    }

    #[test]
    fn a_list_at_the_limit_is_accepted_and_a_byte_more_is_rejected() {
        let limit = ListLimit(10);
        assert_eq!(limit.check(10, || 3), Ok(()));
        let too_long = limit.check(11, || 3).unwrap_err();
        assert_eq!(
            too_long.to_string(),
            "discovery's list is too long: 11 bytes read, 3 endpoints so far; limits.memory_mb allows 10 bytes"
        );
        assert_eq!(super::too_long(&too_long.into()), Some(too_long));
        assert_eq!(super::too_long(&io::Error::other("silent")), None);
    }

    #[test]
    fn a_configured_list_is_measured_in_full() {
        let text = r#"{"index":1,"endpoints":[{"name":"a","status":"Ready"},{"name":"b","status":"Gone"}]}"#;
        let list = Listing::read(text.as_bytes()).unwrap();
        assert_eq!(ListLimit(10_000).check_configured(&list), Ok(()));
        let too_long = ListLimit(10).check_configured(&list).unwrap_err();
        assert_eq!((too_long.source, too_long.endpoints), (Source::Configuration, 2));
        assert!(too_long.bytes > text.len(), "fields absent from the text are written with their defaults");
    }
}
