//! How long the keepers' disks take to persist a state, and the time that timeouts leave for that.

use crate::Tenths;

/// For how long the slowest write counts.
const WINDOW: Tenths = 600_000;
/// An exchange waits for a write of its sender and for one of its receiver.
const WRITES_PER_EXCHANGE: Tenths = 2;

/// The slowest write of the recent past: this machine's own, as measured between two calls of the host, or another
/// keeper's, as seen from its late vote.
#[derive(Default)]
pub(super) struct WriteTime {
    /// When the write in progress was ordered.
    ordered_at: Option<Tenths>,
    slowest: Tenths,
    slowest_at: Tenths,
}

impl WriteTime {
    /// The host is told to write.
    pub(super) fn begin(&mut self, now: Tenths) {
        self.ordered_at = Some(now);
    }

    /// The host is back; if it was told to write, the state is persisted.
    pub(super) fn end(&mut self, now: Tenths) {
        if let Some(ordered_at) = self.ordered_at.take() {
            self.record(now, now - ordered_at);
        }
    }

    /// Another keeper's vote came this long after the ballot began, which this machine's own write is a part of.
    pub(super) fn record_vote(&mut self, now: Tenths, took: Tenths) {
        self.record(now, took - self.slowest);
    }

    fn record(&mut self, now: Tenths, took: Tenths) {
        if took >= self.slowest || now - self.slowest_at >= WINDOW {
            (self.slowest, self.slowest_at) = (took.max(0), now);
        }
    }

    /// By how much an exchange with other keepers may take longer because of writes, at most `most`.
    pub(super) fn allowance(&self, most: Tenths) -> Tenths {
        most.min(WRITES_PER_EXCHANGE * self.slowest)
    }
}
