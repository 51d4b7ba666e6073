//! Store on an embedded database: one redb file, one transaction for each batch.
//!
//! redb verifies its pages when it recovers from a crash, not when it reads. So every value carries a CRC-32 over its
//! table, key and contents, and opening reads the whole file once: a file that opens was intact at that time.

use crate::heads::Heads;
use crate::{Batch, ENTRY_OVERHEAD_BYTES, Head, Limit, Medium, Operation, Page, Store, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, WriteTransaction};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;

const HEADER: TableDefinition<&str, &[u8]> = TableDefinition::new("header");
const HEADS: TableDefinition<&str, &[u8]> = TableDefinition::new("heads");
const ENTRIES: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("entries");
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");

/// Version of the file format; a file of another version is rejected with an error that names it.
pub const FORMAT_VERSION: u32 = 1;
const MAGIC: &[u8] = b"vetchkeel-store";

/// A store file on disk.
#[derive(Clone, Debug)]
pub struct EmbeddedMedium {
    pub path: PathBuf,
    /// Capacity for entries in bytes: each counts its payload plus [`ENTRY_OVERHEAD_BYTES`].
    pub capacity: u64,
    /// Cache size of the embedded database in bytes.
    pub cache: usize,
}

impl Medium for EmbeddedMedium {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        let (path, builder) = (self.path.clone(), builder(self.cache));
        Ok(Box::new(EmbeddedStore::open_with(self.capacity, || builder.create(path))?))
    }
}

/// A store opened on a redb database.
pub struct EmbeddedStore {
    database: Database,
    heads: Heads,
    capacity: u64,
    /// A write has failed, so further batches are rejected: what was stored is known only after reopening.
    failed: bool,
}

fn builder(cache: usize) -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(cache);
    builder
}

fn to_store_error(e: impl Into<redb::Error>) -> StoreError {
    match e.into() {
        redb::Error::Corrupted(place) => StoreError::Damaged(place),
        e => StoreError::Storage(e.to_string()),
    }
}

/// Runs a database call and turns a panic into [`StoreError::Damaged`]. Without this, flipped bits would crash the
/// process, because redb asserts invariants of its pages.
fn catch_panics<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|_| {
        Err(StoreError::Damaged("the embedded database panicked on an invalid page".to_owned()))
    })
}

/// CRC-32 over table, key, position (0 where there is none) and value.
fn checksum(table: &str, key: &str, at: u64, value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    for part in [table.as_bytes(), &[0], key.as_bytes(), &[0], &at.to_le_bytes(), value] {
        hasher.update(part);
    }
    hasher.finalize().to_le_bytes()
}

/// The stored form of a value: its checksum, then the value.
fn add_checksum(table: &str, key: &str, at: u64, value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(value.len() + 4);
    bytes.extend_from_slice(&checksum(table, key, at, value));
    bytes.extend_from_slice(value);
    bytes
}

/// Verifies the checksum of a stored value and returns the value.
fn verify_checksum<'a>(table: &str, key: &str, at: u64, bytes: &'a [u8]) -> Result<&'a [u8], StoreError> {
    match bytes.split_first_chunk::<4>() {
        Some((sum, value)) if *sum == checksum(table, key, at, value) => Ok(value),
        _ => Err(StoreError::Damaged(format!("{table} {key} {at}: checksum mismatch"))),
    }
}

fn decode_head(log: &str, bytes: &[u8]) -> Result<Head, StoreError> {
    let value = verify_checksum("heads", log, 0, bytes)?;
    let number = |part: Option<&[u8]>| part.and_then(|p| p.try_into().ok()).map(u64::from_le_bytes);
    match (number(value.get(..8)), number(value.get(8..16))) {
        (Some(first), Some(next)) if first <= next => Ok(Head { first, next }),
        _ => Err(StoreError::Damaged(format!("heads {log}: expected two positions in ascending order"))),
    }
}

impl EmbeddedStore {
    /// Opens a store on any backend of the embedded database.
    pub fn with_backend(
        backend: impl StorageBackend,
        capacity: u64,
        cache: usize,
    ) -> Result<EmbeddedStore, StoreError> {
        EmbeddedStore::open_with(capacity, || builder(cache).create_with_backend(backend))
    }

