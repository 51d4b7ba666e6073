//! Streams between routers and control machines: in order, late where something was lost, held while a way is cut, broken
//! when something stays on its way for too long or an end is gone.

use super::links::STREAM_PATIENCE;
use super::{Happening, World};
use crate::Tenths;
use std::collections::BTreeMap;

/// Bytes of headers of one segment, and of a frame in the stream.
pub(super) const HEADERS: usize = 40 + 8;
/// A connection that is not open after this is given up.
const DIAL_MOST: Tenths = 30_000;
/// After a cut, what waited is sent again within this.
const RESENT: Tenths = 5_000;

#[derive(Default)]
pub(super) struct Streams {
    open: BTreeMap<(usize, usize), Stream>,
    count: u64,
}

struct Stream {
    serial: u64,
    /// When the last message each way arrives: what follows comes no sooner.
    last: [Tenths; 2],
}

fn ends(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl Streams {
    pub(super) fn is_open(&self, one: usize, other: usize, serial: u64) -> bool {
        self.open.get(&ends(one, other)).is_some_and(|stream| stream.serial == serial)
    }

    /// Streams that a node has open.
    pub(super) fn of(&self, node: usize) -> usize {
        self.open.keys().filter(|(one, other)| *one == node || *other == node).count()
    }

    fn peers(&self, node: usize) -> Vec<usize> {
        let peer = |(one, other): &(usize, usize)| match (*one == node, *other == node) {
            (true, _) => Some(*other),
            (_, true) => Some(*one),
            _ => None,
        };
        self.open.keys().filter_map(peer).collect()
    }
}

impl World<'_> {
    /// Sends bytes over the stream between two nodes, and opens it if there is none.
    pub(super) fn stream_send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if !self.is_up(to) {
            let late = 2 * self.ways.delay(from, to);
            self.queue.put(self.now + late, Happening::Broken { at: from, of: to });
            return;
        }
        let Some(opening) = self.stream_opening(from, to) else {
            self.queue.put(self.now + DIAL_MOST, Happening::Broken { at: from, of: to });
            return;
        };
        let comes = self.stream_comes(from, to);
        let back = self.ways.cut_until(to, from);
        let way = usize::from(from > to);
        let Some(stream) = self.streams.open.get_mut(&ends(from, to)) else { return };
        let serial = stream.serial;
        let unheard = back.is_some_and(|until| until > self.now + STREAM_PATIENCE);
        if comes.is_none() || unheard {
            let ends = Happening::Break { one: from, other: to, serial };
            self.queue.put(self.now + STREAM_PATIENCE, ends);
        }
        if let Some(comes) = comes {
            let comes = (comes + opening).max(stream.last[way]);
            stream.last[way] = comes;
            self.queue.put(comes, Happening::Message { from, to, serial, bytes });
        }
    }

    /// What opening the stream costs, nothing if it is open; none if it can't be opened.
    fn stream_opening(&mut self, from: usize, to: usize) -> Option<Tenths> {
        if self.streams.open.contains_key(&ends(from, to)) {
            return Some(0);
        }
        let cut = self.ways.cut_until(from, to).into_iter().chain(self.ways.cut_until(to, from)).max();
        let waits = cut.map_or(0, |until| until - self.now);
        if waits > DIAL_MOST {
            return None;
        }
        self.streams.count += 1;
        let stream = Stream { serial: self.streams.count, last: [0; 2] };
        self.streams.open.insert(ends(from, to), stream);
        self.stream_counted(from, to);
        Some(waits + 2 * self.ways.delay(from, to))
    }

    /// When a message sent now arrives; none if it stays on its way for too long.
    fn stream_comes(&mut self, from: usize, to: usize) -> Option<Tenths> {
        let late = self.ways.stream(from, to);
        match self.ways.cut_until(from, to) {
            None => Some(self.now + late),
            Some(until) if until > self.now + STREAM_PATIENCE => None,
            Some(until) => Some(until + late + self.ways.within(RESENT)),
        }
    }

    /// The stream is broken at both ends, if it is still that one.
    pub(super) fn stream_breaks(&mut self, one: usize, other: usize, serial: u64) {
        if self.streams.is_open(one, other, serial) {
            self.streams.open.remove(&ends(one, other));
            self.stream_lost(one, other);
            self.stream_lost(other, one);
        }
    }

    /// A node is gone: the other ends learn it, at once where the way is open.
    pub(super) fn streams_end(&mut self, node: usize) {
        for peer in self.streams.peers(node) {
            self.streams.open.remove(&ends(node, peer));
            let cut = self.ways.cut_until(node, peer).is_some();
            let late = if cut { STREAM_PATIENCE } else { self.ways.delay(node, peer) };
            self.queue.put(self.now + late, Happening::Broken { at: peer, of: node });
        }
    }
}
