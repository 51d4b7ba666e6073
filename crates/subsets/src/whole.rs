//! Subsets worked out from all that is told at once.

use crate::set::Set;
use crate::share::Share;
use crate::told::{Member, Refused, Role, Router, Rule, check};
use crate::weight::{Total, Weighed, weighed};
use std::collections::BTreeMap;

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
///
/// # Errors
/// [`Refused`] names the first thing that makes no sense.
pub fn subset(
    me: u64,
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<i64, Subset>, Refused> {
    check(routers, members, rule)?;
    let routers = weighed(routers);
    let at = routers.iter().position(|r| r.number == me).ok_or(Refused::NotTold(me))?;
    let total = Total::of(&routers);
    let mine = |(number, mut subset, places): (i64, Subset, Vec<usize>)| {
        let mut set = Set::new(&places.iter().map(|place| &members[*place]).collect::<Vec<_>>(), rule);
        let given = set.given(&routers);
        let mine = own(&mut set, &given, &routers, total, at);
        subset.replicas = mine.into_iter().map(|i| places[i]).collect();
        (number, subset)
    };
    Ok(sets(members, rule).map(mine).collect())
}

/// The replicas of one router, by their places in the set. Only where what the routers pick by score is uneven are the
/// picks of all to be known.
pub(crate) fn own(set: &mut Set, given: &[i64], routers: &[Weighed], total: Total, at: usize) -> Vec<usize> {
    if !set.is_even(given, total) {
        return Share::of_set(set, routers).of(at);
    }
    let mut picked: Vec<usize> = set.pick(routers[at].number).iter().map(|(_, i)| *i).collect();
    picked.sort_unstable();
    picked
}

/// The subsets of all routers, by their numbers: the same as asking for each.
///
/// # Errors
/// [`Refused`] names the first thing that makes no sense.
pub fn fleet(
    routers: &[Router],
    members: &[Member],
    rule: &Rule,
) -> Result<BTreeMap<u64, BTreeMap<i64, Subset>>, Refused> {
    check(routers, members, rule)?;
    let routers = weighed(routers);
    let mut all: BTreeMap<u64, BTreeMap<i64, Subset>> = BTreeMap::new();
    for (number, subset, places) in sets(members, rule) {
        let mut set = Set::new(&places.iter().map(|place| &members[*place]).collect::<Vec<_>>(), rule);
        let share = Share::of_set(&mut set, &routers);
        for (at, router) in routers.iter().enumerate() {
            let replicas = share.of(at).into_iter().map(|i| places[i]).collect();
            let subset = Subset { replicas, ..subset.clone() };
            all.entry(router.number).or_default().insert(number, subset);
        }
    }
    Ok(all)
}

/// Each set: what is known without routers, and the places of its replicas in the order of their ids.
fn sets(members: &[Member], rule: &Rule) -> impl Iterator<Item = (i64, Subset, Vec<usize>)> {
    let mut sets: BTreeMap<i64, (Subset, Vec<usize>)> = BTreeMap::new();
    for (place, member) in members.iter().enumerate() {
        let (subset, replicas) = sets.entry(member.set).or_default();
        let list = if member.role == Role::Primary { &mut subset.primaries } else { replicas };
        list.push(place);
    }
    sets.into_iter().map(|(set, (subset, mut replicas))| {
        replicas.sort_by(|a, b| members[*a].id.cmp(&members[*b].id));
        let short = replicas.len() < rule.short;
        (set, Subset { short, ..subset }, replicas)
    })
}
