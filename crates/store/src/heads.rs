//! Heads of the logs, and the validation of a batch against them. All implementations share it and run it before
//! anything is written.

use crate::{Batch, ENTRY_COST, LOGS, Operation, RECORDS, StoreError};
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
    /// Bytes held by entries: each payload plus [`ENTRY_COST`].
    pub(crate) held: u64,
}

/// Changes that a valid batch makes to [`Heads`]: new heads by log (`None`: the log is dropped), keys that are put (`true`)
/// or removed (`false`), and the bytes that it appends.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) logs: BTreeMap<String, Option<Head>>,
    pub(crate) keys: BTreeMap<String, bool>,
    added: u64,
}

impl Heads {
    pub(crate) fn head(&self, log: &str) -> Head {
        self.logs.get(log).copied().unwrap_or_default()
    }

    /// Validates a batch and returns the changes that it makes.
    pub(crate) fn change(&self, batch: &Batch, room: u64) -> Result<Change, StoreError> {
        batch.sized()?;
        let mut change = Change::default();
        for operation in batch.operations() {
            match operation {
                Operation::Append { log, at, payload } => {
                    let head = self.with(&mut change, log);
                    if *at != head.next || head.next == u64::MAX {
                        return Err(StoreError::Position { log: log.clone(), next: head.next, told: *at });
                    }
                    head.next += 1;
                    change.added += payload.len() as u64 + ENTRY_COST;
                }
                Operation::Trim { log, below } => {
                    let head = self.with(&mut change, log);
                    if *below > head.next {
                        return Err(StoreError::Beyond { log: log.clone(), next: head.next, asked: *below });
                    }
                    head.first = head.first.max(*below);
                }
                Operation::Begin { log, at } => *self.with(&mut change, log) = Head { first: *at, next: *at },
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
        self.counted(&change)?;
        // Space that this batch itself frees by trimming does not count: a caller that needs it must trim in an earlier
        // batch.
        match self.held + change.added {
            wanted if change.added > 0 && wanted > room => Err(StoreError::Full { room, wanted }),
            _ => Ok(change),
        }
    }

    fn with<'a>(&self, change: &'a mut Change, log: &str) -> &'a mut Head {
        let head = change.logs.entry(log.to_owned()).or_insert_with(|| Some(self.head(log)));
        head.get_or_insert_default()
    }

    fn counted(&self, change: &Change) -> Result<(), StoreError> {
        let logs = change.logs.iter().filter(|(log, head)| head.is_some() && !self.logs.contains_key(*log));
        if self.logs.len() + logs.count() > LOGS {
            return Err(StoreError::TooMany { what: "logs", bound: LOGS });
        }
        let keys = change.keys.iter().filter(|(key, put)| **put && !self.keys.contains(*key));
        if self.keys.len() + keys.count() > RECORDS {
            return Err(StoreError::TooMany { what: "records", bound: RECORDS });
        }
        Ok(())
    }

    /// Applies a change after its batch has been stored; `freed` is the bytes of the entries that the batch removed.
    pub(crate) fn take(&mut self, change: Change, freed: u64) {
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
        self.held = (self.held + change.added).saturating_sub(freed);
    }

    /// Checks that a read may start at a position.
    pub(crate) fn readable(&self, log: &str, from: u64) -> Result<Head, StoreError> {
        let head = self.head(log);
        if from < head.first {
            return Err(StoreError::Trimmed { log: log.to_owned(), first: head.first, asked: from });
        }
        if from > head.next {
            return Err(StoreError::Beyond { log: log.to_owned(), next: head.next, asked: from });
        }
        Ok(head)
    }
}
