//! A client's bytes that are read and not consumed yet, and when they arrived. The system reports the arrival time of the
//! last byte of a connection only, so any byte before it arrived at some time since the connection was last empty.

use crate::memory::{HeldBytes, Memory, Owner};
use crate::polls::TimeRange;
use std::collections::VecDeque;
use vetchkeel::Tenths;
use vetchkeel_pgwire as pgwire;

/// Bytes that the system surely takes for a connection while nothing is read from it: half of its usual first window.
const MIN_RECEIVE_BUFFER: u64 = 32 * 1_024;
/// Fewer bytes than this are not worth shortening.
const MIN_SHORTENED: usize = 1_024;
/// Reads whose arrival is known apart. Beyond this, neighbours count as one: a client that writes single bytes must not make the
/// router keep more about its bytes than the bytes are.
const MAX_RECEIVED: usize = 32;

/// One read.
#[derive(Clone, Copy, Debug)]
struct Received {
    /// The number of bytes read on the connection up to and including this read.
    end: u64,
    arrived: TimeRange,
    /// Nothing was unread behind this read and nothing held up its sender, so its last byte arrived at `arrived.latest`.
    last_byte_known: bool,
}

#[derive(Debug)]
pub(super) struct Input {
    bytes: HeldBytes,
    /// How many bytes of the message at the front were dropped (`shorten`).
    dropped: usize,
    /// The length up to which the bytes at hand are known to hold nothing that can be dropped.
    kept_whole: usize,
    /// The number of bytes read so far.
    read: u64,
    /// The reads that contain the bytes at hand.
    received: VecDeque<Received>,
    /// All bytes that are unread arrived after this time.
    unread_since: Tenths,
    /// The last read found nothing unread.
    drained: bool,
    /// The number of bytes read when the connection was last found empty.
    read_when_drained: u64,
}

impl Input {
    /// The input of a connection that was established at `connected_at`.
    pub(super) fn new(connected_at: Tenths, memory: &Memory) -> Input {
        Input {
            bytes: memory.buffer(Owner::Input),
            dropped: 0,
            kept_whole: 0,
            read: 0,
            received: VecDeque::new(),
            unread_since: connected_at,
            // It was in no poll so far.
            drained: false,
            read_when_drained: 0,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The number of bytes read so far.
    pub(super) fn read(&self) -> u64 {
        self.read
    }

    /// Reading begins; `handled_until` is the time before which all reported input has been read.
    pub(super) fn start_reading(&mut self, handled_until: Tenths) {
        if std::mem::take(&mut self.drained) {
            self.unread_since = self.unread_since.max(handled_until);
        }
    }

    /// Adds what a read returned; `last_arrival` is when the last bytes of the connection arrived, asked after the read.
    pub(super) fn push(&mut self, bytes: &[u8], last_arrival: Tenths) {
        if self.bytes.is_empty() {
            self.bytes.reserve(pgwire::message_size(bytes).unwrap_or(0));
        }
        self.bytes.append(bytes);
        self.read += bytes.len() as u64;
        let arrived = TimeRange::new(self.unread_since, last_arrival);
        self.received.push_back(Received { end: self.read, arrived, last_byte_known: false });
        if self.received.len() > MAX_RECEIVED {
            self.join_closest_reads();
        }
    }

    /// Joins the two neighbours whose bytes arrived closest to each other; the first and the last read stay as they are, as the
    /// message that has begun and the one that ends count from them.
    fn join_closest_reads(&mut self) {
        let span = |at: &usize| self.received[at + 1].arrived.latest - self.received[*at].arrived.earliest;
        let Some(first) = (1..self.received.len() - 2).min_by_key(span) else { return };
        let Some(joined) = self.received.remove(first) else { return };
        let next = &mut self.received[first];
        next.arrived =
            TimeRange::new(joined.arrived.earliest.min(next.arrived.earliest), next.arrived.latest);
    }

    /// A read found nothing unread; `now` was read before it.
    pub(super) fn drain_finished(&mut self, now: Tenths) {
        (self.drained, self.unread_since) = (true, now);
        // Danger: of more bytes than the system holds, the last ones come in only while the others are read, and their client
        // may have written them long before.
        let fits_receive_buffer = self.read - self.read_when_drained <= MIN_RECEIVE_BUFFER;
        if let Some(last) = self.received.back_mut().filter(|last| last.end > self.read_when_drained) {
            last.last_byte_known = fits_receive_buffer;
        }
        self.read_when_drained = self.read;
    }

    /// When the byte arrived that is followed by `left` bytes.
    pub(super) fn arrival(&self, left: usize) -> Option<TimeRange> {
        let end = self.read - left as u64;
        let received = self.received.iter().find(|received| received.end >= end)?;
        let TimeRange { earliest, latest } = received.arrived;
        let is_known = received.last_byte_known && received.end == end;
        Some(TimeRange::new(if is_known { latest } else { earliest }, latest))
    }

    /// When the first byte at hand arrived.
    pub(super) fn first_arrival(&self) -> Option<TimeRange> {
        self.arrival((self.bytes.len() + self.dropped).checked_sub(1)?)
    }

    /// When the last bytes were received; 0 if nothing is at hand.
    pub(super) fn last_received_at(&self) -> Tenths {
        self.received.back().map_or(0, |received| received.arrived.latest)
    }

    /// Whether the rest of the message at the front is still to come.
    pub(super) fn is_incomplete(&self) -> bool {
        !self.bytes.is_empty() && !matches!(pgwire::message(&self.bytes), Ok(Some(_)))
    }

    /// Whether `shorten` may be of use: enough bytes of an incomplete message are at hand and not known to be needed.
    pub(super) fn can_be_shortened(&self) -> bool {
        self.bytes.len() >= MIN_SHORTENED.max(2 * self.kept_whole) && self.is_incomplete()
    }

    /// Drops the long values of the incomplete message at the front.
    pub(super) fn shorten(&mut self) {
        match pgwire::shortened(&self.bytes) {
            Some(shorter) => {
                self.dropped += self.bytes.len() - shorter.len();
                self.bytes.clear();
                self.bytes.append(&shorter);
            }
            None => self.kept_whole = self.bytes.len(),
        }
    }

    /// Called when the message at the front is complete: whether values of it were dropped, so that it must not be sent on.
    pub(super) fn take_shortened(&mut self) -> bool {
        std::mem::take(&mut self.dropped) > 0
    }

    /// Takes the bytes at hand, to be given back with `restore`.
    pub(super) fn take(&mut self) -> HeldBytes {
        self.bytes.take()
    }

    /// Gives back what `take` returned, of which the first `consumed` bytes are no longer needed.
    pub(super) fn restore(&mut self, mut bytes: HeldBytes, consumed: usize) {
        bytes.discard_front(consumed);
        self.bytes = bytes;
        if consumed > 0 {
            (self.dropped, self.kept_whole) = (0, 0);
        }
        let start = self.read - (self.bytes.len() + self.dropped) as u64;
        while self.received.front().is_some_and(|received| received.end <= start) {
            self.received.pop_front();
        }
    }

    /// Discards the bytes at hand.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        (self.dropped, self.kept_whole) = (0, 0);
        self.received.clear();
    }
}

#[cfg(test)]
mod tests;
