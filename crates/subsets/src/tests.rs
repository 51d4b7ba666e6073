use crate::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;
use std::collections::BTreeMap;

/// Members of `sets` sets, each with a primary and `replicas` replicas in alternating zones; ids derive from the seed.
fn members(seed: u64, sets: i64, replicas: usize, weights: &[f64]) -> Vec<Member> {
    let member = |set: i64, i: usize| Member {
        id: format!("n-{:08x}", xxhash_rust::xxh3::xxh3_64(format!("{seed} {set} {i}").as_bytes()) >> 32),
        set,
        role: if i == 0 { Role::Primary } else { Role::Replica },
        weight: weights[i % weights.len()],
        zone: format!("z{}", i % 2),
    };
    (0..sets).flat_map(|set| (0..=replicas).map(move |i| member(set, i))).collect()
}

/// By replica: total weight of the routers that picked it.
fn assigned(routers: &[Router], members: &[Member], rule: &Rule) -> BTreeMap<usize, f64> {
    let replica = |(i, m): (usize, &Member)| (m.role == Role::Replica).then_some((i, 0.0));
    let mut assigned: BTreeMap<usize, f64> = members.iter().enumerate().filter_map(replica).collect();
    let all = fleet(routers, members, rule).unwrap();
    for router in routers {
        let replicas = all[&router.number].values().flat_map(|s| &s.replicas);
        replicas.for_each(|m| *assigned.get_mut(m).unwrap() += router.weight);
    }
    assigned
}

#[rstest]
#[case::no_set_is_short(5, 2, false)]
#[case::fewer_than_asked_for(1, 1, false)]
#[case::primary_alone(0, 0, true)]
fn subset_has_the_primary_and_enough_replicas(
    #[case] replicas: usize,
    #[case] expected: usize,
    #[case] short: bool,
    #[values(1, 10, 100)] balancers: u64,
    #[values(false, true)] spread_zones: bool,
) {
    let members = members(balancers, 4, replicas, &[1.0, 2.0]);
    let rule = Rule { spread_zones, ..Rule::default() };
    for sets in fleet(&numbered_routers(balancers), &members, &rule).unwrap().values() {
        assert_eq!(sets.len(), 4);
        for subset in sets.values() {
            assert_eq!((subset.primaries.len(), subset.replicas.len()), (1, expected));
            assert_eq!(subset.short, short);
            let zones = subset.replicas.iter().map(|m| &members[*m].zone);
            assert!(!spread_zones || expected < 2 || zones.clone().max() != zones.min());
        }
    }
}

/// Guards against uneven load: each replica stays within the bounds of the rule, extended to the next whole router.
#[rstest]
fn replica_assignments_stay_within_bounds(
    #[values(10, 100, 300)] balancers: u64,
    #[values((2, 1), (3, 2), (9, 3))] set: (usize, usize),
    #[values(0, 1, 2, 3, 4)] seed: u64,
) {
    let (replicas, picks) = set;
    let rule = Rule { replicas: picks, ..Rule::default() };
    let fair = balancers as f64 * picks as f64 / replicas as f64;
    let (max, min) = ((fair * 1.1).max(fair.ceil()), (fair * 0.88).min(fair.floor()));
    for assigned in
        assigned(&numbered_routers(balancers), &members(seed, 5, replicas, &[1.0]), &rule).values()
    {
        assert!((min..=max).contains(assigned), "{assigned}, fair share {fair}");
    }
}

/// Replicas of weight 1 and 2 and routers of weight 1 to 3 give shares in proportion to weight. With seven picks of
/// eight, a replica of weight 2 is in every subset, and its excess is divided among the others.
#[rstest]
fn assignments_are_proportional_to_weight(#[values(0, 1, 2, 3, 4)] seed: u64) {
    let routers: Vec<Router> =
        (0..100).map(|number| Router { number, weight: 1.0 + (number % 3) as f64 }).collect();
    let all: f64 = routers.iter().map(|r| r.weight).sum();
    let members = members(seed, 3, 8, &[1.0, 2.0]);
    for (picks, light, heavy) in [(3, 0.25, 0.5), (7, 0.75, 1.0)] {
        let rule = Rule { replicas: picks, ..Rule::default() };
        for (m, assigned) in assigned(&routers, &members, &rule) {
            let fair = all * if members[m].weight == 1.0 { light } else { heavy };
            let (max, min) = ((fair * 1.1).max(fair + 3.0), (fair * 0.88).min(fair - 3.0));
            assert!((min..=max).contains(&assigned), "{assigned}, fair share {fair}");
        }
    }
}

