//! A suspicion that runs: the more independent observers confirm it, the sooner it ends.

use std::collections::BTreeSet;

use crate::{Name, Tenths};

/// So many confirmations beside the first observer bring the least time.
const ENOUGH: usize = 3;
/// log2(1 + confirmations) in 1024ths, over log2(1 + [`ENOUGH`]).
const PART: [i64; ENOUGH + 1] = [0, 512, 811, 1_024];

/// A suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    since: Tenths,
    least: Tenths,
    most: Tenths,
    by: BTreeSet<Name>,
}

impl Suspicion {
    pub(crate) fn new(since: Tenths, least: Tenths, most: Tenths, by: Name) -> Suspicion {
        Suspicion { since, least, most, by: BTreeSet::from([by]) }
    }

    /// Another observer says the same. True if that was new.
    pub(crate) fn confirm(&mut self, by: &Name) -> bool {
        self.by.len() <= ENOUGH && self.by.insert(by.clone())
    }

    /// It has been called dead elsewhere: the least time is enough for it to answer.
    pub(crate) fn hasten(&mut self) {
        self.most = self.least;
    }

    /// Time that did not pass for the observer does not count.
    pub(crate) fn put_off(&mut self, by: Tenths) {
        self.since += by;
    }

    pub(crate) fn ends(&self) -> Tenths {
        let confirmed = (self.by.len() - 1).min(ENOUGH);
        self.since + self.most - (self.most - self.least) * PART[confirmed] / 1_024
    }
}
