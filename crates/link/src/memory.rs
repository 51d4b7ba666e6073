//! Transport in memory: a simulated network in one process, with injected faults and simulated time. Deterministic:
//! equal seeds and equal calls give equal events.

use crate::fault::{Fault, Line};
use crate::message::{Channel, Event, Kind, Kinds, Name, SendError, Sender, Tenths};
use crate::talk::{Action, Bounds, ConnectionId, Endpoint, stream_of};
use crate::transport::Transport;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of datagrams in flight to one instance; further ones are lost, as when a socket's buffer is full.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 4_096;

/// One end of a connection: an instance's incarnation, and its identifier for the connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionEnd {
    sender: Sender,
    conn: ConnectionId,
}

/// What arrives at an instance.
enum Arrival {
    Datagram(Vec<u8>),
    /// A connection request, with the dialling end.
    ConnectRequest(ConnectionEnd),
    /// The reply to a connection request, with the accepting end; None if it was refused.
    ConnectReply {
        conn: ConnectionId,
        remote: Option<ConnectionEnd>,
    },
    Frame {
        conn: ConnectionId,
        frame: Vec<u8>,
    },
    Closed(ConnectionId),
}

/// One direction of a connection, with the frames that are held back by a cut.
#[derive(Default)]
struct Pipe {
    remote: Option<ConnectionEnd>,
    held_back: VecDeque<Vec<u8>>,
}

struct NetworkState {
    seed: u64,
    /// The running incarnation of each name.
    running: BTreeMap<Name, Sender>,
    addresses: BTreeMap<SocketAddr, Name>,
    lines: BTreeMap<(Name, Name), Line>,
    pipes: BTreeMap<ConnectionEnd, Pipe>,
    /// Connection requests held back by a cut, with the name that is dialled.
    dials: Vec<(ConnectionEnd, Name)>,
    arrivals: BTreeMap<Sender, BTreeMap<(Tenths, u64), Arrival>>,
    serial: u64,
}

/// A simulated network of instances. Clones share the same network.
#[derive(Clone)]
pub struct SimulatedNetwork(Arc<Mutex<NetworkState>>);

impl SimulatedNetwork {
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork(Arc::new(Mutex::new(NetworkState {
            seed,
            running: BTreeMap::new(),
            addresses: BTreeMap::new(),
            lines: BTreeMap::new(),
            pipes: BTreeMap::new(),
            dials: Vec::new(),
            arrivals: BTreeMap::new(),
            serial: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        // The state is consistent after a panic elsewhere: no call unwinds in the middle of a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts an instance. A running one of the same name ends first, as in a crash.
    pub fn start(&self, now: Tenths, me: Sender, kinds: Kinds, bounds: Bounds) -> MemoryTransport {
        self.crash(now, &me.name);
        let mut state = self.state();
        state.running.insert(me.name.clone(), me.clone());
        state.arrivals.insert(me.clone(), BTreeMap::new());
        let seed = state.seed ^ seed_of(&[me.name.as_str(), &me.incarnation.to_string()]);
        drop(state);
        MemoryTransport {
            endpoint: Endpoint::new(me, kinds, bounds, seed),
            network: self.clone(),
            last_now: now,
        }
    }

    /// Crashes the instance of this name: its connections end and nothing reaches it. Its transport reports no
    /// further events.
    pub fn crash(&self, now: Tenths, name: &Name) {
        self.state().crash(now, name);
    }

    /// The address of the instance of this name, for all of its incarnations.
    pub fn address(&self, name: &Name) -> SocketAddr {
        let mut state = self.state();
        if let Some((address, _)) = state.addresses.iter().find(|(_, n)| *n == name) {
            return *address;
        }
        let number = state.addresses.len() as u32 + 1;
        let address = SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 1));
        state.addresses.insert(address, name.clone());
        address
    }

    /// Sets the fault on the link from one instance to another.
    pub fn set(&self, now: Tenths, from: &Name, to: &Name, fault: Fault) {
        self.state().set(now, from, to, fault);
    }

    /// Sends a datagram that no instance sent.
    pub fn inject_datagram(&self, now: Tenths, to: &Name, datagram: Vec<u8>) {
        let mut state = self.state();
        if let Some(running) = state.running.get(to).cloned() {
            state.schedule_arrival(&running, now, Arrival::Datagram(datagram));
        }
    }
}

/// FNV-1a, so that the seeds are the same on every machine and with every compiler.
fn seed_of(words: &[&str]) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    words.iter().flat_map(|w| w.bytes().chain([0])).fold(0xcbf2_9ce4_8422_2325, mix)
}

impl NetworkState {
    fn line(&mut self, from: &Name, to: &Name) -> &mut Line {
        let seed = self.seed ^ seed_of(&["line", from.as_str(), to.as_str()]);
        self.lines.entry((from.clone(), to.clone())).or_insert_with(|| Line::new(seed))
    }

