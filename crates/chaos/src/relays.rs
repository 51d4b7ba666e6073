//! Relays: one address for each directed link, by UDP and TCP, each with its [`Line`]. What came in leaves when its line
//! says so.

use crate::passage::Passage;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use vetchkeel_link::Tenths;
use vetchkeel_link::fault::{Fault, Line};

const WAKER: Token = Token(0);
/// Datagrams that wait in all relays together; further ones are lost.
const DATAGRAMS: usize = 16_384;
/// Connections through all relays together; further ones are ended.
const CONNECTIONS: usize = 4_096;
/// A datagram's longest. Bytes.
const CHUNK: usize = 65_536;
/// Read from a connection at once: what the line's chance is drawn for. Bytes.
const AT_ONCE: usize = 16_384;
/// Ports tried until one is free for both.
const PORTS: usize = 20;

/// The relay of one directed link.
struct Relay {
    udp: UdpSocket,
    tcp: TcpListener,
    /// Where its instance really is.
    target: SocketAddr,
    line: Line,
    /// The relay of the other direction.
    back: usize,
    address: SocketAddr,
}

/// The two ends of a connection: who dialled the relay, and its instance.
struct Connection {
    relay: usize,
    sockets: [Option<TcpStream>; 2],
    connected: bool,
    readable: [bool; 2],
    /// An end that failed, as the other is to find out.
    failed: [bool; 2],
    /// From each end to the other.
    ways: [Passage; 2],
    shut: [bool; 2],
    wake: Option<Tenths>,
}

pub(crate) struct Relays {
    poll: Poll,
    events: Events,
    relays: Vec<Relay>,
    datagrams: BTreeMap<(Tenths, u64), (usize, Vec<u8>)>,
    serial: u64,
    connections: BTreeMap<usize, Connection>,
    next_connection: usize,
    agenda: BTreeSet<(Tenths, usize)>,
    chunk: Vec<u8>,
    passed: u64,
    lost: u64,
}

fn interest() -> Interest {
    Interest::READABLE | Interest::WRITABLE
}

fn bind() -> io::Result<(UdpSocket, TcpListener, SocketAddr)> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut failed = io::Error::from(ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let tcp = TcpListener::bind(any)?;
        let at = tcp.local_addr()?;
        match UdpSocket::bind(at) {
            Ok(udp) => return Ok((udp, tcp, at)),
            Err(e) => failed = e,
        }
    }
    Err(failed)
}

impl Relays {
    /// One relay for each of these links: where it leads to, its seed, and the place of the other direction's.
    pub(crate) fn new(links: &[(SocketAddr, u64, usize)]) -> io::Result<(Relays, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let mut relays = Vec::new();
        for (i, &(target, seed, back)) in links.iter().enumerate() {
            let (mut udp, mut tcp, address) = bind()?;
            poll.registry().register(&mut udp, Token(1 + 2 * i), Interest::READABLE)?;
            poll.registry().register(&mut tcp, Token(2 + 2 * i), Interest::READABLE)?;
            relays.push(Relay { udp, tcp, target, line: Line::new(seed), back, address });
        }
        let all = Relays {
            poll,
            events: Events::with_capacity(256),
            relays,
            datagrams: BTreeMap::new(),
            serial: 0,
            connections: BTreeMap::new(),
            next_connection: 0,
            agenda: BTreeSet::new(),
            chunk: vec![0; CHUNK],
            passed: 0,
            lost: 0,
        };
        Ok((all, waker))
    }

    pub(crate) fn address(&self, relay: usize) -> SocketAddr {
        self.relays[relay].address
    }

