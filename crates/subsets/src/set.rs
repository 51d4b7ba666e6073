//! The replicas of one set, and which of them a router takes by score alone.

use crate::fair::parts;
use crate::score::Scores;
use crate::told::{Member, Rule};
use crate::weight::{Total, Weighed};
use std::collections::BTreeSet;

/// Sums of routers' weights that a replica should be given: its fair part, and the bounds around it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) fair: f64,
    pub(crate) most: f64,
    pub(crate) least: f64,
}

impl Bounds {
    pub(crate) fn hold(&self, given: i64) -> bool {
        given as f64 <= self.most && given as f64 >= self.least
    }
}

/// The replicas of one set in the order of their ids. Danger: lists come in any order; all routers must mend the same
/// replica first.
pub(crate) struct Set {
    /// Of each, the place of its zone among those of the set.
    pub(crate) zones: Vec<usize>,
    weights: Vec<f64>,
    scores: Vec<Scores>,
    /// Of each, what part of all the routers' weight is fair.
    parts: Vec<f64>,
    /// All replicas weigh the same.
    alike: bool,
    pub(crate) apart: bool,
    pub(crate) picks: usize,
    most: f64,
    least: f64,
    /// Room to order the replicas in by how little they suit.
    order: Vec<(f64, usize)>,
}

impl Set {
    /// Told by id.
    pub(crate) fn new(replicas: &[&Member], rule: &Rule) -> Set {
        let weights: Vec<f64> = replicas.iter().map(|m| m.weight).collect();
        let zones: BTreeSet<&str> = replicas.iter().map(|m| m.zone.as_str()).collect();
        let place = |m: &&Member| zones.iter().take_while(|zone| **zone != m.zone).count();
        Set {
            zones: replicas.iter().map(place).collect(),
            scores: replicas.iter().map(|m| Scores::new(&m.id)).collect(),
            parts: parts(&weights, rule.replicas),
            alike: weights.windows(2).all(|w| w[0] == w[1]),
            apart: rule.apart && rule.replicas > 1 && zones.len() > 1,
            picks: rule.replicas.min(replicas.len()),
            most: rule.most,
            least: rule.least,
            order: Vec::with_capacity(replicas.len()),
            weights,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.weights.len()
    }

    pub(crate) fn bounds(&self, replica: usize, total: Total) -> Bounds {
        // Just under one router: a part of whole routers is met exactly, another to the next whole one.
        let round = total.heaviest as f64 * (1.0 - 1e-6);
        let fair = self.parts[replica] * total.all as f64;
        Bounds {
            fair,
            most: (fair * self.most).max(fair + round),
            least: (fair * self.least).min(fair - round),
        }
    }

    /// Does every replica have what it should? Where all are picked there is no choice.
    pub(crate) fn is_even(&self, given: &[i64], total: Total) -> bool {
        let even = |(at, given): (usize, &i64)| self.bounds(at, total).hold(*given);
        self.picks == self.len() || given.iter().enumerate().all(even)
    }

    /// How little a replica suits the router of this number.
    pub(crate) fn cost(&mut self, replica: usize, number: u64) -> f64 {
        let score = self.scores[replica].with(number);
        if self.alike { score } else { -(1.0 - score).ln() / self.weights[replica] }
    }

    /// The replicas that suit a router best: their places here and costs.
    pub(crate) fn pick(&mut self, number: u64) -> &[(f64, usize)] {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        order.extend((0..self.len()).map(|i| (self.cost(i, number), i)));
        let by_cost = |a: &(f64, usize), b: &(f64, usize)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let picks = self.picks;
        if self.apart {
            order.sort_unstable_by(by_cost);
            let zone = |at: usize| self.zones[order[at].1];
            // Danger: a lost zone takes all replicas of the subset. The last pick goes to the best of another.
            let alike = (1..picks).all(|at| zone(at) == zone(0));
            if let Some(other) = (picks..order.len()).find(|at| alike && zone(*at) != zone(0)) {
                order.swap(picks - 1, other);
            }
        } else if picks < order.len() {
            order.select_nth_unstable_by(picks, by_cost);
        }
        self.order = order;
        &self.order[..picks]
    }

    /// The sums of weights of the routers that pick each replica, before mending.
    pub(crate) fn given(&mut self, routers: &[Weighed]) -> Vec<i64> {
        let mut given = vec![0; self.len()];
        for router in routers {
            self.pick(router.number).iter().for_each(|(_, i)| given[*i] += router.weight);
        }
        given
    }
}
