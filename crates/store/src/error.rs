//! What may go wrong, in words an operator can act on.

use std::fmt;

#[derive(Debug, PartialEq, Eq)]
pub enum StoreError {
    /// An append that is not at the log's next position: the writer's idea of the log is not the store's.
    Position { log: String, next: u64, told: u64 },
    /// Asked for what was trimmed; `first` is the oldest that is held.
    Trimmed { log: String, first: u64, asked: u64 },
    /// Asked for what is not there yet, beyond the next position.
    Beyond { log: String, next: u64, asked: u64 },
    /// A name, a payload or a batch over its bound, in bytes.
    TooLarge { what: &'static str, bytes: usize, bound: usize },
    /// More operations, logs or records than their bound.
    TooMany { what: &'static str, bound: usize },
    /// The store's room is used up; trim first. Bytes.
    Full { room: u64, wanted: u64 },
    /// The file is of another program or of a version that this one doesn't know.
    Version { found: String, known: u32 },
    /// What is kept is not what was written; the place is named.
    Damaged(String),
    /// The disk or the embedded store refused.
    Storage(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Position { log, next, told } => {
                write!(f, "log {log}: append at {told}, but its next position is {next}")
            }
            StoreError::Trimmed { log, first, asked } => {
                write!(f, "log {log}: {asked} was trimmed, the oldest held is {first}")
            }
            StoreError::Beyond { log, next, asked } => {
                write!(f, "log {log}: {asked} is not there yet, the next position is {next}")
            }
            StoreError::TooLarge { what, bytes, bound } => {
                write!(f, "{what} of {bytes} bytes, at most {bound}")
            }
            StoreError::TooMany { what, bound } => write!(f, "more {what} than {bound}"),
            StoreError::Full { room, wanted } => {
                write!(f, "the store has room for {room} bytes and would hold {wanted}: trim first")
            }
            StoreError::Version { found, known } => {
                write!(f, "the store is of version {found}; this program knows version {known}")
            }
            StoreError::Damaged(place) => write!(f, "the store is damaged: {place}"),
            StoreError::Storage(why) => write!(f, "the store: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}
