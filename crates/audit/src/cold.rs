//! What reaches a cold member, by router.

use crate::{Figures, Micros};
use std::collections::{BTreeMap, VecDeque};

pub(crate) struct Cold {
    pub(crate) started: Micros,
    strength: f64,
    pushed: VecDeque<(Micros, usize, f64)>,
    sum: f64,
    /// It is over already: one breach a start.
    over: bool,
}

impl Cold {
    pub(crate) fn new(started: Micros, strength: f64) -> Cold {
        Cold { started, strength, pushed: VecDeque::new(), sum: 0.0, over: false }
    }

    /// Counts what is sent. The parts of the routers, if this pushes the member over.
    pub(crate) fn push(
        &mut self,
        at: Micros,
        router: usize,
        work: f64,
        f: &Figures,
    ) -> Option<Vec<(usize, f64)>> {
        if self.over || at - self.started >= f.cold_over {
            self.pushed.clear();
            self.sum = 0.0;
            return None;
        }
        self.pushed.push_back((at, router, work));
        self.sum += work;
        while let Some((_, _, work)) = self.pushed.front().copied().filter(|p| p.0 <= at - f.span) {
            self.sum -= work;
            self.pushed.pop_front();
        }
        let warmth = (at - self.started).max(0) as f64 / f.cold_over.max(1) as f64;
        let can = (f.cold_from + (1.0 - f.cold_from) * warmth) * self.strength * f.span as f64;
        if self.sum <= f.multiple * can {
            return None;
        }
        self.over = true;
        let mut parts = BTreeMap::new();
        self.pushed.iter().for_each(|(_, router, work)| *parts.entry(*router).or_insert(0.0) += work);
        Some(parts.into_iter().collect())
    }
}
