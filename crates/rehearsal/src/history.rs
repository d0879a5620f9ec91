//! The recorded history of a rehearsal: one JSON record per line, in the order in which stand-ins saw the events.
//!
//! A separate thread writes the history to disk while the rehearsal runs. The judge reads the history afterwards.
//! The writer's queue has at most [`MAX_QUEUED_RECORDS`] records, which bounds the memory when the disk is slow.
//! A disk that can't keep up blocks the rig. The history records the blocking as lateness, which makes the run void.
//!
//! The serde tags, fields and values are a stored format: a renamed member keeps its old name by a serde attribute.

use crate::parameters::Parameters;
use crate::span::Micros;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Instant;

/// Capacity of the queue of records that are not yet written to disk: some seconds of a busy run.
pub const MAX_QUEUED_RECORDS: usize = 65_536;
/// Version of the history's format; a history of another version is rejected.
pub const FORMAT: u32 = 1;

/// Status of an endpoint as the directory reported it to a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// The endpoint list contains the endpoint as ready for calls.
    Ready,
    /// The endpoint is draining: no new calls may be sent to it.
    Terminating,
    /// The endpoint list no longer contains the endpoint.
    Gone,
}

/// Result of a message put (MSG.PUT command) as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PutOutcome {
    /// The sender accepted the message: it replied `+OK`.
    #[serde(rename = "taken")]
    Accepted,
    /// The sender refused the message for now: it replied `-BUSY`.
    Busy,
    /// The sender replied with a line other than `+OK` and `-BUSY`.
    Failed,
    /// No reply arrived within [`Clients::patience`](crate::scenario::Clients::patience).
    #[serde(rename = "silence")]
    TimedOut,
    /// The connection ended without a reply. On a reused connection, the client first tried again on a new one.
    Closed,
    /// No connection to the sender could be opened in time.
    Unreachable,
    /// The client closed the connection without waiting for the reply.
    #[serde(rename = "left")]
    Abandoned,
}

/// How a message ended according to a notice to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeState {
    /// The sender gave the message up without having delivered it.
    Failed,
    /// The sender refused the message after having accepted it.
    Returned,
}

/// Which side closed a connection while a call was open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClosedBy {
    /// The sender closed the connection.
    Sender,
    /// The receiver closed the connection.
    Receiver,
}

/// A signal sent to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// SIGTERM asks the process to end. SIGKILL follows if the process does not end in time.
    Term,
    /// SIGKILL ends the sender's process without a drain.
    Kill,
    /// SIGHUP makes the process read its configuration again.
    Hup,
    /// SIGSTOP suspends the process.
    Stop,
    /// SIGCONT continues a process suspended by SIGSTOP.
    Cont,
}

/// One message of a call, as the receiver saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Id of the message in the call.
    pub id: String,
    /// Idempotency key of the message, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// An event of the history, as a stand-in or the rig recorded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "kebab-case")]
