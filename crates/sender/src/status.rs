//! The status of the sender's process: whether the process serves, drains, hands over or stops.
//! The servers, the driver and the management interface share the status.

use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time after a lame-duck command or a stop for which clients are served as before.
/// The load balancer polls readiness every 0.1 s and sends new connections for 0.2 s more.
/// After the grace period, clients' connections close between requests.
const CLIENT_GRACE: Duration = Duration::from_millis(450);
/// Time after a lame-duck command from which messages are refused.
/// A client that still submits messages after the cutoff uses outdated information about the sender.
/// If the sender accepted messages after the cutoff, it might not deliver all its messages in time.
const LATE_MESSAGE_CUTOFF: Duration = Duration::from_millis(1400);

/// The phase that the sender's process is in, from its start to its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process has no endpoint list yet, or has not restored the messages of an earlier process.
    Starting,
    /// The process waits at its start for a predecessor that does not answer and is about to be ended.
    Standby,
    /// The process accepts messages.
    Serving,
    /// The process drains at the operator's command: it delivers the messages that it has.
    LameDuck,
    /// A successor has taken over: this process exits after its last call and client.
    HandedOver,
    /// The process has received SIGTERM.
    Stopping,
}

/// An event that may change the phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The start is complete: the process has an endpoint list and has restored the messages of earlier processes.
    Started,
    /// The operator switches the lame-duck mode on or off.
    LameDuck(bool),
    /// The predecessor process does not release the journal to this process.
    Standby,
    /// The successor process owns the journal now: this process has been replaced.
    HandedOver,
    /// SIGTERM was received.
    Stop,
}

/// The error for a change of the process's phase that is no longer possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLate;

/// The status of the process and the times of its changes.
/// A lame-duck command to a starting process takes effect once the process has started; a stop can't be undone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    started: bool,
    standby: bool,
    lame_duck: Option<Instant>,
    handed_over: Option<Instant>,
    stopping: Option<Instant>,
}

impl ProcessStatus {
    /// Returns the phase that the process is in now.
    pub fn phase(&self) -> Phase {
        match self {
            ProcessStatus { stopping: Some(_), .. } => Phase::Stopping,
            ProcessStatus { handed_over: Some(_), .. } => Phase::HandedOver,
            ProcessStatus { started: false, standby: true, lame_duck: None, .. } => Phase::Standby,
            ProcessStatus { started: false, .. } => Phase::Starting,
            ProcessStatus { lame_duck: Some(_), .. } => Phase::LameDuck,
            _ => Phase::Serving,
        }
    }

    /// Whether new clients are accepted, as `PING` and `/_ready` report.
    pub fn ready(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Standby)
    }

    /// Returns the time from which clients' connections close between requests, if they do.
    pub fn clients_close_at(&self) -> Option<Instant> {
        let draining = [self.lame_duck, self.stopping].into_iter().flatten().min();
        // After a handover there is no grace: the successor accepts the clients' new connections.
        draining.map(|since| since + CLIENT_GRACE).into_iter().chain(self.handed_over).min()
    }

    /// Whether a message submitted at `now` is refused, because a lame duck should have no clients any more.
    pub fn refuses_messages(&self, now: Instant) -> bool {
        self.lame_duck.is_some_and(|since| now >= since + LATE_MESSAGE_CUTOFF)
    }

    /// Returns the process's status after a change.
    ///
    /// # Errors
    /// After a stop or a handover the lame-duck mode can't be switched off.
    pub fn after(mut self, change: Change, now: Instant) -> Result<Self, TooLate> {
        match change {
            Change::Started => self.started = true,
            Change::LameDuck(true) => _ = self.lame_duck.get_or_insert(now),
            Change::LameDuck(false) if self.stopping.is_some() || self.handed_over.is_some() => {
                return Err(TooLate);
            }
            Change::LameDuck(false) => self.lame_duck = None,
            Change::Standby => self.standby = true,
            Change::HandedOver => _ = self.handed_over.get_or_insert(now),
            Change::Stop => _ = self.stopping.get_or_insert(now),
        }
        Ok(self)
    }
}

/// The process's status, shared between the daemon's components; cheap to clone.
#[derive(Clone)]
pub struct SharedStatus(Rc<watch::Sender<ProcessStatus>>);

impl SharedStatus {
    /// Creates the status of a process that is starting.
    pub fn new() -> Self {
        SharedStatus(Rc::new(watch::Sender::new(ProcessStatus::default())))
    }

    /// Returns a copy of the process's current status.
    pub fn get(&self) -> ProcessStatus {
        *self.0.borrow()
    }

