//! Protocol state of one instance, without I/O: a host reports what arrived, and pulls the actions to carry out and
//! the events to deliver.
//!
//! The sending instance dials: a connection carries messages from the dialling side and acknowledgements from the
//! other side, so the two directions between two instances fail independently.

use crate::dialling::Peer;
use crate::envelope::{FrameType, Header, MAX_OVERHEAD, VERSION, decode, encode};
use crate::listening::{FrameResult, InboundConnection, PeerIdentity};
use crate::message::{
    BreakReason, Channel, Event, Kind, Kinds, Name, RejectReason, SendError, Sender, StreamId, Tenths,
};
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
    pub unsent_bytes: usize,
    pub streams: usize,
    /// Maximum number of peers added, and of names that have connected to this instance.
    pub peers: usize,
    /// Maximum number of inbound connections open at once.
    pub inbound_connections: usize,
    /// Acknowledgement timeout: a stream breaks when none of its messages is acknowledged for this long.
    pub ack_timeout: Tenths,
    /// Idle timeout: a connection without messages is closed by its dialling side after this long, by the other
    /// side after twice this.
    pub idle_timeout: Tenths,
    pub backoff: Backoff,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            datagram: 1_200,
            message: 256 * 1_024,
            stream_bytes: 1_024 * 1_024,
            peer_bytes: 4 * 1_024 * 1_024,
            unsent_bytes: 256 * 1_024,
            streams: 64,
            peers: 8_192,
            inbound_connections: 2_048,
            ack_timeout: 50_000,
            idle_timeout: 300_000,
            backoff: Backoff::default(),
        }
    }
}

/// Maximum size of a datagram's envelope: prefix, two names, incarnation, kind, frame type.
pub(crate) const DATAGRAM_OVERHEAD: usize = 119;

/// Identifies one connection, inbound or outbound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// What the host has to carry out.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Dial { conn: ConnectionId, address: SocketAddr },
    Write { conn: ConnectionId, frame: Vec<u8> },
    Close { conn: ConnectionId },
}

/// A peer or a connection that may have an action to carry out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkItem {
    Peer(Name),
    Connection(ConnectionId),
}

enum Connection {
    Outbound(Name),
    Inbound(Box<InboundConnection>),
}

pub(crate) struct Endpoint {
    me: Sender,
    kinds: Kinds,
    bounds: Bounds,
    peers: BTreeMap<Name, Peer>,
    connections: BTreeMap<ConnectionId, Connection>,
    inbound_count: usize,
    next_connection_id: u64,
    /// First sequence number of new streams.
    first_number: u64,
    /// Per peer that connected to this instance: its latest handshake, and that connection if it is still open.
    inbound_peers: BTreeMap<Name, (PeerIdentity, Option<ConnectionId>)>,
    runnable: BTreeSet<WorkItem>,
    timers: BTreeSet<(Tenths, WorkItem)>,
    deadlines: BTreeMap<WorkItem, Tenths>,
    /// Actions not yet pulled: for each connection its close, and replies within the bound on bytes passed to it.
    actions: VecDeque<Action>,
    /// Events not yet returned; for a message also the connection on which it arrived.
    events: VecDeque<(Option<ConnectionId>, Event)>,
    rng: WyRand,
}

