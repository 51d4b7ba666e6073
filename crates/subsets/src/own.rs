//! One router's subsets, updated incrementally as routers and members join, leave and change. Callers report changes
//! and then poll for the sets whose subset differs. The result equals that of [`crate::subset`] for the current inputs.
//!
//! A change of a member affects only its set. A change of a router affects all sets, but only by its own weight, which
//! is added to or subtracted from the sums of the replicas that it picks. While these sums stay within their bounds
//! nothing else changes, because picks by score do not depend on other routers. Only a new set, or one
//! that needs rebalancing before or after the change, is recomputed over all routers.

use crate::set::Set;
use crate::told::{InputError, MAX_MEMBERS, MAX_ROUTERS, MAX_SET_MEMBERS, Member, Role, Router, Rule, check};
use crate::weight::{Total, WeightUnit, WeightedRouter, weighted_routers};
use crate::whole::pick_replicas;
use std::collections::{BTreeMap, BTreeSet};

/// The router's subset of one set, as sorted ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnSubset {
    /// All members that are listed as primary.
    pub primaries: Vec<String>,
    pub replicas: Vec<String>,
    /// The set has fewer replicas than [`Rule::short_below`].
    pub short: bool,
}

/// The replicas of a set, and the router weight that each is assigned by score, before rebalancing.
struct CachedSet {
    set: Set,
    assigned: Vec<i64>,
    even: bool,
}

/// State of one set.
#[derive(Default)]
struct SetState {
    members: BTreeMap<String, Member>,
    /// `None`: must be recomputed.
    cached: Option<CachedSet>,
    /// The subset that was returned last.
    last_returned: Option<OwnSubset>,
}

/// Subsets of router `me`.
pub struct Subsets {
    me: u64,
    rule: Rule,
    routers: BTreeMap<u64, f64>,
    /// The same routers with integer weights, sorted by number.
    weighted_routers: Vec<WeightedRouter>,
    unit: WeightUnit,
    total: Total,
    /// By member id: its set.
    members: BTreeMap<String, i64>,
    sets: BTreeMap<i64, SetState>,
    /// Sets whose subset may have changed since it was returned last.
    dirty_sets: BTreeSet<i64>,
    recomputations: u64,
}

impl Subsets {
    /// # Errors
    /// [`InputError`] names the first invalid input.
    pub fn new(me: u64, routers: &[Router], members: &[Member], rule: &Rule) -> Result<Subsets, InputError> {
        check(routers, members, rule)?;
        if !routers.iter().any(|r| r.number == me) {
            return Err(InputError::UnknownRouter(me));
        }
        let mut all = Subsets {
            me,
            rule: rule.clone(),
            routers: routers.iter().map(|r| (r.number, r.weight)).collect(),
            weighted_routers: Vec::new(),
            unit: WeightUnit::of(routers),
            total: Total::default(),
            members: members.iter().map(|m| (m.id.clone(), m.set)).collect(),
            sets: BTreeMap::new(),
            dirty_sets: BTreeSet::new(),
            recomputations: 0,
        };
        for member in members {
            let state = all.sets.entry(member.set).or_default();
            state.members.insert(member.id.clone(), member.clone());
        }
        all.reweigh_all();
        Ok(all)
    }

    /// Adds a router, or changes its weight.
    ///
    /// # Errors
    /// On [`InputError`] nothing changes.
    pub fn set_router(&mut self, router: Router) -> Result<(), InputError> {
        router.check()?;
        if !self.routers.contains_key(&router.number) && self.routers.len() >= MAX_ROUTERS {
            return Err(InputError::TooManyRouters(self.routers.len() + 1));
        }
        let before = self.routers.insert(router.number, router.weight);
        if before != Some(router.weight) {
            self.update_weight(router.number);
        }
        Ok(())
    }

    /// Removes a router. An unknown one has no effect.
    ///
    /// # Errors
    /// [`InputError::UnknownRouter`] for the router `me` itself.
    pub fn remove_router(&mut self, number: u64) -> Result<(), InputError> {
        if number == self.me {
            return Err(InputError::UnknownRouter(number));
        }
        if self.routers.remove(&number).is_some() {
            self.update_weight(number);
        }
        Ok(())
    }

