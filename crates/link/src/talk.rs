//! Protocol state of one instance, without I/O: a host reports what arrived, and pulls the actions to carry out and
//! the events to deliver.
//!
//! The sending instance dials: a connection carries messages from the dialling side and acknowledgements from the
//! other side, so the two directions between two instances fail independently.

use crate::dialling::Peer;
use crate::envelope::{Header, Lane, OVERHEAD_MOST, VERSION, decode, encode};
use crate::listening::{Heard, Listening, Speaker};
use crate::message::{Event, Kind, Kinds, Name, Refused, Sender, StreamId, Tenths, Unread, Way, Why};
use crate::redial::{Backoff, Redial};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Limits of an instance's messaging. Times in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a datagram, envelope included, in bytes.
    pub datagram: usize,
    /// Maximum size of a stream message's body, in bytes.
    pub message: usize,
    /// Maximum of accepted and unacknowledged bytes on one stream; each message counts 64 bytes beside its body.
    pub stream_bytes: usize,
    /// The same limit over all streams to one peer.
    pub peer_bytes: usize,
    /// Bytes that may be passed to a connection before its socket has accepted all of the earlier ones.
    pub ahead: usize,
    pub streams: usize,
    /// Maximum number of peers added, and of names that have connected to this instance.
    pub peers: usize,
    /// Maximum number of inbound connections open at once.
    pub calls: usize,
    /// Acknowledgement timeout: a stream breaks when none of its messages is acknowledged for this long.
    pub patience: Tenths,
    /// Idle timeout: a connection without messages is closed by its dialling side after this long, by the other
    /// side after twice this.
    pub idle: Tenths,
    pub backoff: Backoff,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            datagram: 1_200,
            message: 256 * 1_024,
            stream_bytes: 1_024 * 1_024,
            peer_bytes: 4 * 1_024 * 1_024,
            ahead: 256 * 1_024,
            streams: 64,
            peers: 8_192,
            calls: 2_048,
            patience: 50_000,
            idle: 300_000,
            backoff: Backoff::default(),
        }
    }
}

/// Maximum size of a datagram's envelope: prefix, two names, incarnation, kind, lane.
pub(crate) const DATAGRAM_OVERHEAD: usize = 119;

/// Identifies one connection, inbound or outbound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Call(pub(crate) u64);

/// What the host has to carry out.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Dial { call: Call, address: SocketAddr },
    Write { call: Call, frame: Vec<u8> },
    Close { call: Call },
}

/// A peer or a connection that may have an action to carry out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Duty {
    Peer(Name),
    Call(Call),
}

enum Side {
    Dialled(Name),
    Listened(Box<Listening>),
}

pub(crate) struct Talk {
    me: Sender,
    kinds: Kinds,
    bounds: Bounds,
    peers: BTreeMap<Name, Peer>,
    calls: BTreeMap<Call, Side>,
    listened: usize,
    next_call: u64,
    /// First sequence number of new streams.
    first_number: u64,
    /// Per peer that connected to this instance: its latest handshake, and that connection if it is still open.
    speakers: BTreeMap<Name, (Speaker, Option<Call>)>,
    busy: BTreeSet<Duty>,
    timers: BTreeSet<(Tenths, Duty)>,
    wakes: BTreeMap<Duty, Tenths>,
    /// Actions not yet pulled: for each connection its close, and replies within the bound on bytes passed to it.
    steps: VecDeque<Step>,
    /// Events not yet returned; for a message also the connection on which it arrived.
    events: VecDeque<(Option<Call>, Event)>,
    chance: WyRand,
}

impl Talk {
    pub(crate) fn new(me: Sender, kinds: Kinds, bounds: Bounds, seed: u64) -> Talk {
        Talk {
            me,
            kinds,
            bounds,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            listened: 0,
            next_call: 0,
            first_number: 1,
            speakers: BTreeMap::new(),
            busy: BTreeSet::new(),
            timers: BTreeSet::new(),
            wakes: BTreeMap::new(),
            steps: VecDeque::new(),
            events: VecDeque::new(),
            chance: WyRand::new_seed(seed),
        }
    }

    pub(crate) fn me(&self) -> &Sender {
        &self.me
    }

    pub(crate) fn address(&self, peer: &Name) -> Option<SocketAddr> {
        self.peers.get(peer).map(|p| p.address)
    }

