//! What instances call each other, what they send, and what they are told.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Times: whole tenths of a millisecond.
pub type Tenths = i64;

/// Which start of an instance: grows with every start under one name.
pub type Incarnation = u64;

/// Streams of one sender to one peer are told apart by number.
pub type StreamId = u16;

/// What a message is. Numbers are given out by the program; see [`Kinds`].
pub type Kind = u16;

/// The longest name of an instance, in bytes.
pub const NAME_MOST: usize = 48;

/// The name of an instance: 1 to 48 bytes of letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

impl Name {
    /// None if it is empty, too long, or has other characters.
    pub fn new(text: &str) -> Option<Name> {
        let fits = (1..=NAME_MOST).contains(&text.len());
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

/// The kinds of message an instance understands, with their names. Others are refused.
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
pub enum Way {
    /// May be lost, doubled or overtaken, and nobody tells.
    Datagram,
    /// In order and once, or told as unacknowledged.
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

/// What a transport tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Datagram {
        from: Sender,
        kind: Kind,
        body: Vec<u8>,
    },
    /// The next message of a stream. Within one `epoch` of one sender's start numbers grow by one, from the epoch's own
    /// number on. A new epoch follows a break: between the two, messages may be missing, and the sender was told which.
    Message {
        from: Sender,
        stream: StreamId,
        epoch: u64,
        number: u64,
        kind: Kind,
        body: Vec<u8>,
    },
    /// All of this stream's messages up to `number`, but for those handed back before, were handed to the peer's program.
    /// (Not: stored by it.)
    Acknowledged {
        to: Name,
        stream: StreamId,
        number: u64,
    },
    /// The stream broke: what was taken is either acknowledged or in here. Each of these was perhaps handed over, perhaps
    /// will be, but not after any message sent later than this. The next message sent begins a new epoch.
    Broken {
        to: Name,
        stream: StreamId,
        unacknowledged: Vec<Message>,
        why: Why,
    },
    /// Something came in that was not handed over. `from` as far as it could be read.
    Unread {
        from: Option<Name>,
        why: Unread,
    },
}

/// Why a stream broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// The connection ended.
    Lost,
    /// Nothing was acknowledged for [`crate::Bounds::patience`].
    Silent,
    /// The peer did not take a message.
    Refused(Unread),
    /// The peer has another address now, or is no longer to be talked to.
    Left,
}

/// Why something that came in was not handed over. Travels back to its sender where there is a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unread {
    /// Not even a beginning that any version shares.
    Foreign,
    /// A version other than `ours`.
    Version { theirs: u8, ours: u8 },
    /// Its check sum is wrong.
    Damaged,
    /// Longer than the bound, in bytes.
    TooLong { length: u64, bound: u64 },
    /// The header reads as none of this version.
    Malformed,
    /// A kind that this instance does not know.
    Kind(Kind),
    /// Meant for another instance, by this name.
    NotMine(String),
    /// From a connection that a later one of the same sender has replaced.
    Stale,
    /// Numbers do not follow each other, or a frame came where it has no place.
    OutOfOrder,
    /// More connections or streams than the bound.
    Full,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::Foreign => write!(f, "no message between instances"),
            Unread::Version { theirs, ours } => write!(f, "version {theirs}, version {ours} is spoken here"),
            Unread::Damaged => write!(f, "its check sum is wrong"),
            Unread::TooLong { length, bound } => write!(f, "{length} bytes, over the bound of {bound}"),
            Unread::Malformed => write!(f, "its header can't be read"),
            Unread::Kind(kind) => write!(f, "kind {kind} is not known here"),
            Unread::NotMine(name) => write!(f, "meant for {name}"),
            Unread::Stale => write!(f, "from a connection that was replaced"),
            Unread::OutOfOrder => write!(f, "out of its order"),
            Unread::Full => write!(f, "no room for a further one"),
        }
    }
}

/// Why [`crate::Transport::send`] did not take a message. Nothing of it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No address: tell it by [`crate::Transport::meet`] first.
    NotMet(Name),
    /// This transport has no datagrams, or no streams.
    NoSuchWay(Way),
    /// A kind that this instance itself does not know.
    Kind(Kind),
    /// In bytes.
    TooLong { length: usize, bound: usize },
    /// As many bytes wait for their acknowledgement as may: send again after the next [`Event::Acknowledged`]. For a
    /// datagram: the socket takes no more just now.
    Full { waiting: usize, bound: usize },
    /// A further peer or stream than the bound.
    TooMany { bound: usize },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NotMet(name) => write!(f, "no address of {name} is known"),
            Refused::NoSuchWay(way) => write!(f, "{way:?} is not carried here"),
            Refused::Kind(kind) => write!(f, "kind {kind} is not known here"),
            Refused::TooLong { length, bound } => write!(f, "{length} bytes, over the bound of {bound}"),
            Refused::Full { waiting, bound } => write!(f, "{waiting} of {bound} bytes are waiting"),
            Refused::TooMany { bound } => write!(f, "already {bound} of them"),
        }
    }
}

impl std::error::Error for Refused {}
impl std::error::Error for Unread {}
