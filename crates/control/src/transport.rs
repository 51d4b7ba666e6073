//! Sends and receives messages of the configuration on the link's streams. It makes no decisions of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use vetchkeel_configuration::{Message, Name, Tenths, wire};
use vetchkeel_link::{
    Bounds, BreakReason, Channel, Event, Kinds, Name as LinkName, Protocols, RejectReason, Sender, Sockets,
    Transport, Waker,
};

/// Kinds of link messages: a configuration message, and the sender's address, which is sent before a `Subscribe`.
const CONFIGURATION: u16 = 2;
const ADDRESS: u16 = 3;
const STREAM: Channel = Channel::Stream(2);
/// Maximum number of events handled before decisions are pulled.
const MAX_EVENTS: usize = 4_096;

/// A received event.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    Message(Name, Message),
    /// The stream to the named peer broke.
    Disconnected(Name),
    /// A received message was rejected; the reason in one line.
    Rejected(String),
}

/// Traffic since the start: messages and their bytes, without the overhead of the link and of the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages_in: u64,
    pub bytes_in: u64,
    pub messages_out: u64,
    pub bytes_out: u64,
    /// Messages that the link did not accept; the receivers ask again.
    pub unsent: u64,
}

/// Connections to the other machines and routers over the link.
pub struct ConfigurationTransport {
    sockets: Sockets,
    address: SocketAddr,
    /// Addresses configured by the operator.
    configured: BTreeMap<Name, SocketAddr>,
    /// Peers whose address comes from their own announcement.
    announced: BTreeSet<Name>,
    traffic: Traffic,
}

fn link_name(name: &Name) -> Option<LinkName> {
    LinkName::new(name.as_str())
}

impl ConfigurationTransport {
    /// Listens on the address. `start` grows with each start of this name. The error is one line.
    pub fn bind(
        me: &Name,
        start: u64,
        address: SocketAddr,
        configured: BTreeMap<Name, SocketAddr>,
        now: Tenths,
        seed: u64,
    ) -> Result<ConfigurationTransport, String> {
        let name = link_name(me).ok_or_else(|| format!("expected a name of the link, found '{me}'"))?;
        let sender = Sender { name, incarnation: start };
        let (message, stream_bytes) = (wire::MAX_MESSAGE_BYTES + 64, 2 * wire::MAX_MESSAGE_BYTES + 4_096);
        let bounds = Bounds { message, stream_bytes, peer_bytes: 2 * stream_bytes, ..Bounds::default() };
        let kinds = Kinds::new(&[(CONFIGURATION, "configuration"), (ADDRESS, "address")]);
        let sockets = Sockets::bind(sender, kinds, bounds, address, Protocols::Tcp, seed)
            .map_err(|e| format!("expected to listen on {address}: {e}"))?;
        let (announced, traffic) = (BTreeSet::new(), Traffic::default());
        let mut transport = ConfigurationTransport { sockets, address, configured, announced, traffic };
        for (other, at) in transport.configured.clone() {
            if let Some(other) = link_name(&other) {
                transport
                    .sockets
                    .add_peer(now, &other, at)
                    .map_err(|e| format!("cannot register the address of {other}: {e}"))?;
            }
        }
        Ok(transport)
    }

    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    pub fn waker(&self) -> Waker {
        self.sockets.waker()
    }

    pub fn wake_at(&self) -> Option<Tenths> {
        self.sockets.wake_at()
    }

    /// Waits for events. Call it only after [`ConfigurationTransport::receive`] has returned everything that was received.
    pub fn wait(&mut self, longest: Duration) -> io::Result<()> {
        self.sockets.wait(longest)
    }

    /// Sends a message. One that the link does not accept is dropped and counted; both sides ask again.
    pub fn send(&mut self, now: Tenths, to: &Name, message: &Message) {
        let Some(name) = link_name(to) else { return };
        // Without the sender's address, the receiver could not send its answer.
        if matches!(message, Message::Subscribe { .. }) {
            let address = self.address.to_string();
            let _ = self.sockets.send(now, &name, STREAM, ADDRESS, address.as_bytes());
        }
        let sent = wire::encode(message).map_err(|why| why.to_string()).and_then(|body| {
            let sent = self.sockets.send(now, &name, STREAM, CONFIGURATION, &body);
            sent.map(|_| body.len()).map_err(|why| why.to_string())
        });
        match sent {
            Ok(bytes) => {
                self.traffic.messages_out += 1;
                self.traffic.bytes_out += bytes as u64;
            }
            Err(_) => self.traffic.unsent += 1,
        }
    }

    /// Receives what waits in the sockets. It is handled before any decision: after a process was stopped, the waiting
    /// messages are older than its expired timers.
    pub fn receive(&mut self, now: Tenths) -> Vec<Incoming> {
        let mut came = Vec::new();
        for _ in 0..MAX_EVENTS {
            match self.sockets.poll(now) {
                None => break,
                Some(Event::Message { from, kind: ADDRESS, body, .. }) => {
                    self.record_announced_address(now, &from.name, &body)
                }
                Some(Event::Message { from, kind: CONFIGURATION, body, .. }) => {
                    self.traffic.messages_in += 1;
                    self.traffic.bytes_in += body.len() as u64;
                    came.push(match (Name::new(from.name.as_str()), wire::decode(&body)) {
                        (Ok(name), Ok(message)) => Incoming::Message(name, message),
                        (_, Err(why)) => {
                            Incoming::Rejected(format!("message from {} rejected: {why}", from.name))
                        }
                        (Err(why), _) => Incoming::Rejected(format!("message rejected: {why}")),
                    });
                }
                Some(Event::Broken { to, why, .. }) => came.extend(self.handle_broken_stream(now, &to, &why)),
                Some(Event::Rejected { why: RejectReason::StaleConnection, .. }) => {}
                Some(Event::Rejected { from, why }) => {
                    let from = from.map_or_else(|| "an unknown sender".to_owned(), |name| name.to_string());
                    came.push(Incoming::Rejected(format!("message from {from} rejected: {why}")));
                }
                Some(_) => {}
            }
        }
        came
    }

    fn record_announced_address(&mut self, now: Tenths, from: &LinkName, body: &[u8]) {
        let Ok(name) = Name::new(from.as_str()) else { return };
        let address = std::str::from_utf8(body).ok().and_then(|text| text.parse::<SocketAddr>().ok());
        // Guards against an announcement that overrides the address which the operator configured for that name.
        if let Some(address) = address.filter(|_| !self.configured.contains_key(&name))
            && self.sockets.add_peer(now, from, address).is_ok()
        {
            self.announced.insert(name);
        }
    }

    /// Forgets a peer with a self-announced address until it asks again. Without this, routers that are gone would
    /// accumulate for ever.
    fn handle_broken_stream(&mut self, now: Tenths, to: &LinkName, why: &BreakReason) -> Option<Incoming> {
        let name = Name::new(to.as_str()).ok()?;
        if *why != BreakReason::PeerRemoved && self.announced.remove(&name) {
            self.sockets.remove_peer(now, to);
        }
        Some(Incoming::Disconnected(name))
    }
}
