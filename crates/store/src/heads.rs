//! Heads of the logs, and the validation of a batch against them. All implementations share it and run it before
//! anything is written.

use crate::{Batch, ENTRY_OVERHEAD_BYTES, MAX_LOGS, MAX_RECORDS, Operation, StoreError};
use std::collections::{BTreeMap, BTreeSet};

/// First and next position of a log, which holds `first..next`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    pub first: u64,
    pub next: u64,
}

/// Heads of all logs, keys of all records, and the bytes that count towards the capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heads {
    pub(crate) logs: BTreeMap<String, Head>,
    pub(crate) keys: BTreeSet<String>,
    /// Bytes held by entries: each payload plus [`ENTRY_OVERHEAD_BYTES`].
    pub(crate) held_bytes: u64,
}

/// Changes that a valid batch makes to [`Heads`]: new heads by log (`None`: the log is dropped), keys that are put
/// (`true`) or removed (`false`), and the bytes that it appends.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) logs: BTreeMap<String, Option<Head>>,
    pub(crate) keys: BTreeMap<String, bool>,
    added_bytes: u64,
}

impl Heads {
    pub(crate) fn head(&self, log: &str) -> Head {
        self.logs.get(log).copied().unwrap_or_default()
    }

    /// Validates a batch and returns the changes that it makes.
    pub(crate) fn validate(&self, batch: &Batch, capacity: u64) -> Result<Change, StoreError> {
        batch.check_sizes()?;
        let mut change = Change::default();
        for operation in batch.operations() {
            match operation {
                Operation::Append { log, at, payload } => {
                    let head = self.head_mut(&mut change, log);
                    if *at != head.next || head.next == u64::MAX {
                        return Err(StoreError::Position { log: log.clone(), next: head.next, given: *at });
                    }
                    head.next += 1;
                    change.added_bytes += payload.len() as u64 + ENTRY_OVERHEAD_BYTES;
                }
                Operation::Trim { log, below } => {
                    let head = self.head_mut(&mut change, log);
                    if *below > head.next {
                        return Err(StoreError::Beyond {
                            log: log.clone(),
                            next: head.next,
                            requested: *below,
                        });
                    }
                    head.first = head.first.max(*below);
                }
                Operation::Reset { log, at } => {
                    *self.head_mut(&mut change, log) = Head { first: *at, next: *at }
                }
                Operation::Drop { log } => {
                    change.logs.insert(log.clone(), None);
                }
                Operation::Put { key, .. } => {
                    change.keys.insert(key.clone(), true);
                }
                Operation::Remove { key } => {
                    change.keys.insert(key.clone(), false);
                }
            }
        }
        self.check_counts(&change)?;
        // Space that this batch itself frees by trimming does not count: a caller that needs it must trim in an earlier
        // batch.
        match self.held_bytes + change.added_bytes {
            needed if change.added_bytes > 0 && needed > capacity => {
                Err(StoreError::Full { capacity, needed })
            }
            _ => Ok(change),
        }
    }

    fn head_mut<'a>(&self, change: &'a mut Change, log: &str) -> &'a mut Head {
        let head = change.logs.entry(log.to_owned()).or_insert_with(|| Some(self.head(log)));
        head.get_or_insert_default()
    }

    fn check_counts(&self, change: &Change) -> Result<(), StoreError> {
        let logs = change.logs.iter().filter(|(log, head)| head.is_some() && !self.logs.contains_key(*log));
        if self.logs.len() + logs.count() > MAX_LOGS {
            return Err(StoreError::TooMany { what: "logs", bound: MAX_LOGS });
        }
        let keys = change.keys.iter().filter(|(key, put)| **put && !self.keys.contains(*key));
        if self.keys.len() + keys.count() > MAX_RECORDS {
            return Err(StoreError::TooMany { what: "records", bound: MAX_RECORDS });
        }
        Ok(())
    }

    /// Applies a change after its batch has been stored; `freed_bytes` is the size of the entries that the batch
    /// removed.
    pub(crate) fn commit(&mut self, change: Change, freed_bytes: u64) {
        for (log, head) in change.logs {
            match head {
                Some(head) => self.logs.insert(log, head),
                None => self.logs.remove(&log),
            };
        }
        for (key, put) in change.keys {
            if put {
                self.keys.insert(key);
            } else {
                self.keys.remove(&key);
            }
        }
        self.held_bytes = (self.held_bytes + change.added_bytes).saturating_sub(freed_bytes);
    }

    /// Checks that a read may start at a position.
    pub(crate) fn check_readable(&self, log: &str, from: u64) -> Result<Head, StoreError> {
        let head = self.head(log);
        if from < head.first {
            return Err(StoreError::Trimmed { log: log.to_owned(), first: head.first, requested: from });
        }
        if from > head.next {
            return Err(StoreError::Beyond { log: log.to_owned(), next: head.next, requested: from });
        }
        Ok(head)
    }
}
