//! Reads a capture, whole or not.

use crate::VERSION;
use crate::frame::{HEAD, LONGEST, MARK, decode};
use crate::record::Record;

/// What a capture does not hold any more, or never held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Frames that are missing or damaged.
    pub frames: u64,
    /// Bytes that belong to no whole frame.
    pub bytes: u64,
    /// Records that the recorder dropped because its writer could not keep up.
    pub dropped: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    /// In the order in which they were written: by when commands ended.
    pub records: Vec<Record>,
    pub loss: Loss,
}

/// Reads all that is whole. An error only if this is no capture, or one of another version.
pub fn read(bytes: &[u8]) -> Result<Read, String> {
    let body = bytes.strip_prefix(b"VKLOAD").ok_or("expected a load capture, found something else")?;
    let Some((version, mut rest)) = body.split_first_chunk::<2>() else {
        return Err("expected a load capture, found only its beginning".into());
    };
    let version = u16::from_be_bytes(*version);
    if version != VERSION {
        return Err(format!("expected a load capture of version {VERSION}, found version {version}"));
    }
    let mut read = Read::default();
    let mut next = 0;
    while !rest.is_empty() {
        match whole(rest) {
            Some((frame, size)) => {
                read.loss.frames += frame.number.saturating_sub(next);
                next = frame.number + 1;
                read.loss.dropped = read.loss.dropped.max(frame.dropped);
                read.records.extend(frame.records);
                rest = &rest[size..];
            }
            None => {
                // Damaged or cut: the next mark may begin a whole frame again.
                let skip =
                    rest[1..].windows(MARK.len()).position(|w| w == MARK).map_or(rest.len(), |at| at + 1);
                read.loss.bytes += skip as u64;
                rest = &rest[skip..];
                if rest.is_empty() {
                    // Whatever this was, it was no more than the beginning of one frame.
                    read.loss.frames += 1;
                }
            }
        }
    }
    Ok(read)
}

fn whole(bytes: &[u8]) -> Option<(crate::frame::Frame, usize)> {
    let head = bytes.get(..HEAD)?;
    if head[..4] != MARK {
        return None;
    }
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let length = word(4) as usize;
    let body = bytes.get(HEAD..HEAD + length).filter(|_| length <= LONGEST)?;
    if crc32fast::hash(body) != word(8) {
        return None;
    }
    decode(body).map(|frame| (frame, HEAD + length))
}
