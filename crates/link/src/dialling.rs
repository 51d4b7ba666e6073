//! One peer as this instance sends to it: the outbound connection, and the streams on it.

use crate::envelope::{FrameType, Header, encode};
use crate::message::{
    BreakReason, Event, Kind, Message, Name, RejectReason, SendError, Sender, StreamId, Tenths,
};
use crate::outgoing::SendStream;
use crate::redial::{Dial, Redial};
use crate::talk::{Action, Bounds, ConnectionId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) struct Peer {
    name: Name,
    pub(crate) address: SocketAddr,
    redial: Redial,
    conn: Option<ConnectionId>,
    hello_sent: bool,
    /// Bytes passed to the connection and not yet accepted by its socket.
    unsent_bytes: usize,
    streams: BTreeMap<StreamId, SendStream>,
    /// First sequence number of a new stream.
    first_number: u64,
    /// The stream that is served next.
    next_stream: StreamId,
    /// When a message was last waiting.
    last_used: Tenths,
}

impl Peer {
    pub(crate) fn new(name: Name, address: SocketAddr, redial: Redial, first_number: u64) -> Peer {
        Peer {
            name,
            address,
            redial,
            conn: None,
            hello_sent: false,
            unsent_bytes: 0,
            streams: BTreeMap::new(),
            first_number,
            next_stream: 0,
            last_used: 0,
        }
    }

    pub(crate) fn conn(&self) -> Option<ConnectionId> {
        self.conn
    }

    fn is_waiting(&self) -> bool {
        self.streams.values().any(SendStream::is_waiting)
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        stream: StreamId,
        kind: Kind,
        body: &[u8],
        bounds: &Bounds,
    ) -> Result<u64, SendError> {
        if !self.streams.contains_key(&stream) && self.streams.len() >= bounds.streams {
            return Err(SendError::TooMany { bound: bounds.streams });
        }
        let all: usize = self.streams.values().map(SendStream::bytes).sum();
        if all + body.len() > bounds.peer_bytes {
            return Err(SendError::Full { waiting: all, bound: bounds.peer_bytes });
        }
        self.last_used = now;
        let first_number = self.first_number;
        self.streams.entry(stream).or_insert_with(|| SendStream::new(first_number)).send(
            now,
            kind,
            body,
            bounds.stream_bytes,
        )
    }

    /// Returns the next action for this peer; events are appended to `events`.
    pub(crate) fn next_action(
        &mut self,
        now: Tenths,
        me: &Sender,
        bounds: &Bounds,
        next_connection_id: &mut u64,
        events: &mut impl Extend<Event>,
    ) -> Option<Action> {
        if let Some(action) = self.check_timeouts(now, bounds, events) {
            return Some(action);
        }
        match self.redial.next_decision(now, self.is_waiting()) {
            Some(Dial::Connect) => {
                let conn = ConnectionId(*next_connection_id);
                *next_connection_id += 1;
                self.conn = Some(conn);
                (self.hello_sent, self.unsent_bytes) = (false, 0);
                return Some(Action::Dial { conn, address: self.address });
            }
            Some(Dial::Abort) => {
                let conn = self.conn.take();
                self.connection_lost(BreakReason::ConnectionLost, events);
                return conn.map(|conn| Action::Close { conn });
            }
            None => {}
        }
        if !self.redial.is_connected() {
            return None;
        }
        let conn = self.conn?;
        if self.is_waiting() {
            self.last_used = now;
        } else if now - self.last_used >= bounds.idle_timeout {
            return self.close_connection(now, BreakReason::ConnectionLost, events);
        }
        if self.unsent_bytes >= bounds.unsent_bytes {
            return None;
        }
        let frame = self.next_frame(me, conn)?;
        self.unsent_bytes += frame.len();
        Some(Action::Write { conn, frame })
    }

    fn next_frame(&mut self, me: &Sender, conn: ConnectionId) -> Option<Vec<u8>> {
        let (from, to, incarnation) = (me.name.as_str(), self.name.as_str(), me.incarnation);
        if !self.hello_sent {
            self.hello_sent = true;
            let frame_type = FrameType::Hello { connection_number: conn.0 };
            return Some(encode(&Header { from, incarnation, to, kind: 0, frame_type }, &[]));
        }
        // Streams are served in turn, one message each: a long queue on one must not delay the others.
        let ready = |(id, s): (&StreamId, &SendStream)| s.has_unwritten().then_some(*id);
        let next = self.streams.range(self.next_stream..).find_map(ready);
        let id = next.or_else(|| self.streams.range(..self.next_stream).find_map(ready))?;
        self.next_stream = id.wrapping_add(1);
        let stream = self.streams.get_mut(&id)?;
        let epoch = stream.epoch();
        let Message { number, kind, body } = stream.next_unwritten()?;
        let frame_type = FrameType::Stream { stream: id, epoch, number: *number };
        Some(encode(&Header { from, incarnation, to, kind: *kind, frame_type }, body))
    }

