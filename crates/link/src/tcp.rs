//! Connections on TCP sockets: bytes to frames and back. Who dials whom, and when, is told by [`Talk`].

use crate::frames::{Frames, put};
use crate::message::Tenths;
use crate::talk::{Call, Talk};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Read from one connection before another has its turn. Bytes.
const CHUNK: usize = 64 * 1_024;
/// After a failure to take connections (such as no free descriptors), how long until the next try.
const AGAIN: Tenths = 1_000;
/// The first token that belongs to a connection.
pub(crate) const FIRST: usize = 3;

struct Connection {
    socket: TcpStream,
    up: bool,
    frames: Frames,
    out: Vec<u8>,
    written: usize,
    /// What still comes can't be told apart, and is not read. [`Talk`] ends it.
    deaf: bool,
}

pub(crate) struct Connections {
    pub(crate) listener: TcpListener,
    open: BTreeMap<Call, Connection>,
    chunk: Vec<u8>,
    /// When to try again to take connections.
    pub(crate) again_at: Option<Tenths>,
}

pub(crate) fn token(call: Call) -> Token {
    Token(FIRST + call.0 as usize)
}

pub(crate) fn call_of(token: Token) -> Call {
    Call((token.0 - FIRST) as u64)
}

/// Whether a socket has more to give.
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
        // A message waits for nothing: what could be gathered is gathered by one write.
        let _ = connection.socket.set_nodelay(true);
        registry.register(&mut connection.socket, token(call), Interest::READABLE | Interest::WRITABLE)
    }

    /// Takes one connection that waits.
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
                // Danger: the socket tells of waiting connections only once; without another try they wait for ever.
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
            // As far as it goes: a refusal should get there before the end.
            let _ = connection.flush();
        }
    }

    pub(crate) fn write(&mut self, now: Tenths, call: Call, frame: &[u8], talk: &mut Talk) {
        let Some(connection) = self.open.get_mut(&call) else { return };
        put(&mut connection.out, frame);
        // Gathered while the talk has more to give; see `Sockets::poll`.
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

    /// Reads once.
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
    /// True once a dial was answered.
    fn answer(&self) -> std::io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            // Danger: a dial to a port that nobody holds can reach itself, and would hold the port from its owner.
            Ok(peer) if self.socket.local_addr().is_ok_and(|own| own == peer) => {
                Err(ErrorKind::ConnectionRefused.into())
            }
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// True if all is written.
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
