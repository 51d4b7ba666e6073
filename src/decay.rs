//! Exponentially decaying sums, means and frequencies. The decay is applied on each read and each addition.

use crate::interface::Tenths;
use std::collections::BTreeMap;

/// A sum whose parts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Decay {
    sum: f64,
    at: Tenths,
}

impl Decay {
    /// The sum at `now`: each part is halved for every `half_life` since it was added.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.sum * (-((now - self.at).max(0) as f64) / half_life.max(1) as f64).exp2()
    }

    /// The recent rate per tenth of a millisecond: the rate of the steady stream that gives this sum.
    pub(crate) fn rate(&self, now: Tenths, half_life: Tenths) -> f64 {
        self.read(now, half_life) / (half_life.max(1) as f64 * std::f64::consts::LOG2_E)
    }

    /// The recent rate of a stream that began at `since`. Corrects for the time before `since`, which would
    /// otherwise count as time without traffic.
    pub(crate) fn rate_since(&self, now: Tenths, half_life: Tenths, since: Tenths) -> f64 {
        let seen = 1.0 - (-((now - since).max(1) as f64) / half_life.max(1) as f64).exp2();
        self.rate(now, half_life) / seen
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, amount: f64) {
        self.sum = self.read(now, half_life) + amount;
        self.at = self.at.max(now);
    }
}

/// A mean whose parts decay exponentially with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Mean {
    sum: Decay,
    weight: Decay,
}

impl Mean {
    /// The mean at `now`, with `guess` as a prior that weighs as much as two fresh parts.
    pub(crate) fn read(&self, now: Tenths, half_life: Tenths, guess: f64) -> f64 {
        (self.sum.read(now, half_life) + 2.0 * guess) / (self.weight.read(now, half_life) + 2.0)
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, part: f64) {
        self.sum.add(now, half_life, part);
        self.weight.add(now, half_life, 1.0);
    }
}

/// How often an event happens, by age: one bucket of decaying sums for each power of two of the age.
#[derive(Debug, Default)]
pub(crate) struct ByAge(BTreeMap<u32, (Decay, Decay)>);

impl ByAge {
    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, age: Tenths, happened: bool) {
        let (times, cases) = self.0.entry(age.max(1).ilog2()).or_default();
        times.add(now, half_life, happened as u8 as f64);
        cases.add(now, half_life, 1.0);
    }

    /// The lowest age bucket in which the event happens in at least this share (`part`) of all cases, and at least
    /// `least` times. Returns the lower end of the bucket.
    pub(crate) fn first(&self, now: Tenths, half_life: Tenths, part: f64, least: f64) -> Option<Tenths> {
        let often = |(times, cases): &(Decay, Decay)| {
            let times = times.read(now, half_life);
            times >= least && times >= part * cases.read(now, half_life)
        };
        self.0.iter().find(|(_, sums)| often(sums)).map(|(age, _)| 1 << *age)
    }
}
