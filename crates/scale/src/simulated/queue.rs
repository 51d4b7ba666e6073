//! What is still to happen, in order of time, then of when it was put in.

use super::watch::{Ask, Piece};
use crate::Tenths;
use crate::tally::Duty;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

pub(super) enum Happening {
    Datagram {
        to: usize,
        duty: Duty,
        bytes: Vec<u8>,
    },
    /// A router's ask has come to its agent.
    Asked {
        router: usize,
        ask: Ask,
    },
    /// An agent's bytes have come to its router.
    Told {
        router: usize,
        round: u64,
        piece: Rc<Piece>,
    },
    /// An agent's next sign of life is due.
    Beat {
        router: usize,
        round: u64,
    },
    Wake {
        node: usize,
        duty: Duty,
    },
    /// A stream's message has come.
    Message {
        from: usize,
        to: usize,
        serial: u64,
        bytes: Vec<u8>,
    },
    /// A stream breaks at both ends.
    Break {
        one: usize,
        other: usize,
        serial: u64,
    },
    /// A node learns that another one is gone.
    Broken {
        at: usize,
        of: usize,
    },
    /// What is not published yet is offered again.
    Offer,
}

struct Entry {
    key: Reverse<(Tenths, u64)>,
    happening: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.key == other.key
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Entry>,
    count: u64,
    /// When each node's duty is to be woken next; an entry for another time is stale.
    wakes: BTreeMap<(usize, Duty), Tenths>,
}

impl Queue {
    pub(super) fn put(&mut self, at: Tenths, happening: Happening) {
        self.count += 1;
        self.heap.push(Entry { key: Reverse((at, self.count)), happening });
    }

    pub(super) fn next_at(&self) -> Option<Tenths> {
        self.heap.peek().map(|entry| entry.key.0.0)
    }

    pub(super) fn pop(&mut self) -> Option<Happening> {
        self.heap.pop().map(|entry| entry.happening)
    }

    /// A node's duty is to be woken then, not at the time said before.
    pub(super) fn wake(&mut self, now: Tenths, at: Option<Tenths>, node: usize, duty: Duty) {
        let Some(at) = at.map(|at| at.max(now + 1)) else {
            self.wakes.remove(&(node, duty));
            return;
        };
        if self.wakes.insert((node, duty), at) != Some(at) {
            self.put(at, Happening::Wake { node, duty });
        }
    }

    /// A node is gone: nothing of it is to be woken.
    pub(super) fn end(&mut self, node: usize) {
        Duty::ALL.into_iter().for_each(|duty| _ = self.wakes.remove(&(node, duty)));
    }

    /// Is this the time at which it is to be woken?
    pub(super) fn is_due(&mut self, now: Tenths, node: usize, duty: Duty) -> bool {
        let due = self.wakes.get(&(node, duty)) == Some(&now);
        due.then(|| self.wakes.remove(&(node, duty)));
        due
    }
}
