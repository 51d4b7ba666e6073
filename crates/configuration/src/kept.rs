//! What a control machine keeps over a restart.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::document::{Bad, Document};
use crate::log::Log;
use crate::{Change, Name, Plan, Tenths, Version, replica};

/// All that a control machine has to find again when it starts. The host writes it (`to_bytes`) before it carries out any
/// order behind an [`crate::Order::Keep`], either whole or as the records of these orders, which [`Kept::take`] plays again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The highest epoch promised, as a keeper.
    pub(crate) promised: u32,
    /// As a keeper: it may have lost what it promised and held, and its word does not count.
    pub(crate) fresh: bool,
    pub(crate) version: Version,
    pub(crate) published: Tenths,
    pub(crate) document: Document,
    pub(crate) log: Log,
    /// Held as a keeper, not known to be released.
    pub(crate) tail: Vec<Change>,
    /// Routers in the ledger of a keeper: a verdict names also those that are not heard after a restart.
    pub(crate) routers: BTreeSet<Name>,
}

/// One thing to keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// This epoch is promised.
    Promised(u32),
    /// Its word counts from now on.
    Settled,
    /// This is what it holds beyond what is released.
    Held(Vec<Change>),
    /// These are released.
    Released(Vec<Change>),
    /// These routers are in the ledger.
    Known(Vec<Name>),
    /// These are not any more.
    Forgotten(Vec<Name>),
    /// This whole copy is released.
    Whole {
        /// Its version.
        version: Version,
        /// As in its change.
        published: Tenths,
        /// All of it.
        document: Document,
    },
}

impl Default for Kept {
    fn default() -> Kept {
        Kept {
            promised: 0,
            fresh: true,
            version: Version::NONE,
            published: 0,
            document: Document::default(),
            log: Log::default(),
            tail: Vec::new(),
            routers: BTreeSet::new(),
        }
    }
}

impl Kept {
    /// The newest released version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The document under it.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The newest held version, released or not.
    pub fn held(&self) -> Version {
        self.tail.last().map_or(self.version, |change| change.version)
    }

    /// Does it hold this version: released and still in the log, or not released yet?
    pub fn holds(&self, version: Version) -> bool {
        let known = |change: &Change| change.version == version;
        self.version == version || self.log.iter().any(known) || self.tail.iter().any(known)
    }

    /// The document under the newest held version.
    ///
    /// # Errors
    /// [`Bad`] if what is held does not fit together.
    pub(crate) fn newest(&self) -> Result<Document, Bad> {
        let (mut version, mut document) = (self.version, self.document.clone());
        for change in &self.tail {
            document = replica::after(version, &document, change)?;
            version = change.version;
        }
        Ok(document)
    }

    /// Plays a record. What leads back is passed over.
    pub fn take(&mut self, record: &Record, plan: &Plan) {
        match record {
            Record::Promised(epoch) => self.promised = self.promised.max(*epoch),
            Record::Settled => self.fresh = false,
            Record::Held(tail) => self.tail = tail.clone(),
            Record::Known(names) => {
                let room = (2 * plan.names).saturating_sub(self.routers.len());
                self.routers.extend(names.iter().take(room).cloned());
            }
            Record::Forgotten(names) => self.routers.retain(|name| !names.contains(name)),
            Record::Released(changes) => {
                for change in changes {
                    let Ok(next) = replica::after(self.version, &self.document, change) else { continue };
                    self.document = next;
                    (self.version, self.published) = (change.version, change.published);
                    self.log.push(change.clone(), plan.log_changes, plan.log_bytes);
                }
                self.trim();
            }
            Record::Whole { version, published, document } if *version > self.version => {
                self.document = document.clone();
                (self.version, self.published) = (*version, *published);
                self.log.clear();
                self.trim();
            }
            Record::Whole { .. } => {}
        }
    }

    /// Drops of the tail what is released now, or what another writer's release has overtaken.
    fn trim(&mut self) {
        match self.tail.iter().position(|change| change.version == self.version) {
            Some(at) => drop(self.tail.drain(..=at)),
            None if self.tail.first().is_some_and(|first| first.after != self.version) => self.tail.clear(),
            None => {}
        }
    }

    /// As bytes, with a check sum.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(xxh3_64(&bytes).to_le_bytes());
        bytes
    }

    /// None if the check sum does not fit, or they are of another form: start as one that kept nothing, and say so.
    pub fn from_bytes(bytes: &[u8]) -> Option<Kept> {
        let (body, sum) = bytes.split_last_chunk::<8>()?;
        if xxh3_64(body).to_le_bytes() != *sum {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
