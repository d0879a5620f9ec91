//! The persistent store of debts: one redb file. Each change is one transaction, synced before the call returns.
//!
//! | table | key | value |
//! | --- | --- | --- |
//! | `debts` | number | the [`Debt`] without its body, and its due time, encoded with postcard |
//! | `bodies` | number | the body of the debt's message |
//! | `requests` | request id | number of the debt; a message is owed only once |
//! | `due` | time, number | none; the order in which debts are due |
//! | `facets` | receiver, class, reason, number | none; the index for listing debts |
//! | `counts` | receiver, class, reason, state | number of debts |
//! | `meta` | name | the format version, the number of the next debt, the live bytes |
//!
//! All calls block on disk I/O. A caller that must not block runs them on a separate thread.

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

/// The version of the store's file format. A file with a later version is rejected rather than misread.
const FORMAT_VERSION: u64 = 1;
/// The bytes booked for a debt in addition to its row and body: its keys in all tables, and page overhead.
const ENTRY_OVERHEAD_BYTES: u64 = 256;
/// The maximum ratio of the store's file size to its live bytes.
/// The file is larger because old pages coexist with new pages until a commit, and pages are only partly filled.
const FILE_SIZE_FACTOR: u64 = 2;
/// The size of the store's file without debts, in bytes.
const EMPTY_FILE_BYTES: u64 = 1 << 20;
/// The size of the page cache in bytes. The cache is small enough for a daemon with 32 MB of memory.
const CACHE_BYTES: usize = 1 << 20;

/// Why an operation of the store failed. A failed operation changes nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store has no room for a new debt.
    #[error(
        "the store of owed messages is full: {live} of {max} bytes in use; raise 'max_mb', or settle some debts"
    )]
    Full {
        /// The number of live bytes in the store.
        live: u64,
        /// The maximum number of live bytes, derived from the operator's limit on the file size.
        max: u64,
    },
    /// The store's file was written by a later release.
    #[error(
        "the store of owed messages has format version {found}, but this release reads only up to {FORMAT_VERSION}: \
         start the release that wrote it"
    )]
    Version {
        /// The format version of the store's file.
        found: u64,
    },
    /// A stored debt can't be read. Other debts in the store still can be read.
    #[error("owed message {number} can't be read: {cause}")]
    Damaged {
        /// The number of the debt that can't be read.
        number: u64,
        /// The cause of the damage, as reported by the decoder.
        cause: String,
    },
    /// No debt in the store has the requested number.
    #[error("no message is owed under number {number}")]
    Unknown {
        /// The requested debt number, which no debt in the store has.
        number: u64,
    },
    /// The disk or the database failed.
    #[error("the store of owed messages failed: {0}")]
    Disk(redb::Error),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        StoreError::Disk(error.into())
    }
}

#[derive(Serialize, Deserialize)]
struct Row {
    debt: Debt,
    /// The time at which the debt's next step must be determined again; `None` if never.
    due: Option<Micros>,
}

/// A row of the table `debts`, and the length of its encoding in bytes.
struct StoredRow {
    row: Row,
    length: u64,
}

/// The result of inserting a debt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inserted {
    /// The debt is new, and is stored under the debt number in the value.
    New(DebtId),
    /// The message was already stored as a debt, whose number is the value; the store has not changed.
    Existing(DebtId),
}

/// Selects the debts to list for the operator. A debt must match all fields of the filter that are set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Selects debts to this receiver.
    pub receiver: Option<i64>,
    /// Selects debts of this message class.
    pub class: Option<String>,
    /// Selects debts whose delivery was given up for this reason.
    pub reason: Option<Reason>,
    /// Selects debts whose delivery was given up before this time.
    pub before: Option<Micros>,
}

/// The debts that match a filter.
#[derive(Debug, Default)]
pub struct DebtList {
    /// The debts that match the filter, without message bodies.
    pub debts: Vec<(DebtId, Debt)>,
    /// One error for each stored debt that can't be read.
    pub damaged: Vec<StoreError>,
}