/// Guards against needless reconnects: new picks after a growth, relative to the least possible, as a mean over 10
/// seeds.
#[rstest]
#[case::a_router_joins(1, 0)]
#[case::routers_grow_by_a_tenth(30, 0)]
#[case::routers_double(300, 0)]
#[case::a_member_joins_each_set(0, 1)]
#[case::members_double(0, 9)]
fn growth_causes_few_unnecessary_new_picks(#[case] routers: u64, #[case] joined: usize) {
    let rule = Rule { replicas: 3, ..Rule::default() };
    let (mut new, mut least_possible) = (0.0, 0.0);
    for seed in 0..10 {
        let (few, many) = (members(seed, 8, 9, &[1.0]), members(seed, 8, 9 + joined, &[1.0]));
        let before = fleet(&numbered_routers(300), &few, &rule).unwrap();
        let after = fleet(&numbered_routers(300 + routers), &many, &rule).unwrap();
        let ids = |sets: &BTreeMap<i64, Subset>, of: &[Member]| -> Vec<String> {
            sets.values().flat_map(|s| &s.replicas).map(|m| of[*m].id.clone()).collect()
        };
        for (number, sets) in &after {
            let had = before.get(number).map(|sets| ids(sets, &few)).unwrap_or_default();
            new += ids(sets, &many).iter().filter(|id| !had.contains(id)).count() as f64;
        }
        least_possible += 24.0 * (routers as f64 + 300.0 * joined as f64 / (9 + joined) as f64);
    }
    assert!(new / least_possible < 1.2, "{new} new picks, {least_possible} are necessary");
}

/// Guards against routers that disagree: each computes the subset that the fleet-wide plan has for it, for any input
/// order.
#[rstest]
fn routers_compute_the_same_assignment_independently(
    #[values(0, 1, 2)] seed: u64,
    #[values(false, true)] named: bool,
) {
    let name = |r: Router| if named { Router::named(&format!("r{}", r.number), 2.0) } else { r };
    let mut routers: Vec<Router> = numbered_routers(20).into_iter().map(name).collect();
    let mut members = members(seed, 5, 4, &[1.0, 3.0]);
    let ids = |subset: &Subset, of: &[Member]| -> Vec<String> {
        subset.primaries.iter().chain(&subset.replicas).map(|m| of[*m].id.clone()).collect()
    };
    let plan = fleet(&routers, &members, &Rule::default()).unwrap();
    let planned: Vec<Vec<String>> =
        plan.values().flat_map(|s| s.values().map(|s| ids(s, &members))).collect();
    members.reverse();
    routers.rotate_left(7);
    let own = plan.keys().map(|me| subset(*me, &routers, &members, &Rule::default()).unwrap());
    let found: Vec<Vec<String>> =
        own.flat_map(|s| s.values().map(|s| ids(s, &members)).collect::<Vec<_>>()).collect();
    assert_eq!(found, planned);
}

#[rstest]
#[case::unknown_router(|_: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| (), InputError::UnknownRouter(9))]
#[case::duplicate_router(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| r[1].number = 0, InputError::DuplicateRouter(0))]
#[case::weight_not_a_number(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| r[1].weight = f64::NAN, InputError::Weight("router 1".into()))]
#[case::member_weight_zero(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| { m[0].id = "a".into(); m[0].weight = 0.0 }, InputError::Weight("member a".into()))]
#[case::duplicate_member(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| { m[0].id = "a".into(); m[1].id = "a".into() }, InputError::DuplicateMember("a".into()))]
#[case::rule_max_share_below_one(|_: &mut Vec<Router>, _: &mut Vec<Member>, rule: &mut Rule| rule.max_share = 0.9, InputError::Rule)]
#[case::set_too_large(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| *m = members(0, 1, 128, &[1.0]), InputError::SetTooLarge(0))]
#[case::too_many_routers(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| *r = numbered_routers(8193), InputError::TooManyRouters(8193))]
#[case::too_many_members(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| *m = members(0, 2731, 2, &[1.0]), InputError::TooManyMembers(8193))]
fn invalid_inputs_are_rejected(
    #[case] invalidate: fn(&mut Vec<Router>, &mut Vec<Member>, &mut Rule),
    #[case] expected: InputError,
) {
    let (mut routers, mut members, mut rule) =
        (numbered_routers(3), members(0, 2, 3, &[1.0]), Rule::default());
    invalidate(&mut routers, &mut members, &mut rule);
    assert_eq!(subset(9, &routers, &members, &rule), Err(expected));
}

