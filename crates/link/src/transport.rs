//! The transport contract. [`crate::contract`] asserts what every implementation guarantees.

use crate::message::{Channel, Event, Kind, Name, SendError, Sender, Tenths};
use std::net::SocketAddr;

/// Messaging of one instance with its peers. Never blocks. The caller passes in the time, which must not go back.
///
/// - A datagram arrives complete and unchanged, or not at all; it may arrive twice or after a later one.
/// - A stream's message that [`Transport::send`] accepted is delivered in order and once, and reported as
///   acknowledged; otherwise the stream breaks and [`Event::Broken`] returns the message. There is no third outcome.
/// - All queues are bounded, see [`crate::Bounds`]: at the bound `send` refuses, and an instance that does not poll
///   receives nothing further.
pub trait Transport {
    /// The name and incarnation under which this instance sends.
    fn me(&self) -> &Sender;

    /// Whether this transport can send such messages at all.
    fn supports(&self, channel: Channel) -> bool;

    /// Adds a peer or sets its address. If the address differs from the previous one, the peer's streams break.
    fn add_peer(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), SendError>;

    /// Removes a peer. Its streams break; what it still sends is delivered.
    fn remove_peer(&mut self, now: Tenths, peer: &Name);

    /// Sends a message, or returns why it was not accepted. Returns the message's sequence number in its stream;
    /// 0 for a datagram. Numbers start at 1 and grow by one; after the peer was removed, they start at a later
    /// number.
    fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        channel: Channel,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError>;

    /// Returns the next event, or None when there is none. A message counts as delivered when it is returned from
    /// here.
    ///
    /// Acknowledgements are sent, connections are made and timeouts are checked in here too: poll until None
    /// whenever something may have arrived, and by [`Transport::wake_at`].
    fn poll(&mut self, now: Tenths) -> Option<Event>;

    /// When to poll again even if nothing arrives; a time in the past means at once.
    fn wake_at(&self) -> Option<Tenths>;
}

impl<T: Transport + ?Sized> Transport for Box<T> {
    fn me(&self) -> &Sender {
        (**self).me()
    }

    fn supports(&self, channel: Channel) -> bool {
        (**self).supports(channel)
    }

    fn add_peer(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), SendError> {
        (**self).add_peer(now, peer, address)
    }

    fn remove_peer(&mut self, now: Tenths, peer: &Name) {
        (**self).remove_peer(now, peer);
    }

    fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        channel: Channel,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError> {
        (**self).send(now, to, channel, kind, body)
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        (**self).poll(now)
    }

    fn wake_at(&self) -> Option<Tenths> {
        (**self).wake_at()
    }
}
