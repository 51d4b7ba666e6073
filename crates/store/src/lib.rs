//! What a process keeps: named logs, each in order from a first position to the next, and small keyed records beside them
//! (cursors, epochs). One contract, [`Store`]; implementations in memory ([`MemoryMedium`]) and in an embedded store
//! ([`EmbeddedMedium`], one redb file); one suite, [`contract`], that each of them passes.
//!
//! A batch is applied whole or not at all, and is kept when [`Store::apply`] has returned, whatever happens to the process
//! then. What can't be read as it was written is an error with the place, never a guess and never a panic.

mod batch;
pub mod contract;
mod embedded;
mod error;
mod heads;
mod memory;

pub use batch::{
    BATCH_BYTES, BATCH_OPERATIONS, Batch, ENTRY_BYTES, ENTRY_COST, LOGS, NAME_BYTES, Operation, RECORD_BYTES,
    RECORDS,
};
pub use embedded::{EmbeddedMedium, EmbeddedStore, VERSION};
pub use error::StoreError;
pub use heads::Head;
pub use memory::{MemoryMedium, MemoryStore};

/// How much one read may bring: it ends before the bound that is met first, but brings one entry at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    pub entries: usize,
    /// Bytes of payloads.
    pub bytes: usize,
}

/// Entries of a log in order, without a hole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Position of the first one.
    pub from: u64,
    pub entries: Vec<Vec<u8>>,
}

impl Page {
    /// The position after the last one: where the next read goes on.
    pub fn next(&self) -> u64 {
        self.from + self.entries.len() as u64
    }
}

/// The contract. Positions count from where a log was begun (0, unless told); a log that was never written stands at 0.
pub trait Store: Send {
    /// Applies all operations in their order, or none. Kept when this returns `Ok`.
    ///
    /// # Errors
    /// `Position`, `TooLarge`, `TooMany` and `Full` leave everything as it was and the store usable. After `Storage` or
    /// `Damaged` the store is to be opened again: the batch may be whole in it or not there, never in part.
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError>;

    /// Entries from a position on; an empty page where there is nothing yet.
    ///
    /// # Errors
    /// `Trimmed` below the first position that is held, `Beyond` above the next one: neither is an empty page, because a
    /// reader that takes a hole for quiet goes past entries.
    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError>;

    /// Where a log stands.
    fn head(&self, log: &str) -> Head;

    /// Names of all logs, in order.
    fn logs(&self) -> Vec<String>;

    /// A record's value.
    fn record(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// All records whose keys begin so, in the order of their keys.
    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError>;
}

/// What outlives a process: opening it again shows what a restarted process finds.
pub trait Medium {
    /// Opens what is there, or begins anew.
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError>;
}

#[cfg(test)]
mod tests;
