//! Batches: operations that are applied atomically.

use crate::StoreError;

/// Maximum bytes of a log's name or a record's key.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum bytes of one entry's payload.
pub const MAX_ENTRY_BYTES: usize = 64 << 10;
/// Maximum bytes of one record's value.
pub const MAX_RECORD_BYTES: usize = 4 << 10;
/// Maximum number of operations in one batch.
pub const MAX_BATCH_OPERATIONS: usize = 16_384;
/// Maximum total bytes of payloads, names and values in one batch.
pub const MAX_BATCH_BYTES: usize = 8 << 20;
/// Maximum number of logs in one store.
pub const MAX_LOGS: usize = 4_096;
/// Maximum number of records in one store.
pub const MAX_RECORDS: usize = 65_536;
/// Overhead bytes that each entry counts towards the capacity in addition to its payload.
pub const ENTRY_OVERHEAD_BYTES: u64 = 64;

/// One change to a log or a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Appends one entry; `at` must be the log's next position.
    Append {
        log: String,
        at: u64,
        payload: Vec<u8>,
    },
    /// Removes all entries below a position. A position above the next one is an error; one below the first has no
    /// effect.
    Trim {
        log: String,
        below: u64,
    },
    /// Empties a log and sets its next position: the following append must be at `at`.
    Reset {
        log: String,
        at: u64,
    },
    /// Removes a log and its name.
    Drop {
        log: String,
    },
    Put {
        key: String,
        value: Vec<u8>,
    },
    Remove {
        key: String,
    },
}

/// Operations that are applied in order, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    operations: Vec<Operation>,
}

impl Batch {
    pub fn new() -> Batch {
        Batch::default()
    }

    pub fn append(mut self, log: &str, at: u64, payload: &[u8]) -> Batch {
        self.operations.push(Operation::Append { log: log.to_owned(), at, payload: payload.to_vec() });
        self
    }

    pub fn trim(mut self, log: &str, below: u64) -> Batch {
        self.operations.push(Operation::Trim { log: log.to_owned(), below });
        self
    }

    pub fn reset_log(mut self, log: &str, at: u64) -> Batch {
        self.operations.push(Operation::Reset { log: log.to_owned(), at });
        self
    }

    pub fn drop_log(mut self, log: &str) -> Batch {
        self.operations.push(Operation::Drop { log: log.to_owned() });
        self
    }

    pub fn put(mut self, key: &str, value: &[u8]) -> Batch {
        self.operations.push(Operation::Put { key: key.to_owned(), value: value.to_vec() });
        self
    }

    pub fn remove(mut self, key: &str) -> Batch {
        self.operations.push(Operation::Remove { key: key.to_owned() });
        self
    }

    pub fn push(&mut self, operation: Operation) {
        self.operations.push(operation);
    }

    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Checks sizes and the number of operations against their bounds.
    pub(crate) fn check_sizes(&self) -> Result<(), StoreError> {
        if self.operations.len() > MAX_BATCH_OPERATIONS {
            return Err(StoreError::TooMany { what: "operations in a batch", bound: MAX_BATCH_OPERATIONS });
        }
        let mut total = 0;
        for operation in &self.operations {
            let (name, what, bytes, bound) = match operation {
                Operation::Append { log, payload, .. } => (log, "an entry", payload.len(), MAX_ENTRY_BYTES),
                Operation::Put { key, value } => (key, "a record", value.len(), MAX_RECORD_BYTES),
                Operation::Trim { log, .. } | Operation::Reset { log, .. } | Operation::Drop { log } => {
                    (log, "an entry", 0, MAX_ENTRY_BYTES)
                }
                Operation::Remove { key } => (key, "a record", 0, MAX_RECORD_BYTES),
            };
            check_size("a name", name.len(), MAX_NAME_BYTES)?;
            check_size(what, bytes, bound)?;
            total += name.len() + bytes;
        }
        check_size("a batch", total, MAX_BATCH_BYTES)
    }
}

fn check_size(what: &'static str, bytes: usize, bound: usize) -> Result<(), StoreError> {
    if bytes > bound { Err(StoreError::TooLarge { what, bytes, bound }) } else { Ok(()) }
}
