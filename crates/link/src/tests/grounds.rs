//! Environments for the contract.

use crate::contract::{Ground, bounds};
use crate::fault::Fault;
use crate::{
    Event, Kind, Kinds, Memory, Name, Network, Parts, Refused, Sender, Sockets, Tenths, Transport, Way,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// A simulated network in memory, with the same fault in each direction.
pub struct Simulated {
    network: Network,
    now: Tenths,
    fault: Fault,
    names: BTreeSet<Name>,
}

impl Simulated {
    pub fn new(seed: u64, fault: Fault) -> Simulated {
        Simulated { network: Network::new(seed), now: 0, fault, names: BTreeSet::new() }
    }
}

impl Ground for Simulated {
    type T = Memory;

    fn start(&mut self, me: Sender, kinds: Kinds) -> Memory {
        self.names.insert(me.name.clone());
        for (from, to) in self.names.iter().flat_map(|f| self.names.iter().map(move |t| (f, t))) {
            self.network.set(self.now, from, to, self.fault);
        }
        self.network.start(self.now, me, kinds, bounds())
    }

    fn address(&mut self, _: &Name, to: &Name) -> SocketAddr {
        self.network.address(to)
    }

    fn now(&self) -> Tenths {
        self.now
    }

    fn pass(&mut self, time: Tenths) {
        self.now += time;
    }

    fn inject(&mut self, to: &Name, datagram: &[u8]) -> bool {
        self.network.inject(self.now, to, datagram.to_vec());
        true
    }

    fn is_faulty(&self) -> bool {
        self.fault != Fault::default()
    }
}

/// The machine's loopback sockets.
pub struct Loopback {
    parts: Parts,
    began: Instant,
    addresses: BTreeMap<Name, SocketAddr>,
}

impl Loopback {
    pub fn new(parts: Parts) -> Loopback {
        Loopback { parts, began: Instant::now(), addresses: BTreeMap::new() }
    }
}

impl Ground for Loopback {
    type T = Sockets;

    fn start(&mut self, me: Sender, kinds: Kinds) -> Sockets {
        let known = self.addresses.get(&me.name).copied();
        let at = known.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let sockets = Sockets::bind(me.clone(), kinds, bounds(), at, self.parts, me.incarnation).unwrap();
        self.addresses.insert(me.name, sockets.address());
        sockets
    }

    fn address(&mut self, _: &Name, to: &Name) -> SocketAddr {
        self.addresses[to]
    }

    fn now(&self) -> Tenths {
        self.began.elapsed().as_micros() as Tenths / 100
    }

    fn pass(&mut self, time: Tenths) {
        std::thread::sleep(Duration::from_micros(time as u64 * 100));
    }

    fn inject(&mut self, to: &Name, datagram: &[u8]) -> bool {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.send_to(datagram, self.addresses[to]).is_ok()
    }
}

/// The fault of a deliberately faulty transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Suppresses the event for a broken stream.
    LosesInSilence,
    /// Reports every message as acknowledged once it was accepted.
    AcknowledgesEarly,
    /// Delivers two messages in swapped order.
    Swaps,
    Doubles,
    /// Accepts messages beyond the bound and discards them.
    TakesAll,
    /// Reports incarnation 1 for every incarnation of a peer.
    ForgetsStarts,
}

/// The memory transport with a deliberate fault.
pub struct HalfBroken {
    inner: Memory,
    wrong: Wrong,
    kept: Vec<Event>,
    held: Option<Event>,
    over: u64,
}

impl Transport for HalfBroken {
    fn me(&self) -> &Sender {
        self.inner.me()
    }

    fn carries(&self, way: Way) -> bool {
        self.inner.carries(way)
    }

    fn meet(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), Refused> {
        self.inner.meet(now, peer, address)
    }

    fn forget(&mut self, now: Tenths, peer: &Name) {
        self.inner.forget(now, peer);
    }

    fn send(&mut self, now: Tenths, to: &Name, way: Way, kind: Kind, body: &[u8]) -> Result<u64, Refused> {
        match (self.inner.send(now, to, way, kind, body), way, self.wrong) {
            (Ok(number), Way::Stream(stream), Wrong::AcknowledgesEarly) => {
                self.kept.push(Event::Acknowledged { to: to.clone(), stream, number });
                Ok(number)
            }
            (Err(Refused::Full { .. }), _, Wrong::TakesAll) => {
                self.over += 1;
                Ok(self.over)
            }
            (taken, _, _) => taken,
        }
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        if let Some(event) = self.kept.pop() {
            return Some(event);
        }
        match (self.inner.poll(now)?, self.wrong) {
            (Event::Broken { .. }, Wrong::LosesInSilence) => self.poll(now),
            (event @ Event::Message { stream: 0, number: 3, .. }, Wrong::Swaps) => {
                self.held = Some(event);
                self.poll(now)
            }
            (event @ Event::Message { stream: 0, number: 4, .. }, Wrong::Swaps) => {
                self.kept.extend(self.held.take());
                Some(event)
            }
            (event @ Event::Message { number: 3, .. }, Wrong::Doubles) => {
                self.kept.push(event.clone());
                Some(event)
            }
            (Event::Message { from, stream, epoch, number, kind, body }, Wrong::ForgetsStarts) => {
                let from = Sender { incarnation: 1, ..from };
                Some(Event::Message { from, stream, epoch, number, kind, body })
            }
            (event, _) => Some(event),
        }
    }

    fn wake_at(&self) -> Option<Tenths> {
        self.inner.wake_at()
    }
}

/// A simulated network of deliberately faulty transports.
pub struct HalfBrokenGround {
    pub inner: Simulated,
    pub wrong: Wrong,
}

impl Ground for HalfBrokenGround {
    type T = HalfBroken;

    fn start(&mut self, me: Sender, kinds: Kinds) -> HalfBroken {
        HalfBroken {
            inner: self.inner.start(me, kinds),
            wrong: self.wrong,
            kept: Vec::new(),
            held: None,
            over: 0,
        }
    }

    fn address(&mut self, from: &Name, to: &Name) -> SocketAddr {
        self.inner.address(from, to)
    }

    fn now(&self) -> Tenths {
        self.inner.now()
    }

    fn pass(&mut self, time: Tenths) {
        self.inner.pass(time);
    }

    fn inject(&mut self, to: &Name, datagram: &[u8]) -> bool {
        self.inner.inject(to, datagram)
    }
}
