//! Transport over sockets: datagrams over UDP, streams over TCP, both at one address. No decisions are made here:
//! socket events are passed to [`Endpoint`], and its actions are carried out.

use crate::message::{Channel, Event, Kind, Kinds, Name, SendError, Sender, Tenths};
use crate::talk::{Action, Bounds, ConnectionId, Endpoint, stream_of};
use crate::tcp::{Connections, FIRST_CONNECTION_TOKEN, Readiness, connection_id_of, token};
use crate::transport::Transport;
use crate::udp::Datagrams;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const WAKER: Token = Token(0);
const UDP: Token = Token(1);
const LISTENER: Token = Token(2);
/// Readiness events taken from the operating system at once; further ones are taken on the next call.
const MAX_EVENTS: usize = 256;
/// Number of attempts to find a port that is free for both protocols.
const MAX_PORT_ATTEMPTS: usize = 20;

/// Which sockets an instance has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocols {
    Udp,
    Tcp,
    Both,
}

/// Wakes a [`Sockets::wait`] from another thread.
#[derive(Clone)]
pub struct Waker(Arc<mio::Waker>);

impl Waker {
    pub fn wake(&self) -> io::Result<()> {
        self.0.wake()
    }
}

pub struct Sockets {
    endpoint: Endpoint,
    poll: Poll,
    events: Events,
    waker: Waker,
    udp: Option<Datagrams>,
    tcp: Option<Connections>,
    /// Sockets that may have something to read.
    ready: BTreeSet<Token>,
    /// The socket read last, for round-robin reading.
    last_read: Token,
    /// Connections whose output has to be flushed.
    to_flush: BTreeSet<ConnectionId>,
    address: SocketAddr,
}

impl Sockets {
    /// Opens the sockets at this address; port 0 selects a free one. The seed determines the jitter of the
    /// backoff.
    pub fn bind(
        me: Sender,
        kinds: Kinds,
        bounds: Bounds,
        address: SocketAddr,
        protocols: Protocols,
        seed: u64,
    ) -> io::Result<Sockets> {
        let poll = Poll::new()?;
        let waker = Waker(Arc::new(mio::Waker::new(poll.registry(), WAKER)?));
        let (mut udp, mut tcp) = bind_protocols(address, protocols)?;
        let mut at = address;
        if let Some(socket) = &mut udp {
            poll.registry().register(socket, UDP, Interest::READABLE)?;
            at = socket.local_addr()?;
        }
        if let Some(listener) = &mut tcp {
            poll.registry().register(listener, LISTENER, Interest::READABLE)?;
            at = listener.local_addr()?;
        }
        let max_datagram = bounds.datagram;
        Ok(Sockets {
            endpoint: Endpoint::new(me, kinds, bounds, seed),
            poll,
            events: Events::with_capacity(MAX_EVENTS),
            waker,
            udp: udp.map(|socket| Datagrams::new(socket, max_datagram)),
            tcp: tcp.map(Connections::new),
            ready: BTreeSet::from([UDP, LISTENER]),
            last_read: WAKER,
            to_flush: BTreeSet::new(),
            address: at,
        })
    }

    /// The address at which peers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Blocks until a socket is ready, [`Waker::wake`] is called, or the timeout passes. Poll until None before
    /// calling this.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<()> {
        let timeout = if self.ready.is_empty() { timeout } else { Duration::ZERO };
        self.collect_readiness(timeout).map(|_| ())
    }

    /// Collects readiness events from the operating system. True if there were any.
    fn collect_readiness(&mut self, timeout: Duration) -> io::Result<bool> {
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(false),
            other => other?,
        }
        let mut any = false;
        for event in &self.events {
            any = true;
            let token = event.token();
            if token.0 >= FIRST_CONNECTION_TOKEN && event.is_writable() {
                self.to_flush.insert(connection_id_of(token));
            }
            if token != WAKER {
                self.ready.insert(token);
            }
        }
        Ok(any)
    }

    fn carry_out(&mut self, now: Tenths, action: Action) {
        let Some(tcp) = &mut self.tcp else { return };
        match action {
            Action::Dial { conn, address } => {
                tcp.dial(now, conn, address, self.poll.registry(), &mut self.endpoint)
            }
            Action::Write { conn, frame } => {
                tcp.write(now, conn, &frame, &mut self.endpoint);
                self.to_flush.insert(conn);
            }
            Action::Close { conn } => {
                tcp.close(conn);
                self.to_flush.remove(&conn);
                self.ready.remove(&token(conn));
            }
        }
    }

    /// Reads once from the next ready socket, in turn. False if none is ready.
    fn read(&mut self, now: Tenths) -> bool {
        let next = self.ready.range(Token(self.last_read.0 + 1)..).next().or_else(|| self.ready.first());
        let Some(token) = next.copied() else { return false };
        self.last_read = token;
        let more = match (token, &mut self.udp, &mut self.tcp) {
            (UDP, Some(udp), _) => match udp.read() {
                Some(bytes) => {
                    self.endpoint.datagram_received(bytes);
                    Readiness::MaybeReady
                }
                None => Readiness::NotReady,
            },
            (LISTENER, _, Some(tcp)) => tcp.accept(now, self.poll.registry(), &mut self.endpoint),
            (token, _, Some(tcp)) if token.0 >= FIRST_CONNECTION_TOKEN => {
                tcp.read(now, connection_id_of(token), &mut self.endpoint)
            }
            _ => Readiness::NotReady,
        };
        if more == Readiness::NotReady {
            self.ready.remove(&token);
        }
        true
    }
}

