//! Store on an embedded database: one redb file, one transaction for each batch.
//!
//! redb verifies its pages when it recovers from a crash, not when it reads. So every value carries a CRC-32 over its
//! table, key and contents, and opening reads the whole file once: a file that opens was intact at that time.

use crate::heads::Heads;
use crate::{Batch, ENTRY_COST, Head, Limit, Medium, Operation, Page, Store, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, WriteTransaction};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;

const HEADER: TableDefinition<&str, &[u8]> = TableDefinition::new("header");
const HEADS: TableDefinition<&str, &[u8]> = TableDefinition::new("heads");
const ENTRIES: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("entries");
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");

/// Version of the file format; a file of another version is rejected with an error that names it.
pub const VERSION: u32 = 1;
const MAGIC: &[u8] = b"vetchkeel-store";

/// A store file on disk.
#[derive(Clone, Debug)]
pub struct EmbeddedMedium {
    pub path: PathBuf,
    /// Capacity for entries in bytes: each counts its payload plus [`ENTRY_COST`].
    pub room: u64,
    /// Cache size of the embedded database in bytes.
    pub cache: usize,
}

impl Medium for EmbeddedMedium {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        let (path, builder) = (self.path.clone(), builder(self.cache));
        Ok(Box::new(EmbeddedStore::opened(self.room, || builder.create(path))?))
    }
}

/// A store opened on a redb database.
pub struct EmbeddedStore {
    database: Database,
    heads: Heads,
    room: u64,
    /// A write has failed, so further batches are rejected: what was stored is known only after reopening.
    failed: bool,
}

fn builder(cache: usize) -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(cache);
    builder
}

fn storage(e: impl Into<redb::Error>) -> StoreError {
    match e.into() {
        redb::Error::Corrupted(place) => StoreError::Damaged(place),
        e => StoreError::Storage(e.to_string()),
    }
}

/// Runs a database call and turns a panic into [`StoreError::Damaged`]. Without this, flipped bits would crash the process,
/// because redb asserts invariants of its pages.
fn guarded<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError::Damaged("the embedded database panicked on an invalid page".to_owned())))
}

/// CRC-32 over table, key, position (0 where there is none) and value.
fn crc(table: &str, key: &str, at: u64, value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    for part in [table.as_bytes(), &[0], key.as_bytes(), &[0], &at.to_le_bytes(), value] {
        hasher.update(part);
    }
    hasher.finalize().to_le_bytes()
}

/// The stored form of a value: its checksum, then the value.
fn sealed(table: &str, key: &str, at: u64, value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(value.len() + 4);
    bytes.extend_from_slice(&crc(table, key, at, value));
    bytes.extend_from_slice(value);
    bytes
}

/// Verifies the checksum of a stored value and returns the value.
fn unsealed<'a>(table: &str, key: &str, at: u64, bytes: &'a [u8]) -> Result<&'a [u8], StoreError> {
    match bytes.split_first_chunk::<4>() {
        Some((sum, value)) if *sum == crc(table, key, at, value) => Ok(value),
        _ => Err(StoreError::Damaged(format!("{table} {key} {at}: checksum mismatch"))),
    }
}

fn head_of(log: &str, bytes: &[u8]) -> Result<Head, StoreError> {
    let value = unsealed("heads", log, 0, bytes)?;
    let number = |part: Option<&[u8]>| part.and_then(|p| p.try_into().ok()).map(u64::from_le_bytes);
    match (number(value.get(..8)), number(value.get(8..16))) {
        (Some(first), Some(next)) if first <= next => Ok(Head { first, next }),
        _ => Err(StoreError::Damaged(format!("heads {log}: expected two positions in ascending order"))),
    }
}

impl EmbeddedStore {
    /// Opens a store on any backend of the embedded database.
    pub fn on(backend: impl StorageBackend, room: u64, cache: usize) -> Result<EmbeddedStore, StoreError> {
        EmbeddedStore::opened(room, || builder(cache).create_with_backend(backend))
    }