impl Endpoint {
    pub(crate) fn new(me: Sender, kinds: Kinds, bounds: Bounds, seed: u64) -> Endpoint {
        Endpoint {
            me,
            kinds,
            bounds,
            peers: BTreeMap::new(),
            connections: BTreeMap::new(),
            inbound_count: 0,
            next_connection_id: 0,
            first_number: 1,
            inbound_peers: BTreeMap::new(),
            runnable: BTreeSet::new(),
            timers: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            actions: VecDeque::new(),
            events: VecDeque::new(),
            rng: WyRand::new_seed(seed),
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

    pub(crate) fn add_peer(
        &mut self,
        now: Tenths,
        name: &Name,
        address: SocketAddr,
    ) -> Result<(), SendError> {
        if self.peers.get(name).is_some_and(|p| p.address == address) {
            return Ok(());
        }
        if !self.peers.contains_key(name) && self.peers.len() >= self.bounds.peers {
            return Err(SendError::TooMany { bound: self.bounds.peers });
        }
        self.disconnect(now, name);
        let redial = Redial::new(self.bounds.backoff, self.rng.generate());
        match self.peers.get_mut(name) {
            // Danger: without continuing the sequence numbers, the peer's next epoch would look older
            // than its last one.
            Some(peer) => peer.set_address(address, redial),
            None => {
                self.peers.insert(name.clone(), Peer::new(name.clone(), address, redial, self.first_number));
            }
        }
        Ok(())
    }

    pub(crate) fn remove_peer(&mut self, now: Tenths, name: &Name) {
        self.disconnect(now, name);
        // Danger: without this, a peer that is added again would take the first messages for ones sent before.
        let unused = self.peers.remove(name).map_or(0, |p| p.unused_number());
        self.first_number = self.first_number.max(unused);
        self.unschedule(&WorkItem::Peer(name.clone()));
    }

    fn disconnect(&mut self, now: Tenths, name: &Name) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let mut new_events = Vec::new();
        let conn = peer.conn();
        let action = peer.detach(now, &mut new_events);
        self.events.extend(new_events.into_iter().map(|e| (None, e)));
        self.actions.extend(action);
        if let Some(conn) = conn {
            self.connections.remove(&conn);
        }
    }

    /// Encodes a datagram.
    pub(crate) fn datagram(&self, to: &Name, kind: Kind, body: &[u8]) -> Result<Vec<u8>, SendError> {
        self.check_sendable(to, kind, body, self.bounds.datagram.saturating_sub(DATAGRAM_OVERHEAD))?;
        Ok(encode(&self.header(to.as_str(), kind, FrameType::Datagram), body))
    }

    fn check_sendable(&self, to: &Name, kind: Kind, body: &[u8], bound: usize) -> Result<(), SendError> {
        if !self.peers.contains_key(to) {
            return Err(SendError::UnknownPeer(to.clone()));
        }
        if self.kinds.name(kind).is_none() {
            return Err(SendError::UnknownKind(kind));
        }
        if body.len() > bound {
            return Err(SendError::TooLong { length: body.len(), bound });
        }
        Ok(())
    }

    fn header<'a>(&'a self, to: &'a str, kind: Kind, frame_type: FrameType) -> Header<'a> {
        Header { from: self.me.name.as_str(), incarnation: self.me.incarnation, to, kind, frame_type }
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        to: &Name,
        stream: StreamId,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError> {
        self.check_sendable(to, kind, body, self.bounds.message)?;
        let peer = self.peers.get_mut(to).ok_or_else(|| SendError::UnknownPeer(to.clone()))?;
        let number = peer.send(now, stream, kind, body, &self.bounds)?;
        self.runnable.insert(WorkItem::Peer(to.clone()));
        Ok(number)
    }

    /// Maximum size of a frame on a connection, in bytes.
    pub(crate) fn max_frame_bytes(&self) -> usize {
        self.bounds.message + MAX_OVERHEAD
    }

    /// Registers an inbound connection. None at the bound: the host closes the connection.
    pub(crate) fn accepted(&mut self, now: Tenths) -> Option<ConnectionId> {
        if self.inbound_count >= self.bounds.inbound_connections {
            self.push_event(Event::Rejected { from: None, why: RejectReason::Full });
            return None;
        }
        let conn = ConnectionId(self.next_connection_id);
        self.next_connection_id += 1;
        self.inbound_count += 1;
        self.connections.insert(conn, Connection::Inbound(Box::new(InboundConnection::new(now))));
        self.runnable.insert(WorkItem::Connection(conn));
        Some(conn)
    }

    /// An outbound connection was established. False: it is no longer needed.
    pub(crate) fn connected(&mut self, now: Tenths, conn: ConnectionId) -> bool {
        let Some(Connection::Outbound(name)) = self.connections.get(&conn) else { return false };
        let Some(peer) = self.peers.get_mut(name) else { return false };
        peer.connected(now);
        self.runnable.insert(WorkItem::Peer(name.clone()));
        true
    }

    /// The connection's socket has accepted all bytes passed to it.
    pub(crate) fn flushed(&mut self, conn: ConnectionId) {
        match self.connections.get_mut(&conn) {
            Some(Connection::Outbound(name)) => {
                if let Some(peer) = self.peers.get_mut(name) {
                    peer.flushed();
                    self.runnable.insert(WorkItem::Peer(name.clone()));
                }
            }
            Some(Connection::Inbound(inbound)) => {
                inbound.unsent_bytes = 0;
                self.runnable.insert(WorkItem::Connection(conn));
            }
            None => {}
        }
    }

    /// The connection ended, or could not be established.
    pub(crate) fn disconnected(&mut self, now: Tenths, conn: ConnectionId) {
        self.disconnected_because(now, conn, BreakReason::ConnectionLost);
    }

    fn disconnected_because(&mut self, now: Tenths, conn: ConnectionId, why: BreakReason) {
        match self.connections.remove(&conn) {
            Some(Connection::Outbound(name)) => {
                let mut new_events = Vec::new();
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.disconnected(now, why, &mut new_events);
                }
                self.events.extend(new_events.into_iter().map(|e| (None, e)));
                self.runnable.insert(WorkItem::Peer(name));
            }
            Some(Connection::Inbound(inbound)) => self.remove_inbound(conn, &inbound),
            None => {}
        }
    }

    fn remove_inbound(&mut self, conn: ConnectionId, inbound: &InboundConnection) {
        self.inbound_count -= 1;
        self.unschedule(&WorkItem::Connection(conn));
        if let Some(identity) = &inbound.identity
            && let Some((_, latest)) = self.inbound_peers.get_mut(&identity.name)
            && *latest == Some(conn)
        {
            *latest = None;
        }
    }

    fn unschedule(&mut self, work_item: &WorkItem) {
        self.runnable.remove(work_item);
        if let Some(at) = self.deadlines.remove(work_item) {
            self.timers.remove(&(at, work_item.clone()));
        }
    }

    fn push_event(&mut self, event: Event) {
        self.events.push_back((None, event));
    }

    /// Handles a received datagram.
    pub(crate) fn datagram_received(&mut self, bytes: &[u8]) {
        let event = self.read_datagram(bytes).unwrap_or_else(|(from, why)| Event::Rejected { from, why });
        self.push_event(event);
    }

    fn read_datagram(&self, bytes: &[u8]) -> Result<Event, (Option<Name>, RejectReason)> {
        let (length, bound) = (bytes.len(), self.bounds.datagram);
        if length > bound {
            return Err((None, RejectReason::TooLong { length: length as u64, bound: bound as u64 }));
        }
        let (header, body) = decode(bytes).map_err(|why| (None, why))?;
        let name = Name::new(header.from).ok_or((None, RejectReason::Malformed))?;
        let refuse = |why| Err((Some(name.clone()), why));
        if header.to != self.me.name.as_str() {
            return refuse(RejectReason::WrongReceiver(header.to.to_owned()));
        }
        if header.frame_type != FrameType::Datagram {
            return refuse(RejectReason::OutOfOrder);
        }
        if self.kinds.name(header.kind).is_none() {
            return refuse(RejectReason::UnknownKind(header.kind));
        }
        let from = Sender { name, incarnation: header.incarnation };
        Ok(Event::Datagram { from, kind: header.kind, body: body.to_vec() })
    }

    /// Handles a frame received on a connection.
    pub(crate) fn frame_received(&mut self, now: Tenths, conn: ConnectionId, frame: &[u8]) {
        // A peer that refuses bytes it cannot read does not know the sender's name, so its refusal names no
        // receiver.
        let without_receiver =
            |h: &Header<'_>| h.to.is_empty() && matches!(h.frame_type, FrameType::Refusal { .. });
        let read = decode(frame).and_then(|(header, body)| {
            match header.to == self.me.name.as_str() || without_receiver(&header) {
                true => Ok((header, body)),
                false => Err(RejectReason::WrongReceiver(header.to.to_owned())),
            }
        });
        match (self.connections.get_mut(&conn), read) {
            (Some(Connection::Outbound(name)), Ok((header, _))) => {
                let name = name.clone();
                self.reply_received(now, conn, name, header.frame_type);
            }
            (Some(Connection::Outbound(name)), Err(why)) => {
                let from = Some(name.clone());
                self.push_event(Event::Rejected { from, why });
                self.close(now, conn, BreakReason::ConnectionLost);
            }
            (Some(Connection::Inbound(inbound)), Ok((header, body))) => {
                let result = inbound.receive(now, &header, &self.kinds, self.bounds.streams);
                let from = inbound.identity.as_ref().map(|s| s.name.clone());
                match result {
                    FrameResult::Handshake(identity) => self.handshake_received(now, conn, identity),
                    FrameResult::Message { stream, epoch, number } => {
                        let Some(name) = from else { return };
                        let from = Sender { name, incarnation: header.incarnation };
                        let (kind, body) = (header.kind, body.to_vec());
                        let event = Event::Message { from, stream, epoch, number, kind, body };
                        self.events.push_back((Some(conn), event));
                    }
                    FrameResult::RefuseStream { stream, epoch, why } => {
                        self.refuse(now, conn, from, Some((stream, epoch)), why);
                    }
                    FrameResult::RefuseConnection(why) => self.refuse_connection(now, conn, from, why),
                    FrameResult::Ignored => {}
                }
            }
            (Some(Connection::Inbound(inbound)), Err(why)) => {
                if !inbound.refused {
                    let from = inbound.identity.as_ref().map(|s| s.name.clone());
                    self.refuse_connection(now, conn, from, why);
                }
            }
            (None, _) => {}
        }
    }

    /// Handles a frame whose announced length is over the bound.
    pub(crate) fn oversized_frame_received(&mut self, now: Tenths, conn: ConnectionId, length: u64) {
        let why = RejectReason::TooLong { length, bound: self.max_frame_bytes() as u64 };
        match self.connections.get(&conn) {
            Some(Connection::Inbound(inbound)) if !inbound.refused => {
                let from = inbound.identity.as_ref().map(|s| s.name.clone());
                self.refuse_connection(now, conn, from, why);
            }
            Some(Connection::Outbound(name)) => {
                let from = Some(name.clone());
                self.push_event(Event::Rejected { from, why });
                self.close(now, conn, BreakReason::ConnectionLost);
            }
            _ => {}
        }
    }

    fn reply_received(&mut self, now: Tenths, conn: ConnectionId, name: Name, frame_type: FrameType) {
        let Some(peer) = self.peers.get_mut(&name).filter(|p| p.conn() == Some(conn)) else { return };
        match frame_type {
            FrameType::Acknowledged { stream, epoch, number } => {
                if let Some(event) = peer.acknowledged(now, stream, epoch, number) {
                    self.push_event(event);
                }
                self.runnable.insert(WorkItem::Peer(name));
            }
            FrameType::Refusal { stream: Some((stream, epoch)), why } => {
                if let Some(event) = peer.refused(stream, epoch, why) {
                    self.push_event(event);
                }
                self.runnable.insert(WorkItem::Peer(name));
            }
            FrameType::Refusal { stream: None, why } => self.close(now, conn, BreakReason::Rejected(why)),
            FrameType::Datagram | FrameType::Hello { .. } | FrameType::Stream { .. } => {
                self.push_event(Event::Rejected { from: Some(name), why: RejectReason::OutOfOrder });
                self.close(now, conn, BreakReason::ConnectionLost);
            }
        }
    }

    fn close(&mut self, now: Tenths, conn: ConnectionId, why: BreakReason) {
        self.disconnected_because(now, conn, why);
        self.actions.push_back(Action::Close { conn });
    }

    /// Handles a handshake: the peer's earlier connections are closed.
    fn handshake_received(&mut self, now: Tenths, conn: ConnectionId, identity: PeerIdentity) {
        let name = identity.name.clone();
        let order = |s: &PeerIdentity| (s.incarnation, s.connection_number);
        let before = self.inbound_peers.get(&name).map(|(s, latest)| (order(s), *latest));
        if before.is_some_and(|(last, _)| last >= order(&identity)) {
            return self.refuse_connection(now, conn, Some(name), RejectReason::StaleConnection);
        }
        if before.is_none() && self.inbound_peers.len() >= self.bounds.peers {
            // Danger: a client can invent any number of names, so only a name without an open connection
            // is evicted to make room.
            let evicted =
                self.inbound_peers.iter().find(|(_, (_, latest))| latest.is_none()).map(|(n, _)| n.clone());
            match evicted {
                Some(evicted) => self.inbound_peers.remove(&evicted),
                None => return self.refuse_connection(now, conn, Some(name), RejectReason::Full),
            };
        }
        // Danger: without this, messages still in flight on the older connection would arrive after those
        // sent on this one.
        if let Some((_, Some(older))) = before {
            self.close(now, older, BreakReason::ConnectionLost);
        }
        if let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn) {
            inbound.identity = Some(identity.clone());
        }
        self.inbound_peers.insert(name, (identity, Some(conn)));
    }

