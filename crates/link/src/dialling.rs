//! One peer as this instance sends to it: the outbound connection, and the streams on it.

use crate::envelope::{Header, Lane, encode};
use crate::message::{Event, Kind, Message, Name, Refused, Sender, StreamId, Tenths, Unread, Why};
use crate::outgoing::Outgoing;
use crate::redial::{Dial, Redial};
use crate::talk::{Bounds, Call, Step};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) struct Peer {
    name: Name,
    pub(crate) address: SocketAddr,
    redial: Redial,
    call: Option<Call>,
    greeted: bool,
    /// Bytes passed to the connection and not yet accepted by its socket.
    ahead: usize,
    streams: BTreeMap<StreamId, Outgoing>,
    /// First sequence number of a new stream.
    first: u64,
    /// The stream that is served next.
    turn: StreamId,
    /// When a message was last waiting.
    used: Tenths,
}

impl Peer {
    pub(crate) fn new(name: Name, address: SocketAddr, redial: Redial, first: u64) -> Peer {
        Peer {
            name,
            address,
            redial,
            call: None,
            greeted: false,
            ahead: 0,
            streams: BTreeMap::new(),
            first,
            turn: 0,
            used: 0,
        }
    }

    pub(crate) fn call(&self) -> Option<Call> {
        self.call
    }

    fn is_waiting(&self) -> bool {
        self.streams.values().any(Outgoing::is_waiting)
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        stream: StreamId,
        kind: Kind,
        body: &[u8],
        bounds: &Bounds,
    ) -> Result<u64, Refused> {
        if !self.streams.contains_key(&stream) && self.streams.len() >= bounds.streams {
            return Err(Refused::TooMany { bound: bounds.streams });
        }
        let all: usize = self.streams.values().map(Outgoing::bytes).sum();
        if all + body.len() > bounds.peer_bytes {
            return Err(Refused::Full { waiting: all, bound: bounds.peer_bytes });
        }
        self.used = now;
        let first = self.first;
        self.streams.entry(stream).or_insert_with(|| Outgoing::new(first)).send(
            now,
            kind,
            body,
            bounds.stream_bytes,
        )
    }

    /// Returns the next action for this peer; events are appended to `events`.
    pub(crate) fn next_step(
        &mut self,
        now: Tenths,
        me: &Sender,
        bounds: &Bounds,
        next_call: &mut u64,
        events: &mut impl Extend<Event>,
    ) -> Option<Step> {
        if let Some(step) = self.end_silence(now, bounds, events) {
            return Some(step);
        }
        match self.redial.next_decision(now, self.is_waiting()) {
            Some(Dial::Begin) => {
                let call = Call(*next_call);
                *next_call += 1;
                self.call = Some(call);
                (self.greeted, self.ahead) = (false, 0);
                return Some(Step::Dial { call, address: self.address });
            }
            Some(Dial::GiveUp) => {
                let call = self.call.take();
                self.connection_lost(Why::Lost, events);
                return call.map(|call| Step::Close { call });
            }
            None => {}
        }
        if !self.redial.is_up() {
            return None;
        }
        let call = self.call?;
        if self.is_waiting() {
            self.used = now;
        } else if now - self.used >= bounds.idle {
            return self.hang_up(now, Why::Lost, events);
        }
        if self.ahead >= bounds.ahead {
            return None;
        }
        let frame = self.next_frame(me, call)?;
        self.ahead += frame.len();
        Some(Step::Write { call, frame })
    }

    fn next_frame(&mut self, me: &Sender, call: Call) -> Option<Vec<u8>> {
        let (from, to, incarnation) = (me.name.as_str(), self.name.as_str(), me.incarnation);
        if !self.greeted {
            self.greeted = true;
            let lane = Lane::Hello { dial: call.0 };
            return Some(encode(&Header { from, incarnation, to, kind: 0, lane }, &[]));
        }
        // Streams are served in turn, one message each: a long queue on one must not delay the others.
        let ready = |(id, s): (&StreamId, &Outgoing)| s.has_unwritten().then_some(*id);
        let next = self.streams.range(self.turn..).find_map(ready);
        let id = next.or_else(|| self.streams.range(..self.turn).find_map(ready))?;
        self.turn = id.wrapping_add(1);
        let stream = self.streams.get_mut(&id)?;
        let epoch = stream.epoch();
        let Message { number, kind, body } = stream.unwritten()?;
        let lane = Lane::Stream { stream: id, epoch, number: *number };
        Some(encode(&Header { from, incarnation, to, kind: *kind, lane }, body))
    }

