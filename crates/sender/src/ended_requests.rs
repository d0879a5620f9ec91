//! The requests of ended messages that must not take effect again.
//!
//! A client sends a request once more, with the same id, when its connection has closed and it has read no reply.
//! The message may have ended by then. It must not be called again if its class does not allow any number of repeats.
//! The journal keeps these requests, so that they outlast the process.

use embershore_protocol::notice::End;
use heronroute::Micros;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Upper bound of the journal's records for one request, besides its id and the name of its class, in bytes.
const RECORD_BYTES: u64 = 128;

/// The request of a message that has ended after an attempt that may have taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRequest {
    /// The message's number in the journal.
    pub number: u64,
    /// The name of the message's class.
    pub class: String,
    /// The number of the message's class rules in the journal.
    pub rules: u32,
    /// The message's deadline.
    pub deadline: Micros,
    /// Time from which a request with this id is a new one.
    pub expires_at: Micros,
    /// How the message ended.
    pub end: End,
}

/// The ended requests by id. The journal bounds their number.
#[derive(Debug, Default)]
pub struct EndedRequests {
    by_id: HashMap<Rc<str>, EndedRequest>,
    by_expiry: BTreeSet<(Micros, Rc<str>)>,
    bytes: u64,
}

impl EndedRequests {
    /// Adds a request; replaces an earlier one with the same id.
    pub fn insert(&mut self, request_id: &str, request: EndedRequest) {
        self.remove(request_id);
        let id: Rc<str> = request_id.into();
        self.bytes += record_bytes(&id, &request);
        self.by_expiry.insert((request.expires_at, id.clone()));
        self.by_id.insert(id, request);
    }

    /// Returns how the request's message ended, if it has ended.
    pub fn end_of(&self, request_id: &str) -> Option<End> {
        Some(self.by_id.get(request_id)?.end)
    }

    /// Drops the requests that have expired at `now`.
    pub fn forget_expired(&mut self, now: Micros) {
        while let Some((_, id)) = self.by_expiry.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&id);
        }
    }

    /// Returns the upper bound of the journal's records for all requests, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the requests with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EndedRequest)> {
        self.by_id.iter().map(|(id, request)| (&**id, request))
    }

    fn remove(&mut self, request_id: &str) {
        let Some((id, request)) = self.by_id.remove_entry(request_id) else { return };
        self.bytes -= record_bytes(&id, &request);
        self.by_expiry.remove(&(request.expires_at, id));
    }
}

fn record_bytes(id: &str, request: &EndedRequest) -> u64 {
    RECORD_BYTES + (id.len() + request.class.len()) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(number: u64, expires_at: Micros) -> EndedRequest {
        let (class, rules, deadline, end) = ("pay".to_string(), 0, 5, End::Closed);
        EndedRequest { number, class, rules, deadline, expires_at, end }
    }

    #[test]
    fn a_request_is_known_until_it_expires() {
        let mut ended = EndedRequests::default();
        ended.insert("a", request(1, 10));
        ended.insert("b", request(2, 20));
        ended.insert("a", EndedRequest { end: End::Failed, ..request(3, 30) });
        ended.forget_expired(20);
        assert_eq!((ended.end_of("a"), ended.end_of("b")), (Some(End::Failed), None));
        ended.forget_expired(30);
        assert_eq!((ended.iter().count(), ended.bytes(), ended.by_expiry.len()), (0, 0, 0));
    }
}