    /// Whether events have to be returned before more is read.
    pub(crate) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    pub(crate) fn meet(&mut self, now: Tenths, name: &Name, address: SocketAddr) -> Result<(), Refused> {
        if self.peers.get(name).is_some_and(|p| p.address == address) {
            return Ok(());
        }
        if !self.peers.contains_key(name) && self.peers.len() >= self.bounds.peers {
            return Err(Refused::TooMany { bound: self.bounds.peers });
        }
        self.part(now, name);
        let redial = Redial::new(self.bounds.backoff, self.chance.generate());
        match self.peers.get_mut(name) {
            // Danger: without continuing the sequence numbers, the peer's next epoch would look older
            // than its last one.
            Some(peer) => peer.moved(address, redial),
            None => {
                self.peers.insert(name.clone(), Peer::new(name.clone(), address, redial, self.first_number));
            }
        }
        Ok(())
    }

    pub(crate) fn forget(&mut self, now: Tenths, name: &Name) {
        self.part(now, name);
        // Danger: without this, a peer that is added again would mistake the first messages for earlier ones.
        let unused = self.peers.remove(name).map_or(0, |p| p.unused_number());
        self.first_number = self.first_number.max(unused);
        self.rest(&Duty::Peer(name.clone()));
    }

    fn part(&mut self, now: Tenths, name: &Name) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let mut told = Vec::new();
        let call = peer.call();
        let step = peer.left(now, &mut told);
        self.events.extend(told.into_iter().map(|e| (None, e)));
        self.steps.extend(step);
        if let Some(call) = call {
            self.calls.remove(&call);
        }
    }

    /// Encodes a datagram.
    pub(crate) fn datagram(&self, to: &Name, kind: Kind, body: &[u8]) -> Result<Vec<u8>, Refused> {
        self.sendable(to, kind, body, self.bounds.datagram.saturating_sub(DATAGRAM_OVERHEAD))?;
        Ok(encode(&self.header(to.as_str(), kind, Lane::Datagram), body))
    }

    fn sendable(&self, to: &Name, kind: Kind, body: &[u8], bound: usize) -> Result<(), Refused> {
        if !self.peers.contains_key(to) {
            return Err(Refused::NotMet(to.clone()));
        }
        if self.kinds.name(kind).is_none() {
            return Err(Refused::Kind(kind));
        }
        if body.len() > bound {
            return Err(Refused::TooLong { length: body.len(), bound });
        }
        Ok(())
    }

    fn header<'a>(&'a self, to: &'a str, kind: Kind, lane: Lane) -> Header<'a> {
        Header { from: self.me.name.as_str(), incarnation: self.me.incarnation, to, kind, lane }
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        stream: StreamId,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, Refused> {
        self.sendable(to, kind, body, self.bounds.message)?;
        let peer = self.peers.get_mut(to).ok_or_else(|| Refused::NotMet(to.clone()))?;
        let number = peer.send(now, stream, kind, body, &self.bounds)?;
        self.busy.insert(Duty::Peer(to.clone()));
        Ok(number)
    }

    /// Maximum size of a frame on a connection, in bytes.
    pub(crate) fn frame_most(&self) -> usize {
        self.bounds.message + OVERHEAD_MOST
    }

    /// Registers an inbound connection. None at the bound: the host closes the connection.
    pub(crate) fn accepted(&mut self, now: Tenths) -> Option<Call> {
        if self.listened >= self.bounds.calls {
            self.tell(Event::Unread { from: None, why: Unread::Full });
            return None;
        }
        let call = Call(self.next_call);
        self.next_call += 1;
        self.listened += 1;
        self.calls.insert(call, Side::Listened(Box::new(Listening::new(now))));
        self.busy.insert(Duty::Call(call));
        Some(call)
    }

    /// An outbound connection was established. False: it is no longer needed.
    pub(crate) fn up(&mut self, now: Tenths, call: Call) -> bool {
        let Some(Side::Dialled(name)) = self.calls.get(&call) else { return false };
        let Some(peer) = self.peers.get_mut(name) else { return false };
        peer.up(now);
        self.busy.insert(Duty::Peer(name.clone()));
        true
    }

    /// The connection's socket has accepted all bytes passed to it.
    pub(crate) fn drained(&mut self, call: Call) {
        match self.calls.get_mut(&call) {
            Some(Side::Dialled(name)) => {
                if let Some(peer) = self.peers.get_mut(name) {
                    peer.drained();
                    self.busy.insert(Duty::Peer(name.clone()));
                }
            }
            Some(Side::Listened(listening)) => {
                listening.ahead = 0;
                self.busy.insert(Duty::Call(call));
            }
            None => {}
        }
    }

    /// The connection ended, or could not be established.
    pub(crate) fn ended(&mut self, now: Tenths, call: Call) {
        self.ended_because(now, call, Why::Lost);
    }

    fn ended_because(&mut self, now: Tenths, call: Call, why: Why) {
        match self.calls.remove(&call) {
            Some(Side::Dialled(name)) => {
                let mut told = Vec::new();
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.ended(now, why, &mut told);
                }
                self.events.extend(told.into_iter().map(|e| (None, e)));
                self.busy.insert(Duty::Peer(name));
            }
            Some(Side::Listened(listening)) => self.forget_listening(call, &listening),
            None => {}
        }
    }

    fn forget_listening(&mut self, call: Call, listening: &Listening) {
        self.listened -= 1;
        self.rest(&Duty::Call(call));
        if let Some(speaker) = &listening.speaker
            && let Some((_, latest)) = self.speakers.get_mut(&speaker.name)
            && *latest == Some(call)
        {
            *latest = None;
        }
    }

    fn rest(&mut self, duty: &Duty) {
        self.busy.remove(duty);
        if let Some(at) = self.wakes.remove(duty) {
            self.timers.remove(&(at, duty.clone()));
        }
    }

    fn tell(&mut self, event: Event) {
        self.events.push_back((None, event));
    }

    /// Handles a received datagram.
    pub(crate) fn heard_datagram(&mut self, bytes: &[u8]) {
        let event = self.read_datagram(bytes).unwrap_or_else(|(from, why)| Event::Unread { from, why });
        self.tell(event);
    }

    fn read_datagram(&self, bytes: &[u8]) -> Result<Event, (Option<Name>, Unread)> {
        let (length, bound) = (bytes.len(), self.bounds.datagram);
        if length > bound {
            return Err((None, Unread::TooLong { length: length as u64, bound: bound as u64 }));
        }
        let (header, body) = decode(bytes).map_err(|why| (None, why))?;
        let name = Name::new(header.from).ok_or((None, Unread::Malformed))?;
        let refuse = |why| Err((Some(name.clone()), why));
        if header.to != self.me.name.as_str() {
            return refuse(Unread::NotMine(header.to.to_owned()));
        }
        if header.lane != Lane::Datagram {
            return refuse(Unread::OutOfOrder);
        }
        if self.kinds.name(header.kind).is_none() {
            return refuse(Unread::Kind(header.kind));
        }
        let from = Sender { name, incarnation: header.incarnation };
        Ok(Event::Datagram { from, kind: header.kind, body: body.to_vec() })
    }

    /// Handles a frame received on a connection.
    pub(crate) fn heard(&mut self, now: Tenths, call: Call, frame: &[u8]) {
        // A peer that refuses bytes it cannot read does not know the sender's name, so its refusal names no
        // receiver.
        let unnamed = |h: &Header<'_>| h.to.is_empty() && matches!(h.lane, Lane::Refusal { .. });
        let read = decode(frame).and_then(|(header, body)| {
            match header.to == self.me.name.as_str() || unnamed(&header) {
                true => Ok((header, body)),
                false => Err(Unread::NotMine(header.to.to_owned())),
            }
        });
        match (self.calls.get_mut(&call), read) {
            (Some(Side::Dialled(name)), Ok((header, _))) => {
                let name = name.clone();
                self.heard_back(now, call, name, header.lane);
            }
            (Some(Side::Dialled(name)), Err(why)) => {
                let from = Some(name.clone());
                self.tell(Event::Unread { from, why });
                self.close(now, call, Why::Lost);
            }
            (Some(Side::Listened(listening)), Ok((header, body))) => {
                let heard = listening.hear(now, &header, &self.kinds, self.bounds.streams);
                let from = listening.speaker.as_ref().map(|s| s.name.clone());
                match heard {
                    Heard::Greeting(speaker) => self.greeted(now, call, speaker),
                    Heard::Message { stream, epoch, number } => {
                        let Some(name) = from else { return };
                        let from = Sender { name, incarnation: header.incarnation };
                        let (kind, body) = (header.kind, body.to_vec());
                        let event = Event::Message { from, stream, epoch, number, kind, body };
                        self.events.push_back((Some(call), event));
                    }
                    Heard::RefuseStream { stream, epoch, why } => {
                        self.refuse(now, call, from, Some((stream, epoch)), why);
                    }
                    Heard::RefuseAll(why) => self.refuse_all(now, call, from, why),
                    Heard::Nothing => {}
                }
            }
            (Some(Side::Listened(listening)), Err(why)) => {
                if !listening.refused {
                    let from = listening.speaker.as_ref().map(|s| s.name.clone());
                    self.refuse_all(now, call, from, why);
                }
            }
            (None, _) => {}
        }
    }

    /// Handles a frame whose announced length is over the bound.
    pub(crate) fn heard_too_long(&mut self, now: Tenths, call: Call, length: u64) {
        let why = Unread::TooLong { length, bound: self.frame_most() as u64 };
        match self.calls.get(&call) {
            Some(Side::Listened(listening)) if !listening.refused => {
                let from = listening.speaker.as_ref().map(|s| s.name.clone());
                self.refuse_all(now, call, from, why);
            }
            Some(Side::Dialled(name)) => {
                let from = Some(name.clone());
                self.tell(Event::Unread { from, why });
                self.close(now, call, Why::Lost);
            }
            _ => {}
        }
    }

    fn heard_back(&mut self, now: Tenths, call: Call, name: Name, lane: Lane) {
        let Some(peer) = self.peers.get_mut(&name).filter(|p| p.call() == Some(call)) else { return };
        match lane {
            Lane::Acknowledged { stream, epoch, number } => {
                if let Some(event) = peer.acknowledged(now, stream, epoch, number) {
                    self.tell(event);
                }
                self.busy.insert(Duty::Peer(name));
            }
            Lane::Refusal { stream: Some((stream, epoch)), why } => {
                if let Some(event) = peer.refused(stream, epoch, why) {
                    self.tell(event);
                }
                self.busy.insert(Duty::Peer(name));
            }
            Lane::Refusal { stream: None, why } => self.close(now, call, Why::Refused(why)),
            Lane::Datagram | Lane::Hello { .. } | Lane::Stream { .. } => {
                self.tell(Event::Unread { from: Some(name), why: Unread::OutOfOrder });
                self.close(now, call, Why::Lost);
            }
        }
    }

    fn close(&mut self, now: Tenths, call: Call, why: Why) {
        self.ended_because(now, call, why);
        self.steps.push_back(Step::Close { call });
    }

    /// Handles a handshake: the peer's earlier connections are closed.
    fn greeted(&mut self, now: Tenths, call: Call, speaker: Speaker) {
        let name = speaker.name.clone();
        let order = |s: &Speaker| (s.incarnation, s.dial);
        let before = self.speakers.get(&name).map(|(s, latest)| (order(s), *latest));
        if before.is_some_and(|(last, _)| last >= order(&speaker)) {
            return self.refuse_all(now, call, Some(name), Unread::Stale);
        }
        if before.is_none() && self.speakers.len() >= self.bounds.peers {
            // Danger: a client can invent any number of names, so only a name without an open connection
            // is evicted to make room.
            let gone = self.speakers.iter().find(|(_, (_, latest))| latest.is_none()).map(|(n, _)| n.clone());
            match gone {
                Some(gone) => self.speakers.remove(&gone),
                None => return self.refuse_all(now, call, Some(name), Unread::Full),
            };
        }
        // Danger: without this, messages still in flight on the older connection would arrive after those
        // sent on this one.
        if let Some((_, Some(older))) = before {
            self.close(now, older, Why::Lost);
        }
        if let Some(Side::Listened(listening)) = self.calls.get_mut(&call) {
            listening.speaker = Some(speaker.clone());
        }
        self.speakers.insert(name, (speaker, Some(call)));
    }

    fn refuse_all(&mut self, now: Tenths, call: Call, from: Option<Name>, why: Unread) {
        if let Some(Side::Listened(listening)) = self.calls.get_mut(&call) {
            listening.refused = true;
        }
        self.refuse(now, call, from, None, why);
    }

    fn refuse(
        &mut self,
        now: Tenths,
        call: Call,
        from: Option<Name>,
        stream: Option<(StreamId, u64)>,
        why: Unread,
    ) {
        let to = from.as_ref().map_or("", Name::as_str);
        let frame = encode(&self.header(to, 0, Lane::Refusal { stream, why: why.clone() }), &[]);
        if let Some(Side::Listened(listening)) = self.calls.get_mut(&call) {
            listening.ahead += frame.len();
            // Danger: without this bound, replies to a peer that provokes refusals and never reads them
            // would accumulate here.
            match listening.ahead > self.bounds.ahead {
                true => self.close(now, call, Why::Lost),
                false => self.steps.push_back(Step::Write { call, frame }),
            }
        }
        self.tell(Event::Unread { from, why });
    }

    /// Returns the next event. A message counts as delivered by this.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let (call, event) = self.events.pop_front()?;
        if let (Some(call), Event::Message { stream, epoch, number, .. }) = (call, &event)
            && let Some(Side::Listened(listening)) = self.calls.get_mut(&call)
            && listening.handed(*stream, *epoch, *number)
        {
            self.busy.insert(Duty::Call(call));
        }
        Some(event)
    }

    /// Returns the next action, or None when there is none.
    pub(crate) fn next_step(&mut self, now: Tenths) -> Option<Step> {
        if let Some(step) = self.steps.pop_front() {
            return Some(step);
        }
        while let Some((at, duty)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, duty));
                break;
            }
            self.wakes.remove(&duty);
            self.busy.insert(duty);
        }
        while let Some(duty) = self.busy.first().cloned() {
            let (step, wake) = match &duty {
                Duty::Peer(name) => self.peer_step(now, name),
                Duty::Call(call) => self.call_step(now, *call),
            };
            if step.is_some() {
                return step;
            }
            self.rest(&duty);
            if let Some(at) = wake {
                self.wakes.insert(duty.clone(), at);
                self.timers.insert((at, duty));
            }
        }
        None
    }

    fn peer_step(&mut self, now: Tenths, name: &Name) -> (Option<Step>, Option<Tenths>) {
        let Some(peer) = self.peers.get_mut(name) else { return (None, None) };
        let mut told = Vec::new();
        let step = peer.next_step(now, &self.me, &self.bounds, &mut self.next_call, &mut told);
        let wake = peer.wake_at(&self.bounds);
        self.events.extend(told.into_iter().map(|e| (None, e)));
        match &step {
            Some(Step::Dial { call, .. }) => {
                self.calls.insert(*call, Side::Dialled(name.clone()));
            }
            Some(Step::Close { call }) => {
                self.calls.remove(call);
            }
            _ => {}
        }
        (step, wake)
    }

    fn call_step(&mut self, now: Tenths, call: Call) -> (Option<Step>, Option<Tenths>) {
        let Some(Side::Listened(listening)) = self.calls.get_mut(&call) else { return (None, None) };
        let known = listening.speaker.is_some() && !listening.refused;
        let until = listening.heard + if known { 2 * self.bounds.idle } else { self.bounds.patience };
        if now >= until {
            self.ended(now, call);
            return (Some(Step::Close { call }), None);
        }
        // Danger: without this bound, acknowledgements to a peer that sends and never reads would accumulate
        // here.
        if listening.ahead >= self.bounds.ahead {
            return (None, Some(until));
        }
        let Some((stream, epoch, number)) = listening.owed() else { return (None, Some(until)) };
        let to = listening.speaker.as_ref().map(|s| s.name.clone());
        let lane = Lane::Acknowledged { stream, epoch, number };
        let frame = encode(&self.header(to.as_ref().map_or("", Name::as_str), 0, lane), &[]);
        if let Some(Side::Listened(listening)) = self.calls.get_mut(&call) {
            listening.ahead += frame.len();
        }
        (Some(Step::Write { call, frame }), None)
    }

    /// When an action is due even if nothing arrives. `Tenths::MIN` means at once.
    pub(crate) fn wake_at(&self) -> Option<Tenths> {
        if !self.busy.is_empty() || !self.steps.is_empty() || !self.events.is_empty() {
            return Some(Tenths::MIN);
        }
        self.timers.first().map(|(at, _)| *at)
    }
}

const _: () = assert!(VERSION == 1, "a new version needs a refusal that the old one can read");

/// Returns the stream's number, or None for datagrams.
pub(crate) fn stream_of(way: Way) -> Option<StreamId> {
    match way {
        Way::Stream(id) => Some(id),
        Way::Datagram => None,
    }
}
