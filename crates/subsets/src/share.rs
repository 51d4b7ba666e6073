//! Subsets: each router's best by score, mended until each replica is within its bounds.
//!
//! Every router works out the picks of all: first each router's best, then, for each replica above its most or below
//! its least, the moves that cost the routers least in score. Such moves are nearly ties, and a fleet that grows by a
//! little makes nearly the same ones.

use crate::fair::parts;
use crate::score::scores;
use crate::told::{Member, Refused, Role, Router, Rule, check};
use std::collections::{BTreeMap, BTreeSet};

/// Mending one replica may undo another's; so many rounds over all at most. What is left then stays.
const ROUNDS_MOST: usize = 8;

/// What one router talks to in one set: places in the list of members told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// All that are listed as primary: two while a list is behind a change.
    pub primaries: Vec<usize>,
    /// In the order of their ids.
    pub replicas: Vec<usize>,
    /// The set has fewer replicas than the rule calls short.
    pub short: bool,
}

/// The members of each set that router `me` talks to. Routers and members may be told in any order.
pub fn subset(
    me: u64,
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<i64, Subset>, Refused> {
    check(routers, members, rule)?;
    let routers = in_order(routers);
    let at = routers.iter().position(|r| r.number == me).ok_or(Refused::NotTold(me))?;
    let mine = |(set, share, of): (i64, Share<'_>, Subset)| (set, Subset { replicas: share.of(at), ..of });
    Ok(sets(&routers, members, rule).map(mine).collect())
}

/// The subsets of all routers, by their numbers: the same as asking for each.
pub fn fleet(
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<u64, BTreeMap<i64, Subset>>, Refused> {
    check(routers, members, rule)?;
    let routers = in_order(routers);
    let mut all: BTreeMap<u64, BTreeMap<i64, Subset>> = BTreeMap::new();
    for (set, share, of) in sets(&routers, members, rule) {
        for (at, router) in routers.iter().enumerate() {
            let subset = Subset { replicas: share.of(at), ..of.clone() };
            all.entry(router.number).or_default().insert(set, subset);
        }
    }
    Ok(all)
}

/// Danger: sums of weights differ in the last bit by their order, and with them a bound that is just met.
fn in_order(routers: &[Router]) -> Vec<Router> {
    let mut routers = routers.to_vec();
    routers.sort_by_key(|r| r.number);
    routers
}

fn sets<'a>(
    routers: &'a [Router],
    members: &'a [Member],
    rule: &'a Rule,
) -> impl Iterator<Item = (i64, Share<'a>, Subset)> {
    let mut sets: BTreeMap<i64, (Subset, Vec<usize>)> = BTreeMap::new();
    for (place, member) in members.iter().enumerate() {
        let (subset, replicas) = sets.entry(member.set).or_default();
        let list = if member.role == Role::Primary { &mut subset.primaries } else { replicas };
        list.push(place);
    }
    sets.into_iter().map(move |(set, (subset, replicas))| {
        let short = replicas.len() < rule.short;
        (set, Share::of_set(routers, members, replicas, rule), Subset { short, ..subset })
    })
}

/// One replica. Given, fair, most and least are sums of routers' weights.
struct Replica<'a> {
    place: usize,
    zone: &'a str,
    /// By router: how little it suits, in the order of their numbers.
    costs: Vec<f64>,
    picked: Vec<bool>,
    given: f64,
    fair: f64,
    most: f64,
    least: f64,
}

/// Who picks which replicas of one set.
struct Share<'a> {
    replicas: Vec<Replica<'a>>,
    routers: &'a [Router],
    apart: bool,
}

