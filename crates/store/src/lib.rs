//! Durable storage of a process: named logs with consecutive positions, and small keyed records (cursors, epochs).
//! [`Store`] is the interface; it is implemented in memory ([`MemoryMedium`]) and on an embedded database
//! ([`EmbeddedMedium`], one redb file). Each implementation passes the conformance suite in [`contract`].
//!
//! A batch is atomic, and it is durable once [`Store::apply`] has returned, even if the process crashes afterwards.
//! Data that fails verification on reading gives an error that names its location, never a guess and never a panic.

mod batch;
pub mod contract;
mod embedded;
mod error;
mod heads;
mod memory;

pub use batch::{
    Batch, ENTRY_OVERHEAD_BYTES, MAX_BATCH_BYTES, MAX_BATCH_OPERATIONS, MAX_ENTRY_BYTES, MAX_LOGS,
    MAX_NAME_BYTES, MAX_RECORD_BYTES, MAX_RECORDS, Operation,
};
pub use embedded::{EmbeddedMedium, EmbeddedStore, FORMAT_VERSION};
pub use error::StoreError;
pub use heads::Head;
pub use memory::{MemoryMedium, MemoryStore};

/// Limits of one read. It stops before whichever limit would be exceeded first, but returns at least one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    pub entries: usize,
    /// Total payload bytes.
    pub bytes: usize,
}

/// Consecutive entries of a log, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Position of the first entry.
    pub from: u64,
    pub entries: Vec<Vec<u8>>,
}

impl Page {
    /// The position after the last entry, where the next read continues.
    pub fn next(&self) -> u64 {
        self.from + self.entries.len() as u64
    }
}

/// Logs and records with atomic batches. Positions start at 0, or where [`Batch::reset_log`] set them; the head of a log
/// that was never written is 0.
pub trait Store: Send {
    /// Applies all operations in order, or none. The batch is durable when this returns `Ok`.
    ///
    /// # Errors
    /// After `Position`, `TooLarge`, `TooMany` and `Full` the contents are unchanged and the store stays usable. After
    /// `Storage` or `Damaged` the store must be reopened; it then holds the whole batch or nothing of it, never a part.
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError>;

    /// Reads entries from a position on; the page is empty at the end of the log.
    ///
    /// # Errors
    /// `Trimmed` below the first position that is held, `Beyond` above the next one. Neither returns an empty page,
    /// because a reader that takes a gap for the end of the log would skip entries.
    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError>;

    /// First and next position of a log.
    fn head(&self, log: &str) -> Head;

    /// Names of all logs, sorted.
    fn logs(&self) -> Vec<String>;

    /// Value of a record, if it exists.
    fn record(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// All records whose keys start with the prefix, sorted by key.
    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError>;
}

/// Storage that outlives a process. Opening it again gives what a restarted process finds.
pub trait Medium {
    /// Opens the existing store, or creates an empty one.
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError>;
}

#[cfg(test)]
mod tests;