pub enum Event {
    /// First record of the history: the parameters of the run.
    Run {
        /// Version of the history's format, [`FORMAT`].
        format: u32,
        /// Everything of the scenario that the verdict depends on.
        #[serde(rename = "facts")]
        parameters: Box<Parameters>,
    },
    /// A stand-in receiver opened an endpoint.
    Endpoint {
        /// Name of the opened endpoint.
        endpoint: String,
        /// Number of the endpoint's receiver.
        receiver: i64,
        /// Zone of the opened endpoint.
        zone: String,
    },
    /// A sender answered `PING`, which shows that its process is ready.
    Ready {
        /// Index of the sender that is ready.
        sender: usize,
    },
    /// The rehearsal sent a signal to a sender's process.
    Signal {
        /// Index of the sender that got the signal.
        sender: usize,
        /// The signal that the sender got.
        signal: Signal,
    },
    /// A sender's process ended, planned or not.
    Exited {
        /// Index of the sender whose process ended.
        sender: usize,
        /// Whether the rehearsal ended the process with a signal; otherwise the process ended by itself.
        planned: bool,
        /// Exit status of the ended process, in words.
        how: String,
    },
    /// A client sent a message to a sender for the first time, or again.
    Offer {
        /// Index of the sender to which the client sent the message.
        sender: usize,
        /// Id of the message; each retry of a message by its client has a new id.
        id: String,
        /// Id that the message had when its client sent it for the first time.
        origin: String,
        /// Number of times that the client had sent the message before.
        #[serde(rename = "again")]
        retries: u32,
        /// Index of the message's class.
        class: usize,
        /// Index of the message's tenant.
        tenant: usize,
        /// Number of the receiver that the message is for.
        receiver: i64,
        /// Idempotency key of the message, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Order key of the message, in an ordered class.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<String>,
        /// Time from the moment when the client sent the message until the message's deadline.
        #[serde(rename = "left")]
        time_left: Micros,
        /// Time at which the load plan has the client send the message for the first time.
        due: Micros,
    },
    /// A client's message put (MSG.PUT command) ended, with or without a reply.
    Reply {
        /// Id of the message that the client sent.
        id: String,
        /// Result of the message put, as the client saw it.
        answered: PutOutcome,
        /// Retry-after of a `-BUSY` reply, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The platform received a sender's notice of a message's final outcome.
    Notice {
        /// Index of the sender that sent the notice.
        sender: usize,
        /// Id of the message that ended.
        id: String,
        /// How the message ended, as the notice states it.
        state: NoticeState,
        /// Retry-after in the notice for the client, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The directory sent endpoints and their status to a sender.
    #[serde(rename = "told")]
    Listing {
        /// Index of the sender that received the endpoint list or the changes.
        sender: usize,
        /// Version of the directory's endpoint list.
        index: u64,
        /// Whether the directory sent its complete endpoint list and not only the changes.
        #[serde(rename = "whole")]
        complete: bool,
        /// Listed or changed endpoints by name, each with its status.
        #[serde(rename = "lines")]
        endpoints: Vec<(String, EndpointStatus)>,
    },
    /// The last byte of a call arrived at a receiver.
    Call {
        /// Number of the call, unique in the run.
        call: u64,
        /// Index of the sender that made the call.
        sender: usize,
        /// Name of the endpoint that received the call.
        endpoint: String,
        /// When the first byte of the call arrived at the receiver.
        #[serde(rename = "first")]
        first_byte: Micros,
        /// Whether this was the first call on its connection.
        #[serde(rename = "fresh")]
        new_connection: bool,
        /// Whether this was a batch call, which may carry several messages.
        batch: bool,
        /// Messages that the call carried.
        items: Vec<Item>,
    },
    /// A call started to arrive, but its last byte never arrived, so the receiver processed none of its messages.
    Partial {
        /// Index of the sender that made the incomplete call.
        sender: usize,
        /// Name of the endpoint at which the incomplete call arrived.
        endpoint: String,
    },
    /// A receiver processed a message of a call.
    Ran {
        /// Number of the call that carried the message.
        call: u64,
        /// Id of the processed message.
        id: String,
        /// Whether the message took no effect because the receiver remembered the message's key.
        dropped: bool,
    },
    /// A receiver answered a call.
    Answer {
        /// Number of the answered call.
        call: u64,
        /// HTTP status of the call's answer.
        status: u16,
        /// Wait that the call's answer advertised, in milliseconds; 0 if none.
        #[serde(default)]
        wait_ms: u32,
        /// State of each message in a batch call, in the order of the call's items.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        states: Option<Vec<String>>,
    },
    /// A call's connection ended before the receiver answered.
    #[serde(rename = "broke")]
    Disconnected {
        /// Number of the unanswered call.
        call: u64,
        /// Which side closed the call's connection.
        by: ClosedBy,
    },
    /// A receiver or the directory wrote an answer to a sender a second time.
    AnswerRepeated {
        /// Index of the sender to which the copy was written.
        sender: usize,
    },
    /// An endpoint refused a sender's connection.
    Refused {
        /// Index of the sender whose connection was refused.
        sender: usize,
        /// Name of the endpoint that refused the connection.
        endpoint: String,
    },
    /// A sender probed an endpoint.
    Probe {
        /// Index of the sender that probed.
        sender: usize,
        /// Name of the probed endpoint.
        endpoint: String,
        /// HTTP status of the probe's answer; 0 if there was none.
        status: u16,
    },
    /// An outage of a receiver, or of one of its separate routes, began.
    Down {
        /// Number of the receiver in the outage.
        receiver: i64,
        /// Name of the route in the outage, if the receiver has separate routes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// A receiver or route returned from an outage, cold.
    Back {
        /// Number of the receiver that returned.
        receiver: i64,
        /// Name of the route that returned, if the receiver has separate routes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// A cold receiver or route was overloaded and stays down.
    #[serde(rename = "fell")]
    Overloaded {
        /// Number of the overloaded receiver.
        receiver: i64,
        /// Name of the overloaded route, if the receiver has separate routes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// An event of the timeline, recorded for the charts.
    Mark {
        /// Description of the event on the timeline.
        text: String,
    },
    /// Lateness of the rig's own timers since the previous record of their lateness.
    Lag {
        /// Longest delay of any of the rig's timers.
        max_us: Micros,
    },
    /// Last record of the history: all messages have a final outcome, or the time limit for the outcomes has passed.
    #[serde(rename = "over")]
    End,
}

/// A recorded event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the event was recorded, in microseconds since the run began.
    pub t: Micros,
    /// The recorded event.
    #[serde(flatten)]
    pub event: Event,
}

/// Error for a history that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The history file cannot be read.
    #[error("cannot read history {}: {error}", path.display())]
    Io {
        /// Path of the history file.
        path: PathBuf,
        /// The I/O error from reading the history file.
        error: io::Error,
    },
    /// A line of the history is not a valid record.
    #[error(
        "{}: line {line} is not a valid record: {error}; use the file that 'rehearse run' wrote, unchanged",
        path.display()
    )]
    Line {
        /// Path of the history file with the invalid line.
        path: PathBuf,
        /// Number of the invalid line, counted from 1.
        line: usize,
        /// The JSON error of the invalid line.
        error: serde_json::Error,
    },
    /// The history's first line is not a `run` record of the supported format.
    #[error("{}: the first line is not a 'run' record of format {FORMAT}; record the run again", path.display())]
    Format {
        /// Path of the history file whose format is not supported.
        path: PathBuf,
    },
}

/// Reads all records of a history from a file.
///
/// # Errors
/// Fails if the file cannot be read or a line is not a valid record; the error names the file and the line.
pub fn read(path: &Path) -> Result<Vec<Record>, HistoryError> {
    let io = |error| HistoryError::Io { path: path.into(), error };
    let mut records = Vec::new();
    for (n, line) in BufReader::new(File::open(path).map_err(io)?).lines().enumerate() {
        let line = line.map_err(io)?;
        if line.trim().is_empty() {
            continue;
        }
        let record = serde_json::from_str(&line);
        records.push(record.map_err(|error| HistoryError::Line { path: path.into(), line: n + 1, error })?);
    }
    match records.first() {
        Some(Record { event: Event::Run { format: FORMAT, .. }, .. }) => Ok(records),
        _ => Err(HistoryError::Format { path: path.into() }),
    }
}

/// Writes records with their times to the history's file.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    queue: RefCell<Option<SyncSender<Record>>>,
    writer: RefCell<Option<JoinHandle<io::Result<()>>>>,
}

