//! What was seen: one record a line, as JSON, in the order in which the stand-ins saw it.
//!
//! The history is written before it is judged. It is streamed to disk by a thread of its own through a queue of
//! [`MAX_QUEUED_RECORDS`] records, so that neither a slow disk nor a long run costs memory; a disk that can't keep up holds
//! the rig up, which then shows as lateness and makes the run void.

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

/// Records that wait to be written: some seconds of a busy run.
pub const MAX_QUEUED_RECORDS: usize = 65_536;
/// The history's form; a judge reads no other.
pub const FORMAT: u32 = 1;

/// An endpoint's standing in the directory, as a sender was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// Listed.
    Ready,
    /// To be sent nothing new.
    Terminating,
    /// Gone.
    Gone,
}

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PutOutcome {
    /// `+OK`.
    #[serde(rename = "taken")]
    Accepted,
    /// `-BUSY`.
    Busy,
    /// Any other line.
    Failed,
    /// Nothing within the client's patience.
    #[serde(rename = "silence")]
    TimedOut,
    /// The connection ended with no answer, on a new connection too.
    Closed,
    /// No connection came up.
    Unreachable,
    /// The client itself went away without waiting.
    #[serde(rename = "left")]
    Abandoned,
}

/// How a message ended, as the platform was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeState {
    /// The sender gave it up.
    Failed,
    /// The sender refused it after having taken it on.
    Returned,
}

/// Who ended a connection on which a call was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClosedBy {
    /// The sender.
    Sender,
    /// The receiver.
    Receiver,
}

/// What was done to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// SIGTERM, with SIGKILL to follow.
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

/// One message of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Its id.
    pub id: String,
    /// Its idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "kebab-case")]
