//! Debts on disk: one redb file, each change one transaction that is synced before it counts.
//!
//! | table | key | value |
//! | --- | --- | --- |
//! | `debts` | number | [`Debt`] with no body, and when it is next looked at, in postcard's form |
//! | `bodies` | number | the body |
//! | `requests` | request id | number: a message is owed once |
//! | `due` | time, number | nothing: what is looked at next |
//! | `facets` | receiver, class, reason, number | nothing: lists by any of them |
//! | `counts` | receiver, class, reason, state | how many |
//! | `meta` | name | the form's version, the next number, live bytes |
//!
//! Calls block on the disk: a caller that must not block has them done on a thread of its own.

use crate::debt::{Debt, DebtId, Reason, State};
use bytes::Bytes;
use heronroute::Micros;
use redb::{
    Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError, WriteTransaction,
};
use serde::{Deserialize, Serialize};
use std::path::Path;

const DEBTS: TableDefinition<u64, &[u8]> = TableDefinition::new("debts");
const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
const REQUESTS: TableDefinition<&str, u64> = TableDefinition::new("requests");
const DUE: TableDefinition<(i64, u64), ()> = TableDefinition::new("due");
const FACETS: TableDefinition<(i64, &str, u8, u64), ()> = TableDefinition::new("facets");
const COUNTS: TableDefinition<(i64, &str, u8, u8), u64> = TableDefinition::new("counts");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

/// The form of what is stored. A file of a later one is refused, not misread.
const VERSION: u64 = 1;
/// What a debt takes beside its own bytes, in all tables together: keys, and its part of the pages.
const OVERHEAD: u64 = 256;
/// The file is this much larger than what is live at most: old pages stand beside new ones until a commit, and pages
/// are filled in part.
const SLACK: u64 = 2;
/// What an empty file takes.
const EMPTY: u64 = 1 << 20;
/// Pages that are held in memory, in bytes: what a daemon on 32 MB can spare.
const CACHE: usize = 1 << 20;

/// Why a store could not do what it was asked for. Nothing has changed then.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no room: the newcomer is not kept.
    #[error(
        "the store of what is owed is full: {live} of {most} bytes; raise 'max_mb', or settle some of it"
    )]
    Full {
        /// Live bytes.
        live: u64,
        /// What the operator allows, slack taken off.
        most: u64,
    },
    /// The file was written by a later release.
    #[error(
        "the store has form {found}, and this release reads up to {VERSION}: start the release that wrote it"
    )]
    Version {
        /// The form that it has.
        found: u64,
    },
    /// An entry can't be read. The others can.
    #[error("what is owed under number {number} can't be read: {why}")]
    Damaged {
        /// Its number.
        number: u64,
        /// Why.
        why: String,
    },
    /// No such debt.
    #[error("nothing is owed under number {number}")]
    Unknown {
        /// The number that was asked for.
        number: u64,
    },
    /// The disk, or the database on it.
    #[error("the store of what is owed: {0}")]
    Disk(redb::Error),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(e: E) -> Self {
        StoreError::Disk(e.into())
    }
}

#[derive(Serialize, Deserialize)]
struct Row {
    debt: Debt,
    /// When it is next looked at.
    due: Option<Micros>,
}

/// A row as it stands, and its bytes.
struct Found {
    row: Row,
    length: u64,
}

/// What became of a message that was to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It is owed from now on.
    New(DebtId),
    /// It was owed already, under this number; nothing has changed.
    Before(DebtId),
}

/// Which debts a list is to show. All of what is given must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Those to this receiver.
    pub receiver: Option<i64>,
    /// Those of this class.
    pub class: Option<String>,
    /// Those given up for this reason.
    pub reason: Option<Reason>,
    /// Those given up before this time.
    pub before: Option<Micros>,
}

/// What a filter let through.
#[derive(Debug, Default)]
pub struct Listed {
    /// The debts, with no bodies.
    pub debts: Vec<(DebtId, Debt)>,
    /// Those that can't be read.
    pub damaged: Vec<StoreError>,
}

/// How many there are of a sort.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The receiver.
    pub receiver: i64,
    /// The class.
    pub class: String,
    /// The reason.
    pub reason: Reason,
    /// Whether they are owed, on their way, or settled.
    pub state: &'static str,
    /// How many.
    pub debts: u64,
}

/// The store.
pub struct Store {
    db: Database,
    most: u64,
}

