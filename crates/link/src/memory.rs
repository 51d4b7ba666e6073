//! Transport in memory: a simulated network in one process, with injected faults and simulated time. Deterministic:
//! equal seeds and equal calls give equal events.

use crate::fault::{Fault, Line};
use crate::message::{Event, Kind, Kinds, Name, Refused, Sender, Tenths, Way};
use crate::talk::{Bounds, Call, Step, Talk, stream_of};
use crate::transport::Transport;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of datagrams in flight to one instance; further ones are lost, as when a socket's buffer is full.
const DATAGRAMS_MOST: usize = 4_096;

/// One end of a connection: an instance's incarnation, and its identifier for the connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    sender: Sender,
    call: Call,
}

/// What arrives at an instance.
enum Arrival {
    Datagram(Vec<u8>),
    /// A connection request, with the dialling end.
    Dialled(End),
    /// The reply to a connection request, with the accepting end; None if it was refused.
    Answered {
        call: Call,
        other: Option<End>,
    },
    Frame {
        call: Call,
        frame: Vec<u8>,
    },
    Ended(Call),
}

/// One direction of a connection, with the frames that are held back by a cut.
#[derive(Default)]
struct Pipe {
    other: Option<End>,
    held: VecDeque<Vec<u8>>,
}

struct Wire {
    seed: u64,
    /// The running incarnation of each name.
    running: BTreeMap<Name, Sender>,
    addresses: BTreeMap<SocketAddr, Name>,
    lines: BTreeMap<(Name, Name), Line>,
    pipes: BTreeMap<End, Pipe>,
    /// Connection requests held back by a cut, with the name that is dialled.
    dials: Vec<(End, Name)>,
    arrivals: BTreeMap<Sender, BTreeMap<(Tenths, u64), Arrival>>,
    serial: u64,
}

/// A simulated network of instances. Clones share the same network.
#[derive(Clone)]
pub struct Network(Arc<Mutex<Wire>>);

