//! One router's subsets as routers and members come and go: what is told updates what is known, and the sets whose
//! subset changed are pulled. The answer is that of [`crate::subset`] for all that is told by then.
//!
//! A member touches its set alone. A router touches all sets, but only through its own weight: what it picks is added to
//! or taken from the sums of each replica, and while these are within their bounds nothing else changes, as no router's
//! picks by score depend on another router. Only a set that is mended, or comes to be, is worked out whole.

use crate::set::Set;
use crate::told::{MEMBERS_MOST, Member, ROUTERS_MOST, Refused, Role, Router, Rule, SET_MOST, check};
use crate::weight::{Total, Unit, Weighed, weighed};
use crate::whole::own;
use std::collections::{BTreeMap, BTreeSet};

/// What the router talks to in one set, by ids and in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// All that are listed as primary.
    pub primaries: Vec<String>,
    pub replicas: Vec<String>,
    /// The set has fewer replicas than the rule calls short.
    pub short: bool,
}

/// The replicas as they are picked from, and what the routers pick by score alone.
struct Counted {
    set: Set,
    given: Vec<i64>,
    even: bool,
}

#[derive(Default)]
struct Kept {
    members: BTreeMap<String, Member>,
    /// None: to be counted anew.
    counted: Option<Counted>,
    /// As it was pulled last.
    own: Option<Own>,
}

/// The subsets of router `me`.
pub struct Subsets {
    me: u64,
    rule: Rule,
    routers: BTreeMap<u64, f64>,
    /// The same by number, in whole weights.
    weighed: Vec<Weighed>,
    unit: Unit,
    total: Total,
    /// Of each member its set.
    members: BTreeMap<String, i64>,
    sets: BTreeMap<i64, Kept>,
    /// Sets whose subset may have changed since it was pulled.
    touched: BTreeSet<i64>,
    worked_out: u64,
}

impl Subsets {
    /// # Errors
    /// [`Refused`] names the first thing that makes no sense.
    pub fn new(me: u64, routers: &[Router], members: &[Member], rule: &Rule) -> Result<Subsets, Refused> {
        check(routers, members, rule)?;
        if !routers.iter().any(|r| r.number == me) {
            return Err(Refused::NotTold(me));
        }
        let mut all = Subsets {
            me,
            rule: rule.clone(),
            routers: routers.iter().map(|r| (r.number, r.weight)).collect(),
            weighed: Vec::new(),
            unit: Unit::of(routers),
            total: Total::default(),
            members: members.iter().map(|m| (m.id.clone(), m.set)).collect(),
            sets: BTreeMap::new(),
            touched: BTreeSet::new(),
            worked_out: 0,
        };
        for member in members {
            let kept = all.sets.entry(member.set).or_default();
            kept.members.insert(member.id.clone(), member.clone());
        }
        all.weigh();
        Ok(all)
    }

    /// A router that is new, or has another weight.
    ///
    /// # Errors
    /// [`Refused`], and nothing changes.
    pub fn router(&mut self, router: Router) -> Result<(), Refused> {
        router.check()?;
        if !self.routers.contains_key(&router.number) && self.routers.len() >= ROUTERS_MOST {
            return Err(Refused::TooManyRouters(self.routers.len() + 1));
        }
        let before = self.routers.insert(router.number, router.weight);
        if before != Some(router.weight) {
            self.reweighed(router.number);
        }
        Ok(())
    }

    /// A router has gone. One that is not known changes nothing.
    ///
    /// # Errors
    /// [`Refused::NotTold`] if it is this one.
    pub fn router_left(&mut self, number: u64) -> Result<(), Refused> {
        if number == self.me {
            return Err(Refused::NotTold(number));
        }
        if self.routers.remove(&number).is_some() {
            self.reweighed(number);
        }
        Ok(())
    }

    /// A member that is new, or is told otherwise than before.
    ///
    /// # Errors
    /// [`Refused`], and nothing changes.
    pub fn member(&mut self, member: Member) -> Result<(), Refused> {
        member.check()?;
        let (known, number) = (self.members.get(&member.id).copied(), member.set);
        if known.is_none() && self.members.len() >= MEMBERS_MOST {
            return Err(Refused::TooManyMembers(self.members.len() + 1));
        }
        let of_set = self.sets.get(&number).map_or(0, |kept| kept.members.len());
        if known != Some(number) && of_set >= SET_MOST {
            return Err(Refused::SetTooLarge(number));
        }
        if known.is_some_and(|known| known != number) {
            self.member_left(&member.id);
        }
        self.members.insert(member.id.clone(), number);
        let kept = self.sets.entry(number).or_default();
        if kept.members.get(&member.id) != Some(&member) {
            kept.members.insert(member.id.clone(), member);
            kept.counted = None;
            self.touched.insert(number);
        }
        Ok(())
    }

