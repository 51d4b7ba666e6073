//! Order in which peers are probed: round robin over a list that is shuffled for each round, so that no peer waits longer
//! than two rounds.

use nanorand::{Rng, WyRand};

use crate::Name;

#[derive(Default)]
pub(crate) struct ProbeOrder {
    round: Vec<Name>,
}

impl ProbeOrder {
    /// The next eligible peer. When the round is used up, starts a new one with all eligible names in random order.
    pub(crate) fn next<'a>(
        &mut self,
        all: impl Iterator<Item = &'a Name>,
        eligible: impl Fn(&Name) -> bool,
        rng: &mut WyRand,
    ) -> Option<Name> {
        while let Some(name) = self.round.pop() {
            if eligible(&name) {
                return Some(name);
            }
        }
        self.round = all.filter(|name| eligible(name)).cloned().collect();
        rng.shuffle(&mut self.round);
        self.round.pop()
    }

    /// Inserts a new peer at a random position of the current round.
    pub(crate) fn insert(&mut self, name: Name, rng: &mut WyRand) {
        let at = rng.generate_range(0..=self.round.len());
        self.round.insert(at, name);
    }
}
