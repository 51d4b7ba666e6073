//! A sum whose parts fade with age, brought up to date when it is read or added to.

use crate::interface::Tenths;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
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

    /// The same for a stream that began at `since`: what is not yet in the sum is not taken for a lull.
    pub(crate) fn rate_since(&self, now: Tenths, half_life: Tenths, since: Tenths) -> f64 {
        let seen = 1.0 - (-((now - since).max(1) as f64) / half_life.max(1) as f64).exp2();
        self.rate(now, half_life) / seen
    }

    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, amount: f64) {
        self.sum = self.read(now, half_life) + amount;
        self.at = self.at.max(now);
    }
}

/// A mean whose parts fade with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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

/// How often something happens by age: each doubling of the age has fading sums of its own.
#[derive(Debug, Default)]
pub(crate) struct ByAge(BTreeMap<u32, (Decay, Decay)>);

impl ByAge {
    pub(crate) fn add(&mut self, now: Tenths, half_life: Tenths, age: Tenths, happened: bool) {
        let (times, cases) = self.0.entry(age.max(1).ilog2()).or_default();
        times.add(now, half_life, happened as u8 as f64);
        cases.add(now, half_life, 1.0);
    }

    /// The age from which on it happens in this part of all cases, and so many times at least.
    pub(crate) fn first(&self, now: Tenths, half_life: Tenths, part: f64, least: f64) -> Option<Tenths> {
        let often = |(times, cases): &(Decay, Decay)| {
            let times = times.read(now, half_life);
            times >= least && times >= part * cases.read(now, half_life)
        };
        self.0.iter().find(|(_, sums)| often(sums)).map(|(age, _)| 1 << *age)
    }
}
