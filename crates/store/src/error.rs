//! Errors of a store, with messages that an operator can act on.

use std::fmt;

#[derive(Debug, PartialEq, Eq)]
pub enum StoreError {
    /// An append that is not at the log's next position: the writer and the store disagree about the log.
    Position { log: String, next: u64, given: u64 },
    /// The requested position was trimmed; `first` is the oldest that is held.
    Trimmed { log: String, first: u64, requested: u64 },
    /// The requested position is above the next one and not written yet.
    Beyond { log: String, next: u64, requested: u64 },
    /// A name, payload, value or batch exceeds its bound, in bytes.
    TooLarge { what: &'static str, bytes: usize, bound: usize },
    /// The number of operations, logs or records exceeds its bound.
    TooMany { what: &'static str, bound: usize },
    /// The batch would exceed the store's capacity, in bytes; trim first.
    Full { capacity: u64, needed: u64 },
    /// The file was written by another program or in an unsupported version.
    Version { found: String, supported: u32 },
    /// Stored data differs from what was written; names the location.
    Damaged(String),
    /// The disk or the embedded database returned an error.
    Storage(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Position { log, next, given } => {
                write!(f, "log {log}: append at position {given}, expected the next position {next}")
            }
            StoreError::Trimmed { log, first, requested } => {
                write!(f, "log {log}: position {requested} was trimmed; the oldest held is {first}")
            }
            StoreError::Beyond { log, next, requested } => {
                write!(f, "log {log}: position {requested} is not written yet; the next position is {next}")
            }
            StoreError::TooLarge { what, bytes, bound } => {
                write!(f, "{what} has {bytes} bytes, at most {bound} expected")
            }
            StoreError::TooMany { what, bound } => write!(f, "too many {what}: at most {bound} expected"),
            StoreError::Full { capacity, needed } => {
                write!(
                    f,
                    "the store is full: capacity {capacity} bytes, {needed} bytes needed with this batch; trim first"
                )
            }
            StoreError::Version { found, supported } => {
                write!(f, "unsupported store version {found}: this program supports version {supported}")
            }
            StoreError::Damaged(place) => write!(f, "the store is damaged: {place}"),
            StoreError::Storage(reason) => write!(f, "storage error: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}
