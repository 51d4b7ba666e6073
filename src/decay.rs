//! A sum whose parts fade with age, brought up to date when it is read or added to.

use crate::interface::Tenths;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decay {
    sum: f64,
    at: Tenths,
}

impl Decay {
    /// The sum as it stands at `now`, each part halved for every `half_life` since it came.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.sum * (-((now - self.at).max(0) as f64) / half_life.max(1) as f64).exp2()
    }

    /// What came lately per tenth of a millisecond, as far as a steady stream would leave this sum.
    pub(crate) fn rate(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.read(now, half_life) / (half_life.max(1) as f64 * std::f64::consts::LOG2_E)
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, amount: f64) {
        self.sum = self.read(now, half_life) + amount;
        self.at = self.at.max(now);
    }
}

/// A mean whose parts fade with age.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    sum: Decay,
    weight: Decay,
}

impl Mean {
    /// The mean as it stands at `now`, with `guess` counted as two more parts.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths, guess: f64) -> f64 {
        (self.sum.read(now, half_life) + 2.0 * guess) / (self.weight.read(now, half_life) + 2.0)
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, part: f64) {
        self.sum.add(now, half_life, part);
        self.weight.add(now, half_life, 1.0);
    }
}
