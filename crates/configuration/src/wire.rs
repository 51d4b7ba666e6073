//! Messages as bytes: one byte of version, then postcard. Bounded; what is not known is refused by name.

use std::fmt;

use crate::Message;

/// Version of this wire form. Another one is refused by name.
pub const VERSION: u8 = 1;
/// Longest message, in bytes: a change of a whole document, and its frame.
pub const LONGEST: usize = 2 << 20;
/// Most entries of a report.
pub const ENTRIES_MOST: usize = 512;
/// Longest reason of a refusal, in bytes; longer ones are cut.
pub const WHY_MOST: usize = 200;

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// No byte at all.
    Empty,
    /// More than [`LONGEST`] bytes.
    TooLong(usize),
    /// Another version of the wire form.
    Version(u8),
    /// This version, but not a message of it.
    Malformed,
    /// A message with something behind it.
    Trailing(usize),
}

impl fmt::Display for Unread {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::Empty => write!(out, "an empty message"),
            Unread::TooLong(length) => write!(out, "{length} bytes, at most {LONGEST} are taken"),
            Unread::Version(version) => write!(out, "wire version {version}, this one speaks {VERSION}"),
            Unread::Malformed => write!(out, "not a message of wire version {VERSION}"),
            Unread::Trailing(length) => write!(out, "{length} bytes behind the message"),
        }
    }
}

impl std::error::Error for Unread {}

/// # Errors
/// [`Unread::TooLong`] if it does not fit; [`Unread::Malformed`] if it can't be written.
pub fn encode(message: &Message) -> Result<Vec<u8>, Unread> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Unread::Malformed)?;
    if bytes.len() > LONGEST { Err(Unread::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// [`Unread`], by name.
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

/// Bytes that a message takes, with its byte of version.
pub fn length(message: &Message) -> usize {
    1 + postcard::experimental::serialized_size(message).unwrap_or(LONGEST)
}