    /// A member has gone. One that is not known changes nothing.
    pub fn member_left(&mut self, id: &str) {
        let Some(number) = self.members.remove(id) else { return };
        let Some(kept) = self.sets.get_mut(&number) else { return };
        kept.members.remove(id);
        kept.counted = None;
        self.touched.insert(number);
    }

    /// A set whose subset is not what was pulled of it before, until none is left; None for one that has no member any
    /// more.
    pub fn next_change(&mut self) -> Option<(i64, Option<Own>)> {
        while let Some(number) = self.touched.pop_first() {
            let Some(kept) = self.sets.get_mut(&number) else { continue };
            let before = kept.own.take();
            if kept.members.is_empty() {
                self.sets.remove(&number);
                if before.is_some() {
                    return Some((number, None));
                }
                continue;
            }
            let at = self.weighed.iter().position(|r| r.number == self.me)?;
            self.worked_out += 1;
            let own = kept.own(&self.weighed, self.total, at, &self.rule);
            kept.own = Some(own.clone());
            if before.as_ref() != Some(&own) {
                return Some((number, Some(own)));
            }
        }
        None
    }

    /// How often a set was worked out over all routers: what the changes so far have cost.
    pub fn worked_out(&self) -> u64 {
        self.worked_out
    }

    /// All routers' weights in whole units: every sum follows from them anew.
    fn weigh(&mut self) {
        let routers: Vec<Router> =
            self.routers.iter().map(|(number, weight)| Router { number: *number, weight: *weight }).collect();
        self.unit = Unit::of(&routers);
        self.weighed = weighed(&routers);
        self.total = Total::of(&self.weighed);
        self.sets.values_mut().for_each(|kept| kept.counted = None);
        self.touched.extend(self.sets.keys());
    }

    /// The weight of one router is another one; none if it has gone.
    fn reweighed(&mut self, number: u64) {
        let heaviest = self.routers.values().copied().fold(0.0, f64::max);
        if Unit::of(&[Router { number, weight: heaviest }]) != self.unit {
            return self.weigh();
        }
        let after = self.routers.get(&number).map_or(0, |weight| self.unit.whole(*weight));
        let place = self.weighed.binary_search_by_key(&number, |r| r.number);
        let before = place.map_or(0, |at| self.weighed[at].weight);
        match place {
            Ok(at) if after == 0 => {
                self.weighed.remove(at);
            }
            Ok(at) => self.weighed[at].weight = after,
            Err(at) => self.weighed.insert(at, Weighed { number, weight: after }),
        }
        self.total = Total::of(&self.weighed);
        for (set, kept) in &mut self.sets {
            if kept.weighs_otherwise(number, after - before, self.total) {
                self.touched.insert(*set);
            }
        }
    }
}

impl Kept {
    /// Whether that may change a subset.
    fn weighs_otherwise(&mut self, number: u64, by: i64, total: Total) -> bool {
        let Some(Counted { set, given, even }) = &mut self.counted else { return true };
        set.pick(number).iter().for_each(|(_, i)| given[*i] += by);
        let was = std::mem::replace(even, set.is_even(given, total));
        !was || !*even
    }

    fn own(&mut self, routers: &[Weighed], total: Total, at: usize, rule: &Rule) -> Own {
        let of = |role| self.members.values().filter(move |m| m.role == role);
        let replicas: Vec<&Member> = of(Role::Replica).collect();
        let counted = self.counted.get_or_insert_with(|| {
            let mut set = Set::new(&replicas, rule);
            let given = set.given(routers);
            let even = set.is_even(&given, total);
            Counted { set, given, even }
        });
        let picked = own(&mut counted.set, &counted.given, routers, total, at);
        Own {
            primaries: of(Role::Primary).map(|m| m.id.clone()).collect(),
            short: replicas.len() < rule.short,
            replicas: picked.into_iter().map(|i| replicas[i].id.clone()).collect(),
        }
    }
}
