//! The history of a run: one JSON record per line, in the order in which the stand-ins recorded the events.
//!
//! The history is written before it is judged. A separate thread streams it to disk from a queue of at most
//! [`MAX_QUEUED_RECORDS`] records, so that memory stays bounded with a slow disk or a long run.
//! A disk that can't keep up blocks the rig, which the history records as lateness and which makes the run void.
//!
//! Tags, fields and values are a stored format: a renamed member keeps its old name by a serde attribute.

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

/// Capacity of the queue of unwritten records: some seconds of a busy run.
pub const MAX_QUEUED_RECORDS: usize = 65_536;
/// Version of the history's format; a history of another version is rejected.
pub const FORMAT: u32 = 1;

/// Status of an endpoint as the directory reported it to a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// Listed as ready.
    Ready,
    /// Draining: no new calls may be sent to it.
    Terminating,
    /// No longer listed.
    Gone,
}

/// Result of a put as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PutOutcome {
    /// The sender replied `+OK`.
    #[serde(rename = "taken")]
    Accepted,
    /// The sender replied `-BUSY`.
    Busy,
    /// The sender replied with any other line.
    Failed,
    /// No reply arrived within [`Clients::patience`](crate::scenario::Clients::patience).
    #[serde(rename = "silence")]
    TimedOut,
    /// The connection ended without a reply, also on a second, new connection.
    Closed,
    /// No connection could be opened.
    Unreachable,
    /// The client closed the connection without waiting for the reply.
    #[serde(rename = "left")]
    Abandoned,
}

/// How a message ended according to a notice to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeState {
    /// The sender gave the message up.
    Failed,
    /// The sender refused the message after having accepted it.
    Returned,
}

/// Which side closed a connection while a call was open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClosedBy {
    /// The sender.
    Sender,
    /// The receiver.
    Receiver,
}

/// A signal sent to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// SIGTERM, followed by SIGKILL if the process does not end in time.
    Term,
    /// SIGKILL.
    Kill,
    /// SIGHUP.
    Hup,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Cont,
}

/// One message of a call, as the receiver saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Id of the message.
    pub id: String,
    /// Idempotency key of the message, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// An event of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "kebab-case")]
