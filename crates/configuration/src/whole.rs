//! Snapshots: a whole document as compressed bytes, with its version and digest. A router persists snapshots, and
//! machines send them in parts where the log does not reach back far enough.

use std::collections::BTreeMap;
use std::io::Read;

use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentError, MAX_DOCUMENT_BYTES, MAX_NAMES};
use crate::{Change, Tenths, Version};

/// Compression level. A snapshot that is sent 2,100 times is compressed once.
const COMPRESSION_LEVEL: i32 = 9;
/// Maximum size after decompression: twice a document at its bounds, because changes have their own framing.
const MAX_UNPACKED_BYTES: u64 = (2 * MAX_DOCUMENT_BYTES + 8 * MAX_NAMES + 64) as u64;

#[derive(Serialize, Deserialize)]
struct Frame {
    version: Version,
    published: Tenths,
    digest: u64,
    names: BTreeMap<String, String>,
}

/// Compresses a document.
pub fn pack(version: Version, published: Tenths, document: &Document) -> Vec<u8> {
    let names = document.clone().into_map();
    let frame = Frame { version, published, digest: document.digest(), names };
    let plain = postcard::to_stdvec(&frame).unwrap_or_default();
    zstd::bulk::compress(&plain, COMPRESSION_LEVEL).unwrap_or_default()
}

/// Decompresses a document, with its version and the time when it was published.
///
/// # Errors
/// [`DocumentError`]: the bytes cannot be decoded, or the digest or a bound is wrong.
pub fn unpack(bytes: &[u8]) -> Result<(Version, Tenths, Document), DocumentError> {
    let plain = decompress(bytes)?;
    let frame: Frame = postcard::from_bytes(&plain).map_err(|_| DocumentError::UnreadableSnapshot)?;
    let document = Document::from(frame.names)?;
    match document.digest() {
        found if found != frame.digest => {
            Err(DocumentError::DigestMismatch { found, expected: frame.digest })
        }
        _ => Ok((frame.version, frame.published, document)),
    }
}

/// Compresses changes.
pub(crate) fn pack_changes(changes: &[Change]) -> Vec<u8> {
    let plain = postcard::to_stdvec(changes).unwrap_or_default();
    zstd::bulk::compress(&plain, COMPRESSION_LEVEL).unwrap_or_default()
}

/// # Errors
/// [`DocumentError`]: the bytes cannot be decoded, or there are too many.
pub(crate) fn unpack_changes(bytes: &[u8]) -> Result<Vec<Change>, DocumentError> {
    postcard::from_bytes(&decompress(bytes)?).map_err(|_| DocumentError::UnreadableSnapshot)
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DocumentError> {
    // Limits the output: a few bytes can decompress to gigabytes.
    let mut plain = Vec::new();
    let unpacking = zstd::Decoder::new(bytes).map_err(|_| DocumentError::UnreadableSnapshot)?;
    unpacking
        .take(MAX_UNPACKED_BYTES + 1)
        .read_to_end(&mut plain)
        .map_err(|_| DocumentError::UnreadableSnapshot)?;
    if plain.len() as u64 > MAX_UNPACKED_BYTES {
        Err(DocumentError::TooLarge(plain.len()))
    } else {
        Ok(plain)
    }
}
