//! One direction of one relayed connection, without I/O: bytes wait until they are due, in order, within a bound.

use std::collections::VecDeque;
use vetchkeel_link::Tenths;
use vetchkeel_link::fault::Line;

/// Bytes that wait here before no more are read from their sender.
pub(crate) const ROOM: usize = 256 * 1_024;

#[derive(Debug, Default)]
pub(crate) struct Passage {
    waiting: VecDeque<(Tenths, Vec<u8>)>,
    bytes: usize,
    /// Of the front, already through.
    taken: usize,
    /// Its sender has ended, and when that is told.
    end: Option<Tenths>,
}

impl Passage {
    pub(crate) fn has_room(&self) -> bool {
        self.bytes < ROOM && self.end.is_none()
    }

    /// Takes bytes that were read while the line was not cut.
    pub(crate) fn push(&mut self, now: Tenths, line: &mut Line, bytes: &[u8]) {
        let due = line.bytes(now, bytes.len()).unwrap_or(now);
        self.bytes += bytes.len();
        self.waiting.push_back((due, bytes.to_vec()));
    }

    pub(crate) fn end(&mut self, now: Tenths, line: &mut Line) {
        self.end.get_or_insert(line.bytes(now, 0).unwrap_or(now));
    }

    /// What may leave now.
    pub(crate) fn due(&self, now: Tenths) -> Option<&[u8]> {
        let (due, bytes) = self.waiting.front()?;
        (*due <= now).then(|| &bytes[self.taken..])
    }

    /// So many bytes of [`Passage::due`] have left.
    pub(crate) fn left(&mut self, count: usize) {
        self.taken += count;
        self.bytes -= count;
        if self.waiting.front().is_some_and(|(_, bytes)| self.taken >= bytes.len()) {
            self.waiting.pop_front();
            self.taken = 0;
        }
    }

    /// All has left, and the end may be told.
    pub(crate) fn is_over(&self, now: Tenths) -> bool {
        self.waiting.is_empty() && self.end.is_some_and(|at| at <= now)
    }

    pub(crate) fn wake_at(&self) -> Option<Tenths> {
        self.waiting.front().map(|(due, _)| *due).or(self.end)
    }
}
