//! TCP connections: converts between bytes and frames. [`Talk`] decides when to dial which peer.

use crate::frames::{Frames, put};
use crate::message::Tenths;
use crate::talk::{Call, Talk};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Bytes read from one connection before the next one is served.
const CHUNK: usize = 64 * 1_024;
/// Delay before accepting is retried after an error (such as no free descriptors).
const AGAIN: Tenths = 1_000;
/// First token of a connection.
pub(crate) const FIRST: usize = 3;

struct Connection {
    socket: TcpStream,
    up: bool,
    frames: Frames,
    out: Vec<u8>,
    written: usize,
    /// The frame boundaries are lost, so nothing more is read. [`Talk`] closes the connection.
    deaf: bool,
}

pub(crate) struct Connections {
    pub(crate) listener: TcpListener,
    open: BTreeMap<Call, Connection>,
    chunk: Vec<u8>,
    /// When to retry accepting connections.
    pub(crate) again_at: Option<Tenths>,
}

pub(crate) fn token(call: Call) -> Token {
    Token(FIRST + call.0 as usize)
}

pub(crate) fn call_of(token: Token) -> Call {
    Call((token.0 - FIRST) as u64)
}

/// Whether a socket may have more to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum More {
    Perhaps,
    No,
}

impl Connections {
    pub(crate) fn new(listener: TcpListener) -> Connections {
        Connections { listener, open: BTreeMap::new(), chunk: vec![0; CHUNK], again_at: None }
    }

    pub(crate) fn dial(
        &mut self,
        now: Tenths,
        call: Call,
        address: SocketAddr,
        registry: &Registry,
        talk: &mut Talk,
    ) {
        let begun = TcpStream::connect(address).and_then(|socket| self.keep(call, socket, false, registry));
        if begun.is_err() {
            self.open.remove(&call);
            talk.ended(now, call);
        }
    }

    fn keep(&mut self, call: Call, socket: TcpStream, up: bool, registry: &Registry) -> std::io::Result<()> {
        let (frames, out) = (Frames::default(), Vec::new());
        let connection =
            self.open.entry(call).or_insert(Connection { socket, up, frames, out, written: 0, deaf: false });
        // No Nagle delay: frames are already combined into one write where possible.
        let _ = connection.socket.set_nodelay(true);
        registry.register(&mut connection.socket, token(call), Interest::READABLE | Interest::WRITABLE)
    }

    /// Accepts one pending connection.
    pub(crate) fn accept(&mut self, now: Tenths, registry: &Registry, talk: &mut Talk) -> More {
        self.again_at = None;
        match self.listener.accept() {
            Ok((socket, _)) => {
                if let Some(call) = talk.accepted(now)
                    && self.keep(call, socket, true, registry).is_err()
                {
                    self.end(now, call, talk);
                }
                More::Perhaps
            }
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                More::Perhaps
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => More::No,
            Err(_) => {
                // Danger: readiness is edge-triggered; without a retry, pending connections would
                // wait forever.
                self.again_at = Some(now + AGAIN);
                More::No
            }
        }
    }

    fn end(&mut self, now: Tenths, call: Call, talk: &mut Talk) {
        self.open.remove(&call);
        talk.ended(now, call);
    }

    pub(crate) fn close(&mut self, call: Call) {
        if let Some(mut connection) = self.open.remove(&call) {
            // Best effort: a refusal should reach the peer before the connection closes.
            let _ = connection.flush();
        }
    }

    pub(crate) fn write(&mut self, now: Tenths, call: Call, frame: &[u8], talk: &mut Talk) {
        let Some(connection) = self.open.get_mut(&call) else { return };
        put(&mut connection.out, frame);
        // Frames are combined while more actions follow; see `Sockets::poll`.
        if connection.out.len() >= CHUNK {
            self.flush(now, call, talk);
        }
    }

    fn flush(&mut self, now: Tenths, call: Call, talk: &mut Talk) {
        let Some(connection) = self.open.get_mut(&call).filter(|c| c.up) else { return };
        match connection.flush() {
            Ok(true) => talk.drained(call),
            Ok(false) => {}
            Err(_) => self.end(now, call, talk),
        }
    }

    pub(crate) fn writable(&mut self, now: Tenths, call: Call, talk: &mut Talk) {
        let Some(connection) = self.open.get_mut(&call) else { return };
        if !connection.up {
            match connection.answer() {
                Ok(true) => {
                    connection.up = true;
                    talk.up(now, call);
                }
                Ok(false) => return,
                Err(_) => return self.end(now, call, talk),
            }
        }
        if self.open.get(&call).is_some_and(|c| !c.out.is_empty()) {
            self.flush(now, call, talk);
        }
    }

    /// Reads once from the socket.
    pub(crate) fn read(&mut self, now: Tenths, call: Call, talk: &mut Talk) -> More {
        let Some(connection) = self.open.get_mut(&call) else { return More::No };
        if !connection.up || connection.deaf {
            return More::No;
        }
        match connection.socket.read(&mut self.chunk) {
            Ok(0) => {
                self.end(now, call, talk);
                More::No
            }
            Ok(length) => {
                connection.frames.push(&self.chunk[..length]);
                loop {
                    match connection.frames.next_frame(talk.frame_most()) {
                        Ok(Some(frame)) => talk.heard(now, call, frame),
                        Ok(None) => return More::Perhaps,
                        Err(announced) => {
                            connection.deaf = true;
                            talk.heard_too_long(now, call, announced);
                            return More::No;
                        }
                    }
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => More::No,
            Err(e) if e.kind() == ErrorKind::Interrupted => More::Perhaps,
            Err(_) => {
                self.end(now, call, talk);
                More::No
            }
        }
    }
}

impl Connection {
    /// Whether the connection is established.
    fn answer(&self) -> std::io::Result<bool> {
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
        while self.written < self.out.len() {
            match self.socket.write(&self.out[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.written += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.out.clear();
        self.out.shrink_to(CHUNK);
        self.written = 0;
        Ok(true)
    }
}
