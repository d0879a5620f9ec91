//! Notices that wait until the journal holds the end that they report.
//!
//! A client whose message was returned may hand it in again under another id. If the process were killed before the
//! end is in the journal, the next process would call the message as well, and it would take effect twice.

use super::Driver;
use crate::input::Notice;
use heronroute::{Micros, MsgId};

/// Interval at which the ends are written again, in microseconds.
const RETRY_INTERVAL_US: Micros = 20_000;

/// A message's end that could not be written to the journal yet, with its notice.
pub(super) struct UnrecordedEnd {
    notice: Notice,
    /// The message's deadline, from which on no process calls the message and the notice needs no record.
    deadline: Micros,
}

impl Driver {
    /// Writes a message's end to the journal and then queues its notice.
    /// If the write fails, it is tried again until the message's deadline, and the notice waits.
    pub(super) fn record_end_and_notify(&mut self, notice: Notice, deadline: Micros) {
        self.unconfirmed_notices += 1;
        let written = self.journal.borrow_mut().record_message_ended(notice.id, notice.end);
        if let Err(e) = written {
            if self.unrecorded_ends.is_empty() {
                eprintln!(
                    "journal: recording the end of '{}' failed, its notice waits: {e}",
                    notice.request_id
                );
            }
            self.unrecorded_ends.push(UnrecordedEnd { notice, deadline });
            return;
        }
        _ = self.notices.send(notice);
    }

    /// Writes the ends that could not be written before, and queues the notices that need not wait any longer.
    pub(super) fn retry_unrecorded_ends(&mut self, now: Micros) {
        for UnrecordedEnd { notice, deadline } in std::mem::take(&mut self.unrecorded_ends) {
            let written = self.journal.borrow_mut().record_message_ended(notice.id, notice.end).is_ok();
            if written || now >= deadline {
                _ = self.notices.send(notice);
            } else {
                self.unrecorded_ends.push(UnrecordedEnd { notice, deadline });
            }
        }
    }

    /// Returns when the ends are to be written again; never if there are none.
    pub(super) fn next_retry_of_ends(&self, last_round: Micros) -> Micros {
        if self.unrecorded_ends.is_empty() { Micros::MAX } else { last_round + RETRY_INTERVAL_US }
    }

    /// Returns the time until which a message may be called.
    pub(super) fn deadline(&self, id: MsgId) -> Option<Micros> {
        Some(self.journal.borrow().get(id.0)?.accepted.deadline)
    }
}
