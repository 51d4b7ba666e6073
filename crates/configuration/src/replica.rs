//! A replica of the document. Changes and snapshots only move it to later versions, and each applies entirely or not at
//! all.

use crate::document::{Document, DocumentError};
use crate::parts::{Part, PartKind, Parts};
use crate::{Change, Version, whole};

/// The version and document held, and the parts received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    pub(crate) version: Version,
    pub(crate) document: Document,
    parts: Parts,
}

/// The document after a change that applies to this version.
///
/// # Errors
/// [`DocumentError`]: the base version, the order, the digest or a bound is wrong.
pub(crate) fn apply(
    version: Version,
    document: &Document,
    change: &Change,
) -> Result<Document, DocumentError> {
    if change.base != version {
        return Err(DocumentError::WrongBase { held: version, base: change.base });
    }
    // Guards against a change from an earlier writer, and against changes that form a cycle.
    if change.version <= version || change.version.number <= version.number {
        return Err(DocumentError::NotLater(change.version));
    }
    let next = document.changed(&change.edits)?;
    match next.digest() {
        // Guards against a change that was damaged, or that was made for a different document under the same version.
        found if found != change.digest => {
            Err(DocumentError::DigestMismatch { found, expected: change.digest })
        }
        _ => Ok(next),
    }
}

impl Replica {
    pub(crate) fn new(version: Version, document: Document) -> Replica {
        Replica { version, document, parts: Parts::default() }
    }

    /// Applies changes in order, and ignores those up to the version held.
    ///
    /// # Errors
    /// The version of the first change that does not apply, and why; the changes before it are applied.
    pub(crate) fn apply(&mut self, changes: &[Change]) -> Result<(), (Version, DocumentError)> {
        for change in changes {
            // A duplicated or delayed change would take the replica back.
            if change.version <= self.version {
                continue;
            }
            let next = apply(self.version, &self.document, change).map_err(|bad| (change.version, bad))?;
            (self.version, self.document) = (change.version, next);
        }
        Ok(())
    }

    /// Adds a part, and applies all of them when no part is missing any more.
    ///
    /// # Errors
    /// A snapshot that cannot be used is not applied. Of a run of changes, those before the first invalid one are
    /// applied.
    pub(crate) fn add_part(&mut self, part: Part) -> Result<(), (Version, DocumentError)> {
        // A late snapshot would take the replica back.
        if part.version <= self.version {
            return Ok(());
        }
        let (kind, version) = (part.kind, part.version);
        let named = |bad| (version, bad);
        let Some(bytes) = self.parts.add(part).map_err(named)? else { return Ok(()) };
        match kind {
            PartKind::Changes => self.apply(&whole::unpack_changes(&bytes).map_err(named)?),
            PartKind::Snapshot => {
                let (found, _, document) = whole::unpack(&bytes).map_err(named)?;
                if found != version {
                    return Err(named(DocumentError::UnreadableSnapshot));
                }
                (self.version, self.document) = (version, document);
                Ok(())
            }
        }
    }
}