impl<'a> Share<'a> {
    fn of_set(
        routers: &'a [Router],
        members: &'a [Member],
        mut places: Vec<usize>,
        rule: &Rule,
    ) -> Share<'a> {
        // Danger: lists come in any order. By id, all routers mend the same replica first.
        places.sort_by(|a, b| members[*a].id.cmp(&members[*b].id));
        let weights: Vec<f64> = places.iter().map(|i| members[*i].weight).collect();
        let alike = weights.windows(2).all(|w| w[0] == w[1]);
        let all: f64 = routers.iter().map(|r| r.weight).sum();
        let heaviest = routers.iter().map(|r| r.weight).fold(0.0, f64::max);
        // Just under one router: a part of whole routers is met exactly, another to the next whole one.
        let round = heaviest * (1.0 - 1e-6);
        let replica = |(&place, part): (&usize, f64)| {
            let member = &members[place];
            let mut costs = scores(&member.id, routers.iter().map(|r| r.number));
            if !alike {
                costs.iter_mut().for_each(|c| *c = -(1.0 - *c).ln() / member.weight);
            }
            let fair = part * all;
            let (most, least) = ((fair * rule.most).max(fair + round), (fair * rule.least).min(fair - round));
            let picked = vec![false; routers.len()];
            Replica { place, zone: &member.zone, costs, picked, given: 0.0, fair, most, least }
        };
        let replicas: Vec<Replica<'_>> =
            places.iter().zip(parts(&weights, rule.replicas)).map(replica).collect();
        let zones: BTreeSet<&str> = replicas.iter().map(|r| r.zone).collect();
        let apart = rule.apart && rule.replicas > 1 && zones.len() > 1;
        let mut share = Share { replicas, routers, apart };
        let picks = rule.replicas.min(places.len());
        let mut order = Vec::with_capacity(places.len());
        (0..routers.len()).for_each(|router| share.pick(router, picks, &mut order));
        if picks < places.len() {
            share.mend();
        }
        share
    }

    /// The places of the replicas that a router picks.
    fn of(&self, router: usize) -> Vec<usize> {
        self.replicas.iter().filter(|r| r.picked[router]).map(|r| r.place).collect()
    }

    /// The best by score. `order` is room to work in.
    fn pick(&mut self, router: usize, picks: usize, order: &mut Vec<(f64, usize)>) {
        order.clear();
        order.extend(self.replicas.iter().zip(0..).map(|(r, i)| (r.costs[router], i)));
        let by_cost = |a: &(f64, usize), b: &(f64, usize)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        if self.apart {
            order.sort_unstable_by(by_cost);
            let zone = |at: usize| self.replicas[order[at].1].zone;
            // Danger: a lost zone takes all replicas of the subset. The last pick goes to the best of another.
            let alike = (1..picks).all(|at| zone(at) == zone(0));
            if let Some(other) = (picks..order.len()).find(|at| alike && zone(*at) != zone(0)) {
                order.swap(picks - 1, other);
            }
        } else if picks < order.len() {
            order.select_nth_unstable_by(picks, by_cost);
        }
        for (_, i) in &order[..picks] {
            self.replicas[*i].picked[router] = true;
            self.replicas[*i].given += self.routers[router].weight;
        }
    }

    /// Danger: by chance a replica gets more connections than it bears while another idles.
    fn mend(&mut self) {
        for _ in 0..ROUNDS_MOST {
            let mut whole = true;
            for i in 0..self.replicas.len() {
                let r = &self.replicas[i];
                let (over, under) = (r.given > r.most, r.given < r.least);
                if over || under {
                    self.mend_one(i, over);
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
            if other == this || (r.given < r.fair) != off {
                continue;
            }
            let (from, to) = if off { (mine, r) } else { (r, mine) };
            let open = (0..self.routers.len()).filter(|i| from.picked[*i] && !to.picked[*i]);
            moves.extend(open.map(|i| (to.costs[i] - from.costs[i], i, other)));
        }
        moves.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, router, other) in moves {
            let r = &self.replicas[this];
            if r.given <= r.most && r.given >= r.least {
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
        let bounds = f.given - weight >= f.least && t.given + weight <= t.most;
        let still = f.picked[router] && !t.picked[router];
        // The others that the router keeps: with `to` they may not all be of one zone.
        let kept = |(i, r): &(usize, &Replica<'_>)| r.picked[router] && *i != from;
        let spread = || self.replicas.iter().enumerate().filter(kept).any(|(_, r)| r.zone != t.zone);
        still && bounds && (!self.apart || spread())
    }
}