    /// Breaks streams whose acknowledgement timeout has passed, and closes the connection that carried them.
    fn check_timeouts(
        &mut self,
        now: Tenths,
        bounds: &Bounds,
        events: &mut impl Extend<Event>,
    ) -> Option<Action> {
        let mut timed_out = false;
        for (id, stream) in &mut self.streams {
            if stream.is_timed_out(now, bounds.ack_timeout) {
                timed_out = true;
                events.extend(broken(&self.name, *id, stream.fail(), BreakReason::AckTimeout));
            }
        }
        if timed_out && self.redial.is_connected() {
            self.close_connection(now, BreakReason::ConnectionLost, events)
        } else {
            None
        }
    }

    fn close_connection(
        &mut self,
        now: Tenths,
        why: BreakReason,
        events: &mut impl Extend<Event>,
    ) -> Option<Action> {
        let conn = self.conn.take();
        self.redial.disconnected(now);
        self.connection_lost(why, events);
        conn.map(|conn| Action::Close { conn })
    }

    fn connection_lost(&mut self, why: BreakReason, events: &mut impl Extend<Event>) {
        for (id, stream) in &mut self.streams {
            events.extend(broken(&self.name, *id, stream.connection_ended(), why.clone()));
        }
    }

    pub(crate) fn connected(&mut self, now: Tenths) {
        self.redial.connected(now);
        self.last_used = now;
    }

    pub(crate) fn flushed(&mut self) {
        self.unsent_bytes = 0;
    }

    /// The connection ended, or could not be established.
    pub(crate) fn disconnected(&mut self, now: Tenths, why: BreakReason, events: &mut impl Extend<Event>) {
        self.close_connection(now, why, events);
    }

    pub(crate) fn acknowledged(
        &mut self,
        now: Tenths,
        id: StreamId,
        epoch: u64,
        number: u64,
    ) -> Option<Event> {
        let progress = self.streams.get_mut(&id)?.acknowledged(now, epoch, number);
        progress.then(|| Event::Acknowledged { to: self.name.clone(), stream: id, number })
    }

    /// Handles the peer's refusal of a stream's epoch.
    pub(crate) fn refused(&mut self, id: StreamId, epoch: u64, why: RejectReason) -> Option<Event> {
        let stream = self.streams.get_mut(&id).filter(|s| s.epoch() == epoch)?;
        broken(&self.name, id, stream.fail(), BreakReason::Rejected(why))
    }

    /// Returns all unacknowledged messages: the peer was removed, or its address changed.
    pub(crate) fn detach(&mut self, now: Tenths, events: &mut impl Extend<Event>) -> Option<Action> {
        for (id, stream) in &mut self.streams {
            events.extend(broken(&self.name, *id, stream.fail(), BreakReason::PeerRemoved));
        }
        self.close_connection(now, BreakReason::PeerRemoved, events)
    }

    /// Sets a new address. The sequence numbers continue.
    pub(crate) fn set_address(&mut self, address: SocketAddr, redial: Redial) {
        (self.address, self.redial) = (address, redial);
    }

    /// A number that no message of any stream has used yet.
    pub(crate) fn unused_number(&self) -> u64 {
        self.streams.values().map(SendStream::next_number).fold(self.first_number, u64::max)
    }

    pub(crate) fn wake_at(&self, bounds: &Bounds) -> Option<Tenths> {
        let timeout = self.streams.values().filter_map(|s| s.times_out_at(bounds.ack_timeout)).min();
        let idle_at = self.redial.is_connected().then(|| self.last_used + bounds.idle_timeout);
        [timeout, idle_at, self.redial.wake_at(self.is_waiting())].into_iter().flatten().min()
    }
}

fn broken(to: &Name, stream: StreamId, unacknowledged: Vec<Message>, why: BreakReason) -> Option<Event> {
    let to = to.clone();
    (!unacknowledged.is_empty()).then_some(Event::Broken { to, stream, unacknowledged, why })
}