fn facet(debt: &Debt) -> (i64, &str, u8) {
    (debt.message.dest, &debt.message.class, debt.reason as u8)
}

fn state(debt: &Debt) -> u8 {
    match debt.state {
        State::Owed => 0,
        State::Out => 1,
        State::Settled(_) => 2,
    }
}

const STATES: [&str; 3] = ["owed", "out", "settled"];

fn damaged(number: u64) -> impl Fn(postcard::Error) -> StoreError {
    move |e| StoreError::Damaged { number, why: e.to_string() }
}

fn read(number: u64, bytes: &[u8]) -> Result<Row, StoreError> {
    postcard::from_bytes(bytes).map_err(damaged(number))
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE);
    builder
}

fn count(w: &WriteTransaction, debt: &Debt, more: bool) -> Result<(), StoreError> {
    let (dest, class, reason) = facet(debt);
    let mut counts = w.open_table(COUNTS)?;
    let key = (dest, class, reason, state(debt));
    let n = counts.get(key)?.map_or(0, |n| n.value());
    match if more { n + 1 } else { n.saturating_sub(1) } {
        0 => _ = counts.remove(key)?,
        n => _ = counts.insert(key, n)?,
    }
    Ok(())
}

/// All tables exist from the first moment on, so that reading needs no case for one that does not.
fn begin(db: &Database) -> Result<(), StoreError> {
    let w = db.begin_write()?;
    w.open_table(META)?.insert("version", VERSION)?;
    w.open_table(DEBTS)?;
    w.open_table(BODIES)?;
    w.open_table(REQUESTS)?;
    w.open_table(DUE)?;
    w.open_table(FACETS)?;
    w.open_table(COUNTS)?;
    w.commit()?;
    Ok(())
}

impl Store {
    /// Opens the store in a file, or begins one. It is begun under another name and moved once it is whole: a file
    /// that a killed process left half made would open no more.
    ///
    /// # Errors
    /// When the file can't be opened, was written by a later release, or is no such store.
    pub fn open(path: &Path, max_bytes: u64) -> Result<Store, StoreError> {
        let new = path.with_extension("new");
        if let Err(e) = std::fs::remove_file(&new)
            && e.kind() != std::io::ErrorKind::NotFound
        {
            return Err(redb::Error::Io(e).into());
        }
        if !path.try_exists().map_err(redb::Error::Io)? {
            drop(Store::with(builder().create(&new)?, max_bytes)?);
            std::fs::rename(&new, path).map_err(redb::Error::Io)?;
        }
        Store::with(builder().create(path)?, max_bytes)
    }

