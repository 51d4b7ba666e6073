//! What is due when. Equal times keep the order in which they were set.
//!
//! Most of what is set is due long after what is taken next (time-outs that never strike), so one heap of all would be
//! deep. Only the near future stands in a heap; what comes later waits unsorted in slots of 8 ms, and what comes much
//! later in a heap of its own.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

/// Length of a slot, and how many there are.
const SLOT: Micros = 8_192;
const SLOTS: usize = 1_024;

struct Item<T> {
    at: Micros,
    number: u64,
    what: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Things to do, each at a time.
pub struct Agenda<T> {
    /// All before `horizon`. Empty only if there is nothing at all.
    near: BinaryHeap<Item<T>>,
    horizon: Micros,
    /// One slot after the other from the horizon on, and all beyond them.
    slots: VecDeque<Vec<Item<T>>>,
    beyond: BinaryHeap<Item<T>>,
    later: usize,
    set: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Agenda<T> {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        let (near, beyond) = (BinaryHeap::new(), BinaryHeap::new());
        Agenda { near, horizon: 0, slots, beyond, later: 0, set: 0 }
    }
}

impl<T> Agenda<T> {
    pub fn set(&mut self, at: Micros, what: T) {
        self.set += 1;
        let item = Item { at, number: self.set, what };
        if self.near.is_empty() && self.later == 0 && at >= self.horizon {
            self.horizon = at + SLOT;
        }
        if at < self.horizon { self.near.push(item) } else { self.wait(item) }
    }

    fn wait(&mut self, item: Item<T>) {
        self.later += 1;
        let slot = ((item.at - self.horizon) / SLOT) as usize;
        match self.slots.get_mut(slot) {
            Some(slot) => slot.push(item),
            None => self.beyond.push(item),
        }
    }

    /// The heap has run dry: the next slot that holds something becomes near.
    fn come_near(&mut self) {
        while self.near.is_empty() && self.later > 0 {
            if self.later == self.beyond.len() {
                // All slots are empty: straight on to what comes first.
                self.horizon = self.beyond.peek().map_or(self.horizon, |i| i.at);
            }
            let mut slot = self.slots.pop_front().unwrap_or_default();
            self.horizon += SLOT;
            self.later -= slot.len();
            self.near.extend(slot.drain(..));
            self.slots.push_back(slot);
            let end = self.horizon + SLOT * SLOTS as Micros;
            while self.beyond.peek().is_some_and(|i| i.at < end) {
                let Some(item) = self.beyond.pop() else { break };
                self.later -= 1;
                if item.at < self.horizon { self.near.push(item) } else { self.wait(item) }
            }
        }
    }

    /// When the first thing is due.
    pub fn first(&self) -> Option<Micros> {
        self.near.peek().map(|i| i.at)
    }

    /// The first thing that is due at `now`, with its time.
    pub fn take(&mut self, now: Micros) -> Option<(Micros, T)> {
        if self.first()? > now {
            return None;
        }
        let item = self.near.pop()?;
        if self.near.is_empty() {
            self.come_near();
        }
        Some((item.at, item.what))
    }

    /// How many things are on it.
    pub fn count(&self) -> usize {
        self.near.len() + self.later
    }
}
