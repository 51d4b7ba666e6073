//! One inbound connection: the peer's identity, the order of received messages, and pending acknowledgements.

use crate::envelope::{FrameType, Header};
use crate::message::{Incarnation, Kinds, Name, RejectReason, StreamId, Tenths};
use std::collections::BTreeMap;

/// Receiving side of a stream.
#[derive(Debug)]
struct ReceiveStream {
    epoch: u64,
    /// The next expected number; None once a message of this epoch was refused.
    next: Option<u64>,
    delivered: u64,
    acknowledged: u64,
}

/// The peer on a connection as given in its handshake, and the number of the connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerIdentity {
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) connection_number: u64,
}

pub(crate) struct InboundConnection {
    pub(crate) identity: Option<PeerIdentity>,
    streams: BTreeMap<StreamId, ReceiveStream>,
    /// The whole connection was refused: further frames are ignored.
    pub(crate) refused: bool,
    pub(crate) last_received: Tenths,
    pub(crate) unsent_bytes: usize,
}

/// Result of a received frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameResult {
    Handshake(PeerIdentity),
    Message {
        stream: StreamId,
        epoch: u64,
        number: u64,
    },
    /// The rest of one stream's epoch is refused.
    RefuseStream {
        stream: StreamId,
        epoch: u64,
        why: RejectReason,
    },
    /// The connection is refused.
    RefuseConnection(RejectReason),
    Ignored,
}

impl InboundConnection {
    pub(crate) fn new(now: Tenths) -> InboundConnection {
        InboundConnection {
            identity: None,
            streams: BTreeMap::new(),
            refused: false,
            last_received: now,
            unsent_bytes: 0,
        }
    }

    pub(crate) fn receive(
        &mut self,
        now: Tenths,
        header: &Header<'_>,
        kinds: &Kinds,
        max_streams: usize,
    ) -> FrameResult {
        if self.refused {
            return FrameResult::Ignored;
        }
        self.last_received = now;
        match (&self.identity, &header.frame_type) {
            (None, FrameType::Hello { connection_number }) => match Name::new(header.from) {
                Some(name) => FrameResult::Handshake(PeerIdentity {
                    name,
                    incarnation: header.incarnation,
                    connection_number: *connection_number,
                }),
                None => FrameResult::RefuseConnection(RejectReason::Malformed),
            },
            (Some(identity), FrameType::Stream { stream, epoch, number }) => {
                if identity.name.as_str() != header.from || identity.incarnation != header.incarnation {
                    return FrameResult::RefuseConnection(RejectReason::OutOfOrder);
                }
                let known = kinds.name(header.kind).is_some();
                self.message((*stream, *epoch, *number), known.then_some(()).ok_or(header.kind), max_streams)
            }
            _ => FrameResult::RefuseConnection(RejectReason::OutOfOrder),
        }
    }

    fn message(
        &mut self,
        position: (StreamId, u64, u64),
        known: Result<(), u16>,
        max_streams: usize,
    ) -> FrameResult {
        let (stream, epoch, number) = position;
        if !self.streams.contains_key(&stream) && self.streams.len() >= max_streams {
            return FrameResult::RefuseStream { stream, epoch, why: RejectReason::Full };
        }
        let new_stream =
            || ReceiveStream { epoch, next: Some(epoch), delivered: epoch - 1, acknowledged: epoch - 1 };
        if epoch == 0 {
            return FrameResult::RefuseConnection(RejectReason::OutOfOrder);
        }
        let incoming = self.streams.entry(stream).or_insert_with(new_stream);
        if epoch > incoming.epoch {
            *incoming = new_stream();
        }
        if epoch == incoming.epoch && incoming.next.is_none() {
            return FrameResult::Ignored;
        }
        // Danger: accepting a message out of order would hide the loss of the one before it.
        if epoch < incoming.epoch || incoming.next != Some(number) {
            return FrameResult::RefuseConnection(RejectReason::OutOfOrder);
        }
        if let Err(kind) = known {
            incoming.next = None;
            return FrameResult::RefuseStream { stream, epoch, why: RejectReason::UnknownKind(kind) };
        }
        incoming.next = Some(number + 1);
        FrameResult::Message { stream, epoch, number }
    }

    /// Records the delivery of a message to the program. Returns whether it needs an acknowledgement.
    pub(crate) fn delivered(&mut self, stream: StreamId, epoch: u64, number: u64) -> bool {
        let Some(incoming) = self.streams.get_mut(&stream).filter(|s| s.epoch == epoch) else {
            return false;
        };
        incoming.delivered = number;
        true
    }

    /// Returns the next acknowledgement to send: stream, epoch, number.
    pub(crate) fn pending_ack(&mut self) -> Option<(StreamId, u64, u64)> {
        let (id, incoming) = self.streams.iter_mut().find(|(_, s)| s.delivered > s.acknowledged)?;
        incoming.acknowledged = incoming.delivered;
        Some((*id, incoming.epoch, incoming.delivered))
    }
}
