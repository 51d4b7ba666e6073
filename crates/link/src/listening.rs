//! One inbound connection: the peer's identity, the order of received messages, and pending acknowledgements.

use crate::envelope::{Header, Lane};
use crate::message::{Incarnation, Kinds, Name, StreamId, Tenths, Unread};
use std::collections::BTreeMap;

/// Receiving side of a stream.
#[derive(Debug)]
struct Incoming {
    epoch: u64,
    /// The next expected number; None once a message of this epoch was refused.
    next: Option<u64>,
    handed: u64,
    acknowledged: u64,
}

/// The peer on a connection as given in its handshake, and the number of the connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Speaker {
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) dial: u64,
}

pub(crate) struct Listening {
    pub(crate) speaker: Option<Speaker>,
    streams: BTreeMap<StreamId, Incoming>,
    /// The whole connection was refused: further frames are ignored.
    pub(crate) refused: bool,
    pub(crate) heard: Tenths,
    pub(crate) ahead: usize,
}

/// Result of a received frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    Greeting(Speaker),
    Message {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
    /// The rest of one stream's epoch is refused.
    RefuseStream {
        stream: StreamId,
        epoch: u64,
        why: Unread,
    },
    /// The connection is refused.
    RefuseAll(Unread),
    Nothing,
}

impl Listening {
    pub(crate) fn new(now: Tenths) -> Listening {
        Listening { speaker: None, streams: BTreeMap::new(), refused: false, heard: now, ahead: 0 }
    }

    pub(crate) fn hear(&mut self, now: Tenths, header: &Header<'_>, kinds: &Kinds, most: usize) -> Heard {
        if self.refused {
            return Heard::Nothing;
        }
        self.heard = now;
        match (&self.speaker, &header.lane) {
            (None, Lane::Hello { dial }) => match Name::new(header.from) {
                Some(name) => Heard::Greeting(Speaker { name, incarnation: header.incarnation, dial: *dial }),
                None => Heard::RefuseAll(Unread::Malformed),
            },
            (Some(speaker), Lane::Stream { stream, epoch, number }) => {
                if speaker.name.as_str() != header.from || speaker.incarnation != header.incarnation {
                    return Heard::RefuseAll(Unread::OutOfOrder);
                }
                let known = kinds.name(header.kind).is_some();
                self.message((*stream, *epoch, *number), known.then_some(()).ok_or(header.kind), most)
            }
            _ => Heard::RefuseAll(Unread::OutOfOrder),
        }
    }

    fn message(&mut self, place: (StreamId, u64, u64), known: Result<(), u16>, most: usize) -> Heard {
        let (stream, epoch, number) = place;
        if !self.streams.contains_key(&stream) && self.streams.len() >= most {
            return Heard::RefuseStream { stream, epoch, why: Unread::Full };
        }
        let fresh = || Incoming { epoch, next: Some(epoch), handed: epoch - 1, acknowledged: epoch - 1 };
        if epoch == 0 {
            return Heard::RefuseAll(Unread::OutOfOrder);
        }
        let incoming = self.streams.entry(stream).or_insert_with(fresh);
        if epoch > incoming.epoch {
            *incoming = fresh();
        }
        if epoch == incoming.epoch && incoming.next.is_none() {
            return Heard::Nothing;
        }
        // Danger: accepting a message out of order would hide the loss of the one before it.
        if epoch < incoming.epoch || incoming.next != Some(number) {
            return Heard::RefuseAll(Unread::OutOfOrder);
        }
        if let Err(kind) = known {
            incoming.next = None;
            return Heard::RefuseStream { stream, epoch, why: Unread::Kind(kind) };
        }
        incoming.next = Some(number + 1);
        Heard::Message { stream, epoch, number }
    }

    /// Records the delivery of a message to the program. Returns whether it needs an acknowledgement.
    pub(crate) fn handed(&mut self, stream: StreamId, epoch: u64, number: u64) -> bool {
        let Some(incoming) = self.streams.get_mut(&stream).filter(|s| s.epoch == epoch) else {
            return false;
        };
        incoming.handed = number;
        true
    }

    /// Returns the next acknowledgement to send: stream, epoch, number.
    pub(crate) fn owed(&mut self) -> Option<(StreamId, u64, u64)> {
        let (id, incoming) = self.streams.iter_mut().find(|(_, s)| s.handed > s.acknowledged)?;
        incoming.acknowledged = incoming.handed;
        Some((*id, incoming.epoch, incoming.handed))
    }
}
