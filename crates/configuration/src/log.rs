//! Released changes, kept for those that resume.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Change, Version};

/// The newest released changes, each made for the version before it. Bounded by count and bytes: the oldest go, and who
/// holds an older version gets the whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    changes: VecDeque<Change>,
    bytes: usize,
}

/// What brings a version up to the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// These, in order.
    Changes(Vec<Change>),
    /// Nothing in the log leads on from there.
    Whole,
    /// It is the newest.
    Nothing,
}

impl Log {
    /// Adds one, within the bounds: so many changes, so many bytes ([`Change::bytes`]). One that is not made for the newest
    /// one empties the log first.
    pub fn push(&mut self, change: Change, changes: usize, bytes: usize) {
        if self.changes.back().is_some_and(|last| last.version != change.after) {
            self.clear();
        }
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > changes || self.bytes > bytes {
            let Some(gone) = self.changes.pop_front() else { break };
            self.bytes -= gone.bytes();
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// What follows this version.
    pub fn since(&self, version: Version) -> Since {
        if self.changes.back().is_some_and(|last| last.version == version) {
            return Since::Nothing;
        }
        match self.changes.binary_search_by(|change| change.after.cmp(&version)) {
            Ok(at) => Since::Changes(self.changes.range(at..).cloned().collect()),
            Err(_) => Since::Whole,
        }
    }

    /// The digest under a version, if the log knows it.
    pub fn digest(&self, version: Version) -> Option<u64> {
        let at = self.changes.binary_search_by(|change| change.version.cmp(&version)).ok()?;
        self.changes.get(at).map(|change| change.digest)
    }

    /// All, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// None at all?
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Bytes of them ([`Change::bytes`]).
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