fn bind_protocols(
    address: SocketAddr,
    protocols: Protocols,
) -> io::Result<(Option<UdpSocket>, Option<TcpListener>)> {
    let mut last_error = io::Error::from(ErrorKind::AddrInUse);
    for _ in 0..MAX_PORT_ATTEMPTS {
        let tcp = if protocols == Protocols::Udp { None } else { Some(TcpListener::bind(address)?) };
        let at = tcp.as_ref().map_or(Ok(address), TcpListener::local_addr)?;
        if protocols == Protocols::Tcp {
            return Ok((None, tcp));
        }
        match UdpSocket::bind(at) {
            Ok(udp) => return Ok((Some(udp), tcp)),
            // The port is free for TCP and in use for UDP.
            Err(e) if e.kind() == ErrorKind::AddrInUse && address.port() == 0 => last_error = e,
            Err(e) => return Err(e),
        }
    }
    Err(last_error)
}

impl Transport for Sockets {
    fn me(&self) -> &Sender {
        self.endpoint.me()
    }

    fn supports(&self, channel: Channel) -> bool {
        match channel {
            Channel::Datagram => self.udp.is_some(),
            Channel::Stream(_) => self.tcp.is_some(),
        }
    }

    fn add_peer(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), SendError> {
        self.endpoint.add_peer(now, peer, address)
    }

    fn remove_peer(&mut self, now: Tenths, peer: &Name) {
        self.endpoint.remove_peer(now, peer);
    }

    fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        channel: Channel,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError> {
        if !self.supports(channel) {
            return Err(SendError::UnsupportedChannel(channel));
        }
        if let Some(stream) = stream_of(channel) {
            return self.endpoint.send(now, to, stream, kind, body);
        }
        let bytes = self.endpoint.datagram(to, kind, body)?;
        if let (Some(udp), Some(address)) = (&self.udp, self.endpoint.address(to)) {
            udp.send(&bytes, address)?;
        }
        Ok(0)
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        let mut collected = false;
        loop {
            if let Some(event) = self.endpoint.next_event() {
                return Some(event);
            }
            if let Some(action) = self.endpoint.next_action(now) {
                self.carry_out(now, action);
                continue;
            }
            if let Some(tcp) = &mut self.tcp {
                if tcp.accept_retry_at.is_some_and(|at| now >= at) {
                    self.ready.insert(LISTENER);
                }
                let to_flush = std::mem::take(&mut self.to_flush);
                if !to_flush.is_empty() {
                    to_flush.into_iter().for_each(|conn| tcp.writable(now, conn, &mut self.endpoint));
                    continue;
                }
            }
            if self.endpoint.has_events() || self.read(now) {
                continue;
            }
            // Readiness is collected once a call: a caller that polls until None has seen everything that
            // was there at the start.
            if collected || !self.collect_readiness(Duration::ZERO).unwrap_or(false) {
                return None;
            }
            collected = true;
        }
    }

    fn wake_at(&self) -> Option<Tenths> {
        let accept_retry = self.tcp.as_ref().and_then(|t| t.accept_retry_at);
        let ready = (!self.ready.is_empty() || !self.to_flush.is_empty()).then_some(Tenths::MIN);
        [accept_retry, ready, self.endpoint.wake_at()].into_iter().flatten().min()
    }
}
