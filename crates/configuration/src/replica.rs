//! A version and its document, taken on by changes and whole copies: forward only, all of it or nothing.

use std::collections::BTreeMap;

use crate::document::{Bad, DOCUMENT_MOST, Document};
use crate::{Change, Tenths, Version, whole};

/// What is held, and a whole copy under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    pub(crate) version: Version,
    pub(crate) document: Document,
    parts: Option<Parts>,
}

/// Parts of a whole copy: at most as many bytes as a document has.
#[derive(Clone, Debug)]
struct Parts {
    version: Version,
    of: u16,
    came: BTreeMap<u16, Vec<u8>>,
    bytes: usize,
}

/// One part, as it came.
pub(crate) struct Part {
    pub(crate) version: Version,
    pub(crate) part: u16,
    pub(crate) of: u16,
    pub(crate) bytes: Vec<u8>,
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
        Replica { version, document, parts: None }
    }

    /// Takes changes in order; those at or below what is held are passed over.
    ///
    /// # Errors
    /// The first one that does not fit, and why; those before it are taken.
    pub(crate) fn take(&mut self, changes: &[Change]) -> Result<(), (Version, Bad)> {
        for change in changes.iter().filter(|change| change.version > self.version).collect::<Vec<_>>() {
            let next = after(self.version, &self.document, change).map_err(|bad| (change.version, bad))?;
            (self.version, self.document) = (change.version, next);
        }
        Ok(())
    }

    /// Takes a part. When it was the last one missing, of a later version: when it was published.
    ///
    /// # Errors
    /// The copy can't be used; its parts are forgotten.
    pub(crate) fn part(&mut self, part: Part) -> Result<Option<Tenths>, (Version, Bad)> {
        // Danger: a copy that would lead back.
        if part.version <= self.version || part.part >= part.of {
            return Ok(None);
        }
        let fits = |parts: &&mut Parts| parts.version == part.version && parts.of == part.of;
        if self.parts.as_mut().filter(fits).is_none() {
            self.parts = Some(Parts { version: part.version, of: part.of, came: BTreeMap::new(), bytes: 0 });
        }
        let Some(parts) = &mut self.parts else { return Ok(None) };
        if !parts.came.contains_key(&part.part) {
            parts.bytes += part.bytes.len();
            parts.came.insert(part.part, part.bytes);
        }
        if parts.bytes > DOCUMENT_MOST {
            self.parts = None;
            return Err((part.version, Bad::Bytes(DOCUMENT_MOST + 1)));
        }
        if parts.came.len() < usize::from(parts.of) {
            return Ok(None);
        }
        let bytes: Vec<u8> = parts.came.values().flatten().copied().collect();
        self.parts = None;
        match whole::unpack(&bytes) {
            Ok((version, published, document)) if version == part.version => {
                (self.version, self.document) = (version, document);
                Ok(Some(published))
            }
            Ok(_) => Err((part.version, Bad::Copy)),
            Err(bad) => Err((part.version, bad)),
        }
    }

    /// Is a whole copy under way?
    pub(crate) fn copying(&self) -> bool {
        self.parts.is_some()
    }

    /// Forgets a copy under way.
    pub(crate) fn drop_parts(&mut self) {
        self.parts = None;
    }
}
