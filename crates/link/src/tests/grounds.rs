//! Environments for the contract.

use crate::contract::{Environment, bounds};
use crate::fault::Fault;
use crate::{
    Channel, Event, Kind, Kinds, MemoryTransport, Name, Protocols, SendError, Sender, SimulatedNetwork,
    Sockets, Tenths, Transport,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// A simulated network in memory, with the same fault in each direction.
pub struct Simulated {
    network: SimulatedNetwork,
    now: Tenths,
    fault: Fault,
    names: BTreeSet<Name>,
}

impl Simulated {
    pub fn new(seed: u64, fault: Fault) -> Simulated {
        Simulated { network: SimulatedNetwork::new(seed), now: 0, fault, names: BTreeSet::new() }
    }
}

impl Environment for Simulated {
    type T = MemoryTransport;

    fn start(&mut self, me: Sender, kinds: Kinds) -> MemoryTransport {
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

    fn advance(&mut self, time: Tenths) {
        self.now += time;
    }

    fn inject_datagram(&mut self, to: &Name, datagram: &[u8]) -> bool {
        self.network.inject_datagram(self.now, to, datagram.to_vec());
        true
    }

    fn is_faulty(&self) -> bool {
        self.fault != Fault::default()
    }
}

/// The machine's loopback sockets.
pub struct Loopback {
    protocols: Protocols,
    started_at: Instant,
    addresses: BTreeMap<Name, SocketAddr>,
}

impl Loopback {
    pub fn new(protocols: Protocols) -> Loopback {
        Loopback { protocols, started_at: Instant::now(), addresses: BTreeMap::new() }
    }
}

impl Environment for Loopback {
    type T = Sockets;

    fn start(&mut self, me: Sender, kinds: Kinds) -> Sockets {
        let previous_address = self.addresses.get(&me.name).copied();
        let address = previous_address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let sockets =
            Sockets::bind(me.clone(), kinds, bounds(), address, self.protocols, me.incarnation).unwrap();
        self.addresses.insert(me.name, sockets.address());
        sockets
    }

    fn address(&mut self, _: &Name, to: &Name) -> SocketAddr {
        self.addresses[to]
    }

    fn now(&self) -> Tenths {
        self.started_at.elapsed().as_micros() as Tenths / 100
    }

    fn advance(&mut self, time: Tenths) {
        std::thread::sleep(Duration::from_micros(time as u64 * 100));
    }

    fn inject_datagram(&mut self, to: &Name, datagram: &[u8]) -> bool {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.send_to(datagram, self.addresses[to]).is_ok()
    }
}

/// The fault of a deliberately faulty transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Suppresses the event for a broken stream.
    DropsBreakEvents,
    /// Reports every message as acknowledged once it was accepted.
    AcknowledgesEarly,
    /// Delivers two messages in swapped order.
    SwapsMessages,
    DuplicatesMessages,
    /// Accepts messages beyond the bound and discards them.
    AcceptsBeyondBound,
    /// Reports incarnation 1 for every incarnation of a peer.
    IgnoresIncarnation,
}

/// The memory transport with a deliberate fault.
pub struct Faulty {
    inner: MemoryTransport,
    defect: Defect,
    queued: Vec<Event>,
    held_back: Option<Event>,
    accepted_over_bound: u64,
}

impl Transport for Faulty {
    fn me(&self) -> &Sender {
        self.inner.me()
    }

    fn supports(&self, channel: Channel) -> bool {
        self.inner.supports(channel)
    }

    fn add_peer(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), SendError> {
        self.inner.add_peer(now, peer, address)
    }

    fn remove_peer(&mut self, now: Tenths, peer: &Name) {
        self.inner.remove_peer(now, peer);
    }

    fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        channel: Channel,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError> {
        match (self.inner.send(now, to, channel, kind, body), channel, self.defect) {
            (Ok(number), Channel::Stream(stream), Defect::AcknowledgesEarly) => {
                self.queued.push(Event::Acknowledged { to: to.clone(), stream, number });
                Ok(number)
            }
            (Err(SendError::Full { .. }), _, Defect::AcceptsBeyondBound) => {
                self.accepted_over_bound += 1;
                Ok(self.accepted_over_bound)
            }
            (result, _, _) => result,
        }
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        if let Some(event) = self.queued.pop() {
            return Some(event);
        }
        match (self.inner.poll(now)?, self.defect) {
            (Event::Broken { .. }, Defect::DropsBreakEvents) => self.poll(now),
            (event @ Event::Message { stream: 0, number: 3, .. }, Defect::SwapsMessages) => {
                self.held_back = Some(event);
                self.poll(now)
            }
            (event @ Event::Message { stream: 0, number: 4, .. }, Defect::SwapsMessages) => {
                self.queued.extend(self.held_back.take());
                Some(event)
            }
            (event @ Event::Message { number: 3, .. }, Defect::DuplicatesMessages) => {
                self.queued.push(event.clone());
                Some(event)
            }
            (Event::Message { from, stream, epoch, number, kind, body }, Defect::IgnoresIncarnation) => {
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
pub struct FaultyEnvironment {
    pub inner: Simulated,
    pub defect: Defect,
}

impl Environment for FaultyEnvironment {
    type T = Faulty;

    fn start(&mut self, me: Sender, kinds: Kinds) -> Faulty {
        Faulty {
            inner: self.inner.start(me, kinds),
            defect: self.defect,
            queued: Vec::new(),
            held_back: None,
            accepted_over_bound: 0,
        }
    }

    fn address(&mut self, from: &Name, to: &Name) -> SocketAddr {
        self.inner.address(from, to)
    }

    fn now(&self) -> Tenths {
        self.inner.now()
    }

    fn advance(&mut self, time: Tenths) {
        self.inner.advance(time);
    }

    fn inject_datagram(&mut self, to: &Name, datagram: &[u8]) -> bool {
        self.inner.inject_datagram(to, datagram)
    }
}
