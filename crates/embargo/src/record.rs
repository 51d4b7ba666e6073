//! What a publisher must find again after a crash, as values: the host keeps it in its store.

use crate::words::{BulletinId, Epoch, Release, Schedule, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vetchkeel_bounds::Tenths;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub schedule: Schedule,
    /// The earliest release that any edge may still act on.
    pub floor: Tenths,
    /// No edge can act on an older version.
    pub settled: bool,
    /// Of the last wish, to answer it after a restart.
    pub ticket: u64,
}

impl Entry {
    pub fn withdrawn(&self) -> bool {
        self.schedule.release == Release::Withdrawn
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// No lease that ends after this has been granted.
    Horizon(Tenths),
    Entry(Entry),
    Remove(BulletinId),
}

/// All that is durable of an office. The host raises `epoch` in one atomic step before a publisher starts, and refuses
/// writes of any other epoch from then on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub epoch: Epoch,
    pub version: Version,
    pub horizon: Tenths,
    pub last: BulletinId,
    pub entries: BTreeMap<BulletinId, Entry>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            epoch: Epoch(0),
            version: Version(0),
            horizon: Tenths::MIN / 8,
            last: BulletinId(0),
            entries: BTreeMap::new(),
        }
    }
}

impl Record {
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Horizon(until) => self.horizon = self.horizon.max(*until),
            Write::Entry(entry) => {
                let id = entry.schedule.bulletin;
                self.version = self.version.max(entry.schedule.version);
                self.last = self.last.max(id);
                self.entries.insert(id, *entry);
            }
            Write::Remove(id) => {
                self.entries.remove(id);
            }
        }
    }

    /// What changed after `after`, oldest first, at most `most`; and up to where that is all.
    pub(crate) fn since(&self, after: Version, most: usize) -> (Vec<Schedule>, Version) {
        if after >= self.version {
            return (Vec::new(), after);
        }
        let mut changed: Vec<Schedule> =
            self.entries.values().map(|e| e.schedule).filter(|s| s.version > after).collect();
        changed.sort_unstable_by_key(|s| s.version);
        let cut = changed.len() > most;
        changed.truncate(most);
        let through = if cut { changed.last().map_or(after, |s| s.version) } else { self.version.max(after) };
        (changed, through)
    }
}
