//! Names of instances, the messages they send, and the events a transport reports.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Time in whole tenths of a millisecond.
pub type Tenths = i64;

/// Identifies one start of an instance: grows with every start under the same name.
pub type Incarnation = u64;

/// Number that distinguishes the streams of one sender to one peer.
pub type StreamId = u16;

/// Type of a message. The program assigns the numbers; see [`Kinds`].
pub type Kind = u16;

/// Maximum length of an instance's name, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// The name of an instance: 1 to 48 bytes of letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns None if the name is empty, too long, or has other characters.
    pub fn new(text: &str) -> Option<Name> {
        let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
        let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        (fits && plain).then(|| Name(Arc::from(text)))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One start of one instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    pub name: Name,
    pub incarnation: Incarnation,
}

impl fmt::Display for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.incarnation)
    }
}

/// The kinds of message that an instance accepts, with their names. Others are refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kinds(BTreeMap<Kind, &'static str>);

impl Kinds {
    pub fn new(kinds: &[(Kind, &'static str)]) -> Kinds {
        Kinds(kinds.iter().copied().collect())
    }

    pub fn name(&self, kind: Kind) -> Option<&'static str> {
        self.0.get(&kind).copied()
    }
}

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// May be lost, duplicated or reordered, without any report.
    Datagram,
    /// Delivered in order and once, or reported as unacknowledged.
    Stream(StreamId),
}

/// A message of a stream as its sender holds it until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// As [`crate::Transport::send`] returned it.
    pub number: u64,
    pub kind: Kind,
    pub body: Vec<u8>,
}

/// What a transport reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Datagram {
        from: Sender,
        kind: Kind,
        body: Vec<u8>,
    },
    /// The next message of a stream. Within one `epoch` of one incarnation of the sender, numbers grow by one,
    /// starting at the epoch's own number. A new epoch follows a break: messages between the two epochs may be
    /// missing, and their sender received them back in [`Event::Broken`].
    Message {
        from: Sender,
        stream: StreamId,
        epoch: u64,
        number: u64,
        kind: Kind,
        body: Vec<u8>,
    },
    /// All of this stream's messages up to `number`, except those returned earlier in [`Event::Broken`], were
    /// delivered to the peer's program. This does not mean that the program has stored them.
    Acknowledged {
        to: Name,
        stream: StreamId,
        number: u64,
    },
    /// The stream broke: every accepted message is either acknowledged or returned here. Each returned message
    /// may have been delivered or may still be, but not after any message sent later than this event. The next
    /// message sent begins a new epoch.
    Broken {
        to: Name,
        stream: StreamId,
        unacknowledged: Vec<Message>,
        why: BreakReason,
    },
    /// Something arrived that was not delivered. `from` is the sender, if it could be read.
    Rejected {
        from: Option<Name>,
        why: RejectReason,
    },
}

/// Why a stream broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakReason {
    /// The connection ended.
    ConnectionLost,
    /// No message was acknowledged within [`crate::Bounds::ack_timeout`].
    AckTimeout,
    /// The peer refused a message.
    Rejected(RejectReason),
    /// The peer's address changed, or the peer was removed.
    PeerRemoved,
}

/// Why something that arrived was not delivered. On a connection, the reason is sent back to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The bytes do not begin with the prefix that all versions share.
    UnknownProtocol,
    /// The version differs from `ours`.
    Version { theirs: u8, ours: u8 },
    /// The checksum does not match.
    ChecksumMismatch,
    /// Longer than the bound, in bytes.
    TooLong { length: u64, bound: u64 },
    /// The header cannot be decoded as one of this version.
    Malformed,
    /// A kind that this instance does not know.
    UnknownKind(Kind),
    /// Addressed to another instance, with this name.
    WrongReceiver(String),
    /// From a connection that a later one of the same sender replaced.
    StaleConnection,
    /// Sequence numbers are not consecutive, or a frame is not allowed at this point.
    OutOfOrder,
    /// The bound on connections or streams is reached.
    Full,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::UnknownProtocol => write!(f, "not a message between instances"),
            RejectReason::Version { theirs, ours } => {
                write!(f, "protocol version {theirs}, expected version {ours}")
            }
            RejectReason::ChecksumMismatch => write!(f, "checksum mismatch"),
            RejectReason::TooLong { length, bound } => {
                write!(f, "{length} bytes exceed the limit of {bound}")
            }
            RejectReason::Malformed => write!(f, "malformed header"),
            RejectReason::UnknownKind(kind) => write!(f, "unknown message kind {kind}"),
            RejectReason::WrongReceiver(name) => write!(f, "addressed to {name}"),
            RejectReason::StaleConnection => write!(f, "received on a connection that a later one replaced"),
            RejectReason::OutOfOrder => write!(f, "out of order"),
            RejectReason::Full => write!(f, "limit on connections or streams reached"),
        }
    }
}

/// Why [`crate::Transport::send`] did not accept a message. Nothing of it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The peer's address is not known: set it by [`crate::Transport::add_peer`] first.
    UnknownPeer(Name),
    /// This transport does not carry datagrams, or does not carry streams.
    UnsupportedChannel(Channel),
    /// A kind that this instance does not know.
    UnknownKind(Kind),
    /// In bytes.
    TooLong { length: usize, bound: usize },
    /// The bound on unacknowledged bytes is reached: send again after the next [`Event::Acknowledged`]. For a
    /// datagram: the socket's send buffer is full at the moment.
    Full { waiting: usize, bound: usize },
    /// The bound on peers or streams is reached.
    TooMany { bound: usize },
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::UnknownPeer(name) => write!(f, "no known address for {name}"),
            SendError::UnsupportedChannel(channel) => {
                write!(f, "{channel:?} is not supported by this transport")
            }
            SendError::UnknownKind(kind) => write!(f, "unknown message kind {kind}"),
            SendError::TooLong { length, bound } => write!(f, "{length} bytes exceed the limit of {bound}"),
            SendError::Full { waiting, bound } => {
                write!(f, "send queue full: {waiting} of {bound} bytes in use")
            }
            SendError::TooMany { bound } => write!(f, "limit of {bound} peers or streams reached"),
        }
    }
}

impl std::error::Error for SendError {}
impl std::error::Error for RejectReason {}