impl Recorder {
    /// Starts recording a history in a new file.
    ///
    /// # Errors
    /// Fails if the file or the writer's thread cannot be created.
    pub fn create(path: &Path) -> io::Result<Recorder> {
        let out = BufWriter::new(File::create(path)?);
        let (queue, records) = sync_channel(MAX_QUEUED_RECORDS);
        let writer =
            std::thread::Builder::new().name("history".into()).spawn(move || write(out, &records))?;
        let (queue, writer) = (RefCell::new(Some(queue)), RefCell::new(Some(writer)));
        Ok(Recorder { start: Instant::now(), queue, writer })
    }

    /// Returns the time since the run began, in microseconds.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time since the run began to an instant of the runtime's clock.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + crate::span::duration(at)).into()
    }

    /// Records an event with the current time, and returns the recorded time.
    pub fn record(&self, event: Event) -> Micros {
        let t = self.now();
        if let Some(queue) = &*self.queue.borrow() {
            // The writer's thread ends early only after an I/O error, which `close` returns.
            _ = queue.send(Record { t, event });
        }
        t
    }

    /// Ends the history and waits until it is written to the file.
    ///
    /// # Errors
    /// Fails if not all records could be written to the file.
    pub fn close(&self) -> io::Result<()> {
        self.queue.take();
        match self.writer.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the thread that writes the history panicked")),
            None => Ok(()),
        }
    }
}

impl Drop for Recorder {
    /// Writes the queued records to the file, so that an aborted rehearsal still leaves its evidence.
    fn drop(&mut self) {
        _ = self.close();
    }
}

fn write(mut out: BufWriter<File>, records: &Receiver<Record>) -> io::Result<()> {
    for record in records {
        serde_json::to_writer(&mut out, &record)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}
