//! TCP connections: converts between bytes and frames. [`Endpoint`] decides when to dial which peer.

use crate::frames::{Frames, put_frame};
use crate::message::Tenths;
use crate::talk::{ConnectionId, Endpoint};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Bytes read from one connection before the next one is served, and bytes of output gathered before a write.
const IO_CHUNK: usize = 64 * 1_024;
/// Delay before accepting is retried after an error (such as no free descriptors).
const ACCEPT_RETRY_DELAY: Tenths = 1_000;
/// First token of a connection.
pub(crate) const FIRST_CONNECTION_TOKEN: usize = 3;

struct Connection {
    socket: TcpStream,
    connected: bool,
    frames: Frames,
    output: Vec<u8>,
    written: usize,
    /// The frame boundaries are lost, so nothing more is read. [`Endpoint`] closes the connection.
    framing_lost: bool,
}

pub(crate) struct Connections {
    pub(crate) listener: TcpListener,
    open: BTreeMap<ConnectionId, Connection>,
    read_buffer: Vec<u8>,
    /// When to retry accepting connections.
    pub(crate) accept_retry_at: Option<Tenths>,
}

pub(crate) fn token(connection_id: ConnectionId) -> Token {
    Token(FIRST_CONNECTION_TOKEN + connection_id.0 as usize)
}

pub(crate) fn connection_id_of(token: Token) -> ConnectionId {
    ConnectionId((token.0 - FIRST_CONNECTION_TOKEN) as u64)
}

/// Whether a socket may have more to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    MaybeReady,
    NotReady,
}

impl Connections {
    pub(crate) fn new(listener: TcpListener) -> Connections {
        Connections { listener, open: BTreeMap::new(), read_buffer: vec![0; IO_CHUNK], accept_retry_at: None }
    }

    pub(crate) fn dial(
        &mut self,
        now: Tenths,
        connection_id: ConnectionId,
        address: SocketAddr,
        registry: &Registry,
        endpoint: &mut Endpoint,
    ) {
        let started = TcpStream::connect(address)
            .and_then(|socket| self.add_connection(connection_id, socket, false, registry));
        if started.is_err() {
            self.open.remove(&connection_id);
            endpoint.disconnected(now, connection_id);
        }
    }

    fn add_connection(
        &mut self,
        connection_id: ConnectionId,
        socket: TcpStream,
        connected: bool,
        registry: &Registry,
    ) -> std::io::Result<()> {
        let (frames, output) = (Frames::default(), Vec::new());
        let connection = self.open.entry(connection_id).or_insert(Connection {
            socket,
            connected,
            frames,
            output,
            written: 0,
            framing_lost: false,
        });
        // No Nagle delay: frames are already combined into one write where possible.
        let _ = connection.socket.set_nodelay(true);
        registry.register(
            &mut connection.socket,
            token(connection_id),
            Interest::READABLE | Interest::WRITABLE,
        )
    }

    /// Accepts one pending connection.
    pub(crate) fn accept(&mut self, now: Tenths, registry: &Registry, endpoint: &mut Endpoint) -> Readiness {
        self.accept_retry_at = None;
        match self.listener.accept() {
            Ok((socket, _)) => {
                if let Some(connection_id) = endpoint.accepted(now)
                    && self.add_connection(connection_id, socket, true, registry).is_err()
                {
                    self.end(now, connection_id, endpoint);
                }
                Readiness::MaybeReady
            }
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                Readiness::MaybeReady
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Readiness::NotReady,
            Err(_) => {
                // Danger: readiness is edge-triggered; without a retry, pending connections would
                // wait forever.
                self.accept_retry_at = Some(now + ACCEPT_RETRY_DELAY);
                Readiness::NotReady
            }
        }
    }

    fn end(&mut self, now: Tenths, connection_id: ConnectionId, endpoint: &mut Endpoint) {
        self.open.remove(&connection_id);
        endpoint.disconnected(now, connection_id);
    }

    pub(crate) fn close(&mut self, connection_id: ConnectionId) {
        if let Some(mut connection) = self.open.remove(&connection_id) {
            // Best effort: a refusal should reach the peer before the connection closes.
            let _ = connection.flush();
        }
    }

    pub(crate) fn write(
        &mut self,
        now: Tenths,
        connection_id: ConnectionId,
        frame: &[u8],
        endpoint: &mut Endpoint,
    ) {
        let Some(connection) = self.open.get_mut(&connection_id) else { return };
        put_frame(&mut connection.output, frame);
        // Frames are combined while more actions follow; see `Sockets::poll`.
        if connection.output.len() >= IO_CHUNK {
            self.flush(now, connection_id, endpoint);
        }
    }

    fn flush(&mut self, now: Tenths, connection_id: ConnectionId, endpoint: &mut Endpoint) {
        let Some(connection) = self.open.get_mut(&connection_id).filter(|c| c.connected) else { return };
        match connection.flush() {
            Ok(true) => endpoint.flushed(connection_id),
            Ok(false) => {}
            Err(_) => self.end(now, connection_id, endpoint),
        }
    }

    pub(crate) fn writable(&mut self, now: Tenths, connection_id: ConnectionId, endpoint: &mut Endpoint) {
        let Some(connection) = self.open.get_mut(&connection_id) else { return };
        if !connection.connected {
            match connection.check_connected() {
                Ok(true) => {
                    connection.connected = true;
                    endpoint.connected(now, connection_id);
                }
                Ok(false) => return,
                Err(_) => return self.end(now, connection_id, endpoint),
            }
        }
        if self.open.get(&connection_id).is_some_and(|c| !c.output.is_empty()) {
            self.flush(now, connection_id, endpoint);
        }
    }

    /// Reads once from the socket.
    pub(crate) fn read(
        &mut self,
        now: Tenths,
        connection_id: ConnectionId,
        endpoint: &mut Endpoint,
    ) -> Readiness {
        let Some(connection) = self.open.get_mut(&connection_id) else { return Readiness::NotReady };
        if !connection.connected || connection.framing_lost {
            return Readiness::NotReady;
        }
        match connection.socket.read(&mut self.read_buffer) {
            Ok(0) => {
                self.end(now, connection_id, endpoint);
                Readiness::NotReady
            }
            Ok(length) => {
                connection.frames.push(&self.read_buffer[..length]);
                loop {
                    match connection.frames.next_frame(endpoint.max_frame_bytes()) {
                        Ok(Some(frame)) => endpoint.frame_received(now, connection_id, frame),
                        Ok(None) => return Readiness::MaybeReady,
                        Err(announced) => {
                            connection.framing_lost = true;
                            endpoint.oversized_frame_received(now, connection_id, announced);
                            return Readiness::NotReady;
                        }
                    }
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Readiness::NotReady,
            Err(e) if e.kind() == ErrorKind::Interrupted => Readiness::MaybeReady,
            Err(_) => {
                self.end(now, connection_id, endpoint);
                Readiness::NotReady
            }
        }
    }
}

impl Connection {
    /// Whether the connection is established.
    fn check_connected(&self) -> std::io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            // Danger: dialling a local port that nobody listens on can connect the socket to itself,
            // which would keep the port from its owner.
            Ok(peer) if self.socket.local_addr().is_ok_and(|own| own == peer) => {
                Err(ErrorKind::ConnectionRefused.into())
            }
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Returns whether everything is written.
    fn flush(&mut self) -> std::io::Result<bool> {
        while self.written < self.output.len() {
            match self.socket.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.written += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.output.shrink_to(IO_CHUNK);
        self.written = 0;
        Ok(true)
    }
}