pub enum Event {
    /// First record of the history: the parameters of the run.
    Run {
        /// Format version, [`FORMAT`].
        format: u32,
        /// Everything of the scenario that the verdict depends on.
        #[serde(rename = "facts")]
        parameters: Box<Parameters>,
    },
    /// An endpoint was opened.
    Endpoint {
        /// Name of the endpoint.
        endpoint: String,
        /// Number of its receiver.
        receiver: i64,
        /// Zone of the endpoint.
        zone: String,
    },
    /// A sender answered `PING`.
    Ready {
        /// Index of the sender.
        sender: usize,
    },
    /// A sender was sent a signal.
    Signal {
        /// Index of the sender.
        sender: usize,
        /// The signal that was sent.
        signal: Signal,
    },
    /// A sender's process ended.
    Exited {
        /// Index of the sender.
        sender: usize,
        /// Whether a signal of the rehearsal ended it.
        planned: bool,
        /// Exit status of the process, in words.
        how: String,
    },
    /// A client put a message.
    Offer {
        /// Index of the sender.
        sender: usize,
        /// Id of the message; each put has a new one.
        id: String,
        /// Id under which it was put first.
        origin: String,
        /// Number of earlier puts of the same message.
        #[serde(rename = "again")]
        retries: u32,
        /// Index of the class.
        class: usize,
        /// Index of the tenant.
        tenant: usize,
        /// Number of the receiver.
        receiver: i64,
        /// Idempotency key of the message, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Order key of the message, in an ordered class.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<String>,
        /// Time left until the message's deadline.
        #[serde(rename = "left")]
        time_left: Micros,
        /// Time of the first put in the plan.
        due: Micros,
    },
    /// A client's put ended.
    Reply {
        /// Id of the message.
        id: String,
        /// Result of the put.
        answered: PutOutcome,
        /// Retry-after of a `-BUSY` reply, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The platform received the notice of a message's end.
    Notice {
        /// Index of the sender.
        sender: usize,
        /// Id of the message.
        id: String,
        /// How the message ended.
        state: NoticeState,
        /// Retry-after for the client, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The directory sent a sender endpoints and their status.
    #[serde(rename = "told")]
    Listing {
        /// Index of the sender.
        sender: usize,
        /// Version of the list.
        index: u64,
        /// Whether this was the complete list and not a change.
        #[serde(rename = "whole")]
        complete: bool,
        /// Endpoints by name, each with its status.
        #[serde(rename = "lines")]
        endpoints: Vec<(String, EndpointStatus)>,
    },
    /// The last byte of a call arrived at a receiver.
    Call {
        /// Number of the call.
        call: u64,
        /// Index of the sender.
        sender: usize,
        /// Name of the endpoint.
        endpoint: String,
        /// When the first byte of the call arrived.
        #[serde(rename = "first")]
        first_byte: Micros,
        /// Whether this was the first call on its connection.
        #[serde(rename = "fresh")]
        new_connection: bool,
        /// Whether this was a batch call.
        batch: bool,
        /// Messages of the call.
        items: Vec<Item>,
    },
    /// A call started to arrive, but its last byte never arrived.
    Partial {
        /// Index of the sender.
        sender: usize,
        /// Name of the endpoint.
        endpoint: String,
    },
    /// A receiver ran a message.
    Ran {
        /// Number of the call that carried the message.
        call: u64,
        /// Id of the message.
        id: String,
        /// Whether the run took no effect because the receiver remembered the message's key.
        dropped: bool,
    },
    /// A receiver answered a call.
    Answer {
        /// Number of the call.
        call: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Wait that the answer advertised, in milliseconds; 0 if none.
        #[serde(default)]
        wait_ms: u32,
        /// State of each message in a batch call, in the order of the call's items.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        states: Option<Vec<String>>,
    },
    /// A call's connection ended without an answer.
    #[serde(rename = "broke")]
    Disconnected {
        /// Number of the call.
        call: u64,
        /// Which side closed the connection.
        by: ClosedBy,
    },
    /// An endpoint refused a sender's connection.
    Refused {
        /// Index of the sender.
        sender: usize,
        /// Name of the endpoint.
        endpoint: String,
    },
    /// A sender probed an endpoint.
    Probe {
        /// Index of the sender.
        sender: usize,
        /// Name of the endpoint.
        endpoint: String,
        /// HTTP status of the answer; 0 if there was none.
        status: u16,
    },
    /// An outage of a receiver, or of one of its separate routes, began.
    Down {
        /// Number of the receiver.
        receiver: i64,
        /// The route, where routes are separate.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// A receiver or route came back from an outage, cold.
    Back {
        /// Number of the receiver.
        receiver: i64,
        /// The route, where routes are separate.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// A cold receiver or route was overloaded and stays down.
    #[serde(rename = "fell")]
    Overloaded {
        /// Number of the receiver.
        receiver: i64,
        /// The route, where routes are separate.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// An event of the timeline; the charts show it.
    Mark {
        /// Description of the event.
        text: String,
    },
    /// Lateness of the rig's own timers since the last record of this kind.
    Lag {
        /// Longest delay of any such timer.
        max_us: Micros,
    },
    /// Last record of the history: all messages have ended, or the time for them has passed.
    #[serde(rename = "over")]
    End,
}

/// An event with the time at which it was recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the event was recorded.
    pub t: Micros,
    /// The event that was recorded.
    #[serde(flatten)]
    pub event: Event,
}

/// A history that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file cannot be read.
    #[error("cannot read history {}: {error}", path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        error: io::Error,
    },
    /// A line is not a valid record.
    #[error(
        "{}: line {line} is not a valid record: {error}; use the file that 'rehearse run' wrote, unchanged",
        path.display()
    )]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The JSON error.
        error: serde_json::Error,
    },
    /// The first line is not a `run` record of the supported format.
    #[error("{}: the first line is not a 'run' record of format {FORMAT}; record the run again", path.display())]
    Format {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Reads a history from a file.
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
    /// Starts a history in a new file.
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

    /// Converts a time of the run to an instant of the runtime's clock.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + crate::span::duration(at)).into()
    }

    /// Records an event with the current time; returns that time.
    pub fn record(&self, event: Event) -> Micros {
        let t = self.now();
        if let Some(queue) = &*self.queue.borrow() {
            // The writer ends early only with an error, which `close` returns.
            _ = queue.send(Record { t, event });
        }
        t
    }

    /// Ends the history and waits until it is written to the file.
    ///
    /// # Errors
    /// Fails if not all records could be written.
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
    /// Writes what is queued, so that an aborted rehearsal still leaves its evidence.
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
