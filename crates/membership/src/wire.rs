//! Wire format of the messages: one version byte, then postcard. The length is bounded, and each reason to reject a
//! message has an error variant of its own.

use std::fmt;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::claim::{Claim, Instance};

/// Version of this wire format. Any other version is rejected with [`Refused::Version`].
pub const VERSION: u8 = 1;
/// Maximum length of a message, in bytes: fits into one datagram on any usual path.
pub const LONGEST: usize = 1_200;

/// One message between two instances. Receiving it shows that its sender is alive, with the start and incarnation it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's fleet.
    pub fleet: u32,
    /// The sender.
    pub from: Instance,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The kind of the message.
    pub body: Body,
    /// Claims that are piggybacked.
    pub claims: Vec<Claim>,
}

/// The kind of a message. New kinds are added at the end only, because the wire format numbers them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Direct probe. It names its target, because another instance may have the address by now.
    Ping {
        /// Repeated in the answer.
        number: u64,
        /// The target.
        to: Name,
    },
    /// Answer to a ping, or from a helper: the target of the indirect probe has answered.
    Ack {
        /// The number of the ping, or of the request for an indirect probe.
        number: u64,
    },
    /// Request to a helper for an indirect probe (the `ping-req` of SWIM).
    PingReq {
        /// Repeated in the answer.
        number: u64,
        /// The target.
        to: Name,
        /// Address of the target.
        address: SocketAddr,
    },
    /// From a helper: the target of the indirect probe has not answered so far.
    Nack {
        /// The number of the request for an indirect probe.
        number: u64,
    },
    /// Carries claims only.
    Gossip,
    /// Anti-entropy: requests the full view of the receiver, unless its digest equals the sender's.
    SyncRequest {
        /// Checksum over the sender's view; `None` requests an answer in any case.
        digest: Option<u32>,
        /// Continue after this name.
        after: Option<Name>,
    },
    /// One page of the sender's full view: the claims of this message.
    SyncPage {
        /// The name after which the next page starts; `None` on the last page.
        next: Option<Name>,
    },
}

/// Why a received message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There are no bytes.
    Empty,
    /// More than [`LONGEST`] bytes.
    TooLong(usize),
    /// Another version of the wire format.
    Version(u8),
    /// Not a message of this version: truncated, of an unknown kind, or with an invalid name.
    Malformed,
    /// A message followed by this many further bytes.
    Trailing(usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Empty => write!(out, "an empty message"),
            Refused::TooLong(length) => write!(out, "message of {length} bytes, the limit is {LONGEST}"),
            Refused::Version(version) => {
                write!(out, "unsupported wire version {version}, expected {VERSION}")
            }
            Refused::Malformed => write!(out, "malformed message of wire version {VERSION}"),
            Refused::Trailing(length) => write!(out, "{length} trailing bytes after the message"),
        }
    }
}

impl std::error::Error for Refused {}

/// Serializes a message behind the version byte.
///
/// # Errors
/// [`Refused::TooLong`] if it exceeds [`LONGEST`]; [`Refused::Malformed`] if it can't be serialized.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, Refused> {
    let bytes = postcard::to_extend(message, vec![VERSION]).map_err(|_| Refused::Malformed)?;
    if bytes.len() > LONGEST { Err(Refused::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// Checks length and version, then deserializes the message.
///
/// # Errors
/// [`Refused`] gives the reason.
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

/// Serialized length of `value` in bytes; [`LONGEST`] if it can't be serialized.
pub fn length(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(LONGEST)
}