    fn schedule_arrival(&mut self, to: &Sender, at: Tenths, arrival: Arrival) {
        self.serial += 1;
        if let Some(arrivals) = self.arrivals.get_mut(to) {
            arrivals.insert((at, self.serial), arrival);
        }
    }

    fn crash(&mut self, now: Tenths, name: &Name) {
        let Some(gone) = self.running.remove(name) else { return };
        self.arrivals.remove(&gone);
        self.dials.retain(|(end, _)| end.sender != gone);
        let ends: Vec<ConnectionEnd> = self.pipes.keys().filter(|e| e.sender == gone).cloned().collect();
        ends.iter().for_each(|end| self.close_connection(now, end));
    }

    /// Closes a connection from one side. Data sent before still arrives, followed by the close, unless the link
    /// is cut.
    fn close_connection(&mut self, now: Tenths, end: &ConnectionEnd) {
        self.dials.retain(|(e, _)| e != end);
        let Some(pipe) = self.pipes.remove(end) else { return };
        let Some(remote) = pipe.remote else { return };
        // Danger: neither held bytes nor the close may pass a cut. The other side detects the loss by its
        // acknowledgement timeout.
        let line = self.line(&end.sender.name, &remote.sender.name);
        if let Some(at) = line.bytes(now, 0) {
            self.schedule_arrival(&remote.sender, at, Arrival::Closed(remote.conn));
        }
    }

    fn set(&mut self, now: Tenths, from: &Name, to: &Name, fault: Fault) {
        self.line(from, to).set(fault);
        let between = |end: &ConnectionEnd, pipe: &Pipe| {
            end.sender.name == *from && pipe.remote.as_ref().is_some_and(|o| o.sender.name == *to)
        };
        let ends: Vec<ConnectionEnd> =
            self.pipes.iter().filter(|(e, p)| between(e, p)).map(|(e, _)| e.clone()).collect();
        for end in ends {
            if fault.reset {
                let remote = self.pipes.get(&end).and_then(|p| p.remote.clone());
                for end in [Some(end), remote].into_iter().flatten() {
                    self.pipes.remove(&end);
                    self.schedule_arrival(&end.sender.clone(), now, Arrival::Closed(end.conn));
                }
            } else if !fault.cut {
                let held_back = self.pipes.get_mut(&end).map(|p| std::mem::take(&mut p.held_back));
                held_back.into_iter().flatten().for_each(|frame| self.write(now, &end, frame));
            }
        }
        if !fault.cut {
            let (due, rest) = std::mem::take(&mut self.dials)
                .into_iter()
                .partition(|(e, n)| e.sender.name == *from && n == to);
            self.dials = rest;
            for (end, name) in due {
                self.dial(now, end, &name);
            }
        }
    }

    fn dial(&mut self, now: Tenths, end: ConnectionEnd, to: &Name) {
        let line = self.line(&end.sender.name, to);
        let reset = line.fault().reset;
        let Some(at) = line.bytes(now, 64) else {
            self.dials.push((end, to.clone()));
            return;
        };
        match self.running.get(to).cloned().filter(|_| !reset) {
            Some(receiver) => self.schedule_arrival(&receiver, at, Arrival::ConnectRequest(end)),
            None => self.schedule_arrival(&end.sender.clone(), at, Arrival::Closed(end.conn)),
        }
    }

    /// Sends the reply to a connection request: accepted or refused.
    fn reply(&mut self, now: Tenths, from: &Sender, dialler: ConnectionEnd, conn: Option<ConnectionId>) {
        let Some(at) = self.line(&from.name, &dialler.sender.name).bytes(now, 64) else { return };
        let alive = self.running.get(&dialler.sender.name) == Some(&dialler.sender);
        if let Some(conn) = conn.filter(|_| !alive) {
            return self.schedule_arrival(from, now, Arrival::Closed(conn));
        }
        let remote = conn.map(|conn| ConnectionEnd { sender: from.clone(), conn });
        if let Some(end) = &remote {
            self.pipes
                .insert(end.clone(), Pipe { remote: Some(dialler.clone()), held_back: VecDeque::new() });
            self.pipes.insert(dialler.clone(), Pipe { remote: remote.clone(), held_back: VecDeque::new() });
        }
        self.schedule_arrival(&dialler.sender, at, Arrival::ConnectReply { conn: dialler.conn, remote });
    }

    fn write(&mut self, now: Tenths, end: &ConnectionEnd, frame: Vec<u8>) {
        let Some(pipe) = self.pipes.get_mut(end) else { return };
        let Some(remote) = pipe.remote.clone() else { return };
        match self.line(&end.sender.name, &remote.sender.name).bytes(now, frame.len()) {
            Some(at) => {
                self.schedule_arrival(&remote.sender, at, Arrival::Frame { conn: remote.conn, frame })
            }
            None => {
                if let Some(pipe) = self.pipes.get_mut(end) {
                    pipe.held_back.push_back(frame);
                }
            }
        }
    }