    /// Adds a member, or replaces its data.
    ///
    /// # Errors
    /// On [`InputError`] nothing changes.
    pub fn set_member(&mut self, member: Member) -> Result<(), InputError> {
        member.check()?;
        let (known, number) = (self.members.get(&member.id).copied(), member.set);
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return Err(InputError::TooManyMembers(self.members.len() + 1));
        }
        let set_size = self.sets.get(&number).map_or(0, |state| state.members.len());
        if known != Some(number) && set_size >= MAX_SET_MEMBERS {
            return Err(InputError::SetTooLarge(number));
        }
        if known.is_some_and(|known| known != number) {
            self.remove_member(&member.id);
        }
        self.members.insert(member.id.clone(), number);
        let state = self.sets.entry(number).or_default();
        if state.members.get(&member.id) != Some(&member) {
            state.members.insert(member.id.clone(), member);
            state.cached = None;
            self.dirty_sets.insert(number);
        }
        Ok(())
    }

    /// Removes a member. An unknown one has no effect.
    pub fn remove_member(&mut self, id: &str) {
        let Some(number) = self.members.remove(id) else { return };
        let Some(state) = self.sets.get_mut(&number) else { return };
        state.members.remove(id);
        state.cached = None;
        self.dirty_sets.insert(number);
    }

    /// The next set whose subset differs from the one returned last, with its new subset, or `None` in its place if the
    /// set has no members left. Returns `None` when no change remains.
    pub fn next_change(&mut self) -> Option<(i64, Option<OwnSubset>)> {
        while let Some(number) = self.dirty_sets.pop_first() {
            let Some(state) = self.sets.get_mut(&number) else { continue };
            let before = state.last_returned.take();
            if state.members.is_empty() {
                self.sets.remove(&number);
                if before.is_some() {
                    return Some((number, None));
                }
                continue;
            }
            let at = self.weighted_routers.iter().position(|r| r.number == self.me)?;
            self.recomputations += 1;
            let own = state.compute_subset(&self.weighted_routers, self.total, at, &self.rule);
            state.last_returned = Some(own.clone());
            if before.as_ref() != Some(&own) {
                return Some((number, Some(own)));
            }
        }
        None
    }

    /// How many times a set was computed, as a measure of the work that changes have caused.
    pub fn recomputations(&self) -> u64 {
        self.recomputations
    }

    /// Recomputes the integer weights of all routers, and invalidates all sets.
    fn reweigh_all(&mut self) {
        let routers: Vec<Router> =
            self.routers.iter().map(|(number, weight)| Router { number: *number, weight: *weight }).collect();
        self.unit = WeightUnit::of(&routers);
        self.weighted_routers = weighted_routers(&routers);
        self.total = Total::of(&self.weighted_routers);
        self.sets.values_mut().for_each(|state| state.cached = None);
        self.dirty_sets.extend(self.sets.keys());
    }

    /// Applies the new weight of one router, or its removal.
    fn update_weight(&mut self, number: u64) {
        let heaviest = self.routers.values().copied().fold(0.0, f64::max);
        if WeightUnit::of(&[Router { number, weight: heaviest }]) != self.unit {
            return self.reweigh_all();
        }
        let after = self.routers.get(&number).map_or(0, |weight| self.unit.to_integer(*weight));
        let found = self.weighted_routers.binary_search_by_key(&number, |r| r.number);
        let before = found.map_or(0, |at| self.weighted_routers[at].weight);
        match found {
            Ok(at) if after == 0 => {
                self.weighted_routers.remove(at);
            }
            Ok(at) => self.weighted_routers[at].weight = after,
            Err(at) => self.weighted_routers.insert(at, WeightedRouter { number, weight: after }),
        }
        self.total = Total::of(&self.weighted_routers);
        for (set, state) in &mut self.sets {
            if state.add_weight_change(number, after - before, self.total) {
                self.dirty_sets.insert(*set);
            }
        }
    }
}

impl SetState {
    /// Adds a change of a router's weight to the sums, and returns whether it may change a subset.
    fn add_weight_change(&mut self, number: u64, by: i64, total: Total) -> bool {
        let Some(CachedSet { set, assigned, even }) = &mut self.cached else { return true };
        set.pick(number).iter().for_each(|(_, i)| assigned[*i] += by);
        let was = std::mem::replace(even, set.is_even(assigned, total));
        !was || !*even
    }

    fn compute_subset(
        &mut self,
        routers: &[WeightedRouter],
        total: Total,
        at: usize,
        rule: &Rule,
    ) -> OwnSubset {
        let of = |role| self.members.values().filter(move |m| m.role == role);
        let replicas: Vec<&Member> = of(Role::Replica).collect();
        let cached = self.cached.get_or_insert_with(|| {
            let mut set = Set::new(&replicas, rule);
            let assigned = set.assigned(routers);
            let even = set.is_even(&assigned, total);
            CachedSet { set, assigned, even }
        });
        let picked = pick_replicas(&mut cached.set, &cached.assigned, routers, total, at);
        OwnSubset {
            primaries: of(Role::Primary).map(|m| m.id.clone()).collect(),
            short: replicas.len() < rule.short_below,
            replicas: picked.into_iter().map(|i| replicas[i].id.clone()).collect(),
        }
    }
}
