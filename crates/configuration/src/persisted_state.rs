//! The state that a control machine persists across restarts.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::document::{Document, DocumentError};
use crate::log::Log;
use crate::{Change, Name, Plan, Tenths, Version, replica};

/// The persisted state of a control machine. The host writes it before it carries out any action that follows an
/// [`crate::Action::Persist`]: either all of it (`to_bytes`), or the records of these actions, which
/// [`PersistedState::apply`] replays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The highest epoch promised, if this machine is a keeper.
    pub(crate) promised: u32,
    /// This keeper may have lost promises and changes that it once persisted, so its votes do not count.
    pub(crate) nonvoting: bool,
    pub(crate) version: Version,
    pub(crate) published: Tenths,
    pub(crate) document: Document,
    pub(crate) log: Log,
    /// Changes held as a keeper that are not known to be released.
    pub(crate) tail: Vec<Change>,
    /// The routers in a keeper's ledger. They are persisted so that after a restart a verdict also names the routers
    /// that have not been in contact since.
    pub(crate) routers: BTreeSet<Name>,
}

/// One update of the persisted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The keeper promised this epoch.
    Promised(u32),
    /// The keeper's votes count from now on.
    Voting,
    /// The unreleased changes that the keeper holds now; they replace the previous ones.
    Unreleased(Vec<Change>),
    /// These changes are released.
    Released(Vec<Change>),
    /// These routers were added to the ledger.
    RoutersAdded(Vec<Name>),
    /// These routers were removed from the ledger.
    RoutersRemoved(Vec<Name>),
    /// This snapshot is released and replaces the document.
    Snapshot {
        /// The version of the snapshot.
        version: Version,
        /// When that version was published.
        published: Tenths,
        /// The whole document.
        document: Document,
    },
}

impl Default for PersistedState {
    fn default() -> PersistedState {
        PersistedState {
            promised: 0,
            nonvoting: true,
            version: Version::NONE,
            published: 0,
            document: Document::default(),
            log: Log::default(),
            tail: Vec::new(),
            routers: BTreeSet::new(),
        }
    }
}

impl PersistedState {
    /// The newest released version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The document of the newest released version.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The newest held version, released or not.
    pub fn held(&self) -> Version {
        self.tail.last().map_or(self.version, |change| change.version)
    }

    /// Whether this version is held: as the newest released version, as a released change that is still in the log, or
    /// as an unreleased change.
    pub fn holds(&self, version: Version) -> bool {
        let known = |change: &Change| change.version == version;
        self.version == version || self.log.iter().any(known) || self.tail.iter().any(known)
    }

    /// The document of the newest held version.
    ///
    /// # Errors
    /// [`DocumentError`] if a held change does not apply to the one before it.
    pub(crate) fn newest_document(&self) -> Result<Document, DocumentError> {
        let (mut version, mut document) = (self.version, self.document.clone());
        for change in &self.tail {
            document = replica::apply(version, &document, change)?;
            version = change.version;
        }
        Ok(document)
    }

    /// Applies a record. A change or snapshot that does not lead to a later version is ignored.
    pub fn apply(&mut self, record: &Record, plan: &Plan) {
        match record {
            Record::Promised(epoch) => self.promised = self.promised.max(*epoch),
            Record::Voting => self.nonvoting = false,
            Record::Unreleased(tail) => self.tail = tail.clone(),
            Record::RoutersAdded(names) => {
                let room = (2 * plan.names).saturating_sub(self.routers.len());
                self.routers.extend(names.iter().take(room).cloned());
            }
            Record::RoutersRemoved(names) => self.routers.retain(|name| !names.contains(name)),
            Record::Released(changes) => {
                for change in changes {
                    let Ok(next) = replica::apply(self.version, &self.document, change) else { continue };
                    self.document = next;
                    (self.version, self.published) = (change.version, change.published);
                    self.log.push(change.clone(), plan.log_changes, plan.log_bytes);
                }
                self.drop_superseded();
            }
            Record::Snapshot { version, published, document } if *version > self.version => {
                self.document = document.clone();
                (self.version, self.published) = (*version, *published);
                self.log.clear();
                self.drop_superseded();
            }
            Record::Snapshot { .. } => {}
        }
    }

    /// Drops the unreleased changes that are released now, or that another writer's release has superseded.
    fn drop_superseded(&mut self) {
        match self.tail.iter().position(|change| change.version == self.version) {
            Some(at) => drop(self.tail.drain(..=at)),
            None if self.tail.first().is_some_and(|first| first.base != self.version) => self.tail.clear(),
            None => {}
        }
    }

    /// The encoded state, followed by a checksum.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(xxh3_64(&bytes).to_le_bytes());
        bytes
    }

    /// `None` if the checksum does not match or the bytes cannot be decoded. The caller then starts without persisted
    /// state and logs it.
    pub fn from_bytes(bytes: &[u8]) -> Option<PersistedState> {
        let (body, sum) = bytes.split_last_chunk::<8>()?;
        if xxh3_64(body).to_le_bytes() != *sum {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
