//! Round-trip time to a peer: smoothed mean and mean deviation, as in TCP (RFC 6298).

use crate::Tenths;

/// Estimates the round-trip time from measured samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RttEstimator {
    /// Eight times the smoothed mean; 0 before the first sample.
    mean8: i64,
    /// Four times the mean deviation.
    dev4: i64,
}

impl RttEstimator {
    pub(crate) fn record(&mut self, sample: Tenths) {
        let sample = sample.clamp(1, 600_000);
        if self.mean8 == 0 {
            (self.mean8, self.dev4) = (sample * 8, sample * 2);
            return;
        }
        let error = sample - self.mean8 / 8;
        self.mean8 = (self.mean8 + error).max(8);
        self.dev4 += error.abs() - self.dev4 / 4;
    }

    /// How long to wait for an answer: the mean plus four deviations; `None` before the first sample.
    pub(crate) fn timeout(&self) -> Option<Tenths> {
        (self.mean8 > 0).then(|| self.mean8 / 8 + self.dev4)
    }
}