    fn opened(
        room: u64,
        create: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<EmbeddedStore, StoreError> {
        guarded(|| {
            let mut database = create().map_err(storage)?;
            // Verifies the checksum of every page from the root down, so that no page refers to a wrong one afterwards.
            database.check_integrity().map_err(storage)?;
            let write = database.begin_write().map_err(storage)?;
            header(&write)?;
            for table in [HEADS, RECORDS] {
                write.open_table(table).map_err(storage)?;
            }
            write.open_table(ENTRIES).map_err(storage)?;
            write.commit().map_err(storage)?;
            let heads = read_through(&database)?;
            Ok(EmbeddedStore { database, heads, room, failed: false })
        })
    }

    fn write(&self, batch: &Batch, change: &crate::heads::Change) -> Result<u64, StoreError> {
        let write = self.database.begin_write().map_err(storage)?;
        let freed = {
            let mut entries = write.open_table(ENTRIES).map_err(storage)?;
            let mut records = write.open_table(RECORDS).map_err(storage)?;
            let mut heads = write.open_table(HEADS).map_err(storage)?;
            let mut freed = 0;
            for operation in batch.operations() {
                freed += operate(operation, &mut entries, &mut records)?;
            }
            for (log, head) in &change.logs {
                if let Some(head) = head {
                    let value = [head.first.to_le_bytes(), head.next.to_le_bytes()].concat();
                    heads
                        .insert(log.as_str(), sealed("heads", log, 0, &value).as_slice())
                        .map_err(storage)?;
                } else {
                    heads.remove(log.as_str()).map_err(storage)?;
                }
            }
            freed
        };
        write.commit().map_err(storage)?;
        Ok(freed)
    }
}

/// Checks the file header, and writes it to a new file.
fn header(write: &WriteTransaction) -> Result<(), StoreError> {
    let mut table = write.open_table(HEADER).map_err(storage)?;
    let found = table.get("header").map_err(storage)?.map(|v| v.value().to_vec());
    let Some(found) = found else {
        let value = [MAGIC, &VERSION.to_le_bytes()].concat();
        table.insert("header", value.as_slice()).map_err(storage)?;
        return Ok(());
    };
    let told = found.strip_prefix(MAGIC).and_then(|v| v.try_into().ok()).map(u32::from_le_bytes);
    match told {
        Some(VERSION) => Ok(()),
        Some(other) => Err(StoreError::Version { found: other.to_string(), known: VERSION }),
        None => Err(StoreError::Version { found: "of another program".to_owned(), known: VERSION }),
    }
}

/// Reads all tables once, verifies every checksum and that no log has gaps, and returns the heads.
fn read_through(database: &Database) -> Result<Heads, StoreError> {
    let read = database.begin_read().map_err(storage)?;
    let mut heads = Heads::default();
    for entry in read.open_table(HEADS).map_err(storage)?.iter().map_err(storage)? {
        let (log, value) = entry.map_err(storage)?;
        heads.logs.insert(log.value().to_owned(), head_of(log.value(), value.value())?);
    }
    let mut counted = 0;
    for entry in read.open_table(ENTRIES).map_err(storage)?.iter().map_err(storage)? {
        let (key, value) = entry.map_err(storage)?;
        let (log, at) = key.value();
        let payload = unsealed("entries", log, at, value.value())?;
        let head = heads.head(log);
        if at < head.first || at >= head.next {
            return Err(StoreError::Damaged(format!(
                "entries {log} {at}: outside {}..{}",
                head.first, head.next
            )));
        }
        heads.held += payload.len() as u64 + ENTRY_COST;
        counted += 1;
    }
    // Every entry lies within its log's bounds and keys are unique, so an equal count means that no log has a gap.
    let told: u64 = heads.logs.values().map(|h| h.next - h.first).sum();
    if told != counted {
        return Err(StoreError::Damaged(format!("found {counted} entries, expected {told} by the heads")));
    }
    for entry in read.open_table(RECORDS).map_err(storage)?.iter().map_err(storage)? {
        let (key, value) = entry.map_err(storage)?;
        unsealed("records", key.value(), 0, value.value())?;
        heads.keys.insert(key.value().to_owned());
    }
    Ok(heads)
}

type Entries<'a> = redb::Table<'a, (&'static str, u64), &'static [u8]>;
type Records<'a> = redb::Table<'a, &'static str, &'static [u8]>;

/// Applies one operation and returns the bytes that it freed.
fn operate(operation: &Operation, entries: &mut Entries, records: &mut Records) -> Result<u64, StoreError> {
    match operation {
        Operation::Append { log, at, payload } => {
            let value = sealed("entries", log, *at, payload);
            entries.insert((log.as_str(), *at), value.as_slice()).map_err(storage)?;
            Ok(0)
        }
        Operation::Trim { log, below } => dropped(entries, log, *below),
        Operation::Begin { log, .. } | Operation::Drop { log } => dropped(entries, log, u64::MAX),
        Operation::Put { key, value } => {
            records.insert(key.as_str(), sealed("records", key, 0, value).as_slice()).map_err(storage)?;
            Ok(0)
        }
        Operation::Remove { key } => {
            records.remove(key.as_str()).map_err(storage)?;
            Ok(0)
        }
    }
}

/// Removes a log's entries below a position and returns the bytes that they held.
fn dropped(entries: &mut Entries, log: &str, below: u64) -> Result<u64, StoreError> {
    let mut freed = 0;
    for entry in entries.extract_from_if((log, 0)..(log, below), |_, _| true).map_err(storage)? {
        let (_, value) = entry.map_err(storage)?;
        freed += value.value().len() as u64 - 4 + ENTRY_COST;
    }
    Ok(freed)
}

impl Store for EmbeddedStore {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Storage("an earlier write failed: reopen the store".to_owned()));
        }
        let change = self.heads.change(batch, self.room)?;
        match guarded(|| self.write(batch, &change)) {
            Ok(freed) => {
                self.heads.take(change, freed);
                Ok(())
            }
            Err(e) => {
                self.failed = true;
                Err(e)
            }
        }
    }

    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError> {
        let head = self.heads.readable(log, from)?;
        guarded(|| {
            let read = self.database.begin_read().map_err(storage)?;
            let table = read.open_table(ENTRIES).map_err(storage)?;
            let mut page = Page { from, entries: Vec::new() };
            let mut bytes = 0;
            for entry in table.range((log, from)..(log, head.next)).map_err(storage)? {
                let (key, value) = entry.map_err(storage)?;
                let at = key.value().1;
                if at != page.next() {
                    return Err(StoreError::Damaged(format!("entries {log}: found position {at}, expected {}", page.next())));
                }
                let payload = unsealed("entries", log, at, value.value())?;
                bytes += payload.len();
                let over = page.entries.len() >= limit.entries || bytes > limit.bytes;
                if over && !page.entries.is_empty() {
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
        guarded(|| {
            let read = self.database.begin_read().map_err(storage)?;
            let table = read.open_table(RECORDS).map_err(storage)?;
            let found = table.get(key).map_err(storage)?;
            found.map(|v| unsealed("records", key, 0, v.value()).map(<[u8]>::to_vec)).transpose()
        })
    }

    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        guarded(|| {
            let read = self.database.begin_read().map_err(storage)?;
            let table = read.open_table(RECORDS).map_err(storage)?;
            let mut found = Vec::new();
            for entry in table.range(prefix..).map_err(storage)? {
                let (key, value) = entry.map_err(storage)?;
                if !key.value().starts_with(prefix) {
                    break;
                }
                let value = unsealed("records", key.value(), 0, value.value())?.to_vec();
                found.push((key.value().to_owned(), value));
            }
            Ok(found)
        })
    }
}
