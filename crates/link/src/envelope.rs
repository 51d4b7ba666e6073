//! Bytes of a message: a beginning that all versions share, then the header (postcard), then the body.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..2 | `VL` |
//! | 2 | version; 1 here |
//! | 3..7 | CRC-32 of the rest, big-endian |
//! | 7.. | [`Header`], then the body up to the end |
//!
//! On a connection each message follows its length, 4 bytes, big-endian. This beginning and [`Lane::Refusal`] stay as they
//! are in every version, so that versions can refuse each other in words.

use crate::message::{Incarnation, Kind, NAME_MOST, StreamId, Unread};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub const VERSION: u8 = 1;
const MARK: [u8; 2] = *b"VL";
const START: usize = 7;

/// No header is longer, beginning included: two names, four numbers of 10 bytes at most, and a refusal.
pub const OVERHEAD_MOST: usize = START + 2 * (NAME_MOST + 1) + 70;

/// Who sends what to whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header<'a> {
    #[serde(borrow)]
    pub from: &'a str,
    pub incarnation: Incarnation,
    pub to: &'a str,
    pub kind: Kind,
    pub lane: Lane,
}

/// Where in the talk a message belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lane {
    /// First for ever; from the side that did not take something. Of one stream's epoch, or of all.
    Refusal {
        stream: Option<(StreamId, u64)>,
        why: Unread,
    },
    Datagram,
    /// The first of a connection; `dial` grows with each connection of one start.
    Hello {
        dial: u64,
    },
    /// `epoch` is the number of the first message after a break.
    Stream {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
    /// All up to `number` were handed over.
    Acknowledged {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
}

/// The bytes of a message.
pub fn encode(header: &Header<'_>, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(OVERHEAD_MOST + body.len());
    out.extend(MARK);
    out.push(VERSION);
    out.extend([0; 4]);
    // A header has no map and no text of unknown length: it always serializes.
    let mut out = postcard::to_extend(header, out).unwrap_or_default();
    out.extend(body);
    if let Some((start, rest)) = out.split_at_mut_checked(START) {
        start[3..].copy_from_slice(&crc32fast::hash(rest).to_be_bytes());
    }
    out
}

/// Header and body of a message.
pub fn decode(bytes: &[u8]) -> Result<(Header<'_>, &[u8]), Unread> {
    let (start, rest) = bytes.split_at_checked(START).ok_or(Unread::Foreign)?;
    if start[..2] != MARK {
        return Err(Unread::Foreign);
    }
    if crc32fast::hash(rest).to_be_bytes() != start[3..] {
        return Err(Unread::Damaged);
    }
    if start[2] != VERSION {
        return Err(Unread::Version { theirs: start[2], ours: VERSION });
    }
    postcard::take_from_bytes(rest).map_err(|_| Unread::Malformed)
}

/// A value as the body of a message.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(value)
}

/// A value from the body of a message; bytes beyond it are an error.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(body)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
