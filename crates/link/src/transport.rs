//! The contract. What every implementation keeps is asserted by [`crate::contract`].

use crate::message::{Event, Kind, Name, Refused, Sender, Tenths, Way};
use std::net::SocketAddr;

/// Talk of one instance with its peers. Never blocks. Time is told and does not go back.
///
/// - A datagram arrives whole and as sent, or not at all; it may come twice or after a later one.
/// - A stream's message that [`Transport::send`] took is handed over in order and once, and told as acknowledged; or the
///   stream breaks and [`Event::Broken`] hands it back. There is no third way.
/// - All that waits is bounded, see [`crate::Bounds`]: at the bound `send` refuses, and who does not poll is not sent to.
pub trait Transport {
    /// Under which name and start this instance sends.
    fn me(&self) -> &Sender;

    /// Whether such messages can be sent at all.
    fn carries(&self, way: Way) -> bool;

    /// Where a peer is reached from now on. If its address is another one than before, its streams break.
    fn meet(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), Refused>;

    /// Not to be talked to any more. Its streams break; what it still sends is handed over.
    fn forget(&mut self, now: Tenths, peer: &Name);

    /// Sends, or says why not. Returns the message's number in its stream; 0 for a datagram. Numbers grow by one
    /// from 1; after the peer was forgotten, from a later one.
    fn send(&mut self, now: Tenths, to: &Name, way: Way, kind: Kind, body: &[u8]) -> Result<u64, Refused>;

    /// What happened, one by one until there is none. A message counts as handed over when it is returned from here.
    /// Acknowledgements leave, connections are made and patience ends in here too: poll until None whenever something
    /// may have come in, and by [`Transport::wake_at`].
    fn poll(&mut self, now: Tenths) -> Option<Event>;

    /// When to poll again even if nothing comes in; a time that is over: at once.
    fn wake_at(&self) -> Option<Tenths>;
}

impl<T: Transport + ?Sized> Transport for Box<T> {
    fn me(&self) -> &Sender {
        (**self).me()
    }

    fn carries(&self, way: Way) -> bool {
        (**self).carries(way)
    }

    fn meet(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), Refused> {
        (**self).meet(now, peer, address)
    }

    fn forget(&mut self, now: Tenths, peer: &Name) {
        (**self).forget(now, peer);
    }

    fn send(&mut self, now: Tenths, to: &Name, way: Way, kind: Kind, body: &[u8]) -> Result<u64, Refused> {
        (**self).send(now, to, way, kind, body)
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        (**self).poll(now)
    }

    fn wake_at(&self) -> Option<Tenths> {
        (**self).wake_at()
    }
}
