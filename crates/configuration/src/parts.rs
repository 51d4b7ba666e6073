//! Data sent in parts, and its reassembly.

use std::collections::BTreeMap;

use crate::document::{DocumentError, MAX_DOCUMENT_BYTES};
use crate::{Tenths, Version};

/// Size of one part in bytes: eight parts per second fit the bandwidth that a router has for control traffic.
pub(crate) const PART_BYTES: usize = 512;
/// Maximum size of all parts together, compressed.
const MAX_PARTS_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;

/// What the parts contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartKind {
    Snapshot,
    Changes,
}

/// Compressed data that is sent in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Packed {
    pub(crate) kind: PartKind,
    /// The version that the data leads to.
    pub(crate) version: Version,
    pub(crate) published: Tenths,
    pub(crate) bytes: Vec<u8>,
}

impl Packed {
    pub(crate) fn parts(&self) -> u16 {
        self.bytes.len().div_ceil(PART_BYTES).max(1) as u16
    }

    pub(crate) fn part(&self, number: u16) -> Vec<u8> {
        let from = usize::from(number) * PART_BYTES;
        self.bytes.get(from..self.bytes.len().min(from + PART_BYTES)).unwrap_or_default().to_vec()
    }
}

/// One part, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    pub(crate) kind: PartKind,
    pub(crate) version: Version,
    pub(crate) part: u16,
    pub(crate) of: u16,
    pub(crate) bytes: Vec<u8>,
}

/// The parts received so far of the most recently begun snapshot or run of changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parts {
    of: Option<(PartKind, Version, u16)>,
    received: BTreeMap<u16, Vec<u8>>,
    bytes: usize,
}

impl Parts {
    /// Adds a part. Returns all bytes in order when no part is missing any more.
    ///
    /// # Errors
    /// [`DocumentError::TooLarge`] if there are too many bytes; all parts received so far are dropped.
    pub(crate) fn add(&mut self, part: Part) -> Result<Option<Vec<u8>>, DocumentError> {
        let of = (part.kind, part.version, part.of);
        if part.part >= part.of {
            return Ok(None);
        }
        if self.of != Some(of) {
            *self = Parts { of: Some(of), ..Parts::default() };
        }
        if !self.received.contains_key(&part.part) {
            self.bytes += part.bytes.len();
            self.received.insert(part.part, part.bytes);
        }
        if self.bytes > MAX_PARTS_BYTES {
            let bytes = self.bytes;
            *self = Parts::default();
            return Err(DocumentError::TooLarge(bytes));
        }
        if self.received.len() < usize::from(part.of) {
            return Ok(None);
        }
        let bytes = self.received.values().flatten().copied().collect();
        *self = Parts::default();
        Ok(Some(bytes))
    }
}
