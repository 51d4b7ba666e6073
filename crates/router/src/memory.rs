//! Counts the bytes that are held for clients, by owner. Bytes are counted from the moment they are held until they are
//! dropped, whoever drops them, so the sums cannot drift.

mod parts;

use std::cell::Cell;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use vetchkeel::Tenths;

/// Capacity, in bytes, that a buffer keeps when all of its content has been consumed.
const KEPT_CAPACITY: usize = 4_096;
/// Consumed bytes stay in front of the others until they are this part of the buffer. So each byte is moved a few times at
/// most, however small the messages are.
const MAX_CONSUMED_PART: usize = 4;

/// Memory is given back once what is held has fallen to this part of the most that was held, if that was at least
/// `MIN_GIVEN_BACK` bytes, and no more often than this.
const SHRUNK_PART: usize = 4;
const MIN_GIVEN_BACK: usize = 1024 * 1024;
const GIVE_BACK_INTERVAL: Tenths = 10_000;

/// What holds bytes for a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    /// Input of clients that has not been processed yet.
    #[default]
    Input,
    /// Statements of open commands.
    Statements,
    /// Input from members, up to the end of their answers.
    Answers,
    /// Output to clients that has not been written yet.
    Output,
}

impl Owner {
    pub const ALL: [Owner; 4] = [Owner::Input, Owner::Statements, Owner::Answers, Owner::Output];
}

#[derive(Debug, Default)]
struct Usage {
    by_owner: [Cell<usize>; Owner::ALL.len()],
    peak: Cell<usize>,
    /// The most that was held since memory was last given back, and when that was.
    recent_peak: Cell<usize>,
    given_back_at: Cell<Tenths>,
}

/// The bytes held for clients; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<Usage>);

impl Memory {
    /// An empty buffer of this owner.
    pub fn buffer(&self, owner: Owner) -> HeldBytes {
        self.hold(owner, Vec::new())
    }

    /// Counts these bytes from now on.
    pub fn hold(&self, owner: Owner, bytes: Vec<u8>) -> HeldBytes {
        self.add(owner, bytes.len());
        HeldBytes { bytes, consumed: 0, owner, memory: self.clone() }
    }

    /// The bytes held by this owner.
    pub fn used(&self, owner: Owner) -> usize {
        self.0.by_owner[owner as usize].get()
    }

    /// The bytes held by all owners.
    pub fn total(&self) -> usize {
        Owner::ALL.iter().map(|owner| self.used(*owner)).sum()
    }

    /// Whether the allocator is to give memory back now, as much less is held than before.
    pub fn is_to_be_given_back(&self, now: Tenths) -> bool {
        let (peak, total) = (self.0.recent_peak.get(), self.total());
        let is_due = peak >= MIN_GIVEN_BACK
            && total * SHRUNK_PART <= peak
            && self.0.given_back_at.get() + GIVE_BACK_INTERVAL <= now;
        if is_due {
            self.0.recent_peak.set(total);
            self.0.given_back_at.set(now);
        }
        is_due
    }

    fn add(&self, owner: Owner, bytes: usize) {
        let used = &self.0.by_owner[owner as usize];
        used.set(used.get() + bytes);
        let total = self.total();
        self.0.peak.set(self.0.peak.get().max(total));
        self.0.recent_peak.set(self.0.recent_peak.get().max(total));
    }

    fn subtract(&self, owner: Owner, bytes: usize) {
        let used = &self.0.by_owner[owner as usize];
        used.set(used.get() - bytes);
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [input, statements, answers, output] = Owner::ALL.map(|owner| self.used(owner));
        let (held, peak) = (self.total(), self.0.peak.get());
        write!(
            f,
            "held={held} input={input} statements={statements} answers={answers} output={output} peak={peak}"
        )
    }
}

/// Bytes that are counted for their owner until they are dropped.
#[derive(Debug, Default)]
pub struct HeldBytes {
    bytes: Vec<u8>,
    /// How many of them, at the front, are consumed: these are no longer held.
    consumed: usize,
    owner: Owner,
    memory: Memory,
}

impl HeldBytes {
    pub fn append(&mut self, more: &[u8]) {
        self.bytes.extend_from_slice(more);
        self.memory.add(self.owner, more.len());
    }

    /// Makes room for `size` bytes in all. Memory that is not written to yet takes up no pages.
    pub fn reserve(&mut self, size: usize) {
        self.bytes.reserve_exact(size.saturating_sub(self.len()));
    }

    /// Drops the first `count` bytes, and memory that is no longer needed.
    pub fn discard_front(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        self.memory.subtract(self.owner, count);
        self.consumed += count;
        if self.consumed == self.bytes.len() && self.bytes.capacity() <= KEPT_CAPACITY {
            self.bytes.clear();
            self.consumed = 0;
        } else if self.consumed * MAX_CONSUMED_PART >= self.bytes.len() {
            // A copy, as the allocator keeps pages of their own for what once was large. Danger: the pages of a large message
            // would stay resident for as long as a few bytes behind it are held.
            self.bytes = self.bytes.split_off(self.consumed);
            self.consumed = 0;
        }
    }

    /// Drops all bytes and their memory.
    pub fn clear(&mut self) {
        drop(self.take());
    }

    /// Takes the bytes, which leaves an empty buffer of the same owner.
    pub fn take(&mut self) -> HeldBytes {
        let empty = self.memory.buffer(self.owner);
        std::mem::replace(self, empty)
    }

    /// Moves the bytes to another owner.
    pub fn with_owner(mut self, owner: Owner) -> HeldBytes {
        self.memory.subtract(self.owner, self.len());
        self.memory.add(owner, self.len());
        self.owner = owner;
        self
    }
}

impl Deref for HeldBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.subtract(self.owner, self.len());
    }
}

#[cfg(test)]
mod tests;
