//! The log of released changes, from which subscribers resume.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Change, Version};

/// The newest released changes, each of which applies to the version before it. The log is bounded by count and bytes.
/// The oldest changes are dropped, and a subscriber with an older version gets a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    changes: VecDeque<Change>,
    bytes: usize,
}

/// What brings a given version up to the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// These changes, in order.
    Changes(Vec<Change>),
    /// A snapshot: no change in the log applies to the given version.
    Snapshot,
    /// Nothing: the given version is the newest.
    UpToDate,
}

impl Log {
    /// Appends a change and drops the oldest ones beyond this number of changes or of bytes ([`Change::bytes`]). A
    /// change that does not apply to the newest version in the log empties the log first.
    pub fn push(&mut self, change: Change, changes: usize, bytes: usize) {
        if self.changes.back().is_some_and(|last| last.version != change.base) {
            self.clear();
        }
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > changes || self.bytes > bytes {
            let Some(gone) = self.changes.pop_front() else { break };
            self.bytes -= gone.bytes();
        }
    }

    /// Removes all changes.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// What a subscriber that holds this version needs.
    pub fn since(&self, version: Version) -> Since {
        if self.changes.back().is_some_and(|last| last.version == version) {
            return Since::UpToDate;
        }
        match self.changes.binary_search_by(|change| change.base.cmp(&version)) {
            Ok(at) => Since::Changes(self.changes.range(at..).cloned().collect()),
            Err(_) => Since::Snapshot,
        }
    }

    /// The digest of the document under a version, if the log has that version.
    pub fn digest(&self, version: Version) -> Option<u64> {
        let at = self.changes.binary_search_by(|change| change.version.cmp(&version)).ok()?;
        self.changes.get(at).map(|change| change.digest)
    }

    /// All changes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    /// The number of changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The total size of the changes ([`Change::bytes`]).
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
