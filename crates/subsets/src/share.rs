//! Assignment of routers to the replicas of one set: each router's best replicas by score, rebalanced until every
//! replica is within its bounds.
//!
//! Every router computes the picks of all routers: first the best of each, then, for each replica outside its bounds,
//! the moves that increase the routers' costs least. Such moves are nearly ties, so a fleet that grows a little makes
//! nearly the same moves.

use crate::set::{Bounds, Set};
use crate::weight::{Total, WeightedRouter};

/// Maximum number of rebalancing rounds over all replicas, since rebalancing one may unbalance another. What is outside
/// its bounds after that stays so.
const MAX_ROUNDS: usize = 8;

/// One replica.
struct Replica {
    zone: usize,
    /// By router, sorted by number: cost of this replica.
    costs: Vec<f64>,
    picked: Vec<bool>,
    assigned: i64,
    bounds: Bounds,
}

/// Which routers pick which replicas of one set.
pub(crate) struct Assignment<'a> {
    replicas: Vec<Replica>,
    routers: &'a [WeightedRouter],
    spread_zones: bool,
}

impl<'a> Assignment<'a> {
    /// `routers` must be sorted by number.
    pub(crate) fn compute(set: &mut Set, routers: &'a [WeightedRouter]) -> Assignment<'a> {
        let (total, count) = (Total::of(routers), set.len());
        let replica = |at: usize| Replica {
            zone: set.zones[at],
            costs: routers.iter().map(|r| set.cost(at, r.number)).collect(),
            picked: vec![false; routers.len()],
            assigned: 0,
            bounds: set.bounds(at, total),
        };
        let replicas = (0..count).map(replica).collect();
        let mut assignment = Assignment { replicas, routers, spread_zones: set.spread_zones };
        for (at, router) in routers.iter().enumerate() {
            for (_, i) in set.pick(router.number) {
                assignment.replicas[*i].picked[at] = true;
                assignment.replicas[*i].assigned += router.weight;
            }
        }
        if set.picks < set.len() {
            assignment.rebalance();
        }
        assignment
    }

    /// Replicas that a router picks, as indexes in the set.
    pub(crate) fn picks_of(&self, router: usize) -> Vec<usize> {
        (0..self.replicas.len()).filter(|i| self.replicas[*i].picked[router]).collect()
    }

    /// Moves picks until all replicas are within their bounds, or the rounds are used up. Danger: without this, some
    /// replicas would by chance get more connections than they can handle while others idle.
    fn rebalance(&mut self) {
        for _ in 0..MAX_ROUNDS {
            let mut balanced = true;
            for i in 0..self.replicas.len() {
                let r = &self.replicas[i];
                if !r.bounds.contains(r.assigned) {
                    self.rebalance_replica(i, r.assigned as f64 > r.bounds.max);
                    balanced = false;
                }
            }
            if balanced {
                return;
            }
        }
    }

    /// Moves routers off replica `target` (`off`) or on to it, cheapest moves first, until it is within its bounds.
    fn rebalance_replica(&mut self, target: usize, off: bool) {
        let mut moves: Vec<(f64, usize, usize)> = Vec::new();
        let own = &self.replicas[target];
        for (other, r) in self.replicas.iter().enumerate() {
            if other == target || ((r.assigned as f64) < r.bounds.fair) != off {
                continue;
            }
            let (from, to) = if off { (own, r) } else { (r, own) };
            let open = (0..self.routers.len()).filter(|i| from.picked[*i] && !to.picked[*i]);
            moves.extend(open.map(|i| (to.costs[i] - from.costs[i], i, other)));
        }
        moves.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, router, other) in moves {
            let r = &self.replicas[target];
            if r.bounds.contains(r.assigned) {
                return;
            }
            let (from, to) = if off { (target, other) } else { (other, target) };
            if self.may_move(router, from, to) {
                let weight = self.routers[router].weight;
                (self.replicas[from].picked[router], self.replicas[to].picked[router]) = (false, true);
                self.replicas[from].assigned -= weight;
                self.replicas[to].assigned += weight;
            }
        }
    }

    /// Whether a pick can move from one replica to another without breaking bounds or the separation of zones.
    fn may_move(&self, router: usize, from: usize, to: usize) -> bool {
        let (f, t, weight) = (&self.replicas[from], &self.replicas[to], self.routers[router].weight);
        let within_bounds =
            (f.assigned - weight) as f64 >= f.bounds.min && (t.assigned + weight) as f64 <= t.bounds.max;
        let still_picked = f.picked[router] && !t.picked[router];
        // Replicas that the router keeps; together with `to` they must not all be in one zone.
        let kept = |(i, r): &(usize, &Replica)| r.picked[router] && *i != from;
        let spread_over_zones =
            || self.replicas.iter().enumerate().filter(kept).any(|(_, r)| r.zone != t.zone);
        still_picked && within_bounds && (!self.spread_zones || spread_over_zones())
    }
}