    /// Returns a receiver that is notified of changes of the process's status.
    pub fn subscribe(&self) -> watch::Receiver<ProcessStatus> {
        self.0.subscribe()
    }

    /// Changes the process's status and notifies all subscribers.
    ///
    /// # Errors
    /// The change is no longer possible, as for [`ProcessStatus::after`].
    pub fn change(&self, change: Change) -> Result<ProcessStatus, TooLate> {
        let next = self.get().after(change, Instant::now())?;
        self.0.send_replace(next);
        Ok(next)
    }
}

/// Waits until a client's connection is to close between requests, but at least until `not_before`.
pub async fn wait_until_closing(status: &mut watch::Receiver<ProcessStatus>, not_before: Instant) {
    loop {
        let at = status.borrow_and_update().clients_close_at();
        let closes = async {
            match at {
                Some(at) => tokio::time::sleep_until(at.max(not_before).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = closes => return,
            // Waiting for a status change can't fail: the channel's sending half lives as long as the process.
            Ok(()) = status.changed() => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Applies the status changes 0.1 s apart. Returns the time of the first change and the final status.
    fn apply_changes(changes: &[Change]) -> (Instant, ProcessStatus) {
        let start = Instant::now();
        let mut status = ProcessStatus::default();
        for (n, change) in changes.iter().enumerate() {
            let at = start + Duration::from_millis(100 * n as u64);
            status = status.after(*change, at).unwrap_or(status);
        }
        (start, status)
    }

    #[test]
    fn phase_after_each_sequence_of_changes() {
        use Change::{HandedOver, LameDuck as Lame, Standby, Started, Stop};
        let rows: [(&[Change], Phase); 20] = [
            (&[], Phase::Starting),
            (&[Started], Phase::Serving),
            (&[Started, Started], Phase::Serving),
            (&[Lame(true)], Phase::Starting),
            (&[Lame(true), Started], Phase::LameDuck),
            (&[Lame(true), Lame(false), Started], Phase::Serving),
            (&[Started, Lame(true)], Phase::LameDuck),
            (&[Started, Lame(true), Lame(true)], Phase::LameDuck),
            (&[Started, Lame(true), Lame(false)], Phase::Serving),
            (&[Started, Lame(false), Lame(false)], Phase::Serving),
            (&[Started, Lame(true), Lame(false), Lame(true)], Phase::LameDuck),
            (&[Started, Lame(true), Stop], Phase::Stopping),
            (&[Started, Stop, Lame(false), Started], Phase::Stopping),
            (&[Stop], Phase::Stopping),
            (&[Standby], Phase::Standby),
            (&[Standby, Lame(true)], Phase::Starting),
            (&[Standby, Started], Phase::Serving),
            (&[Started, HandedOver], Phase::HandedOver),
            (&[Started, Lame(true), HandedOver, Lame(false)], Phase::HandedOver),
            (&[Started, HandedOver, Stop], Phase::Stopping),
        ];
        for (changes, phase) in rows {
            let (_, status) = apply_changes(changes);
            assert_eq!(status.phase(), phase, "{changes:?}");
            let ready = matches!(phase, Phase::Serving | Phase::Standby);
            assert_eq!(status.ready(), ready, "{changes:?}");
        }
    }

    #[test]
    fn a_stop_can_not_be_undone() {
        let now = Instant::now();
        let (_, stopping) = apply_changes(&[Change::Started, Change::LameDuck(true), Change::Stop]);
        assert_eq!(stopping.after(Change::LameDuck(false), now), Err(TooLate));
        assert_eq!(stopping.after(Change::LameDuck(true), now), Ok(stopping));
        let (_, serving) = apply_changes(&[Change::Started]);
        assert!(serving.after(Change::LameDuck(false), now).is_ok());
    }

    #[test]
    fn a_repeated_lame_duck_command_does_not_postpone_the_closing() {
        let (start, once) = apply_changes(&[Change::LameDuck(true)]);
        let (again_start, again) = apply_changes(&[Change::LameDuck(true), Change::LameDuck(true)]);
        assert_eq!(once.clients_close_at(), Some(start + CLIENT_GRACE));
        assert_eq!(again.clients_close_at(), Some(again_start + CLIENT_GRACE));
        assert!(!once.refuses_messages(start + CLIENT_GRACE));
        assert!(once.refuses_messages(start + LATE_MESSAGE_CUTOFF));
        let (_, off) = apply_changes(&[Change::LameDuck(true), Change::LameDuck(false)]);
        assert_eq!(off.clients_close_at(), None);
        assert!(!off.refuses_messages(start + 10 * LATE_MESSAGE_CUTOFF));
    }
}
