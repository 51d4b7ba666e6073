//! What is due when: a heap in which equal times keep the order in which they were set.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

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
    heap: BinaryHeap<Item<T>>,
    set: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Agenda<T> {
        Agenda { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> Agenda<T> {
    pub fn set(&mut self, at: Micros, what: T) {
        self.set += 1;
        self.heap.push(Item { at, number: self.set, what });
    }

    /// When the first thing is due.
    pub fn first(&self) -> Option<Micros> {
        self.heap.peek().map(|i| i.at)
    }

    /// The first thing that is due at `now`, with its time.
    pub fn take(&mut self, now: Micros) -> Option<(Micros, T)> {
        if self.first()? > now {
            return None;
        }
        self.heap.pop().map(|i| (i.at, i.what))
    }

    /// How many things are on it.
    pub fn count(&self) -> usize {
        self.heap.len()
    }
}
