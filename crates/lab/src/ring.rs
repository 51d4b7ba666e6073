//! A table whose numbers only rise and are never used again: numbered slots in a ring. What is long done falls off the
//! front.

use std::collections::VecDeque;

pub struct Ring<T> {
    slots: VecDeque<Option<T>>,
    first: u64,
}

impl<T> Default for Ring<T> {
    fn default() -> Ring<T> {
        Ring { slots: VecDeque::new(), first: 0 }
    }
}

impl<T> Ring<T> {
    pub fn push(&mut self, what: T) -> u64 {
        self.slots.push_back(Some(what));
        self.first + self.slots.len() as u64 - 1
    }

    pub fn get(&self, number: u64) -> Option<&T> {
        self.slots.get(number.checked_sub(self.first)? as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.slots.get_mut(number.checked_sub(self.first)? as usize)?.as_mut()
    }

    pub fn remove(&mut self, number: u64) -> Option<T> {
        let slot = self.slots.get_mut(number.checked_sub(self.first)? as usize)?;
        let what = slot.take();
        while matches!(self.slots.front(), Some(None)) {
            self.slots.pop_front();
            self.first += 1;
        }
        what
    }

    /// All that is held, with its number.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        (self.first..).zip(&self.slots).filter_map(|(n, t)| Some((n, t.as_ref()?)))
    }
}