    fn datagram(&mut self, now: Tenths, from: &Name, to: &Name, bytes: &[u8]) {
        let Some(receiver) = self.running.get(to).cloned() else { return };
        for at in self.line(from, to).datagram(now, bytes.len()) {
            if self.arrivals.get(&receiver).is_some_and(|a| a.len() < MAX_DATAGRAMS_IN_FLIGHT) {
                self.schedule_arrival(&receiver, at, Arrival::Datagram(bytes.to_vec()));
            }
        }
    }
}

/// One instance on a [`SimulatedNetwork`]. Dropping it is a crash.
pub struct MemoryTransport {
    endpoint: Endpoint,
    network: SimulatedNetwork,
    /// The time passed to the last call.
    last_now: Tenths,
}

impl MemoryTransport {
    fn is_running(&self, state: &NetworkState) -> bool {
        state.running.get(&self.endpoint.me().name) == Some(self.endpoint.me())
    }

    fn carry_out(&mut self, now: Tenths, action: Action) {
        let network = self.network.clone();
        let mut state = network.state();
        let end_of = |conn: ConnectionId| ConnectionEnd { sender: self.endpoint.me().clone(), conn };
        match action {
            Action::Dial { conn, address } => match state.addresses.get(&address).cloned() {
                Some(to) => state.dial(now, end_of(conn), &to),
                None => state.schedule_arrival(self.endpoint.me(), now, Arrival::Closed(conn)),
            },
            Action::Write { conn, frame } => {
                state.write(now, &end_of(conn), frame);
                self.endpoint.flushed(conn);
            }
            Action::Close { conn } => state.close_connection(now, &end_of(conn)),
        }
    }

    fn handle_arrival(&mut self, now: Tenths, arrival: Arrival) {
        match arrival {
            Arrival::Datagram(bytes) => self.endpoint.datagram_received(&bytes),
            Arrival::ConnectRequest(dialler) => {
                let conn = self.endpoint.accepted(now);
                let me = self.endpoint.me().clone();
                self.network.state().reply(now, &me, dialler, conn);
            }
            Arrival::ConnectReply { conn, remote: Some(_) } => {
                // The attempt was aborted in the meantime.
                if !self.endpoint.connected(now, conn) {
                    self.carry_out(now, Action::Close { conn });
                }
            }
            Arrival::ConnectReply { conn, remote: None } | Arrival::Closed(conn) => {
                self.network
                    .state()
                    .pipes
                    .remove(&ConnectionEnd { sender: self.endpoint.me().clone(), conn });
                self.endpoint.disconnected(now, conn);
            }
            Arrival::Frame { conn, frame } => self.endpoint.frame_received(now, conn, &frame),
        }
    }
}

impl Transport for MemoryTransport {
    fn me(&self) -> &Sender {
        self.endpoint.me()
    }

    fn supports(&self, _: Channel) -> bool {
        true
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
        if let Some(stream) = stream_of(channel) {
            return self.endpoint.send(now, to, stream, kind, body);
        }
        let bytes = self.endpoint.datagram(to, kind, body)?;
        let mut state = self.network.state();
        let address = self.endpoint.address(to);
        if let Some(receiver) = address.and_then(|a| state.addresses.get(&a).cloned())
            && self.is_running(&state)
        {
            state.datagram(now, &self.endpoint.me().name, &receiver, &bytes);
        }
        Ok(0)
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        self.last_now = now;
        loop {
            let network = self.network.clone();
            if !self.is_running(&network.state()) {
                return None;
            }
            if let Some(event) = self.endpoint.next_event() {
                return Some(event);
            }
            if let Some(action) = self.endpoint.next_action(now) {
                self.carry_out(now, action);
                continue;
            }
            if self.endpoint.has_events() {
                continue;
            }
            let mut state = network.state();
            let arrivals = state.arrivals.get_mut(self.endpoint.me())?;
            let first = arrivals.first_entry().filter(|e| e.key().0 <= now)?.remove();
            drop(state);
            self.handle_arrival(now, first);
        }
    }

    fn wake_at(&self) -> Option<Tenths> {
        let state = self.network.state();
        if !self.is_running(&state) {
            return None;
        }
        let arrivals = state.arrivals.get(self.endpoint.me());
        let arrival = arrivals.and_then(|a| a.first_key_value()).map(|(key, _)| key.0);
        [arrival, self.endpoint.wake_at()].into_iter().flatten().min()
    }
}

impl Drop for MemoryTransport {
    fn drop(&mut self) {
        let mut state = self.network.state();
        if self.is_running(&state) {
            let name = self.endpoint.me().name.clone();
            state.crash(self.last_now, &name);
        }
    }
}
