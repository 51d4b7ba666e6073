//! The wire format of messages: one version byte, then postcard. The length is bounded, and anything unknown is
//! rejected with a specific error.

use std::fmt;

use crate::Message;

/// Version of this wire format. Any other version is rejected with [`WireError::Version`].
pub const VERSION: u8 = 1;
/// Maximum length of a message in bytes: a change of a whole document, and its framing.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// Maximum number of entries in a report.
pub const MAX_ENTRIES: usize = 512;
/// Maximum length of a refusal's reason, in bytes; longer ones are truncated.
pub const MAX_REASON_BYTES: usize = 200;

/// Why received bytes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// There are no bytes.
    Empty,
    /// There are more than [`MAX_MESSAGE_BYTES`] bytes.
    TooLong(usize),
    /// The bytes have another version of the wire format.
    Version(u8),
    /// The version is known, but the bytes are not a message.
    Malformed,
    /// There are bytes after the message.
    Trailing(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Empty => write!(out, "empty message"),
            WireError::TooLong(length) => {
                write!(out, "message of {length} bytes, expected at most {MAX_MESSAGE_BYTES}")
            }
            WireError::Version(version) => write!(out, "wire version {version}, expected {VERSION}"),
            WireError::Malformed => write!(out, "not a message of wire version {VERSION}"),
            WireError::Trailing(length) => write!(out, "{length} unexpected bytes after the message"),
        }
    }
}

impl std::error::Error for WireError {}

/// # Errors
/// [`WireError::TooLong`] if the message is too long; [`WireError::Malformed`] if it cannot be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| WireError::Malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES { Err(WireError::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// [`WireError`] tells why the bytes were rejected.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    let (&version, rest) = bytes.split_first().ok_or(WireError::Empty)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        Ok((_, behind)) => Err(WireError::Trailing(behind.len())),
        Err(_) => Err(WireError::Malformed),
    }
}

/// The encoded length of a message, including the version byte.
pub fn length(message: &Message) -> usize {
    1 + postcard::experimental::serialized_size(message).unwrap_or(MAX_MESSAGE_BYTES)
}