    /// Breaks streams whose acknowledgement timeout has passed, and closes the connection that carried them.
    fn end_silence(&mut self, now: Tenths, bounds: &Bounds, events: &mut impl Extend<Event>) -> Option<Step> {
        let mut any = false;
        for (id, stream) in &mut self.streams {
            if stream.is_silent(now, bounds.patience) {
                any = true;
                events.extend(broken(&self.name, *id, stream.broke(), Why::Silent));
            }
        }
        if any && self.redial.is_up() { self.hang_up(now, Why::Lost, events) } else { None }
    }

    fn hang_up(&mut self, now: Tenths, why: Why, events: &mut impl Extend<Event>) -> Option<Step> {
        let call = self.call.take();
        self.redial.ended(now);
        self.connection_lost(why, events);
        call.map(|call| Step::Close { call })
    }

    fn connection_lost(&mut self, why: Why, events: &mut impl Extend<Event>) {
        for (id, stream) in &mut self.streams {
            events.extend(broken(&self.name, *id, stream.connection_ended(), why.clone()));
        }
    }

    pub(crate) fn up(&mut self, now: Tenths) {
        self.redial.up(now);
        self.used = now;
    }

    pub(crate) fn drained(&mut self) {
        self.ahead = 0;
    }

    /// The connection ended, or could not be established.
    pub(crate) fn ended(&mut self, now: Tenths, why: Why, events: &mut impl Extend<Event>) {
        self.hang_up(now, why, events);
    }

    pub(crate) fn acknowledged(
        &mut self,
        now: Tenths,
        id: StreamId,
        epoch: u64,
        number: u64,
    ) -> Option<Event> {
        let news = self.streams.get_mut(&id)?.acknowledged(now, epoch, number);
        news.then(|| Event::Acknowledged { to: self.name.clone(), stream: id, number })
    }

    /// Handles the peer's refusal of a stream's epoch.
    pub(crate) fn refused(&mut self, id: StreamId, epoch: u64, why: Unread) -> Option<Event> {
        let stream = self.streams.get_mut(&id).filter(|s| s.epoch() == epoch)?;
        broken(&self.name, id, stream.broke(), Why::Refused(why))
    }

    /// Returns all unacknowledged messages: the peer was removed, or its address changed.
    pub(crate) fn left(&mut self, now: Tenths, events: &mut impl Extend<Event>) -> Option<Step> {
        for (id, stream) in &mut self.streams {
            events.extend(broken(&self.name, *id, stream.broke(), Why::Left));
        }
        self.hang_up(now, Why::Left, events)
    }

    /// Sets a new address. The sequence numbers continue.
    pub(crate) fn moved(&mut self, address: SocketAddr, redial: Redial) {
        (self.address, self.redial) = (address, redial);
    }

    /// A number that no message of any stream has used yet.
    pub(crate) fn unused_number(&self) -> u64 {
        self.streams.values().map(Outgoing::next_number).fold(self.first, u64::max)
    }

    pub(crate) fn wake_at(&self, bounds: &Bounds) -> Option<Tenths> {
        let silent = self.streams.values().filter_map(|s| s.silent_at(bounds.patience)).min();
        let idle = self.redial.is_up().then(|| self.used + bounds.idle);
        [silent, idle, self.redial.wake_at(self.is_waiting())].into_iter().flatten().min()
    }
}

fn broken(to: &Name, stream: StreamId, unacknowledged: Vec<Message>, why: Why) -> Option<Event> {
    let to = to.clone();
    (!unacknowledged.is_empty()).then_some(Event::Broken { to, stream, unacknowledged, why })
}
