//! Messages as bytes: one byte of version, then postcard. Bounded; what is not known is refused by name.

use std::fmt;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::claim::{Claim, Instance};

/// Version of this wire form. Another one is refused by name.
pub const VERSION: u8 = 1;
/// Longest message, in bytes: fits a datagram on any usual path.
pub const LONGEST: usize = 1_200;

/// One message between two instances. That it comes proves its sender alive, in the life and incarnation that it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's fleet.
    pub fleet: u32,
    /// The sender.
    pub from: Instance,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// What it is for.
    pub body: Body,
    /// News that goes along.
    pub claims: Vec<Claim>,
}

/// What a message is for. New kinds only go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? For one name in one life: whoever has the address now may be another.
    Ping {
        /// Comes back with the answer.
        number: u64,
        /// Who is meant.
        to: Name,
    },
    /// I am, or (through a helper) the one you asked for is.
    Ack {
        /// The number of the ping, or of the errand.
        number: u64,
    },
    /// Ask this one for me.
    Errand {
        /// Comes back with the answer.
        number: u64,
        /// Who is meant.
        to: Name,
        /// Where it is.
        address: SocketAddr,
    },
    /// I asked and got no answer so far.
    Regret {
        /// The number of the errand.
        number: u64,
    },
    /// Nothing but news.
    News,
    /// Tell me all you know, unless it is what I know.
    Compare {
        /// Check sum of what the sender knows; none to be told in any case.
        digest: Option<u32>,
        /// Go on after this name.
        after: Option<Name>,
    },
    /// All I know, in part: the claims of this message.
    Page {
        /// Where to go on, if there is more.
        next: Option<Name>,
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
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, Refused> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Refused::Malformed)?;
    if bytes.len() > LONGEST { Err(Refused::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// [`Refused`], by name.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Refused> {
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
pub fn length(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(LONGEST)
}
