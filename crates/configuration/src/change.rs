//! Versions, and what leads from one to the next.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Tenths;

/// Which document. A later one is higher: by the epoch of its writer, then by its number, which also grows over epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Of its writer: a majority of keepers promised it to that one alone.
    pub epoch: u32,
    /// One more than that of the version before.
    pub number: u64,
}

impl Version {
    /// Before any: the empty document.
    pub const NONE: Version = Version { epoch: 0, number: 0 };
}

impl fmt::Display for Version {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.epoch, self.number)
    }
}

/// One name's new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Of the setting.
    pub name: String,
    /// None removes the name.
    pub value: Option<String>,
}

/// What leads from one version to the next. A writer's first change has no edits: it marks its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it leads to.
    pub version: Version,
    /// The version that it is made for: no other.
    pub after: Version,
    /// When its writer took it in, by that machine's clock.
    pub published: Tenths,
    /// All of them or none.
    pub edits: Vec<Edit>,
    /// [`crate::Document::digest`] of the document after it.
    pub digest: u64,
}

impl Change {
    /// What it counts for in a log: its texts and 48 bytes.
    pub fn bytes(&self) -> usize {
        let text = |edit: &Edit| edit.name.len() + edit.value.as_ref().map_or(0, String::len) + 8;
        48 + self.edits.iter().map(text).sum::<usize>()
    }
}