    /// Datagrams that passed and that were lost.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.passed, self.lost)
    }

    pub(crate) fn set(&mut self, now: Tenths, relay: usize, fault: Fault) {
        self.relays[relay].line.set(fault);
        let back = self.relays[relay].back;
        let touched = |c: &Connection| c.relay == relay || c.relay == back;
        let ids: Vec<usize> =
            self.connections.iter().filter(|(_, c)| touched(c)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.pump(now, id));
    }

    /// Waits for so long at most, and takes what came in.
    pub(crate) fn wait(&mut self, longest: Duration, clock: impl Fn() -> Tenths) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(longest)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let now = clock();
        let tokens: Vec<(usize, bool)> = self.events.iter().map(|e| (e.token().0, e.is_readable())).collect();
        let first = 1 + 2 * self.relays.len();
        for (token, readable) in tokens {
            match token {
                0 => {}
                t if t < first && t % 2 == 1 => self.read_datagrams(now, (t - 1) / 2),
                t if t < first => self.accept(now, (t - 2) / 2),
                t => {
                    let (id, end) = ((t - first) / 2, (t - first) % 2);
                    if let Some(connection) = self.connections.get_mut(&id) {
                        connection.readable[end] |= readable;
                    }
                    self.pump(now, id);
                }
            }
        }
        Ok(())
    }

    /// Sends what is due.
    pub(crate) fn carry_on(&mut self, now: Tenths) {
        while let Some(entry) = self.datagrams.first_entry().filter(|e| e.key().0 <= now) {
            let (relay, bytes) = entry.remove();
            let relay = &self.relays[relay];
            // A datagram that a socket does not take is lost, as on any link.
            match relay.udp.send_to(&bytes, relay.target) {
                Ok(_) => self.passed += 1,
                Err(_) => self.lost += 1,
            }
        }
        while let Some((at, id)) = self.agenda.pop_first() {
            if at > now {
                self.agenda.insert((at, id));
                break;
            }
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.wake = None;
            }
            self.pump(now, id);
        }
    }

    pub(crate) fn wake_at(&self) -> Option<Tenths> {
        let datagram = self.datagrams.first_key_value().map(|(key, _)| key.0);
        [datagram, self.agenda.first().map(|a| a.0)].into_iter().flatten().min()
    }

    fn read_datagrams(&mut self, now: Tenths, at: usize) {
        let relay = &mut self.relays[at];
        let mut failures = 0;
        loop {
            match relay.udp.recv_from(&mut self.chunk) {
                // What its instance says to this address is no part of this direction.
                Ok((_, from)) if from == relay.target => {}
                Ok((length, _)) => {
                    let times = relay.line.datagram(now, length);
                    if times.is_empty() || self.datagrams.len() + times.len() > DATAGRAMS {
                        self.lost += 1;
                        continue;
                    }
                    for due in times {
                        self.serial += 1;
                        self.datagrams.insert((due, self.serial), (at, self.chunk[..length].to_vec()));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Refusals of what was sent earlier are told here.
                Err(_) if failures < 64 => failures += 1,
                Err(_) => return,
            }
        }
    }

    fn accept(&mut self, now: Tenths, at: usize) {
        // Danger: the socket tells of waiting connections only once: take them all.
        while let Ok((socket, _)) = self.relays[at].tcp.accept() {
            if self.connections.len() >= CONNECTIONS || self.relays[at].line.fault().reset {
                abort(&socket);
                continue;
            }
            let id = self.next_connection;
            self.next_connection += 1;
            let connection = Connection {
                relay: at,
                sockets: [Some(socket), None],
                connected: false,
                readable: [true, false],
                failed: [false, false],
                ways: [Passage::default(), Passage::default()],
                shut: [false, false],
                wake: None,
            };
            self.connections.insert(id, connection);
            if self.register(id, 0).is_err() {
                self.end(id);
            }
            self.pump(now, id);
        }
    }

    fn register(&mut self, id: usize, end: usize) -> io::Result<()> {
        let token = Token(1 + 2 * self.relays.len() + 2 * id + end);
        let socket = self.connections.get_mut(&id).and_then(|c| c.sockets[end].as_mut());
        let socket = socket.ok_or(ErrorKind::NotConnected)?;
        socket.set_nodelay(true)?;
        self.poll.registry().register(socket, token, interest())
    }

    fn end(&mut self, id: usize) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.sockets.iter().flatten().for_each(abort);
            if let Some(at) = connection.wake {
                self.agenda.remove(&(at, id));
            }
        }
    }

    /// Moves what can be moved on a connection.
    fn pump(&mut self, now: Tenths, id: usize) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (there, back) = (connection.relay, self.relays[connection.relay].back);
        let faults = [*self.relays[there].line.fault(), *self.relays[back].line.fault()];
        if faults.iter().any(|f| f.reset) || (!connection.connected && self.connect(id, &faults).is_err()) {
            return self.end(id);
        }
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.connected) else { return };
        for (way, fault) in faults.iter().enumerate() {
            if !fault.cut {
                let line = if way == 0 { there } else { back };
                connection.carry(now, way, &mut self.relays[line].line, &mut self.chunk);
            }
        }
        // Danger: that an end failed is news too, and must not pass a cut.
        let known = |end: usize| connection.failed[end] && !faults[end].cut;
        if known(0) || known(1) || connection.shut == [true, true] {
            return self.end(id);
        }
        let waiting = (0..2).filter(|way| !faults[*way].cut && !connection.shut[*way]);
        let wake = waiting.filter_map(|way| connection.ways[way].wake_at()).filter(|at| *at > now).min();
        if connection.wake != wake {
            if let Some(at) = connection.wake {
                self.agenda.remove(&(at, id));
            }
            connection.wake = wake;
            self.agenda.extend(wake.map(|at| (at, id)));
        }
    }

    /// Dials the instance, unless a cut holds that up as it would hold up the dial itself.
    fn connect(&mut self, id: usize, faults: &[Fault; 2]) -> io::Result<()> {
        if faults.iter().any(|f| f.cut) {
            return Ok(());
        }
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        match &connection.sockets[1] {
            None => {
                connection.sockets[1] = Some(TcpStream::connect(self.relays[connection.relay].target)?);
                self.register(id, 1)
            }
            Some(socket) => {
                if let Some(error) = socket.take_error()? {
                    return Err(error);
                }
                match socket.peer_addr() {
                    Ok(_) => {
                        connection.connected = true;
                        connection.readable[1] = true;
                        Ok(())
                    }
                    Err(e) if e.kind() == ErrorKind::NotConnected => Ok(()),
                    Err(e) => Err(e),
                }
            }
        }
    }
}

