//! When the refused come back: spread so that a release brings no more at once than this edge's share of the budget.

use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use vetchkeel_bounds::{SECOND, Tenths};

/// This edge's share of what the fleet admits, told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Readers that come back in one second.
    pub per_second: u32,
    /// Seconds ahead for which places are given out. Beyond, the last second takes all: they are told to come late.
    pub seconds: u32,
}

/// A calendar of seconds on the edge's monotonic clock.
#[derive(Clone, Debug)]
pub struct Crowd {
    budget: Budget,
    taken: BTreeMap<i64, u32>,
    /// From a full second to one that may have room, so that a long crowd isn't walked for each reader.
    onward: BTreeMap<i64, i64>,
    chance: WyRand,
}

impl Crowd {
    pub fn new(budget: Budget, seed: u64) -> Self {
        Crowd { budget, taken: BTreeMap::new(), onward: BTreeMap::new(), chance: WyRand::new_seed(seed) }
    }

    /// Places already given stay.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
        self.onward.clear();
    }

    /// The first second from `from` on with room.
    fn free(&mut self, from: i64, last: i64) -> i64 {
        let mut second = from;
        let mut passed = Vec::new();
        while second < last && self.taken.get(&second).is_some_and(|n| *n >= self.budget.per_second.max(1)) {
            passed.push(second);
            second = self.onward.get(&second).copied().unwrap_or(second + 1);
        }
        for full in passed {
            self.onward.insert(full, second);
        }
        second.min(last)
    }

    /// Takes a place in the second that holds `at`, if it has one.
    pub fn take_at(&mut self, now: Tenths, at: Tenths) -> bool {
        self.drop_past(now);
        let second = at.div_euclid(SECOND);
        let free = self.taken.get(&second).is_none_or(|n| *n < self.budget.per_second);
        if free && self.within(now, second) {
            *self.taken.entry(second).or_insert(0) += 1;
            return true;
        }
        false
    }

    /// An instant to come back, not before `not_before`.
    pub fn place(&mut self, now: Tenths, not_before: Tenths) -> Tenths {
        self.drop_past(now);
        let last = now.div_euclid(SECOND) + i64::from(self.budget.seconds.max(1));
        // A second that `not_before` cuts is left out, so that all of the chosen one can be used.
        let from = (not_before.max(now).div_euclid(SECOND) + 1).min(last);
        let second = self.free(from, last);
        *self.taken.entry(second).or_insert(0) += 1;
        second * SECOND + self.chance.generate_range(0..SECOND as u64) as Tenths
    }

    fn within(&self, now: Tenths, second: i64) -> bool {
        second <= now.div_euclid(SECOND) + i64::from(self.budget.seconds.max(1))
    }

    fn drop_past(&mut self, now: Tenths) {
        let second = now.div_euclid(SECOND);
        self.taken = self.taken.split_off(&second);
        self.onward = self.onward.split_off(&second);
    }
}