/// The number of debts with the same receiver, class, reason and state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The number of the debts' receiver.
    pub receiver: i64,
    /// The name of the debts' message class.
    pub class: String,
    /// The reason why delivery of the debts' messages was given up.
    pub reason: Reason,
    /// The state of the debts: `owed`, `out` (in flight) or `settled`.
    pub state: &'static str,
    /// The number of debts with this receiver, class, reason and state.
    pub debts: u64,
}

/// The persistent store of debts.
pub struct Store {
    db: Database,
    max_live_bytes: u64,
}

fn facets_of(debt: &Debt) -> (i64, &str, u8) {
    (debt.message.dest, &debt.message.class, debt.reason as u8)
}

fn state_index(debt: &Debt) -> u8 {
    match debt.state {
        State::Owed => 0,
        State::InFlight => 1,
        State::Settled(_) => 2,
    }
}

/// The names of the states of debts, in the order of [`state_index`].
const STATE_NAMES: [&str; 3] = ["owed", "out", "settled"];

fn damaged(number: u64) -> impl Fn(postcard::Error) -> StoreError {
    move |e| StoreError::Damaged { number, cause: e.to_string() }
}

fn decode_row(number: u64, bytes: &[u8]) -> Result<Row, StoreError> {
    postcard::from_bytes(bytes).map_err(damaged(number))
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Adds a debt to the table `counts`, or removes the debt from it.
fn adjust_count(transaction: &WriteTransaction, debt: &Debt, add: bool) -> Result<(), StoreError> {
    let (dest, class, reason) = facets_of(debt);
    let mut counts = transaction.open_table(COUNTS)?;
    let key = (dest, class, reason, state_index(debt));
    let n = counts.get(key)?.map_or(0, |n| n.value());
    match if add { n + 1 } else { n.saturating_sub(1) } {
        0 => _ = counts.remove(key)?,
        n => _ = counts.insert(key, n)?,
    }
    Ok(())
}

/// Creates all tables, so that read transactions need not handle missing tables.
fn create_tables(db: &Database) -> Result<(), StoreError> {
    let transaction = db.begin_write()?;
    transaction.open_table(META)?.insert("version", FORMAT_VERSION)?;
    transaction.open_table(DEBTS)?;
    transaction.open_table(BODIES)?;
    transaction.open_table(REQUESTS)?;
    transaction.open_table(DUE)?;
    transaction.open_table(FACETS)?;
    transaction.open_table(COUNTS)?;
    transaction.commit()?;
    Ok(())
}

impl Store {
    /// Opens the store in the file `path`, or creates the file. A new file is renamed to `path` only when complete.
    /// An incomplete file at `path`, left by a killed process, could not be opened.
    ///
    /// # Errors
    /// Returns an error when the file can't be opened, was written by a later release, or is not a store.
    pub fn open(path: &Path, max_bytes: u64) -> Result<Store, StoreError> {
        let new = path.with_extension("new");
        if let Err(e) = std::fs::remove_file(&new)
            && e.kind() != std::io::ErrorKind::NotFound
        {
            return Err(redb::Error::Io(e).into());
        }
        if !path.try_exists().map_err(redb::Error::Io)? {
            drop(Store::from_database(builder().create(&new)?, max_bytes)?);
            std::fs::rename(&new, path).map_err(redb::Error::Io)?;
        }
        Store::from_database(builder().create(path)?, max_bytes)
    }

    /// Opens or creates the store on a given storage backend. Tests use a backend that fails on command.
    ///
    /// # Errors
    /// Fails in the same cases as [`Store::open`].
    pub fn with_backend(backend: impl StorageBackend, max_bytes: u64) -> Result<Store, StoreError> {
        Store::from_database(builder().create_with_backend(backend)?, max_bytes)
    }

    /// Opens a database. An existing database is only read, because a write would cost a sync.
    fn from_database(db: Database, max_bytes: u64) -> Result<Store, StoreError> {
        match db.begin_read()?.open_table(META) {
            Ok(meta) => match meta.get("version")?.map_or(FORMAT_VERSION, |v| v.value()) {
                found if found > FORMAT_VERSION => return Err(StoreError::Version { found }),
                _ => {}
            },
            Err(TableError::TableDoesNotExist(_)) => create_tables(&db)?,
            Err(e) => return Err(e.into()),
        }
        Ok(Store { db, max_live_bytes: max_bytes.saturating_sub(EMPTY_FILE_BYTES) / FILE_SIZE_FACTOR })
    }

    /// Stores the debt of a message and syncs it to disk. A message that is already owed is left unchanged.
    /// Repeats occur: after an interrupted transfer into the store, the next start of the sender repeats the transfer.
    ///
    /// # Errors
    /// Returns an error when the store has no room for the debt, or the disk fails.
    /// In both cases the message is not stored.
    pub fn insert(&self, debt: &Debt, due: Option<Micros>) -> Result<Inserted, StoreError> {
        let transaction = self.db.begin_write()?;
        let inserted = self.insert_in(&transaction, debt, due)?;
        transaction.commit()?;
        Ok(inserted)
    }

    /// Stores many debts in one transaction with one sync, and returns the result of each in the same order.
    /// If the store has no room for one of the debts, the remaining debts are still stored.
    ///
    /// # Errors
    /// Returns an error when the disk fails. In this case none of the debts is stored.
    pub fn insert_all<'a>(
        &self,
        debts: impl IntoIterator<Item = (&'a Debt, Option<Micros>)>,
    ) -> Result<Vec<Result<Inserted, StoreError>>, StoreError> {
        let transaction = self.db.begin_write()?;
        let mut results = Vec::new();
        for (debt, due) in debts {
            match self.insert_in(&transaction, debt, due) {
                Err(e @ StoreError::Full { .. }) => results.push(Err(e)),
                other => results.push(Ok(other?)),
            }
        }
        transaction.commit()?;
        Ok(results)
    }

    /// Inserts a debt within a transaction. Checks for room first, so that a rejected debt leaves no partial entry.
    fn insert_in(
        &self,
        transaction: &WriteTransaction,
        debt: &Debt,
        due: Option<Micros>,
    ) -> Result<Inserted, StoreError> {
        let request = debt.message.request_id.as_str();
        if let Some(number) = transaction.open_table(REQUESTS)?.get(request)?.map(|n| n.value()) {
            return Ok(Inserted::Existing(DebtId(number)));
        }
        let number = transaction.open_table(META)?.get("next")?.map_or(1, |n| n.value());
        self.put(transaction, number, debt, due, None)?;
        transaction.open_table(META)?.insert("next", number + 1)?;
        transaction.open_table(REQUESTS)?.insert(request, number)?;
        transaction.open_table(BODIES)?.insert(number, debt.message.body.as_ref())?;
        let (dest, class, reason) = facets_of(debt);
        transaction.open_table(FACETS)?.insert((dest, class, reason, number), ())?;
        Ok(Inserted::New(DebtId(number)))
    }

    /// Replaces a stored debt and syncs it to disk. The receiver, class, reason and body must not change.
    ///
    /// # Errors
    /// Returns an error when no debt has the given debt number, or the disk fails. In both cases the store is unchanged.
    pub fn update(&self, id: DebtId, debt: &Debt, due: Option<Micros>) -> Result<(), StoreError> {
        let transaction = self.db.begin_write()?;
        let before = self.row(&transaction, id.0)?;
        self.put(&transaction, id.0, debt, due, Some(before))?;
        transaction.commit()?;
        Ok(())
    }

    /// Removes a debt from the store, with its index entries.
    ///
    /// # Errors
    /// Returns an error when no debt has the given debt number, or the disk fails. In both cases the store is unchanged.
    pub fn remove(&self, id: DebtId) -> Result<(), StoreError> {
        let transaction = self.db.begin_write()?;
        let StoredRow { row, length } = self.row(&transaction, id.0)?;
        transaction.open_table(DEBTS)?.remove(id.0)?;
        let body = transaction.open_table(BODIES)?.remove(id.0)?.map_or(0, |b| b.value().len() as u64);
        transaction.open_table(REQUESTS)?.remove(row.debt.message.request_id.as_str())?;
        let (dest, class, reason) = facets_of(&row.debt);
        transaction.open_table(FACETS)?.remove((dest, class, reason, id.0))?;
        if let Some(due) = row.due {
            transaction.open_table(DUE)?.remove((due, id.0))?;
        }
        adjust_count(&transaction, &row.debt, false)?;
        self.book_bytes(&transaction, length + body + ENTRY_OVERHEAD_BYTES, 0)?;
        transaction.commit()?;
        Ok(())
    }

    fn row(&self, transaction: &WriteTransaction, number: u64) -> Result<StoredRow, StoreError> {
        let debts = transaction.open_table(DEBTS)?;
        let bytes = debts.get(number)?.ok_or(StoreError::Unknown { number })?;
        let bytes = bytes.value();
        Ok(StoredRow { row: decode_row(number, bytes)?, length: bytes.len() as u64 })
    }

    /// Replaces `before` by `after` in the count of live bytes.
    /// Only a new entry, whose `before` is 0, is checked against the size limit of the store.
    /// Debts in a full store can therefore still be updated and settled.
    fn book_bytes(&self, transaction: &WriteTransaction, before: u64, after: u64) -> Result<(), StoreError> {
        let mut meta = transaction.open_table(META)?;
        let live = meta.get("live")?.map_or(0, |n| n.value());
        let now = live.saturating_sub(before) + after;
        if before == 0 && now > self.max_live_bytes {
            return Err(StoreError::Full { live, max: self.max_live_bytes });
        }
        meta.insert("live", now)?;
        Ok(())
    }

    fn put(
        &self,
        transaction: &WriteTransaction,
        number: u64,
        debt: &Debt,
        due: Option<Micros>,
        before: Option<StoredRow>,
    ) -> Result<(), StoreError> {
        let without_body = crate::debt::Message { body: Bytes::new(), ..debt.message.clone() };
        let row = Row { debt: Debt { message: without_body, ..debt.clone() }, due };
        let bytes = postcard::to_stdvec(&row).map_err(damaged(number))?;
        let length = bytes.len() as u64;
        match &before {
            // The bytes booked for the body are unchanged: the caller may have read the debt without its body.
            Some(before) => self.book_bytes(transaction, before.length, length)?,
            None => self.book_bytes(
                transaction,
                0,
                length + debt.message.body.len() as u64 + ENTRY_OVERHEAD_BYTES,
            )?,
        }
        let mut dues = transaction.open_table(DUE)?;
        if let Some(StoredRow { row: before, .. }) = &before {
            adjust_count(transaction, &before.debt, false)?;
            if let Some(due) = before.due {
                dues.remove((due, number))?;
            }
        }
        adjust_count(transaction, &row.debt, true)?;
        if let Some(due) = due {
            dues.insert((due, number), ())?;
        }
        transaction.open_table(DEBTS)?.insert(number, bytes.as_slice())?;
        Ok(())
    }

    /// Returns a debt, with its body if `with_body` is set.
    ///
    /// # Errors
    /// Returns an error when no debt has the given debt number, or the debt can't be read.
    pub fn get(&self, id: DebtId, with_body: bool) -> Result<Debt, StoreError> {
        let r = self.db.begin_read()?;
        let debts = r.open_table(DEBTS)?;
        let bytes = debts.get(id.0)?.ok_or(StoreError::Unknown { number: id.0 })?;
        let mut debt = decode_row(id.0, bytes.value())?.debt;
        if with_body {
            let bodies = r.open_table(BODIES)?;
            let body = bodies.get(id.0)?.map(|b| Bytes::copy_from_slice(b.value()));
            debt.message.body =
                body.ok_or(StoreError::Damaged { number: id.0, cause: "its body is missing".into() })?;
        }
        Ok(debt)
    }

    /// Returns the number of a message's debt; `None` if the message is not owed.
    ///
    /// # Errors
    /// Returns an error when the disk fails.
    pub fn find(&self, request_id: &str) -> Result<Option<DebtId>, StoreError> {
        let requests = self.db.begin_read()?.open_table(REQUESTS)?;
        Ok(requests.get(request_id)?.map(|n| DebtId(n.value())))
    }

    /// Returns at most `limit` debts that are due, earliest first.
    ///
    /// # Errors
    /// Returns an error when the disk fails.
    pub fn due(&self, now: Micros, limit: usize) -> Result<Vec<DebtId>, StoreError> {
        let dues = self.db.begin_read()?.open_table(DUE)?;
        let mut list = Vec::new();
        for entry in dues.range(..=(now, u64::MAX))?.take(limit) {
            list.push(DebtId(entry?.0.value().1));
        }
        Ok(list)
    }

    /// Returns at most `limit` debts that match a filter, ordered by receiver, class, reason and number.
    /// Debts that can't be read are returned separately, as errors.
    ///
    /// # Errors
    /// Returns an error when the disk fails.
    pub fn list(&self, filter: &Filter, limit: usize) -> Result<DebtList, StoreError> {
        let r = self.db.begin_read()?;
        let (facets, debts) = (r.open_table(FACETS)?, r.open_table(DEBTS)?);
        let (from, until) = match filter.receiver {
            Some(dest) => ((dest, "", 0, 0), (dest, char::MAX.to_string(), u8::MAX, u64::MAX)),
            None => ((i64::MIN, "", 0, 0), (i64::MAX, char::MAX.to_string(), u8::MAX, u64::MAX)),
        };
        let until = (until.0, until.1.as_str(), until.2, until.3);
        let mut listed = DebtList::default();
        for entry in facets.range(from..=until)? {
            let key = entry?.0;
            let (_, class, reason, number) = key.value();
            if filter.class.as_ref().is_some_and(|c| c != class)
                || filter.reason.is_some_and(|r| r as u8 != reason)
            {
                continue;
            }
            let row = match debts.get(number)? {
                Some(bytes) => decode_row(number, bytes.value()),
                None => Err(StoreError::Damaged { number, cause: "its entry is missing".into() }),
            };
            match row {
                Ok(row) if filter.before.is_none_or(|t| row.debt.given_up_at < t) => {
                    listed.debts.push((DebtId(number), row.debt));
                    if listed.debts.len() >= limit {
                        break;
                    }
                }
                Ok(_) => {}
                Err(e) => listed.damaged.push(e),
            }
        }
        Ok(listed)
    }

    /// Returns the number of debts by receiver, class, reason and state.
    /// The cost of counting depends on the number of such combinations, not on the number of debts.
    ///
    /// # Errors
    /// Returns an error when the disk fails.
    pub fn counts(&self) -> Result<Vec<Count>, StoreError> {
        let counts = self.db.begin_read()?.open_table(COUNTS)?;
        let mut list = Vec::new();
        for entry in counts.iter()? {
            let (key, n) = entry?;
            let (receiver, class, reason, state) = key.value();
            let reason = Reason::ALL.get(usize::from(reason)).copied().unwrap_or(Reason::Unsent);
            let state = STATE_NAMES.get(usize::from(state)).copied().unwrap_or("unknown");
            list.push(Count { receiver, class: class.into(), reason, state, debts: n.value() });
        }
        Ok(list)
    }

    /// Returns the number of live bytes in the store, and the maximum number of live bytes.
    ///
    /// # Errors
    /// Returns an error when the disk fails.
    pub fn usage(&self) -> Result<(u64, u64), StoreError> {
        let meta = self.db.begin_read()?.open_table(META)?;
        Ok((meta.get("live")?.map_or(0, |n| n.value()), self.max_live_bytes))
    }
}
