//! Messages of the configuration on the link's streams. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use vetchkeel_configuration::{Message, Name, Tenths, wire};
use vetchkeel_link::{
    Bounds, Event, Kinds, Name as LinkName, Parts, Sender, Sockets, Transport, Unread, Waker, Way, Why,
};

/// The link's kinds: a message of the configuration, and before an ask where its sender is reached.
const CONFIGURATION: u16 = 2;
const ADDRESS: u16 = 3;
const STREAM: Way = Way::Stream(2);
/// Events taken in before decisions are pulled.
const EVENTS: usize = 4_096;

/// What came in.
#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    Message(Name, Message),
    /// The stream to this one broke.
    Left(Name),
    /// Somebody sent what can't be taken. One line.
    Unread(String),
}

/// What passed since the start: messages, and bytes of them without the link's and the system's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages_in: u64,
    pub bytes_in: u64,
    pub messages_out: u64,
    pub bytes_out: u64,
    /// Not taken by the link: who was to have them asks again.
    pub unsent: u64,
}

pub struct Carrier {
    sockets: Sockets,
    address: SocketAddr,
    /// Who is reached where by the operator's word.
    fixed: BTreeMap<Name, SocketAddr>,
    /// Who said itself where it is reached.
    met: BTreeSet<Name>,
    traffic: Traffic,
}

fn link_name(name: &Name) -> Option<LinkName> {
    LinkName::new(name.as_str())
}

impl Carrier {
    /// Takes the address. `start` grows with each start of this name. The error is one line.
    pub fn bind(
        me: &Name,
        start: u64,
        address: SocketAddr,
        fixed: BTreeMap<Name, SocketAddr>,
        now: Tenths,
        seed: u64,
    ) -> Result<Carrier, String> {
        let name = link_name(me).ok_or_else(|| format!("expected a name of the link, found '{me}'"))?;
        let sender = Sender { name, incarnation: start };
        let (message, stream_bytes) = (wire::MAX_MESSAGE_BYTES + 64, 2 * wire::MAX_MESSAGE_BYTES + 4_096);
        let bounds = Bounds { message, stream_bytes, peer_bytes: 2 * stream_bytes, ..Bounds::default() };
        let kinds = Kinds::new(&[(CONFIGURATION, "configuration"), (ADDRESS, "address")]);
        let sockets = Sockets::bind(sender, kinds, bounds, address, Parts::Tcp, seed)
            .map_err(|e| format!("expected to listen on {address}: {e}"))?;
        let (met, traffic) = (BTreeSet::new(), Traffic::default());
        let mut carrier = Carrier { sockets, address, fixed, met, traffic };
        for (other, at) in carrier.fixed.clone() {
            if let Some(other) = link_name(&other) {
                carrier.sockets.meet(now, &other, at).map_err(|e| format!("cannot talk to {other}: {e}"))?;
            }
        }
        Ok(carrier)
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

    /// Poll first, until there is nothing.
    pub fn wait(&mut self, longest: Duration) -> io::Result<()> {
        self.sockets.wait(longest)
    }

    /// What is not taken is lost, and counted: both sides ask again.
    pub fn send(&mut self, now: Tenths, to: &Name, message: &Message) {
        let Some(name) = link_name(to) else { return };
        // Danger: an answer has no way back to who never said where it is reached.
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

    /// All that waits in the sockets, before any decision: what a stopped process finds there is older than its timers.
    pub fn hear(&mut self, now: Tenths) -> Vec<Came> {
        let mut came = Vec::new();
        for _ in 0..EVENTS {
            match self.sockets.poll(now) {
                None => break,
                Some(Event::Message { from, kind: ADDRESS, body, .. }) => self.met_at(now, &from.name, &body),
                Some(Event::Message { from, kind: CONFIGURATION, body, .. }) => {
                    self.traffic.messages_in += 1;
                    self.traffic.bytes_in += body.len() as u64;
                    came.push(match (Name::new(from.name.as_str()), wire::decode(&body)) {
                        (Ok(name), Ok(message)) => Came::Message(name, message),
                        (_, Err(why)) => {
                            Came::Unread(format!("a message of {} was not taken: {why}", from.name))
                        }
                        (Err(why), _) => Came::Unread(format!("a message was not taken: {why}")),
                    });
                }
                Some(Event::Broken { to, why, .. }) => came.extend(self.broken(now, &to, &why)),
                Some(Event::Unread { why: Unread::Stale, .. }) => {}
                Some(Event::Unread { from, why }) => {
                    let from = from.map_or_else(|| "somebody".to_owned(), |name| name.to_string());
                    came.push(Came::Unread(format!("a message of {from} was not taken: {why}")));
                }
                Some(_) => {}
            }
        }
        came
    }

    fn met_at(&mut self, now: Tenths, from: &LinkName, body: &[u8]) {
        let Ok(name) = Name::new(from.as_str()) else { return };
        let address = std::str::from_utf8(body).ok().and_then(|text| text.parse::<SocketAddr>().ok());
        // Danger: the operator's word stands above what somebody says of itself under that name.
        if let Some(address) = address.filter(|_| !self.fixed.contains_key(&name))
            && self.sockets.meet(now, from, address).is_ok()
        {
            self.met.insert(name);
        }
    }

    /// Who said itself where it is reached is forgotten until it asks again: routers come and go for ever.
    fn broken(&mut self, now: Tenths, to: &LinkName, why: &Why) -> Option<Came> {
        let name = Name::new(to.as_str()).ok()?;
        if *why != Why::Left && self.met.remove(&name) {
            self.sockets.forget(now, to);
        }
        Some(Came::Left(name))
    }
}