/// Maximum number of routers, each with 2 of 3 replicas within the bounds of the rule; then the maximum number of
/// members, in sets of 4.
#[rstest]
#[case::routers(8192, 1)]
#[case::members(2, 2048)]
fn maximum_sizes_are_accepted(#[case] routers: u64, #[case] sets: i64) {
    let (routers, members) = (numbered_routers(routers), members(7, sets, 3, &[1.0]));
    assert!(routers.len().max(members.len()) == MAX_ROUTERS && MAX_ROUTERS == MAX_MEMBERS);
    let own = subset(1, &routers, &members, &Rule::default()).expect("within the bounds");
    assert!(own.len() == sets as usize && own.values().all(|subset| subset.replicas.len() == 2));
    let fair = routers.len() as f64 * 2.0 / 3.0;
    let (max, min) = ((fair * 1.1).max(fair.ceil()), (fair * 0.88).min(fair.floor()));
    for assigned in assigned(&routers, &members, &Rule::default()).values() {
        assert!((min..=max).contains(assigned), "{assigned}, fair share {fair}");
    }
}

/// A fleet that changes at random, and its current state.
struct RandomFleet {
    rng: WyRand,
    me: u64,
    by_name: bool,
    routers: BTreeMap<u64, Router>,
    members: BTreeMap<String, Member>,
    created: u64,
}

impl RandomFleet {
    fn weight(&mut self, weights: &[f64]) -> f64 {
        weights[self.rng.generate_range(0..weights.len())]
    }

    fn random_router(&mut self, weights: &[f64]) -> Router {
        let number = self.rng.generate_range(0..60u64);
        let weight = self.weight(weights);
        let named = Router::named(&format!("r{number}"), weight);
        if self.by_name { named } else { Router { number, weight } }
    }

    fn random_member(&mut self, weights: &[f64]) -> Member {
        self.created += 1;
        let known: Vec<String> = self.members.keys().cloned().collect();
        let pick = self.rng.generate_range(0..=known.len() * 2);
        Member {
            id: known.get(pick).cloned().unwrap_or(format!("m{:03}", self.created)),
            set: self.rng.generate_range(0..4i64),
            role: if self.rng.generate_range(0..5u32) == 0 { Role::Primary } else { Role::Replica },
            weight: self.weight(weights),
            zone: format!("z{}", self.rng.generate_range(0..3u32)),
        }
    }

    /// Applies one random change.
    fn random_change(&mut self, own: &mut Subsets, weights: &[f64]) {
        match self.rng.generate_range(0..8u32) {
            0..=2 => {
                let router = self.random_router(weights);
                own.set_router(router.clone()).expect("valid");
                self.routers.insert(router.number, router);
            }
            3 => {
                let number = self.random_router(&[1.0]).number;
                let removed = own.remove_router(number);
                assert_eq!(
                    removed,
                    if number == self.me { Err(InputError::UnknownRouter(number)) } else { Ok(()) }
                );
                self.routers.retain(|_, r| r.number != number || number == self.me);
            }
            4..=6 => {
                let member = self.random_member(weights);
                own.set_member(member.clone()).expect("valid");
                self.members.insert(member.id.clone(), member);
            }
            _ => {
                let known: Vec<String> = self.members.keys().cloned().collect();
                let pick = self.rng.generate_range(0..known.len() + 1);
                let id = known.get(pick).cloned().unwrap_or("unknown".into());
                own.remove_member(&id);
                self.members.remove(&id);
            }
        }
    }

    /// Subsets by the full computation, as ids.
    fn full_computation(&self, rule: &Rule) -> BTreeMap<i64, OwnSubset> {
        let routers: Vec<Router> = self.routers.values().cloned().collect();
        let members: Vec<Member> = self.members.values().cloned().collect();
        let ids = |indexes: Vec<usize>| indexes.into_iter().map(|at| members[at].id.clone()).collect();
        let sets = subset(self.me, &routers, &members, rule).expect("valid");
        let own =
            |s: Subset| OwnSubset { primaries: ids(s.primaries), replicas: ids(s.replicas), short: s.short };
        sets.into_iter().map(|(number, s)| (number, own(s))).collect()
    }
}