    fn open_with(
        capacity: u64,
        create: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<EmbeddedStore, StoreError> {
        catch_panics(|| {
            let mut database = create().map_err(to_store_error)?;
            // Verifies the checksum of every page from the root down, so that no page refers to a wrong one afterwards.
            database.check_integrity().map_err(to_store_error)?;
            let transaction = database.begin_write().map_err(to_store_error)?;
            check_header(&transaction)?;
            for table in [HEADS, RECORDS] {
                transaction.open_table(table).map_err(to_store_error)?;
            }
            transaction.open_table(ENTRIES).map_err(to_store_error)?;
            transaction.commit().map_err(to_store_error)?;
            let heads = verify_contents(&database)?;
            Ok(EmbeddedStore { database, heads, capacity, failed: false })
        })
    }

    fn write_batch(&self, batch: &Batch, change: &crate::heads::Change) -> Result<u64, StoreError> {
        let transaction = self.database.begin_write().map_err(to_store_error)?;
        let freed_bytes = {
            let mut entries = transaction.open_table(ENTRIES).map_err(to_store_error)?;
            let mut records = transaction.open_table(RECORDS).map_err(to_store_error)?;
            let mut heads = transaction.open_table(HEADS).map_err(to_store_error)?;
            let mut freed_bytes = 0;
            for operation in batch.operations() {
                freed_bytes += apply_operation(operation, &mut entries, &mut records)?;
            }
            for (log, head) in &change.logs {
                if let Some(head) = head {
                    let value = [head.first.to_le_bytes(), head.next.to_le_bytes()].concat();
                    heads
                        .insert(log.as_str(), add_checksum("heads", log, 0, &value).as_slice())
                        .map_err(to_store_error)?;
                } else {
                    heads.remove(log.as_str()).map_err(to_store_error)?;
                }
            }
            freed_bytes
        };
        transaction.commit().map_err(to_store_error)?;
        Ok(freed_bytes)
    }
}

/// Checks the file header, and writes it to a new file.
fn check_header(transaction: &WriteTransaction) -> Result<(), StoreError> {
    let mut table = transaction.open_table(HEADER).map_err(to_store_error)?;
    let found = table.get("header").map_err(to_store_error)?.map(|v| v.value().to_vec());
    let Some(found) = found else {
        let value = [MAGIC, &FORMAT_VERSION.to_le_bytes()].concat();
        table.insert("header", value.as_slice()).map_err(to_store_error)?;
        return Ok(());
    };
    let version = found.strip_prefix(MAGIC).and_then(|v| v.try_into().ok()).map(u32::from_le_bytes);
    match version {
        Some(FORMAT_VERSION) => Ok(()),
        Some(other) => Err(StoreError::Version { found: other.to_string(), supported: FORMAT_VERSION }),
        None => Err(StoreError::Version {
            found: "(file of another program)".to_owned(),
            supported: FORMAT_VERSION,
        }),
    }
}

/// Reads all tables once, verifies every checksum and that no log has gaps, and returns the heads.
fn verify_contents(database: &Database) -> Result<Heads, StoreError> {
    let transaction = database.begin_read().map_err(to_store_error)?;
    let mut heads = Heads::default();
    for entry in transaction.open_table(HEADS).map_err(to_store_error)?.iter().map_err(to_store_error)? {
        let (log, value) = entry.map_err(to_store_error)?;
        heads.logs.insert(log.value().to_owned(), decode_head(log.value(), value.value())?);
    }
    let mut count = 0;
    for entry in transaction.open_table(ENTRIES).map_err(to_store_error)?.iter().map_err(to_store_error)? {
        let (key, value) = entry.map_err(to_store_error)?;
        let (log, at) = key.value();
        let payload = verify_checksum("entries", log, at, value.value())?;
        let head = heads.head(log);
        if at < head.first || at >= head.next {
            return Err(StoreError::Damaged(format!(
                "entries {log} {at}: outside {}..{}",
                head.first, head.next
            )));
        }
        heads.held_bytes += payload.len() as u64 + ENTRY_OVERHEAD_BYTES;
        count += 1;
    }
    // Every entry lies within its log's bounds and keys are unique, so an equal count means that no log has a gap.
    let expected: u64 = heads.logs.values().map(|h| h.next - h.first).sum();
    if expected != count {
        return Err(StoreError::Damaged(format!("found {count} entries, expected {expected} by the heads")));
    }
    for entry in transaction.open_table(RECORDS).map_err(to_store_error)?.iter().map_err(to_store_error)? {
        let (key, value) = entry.map_err(to_store_error)?;
        verify_checksum("records", key.value(), 0, value.value())?;
        heads.keys.insert(key.value().to_owned());
    }
    Ok(heads)
}

type Entries<'a> = redb::Table<'a, (&'static str, u64), &'static [u8]>;
type Records<'a> = redb::Table<'a, &'static str, &'static [u8]>;

/// Applies one operation and returns the bytes that it freed.
fn apply_operation(
    operation: &Operation,
    entries: &mut Entries,
    records: &mut Records,
) -> Result<u64, StoreError> {
    match operation {
        Operation::Append { log, at, payload } => {
            let value = add_checksum("entries", log, *at, payload);
            entries.insert((log.as_str(), *at), value.as_slice()).map_err(to_store_error)?;
            Ok(0)
        }
        Operation::Trim { log, below } => remove_entries_below(entries, log, *below),
        Operation::Reset { log, .. } | Operation::Drop { log } => {
            remove_entries_below(entries, log, u64::MAX)
        }
        Operation::Put { key, value } => {
            records
                .insert(key.as_str(), add_checksum("records", key, 0, value).as_slice())
                .map_err(to_store_error)?;
            Ok(0)
        }
        Operation::Remove { key } => {
            records.remove(key.as_str()).map_err(to_store_error)?;
            Ok(0)
        }
    }
}

/// Removes a log's entries below a position and returns the bytes that they held.
fn remove_entries_below(entries: &mut Entries, log: &str, below: u64) -> Result<u64, StoreError> {
    let mut freed_bytes = 0;
    for entry in entries.extract_from_if((log, 0)..(log, below), |_, _| true).map_err(to_store_error)? {
        let (_, value) = entry.map_err(to_store_error)?;
        freed_bytes += value.value().len() as u64 - 4 + ENTRY_OVERHEAD_BYTES;
    }
    Ok(freed_bytes)
}

impl Store for EmbeddedStore {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Storage("an earlier write failed: reopen the store".to_owned()));
        }
        let change = self.heads.validate(batch, self.capacity)?;
        match catch_panics(|| self.write_batch(batch, &change)) {
            Ok(freed_bytes) => {
                self.heads.commit(change, freed_bytes);
                Ok(())
            }
            Err(e) => {
                self.failed = true;
                Err(e)
            }
        }
    }

    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError> {
        let head = self.heads.check_readable(log, from)?;
        catch_panics(|| {
            let transaction = self.database.begin_read().map_err(to_store_error)?;
            let table = transaction.open_table(ENTRIES).map_err(to_store_error)?;
            let mut page = Page { from, entries: Vec::new() };
            let mut bytes = 0;
            for entry in table.range((log, from)..(log, head.next)).map_err(to_store_error)? {
                let (key, value) = entry.map_err(to_store_error)?;
                let at = key.value().1;
                if at != page.next() {
                    return Err(StoreError::Damaged(format!(
                        "entries {log}: found position {at}, expected {}",
                        page.next()
                    )));
                }
                let payload = verify_checksum("entries", log, at, value.value())?;
                bytes += payload.len();
                let over_limit = page.entries.len() >= limit.entries || bytes > limit.bytes;
                if over_limit && !page.entries.is_empty() {
                    break;
                }
                page.entries.push(payload.to_vec());
            }
            if page.entries.is_empty() && from < head.next {
                return Err(StoreError::Damaged(format!("entries {log} {from}: missing")));
            }
            Ok(page)
        })
    }

    fn head(&self, log: &str) -> Head {
        self.heads.head(log)
    }

    fn logs(&self) -> Vec<String> {
        self.heads.logs.keys().cloned().collect()
    }

    fn record(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        catch_panics(|| {
            let transaction = self.database.begin_read().map_err(to_store_error)?;
            let table = transaction.open_table(RECORDS).map_err(to_store_error)?;
            let found = table.get(key).map_err(to_store_error)?;
            found.map(|v| verify_checksum("records", key, 0, v.value()).map(<[u8]>::to_vec)).transpose()
        })
    }

    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        catch_panics(|| {
            let transaction = self.database.begin_read().map_err(to_store_error)?;
            let table = transaction.open_table(RECORDS).map_err(to_store_error)?;
            let mut found = Vec::new();
            for entry in table.range(prefix..).map_err(to_store_error)? {
                let (key, value) = entry.map_err(to_store_error)?;
                if !key.value().starts_with(prefix) {
                    break;
                }
                let value = verify_checksum("records", key.value(), 0, value.value())?.to_vec();
                found.push((key.value().to_owned(), value));
            }
            Ok(found)
        })
    }
}