impl Network {
    pub fn new(seed: u64) -> Network {
        Network(Arc::new(Mutex::new(Wire {
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

    fn wire(&self) -> MutexGuard<'_, Wire> {
        // The state is consistent after a panic elsewhere: no call unwinds in the middle of a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts an instance. A running one of the same name ends first, as in a crash.
    pub fn start(&self, now: Tenths, me: Sender, kinds: Kinds, bounds: Bounds) -> Memory {
        self.crash(now, &me.name);
        let mut wire = self.wire();
        wire.running.insert(me.name.clone(), me.clone());
        wire.arrivals.insert(me.clone(), BTreeMap::new());
        let seed = wire.seed ^ seed_of(&[me.name.as_str(), &me.incarnation.to_string()]);
        drop(wire);
        Memory { talk: Talk::new(me, kinds, bounds, seed), network: self.clone(), told: now }
    }

    /// Crashes the instance of this name: its connections end and nothing reaches it. Its transport reports no
    /// further events.
    pub fn crash(&self, now: Tenths, name: &Name) {
        self.wire().crash(now, name);
    }

    /// The address of the instance of this name, for all of its incarnations.
    pub fn address(&self, name: &Name) -> SocketAddr {
        let mut wire = self.wire();
        if let Some((address, _)) = wire.addresses.iter().find(|(_, n)| *n == name) {
            return *address;
        }
        let number = wire.addresses.len() as u32 + 1;
        let address = SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 1));
        wire.addresses.insert(address, name.clone());
        address
    }

    /// Sets the fault on the link from one instance to another.
    pub fn set(&self, now: Tenths, from: &Name, to: &Name, fault: Fault) {
        self.wire().set(now, from, to, fault);
    }

    /// Sends a datagram that no instance sent.
    pub fn inject(&self, now: Tenths, to: &Name, datagram: Vec<u8>) {
        let mut wire = self.wire();
        if let Some(running) = wire.running.get(to).cloned() {
            wire.arrive(&running, now, Arrival::Datagram(datagram));
        }
    }
}

/// FNV-1a, so that the seeds are the same on every machine and with every compiler.
fn seed_of(words: &[&str]) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    words.iter().flat_map(|w| w.bytes().chain([0])).fold(0xcbf2_9ce4_8422_2325, mix)
}

impl Wire {
    fn line(&mut self, from: &Name, to: &Name) -> &mut Line {
        let seed = self.seed ^ seed_of(&["line", from.as_str(), to.as_str()]);
        self.lines.entry((from.clone(), to.clone())).or_insert_with(|| Line::new(seed))
    }

    fn arrive(&mut self, to: &Sender, at: Tenths, arrival: Arrival) {
        self.serial += 1;
        if let Some(arrivals) = self.arrivals.get_mut(to) {
            arrivals.insert((at, self.serial), arrival);
        }
    }

    fn crash(&mut self, now: Tenths, name: &Name) {
        let Some(gone) = self.running.remove(name) else { return };
        self.arrivals.remove(&gone);
        self.dials.retain(|(end, _)| end.sender != gone);
        let ends: Vec<End> = self.pipes.keys().filter(|e| e.sender == gone).cloned().collect();
        ends.iter().for_each(|end| self.hang_up(now, end));
    }

    /// Closes a connection from one side. Data sent before still arrives, followed by the close, unless the link
    /// is cut.
    fn hang_up(&mut self, now: Tenths, end: &End) {
        self.dials.retain(|(e, _)| e != end);
        let Some(pipe) = self.pipes.remove(end) else { return };
        let Some(other) = pipe.other else { return };
        // Danger: neither held bytes nor the close may pass a cut. The other side detects the loss by its
        // acknowledgement timeout.
        let line = self.line(&end.sender.name, &other.sender.name);
        if let Some(at) = line.bytes(now, 0) {
            self.arrive(&other.sender, at, Arrival::Ended(other.call));
        }
    }

    fn set(&mut self, now: Tenths, from: &Name, to: &Name, fault: Fault) {
        self.line(from, to).set(fault);
        let between = |end: &End, pipe: &Pipe| {
            end.sender.name == *from && pipe.other.as_ref().is_some_and(|o| o.sender.name == *to)
        };
        let ends: Vec<End> =
            self.pipes.iter().filter(|(e, p)| between(e, p)).map(|(e, _)| e.clone()).collect();
        for end in ends {
            if fault.reset {
                let other = self.pipes.get(&end).and_then(|p| p.other.clone());
                for end in [Some(end), other].into_iter().flatten() {
                    self.pipes.remove(&end);
                    self.arrive(&end.sender.clone(), now, Arrival::Ended(end.call));
                }
            } else if !fault.cut {
                let held = self.pipes.get_mut(&end).map(|p| std::mem::take(&mut p.held));
                held.into_iter().flatten().for_each(|frame| self.write(now, &end, frame));
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

    fn dial(&mut self, now: Tenths, end: End, to: &Name) {
        let line = self.line(&end.sender.name, to);
        let reset = line.fault().reset;
        let Some(at) = line.bytes(now, 64) else {
            self.dials.push((end, to.clone()));
            return;
        };
        match self.running.get(to).cloned().filter(|_| !reset) {
            Some(there) => self.arrive(&there, at, Arrival::Dialled(end)),
            None => self.arrive(&end.sender.clone(), at, Arrival::Ended(end.call)),
        }
    }

    /// Sends the reply to a connection request: accepted or refused.
    fn answer(&mut self, now: Tenths, from: &Sender, dialler: End, call: Option<Call>) {
        let Some(at) = self.line(&from.name, &dialler.sender.name).bytes(now, 64) else { return };
        let alive = self.running.get(&dialler.sender.name) == Some(&dialler.sender);
        if let Some(call) = call.filter(|_| !alive) {
            return self.arrive(from, now, Arrival::Ended(call));
        }
        let other = call.map(|call| End { sender: from.clone(), call });
        if let Some(end) = &other {
            self.pipes.insert(end.clone(), Pipe { other: Some(dialler.clone()), held: VecDeque::new() });
            self.pipes.insert(dialler.clone(), Pipe { other: other.clone(), held: VecDeque::new() });
        }
        self.arrive(&dialler.sender, at, Arrival::Answered { call: dialler.call, other });
    }

    fn write(&mut self, now: Tenths, end: &End, frame: Vec<u8>) {
        let Some(pipe) = self.pipes.get_mut(end) else { return };
        let Some(other) = pipe.other.clone() else { return };
        match self.line(&end.sender.name, &other.sender.name).bytes(now, frame.len()) {
            Some(at) => self.arrive(&other.sender, at, Arrival::Frame { call: other.call, frame }),
            None => {
                if let Some(pipe) = self.pipes.get_mut(end) {
                    pipe.held.push_back(frame);
                }
            }
        }
    }

    fn datagram(&mut self, now: Tenths, from: &Name, to: &Name, bytes: &[u8]) {
        let Some(there) = self.running.get(to).cloned() else { return };
        for at in self.line(from, to).datagram(now, bytes.len()) {
            if self.arrivals.get(&there).is_some_and(|a| a.len() < DATAGRAMS_MOST) {
                self.arrive(&there, at, Arrival::Datagram(bytes.to_vec()));
            }
        }
    }
}

/// One instance on a [`Network`]. Dropping it is a crash.
pub struct Memory {
    talk: Talk,
    network: Network,
    /// The time passed to the last call.
    told: Tenths,
}

impl Memory {
    fn runs(&self, wire: &Wire) -> bool {
        wire.running.get(&self.talk.me().name) == Some(self.talk.me())
    }

    fn carry_out(&mut self, now: Tenths, step: Step) {
        let network = self.network.clone();
        let mut wire = network.wire();
        let end = |call: Call| End { sender: self.talk.me().clone(), call };
        match step {
            Step::Dial { call, address } => match wire.addresses.get(&address).cloned() {
                Some(to) => wire.dial(now, end(call), &to),
                None => wire.arrive(self.talk.me(), now, Arrival::Ended(call)),
            },
            Step::Write { call, frame } => {
                wire.write(now, &end(call), frame);
                self.talk.drained(call);
            }
            Step::Close { call } => wire.hang_up(now, &end(call)),
        }
    }

    fn take(&mut self, now: Tenths, arrival: Arrival) {
        match arrival {
            Arrival::Datagram(bytes) => self.talk.heard_datagram(&bytes),
            Arrival::Dialled(dialler) => {
                let call = self.talk.accepted(now);
                let me = self.talk.me().clone();
                self.network.wire().answer(now, &me, dialler, call);
            }
            Arrival::Answered { call, other: Some(_) } => {
                // The attempt was aborted in the meantime.
                if !self.talk.up(now, call) {
                    self.carry_out(now, Step::Close { call });
                }
            }
            Arrival::Answered { call, other: None } | Arrival::Ended(call) => {
                self.network.wire().pipes.remove(&End { sender: self.talk.me().clone(), call });
                self.talk.ended(now, call);
            }
            Arrival::Frame { call, frame } => self.talk.heard(now, call, &frame),
        }
    }
}

impl Transport for Memory {
    fn me(&self) -> &Sender {
        self.talk.me()
    }

    fn carries(&self, _: Way) -> bool {
        true
    }

    fn meet(&mut self, now: Tenths, peer: &Name, address: SocketAddr) -> Result<(), Refused> {
        self.talk.meet(now, peer, address)
    }

    fn forget(&mut self, now: Tenths, peer: &Name) {
        self.talk.forget(now, peer);
    }

    fn send(&mut self, now: Tenths, to: &Name, way: Way, kind: Kind, body: &[u8]) -> Result<u64, Refused> {
        if let Some(stream) = stream_of(way) {
            return self.talk.send(now, to, stream, kind, body);
        }
        let bytes = self.talk.datagram(to, kind, body)?;
        let mut wire = self.network.wire();
        let address = self.talk.address(to);
        if let Some(there) = address.and_then(|a| wire.addresses.get(&a).cloned())
            && self.runs(&wire)
        {
            wire.datagram(now, &self.talk.me().name, &there, &bytes);
        }
        Ok(0)
    }

    fn poll(&mut self, now: Tenths) -> Option<Event> {
        self.told = now;
        loop {
            let network = self.network.clone();
            if !self.runs(&network.wire()) {
                return None;
            }
            if let Some(event) = self.talk.next_event() {
                return Some(event);
            }
            if let Some(step) = self.talk.next_step(now) {
                self.carry_out(now, step);
                continue;
            }
            if self.talk.has_events() {
                continue;
            }
            let mut wire = network.wire();
            let arrivals = wire.arrivals.get_mut(self.talk.me())?;
            let first = arrivals.first_entry().filter(|e| e.key().0 <= now)?.remove();
            drop(wire);
            self.take(now, first);
        }
    }

    fn wake_at(&self) -> Option<Tenths> {
        let wire = self.network.wire();
        if !self.runs(&wire) {
            return None;
        }
        let arrivals = wire.arrivals.get(self.talk.me());
        let arrival = arrivals.and_then(|a| a.first_key_value()).map(|(key, _)| key.0);
        [arrival, self.talk.wake_at()].into_iter().flatten().min()
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        let mut wire = self.network.wire();
        if self.runs(&wire) {
            let name = self.talk.me().name.clone();
            wire.crash(self.told, &name);
        }
    }
}
