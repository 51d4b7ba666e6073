//! The replicas of one set, and which of them a router picks by score before rebalancing.

use crate::fair::fair_shares;
use crate::score::Scores;
use crate::told::{Member, Rule};
use crate::weight::{Total, WeightedRouter};
use std::collections::BTreeSet;

/// Total router weight that a replica should be assigned: its fair share and the bounds around it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) fair: f64,
    pub(crate) max: f64,
    pub(crate) min: f64,
}

impl Bounds {
    pub(crate) fn contains(&self, assigned: i64) -> bool {
        assigned as f64 <= self.max && assigned as f64 >= self.min
    }
}

/// The replicas of one set, sorted by id. Danger: member lists arrive in any order, and all routers must rebalance the
/// replicas in the same order, or they compute different subsets.
pub(crate) struct Set {
    /// By replica: index of its zone among the zones of the set.
    pub(crate) zones: Vec<usize>,
    weights: Vec<f64>,
    scores: Vec<Scores>,
    /// By replica: its fair share of the routers' total weight.
    fair_shares: Vec<f64>,
    /// All replicas have the same weight.
    equal_weights: bool,
    pub(crate) spread_zones: bool,
    pub(crate) picks: usize,
    max_share: f64,
    min_share: f64,
    /// Buffer for sorting the replicas by cost.
    order: Vec<(f64, usize)>,
}

impl Set {
    /// `replicas` must be sorted by id.
    pub(crate) fn new(replicas: &[&Member], rule: &Rule) -> Set {
        let weights: Vec<f64> = replicas.iter().map(|m| m.weight).collect();
        let zones: BTreeSet<&str> = replicas.iter().map(|m| m.zone.as_str()).collect();
        let zone_index = |m: &&Member| zones.iter().take_while(|zone| **zone != m.zone).count();
        Set {
            zones: replicas.iter().map(zone_index).collect(),
            scores: replicas.iter().map(|m| Scores::new(&m.id)).collect(),
            fair_shares: fair_shares(&weights, rule.replicas),
            equal_weights: weights.windows(2).all(|w| w[0] == w[1]),
            spread_zones: rule.spread_zones && rule.replicas > 1 && zones.len() > 1,
            picks: rule.replicas.min(replicas.len()),
            max_share: rule.max_share,
            min_share: rule.min_share,
            order: Vec::with_capacity(replicas.len()),
            weights,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.weights.len()
    }

    pub(crate) fn bounds(&self, replica: usize, total: Total) -> Bounds {
        // Just under one router: a fair share of whole routers is met exactly, another to the next whole router.
        let one_router = total.heaviest as f64 * (1.0 - 1e-6);
        let fair = self.fair_shares[replica] * total.all as f64;
        Bounds {
            fair,
            max: (fair * self.max_share).max(fair + one_router),
            min: (fair * self.min_share).min(fair - one_router),
        }
    }

    /// Whether every replica is within its bounds. Always true if all replicas are picked, as there is no choice.
    pub(crate) fn is_even(&self, assigned: &[i64], total: Total) -> bool {
        let even = |(at, assigned): (usize, &i64)| self.bounds(at, total).contains(*assigned);
        self.picks == self.len() || assigned.iter().enumerate().all(even)
    }

    /// Cost of a replica for the router of this number; the lowest costs are picked.
    pub(crate) fn cost(&mut self, replica: usize, number: u64) -> f64 {
        let score = self.scores[replica].with(number);
        if self.equal_weights { score } else { -(1.0 - score).ln() / self.weights[replica] }
    }

    /// The replicas with the lowest costs for a router: costs and indexes.
    pub(crate) fn pick(&mut self, number: u64) -> &[(f64, usize)] {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        order.extend((0..self.len()).map(|i| (self.cost(i, number), i)));
        let by_cost = |a: &(f64, usize), b: &(f64, usize)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let picks = self.picks;
        if self.spread_zones {
            order.sort_unstable_by(by_cost);
            let zone = |at: usize| self.zones[order[at].1];
            // Danger: the loss of a zone would take all replicas of the subset with it. The last pick is replaced by
            // the best replica of another zone.
            let same_zone = (1..picks).all(|at| zone(at) == zone(0));
            if let Some(other) = (picks..order.len()).find(|at| same_zone && zone(*at) != zone(0)) {
                order.swap(picks - 1, other);
            }
        } else if picks < order.len() {
            order.select_nth_unstable_by(picks, by_cost);
        }
        self.order = order;
        &self.order[..picks]
    }

    /// By replica: total weight of the routers that pick it, before rebalancing.
    pub(crate) fn assigned(&mut self, routers: &[WeightedRouter]) -> Vec<i64> {
        let mut assigned = vec![0; self.len()];
        for router in routers {
            self.pick(router.number).iter().for_each(|(_, i)| assigned[*i] += router.weight);
        }
        assigned
    }
}
