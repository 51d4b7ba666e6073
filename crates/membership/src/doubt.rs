//! Local health of an instance, as in Lifeguard: a slow observer suspects itself before it suspects others.

/// Score from 0 (healthy) to [`LocalHealth::MAX`]. The higher it is, the longer the instance's own probe period, time-outs
/// and suspicions become.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u8);

impl LocalHealth {
    /// The highest score.
    pub const MAX: u8 = 8;

    /// Raises the score after an event that may be caused by this instance itself: a helper that did not answer, a late
    /// wake-up, or being suspected.
    pub fn degrade(&mut self, by: i64) {
        self.0 = (i64::from(self.0) + by).clamp(0, i64::from(Self::MAX)) as u8;
    }

    /// Lowers the score by one after a probe that was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The score.
    pub fn score(self) -> u8 {
        self.0
    }

    /// Factor by which periods and time-outs grow.
    pub(crate) fn multiplier(self) -> i64 {
        1 + i64::from(self.0)
    }
}
