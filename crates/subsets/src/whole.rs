//! Subsets computed from complete lists of routers and members.

use crate::set::Set;
use crate::share::Assignment;
use crate::told::{InputError, Member, Role, Router, Rule, check};
use crate::weight::{Total, WeightedRouter, weighted_routers};
use std::collections::BTreeMap;

/// One router's subset of one set, as indexes into the list of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// All members listed as primary; there may be two while the list is behind a change of primary.
    pub primaries: Vec<usize>,
    /// Sorted by id.
    pub replicas: Vec<usize>,
    /// The set has fewer replicas than [`Rule::short_below`].
    pub short: bool,
}

/// Subset of each set for router `me`. Routers and members may be in any order.
///
/// # Errors
/// [`InputError`] names the first invalid input.
pub fn subset(
    me: u64,
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<i64, Subset>, InputError> {
    check(routers, members, rule)?;
    let routers = weighted_routers(routers);
    let at = routers.iter().position(|r| r.number == me).ok_or(InputError::UnknownRouter(me))?;
    let total = Total::of(&routers);
    let mine = |(number, mut subset, indexes): (i64, Subset, Vec<usize>)| {
        let mut set = Set::new(&indexes.iter().map(|index| &members[*index]).collect::<Vec<_>>(), rule);
        let assigned = set.assigned(&routers);
        let mine = pick_replicas(&mut set, &assigned, &routers, total, at);
        subset.replicas = mine.into_iter().map(|i| indexes[i]).collect();
        (number, subset)
    };
    Ok(sets(members, rule).map(mine).collect())
}

/// Replicas that one router picks, as indexes in the set. The picks of all routers are computed only if those by score
/// leave a replica outside its bounds.
pub(crate) fn pick_replicas(
    set: &mut Set,
    assigned: &[i64],
    routers: &[WeightedRouter],
    total: Total,
    at: usize,
) -> Vec<usize> {
    if !set.is_even(assigned, total) {
        return Assignment::compute(set, routers).picks_of(at);
    }
    let mut picked: Vec<usize> = set.pick(routers[at].number).iter().map(|(_, i)| *i).collect();
    picked.sort_unstable();
    picked
}

/// Subsets of all routers by number, equal to calling [`subset`] for each.
///
/// # Errors
/// [`InputError`] names the first invalid input.
pub fn fleet(
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<u64, BTreeMap<i64, Subset>>, InputError> {
    check(routers, members, rule)?;
    let routers = weighted_routers(routers);
    let mut all: BTreeMap<u64, BTreeMap<i64, Subset>> = BTreeMap::new();
    for (number, subset, indexes) in sets(members, rule) {
        let mut set = Set::new(&indexes.iter().map(|index| &members[*index]).collect::<Vec<_>>(), rule);
        let assignment = Assignment::compute(&mut set, &routers);
        for (at, router) in routers.iter().enumerate() {
            let replicas = assignment.picks_of(at).into_iter().map(|i| indexes[i]).collect();
            let subset = Subset { replicas, ..subset.clone() };
            all.entry(router.number).or_default().insert(number, subset);
        }
    }
    Ok(all)
}

/// By set: the part of its subset that does not depend on routers, and the indexes of its replicas, sorted by id.
fn sets(members: &[Member], rule: &Rule) -> impl Iterator<Item = (i64, Subset, Vec<usize>)> {
    let mut sets: BTreeMap<i64, (Subset, Vec<usize>)> = BTreeMap::new();
    for (index, member) in members.iter().enumerate() {
        let (subset, replicas) = sets.entry(member.set).or_default();
        let list = if member.role == Role::Primary { &mut subset.primaries } else { replicas };
        list.push(index);
    }
    sets.into_iter().map(|(set, (subset, mut replicas))| {
        replicas.sort_by(|a, b| members[*a].id.cmp(&members[*b].id));
        let short = replicas.len() < rule.short_below;
        (set, Subset { short, ..subset }, replicas)
    })
}
