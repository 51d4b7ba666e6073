//! Who is probed next: everybody once in a shuffled round, so that nobody waits longer than two rounds.

use nanorand::{Rng, WyRand};

use crate::Name;

#[derive(Default)]
pub(crate) struct Order {
    round: Vec<Name>,
}

impl Order {
    /// The next of those for whom `fits`; a new round of `all` is shuffled when the last is through.
    pub(crate) fn next<'a>(
        &mut self,
        all: impl Iterator<Item = &'a Name>,
        fits: impl Fn(&Name) -> bool,
        chance: &mut WyRand,
    ) -> Option<Name> {
        while let Some(name) = self.round.pop() {
            if fits(&name) {
                return Some(name);
            }
        }
        self.round = all.filter(|name| fits(name)).cloned().collect();
        chance.shuffle(&mut self.round);
        self.round.pop()
    }

    /// A newcomer gets a place by chance in the running round.
    pub(crate) fn join(&mut self, name: Name, chance: &mut WyRand) {
        let at = chance.generate_range(0..=self.round.len());
        self.round.insert(at, name);
    }
}
