//! In-memory store for simulations and tests. The medium outlives the store, as a disk does.

use crate::heads::Heads;
use crate::{Batch, ENTRY_OVERHEAD_BYTES, Head, Limit, Medium, Operation, Page, Store, StoreError};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Contents {
    heads: Heads,
    logs: BTreeMap<String, BTreeMap<u64, Vec<u8>>>,
    records: BTreeMap<String, Vec<u8>>,
    capacity: u64,
}

/// An in-memory medium with a capacity in bytes.
#[derive(Clone, Debug)]
pub struct MemoryMedium(Arc<Mutex<Contents>>);

impl MemoryMedium {
    pub fn new(capacity: u64) -> MemoryMedium {
        MemoryMedium(Arc::new(Mutex::new(Contents { capacity, ..Contents::default() })))
    }
}

impl Medium for MemoryMedium {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        Ok(Box::new(MemoryStore(self.0.clone())))
    }
}

/// A store opened on a [`MemoryMedium`].
#[derive(Debug)]
pub struct MemoryStore(Arc<Mutex<Contents>>);

impl MemoryStore {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    /// Applies one operation and returns the bytes that it freed.
    fn apply_operation(&mut self, operation: &Operation) -> u64 {
        let cost = |dropped: BTreeMap<u64, Vec<u8>>| {
            dropped.values().map(|p| p.len() as u64 + ENTRY_OVERHEAD_BYTES).sum()
        };
        match operation {
            Operation::Append { log, at, payload } => {
                self.logs.entry(log.clone()).or_default().insert(*at, payload.clone());
                0
            }
            Operation::Trim { log, below } => {
                let entries = self.logs.entry(log.clone()).or_default();
                let kept = entries.split_off(below);
                cost(std::mem::replace(entries, kept))
            }
            Operation::Reset { log, .. } | Operation::Drop { log } => self.logs.remove(log).map_or(0, cost),
            Operation::Put { key, value } => {
                self.records.insert(key.clone(), value.clone());
                0
            }
            Operation::Remove { key } => {
                self.records.remove(key);
                0
            }
        }
    }
}

impl Store for MemoryStore {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let mut contents = self.contents();
        let change = contents.heads.validate(batch, contents.capacity)?;
        let freed_bytes = batch.operations().iter().map(|o| contents.apply_operation(o)).sum();
        contents.heads.commit(change, freed_bytes);
        Ok(())
    }

    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError> {
        let contents = self.contents();
        contents.heads.check_readable(log, from)?;
        let mut page = Page { from, entries: Vec::new() };
        let mut bytes = 0;
        for payload in contents.logs.get(log).into_iter().flat_map(|l| l.range(from..)).map(|(_, p)| p) {
            bytes += payload.len();
            let over_limit = page.entries.len() >= limit.entries || bytes > limit.bytes;
            if over_limit && !page.entries.is_empty() {
                break;
            }
            page.entries.push(payload.clone());
        }
        Ok(page)
    }

    fn head(&self, log: &str) -> Head {
        self.contents().heads.head(log)
    }

    fn logs(&self) -> Vec<String> {
        self.contents().heads.logs.keys().cloned().collect()
    }

    fn record(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.contents().records.get(key).cloned())
    }

    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let contents = self.contents();
        let from = contents.records.range(prefix.to_owned()..);
        Ok(from.take_while(|(k, _)| k.starts_with(prefix)).map(|(k, v)| (k.clone(), v.clone())).collect())
    }
}