/// An end without a farewell: what waits in the socket is thrown away.
fn abort(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

impl Connection {
    /// Moves what can be moved one way.
    fn carry(&mut self, now: Tenths, way: usize, line: &mut Line, chunk: &mut [u8]) {
        // What left made room for more.
        while self.write(now, way) | self.read(now, way, line, chunk) {}
        if self.ways[way].is_over(now) && !self.shut[way] {
            self.shut[way] = true;
            if let Some(socket) = &self.sockets[1 - way] {
                let _ = socket.shutdown(Shutdown::Write);
            }
        }
    }
    fn read(&mut self, now: Tenths, way: usize, line: &mut Line, chunk: &mut [u8]) -> bool {
        if !self.readable[way] || !self.ways[way].has_room() {
            return false;
        }
        let Some(socket) = &mut self.sockets[way] else { return false };
        match socket.read(&mut chunk[..AT_ONCE]) {
            Ok(0) => self.ways[way].end(now, line),
            Ok(length) => self.ways[way].push(now, line, &chunk[..length]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable[way] = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => (self.failed[way], self.readable[way]) = (true, false),
        }
        self.readable[way]
    }

    fn write(&mut self, now: Tenths, way: usize) -> bool {
        let other = 1 - way;
        let Some(bytes) = self.ways[way].due(now).filter(|_| !self.failed[other]) else { return false };
        let Some(socket) = &mut self.sockets[other] else { return false };
        match socket.write(bytes) {
            Ok(length) => self.ways[way].left(length),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => self.failed[other] = true,
        }
        true
    }
}
