//! A running suspicion: the more independent observers confirm it, the earlier its deadline.

use std::collections::BTreeSet;

use crate::{Name, Tenths};

/// With this many confirmations besides the first observer, the suspicion lasts its minimum time.
const CONFIRMATIONS_FOR_MIN: usize = 3;
/// log2(1 + confirmations) / log2(1 + [`CONFIRMATIONS_FOR_MIN`]) in 1024ths, by number of confirmations.
const LOG_FRACTIONS: [i64; CONFIRMATIONS_FOR_MIN + 1] = [0, 512, 811, 1_024];

/// A suspicion and the observers that confirmed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    since: Tenths,
    min: Tenths,
    max: Tenths,
    observers: BTreeSet<Name>,
}

impl Suspicion {
    pub(crate) fn new(since: Tenths, min: Tenths, max: Tenths, by: Name) -> Suspicion {
        Suspicion { since, min, max, observers: BTreeSet::from([by]) }
    }

    /// Adds the confirmation of an observer. Returns true if that observer is new and still counts.
    pub(crate) fn confirm(&mut self, by: &Name) -> bool {
        self.observers.len() <= CONFIRMATIONS_FOR_MIN && self.observers.insert(by.clone())
    }

    /// Limits the suspicion to its minimum time: another instance already holds the suspect dead, and the minimum is
    /// enough for it to refute that.
    pub(crate) fn shorten(&mut self) {
        self.max = self.min;
    }

    /// Extends the suspicion by a time during which the observer did not run.
    pub(crate) fn postpone(&mut self, by: Tenths) {
        self.since += by;
    }

    pub(crate) fn deadline(&self) -> Tenths {
        let confirmed = (self.observers.len() - 1).min(CONFIRMATIONS_FOR_MIN);
        self.since + self.max - (self.max - self.min) * LOG_FRACTIONS[confirmed] / 1_024
    }
}
