//! Encoding of a message: a prefix that all versions share, then the header (postcard), then the body.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..2 | `VL` |
//! | 2 | version; 1 here |
//! | 3..7 | CRC-32 of the rest, big-endian |
//! | 7.. | [`Header`], then the body up to the end |
//!
//! On a connection each message follows its length, 4 bytes, big-endian. The prefix and [`FrameType::Refusal`] keep their
//! encoding in every version, so that instances of different versions can refuse each other with a reason.

use crate::message::{Incarnation, Kind, MAX_NAME_BYTES, RejectReason, StreamId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"VL";
const PREFIX_BYTES: usize = 7;

/// Maximum size of prefix and header: two names, four numbers of 10 bytes at most, and a refusal.
pub const MAX_OVERHEAD: usize = PREFIX_BYTES + 2 * (MAX_NAME_BYTES + 1) + 70;

/// Sender, receiver and type of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header<'a> {
    #[serde(borrow)]
    pub from: &'a str,
    pub incarnation: Incarnation,
    pub to: &'a str,
    pub kind: Kind,
    pub frame_type: FrameType,
}

/// What a frame is, and its position in the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameType {
    /// Sent by the side that did not accept something: one stream's epoch, or everything on the connection. Must
    /// stay the first variant in every version.
    Refusal {
        stream: Option<(StreamId, u64)>,
        why: RejectReason,
    },
    Datagram,
    /// Handshake, the first frame of a connection; `connection_number` grows with each connection of one incarnation.
    Hello {
        connection_number: u64,
    },
    /// A stream's message. `epoch` is the number of the first message after a break.
    Stream {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
    /// All messages up to `number` were delivered.
    Acknowledged {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
}

/// Encodes a message.
pub fn encode(header: &Header<'_>, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(MAX_OVERHEAD + body.len());
    out.extend(MAGIC);
    out.push(VERSION);
    out.extend([0; 4]);
    // Serialization cannot fail: a header has no map and no text of unknown length.
    let mut out = postcard::to_extend(header, out).unwrap_or_default();
    out.extend(body);
    if let Some((prefix, rest)) = out.split_at_mut_checked(PREFIX_BYTES) {
        prefix[3..].copy_from_slice(&crc32fast::hash(rest).to_be_bytes());
    }
    out
}

/// Decodes a message into header and body.
pub fn decode(bytes: &[u8]) -> Result<(Header<'_>, &[u8]), RejectReason> {
    let (prefix, rest) = bytes.split_at_checked(PREFIX_BYTES).ok_or(RejectReason::UnknownProtocol)?;
    if prefix[..2] != MAGIC {
        return Err(RejectReason::UnknownProtocol);
    }
    if crc32fast::hash(rest).to_be_bytes() != prefix[3..] {
        return Err(RejectReason::ChecksumMismatch);
    }
    if prefix[2] != VERSION {
        return Err(RejectReason::Version { theirs: prefix[2], ours: VERSION });
    }
    postcard::take_from_bytes(rest).map_err(|_| RejectReason::Malformed)
}

/// Serializes a value as the body of a message.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(value)
}

/// Deserializes a value from the body of a message; bytes beyond it are an error.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(body)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
