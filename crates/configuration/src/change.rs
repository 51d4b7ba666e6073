//! Versions of the configuration, and the changes between them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Tenths;

/// Identifies a document. Versions are ordered by the writer's epoch, then by number; the number also grows across
/// epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the writer. A majority of keepers promised this epoch to that writer alone.
    pub epoch: u32,
    /// The number of the previous version plus one.
    pub number: u64,
}

impl Version {
    /// The version before the first one: the empty document.
    pub const NONE: Version = Version { epoch: 0, number: 0 };
}

impl fmt::Display for Version {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.epoch, self.number)
    }
}

/// The new value of one setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The name of the setting.
    pub name: String,
    /// `None` removes the setting.
    pub value: Option<String>,
}

/// The step from one version to the next. A writer's first change has no edits; it only marks the start of its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the change produces.
    pub version: Version,
    /// The version that the change applies to; it applies to no other.
    pub base: Version,
    /// When the writer accepted the change, by the writer's clock.
    pub published: Tenths,
    /// Applied either all together or not at all.
    pub edits: Vec<Edit>,
    /// [`crate::Document::digest`] of the resulting document.
    pub digest: u64,
}

impl Change {
    /// The size of the change as counted against the log's bound: the length of its texts plus 48 bytes.
    pub fn bytes(&self) -> usize {
        let text = |edit: &Edit| edit.name.len() + edit.value.as_ref().map_or(0, String::len) + 8;
        48 + self.edits.iter().map(text).sum::<usize>()
    }
}
