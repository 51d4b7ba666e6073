//! Exponentially decaying sums, means and frequencies. The decay is applied on each read and each addition.

use crate::interface::Tenths;
use std::collections::BTreeMap;

/// A sum whose parts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Tenths,
}

impl DecayingSum {
    /// The sum at `now`: each part is halved for every `half_life` since it was added.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.sum * (-((now - self.updated_at).max(0) as f64) / half_life.max(1) as f64).exp2()
    }

    /// The recent rate per tenth of a millisecond: the rate of the steady stream that gives this sum.
    pub(crate) fn rate(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.read(now, half_life) / (half_life.max(1) as f64 * std::f64::consts::LOG2_E)
    }

    /// The recent rate of a stream that began at `since`. Corrects for the time before `since`, which would
    /// otherwise count as time without traffic.
    pub(crate) fn rate_since(&self, now: Tenths, half_life: Tenths, since: Tenths) -> f64 {
        let covered = 1.0 - (-((now - since).max(1) as f64) / half_life.max(1) as f64).exp2();
        self.rate(now, half_life) / covered
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, amount: f64) {
        self.sum = self.read(now, half_life) + amount;
        self.updated_at = self.updated_at.max(now);
    }
}

/// A mean whose parts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingMean {
    sum: DecayingSum,
    weight: DecayingSum,
}

impl DecayingMean {
    /// The mean at `now`, with `prior` as a prior that weighs as much as two fresh parts.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths, prior: f64) -> f64 {
        (self.sum.read(now, half_life) + 2.0 * prior) / (self.weight.read(now, half_life) + 2.0)
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, value: f64) {
        self.sum.add(now, half_life, value);
        self.weight.add(now, half_life, 1.0);
    }
}

/// How often an event happens, by age: one bucket of decaying sums for each power of two of the age.
#[derive(Debug, Default)]
pub(crate) struct FrequencyByAge(BTreeMap<u32, (DecayingSum, DecayingSum)>);

impl FrequencyByAge {
    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, age: Tenths, occurred: bool) {
        let (occurrences, cases) = self.0.entry(age.max(1).ilog2()).or_default();
        occurrences.add(now, half_life, occurred as u8 as f64);
        cases.add(now, half_life, 1.0);
    }

    /// The lowest age bucket in which the event happens in at least this share (`min_share`) of all cases, and at least
    /// `min_count` times. Returns the lower end of the bucket.
    pub(crate) fn first_frequent(
        &self,
        now: Tenths,
        half_life: Tenths,
        min_share: f64,
        min_count: f64,
    ) -> Option<Tenths> {
        let is_frequent = |(occurrences, cases): &(DecayingSum, DecayingSum)| {
            let occurrences = occurrences.read(now, half_life);
            occurrences >= min_count && occurrences >= min_share * cases.read(now, half_life)
        };
        self.0.iter().find(|(_, sums)| is_frequent(sums)).map(|(age, _)| 1 << *age)
    }
}
