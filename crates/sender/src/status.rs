//! The state of the process, in one place: what every front and the operators' door go by.

use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// While the sender is emptied or stops, clients still connect for this long: the front that deals them out asks
/// every 0.1 s and sends new connections for 0.2 s more. Then their connections close between requests.
const CLIENT_GRACE: Duration = Duration::from_millis(450);
/// A message that is handed in later than this after the sender was told to empty itself is refused: whoever
/// still comes goes by an old word, and would be here when the sender is to be empty.
const LATE_MESSAGE_CUTOFF: Duration = Duration::from_millis(1400);

/// What the process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not read its list yet, nor what an earlier run left.
    Starting,
    /// Its start waits for the process before it, which does not answer and is about to be ended.
    Standby,
    /// It takes messages.
    Serving,
    /// It has been told to empty itself, and serves what it has.
    LameDuck,
    /// Another process of this sender has taken its place: it ends with its last call.
    HandedOver,
    /// It has been told to end.
    Stopping,
}

/// What can change the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// All is read that has to be.
    Started,
    /// The operators empty the sender, or let it have clients again.
    LameDuck(bool),
    /// The process before this one does not let go of the journal.
    Standby,
    /// The next process has the journal.
    HandedOver,
    /// SIGTERM.
    Stop,
}

/// Why a change can't be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLate;

/// How far the process is, and since when. Being told to empty itself is remembered through the start, and nothing
/// undoes a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    started: bool,
    standby: bool,
    lame_duck: Option<Instant>,
    handed_over: Option<Instant>,
    stopping: Option<Instant>,
}

impl ProcessStatus {
    /// What the process is doing.
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

    /// Whether new clients are welcome: what `PING` and `/_ready` answer.
    pub fn ready(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Standby)
    }

    /// From when on clients' connections close between requests, if they do.
    pub fn clients_close_at(&self) -> Option<Instant> {
        let empties = [self.lame_duck, self.stopping].into_iter().flatten().min();
        // The next process has clients' new connections already.
        empties.map(|since| since + CLIENT_GRACE).into_iter().chain(self.handed_over).min()
    }

    /// Whether a message that comes now is refused, since clients were to be elsewhere long ago.
    pub fn refuses_messages(&self, now: Instant) -> bool {
        self.lame_duck.is_some_and(|since| now >= since + LATE_MESSAGE_CUTOFF)
    }

    /// The state after a change.
    ///
    /// # Errors
    /// Once the process has been told to end, or has been replaced, it does not take clients again.
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

/// The state, for those that change it; cheap to clone.
#[derive(Clone)]
pub struct SharedStatus(Rc<watch::Sender<ProcessStatus>>);

impl SharedStatus {
    pub fn new() -> Self {
        SharedStatus(Rc::new(watch::Sender::new(ProcessStatus::default())))
    }

    pub fn get(&self) -> ProcessStatus {
        *self.0.borrow()
    }

    pub fn subscribe(&self) -> watch::Receiver<ProcessStatus> {
        self.0.subscribe()
    }

    /// Changes the state and tells all who follow it.
    ///
    /// # Errors
    /// As [`ProcessStatus::after`].
    pub fn change(&self, change: Change) -> Result<ProcessStatus, TooLate> {
        let next = self.get().after(change, Instant::now())?;
        self.0.send_replace(next);
        Ok(next)
    }
}

/// Waits until a client's connection is to close between requests, which is no sooner than `least`.
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
            // The other end lasts as long as the process.
            Ok(()) = status.changed() => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays changes, each a tenth of a second after the one before.
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
    fn each_row_of_the_table_of_phases() {
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
    fn only_a_stop_can_not_be_undone() {
        let now = Instant::now();
        let (_, stopping) = apply_changes(&[Change::Started, Change::LameDuck(true), Change::Stop]);
        assert_eq!(stopping.after(Change::LameDuck(false), now), Err(TooLate));
        assert_eq!(stopping.after(Change::LameDuck(true), now), Ok(stopping));
        let (_, serving) = apply_changes(&[Change::Started]);
        assert!(serving.after(Change::LameDuck(false), now).is_ok());
    }

    #[test]
    fn being_told_again_does_not_put_the_closing_off() {
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
