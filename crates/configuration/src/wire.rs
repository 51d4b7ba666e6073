//! The wire format of messages: one version byte, then postcard. The length is bounded, and anything unknown is
//! rejected with a specific error.

use std::fmt;

use crate::Message;

/// Version of this wire format. Any other version is rejected with [`Unread::Version`].
pub const VERSION: u8 = 1;
/// Maximum length of a message in bytes: a change of a whole document, and its framing.
pub const LONGEST: usize = 2 << 20;
/// Maximum number of entries in a report.
pub const ENTRIES_MOST: usize = 512;
/// Maximum length of a refusal's reason, in bytes; longer ones are truncated.
pub const WHY_MOST: usize = 200;

/// Why received bytes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// There are no bytes.
    Empty,
    /// There are more than [`LONGEST`] bytes.
    TooLong(usize),
    /// The bytes have another version of the wire format.
    Version(u8),
    /// The version is known, but the bytes are not a message.
    Malformed,
    /// There are bytes after the message.
    Trailing(usize),
}

impl fmt::Display for Unread {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::Empty => write!(out, "empty message"),
            Unread::TooLong(length) => write!(out, "message of {length} bytes, expected at most {LONGEST}"),
            Unread::Version(version) => write!(out, "wire version {version}, expected {VERSION}"),
            Unread::Malformed => write!(out, "not a message of wire version {VERSION}"),
            Unread::Trailing(length) => write!(out, "{length} unexpected bytes after the message"),
        }
    }
}

impl std::error::Error for Unread {}

/// # Errors
/// [`Unread::TooLong`] if the message is too long; [`Unread::Malformed`] if it cannot be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, Unread> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Unread::Malformed)?;
    if bytes.len() > LONGEST { Err(Unread::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// [`Unread`] tells why the bytes were rejected.
pub fn decode(bytes: &[u8]) -> Result<Message, Unread> {
    let (&version, rest) = bytes.split_first().ok_or(Unread::Empty)?;
    if bytes.len() > LONGEST {
        return Err(Unread::TooLong(bytes.len()));
    }
    if version != VERSION {
        return Err(Unread::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        Ok((_, behind)) => Err(Unread::Trailing(behind.len())),
        Err(_) => Err(Unread::Malformed),
    }
}

/// The encoded length of a message, including the version byte.
pub fn length(message: &Message) -> usize {
    1 + postcard::experimental::serialized_size(message).unwrap_or(LONGEST)
}
