//! Work that is sent to a cold member, by router.

use crate::{Figures, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member since its latest start, and the work sent to it while it is cold.
pub(crate) struct Cold {
    pub(crate) started: Micros,
    strength: f64,
    recent_work: VecDeque<(Micros, usize, f64)>,
    sum: f64,
    /// A breach was reported already; at most one is reported for each start.
    reported: bool,
    /// Routers that know of this start.
    informed_routers: BTreeSet<usize>,
}

impl Cold {
    pub(crate) fn new(started: Micros, strength: f64) -> Cold {
        Cold {
            started,
            strength,
            recent_work: VecDeque::new(),
            sum: 0.0,
            reported: false,
            informed_routers: BTreeSet::new(),
        }
    }

    pub(crate) fn report_start(&mut self, router: usize) {
        self.informed_routers.insert(router);
    }

    /// Adds work that is sent. Returns the work by router if this overloads the member and at least two thirds of the
    /// work came from routers that know of its start; the others could not know that it is cold.
    pub(crate) fn push(
        &mut self,
        at: Micros,
        router: usize,
        work: f64,
        f: &Figures,
    ) -> Option<Vec<(usize, f64)>> {
        if self.reported || at - self.started >= f.cold_duration {
            self.recent_work.clear();
            self.sum = 0.0;
            return None;
        }
        self.recent_work.push_back((at, router, work));
        self.sum += work;
        while let Some((_, _, work)) = self.recent_work.front().copied().filter(|p| p.0 <= at - f.span) {
            self.sum -= work;
            self.recent_work.pop_front();
        }
        let warm_fraction = (at - self.started).max(0) as f64 / f.cold_duration.max(1) as f64;
        let allowed = (f.cold_start_capacity + (1.0 - f.cold_start_capacity) * warm_fraction)
            * self.strength
            * f.span as f64;
        if self.sum <= f.multiple * allowed {
            return None;
        }
        self.reported = true;
        let mut work_by_router: BTreeMap<usize, f64> = BTreeMap::new();
        self.recent_work
            .iter()
            .for_each(|(_, router, work)| *work_by_router.entry(*router).or_insert(0.0) += work);
        let informed_work: f64 = work_by_router
            .iter()
            .filter(|(router, _)| self.informed_routers.contains(router))
            .map(|(_, part)| part)
            .sum();
        (3.0 * informed_work >= 2.0 * self.sum).then(|| work_by_router.into_iter().collect())
    }
}