pub enum Event {
    /// The history's first record.
    Run {
        /// [`FORMAT`].
        format: u32,
        /// What the verdict depends on.
        #[serde(rename = "facts")]
        parameters: Box<Parameters>,
    },
    /// An endpoint exists from now on.
    Endpoint {
        /// Its name.
        endpoint: String,
        /// Its receiver's number.
        receiver: i64,
        /// Its building.
        zone: String,
    },
    /// A sender answered `PING`.
    Ready {
        /// Its index.
        sender: usize,
    },
    /// A sender was sent a signal.
    Signal {
        /// Its index.
        sender: usize,
        /// Which.
        signal: Signal,
    },
    /// A sender's process ended.
    Exited {
        /// Its index.
        sender: usize,
        /// A signal of the rehearsal's had ended it.
        planned: bool,
        /// How, in words.
        how: String,
    },
    /// A client handed a message in.
    Offer {
        /// To which sender, by index.
        sender: usize,
        /// The message's id, new each time.
        id: String,
        /// The id under which it was handed in first.
        origin: String,
        /// How often it had been handed in before.
        #[serde(rename = "again")]
        retries: u32,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: usize,
        /// Its receiver's number.
        receiver: i64,
        /// Its idempotency key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// What it is about, in a class that keeps order.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<String>,
        /// How long it may still be delivered.
        #[serde(rename = "left")]
        time_left: Micros,
        /// When the plan had it handed in.
        due: Micros,
    },
    /// What a client heard of it.
    Reply {
        /// The message.
        id: String,
        /// What.
        answered: PutOutcome,
        /// When it was told to come again, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The platform was told a message's end.
    Notice {
        /// By which sender, by index.
        sender: usize,
        /// The message.
        id: String,
        /// Its end.
        state: NoticeState,
        /// When its client is to come again, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
    },
    /// The directory told a sender of endpoints.
    #[serde(rename = "told")]
    Listing {
        /// Which sender, by index.
        sender: usize,
        /// The list's version.
        index: u64,
        /// It was the whole list.
        #[serde(rename = "whole")]
        complete: bool,
        /// Endpoints and their standing.
        lines: Vec<(String, EndpointStatus)>,
    },
    /// A call's last byte came.
    Call {
        /// Its number.
        call: u64,
        /// From which sender, by index.
        sender: usize,
        /// To which endpoint.
        endpoint: String,
        /// When its first byte came.
        #[serde(rename = "first")]
        first_byte: Micros,
        /// It was the first on its connection.
        #[serde(rename = "fresh")]
        new_connection: bool,
        /// It was a call of several messages.
        batch: bool,
        /// Its messages.
        items: Vec<Item>,
    },
    /// A connection broke before a call's last byte had come.
    Partial {
        /// From which sender, by index.
        sender: usize,
        /// At which endpoint.
        endpoint: String,
    },
    /// A message was handled by a receiver.
    Ran {
        /// The call that carried it.
        call: u64,
        /// The message.
        id: String,
        /// Its key was remembered, so that it took no effect.
        dropped: bool,
    },
    /// A call was answered.
    Answer {
        /// The call.
        call: u64,
        /// The HTTP status.
        status: u16,
        /// The wait that it told, in milliseconds; 0 if none.
        #[serde(default)]
        wait_ms: u32,
        /// In a call of several: each message's state, in the order of its items.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        states: Option<Vec<String>>,
    },
    /// A call's connection ended with no answer.
    #[serde(rename = "broke")]
    Disconnected {
        /// The call.
        call: u64,
        /// Who ended it.
        by: ClosedBy,
    },
    /// An endpoint turned a sender's connection away.
    Refused {
        /// Which sender, by index.
        sender: usize,
        /// Which endpoint.
        endpoint: String,
    },
    /// A sender probed an endpoint.
    Probe {
        /// Which sender, by index.
        sender: usize,
        /// Which endpoint.
        endpoint: String,
        /// What it was answered; 0 if nothing.
        status: u16,
    },
    /// A receiver, or a route of one whose routes are apart, went into an outage.
    Down {
        /// Its number.
        receiver: i64,
        /// The route, where routes are apart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// It came back, cold.
    Back {
        /// Its number.
        receiver: i64,
        /// The route, where routes are apart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// It was pushed over and stays down.
    #[serde(rename = "fell")]
    Overloaded {
        /// Its number.
        receiver: i64,
        /// The route, where routes are apart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
    },
    /// Something of the timeline, for the pictures.
    Mark {
        /// In words.
        text: String,
    },
    /// How late the rig itself ran since the last such record.
    Lag {
        /// The longest that a timer of its own was late.
        max_us: Micros,
    },
    /// The history's last record: nothing more was owed, or its time was up.
    #[serde(rename = "over")]
    End,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was seen.
    pub t: Micros,
    /// What was seen.
    #[serde(flatten)]
    pub event: Event,
}

/// A history that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A line is no record.
    #[error("{}: line {line}: {error}; a history is written by 'rehearse run' and not by hand", path.display())]
    Line {
        /// Which file.
        path: PathBuf,
        /// The line's number, from 1.
        line: usize,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// It does not begin as one of this form does.
    #[error("{}: the first line is no 'run' record of format {FORMAT}; record the run again", path.display())]
    Format {
        /// Which file.
        path: PathBuf,
    },
}

/// Reads a history from a file.
///
/// # Errors
/// Names the file, and the line that can't be read.
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

/// Takes records down, each with its time.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    queue: RefCell<Option<SyncSender<Record>>>,
    writer: RefCell<Option<JoinHandle<io::Result<()>>>>,
}

impl Recorder {
    /// Begins a history in a new file.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn create(path: &Path) -> io::Result<Recorder> {
        let out = BufWriter::new(File::create(path)?);
        let (queue, records) = sync_channel(MAX_QUEUED_RECORDS);
        let writer =
            std::thread::Builder::new().name("history".into()).spawn(move || write(out, &records))?;
        let (queue, writer) = (RefCell::new(Some(queue)), RefCell::new(Some(writer)));
        Ok(Recorder { start: Instant::now(), queue, writer })
    }

    /// Microseconds since the run began.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// When a time of the run is.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + crate::span::duration(at)).into()
    }

    /// Takes down what is seen now; the time at which it was.
    pub fn record(&self, event: Event) -> Micros {
        let t = self.now();
        if let Some(queue) = &*self.queue.borrow() {
            // The writer ends early only with an error, which `close` tells.
            _ = queue.send(Record { t, event });
        }
        t
    }

    /// Ends the history and waits until it is written.
    ///
    /// # Errors
    /// It could not be written whole.
    pub fn close(&self) -> io::Result<()> {
        self.queue.take();
        match self.writer.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the history's writer broke off")),
            None => Ok(()),
        }
    }
}

impl Drop for Recorder {
    /// What was seen before a rehearsal broke off is evidence too.
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
