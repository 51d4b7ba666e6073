//! Messages as bytes: one byte of version, then postcard. Bounded; what is not known is refused by name.

use std::fmt;

use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start};

/// Version of this wire form. Another one is refused by name.
pub const VERSION: u8 = 1;
/// Longest message, in bytes: fits a datagram on any usual path.
pub const LONGEST: usize = 1_200;

/// One message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sent it.
    pub from: Name,
    /// In which life.
    pub start: Start,
    /// What is said.
    pub body: Body,
}

/// What is said. New kinds only go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A borrower asks a lender.
    Ask(crate::budgets::Ask),
    /// A lender answers.
    Grant(crate::budgets::Grant),
    /// Tallies, in any order.
    Counts(Vec<crate::counts::Tally>),
    /// Judgements, in any order.
    Judgements(Vec<crate::judgements::Judgement>),
    /// How far a turn is.
    Turn(crate::turns::Turn, crate::turns::Progress),
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it; every part makes good a lost one.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message,
    },
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No byte at all.
    Empty,
    /// More than [`LONGEST`] bytes.
    TooLong(usize),
    /// Another version of the wire form.
    Version(u8),
    /// This version, but not a message of it: cut, of an unknown kind, or with a bad name.
    Malformed,
    /// A message with something behind it.
    Trailing(usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Empty => write!(out, "an empty message"),
            Refused::TooLong(length) => write!(out, "{length} bytes, at most {LONGEST} are taken"),
            Refused::Version(version) => write!(out, "wire version {version}, this one speaks {VERSION}"),
            Refused::Malformed => write!(out, "not a message of wire version {VERSION}"),
            Refused::Trailing(length) => write!(out, "{length} bytes behind the message"),
        }
    }
}

impl std::error::Error for Refused {}

/// # Errors
/// [`Refused::TooLong`] if it does not fit; [`Refused::Malformed`] if it can't be written.
pub fn encode(message: &Message) -> Result<Vec<u8>, Refused> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Refused::Malformed)?;
    if bytes.len() > LONGEST { Err(Refused::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// [`Refused`], by name.
pub fn decode(bytes: &[u8]) -> Result<Message, Refused> {
    let (&version, rest) = bytes.split_first().ok_or(Refused::Empty)?;
    if bytes.len() > LONGEST {
        return Err(Refused::TooLong(bytes.len()));
    }
    if version != VERSION {
        return Err(Refused::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        Ok((_, behind)) => Err(Refused::Trailing(behind.len())),
        Err(_) => Err(Refused::Malformed),
    }
}

/// Bytes that `value` takes; the most there is if it can't be written.
pub(crate) fn length(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(LONGEST)
}
