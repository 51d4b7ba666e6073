//! A version and its document, taken on by changes and whole copies: forward only, all of it or nothing.

use crate::document::{Bad, Document};
use crate::parts::{Of, Part, Parts};
use crate::{Change, Version, whole};

/// What is held, and what comes in parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    pub(crate) version: Version,
    pub(crate) document: Document,
    parts: Parts,
}

/// The document after a change made for this version.
///
/// # Errors
/// [`Bad`]: base, order, digest or a bound that does not fit.
pub(crate) fn after(version: Version, document: &Document, change: &Change) -> Result<Document, Bad> {
    if change.after != version {
        return Err(Bad::Base { held: version, after: change.after });
    }
    // Danger: an old writer's change, or one that leads in a circle.
    if change.version <= version || change.version.number <= version.number {
        return Err(Bad::Order(change.version));
    }
    let next = document.changed(&change.edits)?;
    match next.digest() {
        // Danger: a change that was damaged, or made for another document under this version.
        found if found != change.digest => Err(Bad::Digest { found, expected: change.digest }),
        _ => Ok(next),
    }
}

impl Replica {
    pub(crate) fn new(version: Version, document: Document) -> Replica {
        Replica { version, document, parts: Parts::default() }
    }

    /// Takes changes in order; those at or below what is held are passed over.
    ///
    /// # Errors
    /// The first one that does not fit, and why; those before it are taken.
    pub(crate) fn take(&mut self, changes: &[Change]) -> Result<(), (Version, Bad)> {
        for change in changes {
            // Danger: one that came twice, or late, would lead back.
            if change.version <= self.version {
                continue;
            }
            let next = after(self.version, &self.document, change).map_err(|bad| (change.version, bad))?;
            (self.version, self.document) = (change.version, next);
        }
        Ok(())
    }

    /// Takes a part, and all of it when it was the last one missing.
    ///
    /// # Errors
    /// What it is part of does not fit; nothing of it is taken, or of changes those before the first that does not.
    pub(crate) fn part(&mut self, part: Part) -> Result<(), (Version, Bad)> {
        // Danger: a copy that would lead back.
        if part.version <= self.version {
            return Ok(());
        }
        let (kind, version) = (part.kind, part.version);
        let named = |bad| (version, bad);
        let Some(bytes) = self.parts.take(part).map_err(named)? else { return Ok(()) };
        match kind {
            Of::Changes => self.take(&whole::unpack_changes(&bytes).map_err(named)?),
            Of::Whole => {
                let (found, _, document) = whole::unpack(&bytes).map_err(named)?;
                if found != version {
                    return Err(named(Bad::Copy));
                }
                (self.version, self.document) = (version, document);
                Ok(())
            }
        }
    }
}
