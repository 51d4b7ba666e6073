//! How far an instance doubts itself before it doubts others.

/// Doubt of 0 (none) to [`Doubt::MOST`]. It stretches the instance's own period, time-outs and suspicions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt(u8);

impl Doubt {
    /// Highest doubt.
    pub const MOST: u8 = 8;

    /// Something that may be its own fault: a missed answer of a helper, a late wake-up, being suspected itself.
    pub fn raise(&mut self, by: i64) {
        self.0 = (i64::from(self.0) + by).clamp(0, i64::from(Self::MOST)) as u8;
    }

    /// A probe was answered in time.
    pub fn ease(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The doubt as a number.
    pub fn level(self) -> u8 {
        self.0
    }

    /// By what times are stretched.
    pub(crate) fn stretch(self) -> i64 {
        1 + i64::from(self.0)
    }
}
