//! Who picks which replicas of one set: each router's best by score, mended until each replica is within its bounds.
//!
//! Every router works out the picks of all: first each router's best, then, for each replica above its most or below
//! its least, the moves that cost the routers least in score. Such moves are nearly ties, and a fleet that grows by a
//! little makes nearly the same ones.

use crate::set::{Bounds, Set};
use crate::weight::{Total, Weighed};

/// Mending one replica may undo another's; so many rounds over all at most. What is left then stays.
const ROUNDS_MOST: usize = 8;

/// One replica.
struct Replica {
    zone: usize,
    /// By router: how little it suits, in the order of their numbers.
    costs: Vec<f64>,
    picked: Vec<bool>,
    given: i64,
    bounds: Bounds,
}

/// Who picks which replicas of one set.
pub(crate) struct Share<'a> {
    replicas: Vec<Replica>,
    routers: &'a [Weighed],
    apart: bool,
}

impl<'a> Share<'a> {
    /// The routers in the order of their numbers.
    pub(crate) fn of_set(set: &mut Set, routers: &'a [Weighed]) -> Share<'a> {
        let (total, count) = (Total::of(routers), set.len());
        let replica = |at: usize| Replica {
            zone: set.zones[at],
            costs: routers.iter().map(|r| set.cost(at, r.number)).collect(),
            picked: vec![false; routers.len()],
            given: 0,
            bounds: set.bounds(at, total),
        };
        let replicas = (0..count).map(replica).collect();
        let mut share = Share { replicas, routers, apart: set.apart };
        for (at, router) in routers.iter().enumerate() {
            for (_, i) in set.pick(router.number) {
                share.replicas[*i].picked[at] = true;
                share.replicas[*i].given += router.weight;
            }
        }
        if set.picks < set.len() {
            share.mend();
        }
        share
    }

    /// The replicas that a router picks, by their places in the set.
    pub(crate) fn of(&self, router: usize) -> Vec<usize> {
        (0..self.replicas.len()).filter(|i| self.replicas[*i].picked[router]).collect()
    }

    /// Danger: by chance a replica gets more connections than it bears while another idles.
    fn mend(&mut self) {
        for _ in 0..ROUNDS_MOST {
            let mut whole = true;
            for i in 0..self.replicas.len() {
                let r = &self.replicas[i];
                if !r.bounds.hold(r.given) {
                    self.mend_one(i, r.given as f64 > r.bounds.most);
                    whole = false;
                }
            }
            if whole {
                return;
            }
        }
    }

    /// Moves routers off replica `this`, or on to it, the cheapest in score first, until it is within its bounds.
    fn mend_one(&mut self, this: usize, off: bool) {
        let mut moves: Vec<(f64, usize, usize)> = Vec::new();
        let mine = &self.replicas[this];
        for (other, r) in self.replicas.iter().enumerate() {
            if other == this || ((r.given as f64) < r.bounds.fair) != off {
                continue;
            }
            let (from, to) = if off { (mine, r) } else { (r, mine) };
            let open = (0..self.routers.len()).filter(|i| from.picked[*i] && !to.picked[*i]);
            moves.extend(open.map(|i| (to.costs[i] - from.costs[i], i, other)));
        }
        moves.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, router, other) in moves {
            let r = &self.replicas[this];
            if r.bounds.hold(r.given) {
                return;
            }
            let (from, to) = if off { (this, other) } else { (other, this) };
            if self.may_move(router, from, to) {
                let weight = self.routers[router].weight;
                (self.replicas[from].picked[router], self.replicas[to].picked[router]) = (false, true);
                self.replicas[from].given -= weight;
                self.replicas[to].given += weight;
            }
        }
    }

    fn may_move(&self, router: usize, from: usize, to: usize) -> bool {
        let (f, t, weight) = (&self.replicas[from], &self.replicas[to], self.routers[router].weight);
        let room = (f.given - weight) as f64 >= f.bounds.least && (t.given + weight) as f64 <= t.bounds.most;
        let still = f.picked[router] && !t.picked[router];
        // The others that the router keeps: with `to` they may not all be of one zone.
        let kept = |(i, r): &(usize, &Replica)| r.picked[router] && *i != from;
        let spread = || self.replicas.iter().enumerate().filter(kept).any(|(_, r)| r.zone != t.zone);
        still && room && (!self.apart || spread())
    }
}