/// After any changes, the subsets returned set by set equal the full computation, and every returned set has changed.
#[rstest]
fn incremental_subsets_equal_the_full_computation(
    #[values(0, 1, 2, 3)] seed: u64,
    #[values(&[1.0], &[0.3, 1.0, 1.7, 2.0, 5.0], &[1e-15, 3e-15, 1.0, 1e15])] weights: &[f64],
    #[values(false, true)] spread_zones: bool,
    #[values(false, true)] by_name: bool,
) {
    let rule = Rule { spread_zones, short_below: 3, ..Rule::default() };
    let first = if by_name { Router::named("r7", 1.0) } else { Router { number: 7, weight: 1.0 } };
    let mut all = RandomFleet {
        rng: WyRand::new_seed(seed),
        me: first.number,
        by_name,
        routers: BTreeMap::from([(first.number, first.clone())]),
        members: BTreeMap::new(),
        created: 0,
    };
    let mut own = Subsets::new(first.number, &[first], &[], &rule).expect("valid");
    let mut returned: BTreeMap<i64, OwnSubset> = BTreeMap::new();
    for step in 0..120 {
        for _ in 0..all.rng.generate_range(1..4u32) {
            all.random_change(&mut own, weights);
        }
        while let Some((set, subset)) = own.next_change() {
            assert_ne!(returned.get(&set), subset.as_ref(), "set {set} was returned unchanged");
            match subset {
                Some(subset) => returned.insert(set, subset),
                None => returned.remove(&set),
            };
        }
        assert_eq!(returned, all.full_computation(&rule), "step {step}");
    }
}

/// Changes with invalid data are rejected.
#[rstest]
#[case::negative_router_weight(|own: &mut Subsets| own.set_router(Router { number: 9, weight: -1.0 }), InputError::Weight("router 9".into()))]
#[case::own_router_removed(|own: &mut Subsets| own.remove_router(0), InputError::UnknownRouter(0))]
#[case::member_weight_not_a_number(|own: &mut Subsets| own.set_member(Member { weight: f64::NAN, ..members(1, 1, 0, &[1.0]).remove(0) }), InputError::Weight("member n-09dbcf9d".into()))]
#[case::too_many_members_in_a_set(|own: &mut Subsets| (0..=MAX_SET_MEMBERS).try_for_each(|i| own.set_member(Member { id: format!("s{i}"), ..members(1, 1, 0, &[1.0]).remove(0) })), InputError::SetTooLarge(0))]
#[case::too_many_routers(|own: &mut Subsets| (0..=MAX_ROUTERS as u64).try_for_each(|number| own.set_router(Router { number, weight: 1.0 })), InputError::TooManyRouters(8193))]
#[case::too_many_members(|own: &mut Subsets| (0..=MAX_MEMBERS as i64).try_for_each(|set| own.set_member(Member { id: format!("s{set}"), set, ..members(1, 1, 0, &[1.0]).remove(0) })), InputError::TooManyMembers(8193))]
fn invalid_changes_are_rejected(
    #[case] invalidate: fn(&mut Subsets) -> Result<(), InputError>,
    #[case] expected: InputError,
) {
    let mut own = Subsets::new(0, &numbered_routers(3), &[], &Rule::default()).expect("valid");
    assert_eq!(invalidate(&mut own), Err(expected));
}

/// Guards against updates that cost as much as a full computation: routers that leave and join a fleet of 2,100
/// recompute no set, and a member that leaves recomputes only its own.
#[rstest]
fn change_in_a_large_fleet_recomputes_only_affected_sets() {
    let initial = members(3, 50, 4, &[1.0]);
    let mut own = Subsets::new(7, &numbered_routers(2_100), &initial, &Rule::default()).unwrap();
    assert_eq!(std::iter::from_fn(|| own.next_change()).count(), 50);
    for number in 100..500 {
        own.remove_router(number).unwrap();
        assert_eq!(own.next_change(), None);
    }
    for number in (100..500).chain(2_100..2_400) {
        own.set_router(Router { number, weight: 1.0 }).unwrap();
        assert_eq!(own.next_change(), None);
    }
    assert_eq!(own.recomputations(), 50);
    own.remove_member(&initial[1].id);
    assert!(std::iter::from_fn(|| own.next_change()).all(|(set, _)| set == 0));
    assert_eq!(own.recomputations(), 51);
}
