//! Round trips to a peer, as measured: smoothed mean and deviation (the published estimator of TCP, RFC 6298).

use crate::Tenths;

/// Measured round trips.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Trip {
    /// Eight times the mean; 0 if nothing was measured.
    mean8: i64,
    /// Four times the deviation.
    dev4: i64,
}

impl Trip {
    pub(crate) fn measured(&mut self, trip: Tenths) {
        let trip = trip.clamp(1, 600_000);
        if self.mean8 == 0 {
            (self.mean8, self.dev4) = (trip * 8, trip * 2);
            return;
        }
        let off = trip - self.mean8 / 8;
        self.mean8 = (self.mean8 + off).max(8);
        self.dev4 += off.abs() - self.dev4 / 4;
    }

    /// How long to wait for an answer; none if nothing was measured.
    pub(crate) fn patience(&self) -> Option<Tenths> {
        (self.mean8 > 0).then(|| self.mean8 / 8 + self.dev4)
    }
}