    /// The same on any backend: tests give one that fails on command.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn on(backend: impl StorageBackend, max_bytes: u64) -> Result<Store, StoreError> {
        Store::with(builder().create_with_backend(backend)?, max_bytes)
    }

    /// A store that stands is only read at its start: writing would cost a sync.
    fn with(db: Database, max_bytes: u64) -> Result<Store, StoreError> {
        match db.begin_read()?.open_table(META) {
            Ok(meta) => match meta.get("version")?.map_or(VERSION, |v| v.value()) {
                found if found > VERSION => return Err(StoreError::Version { found }),
                _ => {}
            },
            Err(TableError::TableDoesNotExist(_)) => begin(&db)?,
            Err(e) => return Err(e.into()),
        }
        Ok(Store { db, most: max_bytes.saturating_sub(EMPTY) / SLACK })
    }

    /// Keeps a message that was given up; synced when this returns. One that is owed already stays as it is: a
    /// hand-over that was cut off is done again at the next start.
    ///
    /// # Errors
    /// When there is no room, or the disk fails: then it is not owed.
    pub fn keep(&self, debt: &Debt, due: Option<Micros>) -> Result<Kept, StoreError> {
        let w = self.db.begin_write()?;
        let kept = self.enter(&w, debt, due)?;
        w.commit()?;
        Ok(kept)
    }

    /// Keeps many in one transaction, with one sync for all; in order, what became of each. One for which there is no
    /// room does not keep out the others.
    ///
    /// # Errors
    /// When the disk fails: then none of them is owed.
    pub fn keep_all<'a>(
        &self,
        debts: impl IntoIterator<Item = (&'a Debt, Option<Micros>)>,
    ) -> Result<Vec<Result<Kept, StoreError>>, StoreError> {
        let w = self.db.begin_write()?;
        let mut became = Vec::new();
        for (debt, due) in debts {
            match self.enter(&w, debt, due) {
                Err(e @ StoreError::Full { .. }) => became.push(Err(e)),
                other => became.push(Ok(other?)),
            }
        }
        w.commit()?;
        Ok(became)
    }

    /// Room is asked for first, so that one that finds none leaves no trace.
    fn enter(&self, w: &WriteTransaction, debt: &Debt, due: Option<Micros>) -> Result<Kept, StoreError> {
        let request = debt.message.request_id.as_str();
        if let Some(number) = w.open_table(REQUESTS)?.get(request)?.map(|n| n.value()) {
            return Ok(Kept::Before(DebtId(number)));
        }
        let number = w.open_table(META)?.get("next")?.map_or(1, |n| n.value());
        self.put(w, number, debt, due, None)?;
        w.open_table(META)?.insert("next", number + 1)?;
        w.open_table(REQUESTS)?.insert(request, number)?;
        w.open_table(BODIES)?.insert(number, debt.message.body.as_ref())?;
        let (dest, class, reason) = facet(debt);
        w.open_table(FACETS)?.insert((dest, class, reason, number), ())?;
        Ok(Kept::New(DebtId(number)))
    }

    /// Writes a debt as it is now in the place of what it was; synced when this returns. Receiver, class, reason and
    /// body stay.
    ///
    /// # Errors
    /// When there is no such debt, or the disk fails: then it stays as it was.
    pub fn update(&self, id: DebtId, debt: &Debt, due: Option<Micros>) -> Result<(), StoreError> {
        let w = self.db.begin_write()?;
        let before = self.row(&w, id.0)?;
        self.put(&w, id.0, debt, due, Some(before))?;
        w.commit()?;
        Ok(())
    }

    /// Takes a debt out.
    ///
    /// # Errors
    /// When there is no such debt, or the disk fails: then it stays.
    pub fn remove(&self, id: DebtId) -> Result<(), StoreError> {
        let w = self.db.begin_write()?;
        let Found { row, length } = self.row(&w, id.0)?;
        w.open_table(DEBTS)?.remove(id.0)?;
        let body = w.open_table(BODIES)?.remove(id.0)?.map_or(0, |b| b.value().len() as u64);
        w.open_table(REQUESTS)?.remove(row.debt.message.request_id.as_str())?;
        let (dest, class, reason) = facet(&row.debt);
        w.open_table(FACETS)?.remove((dest, class, reason, id.0))?;
        if let Some(due) = row.due {
            w.open_table(DUE)?.remove((due, id.0))?;
        }
        count(&w, &row.debt, false)?;
        self.weigh(&w, length + body + OVERHEAD, 0)?;
        w.commit()?;
        Ok(())
    }

    fn row(&self, w: &WriteTransaction, number: u64) -> Result<Found, StoreError> {
        let debts = w.open_table(DEBTS)?;
        let bytes = debts.get(number)?.ok_or(StoreError::Unknown { number })?;
        let bytes = bytes.value();
        Ok(Found { row: read(number, bytes)?, length: bytes.len() as u64 })
    }

    /// Books live bytes. What becomes smaller, or stays, always fits: else a full store could settle nothing.
    fn weigh(&self, w: &WriteTransaction, before: u64, after: u64) -> Result<(), StoreError> {
        let mut meta = w.open_table(META)?;
        let live = meta.get("live")?.map_or(0, |n| n.value());
        let now = live.saturating_sub(before) + after;
        if before == 0 && now > self.most {
            return Err(StoreError::Full { live, most: self.most });
        }
        meta.insert("live", now)?;
        Ok(())
    }

    fn put(
        &self,
        w: &WriteTransaction,
        number: u64,
        debt: &Debt,
        due: Option<Micros>,
        before: Option<Found>,
    ) -> Result<(), StoreError> {
        let bare = crate::debt::Message { body: Bytes::new(), ..debt.message.clone() };
        let row = Row { debt: Debt { message: bare, ..debt.clone() }, due };
        let bytes = postcard::to_stdvec(&row).map_err(damaged(number))?;
        let length = bytes.len() as u64;
        match &before {
            // What is booked for the body stays: the debt may have been read without it.
            Some(before) => self.weigh(w, before.length, length)?,
            None => self.weigh(w, 0, length + debt.message.body.len() as u64 + OVERHEAD)?,
        }
        let mut dues = w.open_table(DUE)?;
        if let Some(Found { row: before, .. }) = &before {
            count(w, &before.debt, false)?;
            if let Some(due) = before.due {
                dues.remove((due, number))?;
            }
        }
        count(w, &row.debt, true)?;
        if let Some(due) = due {
            dues.insert((due, number), ())?;
        }
        w.open_table(DEBTS)?.insert(number, bytes.as_slice())?;
        Ok(())
    }

    /// A debt, with its body if that is asked for.
    ///
    /// # Errors
    /// When there is none, or it can't be read.
    pub fn get(&self, id: DebtId, body: bool) -> Result<Debt, StoreError> {
        let r = self.db.begin_read()?;
        let debts = r.open_table(DEBTS)?;
        let bytes = debts.get(id.0)?.ok_or(StoreError::Unknown { number: id.0 })?;
        let mut debt = read(id.0, bytes.value())?.debt;
        if body {
            let bodies = r.open_table(BODIES)?;
            let body = bodies.get(id.0)?.map(|b| Bytes::copy_from_slice(b.value()));
            debt.message.body =
                body.ok_or(StoreError::Damaged { number: id.0, why: "its body is gone".into() })?;
        }
        Ok(debt)
    }

    /// The number under which a message is owed.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn find(&self, request_id: &str) -> Result<Option<DebtId>, StoreError> {
        let requests = self.db.begin_read()?.open_table(REQUESTS)?;
        Ok(requests.get(request_id)?.map(|n| DebtId(n.value())))
    }

    /// What is due by now, soonest first, at most so many.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn due(&self, now: Micros, most: usize) -> Result<Vec<DebtId>, StoreError> {
        let dues = self.db.begin_read()?.open_table(DUE)?;
        let mut list = Vec::new();
        for entry in dues.range(..=(now, u64::MAX))?.take(most) {
            list.push(DebtId(entry?.0.value().1));
        }
        Ok(list)
    }

    /// Debts that a filter lets through, by receiver, class, reason and number, at most so many. Those that can't be
    /// read are told beside them.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn list(&self, filter: &Filter, most: usize) -> Result<Listed, StoreError> {
        let r = self.db.begin_read()?;
        let (facets, debts) = (r.open_table(FACETS)?, r.open_table(DEBTS)?);
        let (from, until) = match filter.receiver {
            Some(dest) => ((dest, "", 0, 0), (dest, char::MAX.to_string(), u8::MAX, u64::MAX)),
            None => ((i64::MIN, "", 0, 0), (i64::MAX, char::MAX.to_string(), u8::MAX, u64::MAX)),
        };
        let until = (until.0, until.1.as_str(), until.2, until.3);
        let mut listed = Listed::default();
        for entry in facets.range(from..=until)? {
            let key = entry?.0;
            let (_, class, reason, number) = key.value();
            if filter.class.as_ref().is_some_and(|c| c != class)
                || filter.reason.is_some_and(|r| r as u8 != reason)
            {
                continue;
            }
            let row = match debts.get(number)? {
                Some(bytes) => read(number, bytes.value()),
                None => Err(StoreError::Damaged { number, why: "its entry is gone".into() }),
            };
            match row {
                Ok(row) if filter.before.is_none_or(|t| row.debt.since < t) => {
                    listed.debts.push((DebtId(number), row.debt));
                    if listed.debts.len() >= most {
                        break;
                    }
                }
                Ok(_) => {}
                Err(e) => listed.damaged.push(e),
            }
        }
        Ok(listed)
    }

    /// How many there are of each sort, at a cost that goes by the sorts.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn counts(&self) -> Result<Vec<Count>, StoreError> {
        let counts = self.db.begin_read()?.open_table(COUNTS)?;
        let mut list = Vec::new();
        for entry in counts.iter()? {
            let (key, n) = entry?;
            let (receiver, class, reason, state) = key.value();
            let reason = Reason::ALL.get(usize::from(reason)).copied().unwrap_or(Reason::Unsent);
            let state = STATES.get(usize::from(state)).copied().unwrap_or("unknown");
            list.push(Count { receiver, class: class.into(), reason, state, debts: n.value() });
        }
        Ok(list)
    }

    /// Live bytes, and how many there may be.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn room(&self) -> Result<(u64, u64), StoreError> {
        let meta = self.db.begin_read()?.open_table(META)?;
        Ok((meta.get("live")?.map_or(0, |n| n.value()), self.most))
    }
}