    fn refuse_connection(&mut self, now: Tenths, conn: ConnectionId, from: Option<Name>, why: RejectReason) {
        if let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn) {
            inbound.refused = true;
        }
        self.refuse(now, conn, from, None, why);
    }

    fn refuse(
        &mut self,
        now: Tenths,
        conn: ConnectionId,
        from: Option<Name>,
        stream: Option<(StreamId, u64)>,
        why: RejectReason,
    ) {
        let to = from.as_ref().map_or("", Name::as_str);
        let frame = encode(&self.header(to, 0, FrameType::Refusal { stream, why: why.clone() }), &[]);
        if let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn) {
            inbound.unsent_bytes += frame.len();
            // Danger: without this bound, replies to a peer that provokes refusals and never reads them
            // would accumulate here.
            match inbound.unsent_bytes > self.bounds.unsent_bytes {
                true => self.close(now, conn, BreakReason::ConnectionLost),
                false => self.actions.push_back(Action::Write { conn, frame }),
            }
        }
        self.push_event(Event::Rejected { from, why });
    }

    /// Returns the next event. A message counts as delivered by this.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let (conn, event) = self.events.pop_front()?;
        if let (Some(conn), Event::Message { stream, epoch, number, .. }) = (conn, &event)
            && let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn)
            && inbound.delivered(*stream, *epoch, *number)
        {
            self.runnable.insert(WorkItem::Connection(conn));
        }
        Some(event)
    }

    /// Returns the next action, or None when there is none.
    pub(crate) fn next_action(&mut self, now: Tenths) -> Option<Action> {
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        while let Some((at, work_item)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, work_item));
                break;
            }
            self.deadlines.remove(&work_item);
            self.runnable.insert(work_item);
        }
        while let Some(work_item) = self.runnable.first().cloned() {
            let (action, wake) = match &work_item {
                WorkItem::Peer(name) => self.peer_action(now, name),
                WorkItem::Connection(conn) => self.connection_action(now, *conn),
            };
            if action.is_some() {
                return action;
            }
            self.unschedule(&work_item);
            if let Some(at) = wake {
                self.deadlines.insert(work_item.clone(), at);
                self.timers.insert((at, work_item));
            }
        }
        None
    }

    fn peer_action(&mut self, now: Tenths, name: &Name) -> (Option<Action>, Option<Tenths>) {
        let Some(peer) = self.peers.get_mut(name) else { return (None, None) };
        let mut new_events = Vec::new();
        let action =
            peer.next_action(now, &self.me, &self.bounds, &mut self.next_connection_id, &mut new_events);
        let wake = peer.wake_at(&self.bounds);
        self.events.extend(new_events.into_iter().map(|e| (None, e)));
        match &action {
            Some(Action::Dial { conn, .. }) => {
                self.connections.insert(*conn, Connection::Outbound(name.clone()));
            }
            Some(Action::Close { conn }) => {
                self.connections.remove(conn);
            }
            _ => {}
        }
        (action, wake)
    }

    fn connection_action(&mut self, now: Tenths, conn: ConnectionId) -> (Option<Action>, Option<Tenths>) {
        let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn) else { return (None, None) };
        let known = inbound.identity.is_some() && !inbound.refused;
        let until = inbound.last_received
            + if known { 2 * self.bounds.idle_timeout } else { self.bounds.ack_timeout };
        if now >= until {
            self.disconnected(now, conn);
            return (Some(Action::Close { conn }), None);
        }
        // Danger: without this bound, acknowledgements to a peer that sends and never reads would accumulate
        // here.
        if inbound.unsent_bytes >= self.bounds.unsent_bytes {
            return (None, Some(until));
        }
        let Some((stream, epoch, number)) = inbound.pending_ack() else { return (None, Some(until)) };
        let to = inbound.identity.as_ref().map(|s| s.name.clone());
        let frame_type = FrameType::Acknowledged { stream, epoch, number };
        let frame = encode(&self.header(to.as_ref().map_or("", Name::as_str), 0, frame_type), &[]);
        if let Some(Connection::Inbound(inbound)) = self.connections.get_mut(&conn) {
            inbound.unsent_bytes += frame.len();
        }
        (Some(Action::Write { conn, frame }), None)
    }

    /// When an action is due even if nothing arrives. `Tenths::MIN` means at once.
    pub(crate) fn wake_at(&self) -> Option<Tenths> {
        if !self.runnable.is_empty() || !self.actions.is_empty() || !self.events.is_empty() {
            return Some(Tenths::MIN);
        }
        self.timers.first().map(|(at, _)| *at)
    }
}

const _: () = assert!(VERSION == 1, "a new version needs a refusal that the old one can read");

/// Returns the stream's number, or None for datagrams.
pub(crate) fn stream_of(channel: Channel) -> Option<StreamId> {
    match channel {
        Channel::Stream(id) => Some(id),
        Channel::Datagram => None,
    }
}
